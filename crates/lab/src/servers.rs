//! Guide servers and discovery on sockets, served by a dedicated thread.
//!
//! Each pair of node and server has its own address, so that the address of a connection identifies the node. This
//! module applies the effects of the models to sockets and records every request that arrives completely.

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
/// Work of a request without a `work` parameter; the lab's clients always send one.
const DEFAULT_WORK: Nanos = MS;

/// A change that discovery shows counts as announced to every node after this time, whether a node polled or not.
const ANNOUNCED_AFTER: Nanos = 6_000 * MS;

/// State of a server's connections. A counter beside it goes up with each change; a connection that was opened under
/// another number is no longer known to the server's model.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Gate {
    Open,
    /// Connections stay open, and nothing is read or written.
    Silent,
    /// Connections are reset.
    Closed,
}

/// Body of a guide server's response, which proves that a server saw the request with this id.
pub fn body(id: u64) -> String {
    format!("{id:016x} {:016x}", mix(id ^ 0x5EED_0F6D_1DE5))
}

/// State of the servers and of discovery that the threads of a run share.
pub struct SharedState {
    experiment: Experiment,
    fleet: Fleet,
    clock: Clock,
    range: Arc<Range>,
    shown: Arc<Range>, // the addresses in lists: those of the relays, if there are relays
    gates: Vec<watch::Sender<(Gate, u64)>>,
    listeners: Vec<Vec<AbortHandle>>, // by server, one for each node
    waiting: HashMap<u64, (usize, oneshot::Sender<Completion>)>, // by attempt, with its index in `runs`
    calls: HashMap<u64, oneshot::Sender<Option<Listing>>>,
    known_since: BTreeMap<(usize, usize), Nanos>, // by node and server: the latest start time that the node was told
    runs: Vec<AttemptRecord>,
    told: Vec<Notification>,
    list_faults: ListFaultSampler,
    seed: Seed,
    restarts: usize, // of discovery, which restarts its version numbers each time
    written: HashMap<usize, (usize, u64)>, // by node: number of restarts and version of the newest list that was written to it
    next: u64,
    effects: Vec<FleetEvent>,
    changes: mpsc::UnboundedSender<(Nanos, ScheduledEvent)>,
    reopen: mpsc::UnboundedSender<usize>,
    timer: Timer,
    late: Histogram<u64>,
}

/// Handle of the servers and of discovery.
#[derive(Clone)]
pub struct Servers(Arc<Mutex<SharedState>>);

/// Records of the servers' side.
pub struct Seen {
    /// Attempts that arrived.
    pub runs: Vec<AttemptRecord>,
    /// List entries that were announced to nodes.
    pub told: Vec<Notification>,
    /// Servers that collapsed, with the record of the collapse.
    pub falls: Vec<(usize, merlinfold_simulation::server::OverloadCrash)>,
    /// Lateness of the thread's timer, in microseconds.
    pub late: Histogram<u64>,
}

impl Servers {
    /// Opens all sockets in a dedicated thread. Lists carry the addresses of `shown`. Changes that do not concern
    /// the servers, such as the kill of a node, are sent to `changes`. Fails if an address cannot be opened.
    pub fn start(
        experiment: &Experiment, seed: Seed, clock: &Clock, range: &Arc<Range>, shown: &Arc<Range>,
        changes: mpsc::UnboundedSender<(Nanos, ScheduledEvent)>,
    ) -> Result<(Self, oneshot::Sender<()>), String> {
        let wake = Arc::new(Notify::new());
        let (reopen, reopened) = mpsc::unbounded_channel();
        let count = experiment.server_count();
        let state = SharedState {
            experiment: experiment.clone(),
            fleet: Fleet::new(experiment, seed),
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
        let servers = Servers(Arc::new(Mutex::new(state)));
        let (stop, stopped) = oneshot::channel::<()>();
        let (ready, is_ready) = std::sync::mpsc::channel();
        let thread_servers = servers.clone();
        std::thread::spawn(move || {
            let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
            match runtime {
                Err(error) => drop(ready.send(Err(format!("runtime: {error}")))),
                Ok(runtime) => runtime.block_on(thread_servers.run(ready, reopened, wake, stopped)),
            }
        });
        is_ready.recv().map_err(|_| "the server thread ended before its sockets were open".to_owned())??;
        Ok((servers, stop))
    }

    fn lock(&self) -> MutexGuard<'_, SharedState> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn run(
        self, ready: std::sync::mpsc::Sender<Result<(), String>>,
        mut reopened: mpsc::UnboundedReceiver<usize>, wake: Arc<Notify>, mut stopped: oneshot::Receiver<()>,
    ) {
        let (servers, nodes) = {
            let state = self.lock();
            (state.experiment.server_count(), state.experiment.nodes.count)
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
        let all_open = opened.is_ok();
        let _ = ready.send(opened);
        if !all_open {
            return;
        }
        loop {
            tokio::select! {
                () = wake.notified() => self.tick(),
                Some(server) = reopened.recv() => {
                    if let Err(fault) = self.listen(server) {
                        tracing::warn!(fault, "reopening a server's address failed");
                    }
                }
                _ = &mut stopped => return,
            }
        }
    }

    /// Advances the models to the present time; does nothing before the clock is started.
    pub fn tick(&self) {
        let mut state = self.lock();
        if !state.clock.started() {
            return;
        }
        let now = state.clock.now();
        if let Some(due) = state.fleet.next_due().filter(|&due| due <= now) {
            state.late.saturating_record(micros(now - due));
        }
        state.act(|fleet, effects| fleet.advance(now, effects));
    }

    /// Returns the list for a node that starts now and records that the node knows it.
    pub fn known(&self, node: usize) -> Value {
        let mut state = self.lock();
        let listing = state.fleet.server_list();
        state.known_since.retain(|&(of, _), _| of != node);
        let restarts = state.restarts;
        state.note(node, restarts, &listing);
        platform::list(&state.experiment, &listing, node, &state.shown, &state.clock)
    }

    /// Takes the records made so far.
    pub fn seen(&self) -> Seen {
        let mut state = self.lock();
        let falls =
            state.fleet.servers().iter().enumerate().filter_map(|(n, s)| s.overload_crash().map(|f| (n, f)));
        let falls = falls.collect();
        let mut told = std::mem::take(&mut state.told);
        add_implied_notifications(
            &mut told,
            state.fleet.published_changes(),
            state.experiment.nodes.count,
            ANNOUNCED_AFTER,
            &outages(&state.experiment, state.seed),
        );
        Seen { runs: std::mem::take(&mut state.runs), told, falls, late: state.late.clone() }
    }

    /// Opens a server's addresses, one for each node.
    fn listen(&self, server: usize) -> Result<(), String> {
        let nodes = self.lock().experiment.nodes.count;
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

impl SharedState {
    /// Calls the models, applies their effects and sets the timer.
    fn act(&mut self, act: impl FnOnce(&mut Fleet, &mut Vec<FleetEvent>)) {
        let mut effects = std::mem::take(&mut self.effects);
        act(&mut self.fleet, &mut effects);
        for effect in effects.drain(..) {
            self.apply_effect(effect);
        }
        self.effects = effects;
        self.timer.set(self.fleet.next_due());
    }

    fn apply_effect(&mut self, effect: FleetEvent) {
        let now = self.clock.now();
        match effect {
            FleetEvent::Completed(_, done) => {
                if let Some((run_index, sender)) = self.waiting.remove(&done.job) {
                    let run = &mut self.runs[run_index];
                    run.ended = Some(now);
                    run.executed = done.executed;
                    run.reply = Some(done.reply);
                    let _ = sender.send(done); // the connection may have ended
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
                // A machine that comes back resets the connections from before.
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
