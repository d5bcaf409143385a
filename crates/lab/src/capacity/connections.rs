//! How often a node finds an open connection to the server that the module picks.
//!
//! A server closes a connection that has been idle for a time; the node itself gives it up somewhat earlier, and closes
//! the one that has been idle longest where its descriptors are used up. Every other request pays for a new connection.

use std::collections::{BTreeMap, BTreeSet};

use clap::Args;
use merlinfold_decide::interface::{Nanos, ServerId};
use serde::{Deserialize, Serialize};

use super::fleet::{shares, Size, SECOND};
use super::model::Node;

/// Share of a server's idle limit after which a node does not use a connection again.
const IDLE_SHARE: f64 = 0.8;

/// What is asked.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize, Args)]
pub struct Question {
    /// How large all is.
    #[command(flatten)]
    pub size: Size,
    /// Requests that are counted, after as many that are not.
    #[arg(long, default_value_t = 100_000)]
    pub requests: u64,
    /// Seconds after which a server closes an idle connection.
    #[arg(long, default_value_t = 30.0)]
    pub idle_s: f64,
    /// Connections to servers that a node may hold.
    #[arg(long, default_value_t = 496)]
    pub slots: usize,
    /// The n-th service is asked for n-th as often as the first; else all alike.
    #[arg(long)]
    pub skewed: bool,
}

/// What came of it.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Answer {
    /// Attempts that were counted.
    pub attempts: usize,
    /// Share of them for which a connection had to be opened.
    pub opened: f64,
    /// The same had descriptors no limit.
    pub opened_without_limit: f64,
    /// Servers that were used.
    pub servers_used: usize,
    /// Connections that are held on the mean without a limit of descriptors.
    pub held_without_limit: f64,
    /// Seconds between two attempts at one server: the median.
    pub gap_s: f64,
    /// Attempts whose server has had so many of this node's answers before: seconds since the eighth last, the median;
    /// none where no server had as many.
    pub eighth_last_s: Option<f64>,
}

/// Answers of a server that its learned speed is reckoned from.
const ANSWERS_OF_A_SPEED: usize = 8;

/// Open connections of a node, one a server.
struct Pool {
    slots: usize,
    idle_most: Nanos,
    used: BTreeMap<ServerId, Nanos>,
    order: BTreeSet<(Nanos, ServerId)>,
}

impl Pool {
    fn new(slots: usize, idle_most: Nanos) -> Self {
        Pool { slots, idle_most, used: BTreeMap::new(), order: BTreeSet::new() }
    }

    /// Whether a connection to the server is open; from now on one is.
    fn use_one(&mut self, server: ServerId, now: Nanos) -> bool {
        self.close_idle(now);
        let was = self.used.insert(server, now);
        if let Some(at) = was {
            self.order.remove(&(at, server));
        }
        self.order.insert((now, server));
        while self.used.len() > self.slots {
            let Some((_, oldest)) = self.order.pop_first() else { break };
            self.used.remove(&oldest);
        }
        was.is_some()
    }

    fn close_idle(&mut self, now: Nanos) {
        while let Some(&(at, server)) = self.order.first().filter(|(at, _)| at + self.idle_most <= now) {
            self.order.remove(&(at, server));
            self.used.remove(&server);
        }
    }
}

fn median(mut values: Vec<f64>) -> Option<f64> {
    values.sort_by(f64::total_cmp);
    values.get(values.len() / 2).copied()
}

/// Plays it.
pub fn answer(question: Question) -> Answer {
    let size = question.size;
    let mut node = Node::new(size, &shares(size.services, question.skewed), size.entries());
    let idle_most = (question.idle_s * IDLE_SHARE * SECOND as f64) as Nanos;
    let mut limited = Pool::new(question.slots, idle_most);
    let mut unlimited = Pool::new(usize::MAX, idle_most);
    let mut times: BTreeMap<ServerId, Vec<Nanos>> = BTreeMap::new();
    let (mut opened, mut opened_without_limit, mut held) = (0, 0, 0);
    let (mut gaps, mut eighths) = (Vec::new(), Vec::new());
    for sent in node.serve(question.requests) {
        limited.use_one(sent.server, sent.at);
        unlimited.use_one(sent.server, sent.at);
        times.entry(sent.server).or_default().push(sent.at);
    }
    let counted = node.serve(question.requests);
    let mut servers_used = BTreeSet::new();
    for sent in &counted {
        opened += usize::from(!limited.use_one(sent.server, sent.at));
        opened_without_limit += usize::from(!unlimited.use_one(sent.server, sent.at));
        held += unlimited.used.len();
        servers_used.insert(sent.server);
        let before = times.entry(sent.server).or_default();
        let since = |at: &Nanos| (sent.at - at) as f64 / SECOND as f64;
        gaps.extend(before.last().map(since));
        eighths.extend(before.iter().rev().nth(ANSWERS_OF_A_SPEED - 1).map(since));
        before.push(sent.at);
    }
    let attempts = counted.len();
    let share = |count: usize| count as f64 / attempts.max(1) as f64;
    Answer {
        attempts,
        opened: share(opened),
        opened_without_limit: share(opened_without_limit),
        servers_used: servers_used.len(),
        held_without_limit: share(held),
        gap_s: median(gaps).unwrap_or(f64::INFINITY),
        eighth_last_s: median(eighths),
    }
}
