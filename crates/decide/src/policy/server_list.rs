//! What the list and operators say: servers that enter, change and leave.

use super::*;

impl Balancer {
    /// Out, a server gets what one that drains gets: nothing. Back, it enters like one that has just started,
    /// for operators restart it meanwhile. A second order of the same kind changes nothing.
    pub(super) fn set_maintenance(&mut self, now: Nanos, id: ServerId, out: bool, since: Nanos) {
        let known = match out {
            true => !self.in_maintenance.insert(id),
            false => !self.in_maintenance.remove(&id) && self.maintenance_ended_at.get(&id) == Some(&since),
        };
        if known {
            return;
        }
        match out {
            true => drop(self.maintenance_ended_at.remove(&id)),
            false => drop(self.maintenance_ended_at.insert(id, since)),
        }
        if let Some(server) = self.servers.get(&id) {
            let entry = server.entry.clone();
            self.apply_entries(now, vec![entry], BTreeSet::from([id]));
        }
    }

    pub(super) fn update_servers(&mut self, now: Nanos, kind: ListKind, mut entries: Vec<ServerEntry>) {
        if kind == ListKind::Failed {
            // Discovery is a small shared capacity: ask again later each time, never in step.
            self.watch_at = now.saturating_add(self.watch_backoff.record_failure(&mut self.rng));
            return;
        }
        if kind != ListKind::Persisted {
            self.watch_backoff.record_success();
            self.watch_at = Nanos::MAX;
        }
        let mut changed: BTreeSet<ServerId> = entries.iter().map(|e| e.id).collect();
        if kind != ListKind::Partial {
            for server in self.servers.values_mut().filter(|s| !changed.contains(&s.entry.id)) {
                server.entry.readiness = Readiness::Removed;
            }
            changed.extend(self.servers.keys());
        }
        let weight = |w: f64| if self.settings.weighted { w.clamp(1e-3, MAX_WEIGHT) } else { 1.0 };
        entries.iter_mut().for_each(|e| e.weight = weight(e.weight));
        self.apply_entries(now, entries, changed);
    }

    /// Takes these entries in place of those of the same servers; `changed` has all that may now differ.
    pub(super) fn apply_entries(
        &mut self, now: Nanos, entries: Vec<ServerEntry>, changed: BTreeSet<ServerId>,
    ) {
        let more = entries.iter().filter(|e| !self.servers.contains_key(&e.id));
        let turns =
            (self.total_weight + more.map(|e| e.weight).sum::<f64>()).max(self.servers.len() as f64 + 1.0);
        for mut entry in entries {
            entry.started_at =
                entry.started_at.max(self.maintenance_ended_at.get(&entry.id).copied().unwrap_or(0));
            let known = self.servers.remove(&entry.id);
            let known = known.map(|s| self.unlink(s));
            let same = |s: &Server| {
                s.entry.started_at == entry.started_at && s.entry.readiness != Readiness::Removed
            };
            let server = match known {
                Some(s) if same(&s) => Server { entry, ..s },
                known => {
                    // New, or started anew: an infinite age would bring every node's next request down on it
                    // at once, so it enters at a random phase of its own turn, a short one if it is fast.
                    let last = self.send_count - (self.rng.f64() * turns / entry.weight).ceil() as i64;
                    let (tie, allowance) = (self.rng.u64(..), self.rng.f64());
                    let pace = vec![ClassPerformance::default(); self.settings.classes.len()];
                    let (out, sent) = known.map(|s| (s.in_flight, s.sent_attempts)).unwrap_or_default();
                    Server {
                        entry,
                        tie_break: tie,
                        last_send: last,
                        in_flight: out,
                        sent_attempts: sent,
                        by_class: pace,
                        slow_start_tokens: allowance,
                        tokens_updated_at: now,
                        ..Server::default()
                    }
                }
            };
            self.servers.insert(server.entry.id, server);
        }
        for id in changed {
            let Some(server) = self.servers.remove(&id) else { continue };
            let mut server = self.unlink(server);
            let entry = &server.entry;
            if entry.readiness == Readiness::Removed && server.in_flight == 0 {
                self.maintenance_ended_at.remove(&id);
                continue;
            }
            self.by_name_hash.insert(entry.name_hash as u32 >> 8, id);
            self.cell_servers.insert((entry.cell, id));
            if entry.readiness == Readiness::Ready && !self.in_maintenance.contains(&id) {
                // One ring for all nodes, each starting elsewhere: small rotations cover all servers alike.
                let key = ring::key(entry.name_hash, id.0);
                server.slot = Some(self.ring.insert(key));
                self.total_weight += entry.weight;
                if entry.zone == self.settings.zone {
                    self.local_servers.insert(key, id);
                }
                for (tally, class) in self.class_totals.iter_mut().zip(&self.settings.classes) {
                    let allowed = class.placement.allows(entry);
                    tally.allowed_servers += u32::from(allowed);
                    tally.unmeasured_weight += if allowed { entry.weight } else { 0.0 };
                }
            }
            self.servers.insert(id, server);
            self.refresh(now, id);
        }
        self.refresh_batch(now);
    }

    /// Takes a server out of all that is found by something else than its number.
    pub(super) fn unlink(&mut self, mut server: Server) -> Server {
        let (entry, id) = (&server.entry, server.entry.id);
        self.refresh_times.remove(&(server.refresh_at, id));
        self.cell_servers.remove(&(entry.cell, id));
        if self.by_name_hash.get(&(entry.name_hash as u32 >> 8)) == Some(&id) {
            self.by_name_hash.remove(&(entry.name_hash as u32 >> 8));
        }
        if server.in_flight == 0 {
            self.busy_servers.remove(&id);
        }
        if let Some(slot) = server.slot.take() {
            self.ring.remove(slot);
            self.local_servers.remove(&ring::key(entry.name_hash, id.0));
            self.total_weight -= entry.weight;
            let (suspect, speed) = (std::mem::take(&mut server.unhealthy), server.speed.take());
            let tallies = self.class_totals.iter_mut().zip(&self.settings.classes);
            for (tally, _) in tallies.filter(|(_, class)| class.placement.allows(entry)) {
                tally.unhealthy_servers -= u32::from(suspect);
                tally.update_speed(entry.weight, speed, None);
                tally.unmeasured_weight -= entry.weight;
                tally.allowed_servers -= 1;
                if tally.allowed_servers == 0 {
                    *tally = ClassTotals::default(); // sums of floats end at about nothing
                }
            }
            self.unhealthy_servers.remove(&id);
        }
        server.refresh_at = 0;
        server
    }
}
