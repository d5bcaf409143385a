//! The client connections that are being served, for the choice of one to close when slots or memory run out.

use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard, PoisonError};

use super::*;

/// All connections that are being served.
#[derive(Default)]
pub(super) struct OpenConnections {
    connections: Mutex<HashMap<u64, OpenConnection>>,
    next: AtomicU64,
}

struct OpenConnection {
    timeouts: Arc<ConnectionTimeouts>,
    accepted_at: Instant,
}

impl OpenConnections {
    fn lock(&self) -> MutexGuard<'_, HashMap<u64, OpenConnection>> {
        self.connections.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Adds a connection, until the returned value is dropped.
    pub(super) fn add(&self, timeouts: &Arc<ConnectionTimeouts>, accepted_at: Instant) -> OpenGuard<'_> {
        let number = self.next.fetch_add(1, Ordering::Relaxed);
        self.lock().insert(number, OpenConnection { timeouts: timeouts.clone(), accepted_at });
        OpenGuard { connections: self, number }
    }

    /// Returns the number of connections.
    pub(super) fn count(&self) -> usize {
        self.lock().len()
    }

    /// Evicts the connection that has moved nothing for the longest time, if that is at least `limit`. Returns whether
    /// there was one.
    pub(super) fn evict_longest_still(&self, limit: Nanos) -> bool {
        let connections = self.lock();
        let present = connections.values().filter(|open| !open.timeouts.is_evicted());
        let still = present.filter_map(|open| {
            let now = open.accepted_at.elapsed().as_nanos() as Nanos;
            Some((open.timeouts.still_for(now)?, &open.timeouts))
        });
        let longest = still.filter(|(time, _)| *time >= limit).max_by_key(|(time, _)| *time);
        longest.map(|(_, timeouts)| timeouts.evict()).is_some()
    }
}

/// Keeps a connection among the open ones until it is dropped.
pub(super) struct OpenGuard<'a> {
    connections: &'a OpenConnections,
    number: u64,
}

impl Drop for OpenGuard<'_> {
    fn drop(&mut self) {
        self.connections.lock().remove(&self.number);
    }
}
