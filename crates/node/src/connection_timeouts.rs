//! Timeouts of a client connection: from the events on it, computes when to close it and why.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};

use merlinfold_decide::interface::Nanos;

/// Longest time without a request after the last response. The protocol allows a node to close after 2 s.
const IDLE_TIMEOUT: Nanos = 2_100_000_000;
/// Longest time from the first byte of a request head to its end. Clients may take 2 s.
const HEAD_TIMEOUT: Nanos = 2_250_000_000;
/// Lower bound of the longest time without a byte in either direction while a request or response is in progress,
/// whichever side causes it.
const MIN_STALL_TIMEOUT: Nanos = 15_000_000_000;

/// Why a timeout closes a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CloseReason {
    /// No complete request head arrived in time.
    NoRequest,
    /// No byte was transferred for too long in the middle of a message.
    Stalled,
}

/// The state of one connection; times are nanoseconds since it was accepted.
#[derive(Debug)]
pub struct ConnectionTimeouts {
    first_request_timeout: Nanos, // for the first request to begin
    stall_timeout: Nanos,         // longer than any response may take
    request_active: AtomicBool,   // a request is in progress
    write_blocked: AtomicBool,    // the client accepts no more bytes for now
    had_request: AtomicBool,      // at least one request head has arrived
    last_byte_at: AtomicU64,      // time of the last byte in either direction
    response_ended_at: AtomicU64, // end of the last response
    head_started_at: AtomicU64,   // first byte after the last request; 0: none yet
}

impl ConnectionTimeouts {
    /// Creates the state of a connection just accepted. The first request must begin within `first_request_timeout`, or
    /// the usual idle timeout if `None`. `longest_response` is the longest time that a response may take.
    pub fn new(first_request_timeout: Option<Nanos>, longest_response: Nanos) -> Self {
        ConnectionTimeouts {
            first_request_timeout: first_request_timeout.unwrap_or(IDLE_TIMEOUT),
            stall_timeout: MIN_STALL_TIMEOUT.max(longest_response.saturating_mul(2)),
            request_active: AtomicBool::new(false),
            write_blocked: AtomicBool::new(false),
            had_request: AtomicBool::new(false),
            last_byte_at: AtomicU64::new(0),
            response_ended_at: AtomicU64::new(0),
            head_started_at: AtomicU64::new(0),
        }
    }

    /// Records that bytes were received.
    pub fn bytes_received(&self, now: Nanos) {
        self.last_byte_at.store(now, Ordering::Relaxed);
        if self.head_started_at.load(Ordering::Relaxed) == 0 {
            self.head_started_at.store(now.max(1), Ordering::Relaxed);
        }
    }

    /// Records a write; `accepted` is false if it would have blocked.
    pub fn write_attempted(&self, now: Nanos, accepted: bool) {
        let was_blocked = self.write_blocked.swap(!accepted, Ordering::Relaxed);
        if accepted {
            self.last_byte_at.store(now, Ordering::Relaxed);
        }
        if accepted && was_blocked {
            self.response_ended_at.store(now, Ordering::Relaxed); // the client reads the end of the response only now
        }
    }

    /// Records that a complete request head has arrived. Returns whether it is the first one on the connection.
    pub fn request_started(&self) -> bool {
        self.request_active.store(true, Ordering::Relaxed);
        !self.had_request.swap(true, Ordering::Relaxed)
    }

    /// Records that the request body has been read: bytes received from now on belong to the next request.
    pub fn request_read(&self) {
        self.head_started_at.store(0, Ordering::Relaxed);
    }

    /// Returns whether bytes of an incomplete next request have been received.
    pub fn has_partial_request(&self) -> bool {
        self.head_started_at.load(Ordering::Relaxed) > 0
    }

    /// Records that the response has been handed to the connection in full, or was abandoned.
    pub fn response_ended(&self, now: Nanos) {
        self.response_ended_at.store(now, Ordering::Relaxed);
        self.request_active.store(false, Ordering::Relaxed);
    }

    /// Returns when to close the connection if nothing more happens, and why.
    pub fn deadline(&self) -> (Nanos, CloseReason) {
        let load = |at: &AtomicU64| at.load(Ordering::Relaxed);
        let (last_byte_at, response_ended_at, head_started_at) =
            (load(&self.last_byte_at), load(&self.response_ended_at), load(&self.head_started_at));
        if self.request_active.load(Ordering::Relaxed) || self.write_blocked.load(Ordering::Relaxed) {
            (last_byte_at + self.stall_timeout, CloseReason::Stalled)
        } else if !self.had_request.load(Ordering::Relaxed) {
            // Counted from the accept, or a peer could hold its slot longer by beginning late.
            (
                if head_started_at > 0 { HEAD_TIMEOUT } else { self.first_request_timeout },
                CloseReason::NoRequest,
            )
        } else if head_started_at > 0 {
            (head_started_at.max(response_ended_at) + HEAD_TIMEOUT, CloseReason::NoRequest)
        } else {
            (last_byte_at.max(response_ended_at) + IDLE_TIMEOUT, CloseReason::NoRequest)
        }
    }

    /// Returns the longest time to wait before calling [`Self::deadline`] again: no event brings the deadline closer
    /// than this.
    pub fn poll_interval(&self) -> Nanos {
        self.first_request_timeout.min(IDLE_TIMEOUT)
    }
}

#[cfg(test)]
#[path = "../tests/unit/connection_timeouts.rs"]
mod tests;
