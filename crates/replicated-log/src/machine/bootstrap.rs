//! How the first group of an epoch comes to be, without anybody who remembers.

use std::collections::BTreeMap;

use super::{Action, ReplicatedLog};
use crate::config::{Defect, Nanos, MS, SECOND};
use crate::wire::{Body, Group};

const FOUND_AFTER: Nanos = 2 * SECOND; // from the start on: an older group may be heard of until then
const ASK_EVERY: Nanos = 500 * MS;
const WORD_LASTS: Nanos = 1_500 * MS;

/// What a candidate last said.
#[derive(Clone, Copy, Debug)]
pub struct Word {
    pub at: Nanos,
    pub holds: bool,
    pub voter: u64,
    pub group: Group,
    pub index: u64,
}

impl ReplicatedLog {
    /// A voter slot in a group that can decide no more is free: so many of its voters' nodes vote by other numbers that
    /// less than a majority is left.
    pub(super) fn free(&mut self, now: Nanos, out: &mut Vec<Action>) {
        let lost = |replica: &crate::replica::Replica| replica.engaged && replica.leader().is_none();
        if now < self.next.free || !self.replica.as_ref().is_some_and(lost) {
            return;
        }
        self.next.free = now + ASK_EVERY;
        let others: Vec<_> =
            self.id.candidates.iter().filter(|name| **name != self.id.name).cloned().collect();
        others.iter().for_each(|name| self.send(name, Body::Ask, out));
        self.words.retain(|_, word| now.saturating_sub(word.at) <= WORD_LASTS);
        let voters = &self.applied.voters;
        let gone = |(number, name): &(&u64, &String)| {
            self.words.get(name.as_str()).is_some_and(|word| word.voter != **number && word.voter != 0)
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
    pub(super) fn found(&mut self, now: Nanos, out: &mut Vec<Action>) {
        if self.is_bound() || !self.id.is_candidate() || self.hello.is_some() || now < self.next.ask {
            return;
        }
        self.next.ask = now + ASK_EVERY;
        let others: Vec<_> =
            self.id.candidates.iter().filter(|name| **name != self.id.name).cloned().collect();
        others.iter().for_each(|name| self.send(name, Body::Ask, out));
        self.words.retain(|_, word| now.saturating_sub(word.at) <= WORD_LASTS);
        let alone = self.tuning.defect == Some(Defect::FoundsAlone);
        if now < self.began + FOUND_AFTER || self.fetch.is_some() {
            return;
        }
        // What anybody holds goes into the new group, also what one holds whose own group can decide no more.
        let own = (self.applied.epoch, self.applied.index);
        let further = self.words.iter().find(|(_, word)| (word.group.epoch, word.index) > own);
        if let Some(name) = further.map(|(name, _)| name.clone()) {
            return self.pull_from(now, name, out);
        }
        let none = 1 + self.words.values().filter(|word| !word.holds).count();
        if none < self.id.founding_quorum().max(self.id.majority()) && !alone {
            return;
        }
        let first = &self.id.candidates[..self.id.voter_count.min(self.id.candidates.len())];
        let place = |name: &str| first.iter().position(|of| **of == *name);
        let Some(own) = place(&self.id.name) else { return };
        let rank = |group: Group, index: u64, place: usize| (group.epoch, index, usize::MAX - place);
        let mine = rank(self.group(), self.applied.index, own);
        let better = |(name, word): (&crate::config::Name, &Word)| {
            let place = place(name).unwrap_or(usize::MAX);
            !word.holds && rank(word.group, word.index, place) > mine
        };
        if self.words.iter().any(better) && !alone {
            return;
        }
        let held = |name: &str| self.words.get(name).filter(|word| !word.holds).map(|word| word.voter);
        let mut voters: BTreeMap<u64, String> = BTreeMap::new();
        for name in first {
            // The group has its full size from the start, or two halves of the candidates could each make one: a voter
            // slot of one that is not there stands empty until it is replaced.
            let number = if *name == self.id.name { Some(self.voter) } else { held(name) };
            voters.insert(number.unwrap_or_else(|| self.rng.u64(1..)), name.to_string());
        }
        if alone {
            voters = [(self.voter, self.id.name.to_string())].into();
        }
        let number = self.rng.u64(1..);
        self.applied = std::mem::take(&mut self.applied).with_new_group(number, voters);
        self.tail.clear();
        (self.told, self.offered) = (self.applied.index, None);
        out.push(Action::Notify(super::Notification::StateReplaced(self.group(), self.applied.index)));
        self.sit(now, out);
    }
}
