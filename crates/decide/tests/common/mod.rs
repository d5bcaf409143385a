//! A decision module under test with its own clock, and helpers that build its events and read its actions.
#![allow(dead_code)]

use merlinfold_decide::interface::*;
use merlinfold_decide::policy::Balancer;

/// A millisecond.
pub const MS: Nanos = 1_000_000;
/// A second.
pub const S: Nanos = 1_000_000_000;

/// A class with an aim of 400 ms and a deadline of 1 s that may run on every server.
pub fn class(effect: Idempotency) -> Class {
    Class {
        target_latency: 400 * MS,
        deadline: 1_000 * MS,
        value: 1.0,
        late_value_share: 0.0,
        idempotency: effect,
        placement: Placement::default(),
    }
}

/// Settings of the only node of a deployment.
pub fn settings(classes: Vec<Class>) -> Settings {
    Settings {
        node_index: 0,
        node_count: 1,
        zone: 0,
        classes,
        tenants: vec![],
        over_quota_value_share: 1.0,
        discovery: Discovery::Push,
        weighted: false,
        key_affinity: false,
        cross_zone_price: 0.0,
        max_attempts: 4,
        retry_budget: None,
        may_hedge: false,
        may_cancel: true,
        may_probe: false,
        may_message_peers: false,
        retry_after: true,
        max_retry_after: S,
        watch_interval: 10 * S,
        initial_capacity_share: 0.2,
        slow_start_duration: 10 * S,
        overload_factor: 3.0,
        overload_duration: S,
    }
}

/// The list entry of server `n`, which is ready and warm; there are 3 zones, 2 host types and 6 cells.
pub fn entry(n: u32) -> ServerEntry {
    ServerEntry {
        id: ServerId(n),
        name_hash: u64::from(n).wrapping_mul(0x9E37_79B9_7F4A_7C15),
        zone: (n % 3) as u16,
        host_type: (n % 2) as u16,
        cell: u64::from(n % 6),
        readiness: Readiness::Ready,
        weight: 1.0,
        started_at: 0,
    }
}

/// A decision module and its clock.
pub struct TestNode {
    /// Time of the next event.
    pub now: Nanos,
    pub balancer: Balancer,
    next_request: u64,
}

impl TestNode {
    /// Creates a node that has a persisted list of servers 0 to `servers - 1`.
    pub fn new(settings: Settings, servers: u32, seed: u64) -> Self {
        let mut node = TestNode { now: 100 * S, balancer: Balancer::new(settings, seed), next_request: 1 };
        node.update_servers(ListKind::Persisted, (0..servers).map(entry).collect());
        node
    }

    /// Handles an event at the present time and returns the resulting actions.
    pub fn handle(&mut self, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.balancer.handle(self.now, event, &mut actions);
        actions
    }

    /// Handles a server list or changes to it.
    pub fn update_servers(&mut self, kind: ListKind, entries: Vec<ServerEntry>) -> Vec<Action> {
        self.handle(Event::Servers { kind, entries })
    }

    /// Advances the clock in steps of 100 ms with a timer event each; returns the actions of all of them.
    pub fn advance(&mut self, time: Nanos) -> Vec<Action> {
        let end = self.now + time;
        let mut actions = Vec::new();
        while self.now < end {
            self.now = (self.now + 100 * MS).min(end);
            actions.extend(self.handle(Event::Timer(0)));
        }
        actions
    }

    /// Id of the next request.
    pub fn next_id(&self) -> RequestId {
        RequestId(self.next_request)
    }

    /// Handles a new request that has `budget` ns until its deadline; returns its id and the actions.
    pub fn request(&mut self, class: usize, budget: Nanos) -> (RequestId, Vec<Action>) {
        self.request_for_key(None, class, budget)
    }

    /// Like [`TestNode::request`], with a key.
    pub fn request_for_key(
        &mut self, key: Option<u64>, class: usize, budget: Nanos,
    ) -> (RequestId, Vec<Action>) {
        let id = RequestId(self.next_request);
        self.next_request += 1;
        let (tenant, cost_hint, repeat, long) = (None, None, false, false);
        let request = Request {
            id,
            class,
            tenant,
            key,
            client_timeout: budget,
            cost_hint,
            is_retry: repeat,
            streams_body: long,
        };
        (id, self.handle(Event::Request(request)))
    }

    /// Like [`TestNode::request`], for a request whose body has not arrived yet.
    pub fn request_with_upload(&mut self, class: usize, budget: Nanos) -> (RequestId, Vec<Action>) {
        let id = RequestId(self.next_request);
        self.next_request += 1;
        let (tenant, key, cost_hint, repeat, long) = (None, None, None, false, true);
        let request = Request {
            id,
            class,
            tenant,
            key,
            client_timeout: budget,
            cost_hint,
            is_retry: repeat,
            streams_body: long,
        };
        (id, self.handle(Event::Request(request)))
    }

    /// Handles the end of an attempt; only `Status::Ok` ends the request too.
    pub fn end_attempt(
        &mut self, id: RequestId, attempt: u32, server: ServerId, status: Status, latency: Nanos,
    ) -> Vec<Action> {
        let terminal = status == Status::Ok;
        self.handle(Event::Outcome { id, attempt, server, status, latency, terminal, report: None })
    }

    /// Handles a request and its answer after `latency` of its server. Returns the server, or `None` if the
    /// request was not sent. The clock stands still.
    pub fn serve(&mut self, class: usize, latency: impl Fn(ServerId) -> Nanos) -> Option<ServerId> {
        let (id, actions) = self.request(class, S);
        let server = sent_to(&actions)?;
        self.end_attempt(id, 0, server, Status::Ok, latency(server));
        Some(server)
    }
}

/// Returns the server of the first attempt among the actions.
pub fn sent_to(actions: &[Action]) -> Option<ServerId> {
    actions.iter().find_map(|action| match action {
        Action::Send { server, .. } => Some(*server),
        _ => None,
    })
}

/// Returns whether a request is refused.
pub fn is_refused(actions: &[Action]) -> bool {
    actions.iter().any(|action| matches!(action, Action::Refuse { .. }))
}

/// Returns whether a request is failed.
pub fn is_failed(actions: &[Action]) -> bool {
    actions.iter().any(|action| matches!(action, Action::Fail { .. }))
}
