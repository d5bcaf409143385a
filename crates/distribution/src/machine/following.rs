//! What the agreed log announces.

use super::{Action, Distribution, LogState, Notification, Work};
use crate::bounds::{MAX_ANNOUNCEMENTS, SET_ASIDE_DELAY};
use crate::config::{Defect, Nanos};
use crate::revision::{Announcement, RevisionId};
use crate::stored_state::FileWrite;

impl Distribution {
    pub(super) fn follow(&mut self, now: Nanos, state: LogState, out: &mut Vec<Action>) {
        let before = std::mem::replace(&mut self.log, state);
        if state.fresh {
            self.log_heard = Some(now);
        }
        if let Some(announcement) = state.announcement {
            self.announcements.insert(announcement.id, announcement);
            if self.announcements.len() > MAX_ANNOUNCEMENTS {
                self.announcements.pop_first();
            }
        }
        if !self.is_contradicted() {
            self.contradicted = None;
        } else if state.fresh && self.contradicted.is_none() {
            self.contradicted = Some(now);
        }
        if before.announcement != state.announcement && self.log_is_lower() {
            let id = state.announcement.map_or_else(RevisionId::default, |announcement| announcement.id);
            out.push(Action::Notify(Notification::LogBehind(id)));
        }
    }

    /// The revision that is to be in force next, if there is one.
    pub(super) fn target(&self) -> Option<Announcement> {
        let latest = self.log.announcement?;
        if self.tuning.defect == Some(Defect::AppliesLower) {
            return Some(latest).filter(|latest| self.held_id() != Some(latest.id));
        }
        let refused = self.refused.as_ref().map(|(id, _)| *id);
        let floor = self.held_id().max(refused);
        Some(latest).filter(|latest| Some(latest.id) > floor)
    }

    pub(super) fn held_id(&self) -> Option<RevisionId> {
        self.held.as_ref().map(|held| held.announcement.id)
    }

    fn log_is_lower(&self) -> bool {
        let announced = self.log.announcement.map(|announcement| announcement.id);
        self.log.fresh && self.held_id() > announced
    }

    /// Whether the log of this epoch, or of an earlier one, does not have what is held: no log that was founded anew has
    /// lost it, so it is not from here.
    fn is_contradicted(&self) -> bool {
        let Some(held) = self.held.as_ref().map(|held| held.announcement) else { return false };
        let other_content = self
            .log
            .announcement
            .is_some_and(|announcement| announcement.id == held.id && announcement.digest != held.digest);
        other_content || self.log_is_lower() && held.id.epoch >= self.log.epoch
    }

    /// Sets aside what was held for long enough against a fresh log.
    pub(super) fn weigh_set_aside(&mut self, now: Nanos, out: &mut Vec<Action>) {
        if self.contradicted.is_none_or(|since| now < since + SET_ASIDE_DELAY) {
            return;
        }
        self.contradicted = None;
        if !self.is_contradicted() || !self.work.is_idle() {
            return;
        }
        let Some(held) = self.held.take() else { return };
        let announced =
            self.log.announcement.map_or_else(RevisionId::default, |announcement| announcement.id);
        let why = format!(
            "the log of epoch {} announces {announced} and nothing later: this revision is not from it",
            self.log.epoch
        );
        let id = held.announcement.id;
        self.forsaken = true;
        self.set_aside = Some((id, why.clone()));
        self.refused = None;
        self.history.clear();
        self.saving.instead(FileWrite::SetAside);
        self.work = Work::Idle;
        out.push(Action::Notify(Notification::SetAside(id, why)));
    }
}
