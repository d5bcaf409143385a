//! The shipped scenarios in virtual time, and faulty nodes that must violate their invariants.

use merlinfold_fault_injection::faulty_node::FaultyNode;
use merlinfold_fault_injection::scenario::Scenario;
use merlinfold_fault_injection::{catalogue, virtual_time};

fn with_seed(name: &str, seed: u64) -> Scenario {
    Scenario { seed, ..catalogue::find(name).unwrap() }
}

/// The number of seeds is small enough for the regular tests.
#[test]
fn every_scenario_keeps_all_invariants() {
    let mut failures = Vec::new();
    let short = catalogue::SCENARIOS.iter().filter(|(name, _)| !catalogue::find(name).unwrap().manual_only);
    for (name, _) in short {
        for seed in 1..=4 {
            let report = virtual_time::simulate(name, &with_seed(name, seed), None).unwrap();
            if !report.violations.is_empty() {
                failures.push(report.text());
            }
        }
    }
    assert!(failures.is_empty(), "{}", failures.join("\n"));
}

/// The same seed gives the same report to the byte, and another seed gives another one.
#[test]
fn a_seed_gives_the_same_report_to_the_byte() {
    let report =
        |seed| virtual_time::simulate("all", &with_seed("all-heals-at-once", seed), None).unwrap().json();
    assert_eq!(report(3), report(3));
    assert_ne!(report(3), report(4));
}

/// Each planted defect violates the invariant that must detect it, so the invariants are known to work.
#[test]
fn each_faulty_node_violates_its_invariant() {
    for ((faulty_node, invariant), name) in
        FaultyNode::ALL.into_iter().zip(["machine-drops", "lossy-fleet", "strangers", "machine-drops"])
    {
        let caught = (1..=5).any(|seed| {
            let report = virtual_time::simulate(name, &with_seed(name, seed), Some(faulty_node)).unwrap();
            report.violations.iter().any(|violation| violation.invariant == invariant)
        });
        assert!(caught, "{faulty_node:?} does not violate {invariant:?} in {name}");
    }
}

#[test]
fn errors_of_invalid_scenarios_name_the_field() {
    let base = "question = \"q\"\nseconds = 10.0\n[fleet]\nnodes = 3\nzones = [\"a\"]\n";
    for (addition, expected) in [
        (
            "[[fault]]\nat = 1.0\nkind = \"kill\"\nwho = \"node:7\"\n",
            "fault.0: \"node:7\": no node or server matches",
        ),
        ("[[fault]]\nat = 9.0\nlasts = 5.0\nkind = \"pause\"\nwho = \"all\"\n", "not within the 10 s"),
        ("[[fault]]\nat = 1.0\nkind = \"melt\"\nwho = \"all\"\n", "melt"),
        ("[[fault]]\nat = 1.0\nkind = \"pause\"\nwho = \"all\"\nwhom = 1\n", "whom"),
        ("[network]\nloss = 1.0\n", "network.loss"),
        ("[rules]\ndetect = 1.0\n", "rules.detect"),
    ] {
        let error = Scenario::parse(&format!("{base}{addition}")).unwrap_err();
        assert!(error.contains(expected), "{addition}: {error}");
    }
}
