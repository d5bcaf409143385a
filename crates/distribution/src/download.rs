//! Content on its way here, in pieces.

use std::collections::BTreeMap;

use crate::bounds::{
    ANSWER_TIMEOUT, MAX_PIECES_PULLED, MIN_PIECE_TIMEOUT, PIECE_BYTES, PIECE_TIMEOUT_FACTOR, PIECE_WINDOW,
    PROGRESS_TIMEOUT,
};
use crate::config::{Name, Nanos};
use crate::wire::Transfer;

/// A piece that was asked for.
#[derive(Clone, Copy, Debug)]
struct Asked {
    at: Nanos,
    again: Nanos, // when it is asked for once more
    times: u32,
}

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
    asked: BTreeMap<u16, Asked>, // pieces under way
    usual: Option<Nanos>,        // that the other takes, smoothed
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
            usual: None,
            progress: now,
        })
    }

    /// Goes on from another node with what has come.
    pub fn resume(&mut self, now: Nanos, from: Name) {
        (self.from, self.progress) = (from, now);
        self.asked.clear();
        (self.next, self.usual) = (0, None);
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
        // Of a piece that was asked for twice nobody knows which answer this is (Karn's rule).
        if let Some(asked) = self.asked.remove(&number).filter(|asked| asked.times == 1) {
            let took = now - asked.at;
            self.usual = Some(self.usual.map_or(took, |usual| (7 * usual + took) / 8));
        }
    }

    fn patience(&self) -> Nanos {
        let usual = self.usual.map_or(ANSWER_TIMEOUT, |usual| usual * PIECE_TIMEOUT_FACTOR);
        usual.clamp(MIN_PIECE_TIMEOUT, ANSWER_TIMEOUT)
    }

    /// Numbers of the pieces to ask for now, `budget` at most: those that were not answered, then further ones.
    pub fn pull(&mut self, now: Nanos, budget: usize) -> Vec<u16> {
        let room = PIECE_WINDOW.saturating_sub(self.asked.len());
        let late = self.asked.iter().filter(|(_, asked)| asked.again <= now).map(|(number, _)| *number);
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
        let again = now + self.patience();
        for number in &pieces {
            let times = self.asked.get(number).map_or(0, |asked| asked.times) + 1;
            self.asked.insert(*number, Asked { at: now, again, times });
        }
        pieces
    }

    /// Whether the other has sent nothing new for too long.
    pub fn is_stuck(&self, now: Nanos) -> bool {
        now >= self.progress + PROGRESS_TIMEOUT
    }

    /// When it next wants a look.
    pub fn due(&self) -> Nanos {
        let again = self.asked.values().map(|asked| asked.again).min().unwrap_or(self.progress);
        again.min(self.progress + PROGRESS_TIMEOUT)
    }
}
