//! Turns fetched content into a revision in force: composes, verifies and applies it.

use std::sync::Arc;

use super::fetching::Fetch;
use super::{Action, Distribution, Notification};
use crate::bounds::{MAX_CONTENT_BYTES, MAX_IN_FORCE_REPORT_DELAY};
use crate::config::{Defect, Nanos};
use crate::content::Rejection;
use crate::history::ChainLink;
use crate::revision::{Announcement, Digest, RevisionId};
use crate::stored_state::{Document, StagedContent};
use crate::wire::TransferKind;

/// A fetched document that deltas are applied to. It needs no verification itself, because only the result is applied
/// and the log announces the digest of the result.
#[derive(Debug)]
pub struct UnverifiedBase {
    /// The revision that the sender claimed.
    pub id: RevisionId,
    /// Digest of the document.
    pub digest: Digest,
    /// The document.
    pub bytes: Arc<[u8]>,
}

/// The step in progress towards the next revision.
#[derive(Debug)]
pub enum Work {
    /// No step is in progress.
    Idle,
    /// The content is being fetched.
    Fetching(Box<Fetch>),
    /// The host is applying deltas to a copy of the document.
    Composing {
        /// The announcement that the result has to match.
        target: Announcement,
        /// The deltas.
        chain: Vec<ChainLink>,
    },
    /// The host is putting the document in force.
    Applying(Document),
}

impl Work {
    /// Returns whether no step is in progress.
    pub fn is_idle(&self) -> bool {
        matches!(self, Work::Idle)
    }

    /// Takes the fetch in progress and leaves [`Work::Idle`]; leaves any other step unchanged.
    pub fn take_fetch(&mut self) -> Option<Box<Fetch>> {
        match std::mem::replace(self, Work::Idle) {
            Work::Fetching(fetch) => Some(fetch),
            other => {
                *self = other;
                None
            }
        }
    }

    /// Returns a one-line description for debugging.
    pub fn describe(&self) -> String {
        match self {
            Work::Idle => "idle".to_owned(),
            Work::Fetching(fetch) => format!("fetching {}, attempt {}", fetch.target.id, fetch.attempt),
            Work::Composing { target, chain } => {
                format!("composing {} from {} deltas", target.id, chain.len())
            }
            Work::Applying(document) => format!("applying {}", document.announcement.id),
        }
    }
}

impl Distribution {
    /// Puts the document from the disk in force before any message is received.
    pub(super) fn restore(&mut self, document: Document, actions: &mut Vec<Action>) {
        if document.announcement.format > self.tuning.max_format {
            return self.refuse(
                document.announcement,
                self.unknown_format(document.announcement.format),
                actions,
            );
        }
        self.set_verified(document.clone());
        self.apply(document, actions);
    }

    /// Starts work on the next revision if none is in progress, and continues a fetch in progress.
    pub(super) fn advance_work(&mut self, now: Nanos, actions: &mut Vec<Action>) {
        self.stop_for_staged();
        if self.work.is_idle() {
            match self.target() {
                Some(target) => self.start_work(now, target, actions),
                None if self.log.announcement.is_some() => self.catching_up = None,
                None => {}
            }
        }
        self.advance_fetch(now, actions);
    }

    fn unknown_format(&self, format: u16) -> String {
        format!(
            "document format {format} is not supported; this version supports formats up to {}; upgrade this node",
            self.tuning.max_format
        )
    }

    fn start_work(&mut self, now: Nanos, target: Announcement, actions: &mut Vec<Action>) {
        if target.format > self.tuning.max_format {
            return self.refuse(target, self.unknown_format(target.format), actions);
        }
        // After a change and its reversal the document is the same again, so nothing has to be fetched.
        if let Some(verified) =
            self.verified.as_ref().filter(|verified| verified.announcement.digest == target.digest)
        {
            let document = Document { announcement: target, bytes: verified.bytes.clone() };
            self.set_verified(document.clone());
            return self.apply(document, actions);
        }
        if let Some(staged) = self.staged_target(&target) {
            let (kind, bytes) = (staged.transfer.kind, staged.bytes.clone());
            return self.transfer_complete(now, target, kind, &bytes, actions);
        }
        self.work = Work::Fetching(Box::new(Fetch::new(target, now.max(self.fetch_after))));
    }

    /// Returns staged content that produces this revision and can be applied here.
    fn staged_target(&self, target: &Announcement) -> Option<&StagedContent> {
        let base = self.base_digest();
        let matches = |staged: &&StagedContent| {
            let applicable = staged.transfer.kind == TransferKind::Snapshot || staged.base == base;
            staged.announcement == *target && applicable
        };
        self.staged.iter().map(|(_, staged)| staged).find(matches)
    }

    /// Stops a fetch that receives no pieces if content of the latest revision is staged here.
    fn stop_for_staged(&mut self) {
        let Work::Fetching(fetch) = &self.work else { return };
        let staged = self.target().is_some_and(|target| self.staged_target(&target).is_some());
        if staged && !fetch.is_downloading() {
            self.work = Work::Idle;
        }
    }

    /// Processes the content of a complete transfer whose digest matches the offer.
    pub(super) fn transfer_complete(
        &mut self, now: Nanos, target: Announcement, kind: TransferKind, bytes: &[u8],
        actions: &mut Vec<Action>,
    ) {
        match kind {
            TransferKind::Snapshot => self.verify(now, target, Arc::from(bytes), Vec::new(), actions),
            TransferKind::Chain => {
                let chain: Vec<ChainLink> = postcard::from_bytes(bytes).unwrap_or_default();
                let verified = self.verified.as_ref().map(|verified| &verified.bytes);
                let base = self.base.as_ref().map(|base| &base.bytes).or(verified).cloned();
                let base = base.unwrap_or_else(|| Arc::from([]));
                let deltas = chain.iter().map(|link| link.delta.clone()).collect();
                self.work = Work::Composing { target, chain };
                actions.push(Action::Compose { base, deltas });
            }
        }
    }

    pub(super) fn composed(
        &mut self, now: Nanos, result: Result<Arc<[u8]>, Rejection>, actions: &mut Vec<Action>,
    ) {
        let (target, chain) = match std::mem::replace(&mut self.work, Work::Idle) {
            Work::Composing { target, chain } => (target, chain),
            other => return self.work = other,
        };
        match result {
            Ok(document) if document.len() <= MAX_CONTENT_BYTES => {
                self.verify(now, target, document, chain, actions)
            }
            _ => self.reject_chain(now, target, actions),
        }
    }

    /// Compares a document with its announcement, and has it applied if it matches.
    fn verify(
        &mut self, now: Nanos, target: Announcement, bytes: Arc<[u8]>, chain: Vec<ChainLink>,
        actions: &mut Vec<Action>,
    ) {
        let skips_verification =
            matches!(self.tuning.defect, Some(Defect::SkipsVerification | Defect::AppliesIncomplete));
        if !target.matches(&bytes) && !skips_verification {
            return self.reject_chain(now, target, actions);
        }
        if let Some(base) = self.base_digest() {
            self.history.add_chain(base, chain);
        }
        let document = Document { announcement: target, bytes };
        self.set_verified(document.clone());
        self.apply(document, actions);
    }

    /// Drops content that did not lead to the announced digest, whether fetched or staged, and fetches the whole
    /// document instead.
    fn reject_chain(&mut self, now: Nanos, target: Announcement, actions: &mut Vec<Action>) {
        actions.push(Action::Notify(Notification::ChainMismatch(target.id)));
        self.staged.retain(|(_, staged)| staged.announcement != target);
        self.base = None;
        self.work = Work::Fetching(Box::new(Fetch::snapshot_only(target, now)));
    }

    fn set_verified(&mut self, document: Document) {
        self.history.add_snapshot(document.announcement, document.bytes.clone());
        self.verified = Some(document);
        self.base = None;
    }

    /// Returns the digest of the document that deltas can be applied to here.
    pub(super) fn base_digest(&self) -> Option<Digest> {
        self.base.as_ref().map(|base| base.digest).or_else(|| self.verified_digest())
    }

    fn apply(&mut self, document: Document, actions: &mut Vec<Action>) {
        actions.push(Action::Apply(document.clone()));
        self.work = Work::Applying(document);
    }

    pub(super) fn applied(&mut self, now: Nanos, result: Result<(), Rejection>, actions: &mut Vec<Action>) {
        let document = match std::mem::replace(&mut self.work, Work::Idle) {
            Work::Applying(document) => document,
            other => return self.work = other,
        };
        let announcement = document.announcement;
        match result {
            Ok(()) => {
                self.in_force = Some(document);
                (self.refused, self.in_force_set_aside) = (None, false);
                // The report goes out early because other nodes look for sources of this revision.
                self.report_at = self.report_at.min(now + self.rng.u64(0..MAX_IN_FORCE_REPORT_DELAY));
                actions.push(Action::Notify(Notification::InForce(announcement)));
            }
            Err(Rejection(reason)) => self.refuse(announcement, reason, actions),
        }
    }

    fn refuse(&mut self, announcement: Announcement, reason: String, actions: &mut Vec<Action>) {
        self.refused = Some((announcement.id, reason.clone()));
        actions.push(Action::Notify(Notification::Refused(announcement.id, reason)));
    }
}
