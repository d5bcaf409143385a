//! Attempts: sending them, and their timeouts.

use super::*;

/// When an attempt without an answer ends.
#[derive(Clone, Copy)]
enum Timeout {
    /// After this time, which is longer than nearly all answers take; then the request is retried.
    Overdue(Nanos),
    /// After this time, when an answer has no value any more.
    Target(Nanos),
    /// When the client's timeout ends.
    Client,
}

impl Timeout {
    /// The time until the attempt ends, or `None` for the client's timeout.
    fn limit(self) -> Option<Nanos> {
        match self {
            Timeout::Overdue(limit) | Timeout::Target(limit) if limit > 0 => Some(limit),
            _ => None,
        }
    }
}

impl Balancer {
    /// Sends an attempt of the request if its limits and the available servers allow it; true if sent. A
    /// request that may not wait any longer (`may_wait` is false) may use servers beyond the node's rotation.
    pub(super) fn send_attempt(
        &mut self, now: Nanos, id: RequestId, may_wait: bool, actions: &mut Vec<Action>,
    ) -> bool {
        let request = &self.requests[&id];
        if request.attempts.len() >= request.max_attempts || now >= request.deadline {
            return false;
        }
        let is_retry = !request.attempts.is_empty();
        if is_retry && self.retries_left(now) < 1.0 {
            return false;
        }
        let request = &self.requests[&id];
        // An attempt that cannot be answered in the remaining time would only delay others.
        let useful_until = if request.useful_late { Nanos::MAX } else { request.target_at };
        let remaining = useful_until.min(request.deadline).saturating_sub(now) as f64;
        if !request.body_pending
            && self.latency_stats[request.class].samples >= DEPTH_SAMPLES
            && remaining < self.latency_at(request.class, -1.0)
        {
            return false;
        }
        let Some(server_id) = self.pick_server(now, id, may_wait) else { return false };
        let timeout = self.attempt_timeout(now, id, server_id);
        let request = &self.requests[&id];
        let chosen = &self.servers[&server_id];
        let capacity_share = self.capacity_share(now, &chosen.entry);
        let tokens = self.available_tokens(now, chosen, capacity_share, self.slow_start_rate(now));
        let server = self.servers.get_mut(&server_id).expect("the picked server is known");
        (server.slow_start_tokens, server.tokens_updated_at) = (tokens - 1.0, now);
        server.last_send = self.send_count;
        let depth = (server.in_flight as usize).min(TRACKED_DEPTHS - 1);
        self.send_count += 1;
        let (zone, cell) = (server.entry.zone, server.entry.cell);
        // The connection may be established so late that the repeated attempt is not recognized any more.
        let window = match self.settings.classes[request.class].idempotency {
            Idempotency::Keyed { window, .. } => Some(window),
            _ => None,
        };
        let first_run = request.attempts.iter().filter(|a| a.may_have_run).map(|a| a.sent_at).min();
        let send_within = window.zip(first_run).map(|(w, at)| at.saturating_add(w).saturating_sub(now));
        actions.push(Action::Send {
            id,
            server: server_id,
            timeout: timeout.limit().unwrap_or(0),
            send_within,
        });
        let request = self.requests.get_mut(&id).expect("the request was found above");
        let body_pending = request.body_pending;
        request.attempts.push(Attempt {
            server: server_id,
            zone,
            cell,
            sent_at: now,
            may_have_run: true,
            depth,
            timeout: timeout.limit().unwrap_or(request.deadline - now),
            open: true,
            has_retry_token: matches!(timeout, Timeout::Overdue(_)),
            excluded_from_load: body_pending,
        });
        if !body_pending {
            self.add_load(now, id);
        }
        if is_retry {
            self.recent_retries.add(now, self.retry_budget.window);
        }
        self.refresh(now, server_id);
        true
    }

    /// Retries that the deployment's budget leaves now. The window of the budget is strict at both ends: at
    /// its oldest instant retries count and requests do not.
    fn retries_left(&mut self, now: Nanos) -> f64 {
        let (budget, oldest) = (self.retry_budget, now.saturating_sub(self.retry_budget.window));
        let allowed = budget.base + budget.per_request * self.recent_requests.count_since(oldest + 1) as f64;
        allowed - self.recent_retries.count_since(oldest) as f64
    }

    /// Selects the timeout of an attempt. It ends when it is overdue if there are time and budget for another
    /// one, for which it then reserves a retry token.
    fn attempt_timeout(&mut self, now: Nanos, id: RequestId, server: ServerId) -> Timeout {
        let retries_left = self.retries_left(now);
        let request = &self.requests[&id];
        let latency = &self.latency_stats[request.class];
        let server = &self.servers[&server];
        let slowness = server.relative_latency().unwrap_or(1.0).max(1.0)
            / self.capacity_share(now, &server.entry).max(0.1);
        let overdue = (overdue_latency(latency) * slowness) as Nanos;
        let repeatable = match self.settings.classes[request.class].idempotency {
            Idempotency::NonIdempotent => false,
            Idempotency::Idempotent => true,
            Idempotency::Keyed { window, .. } => overdue < window,
        };
        let has_budget = request.attempts.len() + 1 < request.max_attempts
            && retries_left >= f64::from(self.retry_tokens.reserved() + 1);
        let retry_done = now.saturating_add(overdue).saturating_add(latency.mean as Nanos);
        let has_time = retry_done <= request.target_at.min(request.deadline);
        if repeatable && has_budget && has_time && self.retry_tokens.reserve() {
            return Timeout::Overdue(overdue);
        }
        // During overload the attempt ends at the target latency if a late answer has no value, because the
        // server may then stop working on it.
        let request = &self.requests[&id];
        let overloaded = self.overload(request.class, 0.0) >= REFUSAL_START_DEVIATIONS;
        match !request.useful_late && overloaded {
            true => Timeout::Target(request.target_at.saturating_sub(now)),
            false => Timeout::Client,
        }
    }
}
