//! Load: which open attempts keep a server busy.

use super::*;

impl Balancer {
    /// Counts the last attempt of this request as load of its server.
    pub(super) fn add_load(&mut self, now: Nanos, id: RequestId) {
        let Some(request) = self.requests.get(&id) else { return };
        let Some(attempt) = request.attempts.last() else { return };
        let (server_id, number) = (attempt.server, request.attempts.len() as u32 - 1);
        self.pools[self.pool_of_class[request.class]].in_flight += 1;
        // The server may have been removed since the attempt was sent.
        let Some(server) = self.servers.get_mut(&server_id) else { return };
        server.in_flight += 1;
        server.extra_slot = server.in_flight == self.depth_limit && self.rng.u32(0..EXTRA_SLOT_ODDS) == 0;
        server.sent_attempts.push_back((now, id, number));
        self.busy_servers.insert(server_id);
    }

    /// Processes [`Event::BodySent`]: the server starts to process the request, and its time limits are
    /// extended by the duration of the upload.
    pub(super) fn body_sent(&mut self, now: Nanos, id: RequestId) {
        let Some(request) = self.requests.get_mut(&id).filter(|r| r.body_pending) else { return };
        let Some(attempt) = request.attempts.last_mut().filter(|a| a.open) else { return };
        let upload_time = now.saturating_sub(attempt.sent_at);
        (attempt.excluded_from_load, request.body_pending) = (false, false);
        request.target_at = request.target_at.saturating_add(upload_time);
        request.deadline = request.deadline.saturating_add(upload_time);
        let server_id = attempt.server;
        self.add_load(now, id);
        self.refresh(now, server_id);
    }

    /// Removes one attempt from the load of its server.
    pub(super) fn remove_load(&mut self, class: usize, server_id: ServerId) {
        self.pools[self.pool_of_class[class]].in_flight -= 1;
        if let Some(server) = self.servers.get_mut(&server_id) {
            server.in_flight = server.in_flight.saturating_sub(1);
            if server.in_flight == 0 {
                self.busy_servers.remove(&server_id);
            }
        }
    }

    /// Removes overdue attempts at a server from its load once the server has answered an attempt that was
    /// sent later, at `answered_sent_at`: they do not wait in its queue. If attempts that are never answered
    /// counted as load, they would look like congestion and cause refusals.
    pub(super) fn exclude_overtaken(&mut self, now: Nanos, server_id: ServerId, answered_sent_at: Nanos) {
        let overdue_if_sent_before =
            |stats: &RunningStats| now.saturating_sub(overdue_latency(stats) as Nanos);
        let overdue_before: Vec<Nanos> = self.latency_stats.iter().map(overdue_if_sent_before).collect();
        let before = answered_sent_at.min(overdue_before.iter().copied().max().unwrap_or(0));
        let Some(server) = self.servers.get_mut(&server_id) else { return };
        let mut excluded_classes = Vec::new();
        let (requests, in_flight) = (&mut self.requests, server.in_flight as usize);
        let counts = |request: &PendingRequest, number: u32| {
            request.attempts.get(number as usize).is_some_and(|a| a.open && !a.excluded_from_load)
        };
        let mut index = 0;
        while let Some(&(sent_at, id, number)) = server.sent_attempts.get(index) {
            if sent_at >= before {
                break;
            }
            match requests.get_mut(&id).filter(|request| counts(request, number)) {
                // Attempts of this class may take longer.
                Some(request) if sent_at >= answered_sent_at.min(overdue_before[request.class]) => index += 1,
                request => {
                    if let Some(request) = request {
                        request.attempts[number as usize].excluded_from_load = true;
                        excluded_classes.push(request.class);
                    }
                    if index == 0 {
                        server.sent_attempts.pop_front();
                    } else {
                        index += 1;
                    }
                }
            }
        }
        if server.sent_attempts.len() > 2 * in_flight + 8 {
            server
                .sent_attempts
                .retain(|(_, id, number)| requests.get(id).is_some_and(|request| counts(request, *number)));
        }
        excluded_classes.into_iter().for_each(|class| self.remove_load(class, server_id));
    }
}
