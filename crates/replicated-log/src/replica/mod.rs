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
pub use store::Store;

const MAX_INFLIGHT: usize = 32; // appends on the way to one voter
const MAX_UNCOMMITTED: u64 = 256 << 10; // bytes of entries
const MAX_WAITING: usize = 64; // messages that wait for the disk

/// What has to be durable before anything that rests on it is sent.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Save {
    /// Term, vote, and how far all is agreed, if that has changed.
    pub hard: Option<(u64, u64, u64)>,
    /// Entries, in place of any that stand at theirs or after.
    pub entries: Vec<RaftEntry>,
}

/// What comes out of a replica.
#[derive(Default)]
pub struct Output {
    /// To other voters.
    pub messages: Vec<RaftMessage>,
    /// Agreed, in order.
    pub agreed: Vec<Entry>,
    /// To be made durable; nothing more comes out until [`Replica::saved`].
    pub save: Option<Save>,
}

/// A replica in a group.
pub struct Replica {
    /// Its number.
    pub voter: u64,
    /// It has voted or stored something: it may not leave its group any more.
    pub engaged: bool,
    raw: RawNode<Store>,
    store: Store,
    seed: u64,
    ticks: u64,
    election: usize,
    keep: u64,
    out: Option<Ready>,
    waiting: Vec<RaftMessage>,
    /// A leader says that the replica is too far behind for entries.
    pub behind: bool,
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
        let store = Store::after(state, hard.0, hard.1);
        let kept: Option<Vec<_>> = entries.iter().map(RaftEntry::entry).collect();
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
            raw,
            store,
            seed,
            ticks: 0,
            election: tuning.election_ticks,
            keep: tuning.retained_entries,
            out: None,
            waiting: Vec::new(),
            behind: false,
        };
        replica.draw();
        Ok(replica)
    }

    /// Replaces the consensus' own draw of the election time, which no seed would give again. It depends on what the
    /// consensus has come to and on nothing that it drew; it changes by and by, so that no two keep step for ever.
    fn draw(&mut self) {
        let of = (self.raw.raft.term << 8) ^ ((self.ticks / 16) << 3) ^ self.raw.raft.state as u64;
        let ticks = self.election + Rng::with_seed(self.seed ^ of).usize(0..self.election);
        self.raw.raft.set_randomized_election_timeout(ticks);
    }

    /// Whether it waits for the disk.
    pub fn is_saving(&self) -> bool {
        self.out.is_some()
    }

    /// Whether it leads.
    pub fn leads(&self) -> bool {
        self.raw.raft.state == StateRole::Leader
    }

    /// The number of the leader, if one is known.
    pub fn leader(&self) -> Option<u64> {
        Some(self.raw.raft.leader_id).filter(|&leader| leader != 0)
    }

    /// Term, vote.
    pub fn hard(&self) -> (u64, u64) {
        let hard = self.store.hard();
        (hard.term, hard.vote)
    }

    /// Everything about it in a line.
    pub fn inside(&self) -> String {
        let raft = &self.raw.raft;
        let (state, term, committed) = (raft.state, raft.term, raft.raft_log.committed);
        let (behind, saving) = (self.behind, self.out.is_some());
        let (waits, voters) = (self.waiting.len(), raft.prs().conf().voters().ids().iter().count());
        format!(
            "{state:?} in {term}, log to {}, agreed {committed}, behind {behind}, saving {saving}, {waits} wait, {voters} voters",
            self.last()
        )
    }

    /// The term it is in.
    pub fn term(&self) -> u64 {
        self.raw.raft.term
    }

    /// The term of what stands at a place of its log, or just before it.
    pub fn term_at(&self, index: u64) -> Option<u64> {
        self.store.term(index).ok()
    }

    /// The last place of its log.
    pub fn last(&self) -> u64 {
        self.store.last_index().unwrap_or(0)
    }

    /// A tick of the consensus' clock; none passes while it waits for the disk.
    pub fn tick(&mut self) {
        if self.out.is_none() {
            self.raw.tick();
            self.ticks += 1;
            self.draw();
        }
    }

    /// A message of another voter.
    pub fn step(&mut self, message: RaftMessage) {
        if self.out.is_some() {
            if self.waiting.len() < MAX_WAITING {
                self.waiting.push(message);
            }
            return;
        }
        // What comes from a term that is over tells nothing; the consensus answers it.
        let current = message.term() >= self.raw.raft.term;
        // A state that is in the log already is answered with how far that goes, or the leader would offer it for ever.
        if message.is_snapshot() && message.snapshot() > self.raw.raft.raft_log.committed {
            self.behind |= current;
            return;
        }
        // What is agreed beyond this log can only be told by entries.
        if current && message.is_heartbeat() && message.commit() > self.raw.raft.raft_log.last_index() {
            self.behind = true;
            return;
        }
        let Some(message) = message.message() else { return };
        let log = &self.raw.raft.raft_log;
        let agreed = message.entries.iter().filter(|entry| entry.index <= log.committed);
        if agreed
            .into_iter()
            .any(|entry| log.term(entry.index).is_ok_and(|own| own != 0 && own != entry.term))
        {
            self.behind = true; // what is agreed differs, as after a disk that lied
            return;
        }
        // Errors say that the message was for somebody else or came late; nothing follows.
        let _ = self.raw.step(message);
        self.draw();
    }

    /// Takes a command to be agreed; false where it does not lead or cannot take more.
    pub fn propose(&mut self, command: &Command) -> bool {
        if !self.leads() || self.out.is_some() {
            return false;
        }
        let data = postcard::to_stdvec(command).unwrap_or_default();
        self.raw.propose(Vec::new(), data).is_ok()
    }

    /// Proposes that a voter comes in or goes.
    pub fn propose_voter(&mut self, voter: u64, name: Option<&str>) -> bool {
        if !self.leads() || self.out.is_some() || self.raw.raft.has_pending_conf() {
            return false;
        }
        let mut change = ConfChange::default();
        let kind = if name.is_some() { ConfChangeType::AddNode } else { ConfChangeType::RemoveNode };
        change.set_change_type(kind);
        change.node_id = voter;
        change.context = name.unwrap_or_default().as_bytes().to_vec().into();
        self.raw.propose_conf_change(Vec::new(), change).is_ok()
    }

    /// What has come of all that since the last time.
    pub fn out(&mut self) -> Output {
        let mut out = Output::default();
        if self.out.is_some() || !self.raw.has_ready() {
            return out;
        }
        let mut ready = self.raw.ready();
        out.messages.extend(ready.take_messages().iter().map(RaftMessage::from));
        self.tell_of_snapshots(&out.messages);
        for entry in ready.take_committed_entries() {
            self.agree(&entry, &mut out.agreed);
        }
        let hard = ready.hs().map(|hard: &HardState| (hard.term, hard.vote, hard.commit));
        let entries: Vec<RaftEntry> = ready.entries().iter().map(RaftEntry::from).collect();
        self.engaged |= hard.is_some_and(|(_, vote, _)| vote != 0) || !entries.is_empty();
        if !self.store.append(ready.entries()) {
            self.behind = true; // cannot be: the consensus writes only what follows
        }
        if let Some(hard) = ready.hs() {
            self.store.set_hard(hard.clone());
        }
        out.save = Some(Save { hard, entries });
        self.out = Some(ready);
        out
    }

    /// A leader that was away for so long that others may have gone on without it leads no more: what it was told
    /// before counts for nothing.
    pub fn step_down(&mut self) {
        if self.leads() {
            let term = self.raw.raft.term;
            self.raw.raft.become_follower(term, 0);
            self.draw();
        }
    }

    /// All that was to be saved is durable.
    pub fn saved(&mut self) -> Output {
        let mut out = Output::default();
        let Some(mut ready) = self.out.take() else { return out };
        out.messages.extend(ready.take_persisted_messages().iter().map(RaftMessage::from));
        let mut light = self.raw.advance(ready);
        if let Some(commit) = light.commit_index() {
            self.store.commit(commit);
        }
        out.messages.extend(light.take_messages().iter().map(RaftMessage::from));
        self.tell_of_snapshots(&out.messages);
        for entry in light.take_committed_entries() {
            self.agree(&entry, &mut out.agreed);
        }
        self.raw.advance_apply();
        for message in std::mem::take(&mut self.waiting) {
            self.step(message);
        }
        out
    }

    /// A voter that is too far behind fetches the state by itself: the leader goes on trying with entries.
    fn tell_of_snapshots(&mut self, messages: &[RaftMessage]) {
        for message in messages.iter().filter(|message| message.is_snapshot()) {
            self.raw.report_snapshot(message.to(), raft::SnapshotStatus::Failure);
        }
    }

    fn agree(&mut self, entry: &raft::eraftpb::Entry, agreed: &mut Vec<Entry>) {
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
                    if let Ok(conf) = self.raw.apply_conf_change(&change) {
                        self.store.set_conf(conf);
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
        if applied < first + 2 * self.keep || self.out.is_some() {
            return false;
        }
        self.store.compact(applied - self.keep);
        true
    }

    /// All entries that it keeps.
    pub fn entries(&self) -> Vec<RaftEntry> {
        let (first, last) = (self.store.first_index().unwrap_or(1), self.last());
        if first > last {
            return Vec::new();
        }
        let context = raft::GetEntriesContext::empty(false);
        let entries = self.store.entries(first, last + 1, None, context);
        entries.unwrap_or_default().iter().map(RaftEntry::from).collect()
    }
}
