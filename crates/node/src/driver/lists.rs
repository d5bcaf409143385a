//! Applies server lists.

use super::*;

impl Driver {
    /// Applies a server list, or changes to it, and reports it to the module.
    pub(super) fn apply_list(&mut self, kind: ListKind, list: ServerList) {
        let now = self.clock.now();
        // A complete list does not tell since when its servers have existed.
        let unseen_at = self.list_received_at.filter(|_| kind == ListKind::Partial);
        self.list_version = list.index;
        if kind != ListKind::Persisted {
            self.list_received_at = Some(now);
        }
        let entries: Vec<ServerEntry> =
            list.endpoints.iter().map(|endpoint| self.server_entry(endpoint, now, unseen_at)).collect();
        if kind != ListKind::Partial {
            self.members.fill(false);
        }
        self.members.resize(self.servers.len(), false);
        entries
            .iter()
            .for_each(|entry| self.members[entry.id.0 as usize] = entry.readiness != Readiness::Removed);
        self.has_list |= kind != ListKind::Persisted || !entries.is_empty();
        let updated: Vec<ServerId> = match kind {
            ListKind::Partial => entries.iter().map(|entry| entry.id).collect(),
            _ => (0..self.servers.len() as u32).map(ServerId).collect(),
        };
        self.handle_event(Event::Servers { kind, entries });
        updated.into_iter().for_each(|id| self.update_readiness(id, now));
    }

    /// Tells the attempts on a server whether the module would still choose it: an attempt that was chosen earlier and
    /// is not yet written must not be sent long after the server stopped accepting work.
    pub(super) fn update_readiness(&mut self, id: ServerId, now: Nanos) {
        let ready = self.balancer.is_ready(id);
        self.servers[id.0 as usize].set_ready(ready, now, self.limits.drain_grace);
        if !ready {
            self.pool.close_idle(id);
        }
    }

    /// Converts a line of the list to an entry for the module, and creates or replaces the server. `unseen_at` is a
    /// time at which discovery answered without reporting this start of the server, if there is one.
    pub(super) fn server_entry(
        &mut self, endpoint: &Endpoint, now: Nanos, unseen_at: Option<Nanos>,
    ) -> ServerEntry {
        let mut entry = self.names.server_entry(NamedServer {
            name: &endpoint.name,
            zone: endpoint.zone.as_deref(),
            host_type: endpoint.kind.as_deref(),
            cell: endpoint.group,
            readiness: endpoint.status.into(),
            weight: endpoint.weight,
            started_at: endpoint.since_ms.saturating_mul(1_000_000), // nanoseconds, as the module's clock counts Unix time
        });
        entry.started_at =
            self.start_times.local_start(entry.id.0 as usize, entry.started_at, now, unseen_at);
        match self.servers.get_mut(entry.id.0 as usize) {
            None => {
                self.servers.push(Arc::new(Server::new(endpoint.address)));
                self.notify_maintenance(entry.id); // a maintenance order may have preceded the list
            }
            Some(server) if server.address != endpoint.address => {
                *server = Arc::new(Server::new(endpoint.address));
                self.pool.close_idle(entry.id);
            }
            Some(_) => {}
        }
        entry
    }
}
