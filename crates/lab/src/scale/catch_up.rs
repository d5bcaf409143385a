//! Measures what a node that restarts without stored data fetches from the others until it has all values of the
//! replicated log again, by the number of values.

use std::collections::BTreeMap;
use std::time::Duration;

use merlinfold_simulation::{MS, SECOND};

use super::cluster::Cluster;
use super::messages::{NodeSample, Proposals};
use super::report::{Figure, Measured, Run, Sweep};
use super::resources::{load, monotonic, Processors};
use super::window::{costs, last_of_nodes, machine_state, Window};

const NODES: usize = 27; // of one process; the cost of catching up does not depend on the fleet's size
const RESTARTED_NODE: usize = NODES - 1;
const PROPOSER: usize = NODES - 2;
const WARM_UP: Duration = Duration::from_secs(8);
const FILL_INTERVAL_MS: u64 = 4;
const FILL_TIMEOUT: Duration = Duration::from_secs(90);
const BASELINE_DURATION: Duration = Duration::from_secs(5);
const CATCH_UP_TIMEOUT: Duration = Duration::from_secs(40);
const POLL_INTERVAL: Duration = super::hollow::SAMPLE_INTERVAL;
const NOTE: &str = "27 hollow nodes; one comes back with nothing. Bytes: what all nodes sent for the log from its start \
                    until it holds all values, above what they send when nothing happens; served: the one that sent most. \
                    Values of 64 bytes. Time to within 250 ms.";

/// Measures catching up at each number of log values.
pub async fn sweep(sizes: &[usize]) -> Result<Sweep, String> {
    let mut runs = Vec::new();
    for &values in sizes {
        runs.push(measure(values).await?);
        eprintln!("measured {values} values");
    }
    Ok(Sweep::new("catch-up", "values", 0, NOTE, runs))
}

fn sample_of(cluster: &Cluster, node: usize) -> Option<NodeSample> {
    last_of_nodes(cluster.series(), Window { from: 0, to: monotonic() }).remove(&node)
}

/// Waits until the node stores this many log values; returns an error after `timeout`.
async fn wait_for_values(
    cluster: &mut Cluster, node: usize, values: usize, timeout: Duration,
) -> Result<(), String> {
    let begun = monotonic();
    while monotonic() - begun < timeout.as_nanos() as u64 {
        cluster.watch(POLL_INTERVAL).await?;
        if sample_of(cluster, node).is_some_and(|sample| sample.log_values >= values) {
            return Ok(());
        }
    }
    let stored = sample_of(cluster, node).map_or(0, |sample| sample.log_values);
    Err(format!("node {node} has only {stored} of {values} values after {timeout:?}"))
}

async fn measure(values: usize) -> Result<Run, String> {
    let load_before = load().unwrap_or_default();
    let mut cluster = Cluster::start(NODES, true, false).await?;
    cluster.form().await?;
    cluster.watch(WARM_UP).await?;
    let fill = Proposals {
        node: PROPOSER,
        every_ms: FILL_INTERVAL_MS,
        // Some proposals are refused while too many are pending, so each key is proposed twice.
        count: Some(2 * values as u64),
        keys: values as u64,
    };
    cluster.propose(fill).await?;
    wait_for_values(&mut cluster, RESTARTED_NODE, values, FILL_TIMEOUT).await?;
    cluster.watch(FILL_TIMEOUT / 30 + Duration::from_millis(FILL_INTERVAL_MS * values as u64)).await?;
    let baseline_start = monotonic();
    cluster.watch(BASELINE_DURATION).await?;
    let baseline = costs(cluster.series(), Window { from: baseline_start, to: monotonic() });
    cluster.kill_nodes(&[RESTARTED_NODE]).await?;
    cluster.watch(Duration::from_secs(3)).await?;
    let (processors, begun) = (Processors::now(), monotonic());
    let before: BTreeMap<usize, NodeSample> = last_of_nodes(cluster.series(), Window { from: 0, to: begun });
    cluster.start_nodes(&[RESTARTED_NODE]).await?;
    wait_for_values(&mut cluster, RESTARTED_NODE, values, CATCH_UP_TIMEOUT).await?;
    let window = Window { from: begun, to: monotonic() };
    let took = (window.to - begun) as f64;
    let after = last_of_nodes(cluster.series(), window);
    let bytes_above_baseline = |node: &NodeSample| {
        let sent = node.log_bytes.saturating_sub(before.get(&node.node).map_or(0, |before| before.log_bytes));
        let expected = baseline.get(&node.node).map_or(0.0, |cost| cost.log_bytes_s) * took / SECOND as f64;
        sent as f64 - expected
    };
    let served: Vec<f64> =
        after.values().filter(|node| node.node != RESTARTED_NODE).map(bytes_above_baseline).collect();
    let cpu_us = |node: &NodeSample| {
        node.cpu.saturating_sub(before.get(&node.node).map_or(0, |before| before.cpu)) as f64 / 1e3
    };
    let figures = [
        (Figure::LogValues, after.get(&RESTARTED_NODE).map_or(0.0, |node| node.log_values as f64)),
        (Figure::Bytes, served.iter().sum()),
        (Figure::ServedBytesMax, served.iter().copied().fold(0.0, f64::max)),
        (Figure::TimeMs, took / MS as f64),
        (Figure::CpuUs, after.get(&RESTARTED_NODE).map_or(0.0, cpu_us)),
    ];
    let machine = machine_state(cluster.series(), window, load_before, processors);
    cluster.stop().await;
    let figures = figures.map(|(figure, value)| Measured { figure, value }).to_vec();
    Ok(Run { size: values, machine: Some(machine), figures })
}
