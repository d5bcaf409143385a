//! Attempts: sent, timed, and what follows their ends.

use super::*;

impl Balancer {
    pub(super) fn send(&mut self, now: Nanos, id: RequestId, patient: bool, out: &mut Vec<Action>) -> bool {
        let held = &self.requests[&id];
        if held.attempts.len() >= held.most || now >= held.deadline {
            return false;
        }
        // The stated budget, at its strictest on both edges of its window, for all attempts after a first.
        let (b, from) = (self.budget, now.saturating_sub(self.budget.window));
        let allowed = b.base + b.per_request * self.taken.since(from + 1) as f64;
        let further = !held.attempts.is_empty();
        if further && self.further.since(from) as f64 + 1.0 > allowed {
            return false;
        }
        // What cannot be answered in the time that is left would only keep others waiting.
        let useful = if held.late { Nanos::MAX } else { held.aim_at };
        let left = useful.min(held.deadline).saturating_sub(now) as f64;
        if !held.long && self.usual[held.class].seen >= DEPTH_SAMPLES && left < self.within(held.class, -1.0)
        {
            return false;
        }
        let Some(server_id) = self.pick(now, id, patient) else { return false };
        let held = &self.requests[&id];
        let (timeout, chosen) = (self.timeout(now, held, server_id), &self.servers[&server_id]);
        let allowance = self.allowance(now, chosen, self.warmth(now, &chosen.entry), self.cold_rate(now));
        let server = self.servers.get_mut(&server_id).expect("it has just been picked");
        (server.allowance, server.refilled) = (allowance - 1.0, now);
        server.last = self.sends;
        let depth = (server.out as usize).min(DEPTHS - 1);
        self.sends += 1;
        let (server, zone, cell) = (server_id, server.entry.zone, server.entry.cell);
        // Its connection may come up late, and then it may not go any more.
        let window = match self.set.classes[held.class].idempotency {
            Idempotency::Keyed { window, .. } => Some(window),
            _ => None,
        };
        let ran = held.attempts.iter().filter(|a| a.ran).map(|a| a.sent).min();
        let within = window.zip(ran).map(|(w, ran)| ran.saturating_add(w).saturating_sub(now));
        out.push(Action::Send { id, server, timeout, send_within: within });
        let held = self.requests.get_mut(&id).expect("it has just been looked at");
        let timeout = if timeout == 0 { held.deadline - now } else { timeout };
        let long = held.long;
        held.attempts.push(Attempt {
            server,
            zone,
            cell,
            sent: now,
            ran: true,
            depth,
            timeout,
            open: true,
            lost: long,
        });
        if !long {
            self.burden(now, id);
        }
        if further {
            self.further.add(now, b.window);
        }
        self.draw(now, server_id);
        true
    }

    /// How long to wait for an attempt: until it is overdue if there is time and budget for another.
    pub(super) fn timeout(&self, now: Nanos, held: &Held, server: ServerId) -> Nanos {
        let usual = &self.usual[held.class];
        let server = &self.servers[&server];
        let slowness = server.slowness().unwrap_or(1.0).max(1.0) / self.warmth(now, &server.entry).max(0.1);
        let overdue = (overdue(usual) * slowness) as Nanos;
        let class = &self.set.classes[held.class];
        let again = match class.idempotency {
            Idempotency::NonIdempotent => false,
            Idempotency::Idempotent => true,
            Idempotency::Keyed { window, .. } => overdue < window,
        };
        let spare = held.attempts.len() + 1 < held.most && self.retries >= 1.0;
        let end = now.saturating_add(overdue).saturating_add(usual.mean as Nanos);
        let time = end <= held.aim_at.min(held.deadline);
        // Under strain the aim ends it, if late answers are worth nothing: work may stop with it.
        let cut = !held.late && self.excess(held.class, 0.0) >= STRAIN_FROM;
        match again && spare && time {
            true => overdue,
            false => u64::from(cut) * held.aim_at.saturating_sub(now),
        }
    }

    pub(super) fn outcome(&mut self, now: Nanos, event: Event, out: &mut Vec<Action>) {
        let Event::Outcome { id, attempt, server: at, status, latency, terminal, report } = event else {
            return;
        };
        let latency = latency.min(LATENCY_MOST);
        let Some(held) = self.requests.get_mut(&id) else { return };
        let (class, aim_at, over) = (held.class, held.aim_at, held.over || terminal);
        let Some(tried) = held.attempts.get_mut(attempt as usize).filter(|a| a.open) else { return };
        (tried.open, tried.ran) = (false, !status.never_ran());
        let (given, depth, sent) = (tried.timeout, tried.depth, tried.sent);
        if !tried.lost {
            self.lighten(class, at);
        }
        if let Some(server) = self.servers.get_mut(&at) {
            if status == Status::Ok {
                (server.strikes, server.back_at) = (0, 0);
            }
            if server.entry.readiness == Readiness::Removed && server.out == 0 {
                self.servers.remove(&at).map(|s| self.withdraw(s));
            }
        }
        let failed = !matches!(status, Status::Ok | Status::Cancelled | Status::NotSent);
        // Failures count at the whole time-out, cold servers at their warm speed: growth is no strain.
        let warmth = self.servers.get(&at).map_or(1.0, |s| self.warmth(now, &s.entry));
        // One that its client's own short time has ended tells of its server only what is worse than known.
        let early = status == Status::Timeout && (latency as f64) * warmth < self.within(class, 0.0);
        let taken = if failed { given.max(latency) } else { latency } as f64 * warmth;
        if status == Status::Ok {
            let usual = &mut self.usual[class];
            usual.add(taken, USUAL_SAMPLES);
            let risen = self.base[class] + BASE_RISE * (usual.mean - self.base[class]);
            let base = if usual.seen < BASE_SAMPLES { usual.mean } else { risen.min(usual.mean) };
            // Learned within a jam it would hide the jam: an aim leaves room for queues.
            self.base[class] = base.min(self.set.classes[class].target_latency as f64 * BASE_MOST);
            let base = self.base[class];
            let pool = &mut self.pools[self.pool[class]];
            pool.answered.add(now, STRAIN_WINDOW, base);
            let fades = STRAIN_WINDOW.max(MOST_LATENCIES * base);
            pool.most *= (-(now.saturating_sub(pool.heard) as f64) / fades).exp();
            pool.lately.add(now, base, 1.0);
            pool.most = pool.most.max(pool.lately.get(now, base) / self.ring.len().max(1) as f64);
            // Few get beyond the limit: each of them has to tell more.
            let most = if (depth as u32) < self.limit { 4.0 * DEPTH_SAMPLES } else { DEPTH_SAMPLES };
            self.depths[depth].add((taken / base).min(2.0 * DEPTH_SLOWER), most);
            self.sense(now, class, Some(taken / base), warmth);
            self.overtake(now, at, sent);
        } else if failed && !early {
            self.strike(now, at, class, status, sent); // one that is gone tells no strain
            if matches!(status, Status::Rejected | Status::Timeout) {
                self.sense(now, class, None, warmth);
            }
        }
        let tag = self.servers.get(&at).map(|s| s.entry.name_hash as u32);
        if let Some(tag) = tag.filter(|_| failed || status == Status::Ok) {
            // A server's own account of its service leaves out what it waits for others.
            let told = report.and_then(|r| r.service_time).filter(|&told| told > 0 && !failed);
            told.into_iter().for_each(|told| self.service.add(told as f64, USUAL_SAMPLES));
            let sample = told.map_or(taken / self.usual[class].mean, |told| told as f64 / self.service.mean);
            let known = self.servers.get(&at).and_then(|s| s.pace[class].slowness).filter(|_| early);
            let sample = sample.max(known.unwrap_or(0.0)).clamp(1.0 / 256.0, 255.0);
            self.learn(now, at, class..class + 1, sample);
            if self.set.may_message_peers && self.news.len() < MAX_MESSAGE_BYTES {
                let code = ((sample.log2() + 8.0) * NEWS_STEPS) as u32;
                self.news.extend((tag & !255 | code & 255).to_le_bytes());
            }
        }
        self.draw(now, at);
        if over {
            self.close(id);
        } else if self.requests[&id].attempts.iter().all(|a| !a.open) {
            let free = status.never_ran() && self.excess(class, 0.0) < STRAIN_FROM;
            if now < aim_at && (free || self.retries >= 1.0) && self.send(now, id, false, out) {
                self.retries -= if free { 0.0 } else { 1.0 };
            } else {
                self.finish(now, id, out);
            }
        }
        self.dispatch(now, out);
    }

    /// One attempt more that keeps a server busy: the last one of this request.
    pub(super) fn burden(&mut self, now: Nanos, id: RequestId) {
        let Some((held, attempt)) = self.requests.get(&id).and_then(|h| Some((h, h.attempts.last()?))) else {
            return;
        };
        let (at, number, pool) = (attempt.server, held.attempts.len() as u32 - 1, self.pool[held.class]);
        self.pools[pool].open += 1;
        let Some(server) = self.servers.get_mut(&at) else { return }; // gone, and forgotten meanwhile
        server.out += 1;
        server.more = server.out == self.limit && self.rng.u32(0..DEPTH_TRIES) == 0;
        server.sent.push_back((now, id, number));
        self.occupied.insert(at);
    }

    /// A long request has come whole: its server starts on it now, and its time begins.
    pub(super) fn uploaded(&mut self, now: Nanos, id: RequestId) {
        let Some(held) = self.requests.get_mut(&id).filter(|held| held.long) else { return };
        let Some(attempt) = held.attempts.last_mut().filter(|attempt| attempt.open) else { return };
        let took = now.saturating_sub(attempt.sent);
        (attempt.lost, held.long) = (false, false);
        held.aim_at = held.aim_at.saturating_add(took);
        held.deadline = held.deadline.saturating_add(took);
        let at = attempt.server;
        self.burden(now, id);
        self.draw(now, at);
    }

    /// One attempt less that keeps a server busy.
    pub(super) fn lighten(&mut self, class: usize, at: ServerId) {
        self.pools[self.pool[class]].open -= 1;
        if let Some(server) = self.servers.get_mut(&at) {
            server.out = server.out.saturating_sub(1);
            if server.out == 0 {
                self.occupied.remove(&at);
            }
        }
    }

    /// A server has answered what was sent later: what is overdue there does not wait in its queue. Counted
    /// as load, attempts that are never answered would pass for a crowd, and requests be refused for it.
    pub(super) fn overtake(&mut self, now: Nanos, at: ServerId, later: Nanos) {
        let overdue = |u: &Usual| now.saturating_sub(overdue(u) as Nanos);
        let overdue: Vec<Nanos> = self.usual.iter().map(overdue).collect();
        let any = overdue.iter().copied().max().unwrap_or(0);
        let late = later.min(any);
        let Some(server) = self.servers.get_mut(&at) else { return };
        let mut lost = Vec::new();
        let (requests, out) = (&mut self.requests, server.out as usize);
        let live = |held: &Held, n: u32| held.attempts.get(n as usize).is_some_and(|a| a.open && !a.lost);
        let mut place = 0;
        while let Some(&(sent, id, n)) = server.sent.get(place).filter(|(sent, ..)| *sent < late) {
            let held = requests.get_mut(&id).filter(|held| live(held, n));
            match held {
                Some(held) if sent >= later.min(overdue[held.class]) => place += 1, // it may take longer
                held => {
                    if let Some(held) = held {
                        held.attempts[n as usize].lost = true;
                        lost.push(held.class);
                    }
                    if place == 0 {
                        server.sent.pop_front();
                    } else {
                        place += 1;
                    }
                }
            }
        }
        if server.sent.len() > 2 * out + 8 {
            server.sent.retain(|(_, id, n)| requests.get(id).is_some_and(|held| live(held, *n)));
        }
        lost.into_iter().for_each(|class| self.lighten(class, at));
    }
}
