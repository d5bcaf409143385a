//! Brings events to the decision module and carries out its actions; keeps the table of requests.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, VecDeque};
use std::sync::Arc;

use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender};
use tokio::sync::{oneshot, watch};
use tokio::task::AbortHandle;
use tokio::time::timeout_at;
use tracing::{debug, info, warn};

use crate::body::Budget;
use crate::capacity::Capacity;
use crate::clock::Clock;
use crate::configuration::{ActiveDocument, ConfigurationChange};
use crate::figures::{self, End, Figures, Totals};
use crate::handover::{Handover, Orders};
use crate::input::{Arrival, Call, Input, Reply, Said};
use crate::lifecycle::{Command, Lifecycle, ServingState};
use crate::peers::Peers;
use crate::server_list::{Endpoint, ServerList};
use crate::start_times::StartTimes;
use crate::upstream::{Answer, AnswerBody, Attempt, Connection, Ended, Outgoing, Pool, Server};
use merlinfold_decide::interface::*;
use merlinfold_decide::policy::Balancer;
use merlinfold_fleet::Snapshot;
use merlinfold_settings::{HostLimits, Listed, Names};

mod configuration;
mod lists;
mod open;
mod orders;
mod requests;
mod tally;

use open::{Open, Out};
use tally::{HeldList, Passing, Tally};

const MARGIN: Nanos = 5_000_000; // before the client's time runs out, for the answer's way back
const BACKSTOP: Nanos = 2_000_000; // after the module's time is over; within the margin
const RETIRE_EVERY: Nanos = 1_000_000_000; // between looks at idle connections
const MILLISECOND: Nanos = 1_000_000;
const BATCH: usize = 256; // inputs taken at once
const LOOK_EVERY: Nanos = 100_000_000; // at what another process of this node has done; well under the drain rule's
const REPORT_EVERY: Nanos = 5_000_000_000; // between log lines on answers and attempts

#[derive(PartialEq, Eq, PartialOrd, Ord)]
enum Due {
    Timer(u64),
    Deadline(RequestId),
    Retire,
    Report,
    Life,
    Look,
}

/// Owns the module and all that belongs to it.
pub struct Driver {
    balancer: Balancer,
    names: Names,
    clock: Clock,
    limits: HostLimits,
    pool: Pool,
    capacity: Capacity,
    inputs: UnboundedSender<Input>,
    peers: Option<Peers>,
    fleet: Option<Box<Snapshot>>, // as last told; none: its part has not begun, or the node belongs to none
    in_fleet: bool,
    in_force: Arc<ActiveDocument>, // of the versioned configuration
    servers: Vec<Arc<Server>>,     // by number
    table: HashMap<RequestId, Open>,
    due: BinaryHeap<Reverse<(Nanos, Due)>>,
    events: VecDeque<Event>,
    actions: Vec<Action>,
    figures: Figures,
    tally: Tally,
    life: Lifecycle,
    posture: watch::Sender<ServingState>,
    members: Vec<bool>, // by number: whether the list has the server
    orders: Orders,
    shared: Option<Handover>,
    looked: bool,     // at another process, at least once
    look_fails: bool, // the last look at another process
    starts: StartTimes,
    list_version: u64,
    list_heard: Option<Nanos>, // when discovery last answered
    listed: bool, // there has been a list with a server in it, or discovery has said that there is none
}

impl Driver {
    pub fn new(
        balancer: Balancer, names: Names, clock: Clock, limits: HostLimits, capacity: Capacity,
        inputs: UnboundedSender<Input>,
    ) -> Self {
        let life = Lifecycle::new(limits.longest_deadline);
        let figures = Figures::new(&names.classes);
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
            fleet: None,
            in_fleet: false,
            in_force: Arc::default(),
            servers: Vec::new(),
            table: HashMap::new(),
            due: BinaryHeap::from([
                Reverse((clock.now() + RETIRE_EVERY, Due::Retire)),
                Reverse((clock.now() + REPORT_EVERY, Due::Report)),
            ]),
            events: VecDeque::new(),
            actions: Vec::new(),
            figures,
            tally: Tally::default(),
            life,
            posture,
            members: Vec::new(),
            orders: Orders::default(),
            shared: None,
            looked: false,
            look_fails: false,
            starts: StartTimes::default(),
            list_version: 0,
            list_heard: None,
            listed: false,
        }
    }

    /// What the front is to follow.
    pub fn posture(&self) -> watch::Receiver<ServingState> {
        self.posture.subscribe()
    }

    /// The socket for messages to peers.
    pub fn tell_through(&mut self, peers: Option<&Peers>) {
        self.peers = peers.cloned();
    }

    /// The node belongs to a fleet, of which nothing is known yet.
    pub fn expect_fleet(&mut self) {
        self.in_fleet = true;
    }

    pub fn sender(&self) -> UnboundedSender<Input> {
        self.inputs.clone()
    }

    /// The list as it was last held; the module's first event. Where lists are pushed the first one is awaited.
    pub fn known(&mut self, list: ServerList, pushed: bool) {
        if pushed {
            self.life.await_list(self.clock.now());
            self.live();
        }
        self.list(ListKind::Persisted, list);
    }

    pub async fn run(mut self, mut inputs: UnboundedReceiver<Input>) {
        let mut batch = Vec::with_capacity(BATCH);
        loop {
            let next = self.due.peek().map_or(self.clock.now(), |Reverse((at, _))| *at);
            if let Ok(0) = timeout_at(self.clock.instant(next), inputs.recv_many(&mut batch, BATCH)).await {
                return;
            }
            // A request is decided on with all the news that came in with it.
            batch.sort_by_key(|input| matches!(input, Input::Request(_)));
            batch.drain(..).for_each(|input| self.take(input));
            self.fire();
        }
    }

    fn take(&mut self, input: Input) {
        match input {
            Input::Request(arrival) => self.request(arrival),
            Input::Ended { id, attempt, ended } => self.ended(id, attempt, *ended),
            Input::Gone(id) => {
                // What the module has ended by itself it need not hear of.
                let open = self.table.get_mut(&id);
                if open.is_some_and(|open| open.end(None, &mut self.figures)) {
                    self.handle(Event::Gone(id));
                }
                self.settle(id);
            }
            Input::Uploaded(id) => self.handle(Event::Uploaded(id)),
            Input::Relayed { id, end, connection } => {
                if let Some(open) = self.table.get_mut(&id) {
                    open.relayed(end, &mut self.figures);
                    let server = open.attempts.last().map(|out| out.server);
                    if let (Some(server), Some(connection)) = (server, connection.filter(|c| !c.is_closed()))
                    {
                        self.keep(server, connection);
                    }
                }
                self.settle(id);
            }
            Input::Opened { server, connection } => self.keep(server, connection),
            Input::List(list) => {
                // One that names no change still says that discovery answers.
                let kind = if list.snapshot { ListKind::Complete } else { ListKind::Partial };
                self.list(kind, list);
                self.life.list_received();
                self.live();
            }
            Input::Peer { from, bytes } => self.handle(Event::Peer { from, bytes }),
            Input::Call { call, said } => {
                let answer = self.call(call);
                let _ = said.send(answer); // a caller that has left wants no answer
            }
            Input::Configuration { change, taken } => {
                self.reconfigure(*change);
                let _ = taken.send(()); // who waits for it is gone only when the process ends
            }
            Input::Fleet(fleet) => self.fleet = Some(fleet),
            Input::Terminate => {
                self.order(Command::Terminate);
            }
        }
    }

    /// What has come due.
    fn fire(&mut self) {
        let now = self.clock.now();
        while self.due.peek().is_some_and(|Reverse((at, _))| *at <= now) {
            let Some(Reverse((_, due))) = self.due.pop() else { return };
            match due {
                Due::Timer(token) => self.handle(Event::Timer(token)),
                Due::Deadline(id) => self.backstop(id),
                Due::Retire => {
                    self.pool.retire();
                    self.due.push(Reverse((now + RETIRE_EVERY, Due::Retire)));
                }
                Due::Report => {
                    let ready = self.servers.iter().filter(|server| server.takes_sends(now)).count();
                    let age = self.list_heard.map(|at| now - at);
                    let list = HeldList { version: self.list_version, age, ready };
                    self.tally.report(&self.names, list, self.figures.totals());
                    let passing = self.table.values().fold(Passing::default(), |sum, open| Passing {
                        up: sum.up + usize::from(open.outgoing.upload().is_some_and(|u| u.over().is_none())),
                        down: sum.down + usize::from(open.relays),
                    });
                    if passing.up + passing.down > 0 {
                        info!(up = passing.up, down = passing.down, "long bodies");
                    }
                    self.due.push(Reverse((now + REPORT_EVERY, Due::Report)));
                }
                Due::Life => self.live(),
                Due::Look => {
                    self.look();
                    if self.shared.is_some() {
                        self.due.push(Reverse((now + LOOK_EVERY, Due::Look)));
                    }
                }
            }
        }
    }

    fn handle(&mut self, event: Event) {
        self.events.push_back(event);
        while let Some(event) = self.events.pop_front() {
            let now = self.clock.now();
            let mut actions = std::mem::take(&mut self.actions);
            self.balancer.handle(now, event, &mut actions);
            actions.drain(..).for_each(|action| self.carry_out(now, action));
            self.actions = actions;
        }
    }

    fn carry_out(&mut self, now: Nanos, action: Action) {
        match action {
            Action::Send { id, server, timeout, within } => self.send(now, id, server, timeout, within),
            Action::Cancel { id, attempt } => self.cancel(now, id, attempt),
            Action::Refuse { id, retry_after } => self.answer(id, Reply::Refused { retry_after }),
            Action::Fail { id } => self.answer(id, Reply::Failed),
            Action::Timer { after, token } => {
                self.due.push(Reverse((now.saturating_add(after), Due::Timer(token))));
            }
            Action::Tell { to, bytes } => {
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
