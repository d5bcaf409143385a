//! Reaction to announcements in the replicated log.

use super::{Action, Distribution, LogState, Notification, Work};
use crate::bounds::{MAX_ANNOUNCEMENTS, SET_ASIDE_DELAY};
use crate::config::{Defect, Nanos};
use crate::revision::{Announcement, RevisionId};
use crate::stored_state::FileWrite;

impl Distribution {
    pub(super) fn log_changed(&mut self, now: Nanos, state: LogState, actions: &mut Vec<Action>) {
        let before = std::mem::replace(&mut self.log, state);
        if state.fresh {
            self.log_fresh_at = Some(now);
        }
        if let Some(announcement) = state.announcement {
            self.announcements.insert(announcement.id, announcement);
            if self.announcements.len() > MAX_ANNOUNCEMENTS {
                self.announcements.pop_first();
            }
        }
        if !self.is_contradicted() {
            self.contradicted_since = None;
        } else if state.fresh && self.contradicted_since.is_none() {
            self.contradicted_since = Some(now);
        }
        if before.announcement != state.announcement && self.is_log_behind() {
            let id = state.announcement.map_or_else(RevisionId::default, |announcement| announcement.id);
            actions.push(Action::Notify(Notification::LogBehind(id)));
        }
    }

    /// Returns the revision to put in force next, if there is one.
    pub(super) fn target(&self) -> Option<Announcement> {
        let latest = self.log.announcement?;
        if self.tuning.defect == Some(Defect::AppliesLower) {
            return Some(latest).filter(|latest| self.verified_id() != Some(latest.id));
        }
        let refused = self.refused.as_ref().map(|(id, _)| *id);
        let floor = self.verified_id().max(refused);
        Some(latest).filter(|latest| Some(latest.id) > floor)
    }

    pub(super) fn verified_id(&self) -> Option<RevisionId> {
        self.verified.as_ref().map(|verified| verified.announcement.id)
    }

    fn is_log_behind(&self) -> bool {
        let announced = self.log.announcement.map(|announcement| announcement.id);
        self.log.fresh && self.verified_id() > announced
    }

    /// Returns whether a log of the same or an earlier epoch lacks the verified revision. Only a log that was created
    /// anew may have lost it, and such a log has a higher epoch; so the revision is from another log.
    fn is_contradicted(&self) -> bool {
        let Some(verified) = self.verified.as_ref().map(|verified| verified.announcement) else {
            return false;
        };
        let other_content = self.log.announcement.is_some_and(|announcement| {
            announcement.id == verified.id && announcement.digest != verified.digest
        });
        other_content || self.is_log_behind() && verified.id.epoch >= self.log.epoch
    }

    /// Sets aside a revision that a fresh log has contradicted for [`SET_ASIDE_DELAY`].
    pub(super) fn set_aside_contradicted(&mut self, now: Nanos, actions: &mut Vec<Action>) {
        if self.contradicted_since.is_none_or(|since| now < since + SET_ASIDE_DELAY) {
            return;
        }
        self.contradicted_since = None;
        if !self.is_contradicted() || !self.work.is_idle() {
            return;
        }
        let Some(verified) = self.verified.take() else { return };
        let announced =
            self.log.announcement.map_or_else(RevisionId::default, |announcement| announcement.id);
        let reason = format!(
            "the log of epoch {} announces {announced} as the latest; this revision is not from that log",
            self.log.epoch
        );
        let id = verified.announcement.id;
        self.in_force_set_aside = true;
        self.set_aside = Some((id, reason.clone()));
        self.refused = None;
        self.history.clear();
        self.saving.request_set_aside(FileWrite::SetAside);
        self.work = Work::Idle;
        actions.push(Action::Notify(Notification::SetAside(id, reason)));
    }
}
