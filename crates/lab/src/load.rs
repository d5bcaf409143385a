//! Clients on sockets, served by a dedicated thread. The load is open-loop: slow responses do not reduce the rate.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use hdrhistogram::Histogram;
use merlinfold_simulation::clients::{Clients, RequestPlan, Try, TryOutcome};
use merlinfold_simulation::experiment::{Experiment, RetrySafety};
use merlinfold_simulation::ledger::{InvalidPeer, TryRecord};
use merlinfold_simulation::node_balancer::NodeBalancer;
use merlinfold_simulation::report::{histogram, micros};
use merlinfold_simulation::seed::{Seed, Stream};
use merlinfold_simulation::{millis, Nanos, MS, SECOND};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::{oneshot, Notify};
use tokio::time::{sleep, timeout};

use crate::http::{Message, Reader, Side};
use crate::net::Range;
use crate::servers::body;
use crate::time::{Clock, Timer};

/// Maximum idle connections that all clients together keep to one node.
const MAX_IDLE: usize = 256;

/// Bytes that peers without a valid request send: nothing, an incomplete head, or no HTTP.
const INVALID_REQUESTS: [&[u8]; 4] =
    [b"", b"", b"GET /track-fetch HTTP/1.1\r\nHost: serv", b"\x16\x03\x01\x02\x00nonsense\r\n\r\n"];

/// State of the clients that the threads of a run share.
struct ClientState {
    experiment: Experiment,
    clients: Clients,
    front: NodeBalancer,
    rng: Stream,
    nodes: Vec<SocketAddr>,
    idle: Vec<Vec<Connection>>,
    tries: Vec<TryRecord>,
    peers: Vec<InvalidPeer>,
    late: Histogram<u64>,
    clock: Clock,
    timer: Timer,
}

struct Connection {
    stream: TcpStream,
    reader: Reader,
}

/// Handle of the clients.
#[derive(Clone)]
pub struct Load(Arc<Mutex<ClientState>>);

/// Records of the clients' side.
pub struct Seen {
    /// Every request that a client wanted answered.
    pub wishes: Vec<RequestPlan>,
    /// Tries of these requests.
    pub tries: Vec<TryRecord>,
    /// Peers that sent no valid request.
    pub peers: Vec<InvalidPeer>,
    /// Delay of tries after their planned time, in microseconds.
    pub late: Histogram<u64>,
}

impl Load {
    /// Starts the clients' thread. The clients begin when the returned `Notify` is notified after the start of the
    /// clock; the receiver resolves when all requests are done.
    pub fn start(
        experiment: &Experiment, seed: Seed, clock: &Clock, range: &Range,
    ) -> (Self, Arc<Notify>, oneshot::Receiver<()>) {
        let wake = Arc::new(Notify::new());
        let count = experiment.nodes.count;
        let state = ClientState {
            experiment: experiment.clone(),
            clients: Clients::new(experiment, seed),
            front: NodeBalancer::new((0..count).map(|node| experiment.zone_of_node(node)).collect()),
            rng: seed.stream("front", 0),
            nodes: (0..count).map(|node| range.node(node)).collect(),
            idle: (0..count).map(|_| Vec::new()).collect(),
            tries: Vec::new(),
            peers: Vec::new(),
            late: histogram(),
            clock: clock.clone(),
            timer: Timer::new(clock.clone(), wake.clone()),
        };
        let load = Load(Arc::new(Mutex::new(state)));
        let (tell, done) = oneshot::channel();
        let (thread_load, thread_wake) = (load.clone(), wake.clone());
        std::thread::spawn(move || {
            match tokio::runtime::Builder::new_current_thread().enable_all().build() {
                Ok(runtime) => runtime.block_on(thread_load.run(thread_wake, tell)),
                Err(error) => tracing::error!(%error, "creating the runtime of the clients failed"),
            }
        });
        (load, wake, done)
    }

    fn lock(&self) -> MutexGuard<'_, ClientState> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn run(self, wake: Arc<Notify>, done: oneshot::Sender<()>) {
        loop {
            wake.notified().await;
            loop {
                let started = {
                    let mut state = self.lock();
                    let now = state.clock.now();
                    let started = state.clock.started().then(|| state.clients.start_try(now)).flatten();
                    if let Some(start) = started {
                        state.late.saturating_record(micros(now - start.scheduled_at));
                    }
                    started
                };
                let Some(start) = started else { break };
                tokio::spawn(self.clone().attend(start));
            }
            let state = self.lock();
            if state.clients.done() {
                break;
            }
            state.timer.set(state.clients.next_due());
        }
        let _ = done.send(());
    }

    /// Tells the front that a node is ready (`None`), or that it ended and when the front notices (`Some`).
    pub fn node(&self, node: usize, gone: Option<Nanos>) {
        let mut state = self.lock();
        match gone {
            None => state.front.node_ready(node),
            Some(noticed) => state.front.node_stopped(node, noticed),
        }
        state.idle[node].clear();
    }

    /// Takes the records made so far.
    pub fn seen(&self) -> Seen {
        let mut state = self.lock();
        Seen {
            wishes: state.clients.plans().to_vec(),
            tries: std::mem::take(&mut state.tries),
            peers: std::mem::take(&mut state.peers),
            late: state.late.clone(),
        }
    }

    async fn attend(self, start: Try) {
        let (node, at, grace) = {
            let mut state = self.lock();
            let now = state.clock.now();
            let state = &mut *state;
            let node = state.front.pick_node(now, start.plan.zone, &mut state.rng);
            (node, node.map(|node| state.nodes[node]), millis(state.experiment.rules.grace_ms))
        };
        let mut tried = TryRecord {
            client_try: start,
            node,
            written_at: None,
            first_on_connection: true,
            closed_at: None,
            ended: 0,
            outcome: TryOutcome::Unreachable,
            extra_data: false,
        };
        if let (Some(node), Some(at)) = (node, at) {
            let limit = start.budget + grace;
            let limit = start.abandon_after.map_or(limit, |leaves| limit.min(leaves));
            let asked = timeout(Duration::from_nanos(limit), self.ask(node, at, start, &mut tried)).await;
            tried.outcome = match asked {
                Ok(end) => end,
                Err(_) if tried.written_at.is_none() => TryOutcome::Unreachable,
                Err(_) if start.abandon_after.is_some() => TryOutcome::Left,
                Err(_) => TryOutcome::Unanswered,
            };
        }
        let mut state = self.lock();
        tried.ended = state.clock.now();
        state.tries.push(tried);
        state.clients.try_ended(tried.ended, start.id, tried.outcome);
        state.timer.set(state.clients.next_due());
        if state.clients.done() {
            state.timer.wake().notify_one();
        }
    }

    async fn ask(&self, node: usize, at: SocketAddr, start: Try, tried: &mut TryRecord) -> TryOutcome {
        let text = self.request(&start);
        loop {
            let idle = self.take_idle(node, tried);
            tried.first_on_connection = idle.is_none();
            let mut connection = match idle {
                Some(idle) => idle,
                None => match TcpStream::connect(at).await {
                    Ok(stream) => {
                        let _ = stream.set_nodelay(true);
                        Connection { stream, reader: Reader::default() }
                    }
                    // The request that was written on an idle connection before may have been executed.
                    Err(_) if tried.written_at.is_some() => return TryOutcome::Closed,
                    Err(_) => return TryOutcome::Unreachable,
                },
            };
            let end = self.exchange(&mut connection, &text, start.id, tried).await;
            let Some((end, keep)) = end else {
                if tried.first_on_connection {
                    return TryOutcome::Closed;
                }
                // The node may have closed the idle connection while the request was sent: retry once on a new connection.
                tried.closed_at = Some(self.lock().clock.now());
                continue;
            };
            if keep {
                let mut state = self.lock();
                if state.idle[node].len() < MAX_IDLE {
                    state.idle[node].push(connection);
                }
            }
            return end;
        }
    }

    /// Takes the most recently used idle connection that is still open.
    fn take_idle(&self, node: usize, tried: &mut TryRecord) -> Option<Connection> {
        let mut state = self.lock();
        while let Some(idle) = state.idle[node].pop() {
            match idle.stream.try_read(&mut [0; 1]) {
                Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => return Some(idle),
                Ok(1) => tried.extra_data = true, // bytes followed the previous response
                _ => {}
            }
        }
        None
    }

    /// Sends a request and reads the response. Returns how the try ended and whether the connection can be reused,
    /// or `None` if the connection ended before the first byte of a response.
    async fn exchange(
        &self, connection: &mut Connection, text: &[u8], id: u64, tried: &mut TryRecord,
    ) -> Option<(TryOutcome, bool)> {
        let Connection { stream, reader } = connection;
        if stream.write_all(text).await.is_err() {
            return None;
        }
        tried.written_at = Some(self.lock().clock.now());
        match reader.next(stream, Side::Client).await {
            Ok(Some(message)) => {
                tried.extra_data |= reader.has_more();
                let keep = !message.closes() && !reader.has_more();
                Some((end(&message, id), keep))
            }
            Ok(None) => None,
            Err(_) if reader.has_more() => Some((TryOutcome::Closed, false)),
            Err(_) => None,
        }
    }

    fn request(&self, start: &Try) -> Vec<u8> {
        let state = self.lock();
        let RequestPlan { class, tenant, key, work, .. } = start.plan;
        let class = &state.experiment.classes[class];
        let method = match class.effect {
            RetrySafety::Safe => "GET",
            RetrySafety::Unsafe => "POST",
        };
        let tenant = state
            .experiment
            .tenants
            .get(tenant)
            .map(|t| format!("X-Org: {}\r\n", t.name))
            .unwrap_or_default();
        let resent = if state.experiment.clients.marks && start.number > 0 { "X-Resent: 1\r\n" } else { "" };
        let length = if class.effect == RetrySafety::Safe { "" } else { "Content-Length: 0\r\n" };
        format!(
            "{method} /{name}?sid={key:x}&work={work} HTTP/1.1\r\nHost: service.internal\r\nX-Lane: {name}\r\n\
             X-Txn: {id:016x}\r\nX-Remaining-Ms: {budget}\r\n{tenant}{resent}{length}\r\n",
            name = class.name,
            id = start.id,
            budget = start.budget / MS,
        )
        .into_bytes()
    }

    /// Runs a peer that connects and sends nothing, an incomplete head or no HTTP, in rotation. It waits for an error
    /// response or a close, at most for twice the time within which the node must send one.
    pub async fn silent_peer(self, node: usize) {
        let (at, limit, clock) = {
            let state = self.lock();
            (state.nodes[node], 2 * millis(state.experiment.rules.bad_peer_ms), state.clock.clone())
        };
        let from = clock.now();
        let Ok(Ok(mut stream)) = timeout(Duration::from_nanos(limit), TcpStream::connect(at)).await else {
            return;
        };
        let turn = self.lock().peers.len() % INVALID_REQUESTS.len();
        let _ = stream.write_all(INVALID_REQUESTS[turn]).await;
        let read = timeout(Duration::from_nanos(limit), stream.read(&mut [0; 64])).await;
        let ended = read.is_ok().then(|| clock.now());
        self.lock().peers.push(InvalidPeer { node, at: from, ended });
    }
}

fn end(message: &Message, id: u64) -> TryOutcome {
    let seconds: f64 = message.header("retry-after").and_then(|value| value.parse().ok()).unwrap_or(0.0);
    TryOutcome::Answered {
        status: message.status,
        retry_after: (seconds.clamp(0.0, 3_600.0) * SECOND as f64) as Nanos,
        genuine: message.body == body(id).as_bytes(),
    }
}

/// Polls a node's readiness check until it succeeds; returns false after the timeout `limit`.
pub async fn ready(at: SocketAddr, limit: Duration) -> bool {
    let asked = timeout(limit, async {
        loop {
            if let Ok(mut stream) = TcpStream::connect(at).await {
                let text =
                    b"GET /health/ready HTTP/1.1\r\nHost: service.internal\r\nConnection: close\r\n\r\n";
                if stream.write_all(text).await.is_ok() {
                    let answered = Reader::default().next(&mut stream, Side::Client).await;
                    if answered.is_ok_and(|message| message.is_some_and(|message| message.status == 200)) {
                        return;
                    }
                }
            }
            sleep(Duration::from_millis(20)).await;
        }
    });
    asked.await.is_ok()
}
