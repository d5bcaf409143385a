//! The kept trials in virtual time, and doubles that have to break them.

use merlinfold_fault_injection::faulty_node::FaultyNode;
use merlinfold_fault_injection::scenario::Scenario;
use merlinfold_fault_injection::{catalogue, virtual_time};

fn with_seed(name: &str, seed: u64) -> Scenario {
    Scenario { seed, ..catalogue::find(name).unwrap() }
}

/// Every kept trial, over seeds that are few enough for each run of the tests.
#[test]
fn every_kept_trial_keeps_all_laws() {
    let mut broken = Vec::new();
    let short = catalogue::SCENARIOS.iter().filter(|(name, _)| !catalogue::find(name).unwrap().manual_only);
    for (name, _) in short {
        for seed in 1..=4 {
            let report = virtual_time::simulate(name, &with_seed(name, seed), None).unwrap();
            if !report.violations.is_empty() {
                broken.push(report.text());
            }
        }
    }
    assert!(broken.is_empty(), "{}", broken.join("\n"));
}

/// Guards replay: a seed is one report, to the byte, and another seed is another.
#[test]
fn a_seed_is_one_report_to_the_byte() {
    let report =
        |seed| virtual_time::simulate("all", &with_seed("all-heals-at-once", seed), None).unwrap().json();
    assert_eq!(report(3), report(3));
    assert_ne!(report(3), report(4));
}

/// Guards the laws themselves: each planted defect breaks the one that is there for it.
#[test]
fn each_double_is_caught_by_its_law() {
    for ((faulty_node, invariant), name) in
        FaultyNode::ALL.into_iter().zip(["machine-drops", "lossy-fleet", "strangers", "machine-drops"])
    {
        let caught = (1..=5).any(|seed| {
            let report = virtual_time::simulate(name, &with_seed(name, seed), Some(faulty_node)).unwrap();
            report.violations.iter().any(|violation| violation.invariant == invariant)
        });
        assert!(caught, "{faulty_node:?} is not caught by {invariant:?} on {name}");
    }
}

#[test]
fn what_cannot_be_played_is_named_by_line_and_field() {
    let base = "question = \"q\"\nseconds = 10.0\n[fleet]\nnodes = 3\nzones = [\"a\"]\n";
    for (more, says) in [
        ("[[fault]]\nat = 1.0\nkind = \"kill\"\nwho = \"node:7\"\n", "fault.0: \"node:7\": nobody is meant"),
        ("[[fault]]\nat = 9.0\nlasts = 5.0\nkind = \"pause\"\nwho = \"all\"\n", "not within the 10 s"),
        ("[[fault]]\nat = 1.0\nkind = \"melt\"\nwho = \"all\"\n", "melt"),
        ("[[fault]]\nat = 1.0\nkind = \"pause\"\nwho = \"all\"\nwhom = 1\n", "whom"),
        ("[network]\nloss = 1.0\n", "network.loss"),
        ("[rules]\ndetect = 1.0\n", "rules.detect"),
    ] {
        let fault = Scenario::parse(&format!("{base}{more}")).unwrap_err();
        assert!(fault.contains(says), "{more}: {fault}");
    }
}
