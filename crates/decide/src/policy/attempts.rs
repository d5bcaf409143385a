//! Attempts: sent, timed, and what follows their ends.

use super::*;

impl Balancer {
    pub(super) fn send_attempt(
        &mut self, now: Nanos, id: RequestId, patient: bool, out: &mut Vec<Action>,
    ) -> bool {
        let held = &self.requests[&id];
        if held.attempts.len() >= held.max_attempts || now >= held.deadline {
            return false;
        }
        // The stated budget, at its strictest on both edges of its window, for all attempts after a first.
        let (b, from) = (self.retry_budget, now.saturating_sub(self.retry_budget.window));
        let allowed = b.base + b.per_request * self.recent_requests.count_since(from + 1) as f64;
        let further = !held.attempts.is_empty();
        if further && self.recent_retries.count_since(from) as f64 + 1.0 > allowed {
            return false;
        }
        // What cannot be answered in the time that is left would only keep others waiting.
        let useful = if held.useful_late { Nanos::MAX } else { held.target_at };
        let left = useful.min(held.deadline).saturating_sub(now) as f64;
        if !held.body_pending
            && self.latency_stats[held.class].samples >= DEPTH_SAMPLES
            && left < self.latency_at(held.class, -1.0)
        {
            return false;
        }
        let Some(server_id) = self.pick_server(now, id, patient) else { return false };
        let held = &self.requests[&id];
        let (timeout, chosen) = (self.attempt_timeout(now, held, server_id), &self.servers[&server_id]);
        let allowance = self.available_tokens(
            now,
            chosen,
            self.capacity_share(now, &chosen.entry),
            self.slow_start_rate(now),
        );
        let server = self.servers.get_mut(&server_id).expect("it has just been picked");
        (server.slow_start_tokens, server.tokens_updated_at) = (allowance - 1.0, now);
        server.last_send = self.send_count;
        let depth = (server.in_flight as usize).min(TRACKED_DEPTHS - 1);
        self.send_count += 1;
        let (server, zone, cell) = (server_id, server.entry.zone, server.entry.cell);
        // Its connection may come up late, and then it may not go any more.
        let window = match self.settings.classes[held.class].idempotency {
            Idempotency::Keyed { window, .. } => Some(window),
            _ => None,
        };
        let ran = held.attempts.iter().filter(|a| a.may_have_run).map(|a| a.sent_at).min();
        let within = window.zip(ran).map(|(w, ran)| ran.saturating_add(w).saturating_sub(now));
        out.push(Action::Send { id, server, timeout, send_within: within });
        let held = self.requests.get_mut(&id).expect("it has just been looked at");
        let timeout = if timeout == 0 { held.deadline - now } else { timeout };
        let long = held.body_pending;
        held.attempts.push(Attempt {
            server,
            zone,
            cell,
            sent_at: now,
            may_have_run: true,
            depth,
            timeout,
            open: true,
            excluded_from_load: long,
        });
        if !long {
            self.add_load(now, id);
        }
        if further {
            self.recent_retries.add(now, b.window);
        }
        self.refresh(now, server_id);
        true
    }

    /// How long to wait for an attempt: until it is overdue if there is time and budget for another.
    pub(super) fn attempt_timeout(&self, now: Nanos, held: &PendingRequest, server: ServerId) -> Nanos {
        let usual = &self.latency_stats[held.class];
        let server = &self.servers[&server];
        let slowness = server.relative_latency().unwrap_or(1.0).max(1.0)
            / self.capacity_share(now, &server.entry).max(0.1);
        let overdue = (overdue_latency(usual) * slowness) as Nanos;
        let class = &self.settings.classes[held.class];
        let again = match class.idempotency {
            Idempotency::NonIdempotent => false,
            Idempotency::Idempotent => true,
            Idempotency::Keyed { window, .. } => overdue < window,
        };
        let spare = held.attempts.len() + 1 < held.max_attempts && self.retry_tokens >= 1.0;
        let end = now.saturating_add(overdue).saturating_add(usual.mean as Nanos);
        let time = end <= held.target_at.min(held.deadline);
        // Under strain the aim ends it, if late answers are worth nothing: work may stop with it.
        let cut = !held.useful_late && self.overload(held.class, 0.0) >= REFUSAL_START_DEVIATIONS;
        match again && spare && time {
            true => overdue,
            false => u64::from(cut) * held.target_at.saturating_sub(now),
        }
    }

    pub(super) fn handle_outcome(&mut self, now: Nanos, event: Event, out: &mut Vec<Action>) {
        let Event::Outcome { id, attempt, server: at, status, latency, terminal, report } = event else {
            return;
        };
        let latency = latency.min(MAX_LATENCY);
        let Some(held) = self.requests.get_mut(&id) else { return };
        let (class, aim_at, over) = (held.class, held.target_at, held.answered || terminal);
        let Some(tried) = held.attempts.get_mut(attempt as usize).filter(|a| a.open) else { return };
        (tried.open, tried.may_have_run) = (false, !status.never_ran());
        let (given, depth, sent) = (tried.timeout, tried.depth, tried.sent_at);
        if !tried.excluded_from_load {
            self.remove_load(class, at);
        }
        if let Some(server) = self.servers.get_mut(&at) {
            if status == Status::Ok {
                (server.consecutive_failures, server.ejected_until) = (0, 0);
            }
            if server.entry.readiness == Readiness::Removed && server.in_flight == 0 {
                self.servers.remove(&at).map(|s| self.unlink(s));
            }
        }
        let failed = !matches!(status, Status::Ok | Status::Cancelled | Status::NotSent);
        // Failures count at the whole time-out, cold servers at their warm speed: growth is no strain.
        let warmth = self.servers.get(&at).map_or(1.0, |s| self.capacity_share(now, &s.entry));
        // One that its client's own short time has ended tells of its server only what is worse than known.
        let early = status == Status::Timeout && (latency as f64) * warmth < self.latency_at(class, 0.0);
        let taken = if failed { given.max(latency) } else { latency } as f64 * warmth;
        if status == Status::Ok {
            let usual = &mut self.latency_stats[class];
            usual.add(taken, LATENCY_SAMPLES);
            let risen = self.unloaded_latency[class]
                + UNLOADED_LATENCY_GAIN * (usual.mean - self.unloaded_latency[class]);
            let base =
                if usual.samples < UNLOADED_LATENCY_SAMPLES { usual.mean } else { risen.min(usual.mean) };
            // Learned within a jam it would hide the jam: an aim leaves room for queues.
            self.unloaded_latency[class] =
                base.min(self.settings.classes[class].target_latency as f64 * MAX_UNLOADED_LATENCY_SHARE);
            let base = self.unloaded_latency[class];
            let pool = &mut self.pools[self.pool_of_class[class]];
            pool.answered_work.add(now, LOAD_WINDOW_NS, base);
            let fades = LOAD_WINDOW_NS.max(PEAK_DECAY_LATENCIES * base);
            pool.peak_concurrency *= (-(now.saturating_sub(pool.last_answer_at) as f64) / fades).exp();
            pool.recent_answers.add(now, base, 1.0);
            pool.peak_concurrency =
                pool.peak_concurrency.max(pool.recent_answers.get(now, base) / self.ring.len().max(1) as f64);
            // Few get beyond the limit: each of them has to tell more.
            let most = if (depth as u32) < self.depth_limit { 4.0 * DEPTH_SAMPLES } else { DEPTH_SAMPLES };
            self.depth_stats[depth].add((taken / base).min(2.0 * MAX_DEPTH_SLOWDOWN), most);
            self.record_congestion(now, class, Some(taken / base), warmth);
            self.exclude_overtaken(now, at, sent);
        } else if failed && !early {
            self.record_failure(now, at, class, status, sent); // one that is gone tells no strain
            if matches!(status, Status::Rejected | Status::Timeout) {
                self.record_congestion(now, class, None, warmth);
            }
        }
        let tag = self.servers.get(&at).map(|s| s.entry.name_hash as u32);
        if let Some(tag) = tag.filter(|_| failed || status == Status::Ok) {
            // A server's own account of its service leaves out what it waits for others.
            let told = report.and_then(|r| r.service_time).filter(|&told| told > 0 && !failed);
            told.into_iter().for_each(|told| self.service_time.add(told as f64, LATENCY_SAMPLES));
            let sample = told
                .map_or(taken / self.latency_stats[class].mean, |told| told as f64 / self.service_time.mean);
            let known =
                self.servers.get(&at).and_then(|s| s.by_class[class].relative_latency).filter(|_| early);
            let sample = sample.max(known.unwrap_or(0.0)).clamp(1.0 / 256.0, 255.0);
            self.record_latency(now, at, class..class + 1, sample);
            if self.settings.may_message_peers && self.peer_report.len() < MAX_MESSAGE_BYTES {
                let code = ((sample.log2() + 8.0) * REPORT_STEPS_PER_DOUBLING) as u32;
                self.peer_report.extend((tag & !255 | code & 255).to_le_bytes());
            }
        }
        self.refresh(now, at);
        if over {
            self.close(id);
        } else if self.requests[&id].attempts.iter().all(|a| !a.open) {
            let free = status.never_ran() && self.overload(class, 0.0) < REFUSAL_START_DEVIATIONS;
            if now < aim_at && (free || self.retry_tokens >= 1.0) && self.send_attempt(now, id, false, out) {
                self.retry_tokens -= if free { 0.0 } else { 1.0 };
            } else {
                self.finish(now, id, out);
            }
        }
        self.dispatch(now, out);
    }
}
