//! Injects faults into a large fleet of hollow nodes. Reports the cost in the worst ten seconds and the time until all
//! nodes have the same view again.

use std::path::Path;
use std::time::Duration;

use clap::ValueEnum;
use merlinfold_simulation::{Nanos, SECOND};
use serde::Serialize;

use super::cluster::Cluster;
use super::limits::{Limits, Overshoot};
use super::messages::{region, zone, NodeSample, Proposals, RelayOrder, CANDIDATES, ZONES};
use super::report::{write_json, SCHEMA};
use super::resources::{load, monotonic, Processors};
use super::sweep::{check_memory, percentile_ms};
use super::window::{costs, last_of_nodes, machine_state, memory_kib, MachineState, Window};

const WARM_UP: Duration = Duration::from_secs(20);
const BASELINE_DURATION: Duration = Duration::from_secs(12); // before the fault, for comparison
const RESTART_DOWNTIME: Duration = Duration::from_secs(2);
const ZONE_DOWNTIME: Duration = Duration::from_secs(25);
const RECOVERY_DURATION: Duration = Duration::from_secs(30); // after the last step
const WORST_WINDOW: Nanos = 10 * SECOND;
const WORST_WINDOW_STEP: Nanos = SECOND;
const RESTARTED_ONE_IN: usize = 10; // of all nodes
const PROPOSE_EVERY_MS: u64 = 250;
const PROPOSED_KEYS: u64 = 256;

/// The fault to inject.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Fault {
    /// A tenth of all nodes is killed at once and restarted 2 s later.
    Tenth,
    /// A zone is killed at once and restarted 25 s later.
    Zone,
    /// One region is cut off from all others.
    RegionOff,
    /// Two regions are cut off from each other; both reach the third.
    RegionsApart,
    /// The leader of the replicated log is killed and not restarted.
    Voter,
}

/// The number of members that each node should consider alive; none for a node that is down.
type Expected = Vec<Option<usize>>;

/// A period of a run in which the expected views do not change.
struct Phase {
    name: &'static str,
    from: Nanos,
    expected: Expected,
}

/// The outcome of a phase.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct PhaseReport {
    /// The event that began the phase.
    pub name: String,
    /// Its duration, s.
    pub seconds: f64,
    /// Time until every running node had the expected number of members alive and kept it to the end of the phase, s;
    /// none if that did not happen.
    pub one_view_s: Option<f64>,
}

/// The cost of a fault.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct FaultReport {
    /// Version of this form.
    pub schema: u32,
    /// The injected fault.
    pub fault: Fault,
    /// The command that made the report.
    pub command: String,
    /// Number of nodes in the fleet.
    pub nodes: usize,
    /// Number of nodes that were killed or cut off.
    pub struck: usize,
    /// Whether all datagrams passed through relays.
    pub relayed: bool,
    /// State of the machine from the fault on.
    pub machine: MachineState,
    /// The worst 10 s before the fault.
    pub before: Worst,
    /// The worst 10 s from the fault on.
    pub worst: Worst,
    /// Resident memory of a hollow node at the end, KiB.
    pub memory_kib: f64,
    /// Number of accusations of failure from the fault on.
    pub accused: u64,
    /// Number of proposals to the replicated log that were confirmed from the fault on.
    pub confirmed: usize,
    /// Median, 99th percentile and maximum of the time to confirmation, ms.
    pub commit_ms: [f64; 3],
    /// Number of proposals that failed.
    pub unconfirmed: u64,
    /// The phases.
    pub phases: Vec<PhaseReport>,
    /// The cost as multiples of the limits.
    pub overshoot: Overshoot,
}

/// Cost in the worst ten seconds, found for each figure separately.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Worst {
    /// Bytes sent per second and node, mean of all nodes.
    pub mean_bytes_s: f64,
    /// Bytes sent per second by the node that sent most.
    pub max_bytes_s: f64,
    /// Processor time per second and node, mean of all nodes, us.
    pub mean_cpu_us_s: f64,
    /// Processor time per second of the node that used most, us.
    pub max_cpu_us_s: f64,
}

/// Injects a fault into a fleet of this size, prints the report and writes it to `json`.
pub async fn run(fault: Fault, nodes: usize, apart: Duration, json: Option<&Path>) -> Result<(), String> {
    let load_before = load().unwrap_or_default();
    let relayed = matches!(fault, Fault::RegionOff | Fault::RegionsApart);
    let mut cluster = Cluster::start(nodes, true, relayed).await?;
    cluster.form().await?;
    cluster.watch(WARM_UP).await?;
    let proposer = (nodes - 1).max(CANDIDATES);
    let proposals =
        Proposals { node: proposer, every_ms: PROPOSE_EVERY_MS, count: None, keys: PROPOSED_KEYS };
    cluster.propose(proposals).await?;
    let baseline_start = monotonic();
    cluster.watch(BASELINE_DURATION).await?;
    let (processors, begun) = (Processors::now(), monotonic());
    let (struck, phases) = inject(&mut cluster, fault, proposer, apart).await?;
    let window = Window { from: begun, to: monotonic() };
    let report = FaultReport {
        schema: SCHEMA,
        fault,
        command: format!("merlinfold-lab {}", std::env::args().skip(1).collect::<Vec<_>>().join(" ")),
        nodes,
        struck,
        relayed,
        machine: machine_state(cluster.series(), window, load_before, processors),
        before: worst(&cluster, Window { from: baseline_start, to: begun }),
        worst: worst(&cluster, window),
        memory_kib: memory_kib(cluster.series(), window),
        accused: accusations(&cluster, window),
        confirmed: 0,
        commit_ms: [0.0; 3],
        unconfirmed: 0,
        phases: phase_reports(&cluster, &phases, window.to),
        overshoot: Overshoot::default(),
    };
    let report = report.with_commits(&cluster, window).with_overshoot();
    cluster.stop().await;
    check_memory(report.memory_kib * nodes as f64)?;
    println!("{}", report.text());
    json.map_or(Ok(()), |path| write_json(&report, path))
}

/// Injects the fault, waits and repairs it. Returns the number of nodes struck and the expected views of each phase.
async fn inject(
    cluster: &mut Cluster, fault: Fault, proposer: usize, apart: Duration,
) -> Result<(usize, Vec<Phase>), String> {
    let nodes = cluster.nodes();
    let all_see = |alive: usize| vec![Some(alive); nodes];
    let without = |struck: &[usize]| {
        let mut expected = all_see(nodes - struck.len());
        struck.iter().for_each(|node| expected[*node] = None);
        expected
    };
    let every_tenth =
        |offset: usize| (0..nodes).filter(move |node| node % RESTARTED_ONE_IN == offset % RESTARTED_ONE_IN);
    let begun = monotonic();
    let phase = |name, expected| Phase { name, from: monotonic(), expected };
    match fault {
        Fault::Tenth | Fault::Zone => {
            let (struck, down, name): (Vec<usize>, _, _) = if fault == Fault::Tenth {
                (every_tenth(proposer + 1).collect(), RESTART_DOWNTIME, "a tenth killed")
            } else {
                let proposer_zone = zone(proposer);
                (
                    (0..nodes).filter(|node| zone(*node) == (proposer_zone + 1) % ZONES).collect(),
                    ZONE_DOWNTIME,
                    "a zone killed",
                )
            };
            cluster.kill_nodes(&struck).await?;
            let first = Phase { name, from: begun, expected: without(&struck) };
            cluster.watch(down).await?;
            cluster.start_nodes(&struck).await?;
            let second = phase("started again", all_see(nodes));
            cluster.watch(RECOVERY_DURATION).await?;
            Ok((struck.len(), vec![first, second]))
        }
        Fault::RegionOff | Fault::RegionsApart => {
            let nodes_of_region = |which: usize| (0..nodes).filter(move |node| region(*node) == which);
            let left: Vec<usize> = nodes_of_region(1).collect();
            let right: Vec<usize> = if fault == Fault::RegionOff {
                nodes_of_region(0).chain(nodes_of_region(2)).collect()
            } else {
                nodes_of_region(0).collect()
            };
            let expected = if fault == Fault::RegionOff {
                let mut expected = all_see(right.len());
                left.iter().for_each(|node| expected[*node] = Some(left.len()));
                expected
            } else {
                all_see(nodes)
            };
            let struck = left.len();
            cluster.relay(&RelayOrder::Cut(left, right)).await?;
            let first = Phase { name: "cut", from: begun, expected };
            cluster.watch(apart).await?;
            cluster.relay(&RelayOrder::Heal).await?;
            let second = phase("healed", all_see(nodes));
            cluster.watch(RECOVERY_DURATION).await?;
            Ok((struck, vec![first, second]))
        }
        Fault::Voter => {
            let now = Window { from: 0, to: monotonic() };
            let seen = last_of_nodes(cluster.series(), now);
            let leader =
                seen.values().find(|node| node.leads).ok_or("the replicated log has no leader to kill")?.node;
            cluster.kill_nodes(&[leader]).await?;
            let first = Phase { name: "the leader killed", from: begun, expected: without(&[leader]) };
            cluster.watch(RECOVERY_DURATION).await?;
            Ok((1, vec![first]))
        }
    }
}

fn worst(cluster: &Cluster, window: Window) -> Worst {
    let mut worst = Worst::default();
    let mut from = window.from;
    while from + WORST_WINDOW <= window.to {
        let costs = costs(cluster.series(), Window { from, to: from + WORST_WINDOW });
        let count = costs.len().max(1) as f64;
        let (mut bytes, mut cpu) = (0.0, 0.0);
        for cost in costs.values() {
            (bytes, cpu) = (bytes + cost.bytes_s, cpu + cost.cpu_us_s);
            worst.max_bytes_s = worst.max_bytes_s.max(cost.bytes_s);
            worst.max_cpu_us_s = worst.max_cpu_us_s.max(cost.cpu_us_s);
        }
        worst.mean_bytes_s = worst.mean_bytes_s.max(bytes / count);
        worst.mean_cpu_us_s = worst.mean_cpu_us_s.max(cpu / count);
        from += WORST_WINDOW_STEP;
    }
    worst
}

fn accusations(cluster: &Cluster, window: Window) -> u64 {
    let at = |to: Nanos| {
        let nodes = last_of_nodes(cluster.series(), Window { from: 0, to });
        nodes.values().map(|node| node.accused).sum::<u64>()
    };
    at(window.to).saturating_sub(at(window.from))
}

/// Reports for each phase when the last running node stopped having an unexpected number of members alive.
fn phase_reports(cluster: &Cluster, phases: &[Phase], end: Nanos) -> Vec<PhaseReport> {
    let seconds = |time: Nanos| time as f64 / SECOND as f64;
    let mut reports = Vec::new();
    for (n, phase) in phases.iter().enumerate() {
        let to = phases.get(n + 1).map_or(end, |next| next.from);
        let samples =
            cluster.series().iter().map(|of| of.iter().filter(|s| (phase.from..to).contains(&s.at)));
        let (mut last_wrong, mut never_right) = (phase.from, false);
        for of in samples {
            let mut last_is_wrong = false;
            for sample in of {
                let is_wrong =
                    |node: &NodeSample| phase.expected[node.node].is_some_and(|alive| node.alive != alive);
                last_is_wrong = sample.nodes.iter().any(is_wrong);
                if last_is_wrong {
                    last_wrong = last_wrong.max(sample.at);
                }
            }
            never_right |= last_is_wrong;
        }
        let sample = super::hollow::SAMPLE_INTERVAL.as_nanos() as Nanos;
        reports.push(PhaseReport {
            name: phase.name.to_owned(),
            seconds: seconds(to - phase.from),
            one_view_s: (!never_right).then(|| seconds(last_wrong - phase.from + sample)),
        });
    }
    reports
}

impl FaultReport {
    fn with_commits(mut self, cluster: &Cluster, window: Window) -> Self {
        let inside = cluster.series().iter().flatten().filter(|sample| sample.at >= window.from);
        let mut confirmed = Vec::new();
        for sample in inside {
            confirmed.extend(&sample.confirmed);
            self.unconfirmed += sample.unconfirmed;
        }
        self.confirmed = confirmed.len();
        self.commit_ms = [0.5, 0.99, 1.0].map(|share| percentile_ms(&mut confirmed, share));
        self
    }

    fn with_overshoot(mut self) -> Self {
        self.overshoot = Limits::CONTROL.overshoot(&self.worst, self.memory_kib);
        self
    }

    fn text(&self) -> String {
        let line = |name: &str, worst: &Worst| {
            format!(
                "{name}: worst 10 s: bytes/s {:.0} mean, {:.0} most; us/s {:.0} mean, {:.0} most\n",
                worst.mean_bytes_s, worst.max_bytes_s, worst.mean_cpu_us_s, worst.max_cpu_us_s
            )
        };
        let mut text = format!("{:?} at {} nodes, {} struck\n", self.fault, self.nodes, self.struck);
        text += &line("before", &self.before);
        text += &line("from the fault on", &self.worst);
        for phase in &self.phases {
            let view = phase.one_view_s.map_or("never in it".to_owned(), |s| format!("after {s:.2} s"));
            text += &format!("{} ({:.0} s): one view {view}\n", phase.name, phase.seconds);
        }
        text += &format!(
            "memory {:.0} KiB a node; {} accusations; log: {} confirmed, ms {:.0}, {:.0}, {:.0} (median, 99th, most), {} not\n",
            self.memory_kib,
            self.accused,
            self.confirmed,
            self.commit_ms[0],
            self.commit_ms[1],
            self.commit_ms[2],
            self.unconfirmed
        );
        let machine = &self.machine;
        text += &format!(
            "machine: load before {:.1}, busy {:.0}%, lateness p99 {:.1} ms, most {:.1} ms, held up {} times{}\n",
            machine.load_before,
            100.0 * machine.busy,
            machine.lateness_p99_ms,
            machine.lateness_max_ms,
            machine.held_up,
            machine.verdict()
        );
        text + &self.overshoot.text()
    }
}
