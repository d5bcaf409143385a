//! What a node that comes back without anything takes from the others to hold the agreed values again, by how many
//! there are.

use std::collections::BTreeMap;
use std::time::Duration;

use merlinfold_simulation::{MS, SECOND};

use super::cluster::Cluster;
use super::messages::{NodeSample, Proposals};
use super::report::{Figure, Measured, Run, Sweep};
use super::resources::{load, monotonic, Processors};
use super::window::{costs, last_of_nodes, machine_state, Window};

const NODES: usize = 27; // one process: what the newcomer takes does not depend on the fleet
const RETURNS: usize = NODES - 1;
const PROPOSES: usize = NODES - 2;
const WARM_UP: Duration = Duration::from_secs(8);
const FILL_EVERY_MS: u64 = 4;
const FILL_WITHIN: Duration = Duration::from_secs(90);
const QUIET: Duration = Duration::from_secs(5);
const RETURN_WITHIN: Duration = Duration::from_secs(40);
const LOOK: Duration = super::hollow::SAMPLE_EVERY;
const NOTE: &str = "27 hollow nodes; one comes back with nothing. Bytes: what all nodes sent for the log from its start \
                    until it holds all values, above what they send when nothing happens; served: the one that sent most. \
                    Values of 64 bytes. Time to within 250 ms.";

/// Plays each number of agreed values.
pub async fn sweep(sizes: &[usize]) -> Result<Sweep, String> {
    let mut runs = Vec::new();
    for &values in sizes {
        runs.push(play(values).await?);
        eprintln!("{values} values played");
    }
    Ok(Sweep::new("catch-up", "values", 0, NOTE, runs))
}

fn sample_of(cluster: &Cluster, node: usize) -> Option<NodeSample> {
    last_of_nodes(cluster.series(), Window { from: 0, to: monotonic() }).remove(&node)
}

async fn until_holds(
    cluster: &mut Cluster, node: usize, values: usize, within: Duration,
) -> Result<(), String> {
    let begun = monotonic();
    while monotonic() - begun < within.as_nanos() as u64 {
        cluster.watch(LOOK).await?;
        if sample_of(cluster, node).is_some_and(|sample| sample.log_values >= values) {
            return Ok(());
        }
    }
    let held = sample_of(cluster, node).map_or(0, |sample| sample.log_values);
    Err(format!("node {node} holds {held} of {values} values after {within:?}"))
}

async fn play(values: usize) -> Result<Run, String> {
    let load_before = load().unwrap_or_default();
    let mut cluster = Cluster::start(NODES, true, false).await?;
    cluster.form().await?;
    cluster.watch(WARM_UP).await?;
    let fill = Proposals {
        node: PROPOSES,
        every_ms: FILL_EVERY_MS,
        // Some are refused while too many wait: each key comes again.
        count: Some(2 * values as u64),
        keys: values as u64,
    };
    cluster.propose(fill).await?;
    until_holds(&mut cluster, RETURNS, values, FILL_WITHIN).await?;
    cluster.watch(FILL_WITHIN / 30 + Duration::from_millis(FILL_EVERY_MS * values as u64)).await?;
    let quiet = monotonic();
    cluster.watch(QUIET).await?;
    let calm = costs(cluster.series(), Window { from: quiet, to: monotonic() });
    cluster.kill_nodes(&[RETURNS]).await?;
    cluster.watch(Duration::from_secs(3)).await?;
    let (processors, begun) = (Processors::now(), monotonic());
    let before: BTreeMap<usize, NodeSample> = last_of_nodes(cluster.series(), Window { from: 0, to: begun });
    cluster.start_nodes(&[RETURNS]).await?;
    until_holds(&mut cluster, RETURNS, values, RETURN_WITHIN).await?;
    let window = Window { from: begun, to: monotonic() };
    let took = (window.to - begun) as f64;
    let after = last_of_nodes(cluster.series(), window);
    let above = |node: &NodeSample| {
        let sent = node.log_bytes.saturating_sub(before.get(&node.node).map_or(0, |before| before.log_bytes));
        let usual = calm.get(&node.node).map_or(0.0, |cost| cost.log_bytes_s) * took / SECOND as f64;
        sent as f64 - usual
    };
    let served: Vec<f64> = after.values().filter(|node| node.node != RETURNS).map(above).collect();
    let cpu = |node: &NodeSample| {
        node.cpu.saturating_sub(before.get(&node.node).map_or(0, |before| before.cpu)) as f64 / 1e3
    };
    let figures = [
        (Figure::LogValues, after.get(&RETURNS).map_or(0.0, |node| node.log_values as f64)),
        (Figure::Bytes, served.iter().sum()),
        (Figure::ServedBytesMax, served.iter().copied().fold(0.0, f64::max)),
        (Figure::TimeMs, took / MS as f64),
        (Figure::CpuUs, after.get(&RETURNS).map_or(0.0, cpu)),
    ];
    let machine = machine_state(cluster.series(), window, load_before, processors);
    cluster.end().await;
    let figures = figures.map(|(figure, value)| Measured { figure, value }).to_vec();
    Ok(Run { size: values, machine: Some(machine), figures })
}
