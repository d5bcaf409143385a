//! Each law is shown to see what it is there for, on views that are made up.

use std::collections::BTreeSet;

use merlinfold_fault_injection::invariants::{all_invariants, ActualState, Findings, Invariant, Views};
use merlinfold_fault_injection::scenario::{DiskContents, DiskFault};
use merlinfold_fault_injection::schedule::{LinkEffect, StepAction};
use merlinfold_fault_injection::Scenario;

const S: u64 = 1_000_000_000;

/// What every node is made to see.
struct FixedViews {
    state: Option<&'static str>,
    majority: bool,
    accusation_count: u64,
    run: u64,
    strangers: usize,
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
        Some(self.run)
    }

    fn foreign_members(&self, _: usize) -> usize {
        self.strangers
    }
}

const RIGHT: FixedViews =
    FixedViews { state: Some("alive"), majority: true, accusation_count: 0, run: 7, strangers: 0 };

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

    fn moment(&mut self, at: u64, views: &FixedViews) {
        self.invariants
            .iter_mut()
            .for_each(|invariant| invariant.on_sample(at, &self.actual, views, &mut self.findings));
    }

    fn record_violation(&self) -> BTreeSet<&'static str> {
        self.findings.violations.iter().map(|violation| violation.invariant).collect()
    }
}

#[test]
fn a_fleet_that_is_right_breaks_nothing() {
    let mut fixture = Fixture::new();
    fixture.step(20 * S, &StepAction::Pause(2), &RIGHT);
    fixture.step(25 * S, &StepAction::Continue(2), &RIGHT);
    (1..100).for_each(|at| fixture.moment(at * S, &RIGHT));
    assert_eq!(fixture.record_violation(), BTreeSet::new());
}

#[test]
fn each_law_sees_what_it_is_there_for() {
    let mut fixture = Fixture::new();
    fixture.change(20 * S, 1, "dead");
    assert_eq!(fixture.record_violation(), BTreeSet::from(["no false death"]));

    let mut fixture = Fixture::new();
    fixture.step(20 * S, &StepAction::Kill(1), &RIGHT);
    fixture.moment(26 * S, &RIGHT);
    assert!(fixture.record_violation().contains("detection"));

    let mut fixture = Fixture::new();
    (1..12).for_each(|at| fixture.moment(at * S, &FixedViews { state: None, ..RIGHT }));
    assert_eq!(fixture.record_violation(), BTreeSet::from(["one view"]));

    let mut fixture = Fixture::new();
    (0..21).for_each(|n| fixture.change(20 * S + n * S, 1, if n % 2 == 0 { "suspect" } else { "alive" }));
    assert_eq!(fixture.record_violation(), BTreeSet::from(["no flapping"]));

    let mut fixture = Fixture::new();
    let (from, to) = (BTreeSet::from([0]), BTreeSet::from([1, 2, 3, 4]));
    fixture.step(20 * S, &StepAction::BeginRule { rule: 0, from, to, effect: LinkEffect::Cut }, &RIGHT);
    fixture.moment(36 * S, &RIGHT);
    assert_eq!(
        fixture.record_violation(),
        BTreeSet::from(["small side knows"]),
        "a node that is cut off says it hears most"
    );

    let mut fixture = Fixture::new();
    fixture.moment(20 * S, &FixedViews { majority: false, ..RIGHT });
    assert_eq!(
        fixture.record_violation(),
        BTreeSet::from(["small side knows"]),
        "nodes that hear all say they do not"
    );

    let mut fixture = Fixture::new();
    fixture.moment(S, &FixedViews { strangers: 1, ..RIGHT });
    assert_eq!(fixture.record_violation(), BTreeSet::from(["no strangers"]));

    let mut fixture = Fixture::new();
    fixture.step(20 * S, &StepAction::Pause(2), &RIGHT);
    fixture.step(25 * S, &StepAction::Continue(2), &RIGHT);
    fixture.moment(29 * S, &FixedViews { accusation_count: 1, ..RIGHT });
    assert_eq!(fixture.record_violation(), BTreeSet::from(["paused is meek"]));

    let again = |run, fault: Option<DiskFault>, kept| {
        let mut fixture = Fixture::new();
        fixture.moment(20 * S, &RIGHT);
        fixture.step(21 * S, &StepAction::SetDiskFault(2, fault), &RIGHT);
        fixture.step(22 * S, &StepAction::SetDiskFault(2, None), &RIGHT);
        fixture.step(25 * S, &StepAction::Start(2, kept), &RIGHT);
        fixture.moment(26 * S, &FixedViews { run, ..RIGHT });
        fixture.record_violation()
    };
    assert_eq!(again(6, None, DiskContents::Kept), BTreeSet::from(["starts only rise"]));
    assert_eq!(
        again(6, Some(DiskFault::SyncFails), DiskContents::Kept),
        BTreeSet::from(["starts only rise"])
    );
    assert_eq!(again(8, None, DiskContents::Kept), BTreeSet::new());
    assert_eq!(again(6, None, DiskContents::Empty), BTreeSet::new(), "the disk holds nothing");
    assert_eq!(again(6, Some(DiskFault::SyncLies), DiskContents::Kept), BTreeSet::new(), "the disk has lied");
}
