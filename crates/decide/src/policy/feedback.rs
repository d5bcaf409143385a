//! What outcomes tell of servers and of the strain.

use super::*;

impl Balancer {
    /// Notes how attempts of these classes went, as slowness: latency over what is usual.
    pub(super) fn record_latency(
        &mut self, now: Nanos, id: ServerId, classes: std::ops::Range<usize>, sample: f64,
    ) {
        let Some(server) = self.servers.get_mut(&id) else { return };
        for pace in &mut server.by_class[classes] {
            let old = pace.relative_latency.unwrap_or(sample);
            let gain =
                ((now - pace.updated_at) as f64 / RATE_WINDOW_NS).clamp(LATENCY_GAIN / 8.0, LATENCY_GAIN);
            (pace.relative_latency, pace.updated_at) = (Some(old + gain * (sample - old)), now);
        }
    }

    /// Takes what a peer has learned like an answer of its own.
    pub(super) fn receive_peer_report(&mut self, now: Nanos, bytes: &[u8]) {
        for word in bytes.as_chunks().0.iter().map(|&word| u32::from_le_bytes(word)) {
            if let Some(&id) = self.by_name_hash.get(&(word >> 8)) {
                let all = 0..self.settings.classes.len(); // peers do not say which class it was
                self.record_latency(
                    now,
                    id,
                    all,
                    (f64::from(word & 255) / REPORT_STEPS_PER_DOUBLING - 8.0).exp2(),
                );
                self.refresh(now, id);
            }
        }
    }

    /// Passes on what was learned since the last time: nodes that see little learn from each other.
    pub(super) fn send_peer_report(&mut self, out: &mut Vec<Action>) {
        if self.peer_report.is_empty() || self.rng.u32(0..PEER_REPORT_TICKS) > 0 {
            return;
        }
        let bytes = std::mem::take(&mut self.peer_report);
        for _ in 0..(self.ring.len() / SERVERS_PER_REPORT_PEER)
            .min(self.settings.node_count as usize - 1)
            .min(MAX_REPORT_PEERS)
        {
            let to = Some(
                (self.settings.node_index + self.rng.u32(1..self.settings.node_count))
                    % self.settings.node_count,
            );
            out.push(Action::SendToPeers { to, bytes: bytes.clone() });
        }
    }

    /// Takes an answer into the strain, or that none came. Lost, or a jam? A jam where those that come
    /// are so slow that refusing begins, or none come; else the loss is its server's own fault.
    pub(super) fn record_congestion(&mut self, now: Nanos, class: usize, came: Option<f64>, warmth: f64) {
        let pool = &self.pools[self.pool_of_class[class]];
        let slow = (self.deviations(pool.answer_congestion) / REFUSAL_START_DEVIATIONS - 1.0).clamp(0.0, 1.0);
        let jam = if (now - pool.last_answer_at) as f64 > RATE_WINDOW_NS { 1.0 } else { slow };
        let lost = warmth * (pool.answer_congestion + jam * (MAX_CONGESTION - pool.answer_congestion));
        let pool = &mut self.pools[self.pool_of_class[class]];
        let gain = ((now - pool.congestion_updated_at) as f64 / RATE_WINDOW_NS)
            .clamp(CONGESTION_GAIN, 4.0 * CONGESTION_GAIN);
        pool.congestion += gain * (came.unwrap_or(lost).min(MAX_CONGESTION) - pool.congestion);
        pool.congestion_updated_at = now;
        if let Some(taken) = came {
            pool.answer_congestion +=
                2.0 * CONGESTION_GAIN * (taken.min(MAX_CONGESTION) - pool.answer_congestion);
            pool.last_answer_at = now;
        }
    }

    /// Strain in deviations: what is much for jobs of like size is chance where sizes vary.
    pub(super) fn overload(&self, class: usize, crowd: f64) -> f64 {
        self.deviations(self.pools[self.pool_of_class[class]].congestion.max(crowd))
    }

    pub(super) fn deviations(&self, strain: f64) -> f64 {
        (strain - 1.0) / self.latency_spread()
    }

    /// Usual deviation of an answer over the mean.
    pub(super) fn latency_spread(&self) -> f64 {
        mean(self.latency_stats.iter().map(|u| u.deviation / u.mean))
            .unwrap_or(MIN_LATENCY_SPREAD)
            .max(MIN_LATENCY_SPREAD)
    }

    /// Outlier ejection: a failing server leaves the rotation and comes back by a single trial.
    pub(super) fn record_failure(
        &mut self, now: Nanos, id: ServerId, class: usize, status: Status, sent: Nanos,
    ) {
        let (usual, jitter) = (self.mean_latency(), 0.5 + self.rng.f64());
        let Some(server) = self.servers.get_mut(&id) else { return };
        if status == Status::Rejected {
            // Not ill, but refilled at once it would stay full: the fuller, the less it gets done.
            server.by_class[class].busy_until = now.saturating_add((2.0 * usual * jitter) as Nanos);
            return;
        }
        if sent < server.ejected_until {
            return; // sent before it was back: it tells of the same trouble, not that it lasts
        }
        server.consecutive_failures += 1;
        if let Some(more) = server.consecutive_failures.checked_sub(EJECTION_FAILURES) {
            server.ejected_until =
                now + ((BASE_EJECTION_TIME << more.min(MAX_EJECTION_DOUBLINGS)) as f64 * jitter) as Nanos;
        }
    }
}
