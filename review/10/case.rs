//! Long answers, more at once than memory holds, to clients that take seconds to read: does the node cut them off?

#[path = "../standins-2.rs"]
mod standins;

use std::io::{ErrorKind, Read};
use std::net::SocketAddr;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use standins::*;

const SERVERS: usize = 4;
/// Together within a third of 1,024 descriptors.
const LONG_CLIENTS: u64 = 270;
const SHORT_CLIENTS: u64 = 40;
const PLAYED: Duration = Duration::from_secs(15);
const LENGTH: usize = 2_000_000;
const PAUSE: Duration = Duration::from_secs(3);

fn main() {
    play(case);
}

fn case(trouble: bool, record: &Arc<Record>) -> Result<Vec<String>, String> {
    let runs = Arc::new(Runs::default());
    let log = record.clone();
    let answer: Arc<Answer> = Arc::new(move |name, request, wire| {
        thread::sleep(Duration::from_millis(20));
        let txn = request.field("x-txn").unwrap_or("");
        let length = if request.path().contains("long") { LENGTH } else { 20 };
        let mut text = format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n").into_bytes();
        text.resize(text.len() + length, b'a');
        let written = wire.write(&text);
        log.line(&format!("server {name}: answer to {txn} of {length} bytes written: {written:?}"));
        written.is_ok()
    });
    let mut entries = Vec::new();
    for number in 0..SERVERS {
        let entry = start_server(&format!("s-{number}"), runs.clone(), record.clone(), answer.clone());
        entries.push(entry.map_err(|error| error.to_string())?);
    }
    let discovery = Discovery::start(entries.clone()).map_err(|error| error.to_string())?;
    let site = Site { memory_mb: 32, sockets: 1_024, ..Site::default() };
    let node = Node::start(&site, discovery.address, &entries)?;
    let clients: Vec<_> = (0..LONG_CLIENTS + SHORT_CLIENTS)
        .map(|number| {
            let (address, record) = (node.address, record.clone());
            let pause = Some(PAUSE).filter(|_| trouble);
            thread::spawn(move || client(number, address, &record, pause))
        })
        .collect();
    let mut ends = Vec::new();
    for client in clients {
        ends.extend(client.join().map_err(|_| "a client ended early".to_owned())?);
    }
    let count = |end: &str| ends.iter().filter(|(_, is)| is.starts_with(end)).count();
    record.line(&format!(
        "SUMMARY asked {}, whole {}, cut {}, refused {}, failed {}, none {}",
        ends.len(),
        count("whole"),
        count("cut"),
        count("refused"),
        count("failed"),
        count("none")
    ));
    if count("whole") < 100 {
        return Err(format!("too little was served to judge: {}", count("whole")));
    }
    let cut = ends.iter().filter(|(_, is)| is.starts_with("cut"));
    Ok(cut.map(|(txn, is)| format!("the answer to {txn} was {is}")).collect())
}

/// One client on a kept connection. A long answer is read with one pause in its middle.
fn client(number: u64, node: SocketAddr, record: &Record, pause: Option<Duration>) -> Vec<(String, String)> {
    let (mut rng, started) = (Rng::new(100 + number), Instant::now());
    let is_long = number < LONG_CLIENTS;
    let mut ends = Vec::new();
    let mut kept: Option<Wire> = None;
    thread::sleep(Duration::from_millis(rng.below(1_000)));
    while started.elapsed() < PLAYED {
        thread::sleep(Duration::from_millis(50 + rng.below(200)));
        let was_kept = kept.is_some();
        let Some(mut wire) = kept.take().or_else(|| Wire::connect(node).ok()) else { continue };
        let _ = wire.stream.set_read_timeout(Some(Duration::from_secs(10)));
        let txn = fresh_txn();
        record.line(&format!("client {number}: asks {txn}"));
        let mut text = request_head("track-fetch", &txn, 750, 0);
        if is_long {
            text = text.replacen("/track-fetch", "/track-fetch/long", 1);
        }
        let mut head = wire.write(text.as_bytes()).and_then(|()| wire.read_head());
        if !matches!(head, Ok(Some(_))) && was_kept {
            // The close of a kept connection has crossed the request: it is sent one more time, on a new one.
            record.line(&format!("client {number}: sends {txn} one more time"));
            let Ok(new) = Wire::connect(node) else { continue };
            wire = new;
            let _ = wire.stream.set_read_timeout(Some(Duration::from_secs(10)));
            head = wire.write(text.as_bytes()).and_then(|()| wire.read_head());
        }
        let (end, keep) = match head {
            Ok(Some(mut head)) if head.status() == 200 => {
                let length: usize =
                    head.field("content-length").and_then(|text| text.parse().ok()).unwrap_or(0);
                let keep = head.field("connection").is_none_or(|value| value != "close");
                let (read, has_ended) = match is_long {
                    true => read_slowly(&mut wire, length, pause),
                    false => wire.read_body(&mut head, true).map_or((0, false), |()| (length, false)),
                };
                match read == length {
                    true => ("whole".to_owned(), keep),
                    false if has_ended => (format!("cut off after {read} of {length} bytes"), false),
                    false => (format!("none: {read} of {length} bytes"), false),
                }
            }
            Ok(Some(head)) if matches!(head.status(), 429 | 503) => ("refused".to_owned(), false),
            Ok(Some(head)) => (format!("failed {}", head.status()), false),
            Ok(None) => ("none: closed".to_owned(), false),
            Err(error) => (format!("none: {:?}", error.kind()), false),
        };
        record.line(&format!("client {number}: {txn} {end}"));
        ends.push((txn, end));
        if keep {
            kept = Some(wire);
        }
    }
    ends
}

/// Reads an answer whose bytes beyond the head follow on the connection, up to its end or that of the connection. Returns
/// how many came, and whether the connection has ended; it has not where nothing more comes for 10 s.
fn read_slowly(wire: &mut Wire, length: usize, pause: Option<Duration>) -> (usize, bool) {
    let mut piece = [0; 32_768];
    let mut read = wire.take_ahead();
    let mut pause = pause;
    while read < length {
        if read > 65_536 {
            if let Some(pause) = pause.take() {
                thread::sleep(pause);
            }
        }
        match wire.stream.read(&mut piece) {
            Ok(count) if count > 0 => read += count,
            Err(error) if error.kind() == ErrorKind::WouldBlock => return (read, false),
            _ => return (read, true),
        }
    }
    (read, false)
}
