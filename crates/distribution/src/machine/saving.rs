//! Disk writes, one at a time. Serving does not depend on any of them.

use super::{Action, Distribution, Notification};
use crate::bounds::{SAVE_INTERVAL, SAVE_RETRY_DELAY};
use crate::config::Nanos;
use crate::revision::RevisionId;
use crate::stored_state::FileWrite;

/// Disk writes that are pending or in progress.
#[derive(Debug, Default)]
pub struct SaveState {
    saved_id: Option<RevisionId>,
    in_progress: Option<FileWrite>,
    staged: Option<FileWrite>, // pending write of staged content
    set_aside: Option<FileWrite>,
    next_write_at: Nanos,
    failing: bool,
}

impl SaveState {
    /// Records that the disk held this revision at the start.
    pub fn restored(&mut self, id: RevisionId) {
        self.saved_id = Some(id);
    }

    /// Requests an immediate write of all staged content.
    pub fn request_staged(&mut self, write: FileWrite) {
        self.staged = Some(write);
    }

    /// Requests that the file of the revision in force is set aside before the next revision is written.
    pub fn request_set_aside(&mut self, write: FileWrite) {
        self.set_aside = Some(write);
        self.saved_id = None;
    }

    /// Returns whether the staged content is not durable yet.
    pub fn is_staged_pending(&self) -> bool {
        self.staged.is_some() || matches!(self.in_progress, Some(FileWrite::Staged(_)))
    }

    /// Returns whether the last write failed.
    pub fn is_failing(&self) -> bool {
        self.failing
    }
}

impl Distribution {
    fn unsaved(&self) -> Option<FileWrite> {
        let document = self.in_force.as_ref().filter(|_| !self.in_force_set_aside)?;
        let saved = self.saving.saved_id == Some(document.announcement.id);
        (!saved).then(|| FileWrite::InForce(document.clone()))
    }

    pub(super) fn saving_due(&self) -> Option<Nanos> {
        let has_pending =
            self.saving.staged.is_some() || self.saving.set_aside.is_some() || self.unsaved().is_some();
        (self.tuning.disk && has_pending && self.saving.in_progress.is_none())
            .then_some(self.saving.next_write_at)
    }

    /// Starts the next pending write if none is in progress.
    pub(super) fn save(&mut self, now: Nanos, actions: &mut Vec<Action>) {
        if !self.tuning.disk || self.saving.in_progress.is_some() {
            return;
        }
        // A publisher waits for staged content, so it is written at once; after a failure all writes share one retry
        // delay.
        let write =
            match self.saving.staged.take_if(|_| !self.saving.failing || now >= self.saving.next_write_at) {
                Some(staged) => staged,
                None if now < self.saving.next_write_at => return,
                None => match self.saving.set_aside.take().or_else(|| self.unsaved()) {
                    Some(write) => write,
                    None => return,
                },
            };
        self.saving.in_progress = Some(write.clone());
        actions.push(Action::Persist(write));
    }

    pub(super) fn persisted(&mut self, now: Nanos, durable: bool, actions: &mut Vec<Action>) {
        let Some(write) = self.saving.in_progress.take() else { return };
        if durable == self.saving.failing {
            self.saving.failing = !durable;
            actions.push(Action::Notify(Notification::StorageAvailable(durable)));
        }
        if !durable {
            self.saving.next_write_at = now + SAVE_RETRY_DELAY;
            match write {
                FileWrite::Staged(_) if self.saving.staged.is_none() => self.saving.staged = Some(write),
                FileWrite::SetAside => self.saving.set_aside = Some(write),
                _ => {}
            }
            return;
        }
        if let FileWrite::InForce(document) = write {
            self.saving.saved_id = Some(document.announcement.id);
            self.saving.next_write_at = now + SAVE_INTERVAL;
        }
    }
}
