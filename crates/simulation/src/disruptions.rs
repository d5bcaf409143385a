//! The schedule of an experiment's disruptions.

use rand::seq::SliceRandom;
use rand::Rng;

use crate::experiment::{Disruption, DisruptionKind, Experiment};
use crate::notifications::Outage;
use crate::seed::Seed;
use crate::server::ServerFaults;
use crate::{millis, Nanos, MS, SECOND};

/// Time between the drain of a server and its stop.
const DRAIN_TIME: Nanos = 2 * SECOND;
/// Time between the stop of a server and its restart.
const RESTART_TIME: Nanos = 500 * MS;
/// Share of the servers that a deploy restarts at once, if the experiment does not state it.
const DEFAULT_BATCH_SHARE: f64 = 0.1;

/// A scheduled event of a disruption.
#[derive(Clone, Debug, PartialEq)]
pub enum ScheduledEvent {
    /// The process of a server ends.
    Stop {
        /// Index of the server.
        server: usize,
        /// Whether it ends without deregistering from discovery.
        silent: bool,
    },
    /// The machine of a server stops responding.
    Vanish(usize),
    /// A server starts and is cold.
    Start(usize),
    /// A server starts to drain.
    Drain(usize),
    /// A fault of a server begins or ends.
    Fault {
        /// Index of the server.
        server: usize,
        /// Index of the disruption, which matches the end of the fault with its start.
        disruption: usize,
        /// The faults that begin; `None` when they end.
        faults: Option<ServerFaults>,
    },
    /// A node gets SIGTERM and is restarted once it has ended.
    NodeRoll(usize),
    /// A node is killed.
    NodeKill(usize),
    /// A node is started.
    NodeStart(usize),
    /// A node is paused for a moment.
    NodePause(usize),
    /// Discovery goes out of service or comes back.
    Discovery {
        /// Whether it is out of service.
        down: bool,
    },
    /// From now on this share of the calls to discovery gets a fault.
    ListFaults(f64),
    /// From now on this number of peers per second connects to each node and sends nothing.
    SilentPeers(f64),
    /// A note for the report.
    Mark(String),
}

/// Returns the events of all disruptions of an experiment, in order of time.
pub fn timeline(experiment: &Experiment, seed: Seed) -> Vec<(Nanos, ScheduledEvent)> {
    let mut all = Vec::new();
    for (number, disruption) in experiment.disruptions.iter().enumerate() {
        schedule(experiment, seed, number, disruption, &mut all);
    }
    all.sort_by_key(|&(at, _)| at); // stable: events at the same time keep the order of their disruptions
    all
}

/// Returns the outages of discovery in an experiment, in order of time.
pub fn outages(experiment: &Experiment, seed: Seed) -> Vec<Outage> {
    let mut all: Vec<Outage> = Vec::new();
    for (at, event) in timeline(experiment, seed) {
        match event {
            ScheduledEvent::Discovery { down: true } => all.push(Outage { from: at, until: None }),
            ScheduledEvent::Discovery { down: false } => {
                if let Some(outage) = all.last_mut() {
                    outage.until.get_or_insert(at);
                }
            }
            _ => {}
        }
    }
    all
}

fn schedule(
    experiment: &Experiment, seed: Seed, number: usize, disruption: &Disruption,
    all: &mut Vec<(Nanos, ScheduledEvent)>,
) {
    let (from, duration) = (millis(disruption.at_s * 1e3), millis(disruption.for_s * 1e3));
    let until = from + duration;
    let affects_nodes = matches!(
        disruption.kind,
        DisruptionKind::NodeRoll | DisruptionKind::NodeKill | DisruptionKind::NodePause
    );
    let count = if affects_nodes { experiment.nodes.count } else { experiment.server_count() };
    let mut affected: Vec<usize> = (0..count).collect();
    affected.shuffle(&mut seed.stream("trouble", number as u64));
    affected.truncate(((disruption.part * count as f64).round() as usize).min(count));
    let size = disruption.size.unwrap_or(DEFAULT_BATCH_SHARE);
    let mut at = |time: Nanos, event: ScheduledEvent| all.push((time, event));
    let name = format!("{:?}", disruption.kind);
    at(from, ScheduledEvent::Mark(format!("{name} begins")));
    at(until, ScheduledEvent::Mark(format!("{name} ends")));
    let faults = |make: &dyn Fn() -> ServerFaults| {
        let mut events = Vec::new();
        for &server in &affected {
            events.push((from, ScheduledEvent::Fault { server, disruption: number, faults: Some(make()) }));
            events.push((until, ScheduledEvent::Fault { server, disruption: number, faults: None }));
        }
        events
    };
    let none = ServerFaults::default;
    match disruption.kind {
        DisruptionKind::Crash => {
            for &server in &affected {
                at(from, ScheduledEvent::Stop { server, silent: true });
                at(until, ScheduledEvent::Start(server));
            }
        }
        DisruptionKind::Vanish => {
            for &server in &affected {
                at(from, ScheduledEvent::Vanish(server));
                at(until, ScheduledEvent::Start(server));
            }
        }
        DisruptionKind::Slow => all.extend(faults(&|| ServerFaults { slow: size, ..none() })),
        DisruptionKind::Hang => all.extend(faults(&|| ServerFaults { hung: true, ..none() })),
        DisruptionKind::TurnAway => {
            let class =
                disruption.class.as_deref().and_then(|name| experiment.class_index(name)).unwrap_or(0);
            all.extend(faults(&|| ServerFaults { turn_away: Some((class, millis(size))), ..none() }));
        }
        DisruptionKind::LoseAnswers => all.extend(faults(&|| ServerFaults { lose: size, ..none() })),
        DisruptionKind::CutAnswers => all.extend(faults(&|| ServerFaults { cut: size, ..none() })),
        DisruptionKind::ResetAnswers => all.extend(faults(&|| ServerFaults { reset: size, ..none() })),
        DisruptionKind::MalformedAnswers => {
            all.extend(faults(&|| ServerFaults { malformed: size, ..none() }))
        }
        DisruptionKind::DeployRoll => {
            let batch = ((size * count as f64).round() as usize).max(1);
            let batches = affected.chunks(batch);
            let step = duration / (batches.len().max(1) as u64);
            for (turn, servers) in batches.enumerate() {
                let start = from + step * turn as u64;
                for &server in servers {
                    at(start, ScheduledEvent::Drain(server));
                    at(start + DRAIN_TIME, ScheduledEvent::Stop { server, silent: false });
                    at(start + DRAIN_TIME + RESTART_TIME, ScheduledEvent::Start(server));
                }
            }
        }
        DisruptionKind::NodeRoll => {
            let step = duration / (affected.len().max(1) as u64);
            for (turn, &node) in affected.iter().enumerate() {
                at(from + step * turn as u64, ScheduledEvent::NodeRoll(node));
            }
        }
        DisruptionKind::NodeKill => {
            for &node in &affected {
                at(from, ScheduledEvent::NodeKill(node));
                at(until, ScheduledEvent::NodeStart(node));
            }
        }
        DisruptionKind::NodePause => {
            let mut pause_times = seed.stream("node-pause", number as u64);
            for &node in &affected {
                at(from + pause_times.random_range(0..=duration), ScheduledEvent::NodePause(node));
            }
        }
        DisruptionKind::DiscoveryOutage => {
            at(from, ScheduledEvent::Discovery { down: true });
            at(until, ScheduledEvent::Discovery { down: false });
        }
        DisruptionKind::ListFaults => {
            at(from, ScheduledEvent::ListFaults(size));
            at(until, ScheduledEvent::ListFaults(0.0));
        }
        DisruptionKind::SilentPeers => {
            at(from, ScheduledEvent::SilentPeers(size));
            at(until, ScheduledEvent::SilentPeers(0.0));
        }
        DisruptionKind::Surge => {} // the generation of client requests handles it
    }
}

/// Merges the faults that several disruptions cause at one server.
pub fn merge_faults<'a>(all: impl Iterator<Item = &'a ServerFaults>) -> ServerFaults {
    all.fold(ServerFaults::default(), |sum, one| ServerFaults {
        slow: sum.slow.max(1.0) * one.slow.max(1.0),
        hung: sum.hung || one.hung,
        lose: sum.lose + one.lose,
        cut: sum.cut + one.cut,
        reset: sum.reset + one.reset,
        malformed: sum.malformed + one.malformed,
        turn_away: one.turn_away.or(sum.turn_away),
    })
}
