//! Turns a scenario and its seed into a list of timed steps.

use std::collections::BTreeSet;

use merlinfold_simulation::seed::{Seed, Stream};
use merlinfold_simulation::{Nanos, SECOND};
use rand::seq::SliceRandom;

use crate::scenario::{DiskContents, DiskFault, EndpointSelection, FaultKind, Scenario, FIRST_SERVER};

/// Endpoints on one side of a link rule: node numbers, and the numbers of guide servers, of discovery and of clients.
pub type EndpointSet = BTreeSet<usize>;

/// What a link does while a fault is active. The variant names appear in reports.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum LinkEffect {
    /// Passes nothing.
    Cut,
    /// Passes nothing and resets connections.
    Reset,
    /// Loses this share of datagrams.
    Thin(f64),
    /// Adds at least the first number of milliseconds, plus up to the second number at random.
    Delay(f64, f64),
    /// Passes this many bytes a second.
    Throttle(f64),
    /// Delivers this share of datagrams twice.
    Duplicate(f64),
}

impl LinkEffect {
    /// Returns whether the effect is severe enough that a healthy node may be declared dead because of it.
    pub fn may_cause_death_report(self) -> bool {
        match self {
            LinkEffect::Cut | LinkEffect::Reset | LinkEffect::Throttle(_) => true,
            LinkEffect::Thin(loss) => loss > 0.25,
            LinkEffect::Delay(ms, jitter) => ms + jitter > 20.0,
            LinkEffect::Duplicate(_) => false,
        }
    }
}

/// A single action of the schedule.
#[derive(Clone, Debug, PartialEq)]
pub enum StepAction {
    /// Kill the node's process without warning.
    Kill(usize),
    /// Ask the node to shut down.
    Stop(usize),
    /// Start the node with these disk contents.
    Start(usize, DiskContents),
    /// Suspend the node's process.
    Pause(usize),
    /// Resume the node's process.
    Continue(usize),
    /// Apply an effect to all links from one set of endpoints to another.
    BeginRule {
        /// Number that the matching [`StepAction::EndRule`] uses.
        rule: usize,
        /// Sending endpoints.
        from: EndpointSet,
        /// Receiving endpoints.
        to: EndpointSet,
        /// Effect on these links.
        effect: LinkEffect,
    },
    /// End the link rule with this number.
    EndRule(usize),
    /// Give the node's disk this fault, or repair it.
    SetDiskFault(usize, Option<DiskFault>),
}

impl StepAction {
    /// Returns a description for the timeline of a report.
    pub fn description(&self) -> String {
        match self {
            StepAction::Kill(node) => format!("n{node} is killed"),
            StepAction::Stop(node) => format!("n{node} is asked to shut down"),
            StepAction::Start(node, contents) => format!("n{node} starts, disk {contents:?}"),
            StepAction::Pause(node) => format!("n{node} is paused"),
            StepAction::Continue(node) => format!("n{node} resumes"),
            StepAction::BeginRule { from, to, effect, .. } => {
                format!("links of {} to {} nodes: {effect:?}", from.len(), to.len())
            }
            StepAction::EndRule(rule) => format!("link rule {rule} ends"),
            StepAction::SetDiskFault(node, fault) => format!("disk of n{node}: {fault:?}"),
        }
    }
}

/// An action and when it happens.
#[derive(Clone, Debug, PartialEq)]
pub struct Step {
    /// Time since the start of the run.
    pub at: Nanos,
    /// Action to carry out.
    pub action: StepAction,
}

/// Converts seconds of a scenario file to nanoseconds.
pub fn nanos(seconds: f64) -> Nanos {
    (seconds * SECOND as f64) as Nanos
}

/// Returns the endpoints of a selection; a share is sampled from the fleet's `count` nodes.
fn select_endpoints(side: EndpointSelection, count: usize, stream: &mut Stream) -> EndpointSet {
    match side {
        EndpointSelection::Listed(nodes) => nodes.into_iter().collect(),
        EndpointSelection::Rest => EndpointSet::new(),
        EndpointSelection::Share(share) => {
            let mut all: Vec<usize> = (0..count).collect();
            all.shuffle(stream);
            all.truncate((share * count as f64).round() as usize);
            all.into_iter().collect()
        }
    }
}

/// Returns those endpoints that are nodes of the fleet.
fn only_nodes(side: EndpointSet) -> EndpointSet {
    side.into_iter().filter(|&endpoint| endpoint < FIRST_SERVER).collect()
}

/// Returns all steps of a scenario in order of time. The same seed gives the same steps.
pub fn steps(scenario: &Scenario) -> Result<Vec<Step>, String> {
    let count = scenario.fleet.nodes;
    let mut steps: Vec<Step> = Vec::new();
    for (index, fault) in scenario.faults.iter().enumerate() {
        // Each fault has its own random stream, so removing one fault while shrinking does not change the others.
        let mut stream = Seed(scenario.seed).stream("fault", index as u64);
        let (start, end) = (nanos(fault.at), fault.duration.map(|duration| nanos(fault.at + duration)));
        let mut endpoints_of =
            |side: &str| scenario.select(side).map(|side| select_endpoints(side, count, &mut stream));
        let mut add = |at: Nanos, action: StepAction| steps.push(Step { at, action });
        let add_at_end = |add: &mut dyn FnMut(Nanos, StepAction), action: StepAction| {
            if let Some(at) = end {
                add(at, action);
            }
        };
        let (from, to, effect) = match &fault.kind {
            FaultKind::Kill { who: side, disk } => {
                for node in only_nodes(endpoints_of(side)?) {
                    add(start, StepAction::Kill(node));
                    add_at_end(&mut add, StepAction::Start(node, *disk));
                }
                continue;
            }
            FaultKind::Roll { who: side, every } => {
                for (position, node) in only_nodes(endpoints_of(side)?).into_iter().enumerate() {
                    let at = start + nanos(every * position as f64);
                    add(at, StepAction::Stop(node));
                    add(at + nanos(0.7 * every), StepAction::Start(node, DiskContents::Kept));
                }
                continue;
            }
            FaultKind::Pause { who: side } => {
                for node in only_nodes(endpoints_of(side)?) {
                    add(start, StepAction::Pause(node));
                    add_at_end(&mut add, StepAction::Continue(node));
                }
                continue;
            }
            FaultKind::Disk { who: side, does } => {
                for node in only_nodes(endpoints_of(side)?) {
                    add(start, StepAction::SetDiskFault(node, Some(*does)));
                    add_at_end(&mut add, StepAction::SetDiskFault(node, None));
                }
                continue;
            }
            FaultKind::Cut { from, to, .. } => (from, to, LinkEffect::Cut),
            FaultKind::Reset { from, to } => (from, to, LinkEffect::Reset),
            FaultKind::Thin { from, to, loss } => (from, to, LinkEffect::Thin(*loss)),
            FaultKind::Delay { from, to, ms, jitter_ms } => (from, to, LinkEffect::Delay(*ms, *jitter_ms)),
            FaultKind::Throttle { from, to, bytes_s } => (from, to, LinkEffect::Throttle(*bytes_s)),
            FaultKind::Duplicate { from, to, share } => (from, to, LinkEffect::Duplicate(*share)),
        };
        let one_way = matches!(&fault.kind, FaultKind::Cut { one_way: true, .. });
        let (mut left, mut right) = (endpoints_of(from)?, endpoints_of(to)?);
        let rest = |side: &EndpointSet| {
            scenario.endpoints().filter(|endpoint| !side.contains(endpoint)).collect::<EndpointSet>()
        };
        if from == "rest" {
            left = rest(&right);
        }
        if to == "rest" {
            right = rest(&left);
        }
        for (direction, (from, to)) in [(&left, &right), (&right, &left)].into_iter().enumerate() {
            if direction == 1 && one_way {
                continue;
            }
            let rule = 2 * index + direction;
            add(start, StepAction::BeginRule { rule, from: from.clone(), to: to.clone(), effect });
            add_at_end(&mut add, StepAction::EndRule(rule));
        }
    }
    steps.sort_by_key(|step| step.at); // The sort is stable: simultaneous faults stay in the order of the file.
    Ok(steps)
}
