//! A node's decision module in virtual time, with the processor time that it takes.

use std::collections::VecDeque;

use merlinfold_decide::interface::*;
use merlinfold_decide::policy::Balancer;

use super::fleet::{Size, MS, SECOND};
use super::stopwatch::Stopwatch;

/// How long a server takes over a request.
pub const SERVICE_TIME: Nanos = 5 * MS;
/// The module's time between rounds of housekeeping.
pub const TICK: Nanos = 50 * MS;

const START: Nanos = 100 * SECOND; // of the node's clock
const SEED: u64 = 7;

/// An attempt that went out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Sent {
    /// Of which request.
    pub id: RequestId,
    /// Where to.
    pub server: ServerId,
    /// When.
    pub at: Nanos,
}

/// What comes next.
enum Step {
    Request,
    Tick,
    Outcome,
}

/// A node before servers that answer everything after the same time.
pub struct Node {
    balancer: Balancer,
    rng: fastrand::Rng,
    size: Size,
    cumulative: Vec<f64>, // shares of the services, added up
    now: Nanos,
    next_request: Nanos,
    next_tick: Nanos,
    under_way: VecDeque<Sent>, // in the order of their answers
    last_id: u64,
    actions: Vec<Action>,
    sent: Vec<Sent>,
    /// Processor time of requests and their outcomes.
    pub decisions: Stopwatch,
    /// Processor time of everything else that the module was handed.
    pub others: Stopwatch,
}

impl Node {
    /// A node that holds the list; `shares` says how much each service is asked for.
    pub fn new(size: Size, shares: &[f64], entries: Vec<ServerEntry>) -> Self {
        let all: f64 = shares.iter().sum();
        let mut sum = 0.0;
        let added_up = shares.iter().map(|share| {
            sum += share / all;
            sum
        });
        let mut node = Node {
            balancer: Balancer::new(size.settings(), SEED),
            rng: fastrand::Rng::with_seed(SEED),
            size,
            cumulative: added_up.collect(),
            now: START,
            next_request: START,
            next_tick: START + TICK,
            under_way: VecDeque::new(),
            last_id: 0,
            actions: Vec::new(),
            sent: Vec::new(),
            decisions: Stopwatch::new(),
            others: Stopwatch::new(),
        };
        node.servers(ListKind::Persisted, entries);
        node
    }

    /// Now.
    pub fn now(&self) -> Nanos {
        self.now
    }

    /// Hands the module a list, or a change of one.
    pub fn servers(&mut self, kind: ListKind, entries: Vec<ServerEntry>) {
        self.give_other(Event::Servers { kind, entries });
    }

    /// One round of housekeeping, out of turn.
    pub fn tick(&mut self) {
        self.give_other(Event::Timer(0));
    }

    /// Lets so many requests come, and all that happens in between; what was sent meanwhile.
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
        let outcome = self.under_way.front().map_or(Nanos::MAX, |sent| sent.at + SERVICE_TIME);
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
            class: self.draw_service(),
            tenant: self.draw_tenant(),
            key: None,
            client_timeout: 700 * MS,
            cost_hint: None,
            is_retry: false,
            streams_body: false,
        };
        self.decide(Event::Request(request));
    }

    fn outcome(&mut self) {
        let Some(sent) = self.under_way.pop_front() else { return };
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
        self.carry_out();
    }

    fn give_other(&mut self, event: Event) {
        let (balancer, actions, now) = (&mut self.balancer, &mut self.actions, self.now);
        self.others.time(|| balancer.handle(now, event, actions));
        self.carry_out();
    }

    fn carry_out(&mut self) {
        for action in self.actions.drain(..) {
            if let Action::Send { id, server, .. } = action {
                let sent = Sent { id, server, at: self.now };
                self.under_way.push_back(sent);
                self.sent.push(sent);
            }
        }
    }

    fn draw_service(&mut self) -> usize {
        let at = self.rng.f64();
        self.cumulative.partition_point(|sum| *sum < at).min(self.cumulative.len() - 1)
    }

    /// Each in turn, so that all have a rate, then at random.
    fn draw_tenant(&mut self) -> Option<usize> {
        let tenants = self.size.tenants as usize;
        let in_turn = (self.last_id as usize).checked_sub(1).filter(|&turn| turn < tenants);
        in_turn.or_else(|| (tenants > 0).then(|| self.rng.usize(0..tenants)))
    }
}
