//! The distribution of configuration under generated scenarios.
//!
//! `CONFIGURATION_SEEDS=1000 CONFIGURATION_FROM=1000 CONFIGURATION_NODES=20 cargo test -p merlinfold-fault-injection
//! --test configuration -- --nocapture generated` runs 1,000 scenarios of each kind, or only of the kinds in
//! `CONFIGURATION_KIND=Calm,Burst`. `CONFIGURATION_WORLD=44,20,Burst cargo test -p merlinfold-fault-injection --test
//! configuration -- --nocapture --ignored show` prints the events of one.

use std::collections::BTreeMap;

use merlinfold_distribution::Defect;
use merlinfold_fault_injection::configuration::{generate, simulate, RunOutcome, ScenarioKind};

const THREADS: usize = 3;

fn variable(name: &str) -> Option<u64> {
    std::env::var(name).ok().and_then(|text| text.parse().ok())
}

fn percentile(all: &[u64], share: f64) -> f64 {
    let mut all = all.to_vec();
    all.sort_unstable();
    all.get(((all.len().max(1) - 1) as f64 * share) as usize).map_or(0.0, |nanos| *nanos as f64 / 1e9)
}

/// Runs scenarios of one kind, prints a summary and returns the violations.
fn search(seeds: std::ops::Range<u64>, nodes: usize, kind: ScenarioKind) -> Vec<String> {
    let mut failures = Vec::new();
    let all: Vec<RunOutcome> =
        seeds.clone().map(|seed| simulate(&generate(seed, nodes, kind), None, false).unwrap()).collect();
    for (seed, outcome) in seeds.zip(&all) {
        failures.extend(
            outcome
                .violations
                .iter()
                .take(1)
                .map(|violation| format!("{seed},{nodes},{kind:?}: {violation:?}")),
        );
    }
    let (mut failed, mut notes) = (BTreeMap::new(), BTreeMap::new());
    for outcome in &all {
        outcome
            .failed_publications
            .iter()
            .for_each(|(reason, count)| *failed.entry(reason.clone()).or_insert(0) += count);
        outcome.notes.iter().for_each(|(reason, count)| *notes.entry(*reason).or_insert(0) += count);
    }
    let mean = |figure: fn(&RunOutcome) -> f64| all.iter().map(figure).sum::<f64>() / all.len().max(1) as f64;
    let times: Vec<u64> = all.iter().flat_map(|outcome| outcome.apply_latencies.iter().copied()).collect();
    let to_all: Vec<u64> =
        all.iter().flat_map(|outcome| outcome.slowest_apply_latencies.iter().copied()).collect();
    println!(
        "{nodes} nodes, {kind:?}: {} scenarios, {} failed; {} confirmed; in force after s: median {:.2}, 99th {:.2}, \
         max {:.2}; at all nodes: median {:.2}, 99th {:.2}; {:.0} bytes/s per node, {:.0} at the busiest voter; \
         unknown {:.4}; failed {failed:?}; notes {notes:?}",
        all.len(),
        failures.len(),
        all.iter().map(|outcome| outcome.confirmed).sum::<usize>(),
        percentile(&times, 0.5),
        percentile(&times, 0.99),
        percentile(&times, 1.0),
        percentile(&to_all, 0.5),
        percentile(&to_all, 0.99),
        mean(|outcome| outcome.bytes_s),
        mean(|outcome| outcome.voter_bytes_s),
        mean(|outcome| outcome.unknown_share),
    );
    failures
}

#[test]
fn generated_scenarios_keep_the_invariants() {
    let seeds = variable("CONFIGURATION_SEEDS").unwrap_or(3);
    let from = variable("CONFIGURATION_FROM").unwrap_or(0);
    let nodes = variable("CONFIGURATION_NODES").unwrap_or(20) as usize;
    let only = std::env::var("CONFIGURATION_KIND").ok();
    let kinds: Vec<ScenarioKind> = ScenarioKind::ALL
        .into_iter()
        .filter(|kind| {
            only.as_ref().is_none_or(|only| only.split(',').any(|only| only == format!("{kind:?}")))
        })
        .collect();
    let kinds = std::sync::Mutex::new(kinds);
    let run_kinds = || {
        let mut failures = Vec::new();
        loop {
            let kind = kinds.lock().unwrap().pop();
            let Some(kind) = kind else { return failures };
            failures.extend(search(from..from + seeds, nodes, kind));
        }
    };
    let failures: Vec<String> = std::thread::scope(|scope| {
        let threads: Vec<_> = (0..THREADS).map(|_| scope.spawn(run_kinds)).collect();
        threads.into_iter().flat_map(|thread| thread.join().unwrap()).collect()
    });
    assert!(failures.is_empty(), "{}", failures.join("\n"));
}

/// Each planted defect violates the invariant that must detect it, so the invariants are known to work.
#[test]
fn each_defect_violates_its_invariant() {
    for (defect, invariant, kind) in [
        (Defect::AppliesUncommitted, "committed first", ScenarioKind::Faults),
        (Defect::AppliesIncomplete, "whole and verified", ScenarioKind::Faults),
        (Defect::AppliesLower, "never lower", ScenarioKind::LaterDisk),
        (Defect::SkipsVerification, "whole and verified", ScenarioKind::Corrupt),
        (Defect::CountsSilentAsApplied, "silence is not applied", ScenarioKind::Faults),
    ] {
        let caught = (0..40).any(|seed| {
            let outcome = simulate(&generate(seed, 9, kind), Some(defect), false).unwrap();
            outcome.violations.iter().any(|violation| violation.invariant == invariant)
        });
        assert!(caught, "{defect:?} does not violate {invariant:?}");
    }
}

/// Reports between nodes do not grow with the fleet, and nearly all nodes are known everywhere.
#[test]
fn report_traffic_is_independent_of_fleet_size_and_reaches_all_nodes() {
    let [small, large] = [60, 120].map(|nodes| {
        std::thread::spawn(move || {
            let mut scenario = generate(1, nodes, ScenarioKind::Calm);
            scenario.base.seconds = 180.0;
            simulate(&scenario, None, false).unwrap()
        })
    });
    let (small, large) = (small.join().unwrap(), large.join().unwrap());
    assert!(large.bytes_s < 1.15 * small.bytes_s, "{} and {} bytes per second", small.bytes_s, large.bytes_s);
    assert!(large.unknown_share < 0.01, "{} of the members are unknown", large.unknown_share);
}

/// The same seed gives the same events, and another seed gives other events.
#[test]
fn a_seed_gives_the_same_events() {
    let events = |seed| simulate(&generate(seed, 9, ScenarioKind::Faults), None, true).unwrap().lines;
    assert_eq!(events(3), events(3));
    assert_ne!(events(3), events(4));
}

#[test]
#[ignore = "prints one scenario: CONFIGURATION_WORLD=seed,nodes,kind"]
fn show() {
    let scenario = std::env::var("CONFIGURATION_WORLD").unwrap();
    let parts: Vec<&str> = scenario.split(',').collect();
    let kind = ScenarioKind::ALL.into_iter().find(|kind| format!("{kind:?}") == parts[2]).unwrap();
    let scenario = generate(parts[0].parse().unwrap(), parts[1].parse().unwrap(), kind);
    let outcome = simulate(&scenario, None, true).unwrap();
    println!("{scenario:?}\n{}\n{:?}", outcome.lines.join("\n"), outcome.violations);
}
