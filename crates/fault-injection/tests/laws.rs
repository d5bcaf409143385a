//! Each law is shown to see what it is there for, on views that are made up.

use std::collections::BTreeSet;

use merlinfold_fault_injection::laws::{all, Findings, Law, Truth, Views};
use merlinfold_fault_injection::schedule::{Do, Effect};
use merlinfold_fault_injection::spec::{DiskFault, Kept};
use merlinfold_fault_injection::Trial;

const S: u64 = 1_000_000_000;

/// What every node is made to see.
struct Made {
    state: Option<&'static str>,
    majority: bool,
    accused: u64,
    run: u64,
    strangers: usize,
}

impl Views for Made {
    fn state(&self, _: usize, _: usize) -> Option<&'static str> {
        self.state
    }

    fn majority(&self, _: usize) -> Option<bool> {
        Some(self.majority)
    }

    fn accused(&self, _: usize) -> Option<u64> {
        Some(self.accused)
    }

    fn run(&self, _: usize) -> Option<u64> {
        Some(self.run)
    }

    fn strangers(&self, _: usize) -> usize {
        self.strangers
    }
}

const RIGHT: Made = Made { state: Some("alive"), majority: true, accused: 0, run: 7, strangers: 0 };

struct Court {
    truth: Truth,
    laws: Vec<Box<dyn Law>>,
    found: Findings,
}

impl Court {
    fn new() -> Self {
        let text = "question = \"q\"\nseconds = 100.0\n[fleet]\nnodes = 5\nzones = [\"a\"]\n";
        let trial = Trial::parse(text).unwrap();
        Court { truth: Truth::new(&trial, 0), laws: all(&trial), found: Findings::default() }
    }

    fn step(&mut self, at: u64, what: &Do, views: &Made) {
        self.truth.step(at, what);
        self.laws.iter_mut().for_each(|law| law.step(at, &self.truth, what, views, &mut self.found));
    }

    fn change(&mut self, at: u64, member: usize, is: &str) {
        self.laws.iter_mut().for_each(|law| law.change(at, &self.truth, 0, member, is, &mut self.found));
    }

    fn moment(&mut self, at: u64, views: &Made) {
        self.laws.iter_mut().for_each(|law| law.moment(at, &self.truth, views, &mut self.found));
    }

    fn broken(&self) -> BTreeSet<&'static str> {
        self.found.breaches.iter().map(|breach| breach.law).collect()
    }
}

#[test]
fn a_fleet_that_is_right_breaks_nothing() {
    let mut court = Court::new();
    court.step(20 * S, &Do::Pause(2), &RIGHT);
    court.step(25 * S, &Do::Continue(2), &RIGHT);
    (1..100).for_each(|at| court.moment(at * S, &RIGHT));
    assert_eq!(court.broken(), BTreeSet::new());
}

#[test]
fn each_law_sees_what_it_is_there_for() {
    let mut court = Court::new();
    court.change(20 * S, 1, "dead");
    assert_eq!(court.broken(), BTreeSet::from(["no false death"]));

    let mut court = Court::new();
    court.step(20 * S, &Do::Kill(1), &RIGHT);
    court.moment(26 * S, &RIGHT);
    assert!(court.broken().contains("detection"));

    let mut court = Court::new();
    (1..12).for_each(|at| court.moment(at * S, &Made { state: None, ..RIGHT }));
    assert_eq!(court.broken(), BTreeSet::from(["one view"]));

    let mut court = Court::new();
    (0..21).for_each(|n| court.change(20 * S + n * S, 1, if n % 2 == 0 { "suspect" } else { "alive" }));
    assert_eq!(court.broken(), BTreeSet::from(["no flapping"]));

    let mut court = Court::new();
    let (from, to) = (BTreeSet::from([0]), BTreeSet::from([1, 2, 3, 4]));
    court.step(20 * S, &Do::Begin { rule: 0, from, to, effect: Effect::Cut }, &RIGHT);
    court.moment(36 * S, &RIGHT);
    assert_eq!(
        court.broken(),
        BTreeSet::from(["small side knows"]),
        "a node that is cut off says it hears most"
    );

    let mut court = Court::new();
    court.moment(20 * S, &Made { majority: false, ..RIGHT });
    assert_eq!(court.broken(), BTreeSet::from(["small side knows"]), "nodes that hear all say they do not");

    let mut court = Court::new();
    court.moment(S, &Made { strangers: 1, ..RIGHT });
    assert_eq!(court.broken(), BTreeSet::from(["no strangers"]));

    let mut court = Court::new();
    court.step(20 * S, &Do::Pause(2), &RIGHT);
    court.step(25 * S, &Do::Continue(2), &RIGHT);
    court.moment(29 * S, &Made { accused: 1, ..RIGHT });
    assert_eq!(court.broken(), BTreeSet::from(["paused is meek"]));

    let again = |run, fault: Option<DiskFault>, kept| {
        let mut court = Court::new();
        court.moment(20 * S, &RIGHT);
        court.step(21 * S, &Do::Disk(2, fault), &RIGHT);
        court.step(22 * S, &Do::Disk(2, None), &RIGHT);
        court.step(25 * S, &Do::Start(2, kept), &RIGHT);
        court.moment(26 * S, &Made { run, ..RIGHT });
        court.broken()
    };
    assert_eq!(again(6, None, Kept::Kept), BTreeSet::from(["starts only rise"]));
    assert_eq!(again(6, Some(DiskFault::SyncFails), Kept::Kept), BTreeSet::from(["starts only rise"]));
    assert_eq!(again(8, None, Kept::Kept), BTreeSet::new());
    assert_eq!(again(6, None, Kept::Empty), BTreeSet::new(), "the disk holds nothing");
    assert_eq!(again(6, Some(DiskFault::SyncLies), Kept::Kept), BTreeSet::new(), "the disk has lied");
}
