//! Generates random scenarios for the distribution of configuration: a fleet and a few faults from one seed.

use merlinfold_simulation::seed::{Seed, Stream};
use rand::Rng;

use super::simulator::ConfigurationScenario;
use crate::scenario::{DiskContents, DiskFault, Fault, FaultKind, Fleet, Network, Rules, Scenario};

const SECONDS: f64 = 60.0;
const FAULTS_END_S: f64 = 30.0;

/// What happens in a scenario besides the usual publications. The tests select kinds by these names.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ScenarioKind {
    /// Random loss, delays, partitions, restarts, pauses and disk faults.
    Faults,
    /// No faults, and publications at the intervals of an average day.
    Calm,
    /// A part of the fleet is cut off for an hour of an average day.
    HourApart,
    /// Seven in ten nodes are killed between a confirmation and the spread of its content.
    MostRestart,
    /// The publisher and the leading voter are repeatedly killed between a confirmation and the spread of its
    /// content.
    LeaderKilled,
    /// A hundred revisions in quick succession.
    Burst,
    /// A document of 1.5 MB, sent as a snapshot and as a delta of its own size.
    Large,
    /// A third of the disks are full.
    FullDisks,
    /// A node starts with a revision of a later epoch than the log's.
    LaterDisk,
    /// All voters end at once; the log is founded again under the next epoch, with or without its last announcements.
    NewEpoch,
    /// One revision has a format that some nodes do not know, and another one is refused by some nodes.
    Refused,
    /// Some nodes send content with a changed byte.
    Corrupt,
}

impl ScenarioKind {
    /// Returns whether publications continue to the end at the intervals of an average day.
    pub fn is_average_day(self) -> bool {
        matches!(self, ScenarioKind::Calm | ScenarioKind::HourApart)
    }

    /// All kinds.
    pub const ALL: [ScenarioKind; 12] = [
        ScenarioKind::Faults,
        ScenarioKind::Calm,
        ScenarioKind::HourApart,
        ScenarioKind::MostRestart,
        ScenarioKind::LeaderKilled,
        ScenarioKind::Burst,
        ScenarioKind::Large,
        ScenarioKind::FullDisks,
        ScenarioKind::LaterDisk,
        ScenarioKind::NewEpoch,
        ScenarioKind::Refused,
        ScenarioKind::Corrupt,
    ];
}

/// Returns the scenario of this seed.
pub fn generate(seed: u64, nodes: usize, kind: ScenarioKind) -> ConfigurationScenario {
    let mut stream = Seed(seed).stream("configuration", nodes as u64);
    let voters = if nodes >= 5 { 5 } else { 3 };
    let zones = ["a", "b", "c"][..stream.random_range(1..=3)].iter().map(|zone| (*zone).to_owned()).collect();
    let faults = match kind {
        ScenarioKind::Faults => {
            (0..stream.random_range(1..=5)).map(|_| fault(&mut stream, nodes, voters)).collect()
        }
        ScenarioKind::Large => vec![Fault {
            at: 24.0,
            duration: Some(2.0),
            kind: FaultKind::Kill { who: "share:0.3".to_owned(), disk: DiskContents::Empty },
        }],
        ScenarioKind::HourApart => vec![Fault {
            at: 60.0,
            duration: Some(3_600.0),
            kind: FaultKind::Cut { from: "share:0.4".to_owned(), to: "rest".to_owned(), one_way: false },
        }],
        ScenarioKind::FullDisks => vec![Fault {
            at: 1.0,
            duration: Some(FAULTS_END_S),
            kind: FaultKind::Disk { who: "share:0.33".to_owned(), does: DiskFault::Full },
        }],
        _ => Vec::new(),
    };
    let loss = if kind == ScenarioKind::Calm || stream.random::<bool>() { 0.0 } else { 0.05 };
    let base = Scenario {
        question: "Does the distribution keep its invariants?".to_owned(),
        seed,
        seconds: match kind {
            ScenarioKind::Calm => 600.0,
            ScenarioKind::HourApart => 3_720.0,
            _ => SECONDS,
        },
        manual_only: false,
        fleet: Fleet { nodes, zones, machines: 2, seeds: 3, servers: 1, strangers: 0 },
        network: Network { loss, ..Network::default() },
        log: None,
        faults,
        rules: Rules::default(),
    };
    ConfigurationScenario {
        base,
        kind,
        voters,
        durable_disks: kind == ScenarioKind::FullDisks || stream.random::<bool>(),
    }
}

/// Returns a random fault.
fn fault(stream: &mut Stream, nodes: usize, voters: usize) -> Fault {
    let at = stream.random_range(3.0..FAULTS_END_S - 10.0);
    let duration = stream.random_range(0.3..10.0);
    // Half of the faults only hit voters and the publisher, which come first, since these matter most.
    let targets = if stream.random::<bool>() { (voters + 1).min(nodes) } else { nodes };
    let who = format!("node:{}", stream.random_range(0..targets));
    let share = format!("share:{:.2}", stream.random_range(0.1..0.9));
    let side = if stream.random::<bool>() { share } else { who.clone() };
    let all = || "all".to_owned();
    let disk = match stream.random_range(0..6) {
        0 => DiskContents::Empty,
        1 => DiskContents::Flipped,
        2 => DiskContents::Torn,
        3 => DiskContents::Yesterday,
        _ => DiskContents::Kept,
    };
    let kind = match stream.random_range(0..8) {
        0 | 1 => FaultKind::Kill { who: side, disk },
        2 => FaultKind::Roll { who: side, every: stream.random_range(0.3..1.5) },
        3 => FaultKind::Pause { who },
        4 => FaultKind::Cut { from: side, to: "rest".to_owned(), one_way: stream.random::<bool>() },
        5 => FaultKind::Thin { from: all(), to: all(), loss: stream.random_range(0.05..0.5) },
        6 => FaultKind::Delay {
            from: side,
            to: "rest".to_owned(),
            ms: stream.random_range(1.0..300.0),
            jitter_ms: 100.0,
        },
        _ => FaultKind::Disk {
            who: side,
            does: [DiskFault::Full, DiskFault::Gone, DiskFault::SyncFails, DiskFault::Slow]
                [stream.random_range(0..4)],
        },
    };
    Fault { at, duration: Some(duration), kind }
}
