//! A model of how groups are founded without memory, checked over all its states: three candidates, of which two
//! decide, words that are as old as they like, and restarts that lose everything.

use stateright::{Checker, Model, Property};

const NODES: usize = 3;
const MAJORITY: usize = 2;
const ASKED: usize = NODES + 1 - MAJORITY; // as `Identity::asked` has it
const RESTARTS_MOST: u8 = 1;
const DEPTH: usize = 14; // steps; the least that breaks a rule left out takes 12
const GROUPS_MOST: usize = 2;

type Number = u8;

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
struct Node {
    number: Number,
    group: Option<u8>, // whose state it holds
    seat: bool,        // and whether it has a seat there
    engaged: bool,
    words: [Number; NODES], // of those that last said that they hold no seat, the numbers; else 0
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Group {
    epoch: u8,
    voters: [Number; NODES],
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    nodes: [Node; NODES],
    groups: Vec<Group>,
    numbers: Number,
    restarts: u8,
    decides: Option<u8>,
    past: u8, // groups before the one that decides, a bit each
    broken: bool,
}

#[derive(Clone, Debug, PartialEq, Eq)]
enum Step {
    Ask(usize, usize),
    Found(usize),
    Adopt(usize, u8),
    Decide(u8),
    Restart(usize),
}

/// The rules, or all but one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Founding {
    Whole,
    /// Who leaves a seat keeps its number, and who is engaged may leave.
    SameNumber,
    /// A group is of those who answered, however few.
    AsManyAsAnswer,
}

impl Founding {
    fn sits(state: &State, node: usize, group: u8) -> bool {
        state.nodes[node].seat && state.nodes[node].group == Some(group)
    }
}

impl Model for Founding {
    type State = State;
    type Action = Step;

    fn init_states(&self) -> Vec<State> {
        let node = |number| Node { number, ..Node::default() };
        vec![State {
            nodes: [node(1), node(2), node(3)],
            groups: Vec::new(),
            numbers: 3,
            restarts: 0,
            decides: None,
            past: 0,
            broken: false,
        }]
    }

    fn actions(&self, state: &State, steps: &mut Vec<Step>) {
        for node in 0..NODES {
            if !state.nodes[node].seat {
                steps.extend((0..NODES).filter(|other| *other != node).map(|other| Step::Ask(node, other)));
                steps.push(Step::Found(node));
            }
            steps.extend((0..state.groups.len() as u8).map(|group| Step::Adopt(node, group)));
            if state.restarts < RESTARTS_MOST {
                steps.push(Step::Restart(node));
            }
        }
        steps.extend((0..state.groups.len() as u8).map(Step::Decide));
    }

    fn next_state(&self, before: &State, step: Step) -> Option<State> {
        let mut state = before.clone();
        match step {
            Step::Ask(node, other) => {
                let of = &before.nodes[other];
                state.nodes[node].words[other] = if of.seat { 0 } else { of.number };
            }
            Step::Found(node) => {
                let of = &before.nodes[node];
                let none = 1 + of.words.iter().filter(|number| **number != 0).count();
                let few = *self == Founding::AsManyAsAnswer;
                if of.seat || none < ASKED && !few || before.groups.len() >= GROUPS_MOST {
                    return None;
                }
                let epoch = of.group.map_or(0, |group| before.groups[group as usize].epoch) + 1;
                let mut voters = [0; NODES];
                for (place, voter) in voters.iter_mut().enumerate() {
                    // 0, an empty seat, where nothing was heard.
                    *voter = if place == node { of.number } else { of.words[place] };
                }
                state.groups.push(Group { epoch, voters });
                let group = before.groups.len() as u8;
                let of = &mut state.nodes[node];
                (of.group, of.seat, of.engaged, of.words) = (Some(group), true, false, [0; NODES]);
            }
            Step::Adopt(node, group) => {
                let of = &mut state.nodes[node];
                if of.group == Some(group) {
                    return None;
                }
                let to = &before.groups[group as usize];
                let own = of.group.map_or(0, |own| before.groups[own as usize].epoch);
                let same = *self == Founding::SameNumber;
                let bound = of.seat && of.engaged && to.epoch <= own && !same;
                if to.epoch < own || bound {
                    return None;
                }
                if of.seat && !same {
                    state.numbers += 1; // a seat that is left is left for good
                    of.number = state.numbers;
                }
                (of.group, of.engaged) = (Some(group), false);
                of.seat = to.voters.contains(&of.number);
                of.words = if of.seat { [0; NODES] } else { of.words };
            }
            Step::Decide(group) => {
                let voters = before.groups[group as usize].voters;
                let sitting: Vec<usize> = (0..NODES)
                    .filter(|node| {
                        Self::sits(before, *node, group) && voters.contains(&before.nodes[*node].number)
                    })
                    .collect();
                let listed = voters.iter().filter(|number| **number != 0).count();
                let few = *self == Founding::AsManyAsAnswer;
                if sitting.len() < if few { listed / 2 + 1 } else { MAJORITY } {
                    return None;
                }
                sitting.into_iter().for_each(|node| state.nodes[node].engaged = true);
                state.broken |= before.past & (1 << group) != 0;
                if let Some(last) = before.decides.filter(|last| *last != group) {
                    state.past |= 1 << last;
                }
                state.decides = Some(group);
            }
            Step::Restart(node) => {
                state.restarts += 1;
                state.numbers += 1;
                state.nodes[node] = Node { number: state.numbers, ..Node::default() };
            }
        }
        (state != *before).then_some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("one group decides", |_, state: &State| !state.broken),
            Property::sometimes("a group decides", |_, state: &State| state.decides.is_some()),
            Property::sometimes("another goes on after it", |_, state: &State| state.past != 0),
        ]
    }
}

fn check(model: Founding) -> (usize, Vec<&'static str>) {
    let checker = model.checker().threads(4).target_max_depth(DEPTH).spawn_bfs().join();
    (checker.unique_state_count(), checker.discoveries().into_keys().collect())
}

#[test]
fn no_two_groups_decide_by_turns_in_any_order_of_words_and_restarts() {
    let (states, found) = check(Founding::Whole);
    println!("{states} states");
    assert!(!found.contains(&"one group decides"), "{found:?}");
    assert!(found.contains(&"a group decides") && found.contains(&"another goes on after it"), "{found:?}");
}

/// Guards the model: a rule left out is found out.
#[test]
fn each_rule_is_needed() {
    for model in [Founding::SameNumber, Founding::AsManyAsAnswer] {
        let (_, found) = check(model);
        assert!(found.contains(&"one group decides"), "{model:?}: {found:?}");
    }
}
