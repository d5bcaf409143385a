//! What clients sent and servers got, by transaction id, and the rules that both together show to be broken.

use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// No attempt begins later than this after its client has left, with what a busy machine adds to two clocks.
const LATEST_START_AFTER_LEAVING: Duration = Duration::from_millis(150);
/// How many violations of one kind are listed.
const MAX_LISTED: usize = 8;

/// Requests by transaction id.
pub struct Ledger {
    started: Instant,
    requests: Mutex<HashMap<u64, Record>>,
    reported: Mutex<Vec<String>>,
    kills: Mutex<Vec<Instant>>,
    is_out: AtomicBool,
    next: AtomicU64,
}

#[derive(Default)]
struct Record {
    runs: u32,
    begun: Vec<Instant>,
    left: Option<Instant>,
}

impl Default for Ledger {
    fn default() -> Self {
        Ledger {
            started: Instant::now(),
            requests: Mutex::default(),
            reported: Mutex::default(),
            kills: Mutex::default(),
            is_out: AtomicBool::new(false),
            next: AtomicU64::default(),
        }
    }
}

impl Ledger {
    /// Returns a fresh transaction id.
    pub fn new_id(&self) -> u64 {
        self.next.fetch_add(1, Ordering::Relaxed)
    }

    fn requests(&self) -> MutexGuard<'_, HashMap<u64, Record>> {
        self.requests.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records that an attempt for a request has begun to arrive at a server.
    pub fn begun(&self, id: u64, at: Instant) {
        self.requests().entry(id).or_default().begun.push(at);
    }

    /// Records that a server has received the whole of a request, and runs it.
    pub fn ran(&self, id: u64) {
        self.requests().entry(id).or_default().runs += 1;
    }

    /// Records that the client of a request has closed its connection.
    pub fn left(&self, id: u64, at: Instant) {
        self.requests().entry(id).or_default().left.get_or_insert(at);
    }

    /// Records whether the node gets new connections: the platform sends none while no process of it is ready.
    pub fn set_out(&self, is_out: bool) {
        self.is_out.store(is_out, Ordering::Relaxed);
    }

    /// Returns whether the node gets no new connections.
    pub fn is_out(&self) -> bool {
        self.is_out.load(Ordering::Relaxed)
    }

    /// Records a violation that a client has seen by itself.
    pub fn report(&self, violation: String) {
        let violation = format!("{violation}, {:.3} s after the start", self.started.elapsed().as_secs_f64());
        self.reported.lock().unwrap_or_else(PoisonError::into_inner).push(violation);
    }

    /// Records that a running process was killed.
    pub fn killed(&self, at: Instant) {
        self.kills.lock().unwrap_or_else(PoisonError::into_inner).push(at);
    }

    /// Records a violation, unless a process was killed since: an answer that a kill cuts is no fault of the node.
    pub fn report_unless_killed(&self, violation: String, since: Instant) {
        let kills = self.kills.lock().unwrap_or_else(PoisonError::into_inner);
        if kills.iter().all(|&killed| killed < since) {
            self.report(violation);
        }
    }

    /// Lists what broke a rule.
    pub fn violations(&self) -> Vec<String> {
        let requests = self.requests();
        let mut late = Vec::new();
        let mut repeated = Vec::new();
        for (id, record) in requests.iter() {
            if record.runs > 1 {
                repeated.push(format!("request {id:016x} ran {} times", record.runs));
            }
            let Some(left) = record.left else { continue };
            let after = record.begun.iter().map(|begun| begun.saturating_duration_since(left)).max();
            if let Some(after) = after.filter(|&after| after > LATEST_START_AFTER_LEAVING) {
                late.push(format!("request {id:016x} began {} ms after its client left", after.as_millis()));
            }
        }
        let reported = self.reported.lock().unwrap_or_else(PoisonError::into_inner).clone();
        [summary(late), summary(repeated), summary(reported)].concat()
    }
}

/// The first violations of a kind, and how many more there are.
fn summary(mut violations: Vec<String>) -> Vec<String> {
    let more = violations.len().saturating_sub(MAX_LISTED);
    if more > 0 {
        violations.truncate(MAX_LISTED);
        violations.push(format!("and {more} more of that kind"));
    }
    violations
}
