//! Slow start: what a server that has just started bears of all nodes together.

use super::*;

impl Balancer {
    /// Share of its full speed that a server has at least, going by its last start.
    pub(super) fn capacity_share(&self, now: Nanos, entry: &ServerEntry) -> f64 {
        let age =
            now.saturating_sub(entry.started_at) as f64 / self.settings.slow_start_duration.max(1) as f64;
        let ever = if entry.started_at == 0 { 1.0 } else { self.settings.initial_capacity_share };
        (ever + (1.0 - ever) * age).min(1.0)
    }

    /// Sends a ns that this node may make to a cold server, for each unit of its warmth.
    pub(super) fn slow_start_rate(&self, now: Nanos) -> f64 {
        // A server takes what it has under way on the mean, an even part of one job at least.
        let under_way: f64 = self.pools.iter().map(|p| p.answered_work.get(now, LOAD_WINDOW_NS)).sum();
        let jobs = (under_way / LOAD_WINDOW_NS / self.ring.len().max(1) as f64)
            .max(1.0 / f64::from(self.settings.node_count));
        jobs / mean(self.unloaded_latency.iter().copied()).unwrap_or(SECOND_NS) * SLOW_START_MARGIN
    }

    /// Sends left of this node's part of the fall budget of a cold server.
    pub(super) fn available_tokens(&self, now: Nanos, server: &Server, warmth: f64, cold_rate: f64) -> f64 {
        let rate =
            cold_rate * warmth * self.settings.overload_factor * server.entry.weight / self.mean_weight();
        // Savings lapse, or all nodes would come to spend theirs at the same time.
        let saved = server.slow_start_tokens + rate * (now - server.tokens_updated_at) as f64;
        saved % (1.0 + rate * self.settings.overload_duration as f64)
    }
}
