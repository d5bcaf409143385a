//! How what is agreed reaches every node: a tree of pulls, by entries or by the whole state in pieces.

use std::collections::BTreeMap;
use std::sync::Arc;

use super::{Action, Notification, ReplicatedLog};
use crate::applied::{AppliedState, STATE_PARTS};
use crate::command::{CommandId, Entry};
use crate::config::{Defect, Name, Nanos, MS, SECOND};
use crate::wire::{Body, Group, MAX_DATAGRAM, MAX_ENTRIES_BYTES, PIECE_BYTES};

const CHILD_TTL: Nanos = 3 * SECOND; // without a pull
const MAX_CHILDREN: usize = 64;
const MAX_PIECES_IN_FLIGHT: usize = 16; // pieces that are on their way at once: the pace of a fetch is this each round trip
const FETCH_RETRY_INTERVAL: Nanos = 250 * MS;
const FETCH_TIMEOUT: Nanos = 2 * SECOND; // without a piece, until another is asked
const MAX_STATE_BYTES: u32 = 8 << 20; // bytes: ids, values and voters at their most take less

/// Somebody who pulls from here.
#[derive(Clone, Copy, Debug)]
pub struct Child {
    group: Group,
    index: u64,
    expires: Nanos,
}

/// A whole state on its way here, resumed where it stands as long as it is the same.
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

/// Which of two logs goes before: the later epoch, then what has gone on. A group that never decided anything stays
/// at the place where it was founded.
pub(super) fn log_rank(group: Group, index: u64) -> (u64, u64, u64) {
    (group.epoch, index, group.number)
}

impl ReplicatedLog {
    /// From whom this node pulls: voters from the leader, others by their place in the tree.
    fn choose_parent(&mut self, now: Nanos) -> Option<Name> {
        let own = &self.identity.name;
        let voters: Vec<Name> = self.applied.voters.values().map(|name| Name::from(name.as_str())).collect();
        let alive = |name: &Name| self.peers.get(name).is_some_and(|peer| peer.alive);
        if let Some(leader) = self.replica.as_ref().and_then(|replica| replica.leader()) {
            let leader = self.node_of(leader);
            return leader.filter(|leader| leader != own);
        }
        let stale = now.saturating_sub(self.last_received) > self.tuning.stale_after;
        let roots: Vec<Name> = voters.into_iter().filter(|name| name != own && alive(name)).collect();
        if stale || roots.is_empty() || self.replica.is_some() {
            // Whoever it is: also nodes that only hold what is old, which may be newer than what is held here.
            let known = if roots.is_empty() || self.rng.u8(0..4) == 0 {
                self.peers
                    .values()
                    .filter(|peer| peer.alive && peer.name != *own)
                    .map(|peer| peer.name.clone())
                    .collect()
            } else {
                roots
            };
            return (!known.is_empty()).then(|| known[self.rng.usize(0..known.len())].clone());
        }
        let rest = self.peers.values().filter(|peer| peer.alive || peer.name == *own);
        let rest: Vec<&Name> = rest.map(|peer| &peer.name).filter(|name| !roots.contains(name)).collect();
        let place = rest.iter().position(|name| *name == own)?;
        let first = roots.len() * self.tuning.fan_out;
        match place.checked_sub(first) {
            None => Some(roots[place % roots.len()].clone()),
            Some(beyond) => rest.get(beyond / self.tuning.fan_out).map(|name| (*name).clone()),
        }
    }

    /// Whether a leader tells the replica here what is agreed. One that was put out while it was away hears of no
    /// leader, and learns of it by pulling like everybody else.
    fn follows_leader(&self) -> bool {
        let led = |replica: &crate::replica::Replica| !replica.needs_state && replica.leader().is_some();
        self.replica.as_ref().is_some_and(led)
            && self.rejoin_confirmations.is_none()
            && self.disk_failed_since.is_none()
    }

    pub(super) fn pull_if_due(&mut self, now: Nanos, out: &mut Vec<Action>) {
        let behind = self.replica.as_ref().is_some_and(|replica| replica.needs_state);
        if self.state_fetch.is_some() {
            self.request_pieces(now, out);
        }
        if now < self.deadlines.pull {
            return;
        }
        // Drawn apart, or all would ask at the same moment.
        let pace = if behind { self.tuning.pull_interval / 4 } else { self.tuning.pull_interval };
        self.deadlines.pull = now + pace / 2 + self.rng.u64(0..pace);
        let follows = !self.follows_leader();
        if let Some(parent) = self.choose_parent(now).filter(|_| follows) {
            self.pull_from(now, parent, out);
        }
    }

    pub(super) fn pull_from(&mut self, _now: Nanos, from: Name, out: &mut Vec<Action>) {
        let digest = self.applied.digest();
        self.send(&from, Body::Pull { digest }, out);
    }

    /// Somebody says how far it is and wants what comes after.
    pub(super) fn receive_pull(
        &mut self, now: Nanos, from: Name, group: Group, index: u64,
        digest: Option<(u64, [u32; STATE_PARTS.len()])>, out: &mut Vec<Action>,
    ) {
        if log_rank(group, index) > log_rank(self.group(), self.applied.index) {
            // It knows more than this node.
            if self.replica.is_none() {
                self.pull_from(now, from, out);
            }
            return;
        }
        if let Some((at, parts)) = digest.filter(|_| group == self.group() && self.replica.is_some()) {
            if let Some(part) = self.applied.first_difference(at, &parts) {
                out.push(Action::Notify(Notification::StateDiverged(from.clone(), at, part.to_owned())));
                return self.send(&from, Body::Differs { index: at, part: part.to_owned() }, out);
            }
        }
        if self.children.len() < MAX_CHILDREN || self.children.contains_key(&from) {
            self.children.insert(from.clone(), Child { group, index, expires: now + CHILD_TTL });
        }
        self.send_updates(&from, group, index, out);
    }

    /// Sends what comes after that, or what it can be fetched from.
    fn send_updates(&mut self, to: &Name, group: Group, index: u64, out: &mut Vec<Action>) {
        let kept = self.recent_entries.front().map_or(self.applied.index + 1, |first| first.index);
        if group == self.group() && index + 1 >= kept {
            let skip = (index + 1 - kept) as usize;
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
            return self.send(to, Body::Entries(entries), out);
        }
        // One that somebody is fetching stays, as long as what comes after it can be had here.
        let fits = |(at, _): &(u64, Arc<Vec<u8>>)| {
            *at + 1 >= kept && log_rank(self.group(), *at) > log_rank(group, index)
        };
        if !self.offered_state.as_ref().is_some_and(fits) {
            self.offered_state = Some((self.applied.index, Arc::new(self.applied.to_bytes())));
        }
        let Some((index, bytes)) = self.offered_state.clone() else { return };
        let (length, sum) = (bytes.len() as u32, crc32c::crc32c(&bytes));
        self.send(to, Body::Whole { index, length, sum }, out);
    }

    /// Sends children what is new, without waiting for their next pull.
    pub(super) fn push_to_children(&mut self, now: Nanos, out: &mut Vec<Action>) {
        self.children.retain(|_, child| now < child.expires);
        let (group, index) = (self.group(), self.last_retained());
        let behind: Vec<(Name, Child)> = self
            .children
            .iter()
            .filter(|(_, child)| child.group == group && child.index < index)
            .map(|(name, child)| (name.clone(), *child))
            .collect();
        for (name, child) in behind {
            self.send_updates(&name, group, child.index, out);
            if let Some(child) = self.children.get_mut(&name) {
                child.index = index; // lost on the way, it is asked for again
            }
        }
    }

    pub(super) fn receive_entries(
        &mut self, now: Nanos, from: &Name, group: Group, entries: Vec<Entry>, out: &mut Vec<Action>,
    ) {
        let is_led = self.follows_leader();
        if group != self.group() || is_led {
            return;
        }
        let before = self.applied.index;
        for entry in entries {
            if entry.index == self.applied.index + 1 {
                self.apply_entry(now, entry, out);
            }
        }
        // A replica that was behind goes on, also where nothing was missing after all.
        let caught_up = self.replica.as_ref().is_some_and(|replica| replica.needs_state)
            && self.applied.index >= self.latest_announced;
        if self.applied.index > before || caught_up {
            if self.replica.is_some() && self.write_in_progress.is_none() && self.disk_failed_since.is_none()
            {
                self.restart_replica(out);
            } else if self.applied.index < self.latest_announced {
                self.pull_from(now, from.clone(), out);
            }
        }
    }

    /// Who has voted or stored in a group stays in it, for it may be the one whose word lets it decide, until there is
    /// a later epoch: that was founded only because this one cannot.
    pub(super) fn is_bound_to_other_group(&self, group: Group) -> bool {
        let engaged = self.replica.as_ref().is_some_and(|replica| replica.engaged);
        engaged && group != self.group() && group.epoch <= self.applied.epoch
    }

    /// A whole state is to be had.
    #[allow(clippy::too_many_arguments)] // as many as the datagram says
    pub(super) fn receive_state_offer(
        &mut self, now: Nanos, from: Name, group: Group, index: u64, length: u32, sum: u32,
        out: &mut Vec<Action>,
    ) {
        let further = log_rank(group, index) > log_rank(self.group(), self.applied.index);
        let bound = self.is_bound_to_other_group(group);
        let is_voter =
            self.replica.as_ref().is_some_and(|replica| !replica.needs_state && group == self.group());
        if !further || bound || is_voter || length > MAX_STATE_BYTES || length == 0 {
            return;
        }
        if let Some(fetch) = self.state_fetch.as_mut().filter(|fetch| now < fetch.expires) {
            let same = fetch.group == group && fetch.index == index && fetch.checksum == sum;
            if same {
                fetch.from = from; // whoever has the same can go on with it
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
        self.request_pieces(now, out);
    }

    fn request_pieces(&mut self, now: Nanos, out: &mut Vec<Action>) {
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
            self.send(&from, Body::Fetch { index, offset }, out);
        }
    }

    pub(super) fn receive_fetch(&mut self, from: &Name, index: u64, offset: u32, out: &mut Vec<Action>) {
        let Some((at, bytes)) = self.offered_state.clone() else { return };
        let from_byte = offset as usize;
        if at != index || from_byte >= bytes.len() {
            return;
        }
        let bytes = bytes[from_byte..bytes.len().min(from_byte + PIECE_BYTES)].to_vec();
        self.send(from, Body::Piece { index, offset, bytes }, out);
    }

    pub(super) fn receive_piece(
        &mut self, now: Nanos, from: &Name, index: u64, offset: u32, bytes: &[u8], out: &mut Vec<Action>,
    ) {
        let Some(fetch) = &mut self.state_fetch else { return };
        let due = (fetch.length.saturating_sub(offset) as usize).min(PIECE_BYTES);
        let fits = offset.is_multiple_of(PIECE_BYTES as u32) && offset < fetch.length && bytes.len() == due;
        if fetch.index != index || fetch.from != *from || !fits {
            return;
        }
        fetch.pieces.insert(offset, bytes.to_vec());
        fetch.expires = now + FETCH_TIMEOUT;
        let pieces = fetch.length.div_ceil(PIECE_BYTES as u32) as usize;
        if fetch.pieces.len() < pieces {
            if fetch.pieces.len().is_multiple_of(MAX_PIECES_IN_FLIGHT) {
                fetch.next_request = now;
                self.request_pieces(now, out);
            }
            return;
        }
        let Some(fetch) = self.state_fetch.take() else { return };
        let whole: Vec<u8> = fetch.pieces.into_values().flatten().collect();
        if crc32c::crc32c(&whole) != fetch.checksum {
            return; // of two states that were never one; it begins anew
        }
        if let Some(state) = AppliedState::from_bytes(&whole) {
            self.adopt_state(state, out);
        }
    }

    /// Takes a whole state in place of the one here.
    fn adopt_state(&mut self, state: AppliedState, out: &mut Vec<Action>) {
        let group = Group { epoch: state.epoch, number: state.group };
        if log_rank(group, state.index) <= log_rank(self.group(), self.applied.index) {
            return;
        }
        if self.is_bound_to_other_group(group) || self.write_in_progress.is_some() {
            return;
        }
        let other = group != self.group();
        self.applied = state;
        if other {
            self.latest_announced = 0;
            if self.replica.is_some() {
                self.leave_group(out);
            }
        }
        self.recent_entries.clear();
        (self.halted_at, self.offered_state) = (None, None);
        self.latest_announced = self.latest_announced.max(self.applied.index);
        out.push(Action::Notify(Notification::StateReplaced(self.group(), self.applied.index)));
        let known: Vec<CommandId> =
            self.proposals.keys().copied().filter(|id| self.applied.outcome(*id).is_some()).collect();
        for id in known {
            if let Some(outcome) = self.applied.outcome(id).cloned() {
                self.confirm(id, outcome, out);
            }
        }
        if self.replica.is_some() && self.write_in_progress.is_none() && self.disk_failed_since.is_none() {
            self.restart_replica(out);
        }
    }

    /// A voter says that the copy here differs: it is fetched anew.
    pub(super) fn receive_divergence(
        &mut self, now: Nanos, from: Name, group: Group, index: u64, part: String, out: &mut Vec<Action>,
    ) {
        if group != self.group() || self.replica.is_some() {
            return;
        }
        out.push(Action::Notify(Notification::StateDiverged(self.identity.name.clone(), index, part)));
        self.applied = AppliedState::default();
        self.recent_entries.clear();
        (self.state_fetch, self.offered_state) = (None, None);
        self.pull_from(now, from, out);
    }

    /// The last entry that can be passed on from here.
    fn last_retained(&self) -> u64 {
        self.recent_entries.back().map_or(self.applied.index, |last| last.index)
    }

    /// Takes the next agreed entry.
    pub(super) fn apply_entry(&mut self, _now: Nanos, entry: Entry, out: &mut Vec<Action>) {
        // Others may know what this version does not: what is agreed is passed on also where it is not applied.
        if entry.index == self.last_retained() + 1 {
            self.recent_entries.push_back(entry.clone());
            if self.recent_entries.len() as u64 > self.tuning.retained_entries {
                self.recent_entries.pop_front();
            }
        }
        if self.halted_at.is_some() || entry.index != self.applied.index + 1 {
            return;
        }
        let twice = self.tuning.defect == Some(Defect::AppliesTwice);
        match self.applied.apply(&entry, twice) {
            Ok(outcome) => {
                self.latest_announced = self.latest_announced.max(self.applied.index);
                out.push(Action::Notify(Notification::Applied(entry)));
                if let Some((id, outcome)) = outcome {
                    self.confirm(id, outcome, out);
                }
            }
            Err(unknown) => {
                self.halted_at = Some(unknown);
                out.push(Action::Notify(Notification::Halted(unknown)));
            }
        }
    }
}
