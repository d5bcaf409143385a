//! A small sweep of sizes in virtual time: what a node sends must not grow with its fleet. Counts and bytes only, so
//! that a busy machine changes nothing.

use std::net::SocketAddr;

use merlinfold_fault_injection::replicated_log::{self, LogScenario};
use merlinfold_fault_injection::scale::{simulate, Machine, Measured, Plan};
use merlinfold_fault_injection::scenario::{Fleet, Network, Rules};
use merlinfold_fault_injection::Scenario;
use merlinfold_lab::scale::fit::{Fit, Forecast, Point};
use merlinfold_membership::{Action, Event, Identity, Membership, Tuning};
use merlinfold_simulation::{Nanos, SECOND};

/// Smaller fleets leave buckets of a digest empty, whose zeros are shorter: their bytes still rise with each node.
const SIZES: [usize; 4] = [150, 200, 250, 300];
/// Enough for the planted machine, whose messages grow with the square of the fleet.
const SMALL_SIZES: [usize; 3] = [100, 150, 200];
/// Bytes a second that a node may send more for each further node: 134 from 150 to 820 nodes, where 3,000 are allowed.
const SLOPE_MAX: f64 = 0.2;

/// The product's machine, which also sends a heartbeat to every member every five seconds.
struct AllToAll {
    machine: Membership,
    next: Nanos,
}

const HEARTBEAT: [u8; 32] = [0; 32];
const HEARTBEAT_EVERY: Nanos = 5 * SECOND;

impl Machine for AllToAll {
    fn handle(&mut self, now: Nanos, event: Event, out: &mut Vec<Action>) {
        self.machine.handle(now, event, out);
        if now >= self.next {
            self.next = now + HEARTBEAT_EVERY;
            let heartbeat = |to: SocketAddr| Action::Send { to, bytes: HEARTBEAT.to_vec() };
            out.extend(self.machine.addresses().into_iter().map(heartbeat));
        }
    }

    fn due(&self) -> Option<Nanos> {
        self.machine.next_deadline().map(|due| due.min(self.next))
    }

    fn alive(&self) -> usize {
        self.machine.alive_count()
    }
}

fn membership(identity: Identity, seed: u64) -> Membership {
    Membership::new(identity, Tuning::default(), seed, 0)
}

fn all_to_all(identity: Identity, seed: u64) -> AllToAll {
    AllToAll { machine: membership(identity, seed), next: 0 }
}

fn no_clock() -> u64 {
    0
}

fn sweep<M: Machine>(sizes: &[usize], make: impl Fn(Identity, u64) -> M) -> Vec<(usize, Measured)> {
    let plan = |nodes| Plan { nodes, seconds: 10, seed: 1 };
    sizes.iter().map(|&nodes| (nodes, simulate(&plan(nodes), &make, &no_clock))).collect()
}

/// Bytes a second a node by size, as a line.
fn line(swept: &[(usize, Measured)]) -> Fit {
    let point = |(nodes, measured): &(usize, Measured)| Point { size: *nodes as f64, cost: measured.bytes_s };
    Fit::of(&swept.iter().map(point).collect::<Vec<_>>()).unwrap()
}

#[test]
fn bytes_of_the_membership_stay_flat_with_the_fleet() {
    let swept = sweep(&SIZES, membership);
    for (nodes, measured) in &swept {
        assert_eq!(measured.entries, *nodes, "every node sees all others before anything is counted");
    }
    let fit = line(&swept);
    assert!(fit.slope < SLOPE_MAX, "{fit:?} of {swept:?}");
}

#[test]
fn a_node_that_talks_to_all_others_is_caught_by_the_slope() {
    let fit = line(&sweep(&SMALL_SIZES, all_to_all));
    assert!(fit.slope > SLOPE_MAX, "{fit:?}");
}

#[test]
fn the_same_seed_gives_the_same_counts() {
    let plan = Plan { nodes: 50, seconds: 5, seed: 3 };
    assert_eq!(simulate(&plan, membership, &no_clock), simulate(&plan, membership, &no_clock));
}

/// A fleet with an agreed log of five voters to which nothing happens.
fn quiet_log(nodes: usize) -> LogScenario {
    let fleet = Fleet {
        nodes,
        zones: ["a", "b", "c"].map(str::to_owned).to_vec(),
        machines: 4,
        seeds: 3,
        servers: 1,
        strangers: 0,
    };
    let base = Scenario {
        question: "What does the log cost by the size of the fleet?".to_owned(),
        seed: 1,
        seconds: 30.0,
        manual_only: true,
        fleet,
        network: Network::default(),
        log: None,
        faults: Vec::new(),
        rules: Rules::default(),
    };
    LogScenario { base, candidates: 7, voters: 5, durable_disks: false, requires_recovery: true }
}

#[test]
fn bytes_of_the_agreed_log_stay_flat_with_the_fleet() {
    let point = |nodes: usize| {
        let played = replicated_log::simulate(&quiet_log(nodes), None, false).unwrap();
        assert!(played.violations.is_empty(), "{nodes}: {:?}", played.violations);
        Point { size: nodes as f64, cost: played.bytes_s }
    };
    let points = [20, 40, 60, 80].map(point);
    let fit = Fit::of(&points).unwrap();
    assert!(fit.slope < SLOPE_MAX, "{fit:?} of {points:?}");
}

#[test]
fn a_line_is_found_again_and_its_forecast_holds() {
    let points = [100.0, 200.0, 400.0, 800.0].map(|size| Point { size, cost: 7.0 + 0.5 * size });
    let Forecast { fit, error, holds, .. } = Forecast::of(&points).unwrap();
    assert!((fit.intercept - 7.0).abs() < 1e-9 && (fit.slope - 0.5).abs() < 1e-9 && fit.residual < 1e-9);
    assert!(holds && error.abs() < 1e-9);
}

#[test]
fn a_forecast_from_a_curve_is_said_to_miss() {
    let points = [100.0, 200.0, 400.0, 800.0].map(|size: f64| Point { size, cost: size * size });
    let forecast = Forecast::of(&points).unwrap();
    assert!(!forecast.holds && forecast.error < -0.15, "{forecast:?}");
}

#[test]
fn too_few_points_make_no_line() {
    let points = [1.0, 2.0].map(|size| Point { size, cost: size });
    assert_eq!(Fit::of(&points), None);
    assert_eq!(Forecast::of(&[points[0], points[1], Point { size: 3.0, cost: 3.0 }]), None);
    let same = [Point { size: 1.0, cost: 1.0 }; 4];
    assert_eq!(Fit::of(&same), None);
}
