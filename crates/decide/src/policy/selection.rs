//! Server selection: the least q^x among the servers that a request may use.

use super::*;

impl Balancer {
    /// Selects the server with the least q^x among the ready servers that the request may use. A request that
    /// may not wait any longer (`may_wait` is false) may use servers beyond the node's rotation.
    pub(super) fn pick_server(&mut self, now: Nanos, id: RequestId, may_wait: bool) -> Option<ServerId> {
        let request = &self.requests[&id];
        let (class_index, sends) = (request.class, self.send_count);
        let class = &self.settings.classes[class_index];
        let servers = &self.servers;
        let (start, size) = self.rotation(now, class_index);
        let extend = !may_wait && self.overload(class_index, 0.0) < REFUSAL_START_DEVIATIONS;
        let rotation = Rotation { start, size, extend };
        let score = |ring: &Ring, id: &ServerId| {
            let slot = servers.get(id)?.slot?;
            ring.score(slot, class_index, sends)
        };
        let is_tried = |id: u32| request.attempts.iter().any(|a| a.server == ServerId(id));
        let never_ran = request.attempts.iter().all(|a| !a.may_have_run);
        let mut ring = std::mem::take(&mut self.ring);
        let in_scope = |id: &ServerId| servers.get(id).is_some_and(|s| self.in_dedup_scope(now, request, s));
        let selected = if never_ran || class.idempotency == Idempotency::Idempotent {
            let key = request.key.filter(|_| self.settings.key_affinity);
            let cached = key.and_then(|key| self.affinity_server(key, class));
            let rotation =
                if cached.is_some() { Rotation { size: usize::MAX, ..rotation } } else { rotation };
            let best = ring.best(class_index, sends, rotation, &|id| !is_tried(id));
            let best = best.map(|slot| ServerId(ring.id(slot)));
            let best_score = best.and_then(|best| score(&ring, &best)).unwrap_or(0);
            let preferred = |id: &ServerId| {
                !is_tried(id.0)
                    && score(&ring, id).is_some_and(|s| s.saturating_mul(KEY_AFFINITY_WEIGHT) >= best_score)
            };
            cached.filter(preferred).or(best)
        } else {
            // An attempt may have run, so that only servers which recognize a repeated attempt may be used,
            // even if they are outside the rotation.
            let allowed = |id: &ServerId| !is_tried(id.0) && in_scope(id);
            match (class.idempotency, request.attempts.iter().find(|a| a.may_have_run)) {
                (Idempotency::Keyed { scope: DedupScope::Cell, .. }, Some(attempt)) => {
                    let cell = (attempt.cell, ServerId(0))..=(attempt.cell, ServerId(u32::MAX));
                    let allowed = self.cell_servers.range(cell).map(|(_, id)| *id).filter(allowed);
                    allowed.filter_map(|id| Some((score(&ring, &id)?, id))).max().map(|(_, id)| id)
                }
                (Idempotency::NonIdempotent, _) => None,
                _ => {
                    let all = Rotation { start, size: usize::MAX, extend: false };
                    let best = ring.best(class_index, sends, all, &|id| allowed(&ServerId(id)));
                    best.map(|slot| ServerId(ring.id(slot)))
                }
            }
        };
        // A server that the request has already tried is used only if there is no other.
        let tried_again = || {
            let tried = request.attempts.iter().map(|a| a.server).filter(in_scope);
            tried.filter_map(|id| Some((score(&ring, &id)?, id))).max().map(|(_, id)| id)
        };
        let selected = selected.or_else(tried_again);
        self.ring = ring;
        selected
    }

    /// Start and size of this node's rotation for a class. The rotation is as large as the node's own load
    /// needs: the node knows most of the load of a few servers, while on many servers its attempts would meet
    /// those of other nodes, which it does not know of.
    fn rotation(&self, now: Nanos, class: usize) -> (usize, usize) {
        let pool = &self.pools[self.pool_of_class[class]];
        let needed = pool.answered_work.get(now, LOAD_WINDOW_NS) / LOAD_WINDOW_NS;
        let per_node = self.servers_per_node();
        let least = MIN_ROTATION_SIZE / per_node.max(1.0);
        let size = (needed * ROTATION_HEADROOM).max(per_node).max(least).ceil() as usize;
        let (index, nodes) = (self.settings.node_index, self.settings.node_count);
        let start = (self.ring.len() as u64 * u64::from(index % nodes) / u64::from(nodes)) as usize;
        (start, size)
    }

    /// Limit on own concurrent attempts at a server: the depth at which one more attempt is much slower.
    pub(super) fn measured_depth_limit(&self) -> u32 {
        let slowest = MAX_DEPTH_SLOWDOWN * self.depth_stats[0].mean;
        let queues = |stats: &RunningStats| stats.samples >= DEPTH_SAMPLES && stats.mean > slowest;
        self.depth_stats[1..].iter().position(queues).map_or(u32::MAX, |index| index as u32 + 1)
    }

    /// The server in this zone at which all nodes of the zone keep a key cached, selected by weighted
    /// rendezvous hashing among the servers that follow the key on the ring.
    fn affinity_server(&self, key: u64, class: &Class) -> Option<ServerId> {
        let position = ring::key(fastrand::Rng::with_seed(key).u64(..), 0);
        let following = self.local_servers.range(position..).chain(self.local_servers.range(..position));
        let entries = following.map(|(_, id)| &self.servers[id].entry);
        let hash = |e: &ServerEntry| fastrand::Rng::with_seed(key ^ e.name_hash).f64().powf(1.0 / e.weight);
        let candidates = entries.filter(|e| class.placement.allows(e)).take(KEY_AFFINITY_CANDIDATES);
        candidates.max_by(|a, b| hash(a).total_cmp(&hash(b))).map(|e| e.id)
    }

    /// Whether an attempt at this server is recognized as a repetition of every attempt that may have run.
    fn in_dedup_scope(&self, now: Nanos, request: &PendingRequest, server: &Server) -> bool {
        let recognizes = |attempt: &Attempt| match self.settings.classes[request.class].idempotency {
            Idempotency::Idempotent => true,
            Idempotency::NonIdempotent => false,
            Idempotency::Keyed { scope, window } => {
                let same_zone = server.entry.zone == attempt.zone;
                let same_cell = server.entry.cell == attempt.cell;
                let in_scope =
                    scope == DedupScope::All || same_zone && (same_cell || scope == DedupScope::Zone);
                in_scope && now < attempt.sent_at.saturating_add(window)
            }
        };
        request.attempts.iter().filter(|a| a.may_have_run).all(recognizes)
    }
}
