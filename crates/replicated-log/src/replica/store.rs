//! What the consensus reads of its own log: entries in memory above a state that stands for all before.

use raft::eraftpb::{ConfState, Entry, HardState, Snapshot};
use raft::storage::MemStorage;
use raft::{GetEntriesContext, RaftState, Storage};

use crate::applied::AppliedState;

/// The log of a replica. Clones share it.
#[derive(Clone)]
pub struct LogStorage(MemStorage);

impl LogStorage {
    /// A log that begins after this state, as a voter with this term and vote has it.
    pub fn with_base_state(state: &AppliedState, term: u64, vote: u64) -> Self {
        let store = MemStorage::new();
        let mut base = Snapshot::default();
        let meta = base.mut_metadata();
        (meta.index, meta.term) = (state.index, state.term);
        meta.set_conf_state(conf_state(state));
        {
            let mut core = store.wl();
            // Only fails for what is older than the empty log.
            let _ = core.apply_snapshot(base);
            let hard = core.mut_hard_state();
            (hard.term, hard.vote, hard.commit) = (term.max(state.term), vote, state.index);
        }
        LogStorage(store)
    }

    /// Adds entries, in place of any that stand at theirs; false if they do not follow what is there.
    pub fn append(&self, entries: &[Entry]) -> bool {
        let Some(first) = entries.first() else { return true };
        let (from, to) = (self.0.first_index(), self.0.last_index());
        let follows =
            matches!((from, to), (Ok(from), Ok(to)) if from <= first.index && first.index <= to + 1);
        follows && self.0.wl().append(entries).is_ok()
    }

    /// Keeps term, vote and how far all is agreed.
    pub fn set_hard_state(&self, hard: HardState) {
        self.0.wl().set_hardstate(hard);
    }

    /// Keeps how far all is agreed.
    pub fn set_commit(&self, index: u64) {
        self.0.wl().mut_hard_state().commit = index;
    }

    /// Who votes.
    pub fn set_conf_state(&self, conf: ConfState) {
        self.0.wl().set_conf_state(conf);
    }

    /// Forgets entries before this place.
    pub fn compact(&self, index: u64) {
        // Fails only for what is beyond the log, which is never asked.
        let _ = self.0.wl().compact(index);
    }

    /// Term, vote and how far all is agreed.
    pub fn hard_state(&self) -> HardState {
        self.0.initial_state().map(|state| state.hard_state).unwrap_or_default()
    }
}

/// Who votes by this state.
pub fn conf_state(state: &AppliedState) -> ConfState {
    ConfState { voters: state.voters.keys().copied().collect(), ..ConfState::default() }
}

impl Storage for LogStorage {
    fn initial_state(&self) -> raft::Result<RaftState> {
        self.0.initial_state()
    }

    fn entries(
        &self, low: u64, high: u64, max_size: impl Into<Option<u64>>, context: GetEntriesContext,
    ) -> raft::Result<Vec<Entry>> {
        self.0.entries(low, high, max_size, context)
    }

    fn term(&self, index: u64) -> raft::Result<u64> {
        self.0.term(index)
    }

    fn first_index(&self) -> raft::Result<u64> {
        self.0.first_index()
    }

    fn last_index(&self) -> raft::Result<u64> {
        self.0.last_index()
    }

    fn snapshot(&self, request_index: u64, to: u64) -> raft::Result<Snapshot> {
        self.0.snapshot(request_index, to)
    }
}
