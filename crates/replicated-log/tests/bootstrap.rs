//! A model of how groups are formed without durable memory, checked over all its states: three candidates with a
//! majority of two, reports of any age, and restarts that lose everything.

use stateright::{Checker, Model, Property};

const NODES: usize = 3;
const MAJORITY: usize = 2;
const FOUNDING_QUORUM: usize = NODES + 1 - MAJORITY; // the same as `Identity::founding_quorum`
const MAX_RESTARTS: u8 = 1;
const MAX_DEPTH: usize = 14; // steps; with a rule left out, the shortest violation takes 12
const MAX_GROUPS: usize = 2;

type VoterNumber = u8;

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
struct Node {
    number: VoterNumber,
    /// The group whose state the node has.
    group: Option<u8>,
    /// Whether the node holds a voter slot in that group.
    holds_slot: bool,
    engaged: bool,
    /// Voter numbers of the nodes whose last report said that they hold no slot; 0 for the others.
    reports: [VoterNumber; NODES],
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Group {
    epoch: u8,
    voters: [VoterNumber; NODES],
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    nodes: [Node; NODES],
    groups: Vec<Group>,
    last_number: VoterNumber,
    restarts: u8,
    /// The group that decided last.
    deciding: Option<u8>,
    /// The groups that decided before the last one, as a bit set.
    superseded: u8,
    violated: bool,
}

#[derive(Clone, Debug, PartialEq, Eq)]
enum Step {
    Ask(usize, usize),
    Form(usize),
    Adopt(usize, u8),
    Decide(u8),
    Restart(usize),
}

/// All rules, or all but one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Rules {
    All,
    /// A node that leaves a slot keeps its voter number, and an engaged node may leave its group.
    KeepsNumber,
    /// A group consists of the nodes that answered, however few.
    AnyQuorum,
}

impl Rules {
    fn holds_slot(state: &State, node: usize, group: u8) -> bool {
        state.nodes[node].holds_slot && state.nodes[node].group == Some(group)
    }
}

impl Model for Rules {
    type State = State;
    type Action = Step;

    fn init_states(&self) -> Vec<State> {
        let node = |number| Node { number, ..Node::default() };
        vec![State {
            nodes: [node(1), node(2), node(3)],
            groups: Vec::new(),
            last_number: 3,
            restarts: 0,
            deciding: None,
            superseded: 0,
            violated: false,
        }]
    }

    fn actions(&self, state: &State, steps: &mut Vec<Step>) {
        for node in 0..NODES {
            if !state.nodes[node].holds_slot {
                steps.extend((0..NODES).filter(|other| *other != node).map(|other| Step::Ask(node, other)));
                steps.push(Step::Form(node));
            }
            steps.extend((0..state.groups.len() as u8).map(|group| Step::Adopt(node, group)));
            if state.restarts < MAX_RESTARTS {
                steps.push(Step::Restart(node));
            }
        }
        steps.extend((0..state.groups.len() as u8).map(Step::Decide));
    }

    fn next_state(&self, before: &State, step: Step) -> Option<State> {
        let mut state = before.clone();
        match step {
            Step::Ask(node, other) => {
                let asked = &before.nodes[other];
                state.nodes[node].reports[other] = if asked.holds_slot { 0 } else { asked.number };
            }
            Step::Form(node) => {
                let founder = &before.nodes[node];
                let without_slot = 1 + founder.reports.iter().filter(|number| **number != 0).count();
                let any_quorum = *self == Rules::AnyQuorum;
                if founder.holds_slot
                    || without_slot < FOUNDING_QUORUM && !any_quorum
                    || before.groups.len() >= MAX_GROUPS
                {
                    return None;
                }
                let epoch = founder.group.map_or(0, |group| before.groups[group as usize].epoch) + 1;
                let mut voters = [0; NODES];
                for (place, voter) in voters.iter_mut().enumerate() {
                    // Without a report the slot stays empty, which is 0.
                    *voter = if place == node { founder.number } else { founder.reports[place] };
                }
                state.groups.push(Group { epoch, voters });
                let group = before.groups.len() as u8;
                let founder = &mut state.nodes[node];
                (founder.group, founder.holds_slot, founder.engaged, founder.reports) =
                    (Some(group), true, false, [0; NODES]);
            }
            Step::Adopt(node, group) => {
                let adopter = &mut state.nodes[node];
                if adopter.group == Some(group) {
                    return None;
                }
                let new_group = &before.groups[group as usize];
                let current_epoch = adopter.group.map_or(0, |current| before.groups[current as usize].epoch);
                let keeps_number = *self == Rules::KeepsNumber;
                let bound = adopter.holds_slot
                    && adopter.engaged
                    && new_group.epoch <= current_epoch
                    && !keeps_number;
                if new_group.epoch < current_epoch || bound {
                    return None;
                }
                if adopter.holds_slot && !keeps_number {
                    state.last_number += 1; // the number of an abandoned slot is never used again
                    adopter.number = state.last_number;
                }
                (adopter.group, adopter.engaged) = (Some(group), false);
                adopter.holds_slot = new_group.voters.contains(&adopter.number);
                adopter.reports = if adopter.holds_slot { [0; NODES] } else { adopter.reports };
            }
            Step::Decide(group) => {
                let voters = before.groups[group as usize].voters;
                let participants: Vec<usize> = (0..NODES)
                    .filter(|node| {
                        Self::holds_slot(before, *node, group) && voters.contains(&before.nodes[*node].number)
                    })
                    .collect();
                let listed = voters.iter().filter(|number| **number != 0).count();
                let any_quorum = *self == Rules::AnyQuorum;
                if participants.len() < if any_quorum { listed / 2 + 1 } else { MAJORITY } {
                    return None;
                }
                participants.into_iter().for_each(|node| state.nodes[node].engaged = true);
                state.violated |= before.superseded & (1 << group) != 0;
                if let Some(last) = before.deciding.filter(|last| *last != group) {
                    state.superseded |= 1 << last;
                }
                state.deciding = Some(group);
            }
            Step::Restart(node) => {
                state.restarts += 1;
                state.last_number += 1;
                state.nodes[node] = Node { number: state.last_number, ..Node::default() };
            }
        }
        (state != *before).then_some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("one group decides", |_, state: &State| !state.violated),
            Property::sometimes("a group decides", |_, state: &State| state.deciding.is_some()),
            Property::sometimes("another goes on after it", |_, state: &State| state.superseded != 0),
        ]
    }
}

fn check(model: Rules) -> (usize, Vec<&'static str>) {
    let checker = model.checker().threads(4).target_max_depth(MAX_DEPTH).spawn_bfs().join();
    (checker.unique_state_count(), checker.discoveries().into_keys().collect())
}

/// Guards against two groups that decide in turns, in any order of reports and restarts.
#[test]
fn a_superseded_group_never_decides_again() {
    let (states, found) = check(Rules::All);
    println!("{states} states");
    assert!(!found.contains(&"one group decides"), "{found:?}");
    assert!(found.contains(&"a group decides") && found.contains(&"another goes on after it"), "{found:?}");
}

/// Guards the model itself: it must find a violation when a rule is left out.
#[test]
fn leaving_out_a_rule_violates_the_invariant() {
    for model in [Rules::KeepsNumber, Rules::AnyQuorum] {
        let (_, found) = check(model);
        assert!(found.contains(&"one group decides"), "{model:?}: {found:?}");
    }
}
