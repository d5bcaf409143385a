//! What goes to the disk, one write at a time; serving depends on none.

use super::{Action, Distribution, Notification};
use crate::bounds::{SAVE_INTERVAL, SAVE_RETRY_DELAY};
use crate::config::Nanos;
use crate::revision::RevisionId;
use crate::stored_state::FileWrite;

/// What is on the disk, and on its way there.
#[derive(Debug, Default)]
pub struct Saving {
    on_disk: Option<RevisionId>,
    under_way: Option<FileWrite>,
    staged: Option<FileWrite>, // wanted
    instead: Option<FileWrite>,
    next: Nanos,
    failing: bool,
}

impl Saving {
    /// The disk held this revision at the start.
    pub fn has(&mut self, id: RevisionId) {
        self.on_disk = Some(id);
    }

    /// Wants all that is staged written, at once.
    pub fn stage(&mut self, write: FileWrite) {
        self.staged = Some(write);
    }

    /// Wants this done before the next revision is written.
    pub fn instead(&mut self, write: FileWrite) {
        self.instead = Some(write);
        self.on_disk = None;
    }

    /// Whether what is staged is not durable yet.
    pub fn wants_staged(&self) -> bool {
        self.staged.is_some() || matches!(self.under_way, Some(FileWrite::Staged(_)))
    }

    /// Whether the disk has failed the last write.
    pub fn is_failing(&self) -> bool {
        self.failing
    }
}

impl Distribution {
    fn unsaved(&self) -> Option<FileWrite> {
        let document = self.in_force.as_ref().filter(|_| !self.forsaken)?;
        let saved = self.saving.on_disk == Some(document.announcement.id);
        (!saved).then(|| FileWrite::InForce(document.clone()))
    }

    pub(super) fn saving_due(&self) -> Option<Nanos> {
        let wants = self.saving.staged.is_some() || self.saving.instead.is_some() || self.unsaved().is_some();
        (self.tuning.disk && wants && self.saving.under_way.is_none()).then_some(self.saving.next)
    }

    /// Begins the next write if one is wanted and none is under way.
    pub(super) fn save(&mut self, now: Nanos, out: &mut Vec<Action>) {
        if !self.tuning.disk || self.saving.under_way.is_some() {
            return;
        }
        // Somebody waits for what is staged; after a failure all is tried again at one pace.
        let write = match self.saving.staged.take_if(|_| !self.saving.failing || now >= self.saving.next) {
            Some(staged) => staged,
            None if now < self.saving.next => return,
            None => match self.saving.instead.take().or_else(|| self.unsaved()) {
                Some(write) => write,
                None => return,
            },
        };
        self.saving.under_way = Some(write.clone());
        out.push(Action::Persist(write));
    }

    pub(super) fn persisted(&mut self, now: Nanos, durable: bool, out: &mut Vec<Action>) {
        let Some(write) = self.saving.under_way.take() else { return };
        if durable == self.saving.failing {
            self.saving.failing = !durable;
            out.push(Action::Notify(Notification::StorageAvailable(durable)));
        }
        if !durable {
            self.saving.next = now + SAVE_RETRY_DELAY;
            match write {
                FileWrite::Staged(_) if self.saving.staged.is_none() => self.saving.staged = Some(write),
                FileWrite::SetAside => self.saving.instead = Some(write),
                _ => {}
            }
            return;
        }
        if let FileWrite::InForce(document) = write {
            self.saving.on_disk = Some(document.announcement.id);
            self.saving.next = now + SAVE_INTERVAL;
        }
    }
}
