//! Feedback: what outcomes and peers tell about servers and about congestion.

use super::*;

impl Balancer {
    /// Records the latency of an answer, in ns at full capacity, and updates the load of its pool.
    pub(super) fn record_answer(
        &mut self, now: Nanos, class: usize, depth: usize, latency: f64, capacity_share: f64,
    ) {
        let stats = &mut self.latency_stats[class];
        stats.add(latency, LATENCY_SAMPLES);
        let unloaded = self.unloaded_latency[class];
        let raised = unloaded + UNLOADED_LATENCY_GAIN * (stats.mean - unloaded);
        let unloaded =
            if stats.samples < UNLOADED_LATENCY_SAMPLES { stats.mean } else { raised.min(stats.mean) };
        // If it were learned during congestion it would hide the congestion. Target latencies leave time for
        // queues, so it has an upper bound.
        let target = self.settings.classes[class].target_latency as f64;
        let unloaded = unloaded.min(target * MAX_UNLOADED_LATENCY_SHARE);
        self.unloaded_latency[class] = unloaded;
        let pool = &mut self.pools[self.pool_of_class[class]];
        pool.answered_work.add(now, LOAD_WINDOW_NS, unloaded);
        let decay_time = LOAD_WINDOW_NS.max(PEAK_DECAY_LATENCIES * unloaded);
        pool.peak_concurrency *= (-(now.saturating_sub(pool.last_answer_at) as f64) / decay_time).exp();
        pool.recent_answers.add(now, unloaded, 1.0);
        let concurrency = pool.recent_answers.get(now, unloaded) / self.ring.len().max(1) as f64;
        pool.peak_concurrency = pool.peak_concurrency.max(concurrency);
        // Only a few attempts exceed the depth limit, so each of them counts for more.
        let max_samples = if (depth as u32) < self.depth_limit { 4.0 * DEPTH_SAMPLES } else { DEPTH_SAMPLES };
        self.depth_stats[depth].add((latency / unloaded).min(2.0 * MAX_DEPTH_SLOWDOWN), max_samples);
        self.record_congestion(now, class, Some(latency / unloaded), capacity_share);
    }

    /// Records a relative latency of a server for these classes.
    pub(super) fn record_latency(
        &mut self, now: Nanos, id: ServerId, classes: std::ops::Range<usize>, sample: f64,
    ) {
        let Some(server) = self.servers.get_mut(&id) else { return };
        for class in &mut server.by_class[classes] {
            let old = class.relative_latency.unwrap_or(sample);
            let age = (now - class.updated_at) as f64;
            let gain = (age / RATE_WINDOW_NS).clamp(LATENCY_GAIN / 8.0, LATENCY_GAIN);
            (class.relative_latency, class.updated_at) = (Some(old + gain * (sample - old)), now);
        }
    }

    /// Records the latencies that a peer has observed, like those of own answers.
    pub(super) fn receive_peer_report(&mut self, now: Nanos, bytes: &[u8]) {
        for word in bytes.as_chunks().0.iter().map(|&word| u32::from_le_bytes(word)) {
            if let Some(&id) = self.by_name_hash.get(&(word >> 8)) {
                let all_classes = 0..self.settings.classes.len(); // reports do not contain the class
                let sample = (f64::from(word & 255) / REPORT_STEPS_PER_DOUBLING - 8.0).exp2();
                self.record_latency(now, id, all_classes, sample);
                self.refresh(now, id);
            }
        }
    }

    /// Appends an observation to the next report: 24 bits of the name hash, 8 bits of logarithmic latency.
    pub(super) fn append_to_peer_report(&mut self, name_hash: u32, relative_latency: f64) {
        if self.settings.may_message_peers && self.peer_report.len() < MAX_MESSAGE_BYTES {
            let code = ((relative_latency.log2() + 8.0) * REPORT_STEPS_PER_DOUBLING) as u32;
            self.peer_report.extend((name_hash & !255 | code & 255).to_le_bytes());
        }
    }

    /// Sends the observations since the last report to random peers, so that nodes with little traffic learn
    /// from each other.
    pub(super) fn send_peer_report(&mut self, actions: &mut Vec<Action>) {
        if self.peer_report.is_empty() || self.rng.u32(0..PEER_REPORT_TICKS) > 0 {
            return;
        }
        let bytes = std::mem::take(&mut self.peer_report);
        let (index, nodes) = (self.settings.node_index, self.settings.node_count);
        let peers = (self.ring.len() / SERVERS_PER_REPORT_PEER).min(nodes as usize - 1).min(MAX_REPORT_PEERS);
        for _ in 0..peers {
            let to = Some((index + self.rng.u32(1..nodes)) % nodes);
            actions.push(Action::SendToPeers { to, bytes: bytes.clone() });
        }
    }

    /// Updates the congestion with an answer's latency over the unloaded latency, or with `None` for a
    /// failure. A failure counts as congestion if answers are so slow that refusals start, or if none
    /// arrive; otherwise it is taken for a fault of the server.
    pub(super) fn record_congestion(
        &mut self, now: Nanos, class: usize, answer: Option<f64>, capacity_share: f64,
    ) {
        let pool = &self.pools[self.pool_of_class[class]];
        let slowness =
            (self.deviations(pool.answer_congestion) / REFUSAL_START_DEVIATIONS - 1.0).clamp(0.0, 1.0);
        let congested = if (now - pool.last_answer_at) as f64 > RATE_WINDOW_NS { 1.0 } else { slowness };
        let failure =
            capacity_share * (pool.answer_congestion + congested * (MAX_CONGESTION - pool.answer_congestion));
        let pool = &mut self.pools[self.pool_of_class[class]];
        let age = (now - pool.congestion_updated_at) as f64;
        let gain = (age / RATE_WINDOW_NS).clamp(CONGESTION_GAIN, 4.0 * CONGESTION_GAIN);
        pool.congestion += gain * (answer.unwrap_or(failure).min(MAX_CONGESTION) - pool.congestion);
        pool.congestion_updated_at = now;
        if let Some(ratio) = answer {
            pool.answer_congestion +=
                2.0 * CONGESTION_GAIN * (ratio.min(MAX_CONGESTION) - pool.answer_congestion);
            pool.last_answer_at = now;
        }
    }

    /// Overload of the servers of a class: the greater of its congestion and `congestion`, in deviations.
    pub(super) fn overload(&self, class: usize, congestion: f64) -> f64 {
        self.deviations(self.pools[self.pool_of_class[class]].congestion.max(congestion))
    }

    /// Converts congestion into deviations of latency: a value that is high for jobs of similar size may be
    /// chance where sizes vary.
    fn deviations(&self, congestion: f64) -> f64 {
        (congestion - 1.0) / self.latency_spread()
    }

    /// Mean ratio of deviation to mean latency over all classes.
    pub(super) fn latency_spread(&self) -> f64 {
        mean(self.latency_stats.iter().map(|stats| stats.deviation / stats.mean))
            .unwrap_or(MIN_LATENCY_SPREAD)
            .max(MIN_LATENCY_SPREAD)
    }

    /// Outlier ejection: a failing server leaves the rotation and returns with a single trial attempt.
    pub(super) fn record_failure(
        &mut self, now: Nanos, id: ServerId, class: usize, status: Status, sent_at: Nanos,
    ) {
        let (latency, jitter) = (self.mean_latency(), 0.5 + self.rng.f64());
        let Some(server) = self.servers.get_mut(&id) else { return };
        if status == Status::Rejected {
            // The server is healthy, but it would stay full if it were refilled at once, and a full server
            // gets less done.
            server.by_class[class].busy_until = now.saturating_add((2.0 * latency * jitter) as Nanos);
            return;
        }
        if sent_at < server.ejected_until {
            return; // sent before the ejection ended: evidence of the same incident, not that it continues
        }
        server.consecutive_failures += 1;
        if let Some(more) = server.consecutive_failures.checked_sub(EJECTION_FAILURES) {
            let duration = BASE_EJECTION_TIME << more.min(MAX_EJECTION_DOUBLINGS);
            server.ejected_until = now + (duration as f64 * jitter) as Nanos;
        }
    }
}
