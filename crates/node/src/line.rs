//! How long a client's connection may stay as it is: what moves on it and when goes in, out comes when to close it.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};

use merlinfold_decide::interface::Nanos;

/// Without a request, from the last answer on. The protocol lets a node close after 2 s.
const IDLE: Nanos = 2_100_000_000;
/// For a whole head from its first byte; clients may take 2 s.
const HEAD: Nanos = 2_250_000_000;
/// Without a byte either way, whoever is to blame.
const STILL: Nanos = 15_000_000_000;

/// Why a connection is closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Why {
    /// No whole head came in time.
    Silent,
    /// Nothing moved in the middle of a message.
    Still,
}

/// What has happened on a connection so far; times are ns since it was accepted.
#[derive(Debug)]
pub struct Line {
    idle: Nanos,         // for its first request
    still: Nanos,        // longer than any answer may take
    busy: AtomicBool,    // a request is being answered
    blocked: AtomicBool, // the client takes nothing more for now
    served: AtomicBool,  // there has been a request
    moved: AtomicU64,    // the last byte, either way
    freed: AtomicU64,    // the end of the last answer
    head: AtomicU64,     // first byte after the last request's; 0: none yet
}

impl Line {
    /// A connection just accepted, on which the first request has to begin within `idle`, and which waits for
    /// answers for up to `longest`.
    pub fn new(idle: Option<Nanos>, longest: Nanos) -> Self {
        Line {
            idle: idle.unwrap_or(IDLE),
            still: STILL.max(longest.saturating_mul(2)),
            busy: AtomicBool::new(false),
            blocked: AtomicBool::new(false),
            served: AtomicBool::new(false),
            moved: AtomicU64::new(0),
            freed: AtomicU64::new(0),
            head: AtomicU64::new(0),
        }
    }

    /// Bytes have come.
    pub fn heard(&self, now: Nanos) {
        self.moved.store(now, Ordering::Relaxed);
        if self.head.load(Ordering::Relaxed) == 0 {
            self.head.store(now.max(1), Ordering::Relaxed);
        }
    }

    /// Bytes were written, or could not be.
    pub fn wrote(&self, now: Nanos, taken: bool) {
        let was_blocked = self.blocked.swap(!taken, Ordering::Relaxed);
        if taken {
            self.moved.store(now, Ordering::Relaxed);
        }
        if taken && was_blocked {
            self.freed.store(now, Ordering::Relaxed); // its client takes the end of the answer only now
        }
    }

    /// A whole head has come: a request is under way. Whether it is the first one.
    pub fn begin(&self) -> bool {
        self.busy.store(true, Ordering::Relaxed);
        !self.served.swap(true, Ordering::Relaxed)
    }

    /// Its body has come; what is heard from now on is the next one's.
    pub fn read(&self) {
        self.head.store(0, Ordering::Relaxed);
    }

    /// Whether bytes have come that no whole request accounts for: the next one's beginning.
    pub fn has_begun(&self) -> bool {
        self.head.load(Ordering::Relaxed) > 0
    }

    /// Its answer is out of the node's hands.
    pub fn free(&self, now: Nanos) {
        self.freed.store(now, Ordering::Relaxed);
        self.busy.store(false, Ordering::Relaxed);
    }

    /// When to close it and why, if nothing more happens.
    pub fn due(&self) -> (Nanos, Why) {
        let get = |at: &AtomicU64| at.load(Ordering::Relaxed);
        let (moved, freed, head) = (get(&self.moved), get(&self.freed), get(&self.head));
        if self.busy.load(Ordering::Relaxed) || self.blocked.load(Ordering::Relaxed) {
            (moved + self.still, Why::Still)
        } else if !self.served.load(Ordering::Relaxed) {
            // From the connection on, or a peer could keep its slot by a late beginning.
            (if head > 0 { HEAD } else { self.idle }, Why::Silent)
        } else if head > 0 {
            (head.max(freed) + HEAD, Why::Silent)
        } else {
            (moved.max(freed) + IDLE, Why::Silent)
        }
    }

    /// How long to wait at most before asking again: nothing becomes due sooner than that after it has changed.
    pub fn step(&self) -> Nanos {
        self.idle.min(IDLE)
    }
}

#[cfg(test)]
#[path = "../tests/unit/line.rs"]
mod tests;
