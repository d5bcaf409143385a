//! Clients on sockets that ask again as soon as they are answered or refused, on servers that answer after a fixed
//! time: load that closes on itself, as that of people who press again.

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
use crate::play::Folder;
use crate::process::{NodeCommand, Process};

const START: Duration = Duration::from_secs(5); // for a node to become ready
const END: Duration = Duration::from_secs(5); // for a node to end
const SOCKETS: usize = 4_096;
const CLIENTS_MOST: u64 = 512;
const REQUESTS_MOST: u64 = 10_000_000;

/// What to play.
#[derive(Debug, Args)]
pub struct Closed {
    /// Clients, each with one request under way at all times.
    #[arg(long, default_value_t = 64, value_parser = clap::value_parser!(u64).range(1..=CLIENTS_MOST))]
    clients: u64,
    /// Servers.
    #[arg(long, default_value_t = 16, value_parser = clap::value_parser!(u64).range(1..=250))]
    servers: u64,
    /// Milliseconds that each answer takes; under one: none.
    #[arg(long, default_value_t = 20)]
    service_ms: u64,
    /// Requests that a server works on side by side; none: any number.
    #[arg(long)]
    slots: Option<usize>,
    /// Requests a round, those refused among them.
    #[arg(long, default_value_t = 20_000, value_parser = clap::value_parser!(u64).range(1..=REQUESTS_MOST))]
    requests: u64,
    /// Rounds, one after the other on the same node.
    #[arg(long, default_value_t = 3, value_parser = clap::value_parser!(u64).range(1..=20))]
    rounds: u64,
    /// Twice as many clients in each round as in the one before.
    #[arg(long)]
    double: bool,
    /// Aim in milliseconds; clients wait two and a half times as long.
    #[arg(long, default_value_t = 300)]
    aim_ms: u64,
    /// Command of a node; else this build's own.
    #[arg(long, value_name = "COMMAND")]
    node: Option<String>,
}

/// What became of a round.
#[derive(Default)]
struct Round {
    served: AtomicU64,
    late: AtomicU64,
    refused: AtomicU64,
    later: AtomicU64, // of these, after the round's first second
    other: AtomicU64,
}

impl Closed {
    fn clients_of(&self, round: u64) -> u64 {
        self.clients << if self.double { round - 1 } else { 0 }
    }

    fn most_clients(&self) -> u64 {
        self.clients_of(self.rounds)
    }
}

/// What came of all rounds.
struct Played {
    later: u64,
    us_served: f64,
}

/// Plays the node, then the bare forwarder. It fails if every request has a slot and some are refused later than in
/// a round's first second.
pub async fn run(told: &Closed) -> Result<ExitCode, String> {
    if told.most_clients() > CLIENTS_MOST {
        return Err(format!("--double: over {CLIENTS_MOST} clients in the last round"));
    }
    let own = std::env::current_exe().map_err(|error| format!("cannot name this program: {error}"))?;
    let bare = own.with_file_name("merlinfold-lab-forwarder").display().to_string();
    let node = told.node.as_deref().map_or_else(NodeCommand::own, NodeCommand::of)?;
    println!(
        "{:<10} {:>5} {:>8} {:>6} {:>8} {:>8} {:>6} {:>8} {:>9} {:>9} {:>10}",
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
        "us/served"
    );
    let of_node = play(told, "node", &node).await?;
    let of_bare = play(told, "forwarder", &NodeCommand::of(&bare)?).await?;
    println!(
        "refused after a round's first second: {}; processor time of a served request over the forwarder's: {:.2}",
        of_node.later,
        of_node.us_served / of_bare.us_served
    );
    let room = told.slots.is_none_or(|slots| told.most_clients() <= told.servers * slots as u64);
    Ok(if room && of_node.later > 0 { ExitCode::FAILURE } else { ExitCode::SUCCESS })
}

fn configuration(told: &Closed, range: &Range) -> String {
    let nanos = |ms: u64| ms * 1_000_000;
    let server = |n: u64| {
        json!({"name": format!("s{n}"), "address": range.server(0, n as usize), "zone": "a", "type": "k",
               "group": 0, "status": "in_service", "weight": 1.0, "since_ms": 0})
    };
    json!({
        "name": "n0", "listen": range.node(0), "discovery": range.discovery(0), "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": SOCKETS},
        "known": {"index": 1, "snapshot": true, "endpoints": (0..told.servers).map(server).collect::<Vec<_>>()},
        "settings": {
            "Balancers": 1, "Me": 0, "Locality": "a", "Zones": ["a"], "Discovery": "push",
            "Categories": [{"Name": "fetch", "Aim": nanos(told.aim_ms), "GiveUp": nanos(told.aim_ms * 5 / 2),
                            "Semantics": "repeatable", "Group": "all", "Worth": 1.0, "LateValue": 0.0}],
            "Limits": {"ConnIdle": nanos(30_000), "ConnectTimeout": nanos(200), "MaxAttempts": 3,
                       "MaxRetryAfter": nanos(1_000), "RetryAfter": true},
            "Obligations": {"StopSendingWithin": nanos(250), "RampTime": nanos(1_000), "TipAfter": nanos(1_000)},
        },
    })
    .to_string()
}

/// Servers and discovery, in a thread of their own until the sender is dropped.
fn serve(told: &Closed, range: &Arc<Range>) -> Result<oneshot::Sender<()>, String> {
    let (stop, stopped) = oneshot::channel::<()>();
    let (tell, told_of) = std::sync::mpsc::channel();
    let places: Vec<SocketAddr> = (0..told.servers).map(|n| range.server(0, n as usize)).collect();
    let (discovery, service, slots) = (range.discovery(0), told.service_ms, told.slots);
    let range = range.clone();
    std::thread::spawn(move || {
        let _range = range; // held until all of its addresses are closed
        let Ok(runtime) = tokio::runtime::Builder::new_current_thread().enable_all().build() else { return };
        runtime.block_on(async {
            let mut tasks = JoinSet::new();
            let open = |at: SocketAddr| {
                let socket = TcpSocket::new_v4()?;
                socket.set_reuseaddr(true)?;
                socket.bind(at)?;
                socket.listen(1_024)
            };
            let opened = places.iter().try_for_each(|&at| {
                let slots = slots.map(|slots| Arc::new(Semaphore::new(slots)));
                tasks.spawn(server(open(at)?, Duration::from_millis(service), slots));
                Ok(())
            });
            let opened = opened.and_then(|()| {
                tasks.spawn(watched(open(discovery)?));
                Ok::<(), std::io::Error>(())
            });
            let _ = tell.send(opened.map_err(|error| format!("servers: {error}")));
            let _ = stopped.await;
        });
    });
    told_of.recv().map_err(|_| "the servers' thread has ended".to_owned())??;
    Ok(stop)
}

/// A discovery whose list never changes: watches wait.
async fn watched(listener: TcpListener) {
    let mut held = Vec::new();
    while let Ok((stream, _)) = listener.accept().await {
        held.push(stream);
    }
}

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

async fn play(told: &Closed, name: &str, command: &NodeCommand) -> Result<Played, String> {
    let range = Arc::new(Range::claim()?);
    let _servers = serve(told, &range)?;
    let folder = Folder::new(None)?;
    let mut process = Process::start(command, 0, &configuration(told, &range), SOCKETS, &folder.path)?;
    let at = range.node(0);
    if !ready(at, START).await {
        return Err(format!("the {name} was not ready:\n{}", process.tail()));
    }
    let (mut later, mut all_served, first) = (0, 0, process.look().cpu_s);
    let mut cpu = first;
    for number in 1..=told.rounds {
        let round = Arc::new(Round::default());
        let left = Arc::new(AtomicU64::new(told.requests));
        let begun = Instant::now();
        let mut clients = JoinSet::new();
        for n in 0..told.clients_of(number) {
            clients.spawn(client(at, number << 48 | n << 32, told.aim_ms, left.clone(), round.clone()));
        }
        let mut latencies = histogram();
        while let Some(ended) = clients.join_next().await {
            let of = ended.map_err(|error| format!("a client: {error}"))?;
            latencies.add(of).map_err(|error| format!("latencies: {error}"))?;
        }
        let used = process.look().cpu_s;
        let count = |counter: &AtomicU64| counter.load(Ordering::Relaxed);
        let (served, refused) = (count(&round.served), count(&round.refused));
        later += count(&round.later);
        all_served += served;
        println!(
            "{name:<10} {number:>5} {served:>8} {:>6} {refused:>8} {:>8} {:>6} {:>8.1} {:>9.1} {:>9.1} {:>10.1}",
            count(&round.late),
            count(&round.later),
            count(&round.other),
            begun.elapsed().as_secs_f64(),
            latencies.value_at_quantile(0.5) as f64 / 1e3,
            latencies.value_at_quantile(0.99) as f64 / 1e3,
            1e6 * (used - cpu) / served.max(1) as f64,
        );
        cpu = used;
    }
    process.signal(false);
    let _ = process.wait(END).await;
    if name == "node" {
        println!("{}", process.tail());
    }
    Ok(Played { later, us_served: 1e6 * (cpu - first) / all_served.max(1) as f64 })
}

/// One client: asks until the round's requests are spent. Latencies in microseconds.
async fn client(
    at: SocketAddr, first: u64, aim_ms: u64, left: Arc<AtomicU64>, round: Arc<Round>,
) -> Histogram<u64> {
    let (mut latencies, first_second) = (histogram(), Instant::now() + Duration::from_secs(1));
    let mut connection: Option<(TcpStream, Reader)> = None;
    let mut number = first;
    let deadline = aim_ms * 5 / 2;
    let takes = |left: &AtomicU64| {
        left.fetch_update(Ordering::Relaxed, Ordering::Relaxed, |n| n.checked_sub(1)).is_ok()
    };
    while takes(&left) {
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
            round.later.fetch_add(1, Ordering::Relaxed);
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
