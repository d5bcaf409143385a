//! Slow start: how much a server that has just started may receive from all nodes together.

use super::*;

impl Balancer {
    /// Share of its full capacity that a server has at least, by the time of its last start.
    pub(super) fn capacity_share(&self, now: Nanos, entry: &ServerEntry) -> f64 {
        let elapsed = now.saturating_sub(entry.started_at) as f64;
        let progress = elapsed / self.settings.slow_start_duration.max(1) as f64;
        let initial = if entry.started_at == 0 { 1.0 } else { self.settings.initial_capacity_share };
        (initial + (1.0 - initial) * progress).min(1.0)
    }

    /// Sends per ns that this node may make to a server in slow start, per unit of its capacity share.
    pub(super) fn slow_start_rate(&self, now: Nanos) -> f64 {
        // A server processes the mean number of the node's jobs in progress, and at least the node's equal
        // part of one job.
        let work: f64 = self.pools.iter().map(|p| p.answered_work.get(now, LOAD_WINDOW_NS)).sum();
        let jobs = (work / LOAD_WINDOW_NS / self.ring.len().max(1) as f64)
            .max(1.0 / f64::from(self.settings.node_count));
        jobs / mean(self.unloaded_latency.iter().copied()).unwrap_or(SECOND_NS) * SLOW_START_MARGIN
    }

    /// Sends that this node may still make to a server in slow start, out of its part of the sends that would
    /// overload the server.
    pub(super) fn available_tokens(
        &self, now: Nanos, server: &Server, capacity_share: f64, slow_start_rate: f64,
    ) -> f64 {
        let rate = slow_start_rate * capacity_share * self.settings.overload_factor * server.entry.weight
            / self.mean_weight();
        let saved = server.slow_start_tokens + rate * (now - server.tokens_updated_at) as f64;
        // Saved tokens expire, or else all nodes could use theirs at the same time.
        saved % (1.0 + rate * self.settings.overload_duration as f64)
    }
}
