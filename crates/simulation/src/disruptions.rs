//! What goes wrong when: troubles of an experiment laid out in time.

use rand::seq::SliceRandom;
use rand::Rng;

use crate::experiment::{Disruption, DisruptionKind, Experiment};
use crate::notifications::Outage;
use crate::seed::Seed;
use crate::server::ServerFaults;
use crate::{millis, Nanos, MS, SECOND};

/// Time for which a drained server goes on before it stops.
const DRAIN: Nanos = 2 * SECOND;
/// Time between the stop of a server or node and its new start.
const RESTART: Nanos = 500 * MS;
/// Share of the servers that a deploy takes at once, where the experiment states none.
const BATCH: f64 = 0.1;

/// One change of the world.
#[derive(Clone, Debug, PartialEq)]
pub enum ScheduledEvent {
    /// A server's process ends; `silent`: nobody tells discovery.
    Stop {
        /// The server.
        server: usize,
        /// Whether it died.
        silent: bool,
    },
    /// A server's machine falls silent.
    Vanish(usize),
    /// A server starts, cold.
    Start(usize),
    /// A server drains.
    Drain(usize),
    /// A trouble of servers begins or ends there.
    Fault {
        /// The server.
        server: usize,
        /// Number of the trouble, by which its end finds it.
        disruption: usize,
        /// What goes wrong; none: no more.
        faults: Option<ServerFaults>,
    },
    /// A node gets SIGTERM and is started anew once it has ended.
    NodeRoll(usize),
    /// A node is killed.
    NodeKill(usize),
    /// A node is started.
    NodeStart(usize),
    /// A node is held up for a moment.
    NodePause(usize),
    /// Discovery goes out of service or comes back.
    Discovery {
        /// Whether it is out of service.
        down: bool,
    },
    /// This share of the calls to discovery goes wrong.
    ListFaults(f64),
    /// So many peers a second connect to each node and send nothing.
    SilentPeers(f64),
    /// For the report.
    Mark(String),
}

/// All changes of a day, in order.
pub fn timeline(day: &Experiment, seed: Seed) -> Vec<(Nanos, ScheduledEvent)> {
    let mut all = Vec::new();
    for (number, trouble) in day.disruptions.iter().enumerate() {
        lay_out(day, seed, number, trouble, &mut all);
    }
    all.sort_by_key(|&(at, _)| at); // stable: what was laid out first comes first
    all
}

/// When discovery is out of service in that day, in order.
pub fn outages(day: &Experiment, seed: Seed) -> Vec<Outage> {
    let mut all: Vec<Outage> = Vec::new();
    for (at, change) in timeline(day, seed) {
        match change {
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

fn lay_out(
    day: &Experiment, seed: Seed, number: usize, trouble: &Disruption, all: &mut Vec<(Nanos, ScheduledEvent)>,
) {
    let (from, length) = (millis(trouble.at_s * 1e3), millis(trouble.for_s * 1e3));
    let until = from + length;
    let of_nodes = matches!(
        trouble.kind,
        DisruptionKind::NodeRoll | DisruptionKind::NodeKill | DisruptionKind::NodePause
    );
    let count = if of_nodes { day.nodes.count } else { day.server_count() };
    let mut hit: Vec<usize> = (0..count).collect();
    hit.shuffle(&mut seed.stream("trouble", number as u64));
    hit.truncate(((trouble.part * count as f64).round() as usize).min(count));
    let size = trouble.size.unwrap_or(BATCH);
    let mut at = |time: Nanos, change: ScheduledEvent| all.push((time, change));
    let name = format!("{:?}", trouble.kind);
    at(from, ScheduledEvent::Mark(format!("{name} begins")));
    at(until, ScheduledEvent::Mark(format!("{name} ends")));
    let fault = |make: &dyn Fn() -> ServerFaults| {
        let mut changes = Vec::new();
        for &server in &hit {
            changes.push((from, ScheduledEvent::Fault { server, disruption: number, faults: Some(make()) }));
            changes.push((until, ScheduledEvent::Fault { server, disruption: number, faults: None }));
        }
        changes
    };
    let none = ServerFaults::default;
    match trouble.kind {
        DisruptionKind::Crash => {
            for &server in &hit {
                at(from, ScheduledEvent::Stop { server, silent: true });
                at(until, ScheduledEvent::Start(server));
            }
        }
        DisruptionKind::Vanish => {
            for &server in &hit {
                at(from, ScheduledEvent::Vanish(server));
                at(until, ScheduledEvent::Start(server));
            }
        }
        DisruptionKind::Slow => all.extend(fault(&|| ServerFaults { slow: size, ..none() })),
        DisruptionKind::Hang => all.extend(fault(&|| ServerFaults { hung: true, ..none() })),
        DisruptionKind::TurnAway => {
            let class = trouble.class.as_deref().and_then(|name| day.class_index(name)).unwrap_or(0);
            all.extend(fault(&|| ServerFaults { turn_away: Some((class, millis(size))), ..none() }));
        }
        DisruptionKind::LoseAnswers => all.extend(fault(&|| ServerFaults { lose: size, ..none() })),
        DisruptionKind::CutAnswers => all.extend(fault(&|| ServerFaults { cut: size, ..none() })),
        DisruptionKind::ResetAnswers => all.extend(fault(&|| ServerFaults { reset: size, ..none() })),
        DisruptionKind::MalformedAnswers => all.extend(fault(&|| ServerFaults { malformed: size, ..none() })),
        DisruptionKind::DeployRoll => {
            let batch = ((size * count as f64).round() as usize).max(1);
            let batches = hit.chunks(batch);
            let step = length / (batches.len().max(1) as u64);
            for (turn, servers) in batches.enumerate() {
                let begins = from + step * turn as u64;
                for &server in servers {
                    at(begins, ScheduledEvent::Drain(server));
                    at(begins + DRAIN, ScheduledEvent::Stop { server, silent: false });
                    at(begins + DRAIN + RESTART, ScheduledEvent::Start(server));
                }
            }
        }
        DisruptionKind::NodeRoll => {
            let step = length / (hit.len().max(1) as u64);
            for (turn, &node) in hit.iter().enumerate() {
                at(from + step * turn as u64, ScheduledEvent::NodeRoll(node));
            }
        }
        DisruptionKind::NodeKill => {
            for &node in &hit {
                at(from, ScheduledEvent::NodeKill(node));
                at(until, ScheduledEvent::NodeStart(node));
            }
        }
        DisruptionKind::NodePause => {
            let mut moments = seed.stream("node-pause", number as u64);
            for &node in &hit {
                at(from + moments.random_range(0..=length), ScheduledEvent::NodePause(node));
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
        DisruptionKind::Surge => {} // the clients' draw knows it
    }
}

/// All that goes wrong with one server at once.
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
