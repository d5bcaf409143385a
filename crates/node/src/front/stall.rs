//! Detects stalls of this process. Requests that waited during a stall count as arrived at its beginning.

use super::*;

/// Shortest time between two heartbeats that counts as a stall: well above timer delays and a full turn of the event
/// loop.
pub(super) const MIN_STALL: Nanos = 25_000_000;

/// Time after a stall within which the requests that waited during it are read.
pub(super) const RECOVERY: Nanos = 2_000_000;

/// Detects by missing heartbeats that the process was stalled: a request that is read then may have arrived at any time
/// since the last heartbeat.
pub(super) struct StallDetector {
    last_heartbeat: AtomicU64,
    stalled_from: AtomicU64,
    resumed_at: AtomicU64,
}

impl StallDetector {
    pub(super) fn new(now: Nanos) -> Self {
        StallDetector {
            last_heartbeat: AtomicU64::new(now),
            stalled_from: AtomicU64::new(0),
            resumed_at: AtomicU64::new(0),
        }
    }

    /// Records that the process runs.
    pub(super) fn heartbeat(&self, now: Nanos) {
        let last = self.last_heartbeat.swap(now, Ordering::Relaxed);
        if now - last > MIN_STALL {
            self.stalled_from.store(last, Ordering::Relaxed);
            self.resumed_at.store(now, Ordering::Relaxed);
        }
    }

    /// Returns the earliest time at which a request that is read now may have arrived.
    pub(super) fn arrival(&self, now: Nanos) -> Nanos {
        let last = self.last_heartbeat.load(Ordering::Relaxed);
        if now - last > MIN_STALL {
            return last;
        }
        let has_just_resumed = now - self.resumed_at.load(Ordering::Relaxed) < RECOVERY;
        if has_just_resumed {
            self.stalled_from.load(Ordering::Relaxed)
        } else {
            now
        }
    }
}
