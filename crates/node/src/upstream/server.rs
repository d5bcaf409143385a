//! The state of a server that its attempts check before they send.

use super::*;

/// The state of a server that its attempts check before they send.
pub struct Server {
    pub address: SocketAddr,
    pub(super) no_sends_from: AtomicU64,
}

impl Server {
    /// Creates a server that accepts work.
    pub fn new(address: SocketAddr) -> Self {
        Server { address, no_sends_from: AtomicU64::new(NEVER) }
    }

    /// Records whether the server accepts work. The grace period of a drain counts from its first notice.
    pub fn set_ready(&self, ready: bool, now: Nanos, grace: Nanos) {
        let no_sends_from = now.saturating_add(grace.saturating_sub(2 * MAX_PROCESSING_DELAY));
        let no_sends_from =
            if ready { NEVER } else { no_sends_from.min(self.no_sends_from.load(Ordering::Relaxed)) };
        self.no_sends_from.store(no_sends_from, Ordering::Relaxed);
    }

    /// Returns whether the server accepts work, or is within the grace period of its drain.
    pub fn accepts_sends(&self, now: Nanos) -> bool {
        now < self.no_sends_from.load(Ordering::Relaxed)
    }
}

/// Delay that the node may have between receiving a notice or reading its clock and acting on it. It can occur twice:
/// before the notice is processed, and between the last reading of the clock and the write.
pub(super) const MAX_PROCESSING_DELAY: Nanos = 150_000_000;
