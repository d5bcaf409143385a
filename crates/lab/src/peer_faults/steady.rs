//! Well-behaved clients, every request of which is judged: one final answer, in time.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use tokio::net::TcpStream;
use tokio::task::JoinSet;
use tokio::time::sleep;

use super::exchange::{read_answer, request, write, ReadPace, ServerTask};
use super::ledger::Ledger;
use super::scenario::{Scenario, Waits};

/// Number of clients, each with one connection.
const CLIENTS: usize = 10;
/// Time between two requests of one client.
const PERIOD: Duration = Duration::from_millis(200);
/// A final answer may come so long after the time of its request.
const LATE_ANSWER: Duration = Duration::from_millis(500);
/// What a busy machine may add for client, node and server.
const MACHINE_DELAY: Duration = Duration::from_millis(200);
const BODY: usize = 100;
const ANSWER_PIECE: usize = 4 << 10;
/// Time between two attempts to connect to a node that does not listen.
const CONNECT_RETRY: Duration = Duration::from_millis(20);

/// Sends requests until `end`, and reports to the ledger which were not answered in time.
pub async fn play(scenario: &Scenario, to: SocketAddr, end: Instant, ledger: Arc<Ledger>) -> Waits {
    let waits = Arc::new(Mutex::new(Waits::default()));
    let mut clients = JoinSet::new();
    for number in 0..CLIENTS {
        let always_reconnects = scenario.always_reconnects && number % 2 == 0;
        let client =
            Client { to, deadline: scenario.deadline(), connection: None, number, always_reconnects };
        clients.spawn(client.run(end, ledger.clone(), waits.clone()));
    }
    super::join_all(clients).await;
    let waits = waits.lock().unwrap_or_else(PoisonError::into_inner);
    waits.clone()
}

struct Client {
    to: SocketAddr,
    deadline: Duration,
    connection: Option<TcpStream>,
    number: usize,
    always_reconnects: bool,
}

/// How a request ended on one connection.
enum Ended {
    Answered {
        status: u16,
        sent: Instant,
        at: Instant,
    },
    /// The connection closed without an answer; `was_kept` says whether it had carried a request before.
    Closed {
        was_kept: bool,
    },
    TimedOut,
}

impl Client {
    async fn run(mut self, end: Instant, ledger: Arc<Ledger>, waits: Arc<Mutex<Waits>>) {
        sleep(PERIOD * self.number as u32 / CLIENTS as u32).await;
        while Instant::now() < end {
            let begun = Instant::now();
            self.request(&ledger, &waits).await;
            sleep(PERIOD.saturating_sub(begun.elapsed())).await;
        }
    }

    /// Sends one request, on a second connection too if a kept one closed under it.
    async fn request(&mut self, ledger: &Ledger, waits: &Mutex<Waits>) {
        let id = ledger.new_id();
        let mut ended = self.exchange(id, ledger).await;
        if matches!(ended, Ended::Closed { was_kept: true }) {
            waits.lock().unwrap_or_else(PoisonError::into_inner).resent += 1;
            ended = self.exchange(id, ledger).await;
        }
        let mut waits = waits.lock().unwrap_or_else(PoisonError::into_inner);
        match ended {
            Ended::Answered { status, sent, at } => {
                let wait = at - sent;
                waits.longest = waits.longest.max(wait);
                match status {
                    200 => waits.served += 1,
                    _ => waits.refused += 1,
                }
                if wait > self.deadline + LATE_ANSWER + MACHINE_DELAY {
                    ledger
                        .report(format!("request {id:016x} answered {status} after {} ms", wait.as_millis()));
                }
            }
            Ended::Closed { .. } => ledger.report(format!("request {id:016x} closed without an answer")),
            Ended::TimedOut => ledger.report(format!("request {id:016x} never answered")),
        }
    }

    async fn exchange(&mut self, id: u64, ledger: &Ledger) -> Ended {
        let kept = self.connection.take();
        let was_kept = kept.is_some();
        let mut stream = match kept {
            Some(stream) => stream,
            None => connect(self.to, ledger).await,
        };
        let text = request(id, &ServerTask { answer: BODY, ..ServerTask::default() }, self.deadline, BODY);
        let Ok(sent) = write(&mut stream, &text).await else { return Ended::Closed { was_kept } };
        let limit = self.deadline + LATE_ANSWER + 2 * MACHINE_DELAY;
        match read_answer(&mut stream, limit, ReadPace::without_pause(ANSWER_PIECE)).await {
            Ok(Some(answer)) => {
                let at = Instant::now();
                self.connection = Some(stream).filter(|_| answer.keeps_connection && !self.always_reconnects);
                Ended::Answered { status: answer.status, sent, at }
            }
            Err(error) if error.kind() == std::io::ErrorKind::TimedOut => Ended::TimedOut,
            Ok(None) | Err(_) => Ended::Closed { was_kept },
        }
    }
}

/// Connects as soon as the node gets connections; one that does not listen is tried again.
pub async fn connect(to: SocketAddr, ledger: &Ledger) -> TcpStream {
    loop {
        let connected = if ledger.is_out() { None } else { TcpStream::connect(to).await.ok() };
        if let Some(stream) = connected {
            let _ = stream.set_nodelay(true);
            return stream;
        }
        sleep(CONNECT_RETRY).await;
    }
}
