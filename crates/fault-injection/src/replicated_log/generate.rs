//! Generates random scenarios for the replicated log: a small fleet and a few faults from one seed.

use merlinfold_simulation::seed::Seed;
use rand::Rng;

use super::simulator::LogScenario;
use crate::scenario::{DiskContents, DiskFault, Fault, FaultKind, Fleet, Network, Rules, Scenario};

const FAULTS_END_S: f64 = 22.0;

/// Returns the scenario of this seed. If `durable_disks`, nodes store the log on disks, and disks fail too.
pub fn generate(seed: u64, nodes: usize, durable_disks: bool) -> LogScenario {
    let mut stream = Seed(seed).stream("agreed", nodes as u64);
    let voters = if nodes >= 5 && stream.random::<bool>() { 5 } else { 3 };
    let candidates = nodes.min(voters + stream.random_range(0..3));
    let zones = ["a", "b", "c"][..stream.random_range(1..=3)].iter().map(|zone| (*zone).to_owned()).collect();
    let mut faults = Vec::new();
    for _ in 0..stream.random_range(1..=5) {
        let at = stream.random_range(3.0..FAULTS_END_S - 8.0);
        let duration = stream.random_range(0.3..8.0);
        // Half of the faults only hit candidates, which come first, since these matter most.
        let targets = if stream.random::<bool>() { candidates } else { nodes };
        let who = format!("node:{}", stream.random_range(0..targets));
        let share = format!("share:{:.2}", stream.random_range(0.1..0.9));
        let side = if stream.random::<bool>() { share } else { who.clone() };
        let disk = match stream.random_range(0..6) {
            0 => DiskContents::Empty,
            1 => DiskContents::Flipped,
            2 => DiskContents::Torn,
            _ => DiskContents::Kept,
        };
        let kind = match stream.random_range(0..8) {
            0 | 1 => FaultKind::Kill { who, disk },
            2 => FaultKind::Roll { who: side, every: stream.random_range(0.3..1.5) },
            3 => FaultKind::Pause { who },
            4 => FaultKind::Cut { from: side, to: "rest".to_owned(), one_way: stream.random::<bool>() },
            5 => FaultKind::Thin {
                from: "all".to_owned(),
                to: "all".to_owned(),
                loss: stream.random_range(0.05..0.5),
            },
            6 => FaultKind::Delay {
                from: side,
                to: "rest".to_owned(),
                ms: stream.random_range(1.0..300.0),
                jitter_ms: 100.0,
            },
            _ if durable_disks => FaultKind::Disk {
                who: side,
                does: [DiskFault::Full, DiskFault::Gone, DiskFault::SyncFails, DiskFault::Slow]
                    [stream.random_range(0..4)],
            },
            _ => FaultKind::Duplicate { from: "all".to_owned(), to: "all".to_owned(), share: 0.3 },
        };
        faults.push(Fault { at, duration: Some(duration), kind });
    }
    let base = Scenario {
        question: "Does the log keep its invariants?".to_owned(),
        seed,
        seconds: 48.0,
        manual_only: false,
        fleet: Fleet { nodes, zones, machines: 2, seeds: 3, servers: 1, strangers: 0 },
        network: Network { loss: if stream.random::<bool>() { 0.0 } else { 0.05 }, ..Network::default() },
        log: None,
        faults,
        rules: Rules::default(),
    };
    LogScenario { base, candidates, voters, durable_disks, requires_recovery: false }
}
