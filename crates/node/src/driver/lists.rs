//! The server list on its way to the module.

use super::*;

impl Driver {
    pub(super) fn apply_list(&mut self, kind: ListKind, list: ServerList) {
        let now = self.clock.now();
        // Of a whole list nobody knows since when its servers are there.
        let unseen_at = self.list_received_at.filter(|_| kind == ListKind::Partial);
        self.list_version = list.index;
        if kind != ListKind::Persisted {
            self.list_received_at = Some(now);
        }
        let entries: Vec<ServerEntry> =
            list.endpoints.iter().map(|line| self.server_entry(line, now, unseen_at)).collect();
        if kind != ListKind::Partial {
            self.members.fill(false);
        }
        self.members.resize(self.servers.len(), false);
        entries.iter().for_each(|e| self.members[e.id.0 as usize] = e.readiness != Readiness::Removed);
        self.has_list |= kind != ListKind::Persisted || !entries.is_empty();
        let told: Vec<ServerId> = match kind {
            ListKind::Partial => entries.iter().map(|entry| entry.id).collect(),
            _ => (0..self.servers.len() as u32).map(ServerId).collect(),
        };
        self.handle_event(Event::Servers { kind, entries });
        told.into_iter().for_each(|id| self.update_readiness(id, now));
    }

    /// Lets a server's connections know whether the module would send there: what was picked before and is not
    /// yet written must not go out long after that has ended.
    pub(super) fn update_readiness(&mut self, id: ServerId, now: Nanos) {
        let ready = self.balancer.is_ready(id);
        self.servers[id.0 as usize].set_ready(ready, now, self.limits.drain_grace);
        if !ready {
            self.pool.close_idle(id);
        }
    }

    pub(super) fn server_entry(
        &mut self, line: &Endpoint, now: Nanos, unseen_at: Option<Nanos>,
    ) -> ServerEntry {
        let mut entry = self.names.server_entry(NamedServer {
            name: &line.name,
            zone: line.zone.as_deref(),
            host_type: line.kind.as_deref(),
            cell: line.group,
            readiness: line.status.into(),
            weight: line.weight,
            started_at: line.since_ms.saturating_mul(1_000_000), // the module's clock is Unix time
        });
        entry.started_at =
            self.start_times.local_start(entry.id.0 as usize, entry.started_at, now, unseen_at);
        match self.servers.get_mut(entry.id.0 as usize) {
            None => {
                self.servers.push(Arc::new(Server::new(line.address)));
                self.notify_maintenance(entry.id); // it may have been ordered before the list had it
            }
            Some(server) if server.address != line.address => {
                *server = Arc::new(Server::new(line.address));
                self.pool.close_idle(entry.id);
            }
            Some(_) => {}
        }
        entry
    }
}
