//! A tour-redeem with a long body and trailers has run when its connection breaks: the node says that trying again is
//! harmless, and it runs twice.

#[path = "../standins.rs"]
mod standins;

use std::collections::HashMap;
use std::net::SocketAddr;
use std::process::exit;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use standins::*;

const GUIDE_SERVERS: u64 = 4;
const CLIENTS: u64 = 8;
const LENGTH: Duration = Duration::from_secs(30);
/// One in so many requests that have run is answered by the end of its connection.
const ENDED: u64 = 20;
/// The body of a tour-redeem: a ticket with a recorded note, over the 64 KiB that a node may hold back.
const NOTE_BYTES: usize = 100_000;
const CHUNK_BYTES: usize = 8_000;
/// A client waits so long for all its tries together, and tries so often.
const GIVE_UP: Duration = Duration::from_millis(600);
const TRIES: u32 = 4;

/// Which tickets have run, and how often.
type Redeemed = Arc<Mutex<HashMap<String, u32>>>;

/// A guide server with one core. Only the ends of its connections are not sound.
fn guide_server(name: String, redeemed: Redeemed, record: Arc<Record>) -> Entry {
    let own = name.clone();
    let core = Arc::new(Mutex::new(Random(name.bytes().map(u64::from).sum())));
    let listener = Listener::start(move |mut wire| {
        while let Ok(Some(head)) = wire.head() {
            let id = head.header("x-txn").unwrap_or("").to_owned();
            // The request runs once its last byte has arrived, and not before.
            let Ok(body) = wire.body(&head) else { return };
            let text = String::from_utf8_lossy(&body[..body.len().min(40)]).into_owned();
            let ticket = text.split('.').next().unwrap_or("").to_owned();
            let ends = {
                let mut core = core.lock().unwrap(); // one request at a time
                let times = {
                    let mut redeemed = redeemed.lock().unwrap();
                    let times = redeemed.entry(ticket.clone()).or_insert(0);
                    *times += 1;
                    *times
                };
                record.line(&format!("{own} runs {id}: {ticket}, {} bytes, time {times}", body.len()));
                if times > 1 {
                    record.line(&format!("BROKEN {ticket} has run {times} times"));
                }
                thread::sleep(Duration::from_millis(25 + core.below(20)));
                trouble() && core.below(ENDED) == 0
            };
            if ends {
                record.line(&format!("{own} ends the connection of {id}, which has run"));
                return;
            }
            if wire.send(&answer(200, "Content-Type: text/plain\r\n", ticket.as_bytes())).is_err() {
                return;
            }
        }
    });
    Entry::new(&name, listener.address)
}

/// A chunked tour-redeem with a trailer.
fn redeem(ticket: &str, id: &str, remaining: Duration) -> Vec<u8> {
    let mut body = format!("{ticket}.").into_bytes();
    body.resize(NOTE_BYTES, b'n');
    let mut text = format!(
        "POST /tour-redeem?sid=7f3a HTTP/1.1\r\nHost: service.internal\r\nX-Txn: {id}\r\nX-Lane: tour-redeem\r\n\
         X-Org: harbour-museum\r\nX-Remaining-Ms: {}\r\nTrailer: X-Note-Sum\r\nTransfer-Encoding: chunked\r\n\r\n",
        remaining.as_millis()
    )
    .into_bytes();
    for piece in body.chunks(CHUNK_BYTES) {
        text.extend_from_slice(format!("{:x}\r\n", piece.len()).as_bytes());
        text.extend_from_slice(piece);
        text.extend_from_slice(b"\r\n");
    }
    text.extend_from_slice(b"0\r\nX-Note-Sum: 5d41402a\r\n\r\n");
    text
}

/// How a client's answers came out.
#[derive(Default)]
struct Counts {
    tickets: u32,
    served: u32,
    refused: u32,
    failed: u32,
}

/// A client redeems one ticket after the other. It tries a ticket again only after a refusal, 429 or 503: the protocol
/// page calls that harmless.
fn client(number: u64, to: SocketAddr, record: &Record) -> Counts {
    let mut random = Random(number + 1);
    let mut counts = Counts::default();
    let until = Instant::now() + LENGTH;
    while Instant::now() < until {
        counts.tickets += 1;
        let ticket = format!("ticket {number}-{}", counts.tickets);
        let begun = Instant::now();
        for _ in 0..TRIES {
            let left = GIVE_UP.saturating_sub(begun.elapsed());
            if left.as_millis() == 0 {
                break;
            }
            let id = fresh_id();
            let Ok(mut wire) = Wire::connect(to) else { break };
            wire.timeout(Duration::from_secs(3));
            record.line(&format!("client {number} sends {id}: {ticket}"));
            let answered = wire.send(&redeem(&ticket, &id, left)).and_then(|()| wire.answer());
            let status = answered.as_ref().map_or(0, |(head, _)| head.status());
            record.line(&format!("client {number}: {id} is answered: {status}"));
            match status {
                200 => counts.served += 1,
                429 | 503 => {
                    counts.refused += 1;
                    let wait = answered.ok().and_then(|(head, _)| head.header("retry-after")?.parse().ok());
                    thread::sleep(Duration::from_secs_f64(wait.unwrap_or(0.0)));
                    continue;
                }
                _ => counts.failed += 1,
            }
            break;
        }
        thread::sleep(Duration::from_millis(random.below(150)));
    }
    counts
}

fn run() -> i32 {
    let (root, folder) = paths();
    let record = Record::create(&folder);
    let redeemed = Redeemed::default();
    let servers: Vec<Entry> = (0..GUIDE_SERVERS)
        .map(|n| guide_server(format!("s-{n}"), redeemed.clone(), record.clone()))
        .collect();
    let discovery = Discovery::start(servers.clone());
    let platform = Platform::new(&root, &discovery, servers);
    let Some(_node) = platform.start(None, "n0") else { return COULD_NOT_RUN };
    let clients: Vec<_> = (0..CLIENTS)
        .map(|n| {
            let (to, record) = (platform.listen, record.clone());
            thread::spawn(move || client(n, to, &record))
        })
        .collect();
    let mut all = Counts::default();
    for client in clients {
        let Ok(counts) = client.join() else { return COULD_NOT_RUN };
        all.tickets += counts.tickets;
        all.served += counts.served;
        all.refused += counts.refused;
        all.failed += counts.failed;
    }
    let redeemed = redeemed.lock().unwrap();
    let more = redeemed.values().filter(|&&times| times > 1).count();
    let summary = format!(
        "{} tickets, {} served, {} tries refused, {} failed; {} tickets have run, {more} of them more than once",
        all.tickets,
        all.served,
        all.refused,
        all.failed,
        redeemed.len()
    );
    record.line(&summary);
    println!("{summary}");
    match (all.served, more) {
        (0, _) => COULD_NOT_RUN,
        (_, 0) => HELD,
        _ => BROKEN,
    }
}

fn main() {
    exit(run());
}
