//! Faults in a fleet of hollow nodes at size: what they cost in the worst ten seconds and how long it takes until all
//! see the same again.

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
const QUIET: Duration = Duration::from_secs(12); // before the fault, to compare with
const DOWN: Duration = Duration::from_secs(2); // for a restart
const GONE: Duration = Duration::from_secs(25); // for a zone
const AFTER: Duration = Duration::from_secs(30); // after the last step
const WORST: Nanos = 10 * SECOND;
const STEP: Nanos = SECOND;
const RESTARTED_SHARE: usize = 10; // one in so many
const PROPOSE_EVERY_MS: u64 = 250;
const PROPOSED_KEYS: u64 = 256;

/// What fails.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Fault {
    /// A tenth of all nodes is killed at once and started 2 s later.
    Tenth,
    /// A zone is killed at once and started 25 s later.
    Zone,
    /// One region loses all others.
    RegionOff,
    /// Two regions lose each other; both reach the third.
    RegionsApart,
    /// The leading voter of the agreed log is killed and stays away.
    Voter,
}

/// Nodes, and how many each should hold alive; none: it is down.
type Expected = Vec<Option<usize>>;

/// A stretch of a run in which the same should be seen.
struct Phase {
    name: &'static str,
    from: Nanos,
    expected: Expected,
}

/// How a phase went.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct PhaseReport {
    /// What began it.
    pub name: String,
    /// How long it lasted, s.
    pub seconds: f64,
    /// Time until every live node held as many alive as there are, to the end of the phase; none: it did not come.
    pub one_view_s: Option<f64>,
}

/// What a fault cost.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct FaultReport {
    /// Version of this form.
    pub schema: u32,
    /// What failed.
    pub fault: Fault,
    /// The command that made it.
    pub command: String,
    /// Nodes of the fleet.
    pub nodes: usize,
    /// Nodes that were killed or cut off.
    pub struck: usize,
    /// Whether all datagrams passed through relays.
    pub relayed: bool,
    /// How the machine was from the fault on.
    pub machine: MachineState,
    /// Before the fault: the worst 10 s.
    pub before: Worst,
    /// From the fault on: the worst 10 s.
    pub worst: Worst,
    /// Resident memory of a hollow node at the end, KiB.
    pub memory_kib: f64,
    /// Accusations from the fault on.
    pub accused: u64,
    /// Proposals to the agreed log that were confirmed from the fault on, and how long that took.
    pub confirmed: usize,
    /// The same, ms: median, 99th percentile, most.
    pub commit_ms: [f64; 3],
    /// Proposals that were not confirmed.
    pub unconfirmed: u64,
    /// The phases.
    pub phases: Vec<PhaseReport>,
    /// What was over the limits of control.
    pub overshoot: Overshoot,
}

/// The worst ten seconds: each figure's own.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Worst {
    /// Bytes a second of a node on the mean of all.
    pub mean_bytes_s: f64,
    /// Bytes a second of the node that sent most.
    pub max_bytes_s: f64,
    /// Processor time of a node's second on the mean of all, us.
    pub mean_cpu_us_s: f64,
    /// The same of the node that used most.
    pub max_cpu_us_s: f64,
}

/// Plays a fault at a size and writes down what it cost.
pub async fn play(fault: Fault, nodes: usize, apart: Duration, json: Option<&Path>) -> Result<(), String> {
    let load_before = load().unwrap_or_default();
    let relayed = matches!(fault, Fault::RegionOff | Fault::RegionsApart);
    let mut cluster = Cluster::start(nodes, true, relayed).await?;
    cluster.form().await?;
    cluster.watch(WARM_UP).await?;
    let node = (nodes - 1).max(CANDIDATES);
    let proposals = Proposals { node, every_ms: PROPOSE_EVERY_MS, count: None, keys: PROPOSED_KEYS };
    cluster.propose(proposals).await?;
    let quiet = monotonic();
    cluster.watch(QUIET).await?;
    let (processors, begun) = (Processors::now(), monotonic());
    let (struck, phases) = carry_out(&mut cluster, fault, node, apart).await?;
    let window = Window { from: begun, to: monotonic() };
    let report = FaultReport {
        schema: SCHEMA,
        fault,
        command: format!("merlinfold-lab {}", std::env::args().skip(1).collect::<Vec<_>>().join(" ")),
        nodes,
        struck,
        relayed,
        machine: machine_state(cluster.series(), window, load_before, processors),
        before: worst(&cluster, Window { from: quiet, to: begun }),
        worst: worst(&cluster, window),
        memory_kib: memory_kib(cluster.series(), window),
        accused: accused(&cluster, window),
        confirmed: 0,
        commit_ms: [0.0; 3],
        unconfirmed: 0,
        phases: judge(&cluster, &phases, window.to),
        overshoot: Overshoot::default(),
    };
    let report = report.with_commits(&cluster, window).with_overshoot();
    cluster.end().await;
    check_memory(report.memory_kib * nodes as f64)?;
    println!("{}", report.text());
    json.map_or(Ok(()), |path| write_json(&report, path))
}

/// Strikes, waits and mends; returns how many were struck and what should have been seen when.
async fn carry_out(
    cluster: &mut Cluster, fault: Fault, proposer: usize, apart: Duration,
) -> Result<(usize, Vec<Phase>), String> {
    let nodes = cluster.nodes();
    let all = |alive: usize| vec![Some(alive); nodes];
    let without = |struck: &[usize]| {
        let mut expected = all(nodes - struck.len());
        struck.iter().for_each(|node| expected[*node] = None);
        expected
    };
    let restart =
        |share: usize| (0..nodes).filter(move |node| node % RESTARTED_SHARE == share % RESTARTED_SHARE);
    let begun = monotonic();
    let phase = |name, expected| Phase { name, from: monotonic(), expected };
    match fault {
        Fault::Tenth | Fault::Zone => {
            let (struck, down, name): (Vec<usize>, _, _) = if fault == Fault::Tenth {
                (restart(proposer + 1).collect(), DOWN, "a tenth killed")
            } else {
                let mine = zone(proposer);
                ((0..nodes).filter(|node| zone(*node) == (mine + 1) % ZONES).collect(), GONE, "a zone killed")
            };
            cluster.kill_nodes(&struck).await?;
            let first = Phase { name, from: begun, expected: without(&struck) };
            cluster.watch(down).await?;
            cluster.start_nodes(&struck).await?;
            let second = phase("started again", all(nodes));
            cluster.watch(AFTER).await?;
            Ok((struck.len(), vec![first, second]))
        }
        Fault::RegionOff | Fault::RegionsApart => {
            let of = |which: usize| (0..nodes).filter(move |node| region(*node) == which);
            let left: Vec<usize> = of(1).collect();
            let right: Vec<usize> =
                if fault == Fault::RegionOff { of(0).chain(of(2)).collect() } else { of(0).collect() };
            let expected = if fault == Fault::RegionOff {
                let mut expected = all(right.len());
                left.iter().for_each(|node| expected[*node] = Some(left.len()));
                expected
            } else {
                all(nodes)
            };
            let struck = left.len();
            cluster.relay(&RelayOrder::Cut(left, right)).await?;
            let first = Phase { name: "cut", from: begun, expected };
            cluster.watch(apart).await?;
            cluster.relay(&RelayOrder::Heal).await?;
            let second = phase("healed", all(nodes));
            cluster.watch(AFTER).await?;
            Ok((struck, vec![first, second]))
        }
        Fault::Voter => {
            let now = Window { from: 0, to: monotonic() };
            let seen = last_of_nodes(cluster.series(), now);
            let leader = seen.values().find(|node| node.leads).ok_or("nobody leads the agreed log")?.node;
            cluster.kill_nodes(&[leader]).await?;
            let first = Phase { name: "the leader killed", from: begun, expected: without(&[leader]) };
            cluster.watch(AFTER).await?;
            Ok((1, vec![first]))
        }
    }
}

fn worst(cluster: &Cluster, window: Window) -> Worst {
    let mut worst = Worst::default();
    let mut from = window.from;
    while from + WORST <= window.to {
        let costs = costs(cluster.series(), Window { from, to: from + WORST });
        let count = costs.len().max(1) as f64;
        let (mut bytes, mut cpu) = (0.0, 0.0);
        for cost in costs.values() {
            (bytes, cpu) = (bytes + cost.bytes_s, cpu + cost.cpu_us_s);
            worst.max_bytes_s = worst.max_bytes_s.max(cost.bytes_s);
            worst.max_cpu_us_s = worst.max_cpu_us_s.max(cost.cpu_us_s);
        }
        worst.mean_bytes_s = worst.mean_bytes_s.max(bytes / count);
        worst.mean_cpu_us_s = worst.mean_cpu_us_s.max(cpu / count);
        from += STEP;
    }
    worst
}

fn accused(cluster: &Cluster, window: Window) -> u64 {
    let at = |to: Nanos| {
        let nodes = last_of_nodes(cluster.series(), Window { from: 0, to });
        nodes.values().map(|node| node.accused).sum::<u64>()
    };
    at(window.to).saturating_sub(at(window.from))
}

/// Until when in each phase any live node saw another number than it should.
fn judge(cluster: &Cluster, phases: &[Phase], end: Nanos) -> Vec<PhaseReport> {
    let seconds = |time: Nanos| time as f64 / SECOND as f64;
    let mut reports = Vec::new();
    for (n, phase) in phases.iter().enumerate() {
        let to = phases.get(n + 1).map_or(end, |next| next.from);
        let samples =
            cluster.series().iter().map(|of| of.iter().filter(|s| (phase.from..to).contains(&s.at)));
        let (mut wrong, mut still) = (phase.from, false);
        for of in samples {
            let mut last_is_wrong = false;
            for sample in of {
                let off =
                    |node: &NodeSample| phase.expected[node.node].is_some_and(|alive| node.alive != alive);
                last_is_wrong = sample.nodes.iter().any(off);
                if last_is_wrong {
                    wrong = wrong.max(sample.at);
                }
            }
            still |= last_is_wrong;
        }
        let sample = super::hollow::SAMPLE_EVERY.as_nanos() as Nanos;
        reports.push(PhaseReport {
            name: phase.name.to_owned(),
            seconds: seconds(to - phase.from),
            one_view_s: (!still).then(|| seconds(wrong - phase.from + sample)),
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
