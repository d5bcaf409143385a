//! How what is agreed reaches every node: a tree of pulls, by entries or by the whole state in pieces.

use std::collections::BTreeMap;
use std::sync::Arc;

use super::{Action, Notification, ReplicatedLog};
use crate::applied::{AppliedState, STATE_PARTS};
use crate::command::{CommandId, Entry};
use crate::config::{Defect, Name, Nanos, MS, SECOND};
use crate::wire::{Body, Group, MAX_DATAGRAM, MAX_ENTRIES_BYTES, PIECE_BYTES};

const CHILD_LASTS: Nanos = 3 * SECOND; // without a pull
const MAX_CHILDREN: usize = 64;
const WINDOW: usize = 16; // pieces that are on their way at once: the pace of a fetch is this each round trip
const FETCH_AGAIN: Nanos = 250 * MS;
const FETCH_LASTS: Nanos = 2 * SECOND; // without a piece, until another is asked
const STATE_MOST: u32 = 8 << 20; // bytes: ids, values and voters at their most take less

/// Somebody who pulls from here.
#[derive(Clone, Copy, Debug)]
pub struct Child {
    group: Group,
    index: u64,
    until: Nanos,
}

/// A whole state on its way here, resumed where it stands as long as it is the same.
#[derive(Clone, Debug)]
pub struct Fetch {
    from: Name,
    group: Group,
    index: u64,
    length: u32,
    sum: u32,
    pieces: BTreeMap<u32, Vec<u8>>,
    again: Nanos,
    until: Nanos,
}

/// Which of two logs goes before: the later epoch, then what has gone on. A group that never decided anything stays
/// at the place where it was founded.
pub(super) fn rank(group: Group, index: u64) -> (u64, u64, u64) {
    (group.epoch, index, group.number)
}

impl ReplicatedLog {
    /// From whom this node pulls: voters from the leader, others by their place in the tree.
    fn parent(&mut self, now: Nanos) -> Option<Name> {
        let own = &self.id.name;
        let voters: Vec<Name> = self.applied.voters.values().map(|name| Name::from(name.as_str())).collect();
        let alive = |name: &Name| self.peers.get(name).is_some_and(|peer| peer.alive);
        if let Some(leader) = self.replica.as_ref().and_then(|replica| replica.leader()) {
            let leader = self.node_of(leader);
            return leader.filter(|leader| leader != own);
        }
        let stale = now.saturating_sub(self.heard) > self.tuning.stale_after;
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
    fn is_led(&self) -> bool {
        let led = |replica: &crate::replica::Replica| !replica.behind && replica.leader().is_some();
        self.replica.as_ref().is_some_and(led) && self.hello.is_none() && self.frozen.is_none()
    }

    pub(super) fn pull(&mut self, now: Nanos, out: &mut Vec<Action>) {
        let behind = self.replica.as_ref().is_some_and(|replica| replica.behind);
        if self.fetch.is_some() {
            self.fetch_more(now, out);
        }
        if now < self.next.pull {
            return;
        }
        // Drawn apart, or all would ask at the same moment.
        let pace = if behind { self.tuning.pull_interval / 4 } else { self.tuning.pull_interval };
        self.next.pull = now + pace / 2 + self.rng.u64(0..pace);
        let follows = !self.is_led();
        if let Some(parent) = self.parent(now).filter(|_| follows) {
            self.pull_from(now, parent, out);
        }
    }

    pub(super) fn pull_from(&mut self, _now: Nanos, from: Name, out: &mut Vec<Action>) {
        let digest = self.applied.digest();
        self.send(&from, Body::Pull { digest }, out);
    }

    /// Somebody says how far it is and wants what comes after.
    pub(super) fn pulled(
        &mut self, now: Nanos, from: Name, group: Group, index: u64,
        digest: Option<(u64, [u32; STATE_PARTS.len()])>, out: &mut Vec<Action>,
    ) {
        if rank(group, index) > rank(self.group(), self.applied.index) {
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
            self.children.insert(from.clone(), Child { group, index, until: now + CHILD_LASTS });
        }
        self.feed(&from, group, index, out);
    }

    /// Sends what comes after that, or what it can be fetched from.
    fn feed(&mut self, to: &Name, group: Group, index: u64, out: &mut Vec<Action>) {
        let kept = self.tail.front().map_or(self.applied.index + 1, |first| first.index);
        if group == self.group() && index + 1 >= kept {
            let skip = (index + 1 - kept) as usize;
            let mut entries = Vec::new();
            let mut room = MAX_ENTRIES_BYTES;
            for entry in self.tail.iter().skip(skip) {
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
        let fits =
            |(at, _): &(u64, Arc<Vec<u8>>)| *at + 1 >= kept && rank(self.group(), *at) > rank(group, index);
        if !self.offered.as_ref().is_some_and(fits) {
            self.offered = Some((self.applied.index, Arc::new(self.applied.to_bytes())));
        }
        let Some((index, bytes)) = self.offered.clone() else { return };
        let (length, sum) = (bytes.len() as u32, crc32c::crc32c(&bytes));
        self.send(to, Body::Whole { index, length, sum }, out);
    }

    /// Sends children what is new, without waiting for their next pull.
    pub(super) fn push(&mut self, now: Nanos, out: &mut Vec<Action>) {
        self.children.retain(|_, child| now < child.until);
        let (group, index) = (self.group(), self.last_kept());
        let behind: Vec<(Name, Child)> = self
            .children
            .iter()
            .filter(|(_, child)| child.group == group && child.index < index)
            .map(|(name, child)| (name.clone(), *child))
            .collect();
        for (name, child) in behind {
            self.feed(&name, group, child.index, out);
            if let Some(child) = self.children.get_mut(&name) {
                child.index = index; // lost on the way, it is asked for again
            }
        }
    }

    pub(super) fn entries(
        &mut self, now: Nanos, from: &Name, group: Group, entries: Vec<Entry>, out: &mut Vec<Action>,
    ) {
        let is_led = self.is_led();
        if group != self.group() || is_led {
            return;
        }
        let before = self.applied.index;
        for entry in entries {
            if entry.index == self.applied.index + 1 {
                self.apply(now, entry, out);
            }
        }
        // A replica that was behind goes on, also where nothing was missing after all.
        let caught_up =
            self.replica.as_ref().is_some_and(|replica| replica.behind) && self.applied.index >= self.told;
        if self.applied.index > before || caught_up {
            if self.replica.is_some() && self.saving.is_none() && self.frozen.is_none() {
                self.restart_replica(out);
            } else if self.applied.index < self.told {
                self.pull_from(now, from.clone(), out);
            }
        }
    }

    /// Who has voted or stored in a group stays in it, for it may be the one whose word lets it decide, until there is
    /// a later epoch: that was founded only because this one cannot.
    pub(super) fn is_bound_to_another(&self, group: Group) -> bool {
        let engaged = self.replica.as_ref().is_some_and(|replica| replica.engaged);
        engaged && group != self.group() && group.epoch <= self.applied.epoch
    }

    /// A whole state is to be had.
    #[allow(clippy::too_many_arguments)] // as many as the datagram says
    pub(super) fn offer(
        &mut self, now: Nanos, from: Name, group: Group, index: u64, length: u32, sum: u32,
        out: &mut Vec<Action>,
    ) {
        let further = rank(group, index) > rank(self.group(), self.applied.index);
        let bound = self.is_bound_to_another(group);
        let is_voter = self.replica.as_ref().is_some_and(|replica| !replica.behind && group == self.group());
        if !further || bound || is_voter || length > STATE_MOST || length == 0 {
            return;
        }
        if let Some(fetch) = self.fetch.as_mut().filter(|fetch| now < fetch.until) {
            let same = fetch.group == group && fetch.index == index && fetch.sum == sum;
            if same {
                fetch.from = from; // whoever has the same can go on with it
            }
            return;
        }
        let fetch = Fetch {
            from,
            group,
            index,
            length,
            sum,
            pieces: BTreeMap::new(),
            again: now,
            until: now + FETCH_LASTS,
        };
        self.fetch = Some(fetch);
        self.fetch_more(now, out);
    }

    fn fetch_more(&mut self, now: Nanos, out: &mut Vec<Action>) {
        let Some(fetch) = &mut self.fetch else { return };
        if now >= fetch.until {
            self.fetch = None;
            return;
        }
        if now < fetch.again {
            return;
        }
        fetch.again = now + FETCH_AGAIN;
        let missing =
            (0..fetch.length).step_by(PIECE_BYTES).filter(|offset| !fetch.pieces.contains_key(offset));
        let (missing, from, index): (Vec<u32>, _, _) =
            (missing.take(WINDOW).collect(), fetch.from.clone(), fetch.index);
        for offset in missing {
            self.send(&from, Body::Fetch { index, offset }, out);
        }
    }

    pub(super) fn fetched(&mut self, from: &Name, index: u64, offset: u32, out: &mut Vec<Action>) {
        let Some((at, bytes)) = self.offered.clone() else { return };
        let from_byte = offset as usize;
        if at != index || from_byte >= bytes.len() {
            return;
        }
        let bytes = bytes[from_byte..bytes.len().min(from_byte + PIECE_BYTES)].to_vec();
        self.send(from, Body::Piece { index, offset, bytes }, out);
    }

    pub(super) fn piece(
        &mut self, now: Nanos, from: &Name, index: u64, offset: u32, bytes: &[u8], out: &mut Vec<Action>,
    ) {
        let Some(fetch) = &mut self.fetch else { return };
        let due = (fetch.length.saturating_sub(offset) as usize).min(PIECE_BYTES);
        let fits = offset.is_multiple_of(PIECE_BYTES as u32) && offset < fetch.length && bytes.len() == due;
        if fetch.index != index || fetch.from != *from || !fits {
            return;
        }
        fetch.pieces.insert(offset, bytes.to_vec());
        fetch.until = now + FETCH_LASTS;
        let pieces = fetch.length.div_ceil(PIECE_BYTES as u32) as usize;
        if fetch.pieces.len() < pieces {
            if fetch.pieces.len().is_multiple_of(WINDOW) {
                fetch.again = now;
                self.fetch_more(now, out);
            }
            return;
        }
        let Some(fetch) = self.fetch.take() else { return };
        let whole: Vec<u8> = fetch.pieces.into_values().flatten().collect();
        if crc32c::crc32c(&whole) != fetch.sum {
            return; // of two states that were never one; it begins anew
        }
        if let Some(state) = AppliedState::from_bytes(&whole) {
            self.jump(state, out);
        }
    }

    /// Takes a whole state in place of the one here.
    fn jump(&mut self, state: AppliedState, out: &mut Vec<Action>) {
        let group = Group { epoch: state.epoch, number: state.group };
        if rank(group, state.index) <= rank(self.group(), self.applied.index) {
            return;
        }
        if self.is_bound_to_another(group) || self.saving.is_some() {
            return;
        }
        let other = group != self.group();
        self.applied = state;
        if other {
            self.told = 0;
            if self.replica.is_some() {
                self.leave(out);
            }
        }
        self.tail.clear();
        (self.halted, self.offered) = (None, None);
        self.told = self.told.max(self.applied.index);
        out.push(Action::Notify(Notification::StateReplaced(self.group(), self.applied.index)));
        let known: Vec<CommandId> =
            self.proposals.keys().copied().filter(|id| self.applied.outcome(*id).is_some()).collect();
        for id in known {
            if let Some(outcome) = self.applied.outcome(id).cloned() {
                self.confirm(id, outcome, out);
            }
        }
        if self.replica.is_some() && self.saving.is_none() && self.frozen.is_none() {
            self.restart_replica(out);
        }
    }

    /// A voter says that the copy here differs: it is fetched anew.
    pub(super) fn differs(
        &mut self, now: Nanos, from: Name, group: Group, index: u64, part: String, out: &mut Vec<Action>,
    ) {
        if group != self.group() || self.replica.is_some() {
            return;
        }
        out.push(Action::Notify(Notification::StateDiverged(self.id.name.clone(), index, part)));
        self.applied = AppliedState::default();
        self.tail.clear();
        (self.fetch, self.offered) = (None, None);
        self.pull_from(now, from, out);
    }

    /// The last entry that can be passed on from here.
    fn last_kept(&self) -> u64 {
        self.tail.back().map_or(self.applied.index, |last| last.index)
    }

    /// Takes the next agreed entry.
    pub(super) fn apply(&mut self, _now: Nanos, entry: Entry, out: &mut Vec<Action>) {
        // Others may know what this version does not: what is agreed is passed on also where it is not applied.
        if entry.index == self.last_kept() + 1 {
            self.tail.push_back(entry.clone());
            if self.tail.len() as u64 > self.tuning.retained_entries {
                self.tail.pop_front();
            }
        }
        if self.halted.is_some() || entry.index != self.applied.index + 1 {
            return;
        }
        let twice = self.tuning.defect == Some(Defect::AppliesTwice);
        match self.applied.apply(&entry, twice) {
            Ok(outcome) => {
                self.told = self.told.max(self.applied.index);
                out.push(Action::Notify(Notification::Applied(entry)));
                if let Some((id, outcome)) = outcome {
                    self.confirm(id, outcome, out);
                }
            }
            Err(unknown) => {
                self.halted = Some(unknown);
                out.push(Action::Notify(Notification::Halted(unknown)));
            }
        }
    }
}
