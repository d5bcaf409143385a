//! How long a client's connection may stay as it is: what moves on it and when goes in, out comes when to close it.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};

use merlinfold_decide::interface::Nanos;

/// Without a request, from the last answer on. The protocol lets a node close after 2 s.
const IDLE_TIMEOUT: Nanos = 2_100_000_000;
/// For a whole head from its first byte; clients may take 2 s.
const HEAD_TIMEOUT: Nanos = 2_250_000_000;
/// Without a byte either way, whoever is to blame.
const MIN_STALL_TIMEOUT: Nanos = 15_000_000_000;

/// Why a connection is closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CloseReason {
    /// No whole head came in time.
    NoRequest,
    /// Nothing moved in the middle of a message.
    Stalled,
}

/// What has happened on a connection so far; times are ns since it was accepted.
#[derive(Debug)]
pub struct ConnectionTimeouts {
    first_request_timeout: Nanos, // for its first request
    stall_timeout: Nanos,         // longer than any answer may take
    request_active: AtomicBool,   // a request is being answered
    write_blocked: AtomicBool,    // the client takes nothing more for now
    had_request: AtomicBool,      // there has been a request
    last_byte_at: AtomicU64,      // the last byte, either way
    response_ended_at: AtomicU64, // the end of the last answer
    head_started_at: AtomicU64,   // first byte after the last request's; 0: none yet
}

impl ConnectionTimeouts {
    /// A connection just accepted, on which the first request has to begin within `idle`, and which waits for
    /// answers for up to `longest`.
    pub fn new(idle: Option<Nanos>, longest: Nanos) -> Self {
        ConnectionTimeouts {
            first_request_timeout: idle.unwrap_or(IDLE_TIMEOUT),
            stall_timeout: MIN_STALL_TIMEOUT.max(longest.saturating_mul(2)),
            request_active: AtomicBool::new(false),
            write_blocked: AtomicBool::new(false),
            had_request: AtomicBool::new(false),
            last_byte_at: AtomicU64::new(0),
            response_ended_at: AtomicU64::new(0),
            head_started_at: AtomicU64::new(0),
        }
    }

    /// Bytes have come.
    pub fn bytes_received(&self, now: Nanos) {
        self.last_byte_at.store(now, Ordering::Relaxed);
        if self.head_started_at.load(Ordering::Relaxed) == 0 {
            self.head_started_at.store(now.max(1), Ordering::Relaxed);
        }
    }

    /// Bytes were written, or could not be.
    pub fn write_attempted(&self, now: Nanos, taken: bool) {
        let was_blocked = self.write_blocked.swap(!taken, Ordering::Relaxed);
        if taken {
            self.last_byte_at.store(now, Ordering::Relaxed);
        }
        if taken && was_blocked {
            self.response_ended_at.store(now, Ordering::Relaxed); // its client takes the end of the answer only now
        }
    }

    /// A whole head has come: a request is under way. Whether it is the first one.
    pub fn request_started(&self) -> bool {
        self.request_active.store(true, Ordering::Relaxed);
        !self.had_request.swap(true, Ordering::Relaxed)
    }

    /// Its body has come; what is heard from now on is the next one's.
    pub fn request_read(&self) {
        self.head_started_at.store(0, Ordering::Relaxed);
    }

    /// Whether bytes have come that no whole request accounts for: the next one's beginning.
    pub fn has_partial_request(&self) -> bool {
        self.head_started_at.load(Ordering::Relaxed) > 0
    }

    /// Its answer is out of the node's hands.
    pub fn response_ended(&self, now: Nanos) {
        self.response_ended_at.store(now, Ordering::Relaxed);
        self.request_active.store(false, Ordering::Relaxed);
    }

    /// When to close it and why, if nothing more happens.
    pub fn deadline(&self) -> (Nanos, CloseReason) {
        let get = |at: &AtomicU64| at.load(Ordering::Relaxed);
        let (moved, freed, head) =
            (get(&self.last_byte_at), get(&self.response_ended_at), get(&self.head_started_at));
        if self.request_active.load(Ordering::Relaxed) || self.write_blocked.load(Ordering::Relaxed) {
            (moved + self.stall_timeout, CloseReason::Stalled)
        } else if !self.had_request.load(Ordering::Relaxed) {
            // From the connection on, or a peer could keep its slot by a late beginning.
            (if head > 0 { HEAD_TIMEOUT } else { self.first_request_timeout }, CloseReason::NoRequest)
        } else if head > 0 {
            (head.max(freed) + HEAD_TIMEOUT, CloseReason::NoRequest)
        } else {
            (moved.max(freed) + IDLE_TIMEOUT, CloseReason::NoRequest)
        }
    }

    /// How long to wait at most before asking again: nothing becomes due sooner than that after it has changed.
    pub fn poll_interval(&self) -> Nanos {
        self.first_request_timeout.min(IDLE_TIMEOUT)
    }
}

#[cfg(test)]
#[path = "../tests/unit/connection_timeouts.rs"]
mod tests;
