//! Transaction ids of requests that may have run, so that one that comes again is not run again.

use std::collections::{HashMap, VecDeque};

use merlinfold_decide::interface::Nanos;

/// Time for which an id is kept: far longer than a client tries a request.
const RETENTION: Nanos = 30_000_000_000;
/// Most ids that are kept; beyond it the oldest is forgotten.
pub(super) const MAX_REQUESTS: usize = 16_384;

/// The ids of recent requests, with the time of their arrival.
#[derive(Debug, Default)]
pub(super) struct RecentRequests {
    arrivals: HashMap<u64, Nanos>,
    by_age: VecDeque<(u64, Nanos)>,
}

impl RecentRequests {
    /// Records a request. Returns false if its id is known already.
    pub(super) fn insert(&mut self, id: u64, now: Nanos) -> bool {
        self.forget_old(now);
        if self.arrivals.contains_key(&id) {
            return false;
        }
        self.arrivals.insert(id, now);
        self.by_age.push_back((id, now));
        true
    }

    /// Forgets a request that certainly never ran.
    pub(super) fn remove(&mut self, id: u64) {
        self.arrivals.remove(&id);
    }

    /// Returns all ids.
    pub(super) fn ids(&self) -> Vec<u64> {
        self.arrivals.keys().copied().collect()
    }

    fn forget_old(&mut self, now: Nanos) {
        while let Some(&(id, arrival)) = self.by_age.front() {
            if self.by_age.len() < MAX_REQUESTS && arrival.saturating_add(RETENTION) > now {
                return;
            }
            self.by_age.pop_front();
            // An id that was removed and came again has another entry.
            if self.arrivals.get(&id) == Some(&arrival) {
                self.arrivals.remove(&id);
            }
        }
    }
}

#[cfg(test)]
#[path = "../../tests/unit/recent_requests.rs"]
mod tests;
