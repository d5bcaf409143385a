//! Forming the first group of an epoch (bootstrap), without relying on anything that a node has stored.

use std::collections::BTreeMap;

use super::{Action, ReplicatedLog};
use crate::config::{Defect, Nanos, MS, SECOND};
use crate::wire::{Body, Group};

/// Time from the start of a node until it may form a group; until then it may learn of an existing one.
const BOOTSTRAP_DELAY: Nanos = 2 * SECOND;
/// Interval between two questions to the other candidates.
const ASK_INTERVAL: Nanos = 500 * MS;
/// Reports older than this do not count towards forming a group.
const CANDIDATE_REPORT_TTL: Nanos = 1_500 * MS;

/// The last answer of a candidate to [`Body::Ask`].
#[derive(Clone, Copy, Debug)]
pub struct CandidateReport {
    /// When the answer was received.
    pub received: Nanos,
    /// Whether the candidate holds a voter slot, or its disk may still hold one.
    pub holds_slot: bool,
    /// The number by which the candidate votes or would vote; 0 if nobody may rely on it.
    pub voter: u64,
    /// The group that owns the candidate's log.
    pub group: Group,
    /// Index of the last entry that the candidate has applied.
    pub index: u64,
}

impl ReplicatedLog {
    /// Allows the replica to leave a group that can no longer decide, because the nodes of so many of its voters vote
    /// under other numbers that less than a majority is left.
    pub(super) fn release_slot_of_lost_group(&mut self, now: Nanos, actions: &mut Vec<Action>) {
        let has_no_leader = |replica: &crate::replica::Replica| replica.engaged && replica.leader().is_none();
        if now < self.deadlines.release_check || !self.replica.as_ref().is_some_and(has_no_leader) {
            return;
        }
        self.deadlines.release_check = now + ASK_INTERVAL;
        let others: Vec<_> =
            self.identity.candidates.iter().filter(|name| **name != self.identity.name).cloned().collect();
        others.iter().for_each(|name| self.send(name, Body::Ask, actions));
        self.candidate_reports
            .retain(|_, report| now.saturating_sub(report.received) <= CANDIDATE_REPORT_TTL);
        let voters = &self.applied.voters;
        let renumbered = |(number, name): &(&u64, &String)| {
            self.candidate_reports
                .get(name.as_str())
                .is_some_and(|report| report.voter != **number && report.voter != 0)
        };
        let remaining = voters.len() - voters.iter().filter(renumbered).count();
        if remaining < voters.len() / 2 + 1 {
            if let Some(replica) = &mut self.replica {
                replica.engaged = false;
            }
        }
    }

    /// Asks the other candidates whether they hold a voter slot. Forms a new group if so many hold none that no older
    /// group can still decide, and if this node ranks first among them: by the most advanced state, then by the order
    /// of the candidates.
    pub(super) fn try_form_group(&mut self, now: Nanos, actions: &mut Vec<Action>) {
        if self.may_hold_replica()
            || !self.identity.is_candidate()
            || self.rejoin_confirmations.is_some()
            || now < self.deadlines.ask
        {
            return;
        }
        self.deadlines.ask = now + ASK_INTERVAL;
        let others: Vec<_> =
            self.identity.candidates.iter().filter(|name| **name != self.identity.name).cloned().collect();
        others.iter().for_each(|name| self.send(name, Body::Ask, actions));
        self.candidate_reports
            .retain(|_, report| now.saturating_sub(report.received) <= CANDIDATE_REPORT_TTL);
        let skip_quorum = self.tuning.defect == Some(Defect::FoundsAlone);
        if now < self.started + BOOTSTRAP_DELAY || self.state_fetch.is_some() {
            return;
        }
        // The new group must contain everything that any candidate has applied, even in a group that can no longer
        // decide. So a more advanced state is fetched first.
        let local = (self.applied.epoch, self.applied.index);
        let more_advanced =
            self.candidate_reports.iter().find(|(_, report)| (report.group.epoch, report.index) > local);
        if let Some(name) = more_advanced.map(|(name, _)| name.clone()) {
            return self.pull_from(now, name, actions);
        }
        let without_slot = 1 + self.candidate_reports.values().filter(|report| !report.holds_slot).count();
        if without_slot < self.identity.founding_quorum().max(self.identity.majority()) && !skip_quorum {
            return;
        }
        let initial_candidates =
            &self.identity.candidates[..self.identity.voter_count.min(self.identity.candidates.len())];
        let place = |name: &str| initial_candidates.iter().position(|candidate| **candidate == *name);
        let Some(local_place) = place(&self.identity.name) else { return };
        let rank = |group: Group, index: u64, place: usize| (group.epoch, index, usize::MAX - place);
        let local_rank = rank(self.group(), self.applied.index, local_place);
        let ranks_higher = |(name, report): (&crate::config::Name, &CandidateReport)| {
            let place = place(name).unwrap_or(usize::MAX);
            !report.holds_slot && rank(report.group, report.index, place) > local_rank
        };
        if self.candidate_reports.iter().any(ranks_higher) && !skip_quorum {
            return;
        }
        let announced_number = |name: &str| {
            self.candidate_reports.get(name).filter(|report| !report.holds_slot).map(|report| report.voter)
        };
        let mut voters: BTreeMap<u64, String> = BTreeMap::new();
        for name in initial_candidates {
            // The group has its full size from the start. Otherwise two halves of the candidates could form one group
            // each. The slot of an unavailable candidate gets an unused number and stays empty until it is replaced.
            let number = if *name == self.identity.name { Some(self.voter) } else { announced_number(name) };
            voters.insert(number.unwrap_or_else(|| self.rng.u64(1..)), name.to_string());
        }
        if skip_quorum {
            voters = [(self.voter, self.identity.name.to_string())].into();
        }
        let number = self.rng.u64(1..);
        self.applied = std::mem::take(&mut self.applied).with_new_group(number, voters);
        self.recent_entries.clear();
        (self.latest_announced, self.offered_state) = (self.applied.index, None);
        actions.push(Action::Notify(super::Notification::StateReplaced(self.group(), self.applied.index)));
        self.update_voter_slot(now, actions);
    }
}
