//! The client's side of one exchange, and reading of messages for both sides.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

use crate::plan::{encode, Framing, Plan};

/// Longest time that a client waits for the next bytes.
const PATIENCE: Duration = Duration::from_secs(10);

/// What a client got.
pub struct Answer {
    /// `None` without a status line.
    pub status: Option<u16>,
    pub body: Vec<u8>,
    /// Whether the body has its proper end.
    pub is_whole: bool,
    /// Time from the last byte of the request, or of what the node took of it, to the head of the answer.
    pub waited: Duration,
    /// When the head of the answer had come.
    pub answered_at: Instant,
}

/// The head of a message: its first line and the fields in lower case.
pub struct Head {
    pub first_line: String,
    fields: Vec<(String, String)>,
}

impl Head {
    /// Reads a head. Returns `None` if the connection ends before.
    pub fn read(from: &mut impl BufRead) -> Option<Self> {
        let mut lines = Vec::new();
        loop {
            let mut line = String::new();
            from.read_line(&mut line).ok().filter(|&length| length > 0)?;
            match line.trim_end() {
                "" => break,
                text => lines.push(text.to_owned()),
            }
        }
        let mut lines = lines.into_iter();
        let first_line = lines.next()?;
        let field = |line: String| {
            let (name, value) = line.split_once(':')?;
            Some((name.to_lowercase(), value.trim().to_owned()))
        };
        Some(Head { first_line, fields: lines.filter_map(field).collect() })
    }

    fn field(&self, name: &str) -> Option<&str> {
        self.fields.iter().find(|(known, _)| known == name).map(|(_, value)| value.as_str())
    }

    fn is_chunked(&self) -> bool {
        self.field("transfer-encoding").is_some_and(|value| value.contains("chunked"))
    }

    fn length(&self) -> Option<usize> {
        self.field("content-length")?.parse().ok()
    }

    /// Reads the body that this head announces, and returns whether it came to its proper end. Without a length it ends
    /// with the connection if `may_end_by_close`, and is empty otherwise.
    pub fn read_body(&self, from: &mut impl BufRead, may_end_by_close: bool) -> (Vec<u8>, bool) {
        let mut body = Vec::new();
        let is_whole = if self.is_chunked() {
            read_chunks(from, &mut body).is_some()
        } else if let Some(length) = self.length() {
            let read = from.take(length as u64).read_to_end(&mut body);
            read.is_ok() && body.len() == length
        } else {
            !may_end_by_close || from.read_to_end(&mut body).is_ok()
        };
        (body, is_whole)
    }
}

/// Reads chunks and trailers. Returns `None` if the connection ends before.
fn read_chunks(from: &mut impl BufRead, body: &mut Vec<u8>) -> Option<()> {
    loop {
        let mut line = String::new();
        from.read_line(&mut line).ok().filter(|&length| length > 0)?;
        let length = usize::from_str_radix(line.trim_end(), 16).ok()?;
        let before = body.len();
        from.take(length as u64).read_to_end(body).ok()?;
        if body.len() - before < length {
            return None;
        }
        loop {
            let mut end = String::new();
            from.read_line(&mut end).ok().filter(|&length| length > 0)?;
            if end.trim_end().is_empty() {
                break;
            }
        }
        if length == 0 {
            return Some(());
        }
    }
}

/// Writes pieces, with a pause after each of the first `pauses` of them. Stops at the first error: the peer has
/// answered or ended before.
pub fn write_pieces(
    stream: &mut TcpStream, pieces: &[Vec<u8>], pauses: u32, pause: Duration,
) -> std::io::Result<()> {
    for (index, piece) in pieces.iter().enumerate() {
        if (1..=pauses as usize).contains(&index) {
            thread::sleep(pause);
        }
        stream.write_all(piece)?;
    }
    Ok(())
}

fn request_head(plan: &Plan) -> String {
    let framing = match plan.framing {
        Framing::ContentLength | Framing::Close => format!("Content-Length: {}\r\n", plan.body_length),
        Framing::Chunked { trailers: 0, .. } => "Transfer-Encoding: chunked\r\n".to_owned(),
        Framing::Chunked { .. } => "Transfer-Encoding: chunked\r\nTrailer: X-Sum-0\r\n".to_owned(),
    };
    let version = if plan.is_http_1_0 { "HTTP/1.0" } else { "HTTP/1.1" };
    let connection = if plan.closes { "Connection: close\r\n" } else { "" };
    format!(
        "POST /pay?exchange={} {version}\r\nHost: service.internal\r\nX-Lane: pay\r\nX-Txn: {:016x}\r\n\
         {framing}{connection}\r\n",
        plan.index, plan.index
    )
}

/// Sends the request on a new connection and reads its answer.
pub fn exchange(to: SocketAddr, plan: &Plan) -> Answer {
    let stream = TcpStream::connect(to).expect("the node listens");
    stream.set_nodelay(true).unwrap();
    stream.set_read_timeout(Some(PATIENCE)).unwrap();
    let mut sender = stream.try_clone().unwrap();
    let pieces = encode(&plan.body(), plan.framing, plan.last_piece, plan.pauses);
    let (head, pauses, pause) = (request_head(plan), plan.pauses, plan.pause);
    let sending = thread::spawn(move || {
        let written = sender
            .write_all(head.as_bytes())
            .and_then(|()| write_pieces(&mut sender, &pieces, pauses, pause));
        written.map(|()| Instant::now())
    });
    let begun = Instant::now();
    let mut from = BufReader::new(stream);
    let head = Head::read(&mut from);
    let answered_at = Instant::now();
    let status = head.as_ref().and_then(|head| head.first_line.split(' ').nth(1)?.parse().ok());
    let (body, is_whole) = head.map_or((Vec::new(), false), |head| head.read_body(&mut from, true));
    if !plan.sends_on {
        let _ = from.get_ref().shutdown(std::net::Shutdown::Both); // ends a sender that the node does not read
    }
    let sent_at = sending.join().unwrap();
    let time_of_sending = plan.pause * plan.pauses;
    let waited = match sent_at {
        Ok(sent_at) => answered_at.saturating_duration_since(sent_at),
        Err(_) => (answered_at - begun).saturating_sub(time_of_sending),
    };
    Answer { status, body, is_whole, waited, answered_at }
}
