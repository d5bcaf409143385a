//! The life cycle of the local voter's replica: start, restore from disk, disk writes, restart and removal.

use super::{Action, Notification, PendingWrite, ReplicatedLog};
use crate::command::Entry;
use crate::config::{Defect, Name, Nanos, MS};
use crate::durable::{DiskImage, FileWrite, ReplicaMetadata, StoredLog};
use crate::replica::{Output, Replica};
use crate::wire::{Body, Group, RaftMessage};

/// Interval between two questions of a restarted voter to the other voters.
const REJOIN_INTERVAL: Nanos = 300 * MS;
/// Interval between a failed write and the next attempt.
const DISK_RETRY_INTERVAL: Nanos = 1_000 * MS;
/// After its disk has failed for this long, a voter lets others take its slot.
const DISK_FAILURE_GRACE: Nanos = 5_000 * MS;
/// Voter numbers whose start count or node is remembered.
const MAX_SEEN_VOTERS: usize = 64;

impl ReplicatedLog {
    /// Continues from a stored log. A stored replica keeps its voter number once other voters confirm that they know
    /// no later start of it.
    pub(super) fn restore(&mut self, stored: StoredLog, actions: &mut Vec<Action>) {
        let StoredLog { mut meta, state, entries } = stored;
        self.applied = state;
        self.latest_announced = self.applied.index;
        self.seen_starts = meta.seen.clone();
        if meta.voter != 0 {
            meta.starts += 1;
            if self.tuning.defect == Some(Defect::ForgetsVote) {
                meta.hard.1 = 0;
            }
            let term_and_vote = (meta.hard.0, meta.hard.1);
            let seed = self.rng.u64(..);
            match Replica::new(meta.voter, &self.applied, term_and_vote, &entries, &self.tuning, seed) {
                Ok(replica) => {
                    self.voter = meta.voter;
                    self.replica = Some(replica);
                    self.rejoin_confirmations = Some(Default::default());
                }
                Err(_) => {
                    actions.push(Action::Notify(Notification::StorageRejected(
                        "the consensus cannot start from the stored log",
                    )));
                    meta = ReplicaMetadata { seen: meta.seen, ..ReplicaMetadata::default() };
                }
            }
        }
        let image = DiskImage::new(meta, entries);
        let writes = image.metadata();
        self.disk_image = Some(image);
        self.persist(PendingWrite::Background, writes, actions);
    }

    /// Requests writes; [`super::Event::Persisted`] reports their result.
    pub(super) fn persist(&mut self, write: PendingWrite, writes: Vec<FileWrite>, actions: &mut Vec<Action>) {
        (self.write_in_progress, self.write_started) = (Some(write), self.last_event);
        actions.push(Action::Persist(writes));
    }

    /// Asks the other voters whether they know a later start of this voter number. Once they and this node make up a
    /// majority that knows none, the replica takes part again.
    pub(super) fn request_rejoin(&mut self, now: Nanos, actions: &mut Vec<Action>) {
        let Some(confirmations) = &self.rejoin_confirmations else { return };
        let voters = self.applied.voters.len();
        if confirmations.len() >= voters / 2 {
            self.rejoin_confirmations = None;
            self.deadlines.tick = now;
            actions.push(Action::Notify(Notification::VoterSlot(Some(self.voter))));
            return;
        }
        if now < self.deadlines.rejoin {
            return;
        }
        self.deadlines.rejoin = now + REJOIN_INTERVAL;
        let starts = self.disk_image.as_ref().map_or(0, |image| image.meta.starts);
        for name in self.other_voter_nodes() {
            self.send(&name, Body::Hello { voter: self.voter, starts }, actions);
        }
    }

    /// Names of the nodes of all other voters.
    pub(super) fn other_voter_nodes(&self) -> Vec<Name> {
        let others = self.applied.voters.iter().filter(|(number, _)| **number != self.voter);
        others.map(|(_, name)| Name::from(name.as_str())).collect()
    }

    /// Records a start count of a voter and returns the highest one seen before.
    fn record_start(&mut self, voter: u64, starts: u64) -> u64 {
        if self.seen_starts.len() >= MAX_SEEN_VOTERS && !self.seen_starts.contains_key(&voter) {
            let voters = &self.applied.voters;
            self.seen_starts.retain(|number, _| voters.contains_key(number));
        }
        let seen = self.seen_starts.entry(voter).or_default();
        let previous = *seen;
        *seen = previous.max(starts);
        previous
    }

    pub(super) fn receive_hello(&mut self, from: &Name, voter: u64, starts: u64, actions: &mut Vec<Action>) {
        let seen = self.record_start(voter, starts);
        self.send(from, Body::Seen { voter, starts, seen }, actions);
    }

    pub(super) fn receive_seen(
        &mut self, from: Name, voter: u64, starts: u64, seen: u64, actions: &mut Vec<Action>,
    ) {
        let local_starts = self.disk_image.as_ref().map_or(0, |image| image.meta.starts);
        if voter != self.voter || starts != local_starts {
            return;
        }
        if seen > starts {
            actions.push(Action::Notify(Notification::StorageRejected(
                "other nodes know a later start of this replica: the disk holds an outdated copy",
            )));
            self.leave_group(actions);
        } else if let Some(confirmations) = &mut self.rejoin_confirmations {
            confirmations.insert(from);
        }
    }

    /// Whether this process has a replica, or its disk may still hold one. If so, the node must not help to form
    /// another group.
    pub(super) fn may_hold_replica(&self) -> bool {
        self.replica.is_some() || self.disk_failed_since.is_some() || self.write_in_progress.is_some()
    }

    /// The voter number that this node announces to others; 0 if nobody may rely on it.
    pub(super) fn announced_voter(&self, now: Nanos) -> u64 {
        let failed_too_long =
            self.disk_failed_since.is_some_and(|since| now.saturating_sub(since) >= DISK_FAILURE_GRACE);
        // While the disk may still hold another voter number, others must not rely on this one.
        let uncertain =
            self.replica.is_none() && (self.disk_failed_since.is_some() || self.write_in_progress.is_some());
        if failed_too_long || uncertain {
            0
        } else {
            self.voter
        }
    }

    /// Rewrites everything after a failed write.
    pub(super) fn retry_failed_write(&mut self, now: Nanos, actions: &mut Vec<Action>) {
        if self.disk_failed_since.is_none()
            || self.write_in_progress.is_some()
            || now < self.deadlines.disk_retry
        {
            return;
        }
        if self.replica.is_some() {
            return self.restart_replica(actions);
        }
        let Some(image) = &self.disk_image else { return };
        let writes = image.metadata();
        self.persist(PendingWrite::Background, writes, actions);
    }

    /// Removes the replica and abandons its voter number for good, also on the disk. The applied state remains.
    pub(super) fn leave_group(&mut self, actions: &mut Vec<Action>) {
        if self.replica.take().is_some() {
            actions.push(Action::Notify(Notification::VoterSlot(None)));
        }
        self.rejoin_confirmations = None;
        // An abandoned number must not return, because other nodes may remember it as gone.
        self.voter = self.rng.u64(1..);
        if let Some(image) = &mut self.disk_image {
            image.meta.voter = 0;
            let writes = image.metadata();
            self.persist(PendingWrite::Background, writes, actions);
        }
    }

    /// Starts a replica if the applied state lists this node's number as a voter, and removes it if it no longer does.
    pub(super) fn update_voter_slot(&mut self, now: Nanos, actions: &mut Vec<Action>) {
        let listed = self.applied.voters.contains_key(&self.voter);
        match &self.replica {
            Some(_) if !listed && self.write_in_progress.is_none() && self.disk_failed_since.is_none() => {
                self.leave_group(actions)
            }
            None if listed
                && self.state_fetch.is_none()
                && self.halted_at.is_none()
                && !self.may_hold_replica() =>
            {
                self.start_replica((0, 0), Vec::new(), actions);
                self.deadlines.tick = now;
            }
            _ => {}
        }
    }

    /// Starts or replaces the replica after the applied state, with the log entries that follow it.
    fn start_replica(
        &mut self, term_and_vote: (u64, u64), entries: Vec<crate::wire::RaftEntry>, actions: &mut Vec<Action>,
    ) {
        let seed = self.rng.u64(..);
        let Ok(replica) =
            Replica::new(self.voter, &self.applied, term_and_vote, &entries, &self.tuning, seed)
        else {
            return;
        };
        let (group, voter) = (self.group(), self.voter);
        if let Some(image) = &mut self.disk_image {
            let starts = if image.meta.voter == voter { image.meta.starts } else { 1 };
            let seen = self.seen_starts.clone();
            image.meta = ReplicaMetadata {
                group,
                voter,
                starts,
                hard: (term_and_vote.0, term_and_vote.1, 0),
                log: (0, 0),
                seen,
            };
            let writes = image.reset(&self.applied, entries);
            self.persist(PendingWrite::Replica, writes, actions);
        }
        let is_new = self.replica.is_none();
        self.replica = Some(replica);
        if is_new {
            actions.push(Action::Notify(Notification::VoterSlot(Some(voter))));
        }
    }

    /// Restarts the replica from the applied state. It keeps its entries beyond that state if its log matches it.
    pub(super) fn restart_replica(&mut self, actions: &mut Vec<Action>) {
        let Some(replica) = &self.replica else { return };
        let (at, term) = (self.applied.index, self.applied.term);
        let entries = replica.entries();
        let state_matches_log = replica.term_at(at) == Some(term);
        let beyond = if state_matches_log {
            entries.into_iter().filter(|entry| entry.index > at).collect()
        } else {
            Vec::new()
        };
        let term_and_vote = replica.term_and_vote();
        self.start_replica(term_and_vote, beyond, actions);
    }

    /// Passes a message of the consensus to the replica if it is for this voter number and this group.
    pub(super) fn receive_raft(
        &mut self, now: Nanos, from: &Name, group: Group, starts: u64, message: RaftMessage,
        actions: &mut Vec<Action>,
    ) {
        self.record_start(message.sender(), starts);
        if self.voter_nodes.len() >= MAX_SEEN_VOTERS {
            self.voter_nodes.clear(); // active voters are soon added again
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
            // The sender's state lists this node as a voter and the local state does not yet.
            _ => self.pull_from(now, from.clone(), actions),
        }
    }

    /// Advances the clock of the consensus when a tick is due.
    pub(super) fn tick_replica(&mut self, now: Nanos) {
        if self.rejoin_confirmations.is_some() || self.disk_failed_since.is_some() {
            return;
        }
        let Some(replica) = &mut self.replica else { return };
        if now >= self.deadlines.tick {
            // Missed ticks are not made up for: a node that was paused has not waited for the leader in that time.
            self.deadlines.tick = now + self.tuning.tick_interval;
            replica.tick();
        }
    }

    /// Processes the output of the consensus until there is no more or a disk write has to finish first.
    pub(super) fn process_ready(&mut self, now: Nanos, actions: &mut Vec<Action>) {
        while self.write_in_progress.is_none()
            && self.rejoin_confirmations.is_none()
            && self.disk_failed_since.is_none()
        {
            let Some(replica) = &mut self.replica else { return };
            if replica.needs_catch_up {
                return;
            }
            let Output { messages, committed, update } = replica.take_ready();
            self.dispatch(now, messages, committed, actions);
            let Some(update) = update else { return };
            if self.tuning.defect == Some(Defect::AppliesEarly) {
                self.apply_early(now, &update.entries, actions);
            }
            let changes = update.hard_state.is_some() || !update.entries.is_empty();
            if let Some(image) = self.disk_image.as_mut().filter(|_| changes) {
                image.meta.seen = self.seen_starts.clone();
                let writes = image.record(&update);
                self.persist(PendingWrite::Replica, writes, actions);
                return;
            }
            self.replica_persisted(now, actions);
        }
    }

    /// Continues the replica after its last update has become durable.
    fn replica_persisted(&mut self, now: Nanos, actions: &mut Vec<Action>) {
        let Some(replica) = &mut self.replica else { return };
        let Output { messages, committed, .. } = replica.persisted();
        self.dispatch(now, messages, committed, actions);
    }

    /// Sends messages of the consensus and applies committed entries.
    fn dispatch(
        &mut self, now: Nanos, messages: Vec<RaftMessage>, committed: Vec<Entry>, actions: &mut Vec<Action>,
    ) {
        let starts = self.disk_image.as_ref().map_or(0, |image| image.meta.starts);
        for message in messages {
            let Some(name) = self.node_of(message.recipient()) else { continue };
            self.send(&name, Body::Raft { starts, message: Box::new(message) }, actions);
        }
        for entry in committed {
            self.apply_entry(now, entry, actions);
        }
        self.compact_log(actions);
    }

    /// Applies entries that are not committed yet, as [`Defect::AppliesEarly`] requires.
    fn apply_early(&mut self, now: Nanos, entries: &[crate::wire::RaftEntry], actions: &mut Vec<Action>) {
        for entry in entries.iter().filter_map(|entry| entry.to_protobuf()) {
            if let Ok(command) = postcard::from_bytes(&entry.data) {
                let what = crate::command::EntryPayload::Command(command);
                self.apply_entry(now, Entry { index: entry.index, term: entry.term, what }, actions);
            }
        }
    }

    /// Replaces old entries by the applied state, in memory and on the disk.
    fn compact_log(&mut self, actions: &mut Vec<Action>) {
        let Some(replica) = &mut self.replica else { return };
        if self.write_in_progress.is_some()
            || self.disk_failed_since.is_some()
            || !replica.compact(self.applied.index)
        {
            return;
        }
        if let Some(image) = &mut self.disk_image {
            let writes = image.compact(&self.applied);
            self.persist(PendingWrite::Background, writes, actions);
        }
    }

    /// Handles the result of the last requested writes.
    pub(super) fn write_finished(&mut self, now: Nanos, durable: bool, actions: &mut Vec<Action>) {
        let Some(finished) = self.write_in_progress.take() else { return };
        if now.saturating_sub(self.write_started) > self.election_timeout() {
            self.replica.iter_mut().for_each(Replica::step_down);
        }
        if !durable {
            // After a failed sync the content of the disk is unknown, so this process does not read it again. No
            // message that depends on the failed write was sent. The data may or may not be there, so everything is
            // rewritten as new files.
            if self.disk_failed_since.is_none() {
                actions.push(Action::Notify(Notification::StorageRejected(
                    "a write failed: the voter slot is suspended until the disk accepts a complete rewrite",
                )));
            }
            self.disk_failed_since.get_or_insert(now);
            self.deadlines.disk_retry = now + DISK_RETRY_INTERVAL;
            return;
        }
        if self.disk_failed_since.take().is_some() {
            self.deadlines.tick = now;
        }
        if finished == PendingWrite::Replica {
            self.replica_persisted(now, actions);
        }
    }
}
