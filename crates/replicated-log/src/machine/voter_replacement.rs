//! Replacement of voters: the slots of unavailable voters are given to candidates that have caught up, one at a time.

use std::collections::BTreeSet;

use super::{Action, ReplicatedLog};
use crate::config::{Name, Nanos, SECOND};

/// A candidate counts as caught up if it is at most this many entries behind.
const CAUGHT_UP_ENTRIES: u64 = 64;
/// Reports older than this do not count.
const CANDIDATE_REPORT_TTL: Nanos = 3 * SECOND;

impl ReplicatedLog {
    /// On the leader: asks the candidates for their reports and proposes a change of voters if one is due.
    pub(super) fn replace_voters(&mut self, now: Nanos, actions: &mut Vec<Action>) {
        if self.leading_term().is_none() || self.replica.as_ref().is_some_and(|replica| replica.is_saving()) {
            self.unavailable_since.clear();
            return;
        }
        let others: Vec<Name> =
            self.identity.candidates.iter().filter(|name| **name != self.identity.name).cloned().collect();
        others.iter().for_each(|name| self.send(name, crate::wire::Body::Ask, actions));
        self.candidate_reports
            .retain(|_, report| now.saturating_sub(report.received) <= CANDIDATE_REPORT_TTL);
        // A voter is unavailable while its node is considered dead or reports another voter number.
        let voters = self.applied.voters.clone();
        let unavailable = |number: u64, name: &str| {
            let dead = self.peers.get(name).is_none_or(|peer| !peer.alive);
            let renumbered = self.candidate_reports.get(name).is_some_and(|report| report.voter != number);
            number != self.voter && (dead || renumbered)
        };
        let unavailable: BTreeSet<u64> = voters
            .iter()
            .filter(|(number, name)| unavailable(**number, name))
            .map(|(number, _)| *number)
            .collect();
        self.unavailable_since.retain(|number, _| unavailable.contains(number));
        for number in &unavailable {
            self.unavailable_since.entry(*number).or_insert(now);
        }
        let Some(candidate) = self.choose_candidate(&voters.values().cloned().collect(), &unavailable) else {
            return;
        };
        if voters.len() < self.identity.voter_count {
            let (number, name) = candidate;
            let (Some(replica), name) = (&mut self.replica, name.to_string()) else { return };
            replica.propose_voter(number, Some(&name));
            return self.process_ready(now, actions);
        }
        let overdue = |since: &Nanos| now.saturating_sub(*since) >= self.tuning.replace_after;
        // A node that is back under another number has lost its replica for good, so its old slot need not wait.
        let has_new_number = |number: &u64| {
            voters
                .get(number)
                .and_then(|name| self.candidate_reports.get(name.as_str()))
                .is_some_and(|report| report.voter != *number)
        };
        let due = self
            .unavailable_since
            .iter()
            .find(|(number, since)| overdue(since) || has_new_number(number))
            .map(|(number, _)| *number);
        if let (Some(number), Some(replica)) = (due, &mut self.replica) {
            replica.propose_voter(number, None);
            self.process_ready(now, actions);
        }
    }

    /// Chooses a candidate that has caught up and holds no voter slot, from the zone, then the machine, with the fewest
    /// available voters. Returns its voter number and its name.
    fn choose_candidate(
        &self, voter_names: &BTreeSet<String>, unavailable: &BTreeSet<u64>,
    ) -> Option<(u64, Name)> {
        let available = self.applied.voters.iter().filter(|(number, _)| !unavailable.contains(number));
        let available: BTreeSet<&str> = available.map(|(_, name)| name.as_str()).collect();
        let free_number = |name: &&Name| {
            let report = self.candidate_reports.get(*name)?;
            let alive = self.peers.get(*name).is_some_and(|peer| peer.alive);
            let caught_up =
                report.group == self.group() && report.index + CAUGHT_UP_ENTRIES >= self.applied.index;
            let free = !report.holds_slot && !available.contains(&***name);
            (alive && caught_up && free && !self.applied.voters.contains_key(&report.voter))
                .then_some(report.voter)
        };
        let nearby_voters = |name: &Name| {
            let Some(peer) = self.peers.get(name) else { return (usize::MAX, usize::MAX) };
            let others = available.iter().filter_map(|other| self.peers.get(*other));
            let others: Vec<_> = others.collect();
            let zone = others.iter().filter(|other| other.zone == peer.zone).count();
            let machine =
                others.iter().filter(|other| other.zone == peer.zone && other.machine == peer.machine);
            (zone, machine.count())
        };
        let free = self.identity.candidates.iter().filter(|name| free_number(name).is_some());
        // Among equals, candidates whose name does not occupy a slot yet are preferred.
        let best = free.min_by_key(|name| (nearby_voters(name), voter_names.contains(&***name)))?;
        free_number(&best).map(|number| (number, best.clone()))
    }
}
