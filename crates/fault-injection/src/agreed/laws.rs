//! What has to hold of the agreed log, judged as it happens.

use std::collections::{BTreeMap, BTreeSet};

use merlinfold_replicated_log::applied::AppliedState;
use merlinfold_replicated_log::command::{CommandId, Entry, EntryPayload, Outcome};
use merlinfold_replicated_log::Group;
use merlinfold_simulation::Nanos;

/// A law that was broken.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Breach {
    /// Which.
    pub law: &'static str,
    /// When.
    pub at: Nanos,
    /// How.
    pub how: String,
}

/// All that was seen, as far as laws need it.
#[derive(Default)]
pub struct Watch {
    agreed: BTreeMap<(Group, u64), Entry>,
    founded: BTreeMap<Group, u64>, // the place at which each group was founded
    outcomes: BTreeMap<(Group, CommandId), Outcome>,
    /// Confirmed to somebody: in which log, and with what.
    pub confirmed: BTreeMap<CommandId, (Group, Outcome)>,
    votes: BTreeMap<(u64, u64), u64>,
    leaders: BTreeMap<(Group, u64), usize>,
    decides: Option<Group>, // the last to do so, and those before it
    past: BTreeSet<Group>,
    /// What was broken.
    pub breaches: Vec<Breach>,
}

const BREACHES_MOST: usize = 16;

impl Watch {
    fn breach(&mut self, law: &'static str, at: Nanos, how: String) {
        if self.breaches.len() < BREACHES_MOST {
            self.breaches.push(Breach { law, at, how });
        }
    }

    /// A node has come to hold this log at this place by other ways than entries.
    pub fn jumped(&mut self, group: Group, index: u64) {
        self.founded.entry(group).and_modify(|at| *at = index.min(*at)).or_insert(index);
    }

    /// A node has applied an entry.
    pub fn applied(&mut self, now: Nanos, node: usize, group: Group, entry: &Entry) {
        match self.agreed.get(&(group, entry.index)) {
            Some(other) if other != entry => {
                let how = format!("n{node} applies {entry:?} where {other:?} was applied, in {group:?}");
                self.breach("one order", now, how);
            }
            Some(_) => {}
            None => {
                if self.past.contains(&group) {
                    let how = format!("n{node}: {group:?} decides {entry:?} after {:?} has", self.decides);
                    self.breach("one group decides", now, how);
                }
                self.past.extend(self.decides.filter(|before| *before != group));
                self.decides = Some(group);
                self.agreed.insert((group, entry.index), entry.clone());
            }
        }
    }

    /// What the state of a node says of an id that it has just applied.
    pub fn effect(&mut self, now: Nanos, node: usize, group: Group, id: CommandId, outcome: &Outcome) {
        let first = self.outcomes.entry((group, id)).or_insert_with(|| outcome.clone()).clone();
        if first != *outcome {
            self.breach("once", now, format!("n{node}: {id} is {outcome:?} and was {first:?}"));
        }
    }

    /// A command was confirmed to whoever proposed it.
    pub fn confirmed(&mut self, now: Nanos, node: usize, group: Group, id: CommandId, outcome: Outcome) {
        if let Outcome::Done(index) = outcome {
            let there = self.agreed.get(&(group, index));
            let is =
                |entry: &&Entry| matches!(&entry.what, EntryPayload::Command(command) if command.id == id);
            // What an earlier group has agreed may be confirmed from the state that a later one took over.
            let earlier = self.agreed.iter().any(|((_, at), entry)| *at == index && is(&entry));
            if there.filter(is).is_none() && !earlier {
                let how = format!("n{node}: {id} is confirmed at {index}, where {there:?} is agreed");
                self.breach("confirmed is agreed", now, how);
            }
        }
        self.confirmed.insert(id, (group, outcome));
    }

    /// How a seat has voted.
    pub fn voted(&mut self, now: Nanos, node: usize, (voter, term, vote): (u64, u64, u64)) {
        let first = *self.votes.entry((voter, term)).or_insert(vote);
        if first != vote {
            let how = format!("n{node}: {voter} votes for {vote} in term {term}, and has voted for {first}");
            self.breach("one vote", now, how);
        }
    }

    /// Who leads.
    pub fn leads(&mut self, now: Nanos, node: usize, group: Group, term: u64) {
        let first = *self.leaders.entry((group, term)).or_insert(node);
        if first != node {
            self.breach("one leader", now, format!("n{node} leads term {term} as n{first} does"));
        }
    }

    /// At the end: what was confirmed is in every state that goes as far.
    pub fn kept(&mut self, now: Nanos, node: usize, group: Group, state: &AppliedState) {
        let lost: Vec<CommandId> = self
            .confirmed
            .iter()
            .filter(|(_, (of, outcome))| {
                *of == group && matches!(outcome, Outcome::Done(index) if *index <= state.index)
            })
            .filter(|(id, (_, outcome))| **id != 0 && state.outcome(**id) != Some(outcome))
            .map(|(id, _)| *id)
            .collect();
        for id in lost {
            let how =
                format!("n{node} at {}: {:?} is {:?}", state.index, self.confirmed[&id], state.outcome(id));
            self.breach("confirmed is kept", now, how);
        }
    }

    /// At the end of all faults and some time.
    pub fn expect(&mut self, now: Nanos, holds: bool, how: impl FnOnce() -> String) {
        if !holds {
            self.breach("goes on", now, how());
        }
    }

    /// Places agreed on, over all groups.
    pub fn places(&self) -> usize {
        self.agreed.len()
    }

    /// Groups that have decided anything.
    pub fn groups(&self) -> usize {
        let mut groups: Vec<Group> = self.agreed.keys().map(|(group, _)| *group).collect();
        groups.dedup();
        groups.len()
    }
}
