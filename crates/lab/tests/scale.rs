//! Sweeps small fleet sizes in virtual time: the traffic of a node must not grow with its fleet. Only counts and bytes
//! are checked, so that a busy machine does not change the result.

use std::net::SocketAddr;

use merlinfold_fault_injection::replicated_log::{self, LogScenario};
use merlinfold_fault_injection::scale::{simulate, Machine, Measured, Plan};
use merlinfold_fault_injection::scenario::{Fleet, Network, Rules};
use merlinfold_fault_injection::Scenario;
use merlinfold_lab::scale::fit::{Fit, Forecast, Point};
use merlinfold_membership::{Action, Event, Identity, Membership, Tuning};
use merlinfold_simulation::{Nanos, SECOND};

/// In smaller fleets some buckets of a digest are empty and encoded shorter, so bytes still rise with each node.
const SIZES: [usize; 4] = [150, 200, 250, 300];
/// Large enough for the faulty machine, whose messages grow with the square of the fleet size.
const SMALL_SIZES: [usize; 3] = [100, 150, 200];
/// Maximum growth of bytes per second and node for each additional node: 134 from 150 to 820 nodes, where the limit is
/// 3,000 in total.
const MAX_SLOPE: f64 = 0.2;

/// The real machine with a planted defect: it also sends a heartbeat to every member every five seconds.
struct AllToAll {
    machine: Membership,
    next: Nanos,
}

const HEARTBEAT: [u8; 32] = [0; 32];
const HEARTBEAT_INTERVAL: Nanos = 5 * SECOND;

impl Machine for AllToAll {
    fn handle(&mut self, now: Nanos, event: Event, out: &mut Vec<Action>) {
        self.machine.handle(now, event, out);
        if now >= self.next {
            self.next = now + HEARTBEAT_INTERVAL;
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

/// Fits a line to the bytes per second and node, by size.
fn fit_bytes(measurements: &[(usize, Measured)]) -> Fit {
    let point = |(nodes, measured): &(usize, Measured)| Point { size: *nodes as f64, cost: measured.bytes_s };
    Fit::of(&measurements.iter().map(point).collect::<Vec<_>>()).unwrap()
}

#[test]
fn membership_bytes_per_node_do_not_grow_with_the_fleet() {
    let measurements = sweep(&SIZES, membership);
    for (nodes, measured) in &measurements {
        assert_eq!(measured.entries, *nodes, "every node must see all others before counting starts");
    }
    let fit = fit_bytes(&measurements);
    assert!(fit.slope < MAX_SLOPE, "{fit:?} of {measurements:?}");
}

#[test]
fn all_to_all_heartbeats_exceed_the_slope_limit() {
    let fit = fit_bytes(&sweep(&SMALL_SIZES, all_to_all));
    assert!(fit.slope > MAX_SLOPE, "{fit:?}");
}

#[test]
fn the_same_seed_gives_the_same_counts() {
    let plan = Plan { nodes: 50, seconds: 5, seed: 3 };
    assert_eq!(simulate(&plan, membership, &no_clock), simulate(&plan, membership, &no_clock));
}

/// Returns a scenario without faults for a fleet with a replicated log of five voters.
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
fn replicated_log_bytes_per_node_do_not_grow_with_the_fleet() {
    let point = |nodes: usize| {
        let outcome = replicated_log::simulate(&quiet_log(nodes), None, false).unwrap();
        assert!(outcome.violations.is_empty(), "{nodes}: {:?}", outcome.violations);
        Point { size: nodes as f64, cost: outcome.bytes_s }
    };
    let points = [20, 40, 60, 80].map(point);
    let fit = Fit::of(&points).unwrap();
    assert!(fit.slope < MAX_SLOPE, "{fit:?} of {points:?}");
}

#[test]
fn forecast_from_exact_points_of_a_line_holds() {
    let points = [100.0, 200.0, 400.0, 800.0].map(|size| Point { size, cost: 7.0 + 0.5 * size });
    let Forecast { fit, error, holds, .. } = Forecast::of(&points).unwrap();
    assert!((fit.intercept - 7.0).abs() < 1e-9 && (fit.slope - 0.5).abs() < 1e-9 && fit.residual < 1e-9);
    assert!(holds && error.abs() < 1e-9);
}

#[test]
fn linear_forecast_of_a_quadratic_cost_does_not_hold() {
    let points = [100.0, 200.0, 400.0, 800.0].map(|size: f64| Point { size, cost: size * size });
    let forecast = Forecast::of(&points).unwrap();
    assert!(!forecast.holds && forecast.error < -0.15, "{forecast:?}");
}

#[test]
fn too_few_points_give_no_fit() {
    let points = [1.0, 2.0].map(|size| Point { size, cost: size });
    assert_eq!(Fit::of(&points), None);
    assert_eq!(Forecast::of(&[points[0], points[1], Point { size: 3.0, cost: 3.0 }]), None);
    let same = [Point { size: 1.0, cost: 1.0 }; 4];
    assert_eq!(Fit::of(&same), None);
}
