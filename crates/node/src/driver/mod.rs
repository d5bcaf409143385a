//! Brings events to the decision module and carries out its actions; keeps the table of requests.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, VecDeque};
use std::sync::Arc;

use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender};
use tokio::sync::{oneshot, watch};
use tokio::task::AbortHandle;
use tokio::time::timeout_at;
use tracing::{debug, info, warn};

use crate::body::BufferBudget;
use crate::capacity::Capacity;
use crate::clock::Clock;
use crate::configuration::{ActiveDocument, ConfigurationChange};
use crate::handover::{Handover, Orders};
use crate::input::{ClientRequest, ConsoleCommand, ConsoleReply, Input, Reply};
use crate::lifecycle::{Command, Lifecycle, ServingState};
use crate::metrics::{self, Metrics, RequestEnd, Totals};
use crate::peers::Peers;
use crate::server_list::{Endpoint, ServerList};
use crate::start_times::StartTimes;
use crate::upstream::{
    Attempt, AttemptOutcome, Connection, Pool, Server, ServerResponse, ServerResponseBody, UpstreamRequest,
};
use merlinfold_decide::interface::*;
use merlinfold_decide::policy::Balancer;
use merlinfold_fleet::Snapshot;
use merlinfold_settings::{HostLimits, NameTables, NamedServer};

mod configuration;
mod lists;
mod orders;
mod pending_request;
mod requests;
mod stats;

use pending_request::{AttemptRecord, PendingRequest};
use stats::{AttemptStats, ListStatus, StreamedBodies};

const RESPONSE_MARGIN: Nanos = 5_000_000; // before the client's time runs out, for the answer's way back
const OVERDUE_GRACE: Nanos = 2_000_000; // after the module's time is over; within the margin
const POOL_SWEEP_INTERVAL: Nanos = 1_000_000_000; // between looks at idle connections
const MILLISECOND: Nanos = 1_000_000;
const MAX_BATCH: usize = 256; // inputs taken at once
const COMPANION_POLL_INTERVAL: Nanos = 100_000_000; // at what another process of this node has done; well under the drain rule's
const REPORT_INTERVAL: Nanos = 5_000_000_000; // between log lines on answers and attempts

#[derive(PartialEq, Eq, PartialOrd, Ord)]
enum ScheduledTask {
    ModuleTimer(u64),
    RequestDeadline(RequestId),
    PoolSweep,
    Report,
    Lifecycle,
    CompanionPoll,
}

/// Owns the module and all that belongs to it.
pub struct Driver {
    balancer: Balancer,
    names: NameTables,
    clock: Clock,
    limits: HostLimits,
    pool: Pool,
    capacity: Capacity,
    inputs: UnboundedSender<Input>,
    peers: Option<Peers>,
    fleet_snapshot: Option<Box<Snapshot>>, // as last told; none: its part has not begun, or the node belongs to none
    in_fleet: bool,
    in_force: Arc<ActiveDocument>, // of the versioned configuration
    servers: Vec<Arc<Server>>,     // by number
    requests: HashMap<RequestId, PendingRequest>,
    schedule: BinaryHeap<Reverse<(Nanos, ScheduledTask)>>,
    events: VecDeque<Event>,
    actions: Vec<Action>,
    metrics: Metrics,
    attempt_stats: AttemptStats,
    lifecycle: Lifecycle,
    posture: watch::Sender<ServingState>,
    members: Vec<bool>, // by number: whether the list has the server
    orders: Orders,
    shared: Option<Handover>,
    has_polled: bool,  // at another process, at least once
    poll_failed: bool, // the last look at another process
    start_times: StartTimes,
    list_version: u64,
    list_received_at: Option<Nanos>, // when discovery last answered
    has_list: bool, // there has been a list with a server in it, or discovery has said that there is none
}

impl Driver {
    pub fn new(
        balancer: Balancer, names: NameTables, clock: Clock, limits: HostLimits, capacity: Capacity,
        inputs: UnboundedSender<Input>,
    ) -> Self {
        let life = Lifecycle::new(limits.max_deadline);
        let figures = Metrics::new(&names.classes);
        let (posture, _) = watch::channel(life.serving_state());
        Driver {
            balancer,
            names,
            clock,
            limits,
            pool: Pool::new(capacity.servers.clone(), limits, clock),
            capacity,
            inputs,
            peers: None,
            fleet_snapshot: None,
            in_fleet: false,
            in_force: Arc::default(),
            servers: Vec::new(),
            requests: HashMap::new(),
            schedule: BinaryHeap::from([
                Reverse((clock.now() + POOL_SWEEP_INTERVAL, ScheduledTask::PoolSweep)),
                Reverse((clock.now() + REPORT_INTERVAL, ScheduledTask::Report)),
            ]),
            events: VecDeque::new(),
            actions: Vec::new(),
            metrics: figures,
            attempt_stats: AttemptStats::default(),
            lifecycle: life,
            posture,
            members: Vec::new(),
            orders: Orders::default(),
            shared: None,
            has_polled: false,
            poll_failed: false,
            start_times: StartTimes::default(),
            list_version: 0,
            list_received_at: None,
            has_list: false,
        }
    }

    /// What the front is to follow.
    pub fn posture(&self) -> watch::Receiver<ServingState> {
        self.posture.subscribe()
    }

    /// The socket for messages to peers.
    pub fn set_peers(&mut self, peers: Option<&Peers>) {
        self.peers = peers.cloned();
    }

    /// The node belongs to a fleet, of which nothing is known yet.
    pub fn set_in_fleet(&mut self) {
        self.in_fleet = true;
    }

    pub fn sender(&self) -> UnboundedSender<Input> {
        self.inputs.clone()
    }

    /// The list as it was last held; the module's first event. Where lists are pushed the first one is awaited.
    pub fn load_known_list(&mut self, list: ServerList, pushed: bool) {
        if pushed {
            self.lifecycle.await_list(self.clock.now());
            self.update_lifecycle();
        }
        self.apply_list(ListKind::Persisted, list);
    }

    pub async fn run(mut self, mut inputs: UnboundedReceiver<Input>) {
        let mut batch = Vec::with_capacity(MAX_BATCH);
        loop {
            let next = self.schedule.peek().map_or(self.clock.now(), |Reverse((at, _))| *at);
            if let Ok(0) = timeout_at(self.clock.instant(next), inputs.recv_many(&mut batch, MAX_BATCH)).await
            {
                return;
            }
            // A request is decided on with all the news that came in with it.
            batch.sort_by_key(|input| matches!(input, Input::Request(_)));
            batch.drain(..).for_each(|input| self.handle_input(input));
            self.run_due_tasks();
        }
    }

    fn handle_input(&mut self, input: Input) {
        match input {
            Input::Request(arrival) => self.receive_request(arrival),
            Input::AttemptEnded { id, attempt, outcome: ended } => self.finish_attempt(id, attempt, *ended),
            Input::ClientLeft(id) => {
                // What the module has ended by itself it need not hear of.
                let open = self.requests.get_mut(&id);
                if open.is_some_and(|open| open.finish(None, &mut self.metrics)) {
                    self.handle_event(Event::ClientGone(id));
                }
                self.remove_if_finished(id);
            }
            Input::Uploaded(id) => self.handle_event(Event::BodySent(id)),
            Input::ResponseEnded { id, end, connection } => {
                if let Some(open) = self.requests.get_mut(&id) {
                    open.response_ended(end, &mut self.metrics);
                    let server = open.attempts.last().map(|out| out.server);
                    if let (Some(server), Some(connection)) = (server, connection.filter(|c| !c.is_closed()))
                    {
                        self.pool_connection(server, connection);
                    }
                }
                self.remove_if_finished(id);
            }
            Input::LateConnection { server, connection } => self.pool_connection(server, connection),
            Input::List(list) => {
                // One that names no change still says that discovery answers.
                let kind = if list.snapshot { ListKind::Complete } else { ListKind::Partial };
                self.apply_list(kind, list);
                self.lifecycle.list_received();
                self.update_lifecycle();
            }
            Input::Peer { from, bytes } => self.handle_event(Event::PeerMessage { from, bytes }),
            Input::Console { command: call, reply: said } => {
                let answer = self.handle_command(call);
                let _ = said.send(answer); // a caller that has left wants no answer
            }
            Input::Configuration { change, applied: taken } => {
                self.apply_revision(*change);
                let _ = taken.send(()); // who waits for it is gone only when the process ends
            }
            Input::Fleet(fleet) => self.fleet_snapshot = Some(fleet),
            Input::Terminate => {
                self.apply_order(Command::Terminate);
            }
        }
    }

    /// What has come due.
    fn run_due_tasks(&mut self) {
        let now = self.clock.now();
        while self.schedule.peek().is_some_and(|Reverse((at, _))| *at <= now) {
            let Some(Reverse((_, due))) = self.schedule.pop() else { return };
            match due {
                ScheduledTask::ModuleTimer(token) => self.handle_event(Event::Timer(token)),
                ScheduledTask::RequestDeadline(id) => self.fail_overdue(id),
                ScheduledTask::PoolSweep => {
                    self.pool.close_expired();
                    self.schedule.push(Reverse((now + POOL_SWEEP_INTERVAL, ScheduledTask::PoolSweep)));
                }
                ScheduledTask::Report => {
                    let ready = self.servers.iter().filter(|server| server.accepts_sends(now)).count();
                    let age = self.list_received_at.map(|at| now - at);
                    let list = ListStatus { version: self.list_version, age, ready };
                    self.attempt_stats.report(&self.names, list, self.metrics.totals());
                    let passing =
                        self.requests.values().fold(StreamedBodies::default(), |sum, open| StreamedBodies {
                            up: sum.up
                                + usize::from(
                                    open.request.upload().is_some_and(|u| u.completed_at().is_none()),
                                ),
                            down: sum.down + usize::from(open.is_streaming),
                        });
                    if passing.up + passing.down > 0 {
                        info!(up = passing.up, down = passing.down, "long bodies");
                    }
                    self.schedule.push(Reverse((now + REPORT_INTERVAL, ScheduledTask::Report)));
                }
                ScheduledTask::Lifecycle => self.update_lifecycle(),
                ScheduledTask::CompanionPoll => {
                    self.poll_companion();
                    if self.shared.is_some() {
                        self.schedule
                            .push(Reverse((now + COMPANION_POLL_INTERVAL, ScheduledTask::CompanionPoll)));
                    }
                }
            }
        }
    }

    fn handle_event(&mut self, event: Event) {
        self.events.push_back(event);
        while let Some(event) = self.events.pop_front() {
            let now = self.clock.now();
            let mut actions = std::mem::take(&mut self.actions);
            self.balancer.handle(now, event, &mut actions);
            actions.drain(..).for_each(|action| self.execute(now, action));
            self.actions = actions;
        }
    }

    fn execute(&mut self, now: Nanos, action: Action) {
        match action {
            Action::Send { id, server, timeout, send_within: within } => {
                self.start_attempt(now, id, server, timeout, within)
            }
            Action::Cancel { id, attempt } => self.cancel_attempt(now, id, attempt),
            Action::Refuse { id, retry_after } => self.reply(id, Reply::Refused { retry_after }),
            Action::Fail { id } => self.reply(id, Reply::Failed),
            Action::Timer { after, token } => {
                self.schedule.push(Reverse((now.saturating_add(after), ScheduledTask::ModuleTimer(token))));
            }
            Action::SendToPeers { to, bytes } => {
                if let Some(peers) = &self.peers {
                    peers.send(to, &bytes);
                }
            }
            Action::Watch => warn!("the list is followed without the module's asking"),
            Action::Probe { server } => warn!(server = server.0, "probes are not carried out"),
        }
    }
}

#[cfg(test)]
#[path = "../../tests/unit/driver.rs"]
mod tests;

#[cfg(test)]
#[path = "../../tests/unit/reconfigured.rs"]
mod reconfigured;
