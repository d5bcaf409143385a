//! Guide servers and discovery on sockets, in a thread of their own.
//!
//! Each pair of node and server has an address of its own, so a connection's address tells who asks. What
//! the models say is carried out here; every request that arrives whole is written down.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use hdrhistogram::Histogram;
use merlinfold_simulation::discovery::{Listing, Status};
use merlinfold_simulation::disruptions::{outages, ScheduledEvent};
use merlinfold_simulation::experiment::Experiment;
use merlinfold_simulation::fleet::{Fleet, FleetEvent};
use merlinfold_simulation::ledger::AttemptRecord;
use merlinfold_simulation::list_faults::{ListFault, ListFaultSampler};
use merlinfold_simulation::notifications::{add_implied_notifications, Notification};
use merlinfold_simulation::report::{histogram, micros};
use merlinfold_simulation::seed::{mix, Seed};
use merlinfold_simulation::server::{Arrival, Completion, Reply};
use merlinfold_simulation::{Nanos, MS};
use serde_json::Value;
use socket2::SockRef;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::{mpsc, oneshot, watch, Notify};
use tokio::task::{AbortHandle, JoinSet};
use tokio::time::{sleep, timeout};

use crate::http::{answer, Message, Reader, Side};
use crate::net::Range;
use crate::platform;
use crate::time::{Clock, Timer};

mod connections;
mod lists;

const BACKLOG: u32 = 1_024;
/// Work of a request that states none, which only a stranger's does.
const UNSTATED: Nanos = MS;

/// What discovery shows counts as told after this, whether a node listened or not.
const TOLD_LATEST: Nanos = 6_000 * MS;

/// What a connection to a server may do at present.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Gate {
    Open,
    Silent,
    /// Counts up with each reset: whoever has seen another number is cut off.
    Closed,
}

/// What a guide server makes of a request: proof that it saw this very id.
pub fn body(id: u64) -> String {
    format!("{id:016x} {:016x}", mix(id ^ 0x5EED_0F6D_1DE5))
}

/// All that the threads of a run share of the servers.
pub struct Hub {
    day: Experiment,
    fleet: Fleet,
    clock: Clock,
    range: Arc<Range>,
    shown: Arc<Range>, // the addresses in lists: those of relays, where there are any
    gates: Vec<watch::Sender<(Gate, u64)>>,
    listeners: Vec<Vec<AbortHandle>>, // of each server, one for each node
    waiting: HashMap<u64, (usize, oneshot::Sender<Completion>)>, // by attempt: its line in `runs`
    calls: HashMap<u64, oneshot::Sender<Option<Listing>>>,
    known_since: BTreeMap<(usize, usize), Nanos>, // by node and server: the last start that it was told of
    runs: Vec<AttemptRecord>,
    told: Vec<Notification>,
    list_faults: ListFaultSampler,
    seed: Seed,
    restarts: usize, // of discovery, which counts its versions anew after each
    written: HashMap<usize, (usize, u64)>, // by node: restarts before the newest list written to it, and its version
    next: u64,
    effects: Vec<FleetEvent>,
    changes: mpsc::UnboundedSender<(Nanos, ScheduledEvent)>,
    reopen: mpsc::UnboundedSender<usize>,
    timer: Timer,
    late: Histogram<u64>,
}

/// A handle on the servers.
#[derive(Clone)]
pub struct Servers(Arc<Mutex<Hub>>);

/// What the servers saw.
pub struct Seen {
    /// Attempts.
    pub runs: Vec<AttemptRecord>,
    /// What nodes were told.
    pub told: Vec<Notification>,
    /// Servers that fell over.
    pub falls: Vec<(usize, merlinfold_simulation::server::OverloadCrash)>,
    /// Lateness of the thread's timer, in microseconds.
    pub late: Histogram<u64>,
}

impl Servers {
    /// Opens all sockets in a thread of their own, and shows lists with the addresses in `shown`; what concerns others goes to `changes`.
    pub fn start(
        day: &Experiment, seed: Seed, clock: &Clock, range: &Arc<Range>, shown: &Arc<Range>,
        changes: mpsc::UnboundedSender<(Nanos, ScheduledEvent)>,
    ) -> Result<(Self, oneshot::Sender<()>), String> {
        let wake = Arc::new(Notify::new());
        let (reopen, reopened) = mpsc::unbounded_channel();
        let count = day.server_count();
        let hub = Hub {
            day: day.clone(),
            fleet: Fleet::new(day, seed),
            clock: clock.clone(),
            range: range.clone(),
            shown: shown.clone(),
            gates: (0..count).map(|_| watch::channel((Gate::Open, 0)).0).collect(),
            listeners: (0..count).map(|_| Vec::new()).collect(),
            waiting: HashMap::new(),
            calls: HashMap::new(),
            known_since: BTreeMap::new(),
            runs: Vec::new(),
            told: Vec::new(),
            list_faults: ListFaultSampler::new(seed),
            seed,
            restarts: 0,
            written: HashMap::new(),
            next: 0,
            effects: Vec::new(),
            changes,
            reopen,
            timer: Timer::new(clock.clone(), wake.clone()),
            late: histogram(),
        };
        let servers = Servers(Arc::new(Mutex::new(hub)));
        let (stop, stopped) = oneshot::channel::<()>();
        let (ready, is_ready) = std::sync::mpsc::channel();
        let of_thread = servers.clone();
        std::thread::spawn(move || {
            let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
            match runtime {
                Err(error) => drop(ready.send(Err(format!("runtime: {error}")))),
                Ok(runtime) => runtime.block_on(of_thread.run(ready, reopened, wake, stopped)),
            }
        });
        is_ready.recv().map_err(|_| "the servers' thread has ended".to_owned())??;
        Ok((servers, stop))
    }

    fn lock(&self) -> MutexGuard<'_, Hub> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn run(
        self, ready: std::sync::mpsc::Sender<Result<(), String>>,
        mut reopened: mpsc::UnboundedReceiver<usize>, wake: Arc<Notify>, mut stopped: oneshot::Receiver<()>,
    ) {
        let (servers, nodes) = {
            let hub = self.lock();
            (hub.day.server_count(), hub.day.nodes.count)
        };
        let mut tasks = JoinSet::new();
        let opened = (0..servers).try_for_each(|server| self.listen(server)).and_then(|()| {
            (0..nodes).try_for_each(|node| {
                let at = self.lock().range.discovery(node);
                let listener = bind(at)?;
                tasks.spawn(self.clone().discovery(node, listener));
                Ok(())
            })
        });
        let fine = opened.is_ok();
        let _ = ready.send(opened);
        if !fine {
            return;
        }
        loop {
            tokio::select! {
                () = wake.notified() => self.tick(),
                Some(server) = reopened.recv() => {
                    if let Err(fault) = self.listen(server) {
                        tracing::warn!(fault, "a server's address could not be opened again");
                    }
                }
                _ = &mut stopped => return,
            }
        }
    }

    /// Lets the models take note of the time.
    pub fn tick(&self) {
        let mut hub = self.lock();
        if !hub.clock.started() {
            return;
        }
        let now = hub.clock.now();
        if let Some(due) = hub.fleet.next_due().filter(|&due| due <= now) {
            hub.late.saturating_record(micros(now - due));
        }
        hub.act(|fleet, effects| fleet.advance(now, effects));
    }

    /// The list for a node that starts now, which thereby knows it.
    pub fn known(&self, node: usize) -> Value {
        let mut hub = self.lock();
        let listing = hub.fleet.server_list();
        hub.known_since.retain(|&(of, _), _| of != node);
        let restarts = hub.restarts;
        hub.note(node, restarts, &listing);
        platform::list(&hub.day, &listing, node, &hub.shown, &hub.clock)
    }

    /// What has been seen so far.
    pub fn seen(&self) -> Seen {
        let mut hub = self.lock();
        let falls =
            hub.fleet.servers().iter().enumerate().filter_map(|(n, s)| s.overload_crash().map(|f| (n, f)));
        let falls = falls.collect();
        let mut told = std::mem::take(&mut hub.told);
        add_implied_notifications(
            &mut told,
            hub.fleet.published_changes(),
            hub.day.nodes.count,
            TOLD_LATEST,
            &outages(&hub.day, hub.seed),
        );
        Seen { runs: std::mem::take(&mut hub.runs), told, falls, late: hub.late.clone() }
    }

    /// Opens a server's address at every node.
    fn listen(&self, server: usize) -> Result<(), String> {
        let nodes = self.lock().day.nodes.count;
        for node in 0..nodes {
            let at = self.lock().range.server(node, server);
            let task = tokio::spawn(self.clone().accept(node, server, bind(at)?));
            self.lock().listeners[server].push(task.abort_handle());
        }
        Ok(())
    }
}

fn bind(at: SocketAddr) -> Result<TcpListener, String> {
    let open = || {
        let socket = TcpSocket::new_v4()?;
        socket.set_reuseaddr(true)?;
        socket.bind(at)?;
        socket.listen(BACKLOG)
    };
    open().map_err(|error| format!("cannot listen on {at}: {error}"))
}

impl Hub {
    /// Lets the models act, carries out what they say, and sets the timer.
    fn act(&mut self, act: impl FnOnce(&mut Fleet, &mut Vec<FleetEvent>)) {
        let mut effects = std::mem::take(&mut self.effects);
        act(&mut self.fleet, &mut effects);
        for effect in effects.drain(..) {
            self.carry_out(effect);
        }
        self.effects = effects;
        self.timer.set(self.fleet.next_due());
    }

    fn carry_out(&mut self, effect: FleetEvent) {
        let now = self.clock.now();
        match effect {
            FleetEvent::Completed(_, done) => {
                if let Some((line, sender)) = self.waiting.remove(&done.job) {
                    let run = &mut self.runs[line];
                    run.ended = Some(now);
                    run.executed = done.executed;
                    run.reply = Some(done.reply);
                    let _ = sender.send(done); // its connection may have ended
                }
            }
            FleetEvent::RefuseConnections(server) => {
                self.listeners[server].drain(..).for_each(|task| task.abort());
                self.gates[server].send_modify(|gate| *gate = (Gate::Closed, gate.1 + 1));
            }
            FleetEvent::SilenceConnections(server) => {
                self.gates[server].send_modify(|gate| *gate = (Gate::Silent, gate.1 + 1));
            }
            FleetEvent::AcceptConnections(server) => {
                // Whatever a silent machine held is reset once it is back.
                self.gates[server].send_modify(|gate| *gate = (Gate::Closed, gate.1 + 1));
                self.listeners[server].drain(..).for_each(|task| task.abort());
                self.gates[server] = watch::channel((Gate::Open, 0)).0;
                let _ = self.reopen.send(server);
            }
            FleetEvent::DiscoveryCallEnded(answer) => {
                if let Some(sender) = self.calls.remove(&answer.call) {
                    let _ = sender.send(answer.listing);
                }
            }
            FleetEvent::Scheduled(change) => {
                match change {
                    ScheduledEvent::ListFaults(share) => self.list_faults.set_share(share),
                    ScheduledEvent::Discovery { down: false } => self.restarts += 1,
                    _ => {}
                }
                let _ = self.changes.send((now, change));
            }
        }
    }
}
