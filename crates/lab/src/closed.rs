//! Closed-loop load on sockets: each client sends its next request as soon as the previous one is answered or refused,
//! as people do who press a button again. The servers answer after a fixed time.

use std::net::SocketAddr;
use std::process::ExitCode;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::Duration;

use clap::Args;
use hdrhistogram::Histogram;
use merlinfold_simulation::report::histogram;
use serde_json::json;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::{oneshot, Semaphore};
use tokio::task::JoinSet;
use tokio::time::{sleep, Instant};

use crate::http::{answer, Reader, Side};
use crate::load::ready;
use crate::net::Range;
use crate::process::{NodeCommand, Process};
use crate::runner::Folder;

/// Time within which a node has to become ready.
const START_TIMEOUT: Duration = Duration::from_secs(5);
/// Time within which a node has to exit after SIGTERM.
const STOP_TIMEOUT: Duration = Duration::from_secs(5);
/// Interval at which the servers' thread measures by how much it is held up.
const PAUSE_CHECK_INTERVAL: Duration = Duration::from_millis(5);
/// Descriptors that a node may open.
const SOCKETS: usize = 4_096;
const MAX_CLIENTS: u64 = 512;
const MAX_REQUESTS: u64 = 10_000_000;

/// Arguments of the `closed` command.
#[derive(Debug, Args)]
pub struct Closed {
    /// Clients, each with one request in flight at all times.
    #[arg(long, default_value_t = 64, value_parser = clap::value_parser!(u64).range(1..=MAX_CLIENTS))]
    clients: u64,
    /// Number of servers.
    #[arg(long, default_value_t = 16, value_parser = clap::value_parser!(u64).range(1..=250))]
    servers: u64,
    /// Service time of each request in milliseconds; 0 answers at once.
    #[arg(long, default_value_t = 20)]
    service_ms: u64,
    /// Requests that a server works on concurrently; without it there is no limit.
    #[arg(long)]
    slots: Option<usize>,
    /// Requests in each round, including refused ones.
    #[arg(long, default_value_t = 20_000, value_parser = clap::value_parser!(u64).range(1..=MAX_REQUESTS))]
    requests: u64,
    /// Rounds, run one after the other on the same node.
    #[arg(long, default_value_t = 3, value_parser = clap::value_parser!(u64).range(1..=20))]
    rounds: u64,
    /// Double the number of clients with each round.
    #[arg(long)]
    double: bool,
    /// Latency aim in milliseconds; clients wait two and a half times as long.
    #[arg(long, default_value_t = 300)]
    aim_ms: u64,
    /// Command of a node; the default is this build's own node.
    #[arg(long, value_name = "COMMAND")]
    node: Option<String>,
}

/// Counts of a round's requests by result.
#[derive(Default)]
struct Round {
    served: AtomicU64,
    late: AtomicU64,
    refused: AtomicU64,
    refused_later: AtomicU64, // of these, after the round's first second
    other: AtomicU64,
}

impl Closed {
    fn clients_of(&self, round: u64) -> u64 {
        self.clients << if self.double { round - 1 } else { 0 }
    }

    fn max_clients(&self) -> u64 {
        self.clients_of(self.rounds)
    }
}

/// Result of all rounds: refusals after the first second of a round, and processor time of a served request in
/// microseconds.
struct Outcome {
    refused_later: u64,
    us_served: f64,
}

/// Runs the node, then the bare forwarder. The exit code reports a failure if the servers have a slot for every client
/// and requests are refused after the first second of a round.
pub async fn run(options: &Closed) -> Result<ExitCode, String> {
    if options.max_clients() > MAX_CLIENTS {
        return Err(format!("--double: the last round would have more than {MAX_CLIENTS} clients"));
    }
    let own = std::env::current_exe()
        .map_err(|error| format!("cannot determine the path of this program: {error}"))?;
    let forwarder = own.with_file_name("merlinfold-lab-forwarder").display().to_string();
    let node = options.node.as_deref().map_or_else(NodeCommand::own, NodeCommand::of)?;
    println!(
        "{:<10} {:>5} {:>8} {:>6} {:>8} {:>8} {:>6} {:>8} {:>9} {:>9} {:>10} {:>9}",
        "",
        "round",
        "served",
        "late",
        "refused",
        "later",
        "other",
        "seconds",
        "p50 ms",
        "p99 ms",
        "us/served",
        "pause ms"
    );
    let of_node = run_rounds(options, "node", &node).await?;
    let of_forwarder = run_rounds(options, "forwarder", &NodeCommand::of(&forwarder)?).await?;
    println!(
        "refused after a round's first second: {}; processor time of a served request over the forwarder's: {:.2}",
        of_node.refused_later,
        of_node.us_served / of_forwarder.us_served
    );
    let enough_slots =
        options.slots.is_none_or(|slots| options.max_clients() <= options.servers * slots as u64);
    Ok(if enough_slots && of_node.refused_later > 0 { ExitCode::FAILURE } else { ExitCode::SUCCESS })
}

/// Configuration of the node and the forwarder.
fn configuration(options: &Closed, range: &Range) -> String {
    let nanos = |ms: u64| ms * 1_000_000;
    let server = |n: u64| {
        json!({"name": format!("s{n}"), "address": range.server(0, n as usize), "zone": "a", "type": "k",
               "group": 0, "status": "in_service", "weight": 1.0, "since_ms": 0})
    };
    json!({
        "name": "n0", "listen": range.node(0), "discovery": range.discovery(0), "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": SOCKETS},
        "known": {"index": 1, "snapshot": true, "endpoints": (0..options.servers).map(server).collect::<Vec<_>>()},
        "settings": {
            "Balancers": 1, "Me": 0, "Locality": "a", "Zones": ["a"], "Discovery": "push",
            "Categories": [{"Name": "fetch", "Aim": nanos(options.aim_ms), "GiveUp": nanos(options.aim_ms * 5 / 2),
                            "Semantics": "repeatable", "Group": "all", "Worth": 1.0, "LateValue": 0.0}],
            "Limits": {"ConnIdle": nanos(30_000), "ConnectTimeout": nanos(200), "MaxAttempts": 3,
                       "MaxRetryAfter": nanos(1_000), "RetryAfter": true},
            "Obligations": {"StopSendingWithin": nanos(250), "RampTime": nanos(1_000), "TipAfter": nanos(1_000)},
        },
    })
    .to_string()
}

/// The longest time by which the servers' thread was held up by the machine, in microseconds.
#[derive(Clone, Default)]
struct LongestPause(Arc<AtomicU64>);

impl LongestPause {
    /// Measures the pauses of the present thread until it is dropped.
    async fn measure(self) {
        loop {
            let due = Instant::now() + PAUSE_CHECK_INTERVAL;
            tokio::time::sleep_until(due).await;
            self.0.fetch_max(due.elapsed().as_micros() as u64, Ordering::Relaxed);
        }
    }

    /// Returns the longest pause since the last call, in milliseconds.
    fn take_ms(&self) -> f64 {
        self.0.swap(0, Ordering::Relaxed) as f64 / 1e3
    }
}

/// Servers and discovery in a dedicated thread, which ends when this is dropped.
struct Served {
    _stop: oneshot::Sender<()>,
    longest_pause: LongestPause,
}

/// Serves the servers and discovery in a dedicated thread.
fn serve(options: &Closed, range: &Arc<Range>) -> Result<Served, String> {
    let (stop, stopped) = oneshot::channel::<()>();
    let longest_pause = LongestPause::default();
    let measured = longest_pause.clone();
    let (opened_sender, opened_receiver) = std::sync::mpsc::channel();
    let addresses: Vec<SocketAddr> = (0..options.servers).map(|n| range.server(0, n as usize)).collect();
    let (discovery, service, slots) = (range.discovery(0), options.service_ms, options.slots);
    let range = range.clone();
    std::thread::spawn(move || {
        let _range = range; // released when all of its addresses are closed
        let Ok(runtime) = tokio::runtime::Builder::new_current_thread().enable_all().build() else { return };
        runtime.block_on(async {
            let mut tasks = JoinSet::new();
            tasks.spawn(measured.measure());
            let open = |at: SocketAddr| {
                let socket = TcpSocket::new_v4()?;
                socket.set_reuseaddr(true)?;
                socket.bind(at)?;
                socket.listen(1_024)
            };
            let opened = addresses.iter().try_for_each(|&at| {
                let slots = slots.map(|slots| Arc::new(Semaphore::new(slots)));
                tasks.spawn(server(open(at)?, Duration::from_millis(service), slots));
                Ok(())
            });
            let opened = opened.and_then(|()| {
                tasks.spawn(unchanging_discovery(open(discovery)?));
                Ok::<(), std::io::Error>(())
            });
            let _ = opened_sender.send(opened.map_err(|error| format!("servers: {error}")));
            let _ = stopped.await;
        });
    });
    opened_receiver
        .recv()
        .map_err(|_| "the server thread ended before its sockets were open".to_owned())??;
    Ok(Served { _stop: stop, longest_pause })
}

/// A discovery service whose list never changes: it leaves every poll unanswered.
async fn unchanging_discovery(listener: TcpListener) {
    let mut connections = Vec::new();
    while let Ok((stream, _)) = listener.accept().await {
        connections.push(stream);
    }
}

/// A server that answers each request after the service time, with at most one request per slot.
async fn server(listener: TcpListener, service: Duration, slots: Option<Arc<Semaphore>>) {
    let mut open = JoinSet::new();
    while let Ok((mut stream, _)) = listener.accept().await {
        let slots = slots.clone();
        let _ = stream.set_nodelay(true);
        open.spawn(async move {
            let mut reader = Reader::default();
            while let Ok(Some(_)) = reader.next(&mut stream, Side::Server).await {
                let _slot = match &slots {
                    Some(slots) => slots.acquire().await.ok(),
                    None => None,
                };
                if !service.is_zero() {
                    sleep(service).await;
                }
                if stream.write_all(&answer(200, "", "here it is")).await.is_err() {
                    return;
                }
            }
        });
    }
}

async fn run_rounds(options: &Closed, name: &str, command: &NodeCommand) -> Result<Outcome, String> {
    let range = Arc::new(Range::claim()?);
    let servers = serve(options, &range)?;
    let folder = Folder::new(None)?;
    let mut process = Process::start(command, 0, &configuration(options, &range), SOCKETS, &folder.path)?;
    let at = range.node(0);
    if !ready(at, START_TIMEOUT).await {
        return Err(format!("the {name} was not ready within {START_TIMEOUT:?}:\n{}", process.tail()));
    }
    let (mut refused_later, mut all_served, first) = (0, 0, process.look().cpu_s);
    let mut cpu = first;
    for number in 1..=options.rounds {
        let round = Arc::new(Round::default());
        servers.longest_pause.take_ms();
        let left = Arc::new(AtomicU64::new(options.requests));
        let begun = Instant::now();
        let mut clients = JoinSet::new();
        for n in 0..options.clients_of(number) {
            clients.spawn(client(at, number << 48 | n << 32, options.aim_ms, left.clone(), round.clone()));
        }
        let mut latencies = histogram();
        while let Some(ended) = clients.join_next().await {
            let of = ended.map_err(|error| format!("a client: {error}"))?;
            latencies.add(of).map_err(|error| format!("latencies: {error}"))?;
        }
        let used = process.look().cpu_s;
        let count = |counter: &AtomicU64| counter.load(Ordering::Relaxed);
        let (served, refused) = (count(&round.served), count(&round.refused));
        refused_later += count(&round.refused_later);
        all_served += served;
        println!(
            "{name:<10} {number:>5} {served:>8} {:>6} {refused:>8} {:>8} {:>6} {:>8.1} {:>9.1} {:>9.1} {:>10.1} \
             {:>9.1}",
            count(&round.late),
            count(&round.refused_later),
            count(&round.other),
            begun.elapsed().as_secs_f64(),
            latencies.value_at_quantile(0.5) as f64 / 1e3,
            latencies.value_at_quantile(0.99) as f64 / 1e3,
            1e6 * (used - cpu) / served.max(1) as f64,
            servers.longest_pause.take_ms(),
        );
        cpu = used;
    }
    process.signal(false);
    let _ = process.wait(STOP_TIMEOUT).await;
    if name == "node" {
        println!("{}", process.tail());
    }
    Ok(Outcome { refused_later, us_served: 1e6 * (cpu - first) / all_served.max(1) as f64 })
}

/// Runs one client until the round's requests are used up. Returns the latencies in microseconds.
async fn client(
    at: SocketAddr, first: u64, aim_ms: u64, left: Arc<AtomicU64>, round: Arc<Round>,
) -> Histogram<u64> {
    let (mut latencies, first_second) = (histogram(), Instant::now() + Duration::from_secs(1));
    let mut connection: Option<(TcpStream, Reader)> = None;
    let mut number = first;
    let deadline = aim_ms * 5 / 2;
    let take_request = |left: &AtomicU64| {
        left.fetch_update(Ordering::Relaxed, Ordering::Relaxed, |n| n.checked_sub(1)).is_ok()
    };
    while take_request(&left) {
        number += 1;
        let (mut stream, mut reader) = match connection.take() {
            Some(open) => open,
            None => match TcpStream::connect(at).await {
                Ok(stream) => {
                    let _ = stream.set_nodelay(true);
                    (stream, Reader::default())
                }
                Err(_) => {
                    round.other.fetch_add(1, Ordering::Relaxed);
                    continue;
                }
            },
        };
        let head = format!(
            "GET /fetch HTTP/1.1\r\nHost: x\r\nX-Lane: fetch\r\nX-Txn: {number:016x}\r\nX-Remaining-Ms: {deadline}\r\n\r\n"
        );
        let begun = Instant::now();
        let answered = match stream.write_all(head.as_bytes()).await {
            Ok(()) => reader.next(&mut stream, Side::Client).await.ok().flatten(),
            Err(_) => None,
        };
        let took = begun.elapsed();
        let counter = match answered.as_ref().map(|answer| answer.status) {
            Some(200) if took <= Duration::from_millis(aim_ms) => &round.served,
            Some(200) => &round.late,
            Some(429 | 503) => &round.refused,
            _ => &round.other,
        };
        counter.fetch_add(1, Ordering::Relaxed);
        let refused = matches!(answered.as_ref().map(|answer| answer.status), Some(429 | 503));
        if refused && begun > first_second {
            round.refused_later.fetch_add(1, Ordering::Relaxed);
        }
        if let Some(answer) = answered {
            if answer.status == 200 {
                latencies.saturating_record(took.as_micros() as u64);
            }
            if !answer.closes() {
                connection = Some((stream, reader));
            }
        }
    }
    latencies
}
