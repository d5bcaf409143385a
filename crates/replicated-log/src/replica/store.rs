//! The log storage that the consensus reads: entries in memory after a base state that replaces all earlier entries.

use raft::eraftpb::{ConfState, Entry, HardState, Snapshot};
use raft::storage::MemStorage;
use raft::{GetEntriesContext, RaftState, Storage};

use crate::applied::AppliedState;

/// The log of a replica. Clones share the same log.
#[derive(Clone)]
pub struct LogStorage(MemStorage);

impl LogStorage {
    /// A log that begins after `state`, of a voter with this term and vote.
    pub fn with_base_state(state: &AppliedState, term: u64, vote: u64) -> Self {
        let store = MemStorage::new();
        let mut base = Snapshot::default();
        let meta = base.mut_metadata();
        (meta.index, meta.term) = (state.index, state.term);
        meta.set_conf_state(conf_state(state));
        {
            let mut core = store.wl();
            // This fails only for a snapshot older than the log, and the log is empty.
            let _ = core.apply_snapshot(base);
            let hard = core.mut_hard_state();
            (hard.term, hard.vote, hard.commit) = (term.max(state.term), vote, state.index);
        }
        LogStorage(store)
    }

    /// Appends entries and overwrites existing ones from the first index on. Returns false if they would leave a gap.
    pub fn append(&self, entries: &[Entry]) -> bool {
        let Some(first) = entries.first() else { return true };
        let (from, to) = (self.0.first_index(), self.0.last_index());
        let follows =
            matches!((from, to), (Ok(from), Ok(to)) if from <= first.index && first.index <= to + 1);
        follows && self.0.wl().append(entries).is_ok()
    }

    /// Sets term, vote and commit index.
    pub fn set_hard_state(&self, hard: HardState) {
        self.0.wl().set_hardstate(hard);
    }

    /// Sets the commit index.
    pub fn set_commit(&self, index: u64) {
        self.0.wl().mut_hard_state().commit = index;
    }

    /// Sets the voters.
    pub fn set_conf_state(&self, conf: ConfState) {
        self.0.wl().set_conf_state(conf);
    }

    /// Discards entries before `index`.
    pub fn compact(&self, index: u64) {
        // This fails only for an index beyond the log, which callers never pass.
        let _ = self.0.wl().compact(index);
    }

    /// Term, vote and commit index.
    pub fn hard_state(&self) -> HardState {
        self.0.initial_state().map(|state| state.hard_state).unwrap_or_default()
    }
}

/// The voters that this state lists.
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
