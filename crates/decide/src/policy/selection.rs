//! Which server: the least q^x of those that the request may go to.

use super::*;

impl Balancer {
    /// The ready server with the least q^x that the request may go to.
    pub(super) fn pick_server(&mut self, now: Nanos, id: RequestId, patient: bool) -> Option<ServerId> {
        let held = &self.requests[&id];
        // Its placement narrows the fleet before any ranking. The rotation is as large as the node's own work
        // needs: on few servers it knows most of what they hold, on many it would meet what others send.
        let class = &self.settings.classes[held.class];
        let pool = &self.pools[self.pool_of_class[held.class]];
        let needed = pool.answered_work.get(now, LOAD_WINDOW_NS) / LOAD_WINDOW_NS;
        let fair = self.servers_per_node();
        let own =
            (needed * ROTATION_HEADROOM).max(fair).max(MIN_ROTATION_SIZE / fair.max(1.0)).ceil() as usize;
        let start = (self.ring.len() as u64 * u64::from(self.settings.node_index % self.settings.node_count)
            / u64::from(self.settings.node_count)) as usize;
        let beyond = !patient && self.overload(held.class, 0.0) < REFUSAL_START_DEVIATIONS;
        let (n, at) = (held.class, self.send_count);
        let worth = |ring: &Ring, id: &ServerId| {
            let slot = self.servers.get(id)?.slot?;
            ring.score(slot, n, at)
        };
        let tried = |id: u32| held.attempts.iter().any(|a| a.server == ServerId(id));
        let servers = &self.servers;
        let part = Rotation { start, size: own, extend: beyond };
        let mut ring = std::mem::take(&mut self.ring);
        let found = if held.attempts.iter().all(|a| !a.may_have_run)
            || class.idempotency == Idempotency::Idempotent
        {
            let warm = held
                .key
                .filter(|_| self.settings.key_affinity)
                .and_then(|key| self.affinity_server(key, class));
            let part = if warm.is_some() { Rotation { size: usize::MAX, ..part } } else { part };
            let best = ring.best(n, at, part, &|id| !tried(id)).map(|slot| ServerId(ring.id(slot)));
            let warm = warm.filter(|warm| !tried(warm.0)).and_then(|warm| Some((warm, worth(&ring, &warm)?)));
            let rest = best.and_then(|best| worth(&ring, &best)).unwrap_or(0);
            let warm = warm.filter(|(_, worth)| worth.saturating_mul(KEY_AFFINITY_WEIGHT) >= rest);
            warm.map(|(warm, _)| warm).or(best)
        } else {
            // It may have run: only where a repeat is known, however far that is.
            let known = |server: &Server| self.in_dedup_scope(now, held, server);
            let fit = |id: &ServerId| !tried(id.0) && servers.get(id).is_some_and(known);
            match (class.idempotency, held.attempts.iter().find(|a| a.may_have_run)) {
                (Idempotency::Keyed { scope: DedupScope::Cell, .. }, Some(ran)) => {
                    let cell = (ran.cell, ServerId(0))..=(ran.cell, ServerId(u32::MAX));
                    let fit = self.cell_servers.range(cell).map(|(_, id)| *id).filter(fit);
                    fit.filter_map(|id| Some((worth(&ring, &id)?, id))).max().map(|(_, id)| id)
                }
                (Idempotency::NonIdempotent, _) => None,
                _ => {
                    let part = Rotation { start, size: usize::MAX, extend: false };
                    ring.best(n, at, part, &|id| fit(&ServerId(id))).map(|slot| ServerId(ring.id(slot)))
                }
            }
        };
        // Where it failed before only if nothing else is left.
        let again = || {
            let fit = |id: &ServerId| servers.get(id).is_some_and(|s| self.in_dedup_scope(now, held, s));
            let tried = held.attempts.iter().map(|a| a.server).filter(fit);
            tried.filter_map(|id| Some((worth(&ring, &id)?, id))).max().map(|(_, id)| id)
        };
        let found = found.or_else(again);
        self.ring = ring;
        found
    }

    /// Own attempts that a server takes side by side: as long as one more is not much slower.
    pub(super) fn measured_depth_limit(&self) -> u32 {
        let most = MAX_DEPTH_SLOWDOWN * self.depth_stats[0].mean;
        let bad = |d: &RunningStats| d.samples >= DEPTH_SAMPLES && d.mean > most;
        self.depth_stats[1..].iter().position(bad).map_or(u32::MAX, |d| d as u32 + 1)
    }

    /// The server of the own zone where all nodes of the zone keep a key warm: highest random weight among
    /// those that follow the key on the ring.
    pub(super) fn affinity_server(&self, key: u64, class: &Class) -> Option<ServerId> {
        let place = ring::key(fastrand::Rng::with_seed(key).u64(..), 0);
        let round = self.local_servers.range(place..).chain(self.local_servers.range(..place));
        let near = round.map(|(_, id)| &self.servers[id].entry).filter(|e| class.placement.allows(e));
        let draw = |e: &ServerEntry| fastrand::Rng::with_seed(key ^ e.name_hash).f64().powf(1.0 / e.weight);
        near.take(KEY_AFFINITY_CANDIDATES).max_by(|a, b| draw(a).total_cmp(&draw(b))).map(|e| e.id)
    }

    /// A keyed request that may have run goes out again only within its group and window.
    pub(super) fn in_dedup_scope(&self, now: Nanos, held: &PendingRequest, server: &Server) -> bool {
        let may_go = |ran: &Attempt| match self.settings.classes[held.class].idempotency {
            Idempotency::Idempotent => true,
            Idempotency::NonIdempotent => false,
            Idempotency::Keyed { scope: group, window } => {
                let (near, cell) = (server.entry.zone == ran.zone, server.entry.cell == ran.cell);
                let same = group == DedupScope::All || near && (cell || group == DedupScope::Zone);
                same && now < ran.sent_at.saturating_add(window)
            }
        };
        held.attempts.iter().filter(|a| a.may_have_run).all(may_go)
    }
}
