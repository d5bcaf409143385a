//! The invariants of the replicated log, checked on every event.

use std::collections::{BTreeMap, BTreeSet};

use merlinfold_replicated_log::applied::AppliedState;
use merlinfold_replicated_log::command::{CommandId, Entry, EntryPayload, Outcome};
use merlinfold_replicated_log::Group;
use merlinfold_simulation::Nanos;

/// A violation of an invariant.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    /// Name of the invariant.
    pub invariant: &'static str,
    /// Virtual time.
    pub at: Nanos,
    /// What was observed.
    pub detail: String,
}

/// The observations that the invariants need, and the violations found.
#[derive(Default)]
pub struct InvariantChecker {
    committed: BTreeMap<(Group, u64), Entry>,
    state_replaced_at: BTreeMap<Group, u64>, // lowest index at which each group took over a state
    outcomes: BTreeMap<(Group, CommandId), Outcome>,
    /// For each confirmed command, the group that confirmed it and its outcome.
    pub confirmed: BTreeMap<CommandId, (Group, Outcome)>,
    votes: BTreeMap<(u64, u64), u64>,       // by voter and term
    leaders: BTreeMap<(Group, u64), usize>, // by group and term
    latest_group: Option<Group>,            // the group that applied the latest new entry
    past_groups: BTreeSet<Group>,           // the groups that did so before it
    /// Violations, in order of time.
    pub violations: Vec<Violation>,
}

const MAX_VIOLATIONS: usize = 16;

impl InvariantChecker {
    /// Records a violation, up to [`MAX_VIOLATIONS`].
    fn record_violation(&mut self, invariant: &'static str, at: Nanos, detail: String) {
        if self.violations.len() < MAX_VIOLATIONS {
            self.violations.push(Violation { invariant, at, detail });
        }
    }

    /// A node replaced its state by that of this group at this index, without applying the entries.
    pub fn state_replaced(&mut self, group: Group, index: u64) {
        self.state_replaced_at.entry(group).and_modify(|at| *at = index.min(*at)).or_insert(index);
    }

    /// A node applied an entry. All nodes must apply the same entry at an index, and only the latest group may add
    /// new entries.
    pub fn applied(&mut self, now: Nanos, node: usize, group: Group, entry: &Entry) {
        match self.committed.get(&(group, entry.index)) {
            Some(other) if other != entry => {
                let detail = format!("n{node} applies {entry:?} where {other:?} was applied, in {group:?}");
                self.record_violation("one order", now, detail);
            }
            Some(_) => {}
            None => {
                if self.past_groups.contains(&group) {
                    let detail =
                        format!("n{node}: {group:?} commits {entry:?} after {:?} did", self.latest_group);
                    self.record_violation("one group decides", now, detail);
                }
                self.past_groups.extend(self.latest_group.filter(|before| *before != group));
                self.latest_group = Some(group);
                self.committed.insert((group, entry.index), entry.clone());
            }
        }
    }

    /// A node applied this command with this outcome. All applications of a command must have the same outcome.
    pub fn outcome_applied(
        &mut self, now: Nanos, node: usize, group: Group, id: CommandId, outcome: &Outcome,
    ) {
        let first = self.outcomes.entry((group, id)).or_insert_with(|| outcome.clone()).clone();
        if first != *outcome {
            self.record_violation("once", now, format!("n{node}: {id} is {outcome:?} and was {first:?}"));
        }
    }

    /// A command was confirmed to its proposer, so it must be the entry at the confirmed index.
    pub fn confirmed(&mut self, now: Nanos, node: usize, group: Group, id: CommandId, outcome: Outcome) {
        if let Outcome::Done(index) = outcome {
            let entry_there = self.committed.get(&(group, index));
            let is_command =
                |entry: &&Entry| matches!(&entry.what, EntryPayload::Command(command) if command.id == id);
            // An entry that an earlier group committed may be confirmed from the state that a later group took over.
            let earlier = self.committed.iter().any(|((_, at), entry)| *at == index && is_command(&entry));
            if entry_there.filter(is_command).is_none() && !earlier {
                let detail =
                    format!("n{node}: {id} is confirmed at {index}, where {entry_there:?} is committed");
                self.record_violation("confirmed is agreed", now, detail);
            }
        }
        self.confirmed.insert(id, (group, outcome));
    }

    /// A voter voted; it has only one vote per term.
    pub fn voted(&mut self, now: Nanos, node: usize, (voter, term, vote): (u64, u64, u64)) {
        let first = *self.votes.entry((voter, term)).or_insert(vote);
        if first != vote {
            let detail =
                format!("n{node}: {voter} votes for {vote} in term {term}, and has voted for {first}");
            self.record_violation("one vote", now, detail);
        }
    }

    /// A node became leader; each term of a group has only one leader.
    pub fn leader_elected(&mut self, now: Nanos, node: usize, group: Group, term: u64) {
        let first = *self.leaders.entry((group, term)).or_insert(node);
        if first != node {
            self.record_violation("one leader", now, format!("n{node} leads term {term} as n{first} does"));
        }
    }

    /// Checks at the end that every confirmed command is part of each state that covers its index.
    pub fn check_confirmed_retained(&mut self, now: Nanos, node: usize, group: Group, state: &AppliedState) {
        let lost: Vec<CommandId> = self
            .confirmed
            .iter()
            .filter(|(_, (confirming_group, outcome))| {
                *confirming_group == group && matches!(outcome, Outcome::Done(index) if *index <= state.index)
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

    /// Checks at the end, after all faults and the settling time, that commands are committed again.
    pub fn check_recovered(&mut self, now: Nanos, recovered: bool, detail: impl FnOnce() -> String) {
        if !recovered {
            self.record_violation("goes on", now, detail());
        }
    }

    /// Returns the number of committed entries over all groups.
    pub fn entry_count(&self) -> usize {
        self.committed.len()
    }

    /// Returns the number of groups that committed an entry.
    pub fn group_count(&self) -> usize {
        let mut groups: Vec<Group> = self.committed.keys().map(|(group, _)| *group).collect();
        groups.dedup();
        groups.len()
    }
}
