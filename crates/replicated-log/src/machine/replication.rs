//! Replication of committed entries to all nodes. Each node pulls from its parent in a tree whose roots are the voters,
//! and receives either entries or, if it is too far behind, the whole state in pieces.

use std::collections::BTreeMap;
use std::sync::Arc;

use super::{Action, Notification, ReplicatedLog};
use crate::applied::{AppliedState, STATE_PARTS};
use crate::command::{CommandId, Entry};
use crate::config::{Defect, Name, Nanos, MS, SECOND};
use crate::wire::{Body, Group, MAX_DATAGRAM, MAX_ENTRIES_BYTES, PIECE_BYTES};

/// A child that has not pulled for this long is forgotten.
const CHILD_TTL: Nanos = 3 * SECOND;
const MAX_CHILDREN: usize = 64;
/// Pieces requested at once; a fetch transfers this many per round trip.
const MAX_PIECES_IN_FLIGHT: usize = 16;
/// Interval after which missing pieces are requested again.
const FETCH_RETRY_INTERVAL: Nanos = 250 * MS;
/// A fetch that has received no piece for this long is abandoned, so that another node can be asked.
const FETCH_TIMEOUT: Nanos = 2 * SECOND;
/// Maximum size of an encoded state; the maximum numbers of ids, values and voters take less.
const MAX_STATE_BYTES: u32 = 8 << 20;

/// A node that pulls from this one.
#[derive(Clone, Copy, Debug)]
pub struct Child {
    group: Group,
    index: u64,
    expires: Nanos,
}

/// A whole state that is being fetched. It can be continued from any node that offers the same state.
#[derive(Clone, Debug)]
pub struct StateFetch {
    from: Name,
    group: Group,
    index: u64,
    length: u32,
    checksum: u32,
    pieces: BTreeMap<u32, Vec<u8>>,
    next_request: Nanos,
    expires: Nanos,
}

/// Order of two logs: by epoch, then by index. A group that never decided anything stays at its initial index, so a
/// group that decided ranks higher.
pub(super) fn log_rank(group: Group, index: u64) -> (u64, u64, u64) {
    (group.epoch, index, group.number)
}

impl ReplicatedLog {
    /// Chooses the node to pull from: a voter pulls from the leader, other nodes from their parent in the tree.
    fn choose_parent(&mut self, now: Nanos) -> Option<Name> {
        let local = &self.identity.name;
        let voters: Vec<Name> = self.applied.voters.values().map(|name| Name::from(name.as_str())).collect();
        let alive = |name: &Name| self.peers.get(name).is_some_and(|peer| peer.alive);
        if let Some(leader) = self.replica.as_ref().and_then(|replica| replica.leader()) {
            let leader = self.node_of(leader);
            return leader.filter(|leader| leader != local);
        }
        let stale = now.saturating_sub(self.last_received) > self.tuning.stale_after;
        let roots: Vec<Name> = voters.into_iter().filter(|name| name != local && alive(name)).collect();
        if stale || roots.is_empty() || self.replica.is_some() {
            // Any node may be chosen, also one with an outdated state, since that may be newer than the local one.
            let choices = if roots.is_empty() || self.rng.u8(0..4) == 0 {
                self.peers
                    .values()
                    .filter(|peer| peer.alive && peer.name != *local)
                    .map(|peer| peer.name.clone())
                    .collect()
            } else {
                roots
            };
            return (!choices.is_empty()).then(|| choices[self.rng.usize(0..choices.len())].clone());
        }
        let others = self.peers.values().filter(|peer| peer.alive || peer.name == *local);
        let others: Vec<&Name> = others.map(|peer| &peer.name).filter(|name| !roots.contains(name)).collect();
        let place = others.iter().position(|name| *name == local)?;
        let root_children = roots.len() * self.tuning.fan_out;
        match place.checked_sub(root_children) {
            None => Some(roots[place % roots.len()].clone()),
            Some(beyond) => others.get(beyond / self.tuning.fan_out).map(|name| (*name).clone()),
        }
    }

    /// Whether a leader sends committed entries to the local replica. A voter that was removed while it was unreachable
    /// knows no leader, so it pulls like other nodes and thus learns of its removal.
    fn follows_leader(&self) -> bool {
        let has_leader =
            |replica: &crate::replica::Replica| !replica.needs_catch_up && replica.leader().is_some();
        self.replica.as_ref().is_some_and(has_leader)
            && self.rejoin_confirmations.is_none()
            && self.disk_failed_since.is_none()
    }

    /// Continues a state fetch and pulls from the parent when a pull is due.
    pub(super) fn pull_if_due(&mut self, now: Nanos, actions: &mut Vec<Action>) {
        let needs_catch_up = self.replica.as_ref().is_some_and(|replica| replica.needs_catch_up);
        if self.state_fetch.is_some() {
            self.request_pieces(now, actions);
        }
        if now < self.deadlines.pull {
            return;
        }
        // The interval is random, so that the nodes do not all pull at the same moment.
        let interval = if needs_catch_up { self.tuning.pull_interval / 4 } else { self.tuning.pull_interval };
        self.deadlines.pull = now + interval / 2 + self.rng.u64(0..interval);
        let must_pull = !self.follows_leader();
        if let Some(parent) = self.choose_parent(now).filter(|_| must_pull) {
            self.pull_from(now, parent, actions);
        }
    }

    /// Asks a node for the entries after the local index.
    pub(super) fn pull_from(&mut self, _now: Nanos, from: Name, actions: &mut Vec<Action>) {
        let digest = self.applied.digest();
        self.send(&from, Body::Pull { digest }, actions);
    }

    /// Answers a node that wants the entries after its index. A voter also compares the node's digest with its own.
    pub(super) fn receive_pull(
        &mut self, now: Nanos, from: Name, group: Group, index: u64,
        digest: Option<(u64, [u32; STATE_PARTS.len()])>, actions: &mut Vec<Action>,
    ) {
        if log_rank(group, index) > log_rank(self.group(), self.applied.index) {
            // The sender is ahead of this node.
            if self.replica.is_none() {
                self.pull_from(now, from, actions);
            }
            return;
        }
        if let Some((at, parts)) = digest.filter(|_| group == self.group() && self.replica.is_some()) {
            if let Some(part) = self.applied.first_difference(at, &parts) {
                actions.push(Action::Notify(Notification::StateDiverged(from.clone(), at, part.to_owned())));
                return self.send(&from, Body::Differs { index: at, part: part.to_owned() }, actions);
            }
        }
        if self.children.len() < MAX_CHILDREN || self.children.contains_key(&from) {
            self.children.insert(from.clone(), Child { group, index, expires: now + CHILD_TTL });
        }
        self.send_updates(&from, group, index, actions);
    }

    /// Sends the retained entries after `index`, or offers the whole state if they are no longer retained.
    fn send_updates(&mut self, to: &Name, group: Group, index: u64, actions: &mut Vec<Action>) {
        let first_retained = self.recent_entries.front().map_or(self.applied.index + 1, |first| first.index);
        if group == self.group() && index + 1 >= first_retained {
            let skip = (index + 1 - first_retained) as usize;
            let mut entries = Vec::new();
            let mut room = MAX_ENTRIES_BYTES;
            for entry in self.recent_entries.iter().skip(skip) {
                let size = postcard::to_stdvec(entry).map_or(MAX_DATAGRAM, |bytes| bytes.len());
                if size > room {
                    break;
                }
                room -= size;
                entries.push(entry.clone());
            }
            return self.send(to, Body::Entries(entries), actions);
        }
        // An offered state that a node may be fetching is first_retained as long as the entries after it are retained.
        let still_valid = |(at, _): &(u64, Arc<Vec<u8>>)| {
            *at + 1 >= first_retained && log_rank(self.group(), *at) > log_rank(group, index)
        };
        if !self.offered_state.as_ref().is_some_and(still_valid) {
            self.offered_state = Some((self.applied.index, Arc::new(self.applied.to_bytes())));
        }
        let Some((index, bytes)) = self.offered_state.clone() else { return };
        let (length, sum) = (bytes.len() as u32, crc32c::crc32c(&bytes));
        self.send(to, Body::Whole { index, length, sum }, actions);
    }

    /// Sends new entries to children without waiting for their next pull.
    pub(super) fn push_to_children(&mut self, now: Nanos, actions: &mut Vec<Action>) {
        self.children.retain(|_, child| now < child.expires);
        let (group, index) = (self.group(), self.last_retained());
        let behind: Vec<(Name, Child)> = self
            .children
            .iter()
            .filter(|(_, child)| child.group == group && child.index < index)
            .map(|(name, child)| (name.clone(), *child))
            .collect();
        for (name, child) in behind {
            self.send_updates(&name, group, child.index, actions);
            if let Some(child) = self.children.get_mut(&name) {
                child.index = index; // if the datagram is lost, the child's next pull asks again
            }
        }
    }

    /// Applies entries received from a parent. While a leader sends entries to the local replica, they are ignored.
    pub(super) fn receive_entries(
        &mut self, now: Nanos, from: &Name, group: Group, entries: Vec<Entry>, actions: &mut Vec<Action>,
    ) {
        let follows_leader = self.follows_leader();
        if group != self.group() || follows_leader {
            return;
        }
        let previous_index = self.applied.index;
        for entry in entries {
            if entry.index == self.applied.index + 1 {
                self.apply_entry(now, entry, actions);
            }
        }
        // A replica that needed a catch-up is restarted, even if no entry was missing after all.
        let caught_up = self.replica.as_ref().is_some_and(|replica| replica.needs_catch_up)
            && self.applied.index >= self.latest_announced;
        if self.applied.index > previous_index || caught_up {
            if self.replica.is_some() && self.write_in_progress.is_none() && self.disk_failed_since.is_none()
            {
                self.restart_replica(actions);
            } else if self.applied.index < self.latest_announced {
                self.pull_from(now, from.clone(), actions);
            }
        }
    }

    /// Whether the replica must not switch to `group`. A replica that has voted or stored entries stays in its group,
    /// because the group may need it for a majority. It may switch to a later epoch, which is only formed if the
    /// earlier group can no longer decide.
    pub(super) fn is_bound_to_other_group(&self, group: Group) -> bool {
        let engaged = self.replica.as_ref().is_some_and(|replica| replica.engaged);
        engaged && group != self.group() && group.epoch <= self.applied.epoch
    }

    /// Begins to fetch an offered state if it is ahead of the local one.
    #[allow(clippy::too_many_arguments)] // one for each field of the datagram
    pub(super) fn receive_state_offer(
        &mut self, now: Nanos, from: Name, group: Group, index: u64, length: u32, sum: u32,
        actions: &mut Vec<Action>,
    ) {
        let is_ahead = log_rank(group, index) > log_rank(self.group(), self.applied.index);
        let is_bound = self.is_bound_to_other_group(group);
        let is_voter =
            self.replica.as_ref().is_some_and(|replica| !replica.needs_catch_up && group == self.group());
        if !is_ahead || is_bound || is_voter || length > MAX_STATE_BYTES || length == 0 {
            return;
        }
        if let Some(fetch) = self.state_fetch.as_mut().filter(|fetch| now < fetch.expires) {
            let same = fetch.group == group && fetch.index == index && fetch.checksum == sum;
            if same {
                fetch.from = from; // any node that offers the same state can continue the fetch
            }
            return;
        }
        let fetch = StateFetch {
            from,
            group,
            index,
            length,
            checksum: sum,
            pieces: BTreeMap::new(),
            next_request: now,
            expires: now + FETCH_TIMEOUT,
        };
        self.state_fetch = Some(fetch);
        self.request_pieces(now, actions);
    }

    /// Requests missing pieces of the state that is being fetched, or abandons the fetch after its timeout.
    fn request_pieces(&mut self, now: Nanos, actions: &mut Vec<Action>) {
        let Some(fetch) = &mut self.state_fetch else { return };
        if now >= fetch.expires {
            self.state_fetch = None;
            return;
        }
        if now < fetch.next_request {
            return;
        }
        fetch.next_request = now + FETCH_RETRY_INTERVAL;
        let missing =
            (0..fetch.length).step_by(PIECE_BYTES).filter(|offset| !fetch.pieces.contains_key(offset));
        let (missing, from, index): (Vec<u32>, _, _) =
            (missing.take(MAX_PIECES_IN_FLIGHT).collect(), fetch.from.clone(), fetch.index);
        for offset in missing {
            self.send(&from, Body::Fetch { index, offset }, actions);
        }
    }

    /// Sends a piece of the offered state.
    pub(super) fn receive_fetch(&mut self, from: &Name, index: u64, offset: u32, actions: &mut Vec<Action>) {
        let Some((at, bytes)) = self.offered_state.clone() else { return };
        let from_byte = offset as usize;
        if at != index || from_byte >= bytes.len() {
            return;
        }
        let bytes = bytes[from_byte..bytes.len().min(from_byte + PIECE_BYTES)].to_vec();
        self.send(from, Body::Piece { index, offset, bytes }, actions);
    }

    /// Stores a piece, and adopts the state once all its pieces are there.
    pub(super) fn receive_piece(
        &mut self, now: Nanos, from: &Name, index: u64, offset: u32, bytes: &[u8], actions: &mut Vec<Action>,
    ) {
        let Some(fetch) = &mut self.state_fetch else { return };
        let expected_bytes = (fetch.length.saturating_sub(offset) as usize).min(PIECE_BYTES);
        let fits = offset.is_multiple_of(PIECE_BYTES as u32)
            && offset < fetch.length
            && bytes.len() == expected_bytes;
        if fetch.index != index || fetch.from != *from || !fits {
            return;
        }
        fetch.pieces.insert(offset, bytes.to_vec());
        fetch.expires = now + FETCH_TIMEOUT;
        let pieces = fetch.length.div_ceil(PIECE_BYTES as u32) as usize;
        if fetch.pieces.len() < pieces {
            if fetch.pieces.len().is_multiple_of(MAX_PIECES_IN_FLIGHT) {
                fetch.next_request = now;
                self.request_pieces(now, actions);
            }
            return;
        }
        let Some(fetch) = self.state_fetch.take() else { return };
        let bytes: Vec<u8> = fetch.pieces.into_values().flatten().collect();
        if crc32c::crc32c(&bytes) != fetch.checksum {
            return; // the pieces belong to different states; a later offer starts a new fetch
        }
        if let Some(state) = AppliedState::from_bytes(&bytes) {
            self.adopt_state(state, actions);
        }
    }

    /// Replaces the local state by a fetched one if that is ahead and the replica may switch to its group.
    fn adopt_state(&mut self, state: AppliedState, actions: &mut Vec<Action>) {
        let group = Group { epoch: state.epoch, number: state.group };
        if log_rank(group, state.index) <= log_rank(self.group(), self.applied.index) {
            return;
        }
        if self.is_bound_to_other_group(group) || self.write_in_progress.is_some() {
            return;
        }
        let other_group = group != self.group();
        self.applied = state;
        if other_group {
            self.latest_announced = 0;
            if self.replica.is_some() {
                self.leave_group(actions);
            }
        }
        self.recent_entries.clear();
        (self.halted_at, self.offered_state) = (None, None);
        self.latest_announced = self.latest_announced.max(self.applied.index);
        actions.push(Action::Notify(Notification::StateReplaced(self.group(), self.applied.index)));
        let decided: Vec<CommandId> =
            self.proposals.keys().copied().filter(|id| self.applied.outcome(*id).is_some()).collect();
        for id in decided {
            if let Some(outcome) = self.applied.outcome(id).cloned() {
                self.confirm(id, outcome, actions);
            }
        }
        if self.replica.is_some() && self.write_in_progress.is_none() && self.disk_failed_since.is_none() {
            self.restart_replica(actions);
        }
    }

    /// Discards the local state because a voter found that it differs, and fetches it again.
    pub(super) fn receive_divergence(
        &mut self, now: Nanos, from: Name, group: Group, index: u64, part: String, actions: &mut Vec<Action>,
    ) {
        if group != self.group() || self.replica.is_some() {
            return;
        }
        actions.push(Action::Notify(Notification::StateDiverged(self.identity.name.clone(), index, part)));
        self.applied = AppliedState::default();
        self.recent_entries.clear();
        (self.state_fetch, self.offered_state) = (None, None);
        self.pull_from(now, from, actions);
    }

    /// Index of the last entry that can be sent to other nodes.
    fn last_retained(&self) -> u64 {
        self.recent_entries.back().map_or(self.applied.index, |last| last.index)
    }

    /// Retains a committed entry for other nodes and applies it if it is the next one.
    pub(super) fn apply_entry(&mut self, _now: Nanos, entry: Entry, actions: &mut Vec<Action>) {
        // Other nodes may know a command that this version does not, so an entry is passed on even if it cannot be
        // applied here.
        if entry.index == self.last_retained() + 1 {
            self.recent_entries.push_back(entry.clone());
            if self.recent_entries.len() as u64 > self.tuning.retained_entries {
                self.recent_entries.pop_front();
            }
        }
        if self.halted_at.is_some() || entry.index != self.applied.index + 1 {
            return;
        }
        let ignore_known_ids = self.tuning.defect == Some(Defect::AppliesTwice);
        match self.applied.apply(&entry, ignore_known_ids) {
            Ok(outcome) => {
                self.latest_announced = self.latest_announced.max(self.applied.index);
                actions.push(Action::Notify(Notification::Applied(entry)));
                if let Some((id, outcome)) = outcome {
                    self.confirm(id, outcome, actions);
                }
            }
            Err(unknown) => {
                self.halted_at = Some(unknown);
                actions.push(Action::Notify(Notification::Halted(unknown)));
            }
        }
    }
}
