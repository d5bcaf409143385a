//! What each server is worth to each class, as the ring holds it.

use super::*;

impl Balancer {
    /// Draws anew what a server is worth to each class, after anything about it has changed.
    pub(super) fn draw(&mut self, now: Nanos, id: ServerId) {
        let Some(server) = self.servers.get(&id) else { return };
        let Some(slot) = server.slot else { return };
        let entry = &server.entry;
        let warmth = self.warmth(now, entry);
        let mut wake = Nanos::MAX;
        let mut spent = false;
        if warmth < 1.0 {
            let cold_rate = self.cold_rate(now);
            let rate = cold_rate * warmth * self.set.overload_factor * entry.weight / self.mean_size();
            let left = self.allowance(now, server, warmth, cold_rate);
            spent = left < 1.0;
            let until = if spent { 1.0 } else { 1.0 + rate * self.set.overload_duration as f64 };
            let step = (self.set.slow_start_duration / COLD_STEPS).max(TICK);
            wake = now + (((until - left) / rate.max(1e-18)).ceil() as Nanos).clamp(COLD_STEP, step);
        }
        let suspect = server.back_at > now || server.strikes >= STRIKES && server.out > 0;
        if server.back_at > now {
            wake = wake.min(server.back_at);
        }
        let (speeds, any) = (&self.speeds, self.speed(server));
        // A class that may go anywhere sees only the speed that those bound to a server leave of it.
        let bound = speeds.bound.iter().filter(|(n, _)| self.set.classes[*n].placement.allows(entry));
        let left = (1.0 - bound.map(|(_, part)| part).sum::<f64>()).max(LEFT_LEAST);
        let near = 1.0 + NEAR * self.set.cross_zone_price;
        // What is known beats what is likely: with attempts out the age cheapens less.
        let alike =
            if entry.zone == self.set.zone { near } else { 1.0 } * warmth / f64::from(1 + server.out).powi(2);
        for (n, class) in self.set.classes.iter().enumerate() {
            let pace = &server.pace[n];
            if !class.placement.allows(entry) {
                continue;
            }
            let busy = pace.busy_until > now;
            if busy {
                wake = wake.min(pace.busy_until);
            }
            let left = if class.placement.is_free() { left } else { 1.0 };
            let own = pace.slowness.map_or(any, f64::recip) * left;
            // -ln q, over a scale that all servers share: it is worth the same whenever it was drawn.
            let slope = (own * speeds.scale).ln_1p() / speeds.scale * alike;
            let counts = !busy && !spent && (self.tallies[n].unheeded || !suspect);
            let free = counts && server.out < self.limit.saturating_add(u32::from(server.more));
            let slope = if free { (slope * SLOPE_UNIT).clamp(1.0, SLOPE_MOST) as u64 } else { 0 };
            self.ring.set(slot, n, Line { slope, last: server.last, tie: server.tie, counts });
        }
        let wake = if wake == Nanos::MAX { 0 } else { wake };
        let (speed, was) = (server.slowness().map(f64::recip), server.speed);
        if (wake, suspect, speed) == (server.wake, server.suspect, was) {
            return;
        }
        if server.wake > 0 {
            self.wakes.remove(&(server.wake, id));
        }
        if wake > 0 {
            self.wakes.insert((wake, id));
        }
        let turned = suspect != server.suspect;
        let allowing = self.tallies.iter_mut().zip(&self.set.classes);
        for (tally, _) in allowing.filter(|(_, class)| class.placement.allows(entry)) {
            tally.know(entry.weight, was, speed);
            tally.suspects += u32::from(suspect && turned);
            tally.suspects -= u32::from(!suspect && turned);
        }
        if turned {
            if suspect {
                self.suspects.insert(id);
            } else {
                self.suspects.remove(&id);
            }
        }
        if let Some(server) = self.servers.get_mut(&id) {
            (server.wake, server.suspect, server.speed) = (wake, suspect, speed);
        }
        if turned {
            self.heed(now);
        }
    }

    /// A trouble that over half share must not leave a few to carry everything: all stay in.
    pub(super) fn heed(&mut self, now: Nanos) {
        let mut turned = false;
        for tally in &mut self.tallies {
            let share = f64::from(tally.suspects) / f64::from(tally.allowed.max(1));
            // Heeded again somewhat below: a fleet on the brink would be drawn anew with every failure.
            let unheeded = share > if tally.unheeded { HEED_AGAIN } else { 0.5 };
            turned |= unheeded != tally.unheeded;
            tally.unheeded = unheeded;
        }
        if turned {
            for id in self.suspects.clone() {
                self.draw(now, id);
            }
        }
    }

    /// Draws anew those servers that the time has changed.
    pub(super) fn awake(&mut self, now: Nanos) {
        while let Some(&(at, id)) = self.wakes.first().filter(|(at, _)| *at <= now) {
            self.wakes.remove(&(at, id));
            if let Some(server) = self.servers.get_mut(&id) {
                server.wake = 0;
            }
            self.draw(now, id);
        }
    }

    pub(super) fn speed(&self, server: &Server) -> f64 {
        server.slowness().map_or(self.speeds.unknown * server.entry.weight, f64::recip)
    }

    /// Draws servers anew, some at a time, as what their speeds are reckoned with has moved.
    pub(super) fn sweep(&mut self, now: Nanos) {
        use std::ops::Bound::{Excluded, Unbounded};
        self.reckon(now);
        let some = if self.servers.len() > SWEEP { SWEEP / 4 } else { SWEEP };
        let from = self.swept.map_or(Unbounded, Excluded);
        let slice = self.servers.range((from, Unbounded)).map(|(&id, _)| id).take(some);
        let slice: Vec<ServerId> = slice.collect();
        self.swept = slice.last().copied().filter(|_| slice.len() == some);
        slice.into_iter().for_each(|id| self.draw(now, id));
    }

    pub(super) fn reckon(&mut self, now: Nanos) {
        let known: u32 = self.tallies.iter().map(|t| t.known).sum();
        let speed: f64 = self.tallies.iter().map(|t| t.speed).sum();
        let unknown = if known > 0 { speed.max(1e-9) / f64::from(known) } else { 1.0 } / self.mean_size();
        // The paper's dispatcher sees every arrival, a node only its part: with its own rate as λ
        // every q would be near 0 and turns even whatever the speeds, so all nodes count.
        let own = self.asked.get(now, RATE_WINDOW).max(1.0) / RATE_WINDOW;
        let scale = 1.0 / self.usual_latency() / (own * f64::from(self.set.node_count));
        // Kept while it is about right: slopes that stay the same need no drawing.
        let near = (scale / self.speeds.scale - 1.0).abs() < SCALE_NEAR;
        let scale = if near { self.speeds.scale } else { scale };
        let open = |t: &Tally| (t.speed + t.weight * unknown).max(1e-9);
        let all = self.ring.len() as f64 * unknown * self.mean_size();
        let work = |n: usize| self.work[n].get(now, RATE_WINDOW);
        let classes = 0..self.set.classes.len();
        let even = all / classes.clone().map(work).sum::<f64>().max(1e-9);
        let bound = classes.filter(|&n| !self.set.classes[n].placement.is_free());
        let bound = bound.map(|n| (n, work(n) * even / open(&self.tallies[n]))).collect();
        self.speeds = Speeds { unknown, scale, bound };
    }

    /// Mean weight of the ready servers.
    pub(super) fn mean_size(&self) -> f64 {
        match self.ring.len() {
            0 => 1.0,
            n => (self.weights / n as f64).max(1e-3),
        }
    }

    /// Ready servers for each node.
    pub(super) fn fair_part(&self) -> f64 {
        self.ring.len() as f64 / f64::from(self.set.node_count)
    }

    /// What an answer takes, so many deviations over the usual.
    pub(super) fn within(&self, class: usize, deviations: f64) -> f64 {
        self.usual[class].mean + deviations * self.usual[class].deviation
    }

    pub(super) fn usual_latency(&self) -> f64 {
        mean(self.usual.iter().map(|u| u.mean)).unwrap_or(1.0)
    }
}
