//! A server as the attempts at it see it.

use super::*;

/// A server as the attempts at it see it.
pub struct Server {
    pub address: SocketAddr,
    pub(super) no_sends_from: AtomicU64,
}

impl Server {
    pub fn new(address: SocketAddr) -> Self {
        Server { address, no_sends_from: AtomicU64::new(NEVER) }
    }

    /// Notes whether it takes work; what was told first sets the grace.
    pub fn set_ready(&self, ready: bool, now: Nanos, grace: Nanos) {
        let ends = now.saturating_add(grace.saturating_sub(2 * MAX_PROCESSING_DELAY));
        let ends = if ready { NEVER } else { ends.min(self.no_sends_from.load(Ordering::Relaxed)) };
        self.no_sends_from.store(ends, Ordering::Relaxed);
    }

    /// Whether it is within what it was told, or its grace.
    pub fn accepts_sends(&self, now: Nanos) -> bool {
        now < self.no_sends_from.load(Ordering::Relaxed)
    }
}

/// For which a node may be held up between what it hears or reads from its clock and what it does about it: once before
/// the notice is taken in, and once between the last look at the clock and the write.
pub(super) const MAX_PROCESSING_DELAY: Nanos = 150_000_000;
