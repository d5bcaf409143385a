//! Faulty nodes: minimal nodes with one defect each, and one without a defect. Tests run them to show that the lab
//! detects each defect. They are not part of the product.

use std::net::SocketAddr;
use std::process::ExitCode;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use clap::{Parser, ValueEnum};
use merlinfold_lab::http::{answer, Message, Reader, Side};
use serde_json::Value;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::signal::unix::{signal, SignalKind};
use tokio::time::{sleep, timeout};

/// Number of requests after which a defect shows, so that it falls into the run and not into the start.
const DEFECT_AFTER: usize = 200;
/// Time after which a peer that sends no complete request is closed.
const HEAD_TIMEOUT: Duration = Duration::from_secs(2);
/// Part of the client's time budget in milliseconds that is reserved for returning the response.
const RESPONSE_MARGIN_MS: u64 = 20;

#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
enum Defect {
    /// Violates no invariant.
    None,
    /// Writes each response twice.
    AnswersTwice,
    /// Resends unsafe requests after a failure.
    Resends,
    /// Ignores drain notices from discovery.
    IgnoresDrains,
    /// Delays refusals until the client's time is nearly over.
    HoldsBack,
    /// Answers some requests itself, without a server.
    MakesUp,
    /// Closes some connections instead of answering.
    Loses,
    /// Never answers some requests.
    Forgets,
    /// Sends servers a request that no client sent.
    Invents,
    /// Refuses requests that a server may have executed.
    RefusesRun,
    /// Makes more attempts than it may.
    TriesOn,
    /// Sends every request to the server that started last.
    FloodsCold,
    /// Keeps connections of peers that send nothing.
    KeepsSilent,
    /// Exits by itself.
    Crashes,
    /// Never reports that it is ready.
    NeverReady,
    /// Uses far more memory than its limit.
    Hoards,
    /// Keeps running after SIGTERM.
    Overstays,
}

#[derive(Parser)]
struct Cli {
    defect: Defect,
}

#[derive(Clone, Debug)]
struct Server {
    name: String,
    address: SocketAddr,
    ready: bool,
    since: u64,
}

struct FaultyNode {
    defect: Defect,
    servers: Mutex<Vec<Server>>,
    index: Mutex<u64>,
    request_number: AtomicUsize,
}

#[tokio::main(flavor = "current_thread")]
async fn main() -> ExitCode {
    let defect = Cli::parse().defect;
    match run(defect).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("double: {error}");
            ExitCode::FAILURE
        }
    }
}

async fn run(defect: Defect) -> Result<(), String> {
    let path = std::env::var("BALANCER_CONFIG").map_err(|error| error.to_string())?;
    let text = std::fs::read_to_string(path).map_err(|error| error.to_string())?;
    let config: Value = serde_json::from_str(&text).map_err(|error| error.to_string())?;
    let address = |name: &str| -> Result<SocketAddr, String> {
        config[name].as_str().unwrap_or("").parse().map_err(|error| format!("{name}: {error}"))
    };
    let listener = TcpListener::bind(address("listen")?).await.map_err(|error| error.to_string())?;
    let discovery = address("discovery")?;
    let node = Arc::new(FaultyNode {
        defect,
        servers: Mutex::new(Vec::new()),
        index: Mutex::new(0),
        request_number: AtomicUsize::new(0),
    });
    node.apply_list(&config["known"]);
    let mut sigterm = signal(SignalKind::terminate()).map_err(|error| error.to_string())?;
    tokio::spawn(node.clone().poll_discovery(discovery));
    let ballast = if defect == Defect::Hoards { vec![1u8; 128 << 20] } else { Vec::new() };
    loop {
        tokio::select! {
            accepted = listener.accept() => {
                if let Ok((stream, _)) = accepted {
                    tokio::spawn(node.clone().serve_client(stream));
                }
            }
            _ = sigterm.recv() => if defect != Defect::Overstays { break },
        }
    }
    drop(listener);
    sleep(Duration::from_secs(1)).await;
    drop(ballast);
    Ok(())
}

impl FaultyNode {
    fn apply_list(&self, list: &Value) {
        let mut servers = self.servers.lock().unwrap_or_else(PoisonError::into_inner);
        let ignored = self.defect == Defect::IgnoresDrains && !servers.is_empty();
        if list["snapshot"] == true && !ignored {
            servers.clear();
        }
        let endpoints = list["endpoints"].as_array().into_iter().flatten().filter(|_| !ignored);
        for endpoint in endpoints {
            let (Some(name), Some(address)) = (endpoint["name"].as_str(), endpoint["address"].as_str())
            else {
                continue;
            };
            let Ok(address) = address.parse() else { continue };
            servers.retain(|server| server.name != name);
            let ready = endpoint["status"] == "in_service";
            let since = endpoint["since_ms"].as_u64().unwrap_or(0);
            servers.push(Server { name: name.to_owned(), address, ready, since });
        }
        *self.index.lock().unwrap_or_else(PoisonError::into_inner) = list["index"].as_u64().unwrap_or(0);
    }

    async fn poll_discovery(self: Arc<Self>, at: SocketAddr) {
        loop {
            let index = *self.index.lock().unwrap_or_else(PoisonError::into_inner);
            let text = format!("GET /registry/instances?index={index}&wait=1000 HTTP/1.1\r\nHost: d\r\n\r\n");
            let called = async {
                let mut stream = TcpStream::connect(at).await.ok()?;
                stream.write_all(text.as_bytes()).await.ok()?;
                Reader::default().next(&mut stream, Side::Client).await.ok().flatten()
            };
            match called.await.and_then(|message| serde_json::from_slice(&message.body).ok()) {
                Some(list) => self.apply_list(&list),
                None => sleep(Duration::from_millis(50)).await,
            }
        }
    }

    async fn serve_client(self: Arc<Self>, mut stream: TcpStream) {
        let mut reader = Reader::default();
        let _ = stream.set_nodelay(true);
        let head_timeout =
            if self.defect == Defect::KeepsSilent { Duration::from_secs(60) } else { HEAD_TIMEOUT };
        while let Ok(Ok(Some(request))) = timeout(head_timeout, reader.next(&mut stream, Side::Server)).await
        {
            if request.target.1 == "/health/ready" {
                let status = if self.defect == Defect::NeverReady { 503 } else { 200 };
                let _ = stream.write_all(&answer(status, "", "")).await;
                continue;
            }
            let Some(text) = self.answer(&request).await else { return };
            let twice = self.defect == Defect::AnswersTwice;
            let text = if twice { [text.clone(), text].concat() } else { text };
            if stream.write_all(&text).await.is_err() {
                return;
            }
        }
    }

    /// Returns the response to a client, or `None` if the connection is to be closed.
    async fn answer(&self, request: &Message) -> Option<Vec<u8>> {
        let request_number = self.request_number.fetch_add(1, Ordering::Relaxed);
        let defect_active = request_number >= DEFECT_AFTER;
        let remaining = request.header("x-remaining-ms").and_then(|ms| ms.parse::<u64>().ok()).unwrap_or(0);
        let time_left = Duration::from_millis(remaining.saturating_sub(RESPONSE_MARGIN_MS));
        let safe = request.target.0 == "GET";
        let refusal = || answer(503, "Retry-After: 0.1\r\n", "");
        match self.defect {
            Defect::MakesUp if defect_active && request_number.is_multiple_of(50) => {
                return Some(answer(200, "", "pong"))
            }
            Defect::Crashes if defect_active => std::process::exit(7),
            Defect::HoldsBack if defect_active && request_number.is_multiple_of(5) => {
                sleep(time_left).await;
                return Some(refusal());
            }
            Defect::Forgets if defect_active && request_number.is_multiple_of(10) => {
                std::future::pending().await
            }
            Defect::Invents if defect_active && request_number.is_multiple_of(50) => {
                let mut invented = request.clone();
                invented.headers.retain(|(name, _)| name != "x-txn");
                invented.headers.push(("x-txn".to_owned(), format!("{request_number:016x}")));
                let _ = timeout(time_left, self.attempt(&invented, request_number)).await;
            }
            _ => {}
        }
        let max_attempts = match self.defect {
            Defect::TriesOn => 6,
            _ if safe => 3,
            Defect::Resends => 2,
            _ => 1,
        };
        let attempts = timeout(time_left, async {
            let mut last = None;
            for attempt in 0..max_attempts {
                last = self.attempt(request, request_number + attempt).await;
                match &last {
                    Some(message) if message.status == 200 && self.defect != Defect::TriesOn => break,
                    _ => {}
                }
            }
            last
        });
        let ended = attempts.await.ok().flatten();
        if self.defect == Defect::Loses && defect_active && request_number.is_multiple_of(20) {
            return None;
        }
        Some(match ended {
            Some(message) if message.status == 200 => {
                answer(200, "", &String::from_utf8_lossy(&message.body))
            }
            Some(message) if message.header("x-turned-away").is_some() => refusal(),
            _ if safe || self.defect == Defect::RefusesRun => refusal(),
            _ => answer(502, "", ""),
        })
    }

    /// Makes one attempt at the next server, on a new connection.
    async fn attempt(&self, request: &Message, request_number: usize) -> Option<Message> {
        let address = {
            let servers = self.servers.lock().unwrap_or_else(PoisonError::into_inner);
            let ready: Vec<&Server> = servers.iter().filter(|server| server.ready).collect();
            let newest = ready.iter().max_by_key(|server| server.since).filter(|server| server.since > 0);
            match newest {
                Some(newest) if self.defect == Defect::FloodsCold => newest.address,
                _ => ready.get(request_number % ready.len().max(1))?.address,
            }
        };
        let (method, path) = &request.target;
        let kept = request.headers.iter().filter(|(name, _)| name != "content-length");
        let headers: String = kept.map(|(name, value)| format!("{name}: {value}\r\n")).collect();
        let text = format!("{method} {path} HTTP/1.1\r\n{headers}Content-Length: 0\r\n\r\n");
        let mut stream = TcpStream::connect(address).await.ok()?;
        stream.write_all(text.as_bytes()).await.ok()?;
        Reader::default().next(&mut stream, Side::Client).await.ok().flatten()
    }
}
