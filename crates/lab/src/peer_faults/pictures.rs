//! Fixed scenarios: one for each way in which peers have harmed a node.

use super::exchange::ServerFlood;
use super::flood::Flood;
use super::scenario::{Peers, Restart, RestartKind, Scenario};

/// Names of the fixed scenarios.
pub const PICTURES: [&str; 29] = [
    "calm",
    "stopped-uploads",
    "piecewise-uploads",
    "long-exchanges",
    "long-stopped-uploads",
    "unfinished-heads",
    "heads-of-many-fields",
    "slow-readers",
    "slow-short-readers",
    "pausing-readers",
    "often-pausing-readers",
    "empty-lines",
    "byte-pairs",
    "invalid-heads",
    "unknown-paths",
    "probes",
    "new-names",
    "unread-answers",
    "flooding-servers",
    "slow-server-answers",
    "slow-server-reads",
    "leavers",
    "returning-ids",
    "upgrade-beside-stopped-uploads",
    "upgrade-beside-piecewise-uploads",
    "upgrade-beside-pausing-readers",
    "upgrade-beside-leavers",
    "upgrade-beside-returning-ids",
    "upgrade-without-discovery",
];

/// Clients in a crowd: as many as have a slot with 1,024 descriptors.
const CROWD: usize = 340;
/// Clients that keep to the limits of the platform: a third of 1,024 descriptors, with the ten well-behaved ones.
const ALLOWED_CLIENTS: usize = 331;
/// Connections that flood at once.
const FLOODERS: usize = 3;
/// Busy processes beside the node where its share of a core matters.
const BUSY_PROCESSES: usize = 9;
const SECONDS: f64 = 6.0;

/// Adds an upgrade in the middle of a scenario.
pub(super) fn upgraded(scenario: Scenario) -> Scenario {
    let restart = Restart { at: 3.0, kind: RestartKind::Upgrade, signals: 2 };
    Scenario { restarts: vec![restart], seconds: 8.0, ..scenario }
}

/// Returns the scenario of this name.
pub fn picture(name: &str) -> Option<Scenario> {
    let calm = Scenario::new(SECONDS);
    let crowd = |peers| Scenario { peers: vec![(peers, CROWD)], ..calm.clone() };
    let pausing = |peers| Scenario { peers: vec![(peers, ALLOWED_CLIENTS)], ..calm.clone() };
    let flood = |kind| Scenario {
        peers: vec![(Peers::Flood(kind), FLOODERS)],
        busy_processes: Some(BUSY_PROCESSES),
        sockets: 384,
        ..calm.clone()
    };
    let few =
        |peers: &[Peers]| Scenario { peers: peers.iter().map(|peers| (*peers, 2)).collect(), ..calm.clone() };
    let leavers = Peers::Leaver { requests: 40, resets: false, returns: false };
    let stopped = Peers::StoppedUpload { length: 63_000, sent: 62_000 };
    let piecewise = Peers::PiecewiseUpload { length: 63_000, piece: 1_000, over_ms: 1_100 };
    let returning = few(&[false, true].map(|resets| Peers::Leaver { requests: 1, resets, returns: true }));
    let scenario = match name {
        "calm" => calm.clone(),
        "stopped-uploads" => crowd(stopped),
        "piecewise-uploads" => crowd(piecewise),
        "long-exchanges" => crowd(Peers::LongExchange { length: 63_000, answer: 60_000 }),
        "long-stopped-uploads" => crowd(Peers::StoppedUpload { length: 3_000_000, sent: 1_500_000 }),
        "unfinished-heads" => crowd(Peers::ManyFields { fields: 3_800, is_whole: false }),
        "heads-of-many-fields" => crowd(Peers::ManyFields { fields: 90, is_whole: true }),
        "slow-readers" => crowd(Peers::SlowReader { answer: 3_000_000, rate: 10_000 }),
        "slow-short-readers" => crowd(Peers::SlowReader { answer: 60_000, rate: 10_000 }),
        "pausing-readers" => pausing(Peers::PausingReader { answer: 2_000_000, pauses: 1, pause_ms: 3_000 }),
        "often-pausing-readers" => {
            pausing(Peers::PausingReader { answer: 2_000_000, pauses: 10, pause_ms: 400 })
        }
        "empty-lines" => flood(Flood::EmptyLines),
        "byte-pairs" => flood(Flood::BytePairs),
        "invalid-heads" => flood(Flood::InvalidHeads),
        "unknown-paths" => flood(Flood::UnknownPaths),
        "probes" => flood(Flood::Probes),
        "new-names" => flood(Flood::NewNames),
        "unread-answers" => flood(Flood::UnreadAnswers),
        "flooding-servers" => Scenario {
            peers: ServerFlood::ALL.map(|kind| (Peers::ServerFlood(kind), 1)).to_vec(),
            busy_processes: Some(BUSY_PROCESSES),
            ..calm.clone()
        },
        "slow-server-answers" => few(&[true, false].map(|has_length| Peers::SlowServerWrite {
            answer: 120_000,
            over_ms: 3_000,
            has_length,
        })),
        "slow-server-reads" => few(&[
            Peers::SlowServerRead { length: 63_000, is_chunked: false, rate: 100_000 },
            Peers::SlowServerRead { length: 400_000, is_chunked: false, rate: 100_000 },
            Peers::SlowServerRead { length: 400_000, is_chunked: true, rate: 100_000 },
            Peers::SlowServerRead { length: 400_000, is_chunked: false, rate: 400_000 },
            Peers::SlowServerRead { length: 400_000, is_chunked: true, rate: 400_000 },
            Peers::SlowServerRead { length: 3_000_000, is_chunked: false, rate: 1_000_000 },
        ]),
        "leavers" => few(&[leavers, Peers::Leaver { requests: 40, resets: true, returns: false }]),
        "returning-ids" => returning,
        "upgrade-beside-stopped-uploads" => upgraded(crowd(stopped)),
        "upgrade-beside-piecewise-uploads" => upgraded(crowd(piecewise)),
        "upgrade-beside-pausing-readers" => {
            upgraded(pausing(Peers::PausingReader { answer: 2_000_000, pauses: 1, pause_ms: 3_000 }))
        }
        "upgrade-beside-returning-ids" => upgraded(returning),
        "upgrade-without-discovery" => {
            upgraded(Scenario { always_reconnects: true, deadline_ms: 200, ..calm.clone() })
        }
        "upgrade-beside-leavers" => upgraded(few(&[leavers])),
        _ => return None,
    };
    Some(scenario)
}
