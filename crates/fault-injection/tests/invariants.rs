//! Each invariant detects what it is there for, checked on made-up views.

use std::collections::BTreeSet;

use merlinfold_fault_injection::invariants::{all_invariants, ActualState, Findings, Invariant, Views};
use merlinfold_fault_injection::scenario::{DiskContents, DiskFault};
use merlinfold_fault_injection::schedule::{LinkEffect, StepAction};
use merlinfold_fault_injection::Scenario;

const SECOND: u64 = 1_000_000_000;

/// The view that every node has of every other one.
struct FixedViews {
    state: Option<&'static str>,
    majority: bool,
    accusation_count: u64,
    run_id: u64,
    foreign_members: usize,
}

impl Views for FixedViews {
    fn state(&self, _: usize, _: usize) -> Option<&'static str> {
        self.state
    }

    fn majority(&self, _: usize) -> Option<bool> {
        Some(self.majority)
    }

    fn accusation_count(&self, _: usize) -> Option<u64> {
        Some(self.accusation_count)
    }

    fn run_id(&self, _: usize) -> Option<u64> {
        Some(self.run_id)
    }

    fn foreign_members(&self, _: usize) -> usize {
        self.foreign_members
    }
}

/// The views of a healthy fleet.
const HEALTHY: FixedViews =
    FixedViews { state: Some("alive"), majority: true, accusation_count: 0, run_id: 7, foreign_members: 0 };

/// The invariants of a fleet of five nodes, driven by hand.
struct Fixture {
    actual: ActualState,
    invariants: Vec<Box<dyn Invariant>>,
    findings: Findings,
}

impl Fixture {
    fn new() -> Self {
        let text = "question = \"q\"\nseconds = 100.0\n[fleet]\nnodes = 5\nzones = [\"a\"]\n";
        let scenario = Scenario::parse(text).unwrap();
        Fixture {
            actual: ActualState::new(&scenario, 0),
            invariants: all_invariants(&scenario),
            findings: Findings::default(),
        }
    }

    fn step(&mut self, at: u64, action: &StepAction, views: &FixedViews) {
        self.actual.apply(at, action);
        self.invariants
            .iter_mut()
            .for_each(|invariant| invariant.on_step(at, &self.actual, action, views, &mut self.findings));
    }

    fn change(&mut self, at: u64, member: usize, is: &str) {
        self.invariants.iter_mut().for_each(|invariant| {
            invariant.on_state_change(at, &self.actual, 0, member, is, &mut self.findings)
        });
    }

    fn sample(&mut self, at: u64, views: &FixedViews) {
        self.invariants
            .iter_mut()
            .for_each(|invariant| invariant.on_sample(at, &self.actual, views, &mut self.findings));
    }

    fn violated(&self) -> BTreeSet<&'static str> {
        self.findings.violations.iter().map(|violation| violation.invariant).collect()
    }
}

#[test]
fn a_healthy_fleet_violates_nothing() {
    let mut fixture = Fixture::new();
    fixture.step(20 * SECOND, &StepAction::Pause(2), &HEALTHY);
    fixture.step(25 * SECOND, &StepAction::Continue(2), &HEALTHY);
    (1..100).for_each(|at| fixture.sample(at * SECOND, &HEALTHY));
    assert_eq!(fixture.violated(), BTreeSet::new());
}

#[test]
fn each_invariant_detects_its_violation() {
    let mut fixture = Fixture::new();
    fixture.change(20 * SECOND, 1, "dead");
    assert_eq!(fixture.violated(), BTreeSet::from(["no false death"]));

    let mut fixture = Fixture::new();
    fixture.step(20 * SECOND, &StepAction::Kill(1), &HEALTHY);
    fixture.sample(26 * SECOND, &HEALTHY);
    assert!(fixture.violated().contains("detection"));

    let mut fixture = Fixture::new();
    (1..12).for_each(|at| fixture.sample(at * SECOND, &FixedViews { state: None, ..HEALTHY }));
    assert_eq!(fixture.violated(), BTreeSet::from(["one view"]));

    let mut fixture = Fixture::new();
    (0..21).for_each(|n| {
        fixture.change(20 * SECOND + n * SECOND, 1, if n % 2 == 0 { "suspect" } else { "alive" })
    });
    assert_eq!(fixture.violated(), BTreeSet::from(["no flapping"]));

    let mut fixture = Fixture::new();
    let (from, to) = (BTreeSet::from([0]), BTreeSet::from([1, 2, 3, 4]));
    fixture.step(
        20 * SECOND,
        &StepAction::BeginRule { rule: 0, from, to, effect: LinkEffect::Cut },
        &HEALTHY,
    );
    fixture.sample(36 * SECOND, &HEALTHY);
    assert_eq!(
        fixture.violated(),
        BTreeSet::from(["small side knows"]),
        "a node that is cut off reports a majority"
    );

    let mut fixture = Fixture::new();
    fixture.sample(20 * SECOND, &FixedViews { majority: false, ..HEALTHY });
    assert_eq!(
        fixture.violated(),
        BTreeSet::from(["small side knows"]),
        "nodes that reach all others report no majority"
    );

    let mut fixture = Fixture::new();
    fixture.sample(SECOND, &FixedViews { foreign_members: 1, ..HEALTHY });
    assert_eq!(fixture.violated(), BTreeSet::from(["no strangers"]));

    let mut fixture = Fixture::new();
    fixture.step(20 * SECOND, &StepAction::Pause(2), &HEALTHY);
    fixture.step(25 * SECOND, &StepAction::Continue(2), &HEALTHY);
    fixture.sample(29 * SECOND, &FixedViews { accusation_count: 1, ..HEALTHY });
    assert_eq!(fixture.violated(), BTreeSet::from(["paused is meek"]));

    let after_restart = |run_id, fault: Option<DiskFault>, contents| {
        let mut fixture = Fixture::new();
        fixture.sample(20 * SECOND, &HEALTHY);
        fixture.step(21 * SECOND, &StepAction::SetDiskFault(2, fault), &HEALTHY);
        fixture.step(22 * SECOND, &StepAction::SetDiskFault(2, None), &HEALTHY);
        fixture.step(25 * SECOND, &StepAction::Start(2, contents), &HEALTHY);
        fixture.sample(26 * SECOND, &FixedViews { run_id, ..HEALTHY });
        fixture.violated()
    };
    assert_eq!(after_restart(6, None, DiskContents::Kept), BTreeSet::from(["starts only rise"]));
    assert_eq!(
        after_restart(6, Some(DiskFault::SyncFails), DiskContents::Kept),
        BTreeSet::from(["starts only rise"])
    );
    assert_eq!(after_restart(8, None, DiskContents::Kept), BTreeSet::new());
    assert_eq!(after_restart(6, None, DiskContents::Empty), BTreeSet::new(), "the disk holds nothing");
    assert_eq!(
        after_restart(6, Some(DiskFault::SyncLies), DiskContents::Kept),
        BTreeSet::new(),
        "the disk lost confirmed writes"
    );
}
