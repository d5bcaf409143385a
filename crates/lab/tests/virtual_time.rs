//! Experiments in virtual time: the decision module with the simulated servers, discovery and clients.

use merlinfold_lab::{experiments, sim};
use merlinfold_simulation::experiment::Experiment;
use merlinfold_simulation::ledger::Invariant;

/// A search by seed needs this: a run in virtual time is deterministic.
#[test]
fn the_same_seed_gives_the_same_report() {
    let mut experiment = experiments::find("crash-while-slow").unwrap();
    experiment.seconds = 8.0;
    let run = |experiment: &Experiment| sim::run("twice", experiment).unwrap().0;
    assert_eq!(run(&experiment), run(&experiment));
    let first = run(&experiment);
    experiment.seed += 1;
    assert_ne!(first, run(&experiment));
}

/// The decision module must keep all rules in the first ten seconds of every built-in experiment, on three seeds each.
#[test]
fn decision_module_breaks_no_rule_in_any_built_in_experiment() {
    for (name, _) in experiments::BUILT_IN {
        for seed in 1..=3 {
            let mut experiment = experiments::find(name).unwrap();
            (experiment.seconds, experiment.seed) = (10.0, seed);
            experiment.disruptions.retain(|trouble| trouble.at_s < 9.0);
            let (report, breaches) = sim::run(name, &experiment).unwrap();
            let violations: Vec<Invariant> = breaches.iter().map(|breach| breach.invariant).collect();
            assert_eq!(violations, [], "{name}, seed {seed}: {:?}", report.violations);
        }
    }
}
