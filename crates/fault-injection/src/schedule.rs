//! From a trial and its seed to timed steps.

use std::collections::BTreeSet;

use merlinfold_simulation::seed::{Seed, Stream};
use merlinfold_simulation::{Nanos, SECOND};
use rand::seq::SliceRandom;

use crate::spec::{DiskFault, Kept, Side, Trial, What, SERVERS};

/// Nodes of one side.
pub type Nodes = BTreeSet<usize>;

/// What a link does while a fault is on.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Effect {
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

impl Effect {
    /// Whether a node may be held dead for it.
    pub fn is_hard(self) -> bool {
        match self {
            Effect::Cut | Effect::Reset | Effect::Throttle(_) => true,
            Effect::Thin(loss) => loss > 0.25,
            Effect::Delay(ms, jitter) => ms + jitter > 20.0,
            Effect::Duplicate(_) => false,
        }
    }
}

/// Something to be done.
#[derive(Clone, Debug, PartialEq)]
pub enum Do {
    /// Kill a node outright.
    Kill(usize),
    /// Tell a node to end.
    Stop(usize),
    /// Start a node whose disk holds this.
    Start(usize, Kept),
    /// Stop a node's processor.
    Pause(usize),
    /// And let it go on.
    Continue(usize),
    /// Links from these to those do this from now on.
    Begin {
        /// Number of the rule, to end it by.
        rule: usize,
        /// Senders.
        from: Nodes,
        /// Receivers.
        to: Nodes,
        /// What.
        effect: Effect,
    },
    /// A rule ends.
    End(usize),
    /// A disk does this from now on, or nothing wrong any more.
    Disk(usize, Option<DiskFault>),
}

impl Do {
    /// In a line of a report.
    pub fn text(&self) -> String {
        match self {
            Do::Kill(node) => format!("n{node} is killed"),
            Do::Stop(node) => format!("n{node} is told to end"),
            Do::Start(node, kept) => format!("n{node} starts, disk {kept:?}"),
            Do::Pause(node) => format!("n{node} is paused"),
            Do::Continue(node) => format!("n{node} goes on"),
            Do::Begin { from, to, effect, .. } => {
                format!("links of {} to {} nodes: {effect:?}", from.len(), to.len())
            }
            Do::End(rule) => format!("rule {rule} of links ends"),
            Do::Disk(node, fault) => format!("disk of n{node}: {fault:?}"),
        }
    }
}

/// A step and its time.
#[derive(Clone, Debug, PartialEq)]
pub struct Step {
    /// When.
    pub at: Nanos,
    /// What.
    pub what: Do,
}

/// Seconds of a trial file as nanoseconds.
pub fn nanos(seconds: f64) -> Nanos {
    (seconds * SECOND as f64) as Nanos
}

fn draw(side: Side, count: usize, stream: &mut Stream) -> Nodes {
    match side {
        Side::These(nodes) => nodes.into_iter().collect(),
        Side::Rest => Nodes::new(),
        Side::Share(share) => {
            let mut all: Vec<usize> = (0..count).collect();
            all.shuffle(stream);
            all.truncate((share * count as f64).round() as usize);
            all.into_iter().collect()
        }
    }
}

/// Of a side those that are processes of the fleet.
fn only_nodes(side: Nodes) -> Nodes {
    side.into_iter().filter(|&end| end < SERVERS).collect()
}

/// All steps of a trial, in order of time; the same for the same seed.
pub fn steps(trial: &Trial) -> Result<Vec<Step>, String> {
    let count = trial.fleet.nodes;
    let mut steps: Vec<Step> = Vec::new();
    for (n, fault) in trial.faults.iter().enumerate() {
        // A stream for each fault: shrinking one away leaves the draws of the others.
        let mut stream = Seed(trial.seed).stream("fault", n as u64);
        let (begins, ends) = (nanos(fault.at), fault.lasts.map(|lasts| nanos(fault.at + lasts)));
        let mut ends_of = |side: &str| trial.members(side).map(|side| draw(side, count, &mut stream));
        let mut add = |at: Nanos, what: Do| steps.push(Step { at, what });
        let ends = |add: &mut dyn FnMut(Nanos, Do), what: Do| {
            if let Some(at) = ends {
                add(at, what);
            }
        };
        let (from, to, effects) = match &fault.what {
            What::Kill { who: side, disk } => {
                for node in only_nodes(ends_of(side)?) {
                    add(begins, Do::Kill(node));
                    ends(&mut add, Do::Start(node, *disk));
                }
                continue;
            }
            What::Roll { who: side, every } => {
                for (turn, node) in only_nodes(ends_of(side)?).into_iter().enumerate() {
                    let at = begins + nanos(every * turn as f64);
                    add(at, Do::Stop(node));
                    add(at + nanos(0.7 * every), Do::Start(node, Kept::Kept));
                }
                continue;
            }
            What::Pause { who: side } => {
                for node in only_nodes(ends_of(side)?) {
                    add(begins, Do::Pause(node));
                    ends(&mut add, Do::Continue(node));
                }
                continue;
            }
            What::Disk { who: side, does } => {
                for node in only_nodes(ends_of(side)?) {
                    add(begins, Do::Disk(node, Some(*does)));
                    ends(&mut add, Do::Disk(node, None));
                }
                continue;
            }
            What::Cut { from, to, .. } => (from, to, Effect::Cut),
            What::Reset { from, to } => (from, to, Effect::Reset),
            What::Thin { from, to, loss } => (from, to, Effect::Thin(*loss)),
            What::Delay { from, to, ms, jitter_ms } => (from, to, Effect::Delay(*ms, *jitter_ms)),
            What::Throttle { from, to, bytes_s } => (from, to, Effect::Throttle(*bytes_s)),
            What::Duplicate { from, to, share } => (from, to, Effect::Duplicate(*share)),
        };
        let one_way = matches!(&fault.what, What::Cut { one_way: true, .. });
        let (mut left, mut right) = (ends_of(from)?, ends_of(to)?);
        let rest = |of: &Nodes| trial.ends().filter(|end| !of.contains(end)).collect::<Nodes>();
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
            add(begins, Do::Begin { rule, from: from.clone(), to: to.clone(), effect: effects });
            ends(&mut add, Do::End(rule));
        }
    }
    steps.sort_by_key(|step| step.at); // stable: faults of one moment stay in the order of the file
    Ok(steps)
}
