//! Handles requests and their attempts, from the arrival to the end of the last attempt.

use super::claims::AlreadyClaimed;
use super::*;

impl Driver {
    /// Registers a request and passes it to the module; refuses it if too many are open.
    pub(super) fn receive_request(&mut self, client_request: ClientRequest) {
        let ClientRequest {
            id,
            class,
            tenant,
            key,
            cost_hint,
            repeat,
            client_deadline,
            upstream_request,
            client,
        } = client_request;
        let now = self.clock.now();
        let tenant = tenant.and_then(|named| self.in_force.tenant_number(named));
        let deadline = client_deadline.saturating_sub(RESPONSE_MARGIN).max(now);
        debug!(
            request = id.0,
            txn = upstream_request.transaction_id(),
            class,
            left_ms = (deadline - now) / MILLISECOND,
            "request received"
        );
        self.metrics.request_received(class);
        let is_streamed = upstream_request.upload().is_some();
        let resource = upstream_request.with_target(|method, uri| self.long_answers.resource(method, uri));
        let attempts = Vec::new();
        let mut pending = PendingRequest {
            class,
            reply_sender: Some(client),
            request: upstream_request,
            claim: None,
            resource,
            may_have_run: false,
            deadline,
            attempts,
            is_streaming: false,
        };
        if self.requests.len() >= self.limits.max_open_requests {
            pending.finish(Some(Reply::Refused { retry_after: 0 }), &mut self.metrics);
            return;
        }
        if self.long_answers.expects(resource) && !self.capacity.process_memory.allows(Purpose::LongAnswer) {
            debug!(
                request = id.0,
                txn = pending.request.transaction_id(),
                allocated = self.capacity.process_memory.allocated(),
                reason = "no memory for a long answer",
                "request refused"
            );
            self.attempt_stats.long_answers_refused += 1;
            pending.finish(Some(Reply::Refused { retry_after: 0 }), &mut self.metrics);
            return;
        }
        match self.claim(class, &pending.request) {
            Ok(claim) => pending.claim = claim,
            Err(AlreadyClaimed) => {
                info!(
                    request = id.0,
                    txn = pending.request.transaction_id(),
                    "request failed: one with its id has come before and may have run"
                );
                pending.finish(Some(Reply::Failed), &mut self.metrics);
                return;
            }
        }
        self.requests.insert(id, pending);
        if !is_streamed {
            // The deadline of a streamed request counts from its last byte, and its attempt enforces it.
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
            streams_body: is_streamed,
        }));
        self.remove_if_finished(id);
    }

    /// Records the outcome of an attempt, replies to the client if it decides the request, and reports it to the
    /// module.
    pub(super) fn finish_attempt(&mut self, id: RequestId, attempt: u32, outcome: AttemptOutcome) {
        let Some(pending) = self.requests.get_mut(&id) else { return };
        let Some(record) = pending.attempts.get_mut(attempt as usize) else { return };
        if record.task.take().is_none() {
            return; // it was cancelled meanwhile and its outcome is reported
        }
        let (server, sent) = (record.server, record.started);
        pending.may_have_run |= !outcome.status.never_ran();
        if let Some(mut response) = outcome.response {
            let is_long = matches!(response.body, ServerResponseBody::Streamed(_));
            self.long_answers.record(pending.resource, is_long);
            if let ServerResponseBody::Streamed(relay) = &mut response.body {
                let inputs = self.inputs.clone();
                relay.on_end(move |end, connection| {
                    let _ = inputs.send(Input::ResponseEnded { id, end, connection });
                });
            }
            pending.finish(Some(Reply::Served(response)), &mut self.metrics);
        } else if let Some(upload) =
            pending.request.upload().filter(|upload| upload.is_consumed() || upload.is_abandoned())
        {
            // The consumed part of the body cannot be sent again, so this attempt was the last.
            let reply = match outcome.status {
                _ if upload.is_stalled() => Reply::Stalled,
                status if status.never_ran() => Reply::Refused { retry_after: 0 },
                _ => Reply::Failed,
            };
            pending.finish(Some(reply), &mut self.metrics);
        }
        let terminal = pending.reply_sender.is_none();
        if let Some(connection) = outcome.connection {
            self.pool_connection(server, connection);
        }
        if let Some(pending_connection) = outcome.pending_connection {
            let inputs = self.inputs.clone();
            self.pool.await_pending(pending_connection, move |connection| {
                // If the driver has stopped, dropping the message closes the connection.
                let _ = inputs.send(Input::LateConnection { server, connection });
            });
        }
        let latency = self.clock.now() - outcome.sent_at.unwrap_or(sent).max(sent);
        let name = self.names.servers.name(server.0 as usize);
        debug!(request = id.0, attempt, server = name, status = ?outcome.status, "attempt ended");
        self.attempt_stats.record(server, outcome.status, latency);
        let (status, report) = (outcome.status, outcome.report);
        self.handle_event(Event::Outcome { id, attempt, server, status, latency, terminal, report });
        self.remove_if_finished(id);
    }

    /// Returns a connection to the pool if its server still accepts work.
    pub(super) fn pool_connection(&mut self, server: ServerId, connection: Connection) {
        if self.servers[server.0 as usize].accepts_sends(self.clock.now()) {
            self.pool.put(server, connection);
        }
    }

    /// Forgets a request that is answered and has no attempt left.
    pub(super) fn remove_if_finished(&mut self, id: RequestId) {
        if self.requests.get(&id).is_some_and(PendingRequest::is_finished) {
            if let Some(pending) = self.requests.remove(&id) {
                self.release_claim(&pending);
            }
        }
    }

    /// Refuses a streamed request that was given up before a server could run it. The end of an attempt that is under way
    /// does so as well, once that attempt can send nothing more.
    pub(super) fn refuse_abandoned(&mut self, id: RequestId) {
        let Some(pending) = self.requests.get_mut(&id).filter(|pending| !pending.has_attempt()) else {
            return;
        };
        if pending.finish(Some(Reply::Refused { retry_after: 0 }), &mut self.metrics) {
            self.handle_event(Event::ClientGone(id));
        }
        self.remove_if_finished(id);
    }

    /// Fails a request that the module has not answered by its deadline.
    pub(super) fn fail_overdue(&mut self, id: RequestId) {
        let pending = self.requests.get_mut(&id);
        if pending.is_some_and(|pending| pending.finish(Some(Reply::Failed), &mut self.metrics)) {
            warn!(id = id.0, "request unanswered at its deadline; replying with a failure");
            self.handle_event(Event::ClientGone(id));
            self.remove_if_finished(id);
        }
    }

    /// Replies to the client as the module decided.
    pub(super) fn reply(&mut self, id: RequestId, reply: Reply) {
        debug!(request = id.0, ?reply, "request refused or failed by the module");
        if let Some(pending) = self.requests.get_mut(&id) {
            pending.finish(Some(reply), &mut self.metrics);
        }
        self.remove_if_finished(id);
    }

    /// Starts an attempt. Without a free connection the attempt ends at once with [`Status::Moot`].
    pub(super) fn start_attempt(
        &mut self, now: Nanos, id: RequestId, server_id: ServerId, timeout: Nanos, within: Option<Nanos>,
    ) {
        let Some(pending) = self.requests.get_mut(&id) else { return };
        let attempt = pending.attempts.len() as u32;
        let name = self.names.servers.name(server_id.0 as usize);
        debug!(request = id.0, attempt, server = name, list = self.list_version, "attempt started");
        let server = &self.servers[server_id.0 as usize];
        let is_cancelled = pending.request.cancellation.is_cancelled();
        let has_memory = self.capacity.process_memory.allows(Purpose::Attempt);
        let source = match is_cancelled || !has_memory {
            true => None,
            false => self.pool.acquire(server_id, server.address),
        };
        self.attempt_stats.sent += 1;
        let task = source.map(|source| {
            let response_timeout = if timeout > 0 { timeout } else { Nanos::MAX };
            let attempt_task = Attempt {
                server: server.clone(),
                request: pending.request.clone(),
                response_timeout,
                deadline: pending.deadline,
                started: now,
                write_by: within.map_or(Nanos::MAX, |within| now.saturating_add(within)),
                buffer_budget: BufferBudget::new(&self.capacity),
                connect_timeout: self.limits.connect_timeout,
                clock: self.clock,
                sent_attempts: self.metrics.sent_attempts(),
            };
            let inputs = self.inputs.clone();
            let uploaded = attempt_task.request.upload().cloned().map(|upload| (upload, inputs.clone()));
            let task = tokio::spawn(async move {
                let uploaded = async {
                    if let Some((upload, inputs)) = uploaded {
                        upload.wait_until_complete().await;
                        let _ = inputs.send(Input::Uploaded(id));
                    }
                    std::future::pending().await
                };
                let outcome = tokio::select! {
                    outcome = attempt_task.run(source) => outcome,
                    outcome = uploaded => outcome,
                };
                let _ = inputs.send(Input::AttemptEnded { id, attempt, outcome: Box::new(outcome) });
            });
            task.abort_handle()
        });
        if task.is_none() {
            self.attempt_stats.record(server_id, Status::NotSent, 0);
            // The lack of a connection on this side says nothing about the server.
            let (status, terminal) = (Status::NotSent, pending.reply_sender.is_none());
            let outcome =
                Event::Outcome { id, attempt, server: server_id, status, latency: 0, terminal, report: None };
            self.events.push_back(outcome);
        }
        pending.attempts.push(AttemptRecord { server: server_id, started: now, task });
    }

    /// Cancels an attempt and reports that outcome to the module.
    pub(super) fn cancel_attempt(&mut self, now: Nanos, id: RequestId, attempt: u32) {
        let Some(pending) = self.requests.get_mut(&id) else { return };
        let Some(record) = pending.attempts.get_mut(attempt as usize) else { return };
        let Some(task) = record.task.take() else { return };
        debug!(request = id.0, attempt, "attempt cancelled");
        task.abort();
        pending.may_have_run = true;
        let (server, latency, terminal) =
            (record.server, now - record.started, pending.reply_sender.is_none());
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
