//! Requests and their attempts, from the arrival to the last end.

use super::*;

impl Driver {
    pub(super) fn request(&mut self, arrival: Arrival) {
        let Arrival { id, class, tenant, key, cost_hint, repeat, expires, outgoing, client } = arrival;
        let now = self.clock.now();
        let tenant = tenant.and_then(|named| self.in_force.tenant_number(named));
        let deadline = expires.saturating_sub(MARGIN).max(now);
        debug!(
            request = id.0,
            txn = outgoing.txn(),
            class,
            left_ms = (deadline - now) / MILLISECOND,
            "request"
        );
        self.figures.taken(class);
        let long = outgoing.upload().is_some();
        let attempts = Vec::new();
        let mut open = Open { class, client: Some(client), outgoing, deadline, attempts, relays: false };
        if self.table.len() >= self.limits.open_requests {
            open.end(Some(Reply::Refused { retry_after: 0 }), &mut self.figures);
            return;
        }
        self.table.insert(id, open);
        if !long {
            // A long one has its time from its last byte on: its attempt sees to that.
            self.due.push(Reverse((deadline + BACKSTOP, Due::Deadline(id))));
        }
        let budget = deadline - now;
        self.handle(Event::Request(Request { id, class, tenant, key, budget, cost_hint, repeat, long }));
        self.settle(id);
    }

    pub(super) fn ended(&mut self, id: RequestId, attempt: u32, ended: Ended) {
        let Some(open) = self.table.get_mut(&id) else { return };
        let Some(out) = open.attempts.get_mut(attempt as usize) else { return };
        if out.task.take().is_none() {
            return; // it was called off meanwhile and has had its outcome
        }
        let (server, sent) = (out.server, out.sent);
        if let Some(mut answer) = ended.answer {
            if let AnswerBody::Long(relay) = &mut answer.body {
                let inputs = self.inputs.clone();
                relay.on_end(move |end, connection| {
                    let _ = inputs.send(Input::Relayed { id, end, connection });
                });
            }
            open.end(Some(Reply::Served(answer)), &mut self.figures);
        } else if let Some(upload) = open.outgoing.upload().filter(|upload| upload.is_spent()) {
            // Nobody can try again with what is gone.
            let reply = match ended.status {
                _ if upload.is_stalled() => Reply::Stalled,
                status if status.never_ran() => Reply::Refused { retry_after: 0 },
                _ => Reply::Failed,
            };
            open.end(Some(reply), &mut self.figures);
        }
        let terminal = open.client.is_none();
        if let Some(connection) = ended.connection {
            self.keep(server, connection);
        }
        if let Some(opening) = ended.opening {
            let inputs = self.inputs.clone();
            self.pool.await_late(opening, move |connection| {
                let _ = inputs.send(Input::Opened { server, connection }); // closed if nobody is left
            });
        }
        let latency = self.clock.now() - ended.since.unwrap_or(sent).max(sent);
        let name = self.names.servers.name(server.0 as usize);
        debug!(request = id.0, attempt, server = name, status = ?ended.status, "attempt ended");
        self.tally.ended(server, ended.status, latency);
        let (status, report) = (ended.status, ended.report);
        self.handle(Event::Outcome { id, attempt, server, status, latency, terminal, report });
        self.settle(id);
    }

    /// Keeps a connection for the next attempt there, if there may be one.
    pub(super) fn keep(&mut self, server: ServerId, connection: Connection) {
        if self.servers[server.0 as usize].takes_sends(self.clock.now()) {
            self.pool.put(server, connection);
        }
    }

    pub(super) fn settle(&mut self, id: RequestId) {
        if self.table.get(&id).is_some_and(Open::is_over) {
            self.table.remove(&id);
        }
    }

    /// Fails what the module has left unanswered, rather than let its client wait in vain.
    pub(super) fn backstop(&mut self, id: RequestId) {
        let open = self.table.get_mut(&id);
        if open.is_some_and(|open| open.end(Some(Reply::Failed), &mut self.figures)) {
            warn!(id = id.0, "unanswered at its deadline");
            self.handle(Event::Gone(id));
            self.settle(id);
        }
    }

    pub(super) fn answer(&mut self, id: RequestId, reply: Reply) {
        debug!(request = id.0, ?reply, "answered by the module's decision");
        if let Some(open) = self.table.get_mut(&id) {
            open.end(Some(reply), &mut self.figures);
        }
        self.settle(id);
    }

    pub(super) fn send(
        &mut self, now: Nanos, id: RequestId, to: ServerId, timeout: Nanos, within: Option<Nanos>,
    ) {
        let Some(open) = self.table.get_mut(&id) else { return };
        let attempt = open.attempts.len() as u32;
        let name = self.names.servers.name(to.0 as usize);
        debug!(request = id.0, attempt, server = name, list = self.list_version, "attempt");
        let server = &self.servers[to.0 as usize];
        let over = open.outgoing.over.is_cancelled();
        let way = if over { None } else { self.pool.way(to, server.address) };
        self.tally.sent += 1;
        let task = way.map(|way| {
            let wait = if timeout > 0 { timeout } else { Nanos::MAX };
            let run = Attempt {
                server: server.clone(),
                request: open.outgoing.clone(),
                patience: wait,
                deadline: open.deadline,
                started: now,
                begin_by: within.map_or(Nanos::MAX, |within| now.saturating_add(within)),
                budget: Budget(self.capacity.bodies.clone()),
                connect_timeout: self.limits.connect_timeout,
                clock: self.clock,
                written: self.figures.written(),
            };
            let inputs = self.inputs.clone();
            let uploaded = run.request.upload().cloned().map(|upload| (upload, inputs.clone()));
            let task = tokio::spawn(async move {
                let uploaded = async {
                    if let Some((upload, inputs)) = uploaded {
                        upload.wait().await;
                        let _ = inputs.send(Input::Uploaded(id));
                    }
                    std::future::pending().await
                };
                let ended = tokio::select! {
                    ended = run.run(way) => ended,
                    ended = uploaded => ended,
                };
                let _ = inputs.send(Input::Ended { id, attempt, ended: Box::new(ended) });
            });
            task.abort_handle()
        });
        if task.is_none() {
            self.tally.ended(to, Status::Moot, 0);
            // No connection is to be had on this side, which says nothing of the server.
            let (status, terminal) = (Status::Moot, open.client.is_none());
            let outcome =
                Event::Outcome { id, attempt, server: to, status, latency: 0, terminal, report: None };
            self.events.push_back(outcome);
        }
        open.attempts.push(Out { server: to, sent: now, task });
    }

    pub(super) fn cancel(&mut self, now: Nanos, id: RequestId, attempt: u32) {
        let Some(open) = self.table.get_mut(&id) else { return };
        let Some(out) = open.attempts.get_mut(attempt as usize) else { return };
        let Some(task) = out.task.take() else { return };
        debug!(request = id.0, attempt, "attempt called off");
        task.abort();
        let (server, latency, terminal) = (out.server, now - out.sent, open.client.is_none());
        let status = Status::Cancelled;
        self.tally.ended(server, status, latency);
        self.events.push_back(Event::Outcome {
            id,
            attempt,
            server,
            status,
            latency,
            terminal,
            report: None,
        });
        self.settle(id);
    }
}
