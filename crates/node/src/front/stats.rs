//! What became of clients' connections, for the log.

use super::*;

/// What became of connections since the last log line; shows an operator peers that send no proper request.
#[derive(Default)]
pub(super) struct ConnectionStats {
    pub(super) accepted: AtomicU64,
    pub(super) silent: AtomicU64,    // closed because no whole head came in time
    pub(super) malformed: AtomicU64, // closed because what came was not HTTP or not whole
    pub(super) rejected: AtomicU64, // closed after a request that was not proper and was answered with an error
    pub(super) stalled: AtomicU64,  // closed because no byte moved for long, in the middle of a message
    pub(super) full: AtomicU64,     // times that a client had to wait for room
}

impl ConnectionStats {
    /// Writes a line if there is something in it that an operator should look at.
    pub(super) fn report(&self, held: usize, most: usize) {
        let take = |count: &AtomicU64| count.swap(0, Ordering::Relaxed);
        let accepted = take(&self.accepted);
        let (silent, malformed) = (take(&self.silent), take(&self.malformed));
        let (rejected, still, full) = (take(&self.rejected), take(&self.stalled), take(&self.full));
        if silent + malformed + rejected + still + full > 0 {
            info!(held, most, accepted, silent, malformed, rejected, still, full, "clients");
        }
    }
}

/// Adds one to a count.
pub(super) fn increment(counter: &AtomicU64) {
    counter.fetch_add(1, Ordering::Relaxed);
}
