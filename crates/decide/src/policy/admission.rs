//! Admission: which requests are accepted, how long they wait, and their final answers.

use super::*;

impl Balancer {
    /// Processes [`Event::Request`]: queues the request or refuses it.
    pub(super) fn handle_request(&mut self, now: Nanos, request: Request, actions: &mut Vec<Action>) {
        let (id, class) = (request.id, request.class);
        self.request_rate.add(now, RATE_WINDOW_NS, 1.0);
        self.recent_requests.add(now, self.retry_budget.window);
        let work = request.cost_hint.map_or(self.unloaded_latency[class], |hint| hint as f64);
        self.offered_work[class].add(now, RATE_WINDOW_NS, work);
        let properties = &self.settings.classes[class];
        let target_latency = properties.target_latency;
        // A client's retry has already used a part of its target latency: what its timeout lacks of the
        // deadline.
        let elapsed =
            if request.is_retry { properties.deadline.saturating_sub(request.client_timeout) } else { 0 };
        let target_at = now.saturating_add(target_latency.saturating_sub(elapsed));
        let deadline = now.saturating_add(request.client_timeout);
        let useful_late = properties.late_value_share > 0.0;
        let worthless = target_at <= now && properties.late_value_share <= 0.0;
        let pending = PendingRequest {
            class,
            key: request.key,
            target_at,
            deadline,
            body_pending: request.streams_body,
            useful_late,
            max_attempts: self.settings.max_attempts as usize,
            ..PendingRequest::default()
        };
        self.retry_tokens.add_request();
        // An operator who has taken all servers out of service will not put one back in time for the client.
        let all_in_maintenance =
            self.class_totals[class].allowed_servers == 0 && !self.in_maintenance.is_empty();
        let admitted = deadline > now && !worthless && !all_in_maintenance && self.admit(now, &request);
        self.requests.insert(id, pending);
        if admitted {
            // The request waits only as long as there is still time to answer it.
            let margin = (2 * TICK_INTERVAL).min(target_latency / 3);
            let needed = (self.latency_stats[class].mean as Nanos).saturating_add(margin);
            let queued_until = target_at.min(deadline).saturating_sub(needed);
            self.queue.insert((class, queued_until, id));
            self.pools[self.pool_of_class[class]].queued += 1;
            self.requests.entry(id).and_modify(|request| request.queued_until = Some(queued_until));
        } else {
            self.finish(now, id, actions);
        }
        self.dispatch(now, actions);
    }

    /// Decides whether a request is admitted. Under overload requests are refused at random, and the more
    /// likely the lower their value for the work is.
    fn admit(&mut self, now: Nanos, request: &Request) -> bool {
        let pressure = self.refusal_pressure(now, request.class);
        let pool = self.pool_of_class[request.class];
        let competing = (0..self.latency_stats.len()).filter(|&class| self.pool_of_class[class] == pool);
        let least = competing.map(|class| self.value_per_work(class)).fold(f64::INFINITY, f64::min);
        let mut value = self.value_per_work(request.class);
        if let Some(tenant) = request.tenant {
            value *= self.quota_factor(now, tenant);
        }
        self.rng.f64() >= pressure * least / value.max(1e-12)
    }

    /// Share of the least valuable requests that is to be refused; below 0: none, above 1: also others.
    fn refusal_pressure(&self, now: Nanos, class: usize) -> f64 {
        // By Little's law, attempts in flight over attempts needed equals latency over unloaded latency, and
        // it rises before latencies do. Two standard deviations are left to chance. No request waits while
        // the node's part of the servers could process one request each, however few were needed so far.
        let pool = &self.pools[self.pool_of_class[class]];
        let servers_per_node = self.servers_per_node();
        let answered = pool.answered_work.get(now, LOAD_WINDOW_NS) / LOAD_WINDOW_NS;
        let needed = answered.max(servers_per_node.max(1.0));
        // All attempts that were in flight one latency ago have been answered since. If a higher concurrency
        // has proved no slower, that many attempts are needed, so load may grow with every latency.
        let depths_measured = self.depth_stats[1..].iter().any(|depth| depth.samples >= DEPTH_SAMPLES);
        let scales = depths_measured && self.depth_limit == u32::MAX;
        let may_grow = scales && self.overload(class, 0.0) < REFUSAL_START_DEVIATIONS;
        let needed = needed.max(if may_grow { pool.peak_concurrency * self.ring.len() as f64 } else { 0.0 });
        let expected = (f64::from(pool.in_flight) + pool.queued as f64 - 2.0 * needed.sqrt()) / needed;
        let pending = f64::from(pool.in_flight) + pool.queued as f64;
        let pressure = (self.overload(class, expected) - REFUSAL_START_DEVIATIONS)
            / (REFUSAL_FULL_DEVIATIONS - REFUSAL_START_DEVIATIONS);
        // Answers that are slow compared with the unloaded latency are still in time if the target latency
        // leaves room, even for the slowest of them.
        let target = self.settings.classes[class].target_latency as f64;
        let unloaded = self.unloaded_latency[class];
        let slowest =
            pool.congestion.max(expected) * unloaded * (1.0 + OVERDUE_DEVIATIONS * self.latency_spread());
        let strictness = ((slowest / target - REFUSAL_START_TARGET_SHARE)
            / (REFUSAL_FULL_TARGET_SHARE - REFUSAL_START_TARGET_SHARE))
            .clamp(0.0, 1.0);
        // While the node has fewer requests than its part of the servers, servers are idle, unless answers
        // are late nevertheless.
        let lateness =
            pool.congestion * (unloaded / (IDLE_MAX_TARGET_SHARE * target)).max(1.0 / IDLE_MAX_CONGESTION);
        let idle_limit = MAX_IDLE_REFUSAL * (2.0 * lateness - 1.0).clamp(0.0, 1.0);
        let idle = pending < servers_per_node;
        (pressure * strictness).min(if idle { idle_limit } else { f64::INFINITY })
    }

    /// Counts a request of the tenant and returns the factor on its value. A request beyond the tenant's
    /// quota has a lower value. Tenants' loads are uneven, so one beyond the usage of most tenants, which is
    /// refused first, has a value lower still.
    fn quota_factor(&mut self, now: Nanos, tenant: usize) -> f64 {
        self.tenant_rates[tenant].add(now, RATE_WINDOW_NS, 1.0);
        // Each node is taken to receive an equal part of a tenant's requests.
        let fleet_rate = f64::from(self.settings.node_count) * SECOND_NS / RATE_WINDOW_NS;
        let usage = |(rate, tenant): (&DecayingSum, &Tenant)| {
            fleet_rate * rate.get(now, RATE_WINDOW_NS) / tenant.quota_per_s
        };
        let usages: Vec<f64> = self.tenant_rates.iter().zip(&self.settings.tenants).map(usage).collect();
        let sampled = self.rng.f64() * usages[tenant];
        let common = OVER_QUOTA_MARGIN * median(usages);
        let exceeded = i32::from(sampled > 1.0) + i32::from(sampled > common.max(1.0));
        self.settings.over_quota_value_share.powi(exceeded)
    }

    /// Sends queued requests in the order of their value for the work, as far as servers are available, and
    /// answers those that have waited too long.
    pub(super) fn dispatch(&mut self, now: Nanos, actions: &mut Vec<Action>) {
        if self.queue.is_empty() {
            return;
        }
        let mut classes: Vec<usize> = (0..self.settings.classes.len()).collect();
        classes.sort_by(|&a, &b| self.value_per_work(b).total_cmp(&self.value_per_work(a)));
        let mut available = vec![true; self.pools.len()];
        for class in classes {
            let pool = self.pool_of_class[class];
            let first = (class, 0, RequestId(0));
            let last = (class, Nanos::MAX, RequestId(u64::MAX));
            while let Some(&(_, queued_until, id)) = self.queue.range(first..=last).next() {
                // A request that may not wait any longer is sent to any allowed server, or gets its answer.
                let may_wait = queued_until > now;
                if may_wait && !available[pool] {
                    break;
                }
                let sent = self.send_attempt(now, id, may_wait, actions);
                available[pool] &= sent;
                if sent || !may_wait {
                    self.dequeue(id);
                }
                if !sent && !may_wait {
                    self.finish(now, id, actions);
                }
            }
        }
    }

    /// Removes the request from the queue, if it is in it.
    fn dequeue(&mut self, id: RequestId) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        if let Some(queued_until) = request.queued_until.take() {
            self.queue.remove(&(request.class, queued_until, id));
            self.pools[self.pool_of_class[request.class]].queued -= 1;
        }
    }

    /// Value of a request of the class per ns of latency.
    fn value_per_work(&self, class: usize) -> f64 {
        self.settings.classes[class].value / self.latency_stats[class].mean
    }

    /// Gives the final answer: refused if the client may safely retry the request, otherwise failed.
    pub(super) fn finish(&mut self, now: Nanos, id: RequestId, actions: &mut Vec<Action>) {
        let request = &self.requests[&id];
        let never_ran = request.attempts.iter().all(|a| !a.may_have_run);
        let repeatable = matches!(
            self.settings.classes[request.class].idempotency,
            Idempotency::Idempotent | Idempotency::Keyed { scope: DedupScope::All, .. }
        );
        if never_ran || repeatable {
            let retry_after = if self.settings.retry_after { self.retry_after(now, id) } else { 0 };
            actions.push(Action::Refuse { id, retry_after });
        } else {
            actions.push(Action::Fail { id });
        }
        self.close(id);
    }

    /// Delay after which a request of this class would be admitted if nothing else changed. An earlier retry
    /// would be refused again, and a later one would leave servers idle. The delay is randomized to spread
    /// the retries of requests that are refused together.
    fn retry_after(&mut self, now: Nanos, id: RequestId) -> Nanos {
        let class = self.requests[&id].class;
        let pool = &self.pools[self.pool_of_class[class]];
        // By Little's law, the pending requests are answered after this multiple of the latency.
        let needed = (pool.answered_work.get(now, LOAD_WINDOW_NS) / LOAD_WINDOW_NS)
            .max(self.servers_per_node())
            .max(1.0);
        let pending = f64::from(pool.in_flight) + pool.queued as f64;
        let queue_time = self.latency_stats[class].mean * (pending / needed).max(1.0);
        // Without further news congestion decays by itself.
        let admitting = 1.0 + REFUSAL_START_DEVIATIONS * self.latency_spread();
        let decay_time = RATE_WINDOW_NS * (pool.congestion / admitting).max(1.0).ln();
        let longest = self.settings.max_retry_after;
        let delay = (queue_time.max(decay_time) * (1.0 + self.rng.f64() / 2.0)) as Nanos;
        delay.clamp(longest.min(MIN_RETRY_AFTER), longest)
    }

    /// Marks the request as answered and forgets it once no attempt is open.
    pub(super) fn close(&mut self, id: RequestId) {
        self.dequeue(id);
        let Some(request) = self.requests.get_mut(&id) else { return };
        request.answered = true;
        for attempt in &mut request.attempts {
            attempt.release_retry_token(&mut self.retry_tokens);
        }
        if request.attempts.iter().all(|a| !a.open) {
            self.requests.remove(&id);
        }
    }
}
