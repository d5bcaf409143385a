//! Stalls of this process: what one kept waiting counts from its beginning.

use super::*;

/// Time between two heartbeats that makes a stall: well over what timers and a full turn take.
pub(super) const MIN_STALL: Nanos = 25_000_000;

/// Time after a stall in which what it kept waiting is found.
pub(super) const RECOVERY: Nanos = 2_000_000;

/// Notices by its heartbeat that the process was stalled: what it finds then may have come at any time since.
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

    /// Notes that the process runs.
    pub(super) fn heartbeat(&self, now: Nanos) {
        let last = self.last_heartbeat.swap(now, Ordering::Relaxed);
        if now - last > MIN_STALL {
            self.stalled_from.store(last, Ordering::Relaxed);
            self.resumed_at.store(now, Ordering::Relaxed);
        }
    }

    /// When a request that is read now came in, at the earliest.
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
