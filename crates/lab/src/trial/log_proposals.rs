//! Proposes values to the replicated log of node processes and checks the invariants of the resulting history.

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

const PROPOSAL_INTERVAL: Duration = Duration::from_millis(150);
const PROPOSAL_TIMEOUT: Duration = Duration::from_secs(13); // longer than the log's own timeout
const CONVERGENCE_TIMEOUT: Duration = Duration::from_secs(20); // for all nodes to apply the last commands
const KEY_COUNT: u32 = 4;

/// A proposal as its client saw it.
#[derive(Clone, Debug)]
struct Proposal {
    id: u128,
    key: String,
    expect: Option<u64>,
    began: Instant,
    ended: Option<(Instant, Option<u64>)>, // end and confirmed revision; no revision: the command was refused
}

/// The outcome of all proposals.
pub struct Outcome {
    /// A summary in one line.
    pub text: String,
    /// Violated invariants, each with a description of the violation.
    pub violations: Vec<(&'static str, String)>,
}

/// A background task that proposes values through randomly chosen consoles until [`Proposals::finish`].
pub struct Proposals {
    consoles: Vec<SocketAddr>,
    ops: Arc<Mutex<Vec<Proposal>>>,
    tasks: JoinSet<()>,
}

/// Returns the `[fleet.log]` table of a node's configuration.
pub fn configuration_table(log: &Log) -> String {
    let candidates: Vec<String> = (0..log.candidates).map(|node| format!("\"n{node}\"")).collect();
    let durability = if log.durable { "disk" } else { "none" };
    format!(
        "[fleet.log]\ncandidates = [{}]\nvoters = {}\ndurability = \"{durability}\"\n",
        candidates.join(", "),
        log.voters
    )
}

impl Proposals {
    /// Starts to propose. `seed` determines keys, ids and the choice of consoles.
    pub fn start(consoles: Vec<SocketAddr>, seed: u64) -> Self {
        let ops: Arc<Mutex<Vec<Proposal>>> = Arc::default();
        let mut tasks = JoinSet::new();
        let (at, recorded) = (consoles.clone(), ops.clone());
        tasks.spawn(async move {
            let mut stream = Seed(seed).stream("proposals", 0);
            let mut in_flight = JoinSet::new();
            loop {
                while in_flight.try_join_next().is_some() {}
                let (to, key) = (stream.random_range(0..at.len()), stream.random_range(0..KEY_COUNT));
                let key = format!("k{key}");
                let id = stream.random::<u128>() | 1;
                let (compares, sent_twice) = (stream.random::<bool>(), stream.random_range(0..5) == 0);
                let (at, recorded) = (at.clone(), recorded.clone());
                in_flight.spawn(async move {
                    let seen = if compares { fetch_view(at[to]).await } else { None };
                    let expect = seen.map(|seen| seen.values.get(&key).map_or(0, |value| value.0));
                    let nodes = if sent_twice { vec![to, (to + 1) % at.len()] } else { vec![to] };
                    let mut calls = JoinSet::new();
                    for node in nodes {
                        calls.spawn(propose(at[node], id, key.clone(), expect, recorded.clone()));
                    }
                    while calls.join_next().await.is_some() {}
                });
                sleep(PROPOSAL_INTERVAL).await;
            }
        });
        Proposals { consoles, ops, tasks }
    }

    /// Stops proposing, checks that the nodes in `up` still apply new commands, and checks the history's invariants.
    pub async fn finish(mut self, up: Vec<usize>) -> Outcome {
        self.tasks.shutdown().await;
        let mut violations = Vec::new();
        let last_ids: Vec<u128> = (0..up.len() as u128).map(|n| (0xe << 100) + n + 1).collect();
        let mut last_proposals = JoinSet::new();
        for (&node, id) in up.iter().zip(&last_ids) {
            let at = self.consoles[node];
            last_proposals.spawn(propose(at, *id, format!("last-{node}"), None, self.ops.clone()));
        }
        while last_proposals.join_next().await.is_some() {}
        let begun = Instant::now();
        let views = loop {
            let mut views = Vec::new();
            for &node in &up {
                views.push((node, fetch_view(self.consoles[node]).await));
            }
            let has_all = |(_, seen): &(usize, Option<LogView>)| {
                let seen = seen.as_ref();
                seen.is_some_and(|seen| {
                    up.iter().all(|node| seen.values.contains_key(&format!("last-{node}")))
                })
            };
            if views.iter().all(has_all) {
                break views;
            }
            if begun.elapsed() > CONVERGENCE_TIMEOUT {
                let states: Vec<String> = views
                    .iter()
                    .map(|(node, seen)| {
                        format!(
                            "n{node}: {:?}",
                            seen.as_ref().map(|seen| (seen.epoch, seen.index, &seen.voters))
                        )
                    })
                    .collect();
                violations.push(("agreement goes on", states.join(", ")));
                break views;
            }
            sleep(PROPOSAL_INTERVAL).await;
        };
        let ops = self.ops.lock().unwrap_or_else(PoisonError::into_inner).clone();
        check_history(&ops, &views, &mut violations);
        let confirmed = ops.iter().filter(|op| matches!(op.ended, Some((_, Some(_))))).count();
        let unknown = ops.iter().filter(|op| op.ended.is_none()).count();
        let index =
            views.iter().filter_map(|(_, seen)| seen.as_ref()).map(|seen| seen.index).max().unwrap_or(0);
        let text = format!(
            "agreed log: {} proposals, {confirmed} confirmed, {unknown} unanswered, {index} entries",
            ops.len()
        );
        Outcome { text, violations }
    }
}

/// Checks the history against the log's invariants. Revisions are positions in one total order, so a history is
/// linearizable exactly when each revision belongs to one command, a command that ended before another began has the
/// lower revision, and each compare-and-set found the revision that it expected on its key.
fn check_history(
    ops: &[Proposal], views: &[(usize, Option<LogView>)], violations: &mut Vec<(&'static str, String)>,
) {
    let mut by_revision: BTreeMap<u64, &Proposal> = BTreeMap::new();
    for op in ops {
        let Some((_, Some(revision))) = op.ended else { continue };
        match by_revision.insert(revision, op) {
            Some(other) if other.id != op.id => {
                violations.push((
                    "linearizable",
                    format!("revision {revision} was confirmed for both {op:?} and {other:?}"),
                ));
            }
            _ => {}
        }
    }
    let done: Vec<(u64, &Proposal)> = by_revision.iter().map(|(revision, op)| (*revision, *op)).collect();
    for (n, (revision, op)) in done.iter().enumerate() {
        // Finds a command with a lower revision that began after this one had ended.
        let Some(ended) = op.ended.map(|(at, _)| at) else { continue };
        let before = done[..n].iter().find(|(_, earlier)| ended < earlier.began);
        if let Some((earlier, of)) = before {
            violations.push((
                "linearizable",
                format!("revision {revision} ended before revision {earlier} began: {op:?}, {of:?}"),
            ));
        }
        if let Some(expect) = op.expect {
            let on_key = done[..n].iter().rev().find(|(_, earlier)| earlier.key == op.key);
            if let Some((found, by)) = on_key.filter(|(found, _)| *found > expect) {
                violations.push((
                    "linearizable",
                    format!(
                        "revision {revision} expected revision {expect} and replaced {found}: {op:?}, {by:?}"
                    ),
                ));
            }
        }
    }
    for (node, seen) in views {
        let Some(seen) = seen else { continue };
        for (revision, op) in done.iter().filter(|(revision, _)| *revision <= seen.index) {
            let stored = seen.values.get(&op.key).map_or(0, |value| value.0);
            if stored < *revision {
                violations.push((
                    "confirmed is kept",
                    format!("n{node} has revision {stored} of {}; revision {revision} was confirmed", op.key),
                ));
            }
        }
        let same = views.iter().filter_map(|(other, of)| Some((other, of.as_ref()?)));
        for (other, of) in same.filter(|(_, of)| of.index == seen.index && of.epoch == seen.epoch) {
            if of.values != seen.values {
                violations.push((
                    "copies are alike",
                    format!("n{node} and n{other} have different values at index {}", seen.index),
                ));
            }
        }
    }
}

async fn propose(at: SocketAddr, id: u128, key: String, expect: Option<u64>, ops: Arc<Mutex<Vec<Proposal>>>) {
    let lock = || ops.lock().unwrap_or_else(PoisonError::into_inner);
    let place = {
        let mut ops = lock();
        ops.push(Proposal { id, key: key.clone(), expect, began: Instant::now(), ended: None });
        ops.len() - 1
    };
    let body =
        json!({"id": format!("{id:x}"), "key": key, "value": format!("{id}"), "expect": expect}).to_string();
    let call =
        format!("POST /fleet/log HTTP/1.1\r\nHost: {at}\r\nContent-Length: {}\r\n\r\n{body}", body.len());
    let Some((status, body)) = timeout(PROPOSAL_TIMEOUT, http_call(at, &call)).await.ok().flatten() else {
        return;
    };
    let ended = match status.as_str() {
        "200" => body.trim().parse().ok().map(Some),
        "409" => Some(None),
        _ => None,
    };
    lock()[place].ended = ended.map(|revision| (Instant::now(), revision));
}

async fn fetch_view(at: SocketAddr) -> Option<LogView> {
    let call = format!("GET /fleet/log HTTP/1.1\r\nHost: {at}\r\n\r\n");
    let (status, body) = timeout(Duration::from_secs(1), http_call(at, &call)).await.ok().flatten()?;
    (status == "200").then(|| serde_json::from_str(&body).ok())?
}

async fn http_call(at: SocketAddr, call: &str) -> Option<(String, String)> {
    debug_assert!(at.ip().is_loopback());
    let mut stream = TcpStream::connect(at).await.ok()?;
    stream.write_all(call.as_bytes()).await.ok()?;
    let mut text = String::new();
    stream.read_to_string(&mut text).await.ok()?;
    let (head, body) = text.split_once("\r\n\r\n")?;
    Some((head.split(' ').nth(1)?.to_owned(), body.to_owned()))
}
