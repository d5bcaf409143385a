//! What this node serves to others, and how fast.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

use crate::bounds::{BURST_PARTS, MAX_BUNDLES, TRANSFER_LASTS};
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
        Budget { rate, left: rate / BURST_PARTS, at: now }
    }

    /// From now on it refills at this rate.
    pub fn set_rate(&mut self, rate: u64) {
        self.rate = rate;
    }

    fn refill(&mut self, now: Nanos) {
        let gained = u128::from(self.rate) * u128::from(now.saturating_sub(self.at)) / u128::from(SECOND);
        if gained > 0 {
            self.left = self.left.saturating_add(gained as u64).min(self.rate / BURST_PARTS);
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

    /// When so many bytes will be there.
    pub fn when(&mut self, now: Nanos, bytes: usize) -> Nanos {
        let lacks = (bytes as u64).saturating_sub(self.left(now));
        now + lacks.saturating_mul(SECOND) / self.rate.max(1)
    }
}

/// Transfers that others fetch from here.
#[derive(Clone, Debug)]
pub struct Server {
    /// Bytes that may be sent.
    pub budget: Budget,
    bundles: VecDeque<(Digest, Arc<[u8]>)>,
    transfers: BTreeMap<Name, Nanos>, // who fetches more than one piece, and until when without a further pull
}

impl Server {
    /// One that serves nobody yet.
    pub fn new(rate: u64, now: Nanos) -> Self {
        Server { budget: Budget::new(rate, now), bundles: VecDeque::new(), transfers: BTreeMap::new() }
    }

    /// Whether this node may fetch; it then has a place as long as it goes on.
    pub fn admit(&mut self, now: Nanos, to: &Name, limit: usize) -> bool {
        self.transfers.retain(|_, until| *until > now);
        if self.transfers.len() >= limit && !self.transfers.contains_key(to) {
            return false;
        }
        self.transfers.insert(to.clone(), now + TRANSFER_LASTS);
        true
    }

    /// A node that fetches has pulled again.
    pub fn touch(&mut self, now: Nanos, to: &Name) {
        if let Some(until) = self.transfers.get_mut(to) {
            *until = now + TRANSFER_LASTS;
        }
    }

    /// Keeps a bundle for as long as it may be pulled.
    pub fn keep(&mut self, digest: Digest, bundle: Arc<[u8]>) {
        if self.bundle(digest).is_none() {
            self.bundles.push_back((digest, bundle));
        }
        if self.bundles.len() > MAX_BUNDLES {
            self.bundles.pop_front();
        }
    }

    /// A bundle that is kept.
    pub fn bundle(&self, digest: Digest) -> Option<Arc<[u8]>> {
        self.bundles.iter().find(|(kept, _)| *kept == digest).map(|(_, bundle)| bundle.clone())
    }
}
