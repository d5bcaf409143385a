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

/// Which connections may give way: those that hold what others wait for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Candidates {
    /// Any, for a slot.
    All,
    /// Those whose clients have sent something, for memory of the process.
    Used,
    /// Those on which a body is being received, for the memory of bodies.
    ReceivingBody,
}

struct OpenConnection {
    timeouts: Arc<ConnectionTimeouts>,
    accepted_at: Instant,
}

impl OpenConnection {
    fn age(&self) -> Nanos {
        self.accepted_at.elapsed().as_nanos() as Nanos
    }
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

    /// Evicts the candidate that has moved nothing for the longest time, if that is at least `limit`, or else the one
    /// whose client reads most too slowly. Returns whether there was one.
    pub(super) fn evict(&self, candidates: Candidates, limit: Nanos) -> bool {
        let connections = self.lock();
        let is_candidate = |open: &OpenConnection| match candidates {
            Candidates::All => true,
            Candidates::Used => open.timeouts.is_used(),
            Candidates::ReceivingBody => open.timeouts.is_receiving_body(),
        };
        let present = || {
            connections.values().filter(|open| !open.timeouts.is_evicted()).filter(|open| is_candidate(open))
        };
        let still = present().filter_map(|open| Some((open.timeouts.still_for(open.age())?, open)));
        let longest = still.filter(|(time, _)| *time >= limit).max_by_key(|(time, _)| *time);
        let slow = present().filter_map(|open| Some((open.timeouts.unread_too_long(open.age())?, open)));
        let slowest = || slow.max_by_key(|(missing_bytes, _)| *missing_bytes);
        longest.or_else(slowest).map(|(_, open)| open.timeouts.evict()).is_some()
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
