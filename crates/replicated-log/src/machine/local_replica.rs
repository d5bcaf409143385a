//! A voter's replica: started, kept through a restart, and given up.

use super::{Action, Notification, ReplicatedLog, Saving};
use crate::command::Entry;
use crate::config::{Defect, Name, Nanos, MS};
use crate::durable::{DiskImage, FileWrite, ReplicaMetadata, StoredLog};
use crate::replica::{Output, Replica};
use crate::wire::{Body, Group, RaftMessage};

const HELLO_EVERY: Nanos = 300 * MS;
const THAW_EVERY: Nanos = 1_000 * MS;
const FROZEN_LONG: Nanos = 5_000 * MS; // a voter slot that waits for so long is for others to take
const MAX_SEEN: usize = 64; // numbers of which a start is remembered

impl ReplicatedLog {
    /// Goes on from a disk that is believed: under the old number, if others let it in.
    pub(super) fn resume(&mut self, kept: StoredLog, out: &mut Vec<Action>) {
        let StoredLog { mut meta, state, entries } = kept;
        self.applied = state;
        self.told = self.applied.index;
        self.seen = meta.seen.clone();
        if meta.voter != 0 {
            meta.starts += 1;
            if self.tuning.defect == Some(Defect::ForgetsVote) {
                meta.hard.1 = 0;
            }
            let hard = (meta.hard.0, meta.hard.1);
            let seed = self.rng.u64(..);
            match Replica::new(meta.voter, &self.applied, hard, &entries, &self.tuning, seed) {
                Ok(replica) => {
                    self.voter = meta.voter;
                    self.replica = Some(replica);
                    self.hello = Some(Default::default());
                }
                Err(_) => {
                    out.push(Action::Notify(Notification::StorageRejected(
                        "the consensus does not start from it",
                    )));
                    meta = ReplicaMetadata { seen: meta.seen, ..ReplicaMetadata::default() };
                }
            }
        }
        let image = DiskImage::new(meta, entries);
        let writes = image.replica();
        self.image = Some(image);
        self.save(Saving::Aside, writes, out);
    }

    pub(super) fn save(&mut self, what: Saving, writes: Vec<FileWrite>, out: &mut Vec<Action>) {
        (self.saving, self.saving_since) = (Some(what), self.now);
        out.push(Action::Persist(writes));
    }

    /// Asks the other voters whether they know a later start of this number.
    pub(super) fn greet(&mut self, now: Nanos, out: &mut Vec<Action>) {
        let Some(heard) = &self.hello else { return };
        let voters = self.applied.voters.len();
        if heard.len() >= voters / 2 {
            self.hello = None;
            self.next.tick = now;
            out.push(Action::Notify(Notification::VoterSlot(Some(self.voter))));
            return;
        }
        if now < self.next.hello {
            return;
        }
        self.next.hello = now + HELLO_EVERY;
        let starts = self.image.as_ref().map_or(0, |image| image.meta.starts);
        for name in self.others() {
            self.send(&name, Body::Hello { voter: self.voter, starts }, out);
        }
    }

    /// Names of the other voters' nodes.
    pub(super) fn others(&self) -> Vec<Name> {
        let of = self.applied.voters.iter().filter(|(number, _)| **number != self.voter);
        of.map(|(_, name)| Name::from(name.as_str())).collect()
    }

    fn saw(&mut self, voter: u64, starts: u64) -> u64 {
        if self.seen.len() >= MAX_SEEN && !self.seen.contains_key(&voter) {
            let voters = &self.applied.voters;
            self.seen.retain(|number, _| voters.contains_key(number));
        }
        let seen = self.seen.entry(voter).or_default();
        let before = *seen;
        *seen = before.max(starts);
        before
    }

    pub(super) fn greeted(&mut self, from: &Name, voter: u64, starts: u64, out: &mut Vec<Action>) {
        let seen = self.saw(voter, starts);
        self.send(from, Body::Seen { voter, starts, seen }, out);
    }

    pub(super) fn known(&mut self, from: Name, voter: u64, starts: u64, seen: u64, out: &mut Vec<Action>) {
        let own = self.image.as_ref().map_or(0, |image| image.meta.starts);
        if voter != self.voter || starts != own {
            return;
        }
        if seen > starts {
            out.push(Action::Notify(Notification::StorageRejected(
                "others know a later start: the disk is from before",
            )));
            self.leave(out);
        } else if let Some(heard) = &mut self.hello {
            heard.insert(from);
        }
    }

    /// Whether this process, or what its disk may still hold, has a replica: it then gives no word for another group.
    pub(super) fn is_bound(&self) -> bool {
        self.replica.is_some() || self.frozen.is_some() || self.saving.is_some()
    }

    /// The number by which others should know this node as a voter.
    pub(super) fn says(&self, now: Nanos) -> u64 {
        let long = self.frozen.is_some_and(|since| now.saturating_sub(since) >= FROZEN_LONG);
        // As long as the disk may still hold another number, nobody may count on this one.
        let unsure = self.replica.is_none() && (self.frozen.is_some() || self.saving.is_some());
        if long || unsure {
            0
        } else {
            self.voter
        }
    }

    /// Writes everything anew after a write that failed.
    pub(super) fn thaw(&mut self, now: Nanos, out: &mut Vec<Action>) {
        if self.frozen.is_none() || self.saving.is_some() || now < self.next.thaw {
            return;
        }
        if self.replica.is_some() {
            return self.restart_replica(out);
        }
        let Some(image) = &self.image else { return };
        let writes = image.replica();
        self.save(Saving::Aside, writes, out);
    }

    /// Gives the number up for good, on the disk too. What is agreed is still held.
    pub(super) fn leave(&mut self, out: &mut Vec<Action>) {
        if self.replica.take().is_some() {
            out.push(Action::Notify(Notification::VoterSlot(None)));
        }
        self.hello = None;
        // A number that was put out does not come back: it may be remembered as gone.
        self.voter = self.rng.u64(1..);
        if let Some(image) = &mut self.image {
            image.meta.voter = 0;
            let writes = image.replica();
            self.save(Saving::Aside, writes, out);
        }
    }

    /// Takes the voter slot that the state says is this number's, or gives up one that is no more.
    pub(super) fn sit(&mut self, now: Nanos, out: &mut Vec<Action>) {
        let listed = self.applied.voters.contains_key(&self.voter);
        match &self.replica {
            Some(_) if !listed && self.saving.is_none() && self.frozen.is_none() => self.leave(out),
            None if listed && self.fetch.is_none() && self.halted.is_none() && !self.is_bound() => {
                self.start_replica((0, 0), Vec::new(), out);
                self.next.tick = now;
            }
            _ => {}
        }
    }

    fn start_replica(&mut self, hard: (u64, u64), kept: Vec<crate::wire::RaftEntry>, out: &mut Vec<Action>) {
        let seed = self.rng.u64(..);
        let Ok(replica) = Replica::new(self.voter, &self.applied, hard, &kept, &self.tuning, seed) else {
            return;
        };
        let (group, voter) = (self.group(), self.voter);
        if let Some(image) = &mut self.image {
            let starts = if image.meta.voter == voter { image.meta.starts } else { 1 };
            let seen = self.seen.clone();
            image.meta =
                ReplicaMetadata { group, voter, starts, hard: (hard.0, hard.1, 0), log: (0, 0), seen };
            let writes = image.begin(&self.applied, kept);
            self.save(Saving::Replica, writes, out);
        }
        let fresh = self.replica.is_none();
        self.replica = Some(replica);
        if fresh {
            out.push(Action::Notify(Notification::VoterSlot(Some(voter))));
        }
    }

    /// The replica goes on from the state that was fetched, with what it had stored beyond that.
    pub(super) fn restart_replica(&mut self, out: &mut Vec<Action>) {
        let Some(replica) = &self.replica else { return };
        let (at, term) = (self.applied.index, self.applied.term);
        let entries = replica.entries();
        let agrees = replica.term_at(at) == Some(term);
        let beyond =
            if agrees { entries.into_iter().filter(|entry| entry.index > at).collect() } else { Vec::new() };
        let hard = replica.hard();
        self.start_replica(hard, beyond, out);
    }

    pub(super) fn raft(
        &mut self, now: Nanos, from: &Name, group: Group, starts: u64, message: RaftMessage,
        out: &mut Vec<Action>,
    ) {
        self.saw(message.sender(), starts);
        if self.names.len() >= MAX_SEEN {
            self.names.clear(); // those that still speak are soon there again
        }
        self.names.insert(message.sender(), from.clone());
        if message.to() != self.voter {
            return;
        }
        match &mut self.replica {
            Some(replica) if group == Group { epoch: self.applied.epoch, number: self.applied.group } => {
                if self.hello.is_none() && self.frozen.is_none() {
                    replica.step(message);
                }
            }
            // Somebody counts this node among its voters and the state here does not say so yet.
            _ => self.pull_from(now, from.clone(), out),
        }
    }

    /// Ticks of the consensus.
    pub(super) fn tick(&mut self, now: Nanos, _out: &mut [Action]) {
        if self.hello.is_some() || self.frozen.is_some() {
            return;
        }
        let Some(replica) = &mut self.replica else { return };
        if now >= self.next.tick {
            // Time that was lost is not made up for: a node that was held up has not waited for anybody.
            self.next.tick = now + self.tuning.tick_interval;
            replica.tick();
        }
    }

    /// Carries out what the consensus wants, until it wants nothing more or waits for the disk.
    pub(super) fn drive(&mut self, now: Nanos, out: &mut Vec<Action>) {
        while self.saving.is_none() && self.hello.is_none() && self.frozen.is_none() {
            let Some(replica) = &mut self.replica else { return };
            if replica.behind {
                return;
            }
            let Output { messages, agreed, save } = replica.out();
            self.carry(now, messages, agreed, out);
            let Some(save) = save else { return };
            if self.tuning.defect == Some(Defect::AppliesEarly) {
                self.apply_early(now, &save.entries, out);
            }
            let changes = save.hard.is_some() || !save.entries.is_empty();
            if let Some(image) = self.image.as_mut().filter(|_| changes) {
                image.meta.seen = self.seen.clone();
                let writes = image.keep(&save);
                self.save(Saving::Replica, writes, out);
                return;
            }
            self.saved(now, out);
        }
    }

    fn saved(&mut self, now: Nanos, out: &mut Vec<Action>) {
        let Some(replica) = &mut self.replica else { return };
        let Output { messages, agreed, .. } = replica.saved();
        self.carry(now, messages, agreed, out);
    }

    fn carry(&mut self, now: Nanos, messages: Vec<RaftMessage>, agreed: Vec<Entry>, out: &mut Vec<Action>) {
        let starts = self.image.as_ref().map_or(0, |image| image.meta.starts);
        for message in messages {
            let Some(name) = self.node_of(message.to()) else { continue };
            self.send(&name, Body::Raft { starts, message: Box::new(message) }, out);
        }
        for entry in agreed {
            self.apply(now, entry, out);
        }
        self.compact(out);
    }

    fn apply_early(&mut self, now: Nanos, entries: &[crate::wire::RaftEntry], out: &mut Vec<Action>) {
        for entry in entries.iter().filter_map(|entry| entry.entry()) {
            if let Ok(command) = postcard::from_bytes(&entry.data) {
                let what = crate::command::EntryPayload::Command(command);
                self.apply(now, Entry { index: entry.index, term: entry.term, what }, out);
            }
        }
    }

    fn compact(&mut self, out: &mut Vec<Action>) {
        let Some(replica) = &mut self.replica else { return };
        if self.saving.is_some() || self.frozen.is_some() || !replica.compact(self.applied.index) {
            return;
        }
        if let Some(image) = &mut self.image {
            let writes = image.compact(&self.applied);
            self.save(Saving::Aside, writes, out);
        }
    }

    pub(super) fn persisted(&mut self, now: Nanos, durable: bool, out: &mut Vec<Action>) {
        let Some(what) = self.saving.take() else { return };
        if now.saturating_sub(self.saving_since) > self.patience() {
            self.replica.iter_mut().for_each(Replica::step_down);
        }
        if !durable {
            // After a failed sync nobody knows what the disk holds: it is not asked again by this process.
            // Nothing that rests on it was sent. What failed may stand there or not: all is written anew, as new files.
            if self.frozen.is_none() {
                out.push(Action::Notify(Notification::StorageRejected(
                    "a write failed: the seat waits until the disk takes all anew",
                )));
            }
            self.frozen.get_or_insert(now);
            self.next.thaw = now + THAW_EVERY;
            return;
        }
        if self.frozen.take().is_some() {
            self.next.tick = now;
        }
        if what == Saving::Replica {
            self.saved(now, out);
        }
    }
}
