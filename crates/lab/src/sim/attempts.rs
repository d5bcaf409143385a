//! Attempts at servers, from the module's word to the client's answer.

use super::*;

impl Sim<'_> {
    pub(super) fn send(&mut self, node: usize, request: RequestId, server: ServerId, timeout: Nanos) {
        let server = server.0 as usize;
        let own = &mut self.nodes[node];
        let Some(open) = own.open.get_mut(&request) else { return };
        let Some((tried, _)) = self.tries.get(&open.id) else { return };
        let expires = tried.written_at.unwrap_or(0) + tried.client_try.budget - MARGIN;
        let fresh = own.idle[server] == 0;
        own.idle[server] = own.idle[server].saturating_sub(1);
        self.next += 1;
        let job = self.next;
        let number = open.attempts.len() as u32;
        open.attempts.push(job);
        let (id, life) = (open.id, own.life);
        self.attempts.insert(
            job,
            Attempt {
                node,
                life,
                request,
                number,
                server,
                sent: self.now,
                fresh,
                id,
                line: None,
                open: true,
            },
        );
        let ends = if timeout == 0 { expires } else { expires.min(self.now + timeout) };
        self.at(ends.max(self.now), Due::TimesOut(job));
        let way = if fresh { HANDSHAKE + SERVER_WAY } else { SERVER_WAY };
        self.at(self.now + way, Due::Arrives(job));
    }

    pub(super) fn arrives(&mut self, job: u64) {
        let Some(attempt) = self.attempts.get_mut(&job).filter(|attempt| attempt.open) else { return };
        let (server, node, fresh) = (attempt.server, attempt.node, attempt.fresh);
        let life = self.fleet.servers()[server].state();
        if fresh && (life == ServerState::Down || !self.fleet.open_connection(server)) {
            return self.at(self.now + SERVER_WAY, Due::Ends(job, UNREACHED));
        }
        if fresh && life == ServerState::Vanished {
            return self.at(self.now + CONNECT, Due::Ends(job, UNREACHED));
        }
        attempt.line = Some(self.ledger.attempts.len());
        let id = attempt.id;
        let run =
            AttemptRecord { id, node, server, arrived: self.now, ended: None, reply: None, executed: false };
        self.ledger.attempts.push(run);
        let Some(wish) = self.wish(id) else { return };
        let told =
            self.nodes[node].since.get(&server).is_some_and(|&since| since >= self.fleet.started_at(server));
        let (class, work, expires) = (wish.0, wish.1, wish.2);
        let arrival = Arrival { job, class, work, expires, new_connection: fresh, notified_of_start: told };
        self.fleet(|fleet, now, out| fleet.receive_request(now, server, arrival, out));
    }

    /// Class, work and end of a try that still runs.
    fn wish(&self, id: u64) -> Option<(usize, Nanos, Nanos)> {
        let (tried, _) = self.tries.get(&id)?;
        Some((
            tried.client_try.plan.class,
            tried.client_try.plan.work,
            tried.client_try.scheduled_at + tried.client_try.budget,
        ))
    }

    pub(super) fn ends(&mut self, job: u64, status: Outcome) {
        let Some(attempt) = self.attempts.get_mut(&job) else { return };
        if !std::mem::replace(&mut attempt.open, false) {
            return;
        }
        let (node, request, number, server) = (attempt.node, attempt.request, attempt.number, attempt.server);
        let (sent, life, arrived) = (attempt.sent, attempt.life, attempt.line.is_some());
        let own = &mut self.nodes[node];
        if own.life != life || !own.up {
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
        self.give(
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
        self.settle(node, request);
    }

    /// The only place where a request is answered; only the first answer counts.
    pub(super) fn answer(
        &mut self, node: usize, request: RequestId, status: u16, retry_after: Nanos, genuine: bool,
    ) {
        let Some(open) = self.nodes[node].open.get_mut(&request).filter(|open| !open.answered) else {
            return;
        };
        open.answered = true;
        let id = open.id;
        self.at(self.now + CLIENT_WAY, Due::Answered(id, status, retry_after, genuine));
    }

    /// Forgets a request that is over and whose attempts have ended.
    pub(super) fn settle(&mut self, node: usize, request: RequestId) {
        let Some(open) = self.nodes[node].open.get(&request) else { return };
        let over = open.answered || !self.tries.contains_key(&open.id);
        if over && open.attempts.iter().all(|job| self.attempts.get(job).is_none_or(|a| !a.open)) {
            self.nodes[node].open.remove(&request);
        }
    }
}

/// What [`Due::Ends`] says of an attempt that reached nobody.
const UNREACHED: u8 = 255;

pub(super) fn code(reply: Reply) -> u8 {
    match reply {
        Reply::Served => 0,
        Reply::Error => 1,
        Reply::TurnedAway => 2,
        Reply::Cut | Reply::Reset | Reply::Malformed | Reply::Silence => 3,
    }
}

pub(super) fn outcome(code: u8) -> Outcome {
    match code {
        0 => Outcome::Ok,
        1 => Outcome::Error,
        2 => Outcome::Rejected,
        UNREACHED => Outcome::ConnectFailed,
        _ => Outcome::Reset,
    }
}
