//! Counters of client connections, for the log.

use super::*;

/// Counts of client connections since the last log line. They show peers that send no valid request.
#[derive(Default)]
pub(super) struct ConnectionStats {
    pub(super) accepted: AtomicU64,
    pub(super) silent: AtomicU64, // closed because no complete request head arrived in time
    pub(super) malformed: AtomicU64, // closed because of an invalid or incomplete message
    pub(super) rejected: AtomicU64, // closed after an invalid request that was answered with an error
    pub(super) stalled: AtomicU64, // closed because no byte was transferred for too long within a message
    pub(super) cut_by_drain: AtomicU64, // closed in the middle of a message by the limit of a drain
    pub(super) evicted: AtomicU64, // ended for others, because they moved nothing
    pub(super) slow_readers: AtomicU64, // cut for others, because they read a response too slowly
    pub(super) refused_for_memory: AtomicU64,
    pub(super) full: AtomicU64, // times that all slots were in use when a client was to be accepted
}

impl ConnectionStats {
    /// Writes a log line if any count other than `accepted` is above 0. `held` is the number of slots in use, `most`
    /// the number of slots.
    pub(super) fn report(&self, held: usize, most: usize) {
        let take = |count: &AtomicU64| count.swap(0, Ordering::Relaxed);
        let accepted = take(&self.accepted);
        let (silent, malformed) = (take(&self.silent), take(&self.malformed));
        let (rejected, still, full) = (take(&self.rejected), take(&self.stalled), take(&self.full));
        let cut_by_drain = take(&self.cut_by_drain);
        if silent + malformed + rejected + still + cut_by_drain + full > 0 {
            info!(held, most, accepted, silent, malformed, rejected, still, cut_by_drain, full, "clients");
        }
    }
}

/// Adds one to a counter.
pub(super) fn increment(counter: &AtomicU64) {
    counter.fetch_add(1, Ordering::Relaxed);
}
