//! Load: which open attempts keep a server busy.

use super::*;

impl Balancer {
    /// One attempt more that keeps a server busy: the last one of this request.
    pub(super) fn add_load(&mut self, now: Nanos, id: RequestId) {
        let Some((held, attempt)) = self.requests.get(&id).and_then(|h| Some((h, h.attempts.last()?))) else {
            return;
        };
        let (at, number, pool) =
            (attempt.server, held.attempts.len() as u32 - 1, self.pool_of_class[held.class]);
        self.pools[pool].in_flight += 1;
        let Some(server) = self.servers.get_mut(&at) else { return }; // gone, and forgotten meanwhile
        server.in_flight += 1;
        server.extra_slot = server.in_flight == self.depth_limit && self.rng.u32(0..EXTRA_SLOT_ODDS) == 0;
        server.sent_attempts.push_back((now, id, number));
        self.busy_servers.insert(at);
    }

    /// A long request has come whole: its server starts on it now, and its time begins.
    pub(super) fn body_sent(&mut self, now: Nanos, id: RequestId) {
        let Some(held) = self.requests.get_mut(&id).filter(|held| held.body_pending) else { return };
        let Some(attempt) = held.attempts.last_mut().filter(|attempt| attempt.open) else { return };
        let took = now.saturating_sub(attempt.sent_at);
        (attempt.excluded_from_load, held.body_pending) = (false, false);
        held.target_at = held.target_at.saturating_add(took);
        held.deadline = held.deadline.saturating_add(took);
        let at = attempt.server;
        self.add_load(now, id);
        self.refresh(now, at);
    }

    /// One attempt less that keeps a server busy.
    pub(super) fn remove_load(&mut self, class: usize, at: ServerId) {
        self.pools[self.pool_of_class[class]].in_flight -= 1;
        if let Some(server) = self.servers.get_mut(&at) {
            server.in_flight = server.in_flight.saturating_sub(1);
            if server.in_flight == 0 {
                self.busy_servers.remove(&at);
            }
        }
    }

    /// A server has answered what was sent later: what is overdue there does not wait in its queue. Counted
    /// as load, attempts that are never answered would pass for a crowd, and requests be refused for it.
    pub(super) fn exclude_overtaken(&mut self, now: Nanos, at: ServerId, later: Nanos) {
        let overdue = |u: &RunningStats| now.saturating_sub(overdue_latency(u) as Nanos);
        let overdue: Vec<Nanos> = self.latency_stats.iter().map(overdue).collect();
        let any = overdue.iter().copied().max().unwrap_or(0);
        let late = later.min(any);
        let Some(server) = self.servers.get_mut(&at) else { return };
        let mut lost = Vec::new();
        let (requests, out) = (&mut self.requests, server.in_flight as usize);
        let live = |held: &PendingRequest, n: u32| {
            held.attempts.get(n as usize).is_some_and(|a| a.open && !a.excluded_from_load)
        };
        let mut place = 0;
        while let Some(&(sent, id, n)) = server.sent_attempts.get(place).filter(|(sent, ..)| *sent < late) {
            let held = requests.get_mut(&id).filter(|held| live(held, n));
            match held {
                Some(held) if sent >= later.min(overdue[held.class]) => place += 1, // it may take longer
                held => {
                    if let Some(held) = held {
                        held.attempts[n as usize].excluded_from_load = true;
                        lost.push(held.class);
                    }
                    if place == 0 {
                        server.sent_attempts.pop_front();
                    } else {
                        place += 1;
                    }
                }
            }
        }
        if server.sent_attempts.len() > 2 * out + 8 {
            server.sent_attempts.retain(|(_, id, n)| requests.get(id).is_some_and(|held| live(held, *n)));
        }
        lost.into_iter().for_each(|class| self.remove_load(class, at));
    }
}
