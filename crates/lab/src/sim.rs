//! Runs an experiment in virtual time with the same models and the decision module, without sockets.
//!
//! An experiment of several minutes takes a second or two and is deterministic, so that many seeds can be searched.
//! Effects that need sockets are left out: idle connections that close, peers that send nothing, memory, descriptors
//! and processor time.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

use merlinfold_decide::interface::{
    Action, Event, ListKind, Readiness, Request, RequestId, ServerId, Status as Outcome,
};
use merlinfold_decide::policy::Balancer;
use merlinfold_settings::{NameTables, NamedServer, PlatformSettings};
use merlinfold_simulation::clients::{Clients, Try, TryOutcome};
use merlinfold_simulation::discovery::{Listing, Status};
use merlinfold_simulation::disruptions::{outages, ScheduledEvent};
use merlinfold_simulation::experiment::Experiment;
use merlinfold_simulation::fleet::{Fleet, FleetEvent};
use merlinfold_simulation::ledger::{AttemptRecord, Ledger, ProcessEvent as NodeLife, TryRecord, Violation};
use merlinfold_simulation::node_balancer::NodeBalancer;
use merlinfold_simulation::notifications::{add_implied_notifications, Notification};
use merlinfold_simulation::report::{build_report, Report};
use merlinfold_simulation::seed::{mix, Seed, Stream};
use merlinfold_simulation::server::{Arrival, Reply, ServerState};
use merlinfold_simulation::{millis, Nanos, MS, SECOND};

use crate::platform;

mod attempts;

use attempts::{code, outcome};

/// Clock of the decision module at the start of the experiment, so late that servers which started before the
/// experiment count as started long ago.
const EPOCH: Nanos = 1_000 * SECOND;
/// One-way delay between a client and its node.
const CLIENT_DELAY: Nanos = 400_000;
/// One-way delay between a node and a server.
const SERVER_DELAY: Nanos = 150_000;
/// Delay of the handshake of a new connection, in addition to the one-way delay.
const HANDSHAKE: Nanos = 2 * SERVER_DELAY;
/// Time after which a connection attempt to a vanished server fails.
const CONNECT_TIMEOUT: Nanos = 200 * MS;
/// Part of the client's time budget that is reserved for returning the response, as in a node on sockets.
const RESPONSE_MARGIN: Nanos = 5 * MS;
/// Time for which a discovery poll waits for a change.
const POLL_WAIT: Nanos = 5 * SECOND;
/// Delay of the next discovery poll after a failed one.
const POLL_RETRY: Nanos = 100 * MS;
/// A change that discovery shows counts as announced to every node after this time.
const ANNOUNCED_AFTER: Nanos = 6 * SECOND;
/// Time between the end of a node in a rolling restart and its next start.
const RESTART_DELAY: Nanos = 300 * MS;
/// Maximum simulated events of a run; a run that exceeds it fails instead of running forever.
const MAX_STEPS: u64 = 200_000_000;

/// Events of the simulation. A node's events carry its incarnation, so that those of an earlier one are ignored.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
enum SimEvent {
    Fleet,
    Clients,
    /// A request has arrived at its node.
    RequestArrived(usize, u64),
    /// A response has arrived at its client.
    ResponseArrived(u64, u16, Nanos, bool),
    /// A client stops waiting.
    ClientTimeout(u64),
    Timer(usize, u32, u64),
    /// An attempt has arrived at its server.
    AttemptArrived(u64),
    /// The result of an attempt, as a code of [`outcome`], has arrived at its node.
    AttemptEnded(u64, u8),
    /// An attempt has timed out at its node.
    AttemptTimedOut(u64),
    /// A node polls discovery.
    DiscoveryPoll(usize, u32),
    NodeStart(usize),
}

struct Attempt {
    node: usize,
    incarnation: u32, // of the node that sent it
    request: RequestId,
    number: u32,
    server: usize,
    sent: Nanos,
    new_connection: bool,
    id: u64,
    run_index: Option<usize>, // index of its run in the ledger, once it has arrived
    open: bool,
}

/// A request at a node that is unanswered or has attempts in flight.
struct OpenRequest {
    id: u64,
    attempts: Vec<u64>,
    answered: bool,
}

struct Node {
    balancer: Balancer,
    names: NameTables,
    incarnation: u32,
    up: bool,
    leaving: bool,
    open: BTreeMap<RequestId, OpenRequest>,
    next: u64,
    index: Option<u64>,
    idle: Vec<u32>, // idle connections, by server
    since: BTreeMap<usize, Nanos>,
}

struct Simulator<'a> {
    experiment: &'a Experiment,
    now: Nanos,
    due: BinaryHeap<Reverse<(Nanos, u64, SimEvent)>>,
    sequence: u64,
    fleet_at: Nanos, // when the next event of the fleet and of the clients is scheduled
    clients_at: Nanos,
    fleet: Fleet,
    clients: Clients,
    front: NodeBalancer,
    rng: Stream,
    nodes: Vec<Node>,
    tries: BTreeMap<u64, (TryRecord, RequestId)>,
    attempts: BTreeMap<u64, Attempt>,
    calls: BTreeMap<u64, (usize, u32)>,
    next: u64,
    ledger: Ledger,
}

/// Runs an experiment; the same experiment and seed give the same report. Fails if the experiment is invalid or does
/// not end.
pub fn run(name: &str, experiment: &Experiment) -> Result<(Report, Vec<Violation>), String> {
    experiment.validate().map_err(|fault| format!("{name}: {fault}"))?;
    let seed = Seed(experiment.seed);
    let nodes: Result<Vec<Node>, String> =
        (0..experiment.nodes.count).map(|node| Node::new(experiment, node, 0)).collect();
    let mut sim = Simulator {
        experiment,
        now: 0,
        due: BinaryHeap::new(),
        sequence: 0,
        fleet_at: Nanos::MAX,
        clients_at: Nanos::MAX,
        fleet: Fleet::new(experiment, seed),
        clients: Clients::new(experiment, seed),
        front: NodeBalancer::new(
            (0..experiment.nodes.count).map(|node| experiment.zone_of_node(node)).collect(),
        ),
        rng: seed.stream("front", 0),
        nodes: nodes?,
        tries: BTreeMap::new(),
        attempts: BTreeMap::new(),
        calls: BTreeMap::new(),
        next: 0,
        ledger: Ledger::default(),
    };
    for node in 0..experiment.nodes.count {
        sim.start_node(node);
    }
    sim.schedule_fleet();
    sim.schedule_clients();
    let mut steps = 0;
    while !sim.clients.done() {
        let Some(Reverse((at, _, due))) = sim.due.pop() else { break };
        sim.now = at;
        sim.step(due)?;
        steps += 1;
        if steps > MAX_STEPS {
            return Err(format!("{name}: the simulation did not end within {MAX_STEPS} events"));
        }
    }
    let mut ledger = sim.ledger;
    ledger.plans = sim.clients.plans().to_vec();
    let servers = sim.fleet.servers().iter().enumerate();
    ledger.overload_crashes =
        servers.filter_map(|(n, server)| server.overload_crash().map(|fall| (n, fall))).collect();
    add_implied_notifications(
        &mut ledger.notifications,
        sim.fleet.published_changes(),
        experiment.nodes.count,
        ANNOUNCED_AFTER,
        &outages(experiment, seed),
    );
    let mut report = build_report(experiment, &ledger);
    let breaches = report.add_violations(experiment, &ledger);
    report.experiment = name.to_owned();
    report.nodes = "the decision module, in virtual time".to_owned();
    Ok((report, breaches))
}

impl Node {
    fn new(experiment: &Experiment, node: usize, incarnation: u32) -> Result<Self, String> {
        let env: PlatformSettings = serde_json::from_value(platform::settings(experiment, node))
            .map_err(|error| format!("settings: {error}"))?;
        let mut names = NameTables::default();
        let settings = env.decision_settings(&mut names)?;
        // Interns the names in order, so that a server's id is its number in the experiment.
        for server in 0..experiment.server_count() {
            names.servers.intern(&platform::server_name(server));
        }
        let seed = mix(experiment.seed ^ mix(node as u64 * 1_000 + u64::from(incarnation)));
        Ok(Node {
            balancer: Balancer::new(settings, seed),
            names,
            incarnation,
            up: true,
            leaving: false,
            open: BTreeMap::new(),
            next: 0,
            index: None,
            idle: vec![0; experiment.server_count()],
            since: BTreeMap::new(),
        })
    }
}

impl Simulator<'_> {
    fn schedule(&mut self, at: Nanos, due: SimEvent) {
        self.sequence += 1;
        self.due.push(Reverse((at, self.sequence, due)));
    }

    fn start_node(&mut self, node: usize) {
        let list = self.fleet.server_list();
        self.apply_list(node, ListKind::Persisted, &list);
        self.front.node_ready(node);
        let incarnation = self.nodes[node].incarnation;
        if !self.experiment.nodes.ask {
            self.schedule(self.now, SimEvent::DiscoveryPoll(node, incarnation));
        }
    }

    fn step(&mut self, due: SimEvent) -> Result<(), String> {
        match due {
            // An earlier event has been scheduled meanwhile and has done the work.
            SimEvent::Fleet if self.fleet_at > self.now => {}
            SimEvent::Clients if self.clients_at > self.now => {}
            SimEvent::Fleet => {
                self.fleet_at = Nanos::MAX;
                self.with_fleet(|fleet, now, out| fleet.advance(now, out));
            }
            SimEvent::Clients => {
                self.clients_at = Nanos::MAX;
                while let Some(start) = self.clients.start_try(self.now) {
                    self.start_try(start);
                }
                self.schedule_clients();
            }
            SimEvent::RequestArrived(node, id) => self.request_arrived(node, id),
            SimEvent::ResponseArrived(id, status, retry_after, genuine) => {
                self.end_try(id, TryOutcome::Answered { status, retry_after, genuine });
            }
            SimEvent::ClientTimeout(id) => {
                if let Some((tried, _)) = self.tries.get(&id) {
                    let left = tried.client_try.abandon_after.is_some();
                    self.end_try(id, if left { TryOutcome::Left } else { TryOutcome::Unanswered });
                }
            }
            SimEvent::Timer(node, incarnation, token)
                if self.nodes[node].incarnation == incarnation && self.nodes[node].up =>
            {
                self.deliver(node, Event::Timer(token));
            }
            SimEvent::Timer(..) => {}
            SimEvent::AttemptArrived(job) => self.attempt_arrived(job),
            SimEvent::AttemptEnded(job, reply) => self.attempt_ended(job, outcome(reply)),
            SimEvent::AttemptTimedOut(job) => {
                if let Some((server, true)) = self.attempts.get(&job).map(|a| (a.server, a.open)) {
                    self.attempt_ended(job, Outcome::Timeout);
                    self.with_fleet(|fleet, now, out| fleet.attempt_abandoned(now, server, job, out));
                }
            }
            SimEvent::DiscoveryPoll(node, incarnation) => {
                if self.nodes[node].incarnation == incarnation && self.nodes[node].up {
                    self.next += 1;
                    let call = self.next;
                    self.calls.insert(call, (node, incarnation));
                    let watch = self.nodes[node].index.map(|index| (index, POLL_WAIT));
                    self.with_fleet(|fleet, now, out| fleet.call_discovery(now, call, watch, out));
                }
            }
            SimEvent::NodeStart(node) => {
                let incarnation = self.nodes[node].incarnation + 1;
                self.nodes[node] = Node::new(self.experiment, node, incarnation)?;
                self.start_node(node);
            }
        }
        Ok(())
    }

    fn with_fleet(&mut self, act: impl FnOnce(&mut Fleet, Nanos, &mut Vec<FleetEvent>)) {
        let mut effects = Vec::new();
        act(&mut self.fleet, self.now, &mut effects);
        for effect in effects {
            self.apply_effect(effect);
        }
        self.schedule_fleet();
    }

    /// Schedules the fleet's next event, unless an event at that time or earlier is already scheduled.
    fn schedule_fleet(&mut self) {
        if let Some(next) =
            self.fleet.next_due().map(|next| next.max(self.now)).filter(|&at| at < self.fleet_at)
        {
            self.fleet_at = next;
            self.schedule(next, SimEvent::Fleet);
        }
    }

    /// Schedules the clients' next event, unless an event at that time or earlier is already scheduled.
    fn schedule_clients(&mut self) {
        let next = self.clients.next_due().map(|next| next.max(self.now));
        if let Some(next) = next.filter(|&at| at < self.clients_at) {
            self.clients_at = next;
            self.schedule(next, SimEvent::Clients);
        }
    }

    fn apply_effect(&mut self, effect: FleetEvent) {
        match effect {
            FleetEvent::Completed(_, done) => {
                let Some(attempt) = self.attempts.get(&done.job) else { return };
                if let Some(run) =
                    attempt.run_index.and_then(|run_index| self.ledger.attempts.get_mut(run_index))
                {
                    (run.ended, run.executed, run.reply) = (Some(self.now), done.executed, Some(done.reply));
                }
                if done.reply != Reply::Silence {
                    self.schedule(
                        self.now + SERVER_DELAY,
                        SimEvent::AttemptEnded(done.job, code(done.reply)),
                    );
                }
            }
            FleetEvent::RefuseConnections(server) | FleetEvent::AcceptConnections(server) => {
                self.nodes.iter_mut().for_each(|node| node.idle[server] = 0);
            }
            FleetEvent::SilenceConnections(_) => {}
            FleetEvent::DiscoveryCallEnded(answer) => {
                let Some((node, incarnation)) = self.calls.remove(&answer.call) else { return };
                if self.nodes[node].incarnation != incarnation || !self.nodes[node].up {
                    return;
                }
                match answer.listing {
                    Some(listing) => {
                        let kind = if listing.snapshot { ListKind::Complete } else { ListKind::Partial };
                        self.nodes[node].index = Some(listing.index);
                        if listing.snapshot || !listing.entries.is_empty() {
                            self.apply_list(node, kind, &listing);
                        }
                        self.schedule(self.now, SimEvent::DiscoveryPoll(node, incarnation));
                    }
                    None => {
                        self.nodes[node].index = None;
                        if self.experiment.nodes.ask {
                            self.deliver(
                                node,
                                Event::Servers { kind: ListKind::Failed, entries: Vec::new() },
                            );
                        } else {
                            self.schedule(self.now + POLL_RETRY, SimEvent::DiscoveryPoll(node, incarnation));
                        }
                    }
                }
            }
            FleetEvent::Scheduled(change) => self.apply_change(change),
        }
    }

    fn apply_change(&mut self, change: ScheduledEvent) {
        match change {
            ScheduledEvent::Mark(what) => self.ledger.marks.push((self.now, what)),
            ScheduledEvent::NodeKill(node) => {
                self.ledger.process_events.push((self.now, node, NodeLife::Stopped { killed: true }));
                self.end_node(node);
            }
            ScheduledEvent::NodeStart(node) => self.schedule(self.now, SimEvent::NodeStart(node)),
            ScheduledEvent::NodeRoll(node) => {
                // The node accepts no new requests and answers the open ones. It has ended before the next start.
                self.ledger.process_events.push((self.now, node, NodeLife::Stopped { killed: false }));
                self.front.node_stopped(node, self.now);
                self.nodes[node].leaving = true;
                self.schedule(
                    self.now + self.experiment.max_deadline() + RESTART_DELAY,
                    SimEvent::NodeStart(node),
                );
            }
            _ => {}
        }
    }

    fn end_node(&mut self, node: usize) {
        self.front.node_stopped(node, self.now + millis(self.experiment.nodes.notice_ms));
        self.nodes[node].up = false;
        let out: Vec<u64> =
            self.tries.iter().filter(|(_, (t, _))| t.node == Some(node)).map(|(&id, _)| id).collect();
        for id in out {
            self.end_try(id, TryOutcome::Closed);
        }
        let jobs: Vec<(u64, usize)> = self
            .attempts
            .iter_mut()
            .filter(|(_, attempt)| attempt.node == node && attempt.open)
            .map(|(&job, attempt)| {
                attempt.open = false;
                (job, attempt.server)
            })
            .collect();
        for (job, server) in jobs {
            self.with_fleet(|fleet, now, out| fleet.attempt_abandoned(now, server, job, out));
        }
    }

    fn start_try(&mut self, start: Try) {
        let node = self.front.pick_node(self.now, start.plan.zone, &mut self.rng);
        let reached = node.filter(|&node| self.nodes[node].up && !self.nodes[node].leaving);
        let written = reached.map(|_| self.now);
        let tried = TryRecord {
            client_try: start,
            node,
            written_at: written,
            first_on_connection: true,
            closed_at: None,
            ended: 0,
            outcome: TryOutcome::Unreachable,
            extra_data: false,
        };
        self.tries.insert(start.id, (tried, RequestId(u64::MAX)));
        match reached {
            Some(node) => {
                let limit = start.budget + millis(self.experiment.rules.grace_ms);
                let limit = start.abandon_after.map_or(limit, |leaves| limit.min(leaves));
                self.schedule(self.now + limit, SimEvent::ClientTimeout(start.id));
                self.schedule(self.now + CLIENT_DELAY, SimEvent::RequestArrived(node, start.id));
            }
            None => self.end_try(start.id, TryOutcome::Unreachable),
        }
    }

    fn end_try(&mut self, id: u64, end: TryOutcome) {
        let Some((mut tried, request)) = self.tries.remove(&id) else { return };
        (tried.ended, tried.outcome) = (self.now, end);
        self.ledger.tries.push(tried);
        self.clients.try_ended(self.now, id, end);
        self.schedule_clients();
        let Some(node) = tried.node.filter(|&node| self.nodes[node].up) else { return };
        let waits = self.nodes[node].open.get(&request).is_some_and(|open| !open.answered);
        if waits && matches!(end, TryOutcome::Left | TryOutcome::Unanswered) {
            self.deliver(node, Event::ClientGone(request));
            self.forget_if_done(node, request);
        }
    }

    fn request_arrived(&mut self, node: usize, id: u64) {
        let Some((tried, request)) = self.tries.get_mut(&id) else { return };
        if !self.nodes[node].up {
            return;
        }
        let own = &mut self.nodes[node];
        own.next += 1;
        *request = RequestId(own.next);
        let id_at_node = *request;
        own.open.insert(id_at_node, OpenRequest { id, attempts: Vec::new(), answered: false });
        let start = tried.client_try;
        let budget = start.budget.saturating_sub(2 * CLIENT_DELAY + RESPONSE_MARGIN);
        let tenant = (!self.experiment.tenants.is_empty()).then_some(start.plan.tenant);
        self.deliver(
            node,
            Event::Request(Request {
                id: id_at_node,
                class: start.plan.class,
                tenant,
                key: Some(start.plan.key),
                client_timeout: budget,
                cost_hint: None,
                is_retry: self.experiment.clients.marks && start.number > 0,
                streams_body: false,
            }),
        );
        self.forget_if_done(node, id_at_node);
    }

    fn apply_list(&mut self, node: usize, kind: ListKind, listing: &Listing) {
        let kinds = self.experiment.server_kinds();
        let own = &mut self.nodes[node];
        let mut entries = Vec::new();
        for entry in &listing.entries {
            let of_kind = &self.experiment.fleet.kinds[kinds[entry.server]];
            entries.push(own.names.server_entry(NamedServer {
                name: &platform::server_name(entry.server),
                zone: Some(&self.experiment.fleet.zones[self.experiment.zone_of_server(entry.server)]),
                host_type: Some(&of_kind.name),
                cell: Some(entry.server as u64 / 4),
                readiness: match entry.status {
                    Status::InService => Readiness::Ready,
                    Status::Terminating => Readiness::Draining,
                    Status::Terminated => Readiness::Removed,
                },
                weight: Some(of_kind.build.cores * of_kind.build.speed),
                started_at: if entry.since == 0 { 0 } else { EPOCH + entry.since },
            }));
            if entry.status == Status::InService {
                own.since.insert(entry.server, entry.since);
            }
            let (server, status, at) = (entry.server, entry.status, self.now);
            self.ledger.notifications.push(Notification { node, server, status, at });
        }
        if listing.snapshot {
            for server in 0..self.experiment.server_count() {
                if !listing.entries.iter().any(|entry| entry.server == server) {
                    let (status, at) = (Status::Terminated, self.now);
                    self.ledger.notifications.push(Notification { node, server, status, at });
                }
            }
        }
        self.deliver(node, Event::Servers { kind, entries });
    }

    fn deliver(&mut self, node: usize, event: Event) {
        let mut actions = Vec::new();
        self.nodes[node].balancer.handle(EPOCH + self.now, event, &mut actions);
        actions.into_iter().for_each(|action| self.execute(node, action));
    }

    fn execute(&mut self, node: usize, action: Action) {
        let incarnation = self.nodes[node].incarnation;
        match action {
            Action::Send { id, server, timeout, .. } => self.send_attempt(node, id, server, timeout),
            Action::Cancel { id, attempt } => {
                let job = self.nodes[node].open.get(&id).and_then(|open| open.attempts.get(attempt as usize));
                let Some(&job) = job else { return };
                let Some(server) = self.attempts.get(&job).filter(|a| a.open).map(|a| a.server) else {
                    return;
                };
                self.attempt_ended(job, Outcome::Cancelled);
                self.with_fleet(|fleet, now, out| fleet.attempt_abandoned(now, server, job, out));
            }
            Action::Refuse { id, retry_after } => self.answer(node, id, 503, retry_after, false),
            Action::Fail { id } => self.answer(node, id, 502, 0, false),
            Action::Timer { after, token } => {
                self.schedule(self.now + after, SimEvent::Timer(node, incarnation, token))
            }
            Action::Watch => self.schedule(self.now, SimEvent::DiscoveryPoll(node, incarnation)),
            Action::Probe { .. } | Action::SendToPeers { .. } => {} // the settings of experiments do not allow these
        }
    }
}
