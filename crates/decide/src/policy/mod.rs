//! Every decision of a node. Its types, events and actions are in `interface.rs`.
//!
//! The ordinary path is Koole's myopic static assignment (IEEE TAC 44, 1999): x_m counts own sends since
//! server m was last used, q_m = λ/(λ+μ_m) is the chance that a job outlasts a gap between sends, and the
//! ready server with the least q_m^x_m, the chance that it is still busy, gets the next attempt.
//! Each departure from it is argued where it stands, at its constant or its function.

mod admission;
mod attempts;
mod backoff;
mod learning;
mod listed;
mod pick;
mod slow_start;
mod state;
mod tuning;
mod worth;

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use crate::counters::{mean, median, Decayed, Sliding, Usual};
use crate::interface::*;
use crate::ring::{self, Line, Part, Ring, Slot};
pub use backoff::Backoff;
use state::*;
use tuning::*;

/// One node's decisions: a state machine without input or output of its own.
#[derive(Default)]
pub struct Balancer {
    set: Settings,
    rng: fastrand::Rng,
    servers: BTreeMap<ServerId, Server>,
    by_tag: BTreeMap<u32, ServerId>, // Servers by what names them in messages.
    news: Vec<u8>,                   // What has been learned since peers were told.
    ring: Ring, // Ready servers in the order of their tags, with what each is worth to each class.
    tallies: Vec<Tally>,
    suspects: BTreeSet<ServerId>,
    wakes: BTreeSet<(Nanos, ServerId)>,
    occupied: BTreeSet<ServerId>,     // Those with own attempts out.
    homes: BTreeMap<u128, ServerId>,  // Ready servers of the own zone, by tag.
    cells: BTreeSet<(u64, ServerId)>, // Servers by cell.
    limit: u32,                       // Own attempts that a server takes side by side.
    swept: Option<ServerId>,          // The last one that the sweep has passed.
    speeds: Speeds,
    weights: f64, // Of the ready servers, in all.
    requests: BTreeMap<RequestId, Held>,
    waiting: BTreeSet<(usize, Nanos, RequestId)>, // Admitted, by class and how long they may wait.
    depths: [Usual; DEPTHS],                      // Slowness by own attempts at the server.
    usual: Vec<Usual>, // Latency of each class, and the least that it has been: that without queues.
    base: Vec<f64>,
    service: Usual, // Time that servers say a request takes them.
    sends: i64,
    asked: Decayed, // Own requests, in all and of each tenant.
    tenants: Vec<Decayed>,
    work: Vec<Decayed>, // Work asked for, by class.
    retries: f64,       // Retries left.
    budget: RetryBudget,
    taken: Sliding, // Requests taken and attempts after the first of one, for a stated budget.
    further: Sliding,
    pools: Vec<Pool>,
    pool: Vec<usize>,                    // The pool of each class.
    out: BTreeSet<ServerId>,             // Taken out by hand.
    returned: BTreeMap<ServerId, Nanos>, // When servers that were out came back: they were started meanwhile.
    started: bool,
    ask_at: Nanos, // When to ask for the server list next.
    ask_backoff: Backoff,
}

impl Balancer {
    /// A node that knows its settings and nothing else.
    pub fn new(set: Settings, seed: u64) -> Self {
        // The target latency is all that is known of a class before its first answer.
        let guess = |class: &Class| (class.target_latency as f64 / 8.0).max(1.0);
        let first_like = |c: &Class| set.classes.iter().position(|d| d.placement == c.placement);
        Balancer {
            rng: fastrand::Rng::with_seed(seed),
            usual: set.classes.iter().map(guess).map(Usual::guess).collect(),
            base: set.classes.iter().map(guess).collect(),
            tenants: vec![Decayed::default(); set.tenants.len()],
            pool: set.classes.iter().filter_map(first_like).collect(),
            pools: set.classes.iter().map(|_| Pool::default()).collect(),
            work: vec![Decayed::default(); set.classes.len()],
            ring: Ring::new(set.classes.len()),
            tallies: vec![Tally::default(); set.classes.len()],
            speeds: Speeds { unknown: 1.0, scale: 1.0, bound: Vec::new() },
            limit: u32::MAX,
            retries: RETRY_RESERVE,
            budget: set.retry_budget.unwrap_or(UNSTATED),
            ask_at: Nanos::MAX,
            ask_backoff: Backoff::new(set.watch_interval),
            set: Settings { node_count: set.node_count.max(1), ..set },
            ..Balancer::default()
        }
    }

    /// Takes one event and appends what is to be done about it.
    pub fn handle(&mut self, now: Nanos, event: Event, out: &mut Vec<Action>) {
        if !self.started {
            self.started = true;
            out.push(Action::Timer { after: TICK, token: 0 });
            if self.set.discovery == Discovery::Watch {
                self.ask_at = now.saturating_add(self.ask_backoff.initial_wait(&mut self.rng));
            }
        }
        self.awake(now);
        match event {
            Event::Servers { kind, entries } => self.servers_told(now, kind, entries),
            Event::Request(request) => self.request(now, request, out),
            // A response that has started streams to its end without further decisions.
            Event::ResponseStarted { id, .. } | Event::ClientGone(id) => self.close(id),
            Event::Outcome { .. } => self.outcome(now, event, out),
            Event::BodySent(id) => self.uploaded(now, id),
            Event::Timer(0) => self.tick(now, out),
            Event::PeerMessage { bytes, .. } => self.hear(now, &bytes),
            Event::Maintenance { server, out, ordered_at: since } => self.maintain(now, server, out, since),
            Event::Reconfigured(figures) => {
                self.tenants.resize(figures.tenants.len().max(self.tenants.len()), Decayed::default());
                self.set.apply(*figures);
            }
            Event::Timer(_) | Event::ProbeOutcome { .. } => {}
        }
    }

    /// Servers that this node holds anything about.
    pub fn known_servers(&self) -> usize {
        self.servers.len()
    }

    /// Whether the module would send there, if it fits: the list has it, and nobody took it out.
    pub fn is_ready(&self, id: ServerId) -> bool {
        self.servers.get(&id).is_some_and(|server| server.slot.is_some())
    }

    /// Servers of the list that get nothing now, taken out by hand or ejected for their failures.
    pub fn excluded_servers(&self, now: Nanos) -> usize {
        let avoided = |s: &&Server| s.back_at > now || self.out.contains(&s.entry.id);
        let listed = |s: &&Server| s.entry.readiness != Readiness::Removed;
        self.servers.values().filter(listed).filter(avoided).count()
    }

    fn tick(&mut self, now: Nanos, out: &mut Vec<Action>) {
        out.push(Action::Timer { after: TICK, token: 0 });
        let limit = self.depth_limit();
        let least = limit.min(self.limit);
        if limit > self.limit {
            // What was told of more than these take after all is as old as what was told of these.
            let beyond = self.depths.iter_mut().skip(self.limit as usize + 1);
            beyond.for_each(|d| d.seen = d.seen.min(DEPTH_SAMPLES / 2.0));
        }
        if std::mem::replace(&mut self.limit, limit) != limit {
            let fuller =
                self.occupied.iter().filter(|id| self.servers.get(id).is_some_and(|s| s.out >= least));
            for id in fuller.copied().collect::<Vec<_>>() {
                self.draw(now, id);
            }
        }
        self.sweep(now);
        self.dispatch(now, out);
        self.tell(out);
        for pool in self.pools.iter_mut().filter(|p| (now - p.sensed) as f64 > STRAIN_WINDOW) {
            // Refusing all brings no news: the strain has to fade by itself. Bad news keeps it up.
            pool.strain *= 1.0 - TICK as f64 / RATE_WINDOW;
        }
        if now >= self.ask_at {
            // One subscription; if no answer comes at all it counts as failed after a while.
            self.ask_at = now.saturating_add(self.set.watch_interval);
            out.push(Action::Watch);
        }
    }
}
