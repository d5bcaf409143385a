//! Guide servers that do with each request what its path asks for.

use std::net::SocketAddr;
use std::sync::mpsc;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{sleep, timeout};

use super::exchange::ServerFlood;
use super::ledger::Ledger;

/// Number of servers, all on ports of their own.
pub const SERVERS: usize = 4;
/// Time for which a server works on a request.
const SERVICE_TIME: Duration = Duration::from_millis(5);
/// Longest head of a request in bytes.
const MAX_HEAD: usize = 64 << 10;
const READ_BYTES: usize = 16 << 10;
/// Pieces in which a slow answer is written.
const ANSWER_PIECES: usize = 24;
/// Longest time for which a server sends at full speed.
const FLOOD_TIME: Duration = Duration::from_secs(2);
/// Messages in one write of a flood.
const FLOOD_BATCH: usize = 512;
/// Bytes of an answer that are written at once.
static ANSWER_BLOCK: [u8; 64 << 10] = [b'y'; 64 << 10];

/// Guide servers on a thread of their own; the thread ends with the process.
pub struct GuideServers {
    /// Addresses of the servers.
    pub addresses: Vec<SocketAddr>,
}

impl GuideServers {
    /// Starts the servers, which record in `ledger` what they get.
    pub fn start(ledger: Arc<Ledger>) -> Result<Self, String> {
        let (sender, started) = mpsc::channel();
        thread::spawn(move || super::in_runtime(serve(ledger, sender)));
        let addresses = started.recv().map_err(|_| "the servers did not start".to_owned())?;
        Ok(GuideServers { addresses })
    }
}

async fn serve(ledger: Arc<Ledger>, started: mpsc::Sender<Vec<SocketAddr>>) {
    let mut addresses = Vec::new();
    for _ in 0..SERVERS {
        let Ok(listener) = TcpListener::bind("127.0.0.1:0").await else { return };
        addresses.extend(listener.local_addr());
        let ledger = ledger.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let ledger = ledger.clone();
                tokio::spawn(async move { serve_connection(stream, &ledger).await });
            }
        });
    }
    if started.send(addresses).is_ok() {
        std::future::pending::<()>().await;
    }
}

/// The head of a request: what to do, and the framing of its body.
struct Task {
    id: u64,
    answer: usize,
    over: Duration,
    read_rate: usize,
    has_no_length: bool,
    flood: Option<ServerFlood>,
    length: Option<usize>, // `None`: in chunks
}

impl Task {
    /// Reads the head. Returns `None` if it is not a request of the lab.
    fn parse(head: &str) -> Option<Self> {
        let query = head.split(' ').nth(1)?.split_once('?')?.1;
        let parameter = |name: &str| {
            let pair = query.split('&').find_map(|pair| pair.strip_prefix(name)?.strip_prefix('='))?;
            pair.parse::<usize>().ok()
        };
        let lower = head.to_lowercase();
        let field = |name: &str| lower.lines().find_map(|line| line.strip_prefix(name)).map(str::trim);
        let is_chunked = field("transfer-encoding:").is_some();
        Some(Task {
            id: u64::from_str_radix(field("x-txn:")?, 16).ok()?,
            answer: parameter("answer")?,
            over: Duration::from_millis(parameter("over")? as u64),
            read_rate: parameter("rate")?,
            has_no_length: parameter("open")? == 1,
            flood: parameter("flood")
                .and_then(|place| place.checked_sub(1))
                .and_then(|place| ServerFlood::ALL.get(place).copied()),
            length: (!is_chunked)
                .then(|| field("content-length:").and_then(|text| text.parse().ok()).unwrap_or(0)),
        })
    }
}

/// Serves one connection until either side ends it.
async fn serve_connection(mut stream: TcpStream, ledger: &Ledger) {
    let _ = stream.set_nodelay(true);
    let mut buffer = Vec::new();
    loop {
        let mut begun = (!buffer.is_empty()).then(Instant::now);
        let head = loop {
            if let Some(end) = buffer.windows(4).position(|four| four == b"\r\n\r\n") {
                break end + 4;
            }
            match stream.read_buf(&mut buffer).await {
                Ok(count) if count > 0 && buffer.len() <= MAX_HEAD => {
                    _ = begun.get_or_insert_with(Instant::now)
                }
                _ => return,
            }
        };
        let Some(task) = Task::parse(&String::from_utf8_lossy(&buffer[..head])) else { return };
        ledger.begun(task.id, begun.unwrap_or_else(Instant::now));
        buffer.drain(..head);
        if !read_body(&mut stream, &mut buffer, &task).await {
            return;
        }
        ledger.ran(task.id);
        sleep(SERVICE_TIME).await;
        if write_answer(&mut stream, &task).await.is_err() || task.has_no_length {
            return;
        }
    }
}

/// Reads the body at the rate of the task. Returns whether it came to its end.
async fn read_body(stream: &mut TcpStream, buffer: &mut Vec<u8>, task: &Task) -> bool {
    loop {
        if let Some(length) = task.length.filter(|&length| buffer.len() >= length) {
            buffer.drain(..length);
            return true;
        }
        // The lab's clients send no last chunk in the middle of their data.
        if task.length.is_none() && buffer.ends_with(b"0\r\n\r\n") {
            buffer.clear();
            return true;
        }
        let mut piece = vec![0; if task.read_rate > 0 { task.read_rate / 20 } else { READ_BYTES }];
        match stream.read(&mut piece).await {
            Ok(count) if count > 0 => buffer.extend_from_slice(&piece[..count]),
            _ => return false,
        }
        if task.read_rate > 0 {
            sleep(Duration::from_millis(50)).await;
        }
    }
}

/// Sends at full speed until the connection ends, for [`FLOOD_TIME`] at most.
async fn flood(stream: &mut TcpStream, kind: ServerFlood) -> std::io::Result<()> {
    let (start, repeated) = kind.text();
    let repeated = repeated.repeat(FLOOD_BATCH);
    stream.write_all(start).await?;
    let begun = Instant::now();
    while begun.elapsed() < FLOOD_TIME {
        timeout(FLOOD_TIME, stream.write_all(&repeated)).await??;
    }
    Ok(())
}

async fn write_answer(stream: &mut TcpStream, task: &Task) -> std::io::Result<()> {
    if let Some(kind) = task.flood {
        flood(stream, kind).await?;
        return Err(std::io::ErrorKind::ConnectionAborted.into());
    }
    let framing = match task.has_no_length {
        true => "Connection: close".to_owned(),
        false => format!("Content-Length: {}", task.answer),
    };
    stream.write_all(format!("HTTP/1.1 200 OK\r\n{framing}\r\n\r\n").as_bytes()).await?;
    let is_slow = !task.over.is_zero();
    let piece = if is_slow { task.answer.div_ceil(ANSWER_PIECES).max(1) } else { ANSWER_BLOCK.len() };
    for start in (0..task.answer).step_by(piece) {
        write_bytes(stream, piece.min(task.answer - start)).await?;
        if is_slow {
            sleep(task.over / ANSWER_PIECES as u32).await;
        }
    }
    Ok(())
}

/// Writes as many bytes, from one block that all answers share.
async fn write_bytes(stream: &mut TcpStream, mut left: usize) -> std::io::Result<()> {
    while left > 0 {
        let count = left.min(ANSWER_BLOCK.len());
        stream.write_all(&ANSWER_BLOCK[..count]).await?;
        left -= count;
    }
    Ok(())
}
