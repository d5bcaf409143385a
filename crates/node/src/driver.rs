//! Brings events to the decision module and carries out its actions; keeps the table of requests.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, VecDeque};
use std::sync::Arc;

use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender};
use tokio::sync::{oneshot, watch, Notify};
use tokio::task::AbortHandle;
use tokio::time::timeout_at;
use tracing::{debug, info, warn};

use crate::body::Budget;
use crate::clock::Clock;
use crate::figures::{self, End, Figures, Totals};
use crate::handover::{Orders, Shared};
use crate::input::{Arrival, Call, Input, Reply, Said};
use crate::lifecycle::{Life, Order, Posture};
use crate::list::{Endpoint, List};
use crate::peers::Peers;
use crate::room::Room;
use crate::upstream::{Answer, AnswerBody, Attempt, Connection, Ended, Outgoing, Pool, Server};
use merlinfold_decide::interface::*;
use merlinfold_decide::policy::Balancer;
use merlinfold_fleet::Snapshot;
use merlinfold_settings::{HostLimits, Listed, Names};

const MARGIN: Nanos = 5_000_000; // before the client's time runs out, for the answer's way back
const BACKSTOP: Nanos = 2_000_000; // after the module's time is over; within the margin
const RETIRE_EVERY: Nanos = 1_000_000_000; // between looks at idle connections
const BATCH: usize = 256; // inputs taken at once
const LOOK_EVERY: Nanos = 100_000_000; // at what another process of this node has done; well under the drain rule's
const REPORT_EVERY: Nanos = 5_000_000_000; // between log lines on answers and attempts

/// A request in the table: until it is answered and its last attempt has ended.
struct Open {
    class: usize,
    client: Option<oneshot::Sender<Reply>>, // none once the final answer is given or nobody waits for it
    outgoing: Arc<Outgoing>,
    deadline: Nanos,
    attempts: Vec<Out>,
    relays: bool, // a long answer is on its way
}

struct Out {
    server: ServerId,
    sent: Nanos,
    task: Option<AbortHandle>, // none once it has had its outcome
}

impl Open {
    /// The only place where a request ends: it is answered, or without a reply its client has left. Only the
    /// first end counts, in the figures too; true if this was it.
    fn end(&mut self, reply: Option<Reply>, figures: &mut Figures) -> bool {
        let Some(client) = self.client.take() else { return false };
        self.outgoing.over.cancel();
        let end = match &reply {
            Some(Reply::Served(Answer { body: AnswerBody::Long(_), .. })) => None, // with its last byte
            Some(Reply::Served(_)) => Some(End::Completed),
            Some(Reply::Refused { .. }) => Some(End::Rejected),
            Some(Reply::Failed | Reply::Stalled) => Some(End::Failed),
            None => Some(End::Left),
        };
        match end {
            Some(end) => figures.ended(self.class, end),
            None => self.relays = true,
        }
        if let Some(reply) = reply {
            let _ = client.send(reply); // a client that left just now counts as answered
        }
        true
    }

    /// A long answer has ended, which ends its request.
    fn relayed(&mut self, end: End, figures: &mut Figures) {
        if std::mem::take(&mut self.relays) {
            figures.ended(self.class, end);
        }
    }

    fn is_over(&self) -> bool {
        self.client.is_none() && !self.relays && self.attempts.iter().all(|out| out.task.is_none())
    }
}

/// What became of attempts since the last log line, and the counts of requests as of then.
#[derive(Default)]
struct Tally {
    requests: Totals,
    sent: u64,
    endings: [u64; 8],           // of attempts, by status
    slowest: Nanos,              // answer of a server
    bad: HashMap<ServerId, u64>, // attempts that failed, by server
}

/// Long bodies that are on their way.
#[derive(Default)]
struct Passing {
    up: usize,
    down: usize,
}

impl Tally {
    fn ended(&mut self, server: ServerId, status: Status, latency: Nanos) {
        self.endings[status as usize] += 1;
        match status {
            Status::Ok => self.slowest = self.slowest.max(latency),
            Status::Cancelled | Status::Moot => {}
            _ => *self.bad.entry(server).or_default() += 1,
        }
    }

    /// Writes a line if anything went other than well, and starts anew.
    fn report(&mut self, names: &Names, ready: usize, totals: Totals) {
        let anew = Tally { requests: totals, ..Tally::default() };
        let Tally { requests, sent, endings, slowest, bad } = std::mem::replace(self, anew);
        let since = totals.since(&requests);
        let (requests, served, refused) = (since.taken, since.of(End::Completed), since.of(End::Rejected));
        let (failed, left) = (since.of(End::Failed), since.of(End::Left));
        if refused + failed + left + bad.len() as u64 == 0 {
            return;
        }
        let of = |status: Status| endings[status as usize];
        let worst = bad.iter().max_by_key(|(id, &count)| (count, Reverse(**id)));
        let worst = worst.map(|(id, count)| format!("{}:{count}", names.servers.name(id.0 as usize)));
        info!(requests, served, refused, failed, left, ready, "answers");
        info!(
            sent,
            ok = of(Status::Ok),
            slowest_ms = slowest / 1_000_000,
            error = of(Status::Error),
            full = of(Status::Full),
            timeout = of(Status::Timeout),
            unconnected = of(Status::ConnectFailed),
            reset = of(Status::Reset),
            cancelled = of(Status::Cancelled),
            moot = of(Status::Moot),
            bad_servers = bad.len(),
            worst = worst.unwrap_or_default(),
            "attempts"
        );
    }
}

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
    room: Room,
    inputs: UnboundedSender<Input>,
    watch: Arc<Notify>,
    peers: Option<Peers>,
    fleet: Option<Box<Snapshot>>, // as last told; none: its part has not begun, or the node belongs to none
    in_fleet: bool,
    servers: Vec<Arc<Server>>, // by number
    table: HashMap<RequestId, Open>,
    due: BinaryHeap<Reverse<(Nanos, Due)>>,
    events: VecDeque<Event>,
    actions: Vec<Action>,
    figures: Figures,
    tally: Tally,
    life: Life,
    posture: watch::Sender<Posture>,
    members: Vec<bool>, // by number: whether the list has the server
    orders: Orders,
    shared: Option<Shared>,
    listed: bool, // there has been a list with a server in it, or discovery has said that there is none
}

impl Driver {
    pub fn new(
        balancer: Balancer, names: Names, clock: Clock, limits: HostLimits, room: Room,
        inputs: UnboundedSender<Input>, watch: Arc<Notify>,
    ) -> Self {
        let life = Life::new(limits.longest_deadline);
        let figures = Figures::new(&names.classes);
        let (posture, _) = watch::channel(life.posture());
        Driver {
            balancer,
            names,
            clock,
            limits,
            pool: Pool::new(room.servers.clone(), limits, clock),
            room,
            inputs,
            watch,
            peers: None,
            fleet: None,
            in_fleet: false,
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
            listed: false,
        }
    }

    /// What the front is to follow.
    pub fn posture(&self) -> watch::Receiver<Posture> {
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
    pub fn known(&mut self, list: List, pushed: bool) {
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
                self.life.listed();
                self.live();
            }
            Input::ListFailed => self.handle(Event::Servers { kind: ListKind::Failed, entries: Vec::new() }),
            Input::Peer { from, bytes } => self.handle(Event::Peer { from, bytes }),
            Input::Call { call, said } => {
                let answer = self.call(call);
                let _ = said.send(answer); // a caller that has left wants no answer
            }
            Input::Fleet(fleet) => self.fleet = Some(fleet),
            Input::Terminate => {
                self.order(Order::Terminate);
            }
        }
    }

    fn call(&mut self, call: Call) -> Said {
        match call {
            Call::Status if !self.life.posture().opens => {
                Said::NotNow("the predecessor makes room".to_owned())
            }
            Call::Status if self.listed => Said::Yes(format!("{}\n", self.life.name())),
            Call::Status => Said::NotNow("no server list yet".to_owned()),
            Call::Figures => {
                let members = self.members.iter().filter(|member| **member).count();
                let mut text = self.figures.text(members, self.balancer.avoided(self.clock.now()));
                if let Some(fleet) = &self.fleet {
                    text.push_str(&figures::of_fleet(fleet));
                }
                Said::Yes(text)
            }
            Call::Members => match &self.fleet {
                Some(fleet) => match serde_json::to_string_pretty(fleet) {
                    Ok(text) => Said::Yes(text + "\n"),
                    Err(error) => Said::NotNow(format!("members: {error}")),
                },
                None if self.in_fleet => Said::NotNow("the fleet's part has not begun: ask again".to_owned()),
                None => Said::Unknown("no fleet: merlinfold.toml has no [fleet]".to_owned()),
            },
            Call::Maintenance { member, out } => self.maintenance(&member, out),
            Call::Standby(standby) => self.stand_by(standby),
        }
    }

    /// Takes a server out, or puts it back. One that the list has lost may still be meant: it may come again.
    fn maintenance(&mut self, member: &str, out: bool) -> Said {
        self.look(); // or an order that the other process has written just now would be written over
        let mut orders = self.orders.clone();
        if self.names.servers.get(member).is_none() && !orders.out.contains(member) {
            return Said::Unknown(format!("no guide server {member:.100}"));
        }
        let now = self.clock.now();
        if out {
            orders.back.remove(member);
            orders.out.insert(member.to_owned());
        } else if orders.out.remove(member) {
            orders.back.insert(member.to_owned(), now);
        }
        let ramp = self.limits.ramp_time;
        orders.back.retain(|_, &mut at| now < at.saturating_add(ramp));
        self.adopt(orders);
        self.publish();
        Said::Yes(format!("{member} {}\n", if out { "out" } else { "back" }))
    }

    /// Shares with the other processes of this node from now on, and takes over what one before has left.
    pub fn share(&mut self, mut shared: Shared) {
        let left = shared.changed();
        let companion = shared.has_companion();
        self.room.resize(companion);
        if companion {
            self.life.wait(self.clock.now());
            self.live();
        }
        self.shared = Some(shared);
        if let Some(mut orders) = left {
            info!(?orders, companion, "orders of an earlier process");
            orders.standby &= companion; // nobody knows of a drain before a crash any more
            self.adopt(orders);
        }
        self.due.push(Reverse((self.clock.now() + LOOK_EVERY, Due::Look)));
    }

    /// Looks what another process of this node has done.
    fn look(&mut self) {
        let Some(shared) = &mut self.shared else { return };
        let had = shared.has_companion();
        if let Err(error) = shared.look() {
            warn!(%error, "another process of this node would not be noticed: no more looks");
            self.shared = None;
            return;
        }
        let has = shared.has_companion();
        if has != had {
            self.room.resize(has);
        }
        if !self.room.settle() {
            self.pool.shed();
            self.life.retire(); // a client that asks again is served by the other process
        }
        if !has {
            self.life.open();
        } else if shared.is_first() {
            if let Err(error) = shared.keep(self.room.kept()) {
                warn!(%error, "a successor does not hear how much room there is");
            }
        } else if !shared.has_place() {
            self.life.wait(self.clock.now()); // a third process, for which there is no room
        } else if shared.kept().is_some_and(|kept| self.room.fit(kept)) {
            self.life.open();
        }
        if let Some(orders) = shared.changed() {
            info!(?orders, "orders from another process");
            self.adopt(orders);
        }
        self.live();
    }

    /// Carries out what differs from the orders so far.
    fn adopt(&mut self, orders: Orders) {
        let was = std::mem::replace(&mut self.orders, orders);
        let now = self.clock.now();
        let gone_out: Vec<String> = self.orders.out.difference(&was.out).cloned().collect();
        let put_back = self.orders.back.iter().filter(|(name, at)| was.back.get(*name) != Some(at));
        let put_back: Vec<String> = put_back.map(|(name, _)| name.clone()).collect();
        for name in gone_out.iter().chain(&put_back) {
            if let Some(number) = self.names.servers.get(name) {
                let server = ServerId(number as u32);
                self.maintain(server);
                self.mark(server, now);
            }
        }
        if self.orders.standby != was.standby {
            self.order(if self.orders.standby { Order::Standby } else { Order::Active });
        }
    }

    /// Tells the module what is ordered about a server.
    fn maintain(&mut self, server: ServerId) {
        let name = self.names.servers.name(server.0 as usize);
        let out = self.orders.out.contains(name);
        let back = self.orders.back.get(name).copied();
        if out || back.is_some() {
            let since = back.unwrap_or(self.clock.now());
            self.handle(Event::Maintenance { server, out, since });
        }
    }

    /// Lets other processes of this node know of the orders.
    fn publish(&mut self) {
        if let Some(shared) = &mut self.shared {
            shared.write(&self.orders);
        }
    }

    /// Drains, or ends that.
    fn stand_by(&mut self, standby: bool) -> Said {
        self.look();
        let orders = Orders { standby, ..self.orders.clone() };
        if !self.order(if standby { Order::Standby } else { Order::Active }) {
            return Said::Conflict("the node ends".to_owned());
        }
        self.orders = orders;
        self.publish();
        Said::Yes(format!("{}\n", self.life.name()))
    }

    /// Carries an order out, if that can still be done.
    fn order(&mut self, order: Order) -> bool {
        let done = self.life.order(self.clock.now(), order);
        info!(?order, done, state = self.life.name(), "order");
        self.live();
        done
    }

    /// Lets the front know what the node's life asks for, and sees to it when that changes next.
    fn live(&mut self) {
        self.life.tick(self.clock.now());
        let posture = self.life.posture();
        self.posture.send_if_modified(|known| std::mem::replace(known, posture) != posture);
        if let Some(at) = self.life.due() {
            self.due.push(Reverse((at, Due::Life)));
        }
    }

    fn request(&mut self, arrival: Arrival) {
        let Arrival { id, class, tenant, key, cost_hint, repeat, expires, outgoing, client } = arrival;
        let now = self.clock.now();
        let deadline = expires.saturating_sub(MARGIN).max(now);
        self.figures.taken(class);
        let long = outgoing.upload().is_some();
        let attempts = Vec::new();
        let mut open = Open { class, client: Some(client), outgoing, deadline, attempts, relays: false };
        if self.table.len() >= self.limits.open_requests {
            open.end(Some(Reply::Refused { retry_after: 0 }), &mut self.figures);
            return;
        }
        self.table.insert(id, open);
        if !long {
            // A long one has its time from its last byte on: its attempt sees to that.
            self.due.push(Reverse((deadline + BACKSTOP, Due::Deadline(id))));
        }
        let budget = deadline - now;
        self.handle(Event::Request(Request { id, class, tenant, key, budget, cost_hint, repeat, long }));
        self.settle(id);
    }

    fn ended(&mut self, id: RequestId, attempt: u32, ended: Ended) {
        let Some(open) = self.table.get_mut(&id) else { return };
        let Some(out) = open.attempts.get_mut(attempt as usize) else { return };
        if out.task.take().is_none() {
            return; // it was called off meanwhile and has had its outcome
        }
        let (server, sent) = (out.server, out.sent);
        if let Some(mut answer) = ended.answer {
            if let AnswerBody::Long(relay) = &mut answer.body {
                relay.report_to(self.inputs.clone(), id);
            }
            open.end(Some(Reply::Served(answer)), &mut self.figures);
        } else if let Some(upload) = open.outgoing.upload().filter(|upload| upload.is_spent()) {
            // Nobody can try again with what is gone.
            let reply = match ended.status {
                _ if upload.is_stalled() => Reply::Stalled,
                status if status.never_ran() => Reply::Refused { retry_after: 0 },
                _ => Reply::Failed,
            };
            open.end(Some(reply), &mut self.figures);
        }
        let terminal = open.client.is_none();
        if let Some(connection) = ended.connection {
            self.keep(server, connection);
        }
        if let Some(opening) = ended.opening {
            self.pool.await_late(server, opening, self.inputs.clone());
        }
        let latency = self.clock.now() - ended.since.unwrap_or(sent).max(sent);
        self.tally.ended(server, ended.status, latency);
        let (status, report) = (ended.status, ended.report);
        self.handle(Event::Outcome { id, attempt, server, status, latency, terminal, report });
        self.settle(id);
    }

    /// Keeps a connection for the next attempt there, if there may be one.
    fn keep(&mut self, server: ServerId, connection: Connection) {
        if self.servers[server.0 as usize].takes_sends(self.clock.now()) {
            self.pool.put(server, connection);
        }
    }

    fn settle(&mut self, id: RequestId) {
        if self.table.get(&id).is_some_and(Open::is_over) {
            self.table.remove(&id);
        }
    }

    fn list(&mut self, kind: ListKind, list: List) {
        let now = self.clock.now();
        let entries: Vec<ServerEntry> = list.endpoints.iter().map(|line| self.entry(line)).collect();
        if kind != ListKind::Partial {
            self.members.fill(false);
        }
        self.members.resize(self.servers.len(), false);
        entries.iter().for_each(|e| self.members[e.id.0 as usize] = e.readiness != Readiness::Gone);
        self.listed |= kind != ListKind::Persisted || !entries.is_empty();
        debug!(?kind, lines = entries.len(), "list");
        let told: Vec<ServerId> = match kind {
            ListKind::Partial => entries.iter().map(|entry| entry.id).collect(),
            _ => (0..self.servers.len() as u32).map(ServerId).collect(),
        };
        self.handle(Event::Servers { kind, entries });
        told.into_iter().for_each(|id| self.mark(id, now));
    }

    /// Lets a server's connections know whether the module would send there: what was picked before and is not
    /// yet written must not go out long after that has ended.
    fn mark(&mut self, id: ServerId, now: Nanos) {
        let ready = self.balancer.is_ready(id);
        self.servers[id.0 as usize].set_ready(ready, now, self.limits.drain_grace);
        if !ready {
            self.pool.close(id);
        }
    }

    fn entry(&mut self, line: &Endpoint) -> ServerEntry {
        let entry = self.names.server_entry(Listed {
            name: &line.name,
            zone: line.zone.as_deref(),
            kind: line.kind.as_deref(),
            cell: line.group,
            readiness: line.status.into(),
            weight: line.weight,
            since: line.since_ms.saturating_mul(1_000_000), // the module's clock is Unix time
        });
        match self.servers.get_mut(entry.id.0 as usize) {
            None => {
                self.servers.push(Arc::new(Server::new(line.address)));
                self.maintain(entry.id); // it may have been ordered before the list had it
            }
            Some(server) if server.address != line.address => {
                *server = Arc::new(Server::new(line.address));
                self.pool.close(entry.id);
            }
            Some(_) => {}
        }
        entry
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
                    self.tally.report(&self.names, ready, self.figures.totals());
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

    /// Fails what the module has left unanswered, rather than let its client wait in vain.
    fn backstop(&mut self, id: RequestId) {
        let open = self.table.get_mut(&id);
        if open.is_some_and(|open| open.end(Some(Reply::Failed), &mut self.figures)) {
            warn!(id = id.0, "unanswered at its deadline");
            self.handle(Event::Gone(id));
            self.settle(id);
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
                    peers.tell(to, &bytes);
                }
            }
            Action::Watch => self.watch.notify_one(),
            Action::Probe { server } => warn!(server = server.0, "probes are not carried out"),
        }
    }

    fn answer(&mut self, id: RequestId, reply: Reply) {
        if let Some(open) = self.table.get_mut(&id) {
            open.end(Some(reply), &mut self.figures);
        }
        self.settle(id);
    }

    fn send(&mut self, now: Nanos, id: RequestId, to: ServerId, timeout: Nanos, within: Option<Nanos>) {
        let Some(open) = self.table.get_mut(&id) else { return };
        let attempt = open.attempts.len() as u32;
        let server = &self.servers[to.0 as usize];
        let over = open.outgoing.over.is_cancelled();
        let way = if over { None } else { self.pool.way(to, server.address) };
        self.tally.sent += 1;
        let task = way.map(|way| {
            let wait = if timeout > 0 { timeout } else { Nanos::MAX };
            let run = Attempt {
                server: server.clone(),
                request: open.outgoing.clone(),
                patience: wait,
                deadline: open.deadline,
                started: now,
                begin_by: within.map_or(Nanos::MAX, |within| now.saturating_add(within)),
                budget: Budget(self.room.bodies.clone()),
                connect_timeout: self.limits.connect_timeout,
                clock: self.clock,
                written: self.figures.written(),
            };
            let inputs = self.inputs.clone();
            let uploaded = run.request.upload().cloned().map(|upload| (upload, inputs.clone()));
            let task = tokio::spawn(async move {
                let uploaded = async {
                    if let Some((upload, inputs)) = uploaded {
                        upload.wait().await;
                        let _ = inputs.send(Input::Uploaded(id));
                    }
                    std::future::pending().await
                };
                let ended = tokio::select! {
                    ended = run.run(way) => ended,
                    ended = uploaded => ended,
                };
                let _ = inputs.send(Input::Ended { id, attempt, ended: Box::new(ended) });
            });
            task.abort_handle()
        });
        if task.is_none() {
            self.tally.ended(to, Status::Moot, 0);
            // No connection is to be had on this side, which says nothing of the server.
            let (status, terminal) = (Status::Moot, open.client.is_none());
            let outcome =
                Event::Outcome { id, attempt, server: to, status, latency: 0, terminal, report: None };
            self.events.push_back(outcome);
        }
        open.attempts.push(Out { server: to, sent: now, task });
    }

    fn cancel(&mut self, now: Nanos, id: RequestId, attempt: u32) {
        let Some(open) = self.table.get_mut(&id) else { return };
        let Some(out) = open.attempts.get_mut(attempt as usize) else { return };
        let Some(task) = out.task.take() else { return };
        task.abort();
        let (server, latency, terminal) = (out.server, now - out.sent, open.client.is_none());
        let status = Status::Cancelled;
        self.tally.ended(server, status, latency);
        self.events.push_back(Event::Outcome {
            id,
            attempt,
            server,
            status,
            latency,
            terminal,
            report: None,
        });
        self.settle(id);
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::body::Held;
    use crate::upstream::Payload;
    use bytes::Bytes;
    use hyper::{HeaderMap, Method, Uri};
    use merlinfold_settings::Env;
    use serde_json::{from_value, json};
    use std::net::SocketAddr;
    use std::time::{Duration, SystemTime, UNIX_EPOCH};
    use tokio::net::TcpListener;
    use tokio::sync::mpsc;

    fn driver() -> (Driver, UnboundedReceiver<Input>) {
        let env: Env = from_value(json!({
            "Categories": [{"Name": "read", "Aim": 4_000_000_000u64, "GiveUp": 5_000_000_000u64}],
            "Limits": {"ConnIdle": 30_000_000_000u64, "ConnectTimeout": 1_000_000_000, "MaxAttempts": 1}
        }))
        .unwrap();
        let (mut names, clock, limits) = (Names::default(), Clock::new(), env.host_limits().unwrap());
        let balancer = Balancer::new(env.settings(&mut names).unwrap(), 1);
        let (sender, inputs) = mpsc::unbounded_channel();
        let room = Room::new(256, 32 << 20, false);
        (Driver::new(balancer, names, clock, limits, room, sender, Arc::new(Notify::new())), inputs)
    }

    fn list(name: &str, address: SocketAddr, since_ms: u64) -> List {
        let line = json!({"name": name, "address": address, "status": "in_service", "since_ms": since_ms});
        from_value(json!({"index": 1, "snapshot": true, "endpoints": [line]})).unwrap()
    }

    /// Guards cold servers: when one started is told in Unix time, and the module's clock is the same.
    #[test]
    fn a_start_is_told_on_the_module_s_clock_and_0_stays_long_ago() {
        let (mut driver, _inputs) = driver();
        let at = "127.0.0.1:1".parse().unwrap();
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64;
        let since = driver.entry(&list("s", at, unix - 2_000).endpoints[0]).since;
        let age = driver.clock.now() - since;
        assert!((1_999_000_000..60_000_000_000).contains(&age), "{age} ns old instead of 2 s");
        assert_eq!(driver.entry(&list("s", at, 0).endpoints[0]).since, 0);
    }

    /// Guards drains: a request is decided on with the list that came in with it, though read before it.
    #[tokio::test]
    async fn news_goes_in_before_the_requests_that_came_with_it() {
        let (old, new) = (
            TcpListener::bind("127.0.0.1:0").await.unwrap(),
            TcpListener::bind("127.0.0.1:0").await.unwrap(),
        );
        let (mut driver, inputs) = driver();
        driver.known(list("old", old.local_addr().unwrap(), 0), false);
        let outgoing = Outgoing::new(
            Method::GET,
            Uri::from_static("/"),
            HeaderMap::new(),
            Payload::Held(Held::small(Bytes::new())),
        );
        let (client, _reply) = oneshot::channel();
        let expires = driver.clock.now() + 5_000_000_000;
        let request = Arrival {
            id: RequestId(1),
            class: 0,
            tenant: None,
            key: None,
            cost_hint: None,
            repeat: false,
            expires,
            outgoing: Arc::new(outgoing),
            client,
        };
        let sender = driver.sender();
        assert!(sender.send(Input::Request(request)).is_ok());
        assert!(sender.send(Input::List(list("new", new.local_addr().unwrap(), 0))).is_ok());
        let running = tokio::spawn(driver.run(inputs));
        tokio::select! {
            _ = new.accept() => {}
            _ = old.accept() => panic!("it went to the server that the list no longer has"),
            () = tokio::time::sleep(Duration::from_secs(10)) => panic!("it went nowhere"),
        }
        running.abort();
    }
}
