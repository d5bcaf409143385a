//! How the first group of an epoch comes to be, without anybody who remembers.

use std::collections::BTreeMap;

use super::{Action, ReplicatedLog};
use crate::config::{Defect, Nanos, MS, SECOND};
use crate::wire::{Body, Group};

const BOOTSTRAP_DELAY: Nanos = 2 * SECOND; // from the start on: an older group may be heard of until then
const ASK_INTERVAL: Nanos = 500 * MS;
const CANDIDATE_REPORT_TTL: Nanos = 1_500 * MS;

/// What a candidate last said.
#[derive(Clone, Copy, Debug)]
pub struct CandidateReport {
    pub received: Nanos,
    pub holds_slot: bool,
    pub voter: u64,
    pub group: Group,
    pub index: u64,
}

impl ReplicatedLog {
    /// A voter slot in a group that can decide no more is free: so many of its voters' nodes vote by other numbers that
    /// less than a majority is left.
    pub(super) fn release_slot_of_lost_group(&mut self, now: Nanos, out: &mut Vec<Action>) {
        let lost = |replica: &crate::replica::Replica| replica.engaged && replica.leader().is_none();
        if now < self.deadlines.release_check || !self.replica.as_ref().is_some_and(lost) {
            return;
        }
        self.deadlines.release_check = now + ASK_INTERVAL;
        let others: Vec<_> =
            self.identity.candidates.iter().filter(|name| **name != self.identity.name).cloned().collect();
        others.iter().for_each(|name| self.send(name, Body::Ask, out));
        self.candidate_reports.retain(|_, word| now.saturating_sub(word.received) <= CANDIDATE_REPORT_TTL);
        let voters = &self.applied.voters;
        let gone = |(number, name): &(&u64, &String)| {
            self.candidate_reports
                .get(name.as_str())
                .is_some_and(|word| word.voter != **number && word.voter != 0)
        };
        let left = voters.len() - voters.iter().filter(gone).count();
        if left < voters.len() / 2 + 1 {
            if let Some(replica) = &mut self.replica {
                replica.engaged = false;
            }
        }
    }

    /// Asks the other candidates, and founds a group where so many hold none that no older one can still decide, and
    /// nobody among them is better placed: the one whose state goes furthest, then the first of the names.
    pub(super) fn try_form_group(&mut self, now: Nanos, out: &mut Vec<Action>) {
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
        others.iter().for_each(|name| self.send(name, Body::Ask, out));
        self.candidate_reports.retain(|_, word| now.saturating_sub(word.received) <= CANDIDATE_REPORT_TTL);
        let alone = self.tuning.defect == Some(Defect::FoundsAlone);
        if now < self.started + BOOTSTRAP_DELAY || self.state_fetch.is_some() {
            return;
        }
        // What anybody holds goes into the new group, also what one holds whose own group can decide no more.
        let own = (self.applied.epoch, self.applied.index);
        let further = self.candidate_reports.iter().find(|(_, word)| (word.group.epoch, word.index) > own);
        if let Some(name) = further.map(|(name, _)| name.clone()) {
            return self.pull_from(now, name, out);
        }
        let none = 1 + self.candidate_reports.values().filter(|word| !word.holds_slot).count();
        if none < self.identity.founding_quorum().max(self.identity.majority()) && !alone {
            return;
        }
        let first =
            &self.identity.candidates[..self.identity.voter_count.min(self.identity.candidates.len())];
        let place = |name: &str| first.iter().position(|of| **of == *name);
        let Some(own) = place(&self.identity.name) else { return };
        let rank = |group: Group, index: u64, place: usize| (group.epoch, index, usize::MAX - place);
        let mine = rank(self.group(), self.applied.index, own);
        let better = |(name, word): (&crate::config::Name, &CandidateReport)| {
            let place = place(name).unwrap_or(usize::MAX);
            !word.holds_slot && rank(word.group, word.index, place) > mine
        };
        if self.candidate_reports.iter().any(better) && !alone {
            return;
        }
        let held = |name: &str| {
            self.candidate_reports.get(name).filter(|word| !word.holds_slot).map(|word| word.voter)
        };
        let mut voters: BTreeMap<u64, String> = BTreeMap::new();
        for name in first {
            // The group has its full size from the start, or two halves of the candidates could each make one: a voter
            // slot of one that is not there stands empty until it is replaced.
            let number = if *name == self.identity.name { Some(self.voter) } else { held(name) };
            voters.insert(number.unwrap_or_else(|| self.rng.u64(1..)), name.to_string());
        }
        if alone {
            voters = [(self.voter, self.identity.name.to_string())].into();
        }
        let number = self.rng.u64(1..);
        self.applied = std::mem::take(&mut self.applied).with_new_group(number, voters);
        self.recent_entries.clear();
        (self.latest_announced, self.offered_state) = (self.applied.index, None);
        out.push(Action::Notify(super::Notification::StateReplaced(self.group(), self.applied.index)));
        self.update_voter_slot(now, out);
    }
}
