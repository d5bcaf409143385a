//! Transfers that this node serves to others, and their rate limit.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

use crate::bounds::{
    BURST_DIVISOR, LARGE_TRANSFER_BYTES, MAX_QUEUED_PIECES, MAX_TRANSFERS, PIECE_BYTES, TRANSFER_TIMEOUT,
};
use crate::config::{Name, Nanos, SECOND};
use crate::revision::Digest;

/// A token bucket of bytes.
#[derive(Clone, Debug)]
pub struct Budget {
    rate: u64,
    available: u64,
    refilled_at: Nanos,
}

impl Budget {
    /// Creates a full budget.
    pub fn new(rate: u64, now: Nanos) -> Self {
        Budget { rate, available: rate / BURST_DIVISOR, refilled_at: now }
    }

    /// Sets the refill rate in bytes per second.
    pub fn set_rate(&mut self, rate: u64) {
        self.rate = rate;
    }

    fn refill(&mut self, now: Nanos) {
        let gained =
            u128::from(self.rate) * u128::from(now.saturating_sub(self.refilled_at)) / u128::from(SECOND);
        if gained > 0 {
            self.available = self.available.saturating_add(gained as u64).min(self.rate / BURST_DIVISOR);
            self.refilled_at = now;
        }
    }

    /// Returns the number of bytes that may be spent now.
    pub fn available(&mut self, now: Nanos) -> u64 {
        self.refill(now);
        self.available
    }

    /// Spends `bytes` if they are available, and returns whether they were.
    pub fn spend(&mut self, now: Nanos, bytes: usize) -> bool {
        let enough = self.available(now) >= bytes as u64;
        if enough {
            self.available -= bytes as u64;
        }
        enough
    }

    /// Returns when `bytes` will be available if nothing is spent before.
    pub fn available_at(&self, bytes: usize) -> Nanos {
        let lacks = (bytes as u64).saturating_sub(self.available);
        self.refilled_at + lacks.saturating_mul(SECOND).div_ceil(self.rate.max(1))
    }
}

/// A piece that waits to be sent.
#[derive(Clone, Debug)]
pub struct QueuedPiece {
    /// Name of the receiver.
    pub to: Name,
    /// Digest of the transfer.
    pub digest: Digest,
    /// Number of the piece.
    pub number: u16,
}

/// A transfer of more than one piece that another node fetches.
#[derive(Clone, Debug)]
struct ActiveTransfer {
    digest: Digest,
    content: Arc<[u8]>,
    expires_at: Nanos, // unless it is pulled again
}

/// Transfers that other nodes fetch from this one.
#[derive(Clone, Debug)]
pub struct Server {
    /// Budget of bytes that may be sent.
    pub budget: Budget,
    queue: VecDeque<QueuedPiece>,
    transfers: BTreeMap<Name, ActiveTransfer>,
}

impl Server {
    /// Creates a server without transfers.
    pub fn new(rate: u64, now: Nanos) -> Self {
        Server { budget: Budget::new(rate, now), queue: VecDeque::new(), transfers: BTreeMap::new() }
    }

    /// Reserves a slot for a transfer to the node `to`, with at most `limit` large transfers in total. Returns whether
    /// there was one; the node keeps the slot while it continues to pull.
    pub fn admit(
        &mut self, now: Nanos, to: &Name, digest: Digest, content: &Arc<[u8]>, limit: usize,
    ) -> bool {
        self.transfers.retain(|_, transfer| transfer.expires_at > now);
        let is_large = |content: &Arc<[u8]>| content.len() > LARGE_TRANSFER_BYTES;
        let others = || self.transfers.iter().filter(|(name, _)| *name != to).map(|(_, transfer)| transfer);
        let large = others().filter(|transfer| is_large(&transfer.content)).count();
        if is_large(content) && large >= limit || others().count() >= MAX_TRANSFERS {
            return false;
        }
        let transfer =
            ActiveTransfer { digest, content: content.clone(), expires_at: now + TRANSFER_TIMEOUT };
        self.transfers.insert(to.clone(), transfer);
        true
    }

    /// Extends the slot of a node that has pulled again.
    pub fn touch(&mut self, now: Nanos, to: &Name) {
        if let Some(transfer) = self.transfers.get_mut(to) {
            transfer.expires_at = now + TRANSFER_TIMEOUT;
        }
    }

    /// Returns the content that an admitted node fetches.
    pub fn content(&self, to: &Name, digest: Digest) -> Option<Arc<[u8]>> {
        let transfer = self.transfers.get(to).filter(|transfer| transfer.digest == digest);
        transfer.map(|transfer| transfer.content.clone())
    }

    /// Queues a piece to be sent; if the queue is full, drops it, and the receiver requests it again.
    pub fn queue(&mut self, piece: QueuedPiece) {
        if self.queue.len() < MAX_QUEUED_PIECES {
            self.queue.push_back(piece);
        }
    }

    /// Returns the next piece if the budget allows to send it.
    pub fn next(&mut self, now: Nanos) -> Option<QueuedPiece> {
        if self.queue.is_empty() || !self.budget.spend(now, PIECE_BYTES) {
            return None;
        }
        self.queue.pop_front()
    }

    /// Returns when the next piece can be sent.
    pub fn due(&self) -> Option<Nanos> {
        (!self.queue.is_empty()).then(|| self.budget.available_at(PIECE_BYTES))
    }
}
