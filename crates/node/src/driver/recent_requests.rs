//! Transaction ids of requests that may have run, so that one that comes again is not run again.

use std::collections::{BTreeSet, HashMap};

use merlinfold_decide::interface::Nanos;

/// Time for which an id is kept: far longer than a client tries a request.
const RETENTION: Nanos = 30_000_000_000;
/// Most ids that are kept; beyond it the oldest is forgotten.
pub(super) const MAX_REQUESTS: usize = 16_384;

/// The ids of recent requests, with the time of their arrival.
#[derive(Debug, Default)]
pub(super) struct RecentRequests {
    arrivals: HashMap<u64, Nanos>,
    by_age: BTreeSet<(Nanos, u64)>,
}

impl RecentRequests {
    /// Records a request. Returns false if its id is known already.
    pub(super) fn insert(&mut self, id: u64, now: Nanos) -> bool {
        self.forget_old(now);
        if self.arrivals.contains_key(&id) {
            return false;
        }
        self.arrivals.insert(id, now);
        self.by_age.insert((now, id));
        true
    }

    /// Forgets a request that certainly never ran.
    pub(super) fn remove(&mut self, id: u64) {
        if let Some(arrival) = self.arrivals.remove(&id) {
            self.by_age.remove(&(arrival, id));
        }
    }

    /// Returns all ids.
    pub(super) fn ids(&self) -> Vec<u64> {
        self.arrivals.keys().copied().collect()
    }

    fn forget_old(&mut self, now: Nanos) {
        while let Some(&(arrival, id)) = self.by_age.first() {
            if self.by_age.len() < MAX_REQUESTS && arrival.saturating_add(RETENTION) > now {
                return;
            }
            self.remove(id);
        }
    }
}

#[cfg(test)]
#[path = "../../tests/unit/recent_requests.rs"]
mod tests;
