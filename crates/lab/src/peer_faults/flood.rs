//! Clients that send small or invalid messages at full speed.

use std::time::{Duration, Instant};

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::yield_now;
use tokio::time::{timeout, timeout_at};

use super::crowd::CrowdClient;
use super::exchange::{request, ServerTask};
use super::steady::connect;

/// Longest wait for a connection that takes nothing more.
const WRITE_TIMEOUT: Duration = Duration::from_secs(1);
/// Messages in one write.
const BATCH: usize = 512;

/// What is sent at full speed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Flood {
    /// Empty lines, many in each write.
    EmptyLines,
    /// Two bytes of an empty line in each write.
    BytePairs,
    /// Heads that are no HTTP.
    InvalidHeads,
    /// Requests for unknown paths, one connection after the other.
    UnknownPaths,
    /// Readiness checks without a pause.
    Probes,
    /// Requests under ever new tenants and paths.
    NewNames,
    /// Requests whose answers are not read.
    UnreadAnswers,
}

/// Floods the node on one connection after another until `end`.
pub async fn play(client: &CrowdClient, kind: Flood, end: Instant) {
    let mut number = 0u64;
    while Instant::now() < end {
        let mut stream = connect(client.to, &client.ledger).await;
        while Instant::now() < end {
            number += 1;
            let text = message(client, kind, number);
            let written = timeout(WRITE_TIMEOUT, stream.write_all(&text)).await;
            if !matches!(written, Ok(Ok(()))) {
                break;
            }
            if kind != Flood::UnreadAnswers && !discard_input(&mut stream, kind, end).await {
                break;
            }
            yield_now().await;
        }
    }
}

fn message(client: &CrowdClient, kind: Flood, number: u64) -> Vec<u8> {
    let get =
        |path: &str, fields: &str| format!("GET {path} HTTP/1.1\r\nHost: x\r\n{fields}\r\n").into_bytes();
    match kind {
        Flood::EmptyLines => b"\r\n".repeat(BATCH),
        Flood::BytePairs => b"\r\n".to_vec(),
        Flood::InvalidHeads => b"\x01\x02 no http\r\n\r\n".repeat(BATCH / 16),
        Flood::UnknownPaths => get(&format!("/unknown-{number}"), ""),
        Flood::Probes => get("/health/ready", "").repeat(BATCH / 16),
        Flood::NewNames => {
            let id = client.ledger.new_id();
            let fields =
                format!("X-Lane: pay\r\nX-Txn: {id:016x}\r\nX-Org: tenant-{number}\r\nX-{number}: 1\r\n");
            get(&format!("/pay?answer=1&over=0&rate=0&open=0&sid={number}"), &fields)
        }
        Flood::UnreadAnswers => {
            let task = ServerTask { answer: 60_000, ..ServerTask::default() };
            request(client.ledger.new_id(), &task, client.deadline, 0)
        }
    }
}

/// Reads what has arrived; a client that sends one request at a time waits for its answer. Returns false at the end of
/// the connection.
async fn discard_input(stream: &mut TcpStream, kind: Flood, end: Instant) -> bool {
    let mut buffer = [0; 16 << 10];
    if matches!(kind, Flood::NewNames | Flood::UnknownPaths | Flood::Probes) {
        return matches!(timeout_at(end.into(), stream.read(&mut buffer)).await, Ok(Ok(count)) if count > 0);
    }
    match stream.try_read(&mut buffer) {
        Ok(count) => count > 0 || kind == Flood::EmptyLines || kind == Flood::BytePairs,
        Err(error) => error.kind() == std::io::ErrorKind::WouldBlock,
    }
}
