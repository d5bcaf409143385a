//! What the list and operators say: servers that enter, change and leave.

use super::*;

impl Balancer {
    /// Out, a server gets what one that drains gets: nothing. Back, it enters like one that has just started,
    /// for operators restart it meanwhile. A second order of the same kind changes nothing.
    pub(super) fn maintain(&mut self, now: Nanos, id: ServerId, out: bool, since: Nanos) {
        let known = match out {
            true => !self.out.insert(id),
            false => !self.out.remove(&id) && self.returned.get(&id) == Some(&since),
        };
        if known {
            return;
        }
        match out {
            true => drop(self.returned.remove(&id)),
            false => drop(self.returned.insert(id, since)),
        }
        if let Some(server) = self.servers.get(&id) {
            let entry = server.entry.clone();
            self.enter(now, vec![entry], BTreeSet::from([id]));
        }
    }

    pub(super) fn servers_told(&mut self, now: Nanos, kind: ListKind, mut entries: Vec<ServerEntry>) {
        if kind == ListKind::Failed {
            // Discovery is a small shared capacity: ask again later each time, never in step.
            self.ask_at = now.saturating_add(self.ask_backoff.record_failure(&mut self.rng));
            return;
        }
        if kind != ListKind::Persisted {
            self.ask_backoff.record_success();
            self.ask_at = Nanos::MAX;
        }
        let mut changed: BTreeSet<ServerId> = entries.iter().map(|e| e.id).collect();
        if kind != ListKind::Partial {
            for server in self.servers.values_mut().filter(|s| !changed.contains(&s.entry.id)) {
                server.entry.readiness = Readiness::Removed;
            }
            changed.extend(self.servers.keys());
        }
        let weight = |w: f64| if self.set.weighted { w.clamp(1e-3, WEIGHT_MOST) } else { 1.0 };
        entries.iter_mut().for_each(|e| e.weight = weight(e.weight));
        self.enter(now, entries, changed);
    }

    /// Takes these entries in place of those of the same servers; `changed` has all that may now differ.
    pub(super) fn enter(&mut self, now: Nanos, entries: Vec<ServerEntry>, changed: BTreeSet<ServerId>) {
        let more = entries.iter().filter(|e| !self.servers.contains_key(&e.id));
        let turns = (self.weights + more.map(|e| e.weight).sum::<f64>()).max(self.servers.len() as f64 + 1.0);
        for mut entry in entries {
            entry.started_at = entry.started_at.max(self.returned.get(&entry.id).copied().unwrap_or(0));
            let known = self.servers.remove(&entry.id);
            let known = known.map(|s| self.withdraw(s));
            let same = |s: &Server| {
                s.entry.started_at == entry.started_at && s.entry.readiness != Readiness::Removed
            };
            let server = match known {
                Some(s) if same(&s) => Server { entry, ..s },
                known => {
                    // New, or started anew: an infinite age would bring every node's next request down on it
                    // at once, so it enters at a random phase of its own turn, a short one if it is fast.
                    let last = self.sends - (self.rng.f64() * turns / entry.weight).ceil() as i64;
                    let (tie, allowance) = (self.rng.u64(..), self.rng.f64());
                    let pace = vec![Pace::default(); self.set.classes.len()];
                    let (out, sent) = known.map(|s| (s.out, s.sent)).unwrap_or_default();
                    Server {
                        entry,
                        tie,
                        last,
                        out,
                        sent,
                        pace,
                        allowance,
                        refilled: now,
                        ..Server::default()
                    }
                }
            };
            self.servers.insert(server.entry.id, server);
        }
        for id in changed {
            let Some(server) = self.servers.remove(&id) else { continue };
            let mut server = self.withdraw(server);
            let entry = &server.entry;
            if entry.readiness == Readiness::Removed && server.out == 0 {
                self.returned.remove(&id);
                continue;
            }
            self.by_tag.insert(entry.name_hash as u32 >> 8, id);
            self.cells.insert((entry.cell, id));
            if entry.readiness == Readiness::Ready && !self.out.contains(&id) {
                // One ring for all nodes, each starting elsewhere: small rotations cover all servers alike.
                let key = ring::key(entry.name_hash, id.0);
                server.slot = Some(self.ring.insert(key));
                self.weights += entry.weight;
                if entry.zone == self.set.zone {
                    self.homes.insert(key, id);
                }
                for (tally, class) in self.tallies.iter_mut().zip(&self.set.classes) {
                    let allowed = class.placement.allows(entry);
                    tally.allowed += u32::from(allowed);
                    tally.weight += if allowed { entry.weight } else { 0.0 };
                }
            }
            self.servers.insert(id, server);
            self.draw(now, id);
        }
        self.sweep(now);
    }

    /// Takes a server out of all that is found by something else than its number.
    pub(super) fn withdraw(&mut self, mut server: Server) -> Server {
        let (entry, id) = (&server.entry, server.entry.id);
        self.wakes.remove(&(server.wake, id));
        self.cells.remove(&(entry.cell, id));
        if self.by_tag.get(&(entry.name_hash as u32 >> 8)) == Some(&id) {
            self.by_tag.remove(&(entry.name_hash as u32 >> 8));
        }
        if server.out == 0 {
            self.occupied.remove(&id);
        }
        if let Some(slot) = server.slot.take() {
            self.ring.remove(slot);
            self.homes.remove(&ring::key(entry.name_hash, id.0));
            self.weights -= entry.weight;
            let (suspect, speed) = (std::mem::take(&mut server.suspect), server.speed.take());
            let tallies = self.tallies.iter_mut().zip(&self.set.classes);
            for (tally, _) in tallies.filter(|(_, class)| class.placement.allows(entry)) {
                tally.suspects -= u32::from(suspect);
                tally.know(entry.weight, speed, None);
                tally.weight -= entry.weight;
                tally.allowed -= 1;
                if tally.allowed == 0 {
                    *tally = Tally::default(); // sums of floats end at about nothing
                }
            }
            self.suspects.remove(&id);
        }
        server.wake = 0;
        server
    }
}
