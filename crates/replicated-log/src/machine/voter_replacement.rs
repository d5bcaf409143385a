//! Who votes: voter slots of processes that are gone go to candidates that have caught up, one at a time.

use std::collections::BTreeSet;

use super::{Action, ReplicatedLog};
use crate::config::{Name, Nanos, SECOND};

const CAUGHT_UP_ENTRIES: u64 = 64; // entries behind, within which a candidate has caught up
const CANDIDATE_REPORT_TTL: Nanos = 3 * SECOND;

impl ReplicatedLog {
    /// The leader asks the candidates, and proposes one change where one is due.
    pub(super) fn replace_voters(&mut self, now: Nanos, out: &mut Vec<Action>) {
        if self.leading_term().is_none() || self.replica.as_ref().is_some_and(|replica| replica.is_saving()) {
            self.unavailable_since.clear();
            return;
        }
        let asked: Vec<Name> =
            self.identity.candidates.iter().filter(|name| **name != self.identity.name).cloned().collect();
        asked.iter().for_each(|name| self.send(name, crate::wire::Body::Ask, out));
        self.candidate_reports.retain(|_, word| now.saturating_sub(word.received) <= CANDIDATE_REPORT_TTL);
        // A voter slot is empty while its node is dead here, or says that it votes by another number.
        let voters = self.applied.voters.clone();
        let empty = |number: u64, name: &str| {
            let dead = self.peers.get(name).is_none_or(|peer| !peer.alive);
            let other = self.candidate_reports.get(name).is_some_and(|word| word.voter != number);
            number != self.voter && (dead || other)
        };
        let empty: BTreeSet<u64> =
            voters.iter().filter(|(number, name)| empty(**number, name)).map(|(number, _)| *number).collect();
        self.unavailable_since.retain(|number, _| empty.contains(number));
        for number in &empty {
            self.unavailable_since.entry(*number).or_insert(now);
        }
        let Some(candidate) = self.choose_candidate(&voters.values().cloned().collect(), &empty) else {
            return;
        };
        if voters.len() < self.identity.voter_count {
            let (number, name) = candidate;
            let (Some(replica), name) = (&mut self.replica, name.to_string()) else { return };
            replica.propose_voter(number, Some(&name));
            return self.process_ready(now, out);
        }
        let long = |since: &Nanos| now.saturating_sub(*since) >= self.tuning.replace_after;
        // One that is back under another number has lost what it knew for good: its voter slot need not wait.
        let back = |number: &u64| {
            voters
                .get(number)
                .and_then(|name| self.candidate_reports.get(name.as_str()))
                .is_some_and(|word| word.voter != *number)
        };
        let due = self
            .unavailable_since
            .iter()
            .find(|(number, since)| long(since) || back(number))
            .map(|(number, _)| *number);
        if let (Some(number), Some(replica)) = (due, &mut self.replica) {
            replica.propose_voter(number, None);
            self.process_ready(now, out);
        }
    }

    /// A candidate that has caught up and holds no voter slot, from where fewest voters are: zone, then machine.
    fn choose_candidate(&self, voter_names: &BTreeSet<String>, empty: &BTreeSet<u64>) -> Option<(u64, Name)> {
        let kept = self.applied.voters.iter().filter(|(number, _)| !empty.contains(number));
        let kept: BTreeSet<&str> = kept.map(|(_, name)| name.as_str()).collect();
        let fits = |name: &&Name| {
            let word = self.candidate_reports.get(*name)?;
            let alive = self.peers.get(*name).is_some_and(|peer| peer.alive);
            let close = word.group == self.group() && word.index + CAUGHT_UP_ENTRIES >= self.applied.index;
            let free = !word.holds_slot && !kept.contains(&***name);
            (alive && close && free && !self.applied.voters.contains_key(&word.voter)).then_some(word.voter)
        };
        let crowd = |name: &Name| {
            let Some(peer) = self.peers.get(name) else { return (usize::MAX, usize::MAX) };
            let others = kept.iter().filter_map(|other| self.peers.get(*other));
            let others: Vec<_> = others.collect();
            let zone = others.iter().filter(|other| other.zone == peer.zone).count();
            let machine =
                others.iter().filter(|other| other.zone == peer.zone && other.machine == peer.machine);
            (zone, machine.count())
        };
        let free = self.identity.candidates.iter().filter(|name| fits(name).is_some());
        // Among equals one whose name has no voter slot yet to give up.
        let best = free.min_by_key(|name| (crowd(name), voter_names.contains(&***name)))?;
        fits(&best).map(|number| (number, best.clone()))
    }
}
