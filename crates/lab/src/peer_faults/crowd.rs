//! Crowds of misbehaving clients, and clients of misbehaving servers.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use tokio::net::TcpStream;
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout, timeout_at};

use super::exchange::{read_answer, request, request_head, write, Answer, ReadPace, ServerFlood, ServerTask};
use super::ledger::Ledger;
use super::scenario::{Peers, Scenario, LONGEST_PAUSES};
use super::steady::connect;
use super::{flood, leaver};

/// Longest wait of a misbehaving client for the next bytes.
const PATIENCE: Duration = Duration::from_secs(10);
/// A final answer may come so long after the time of its request, with what a busy machine may add.
const LATE_ANSWER: Duration = Duration::from_millis(700);
/// Time from the begin of the connect within which a request is written on a connection that does not rest.
const MAX_WRITE_DELAY: Duration = Duration::from_millis(100);
/// Time within which the clients of a killed process see its end.
const KILL_VISIBLE: Duration = Duration::from_millis(100);
const READ_PIECE: usize = 64 << 10;
const FULL_SPEED: ReadPace = ReadPace { piece: READ_PIECE, pause: Duration::ZERO, pause_every: 0, pauses: 0 };
/// Time between two exchanges of one client.
const PAUSE: Duration = Duration::from_millis(20);

/// Plays those peers of the scenario until `end` whose exchanges are judged, or the others.
pub async fn play(scenario: &Scenario, judged: bool, to: SocketAddr, end: Instant, ledger: Arc<Ledger>) {
    let mut clients = JoinSet::new();
    for (peers, count) in scenario.peers.iter().filter(|(peers, _)| peers.are_judged() == judged) {
        for _ in 0..*count {
            let client = CrowdClient { to, deadline: scenario.deadline(), ledger: ledger.clone() };
            // A client that holds a connection gives it up at the end; others come to their own.
            clients.spawn(client.run(*peers, end));
        }
    }
    super::join_all(clients).await;
}

/// One client of a crowd, with one connection at a time.
#[derive(Clone)]
pub struct CrowdClient {
    /// Address of the node.
    pub to: SocketAddr,
    /// Time that the client waits for an answer.
    pub deadline: Duration,
    /// Record of what was sent.
    pub ledger: Arc<Ledger>,
}

impl CrowdClient {
    async fn run(self, peers: Peers, end: Instant) {
        while Instant::now() < end {
            match peers {
                // These end by themselves, and are judged.
                Peers::SlowServerRead { length, is_chunked, rate } => {
                    self.slow_server_read(length, is_chunked, rate).await;
                }
                Peers::SlowServerWrite { answer, over_ms, has_length } => {
                    self.slow_server_write(answer, over_ms, has_length).await;
                }
                Peers::Leaver { requests, resets, returns } => {
                    leaver::play(&self, requests, resets, returns).await;
                }
                Peers::ServerFlood(kind) => self.flooded_by_server(kind).await,
                Peers::Flood(kind) => flood::play(&self, kind, end).await,
                others => _ = timeout_at(end.into(), self.hold(others)).await,
            }
            sleep(PAUSE).await;
        }
    }

    /// Plays a client that is not judged, until its connection ends.
    async fn hold(&self, peers: Peers) {
        // Before the connect: the lab may be late to see its end.
        let begun = Instant::now();
        let mut stream = connect(self.to, &self.ledger).await;
        let mut pace = FULL_SPEED;
        let written = match peers {
            Peers::StoppedUpload { length, sent } => self.write_part(&mut stream, length, sent).await,
            Peers::PiecewiseUpload { length, piece, over_ms } => {
                self.write_in_pieces(&mut stream, length, piece, Duration::from_millis(over_ms)).await
            }
            Peers::LongExchange { length, answer } => {
                write(&mut stream, &self.request(ServerTask { answer, ..ServerTask::default() }, length))
                    .await
            }
            Peers::ManyFields { fields, is_whole } => {
                let lines: String = (0..fields).map(|_| "a:\r\n").collect();
                let head = request_head(self.ledger.new_id(), &ServerTask::default(), self.deadline, &lines);
                let end = if is_whole { head.len() } else { head.len() - 2 };
                write(&mut stream, &head.as_bytes()[..end]).await
            }
            Peers::SlowReader { answer, rate } => {
                let _ = socket2::SockRef::from(&stream).set_recv_buffer_size(READ_PIECE);
                let pause = Duration::from_millis(100);
                pace = ReadPace { piece: rate / 10, pause, pause_every: 0, pauses: usize::MAX };
                write(&mut stream, &self.request(ServerTask { answer, ..ServerTask::default() }, 0)).await
            }
            Peers::PausingReader { answer, pauses, pause_ms } => {
                let _ = socket2::SockRef::from(&stream).set_recv_buffer_size(READ_PIECE);
                let (pause, pause_every) = (Duration::from_millis(pause_ms), answer / (pauses + 1));
                pace = ReadPace { piece: READ_PIECE, pause, pause_every, pauses };
                write(&mut stream, &self.request(ServerTask { answer, ..ServerTask::default() }, 0)).await
            }
            _ => return,
        };
        let Ok(sent) = written else { return };
        let answer = read_answer(&mut stream, PATIENCE, pace).await;
        let was_cut = matches!(answer, Ok(Some(Answer { is_whole: false, is_held_back: false, .. })));
        // A node may close a connection without a request, and the lab may be late to write on it.
        let was_resting = matches!(answer, Ok(None)) && sent - begun > MAX_WRITE_DELAY;
        let has_paused_too_long = peers.read_too_slowly() && sent.elapsed() > LONGEST_PAUSES;
        if peers.send_whole_requests() && !(was_cut && has_paused_too_long) && !was_resting {
            // One that reads slowly finds the end of what a killed process had sent long after that.
            let cut_since = if pace.pauses == 0 { just_now() } else { sent };
            self.judge(&format!("request of {peers:?}"), sent, cut_since, answer);
        }
    }

    /// Reports a request whose answer did not come in time, or not whole although no process was killed since `cut_since`.
    fn judge(&self, what: &str, sent: Instant, cut_since: Instant, answer: std::io::Result<Option<Answer>>) {
        let answer = match answer {
            Ok(Some(answer)) => answer,
            Ok(None) => {
                return self
                    .ledger
                    .report(format!("{what} closed without an answer after {:?}", sent.elapsed()))
            }
            Err(error) => {
                return self
                    .ledger
                    .report(format!("{what} got no answer within {:?}: {error}", sent.elapsed()))
            }
        };
        let Answer { status, is_whole, is_held_back, head_at, .. } = answer;
        let wait = head_at.saturating_duration_since(sent);
        if wait > self.deadline + LATE_ANSWER {
            self.ledger.report(format!("{what} answered {status} after {} ms", wait.as_millis()));
        }
        if is_held_back {
            self.ledger.report(format!("the rest of the answer to {what} was held back"));
        } else if !is_whole {
            self.ledger.report_unless_killed(format!("the answer to {what} was cut"), cut_since);
        }
    }

    fn request(&self, task: ServerTask, length: usize) -> Vec<u8> {
        request(self.ledger.new_id(), &task, self.deadline, length)
    }

    /// Writes the head of a request of this length, and the first `sent` bytes of its body.
    async fn write_part(
        &self, stream: &mut TcpStream, length: usize, sent: usize,
    ) -> std::io::Result<Instant> {
        const PIECE: [u8; 16 << 10] = [b'x'; 16 << 10];
        let framing = format!("Content-Length: {length}\r\n");
        let head = request_head(self.ledger.new_id(), &ServerTask::default(), self.deadline, &framing);
        let mut at = write(stream, head.as_bytes()).await?;
        for start in (0..sent).step_by(PIECE.len()) {
            at = write(stream, &PIECE[..PIECE.len().min(sent - start)]).await?;
        }
        Ok(at)
    }

    async fn write_in_pieces(
        &self, stream: &mut TcpStream, length: usize, piece: usize, over: Duration,
    ) -> std::io::Result<Instant> {
        let text = self.request(ServerTask::default(), length);
        let head = text.len() - length;
        let mut at = write(stream, &text[..head]).await?;
        let pause = over / length.div_ceil(piece) as u32;
        for piece in text[head..].chunks(piece) {
            at = write(stream, piece).await?;
            sleep(pause).await;
        }
        Ok(at)
    }

    /// A long request whose server reads slowly: its final answer is due as that of any request.
    async fn slow_server_read(&self, length: usize, is_chunked: bool, read_rate: usize) {
        let task = ServerTask { answer: 10, read_rate, ..ServerTask::default() };
        let id = self.ledger.new_id();
        let text = match is_chunked {
            false => request(id, &task, self.deadline, length),
            true => chunked_request(id, &task, self.deadline, length),
        };
        let mut stream = connect(self.to, &self.ledger).await;
        let sent = match write(&mut stream, &text).await {
            Ok(sent) => sent,
            Err(_) => Instant::now(), // answered before its last byte
        };
        let answer = read_answer(&mut stream, PATIENCE, FULL_SPEED).await;
        let what = format!("request {id:016x} of {length} bytes to a server that reads {read_rate} B/s");
        self.judge(&what, sent, just_now(), answer);
    }

    /// A request whose server sends without an end: it is owed a final answer in time, or the beginning of one.
    async fn flooded_by_server(&self, kind: ServerFlood) {
        let mut stream = connect(self.to, &self.ledger).await;
        let task = ServerTask { flood: Some(kind), ..ServerTask::default() };
        let text = request(self.ledger.new_id(), &task, self.deadline, 0);
        let Ok(sent) = write(&mut stream, &text).await else { return };
        // The time of the head is judged; the rest is read as fast as it comes, until the server or this client ends it.
        let limit = self.deadline + LATE_ANSWER;
        let answer = timeout(limit, read_answer(&mut stream, limit, FULL_SPEED)).await;
        if let Ok(Err(_) | Ok(None)) = answer {
            self.ledger.report(format!(
                "request to a flooding server ({kind:?}) unanswered after {:?}",
                sent.elapsed()
            ));
        }
    }

    /// A request whose server writes a long answer slowly: it comes whole.
    async fn slow_server_write(&self, answer_length: usize, over_ms: u64, has_length: bool) {
        let mut stream = connect(self.to, &self.ledger).await;
        let id = self.ledger.new_id();
        let task = ServerTask {
            answer: answer_length,
            over_ms,
            has_no_length: !has_length,
            ..ServerTask::default()
        };
        let Ok(sent) = write(&mut stream, &request(id, &task, self.deadline, 0)).await else { return };
        let answer = read_answer(&mut stream, PATIENCE, FULL_SPEED).await;
        let what = format!("request {id:016x} for {answer_length} bytes over {over_ms} ms");
        self.judge(&what, sent, just_now(), answer);
    }
}

/// The time since which a kill shows now to a client that reads as fast as it can.
fn just_now() -> Instant {
    let now = Instant::now();
    now.checked_sub(KILL_VISIBLE).unwrap_or(now)
}

/// Returns a whole request in chunks.
fn chunked_request(id: u64, task: &ServerTask, deadline: Duration, length: usize) -> Vec<u8> {
    const CHUNK: usize = 8_000;
    let mut text = request_head(id, task, deadline, "Transfer-Encoding: chunked\r\n").into_bytes();
    for chunk in vec![b'x'; length].chunks(CHUNK) {
        text.extend_from_slice(format!("{:x}\r\n", chunk.len()).as_bytes());
        text.extend_from_slice(chunk);
        text.extend_from_slice(b"\r\n");
    }
    text.extend_from_slice(b"0\r\n\r\n");
    text
}
