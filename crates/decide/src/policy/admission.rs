//! Which requests are taken, how long they wait, and their final answers.

use super::*;

impl Balancer {
    pub(super) fn handle_request(&mut self, now: Nanos, request: Request, out: &mut Vec<Action>) {
        self.request_rate.add(now, RATE_WINDOW_NS, 1.0);
        self.recent_requests.add(now, self.retry_budget.window);
        let work = request.cost_hint.map_or(self.unloaded_latency[request.class], |hint| hint as f64);
        self.offered_work[request.class].add(now, RATE_WINDOW_NS, work);
        let class = &self.settings.classes[request.class];
        // A client's repeat has used up some of its aim: what its budget is short of the deadline.
        let spent = if request.is_retry { class.deadline.saturating_sub(request.client_timeout) } else { 0 };
        let aim_at = now.saturating_add(class.target_latency.saturating_sub(spent));
        let deadline = now.saturating_add(request.client_timeout);
        let worthless = aim_at <= now && class.late_value_share <= 0.0;
        let (late, most) = (class.late_value_share > 0.0, self.settings.max_attempts as usize);
        let (class, key, long) = (request.class, request.key, request.streams_body);
        let held = PendingRequest {
            class,
            key,
            target_at: aim_at,
            deadline,
            body_pending: long,
            useful_late: late,
            max_attempts: most,
            ..PendingRequest::default()
        };
        self.retry_tokens = (self.retry_tokens + RETRY_TOKENS_PER_REQUEST).min(MAX_RETRY_TOKENS);
        // Who took all servers out will not put one back within a client's time.
        let all_out =
            self.class_totals[request.class].allowed_servers == 0 && !self.in_maintenance.is_empty();
        let admitted = deadline > now && !worthless && !all_out && self.admit(now, &request);
        self.requests.insert(request.id, held);
        match admitted {
            true => {
                // Held no longer than leaves time to be answered.
                let margin = (2 * TICK_INTERVAL).min(self.settings.classes[request.class].target_latency / 3);
                let need = (self.latency_stats[request.class].mean as Nanos).saturating_add(margin);
                let until = aim_at.min(deadline).saturating_sub(need);
                self.queue.insert((request.class, until, request.id));
                self.pools[self.pool_of_class[request.class]].queued += 1;
                self.requests.entry(request.id).and_modify(|held| held.queued_until = Some(until));
            }
            false => self.finish(now, request.id, out),
        }
        self.dispatch(now, out);
    }

    /// Under strain, refuses at random, the more the less a request is worth for its work.
    pub(super) fn admit(&mut self, now: Nanos, request: &Request) -> bool {
        // By Little's law attempts out over attempts needed is the latency over that without
        // queues, and it shows before answers do; two deviations are left to chance. Nobody waits while
        // the node's own part of the servers could take one each, however little was needed so far.
        let pool = &self.pools[self.pool_of_class[request.class]];
        let part = self.servers_per_node().max(1.0);
        let needed = (pool.answered_work.get(now, LOAD_WINDOW_NS) / LOAD_WINDOW_NS).max(part);
        // What was out one latency ago was all answered since: where more at once has proved no slower,
        // so much is needed now, and what is asked at once may grow from latency to latency.
        let deep = self.depth_stats[1..].iter().any(|depth| depth.samples >= DEPTH_SAMPLES);
        let proved = deep && self.depth_limit == u32::MAX;
        let quick = proved && self.overload(request.class, 0.0) < REFUSAL_START_DEVIATIONS;
        let needed = needed.max(if quick { pool.peak_concurrency * self.ring.len() as f64 } else { 0.0 });
        let crowd = (f64::from(pool.in_flight) + pool.queued as f64 - 2.0 * needed.sqrt()) / needed;
        let held = f64::from(pool.in_flight) + pool.queued as f64;
        let idle = held < self.servers_per_node();
        let pressure = (self.overload(request.class, crowd) - REFUSAL_START_DEVIATIONS)
            / (REFUSAL_FULL_DEVIATIONS - REFUSAL_START_DEVIATIONS);
        // Slow beside what it was at best is still in time where the aim leaves room, also for the slowest.
        let aim = self.settings.classes[request.class].target_latency as f64;
        let slowest = pool.congestion.max(crowd)
            * self.unloaded_latency[request.class]
            * (1.0 + OVERDUE_DEVIATIONS * self.latency_spread());
        let room = ((slowest / aim - REFUSAL_START_TARGET_SHARE)
            / (REFUSAL_FULL_TARGET_SHARE - REFUSAL_START_TARGET_SHARE))
            .clamp(0.0, 1.0);
        // While the node holds less than its part servers are idle, unless even so answers come late.
        let late = pool.congestion
            * (self.unloaded_latency[request.class] / (IDLE_MAX_TARGET_SHARE * aim))
                .max(1.0 / IDLE_MAX_CONGESTION);
        let idle_most = MAX_IDLE_REFUSAL * (2.0 * late - 1.0).clamp(0.0, 1.0);
        let pressure = (pressure * room).min(if idle { idle_most } else { f64::INFINITY });
        let rivals = (0..self.latency_stats.len())
            .filter(|&n| self.pool_of_class[n] == self.pool_of_class[request.class]);
        let least = rivals.map(|n| self.value_per_work(n)).fold(f64::INFINITY, f64::min);
        let mut value = self.value_per_work(request.class);
        if let Some(tenant) = request.tenant {
            self.tenant_rates[tenant].add(now, RATE_WINDOW_NS, 1.0);
            // Beyond an even part of a quota; first beyond what most ask of theirs: loads are uneven.
            let all = f64::from(self.settings.node_count) * SECOND_NS / RATE_WINDOW_NS;
            let part = |(r, t): (&DecayingSum, &Tenant)| all * r.get(now, RATE_WINDOW_NS) / t.quota_per_s;
            let parts: Vec<f64> = self.tenant_rates.iter().zip(&self.settings.tenants).map(part).collect();
            let (drawn, most) = (self.rng.f64() * parts[tenant], OVER_QUOTA_MARGIN * median(parts));
            let times = i32::from(drawn > 1.0) + i32::from(drawn > most.max(1.0));
            value *= self.settings.over_quota_value_share.powi(times);
        }
        self.rng.f64() >= pressure * least / value.max(1e-12)
    }

    /// Sends what waits, the worthiest first, as far as servers are free; ends what waited too long.
    pub(super) fn dispatch(&mut self, now: Nanos, out: &mut Vec<Action>) {
        if self.queue.is_empty() {
            return;
        }
        let mut classes: Vec<usize> = (0..self.settings.classes.len()).collect();
        classes.sort_by(|&a, &b| self.value_per_work(b).total_cmp(&self.value_per_work(a)));
        let mut free = vec![true; self.pools.len()];
        for class in classes {
            let pool = self.pool_of_class[class];
            let first = (class, 0, RequestId(0));
            let last = (class, Nanos::MAX, RequestId(u64::MAX));
            while let Some(&(_, until, id)) = self.queue.range(first..=last).next() {
                // One that may wait no longer is sent wherever it may go, or ended.
                let patient = until > now;
                if patient && !free[pool] {
                    break;
                }
                let sent = self.send_attempt(now, id, patient, out);
                free[pool] &= sent;
                if sent || !patient {
                    self.dequeue(id);
                }
                if !sent && !patient {
                    self.finish(now, id, out);
                }
            }
        }
    }

    pub(super) fn dequeue(&mut self, id: RequestId) {
        let Some(held) = self.requests.get_mut(&id) else { return };
        if let Some(until) = held.queued_until.take() {
            self.queue.remove(&(held.class, until, id));
            self.pools[self.pool_of_class[held.class]].queued -= 1;
        }
    }

    pub(super) fn value_per_work(&self, class: usize) -> f64 {
        self.settings.classes[class].value / self.latency_stats[class].mean
    }

    /// The final answer: refused where that promise may be made, else failed.
    pub(super) fn finish(&mut self, now: Nanos, id: RequestId, out: &mut Vec<Action>) {
        let held = &self.requests[&id];
        let effect = self.settings.classes[held.class].idempotency;
        let refusable = held.attempts.iter().all(|a| !a.may_have_run)
            || matches!(effect, Idempotency::Idempotent | Idempotency::Keyed { scope: DedupScope::All, .. });
        let retry_after = if self.settings.retry_after && refusable { self.retry_after(now, id) } else { 0 };
        out.push(if refusable { Action::Refuse { id, retry_after } } else { Action::Fail { id } });
        self.close(id);
    }

    /// After how long a request like this would be taken, if nothing else changes: no sooner, or it comes
    /// in vain, and no later, or servers wait for it. Drawn apart: those refused together come one by one.
    pub(super) fn retry_after(&mut self, now: Nanos, id: RequestId) -> Nanos {
        let class = self.requests[&id].class;
        let pool = &self.pools[self.pool_of_class[class]];
        // By Little's law what is held is done after so many times the latency.
        let needed = (pool.answered_work.get(now, LOAD_WINDOW_NS) / LOAD_WINDOW_NS)
            .max(self.servers_per_node())
            .max(1.0);
        let held = f64::from(pool.in_flight) + pool.queued as f64;
        let cleared = self.latency_stats[class].mean * (held / needed).max(1.0);
        // Strain fades by itself where no news keeps it up.
        let calm = 1.0 + REFUSAL_START_DEVIATIONS * self.latency_spread();
        let faded = RATE_WINDOW_NS * (pool.congestion / calm).max(1.0).ln();
        let longest = self.settings.max_retry_after;
        let wait = (cleared.max(faded) * (1.0 + self.rng.f64() / 2.0)) as Nanos;
        wait.clamp(longest.min(MIN_SLOW_START_STEP), longest)
    }

    pub(super) fn close(&mut self, id: RequestId) {
        self.dequeue(id);
        let Some(held) = self.requests.get_mut(&id) else { return };
        held.answered = true;
        if held.attempts.iter().all(|a| !a.open) {
            self.requests.remove(&id);
        }
    }
}
