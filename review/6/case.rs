//! Long uploads in pieces, more at once than memory holds: is a request that was refused run all the same?

#[path = "../standins-2.rs"]
mod standins;

use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use standins::*;

const SERVERS: usize = 4;
/// Within a third of 256 descriptors.
const CLIENTS: u64 = 80;
const PLAYED: Duration = Duration::from_secs(20);
const LENGTH: usize = 200_000;

fn main() {
    play(case);
}

fn case(trouble: bool, record: &Arc<Record>) -> Result<Vec<String>, String> {
    let runs = Arc::new(Runs::default());
    let answer: Arc<Answer> = Arc::new(|name, request, wire| {
        thread::sleep(Duration::from_millis(40));
        let txn = request.field("x-txn").unwrap_or("");
        wire.write(answer_text(&format!("made by {name} for {txn}")).as_bytes()).is_ok()
    });
    let mut entries = Vec::new();
    for number in 0..SERVERS {
        let entry = start_server(&format!("s-{number}"), runs.clone(), record.clone(), answer.clone());
        entries.push(entry.map_err(|error| error.to_string())?);
    }
    let discovery = Discovery::start(entries.clone()).map_err(|error| error.to_string())?;
    let site = Site { memory_mb: 32, sockets: 256, ..Site::default() };
    let node = Node::start(&site, discovery.address, &entries)?;
    let link =
        start_slow_link(node.address, LENGTH, (200, 450), trouble).map_err(|error| error.to_string())?;
    let tallies: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let record = record.clone();
            thread::spawn(move || client(number, link, &record))
        })
        .collect();
    let mut asked = Vec::new();
    for tally in tallies {
        asked.extend(tally.join().map_err(|_| "a client ended early".to_owned())?);
    }
    thread::sleep(Duration::from_secs(1)); // what arrives late shows as well
    let with = |statuses: &[u16]| asked.iter().filter(|(_, status)| statuses.contains(status)).count();
    let (served, refused) = (with(&[200]), with(&[429, 503]));
    let refused_and_run: Vec<_> = asked
        .iter()
        .filter(|(_, status)| matches!(status, 429 | 503))
        .map(|(txn, status)| (txn, status, runs.of(txn)))
        .filter(|(_, _, at)| !at.is_empty())
        .collect();
    record.line(&format!(
        "SUMMARY asked {}, served {served}, refused {refused}, refused and run {}, run {}",
        asked.len(),
        refused_and_run.len(),
        runs.count()
    ));
    if served < 200 {
        return Err(format!("too little was served to judge: {served}"));
    }
    let describe = |(txn, status, at): (&String, &u16, Vec<String>)| {
        format!("tour-redeem {txn} was answered {status} and run at {}", at.join(", "))
    };
    Ok(refused_and_run.into_iter().map(describe).collect())
}

/// One client: it writes a long request at once on its kept connection, and then reads the answer.
fn client(number: u64, link: std::net::SocketAddr, record: &Record) -> Vec<(String, u16)> {
    let (mut rng, started) = (Rng::new(100 + number), Instant::now());
    let mut asked = Vec::new();
    let mut kept: Option<Wire> = None;
    let body = vec![b'x'; LENGTH];
    while started.elapsed() < PLAYED {
        thread::sleep(Duration::from_millis(50 + rng.below(200)));
        let Some(mut wire) = kept.take().or_else(|| Wire::connect(link).ok()) else { continue };
        let _ = wire.stream.set_read_timeout(Some(Duration::from_secs(4)));
        let txn = fresh_txn();
        record.line(&format!("client {number}: asks {txn}"));
        let mut text = request_head("tour-redeem", &txn, 750, LENGTH).into_bytes();
        text.extend(&body);
        let written = wire.write(&text);
        if let Err(error) = &written {
            record.line(&format!("client {number}: {txn} not written whole: {}", error.kind()));
        }
        let status = match wire.read_message() {
            Ok(Some(answer)) => {
                if written.is_ok() && answer.field("connection").is_none_or(|value| value != "close") {
                    kept = Some(wire);
                }
                answer.status()
            }
            _ => 0,
        };
        record.line(&format!("client {number}: {txn} answered {status}"));
        asked.push((txn, status));
    }
    asked
}
