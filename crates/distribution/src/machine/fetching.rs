//! Fetching of content: choice of the source, retries and pace.

use super::applying::{UnverifiedBase, Work};
use super::{Action, Distribution, Notification};
use crate::bounds::{
    ANSWER_TIMEOUT, FULL_BACKOFF_ATTEMPTS, MAX_BASE_ATTEMPTS, MAX_EARLY_DOUBLINGS, MAX_PIECES_PULLED,
    MAX_RETRY_DELAY, MIN_RETRY_DELAY, PIECE_BYTES, RETARGET_DELAY,
};
use crate::config::{Defect, Name, Nanos, Peer};
use crate::download::Download;
use crate::revision::{Announcement, Digest, RevisionId};
use crate::wire::{Body, Transfer, TransferKind};

/// The fetch of one revision's content.
#[derive(Debug)]
pub struct Fetch {
    /// The revision to fetch.
    pub target: Announcement,
    /// Number of attempts started.
    pub attempt: u32,
    snapshot: bool, // whether only a snapshot is acceptable
    since: Nanos,   // when this revision was first requested
    phase: Phase,
    makes: RevisionId,         // the revision that the transfer in progress produces
    partial: Option<Download>, // pieces of an abandoned transfer, which another node may continue
}

#[derive(Debug)]
enum Phase {
    Waiting { until: Nanos },
    Requested { from: Name, until: Nanos },
    Downloading(Download),
}

impl Fetch {
    /// Creates a fetch that starts at `at`.
    pub fn new(target: Announcement, at: Nanos) -> Self {
        Fetch {
            target,
            attempt: 0,
            snapshot: false,
            since: at,
            phase: Phase::Waiting { until: at },
            makes: target.id,
            partial: None,
        }
    }

    /// Returns whether a transfer is in progress.
    pub fn is_downloading(&self) -> bool {
        matches!(self.phase, Phase::Downloading(_))
    }

    /// Creates a fetch that accepts only the whole document.
    pub fn snapshot_only(target: Announcement, at: Nanos) -> Self {
        Fetch { snapshot: true, ..Fetch::new(target, at) }
    }
}

/// Kind of node that the next attempt asks. Nodes in the same zone are preferred to other nodes, and both to voters.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Source {
    SameZone,
    OtherZone,
    Voter,
}

/// The order of attempts, repeated.
const SOURCE_ORDER: [Source; 5] =
    [Source::SameZone, Source::SameZone, Source::OtherZone, Source::SameZone, Source::Voter];

impl Distribution {
    pub(super) fn work_due(&self) -> Option<Nanos> {
        let Work::Fetching(fetch) = &self.work else { return None };
        Some(match &fetch.phase {
            Phase::Waiting { until } | Phase::Requested { until, .. } => *until,
            Phase::Downloading(download) => download.due().max(self.fetch_after),
        })
    }

    /// Continues the fetch in progress.
    pub(super) fn advance_fetch(&mut self, now: Nanos, actions: &mut Vec<Action>) {
        let Some(mut fetch) = self.work.take_fetch() else { return };
        match &mut fetch.phase {
            Phase::Waiting { until } if *until <= now => self.send_request(now, &mut fetch, actions),
            Phase::Requested { until, .. } if *until <= now => self.retry(now, &mut fetch, false),
            Phase::Downloading(download) if self.is_finished(download) => {
                return self.finish_download(now, *fetch, actions);
            }
            Phase::Downloading(download) if download.is_stuck(now) => self.retry(now, &mut fetch, false),
            Phase::Downloading(download) => pull_pieces(self, now, download, actions),
            _ => {}
        }
        self.work = Work::Fetching(fetch);
    }

    fn is_finished(&self, download: &Download) -> bool {
        let half = self.tuning.defect == Some(Defect::AppliesIncomplete) && download.is_half();
        download.is_complete() || half
    }

    /// Schedules the next attempt, with a delay that grows with the number of attempts.
    fn retry(&mut self, now: Nanos, fetch: &mut Fetch, busy: bool) {
        let max_doublings =
            if fetch.attempt < FULL_BACKOFF_ATTEMPTS { MAX_EARLY_DOUBLINGS } else { u32::BITS };
        let doublings = (fetch.attempt / SOURCE_ORDER.len() as u32).min(max_doublings) + u32::from(busy);
        let delay = (MIN_RETRY_DELAY << doublings.min(u32::BITS / 2)).min(MAX_RETRY_DELAY);
        let until = now + delay + self.rng.u64(0..delay);
        if let Phase::Downloading(download) = std::mem::replace(&mut fetch.phase, Phase::Waiting { until }) {
            fetch.partial = Some(download);
        }
    }

    fn send_request(&mut self, now: Nanos, fetch: &mut Fetch, actions: &mut Vec<Action>) {
        if fetch.attempt >= MAX_BASE_ATTEMPTS {
            self.base = None;
        }
        let may_retarget = now >= fetch.since + RETARGET_DELAY || self.base.is_some();
        if let Some(latest) = self.target().filter(|latest| may_retarget && latest.id != fetch.target.id) {
            (fetch.target, fetch.since) = (latest, now);
            fetch.partial = None;
        }
        if self.base.as_ref().is_some_and(|base| base.id > fetch.target.id) {
            fetch.attempt += 1;
            return self.retry(now, fetch, false); // the local copy of the log will catch up with the base
        }
        let source = SOURCE_ORDER[fetch.attempt as usize % SOURCE_ORDER.len()];
        fetch.attempt += 1;
        let Some(from) = self.choose_source(now, source, fetch.target.id) else {
            return self.retry(now, fetch, false);
        };
        let have = self.base_digest();
        let request = Body::Request {
            have,
            want: fetch.target.id,
            digest: fetch.target.digest,
            snapshot: fetch.snapshot,
        };
        self.send(&from, request, actions);
        fetch.phase = Phase::Requested { from, until: now + ANSWER_TIMEOUT };
    }

    /// Chooses a live node of the given kind, or of any kind if there is none, and prefers nodes known to have the
    /// revision.
    fn choose_source(&mut self, now: Nanos, source: Source, want: RevisionId) -> Option<Name> {
        let zone = self.identity.zone.clone();
        let matches = |peer: &&Peer| match source {
            Source::SameZone => !peer.votes && peer.zone == zone,
            Source::OtherZone => !peer.votes && peer.zone != zone,
            Source::Voter => peer.votes,
        };
        let alive = self.peers.iter().filter(|peer| peer.alive);
        let matching: Vec<&Peer> = alive.clone().filter(matches).collect();
        let matching = if matching.is_empty() { alive.collect() } else { matching };
        let reports_revision =
            |peer: &&Peer| self.reported_revision(now, &peer.name).is_some_and(|id| id >= want);
        let reporting: Vec<&Peer> = matching.iter().copied().filter(reports_revision).collect();
        // Sometimes others are asked too: reports may be outdated, and the few nodes known to have it may be busy.
        let any = reporting.is_empty() || self.rng.u8(0..4) == 0;
        let chosen = if any { matching } else { reporting };
        (!chosen.is_empty()).then(|| chosen[self.rng.usize(0..chosen.len())].name.clone())
    }

    pub(super) fn offer_received(
        &mut self, now: Nanos, from: &Name, want: RevisionId, makes: RevisionId, transfer: Transfer,
        first: &[u8],
    ) {
        let Work::Fetching(fetch) = &mut self.work else { return };
        let asked = matches!(&fetch.phase, Phase::Requested { from: asked, .. } if asked == from);
        if !asked || fetch.target.id != want {
            return;
        }
        let whole = transfer.kind == TransferKind::Snapshot;
        let is_target = transfer.digest == fetch.target.digest && transfer.length == fetch.target.length;
        let fits = if whole { is_target || makes != want } else { !fetch.snapshot && makes == want };
        let partial = fetch.partial.take().filter(|partial| partial.transfer == transfer);
        let download = match partial {
            Some(mut partial) => {
                partial.resume(now, from.clone());
                Some(partial)
            }
            None => Download::new(now, from.clone(), transfer),
        };
        let Some(mut download) = download.filter(|_| fits) else { return };
        download.store(now, 0, first);
        fetch.makes = makes;
        fetch.phase = Phase::Downloading(download);
    }

    pub(super) fn request_denied(&mut self, now: Nanos, from: &Name, want: RevisionId, busy: bool) {
        let Some(mut fetch) = self.work.take_fetch() else { return };
        let asked = matches!(&fetch.phase, Phase::Requested { from: asked, .. } if asked == from);
        if asked && fetch.target.id == want {
            self.retry(now, &mut fetch, busy);
        }
        self.work = Work::Fetching(fetch);
    }

    pub(super) fn piece_received(&mut self, now: Nanos, digest: Digest, number: u16, bytes: &[u8]) {
        if let Some(staging) =
            self.staging.as_mut().filter(|staging| staging.download.transfer.digest == digest)
        {
            staging.download.store(now, number, bytes);
        }
        let Work::Fetching(fetch) = &mut self.work else { return };
        if let Phase::Downloading(download) = &mut fetch.phase {
            if download.transfer.digest == digest {
                download.store(now, number, bytes);
            }
        }
    }

    fn finish_download(&mut self, now: Nanos, mut fetch: Fetch, actions: &mut Vec<Action>) {
        let Phase::Downloading(download) = fetch.phase else { return };
        let (from, transfer) = (download.from.clone(), download.transfer);
        let bytes = download.into_bytes();
        let skips_verification =
            matches!(self.tuning.defect, Some(Defect::SkipsVerification | Defect::AppliesIncomplete));
        if Digest::of(&bytes) != transfer.digest && !skips_verification {
            actions.push(Action::Notify(Notification::DigestMismatch(from, fetch.target.id)));
            fetch.phase = Phase::Waiting { until: now + MIN_RETRY_DELAY };
            self.work = Work::Fetching(Box::new(fetch));
            return;
        }
        if fetch.makes == fetch.target.id {
            return self.transfer_complete(now, fetch.target, transfer.kind, &bytes, actions);
        }
        self.base = Some(UnverifiedBase { id: fetch.makes, digest: transfer.digest, bytes: bytes.into() });
        self.work = Work::Fetching(Box::new(Fetch::new(fetch.target, now)));
    }
}

/// Pulls as many pieces as the window and the rate limit of a node that catches up allow.
fn pull_pieces(node: &mut Distribution, now: Nanos, download: &mut Download, actions: &mut Vec<Action>) {
    loop {
        let budget = match &mut node.catching_up {
            Some(budget) => (budget.available(now) as usize / PIECE_BYTES).min(MAX_PIECES_PULLED),
            None => MAX_PIECES_PULLED,
        };
        if budget == 0 {
            let delay =
                node.catching_up.as_ref().map(|budget| budget.available_at(MAX_PIECES_PULLED * PIECE_BYTES));
            node.fetch_after = delay.unwrap_or(now);
            return;
        }
        let pieces = download.pull(now, budget);
        if pieces.is_empty() {
            return;
        }
        if let Some(budget) = &mut node.catching_up {
            budget.spend(now, pieces.len() * PIECE_BYTES);
        }
        let (from, digest) = (download.from.clone(), download.transfer.digest);
        node.send(&from, Body::Pull { digest, pieces }, actions);
    }
}
