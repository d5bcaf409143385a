//! What outcomes tell of servers and of the strain.

use super::*;

impl Balancer {
    /// Notes how attempts of these classes went, as slowness: latency over what is usual.
    pub(super) fn learn(&mut self, now: Nanos, id: ServerId, classes: std::ops::Range<usize>, sample: f64) {
        let Some(server) = self.servers.get_mut(&id) else { return };
        for pace in &mut server.pace[classes] {
            let old = pace.slowness.unwrap_or(sample);
            let gain = ((now - pace.learned) as f64 / RATE_WINDOW).clamp(SPEED_GAIN / 8.0, SPEED_GAIN);
            (pace.slowness, pace.learned) = (Some(old + gain * (sample - old)), now);
        }
    }

    /// Takes what a peer has learned like an answer of its own.
    pub(super) fn hear(&mut self, now: Nanos, bytes: &[u8]) {
        for word in bytes.as_chunks().0.iter().map(|&word| u32::from_le_bytes(word)) {
            if let Some(&id) = self.by_tag.get(&(word >> 8)) {
                let all = 0..self.set.classes.len(); // peers do not say which class it was
                self.learn(now, id, all, (f64::from(word & 255) / NEWS_STEPS - 8.0).exp2());
                self.draw(now, id);
            }
        }
    }

    /// Passes on what was learned since the last time: nodes that see little learn from each other.
    pub(super) fn tell(&mut self, out: &mut Vec<Action>) {
        if self.news.is_empty() || self.rng.u32(0..TELL_TICKS) > 0 {
            return;
        }
        let bytes = std::mem::take(&mut self.news);
        for _ in 0..(self.ring.len() / NEWS_PART).min(self.set.node_count as usize - 1).min(NEWS_PEERS) {
            let to = Some((self.set.node_index + self.rng.u32(1..self.set.node_count)) % self.set.node_count);
            out.push(Action::SendToPeers { to, bytes: bytes.clone() });
        }
    }

    /// Takes an answer into the strain, or that none came. Lost, or a jam? A jam where those that come
    /// are so slow that refusing begins, or none come; else the loss is its server's own fault.
    pub(super) fn sense(&mut self, now: Nanos, class: usize, came: Option<f64>, warmth: f64) {
        let pool = &self.pools[self.pool[class]];
        let slow = (self.deviations(pool.pace) / STRAIN_FROM - 1.0).clamp(0.0, 1.0);
        let jam = if (now - pool.heard) as f64 > RATE_WINDOW { 1.0 } else { slow };
        let lost = warmth * (pool.pace + jam * (STRAIN_MOST - pool.pace));
        let pool = &mut self.pools[self.pool[class]];
        let gain = ((now - pool.sensed) as f64 / RATE_WINDOW).clamp(STRAIN_GAIN, 4.0 * STRAIN_GAIN);
        pool.strain += gain * (came.unwrap_or(lost).min(STRAIN_MOST) - pool.strain);
        pool.sensed = now;
        if let Some(taken) = came {
            pool.pace += 2.0 * STRAIN_GAIN * (taken.min(STRAIN_MOST) - pool.pace);
            pool.heard = now;
        }
    }

    /// Strain in deviations: what is much for jobs of like size is chance where sizes vary.
    pub(super) fn excess(&self, class: usize, crowd: f64) -> f64 {
        self.deviations(self.pools[self.pool[class]].strain.max(crowd))
    }

    pub(super) fn deviations(&self, strain: f64) -> f64 {
        (strain - 1.0) / self.spread()
    }

    /// Usual deviation of an answer over the mean.
    pub(super) fn spread(&self) -> f64 {
        mean(self.usual.iter().map(|u| u.deviation / u.mean)).unwrap_or(SPREAD_LEAST).max(SPREAD_LEAST)
    }

    /// Outlier ejection: a failing server leaves the rotation and comes back by a single trial.
    pub(super) fn strike(&mut self, now: Nanos, id: ServerId, class: usize, status: Status, sent: Nanos) {
        let (usual, jitter) = (self.usual_latency(), 0.5 + self.rng.f64());
        let Some(server) = self.servers.get_mut(&id) else { return };
        if status == Status::Rejected {
            // Not ill, but refilled at once it would stay full: the fuller, the less it gets done.
            server.pace[class].busy_until = now.saturating_add((2.0 * usual * jitter) as Nanos);
            return;
        }
        if sent < server.back_at {
            return; // sent before it was back: it tells of the same trouble, not that it lasts
        }
        server.strikes += 1;
        if let Some(more) = server.strikes.checked_sub(STRIKES) {
            server.back_at = now + ((EJECT << more.min(DOUBLINGS)) as f64 * jitter) as Nanos;
        }
    }
}
