//! Doubles of a node: one that keeps the rules in the simplest way, and others with one defect each, so
//! that the lab can show that its ledger finds them. No part of the product.

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

/// Requests after which a defect shows, so that the day has begun.
const LATER: usize = 200;
/// A peer that sends nothing is closed after this.
const HEAD: Duration = Duration::from_secs(2);
/// Kept back of the client's time, for the answer's way.
const MARGIN: u64 = 20;

#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
enum Defect {
    /// Keeps the rules.
    None,
    /// Writes each answer twice.
    AnswersTwice,
    /// Sends what is unsafe again after a failure.
    Resends,
    /// Passes over what it is told of drains.
    IgnoresDrains,
    /// Keeps what it gives up until the client's time is nearly over.
    HoldsBack,
    /// Answers without a server.
    MakesUp,
    /// Closes connections instead of answering.
    Loses,
    /// Never answers some requests.
    Forgets,
    /// Sends servers a request that no client sent.
    Invents,
    /// Refuses what may have run.
    RefusesRun,
    /// Tries without end.
    TriesOn,
    /// Sends everything to whichever server started last.
    FloodsCold,
    /// Keeps peers that send nothing.
    KeepsSilent,
    /// Ends by itself.
    Crashes,
    /// Never says that it is ready.
    NeverReady,
    /// Takes far more memory than it may.
    Hoards,
    /// Goes on after SIGTERM.
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

struct Double {
    defect: Defect,
    servers: Mutex<Vec<Server>>,
    index: Mutex<u64>,
    turn: AtomicUsize,
}

#[tokio::main(flavor = "current_thread")]
async fn main() -> ExitCode {
    let defect = Cli::parse().defect;
    match run(defect).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(fault) => {
            eprintln!("double: {fault}");
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
    let double = Arc::new(Double {
        defect,
        servers: Mutex::new(Vec::new()),
        index: Mutex::new(0),
        turn: AtomicUsize::new(0),
    });
    double.list(&config["known"]);
    let mut terminated = signal(SignalKind::terminate()).map_err(|error| error.to_string())?;
    tokio::spawn(double.clone().watch(discovery));
    let hoard = if defect == Defect::Hoards { vec![1u8; 128 << 20] } else { Vec::new() };
    loop {
        tokio::select! {
            accepted = listener.accept() => {
                if let Ok((stream, _)) = accepted {
                    tokio::spawn(double.clone().client(stream));
                }
            }
            _ = terminated.recv() => if defect != Defect::Overstays { break },
        }
    }
    drop(listener);
    sleep(Duration::from_secs(1)).await;
    drop(hoard);
    Ok(())
}

impl Double {
    fn list(&self, list: &Value) {
        let mut servers = self.servers.lock().unwrap_or_else(PoisonError::into_inner);
        let ignored = self.defect == Defect::IgnoresDrains && !servers.is_empty();
        if list["snapshot"] == true && !ignored {
            servers.clear();
        }
        let lines = list["endpoints"].as_array().into_iter().flatten().filter(|_| !ignored);
        for line in lines {
            let (Some(name), Some(address)) = (line["name"].as_str(), line["address"].as_str()) else {
                continue;
            };
            let Ok(address) = address.parse() else { continue };
            servers.retain(|server| server.name != name);
            let ready = line["status"] == "in_service";
            let since = line["since_ms"].as_u64().unwrap_or(0);
            servers.push(Server { name: name.to_owned(), address, ready, since });
        }
        *self.index.lock().unwrap_or_else(PoisonError::into_inner) = list["index"].as_u64().unwrap_or(0);
    }

    async fn watch(self: Arc<Self>, at: SocketAddr) {
        loop {
            let index = *self.index.lock().unwrap_or_else(PoisonError::into_inner);
            let text = format!("GET /registry/instances?index={index}&wait=1000 HTTP/1.1\r\nHost: d\r\n\r\n");
            let called = async {
                let mut stream = TcpStream::connect(at).await.ok()?;
                stream.write_all(text.as_bytes()).await.ok()?;
                Reader::default().next(&mut stream, Side::Client).await.ok().flatten()
            };
            match called.await.and_then(|message| serde_json::from_slice(&message.body).ok()) {
                Some(list) => self.list(&list),
                None => sleep(Duration::from_millis(50)).await,
            }
        }
    }

    async fn client(self: Arc<Self>, mut stream: TcpStream) {
        let mut reader = Reader::default();
        let _ = stream.set_nodelay(true);
        let patience = if self.defect == Defect::KeepsSilent { Duration::from_secs(60) } else { HEAD };
        while let Ok(Ok(Some(request))) = timeout(patience, reader.next(&mut stream, Side::Server)).await {
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

    /// The answer to a client; none: its connection is closed.
    async fn answer(&self, request: &Message) -> Option<Vec<u8>> {
        let turn = self.turn.fetch_add(1, Ordering::Relaxed);
        let later = turn >= LATER;
        let remaining = request.header("x-remaining-ms").and_then(|ms| ms.parse::<u64>().ok()).unwrap_or(0);
        let most = Duration::from_millis(remaining.saturating_sub(MARGIN));
        let safe = request.target.0 == "GET";
        let refusal = || answer(503, "Retry-After: 0.1\r\n", "");
        match self.defect {
            Defect::MakesUp if later && turn.is_multiple_of(50) => return Some(answer(200, "", "pong")),
            Defect::Crashes if later => std::process::exit(7),
            Defect::HoldsBack if later && turn.is_multiple_of(5) => {
                sleep(most).await;
                return Some(refusal());
            }
            Defect::Forgets if later && turn.is_multiple_of(10) => std::future::pending().await,
            Defect::Invents if later && turn.is_multiple_of(50) => {
                let mut invented = request.clone();
                invented.headers.retain(|(name, _)| name != "x-txn");
                invented.headers.push(("x-txn".to_owned(), format!("{turn:016x}")));
                let _ = timeout(most, self.attempt(&invented, turn)).await;
            }
            _ => {}
        }
        let tries = match self.defect {
            Defect::TriesOn => 6,
            _ if safe => 3,
            Defect::Resends => 2,
            _ => 1,
        };
        let tried = timeout(most, async {
            let mut last = None;
            for further in 0..tries {
                last = self.attempt(request, turn + further).await;
                match &last {
                    Some(message) if message.status == 200 && self.defect != Defect::TriesOn => break,
                    _ => {}
                }
            }
            last
        });
        let ended = tried.await.ok().flatten();
        if self.defect == Defect::Loses && later && turn.is_multiple_of(20) {
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

    /// One attempt at the next server, on a connection of its own.
    async fn attempt(&self, request: &Message, turn: usize) -> Option<Message> {
        let address = {
            let servers = self.servers.lock().unwrap_or_else(PoisonError::into_inner);
            let ready: Vec<&Server> = servers.iter().filter(|server| server.ready).collect();
            let newest = ready.iter().max_by_key(|server| server.since).filter(|server| server.since > 0);
            match newest {
                Some(newest) if self.defect == Defect::FloodsCold => newest.address,
                _ => ready.get(turn % ready.len().max(1))?.address,
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
