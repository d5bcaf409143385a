//! What has to hold of the agreed log, judged as it happens.

use std::collections::{BTreeMap, BTreeSet};

use merlinfold_replicated_log::applied::AppliedState;
use merlinfold_replicated_log::command::{CommandId, Entry, EntryPayload, Outcome};
use merlinfold_replicated_log::Group;
use merlinfold_simulation::Nanos;

/// A law that was broken.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    /// Which.
    pub invariant: &'static str,
    /// When.
    pub at: Nanos,
    /// How.
    pub detail: String,
}

/// All that was seen, as far as laws need it.
#[derive(Default)]
pub struct InvariantChecker {
    agreed: BTreeMap<(Group, u64), Entry>,
    state_replaced_at: BTreeMap<Group, u64>, // the place at which each group was founded
    outcomes: BTreeMap<(Group, CommandId), Outcome>,
    /// Confirmed to somebody: in which log, and with what.
    pub confirmed: BTreeMap<CommandId, (Group, Outcome)>,
    votes: BTreeMap<(u64, u64), u64>,
    leaders: BTreeMap<(Group, u64), usize>,
    decides: Option<Group>, // the last to do so, and those before it
    past: BTreeSet<Group>,
    /// What was broken.
    pub violations: Vec<Violation>,
}

const MAX_VIOLATIONS: usize = 16;

impl InvariantChecker {
    fn record_violation(&mut self, invariant: &'static str, at: Nanos, detail: String) {
        if self.violations.len() < MAX_VIOLATIONS {
            self.violations.push(Violation { invariant, at, detail });
        }
    }

    /// A node has come to hold this log at this place by other ways than entries.
    pub fn state_replaced(&mut self, group: Group, index: u64) {
        self.state_replaced_at.entry(group).and_modify(|at| *at = index.min(*at)).or_insert(index);
    }

    /// A node has applied an entry.
    pub fn applied(&mut self, now: Nanos, node: usize, group: Group, entry: &Entry) {
        match self.agreed.get(&(group, entry.index)) {
            Some(other) if other != entry => {
                let detail = format!("n{node} applies {entry:?} where {other:?} was applied, in {group:?}");
                self.record_violation("one order", now, detail);
            }
            Some(_) => {}
            None => {
                if self.past.contains(&group) {
                    let detail = format!("n{node}: {group:?} decides {entry:?} after {:?} has", self.decides);
                    self.record_violation("one group decides", now, detail);
                }
                self.past.extend(self.decides.filter(|before| *before != group));
                self.decides = Some(group);
                self.agreed.insert((group, entry.index), entry.clone());
            }
        }
    }

    /// What the state of a node says of an id that it has just applied.
    pub fn outcome_applied(
        &mut self, now: Nanos, node: usize, group: Group, id: CommandId, outcome: &Outcome,
    ) {
        let first = self.outcomes.entry((group, id)).or_insert_with(|| outcome.clone()).clone();
        if first != *outcome {
            self.record_violation("once", now, format!("n{node}: {id} is {outcome:?} and was {first:?}"));
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
                let detail = format!("n{node}: {id} is confirmed at {index}, where {there:?} is agreed");
                self.record_violation("confirmed is agreed", now, detail);
            }
        }
        self.confirmed.insert(id, (group, outcome));
    }

    /// How a seat has voted.
    pub fn voted(&mut self, now: Nanos, node: usize, (voter, term, vote): (u64, u64, u64)) {
        let first = *self.votes.entry((voter, term)).or_insert(vote);
        if first != vote {
            let detail =
                format!("n{node}: {voter} votes for {vote} in term {term}, and has voted for {first}");
            self.record_violation("one vote", now, detail);
        }
    }

    /// Who leads.
    pub fn leader_elected(&mut self, now: Nanos, node: usize, group: Group, term: u64) {
        let first = *self.leaders.entry((group, term)).or_insert(node);
        if first != node {
            self.record_violation("one leader", now, format!("n{node} leads term {term} as n{first} does"));
        }
    }

    /// At the end: what was confirmed is in every state that goes as far.
    pub fn check_confirmed_retained(&mut self, now: Nanos, node: usize, group: Group, state: &AppliedState) {
        let lost: Vec<CommandId> = self
            .confirmed
            .iter()
            .filter(|(_, (node_state, outcome))| {
                *node_state == group && matches!(outcome, Outcome::Done(index) if *index <= state.index)
            })
            .filter(|(id, (_, outcome))| **id != 0 && state.outcome(**id) != Some(outcome))
            .map(|(id, _)| *id)
            .collect();
        for id in lost {
            let detail =
                format!("n{node} at {}: {:?} is {:?}", state.index, self.confirmed[&id], state.outcome(id));
            self.record_violation("confirmed is kept", now, detail);
        }
    }

    /// At the end of all faults and some time.
    pub fn check_recovered(&mut self, now: Nanos, holds: bool, detail: impl FnOnce() -> String) {
        if !holds {
            self.record_violation("goes on", now, detail());
        }
    }

    /// Places agreed on, over all groups.
    pub fn entry_count(&self) -> usize {
        self.agreed.len()
    }

    /// Groups that have decided anything.
    pub fn group_count(&self) -> usize {
        let mut groups: Vec<Group> = self.agreed.keys().map(|(group, _)| *group).collect();
        groups.dedup();
        groups.len()
    }
}
