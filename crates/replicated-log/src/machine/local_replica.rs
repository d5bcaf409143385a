//! A voter's replica: started, kept through a restart, and given up.

use super::{Action, Notification, PendingWrite, ReplicatedLog};
use crate::command::Entry;
use crate::config::{Defect, Name, Nanos, MS};
use crate::durable::{DiskImage, FileWrite, ReplicaMetadata, StoredLog};
use crate::replica::{Output, Replica};
use crate::wire::{Body, Group, RaftMessage};

const REJOIN_INTERVAL: Nanos = 300 * MS;
const DISK_RETRY_INTERVAL: Nanos = 1_000 * MS;
const DISK_FAILURE_GRACE: Nanos = 5_000 * MS; // a voter slot that waits for so long is for others to take
const MAX_SEEN_VOTERS: usize = 64; // numbers of which a start is remembered

impl ReplicatedLog {
    /// Goes on from a disk that is believed: under the old number, if others let it in.
    pub(super) fn restore(&mut self, kept: StoredLog, out: &mut Vec<Action>) {
        let StoredLog { mut meta, state, entries } = kept;
        self.applied = state;
        self.latest_announced = self.applied.index;
        self.seen_starts = meta.seen.clone();
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
                    self.rejoin_confirmations = Some(Default::default());
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
        let writes = image.metadata();
        self.disk_image = Some(image);
        self.persist(PendingWrite::Background, writes, out);
    }

    pub(super) fn persist(&mut self, what: PendingWrite, writes: Vec<FileWrite>, out: &mut Vec<Action>) {
        (self.write_in_progress, self.write_started) = (Some(what), self.last_event);
        out.push(Action::Persist(writes));
    }

    /// Asks the other voters whether they know a later start of this number.
    pub(super) fn request_rejoin(&mut self, now: Nanos, out: &mut Vec<Action>) {
        let Some(heard) = &self.rejoin_confirmations else { return };
        let voters = self.applied.voters.len();
        if heard.len() >= voters / 2 {
            self.rejoin_confirmations = None;
            self.deadlines.tick = now;
            out.push(Action::Notify(Notification::VoterSlot(Some(self.voter))));
            return;
        }
        if now < self.deadlines.rejoin {
            return;
        }
        self.deadlines.rejoin = now + REJOIN_INTERVAL;
        let starts = self.disk_image.as_ref().map_or(0, |image| image.meta.starts);
        for name in self.other_voter_nodes() {
            self.send(&name, Body::Hello { voter: self.voter, starts }, out);
        }
    }

    /// Names of the other voters' nodes.
    pub(super) fn other_voter_nodes(&self) -> Vec<Name> {
        let of = self.applied.voters.iter().filter(|(number, _)| **number != self.voter);
        of.map(|(_, name)| Name::from(name.as_str())).collect()
    }

    fn record_start(&mut self, voter: u64, starts: u64) -> u64 {
        if self.seen_starts.len() >= MAX_SEEN_VOTERS && !self.seen_starts.contains_key(&voter) {
            let voters = &self.applied.voters;
            self.seen_starts.retain(|number, _| voters.contains_key(number));
        }
        let seen = self.seen_starts.entry(voter).or_default();
        let before = *seen;
        *seen = before.max(starts);
        before
    }

    pub(super) fn receive_hello(&mut self, from: &Name, voter: u64, starts: u64, out: &mut Vec<Action>) {
        let seen = self.record_start(voter, starts);
        self.send(from, Body::Seen { voter, starts, seen }, out);
    }

    pub(super) fn receive_seen(
        &mut self, from: Name, voter: u64, starts: u64, seen: u64, out: &mut Vec<Action>,
    ) {
        let own = self.disk_image.as_ref().map_or(0, |image| image.meta.starts);
        if voter != self.voter || starts != own {
            return;
        }
        if seen > starts {
            out.push(Action::Notify(Notification::StorageRejected(
                "others know a later start: the disk is from before",
            )));
            self.leave_group(out);
        } else if let Some(heard) = &mut self.rejoin_confirmations {
            heard.insert(from);
        }
    }

    /// Whether this process, or what its disk may still hold, has a replica: it then gives no word for another group.
    pub(super) fn may_hold_replica(&self) -> bool {
        self.replica.is_some() || self.disk_failed_since.is_some() || self.write_in_progress.is_some()
    }

    /// The number by which others should know this node as a voter.
    pub(super) fn announced_voter(&self, now: Nanos) -> u64 {
        let long =
            self.disk_failed_since.is_some_and(|since| now.saturating_sub(since) >= DISK_FAILURE_GRACE);
        // As long as the disk may still hold another number, nobody may count on this one.
        let unsure =
            self.replica.is_none() && (self.disk_failed_since.is_some() || self.write_in_progress.is_some());
        if long || unsure {
            0
        } else {
            self.voter
        }
    }

    /// Writes everything anew after a write that failed.
    pub(super) fn retry_failed_write(&mut self, now: Nanos, out: &mut Vec<Action>) {
        if self.disk_failed_since.is_none()
            || self.write_in_progress.is_some()
            || now < self.deadlines.disk_retry
        {
            return;
        }
        if self.replica.is_some() {
            return self.restart_replica(out);
        }
        let Some(image) = &self.disk_image else { return };
        let writes = image.metadata();
        self.persist(PendingWrite::Background, writes, out);
    }

    /// Gives the number up for good, on the disk too. What is agreed is still held.
    pub(super) fn leave_group(&mut self, out: &mut Vec<Action>) {
        if self.replica.take().is_some() {
            out.push(Action::Notify(Notification::VoterSlot(None)));
        }
        self.rejoin_confirmations = None;
        // A number that was put out does not come back: it may be remembered as gone.
        self.voter = self.rng.u64(1..);
        if let Some(image) = &mut self.disk_image {
            image.meta.voter = 0;
            let writes = image.metadata();
            self.persist(PendingWrite::Background, writes, out);
        }
    }

    /// Takes the voter slot that the state says is this number's, or gives up one that is no more.
    pub(super) fn update_voter_slot(&mut self, now: Nanos, out: &mut Vec<Action>) {
        let listed = self.applied.voters.contains_key(&self.voter);
        match &self.replica {
            Some(_) if !listed && self.write_in_progress.is_none() && self.disk_failed_since.is_none() => {
                self.leave_group(out)
            }
            None if listed
                && self.state_fetch.is_none()
                && self.halted_at.is_none()
                && !self.may_hold_replica() =>
            {
                self.start_replica((0, 0), Vec::new(), out);
                self.deadlines.tick = now;
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
        if let Some(image) = &mut self.disk_image {
            let starts = if image.meta.voter == voter { image.meta.starts } else { 1 };
            let seen = self.seen_starts.clone();
            image.meta =
                ReplicaMetadata { group, voter, starts, hard: (hard.0, hard.1, 0), log: (0, 0), seen };
            let writes = image.reset(&self.applied, kept);
            self.persist(PendingWrite::Replica, writes, out);
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
        let hard = replica.term_and_vote();
        self.start_replica(hard, beyond, out);
    }

    pub(super) fn receive_raft(
        &mut self, now: Nanos, from: &Name, group: Group, starts: u64, message: RaftMessage,
        out: &mut Vec<Action>,
    ) {
        self.record_start(message.sender(), starts);
        if self.voter_nodes.len() >= MAX_SEEN_VOTERS {
            self.voter_nodes.clear(); // those that still speak are soon there again
        }
        self.voter_nodes.insert(message.sender(), from.clone());
        if message.recipient() != self.voter {
            return;
        }
        match &mut self.replica {
            Some(replica) if group == Group { epoch: self.applied.epoch, number: self.applied.group } => {
                if self.rejoin_confirmations.is_none() && self.disk_failed_since.is_none() {
                    replica.step(message);
                }
            }
            // Somebody counts this node among its voters and the state here does not say so yet.
            _ => self.pull_from(now, from.clone(), out),
        }
    }

    /// Ticks of the consensus.
    pub(super) fn tick_replica(&mut self, now: Nanos, _out: &mut [Action]) {
        if self.rejoin_confirmations.is_some() || self.disk_failed_since.is_some() {
            return;
        }
        let Some(replica) = &mut self.replica else { return };
        if now >= self.deadlines.tick {
            // Time that was lost is not made up for: a node that was held up has not waited for anybody.
            self.deadlines.tick = now + self.tuning.tick_interval;
            replica.tick();
        }
    }

    /// Carries out what the consensus wants, until it wants nothing more or waits for the disk.
    pub(super) fn process_ready(&mut self, now: Nanos, out: &mut Vec<Action>) {
        while self.write_in_progress.is_none()
            && self.rejoin_confirmations.is_none()
            && self.disk_failed_since.is_none()
        {
            let Some(replica) = &mut self.replica else { return };
            if replica.needs_state {
                return;
            }
            let Output { messages, committed: agreed, update: save } = replica.take_ready();
            self.dispatch(now, messages, agreed, out);
            let Some(save) = save else { return };
            if self.tuning.defect == Some(Defect::AppliesEarly) {
                self.apply_early(now, &save.entries, out);
            }
            let changes = save.hard_state.is_some() || !save.entries.is_empty();
            if let Some(image) = self.disk_image.as_mut().filter(|_| changes) {
                image.meta.seen = self.seen_starts.clone();
                let writes = image.record(&save);
                self.persist(PendingWrite::Replica, writes, out);
                return;
            }
            self.replica_persisted(now, out);
        }
    }

    fn replica_persisted(&mut self, now: Nanos, out: &mut Vec<Action>) {
        let Some(replica) = &mut self.replica else { return };
        let Output { messages, committed: agreed, .. } = replica.persisted();
        self.dispatch(now, messages, agreed, out);
    }

    fn dispatch(
        &mut self, now: Nanos, messages: Vec<RaftMessage>, agreed: Vec<Entry>, out: &mut Vec<Action>,
    ) {
        let starts = self.disk_image.as_ref().map_or(0, |image| image.meta.starts);
        for message in messages {
            let Some(name) = self.node_of(message.recipient()) else { continue };
            self.send(&name, Body::Raft { starts, message: Box::new(message) }, out);
        }
        for entry in agreed {
            self.apply_entry(now, entry, out);
        }
        self.compact_log(out);
    }

    fn apply_early(&mut self, now: Nanos, entries: &[crate::wire::RaftEntry], out: &mut Vec<Action>) {
        for entry in entries.iter().filter_map(|entry| entry.to_protobuf()) {
            if let Ok(command) = postcard::from_bytes(&entry.data) {
                let what = crate::command::EntryPayload::Command(command);
                self.apply_entry(now, Entry { index: entry.index, term: entry.term, what }, out);
            }
        }
    }

    fn compact_log(&mut self, out: &mut Vec<Action>) {
        let Some(replica) = &mut self.replica else { return };
        if self.write_in_progress.is_some()
            || self.disk_failed_since.is_some()
            || !replica.compact(self.applied.index)
        {
            return;
        }
        if let Some(image) = &mut self.disk_image {
            let writes = image.compact(&self.applied);
            self.persist(PendingWrite::Background, writes, out);
        }
    }

    pub(super) fn write_finished(&mut self, now: Nanos, durable: bool, out: &mut Vec<Action>) {
        let Some(what) = self.write_in_progress.take() else { return };
        if now.saturating_sub(self.write_started) > self.election_timeout() {
            self.replica.iter_mut().for_each(Replica::step_down);
        }
        if !durable {
            // After a failed sync nobody knows what the disk holds: it is not asked again by this process.
            // Nothing that rests on it was sent. What failed may stand there or not: all is written anew, as new files.
            if self.disk_failed_since.is_none() {
                out.push(Action::Notify(Notification::StorageRejected(
                    "a write failed: the seat waits until the disk takes all anew",
                )));
            }
            self.disk_failed_since.get_or_insert(now);
            self.deadlines.disk_retry = now + DISK_RETRY_INTERVAL;
            return;
        }
        if self.disk_failed_since.take().is_some() {
            self.deadlines.tick = now;
        }
        if what == PendingWrite::Replica {
            self.replica_persisted(now, out);
        }
    }
}
