//! Timeouts of a client connection: from the events on it, computes when to close it and why.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Mutex, PoisonError};
use std::task::{Context, Poll, Waker};

use merlinfold_decide::interface::Nanos;
use tokio::sync::Notify;

use crate::read_progress::ReadProgress;

/// Longest time without a request after the last response. The protocol allows a node to close after 2 s.
const IDLE_TIMEOUT: Nanos = 2_100_000_000;
/// Longest time from the first byte of a request head to its end. Clients may take 2 s.
const HEAD_TIMEOUT: Nanos = 2_250_000_000;
/// Lower bound of the longest time without a byte in either direction while a request or response is in progress,
/// whichever side causes it.
const MIN_STALL_TIMEOUT: Nanos = 15_000_000_000;
/// Time that an exchange may take from the start of a drain, beside the time for its bytes.
const DRAIN_ALLOWANCE: Nanos = 30_000_000_000;
/// Slowest rate at which peers send or read long bodies.
const SLOWEST_BYTES_PER_SECOND: u64 = 64_000;
/// Longest body for whose bytes a drain waits.
const LONGEST_BODY_BYTES: u64 = 32 << 20;
/// Longest time that a connection stays open from the start of a drain.
pub const MAX_DRAIN_TIME: Nanos = drain_time(LONGEST_BODY_BYTES);

/// Time within which `bytes` have to be transferred from the start of a drain.
const fn drain_time(bytes: u64) -> Nanos {
    DRAIN_ALLOWANCE + bytes * 1_000_000_000 / SLOWEST_BYTES_PER_SECOND
}

/// Why a timeout closes a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum CloseReason {
    /// No complete request head arrived in time.
    NoRequest,
    /// No byte was transferred for too long in the middle of a message.
    Stalled,
    /// The node drains, and the exchange is too slow or too long to wait for its end.
    DrainLimit,
    /// Others need its slot or its memory, and it has moved nothing for a while.
    Evicted,
    /// Others need its slot or its memory, and its client reads a response too slowly.
    SlowReader,
}

/// The state of one connection; times are nanoseconds since it was accepted.
#[derive(Debug)]
pub struct ConnectionTimeouts {
    first_request_timeout: Nanos, // for the first request to begin
    stall_timeout: Nanos,         // longer than any response may take
    request_active: AtomicBool,   // a request is in progress
    write_blocked: AtomicBool,    // the client accepts no more bytes for now
    request_heads: AtomicU64,     // complete request heads that have arrived
    last_byte_at: AtomicU64,      // last byte in either direction, or when a write began to wait
    response_ended_at: AtomicU64, // end of the last response
    head_started_at: AtomicU64,   // first byte after the last request; 0: none yet
    drain_started_at: AtomicU64,  // 0: the node does not drain
    drained_bytes: AtomicU64,     // transferred in either direction since the start of the drain
    evicted: AtomicBool,
    eviction: Notify,
    input_empty: AtomicBool, // the last read found nothing
    input_since: AtomicU64,  // first read after one that found nothing
    reading: ReadProgress,
    writer: Mutex<Option<Waker>>, // waits until the client accepts bytes again
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
            request_heads: AtomicU64::new(0),
            last_byte_at: AtomicU64::new(0),
            response_ended_at: AtomicU64::new(0),
            head_started_at: AtomicU64::new(0),
            drain_started_at: AtomicU64::new(0),
            drained_bytes: AtomicU64::new(0),
            evicted: AtomicBool::new(false),
            eviction: Notify::new(),
            input_empty: AtomicBool::new(true),
            input_since: AtomicU64::new(0),
            reading: ReadProgress::default(),
            writer: Mutex::new(None),
        }
    }

    /// Records that the connection is served from now on; until then it may have waited for its slot. `has_input` is whether
    /// bytes of the client have waited with it.
    pub fn serving_started(&self, now: Nanos, has_input: bool) {
        self.last_byte_at.store(now, Ordering::Relaxed);
        self.input_empty.store(!has_input, Ordering::Relaxed);
    }

    /// Returns whether each read so far has found bytes that may have waited since the connection was accepted.
    pub fn has_waited_from_accept(&self) -> bool {
        self.input_since() == 0
    }

    /// Records that the node drains: the connection has to end, however long its peers keep it in use.
    pub fn drain_started(&self, now: Nanos) {
        self.drain_started_at.store(now.max(1), Ordering::Relaxed);
    }

    /// Returns whether the node drains.
    pub fn is_draining(&self) -> bool {
        self.drain_started_at.load(Ordering::Relaxed) > 0
    }

    /// Records the number of bytes of a read or a write. A drain waits longer for exchanges that transfer more.
    pub fn bytes_transferred(&self, count: usize) {
        if self.is_draining() {
            self.drained_bytes.fetch_add(count as u64, Ordering::Relaxed);
        }
    }

    /// Records that bytes were received.
    pub fn bytes_received(&self, now: Nanos) {
        self.last_byte_at.store(now, Ordering::Relaxed);
        if self.head_started_at.load(Ordering::Relaxed) == 0 {
            self.head_started_at.store(now.max(1), Ordering::Relaxed);
        }
    }

    /// Records a read: whether it found bytes.
    pub fn read_attempted(&self, now: Nanos, found: bool) {
        if self.input_empty.swap(!found, Ordering::Relaxed) && found {
            self.input_since.store(now.max(1), Ordering::Relaxed);
        }
    }

    /// Returns since when the client's bytes have been waiting to be read whenever they were wanted. Whatever it has sent
    /// by now, it may have sent then.
    pub fn input_since(&self) -> Nanos {
        self.input_since.load(Ordering::Relaxed)
    }

    /// Returns whether the last read found nothing: the client owes the next bytes.
    pub fn is_input_empty(&self) -> bool {
        self.input_empty.load(Ordering::Relaxed)
    }

    /// Records a write; `accepted` is false if it would have blocked.
    pub fn write_attempted(&self, now: Nanos, accepted: bool) {
        let was_blocked = self.write_blocked.swap(!accepted, Ordering::Relaxed);
        if !accepted {
            self.reading.held_up(now);
        }
        if accepted || !was_blocked {
            self.last_byte_at.store(now, Ordering::Relaxed);
        }
        if accepted && was_blocked {
            self.response_ended_at.store(now, Ordering::Relaxed); // the client reads the end of the response only now
            if let Some(writer) = self.writer.lock().unwrap_or_else(PoisonError::into_inner).take() {
                writer.wake();
            }
        }
    }

    /// Records the number of bytes that a write has handed to the connection.
    pub fn bytes_accepted(&self, count: usize) {
        self.reading.bytes_accepted(count);
    }

    /// Polls until the client accepts bytes: meanwhile no more of a response is taken in. Only the last caller is woken.
    pub fn poll_writable(&self, cx: &Context) -> Poll<()> {
        if !self.write_blocked.load(Ordering::Relaxed) {
            return Poll::Ready(());
        }
        *self.writer.lock().unwrap_or_else(PoisonError::into_inner) = Some(cx.waker().clone());
        Poll::Pending
    }

    /// Records that a complete request head has arrived. Returns whether it is the first one on the connection.
    pub fn request_started(&self) -> bool {
        self.reading.response_started();
        self.request_active.store(true, Ordering::Relaxed);
        self.request_heads.fetch_add(1, Ordering::Relaxed) == 0
    }

    /// Returns how many complete request heads have arrived.
    pub fn request_heads(&self) -> u64 {
        self.request_heads.load(Ordering::Relaxed)
    }

    /// Records that the request body has been read: bytes received from now on belong to the next request.
    pub fn request_read(&self) {
        self.head_started_at.store(0, Ordering::Relaxed);
    }

    /// Returns whether bytes of an incomplete next request have been received.
    pub fn has_partial_request(&self) -> bool {
        self.head_started_at.load(Ordering::Relaxed) > 0
    }

    /// Returns whether bytes of a head have been received that is not complete yet.
    pub fn is_receiving_head(&self) -> bool {
        self.has_partial_request() && !self.request_active.load(Ordering::Relaxed)
    }

    /// Returns whether the client has sent anything.
    pub fn is_used(&self) -> bool {
        self.has_partial_request() || self.request_heads() > 0
    }

    /// Returns whether the body of a request is being received.
    pub fn is_receiving_body(&self) -> bool {
        self.has_partial_request() && self.request_active.load(Ordering::Relaxed)
    }

    /// Records that the response has been handed to the connection in full, or was abandoned.
    pub fn response_ended(&self, now: Nanos) {
        self.response_ended_at.store(now, Ordering::Relaxed);
        self.request_active.store(false, Ordering::Relaxed);
    }

    /// Returns whether no request is in progress whose head is complete.
    pub fn has_no_request(&self) -> bool {
        !self.request_active.load(Ordering::Relaxed)
    }

    /// Returns how long the client has moved nothing, if the connection can give way to others: between two requests, or
    /// while a request is being received. One that waits for its answer, or is reading it, cannot.
    pub fn still_for(&self, now: Nanos) -> Option<Nanos> {
        let load = |at: &AtomicU64| at.load(Ordering::Relaxed);
        let is_served = self.request_active.load(Ordering::Relaxed) && !self.has_partial_request();
        if is_served || self.write_blocked.load(Ordering::Relaxed) {
            return None;
        }
        Some(now.saturating_sub(load(&self.last_byte_at).max(load(&self.response_ended_at))))
    }

    /// Returns how many bytes less the client has read of a response than it has to, if it holds the response up now.
    pub fn unread_too_long(&self, now: Nanos) -> Option<u64> {
        let is_held_up = self.write_blocked.load(Ordering::Relaxed);
        self.reading.missing_bytes(now).filter(|_| is_held_up)
    }

    /// Returns whether the connection is to give way to others.
    pub fn is_evicted(&self) -> bool {
        self.evicted.load(Ordering::Relaxed)
    }

    /// Has the connection give way to others.
    pub fn evict(&self) {
        self.evicted.store(true, Ordering::Relaxed);
        self.eviction.notify_waiters();
    }

    /// Waits until the connection is to give way.
    pub async fn wait_for_eviction(&self) {
        loop {
            let notified = self.eviction.notified();
            if self.evicted.load(Ordering::Relaxed) {
                return;
            }
            notified.await;
        }
    }

    /// Returns when to close the connection if nothing more happens, and why.
    pub fn deadline(&self) -> (Nanos, CloseReason) {
        let deadline = self.exchange_deadline();
        if !self.is_draining() {
            return deadline;
        }
        let drained_bytes = self.drained_bytes.load(Ordering::Relaxed).min(LONGEST_BODY_BYTES);
        let drain_limit = self.drain_started_at.load(Ordering::Relaxed) + drain_time(drained_bytes);
        deadline.min((drain_limit, CloseReason::DrainLimit))
    }

    /// The deadline that holds whether or not the node drains.
    fn exchange_deadline(&self) -> (Nanos, CloseReason) {
        let load = |at: &AtomicU64| at.load(Ordering::Relaxed);
        let (last_byte_at, response_ended_at, head_started_at) =
            (load(&self.last_byte_at), load(&self.response_ended_at), load(&self.head_started_at));
        if self.request_active.load(Ordering::Relaxed) || self.write_blocked.load(Ordering::Relaxed) {
            (last_byte_at + self.stall_timeout, CloseReason::Stalled)
        } else if self.request_heads() == 0 {
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
