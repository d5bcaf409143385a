//! Outcomes of attempts: what they tell about servers and load, and what follows for their requests.

use super::*;

/// An attempt that has ended.
struct EndedAttempt {
    server: ServerId,
    class: usize,
    status: Status,
    latency: Nanos,
    timeout: Nanos,
    depth: usize,
    sent_at: Nanos,
}

impl EndedAttempt {
    /// Whether the server, or the way to it, failed.
    fn failed(&self) -> bool {
        !matches!(self.status, Status::Ok | Status::Cancelled | Status::NotSent)
    }
}

impl Balancer {
    /// Processes [`Event::Outcome`]: updates what is known about the server, the load and the latencies, and
    /// retries the request or gives its final answer.
    pub(super) fn handle_outcome(&mut self, now: Nanos, event: Event, actions: &mut Vec<Action>) {
        let Event::Outcome { id, attempt, server: server_id, status, latency, terminal, report } = event
        else {
            return;
        };
        let Some(ended) = self.end_attempt(id, attempt, server_id, status, latency.min(MAX_LATENCY)) else {
            return;
        };
        // Latencies of a server in slow start are scaled to its full capacity, so that warming up is not
        // taken for congestion.
        let capacity_share = self.servers.get(&server_id).map_or(1.0, |s| self.capacity_share(now, &s.entry));
        // A timeout below the mean latency is due to the client's short timeout. It says something about the
        // server only if that is worse than what is known.
        let early = status == Status::Timeout
            && (ended.latency as f64) * capacity_share < self.latency_at(ended.class, 0.0);
        if status == Status::Ok {
            let latency = ended.latency as f64 * capacity_share;
            self.record_answer(now, ended.class, ended.depth, latency, capacity_share);
            self.exclude_overtaken(now, server_id, ended.sent_at);
        } else if ended.failed() && !early {
            self.record_failure(now, server_id, ended.class, status, ended.sent_at);
            // A server that cannot be reached is no evidence of congestion.
            if matches!(status, Status::Rejected | Status::Timeout) {
                self.record_congestion(now, ended.class, None, capacity_share);
            }
        }
        self.record_sample(now, &ended, report, early, capacity_share);
        self.refresh(now, server_id);
        self.retry_or_finish(now, id, &ended, terminal, actions);
        self.dispatch(now, actions);
    }

    /// Closes an attempt and removes it from the load of its server; `None` if it is not open.
    fn end_attempt(
        &mut self, id: RequestId, number: u32, server_id: ServerId, status: Status, latency: Nanos,
    ) -> Option<EndedAttempt> {
        let request = self.requests.get_mut(&id)?;
        let class = request.class;
        let attempt = request.attempts.get_mut(number as usize).filter(|a| a.open)?;
        (attempt.open, attempt.may_have_run) = (false, !status.never_ran());
        attempt.release_retry_token(&mut self.retry_tokens);
        let Attempt { timeout, depth, sent_at, excluded_from_load, .. } = *attempt;
        if !excluded_from_load {
            self.remove_load(class, server_id);
        }
        if let Some(server) = self.servers.get_mut(&server_id) {
            if status == Status::Ok {
                (server.consecutive_failures, server.ejected_until) = (0, 0);
            }
            if server.entry.readiness == Readiness::Removed && server.in_flight == 0 {
                self.servers.remove(&server_id).map(|s| self.unlink(s));
            }
        }
        Some(EndedAttempt { server: server_id, class, status, latency, timeout, depth, sent_at })
    }

    /// Records how fast the server is, compared with others, and reports it to peers.
    fn record_sample(
        &mut self, now: Nanos, ended: &EndedAttempt, report: Option<LoadReport>, early: bool,
        capacity_share: f64,
    ) {
        let (server_id, class) = (ended.server, ended.class);
        let name_hash = self.servers.get(&server_id).map(|s| s.entry.name_hash as u32);
        let is_sample = ended.failed() || ended.status == Status::Ok;
        let Some(name_hash) = name_hash.filter(|_| is_sample) else { return };
        // The service time that a server reports excludes the time that it waits for other services.
        let reported = report.and_then(|r| r.service_time).filter(|&time| time > 0 && !ended.failed());
        if let Some(time) = reported {
            self.service_time.add(time as f64, LATENCY_SAMPLES);
        }
        // A failure counts with its whole timeout.
        let taken = if ended.failed() { ended.timeout.max(ended.latency) } else { ended.latency };
        let taken = taken as f64 * capacity_share;
        let sample = reported
            .map_or(taken / self.latency_stats[class].mean, |time| time as f64 / self.service_time.mean);
        let known = self.servers.get(&server_id).and_then(|s| s.by_class[class].relative_latency);
        let sample = sample.max(known.filter(|_| early).unwrap_or(0.0)).clamp(1.0 / 256.0, 255.0);
        self.record_latency(now, server_id, class..class + 1, sample);
        self.append_to_peer_report(name_hash, sample);
    }

    /// Retries a request after the end of an attempt, or gives its final answer, unless the attempt is
    /// `terminal`: its answer was the final one.
    fn retry_or_finish(
        &mut self, now: Nanos, id: RequestId, ended: &EndedAttempt, terminal: bool, actions: &mut Vec<Action>,
    ) {
        let Some(request) = self.requests.get(&id) else { return };
        if request.answered || terminal {
            self.close(id);
            return;
        }
        if request.attempts.iter().any(|a| a.open) {
            return;
        }
        // A retry is free if the attempt never ran and the servers are not overloaded.
        let overloaded = self.overload(ended.class, 0.0) >= REFUSAL_START_DEVIATIONS;
        let free = ended.status.never_ran() && !overloaded;
        let may_retry = now < request.target_at && (free || self.retry_tokens.take());
        let sent = may_retry && self.send_attempt(now, id, false, actions);
        if may_retry && !free && !sent {
            self.retry_tokens.give_back();
        }
        if !sent {
            self.finish(now, id, actions);
        }
    }
}
