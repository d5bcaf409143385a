//! Clients on sockets, in a thread of their own: open-loop, so that slow answers don't thin the load.

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

/// Idle connections that all clients keep to one node.
const IDLE_MOST: usize = 256;

/// What peers send that send no proper request.
const IMPROPER: [&[u8]; 4] =
    [b"", b"", b"GET /track-fetch HTTP/1.1\r\nHost: serv", b"\x16\x03\x01\x02\x00nonsense\r\n\r\n"];

struct Desk {
    day: Experiment,
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

/// A handle on the clients.
#[derive(Clone)]
pub struct Load(Arc<Mutex<Desk>>);

/// What the clients saw.
pub struct Seen {
    /// All that was wanted.
    pub wishes: Vec<RequestPlan>,
    /// Tries.
    pub tries: Vec<TryRecord>,
    /// Peers without a proper request.
    pub peers: Vec<InvalidPeer>,
    /// Lateness of first tries, in microseconds.
    pub late: Histogram<u64>,
}

impl Load {
    /// Starts the clients' thread; they begin when told. The receiver hears when all are done.
    pub fn start(
        day: &Experiment, seed: Seed, clock: &Clock, range: &Range,
    ) -> (Self, Arc<Notify>, oneshot::Receiver<()>) {
        let wake = Arc::new(Notify::new());
        let count = day.nodes.count;
        let desk = Desk {
            day: day.clone(),
            clients: Clients::new(day, seed),
            front: NodeBalancer::new((0..count).map(|node| day.zone_of_node(node)).collect()),
            rng: seed.stream("front", 0),
            nodes: (0..count).map(|node| range.node(node)).collect(),
            idle: (0..count).map(|_| Vec::new()).collect(),
            tries: Vec::new(),
            peers: Vec::new(),
            late: histogram(),
            clock: clock.clone(),
            timer: Timer::new(clock.clone(), wake.clone()),
        };
        let load = Load(Arc::new(Mutex::new(desk)));
        let (tell, done) = oneshot::channel();
        let (of_thread, of_wake) = (load.clone(), wake.clone());
        std::thread::spawn(move || {
            match tokio::runtime::Builder::new_current_thread().enable_all().build() {
                Ok(runtime) => runtime.block_on(of_thread.run(of_wake, tell)),
                Err(error) => tracing::error!(%error, "the clients have no runtime"),
            }
        });
        (load, wake, done)
    }

    fn lock(&self) -> MutexGuard<'_, Desk> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn run(self, wake: Arc<Notify>, done: oneshot::Sender<()>) {
        loop {
            wake.notified().await;
            loop {
                let started = {
                    let mut desk = self.lock();
                    let now = desk.clock.now();
                    let started = desk.clock.started().then(|| desk.clients.start_try(now)).flatten();
                    if let Some(start) = started {
                        desk.late.saturating_record(micros(now - start.scheduled_at));
                    }
                    started
                };
                let Some(start) = started else { break };
                tokio::spawn(self.clone().attend(start));
            }
            let desk = self.lock();
            if desk.clients.done() {
                break;
            }
            desk.timer.set(desk.clients.next_due());
        }
        let _ = done.send(());
    }

    /// The front hears that a node is ready, or that it has ended and when that will be noticed.
    pub fn node(&self, node: usize, gone: Option<Nanos>) {
        let mut desk = self.lock();
        match gone {
            None => desk.front.node_ready(node),
            Some(noticed) => desk.front.node_stopped(node, noticed),
        }
        desk.idle[node].clear();
    }

    /// What has been seen so far.
    pub fn seen(&self) -> Seen {
        let mut desk = self.lock();
        Seen {
            wishes: desk.clients.plans().to_vec(),
            tries: std::mem::take(&mut desk.tries),
            peers: std::mem::take(&mut desk.peers),
            late: desk.late.clone(),
        }
    }

    async fn attend(self, start: Try) {
        let (node, at, grace) = {
            let mut desk = self.lock();
            let now = desk.clock.now();
            let desk = &mut *desk;
            let node = desk.front.pick_node(now, start.plan.zone, &mut desk.rng);
            (node, node.map(|node| desk.nodes[node]), millis(desk.day.rules.grace_ms))
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
            let most = start.budget + grace;
            let most = start.abandon_after.map_or(most, |leaves| most.min(leaves));
            let asked = timeout(Duration::from_nanos(most), self.ask(node, at, start, &mut tried)).await;
            tried.outcome = match asked {
                Ok(end) => end,
                Err(_) if tried.written_at.is_none() => TryOutcome::Unreachable,
                Err(_) if start.abandon_after.is_some() => TryOutcome::Left,
                Err(_) => TryOutcome::Unanswered,
            };
        }
        let mut desk = self.lock();
        tried.ended = desk.clock.now();
        desk.tries.push(tried);
        desk.clients.try_ended(tried.ended, start.id, tried.outcome);
        desk.timer.set(desk.clients.next_due());
        if desk.clients.done() {
            desk.timer.wake().notify_one();
        }
    }

    async fn ask(&self, node: usize, at: SocketAddr, start: Try, tried: &mut TryRecord) -> TryOutcome {
        let text = self.request(&start);
        loop {
            let kept = self.kept(node, tried);
            tried.first_on_connection = kept.is_none();
            let mut connection = match kept {
                Some(kept) => kept,
                None => match TcpStream::connect(at).await {
                    Ok(stream) => {
                        let _ = stream.set_nodelay(true);
                        Connection { stream, reader: Reader::default() }
                    }
                    // What was written before on a kept connection may have run.
                    Err(_) if tried.written_at.is_some() => return TryOutcome::Closed,
                    Err(_) => return TryOutcome::Unreachable,
                },
            };
            let end = self.exchange(&mut connection, &text, start.id, tried).await;
            let Some((end, keep)) = end else {
                if tried.first_on_connection {
                    return TryOutcome::Closed;
                }
                // A close that crossed the request, as far as the client can tell: once more, on a new connection.
                tried.closed_at = Some(self.lock().clock.now());
                continue;
            };
            if keep {
                let mut desk = self.lock();
                if desk.idle[node].len() < IDLE_MOST {
                    desk.idle[node].push(connection);
                }
            }
            return end;
        }
    }

    /// A kept connection that is still open, the last used first.
    fn kept(&self, node: usize, tried: &mut TryRecord) -> Option<Connection> {
        let mut desk = self.lock();
        while let Some(kept) = desk.idle[node].pop() {
            match kept.stream.try_read(&mut [0; 1]) {
                Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => return Some(kept),
                Ok(1) => tried.extra_data = true, // after the answer before came more
                _ => {}
            }
        }
        None
    }

    /// The end, and whether the connection stays; none if it ended before a first byte came back.
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
        let desk = self.lock();
        let RequestPlan { class, tenant, key, work, .. } = start.plan;
        let class = &desk.day.classes[class];
        let method = match class.effect {
            RetrySafety::Safe => "GET",
            RetrySafety::Unsafe => "POST",
        };
        let tenant =
            desk.day.tenants.get(tenant).map(|t| format!("X-Org: {}\r\n", t.name)).unwrap_or_default();
        let again = if desk.day.clients.marks && start.number > 0 { "X-Resent: 1\r\n" } else { "" };
        let length = if class.effect == RetrySafety::Safe { "" } else { "Content-Length: 0\r\n" };
        format!(
            "{method} /{name}?sid={key:x}&work={work} HTTP/1.1\r\nHost: service.internal\r\nX-Lane: {name}\r\n\
             X-Txn: {id:016x}\r\nX-Remaining-Ms: {budget}\r\n{tenant}{again}{length}\r\n",
            name = class.name,
            id = start.id,
            budget = start.budget / MS,
        )
        .into_bytes()
    }

    /// One peer that connects and sends nothing, half a head or no HTTP, in turn; it stays until it has an error or a close, or twice the time
    /// in which it is owed that.
    pub async fn silent_peer(self, node: usize) {
        let (at, most, clock) = {
            let desk = self.lock();
            (desk.nodes[node], 2 * millis(desk.day.rules.bad_peer_ms), desk.clock.clone())
        };
        let from = clock.now();
        let Ok(Ok(mut stream)) = timeout(Duration::from_nanos(most), TcpStream::connect(at)).await else {
            return;
        };
        let turn = self.lock().peers.len() % IMPROPER.len();
        let _ = stream.write_all(IMPROPER[turn]).await;
        let read = timeout(Duration::from_nanos(most), stream.read(&mut [0; 64])).await;
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

/// Waits until a node says that it is ready; false if it does not in time.
pub async fn ready(at: SocketAddr, most: Duration) -> bool {
    let asked = timeout(most, async {
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
