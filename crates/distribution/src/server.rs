//! What this node serves to others, and how fast.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

use crate::bounds::{
    BURST_DIVISOR, LARGE_TRANSFER_BYTES, MAX_QUEUED_PIECES, MAX_TRANSFERS, PIECE_BYTES, TRANSFER_TIMEOUT,
};
use crate::config::{Name, Nanos, SECOND};
use crate::revision::Digest;

/// A budget of bytes that refills at a rate.
#[derive(Clone, Debug)]
pub struct Budget {
    rate: u64,
    left: u64,
    at: Nanos,
}

impl Budget {
    /// A full one.
    pub fn new(rate: u64, now: Nanos) -> Self {
        Budget { rate, left: rate / BURST_DIVISOR, at: now }
    }

    /// From now on it refills at this rate.
    pub fn set_rate(&mut self, rate: u64) {
        self.rate = rate;
    }

    fn refill(&mut self, now: Nanos) {
        let gained = u128::from(self.rate) * u128::from(now.saturating_sub(self.at)) / u128::from(SECOND);
        if gained > 0 {
            self.left = self.left.saturating_add(gained as u64).min(self.rate / BURST_DIVISOR);
            self.at = now;
        }
    }

    /// Bytes that may be spent now.
    pub fn left(&mut self, now: Nanos) -> u64 {
        self.refill(now);
        self.left
    }

    /// Takes so many bytes, if they are there.
    pub fn spend(&mut self, now: Nanos, bytes: usize) -> bool {
        let enough = self.left(now) >= bytes as u64;
        if enough {
            self.left -= bytes as u64;
        }
        enough
    }

    /// When so many bytes will be there, if nothing is spent before.
    pub fn when(&self, bytes: usize) -> Nanos {
        let lacks = (bytes as u64).saturating_sub(self.left);
        self.at + lacks.saturating_mul(SECOND).div_ceil(self.rate.max(1))
    }
}

/// A piece that somebody waits for.
#[derive(Clone, Debug)]
pub struct Queued {
    /// Who.
    pub to: Name,
    /// Of which transfer.
    pub digest: Digest,
    /// Its number.
    pub number: u16,
}

/// A transfer of more than one piece that somebody fetches.
#[derive(Clone, Debug)]
struct Serving {
    digest: Digest,
    content: Arc<[u8]>,
    until: Nanos, // without a further pull
}

/// Transfers that others fetch from here.
#[derive(Clone, Debug)]
pub struct Server {
    /// Bytes that may be sent.
    pub budget: Budget,
    queue: VecDeque<Queued>,
    transfers: BTreeMap<Name, Serving>,
}

impl Server {
    /// One that serves nobody yet.
    pub fn new(rate: u64, now: Nanos) -> Self {
        Server { budget: Budget::new(rate, now), queue: VecDeque::new(), transfers: BTreeMap::new() }
    }

    /// Whether this node may fetch this beside `limit` large transfers at most; it then has a place as long as it goes on.
    pub fn admit(
        &mut self, now: Nanos, to: &Name, digest: Digest, content: &Arc<[u8]>, limit: usize,
    ) -> bool {
        self.transfers.retain(|_, serving| serving.until > now);
        let is_large = |content: &Arc<[u8]>| content.len() > LARGE_TRANSFER_BYTES;
        let others = || self.transfers.iter().filter(|(name, _)| *name != to).map(|(_, serving)| serving);
        let large = others().filter(|serving| is_large(&serving.content)).count();
        if is_large(content) && large >= limit || others().count() >= MAX_TRANSFERS {
            return false;
        }
        let serving = Serving { digest, content: content.clone(), until: now + TRANSFER_TIMEOUT };
        self.transfers.insert(to.clone(), serving);
        true
    }

    /// A node that fetches has pulled again.
    pub fn touch(&mut self, now: Nanos, to: &Name) {
        if let Some(serving) = self.transfers.get_mut(to) {
            serving.until = now + TRANSFER_TIMEOUT;
        }
    }

    /// What a node that was admitted fetches.
    pub fn content(&self, to: &Name, digest: Digest) -> Option<Arc<[u8]>> {
        let serving = self.transfers.get(to).filter(|serving| serving.digest == digest);
        serving.map(|serving| serving.content.clone())
    }

    /// Has a piece served when its turn comes; what there is no room for is asked for again.
    pub fn queue(&mut self, piece: Queued) {
        if self.queue.len() < MAX_QUEUED_PIECES {
            self.queue.push_back(piece);
        }
    }

    /// The next piece that there is a budget for.
    pub fn next(&mut self, now: Nanos) -> Option<Queued> {
        if self.queue.is_empty() || !self.budget.spend(now, PIECE_BYTES) {
            return None;
        }
        self.queue.pop_front()
    }

    /// When the next piece can be served.
    pub fn due(&self) -> Option<Nanos> {
        (!self.queue.is_empty()).then(|| self.budget.when(PIECE_BYTES))
    }
}
