//! Computes the cost of a fleet's nodes between two points in time from the samples of their processes.

use std::collections::BTreeMap;

use merlinfold_simulation::{Nanos, MS, SECOND};
use serde::Serialize;

use super::cluster::Series;
use super::messages::NodeSample;
use super::resources::Processors;

/// Above this share of busy processors, the machine counts as the limit of processor time and latency.
pub const MAX_BUSY_SHARE: f64 = 0.9;
/// Above this 99th percentile of timer lateness, the machine counts as the limit of all figures, also of bytes sent.
/// It is half the delay at which a node considers itself stalled.
pub const MAX_LATENESS_MS: f64 = 50.0;

/// A period of monotonic time, in ns, over which costs are measured.
#[derive(Clone, Copy, Debug)]
pub struct Window {
    /// Start of the period.
    pub from: Nanos,
    /// End of the period.
    pub to: Nanos,
}

/// State of the machine during a run, which decides whether the run's figures are usable.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct MachineState {
    /// Load average over the minute before the run.
    pub load_before: f64,
    /// Share of all processors in use during the window, by any program.
    pub busy: f64,
    /// 99th percentile of the lateness of timers in the processes of hollow nodes, with four samples per second each.
    /// In ms.
    pub lateness_p99_ms: f64,
    /// Maximum of the same lateness, ms.
    pub lateness_max_ms: f64,
    /// Times that a node detected that it had been stalled.
    pub held_up: u64,
    /// Whether the processors were the limit; fits then ignore the run's processor times and latencies.
    pub saturated: bool,
    /// Whether timers were late; fits then ignore the whole run.
    pub late: bool,
}

impl MachineState {
    /// Returns what made the run unusable for fits; empty if nothing did.
    pub fn verdict(&self) -> &'static str {
        match (self.late, self.saturated) {
            (true, _) => "  THE MACHINE WAS THE LIMIT (timers late): used for no fit",
            (false, true) => "  PROCESSORS SATURATED: processor times and latencies used for no fit",
            (false, false) => "",
        }
    }
}

/// Cost of one node, or mean cost of several nodes, in a window.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Cost {
    /// Messages sent per second.
    pub messages_s: f64,
    /// Bytes sent per second.
    pub bytes_s: f64,
    /// The replicated log's part of the bytes sent per second.
    pub log_bytes_s: f64,
    /// Processor time per second, us: the node's own task and an equal share of its process's other work.
    pub cpu_us_s: f64,
    /// The part of it used by the node's own task, us.
    pub task_us_s: f64,
}

impl Cost {
    /// Returns the mean of several costs; zero if there are none.
    pub fn mean<'a>(costs: impl Iterator<Item = &'a Cost>) -> Cost {
        let (mut sum, mut count) = (Cost::default(), 0.0f64);
        for cost in costs {
            sum.messages_s += cost.messages_s;
            sum.bytes_s += cost.bytes_s;
            sum.log_bytes_s += cost.log_bytes_s;
            sum.cpu_us_s += cost.cpu_us_s;
            sum.task_us_s += cost.task_us_s;
            count += 1.0;
        }
        let mean = |sum: f64| sum / count.max(1.0);
        Cost {
            messages_s: mean(sum.messages_s),
            bytes_s: mean(sum.bytes_s),
            log_bytes_s: mean(sum.log_bytes_s),
            cpu_us_s: mean(sum.cpu_us_s),
            task_us_s: mean(sum.task_us_s),
        }
    }
}

fn difference(first: &NodeSample, last: &NodeSample, shared: f64, seconds: f64) -> Cost {
    let rate = |from: u64, to: u64| to.saturating_sub(from) as f64 / seconds;
    let log_bytes_s = rate(first.log_bytes, last.log_bytes);
    Cost {
        messages_s: rate(first.messages, last.messages) + rate(first.log_messages, last.log_messages),
        bytes_s: rate(first.bytes, last.bytes) + log_bytes_s,
        log_bytes_s,
        cpu_us_s: (rate(first.cpu, last.cpu) + shared) / 1e3,
        task_us_s: rate(first.cpu, last.cpu) / 1e3,
    }
}

/// Returns each node's cost between the first and the last sample of a window.
pub fn costs(series: &[Series], window: Window) -> BTreeMap<usize, Cost> {
    let mut costs = BTreeMap::new();
    for of in series {
        let mut inside = of.iter().filter(|sample| (window.from..=window.to).contains(&sample.at));
        let (Some(first), Some(last)) = (inside.next(), inside.next_back()) else { continue };
        let seconds = (last.at - first.at) as f64 / SECOND as f64;
        let before: BTreeMap<usize, &NodeSample> = first.nodes.iter().map(|node| (node.node, node)).collect();
        let nodes: Vec<(&NodeSample, &NodeSample)> =
            last.nodes.iter().filter_map(|node| Some((*before.get(&node.node)?, node))).collect();
        let used = last.thread_cpu.saturating_sub(first.thread_cpu);
        let measuring = last.measuring_cpu.saturating_sub(first.measuring_cpu);
        let in_tasks: u64 = nodes.iter().map(|(first, last)| last.cpu.saturating_sub(first.cpu)).sum();
        let shared = used.saturating_sub(measuring).saturating_sub(in_tasks) as f64;
        let shared_s = shared / seconds / nodes.len().max(1) as f64;
        costs.extend(
            nodes.iter().map(|(first, last)| (last.node, difference(first, last, shared_s, seconds))),
        );
    }
    costs
}

/// Returns the mean resident anonymous memory of a hollow node at the end of a window, KiB.
pub fn memory_kib(series: &[Series], window: Window) -> f64 {
    let (mut memory, mut nodes) = (0, 0);
    for of in series {
        let Some(last) = of.iter().rfind(|sample| sample.at <= window.to) else { continue };
        memory += last.memory_kib.saturating_sub(last.empty_memory_kib);
        nodes += last.nodes.len();
    }
    memory as f64 / nodes.max(1) as f64
}

/// Returns the last sample of each node up to the end of a window.
pub fn last_of_nodes(series: &[Series], window: Window) -> BTreeMap<usize, NodeSample> {
    let last = |of: &Series| of.iter().rfind(|sample| sample.at <= window.to).cloned();
    series.iter().filter_map(last).flat_map(|last| last.nodes).map(|node| (node.node, node)).collect()
}

/// Returns the state of the machine in a window.
pub fn machine_state(
    series: &[Series], window: Window, load_before: f64, earlier: Option<Processors>,
) -> MachineState {
    let busy = match (Processors::now(), earlier) {
        (Some(now), Some(earlier)) => now.busy_since(&earlier),
        _ => 0.0,
    };
    let inside = |at: Nanos| (window.from..=window.to).contains(&at);
    let samples = || series.iter().flatten().filter(|sample| inside(sample.at));
    let mut lateness: Vec<Nanos> = samples().map(|sample| sample.lateness).collect();
    lateness.sort_unstable();
    let at = |share: f64| {
        let place = ((lateness.len().max(1) - 1) as f64 * share).round() as usize;
        lateness.get(place).map_or(0.0, |late| *late as f64 / MS as f64)
    };
    let held_up = |of: &Series| {
        let mut inside = of.iter().filter(|sample| inside(sample.at));
        let sum = |nodes: &[NodeSample]| nodes.iter().map(|node| node.held_up).sum::<u64>();
        match (inside.next(), inside.next_back()) {
            (Some(first), Some(last)) => sum(&last.nodes).saturating_sub(sum(&first.nodes)),
            _ => 0,
        }
    };
    let lateness_p99_ms = at(0.99);
    MachineState {
        load_before,
        busy,
        lateness_p99_ms,
        lateness_max_ms: at(1.0),
        held_up: series.iter().map(held_up).sum(),
        saturated: busy > MAX_BUSY_SHARE,
        late: lateness_p99_ms > MAX_LATENESS_MS,
    }
}
