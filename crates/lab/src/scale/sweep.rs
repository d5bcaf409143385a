//! Measures hollow nodes over several fleet sizes.

use std::time::Duration;

use merlinfold_simulation::{Nanos, MS};

use super::cluster::Cluster;
use super::messages::{NodeSample, Proposals, CANDIDATES};
use super::report::{Figure, Measured, Run, Sweep};
use super::resources::{load, machine_memory_kib, monotonic, Processors};
use super::window::{costs, last_of_nodes, machine_state, memory_kib, Cost, MachineState, Window};

const WARM_UP: Duration = Duration::from_secs(20); // after the fleet has formed: start-up gossip ends and the log's group is founded
const PROPOSED_KEYS: u64 = 256;

/// The role whose cost is reported.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// Every node, in a fleet without a replicated log.
    Membership,
    /// Voters of the replicated log.
    LogVoter,
    /// All other nodes of a fleet with a replicated log.
    LogFollower,
}

impl Role {
    /// Returns the role's name in tables and files.
    pub fn name(self) -> &'static str {
        match self {
            Role::Membership => "membership",
            Role::LogVoter => "log-voter",
            Role::LogFollower => "log-follower",
        }
    }

    fn has_log(self) -> bool {
        self != Role::Membership
    }

    fn includes(self, node: &NodeSample) -> bool {
        match self {
            Role::Membership => true,
            Role::LogVoter => node.votes,
            Role::LogFollower => !node.votes,
        }
    }
}

const NOTE: &str =
    "Hollow nodes: the whole control part (membership, with the agreed log where the role has one) on \
                    sockets, without a data plane. Proposals to the log: 4 a second unless the command says otherwise.";

/// Measures each size and fits the costs of these roles, which must all have a log or all have none.
pub async fn sweep(
    roles: &[Role], sizes: &[usize], seconds: u64, propose_every_ms: u64,
) -> Result<Vec<Sweep>, String> {
    let mut runs: Vec<Vec<Run>> = vec![Vec::new(); roles.len()];
    for &size in sizes {
        let measurement =
            measure(size, roles.iter().any(|role| role.has_log()), seconds, propose_every_ms).await?;
        for (role, runs) in roles.iter().zip(&mut runs) {
            runs.push(measurement.run(*role));
        }
        eprintln!("measured {size} nodes");
    }
    let roles_with_runs = roles.iter().zip(runs);
    Ok(roles_with_runs.map(|(role, runs)| Sweep::new(role.name(), "nodes", seconds, NOTE, runs)).collect())
}

/// The measurement of a fleet of one size.
struct Measurement {
    size: usize,
    machine: MachineState,
    nodes: Vec<(NodeSample, Cost)>,
    memory_kib: f64,
    confirmed: Vec<Nanos>,
}

async fn measure(size: usize, log: bool, seconds: u64, propose_every_ms: u64) -> Result<Measurement, String> {
    let load_before = load().unwrap_or_default();
    let mut cluster = Cluster::start(size, log, false).await?;
    cluster.form().await?;
    cluster.watch(WARM_UP).await?;
    if log && propose_every_ms > 0 {
        // The proposer is neither a voter nor a candidate, as most nodes that propose changes.
        let proposer = (size - 1).max(CANDIDATES);
        let proposals =
            Proposals { node: proposer, every_ms: propose_every_ms, count: None, keys: PROPOSED_KEYS };
        cluster.propose(proposals).await?;
    }
    let (processors, from) = (Processors::now(), monotonic());
    cluster.watch(Duration::from_secs(seconds)).await?;
    let window = Window { from, to: monotonic() };
    let machine = machine_state(cluster.series(), window, load_before, processors);
    let spent = costs(cluster.series(), window);
    let nodes = last_of_nodes(cluster.series(), window);
    let nodes = nodes.into_iter().filter_map(|(node, sample)| Some((sample, *spent.get(&node)?))).collect();
    let memory = memory_kib(cluster.series(), window);
    let inside = cluster.series().iter().flatten().filter(|sample| sample.at >= from);
    let confirmed = inside.flat_map(|sample| sample.confirmed.iter().copied()).collect();
    cluster.stop().await;
    check_memory(memory * size as f64)?;
    Ok(Measurement { size, machine, nodes, memory_kib: memory, confirmed })
}

/// Returns an error if the nodes of a run, with `kib` in total, use more than half of the machine's memory.
pub fn check_memory(kib: f64) -> Result<(), String> {
    let half = machine_memory_kib().unwrap_or(u64::MAX) as f64 / 2.0;
    if kib <= half {
        return Ok(());
    }
    Err(format!("the nodes used {:.0} MB, more than half of the machine's memory", kib / 1_024.0))
}

/// Sorts the values, in ns, and returns the one at this share of them, in ms; 0 if there are none.
pub fn percentile_ms(values: &mut [Nanos], share: f64) -> f64 {
    values.sort_unstable();
    let index = ((values.len().max(1) - 1) as f64 * share).round() as usize;
    values.get(index).map_or(0.0, |value| *value as f64 / MS as f64)
}

impl Measurement {
    /// Returns the figures of the nodes with this role.
    fn run(&self, role: Role) -> Run {
        let members: Vec<&(NodeSample, Cost)> =
            self.nodes.iter().filter(|(node, _)| role.includes(node)).collect();
        let mean = Cost::mean(members.iter().map(|(_, cost)| cost));
        let max = |of: fn(&Cost) -> f64| members.iter().map(|(_, cost)| of(cost)).fold(0.0, f64::max);
        let mean_count = |of: fn(&NodeSample) -> usize| {
            members.iter().map(|(node, _)| of(node) as f64).sum::<f64>() / members.len().max(1) as f64
        };
        let mut figures = vec![
            (Figure::Members, mean_count(|node| node.known)),
            (Figure::MessagesS, mean.messages_s),
            (Figure::BytesS, mean.bytes_s),
            (Figure::BytesMaxS, max(|cost| cost.bytes_s)),
            (Figure::CpuUsS, mean.cpu_us_s),
            (Figure::TaskUsS, mean.task_us_s),
            (Figure::CpuMaxUsS, max(|cost| cost.cpu_us_s)),
            (Figure::MemoryKib, self.memory_kib),
        ];
        if role.has_log() {
            let mut confirmed = self.confirmed.clone();
            figures.extend([
                (Figure::LogBytesS, mean.log_bytes_s),
                (Figure::LogValues, mean_count(|node| node.log_values)),
                (Figure::CommitMedianMs, percentile_ms(&mut confirmed, 0.5)),
                (Figure::CommitP99Ms, percentile_ms(&mut confirmed, 0.99)),
            ]);
        }
        let figures = figures.into_iter().map(|(figure, value)| Measured { figure, value }).collect();
        Run { size: self.size, machine: Some(self.machine), figures }
    }
}
