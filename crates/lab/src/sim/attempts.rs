//! Attempts at servers, from the decision module's action to the response for the client.

use super::*;

impl Simulator<'_> {
    pub(super) fn send_attempt(&mut self, node: usize, request: RequestId, server: ServerId, timeout: Nanos) {
        let server = server.0 as usize;
        let own = &mut self.nodes[node];
        let Some(open) = own.open.get_mut(&request) else { return };
        let Some((tried, _)) = self.tries.get(&open.id) else { return };
        let expires = tried.written_at.unwrap_or(0) + tried.client_try.budget - RESPONSE_MARGIN;
        let new_connection = own.idle[server] == 0;
        own.idle[server] = own.idle[server].saturating_sub(1);
        self.next += 1;
        let job = self.next;
        let number = open.attempts.len() as u32;
        open.attempts.push(job);
        let (id, incarnation) = (open.id, own.incarnation);
        self.attempts.insert(
            job,
            Attempt {
                node,
                incarnation,
                request,
                number,
                server,
                sent: self.now,
                new_connection,
                id,
                run_index: None,
                open: true,
            },
        );
        let ends = if timeout == 0 { expires } else { expires.min(self.now + timeout) };
        self.schedule(ends.max(self.now), SimEvent::AttemptTimedOut(job));
        let way = if new_connection { HANDSHAKE + SERVER_DELAY } else { SERVER_DELAY };
        self.schedule(self.now + way, SimEvent::AttemptArrived(job));
    }

    pub(super) fn attempt_arrived(&mut self, job: u64) {
        let Some(attempt) = self.attempts.get_mut(&job).filter(|attempt| attempt.open) else { return };
        let (server, node, new_connection) = (attempt.server, attempt.node, attempt.new_connection);
        let life = self.fleet.servers()[server].state();
        if new_connection && (life == ServerState::Down || !self.fleet.open_connection(server)) {
            return self.schedule(self.now + SERVER_DELAY, SimEvent::AttemptEnded(job, CODE_UNREACHED));
        }
        if new_connection && life == ServerState::Vanished {
            return self.schedule(self.now + CONNECT_TIMEOUT, SimEvent::AttemptEnded(job, CODE_UNREACHED));
        }
        attempt.run_index = Some(self.ledger.attempts.len());
        let id = attempt.id;
        let run =
            AttemptRecord { id, node, server, arrived: self.now, ended: None, reply: None, executed: false };
        self.ledger.attempts.push(run);
        let Some((class, work, expires)) = self.class_work_expiry(id) else { return };
        let told =
            self.nodes[node].since.get(&server).is_some_and(|&since| since >= self.fleet.started_at(server));
        let arrival = Arrival { job, class, work, expires, new_connection, notified_of_start: told };
        self.with_fleet(|fleet, now, out| fleet.receive_request(now, server, arrival, out));
    }

    /// Class, work and expiry of a try that has not ended.
    fn class_work_expiry(&self, id: u64) -> Option<(usize, Nanos, Nanos)> {
        let (tried, _) = self.tries.get(&id)?;
        Some((
            tried.client_try.plan.class,
            tried.client_try.plan.work,
            tried.client_try.scheduled_at + tried.client_try.budget,
        ))
    }

    pub(super) fn attempt_ended(&mut self, job: u64, status: Outcome) {
        let Some(attempt) = self.attempts.get_mut(&job) else { return };
        if !std::mem::replace(&mut attempt.open, false) {
            return;
        }
        let (node, request, number, server) = (attempt.node, attempt.request, attempt.number, attempt.server);
        let (sent, incarnation, arrived) = (attempt.sent, attempt.incarnation, attempt.run_index.is_some());
        let own = &mut self.nodes[node];
        if own.incarnation != incarnation || !own.up {
            return;
        }
        if matches!(status, Outcome::Ok | Outcome::Error | Outcome::Rejected) {
            own.idle[server] += 1;
        } else if arrived {
            self.fleet.connection_closed(server);
        }
        if status == Outcome::Ok {
            self.answer(node, request, 200, 0, true);
        }
        let terminal = self.nodes[node]
            .open
            .get(&request)
            .is_none_or(|open| open.answered || !self.tries.contains_key(&open.id));
        self.deliver(
            node,
            Event::Outcome {
                id: request,
                attempt: number,
                server: ServerId(server as u32),
                status,
                latency: self.now - sent,
                terminal,
                report: None,
            },
        );
        self.forget_if_done(node, request);
    }

    /// Answers a request. Every response passes through here, and all but the first for a request are ignored.
    pub(super) fn answer(
        &mut self, node: usize, request: RequestId, status: u16, retry_after: Nanos, genuine: bool,
    ) {
        let Some(open) = self.nodes[node].open.get_mut(&request).filter(|open| !open.answered) else {
            return;
        };
        open.answered = true;
        let id = open.id;
        self.schedule(self.now + CLIENT_DELAY, SimEvent::ResponseArrived(id, status, retry_after, genuine));
    }

    /// Removes a request that is answered or abandoned once all its attempts have ended.
    pub(super) fn forget_if_done(&mut self, node: usize, request: RequestId) {
        let Some(open) = self.nodes[node].open.get(&request) else { return };
        let over = open.answered || !self.tries.contains_key(&open.id);
        if over && open.attempts.iter().all(|job| self.attempts.get(job).is_none_or(|a| !a.open)) {
            self.nodes[node].open.remove(&request);
        }
    }
}

/// Code in [`SimEvent::AttemptEnded`] of an attempt whose connection failed.
const CODE_UNREACHED: u8 = 255;

/// Code in [`SimEvent::AttemptEnded`] of a server's reply.
pub(super) fn code(reply: Reply) -> u8 {
    match reply {
        Reply::Served => 0,
        Reply::Error => 1,
        Reply::TurnedAway => 2,
        Reply::Cut | Reply::Reset | Reply::Malformed | Reply::Silence => 3,
    }
}

/// Outcome that the decision module sees for a code of [`code`].
pub(super) fn outcome(code: u8) -> Outcome {
    match code {
        0 => Outcome::Ok,
        1 => Outcome::Error,
        2 => Outcome::Rejected,
        CODE_UNREACHED => Outcome::ConnectFailed,
        _ => Outcome::Reset,
    }
}
