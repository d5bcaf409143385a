//! From fetched content to a revision in force: compose, verify, apply.

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

/// A document that deltas may lead on from. Nobody has to vouch for it: what is applied is the result, whose digest the
/// log announces.
#[derive(Debug)]
pub struct UnverifiedBase {
    /// Which revision it is said to be.
    pub id: RevisionId,
    /// Its digest.
    pub digest: Digest,
    /// It.
    pub bytes: Arc<[u8]>,
}

/// What the machine is busy with on the way to the next revision.
#[derive(Debug)]
pub enum Work {
    /// Nothing.
    Idle,
    /// Its content is being fetched.
    Fetching(Box<Fetch>),
    /// Deltas are being applied to a copy.
    Composing {
        /// What they have to result in.
        target: Announcement,
        /// Them.
        chain: Vec<ChainLink>,
    },
    /// The host is putting it in force.
    Applying(Document),
}

impl Work {
    /// Whether there is nothing under way.
    pub fn is_idle(&self) -> bool {
        matches!(self, Work::Idle)
    }

    /// The fetch under way, if that is what it is; nothing is under way then.
    pub fn take_fetch(&mut self) -> Option<Box<Fetch>> {
        match std::mem::replace(self, Work::Idle) {
            Work::Fetching(fetch) => Some(fetch),
            other => {
                *self = other;
                None
            }
        }
    }

    /// In a line.
    pub fn describe(&self) -> String {
        match self {
            Work::Idle => "idle".to_owned(),
            Work::Fetching(fetch) => format!("fetches {} at attempt {}", fetch.target.id, fetch.attempt),
            Work::Composing { target, chain } => format!("composes {} of {}", target.id, chain.len()),
            Work::Applying(document) => format!("applies {}", document.announcement.id),
        }
    }
}

impl Distribution {
    /// What the disk held comes into force before anything is heard.
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

    /// Begins with the next revision where nothing is under way, and goes on with what is.
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
            "its format is {format}; this version knows up to {}: upgrade this node",
            self.tuning.max_format
        )
    }

    fn start_work(&mut self, now: Nanos, target: Announcement, actions: &mut Vec<Action>) {
        if target.format > self.tuning.max_format {
            return self.refuse(target, self.unknown_format(target.format), actions);
        }
        // Going back and forth gives the same document again.
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

    /// Content that was staged here and leads to this revision.
    fn staged_target(&self, target: &Announcement) -> Option<&StagedContent> {
        let base = self.base_digest();
        let leads = |staged: &&StagedContent| {
            let applicable = staged.transfer.kind == TransferKind::Snapshot || staged.base == base;
            staged.announcement == *target && applicable
        };
        self.staged.iter().map(|(_, staged)| staged).find(leads)
    }

    /// Fetches no longer what is not coming, where a later revision is staged here.
    fn stop_for_staged(&mut self) {
        let Work::Fetching(fetch) = &self.work else { return };
        let staged = self.target().is_some_and(|target| self.staged_target(&target).is_some());
        if staged && !fetch.is_downloading() {
            self.work = Work::Idle;
        }
    }

    /// All of a transfer has come, and has the digest that it was offered with.
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

    /// Compares a document with what is announced, and has it applied if it is that.
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

    /// Deltas, or what was staged, did not lead to the announced digest.
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

    /// The digest of what deltas can be applied to here.
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
                // Others look for it.
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
