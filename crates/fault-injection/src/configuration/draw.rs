//! Worlds that are drawn: a fleet and a handful of faults from one seed.

use merlinfold_simulation::seed::{Seed, Stream};
use rand::Rng;

use super::player::World;
use crate::spec::{DiskFault, Fault, Fleet, Kept, Network, Rules, Trial, What};

const SECONDS: f64 = 60.0;
const FAULTS_END: f64 = 30.0;

/// What happens in a world beside the usual publications.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// Loss, delays, splits, restarts, pauses and disks, drawn.
    Faults,
    /// Nothing fails, and publications are as far apart as on the mean day.
    Calm,
    /// A part is cut off for an hour of the mean day.
    HourApart,
    /// Seven in ten are killed between a confirmation and its spread.
    MostRestart,
    /// The publisher and the voter that leads are killed between a confirmation and its spread, again and again.
    LeaderKilled,
    /// A hundred revisions at once.
    Burst,
    /// A document of 1.5 MB, by a snapshot and by a delta of its own size.
    Large,
    /// A third of the disks is full.
    FullDisks,
    /// A node starts with a later revision than the log's epoch has.
    LaterDisk,
    /// The voters end at once; the log is founded anew under the next epoch, with or without its last announcements.
    NewEpoch,
    /// A revision of a format that some nodes do not know, and one that some refuse.
    Refused,
    /// Nodes that send pieces with a byte changed.
    Corrupt,
}

impl Kind {
    /// Whether publications are as far apart as on the mean day, up to the end.
    pub fn is_mean_day(self) -> bool {
        matches!(self, Kind::Calm | Kind::HourApart)
    }

    /// Every kind.
    pub const ALL: [Kind; 12] = [
        Kind::Faults,
        Kind::Calm,
        Kind::HourApart,
        Kind::MostRestart,
        Kind::LeaderKilled,
        Kind::Burst,
        Kind::Large,
        Kind::FullDisks,
        Kind::LaterDisk,
        Kind::NewEpoch,
        Kind::Refused,
        Kind::Corrupt,
    ];
}

/// The world of this seed.
pub fn draw(seed: u64, nodes: usize, kind: Kind) -> World {
    let mut stream = Seed(seed).stream("configuration", nodes as u64);
    let voters = if nodes >= 5 { 5 } else { 3 };
    let zones = ["a", "b", "c"][..stream.random_range(1..=3)].iter().map(|zone| (*zone).to_owned()).collect();
    let faults = match kind {
        Kind::Faults => (0..stream.random_range(1..=5)).map(|_| fault(&mut stream, nodes, voters)).collect(),
        Kind::Large => vec![Fault {
            at: 24.0,
            lasts: Some(2.0),
            what: What::Kill { who: "share:0.3".to_owned(), disk: Kept::Empty },
        }],
        Kind::HourApart => vec![Fault {
            at: 60.0,
            lasts: Some(3_600.0),
            what: What::Cut { from: "share:0.4".to_owned(), to: "rest".to_owned(), one_way: false },
        }],
        Kind::FullDisks => vec![Fault {
            at: 1.0,
            lasts: Some(FAULTS_END),
            what: What::Disk { who: "share:0.33".to_owned(), does: DiskFault::Full },
        }],
        _ => Vec::new(),
    };
    let loss = if kind == Kind::Calm || stream.random::<bool>() { 0.0 } else { 0.05 };
    let trial = Trial {
        question: "Does the distribution keep its laws?".to_owned(),
        seed,
        seconds: match kind {
            Kind::Calm => 600.0,
            Kind::HourApart => 3_720.0,
            _ => SECONDS,
        },
        by_hand: false,
        fleet: Fleet { nodes, zones, machines: 2, seeds: 3, servers: 1, strangers: 0 },
        network: Network { loss, ..Network::default() },
        log: None,
        faults,
        rules: Rules::default(),
    };
    World { trial, kind, voters, lasting: kind == Kind::FullDisks || stream.random::<bool>() }
}

fn fault(stream: &mut Stream, nodes: usize, voters: usize) -> Fault {
    let at = stream.random_range(3.0..FAULTS_END - 10.0);
    let lasts = stream.random_range(0.3..10.0);
    // Most of what matters happens at voters and at the publisher, which come first.
    let among = if stream.random::<bool>() { (voters + 1).min(nodes) } else { nodes };
    let who = format!("node:{}", stream.random_range(0..among));
    let share = format!("share:{:.2}", stream.random_range(0.1..0.9));
    let side = if stream.random::<bool>() { share } else { who.clone() };
    let all = || "all".to_owned();
    let disk = match stream.random_range(0..6) {
        0 => Kept::Empty,
        1 => Kept::Flipped,
        2 => Kept::Torn,
        3 => Kept::Yesterday,
        _ => Kept::Kept,
    };
    let what = match stream.random_range(0..8) {
        0 | 1 => What::Kill { who: side, disk },
        2 => What::Roll { who: side, every: stream.random_range(0.3..1.5) },
        3 => What::Pause { who },
        4 => What::Cut { from: side, to: "rest".to_owned(), one_way: stream.random::<bool>() },
        5 => What::Thin { from: all(), to: all(), loss: stream.random_range(0.05..0.5) },
        6 => What::Delay {
            from: side,
            to: "rest".to_owned(),
            ms: stream.random_range(1.0..300.0),
            jitter_ms: 100.0,
        },
        _ => What::Disk {
            who: side,
            does: [DiskFault::Full, DiskFault::Gone, DiskFault::SyncFails, DiskFault::Slow]
                [stream.random_range(0..4)],
        },
    };
    Fault { at, lasts: Some(lasts), what }
}
