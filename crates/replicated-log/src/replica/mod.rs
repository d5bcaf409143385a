//! A voter's replica of the log: wraps the consensus and returns its messages and disk writes to the caller.
//!
//! The crate `raft` panics if its own state is contradictory, for example after a disk lost a write that it had
//! reported as durable. Messages that could cause this are rejected before the consensus sees them.

mod store;

use fastrand::Rng;
use protobuf::Message as _;
use raft::eraftpb::{ConfChange, ConfChangeType, EntryType, HardState};
use raft::{Config, RawNode, Ready, StateRole, Storage};
use slog::{o, Discard, Logger};

use crate::applied::AppliedState;
use crate::command::{Command, Entry, EntryPayload};
use crate::config::Tuning;
use crate::wire::{RaftEntry, RaftMessage, MAX_ENTRIES_BYTES};
pub use store::LogStorage;

/// Unacknowledged append messages per voter.
const MAX_INFLIGHT_APPENDS: usize = 32;
/// Bytes of entries that a leader holds uncommitted.
const MAX_UNCOMMITTED_BYTES: u64 = 256 << 10;
/// Messages received during a disk write that are processed after it; further ones are dropped.
const MAX_DEFERRED_MESSAGES: usize = 64;

/// Changes that must be durable before messages that depend on them are sent.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct DurableUpdate {
    /// Term, vote and commit index, if they changed.
    pub hard_state: Option<(u64, u64, u64)>,
    /// New entries. They replace all stored entries from the first one's index on.
    pub entries: Vec<RaftEntry>,
}

/// Output of a replica.
#[derive(Default)]
pub struct Output {
    /// Messages to other voters.
    pub messages: Vec<RaftMessage>,
    /// Newly committed entries, in log order.
    pub committed: Vec<Entry>,
    /// Changes to be made durable. The replica returns nothing more until [`Replica::persisted`] is called.
    pub update: Option<DurableUpdate>,
}

/// A replica in a group.
pub struct Replica {
    /// Its voter number.
    pub voter: u64,
    /// Whether it has voted or stored entries in its group. If so, it must not leave the group.
    pub engaged: bool,
    raw_node: RawNode<LogStorage>,
    store: LogStorage,
    seed: u64,
    ticks: u64,
    election_ticks: usize,
    retained_entries: u64,
    pending_ready: Option<Ready>,
    deferred_messages: Vec<RaftMessage>,
    /// Whether the replica must pull entries or a whole state before the consensus can continue, because it is too
    /// far behind the leader or its committed entries differ.
    pub needs_catch_up: bool,
}

/// Why a replica cannot be started.
#[derive(Debug, thiserror::Error)]
#[error(
    "cannot start the consensus from the stored log: {0}; the node discards it and continues as a follower"
)]
pub struct ReplicaError(String);

impl Replica {
    /// Starts a replica from a base state, its last term and vote, and the log entries that follow the state.
    pub fn new(
        voter: u64, state: &AppliedState, (term, vote): (u64, u64), entries: &[RaftEntry], tuning: &Tuning,
        seed: u64,
    ) -> Result<Self, ReplicaError> {
        let store = LogStorage::with_base_state(state, term, vote);
        let stored: Option<Vec<_>> = entries.iter().map(RaftEntry::to_protobuf).collect();
        let stored = stored.ok_or_else(|| ReplicaError("an entry has an unknown kind".to_owned()))?;
        let contiguous =
            stored.windows(2).all(|pair| pair[1].index == pair[0].index + 1 && pair[1].term >= pair[0].term);
        if !contiguous || !store.append(&stored) {
            return Err(ReplicaError(
                "the entries are not consecutive or do not follow the state".to_owned(),
            ));
        }
        let config = Config {
            id: voter,
            election_tick: tuning.election_ticks,
            heartbeat_tick: tuning.heartbeat_ticks,
            min_election_tick: tuning.election_ticks,
            max_election_tick: 2 * tuning.election_ticks,
            applied: state.index,
            max_size_per_msg: MAX_ENTRIES_BYTES as u64,
            max_inflight_msgs: MAX_INFLIGHT_APPENDS,
            // Without a majority nothing is committed; the bound keeps resent commands from accumulating.
            max_uncommitted_size: MAX_UNCOMMITTED_BYTES,
            check_quorum: true,
            pre_vote: true,
            ..Config::default()
        };
        let raw = RawNode::new(&config, store.clone(), &Logger::root(Discard, o!()));
        let raw = raw.map_err(|error| ReplicaError(error.to_string()))?;
        let engaged = vote != 0 || !stored.is_empty();
        let mut replica = Replica {
            voter,
            engaged,
            raw_node: raw,
            store,
            seed,
            ticks: 0,
            election_ticks: tuning.election_ticks,
            retained_entries: tuning.retained_entries,
            pending_ready: None,
            deferred_messages: Vec::new(),
            needs_catch_up: false,
        };
        replica.reset_election_timeout();
        Ok(replica)
    }

    /// Replaces the election timeout that the consensus generates by itself, which no seed can reproduce. The new one
    /// is derived from the seed, the term, the role and the tick count. It changes every 16 ticks, so that two
    /// replicas cannot keep starting elections at the same time.
    fn reset_election_timeout(&mut self) {
        let state_hash =
            (self.raw_node.raft.term << 8) ^ ((self.ticks / 16) << 3) ^ self.raw_node.raft.state as u64;
        let ticks =
            self.election_ticks + Rng::with_seed(self.seed ^ state_hash).usize(0..self.election_ticks);
        self.raw_node.raft.set_randomized_election_timeout(ticks);
    }

    /// Whether a disk write is in progress.
    pub fn is_saving(&self) -> bool {
        self.pending_ready.is_some()
    }

    /// Whether the replica is the leader of its term.
    pub fn is_leader(&self) -> bool {
        self.raw_node.raft.state == StateRole::Leader
    }

    /// Voter number of the leader, if one is known.
    pub fn leader(&self) -> Option<u64> {
        Some(self.raw_node.raft.leader_id).filter(|&leader| leader != 0)
    }

    /// The last stored term and vote.
    pub fn term_and_vote(&self) -> (u64, u64) {
        let hard = self.store.hard_state();
        (hard.term, hard.vote)
    }

    /// One line that describes the replica's state, for diagnostics.
    pub fn debug_summary(&self) -> String {
        let raft = &self.raw_node.raft;
        let (state, term, committed) = (raft.state, raft.term, raft.raft_log.committed);
        let (needs_catch_up, saving) = (self.needs_catch_up, self.pending_ready.is_some());
        let (deferred, voters) =
            (self.deferred_messages.len(), raft.prs().conf().voters().ids().iter().count());
        format!(
            "{state:?} in term {term}, last index {}, committed {committed}, needs catch-up {needs_catch_up}, \
             saving {saving}, {deferred} deferred messages, {voters} voters",
            self.last_index()
        )
    }

    /// The current term.
    pub fn term(&self) -> u64 {
        self.raw_node.raft.term
    }

    /// The term of the log entry at `index`, or of the base state if the log begins right after `index`.
    pub fn term_at(&self, index: u64) -> Option<u64> {
        self.store.term(index).ok()
    }

    /// Index of the last log entry.
    pub fn last_index(&self) -> u64 {
        self.store.last_index().unwrap_or(0)
    }

    /// Advances the clock of the consensus by one tick. The clock stands still during a disk write.
    pub fn tick(&mut self) {
        if self.pending_ready.is_none() {
            self.raw_node.tick();
            self.ticks += 1;
            self.reset_election_timeout();
        }
    }

    /// Processes a message of another voter, or defers it until the current disk write is durable.
    pub fn step(&mut self, message: RaftMessage) {
        if self.pending_ready.is_some() {
            if self.deferred_messages.len() < MAX_DEFERRED_MESSAGES {
                self.deferred_messages.push(message);
            }
            return;
        }
        // A message of an earlier term must not trigger a catch-up; the consensus answers it.
        let current = message.term() >= self.raw_node.raft.term;
        // A snapshot that the log already covers goes to the consensus, which answers with its commit index. Without
        // that answer the leader would offer the snapshot forever.
        if message.is_snapshot() && message.snapshot_index() > self.raw_node.raft.raft_log.committed {
            self.needs_catch_up |= current;
            return;
        }
        // Entries that are committed beyond the end of this log must be pulled: a heartbeat does not carry them.
        if current && message.is_heartbeat() && message.commit() > self.raw_node.raft.raft_log.last_index() {
            self.needs_catch_up = true;
            return;
        }
        let Some(message) = message.to_protobuf() else { return };
        let log = &self.raw_node.raft.raft_log;
        let mut committed = message.entries.iter().filter(|entry| entry.index <= log.committed);
        if committed.any(|entry| log.term(entry.index).is_ok_and(|term| term != 0 && term != entry.term)) {
            // Committed entries differ, for example after a disk lost a write that it had reported as durable.
            self.needs_catch_up = true;
            return;
        }
        // An error means that the message was late or for another voter, so it can be ignored.
        let _ = self.raw_node.step(message);
        self.reset_election_timeout();
    }

    /// Appends a command to the leader's log. Returns false if the replica is not the leader or cannot take more.
    pub fn propose(&mut self, command: &Command) -> bool {
        if !self.is_leader() || self.pending_ready.is_some() {
            return false;
        }
        let data = postcard::to_stdvec(command).unwrap_or_default();
        self.raw_node.propose(Vec::new(), data).is_ok()
    }

    /// Proposes to add this voter with its node's name, or to remove it if `name` is `None`.
    pub fn propose_voter(&mut self, voter: u64, name: Option<&str>) -> bool {
        if !self.is_leader() || self.pending_ready.is_some() || self.raw_node.raft.has_pending_conf() {
            return false;
        }
        let mut change = ConfChange::default();
        let kind = if name.is_some() { ConfChangeType::AddNode } else { ConfChangeType::RemoveNode };
        change.set_change_type(kind);
        change.node_id = voter;
        change.context = name.unwrap_or_default().as_bytes().to_vec().into();
        self.raw_node.propose_conf_change(Vec::new(), change).is_ok()
    }

    /// Returns the messages, committed entries and disk writes that are ready; empty during a disk write.
    pub fn take_ready(&mut self) -> Output {
        let mut output = Output::default();
        if self.pending_ready.is_some() || !self.raw_node.has_ready() {
            return output;
        }
        let mut ready = self.raw_node.ready();
        output.messages.extend(ready.take_messages().iter().map(RaftMessage::from));
        self.report_snapshots(&output.messages);
        for entry in ready.take_committed_entries() {
            self.convert_committed(&entry, &mut output.committed);
        }
        let hard = ready.hs().map(|hard: &HardState| (hard.term, hard.vote, hard.commit));
        let entries: Vec<RaftEntry> = ready.entries().iter().map(RaftEntry::from).collect();
        self.engaged |= hard.is_some_and(|(_, vote, _)| vote != 0) || !entries.is_empty();
        if !self.store.append(ready.entries()) {
            self.needs_catch_up = true; // unreachable unless the consensus writes entries that leave a gap
        }
        if let Some(hard) = ready.hs() {
            self.store.set_hard_state(hard.clone());
        }
        output.update = Some(DurableUpdate { hard_state: hard, entries });
        self.pending_ready = Some(ready);
        output
    }

    /// Gives up leadership. Called after a pause so long that the other voters may have elected another leader, which
    /// makes earlier acknowledgements worthless.
    pub fn step_down(&mut self) {
        if self.is_leader() {
            let term = self.raw_node.raft.term;
            self.raw_node.raft.become_follower(term, 0);
            self.reset_election_timeout();
        }
    }

    /// Continues after the last [`DurableUpdate`] has become durable.
    pub fn persisted(&mut self) -> Output {
        let mut output = Output::default();
        let Some(mut ready) = self.pending_ready.take() else { return output };
        output.messages.extend(ready.take_persisted_messages().iter().map(RaftMessage::from));
        let mut light = self.raw_node.advance(ready);
        if let Some(commit) = light.commit_index() {
            self.store.set_commit(commit);
        }
        output.messages.extend(light.take_messages().iter().map(RaftMessage::from));
        self.report_snapshots(&output.messages);
        for entry in light.take_committed_entries() {
            self.convert_committed(&entry, &mut output.committed);
        }
        self.raw_node.advance_apply();
        for message in std::mem::take(&mut self.deferred_messages) {
            self.step(message);
        }
        output
    }

    /// Reports snapshots to the consensus as failed, so that the leader keeps trying with entries. A voter that is
    /// too far behind for entries fetches the state itself.
    fn report_snapshots(&mut self, messages: &[RaftMessage]) {
        for message in messages.iter().filter(|message| message.is_snapshot()) {
            self.raw_node.report_snapshot(message.recipient(), raft::SnapshotStatus::Failure);
        }
    }

    /// Converts a committed entry and applies a change of voters to the consensus.
    fn convert_committed(&mut self, entry: &raft::eraftpb::Entry, committed: &mut Vec<Entry>) {
        let what = match entry.get_entry_type() {
            EntryType::EntryNormal if entry.data.is_empty() => EntryPayload::Nothing,
            EntryType::EntryNormal => match postcard::from_bytes(&entry.data) {
                Ok(command) => EntryPayload::Command(command),
                // A version with another encoding wrote the entry. A leader can decode what it proposed itself.
                Err(_) => EntryPayload::Nothing,
            },
            _ => {
                let mut change = ConfChange::default();
                if change.merge_from_bytes(&entry.data).is_err() {
                    EntryPayload::Nothing
                } else {
                    if let Ok(conf) = self.raw_node.apply_conf_change(&change) {
                        self.store.set_conf_state(conf);
                    }
                    let voter = change.node_id;
                    match change.get_change_type() {
                        ConfChangeType::RemoveNode => EntryPayload::Unseat { voter },
                        _ => {
                            let name = String::from_utf8_lossy(&change.context).into_owned();
                            EntryPayload::Seat { voter, name }
                        }
                    }
                }
            }
        };
        committed.push(Entry { index: entry.index, term: entry.term, what });
    }

    /// Discards applied entries except the last [`Tuning::retained_entries`], which all but the slowest nodes have
    /// too. Returns whether it discarded any.
    pub fn compact(&mut self, applied: u64) -> bool {
        let first = self.store.first_index().unwrap_or(0);
        if applied < first + 2 * self.retained_entries || self.pending_ready.is_some() {
            return false;
        }
        self.store.compact(applied - self.retained_entries);
        true
    }

    /// All entries in the log.
    pub fn entries(&self) -> Vec<RaftEntry> {
        let (first, last) = (self.store.first_index().unwrap_or(1), self.last_index());
        if first > last {
            return Vec::new();
        }
        let context = raft::GetEntriesContext::empty(false);
        let entries = self.store.entries(first, last + 1, None, context);
        entries.unwrap_or_default().iter().map(RaftEntry::from).collect()
    }
}
