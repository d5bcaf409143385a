//! When the last byte of a request may have been written at the earliest: from then on its client counts the time.
//!
//! A client's last byte can wait in the kernels of both machines long before the node reads it, behind bytes that a slow
//! server has not taken yet.

use std::collections::VecDeque;
use std::sync::Arc;

use merlinfold_decide::interface::Nanos;

use crate::connection_timeouts::ConnectionTimeouts;

/// Most bytes of a request that its client has written and the node has not read: the send buffer that a connection on
/// loopback has from its start, and the receive buffer of one that is read slowly.
const MAX_UNREAD_BYTES: u64 = (2 << 20) + (768 << 10);
/// Distance between two marks of what was read when.
const MARK_BYTES: u64 = 64 << 10;

/// The times at which the bytes of one request body were read.
#[derive(Debug)]
pub struct InputClock {
    timeouts: Arc<ConnectionTimeouts>,
    accepted_at: Nanos,
    length: Option<u64>,
    read: u64,
    has_ended: bool,
    marks: VecDeque<(u64, Nanos)>, // bytes read, and when; the first is the last beyond the unread bytes
}

impl InputClock {
    /// `accepted_at` is when the connection was accepted, and `length` the length of the body, if the client stated it.
    pub fn new(timeouts: Arc<ConnectionTimeouts>, accepted_at: Nanos, length: Option<u64>) -> Self {
        InputClock { timeouts, accepted_at, length, read: 0, has_ended: false, marks: VecDeque::new() }
    }

    /// Records that bytes of the body were read.
    pub fn bytes_read(&mut self, count: u64, now: Nanos) {
        self.read += count;
        if self.marks.back().is_none_or(|&(read, _)| self.read >= read + MARK_BYTES) {
            self.marks.push_back((self.read, now));
        }
        while self.marks.get(1).is_some_and(|&(read, _)| read + MAX_UNREAD_BYTES <= self.end()) {
            self.marks.pop_front();
        }
    }

    /// Records that the body has ended: the client owes nothing more.
    pub fn ended(&mut self) {
        self.has_ended = true;
    }

    /// The length of the body, or what was read of it.
    fn end(&self) -> u64 {
        self.length.unwrap_or(self.read)
    }

    /// Returns the earliest time at which the last byte may have been written. `None`: it certainly was not yet.
    /// `is_awaited` is whether the next bytes of the body are waited for.
    pub fn last_byte_since(&self, is_awaited: bool) -> Option<Nanos> {
        let input_since = self.accepted_at + self.timeouts.input_since();
        let first_unread = self.end().saturating_sub(MAX_UNREAD_BYTES);
        let owes_bytes = is_awaited && self.timeouts.is_input_empty() && !self.has_ended;
        if self.read < first_unread || owes_bytes {
            return None;
        }
        let read_at = self.marks.iter().rev().find(|&&(read, _)| read <= first_unread);
        Some(read_at.map_or(input_since, |&(_, at)| at.max(input_since)))
    }
}

#[cfg(test)]
#[path = "../../tests/unit/input_clock.rs"]
mod tests;
