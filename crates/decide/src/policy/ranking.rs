//! What each server is worth to each class, as the ring holds it.

use super::*;

impl Balancer {
    /// Draws anew what a server is worth to each class, after anything about it has changed.
    pub(super) fn refresh(&mut self, now: Nanos, id: ServerId) {
        let Some(server) = self.servers.get(&id) else { return };
        let Some(slot) = server.slot else { return };
        let entry = &server.entry;
        let warmth = self.capacity_share(now, entry);
        let mut wake = Nanos::MAX;
        let mut spent = false;
        if warmth < 1.0 {
            let cold_rate = self.slow_start_rate(now);
            let rate = cold_rate * warmth * self.settings.overload_factor * entry.weight / self.mean_weight();
            let left = self.available_tokens(now, server, warmth, cold_rate);
            spent = left < 1.0;
            let until = if spent { 1.0 } else { 1.0 + rate * self.settings.overload_duration as f64 };
            let step = (self.settings.slow_start_duration / SLOW_START_STEPS).max(TICK_INTERVAL);
            wake =
                now + (((until - left) / rate.max(1e-18)).ceil() as Nanos).clamp(MIN_SLOW_START_STEP, step);
        }
        let suspect = server.ejected_until > now
            || server.consecutive_failures >= EJECTION_FAILURES && server.in_flight > 0;
        if server.ejected_until > now {
            wake = wake.min(server.ejected_until);
        }
        let (speeds, any) = (&self.speed_model, self.speed(server));
        // A class that may go anywhere sees only the speed that those bound to a server leave of it.
        let bound = speeds.reserved.iter().filter(|(n, _)| self.settings.classes[*n].placement.allows(entry));
        let left = (1.0 - bound.map(|(_, part)| part).sum::<f64>()).max(MIN_UNRESERVED_SHARE);
        let near = 1.0 + LOCAL_ZONE_WEIGHT * self.settings.cross_zone_price;
        // What is known beats what is likely: with attempts out the age cheapens less.
        let alike = if entry.zone == self.settings.zone { near } else { 1.0 } * warmth
            / f64::from(1 + server.in_flight).powi(2);
        for (n, class) in self.settings.classes.iter().enumerate() {
            let pace = &server.by_class[n];
            if !class.placement.allows(entry) {
                continue;
            }
            let busy = pace.busy_until > now;
            if busy {
                wake = wake.min(pace.busy_until);
            }
            let left = if class.placement.is_free() { left } else { 1.0 };
            let own = pace.relative_latency.map_or(any, f64::recip) * left;
            // -ln q, over a scale that all servers share: it is worth the same whenever it was drawn.
            let slope = (own * speeds.scale).ln_1p() / speeds.scale * alike;
            let counts = !busy && !spent && (self.class_totals[n].panic_mode || !suspect);
            let free =
                counts && server.in_flight < self.depth_limit.saturating_add(u32::from(server.extra_slot));
            let slope = if free { (slope * SLOPE_UNIT).clamp(1.0, MAX_SLOPE) as u64 } else { 0 };
            self.ring.set(
                slot,
                n,
                Candidate {
                    slope,
                    last_send: server.last_send,
                    tie_break: server.tie_break,
                    in_rotation: counts,
                },
            );
        }
        let wake = if wake == Nanos::MAX { 0 } else { wake };
        let (speed, was) = (server.relative_latency().map(f64::recip), server.speed);
        if (wake, suspect, speed) == (server.refresh_at, server.unhealthy, was) {
            return;
        }
        if server.refresh_at > 0 {
            self.refresh_times.remove(&(server.refresh_at, id));
        }
        if wake > 0 {
            self.refresh_times.insert((wake, id));
        }
        let turned = suspect != server.unhealthy;
        let allowing = self.class_totals.iter_mut().zip(&self.settings.classes);
        for (tally, _) in allowing.filter(|(_, class)| class.placement.allows(entry)) {
            tally.update_speed(entry.weight, was, speed);
            tally.unhealthy_servers += u32::from(suspect && turned);
            tally.unhealthy_servers -= u32::from(!suspect && turned);
        }
        if turned {
            if suspect {
                self.unhealthy_servers.insert(id);
            } else {
                self.unhealthy_servers.remove(&id);
            }
        }
        if let Some(server) = self.servers.get_mut(&id) {
            (server.refresh_at, server.unhealthy, server.speed) = (wake, suspect, speed);
        }
        if turned {
            self.update_panic_mode(now);
        }
    }

    /// A trouble that over half share must not leave a few to carry everything: all stay in.
    pub(super) fn update_panic_mode(&mut self, now: Nanos) {
        let mut turned = false;
        for tally in &mut self.class_totals {
            let share = f64::from(tally.unhealthy_servers) / f64::from(tally.allowed_servers.max(1));
            // Heeded again somewhat below: a fleet on the brink would be drawn anew with every failure.
            let unheeded = share > if tally.panic_mode { PANIC_EXIT_SHARE } else { 0.5 };
            turned |= unheeded != tally.panic_mode;
            tally.panic_mode = unheeded;
        }
        if turned {
            for id in self.unhealthy_servers.clone() {
                self.refresh(now, id);
            }
        }
    }

    /// Draws anew those servers that the time has changed.
    pub(super) fn refresh_due(&mut self, now: Nanos) {
        while let Some(&(at, id)) = self.refresh_times.first().filter(|(at, _)| *at <= now) {
            self.refresh_times.remove(&(at, id));
            if let Some(server) = self.servers.get_mut(&id) {
                server.refresh_at = 0;
            }
            self.refresh(now, id);
        }
    }

    pub(super) fn speed(&self, server: &Server) -> f64 {
        server.relative_latency().map_or(self.speed_model.unmeasured * server.entry.weight, f64::recip)
    }

    /// Draws servers anew, some at a time, as what their speeds are reckoned with has moved.
    pub(super) fn refresh_batch(&mut self, now: Nanos) {
        use std::ops::Bound::{Excluded, Unbounded};
        self.update_speed_model(now);
        let some = if self.servers.len() > REFRESH_BATCH { REFRESH_BATCH / 4 } else { REFRESH_BATCH };
        let from = self.refresh_cursor.map_or(Unbounded, Excluded);
        let slice = self.servers.range((from, Unbounded)).map(|(&id, _)| id).take(some);
        let slice: Vec<ServerId> = slice.collect();
        self.refresh_cursor = slice.last().copied().filter(|_| slice.len() == some);
        slice.into_iter().for_each(|id| self.refresh(now, id));
    }

    pub(super) fn update_speed_model(&mut self, now: Nanos) {
        let known: u32 = self.class_totals.iter().map(|t| t.measured_servers).sum();
        let speed: f64 = self.class_totals.iter().map(|t| t.measured_speed).sum();
        let unknown = if known > 0 { speed.max(1e-9) / f64::from(known) } else { 1.0 } / self.mean_weight();
        // The paper's dispatcher sees every arrival, a node only its part: with its own rate as λ
        // every q would be near 0 and turns even whatever the speeds, so all nodes count.
        let own = self.request_rate.get(now, RATE_WINDOW_NS).max(1.0) / RATE_WINDOW_NS;
        let scale = 1.0 / self.mean_latency() / (own * f64::from(self.settings.node_count));
        // Kept while it is about right: slopes that stay the same need no drawing.
        let near = (scale / self.speed_model.scale - 1.0).abs() < SCALE_TOLERANCE;
        let scale = if near { self.speed_model.scale } else { scale };
        let open = |t: &ClassTotals| (t.measured_speed + t.unmeasured_weight * unknown).max(1e-9);
        let all = self.ring.len() as f64 * unknown * self.mean_weight();
        let work = |n: usize| self.offered_work[n].get(now, RATE_WINDOW_NS);
        let classes = 0..self.settings.classes.len();
        let even = all / classes.clone().map(work).sum::<f64>().max(1e-9);
        let bound = classes.filter(|&n| !self.settings.classes[n].placement.is_free());
        let bound = bound.map(|n| (n, work(n) * even / open(&self.class_totals[n]))).collect();
        self.speed_model = SpeedModel { unmeasured: unknown, scale, reserved: bound };
    }

    /// Mean weight of the ready servers.
    pub(super) fn mean_weight(&self) -> f64 {
        match self.ring.len() {
            0 => 1.0,
            n => (self.total_weight / n as f64).max(1e-3),
        }
    }

    /// Ready servers for each node.
    pub(super) fn servers_per_node(&self) -> f64 {
        self.ring.len() as f64 / f64::from(self.settings.node_count)
    }

    /// What an answer takes, so many deviations over the usual.
    pub(super) fn latency_at(&self, class: usize, deviations: f64) -> f64 {
        self.latency_stats[class].mean + deviations * self.latency_stats[class].deviation
    }

    pub(super) fn mean_latency(&self) -> f64 {
        mean(self.latency_stats.iter().map(|u| u.mean)).unwrap_or(1.0)
    }
}
