//! Requests and their attempts, from the arrival to the last end.

use super::*;

impl Driver {
    pub(super) fn receive_request(&mut self, arrival: ClientRequest) {
        let ClientRequest {
            id,
            class,
            tenant,
            key,
            cost_hint,
            repeat,
            client_deadline: expires,
            outgoing,
            client,
        } = arrival;
        let now = self.clock.now();
        let tenant = tenant.and_then(|named| self.in_force.tenant_number(named));
        let deadline = expires.saturating_sub(RESPONSE_MARGIN).max(now);
        debug!(
            request = id.0,
            txn = outgoing.txn(),
            class,
            left_ms = (deadline - now) / MILLISECOND,
            "request"
        );
        self.metrics.request_received(class);
        let long = outgoing.upload().is_some();
        let attempts = Vec::new();
        let mut open = PendingRequest {
            class,
            reply_sender: Some(client),
            request: outgoing,
            deadline,
            attempts,
            is_streaming: false,
        };
        if self.requests.len() >= self.limits.max_open_requests {
            open.finish(Some(Reply::Refused { retry_after: 0 }), &mut self.metrics);
            return;
        }
        self.requests.insert(id, open);
        if !long {
            // A long one has its time from its last byte on: its attempt sees to that.
            self.schedule.push(Reverse((deadline + OVERDUE_GRACE, ScheduledTask::RequestDeadline(id))));
        }
        let budget = deadline - now;
        self.handle_event(Event::Request(Request {
            id,
            class,
            tenant,
            key,
            client_timeout: budget,
            cost_hint,
            is_retry: repeat,
            streams_body: long,
        }));
        self.remove_if_finished(id);
    }

    pub(super) fn finish_attempt(&mut self, id: RequestId, attempt: u32, ended: AttemptOutcome) {
        let Some(open) = self.requests.get_mut(&id) else { return };
        let Some(out) = open.attempts.get_mut(attempt as usize) else { return };
        if out.task.take().is_none() {
            return; // it was called off meanwhile and has had its outcome
        }
        let (server, sent) = (out.server, out.started);
        if let Some(mut answer) = ended.response {
            if let ServerResponseBody::Streamed(relay) = &mut answer.body {
                let inputs = self.inputs.clone();
                relay.on_end(move |end, connection| {
                    let _ = inputs.send(Input::ResponseEnded { id, end, connection });
                });
            }
            open.finish(Some(Reply::Served(answer)), &mut self.metrics);
        } else if let Some(upload) = open.request.upload().filter(|upload| upload.is_consumed()) {
            // Nobody can try again with what is gone.
            let reply = match ended.status {
                _ if upload.is_stalled() => Reply::Stalled,
                status if status.never_ran() => Reply::Refused { retry_after: 0 },
                _ => Reply::Failed,
            };
            open.finish(Some(reply), &mut self.metrics);
        }
        let terminal = open.reply_sender.is_none();
        if let Some(connection) = ended.connection {
            self.pool_connection(server, connection);
        }
        if let Some(opening) = ended.pending_connection {
            let inputs = self.inputs.clone();
            self.pool.await_pending(opening, move |connection| {
                let _ = inputs.send(Input::LateConnection { server, connection });
                // closed if nobody is left
            });
        }
        let latency = self.clock.now() - ended.sent_at.unwrap_or(sent).max(sent);
        let name = self.names.servers.name(server.0 as usize);
        debug!(request = id.0, attempt, server = name, status = ?ended.status, "attempt ended");
        self.attempt_stats.record(server, ended.status, latency);
        let (status, report) = (ended.status, ended.report);
        self.handle_event(Event::Outcome { id, attempt, server, status, latency, terminal, report });
        self.remove_if_finished(id);
    }

    /// Keeps a connection for the next attempt there, if there may be one.
    pub(super) fn pool_connection(&mut self, server: ServerId, connection: Connection) {
        if self.servers[server.0 as usize].accepts_sends(self.clock.now()) {
            self.pool.put(server, connection);
        }
    }

    pub(super) fn remove_if_finished(&mut self, id: RequestId) {
        if self.requests.get(&id).is_some_and(PendingRequest::is_finished) {
            self.requests.remove(&id);
        }
    }

    /// Fails what the module has left unanswered, rather than let its client wait in vain.
    pub(super) fn fail_overdue(&mut self, id: RequestId) {
        let open = self.requests.get_mut(&id);
        if open.is_some_and(|open| open.finish(Some(Reply::Failed), &mut self.metrics)) {
            warn!(id = id.0, "unanswered at its deadline");
            self.handle_event(Event::ClientGone(id));
            self.remove_if_finished(id);
        }
    }

    pub(super) fn reply(&mut self, id: RequestId, reply: Reply) {
        debug!(request = id.0, ?reply, "answered by the module's decision");
        if let Some(open) = self.requests.get_mut(&id) {
            open.finish(Some(reply), &mut self.metrics);
        }
        self.remove_if_finished(id);
    }

    pub(super) fn start_attempt(
        &mut self, now: Nanos, id: RequestId, to: ServerId, timeout: Nanos, within: Option<Nanos>,
    ) {
        let Some(open) = self.requests.get_mut(&id) else { return };
        let attempt = open.attempts.len() as u32;
        let name = self.names.servers.name(to.0 as usize);
        debug!(request = id.0, attempt, server = name, list = self.list_version, "attempt");
        let server = &self.servers[to.0 as usize];
        let over = open.request.cancellation.is_cancelled();
        let way = if over { None } else { self.pool.acquire(to, server.address) };
        self.attempt_stats.sent += 1;
        let task = way.map(|way| {
            let wait = if timeout > 0 { timeout } else { Nanos::MAX };
            let run = Attempt {
                server: server.clone(),
                request: open.request.clone(),
                response_timeout: wait,
                deadline: open.deadline,
                started: now,
                write_by: within.map_or(Nanos::MAX, |within| now.saturating_add(within)),
                buffer_budget: BufferBudget(self.capacity.bodies.clone()),
                connect_timeout: self.limits.connect_timeout,
                clock: self.clock,
                sent_attempts: self.metrics.sent_attempts(),
            };
            let inputs = self.inputs.clone();
            let uploaded = run.request.upload().cloned().map(|upload| (upload, inputs.clone()));
            let task = tokio::spawn(async move {
                let uploaded = async {
                    if let Some((upload, inputs)) = uploaded {
                        upload.wait_until_complete().await;
                        let _ = inputs.send(Input::Uploaded(id));
                    }
                    std::future::pending().await
                };
                let ended = tokio::select! {
                    ended = run.run(way) => ended,
                    ended = uploaded => ended,
                };
                let _ = inputs.send(Input::AttemptEnded { id, attempt, outcome: Box::new(ended) });
            });
            task.abort_handle()
        });
        if task.is_none() {
            self.attempt_stats.record(to, Status::NotSent, 0);
            // No connection is to be had on this side, which says nothing of the server.
            let (status, terminal) = (Status::NotSent, open.reply_sender.is_none());
            let outcome =
                Event::Outcome { id, attempt, server: to, status, latency: 0, terminal, report: None };
            self.events.push_back(outcome);
        }
        open.attempts.push(AttemptRecord { server: to, started: now, task });
    }

    pub(super) fn cancel_attempt(&mut self, now: Nanos, id: RequestId, attempt: u32) {
        let Some(open) = self.requests.get_mut(&id) else { return };
        let Some(out) = open.attempts.get_mut(attempt as usize) else { return };
        let Some(task) = out.task.take() else { return };
        debug!(request = id.0, attempt, "attempt called off");
        task.abort();
        let (server, latency, terminal) = (out.server, now - out.started, open.reply_sender.is_none());
        let status = Status::Cancelled;
        self.attempt_stats.record(server, status, latency);
        self.events.push_back(Event::Outcome {
            id,
            attempt,
            server,
            status,
            latency,
            terminal,
            report: None,
        });
        self.remove_if_finished(id);
    }
}
