//! Runs a node's decision module in virtual time and measures its processor time.

use std::collections::VecDeque;

use merlinfold_decide::interface::*;
use merlinfold_decide::policy::Balancer;

use super::fleet::{Size, MS, SECOND};
use super::stopwatch::Stopwatch;

/// Time that a server takes to answer a request.
pub const SERVICE_TIME: Nanos = 5 * MS;
/// Interval of the module's housekeeping ticks.
pub const TICK: Nanos = 50 * MS;

const START_TIME: Nanos = 100 * SECOND; // on the node's clock
const SEED: u64 = 7;

/// An attempt that the module sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Sent {
    /// The request of the attempt.
    pub id: RequestId,
    /// The server that it was sent to.
    pub server: ServerId,
    /// The time at which it was sent.
    pub at: Nanos,
}

/// The next event of the simulation.
enum Step {
    Request,
    Tick,
    Outcome,
}

/// A node whose servers answer every request after [`SERVICE_TIME`].
pub struct Node {
    balancer: Balancer,
    rng: fastrand::Rng,
    size: Size,
    cumulative: Vec<f64>, // cumulative shares of the services' requests
    now: Nanos,
    next_request: Nanos,
    next_tick: Nanos,
    in_flight: VecDeque<Sent>, // in the order of their answers
    last_id: u64,
    actions: Vec<Action>,
    sent: Vec<Sent>,
    /// Processor time of requests and their outcomes.
    pub decisions: Stopwatch,
    /// Processor time of all other events.
    pub others: Stopwatch,
}

impl Node {
    /// Creates a node with this server list; `shares` has the relative request rate of each service.
    pub fn new(size: Size, shares: &[f64], entries: Vec<ServerEntry>) -> Self {
        let total: f64 = shares.iter().sum();
        let mut sum = 0.0;
        let cumulative = shares.iter().map(|share| {
            sum += share / total;
            sum
        });
        let mut node = Node {
            balancer: Balancer::new(size.settings(), SEED),
            rng: fastrand::Rng::with_seed(SEED),
            size,
            cumulative: cumulative.collect(),
            now: START_TIME,
            next_request: START_TIME,
            next_tick: START_TIME + TICK,
            in_flight: VecDeque::new(),
            last_id: 0,
            actions: Vec::new(),
            sent: Vec::new(),
            decisions: Stopwatch::new(),
            others: Stopwatch::new(),
        };
        node.servers(ListKind::Persisted, entries);
        node
    }

    /// Returns the current virtual time.
    pub fn now(&self) -> Nanos {
        self.now
    }

    /// Passes a list, or a change of one, to the module.
    pub fn servers(&mut self, kind: ListKind, entries: Vec<ServerEntry>) {
        self.handle_other(Event::Servers { kind, entries });
    }

    /// Runs one extra housekeeping tick.
    pub fn tick(&mut self) {
        self.handle_other(Event::Timer(0));
    }

    /// Simulates this many requests with all ticks and outcomes between them; returns the attempts sent.
    pub fn serve(&mut self, requests: u64) -> Vec<Sent> {
        let until = self.last_id + requests;
        while self.last_id < until {
            self.step();
        }
        std::mem::take(&mut self.sent)
    }

    fn step(&mut self) {
        match self.next_step() {
            Step::Request => self.request(),
            Step::Outcome => self.outcome(),
            Step::Tick => {
                self.now = self.next_tick;
                self.next_tick += TICK;
                self.tick();
            }
        }
    }

    fn next_step(&self) -> Step {
        let outcome = self.in_flight.front().map_or(Nanos::MAX, |sent| sent.at + SERVICE_TIME);
        if outcome <= self.next_tick.min(self.next_request) {
            Step::Outcome
        } else if self.next_tick <= self.next_request {
            Step::Tick
        } else {
            Step::Request
        }
    }

    fn request(&mut self) {
        self.now = self.next_request;
        let gap = -(1.0 - self.rng.f64()).ln() / self.size.rate;
        self.next_request += (gap * SECOND as f64) as Nanos;
        self.last_id += 1;
        let request = Request {
            id: RequestId(self.last_id),
            class: self.sample_service(),
            tenant: self.sample_tenant(),
            key: None,
            client_timeout: 700 * MS,
            cost_hint: None,
            is_retry: false,
            streams_body: false,
        };
        self.decide(Event::Request(request));
    }

    fn outcome(&mut self) {
        let Some(sent) = self.in_flight.pop_front() else { return };
        self.now = sent.at + SERVICE_TIME;
        self.decide(Event::Outcome {
            id: sent.id,
            attempt: 0,
            server: sent.server,
            status: Status::Ok,
            latency: SERVICE_TIME,
            terminal: true,
            report: None,
        });
    }

    fn decide(&mut self, event: Event) {
        let (balancer, actions, now) = (&mut self.balancer, &mut self.actions, self.now);
        self.decisions.time(|| balancer.handle(now, event, actions));
        self.record_attempts();
    }

    fn handle_other(&mut self, event: Event) {
        let (balancer, actions, now) = (&mut self.balancer, &mut self.actions, self.now);
        self.others.time(|| balancer.handle(now, event, actions));
        self.record_attempts();
    }

    fn record_attempts(&mut self) {
        for action in self.actions.drain(..) {
            if let Action::Send { id, server, .. } = action {
                let sent = Sent { id, server, at: self.now };
                self.in_flight.push_back(sent);
                self.sent.push(sent);
            }
        }
    }

    fn sample_service(&mut self) -> usize {
        let at = self.rng.f64();
        self.cumulative.partition_point(|sum| *sum < at).min(self.cumulative.len() - 1)
    }

    /// Returns each tenant once in turn, so that all have a measured rate, then random ones.
    fn sample_tenant(&mut self) -> Option<usize> {
        let tenants = self.size.tenants as usize;
        let in_turn = (self.last_id as usize).checked_sub(1).filter(|&turn| turn < tenants);
        in_turn.or_else(|| (tenants > 0).then(|| self.rng.usize(0..tenants)))
    }
}
