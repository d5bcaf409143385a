//! Content on its way here, in pieces.

use std::collections::BTreeMap;

use crate::bounds::{ANSWER_WITHIN, MAX_PIECES_PULLED, PIECE_BYTES, PROGRESS_WITHIN, WINDOW};
use crate::config::{Name, Nanos};
use crate::wire::Transfer;

/// A transfer that is being fetched.
#[derive(Clone, Debug)]
pub struct Download {
    /// From whom.
    pub from: Name,
    /// What.
    pub transfer: Transfer,
    buffer: Vec<u8>,
    received: Vec<bool>,
    missing: usize,
    next: u16,
    asked: BTreeMap<u16, Nanos>, // pieces under way, and when each is asked for again
    progress: Nanos,
}

impl Download {
    /// Of which nothing has come yet; none if it is longer than any content.
    pub fn new(now: Nanos, from: Name, transfer: Transfer) -> Option<Self> {
        let pieces = transfer.pieces()?;
        Some(Download {
            from,
            transfer,
            buffer: vec![0; transfer.length as usize],
            received: vec![false; pieces.into()],
            missing: pieces.into(),
            next: 0,
            asked: BTreeMap::new(),
            progress: now,
        })
    }

    /// Goes on from another node with what has come.
    pub fn resume(&mut self, now: Nanos, from: Name) {
        (self.from, self.progress) = (from, now);
        self.asked.clear();
        self.next = 0;
    }

    /// Whether all has come.
    pub fn is_complete(&self) -> bool {
        self.missing == 0
    }

    /// Whether at least half has come.
    pub fn is_half(&self) -> bool {
        2 * self.missing <= self.received.len()
    }

    /// What has come.
    pub fn into_bytes(self) -> Vec<u8> {
        self.buffer
    }

    /// Takes a piece; one that is not of its length is no piece.
    pub fn take(&mut self, now: Nanos, number: u16, bytes: &[u8]) {
        let start = usize::from(number) * PIECE_BYTES;
        let end = (start + PIECE_BYTES).min(self.buffer.len());
        let Some(received) = self.received.get_mut(usize::from(number)) else { return };
        if *received || bytes.len() != end - start {
            return;
        }
        *received = true;
        self.buffer[start..end].copy_from_slice(bytes);
        self.missing -= 1;
        self.progress = now;
        self.asked.remove(&number);
    }

    /// Numbers of the pieces to ask for now, `budget` at most: those that were not answered, then further ones.
    pub fn pull(&mut self, now: Nanos, budget: usize) -> Vec<u16> {
        let room = WINDOW.saturating_sub(self.asked.len());
        let late = self.asked.iter().filter(|(_, at)| **at <= now).map(|(number, _)| *number);
        let mut pieces: Vec<u16> = late.take(MAX_PIECES_PULLED.min(budget)).collect();
        let limit = (pieces.len() + room).min(MAX_PIECES_PULLED).min(budget);
        // A datagram for each piece that has come would cost more than it gains.
        if !self.asked.is_empty() && pieces.is_empty() && room < MAX_PIECES_PULLED / 2 {
            return pieces;
        }
        while pieces.len() < limit && usize::from(self.next) < self.received.len() {
            if !self.received[usize::from(self.next)] && !self.asked.contains_key(&self.next) {
                pieces.push(self.next);
            }
            self.next += 1;
        }
        self.asked.extend(pieces.iter().map(|number| (*number, now + ANSWER_WITHIN)));
        pieces
    }

    /// Whether the other has sent nothing new for too long.
    pub fn is_stuck(&self, now: Nanos) -> bool {
        now >= self.progress + PROGRESS_WITHIN
    }

    /// When it next wants a look.
    pub fn due(&self) -> Nanos {
        let again = self.asked.values().copied().min().unwrap_or(self.progress);
        again.min(self.progress + PROGRESS_WITHIN)
    }
}
