//! Downloads of content in pieces.

use std::collections::BTreeMap;

use crate::bounds::{
    ANSWER_TIMEOUT, MAX_PIECES_PULLED, MIN_PIECE_TIMEOUT, PIECE_BYTES, PIECE_TIMEOUT_FACTOR, PIECE_WINDOW,
    PROGRESS_TIMEOUT,
};
use crate::config::{Name, Nanos};
use crate::wire::Transfer;

/// A requested piece that has not arrived.
#[derive(Clone, Copy, Debug)]
struct RequestedPiece {
    requested_at: Nanos,
    retry_at: Nanos, // time at which it is requested again
    attempts: u32,
}

/// A transfer that is being downloaded.
#[derive(Clone, Debug)]
pub struct Download {
    /// Name of the sender.
    pub from: Name,
    /// Kind, digest and length of the transfer.
    pub transfer: Transfer,
    buffer: Vec<u8>,
    received: Vec<bool>,
    missing: usize,
    next_piece: u16,
    requested: BTreeMap<u16, RequestedPiece>, // outstanding pieces by number
    smoothed_delay: Option<Nanos>,            // smoothed time from request to arrival
    last_progress: Nanos,
}

impl Download {
    /// Creates a download without any piece; `None` if the transfer is longer than any content may be.
    pub fn new(now: Nanos, from: Name, transfer: Transfer) -> Option<Self> {
        let pieces = transfer.pieces()?;
        Some(Download {
            from,
            transfer,
            buffer: vec![0; transfer.length as usize],
            received: vec![false; pieces.into()],
            missing: pieces.into(),
            next_piece: 0,
            requested: BTreeMap::new(),
            smoothed_delay: None,
            last_progress: now,
        })
    }

    /// Continues from another node with the pieces that have arrived.
    pub fn resume(&mut self, now: Nanos, from: Name) {
        (self.from, self.last_progress) = (from, now);
        self.requested.clear();
        (self.next_piece, self.smoothed_delay) = (0, None);
    }

    /// Returns whether all pieces have arrived.
    pub fn is_complete(&self) -> bool {
        self.missing == 0
    }

    /// Returns whether at least half of the pieces have arrived.
    pub fn is_half(&self) -> bool {
        2 * self.missing <= self.received.len()
    }

    /// Returns the buffer with all pieces; missing ones are zeros.
    pub fn into_bytes(self) -> Vec<u8> {
        self.buffer
    }

    /// Stores a piece; ignores one that is duplicate or does not have the expected length.
    pub fn store(&mut self, now: Nanos, number: u16, bytes: &[u8]) {
        let start = usize::from(number) * PIECE_BYTES;
        let end = (start + PIECE_BYTES).min(self.buffer.len());
        let Some(received) = self.received.get_mut(usize::from(number)) else { return };
        if *received || bytes.len() != end - start {
            return;
        }
        *received = true;
        self.buffer[start..end].copy_from_slice(bytes);
        self.missing -= 1;
        self.last_progress = now;
        // The delay of a piece that was requested twice is ambiguous, so it is not measured (Karn's rule).
        if let Some(requested) = self.requested.remove(&number).filter(|requested| requested.attempts == 1) {
            let delay = now - requested.requested_at;
            self.smoothed_delay =
                Some(self.smoothed_delay.map_or(delay, |smoothed| (7 * smoothed + delay) / 8));
        }
    }

    fn piece_timeout(&self) -> Nanos {
        let timeout = self.smoothed_delay.map_or(ANSWER_TIMEOUT, |delay| delay * PIECE_TIMEOUT_FACTOR);
        timeout.clamp(MIN_PIECE_TIMEOUT, ANSWER_TIMEOUT)
    }

    /// Returns the numbers of the pieces to request now, at most `budget`: overdue ones first, then new ones.
    pub fn pull(&mut self, now: Nanos, budget: usize) -> Vec<u16> {
        let room = PIECE_WINDOW.saturating_sub(self.requested.len());
        let overdue = self
            .requested
            .iter()
            .filter(|(_, requested)| requested.retry_at <= now)
            .map(|(number, _)| *number);
        let mut pieces: Vec<u16> = overdue.take(MAX_PIECES_PULLED.min(budget)).collect();
        let limit = (pieces.len() + room).min(MAX_PIECES_PULLED).min(budget);
        // One pull per arriving piece would cost more than it gains, so a pull waits until there is room for half of
        // its maximum number of pieces.
        if !self.requested.is_empty() && pieces.is_empty() && room < MAX_PIECES_PULLED / 2 {
            return pieces;
        }
        while pieces.len() < limit && usize::from(self.next_piece) < self.received.len() {
            if !self.received[usize::from(self.next_piece)] && !self.requested.contains_key(&self.next_piece)
            {
                pieces.push(self.next_piece);
            }
            self.next_piece += 1;
        }
        let retry_at = now + self.piece_timeout();
        for number in &pieces {
            let attempts = self.requested.get(number).map_or(0, |requested| requested.attempts) + 1;
            self.requested.insert(*number, RequestedPiece { requested_at: now, retry_at, attempts });
        }
        pieces
    }

    /// Returns whether no new piece has arrived for too long.
    pub fn is_stuck(&self, now: Nanos) -> bool {
        now >= self.last_progress + PROGRESS_TIMEOUT
    }

    /// Returns when the download next needs a check.
    pub fn due(&self) -> Nanos {
        let retry_at =
            self.requested.values().map(|requested| requested.retry_at).min().unwrap_or(self.last_progress);
        retry_at.min(self.last_progress + PROGRESS_TIMEOUT)
    }
}
