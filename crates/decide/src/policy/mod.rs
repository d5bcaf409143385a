//! Every decision of a node. The settings, events and actions are defined in `interface.rs`.
//!
//! Servers are selected by Koole's myopic static assignment (IEEE TAC 44, 1999). Here x_m is the number of
//! own sends since server m was last used, and q_m = λ/(λ+μ_m) is the probability that a job at m lasts
//! longer than the interval between two sends. The ready server with the least q_m^x_m, the probability that
//! it is still busy, gets the next attempt. Each deviation from this rule is explained at its constant or
//! function.

mod admission;
mod attempts;
mod backoff;
mod constants;
mod feedback;
mod load;
mod outcomes;
mod ranking;
mod retry_tokens;
mod selection;
mod server_list;
mod slow_start;
mod state;

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use crate::counters::{mean, median, DecayingSum, RunningStats, SlidingWindow};
use crate::interface::*;
use crate::ring::{self, Candidate, Ring, Rotation, Slot};
pub use backoff::Backoff;
use constants::*;
use retry_tokens::RetryTokens;
use state::*;

/// The decisions of one node: a deterministic state machine without I/O.
#[derive(Default)]
pub struct Balancer {
    settings: Settings,
    rng: fastrand::Rng,
    servers: BTreeMap<ServerId, Server>,
    /// Servers by the 24 bits of their name hash that identify them in peer messages.
    by_name_hash: BTreeMap<u32, ServerId>,
    /// Encoded observations since the last report to peers.
    peer_report: Vec<u8>,
    /// Ready servers in the order of their name hashes, with their scores for each class.
    ring: Ring,
    class_totals: Vec<ClassTotals>,
    unhealthy_servers: BTreeSet<ServerId>,
    /// When servers' scores change by the passing of time alone.
    refresh_times: BTreeSet<(Nanos, ServerId)>,
    /// Servers with own attempts in flight.
    busy_servers: BTreeSet<ServerId>,
    /// Ready servers of the node's own zone, by ring key.
    local_servers: BTreeMap<u128, ServerId>,
    cell_servers: BTreeSet<(u64, ServerId)>,
    /// Own attempts that a server is given concurrently.
    depth_limit: u32,
    /// The last server whose scores the periodic refresh has recomputed.
    refresh_cursor: Option<ServerId>,
    speed_model: SpeedModel,
    /// Sum of the weights of the ready servers.
    total_weight: f64,
    requests: BTreeMap<RequestId, PendingRequest>,
    /// Admitted requests without a server: class, time until which the request may wait, and id.
    queue: BTreeSet<(usize, Nanos, RequestId)>,
    /// Latency over unloaded latency, by the number of own attempts in flight at the server.
    depth_stats: [RunningStats; TRACKED_DEPTHS],
    /// Latency of each class.
    latency_stats: Vec<RunningStats>,
    /// Estimated latency of each class without queues: a minimum that slowly follows the mean upwards.
    unloaded_latency: Vec<f64>,
    /// Service times in the servers' load reports.
    service_time: RunningStats,
    /// Attempts that this node has sent.
    send_count: i64,
    /// Requests that this node has received.
    request_rate: DecayingSum,
    /// Requests by tenant.
    tenant_rates: Vec<DecayingSum>,
    /// Work of the received requests, by class.
    offered_work: Vec<DecayingSum>,
    retry_tokens: RetryTokens,
    retry_budget: RetryBudget,
    /// Requests in the window of the retry budget.
    recent_requests: SlidingWindow,
    /// Attempts after a request's first, in the window of the retry budget.
    recent_retries: SlidingWindow,
    pools: Vec<Pool>,
    /// Index into `pools`, by class.
    pool_of_class: Vec<usize>,
    /// Servers that operators have taken out of service.
    in_maintenance: BTreeSet<ServerId>,
    /// When servers were put back into service. They count as started at that time.
    maintenance_ended_at: BTreeMap<ServerId, Nanos>,
    started: bool,
    /// When to request the server list next.
    watch_at: Nanos,
    watch_backoff: Backoff,
}

impl Balancer {
    /// Creates a node that has no knowledge besides its settings. `seed` determines all random choices.
    pub fn new(settings: Settings, seed: u64) -> Self {
        let classes = settings.classes.len();
        // The target latency is all that is known of a class before its first answer.
        let estimate = |class: &Class| (class.target_latency as f64 / 8.0).max(1.0);
        let first_with_placement =
            |class: &Class| settings.classes.iter().position(|other| other.placement == class.placement);
        Balancer {
            rng: fastrand::Rng::with_seed(seed),
            latency_stats: settings.classes.iter().map(estimate).map(RunningStats::with_estimate).collect(),
            unloaded_latency: settings.classes.iter().map(estimate).collect(),
            tenant_rates: vec![DecayingSum::default(); settings.tenants.len()],
            pool_of_class: settings.classes.iter().filter_map(first_with_placement).collect(),
            pools: settings.classes.iter().map(|_| Pool::default()).collect(),
            offered_work: vec![DecayingSum::default(); classes],
            ring: Ring::new(classes),
            class_totals: vec![ClassTotals::default(); classes],
            speed_model: SpeedModel { unmeasured: 1.0, scale: 1.0, reserved: Vec::new() },
            depth_limit: u32::MAX,
            retry_budget: settings.retry_budget.unwrap_or(UNLIMITED_RETRIES),
            watch_at: Nanos::MAX,
            watch_backoff: Backoff::new(settings.watch_interval),
            settings: Settings { node_count: settings.node_count.max(1), ..settings },
            ..Balancer::default()
        }
    }

    /// Processes one event and appends the resulting actions to `actions`.
    pub fn handle(&mut self, now: Nanos, event: Event, actions: &mut Vec<Action>) {
        if !self.started {
            self.started = true;
            actions.push(Action::Timer { after: TICK_INTERVAL, token: 0 });
            if self.settings.discovery == Discovery::Watch {
                self.watch_at = now.saturating_add(self.watch_backoff.initial_wait(&mut self.rng));
            }
        }
        self.refresh_due(now);
        match event {
            Event::Servers { kind, entries } => self.update_servers(now, kind, entries),
            Event::Request(request) => self.handle_request(now, request, actions),
            // A response that has started is streamed to its end without further decisions.
            Event::ResponseStarted { id, .. } | Event::ClientGone(id) => self.close(id),
            Event::Outcome { .. } => self.handle_outcome(now, event, actions),
            Event::BodySent(id) => self.body_sent(now, id),
            Event::Timer(0) => self.tick(now, actions),
            Event::PeerMessage { bytes, .. } => self.receive_peer_report(now, &bytes),
            Event::Maintenance { server, out, ordered_at } => {
                self.set_maintenance(now, server, out, ordered_at);
            }
            Event::Reconfigured(settings) => {
                let tenants = settings.tenants.len().max(self.tenant_rates.len());
                self.tenant_rates.resize(tenants, DecayingSum::default());
                self.settings.apply(*settings);
            }
            Event::Timer(_) | Event::ProbeOutcome { .. } => {}
        }
    }

    /// Number of servers that this node has state for.
    pub fn known_servers(&self) -> usize {
        self.servers.len()
    }

    /// Whether the server may be selected: the server list has it as ready, and it is not in maintenance.
    pub fn is_ready(&self, id: ServerId) -> bool {
        self.servers.get(&id).is_some_and(|server| server.slot.is_some())
    }

    /// Number of listed servers that get no requests now, because they are in maintenance or ejected.
    pub fn excluded_servers(&self, now: Nanos) -> usize {
        let excluded = |s: &&Server| s.ejected_until > now || self.in_maintenance.contains(&s.entry.id);
        let listed = |s: &&Server| s.entry.readiness != Readiness::Removed;
        self.servers.values().filter(listed).filter(excluded).count()
    }

    /// Does the periodic housekeeping and schedules the next tick.
    fn tick(&mut self, now: Nanos, actions: &mut Vec<Action>) {
        actions.push(Action::Timer { after: TICK_INTERVAL, token: 0 });
        self.update_depth_limit(now);
        self.refresh_batch(now);
        self.dispatch(now, actions);
        self.send_peer_report(actions);
        let without_news = |pool: &&mut Pool| (now - pool.congestion_updated_at) as f64 > LOAD_WINDOW_NS;
        for pool in self.pools.iter_mut().filter(without_news) {
            // While all requests are refused no answer can lower the congestion, so it decays by itself.
            // Failures count as news and keep it up.
            pool.congestion *= 1.0 - TICK_INTERVAL as f64 / RATE_WINDOW_NS;
        }
        if now >= self.watch_at {
            // One watch is open at a time. Without any answer it counts as failed after the interval.
            self.watch_at = now.saturating_add(self.settings.watch_interval);
            actions.push(Action::Watch);
        }
    }

    fn update_depth_limit(&mut self, now: Nanos) {
        let (old, limit) = (self.depth_limit, self.measured_depth_limit());
        if limit > old {
            // Measurements of greater depths are as old as the one that has just been disproved.
            let deeper = self.depth_stats.iter_mut().skip(old as usize + 1);
            deeper.for_each(|stats| stats.samples = stats.samples.min(DEPTH_SAMPLES / 2.0));
        }
        if limit == old {
            return;
        }
        self.depth_limit = limit;
        let affected = |id: &&ServerId| self.servers.get(id).is_some_and(|s| s.in_flight >= limit.min(old));
        for id in self.busy_servers.iter().filter(affected).copied().collect::<Vec<_>>() {
            self.refresh(now, id);
        }
    }
}
