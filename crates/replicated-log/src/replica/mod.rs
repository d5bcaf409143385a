//! A voter's replica of the log: the consensus, with what it stores and sends taken apart.
//!
//! The crate `raft` panics where its own state contradicts itself, as after a disk that lied. What could bring that
//! about from outside is checked before it is stepped.

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

const MAX_INFLIGHT: usize = 32; // appends on the way to one voter
const MAX_UNCOMMITTED: u64 = 256 << 10; // bytes of entries
const MAX_WAITING: usize = 64; // messages that wait for the disk

/// What has to be durable before anything that rests on it is sent.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct DurableUpdate {
    /// Term, vote, and how far all is agreed, if that has changed.
    pub hard_state: Option<(u64, u64, u64)>,
    /// Entries, in place of any that stand at theirs or after.
    pub entries: Vec<RaftEntry>,
}

/// What comes out of a replica.
#[derive(Default)]
pub struct Output {
    /// To other voters.
    pub messages: Vec<RaftMessage>,
    /// Agreed, in order.
    pub committed: Vec<Entry>,
    /// To be made durable; nothing more comes out until [`Replica::saved`].
    pub update: Option<DurableUpdate>,
}

/// A replica in a group.
pub struct Replica {
    /// Its number.
    pub voter: u64,
    /// It has voted or stored something: it may not leave its group any more.
    pub engaged: bool,
    raw_node: RawNode<LogStorage>,
    store: LogStorage,
    seed: u64,
    ticks: u64,
    election_ticks: usize,
    retained_entries: u64,
    pending_ready: Option<Ready>,
    deferred_messages: Vec<RaftMessage>,
    /// A leader says that the replica is too far behind for entries.
    pub needs_state: bool,
}

/// Why a replica cannot be started.
#[derive(Debug, thiserror::Error)]
#[error("the consensus does not start from what was kept: {0}; it is set aside and the node follows")]
pub struct ReplicaError(String);

impl Replica {
    /// A replica whose log begins after `state`, with `entries` behind it.
    pub fn new(
        voter: u64, state: &AppliedState, hard: (u64, u64), entries: &[RaftEntry], tuning: &Tuning, seed: u64,
    ) -> Result<Self, ReplicaError> {
        let store = LogStorage::with_base_state(state, hard.0, hard.1);
        let kept: Option<Vec<_>> = entries.iter().map(RaftEntry::to_protobuf).collect();
        let kept = kept.ok_or_else(|| ReplicaError("an entry of no kind".to_owned()))?;
        let follow =
            kept.windows(2).all(|pair| pair[1].index == pair[0].index + 1 && pair[1].term >= pair[0].term);
        if !follow || !store.append(&kept) {
            return Err(ReplicaError("its entries do not follow each other".to_owned()));
        }
        let config = Config {
            id: voter,
            election_tick: tuning.election_ticks,
            heartbeat_tick: tuning.heartbeat_ticks,
            min_election_tick: tuning.election_ticks,
            max_election_tick: 2 * tuning.election_ticks,
            applied: state.index,
            max_size_per_msg: MAX_ENTRIES_BYTES as u64,
            max_inflight_msgs: MAX_INFLIGHT,
            // Without a majority nothing is agreed, and what is sent again and again must not pile up.
            max_uncommitted_size: MAX_UNCOMMITTED,
            check_quorum: true,
            pre_vote: true,
            ..Config::default()
        };
        let raw = RawNode::new(&config, store.clone(), &Logger::root(Discard, o!()));
        let raw = raw.map_err(|error| ReplicaError(error.to_string()))?;
        let engaged = hard.1 != 0 || !kept.is_empty();
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
            needs_state: false,
        };
        replica.reset_election_timeout();
        Ok(replica)
    }

    /// Replaces the consensus' own draw of the election time, which no seed would give again. It depends on what the
    /// consensus has come to and on nothing that it drew; it changes by and by, so that no two keep step for ever.
    fn reset_election_timeout(&mut self) {
        let of = (self.raw_node.raft.term << 8) ^ ((self.ticks / 16) << 3) ^ self.raw_node.raft.state as u64;
        let ticks = self.election_ticks + Rng::with_seed(self.seed ^ of).usize(0..self.election_ticks);
        self.raw_node.raft.set_randomized_election_timeout(ticks);
    }

    /// Whether it waits for the disk.
    pub fn is_saving(&self) -> bool {
        self.pending_ready.is_some()
    }

    /// Whether it leads.
    pub fn is_leader(&self) -> bool {
        self.raw_node.raft.state == StateRole::Leader
    }

    /// The number of the leader, if one is known.
    pub fn leader(&self) -> Option<u64> {
        Some(self.raw_node.raft.leader_id).filter(|&leader| leader != 0)
    }

    /// Term, vote.
    pub fn term_and_vote(&self) -> (u64, u64) {
        let hard = self.store.hard_state();
        (hard.term, hard.vote)
    }

    /// Everything about it in a line.
    pub fn debug_summary(&self) -> String {
        let raft = &self.raw_node.raft;
        let (state, term, committed) = (raft.state, raft.term, raft.raft_log.committed);
        let (behind, saving) = (self.needs_state, self.pending_ready.is_some());
        let (waits, voters) = (self.deferred_messages.len(), raft.prs().conf().voters().ids().iter().count());
        format!(
            "{state:?} in {term}, log to {}, agreed {committed}, behind {behind}, saving {saving}, {waits} wait, {voters} voters",
            self.last_index()
        )
    }

    /// The term it is in.
    pub fn term(&self) -> u64 {
        self.raw_node.raft.term
    }

    /// The term of what stands at a place of its log, or just before it.
    pub fn term_at(&self, index: u64) -> Option<u64> {
        self.store.term(index).ok()
    }

    /// The last place of its log.
    pub fn last_index(&self) -> u64 {
        self.store.last_index().unwrap_or(0)
    }

    /// A tick of the consensus' clock; none passes while it waits for the disk.
    pub fn tick(&mut self) {
        if self.pending_ready.is_none() {
            self.raw_node.tick();
            self.ticks += 1;
            self.reset_election_timeout();
        }
    }

    /// A message of another voter.
    pub fn step(&mut self, message: RaftMessage) {
        if self.pending_ready.is_some() {
            if self.deferred_messages.len() < MAX_WAITING {
                self.deferred_messages.push(message);
            }
            return;
        }
        // What comes from a term that is over tells nothing; the consensus answers it.
        let current = message.term() >= self.raw_node.raft.term;
        // A state that is in the log already is answered with how far that goes, or the leader would offer it for ever.
        if message.is_snapshot() && message.snapshot_index() > self.raw_node.raft.raft_log.committed {
            self.needs_state |= current;
            return;
        }
        // What is agreed beyond this log can only be told by entries.
        if current && message.is_heartbeat() && message.commit() > self.raw_node.raft.raft_log.last_index() {
            self.needs_state = true;
            return;
        }
        let Some(message) = message.to_protobuf() else { return };
        let log = &self.raw_node.raft.raft_log;
        let agreed = message.entries.iter().filter(|entry| entry.index <= log.committed);
        if agreed
            .into_iter()
            .any(|entry| log.term(entry.index).is_ok_and(|own| own != 0 && own != entry.term))
        {
            self.needs_state = true; // what is agreed differs, as after a disk that lied
            return;
        }
        // Errors say that the message was for somebody else or came late; nothing follows.
        let _ = self.raw_node.step(message);
        self.reset_election_timeout();
    }

    /// Takes a command to be agreed; false where it does not lead or cannot take more.
    pub fn propose(&mut self, command: &Command) -> bool {
        if !self.is_leader() || self.pending_ready.is_some() {
            return false;
        }
        let data = postcard::to_stdvec(command).unwrap_or_default();
        self.raw_node.propose(Vec::new(), data).is_ok()
    }

    /// Proposes that a voter comes in or goes.
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

    /// What has come of all that since the last time.
    pub fn take_ready(&mut self) -> Output {
        let mut out = Output::default();
        if self.pending_ready.is_some() || !self.raw_node.has_ready() {
            return out;
        }
        let mut ready = self.raw_node.ready();
        out.messages.extend(ready.take_messages().iter().map(RaftMessage::from));
        self.report_snapshots(&out.messages);
        for entry in ready.take_committed_entries() {
            self.convert_committed(&entry, &mut out.committed);
        }
        let hard = ready.hs().map(|hard: &HardState| (hard.term, hard.vote, hard.commit));
        let entries: Vec<RaftEntry> = ready.entries().iter().map(RaftEntry::from).collect();
        self.engaged |= hard.is_some_and(|(_, vote, _)| vote != 0) || !entries.is_empty();
        if !self.store.append(ready.entries()) {
            self.needs_state = true; // cannot be: the consensus writes only what follows
        }
        if let Some(hard) = ready.hs() {
            self.store.set_hard_state(hard.clone());
        }
        out.update = Some(DurableUpdate { hard_state: hard, entries });
        self.pending_ready = Some(ready);
        out
    }

    /// A leader that was away for so long that others may have gone on without it leads no more: what it was told
    /// before counts for nothing.
    pub fn step_down(&mut self) {
        if self.is_leader() {
            let term = self.raw_node.raft.term;
            self.raw_node.raft.become_follower(term, 0);
            self.reset_election_timeout();
        }
    }

    /// All that was to be saved is durable.
    pub fn persisted(&mut self) -> Output {
        let mut out = Output::default();
        let Some(mut ready) = self.pending_ready.take() else { return out };
        out.messages.extend(ready.take_persisted_messages().iter().map(RaftMessage::from));
        let mut light = self.raw_node.advance(ready);
        if let Some(commit) = light.commit_index() {
            self.store.set_commit(commit);
        }
        out.messages.extend(light.take_messages().iter().map(RaftMessage::from));
        self.report_snapshots(&out.messages);
        for entry in light.take_committed_entries() {
            self.convert_committed(&entry, &mut out.committed);
        }
        self.raw_node.advance_apply();
        for message in std::mem::take(&mut self.deferred_messages) {
            self.step(message);
        }
        out
    }

    /// A voter that is too far behind fetches the state by itself: the leader goes on trying with entries.
    fn report_snapshots(&mut self, messages: &[RaftMessage]) {
        for message in messages.iter().filter(|message| message.is_snapshot()) {
            self.raw_node.report_snapshot(message.recipient(), raft::SnapshotStatus::Failure);
        }
    }

    fn convert_committed(&mut self, entry: &raft::eraftpb::Entry, agreed: &mut Vec<Entry>) {
        let what = match entry.get_entry_type() {
            EntryType::EntryNormal if entry.data.is_empty() => EntryPayload::Nothing,
            EntryType::EntryNormal => match postcard::from_bytes(&entry.data) {
                Ok(command) => EntryPayload::Command(command),
                Err(_) => EntryPayload::Nothing, // of a version that writes another form; the leader checks its own
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
        agreed.push(Entry { index: entry.index, term: entry.term, what });
    }

    /// Forgets entries that all but the slowest have, up to what has been applied.
    pub fn compact(&mut self, applied: u64) -> bool {
        let first = self.store.first_index().unwrap_or(0);
        if applied < first + 2 * self.retained_entries || self.pending_ready.is_some() {
            return false;
        }
        self.store.compact(applied - self.retained_entries);
        true
    }

    /// All entries that it keeps.
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
