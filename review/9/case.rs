//! A planned restart while guide servers hang: are long requests answered whose last byte comes after SIGTERM?

#[path = "../standins-2.rs"]
mod standins;

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use standins::*;

const ROUNDS: u64 = 4;
const SERVERS: usize = 4;
const CLIENTS: u64 = 24;
/// 100 kB a second: the protocol allows 64.
const PIECES: usize = 15;
const PIECE: usize = 10_000;
const PIECE_INTERVAL: Duration = Duration::from_millis(100);
/// The longest deadline of the settings.
const DEADLINE_MS: u64 = 750;
/// SIGKILL comes no sooner than the longest deadline and 0.7 s after SIGTERM; 50 ms are added to each limit.
const KILL_AFTER: Duration = Duration::from_millis(DEADLINE_MS + 700 + 50);
/// What came more than 0.7 s after SIGTERM is lost if SIGKILL finds it unanswered; 50 ms are added to each limit.
const CAME_AFTER: Duration = Duration::from_millis(700 + 50);

fn main() {
    play(case);
}

fn case(trouble: bool, record: &Arc<Record>) -> Result<Vec<String>, String> {
    let mut broken = Vec::new();
    for round in 0..ROUNDS {
        broken.extend(play_round(round, trouble, record)?);
    }
    Ok(broken)
}

fn play_round(round: u64, trouble: bool, record: &Arc<Record>) -> Result<Vec<String>, String> {
    let text = |error: std::io::Error| error.to_string();
    let (runs, hang) = (Arc::new(Runs::default()), Arc::new(AtomicBool::new(false)));
    let hangs = hang.clone();
    let answer: Arc<Answer> = Arc::new(move |name, request, wire| {
        // Half of the guide servers hang from SIGTERM on: what they have is never answered.
        while matches!(name, "s-0" | "s-1") && hangs.load(Ordering::Relaxed) {
            thread::sleep(Duration::from_millis(10));
        }
        thread::sleep(Duration::from_millis(40));
        let txn = request.field("x-txn").unwrap_or("");
        wire.write(answer_text(&format!("made by {name} for {txn}")).as_bytes()).is_ok()
    });
    let mut entries = Vec::new();
    for number in 0..SERVERS {
        entries.push(
            start_server(&format!("s-{number}"), runs.clone(), record.clone(), answer.clone())
                .map_err(text)?,
        );
    }
    let discovery = Discovery::start(entries.clone()).map_err(text)?;
    let site = Site { give_up_ms: DEADLINE_MS, ..Site::default() };
    let mut node = Node::start(&site, discovery.address, &entries)?;
    let begun = Instant::now();
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let (address, record) = (node.address, record.clone());
            thread::spawn(move || client(number, address, &record, begun))
        })
        .collect();
    // The uploads begin 0.6 to 1 s after the clients and take 1.4 s.
    thread::sleep(Duration::from_millis(1_200));
    hang.store(trouble, Ordering::Relaxed);
    node.signal("TERM");
    let stopped = Instant::now();
    record.line(&format!("round {round}: SIGTERM"));
    thread::sleep(KILL_AFTER.saturating_sub(stopped.elapsed()));
    record.line(&format!("round {round}: SIGKILL, unless it has ended: {}", node.has_ended()));
    node.signal("KILL");
    let mut broken = Vec::new();
    let (mut judged, mut answered) = (0, 0);
    for client in clients {
        let Some(end) = client.join().map_err(|_| "a client ended early".to_owned())? else { continue };
        let came = end.last_byte.saturating_duration_since(stopped);
        if came < CAME_AFTER || came > KILL_AFTER - Duration::from_millis(100) {
            continue;
        }
        judged += 1;
        match end.status {
            Some(_) => answered += 1,
            None => broken.push(format!(
                "round {round}: {} had its last byte {} ms after SIGTERM and no answer {} ms after it",
                end.txn,
                came.as_millis(),
                end.ended.saturating_duration_since(stopped).as_millis()
            )),
        }
    }
    hang.store(false, Ordering::Relaxed);
    record
        .line(&format!("SUMMARY round {round}: judged {judged}, answered {answered}, lost {}", broken.len()));
    if judged < 5 {
        return Err(format!("too few requests came after SIGTERM to judge: {judged}"));
    }
    Ok(broken)
}

struct End {
    txn: String,
    last_byte: Instant,
    status: Option<u16>,
    ended: Instant,
}

/// One client: a short request on its connection, then a long one in pieces.
fn client(number: u64, node: SocketAddr, record: &Record, begun: Instant) -> Option<End> {
    let mut rng = Rng::new(100 + number);
    let mut wire = Wire::connect(node).ok()?;
    let _ = wire.stream.set_read_timeout(Some(Duration::from_secs(4)));
    thread::sleep(Duration::from_millis(rng.below(300)));
    let short = request_head("track-fetch", &fresh_txn(), DEADLINE_MS, 0);
    wire.write(short.as_bytes()).ok()?;
    wire.read_message().ok()??;
    let starts = Duration::from_millis(600 + rng.below(400));
    thread::sleep((begun + starts).saturating_duration_since(Instant::now()));
    let txn = fresh_txn();
    record.line(&format!("client {number}: asks {txn}"));
    wire.write(request_head("tour-redeem", &txn, DEADLINE_MS, PIECES * PIECE).as_bytes()).ok()?;
    for piece in 0..PIECES {
        if piece > 0 {
            thread::sleep(PIECE_INTERVAL);
        }
        if let Err(error) = wire.write(&[b'x'; PIECE]) {
            record.line(&format!("client {number}: {txn} not written whole: {}", error.kind()));
            return None;
        }
    }
    let last_byte = Instant::now();
    record.line(&format!("client {number}: {txn} written whole"));
    let status = wire.read_message().ok().flatten().map(|answer| answer.status());
    record.line(&format!("client {number}: {txn} answered {status:?}"));
    Some(End { txn, last_byte, status, ended: Instant::now() })
}
