//! Experiments with node processes in which discovery calls fail. To run more seeds and nodes:
//! `SOAK_SEEDS=1..51 SOAK_NODES=100 cargo test --release -p merlinfold-lab --test list_faults -- --nocapture`;
//! `SOAK_PROGRAM` names another build of `merlinfold`, `SOAK_LOGS` a folder for the nodes' logs.

use std::ops::Range;

use merlinfold_lab::experiments;
use merlinfold_lab::process::NodeCommand;
use merlinfold_lab::runner::{run, Plan};
use merlinfold_simulation::experiment::{Disruption, DisruptionKind};
use merlinfold_simulation::ledger::Violation;

const SEEDS: Range<u64> = 1..3;
const NODES: usize = 24;
/// Every third seed adds a surge to twice the load, and peers that send nothing.
const CROWDED_EVERY: u64 = 3;

fn nodes() -> usize {
    std::env::var("SOAK_NODES").map_or(NODES, |text| text.parse().expect("SOAK_NODES: a number of nodes"))
}

fn seeds() -> Range<u64> {
    let Ok(text) = std::env::var("SOAK_SEEDS") else { return SEEDS };
    let ends = text.split_once("..").and_then(|(from, to)| Some(from.parse().ok()?..to.parse().ok()?));
    ends.expect("SOAK_SEEDS: first..end")
}

/// A fault in the middle of the run.
fn trouble(kind: DisruptionKind, size: f64) -> Disruption {
    Disruption { kind, at_s: 8.0, for_s: 20.0, part: 1.0, size: Some(size), class: None }
}

fn breaches(seed: u64) -> Vec<Violation> {
    let mut experiment = experiments::find("list-faults").unwrap();
    experiment.nodes.count = nodes();
    experiment.seed = seed;
    if seed.is_multiple_of(CROWDED_EVERY) {
        experiment.disruptions.push(trouble(DisruptionKind::Surge, 2.0));
        experiment.disruptions.push(trouble(DisruptionKind::SilentPeers, 10.0));
    }
    let program =
        std::env::var("SOAK_PROGRAM").unwrap_or_else(|_| env!("CARGO_BIN_EXE_merlinfold-lab").to_owned());
    let nodes = NodeCommand { words: vec![program, "node".to_owned()] };
    let plan = Plan {
        name: "list-faults".to_owned(),
        experiment,
        nodes,
        logs: std::env::var("SOAK_LOGS").ok().map(Into::into),
    };
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    let outcome = runtime.block_on(run(plan, |_| {})).unwrap();
    println!("seed {seed}: {:#?} {:?}", outcome.breaches, outcome.tails);
    outcome.breaches
}

/// Regression test for report 3d4b04: while discovery calls fail and nodes are killed, restarted one after another and
/// paused, no node sends to a server after the grace that follows the announcement of its drain or removal, and no
/// other invariant is violated.
#[test]
fn no_drain_is_missed_while_calls_to_discovery_go_wrong() {
    let violations: Vec<(u64, Violation)> =
        seeds().flat_map(|seed| breaches(seed).into_iter().map(move |breach| (seed, breach))).collect();
    assert!(violations.is_empty(), "{violations:#?}");
}
