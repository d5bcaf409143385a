//! Days in virtual time: the decision module among the models.

use merlinfold_lab::{experiments, sim};
use merlinfold_simulation::experiment::Experiment;
use merlinfold_simulation::ledger::Invariant;

/// Guards every search by seed: a day in virtual time is the same each time.
#[test]
fn the_same_seed_gives_the_same_report() {
    let mut day = experiments::find("crash-while-slow").unwrap();
    day.seconds = 8.0;
    let play = |day: &Experiment| sim::play("twice", day).unwrap().0;
    assert_eq!(play(&day), play(&day));
    let first = play(&day);
    day.seed += 1;
    assert_ne!(first, play(&day));
}

/// The rules, through the first ten seconds of every kept day and on three seeds of each.
#[test]
fn the_module_breaks_no_rule_on_any_kept_day() {
    for (name, _) in experiments::KEPT {
        for seed in 1..=3 {
            let mut day = experiments::find(name).unwrap();
            (day.seconds, day.seed) = (10.0, seed);
            day.disruptions.retain(|trouble| trouble.at_s < 9.0);
            let (report, breaches) = sim::play(name, &day).unwrap();
            let broken: Vec<Invariant> = breaches.iter().map(|breach| breach.invariant).collect();
            assert_eq!(broken, [], "{name}, seed {seed}: {:?}", report.violations);
        }
    }
}
