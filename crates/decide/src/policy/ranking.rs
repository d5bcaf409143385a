//! Ranking: the score of each server for each class, as the ring stores it.

use super::*;

impl Balancer {
    /// Recomputes a server's scores for all classes, after anything that they depend on has changed.
    pub(super) fn refresh(&mut self, now: Nanos, id: ServerId) {
        let Some(server) = self.servers.get(&id) else { return };
        let Some(slot) = server.slot else { return };
        let entry = &server.entry;
        let capacity_share = self.capacity_share(now, entry);
        let mut refresh_at = Nanos::MAX;
        let mut tokens_spent = false;
        if capacity_share < 1.0 {
            (tokens_spent, refresh_at) = self.slow_start_state(now, server, capacity_share);
        }
        let ejected = server.ejected_until > now;
        let on_trial = server.consecutive_failures >= EJECTION_FAILURES && server.in_flight > 0;
        let unhealthy = ejected || on_trial;
        if ejected {
            refresh_at = refresh_at.min(server.ejected_until);
        }
        let (model, any_class_speed) = (&self.speed_model, self.speed(server));
        // Classes without a placement constraint use only the speed that constrained classes leave.
        let reserved =
            model.reserved.iter().filter(|(n, _)| self.settings.classes[*n].placement.allows(entry));
        let unreserved = (1.0 - reserved.map(|(_, share)| share).sum::<f64>()).max(MIN_UNRESERVED_SHARE);
        let local = 1.0 + LOCAL_ZONE_WEIGHT * self.settings.cross_zone_price;
        let zone_factor = if entry.zone == self.settings.zone { local } else { 1.0 };
        // Own attempts in flight are certain, unlike the estimate by age, so they reduce the slope.
        let common_factor = zone_factor * capacity_share / f64::from(1 + server.in_flight).powi(2);
        for (n, class) in self.settings.classes.iter().enumerate() {
            if !class.placement.allows(entry) {
                continue;
            }
            let performance = &server.by_class[n];
            let busy = performance.busy_until > now;
            if busy {
                refresh_at = refresh_at.min(performance.busy_until);
            }
            let share = if class.placement.is_free() { unreserved } else { 1.0 };
            let speed = performance.relative_latency.map_or(any_class_speed, f64::recip) * share;
            // -ln q, divided by a scale that all servers share: the result does not depend on when it was
            // computed.
            let slope = (speed * model.scale).ln_1p() / model.scale * common_factor;
            let in_rotation = !busy && !tokens_spent && (self.class_totals[n].panic_mode || !unhealthy);
            let limit = self.depth_limit.saturating_add(u32::from(server.extra_slot));
            let available = in_rotation && server.in_flight < limit;
            let slope = if available { (slope * SLOPE_UNIT).clamp(1.0, MAX_SLOPE) as u64 } else { 0 };
            let (last_send, tie_break) = (server.last_send, server.tie_break);
            self.ring.set(slot, n, Candidate { slope, last_send, tie_break, in_rotation });
        }
        let refresh_at = if refresh_at == Nanos::MAX { 0 } else { refresh_at };
        self.update_indexes(now, id, refresh_at, unhealthy);
    }

    /// Whether a server in slow start has no tokens left, and when its scores have to be recomputed.
    fn slow_start_state(&self, now: Nanos, server: &Server, capacity_share: f64) -> (bool, Nanos) {
        let slow_start_rate = self.slow_start_rate(now);
        let rate = slow_start_rate * capacity_share * self.settings.overload_factor * server.entry.weight
            / self.mean_weight();
        let tokens = self.available_tokens(now, server, capacity_share, slow_start_rate);
        let spent = tokens < 1.0;
        // The state changes when there is a token again, or when saved tokens expire.
        let threshold = if spent { 1.0 } else { 1.0 + rate * self.settings.overload_duration as f64 };
        let longest = (self.settings.slow_start_duration / SLOW_START_STEPS).max(TICK_INTERVAL);
        let wait = ((threshold - tokens) / rate.max(1e-18)).ceil() as Nanos;
        (spent, now + wait.clamp(MIN_SLOW_START_STEP, longest))
    }

    /// Stores what has been computed of a server and updates the totals and indexes that depend on it.
    fn update_indexes(&mut self, now: Nanos, id: ServerId, refresh_at: Nanos, unhealthy: bool) {
        let Some(server) = self.servers.get_mut(&id) else { return };
        let (speed, old_speed) = (server.relative_latency().map(f64::recip), server.speed);
        if (refresh_at, unhealthy, speed) == (server.refresh_at, server.unhealthy, old_speed) {
            return;
        }
        if server.refresh_at > 0 {
            self.refresh_times.remove(&(server.refresh_at, id));
        }
        if refresh_at > 0 {
            self.refresh_times.insert((refresh_at, id));
        }
        let health_changed = unhealthy != server.unhealthy;
        let totals = self.class_totals.iter_mut().zip(&self.settings.classes);
        for (totals, _) in totals.filter(|(_, class)| class.placement.allows(&server.entry)) {
            totals.update_speed(server.entry.weight, old_speed, speed);
            totals.unhealthy_servers += u32::from(unhealthy && health_changed);
            totals.unhealthy_servers -= u32::from(!unhealthy && health_changed);
        }
        (server.refresh_at, server.unhealthy, server.speed) = (refresh_at, unhealthy, speed);
        if health_changed {
            if unhealthy {
                self.unhealthy_servers.insert(id);
            } else {
                self.unhealthy_servers.remove(&id);
            }
            self.update_panic_mode(now);
        }
    }

    /// Starts or ends panic mode: if over half of the servers are unhealthy, all of them stay in rotation, so
    /// that the few others do not receive the whole load.
    fn update_panic_mode(&mut self, now: Nanos) {
        let mut changed = false;
        for totals in &mut self.class_totals {
            let share = f64::from(totals.unhealthy_servers) / f64::from(totals.allowed_servers.max(1));
            let panic_mode = share > if totals.panic_mode { PANIC_EXIT_SHARE } else { 0.5 };
            changed |= panic_mode != totals.panic_mode;
            totals.panic_mode = panic_mode;
        }
        if changed {
            for id in self.unhealthy_servers.clone() {
                self.refresh(now, id);
            }
        }
    }

    /// Recomputes the scores of servers that have changed by the passing of time.
    pub(super) fn refresh_due(&mut self, now: Nanos) {
        while let Some(&(at, id)) = self.refresh_times.first().filter(|(at, _)| *at <= now) {
            self.refresh_times.remove(&(at, id));
            if let Some(server) = self.servers.get_mut(&id) {
                server.refresh_at = 0;
            }
            self.refresh(now, id);
        }
    }

    /// Speed of a server over all classes, relative to the mean latency.
    fn speed(&self, server: &Server) -> f64 {
        server.relative_latency().map_or(self.speed_model.unmeasured * server.entry.weight, f64::recip)
    }

    /// Updates the speed model and recomputes the scores of some servers in turn, because the model affects
    /// all of them.
    pub(super) fn refresh_batch(&mut self, now: Nanos) {
        use std::ops::Bound::{Excluded, Unbounded};
        self.update_speed_model(now);
        let count = if self.servers.len() > REFRESH_BATCH { REFRESH_BATCH / 4 } else { REFRESH_BATCH };
        let start = self.refresh_cursor.map_or(Unbounded, Excluded);
        let batch = self.servers.range((start, Unbounded)).map(|(&id, _)| id).take(count);
        let batch: Vec<ServerId> = batch.collect();
        self.refresh_cursor = batch.last().copied().filter(|_| batch.len() == count);
        batch.into_iter().for_each(|id| self.refresh(now, id));
    }

    fn update_speed_model(&mut self, now: Nanos) {
        let measured: u32 = self.class_totals.iter().map(|t| t.measured_servers).sum();
        let speed: f64 = self.class_totals.iter().map(|t| t.measured_speed).sum();
        let mean_speed = if measured > 0 { speed.max(1e-9) / f64::from(measured) } else { 1.0 };
        let unmeasured = mean_speed / self.mean_weight();
        // The paper's dispatcher sees all arrivals, a node only its part. With the node's own rate as λ every
        // q would be near 0 and servers of any speed would take equal turns, so λ is the rate of all nodes.
        let own_rate = self.request_rate.get(now, RATE_WINDOW_NS).max(1.0) / RATE_WINDOW_NS;
        let scale = 1.0 / self.mean_latency() / (own_rate * f64::from(self.settings.node_count));
        // The old scale is kept while it is close enough, because unchanged slopes need no recomputation.
        let is_close = (scale / self.speed_model.scale - 1.0).abs() < SCALE_TOLERANCE;
        let scale = if is_close { self.speed_model.scale } else { scale };
        let class_speed = |t: &ClassTotals| (t.measured_speed + t.unmeasured_weight * unmeasured).max(1e-9);
        let total_speed = self.ring.len() as f64 * unmeasured * self.mean_weight();
        let work = |n: usize| self.offered_work[n].get(now, RATE_WINDOW_NS);
        let classes = 0..self.settings.classes.len();
        let speed_per_work = total_speed / classes.clone().map(work).sum::<f64>().max(1e-9);
        let constrained = classes.filter(|&n| !self.settings.classes[n].placement.is_free());
        let reserved =
            constrained.map(|n| (n, work(n) * speed_per_work / class_speed(&self.class_totals[n]))).collect();
        self.speed_model = SpeedModel { unmeasured, scale, reserved };
    }

    /// Mean weight of the ready servers.
    pub(super) fn mean_weight(&self) -> f64 {
        match self.ring.len() {
            0 => 1.0,
            n => (self.total_weight / n as f64).max(1e-3),
        }
    }

    /// Ready servers per node of the fleet.
    pub(super) fn servers_per_node(&self) -> f64 {
        self.ring.len() as f64 / f64::from(self.settings.node_count)
    }

    /// Latency of a class that is this many deviations above the mean, in ns.
    pub(super) fn latency_at(&self, class: usize, deviations: f64) -> f64 {
        self.latency_stats[class].mean + deviations * self.latency_stats[class].deviation
    }

    /// Mean latency over all classes, in ns.
    pub(super) fn mean_latency(&self) -> f64 {
        mean(self.latency_stats.iter().map(|stats| stats.mean)).unwrap_or(1.0)
    }
}
