//! Requests as the lab's clients write them, and answers as they read them.

use std::io;
use std::time::{Duration, Instant};

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

/// Longest head of an answer in bytes.
const MAX_HEAD: usize = 16 << 10;
/// An answer whose rest is held back for this time is lost.
const HOLD_LIMIT: Duration = Duration::from_secs(2);

/// What the server is asked to do with a request: the query of its path.
#[derive(Clone, Copy, Debug, Default)]
pub struct ServerTask {
    /// Length of the answer in bytes.
    pub answer: usize,
    /// Time over which the answer is written, in milliseconds.
    pub over_ms: u64,
    /// Rate at which the body is read, in bytes per second; 0 is as fast as possible.
    pub read_rate: usize,
    /// Whether the answer has no length.
    pub has_no_length: bool,
    /// What is sent at full speed instead of the answer, without an end.
    pub flood: Option<ServerFlood>,
}

/// What a server sends at full speed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServerFlood {
    /// Fields of a head.
    HeadFields,
    /// Interim responses.
    InterimResponses,
    /// Empty lines before the status line.
    EmptyLines,
    /// Chunks of one byte.
    SmallChunks,
}

impl ServerFlood {
    /// All kinds; a request names one by its place here, counted from 1.
    pub const ALL: [ServerFlood; 4] = [
        ServerFlood::HeadFields,
        ServerFlood::InterimResponses,
        ServerFlood::EmptyLines,
        ServerFlood::SmallChunks,
    ];

    /// What is sent once, and what is repeated behind it.
    pub fn text(self) -> (&'static [u8], &'static [u8]) {
        match self {
            ServerFlood::HeadFields => (b"HTTP/1.1 200 OK\r\n", b"a: b\r\n"),
            ServerFlood::InterimResponses => (b"", b"HTTP/1.1 100 Continue\r\n\r\n"),
            ServerFlood::EmptyLines => (b"", b"\r\n"),
            ServerFlood::SmallChunks => {
                (b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", b"1\r\ny\r\n")
            }
        }
    }
}

impl ServerTask {
    fn query(&self) -> String {
        let ServerTask { answer, over_ms, read_rate, has_no_length, flood } = self;
        let flood =
            ServerFlood::ALL.iter().position(|kind| Some(*kind) == *flood).map_or(0, |place| place + 1);
        format!(
            "answer={answer}&over={over_ms}&rate={read_rate}&open={}&flood={flood}",
            u8::from(*has_no_length)
        )
    }
}

/// Returns the head of a request that must not run twice. `fields` are further lines, each with its end.
pub fn request_head(id: u64, task: &ServerTask, deadline: Duration, fields: &str) -> String {
    format!(
        "POST /pay?{} HTTP/1.1\r\nHost: service.internal\r\nX-Lane: pay\r\nX-Txn: {id:016x}\r\n\
         X-Remaining-Ms: {}\r\n{fields}\r\n",
        task.query(),
        deadline.as_millis()
    )
}

/// Returns a whole request with a body of known length.
pub fn request(id: u64, task: &ServerTask, deadline: Duration, length: usize) -> Vec<u8> {
    let mut text = request_head(id, task, deadline, &format!("Content-Length: {length}\r\n")).into_bytes();
    text.resize(text.len() + length, b'x');
    text
}

/// The answer to a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Answer {
    /// Status of the response.
    pub status: u16,
    /// Whether the body came to its proper end.
    pub is_whole: bool,
    /// Whether the rest of the body did not come in time.
    pub is_held_back: bool,
    /// Whether the connection can carry another request.
    pub keeps_connection: bool,
    /// When the head was complete.
    pub head_at: Instant,
}

/// How a client reads the body of an answer.
#[derive(Clone, Copy, Debug)]
pub struct ReadPace {
    /// Most bytes of one read.
    pub piece: usize,
    /// Length of one pause.
    pub pause: Duration,
    /// Bytes between two pauses.
    pub pause_every: usize,
    /// Most pauses in one answer.
    pub pauses: usize,
}

impl ReadPace {
    /// Reads at full speed, in pieces of so many bytes.
    pub fn without_pause(piece: usize) -> Self {
        ReadPace { piece, pause: Duration::ZERO, pause_every: 0, pauses: 0 }
    }
}

/// Reads an answer whose head has to come within `head_limit`. `None` is an end of the connection before the head.
pub async fn read_answer(
    stream: &mut TcpStream, head_limit: Duration, pace: ReadPace,
) -> io::Result<Option<Answer>> {
    let mut text = Vec::new();
    let head = loop {
        if let Some(end) = text.windows(4).position(|four| four == b"\r\n\r\n") {
            break end + 4;
        }
        let read =
            timeout(head_limit, stream.read_buf(&mut text)).await.map_err(|_| io::ErrorKind::TimedOut)?;
        if read? == 0 || text.len() > MAX_HEAD {
            return Ok(None);
        }
    };
    let head_at = Instant::now();
    let fields = String::from_utf8_lossy(&text[..head]).to_lowercase();
    let status = fields.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0);
    let length = fields.lines().find_map(|line| line.strip_prefix("content-length: ")?.parse().ok());
    let is_chunked = fields.contains("transfer-encoding: chunked");
    let keeps_connection = !fields.contains("connection: close") && (length.is_some() || is_chunked);
    let mut body = text.split_off(head);
    let mut received = body.len();
    let mut buffer = vec![0; pace.piece];
    let mut pauses = 0;
    let mut is_held_back = false;
    let is_whole = loop {
        // The lab's servers end a body without chunks in it, so the last chunk cannot be mistaken.
        let has_last_chunk = is_chunked && body.ends_with(b"0\r\n\r\n");
        if length.is_some_and(|length: usize| received >= length) || has_last_chunk {
            break true;
        }
        if pauses < pace.pauses && received >= pauses * pace.pause_every {
            pauses += 1;
            sleep(pace.pause).await;
        }
        let Ok(read) = timeout(HOLD_LIMIT, stream.read(&mut buffer)).await else {
            is_held_back = true;
            break false;
        };
        match read {
            Ok(0) => break length.is_none() && !is_chunked,
            Ok(count) => {
                received += count;
                let kept = body.len().saturating_sub(8);
                body.drain(..kept);
                body.extend_from_slice(&buffer[..count]);
            }
            Err(_) => break false,
        }
    };
    Ok(Some(Answer { status, is_whole, is_held_back, keeps_connection, head_at }))
}

/// Writes bytes and returns when the last one was accepted by the kernel; an error means that the node has answered or
/// closed before.
pub async fn write(stream: &mut TcpStream, bytes: &[u8]) -> io::Result<Instant> {
    stream.write_all(bytes).await?;
    Ok(Instant::now())
}
