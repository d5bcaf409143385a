//! From a trial and its seed to timed steps.

use std::collections::BTreeSet;

use merlinfold_simulation::seed::{Seed, Stream};
use merlinfold_simulation::{Nanos, SECOND};
use rand::seq::SliceRandom;

use crate::scenario::{DiskContents, DiskFault, EndpointSelection, FaultKind, Scenario, FIRST_SERVER};

/// Nodes of one side.
pub type NodeSet = BTreeSet<usize>;

/// What a link does while a fault is on.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum LinkEffect {
    /// Passes nothing.
    Cut,
    /// Passes nothing, and resets connections.
    Reset,
    /// Loses this share.
    Thin(f64),
    /// Takes longer: at least this, and up to this much more, in milliseconds.
    Delay(f64, f64),
    /// Passes so many bytes a second.
    Throttle(f64),
    /// Passes this share twice.
    Duplicate(f64),
}

impl LinkEffect {
    /// Whether a node may be held dead for it.
    pub fn may_cause_death_report(self) -> bool {
        match self {
            LinkEffect::Cut | LinkEffect::Reset | LinkEffect::Throttle(_) => true,
            LinkEffect::Thin(loss) => loss > 0.25,
            LinkEffect::Delay(ms, jitter) => ms + jitter > 20.0,
            LinkEffect::Duplicate(_) => false,
        }
    }
}

/// Something to be done.
#[derive(Clone, Debug, PartialEq)]
pub enum StepAction {
    /// Kill a node outright.
    Kill(usize),
    /// Tell a node to end.
    Stop(usize),
    /// Start a node whose disk holds this.
    Start(usize, DiskContents),
    /// Stop a node's processor.
    Pause(usize),
    /// And let it go on.
    Continue(usize),
    /// Links from these to those do this from now on.
    BeginRule {
        /// Number of the rule, to end it by.
        rule: usize,
        /// Senders.
        from: NodeSet,
        /// Receivers.
        to: NodeSet,
        /// What.
        effect: LinkEffect,
    },
    /// A rule ends.
    EndRule(usize),
    /// A disk does this from now on, or nothing wrong any more.
    SetDiskFault(usize, Option<DiskFault>),
}

impl StepAction {
    /// In a line of a report.
    pub fn description(&self) -> String {
        match self {
            StepAction::Kill(node) => format!("n{node} is killed"),
            StepAction::Stop(node) => format!("n{node} is told to end"),
            StepAction::Start(node, contents) => format!("n{node} starts, disk {contents:?}"),
            StepAction::Pause(node) => format!("n{node} is paused"),
            StepAction::Continue(node) => format!("n{node} goes on"),
            StepAction::BeginRule { from, to, effect, .. } => {
                format!("links of {} to {} nodes: {effect:?}", from.len(), to.len())
            }
            StepAction::EndRule(rule) => format!("rule {rule} of links ends"),
            StepAction::SetDiskFault(node, fault) => format!("disk of n{node}: {fault:?}"),
        }
    }
}

/// A step and its time.
#[derive(Clone, Debug, PartialEq)]
pub struct Step {
    /// When.
    pub at: Nanos,
    /// What.
    pub action: StepAction,
}

/// Seconds of a trial file as nanoseconds.
pub fn nanos(seconds: f64) -> Nanos {
    (seconds * SECOND as f64) as Nanos
}

fn select_nodes(side: EndpointSelection, count: usize, stream: &mut Stream) -> NodeSet {
    match side {
        EndpointSelection::Listed(nodes) => nodes.into_iter().collect(),
        EndpointSelection::Rest => NodeSet::new(),
        EndpointSelection::Share(share) => {
            let mut all: Vec<usize> = (0..count).collect();
            all.shuffle(stream);
            all.truncate((share * count as f64).round() as usize);
            all.into_iter().collect()
        }
    }
}

/// Of a side those that are processes of the fleet.
fn only_nodes(side: NodeSet) -> NodeSet {
    side.into_iter().filter(|&end| end < FIRST_SERVER).collect()
}

/// All steps of a trial, in order of time; the same for the same seed.
pub fn steps(scenario: &Scenario) -> Result<Vec<Step>, String> {
    let count = scenario.fleet.nodes;
    let mut steps: Vec<Step> = Vec::new();
    for (n, fault) in scenario.faults.iter().enumerate() {
        // A stream for each fault: shrinking one away leaves the draws of the others.
        let mut stream = Seed(scenario.seed).stream("fault", n as u64);
        let (begins, ends) = (nanos(fault.at), fault.duration.map(|duration| nanos(fault.at + duration)));
        let mut ends_of =
            |side: &str| scenario.select(side).map(|side| select_nodes(side, count, &mut stream));
        let mut add = |at: Nanos, action: StepAction| steps.push(Step { at, action });
        let ends = |add: &mut dyn FnMut(Nanos, StepAction), action: StepAction| {
            if let Some(at) = ends {
                add(at, action);
            }
        };
        let (from, to, effects) = match &fault.kind {
            FaultKind::Kill { who: side, disk } => {
                for node in only_nodes(ends_of(side)?) {
                    add(begins, StepAction::Kill(node));
                    ends(&mut add, StepAction::Start(node, *disk));
                }
                continue;
            }
            FaultKind::Roll { who: side, every } => {
                for (turn, node) in only_nodes(ends_of(side)?).into_iter().enumerate() {
                    let at = begins + nanos(every * turn as f64);
                    add(at, StepAction::Stop(node));
                    add(at + nanos(0.7 * every), StepAction::Start(node, DiskContents::Kept));
                }
                continue;
            }
            FaultKind::Pause { who: side } => {
                for node in only_nodes(ends_of(side)?) {
                    add(begins, StepAction::Pause(node));
                    ends(&mut add, StepAction::Continue(node));
                }
                continue;
            }
            FaultKind::Disk { who: side, does } => {
                for node in only_nodes(ends_of(side)?) {
                    add(begins, StepAction::SetDiskFault(node, Some(*does)));
                    ends(&mut add, StepAction::SetDiskFault(node, None));
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
        let (mut left, mut right) = (ends_of(from)?, ends_of(to)?);
        let rest = |of: &NodeSet| scenario.endpoints().filter(|end| !of.contains(end)).collect::<NodeSet>();
        if from == "rest" {
            left = rest(&right);
        }
        if to == "rest" {
            right = rest(&left);
        }
        for (way, (from, to)) in [(&left, &right), (&right, &left)].into_iter().enumerate() {
            if way == 1 && one_way {
                continue;
            }
            let rule = 2 * n + way;
            add(begins, StepAction::BeginRule { rule, from: from.clone(), to: to.clone(), effect: effects });
            ends(&mut add, StepAction::EndRule(rule));
        }
    }
    steps.sort_by_key(|step| step.at); // stable: faults of one moment stay in the order of the file
    Ok(steps)
}
