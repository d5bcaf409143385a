//! The same day in virtual time: the same models and the decision module itself, without sockets.
//!
//! A day of minutes takes a second or two and is the same each time, so that many seeds can be searched. What
//! only sockets show is left out: connections that close when idle, peers that send nothing, memory,
//! descriptors and the cost of the processor.

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

/// The module's clock at the day's start: late enough that a start before the day is long ago.
const EPOCH: Nanos = 1_000 * SECOND;
/// One way between a client and its node, and between a node and a server.
const CLIENT_WAY: Nanos = 400_000;
const SERVER_WAY: Nanos = 150_000;
/// Handshake of a new connection, beyond one way.
const HANDSHAKE: Nanos = 2 * SERVER_WAY;
/// Time after which a connection that does not come up has failed.
const CONNECT: Nanos = 200 * MS;
/// Kept back of the client's time for the answer's way, as a node on sockets does.
const MARGIN: Nanos = 5 * MS;
/// Time that a watch asks for, and before the next call after one failed.
const WATCH: Nanos = 5 * SECOND;
const BACKOFF: Nanos = 100 * MS;
/// What discovery shows counts as told after this.
const TOLD_LATEST: Nanos = 6 * SECOND;
/// Time between the end of a node and its new start.
const RESTART: Nanos = 300 * MS;
/// Steps after which a day is given up as one that does not end.
const STEPS_MOST: u64 = 200_000_000;

#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Due {
    Fleet,
    Clients,
    /// A request has reached its node.
    Asked(usize, u64),
    /// An answer has reached its client.
    Answered(u64, u16, Nanos, bool),
    /// A client's patience is over.
    Patience(u64),
    Timer(usize, u32, u64),
    /// An attempt has reached its server.
    Arrives(u64),
    /// What an attempt came to has reached its node.
    Ends(u64, u8),
    /// An attempt has timed out at its node.
    TimesOut(u64),
    /// A node asks discovery.
    Asks(usize, u32),
    NodeStart(usize),
}

struct Attempt {
    node: usize,
    life: u32, // which of the node's lives sent it
    request: RequestId,
    number: u32,
    server: usize,
    sent: Nanos,
    fresh: bool,
    id: u64,
    line: Option<usize>, // in the ledger, once it has arrived
    open: bool,
}

struct Open {
    id: u64,
    attempts: Vec<u64>,
    answered: bool,
}

struct Node {
    balancer: Balancer,
    names: NameTables,
    life: u32,
    up: bool,
    leaving: bool,
    open: BTreeMap<RequestId, Open>,
    next: u64,
    index: Option<u64>,
    idle: Vec<u32>, // connections, by server
    since: BTreeMap<usize, Nanos>,
}

struct Sim<'a> {
    day: &'a Experiment,
    now: Nanos,
    due: BinaryHeap<Reverse<(Nanos, u64, Due)>>,
    sequence: u64,
    fleet_at: Nanos, // when the fleet and the clients are next looked at
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

/// Plays a day; always to the same end.
pub fn play(name: &str, day: &Experiment) -> Result<(Report, Vec<Violation>), String> {
    day.validate().map_err(|fault| format!("{name}: {fault}"))?;
    let seed = Seed(day.seed);
    let nodes: Result<Vec<Node>, String> = (0..day.nodes.count).map(|node| Node::new(day, node, 0)).collect();
    let mut sim = Sim {
        day,
        now: 0,
        due: BinaryHeap::new(),
        sequence: 0,
        fleet_at: Nanos::MAX,
        clients_at: Nanos::MAX,
        fleet: Fleet::new(day, seed),
        clients: Clients::new(day, seed),
        front: NodeBalancer::new((0..day.nodes.count).map(|node| day.zone_of_node(node)).collect()),
        rng: seed.stream("front", 0),
        nodes: nodes?,
        tries: BTreeMap::new(),
        attempts: BTreeMap::new(),
        calls: BTreeMap::new(),
        next: 0,
        ledger: Ledger::default(),
    };
    for node in 0..day.nodes.count {
        sim.start_node(node);
    }
    sim.look_at_fleet();
    sim.look_at_clients();
    let mut steps = 0;
    while !sim.clients.done() {
        let Some(Reverse((at, _, due))) = sim.due.pop() else { break };
        sim.now = at;
        sim.step(due)?;
        steps += 1;
        if steps > STEPS_MOST {
            return Err(format!("{name}: the day does not end"));
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
        day.nodes.count,
        TOLD_LATEST,
        &outages(day, seed),
    );
    let mut report = build_report(day, &ledger);
    let breaches = report.add_violations(day, &ledger);
    report.experiment = name.to_owned();
    report.nodes = "the decision module, in virtual time".to_owned();
    Ok((report, breaches))
}

impl Node {
    fn new(day: &Experiment, node: usize, life: u32) -> Result<Self, String> {
        let env: PlatformSettings = serde_json::from_value(platform::settings(day, node))
            .map_err(|error| format!("settings: {error}"))?;
        let mut names = NameTables::default();
        let settings = env.decision_settings(&mut names)?;
        // Servers are numbered as in the day.
        for server in 0..day.server_count() {
            names.servers.intern(&platform::server_name(server));
        }
        let seed = mix(day.seed ^ mix(node as u64 * 1_000 + u64::from(life)));
        Ok(Node {
            balancer: Balancer::new(settings, seed),
            names,
            life,
            up: true,
            leaving: false,
            open: BTreeMap::new(),
            next: 0,
            index: None,
            idle: vec![0; day.server_count()],
            since: BTreeMap::new(),
        })
    }
}

impl Sim<'_> {
    fn at(&mut self, at: Nanos, due: Due) {
        self.sequence += 1;
        self.due.push(Reverse((at, self.sequence, due)));
    }

    fn start_node(&mut self, node: usize) {
        let whole = self.fleet.server_list();
        self.hear(node, ListKind::Persisted, &whole);
        self.front.node_ready(node);
        let life = self.nodes[node].life;
        if !self.day.nodes.ask {
            self.at(self.now, Due::Asks(node, life));
        }
    }

    fn step(&mut self, due: Due) -> Result<(), String> {
        match due {
            // One of several looks: whichever came first has done it.
            Due::Fleet if self.fleet_at > self.now => {}
            Due::Clients if self.clients_at > self.now => {}
            Due::Fleet => {
                self.fleet_at = Nanos::MAX;
                self.fleet(|fleet, now, out| fleet.advance(now, out));
            }
            Due::Clients => {
                self.clients_at = Nanos::MAX;
                while let Some(start) = self.clients.start_try(self.now) {
                    self.attend(start);
                }
                self.look_at_clients();
            }
            Due::Asked(node, id) => self.asked(node, id),
            Due::Answered(id, status, retry_after, genuine) => {
                self.end_try(id, TryOutcome::Answered { status, retry_after, genuine });
            }
            Due::Patience(id) => {
                if let Some((tried, _)) = self.tries.get(&id) {
                    let left = tried.client_try.abandon_after.is_some();
                    self.end_try(id, if left { TryOutcome::Left } else { TryOutcome::Unanswered });
                }
            }
            Due::Timer(node, life, token) if self.nodes[node].life == life && self.nodes[node].up => {
                self.give(node, Event::Timer(token));
            }
            Due::Timer(..) => {}
            Due::Arrives(job) => self.arrives(job),
            Due::Ends(job, reply) => self.ends(job, outcome(reply)),
            Due::TimesOut(job) => {
                if let Some((server, true)) = self.attempts.get(&job).map(|a| (a.server, a.open)) {
                    self.ends(job, Outcome::Timeout);
                    self.fleet(|fleet, now, out| fleet.attempt_abandoned(now, server, job, out));
                }
            }
            Due::Asks(node, life) => {
                if self.nodes[node].life == life && self.nodes[node].up {
                    self.next += 1;
                    let call = self.next;
                    self.calls.insert(call, (node, life));
                    let watch = self.nodes[node].index.map(|index| (index, WATCH));
                    self.fleet(|fleet, now, out| fleet.call_discovery(now, call, watch, out));
                }
            }
            Due::NodeStart(node) => {
                let life = self.nodes[node].life + 1;
                self.nodes[node] = Node::new(self.day, node, life)?;
                self.start_node(node);
            }
        }
        Ok(())
    }

    fn fleet(&mut self, act: impl FnOnce(&mut Fleet, Nanos, &mut Vec<FleetEvent>)) {
        let mut effects = Vec::new();
        act(&mut self.fleet, self.now, &mut effects);
        for effect in effects {
            self.carry_out(effect);
        }
        self.look_at_fleet();
    }

    /// Looks at the fleet when it next has something to say, unless that is to be done as early already.
    fn look_at_fleet(&mut self) {
        if let Some(next) =
            self.fleet.next_due().map(|next| next.max(self.now)).filter(|&at| at < self.fleet_at)
        {
            self.fleet_at = next;
            self.at(next, Due::Fleet);
        }
    }

    /// The same of the clients.
    fn look_at_clients(&mut self) {
        let next = self.clients.next_due().map(|next| next.max(self.now));
        if let Some(next) = next.filter(|&at| at < self.clients_at) {
            self.clients_at = next;
            self.at(next, Due::Clients);
        }
    }

    fn carry_out(&mut self, effect: FleetEvent) {
        match effect {
            FleetEvent::Completed(_, done) => {
                let Some(attempt) = self.attempts.get(&done.job) else { return };
                if let Some(run) = attempt.line.and_then(|line| self.ledger.attempts.get_mut(line)) {
                    (run.ended, run.executed, run.reply) = (Some(self.now), done.executed, Some(done.reply));
                }
                if done.reply != Reply::Silence {
                    self.at(self.now + SERVER_WAY, Due::Ends(done.job, code(done.reply)));
                }
            }
            FleetEvent::RefuseConnections(server) | FleetEvent::AcceptConnections(server) => {
                self.nodes.iter_mut().for_each(|node| node.idle[server] = 0);
            }
            FleetEvent::SilenceConnections(_) => {}
            FleetEvent::DiscoveryCallEnded(answer) => {
                let Some((node, life)) = self.calls.remove(&answer.call) else { return };
                if self.nodes[node].life != life || !self.nodes[node].up {
                    return;
                }
                match answer.listing {
                    Some(listing) => {
                        let kind = if listing.snapshot { ListKind::Complete } else { ListKind::Partial };
                        self.nodes[node].index = Some(listing.index);
                        if listing.snapshot || !listing.entries.is_empty() {
                            self.hear(node, kind, &listing);
                        }
                        self.at(self.now, Due::Asks(node, life));
                    }
                    None => {
                        self.nodes[node].index = None;
                        if self.day.nodes.ask {
                            self.give(node, Event::Servers { kind: ListKind::Failed, entries: Vec::new() });
                        } else {
                            self.at(self.now + BACKOFF, Due::Asks(node, life));
                        }
                    }
                }
            }
            FleetEvent::Scheduled(change) => self.other(change),
        }
    }

    fn other(&mut self, change: ScheduledEvent) {
        match change {
            ScheduledEvent::Mark(what) => self.ledger.marks.push((self.now, what)),
            ScheduledEvent::NodeKill(node) => {
                self.ledger.process_events.push((self.now, node, NodeLife::Stopped { killed: true }));
                self.end_node(node);
            }
            ScheduledEvent::NodeStart(node) => self.at(self.now, Due::NodeStart(node)),
            ScheduledEvent::NodeRoll(node) => {
                // It takes nothing new and answers what it has; by then it has ended.
                self.ledger.process_events.push((self.now, node, NodeLife::Stopped { killed: false }));
                self.front.node_stopped(node, self.now);
                self.nodes[node].leaving = true;
                self.at(self.now + self.day.max_deadline() + RESTART, Due::NodeStart(node));
            }
            _ => {}
        }
    }

    fn end_node(&mut self, node: usize) {
        self.front.node_stopped(node, self.now + millis(self.day.nodes.notice_ms));
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
            self.fleet(|fleet, now, out| fleet.attempt_abandoned(now, server, job, out));
        }
    }

    fn attend(&mut self, start: Try) {
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
                let most = start.budget + millis(self.day.rules.grace_ms);
                let most = start.abandon_after.map_or(most, |leaves| most.min(leaves));
                self.at(self.now + most, Due::Patience(start.id));
                self.at(self.now + CLIENT_WAY, Due::Asked(node, start.id));
            }
            None => self.end_try(start.id, TryOutcome::Unreachable),
        }
    }

    fn end_try(&mut self, id: u64, end: TryOutcome) {
        let Some((mut tried, request)) = self.tries.remove(&id) else { return };
        (tried.ended, tried.outcome) = (self.now, end);
        self.ledger.tries.push(tried);
        self.clients.try_ended(self.now, id, end);
        self.look_at_clients();
        let Some(node) = tried.node.filter(|&node| self.nodes[node].up) else { return };
        let waits = self.nodes[node].open.get(&request).is_some_and(|open| !open.answered);
        if waits && matches!(end, TryOutcome::Left | TryOutcome::Unanswered) {
            self.give(node, Event::ClientGone(request));
            self.settle(node, request);
        }
    }

    fn asked(&mut self, node: usize, id: u64) {
        let Some((tried, request)) = self.tries.get_mut(&id) else { return };
        if !self.nodes[node].up {
            return;
        }
        let own = &mut self.nodes[node];
        own.next += 1;
        *request = RequestId(own.next);
        let id_at_node = *request;
        own.open.insert(id_at_node, Open { id, attempts: Vec::new(), answered: false });
        let start = tried.client_try;
        let budget = start.budget.saturating_sub(2 * CLIENT_WAY + MARGIN);
        let tenant = (!self.day.tenants.is_empty()).then_some(start.plan.tenant);
        self.give(
            node,
            Event::Request(Request {
                id: id_at_node,
                class: start.plan.class,
                tenant,
                key: Some(start.plan.key),
                client_timeout: budget,
                cost_hint: None,
                is_retry: self.day.clients.marks && start.number > 0,
                streams_body: false,
            }),
        );
        self.settle(node, id_at_node);
    }

    fn hear(&mut self, node: usize, kind: ListKind, listing: &Listing) {
        let kinds = self.day.server_kinds();
        let own = &mut self.nodes[node];
        let mut entries = Vec::new();
        for entry in &listing.entries {
            let of_kind = &self.day.fleet.kinds[kinds[entry.server]];
            entries.push(own.names.server_entry(NamedServer {
                name: &platform::server_name(entry.server),
                zone: Some(&self.day.fleet.zones[self.day.zone_of_server(entry.server)]),
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
            for server in 0..self.day.server_count() {
                if !listing.entries.iter().any(|entry| entry.server == server) {
                    let (status, at) = (Status::Terminated, self.now);
                    self.ledger.notifications.push(Notification { node, server, status, at });
                }
            }
        }
        self.give(node, Event::Servers { kind, entries });
    }

    fn give(&mut self, node: usize, event: Event) {
        let mut actions = Vec::new();
        self.nodes[node].balancer.handle(EPOCH + self.now, event, &mut actions);
        actions.into_iter().for_each(|action| self.act(node, action));
    }

    fn act(&mut self, node: usize, action: Action) {
        let life = self.nodes[node].life;
        match action {
            Action::Send { id, server, timeout, .. } => self.send(node, id, server, timeout),
            Action::Cancel { id, attempt } => {
                let job = self.nodes[node].open.get(&id).and_then(|open| open.attempts.get(attempt as usize));
                let Some(&job) = job else { return };
                let Some(server) = self.attempts.get(&job).filter(|a| a.open).map(|a| a.server) else {
                    return;
                };
                self.ends(job, Outcome::Cancelled);
                self.fleet(|fleet, now, out| fleet.attempt_abandoned(now, server, job, out));
            }
            Action::Refuse { id, retry_after } => self.answer(node, id, 503, retry_after, false),
            Action::Fail { id } => self.answer(node, id, 502, 0, false),
            Action::Timer { after, token } => self.at(self.now + after, Due::Timer(node, life, token)),
            Action::Watch => self.at(self.now, Due::Asks(node, life)),
            Action::Probe { .. } | Action::SendToPeers { .. } => {} // not allowed on these days
        }
    }
}
