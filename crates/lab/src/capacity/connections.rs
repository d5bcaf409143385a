//! Simulates how often a node has an open connection to the server that the decision module picks.
//!
//! A server closes a connection after an idle time. The node closes it somewhat earlier, and closes the connection that
//! has been idle longest when it runs out of descriptors. A request without an open connection must open one.

use std::collections::{BTreeMap, BTreeSet};

use clap::Args;
use merlinfold_decide::interface::{Nanos, ServerId};
use serde::{Deserialize, Serialize};

use super::fleet::{shares, Size, SECOND};
use super::model::Node;

/// Share of a server's idle limit after which a node does not use a connection again.
const IDLE_SHARE: f64 = 0.8;

/// Parameters of the simulation.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize, Args)]
pub struct Parameters {
    /// Size of the fleet.
    #[command(flatten)]
    pub size: Size,
    /// Number of requests that are counted, after a warm-up of as many.
    #[arg(long, default_value_t = 100_000)]
    pub requests: u64,
    /// Seconds after which a server closes an idle connection.
    #[arg(long, default_value_t = 30.0)]
    pub idle_s: f64,
    /// Maximum number of connections from a node to servers.
    #[arg(long, default_value_t = 496)]
    pub slots: usize,
    /// The n-th service receives 1/n of the requests of the first; by default all receive the same.
    #[arg(long)]
    pub skewed: bool,
}

/// Result of the simulation.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Answer {
    /// Number of attempts that were counted.
    pub attempts: usize,
    /// Share of the attempts for which a connection had to be opened.
    pub opened: f64,
    /// The same share without a limit of connections.
    pub opened_without_limit: f64,
    /// Number of servers that were used.
    pub servers_used: usize,
    /// Mean number of open connections without a limit of connections.
    pub held_without_limit: f64,
    /// Median time between two attempts at the same server, s.
    pub gap_s: f64,
    /// Median age of the eighth last attempt at the same server, s, over the attempts that have one; none if no attempt
    /// has.
    pub eighth_last_s: Option<f64>,
}

/// Number of a server's answers from which the module estimates its speed.
const SPEED_SAMPLE_ANSWERS: usize = 8;

/// Open connections of a node, one per server.
struct Pool {
    slots: usize,
    max_idle: Nanos,
    used: BTreeMap<ServerId, Nanos>,
    order: BTreeSet<(Nanos, ServerId)>,
}

impl Pool {
    fn new(slots: usize, max_idle: Nanos) -> Self {
        Pool { slots, max_idle, used: BTreeMap::new(), order: BTreeSet::new() }
    }

    /// Uses the connection to the server, or opens one; returns whether one was open.
    fn use_connection(&mut self, server: ServerId, now: Nanos) -> bool {
        self.close_idle(now);
        let last_used = self.used.insert(server, now);
        if let Some(at) = last_used {
            self.order.remove(&(at, server));
        }
        self.order.insert((now, server));
        while self.used.len() > self.slots {
            let Some((_, oldest)) = self.order.pop_first() else { break };
            self.used.remove(&oldest);
        }
        last_used.is_some()
    }

    fn close_idle(&mut self, now: Nanos) {
        while let Some(&(at, server)) = self.order.first().filter(|(at, _)| at + self.max_idle <= now) {
            self.order.remove(&(at, server));
            self.used.remove(&server);
        }
    }
}

fn median(mut values: Vec<f64>) -> Option<f64> {
    values.sort_by(f64::total_cmp);
    values.get(values.len() / 2).copied()
}

/// Runs the simulation.
pub fn simulate(parameters: Parameters) -> Answer {
    let size = parameters.size;
    let mut node = Node::new(size, &shares(size.services, parameters.skewed), size.entries());
    let max_idle = (parameters.idle_s * IDLE_SHARE * SECOND as f64) as Nanos;
    let mut limited = Pool::new(parameters.slots, max_idle);
    let mut unlimited = Pool::new(usize::MAX, max_idle);
    let mut times: BTreeMap<ServerId, Vec<Nanos>> = BTreeMap::new();
    let (mut opened, mut opened_without_limit, mut open_connections) = (0, 0, 0);
    let (mut gaps, mut eighths) = (Vec::new(), Vec::new());
    for sent in node.serve(parameters.requests) {
        limited.use_connection(sent.server, sent.at);
        unlimited.use_connection(sent.server, sent.at);
        times.entry(sent.server).or_default().push(sent.at);
    }
    let counted = node.serve(parameters.requests);
    let mut servers_used = BTreeSet::new();
    for sent in &counted {
        opened += usize::from(!limited.use_connection(sent.server, sent.at));
        opened_without_limit += usize::from(!unlimited.use_connection(sent.server, sent.at));
        open_connections += unlimited.used.len();
        servers_used.insert(sent.server);
        let before = times.entry(sent.server).or_default();
        let since = |at: &Nanos| (sent.at - at) as f64 / SECOND as f64;
        gaps.extend(before.last().map(since));
        eighths.extend(before.iter().rev().nth(SPEED_SAMPLE_ANSWERS - 1).map(since));
        before.push(sent.at);
    }
    let attempts = counted.len();
    let share = |count: usize| count as f64 / attempts.max(1) as f64;
    Answer {
        attempts,
        opened: share(opened),
        opened_without_limit: share(opened_without_limit),
        servers_used: servers_used.len(),
        held_without_limit: share(open_connections),
        gap_s: median(gaps).unwrap_or(f64::INFINITY),
        eighth_last_s: median(eighths),
    }
}
