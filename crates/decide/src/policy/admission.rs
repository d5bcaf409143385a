//! Which requests are taken, how long they wait, and their final answers.

use super::*;

impl Balancer {
    pub(super) fn request(&mut self, now: Nanos, request: Request, out: &mut Vec<Action>) {
        self.asked.add(now, RATE_WINDOW, 1.0);
        self.taken.add(now, self.budget.window);
        let work = request.cost_hint.map_or(self.base[request.class], |hint| hint as f64);
        self.work[request.class].add(now, RATE_WINDOW, work);
        let class = &self.set.classes[request.class];
        // A client's repeat has used up some of its aim: what its budget is short of the deadline.
        let spent = if request.is_retry { class.deadline.saturating_sub(request.client_timeout) } else { 0 };
        let aim_at = now.saturating_add(class.target_latency.saturating_sub(spent));
        let deadline = now.saturating_add(request.client_timeout);
        let worthless = aim_at <= now && class.late_value_share <= 0.0;
        let (late, most) = (class.late_value_share > 0.0, self.set.max_attempts as usize);
        let (class, key, long) = (request.class, request.key, request.streams_body);
        let held = Held { class, key, aim_at, deadline, long, late, most, ..Held::default() };
        self.retries = (self.retries + RETRY_SHARE).min(RETRY_RESERVE);
        // Who took all servers out will not put one back within a client's time.
        let all_out = self.tallies[request.class].allowed == 0 && !self.out.is_empty();
        let admitted = deadline > now && !worthless && !all_out && self.admits(now, &request);
        self.requests.insert(request.id, held);
        match admitted {
            true => {
                // Held no longer than leaves time to be answered.
                let margin = (2 * TICK).min(self.set.classes[request.class].target_latency / 3);
                let need = (self.usual[request.class].mean as Nanos).saturating_add(margin);
                let until = aim_at.min(deadline).saturating_sub(need);
                self.waiting.insert((request.class, until, request.id));
                self.pools[self.pool[request.class]].waiting += 1;
                self.requests.entry(request.id).and_modify(|held| held.waits = Some(until));
            }
            false => self.finish(now, request.id, out),
        }
        self.dispatch(now, out);
    }

    /// Under strain, refuses at random, the more the less a request is worth for its work.
    pub(super) fn admits(&mut self, now: Nanos, request: &Request) -> bool {
        // By Little's law attempts out over attempts needed is the latency over that without
        // queues, and it shows before answers do; two deviations are left to chance. Nobody waits while
        // the node's own part of the servers could take one each, however little was needed so far.
        let pool = &self.pools[self.pool[request.class]];
        let part = self.fair_part().max(1.0);
        let needed = (pool.answered.get(now, STRAIN_WINDOW) / STRAIN_WINDOW).max(part);
        // What was out one latency ago was all answered since: where more at once has proved no slower,
        // so much is needed now, and what is asked at once may grow from latency to latency.
        let deep = self.depths[1..].iter().any(|depth| depth.seen >= DEPTH_SAMPLES);
        let proved = deep && self.limit == u32::MAX;
        let quick = proved && self.excess(request.class, 0.0) < STRAIN_FROM;
        let needed = needed.max(if quick { pool.most * self.ring.len() as f64 } else { 0.0 });
        let crowd = (f64::from(pool.open) + pool.waiting as f64 - 2.0 * needed.sqrt()) / needed;
        let held = f64::from(pool.open) + pool.waiting as f64;
        let idle = held < self.fair_part();
        let pressure = (self.excess(request.class, crowd) - STRAIN_FROM) / (STRAIN_TO - STRAIN_FROM);
        // Slow beside what it was at best is still in time where the aim leaves room, also for the slowest.
        let aim = self.set.classes[request.class].target_latency as f64;
        let slowest = pool.strain.max(crowd) * self.base[request.class] * (1.0 + OVERDUE * self.spread());
        let room = ((slowest / aim - ROOM_FROM) / (ROOM_TO - ROOM_FROM)).clamp(0.0, 1.0);
        // While the node holds less than its part servers are idle, unless even so answers come late.
        let late = pool.strain * (self.base[request.class] / (IDLE_LATE * aim)).max(1.0 / IDLE_STRAIN);
        let idle_most = IDLE_MOST * (2.0 * late - 1.0).clamp(0.0, 1.0);
        let pressure = (pressure * room).min(if idle { idle_most } else { f64::INFINITY });
        let rivals = (0..self.usual.len()).filter(|&n| self.pool[n] == self.pool[request.class]);
        let least = rivals.map(|n| self.worth_for_work(n)).fold(f64::INFINITY, f64::min);
        let mut value = self.worth_for_work(request.class);
        if let Some(tenant) = request.tenant {
            self.tenants[tenant].add(now, RATE_WINDOW, 1.0);
            // Beyond an even part of a quota; first beyond what most ask of theirs: loads are uneven.
            let all = f64::from(self.set.node_count) * SECOND / RATE_WINDOW;
            let part = |(r, t): (&Decayed, &Tenant)| all * r.get(now, RATE_WINDOW) / t.quota_per_s;
            let parts: Vec<f64> = self.tenants.iter().zip(&self.set.tenants).map(part).collect();
            let (drawn, most) = (self.rng.f64() * parts[tenant], OVER_SHARE * median(parts));
            let times = i32::from(drawn > 1.0) + i32::from(drawn > most.max(1.0));
            value *= self.set.over_quota_value_share.powi(times);
        }
        self.rng.f64() >= pressure * least / value.max(1e-12)
    }

    /// Sends what waits, the worthiest first, as far as servers are free; ends what waited too long.
    pub(super) fn dispatch(&mut self, now: Nanos, out: &mut Vec<Action>) {
        if self.waiting.is_empty() {
            return;
        }
        let mut classes: Vec<usize> = (0..self.set.classes.len()).collect();
        classes.sort_by(|&a, &b| self.worth_for_work(b).total_cmp(&self.worth_for_work(a)));
        let mut free = vec![true; self.pools.len()];
        for class in classes {
            let pool = self.pool[class];
            let first = (class, 0, RequestId(0));
            let last = (class, Nanos::MAX, RequestId(u64::MAX));
            while let Some(&(_, until, id)) = self.waiting.range(first..=last).next() {
                // One that may wait no longer is sent wherever it may go, or ended.
                let patient = until > now;
                if patient && !free[pool] {
                    break;
                }
                let sent = self.send(now, id, patient, out);
                free[pool] &= sent;
                if sent || !patient {
                    self.wait_no_more(id);
                }
                if !sent && !patient {
                    self.finish(now, id, out);
                }
            }
        }
    }

    pub(super) fn wait_no_more(&mut self, id: RequestId) {
        let Some(held) = self.requests.get_mut(&id) else { return };
        if let Some(until) = held.waits.take() {
            self.waiting.remove(&(held.class, until, id));
            self.pools[self.pool[held.class]].waiting -= 1;
        }
    }

    pub(super) fn worth_for_work(&self, class: usize) -> f64 {
        self.set.classes[class].value / self.usual[class].mean
    }

    /// The final answer: refused where that promise may be made, else failed.
    pub(super) fn finish(&mut self, now: Nanos, id: RequestId, out: &mut Vec<Action>) {
        let held = &self.requests[&id];
        let effect = self.set.classes[held.class].idempotency;
        let refusable = held.attempts.iter().all(|a| !a.ran)
            || matches!(effect, Idempotency::Idempotent | Idempotency::Keyed { scope: DedupScope::All, .. });
        let retry_after = if self.set.retry_after && refusable { self.come_back(now, id) } else { 0 };
        out.push(if refusable { Action::Refuse { id, retry_after } } else { Action::Fail { id } });
        self.close(id);
    }

    /// After how long a request like this would be taken, if nothing else changes: no sooner, or it comes
    /// in vain, and no later, or servers wait for it. Drawn apart: those refused together come one by one.
    pub(super) fn come_back(&mut self, now: Nanos, id: RequestId) -> Nanos {
        let class = self.requests[&id].class;
        let pool = &self.pools[self.pool[class]];
        // By Little's law what is held is done after so many times the latency.
        let needed = (pool.answered.get(now, STRAIN_WINDOW) / STRAIN_WINDOW).max(self.fair_part()).max(1.0);
        let held = f64::from(pool.open) + pool.waiting as f64;
        let cleared = self.usual[class].mean * (held / needed).max(1.0);
        // Strain fades by itself where no news keeps it up.
        let calm = 1.0 + STRAIN_FROM * self.spread();
        let faded = RATE_WINDOW * (pool.strain / calm).max(1.0).ln();
        let longest = self.set.max_retry_after;
        let wait = (cleared.max(faded) * (1.0 + self.rng.f64() / 2.0)) as Nanos;
        wait.clamp(longest.min(COLD_STEP), longest)
    }

    pub(super) fn close(&mut self, id: RequestId) {
        self.wait_no_more(id);
        let Some(held) = self.requests.get_mut(&id) else { return };
        held.over = true;
        if held.attempts.iter().all(|a| !a.open) {
            self.requests.remove(&id);
        }
    }
}
