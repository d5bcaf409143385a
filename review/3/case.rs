//! A planned restart: a node that is told to end cuts long answers that it has begun to pass on, and ends.

#[path = "../standins.rs"]
mod standins;

use std::io::Read;
use std::process::exit;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use standins::*;

const GUIDE_SERVERS: usize = 4;
const CLIENTS: usize = 4;
/// Length of an answer: under the 32 MB that the pages allow.
const ANSWER_BYTES: usize = 24 << 20;
/// What a client reads in a second: an answer takes it six seconds.
const READ_RATE: f64 = 4.0 * 1024.0 * 1024.0;
/// When the platform sends SIGTERM, after the first request.
const TERM_AFTER: Duration = Duration::from_secs(1);
/// When it sends SIGKILL, after SIGTERM. It may not before 0.75 s, the longest deadline, and 0.7 s.
const KILL_AFTER: Duration = Duration::from_secs(15);
/// Longest time that the case waits for an answer.
const PATIENCE: Duration = Duration::from_secs(40);

fn guide_server(name: String, record: Arc<Record>) -> Entry {
    let own = name.clone();
    let content = Arc::new(vec![b'a'; ANSWER_BYTES]);
    let listener = Listener::start(move |mut wire| {
        while let Ok(Some(head)) = wire.head() {
            if wire.body(&head).is_err() {
                return;
            }
            let id = head.header("x-txn").unwrap_or("").to_owned();
            record.line(&format!("{own} runs {id}"));
            thread::sleep(Duration::from_millis(30));
            match wire.send(&answer(200, "Content-Type: audio/ogg\r\n", &content)) {
                Ok(()) => record.line(&format!("{own} has written its whole answer to {id}")),
                Err(error) => {
                    record.line(&format!("{own} could not write the rest of its answer to {id}: {error}"));
                    return;
                }
            }
        }
    });
    Entry::new(&name, listener.address)
}

/// How a client's request ended.
#[derive(PartialEq)]
enum End {
    Whole,
    Cut,
    NotServed,
}

/// Sends one request and reads its answer at the rate of a slow handset.
fn client(number: usize, to: std::net::SocketAddr, record: &Record) -> End {
    let (class, remaining, body): (_, _, &[u8]) = match number % 2 {
        0 => ("tour-redeem", 600, b"ticket"),
        _ => ("track-fetch", 750, b""),
    };
    let id = fresh_id();
    let begun = Instant::now();
    record.line(&format!("client {number} sends {id} ({class})"));
    let Ok(mut wire) = Wire::connect(to) else { return End::NotServed };
    wire.timeout(PATIENCE);
    let head = wire.send(&request(class, &id, remaining, body)).and_then(|()| wire.head());
    let Ok(Some(head)) = head else {
        record.line(&format!("client {number}: {id}: no answer"));
        return End::NotServed;
    };
    record.line(&format!("client {number}: {id}: {}, {} bytes follow", head.start, head.length()));
    if head.status() != 200 {
        return End::NotServed;
    }
    let (mut got, reading) = (wire.buffered(), Instant::now());
    let mut piece = vec![0; 64 << 10];
    while got < head.length() && begun.elapsed() < PATIENCE {
        match wire.stream.read(&mut piece) {
            Ok(0) => break,
            Ok(length) => got += length,
            Err(error) => {
                record.line(&format!("client {number}: {id}: {error}"));
                break;
            }
        }
        let due = Duration::from_secs_f64(got as f64 / READ_RATE);
        thread::sleep(due.saturating_sub(reading.elapsed()));
    }
    let whole = got == head.length();
    let how = if whole { "whole" } else { "BROKEN: the connection ended before its end" };
    record.line(&format!("client {number}: {id}: {got} of {} bytes: {how}", head.length()));
    if whole {
        End::Whole
    } else {
        End::Cut
    }
}

fn run() -> i32 {
    let (root, folder) = paths();
    let record = Record::create(&folder);
    let servers: Vec<Entry> =
        (0..GUIDE_SERVERS).map(|n| guide_server(format!("s-{n}"), record.clone())).collect();
    let discovery = Discovery::start(servers.clone());
    let platform = Platform::new(&root, &discovery, servers);
    let Some(mut node) = platform.start(None, "n0") else { return COULD_NOT_RUN };
    let clients: Vec<_> = (0..CLIENTS)
        .map(|n| {
            let (to, record) = (platform.listen, record.clone());
            thread::spawn(move || client(n, to, &record))
        })
        .collect();
    let mut ended_by_itself = false;
    if trouble() {
        thread::sleep(TERM_AFTER);
        node.signal("TERM");
        record.line("the platform sends SIGTERM to the node");
        let told = Instant::now();
        while told.elapsed() < KILL_AFTER && !ended_by_itself {
            thread::sleep(Duration::from_millis(5));
            ended_by_itself = node.has_ended();
        }
        match ended_by_itself {
            true => {
                record.line(&format!("the node has ended, {} ms after SIGTERM", told.elapsed().as_millis()))
            }
            false => record.line("the platform sends SIGKILL to the node"),
        }
        node.kill();
    }
    let mut ends = Vec::new();
    for client in clients {
        let Ok(end) = client.join() else { return COULD_NOT_RUN };
        ends.push(end);
    }
    let count = |wanted: End| ends.iter().filter(|&end| *end == wanted).count();
    let (whole, cut, not_served) = (count(End::Whole), count(End::Cut), count(End::NotServed));
    let summary = format!(
        "{whole} answers whole, {cut} cut, {not_served} not served; node ended by itself: {ended_by_itself}"
    );
    record.line(&summary);
    println!("{summary}");
    if whole + cut == 0 {
        return COULD_NOT_RUN;
    }
    // What a SIGKILL cuts is not the node's fault: these requests came before SIGTERM.
    if cut > 0 && (ended_by_itself || !trouble()) {
        BROKEN
    } else {
        HELD
    }
}

fn main() {
    exit(run());
}
