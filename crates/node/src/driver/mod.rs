//! Passes events to the decision module, executes its actions, and keeps the state of all pending requests.

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
use crate::memory::{resident_bytes, Purpose};
use crate::metrics::{self, Metrics, RequestEnd, Totals};
use crate::peers::Peers;
use crate::server_list::{Endpoint, ServerList};
use crate::shared_claims::SharedClaims;
use crate::start_times::StartTimes;
use crate::upstream::{
    Attempt, AttemptOutcome, Connection, Pool, Server, ServerResponseBody, UpstreamRequest,
};
use merlinfold_decide::interface::*;
use merlinfold_decide::policy::Balancer;
use merlinfold_fleet::Snapshot;
use merlinfold_settings::{HostLimits, NameTables, NamedServer};

mod claims;
mod configuration;
mod lists;
mod long_answers;
mod orders;
mod pending_request;
mod recent_requests;
mod requests;
mod stats;

use long_answers::{LongAnswers, Resource};
use pending_request::{AttemptRecord, PendingRequest};
use recent_requests::RecentRequests;
use stats::{AttemptStats, ListStatus, StreamedBodies};

/// Time before the client's deadline by which the module must decide, so that the response can still arrive.
const RESPONSE_MARGIN: Nanos = 5_000_000;
/// Time after the module's deadline at which the driver fails an unanswered request; shorter than [`RESPONSE_MARGIN`].
const OVERDUE_GRACE: Nanos = 2_000_000;
const POOL_SWEEP_INTERVAL: Nanos = 1_000_000_000; // between checks of idle connections
const MILLISECOND: Nanos = 1_000_000;
const MAX_BATCH: usize = 256; // inputs received at once
/// Interval between reads of what another process of this node has written; well below the time limit of a drain.
const COMPANION_POLL_INTERVAL: Nanos = 100_000_000;
const REPORT_INTERVAL: Nanos = 5_000_000_000; // between log lines on responses and attempts

/// A task that is due at a certain time.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
enum ScheduledTask {
    /// Passes an expired timer to the module.
    ModuleTimer(u64),
    /// Fails the request if it is still unanswered.
    RequestDeadline(RequestId),
    /// Closes expired idle connections.
    PoolSweep,
    /// Writes the log lines on responses and attempts.
    Report,
    /// Updates the lifecycle of the node.
    Lifecycle,
    /// Reads what another process of this node has written.
    CompanionPoll,
}

/// Owns the decision module and all state that it depends on.
pub struct Driver {
    balancer: Balancer,
    names: NameTables,
    clock: Clock,
    limits: HostLimits,
    pool: Pool,
    capacity: Capacity,
    inputs: UnboundedSender<Input>,
    peers: Option<Peers>,
    /// The last view of the fleet; `None` if the node has no fleet, or its fleet component has not started.
    fleet_snapshot: Option<Box<Snapshot>>,
    in_fleet: bool,
    in_force: Arc<ActiveDocument>, // revision of the versioned configuration
    servers: Vec<Arc<Server>>,     // by server id
    requests: HashMap<RequestId, PendingRequest>,
    runs_once: Vec<bool>,   // by class: whether a request must not run more than once
    recent: RecentRequests, // of the classes whose requests run once
    long_answers: LongAnswers,
    shared_claims: Option<SharedClaims>, // while another process of this node runs
    schedule: BinaryHeap<Reverse<(Nanos, ScheduledTask)>>,
    events: VecDeque<Event>,
    actions: Vec<Action>,
    metrics: Metrics,
    attempt_stats: AttemptStats,
    lifecycle: Lifecycle,
    posture: watch::Sender<ServingState>,
    members: Vec<bool>, // by server id: whether the list has the server
    orders: Orders,
    shared: Option<Handover>,
    has_polled: bool,  // whether the state of another process has been read at least once
    poll_failed: bool, // whether the last read of that state failed
    start_times: StartTimes,
    list_version: u64,
    list_received_at: Option<Nanos>, // when discovery last answered
    /// Whether a saved list with a server, or any answer of discovery, has been received.
    has_list: bool,
}

impl Driver {
    /// Creates a driver without servers; [`Driver::run`] drives it.
    pub fn new(
        balancer: Balancer, names: NameTables, clock: Clock, limits: HostLimits, capacity: Capacity,
        inputs: UnboundedSender<Input>,
    ) -> Self {
        let lifecycle = Lifecycle::new(limits.max_deadline);
        let metrics = Metrics::new(&names.classes);
        let (posture, _) = watch::channel(lifecycle.serving_state());
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
            runs_once: Vec::new(),
            recent: RecentRequests::default(),
            long_answers: LongAnswers::default(),
            shared_claims: None,
            schedule: BinaryHeap::from([
                Reverse((clock.now() + POOL_SWEEP_INTERVAL, ScheduledTask::PoolSweep)),
                Reverse((clock.now() + REPORT_INTERVAL, ScheduledTask::Report)),
            ]),
            events: VecDeque::new(),
            actions: Vec::new(),
            metrics,
            attempt_stats: AttemptStats::default(),
            lifecycle,
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

    /// Returns the posture that the front follows.
    pub fn posture(&self) -> watch::Receiver<ServingState> {
        self.posture.subscribe()
    }

    /// Sets the socket for messages to peers.
    pub fn set_peers(&mut self, peers: Option<&Peers>) {
        self.peers = peers.cloned();
    }

    /// Records which classes have requests that must not run more than once.
    pub fn set_classes(&mut self, classes: &[Class]) {
        let runs_once = |class: &Class| class.idempotency == Idempotency::NonIdempotent;
        self.runs_once = classes.iter().map(runs_once).collect();
    }

    /// Records that the node belongs to a fleet, although no view of it exists yet.
    pub fn set_in_fleet(&mut self) {
        self.in_fleet = true;
    }

    /// Returns a sender of inputs to this driver.
    pub fn sender(&self) -> UnboundedSender<Input> {
        self.inputs.clone()
    }

    /// Loads the last known server list as the module's first event. If discovery pushes lists (`pushed`), the node
    /// waits for the first one.
    pub fn load_known_list(&mut self, list: ServerList, pushed: bool) {
        if pushed {
            self.lifecycle.await_list(self.clock.now());
            self.update_lifecycle();
        }
        self.apply_list(ListKind::Persisted, list);
    }

    /// Handles inputs and due tasks until all senders of inputs are dropped.
    pub async fn run(mut self, mut inputs: UnboundedReceiver<Input>) {
        let mut batch = Vec::with_capacity(MAX_BATCH);
        loop {
            let next_due = self.schedule.peek().map_or(self.clock.now(), |Reverse((at, _))| *at);
            if let Ok(0) =
                timeout_at(self.clock.instant(next_due), inputs.recv_many(&mut batch, MAX_BATCH)).await
            {
                return;
            }
            // The decision on a request uses all other inputs that arrived with it.
            batch.sort_by_key(|input| matches!(input, Input::Request(_)));
            batch.drain(..).for_each(|input| self.handle_input(input));
            self.run_due_tasks();
        }
    }

    fn handle_input(&mut self, input: Input) {
        match input {
            Input::Request(request) => self.receive_request(request),
            Input::AttemptEnded { id, attempt, outcome } => self.finish_attempt(id, attempt, *outcome),
            Input::ClientLeft(id) => {
                // The module is not notified of a request that it has ended itself.
                let pending = self.requests.get_mut(&id);
                if pending.is_some_and(|pending| pending.finish(None, &mut self.metrics)) {
                    self.handle_event(Event::ClientGone(id));
                }
                self.remove_if_finished(id);
            }
            Input::UploadAbandoned(id) => self.refuse_abandoned(id),
            Input::Uploaded(id) => self.handle_event(Event::BodySent(id)),
            Input::ResponseEnded { id, end, connection } => {
                if let Some(pending) = self.requests.get_mut(&id) {
                    pending.response_ended(end, &mut self.metrics);
                    let server = pending.attempts.last().map(|attempt| attempt.server);
                    if let (Some(server), Some(connection)) = (server, connection.filter(|c| !c.is_closed()))
                    {
                        self.pool_connection(server, connection);
                    }
                }
                self.remove_if_finished(id);
            }
            Input::LateConnection { server, connection } => self.pool_connection(server, connection),
            Input::List(list) => {
                // A list without changes still shows that discovery answers.
                let kind = if list.snapshot { ListKind::Complete } else { ListKind::Partial };
                self.apply_list(kind, list);
                self.lifecycle.list_received();
                self.update_lifecycle();
            }
            Input::Peer { from, bytes } => self.handle_event(Event::PeerMessage { from, bytes }),
            Input::Console { command, reply } => {
                let result = self.handle_command(command);
                let _ = reply.send(result); // the caller may have left
            }
            Input::Configuration { change, applied } => {
                self.apply_revision(*change);
                let _ = applied.send(()); // the receiver is gone only when the process ends
            }
            Input::Fleet(fleet) => self.fleet_snapshot = Some(fleet),
            Input::Terminate => {
                self.apply_order(Command::Terminate);
            }
        }
    }

    /// Runs the tasks that are due.
    fn run_due_tasks(&mut self) {
        let now = self.clock.now();
        while self.schedule.peek().is_some_and(|Reverse((at, _))| *at <= now) {
            let Some(Reverse((_, due))) = self.schedule.pop() else { return };
            match due {
                ScheduledTask::ModuleTimer(token) => self.handle_event(Event::Timer(token)),
                ScheduledTask::RequestDeadline(id) => self.fail_overdue(id),
                ScheduledTask::PoolSweep => {
                    self.pool.close_expired();
                    while !self.capacity.process_memory.allows(Purpose::IdleConnection)
                        && self.pool.close_longest_idle()
                    {}
                    self.schedule.push(Reverse((now + POOL_SWEEP_INTERVAL, ScheduledTask::PoolSweep)));
                }
                ScheduledTask::Report => {
                    let ready = self.servers.iter().filter(|server| server.accepts_sends(now)).count();
                    let age = self.list_received_at.map(|at| now - at);
                    let list = ListStatus { version: self.list_version, age, ready };
                    self.attempt_stats.report(&self.names, list, self.metrics.totals());
                    let mut streamed = StreamedBodies::default();
                    for pending in self.requests.values() {
                        streamed.up += usize::from(pending.is_uploading());
                        streamed.down += usize::from(pending.is_streaming);
                    }
                    if streamed.up + streamed.down > 0 {
                        info!(up = streamed.up, down = streamed.down, "streamed bodies in progress");
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

    /// Passes an event to the module and executes its actions, and the events that these cause.
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

    /// Executes an action of the module.
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
            Action::Watch => warn!("ignoring a watch action: the node follows the server list by itself"),
            Action::Probe { server } => {
                warn!(server = server.0, "ignoring a probe action: the node does not support probes")
            }
        }
    }
}

#[cfg(test)]
#[path = "../../tests/unit/driver.rs"]
mod tests;

#[cfg(test)]
#[path = "../../tests/unit/reconfigured.rs"]
mod reconfigured;
