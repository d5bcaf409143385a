//! Changes to the set of servers, by the server list and by operators.

use super::*;

impl Balancer {
    /// Processes [`Event::Maintenance`]. A server that is out of service gets no requests, like one that
    /// drains. When it is put back it counts as just started, because operators restart servers meanwhile. A
    /// repeated order has no effect.
    pub(super) fn set_maintenance(&mut self, now: Nanos, id: ServerId, out: bool, ordered_at: Nanos) {
        let repeated = match out {
            true => !self.in_maintenance.insert(id),
            false => {
                !self.in_maintenance.remove(&id) && self.maintenance_ended_at.get(&id) == Some(&ordered_at)
            }
        };
        if repeated {
            return;
        }
        match out {
            true => drop(self.maintenance_ended_at.remove(&id)),
            false => drop(self.maintenance_ended_at.insert(id, ordered_at)),
        }
        if let Some(server) = self.servers.get(&id) {
            let entry = server.entry.clone();
            self.apply_entries(now, vec![entry], BTreeSet::from([id]));
        }
    }

    /// Processes [`Event::Servers`].
    pub(super) fn update_servers(&mut self, now: Nanos, kind: ListKind, mut entries: Vec<ServerEntry>) {
        if kind == ListKind::Failed {
            // The discovery service is shared and has little capacity, so the delay grows with each failure
            // and is randomized.
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

    /// Replaces the entries of these servers. `changed` contains every server that may have changed.
    fn apply_entries(&mut self, now: Nanos, entries: Vec<ServerEntry>, changed: BTreeSet<ServerId>) {
        let added = entries.iter().filter(|e| !self.servers.contains_key(&e.id));
        let round =
            (self.total_weight + added.map(|e| e.weight).sum::<f64>()).max(self.servers.len() as f64 + 1.0);
        for mut entry in entries {
            let maintenance_ended_at = self.maintenance_ended_at.get(&entry.id).copied().unwrap_or(0);
            entry.started_at = entry.started_at.max(maintenance_ended_at);
            let old = self.servers.remove(&entry.id).map(|s| self.unlink(s));
            let is_same = |s: &Server| {
                s.entry.started_at == entry.started_at && s.entry.readiness != Readiness::Removed
            };
            let server = match old {
                Some(old) if is_same(&old) => Server { entry, ..old },
                old => self.new_server(now, entry, round, old),
            };
            self.servers.insert(server.entry.id, server);
        }
        for id in changed {
            if let Some(server) = self.servers.remove(&id) {
                let server = self.unlink(server);
                self.link(now, server);
            }
        }
        self.refresh_batch(now);
    }

    /// State of a server that is new or was restarted. `round` is the number of sends between two uses of a
    /// server of weight 1. An infinite age would attract the next request of every node at once, so the
    /// server starts at a random point of its interval between two uses, which is short for a large server.
    fn new_server(&mut self, now: Nanos, entry: ServerEntry, round: f64, old: Option<Server>) -> Server {
        let last_send = self.send_count - (self.rng.f64() * round / entry.weight).ceil() as i64;
        let (tie_break, slow_start_tokens) = (self.rng.u64(..), self.rng.f64());
        let (in_flight, sent_attempts) = old.map(|s| (s.in_flight, s.sent_attempts)).unwrap_or_default();
        Server {
            entry,
            tie_break,
            last_send,
            in_flight,
            sent_attempts,
            by_class: vec![ClassPerformance::default(); self.settings.classes.len()],
            slow_start_tokens,
            tokens_updated_at: now,
            ..Server::default()
        }
    }

    /// Inserts a server and enters it into all indexes. A removed server without open attempts is dropped.
    fn link(&mut self, now: Nanos, mut server: Server) {
        let (entry, id) = (&server.entry, server.entry.id);
        if entry.readiness == Readiness::Removed && server.in_flight == 0 {
            self.maintenance_ended_at.remove(&id);
            return;
        }
        self.by_name_hash.insert(entry.name_hash as u32 >> 8, id);
        self.cell_servers.insert((entry.cell, id));
        if entry.readiness == Readiness::Ready && !self.in_maintenance.contains(&id) {
            // All nodes have the same ring and start at different places, so that small rotations cover all
            // servers evenly.
            let key = ring::key(entry.name_hash, id.0);
            server.slot = Some(self.ring.insert(key));
            self.total_weight += entry.weight;
            if entry.zone == self.settings.zone {
                self.local_servers.insert(key, id);
            }
            for (totals, class) in self.class_totals.iter_mut().zip(&self.settings.classes) {
                let allowed = class.placement.allows(entry);
                totals.allowed_servers += u32::from(allowed);
                totals.unmeasured_weight += if allowed { entry.weight } else { 0.0 };
            }
        }
        self.servers.insert(id, server);
        self.refresh(now, id);
    }

    /// Removes a server that is no longer in `servers` from all indexes.
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
            let (unhealthy, speed) = (std::mem::take(&mut server.unhealthy), server.speed.take());
            let totals = self.class_totals.iter_mut().zip(&self.settings.classes);
            for (totals, _) in totals.filter(|(_, class)| class.placement.allows(entry)) {
                totals.unhealthy_servers -= u32::from(unhealthy);
                totals.update_speed(entry.weight, speed, None);
                totals.unmeasured_weight -= entry.weight;
                totals.allowed_servers -= 1;
                if totals.allowed_servers == 0 {
                    *totals = ClassTotals::default(); // clears rounding errors of the sums
                }
            }
            self.unhealthy_servers.remove(&id);
        }
        server.refresh_at = 0;
        server
    }
}
