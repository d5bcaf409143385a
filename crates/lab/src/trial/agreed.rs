//! Proposals to the agreed log of processes, and what has to hold of their history.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use merlinfold_fault_injection::scenario::Log;
use merlinfold_fleet::LogView;
use merlinfold_simulation::seed::Seed;
use rand::Rng;
use serde_json::json;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout, Instant};

const EVERY: Duration = Duration::from_millis(150);
const ANSWER: Duration = Duration::from_secs(13); // beyond what the log itself waits
const SETTLE: Duration = Duration::from_secs(20); // until all hold the last command
const KEYS: u32 = 4;

/// One proposal.
#[derive(Clone, Debug)]
struct Op {
    id: u128,
    key: String,
    expect: Option<u64>,
    began: Instant,
    ended: Option<(Instant, Option<u64>)>, // with the revision that was confirmed; none: set aside
}

/// What came of all of them.
pub struct Told {
    /// In a line.
    pub text: String,
    /// Laws that were broken, and how.
    pub broken: Vec<(&'static str, String)>,
}

/// Proposes through all consoles in turn until it is told to finish.
pub struct Proposals {
    consoles: Vec<SocketAddr>,
    ops: Arc<Mutex<Vec<Op>>>,
    tasks: JoinSet<()>,
}

/// The log's table of a node's configuration.
pub fn table(log: &Log) -> String {
    let candidates: Vec<String> = (0..log.candidates).map(|node| format!("\"n{node}\"")).collect();
    let durability = if log.durable { "disk" } else { "none" };
    format!(
        "[fleet.log]\ncandidates = [{}]\nvoters = {}\ndurability = \"{durability}\"\n",
        candidates.join(", "),
        log.voters
    )
}

impl Proposals {
    /// Begins.
    pub fn start(consoles: Vec<SocketAddr>, seed: u64) -> Self {
        let ops: Arc<Mutex<Vec<Op>>> = Arc::default();
        let mut tasks = JoinSet::new();
        let (at, all) = (consoles.clone(), ops.clone());
        tasks.spawn(async move {
            let mut stream = Seed(seed).stream("proposals", 0);
            let mut under_way = JoinSet::new();
            loop {
                while under_way.try_join_next().is_some() {}
                let (to, key) = (stream.random_range(0..at.len()), stream.random_range(0..KEYS));
                let key = format!("k{key}");
                let id = stream.random::<u128>() | 1;
                let (compares, again) = (stream.random::<bool>(), stream.random_range(0..5) == 0);
                let (at, all) = (at.clone(), all.clone());
                under_way.spawn(async move {
                    let seen = if compares { view(at[to]).await } else { None };
                    let expect = seen.map(|seen| seen.values.get(&key).map_or(0, |value| value.0));
                    let nodes = if again { vec![to, (to + 1) % at.len()] } else { vec![to] };
                    let mut both = JoinSet::new();
                    for node in nodes {
                        both.spawn(propose(at[node], id, key.clone(), expect, all.clone()));
                    }
                    while both.join_next().await.is_some() {}
                });
                sleep(EVERY).await;
            }
        });
        Proposals { consoles, ops, tasks }
    }

    /// Ends, asks whether these nodes still agree, and judges.
    pub async fn finish(mut self, up: Vec<usize>) -> Told {
        self.tasks.shutdown().await;
        let mut broken = Vec::new();
        let last: Vec<u128> = (0..up.len() as u128).map(|n| (0xe << 100) + n + 1).collect();
        let mut asked = JoinSet::new();
        for (&node, id) in up.iter().zip(&last) {
            let at = self.consoles[node];
            asked.spawn(propose(at, *id, format!("last-{node}"), None, self.ops.clone()));
        }
        while asked.join_next().await.is_some() {}
        let begun = Instant::now();
        let views = loop {
            let mut views = Vec::new();
            for &node in &up {
                views.push((node, view(self.consoles[node]).await));
            }
            let all = |(_, seen): &(usize, Option<LogView>)| {
                let seen = seen.as_ref();
                seen.is_some_and(|seen| {
                    up.iter().all(|node| seen.values.contains_key(&format!("last-{node}")))
                })
            };
            if views.iter().all(all) {
                break views;
            }
            if begun.elapsed() > SETTLE {
                let states: Vec<String> = views
                    .iter()
                    .map(|(node, seen)| {
                        format!(
                            "n{node}: {:?}",
                            seen.as_ref().map(|seen| (seen.epoch, seen.index, &seen.voters))
                        )
                    })
                    .collect();
                broken.push(("agreement goes on", states.join(", ")));
                break views;
            }
            sleep(EVERY).await;
        };
        let ops = self.ops.lock().unwrap_or_else(PoisonError::into_inner).clone();
        judge(&ops, &views, &mut broken);
        let confirmed = ops.iter().filter(|op| matches!(op.ended, Some((_, Some(_))))).count();
        let unknown = ops.iter().filter(|op| op.ended.is_none()).count();
        let index =
            views.iter().filter_map(|(_, seen)| seen.as_ref()).map(|seen| seen.index).max().unwrap_or(0);
        let text = format!(
            "agreed log: {} proposals, {confirmed} confirmed, {unknown} unanswered, {index} entries",
            ops.len()
        );
        Told { text, broken }
    }
}

/// Revisions are places in one order, so a history is linearizable just when they are one each, keep to the order of
/// what ended before something else began, and each that compared found the one before it on its key.
fn judge(ops: &[Op], views: &[(usize, Option<LogView>)], broken: &mut Vec<(&'static str, String)>) {
    let mut by_revision: BTreeMap<u64, &Op> = BTreeMap::new();
    for op in ops {
        let Some((_, Some(revision))) = op.ended else { continue };
        match by_revision.insert(revision, op) {
            Some(other) if other.id != op.id => {
                broken.push(("linearizable", format!("{revision} is both {op:?} and {other:?}")));
            }
            _ => {}
        }
    }
    let done: Vec<(u64, &Op)> = by_revision.iter().map(|(revision, op)| (*revision, *op)).collect();
    for (n, (revision, op)) in done.iter().enumerate() {
        // A later place that was confirmed before this one was asked for.
        let Some(ended) = op.ended.map(|(at, _)| at) else { continue };
        let before = done[..n].iter().find(|(_, earlier)| ended < earlier.began);
        if let Some((earlier, of)) = before {
            broken.push(("linearizable", format!("{revision} ended before {earlier} began: {op:?}, {of:?}")));
        }
        if let Some(expect) = op.expect {
            let on_key = done[..n].iter().rev().find(|(_, earlier)| earlier.key == op.key);
            if let Some((found, by)) = on_key.filter(|(found, _)| *found > expect) {
                broken.push((
                    "linearizable",
                    format!("{revision} expected {expect}, and {found} was there: {op:?}, {by:?}"),
                ));
            }
        }
    }
    for (node, seen) in views {
        let Some(seen) = seen else { continue };
        for (revision, op) in done.iter().filter(|(revision, _)| *revision <= seen.index) {
            let held = seen.values.get(&op.key).map_or(0, |value| value.0);
            if held < *revision {
                broken.push((
                    "confirmed is kept",
                    format!("n{node} holds {held} of {}, {revision} was confirmed", op.key),
                ));
            }
        }
        let same = views.iter().filter_map(|(other, of)| Some((other, of.as_ref()?)));
        for (other, of) in same.filter(|(_, of)| of.index == seen.index && of.epoch == seen.epoch) {
            if of.values != seen.values {
                broken.push(("copies are alike", format!("n{node} and n{other} differ at {}", seen.index)));
            }
        }
    }
}

async fn propose(at: SocketAddr, id: u128, key: String, expect: Option<u64>, ops: Arc<Mutex<Vec<Op>>>) {
    let lock = || ops.lock().unwrap_or_else(PoisonError::into_inner);
    let place = {
        let mut ops = lock();
        ops.push(Op { id, key: key.clone(), expect, began: Instant::now(), ended: None });
        ops.len() - 1
    };
    let body =
        json!({"id": format!("{id:x}"), "key": key, "value": format!("{id}"), "expect": expect}).to_string();
    let call =
        format!("POST /fleet/log HTTP/1.1\r\nHost: {at}\r\nContent-Length: {}\r\n\r\n{body}", body.len());
    let Some((status, body)) = timeout(ANSWER, ask(at, &call)).await.ok().flatten() else { return };
    let ended = match status.as_str() {
        "200" => body.trim().parse().ok().map(Some),
        "409" => Some(None),
        _ => None,
    };
    lock()[place].ended = ended.map(|revision| (Instant::now(), revision));
}

async fn view(at: SocketAddr) -> Option<LogView> {
    let call = format!("GET /fleet/log HTTP/1.1\r\nHost: {at}\r\n\r\n");
    let (status, body) = timeout(Duration::from_secs(1), ask(at, &call)).await.ok().flatten()?;
    (status == "200").then(|| serde_json::from_str(&body).ok())?
}

async fn ask(at: SocketAddr, call: &str) -> Option<(String, String)> {
    debug_assert!(at.ip().is_loopback());
    let mut stream = TcpStream::connect(at).await.ok()?;
    stream.write_all(call.as_bytes()).await.ok()?;
    let mut text = String::new();
    stream.read_to_string(&mut text).await.ok()?;
    let (head, body) = text.split_once("\r\n\r\n")?;
    Some((head.split(' ').nth(1)?.to_owned(), body.to_owned()))
}
