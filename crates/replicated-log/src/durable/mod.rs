//! The part of the log that a node stores on its disk, and its validation at the next start.
//!
//! The files are those of [`merlinfold_store`], each replaced as a whole: `agree` holds the metadata of the replica and
//! the range of its log, `agree-state` the state before the log, and `agree-log-N` the entries, 64 per file. The
//! metadata is written last. If entries are overwritten, it is also written first with a shorter range, so that the
//! entries behind the new ones are never trusted.

use std::collections::BTreeMap;

use merlinfold_store::{Disk, File, StoreError};
use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::applied::AppliedState;
use crate::replica::DurableUpdate;
use crate::wire::{Group, RaftEntry};

/// Number of entries in a segment file.
pub const SEGMENT_ENTRIES: u64 = 64;
/// Number of segment files, whose names are reused in turn.
const MAX_SEGMENT_FILES: u64 = 64;
const FORMAT_VERSION: u8 = 1;
const METADATA_FILE: &str = "agree";
const STATE_FILE: &str = "agree-state";

/// Content of the metadata file.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicaMetadata {
    /// The group that the replica belongs to.
    pub group: Group,
    /// Voter number of the replica; 0 if the node has none.
    pub voter: u64,
    /// How often the node has started with this replica.
    pub starts: u64,
    /// Term, vote and commit index.
    pub hard: (u64, u64, u64),
    /// First and last index of the log; entries outside this range are not trusted.
    pub log: (u64, u64),
    /// The highest start count seen from each voter, by voter number.
    pub seen: BTreeMap<u64, u64>,
}

/// A file to be replaced.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FileWrite {
    name: String,
    bytes: Vec<u8>,
}

impl FileWrite {
    /// Replaces the file. If this returns without an error, the new content survives a crash.
    pub fn save(&self, disk: &dyn Disk, owner: &str) -> Result<(), StoreError> {
        File::new(&self.name, owner, FORMAT_VERSION).save(disk, &self.bytes)
    }
}

/// Why the stored log is not trusted. The node continues under a new voter number and fetches the state.
#[derive(Debug, Error)]
pub enum LoadError {
    /// A file cannot be read or is invalid.
    #[error(
        "{file}: {error}; no action is needed if the disk is healthy, the state is fetched from other nodes"
    )]
    File {
        /// Name of the file.
        file: String,
        /// What is wrong with it.
        error: StoreError,
    },
    /// The entry at this index is missing.
    #[error("log entry {0} is missing or out of order; no action is needed, the state is fetched from other nodes")]
    MissingEntry(u64),
    /// This part cannot be decoded.
    #[error("{0} cannot be decoded; no action is needed, the state is fetched from other nodes")]
    Malformed(&'static str),
}

/// The log as it was stored on a disk.
#[derive(Clone, Debug, Default)]
pub struct StoredLog {
    /// Metadata of the replica.
    pub meta: ReplicaMetadata,
    /// The state before the log.
    pub state: AppliedState,
    /// The entries of the log.
    pub entries: Vec<RaftEntry>,
}

/// Reads and decodes a file; `None` if it does not exist. `what` names its content in errors.
fn load_file<T: serde::de::DeserializeOwned>(
    disk: &dyn Disk, owner: &str, name: &str, what: &'static str,
) -> Result<Option<T>, LoadError> {
    let bytes = File::new(name, owner, FORMAT_VERSION).load::<Vec<u8>>(disk);
    let bytes = bytes.map_err(|error| LoadError::File { file: name.to_owned(), error })?;
    bytes.map(|bytes| postcard::from_bytes(&bytes).map_err(|_| LoadError::Malformed(what))).transpose()
}

impl StoredLog {
    /// Reads all files. If some of them are not trusted, the second value says why. A state that can be decoded is
    /// returned even then: it contains committed entries only, so it is correct.
    pub fn load(disk: &dyn Disk, owner: &str) -> (StoredLog, Option<LoadError>) {
        let state = match load_file::<AppliedState>(disk, owner, STATE_FILE, "the state") {
            Ok(state) => state,
            Err(error) => return (StoredLog::default(), Some(error)),
        };
        let with_state_only = |state: Option<AppliedState>| StoredLog {
            state: state.unwrap_or_default(),
            ..StoredLog::default()
        };
        let meta = match load_file::<ReplicaMetadata>(disk, owner, METADATA_FILE, "the replica metadata") {
            Ok(Some(meta)) => meta,
            Ok(None) => return (with_state_only(state), None),
            Err(error) => return (with_state_only(state), Some(error)),
        };
        let Some(state) = state else {
            return (with_state_only(None), Some(LoadError::Malformed("the state")));
        };
        match load_entries(disk, owner, &meta, state.index) {
            Ok(entries) => (StoredLog { meta, state, entries }, None),
            Err(error) => (StoredLog { state, ..StoredLog::default() }, Some(error)),
        }
    }
}

/// Reads the entries after `base` and checks that they are complete and that their terms do not decrease.
fn load_entries(
    disk: &dyn Disk, owner: &str, meta: &ReplicaMetadata, base: u64,
) -> Result<Vec<RaftEntry>, LoadError> {
    let (mut next, last) = (base + 1, meta.log.1);
    let mut entries: Vec<RaftEntry> = Vec::new();
    if meta.log.0 > next {
        return Err(LoadError::MissingEntry(next));
    }
    while next <= last {
        let name = segment_name(next / SEGMENT_ENTRIES);
        let stored: Vec<RaftEntry> =
            load_file(disk, owner, &name, "the log")?.ok_or(LoadError::MissingEntry(next))?;
        let segment_start = next;
        for entry in
            stored.into_iter().skip_while(|entry| entry.index < segment_start).take_while(|e| e.index <= last)
        {
            let term = entries.last().map_or(0, |entry| entry.term);
            if entry.index != next || entry.term < term {
                return Err(LoadError::MissingEntry(next));
            }
            entries.push(entry);
            next += 1;
        }
        if next == segment_start {
            return Err(LoadError::MissingEntry(next));
        }
    }
    Ok(entries)
}

/// Names are reused in turn, which bounds the number of files. The log never needs half of them at a time.
fn segment_name(number: u64) -> String {
    format!("agree-log-{}", number % MAX_SEGMENT_FILES)
}

fn file_write(name: &str, value: &impl Serialize) -> FileWrite {
    FileWrite { name: name.to_owned(), bytes: postcard::to_stdvec(value).unwrap_or_default() }
}

/// The content of a node's disk once all writes requested so far are durable.
#[derive(Clone, Debug, Default)]
pub struct DiskImage {
    /// Content of the metadata file.
    pub meta: ReplicaMetadata,
    entries: BTreeMap<u64, RaftEntry>,
}

impl DiskImage {
    /// An image with this metadata and these entries.
    pub fn new(meta: ReplicaMetadata, entries: Vec<RaftEntry>) -> Self {
        DiskImage { meta, entries: entries.into_iter().map(|entry| (entry.index, entry)).collect() }
    }

    /// The writes for a replica whose log begins after `state`.
    pub fn reset(&mut self, state: &AppliedState, entries: Vec<RaftEntry>) -> Vec<FileWrite> {
        self.entries = entries.into_iter().map(|entry| (entry.index, entry)).collect();
        self.set_log_range(state.index);
        let mut writes = vec![file_write(STATE_FILE, state)];
        writes.extend(self.segment_writes(state.index + 1));
        writes.push(file_write(METADATA_FILE, &self.meta));
        writes
    }

    /// The writes for an update of the consensus.
    pub fn record(&mut self, update: &DurableUpdate) -> Vec<FileWrite> {
        let mut writes = Vec::new();
        if let Some(hard) = update.hard_state {
            self.meta.hard = hard;
        }
        if let Some(first) = update.entries.first().map(|entry| entry.index) {
            if first <= self.meta.log.1 {
                self.meta.log.1 = first - 1;
                writes.push(file_write(METADATA_FILE, &self.meta));
            }
            self.entries.split_off(&first);
            self.entries.extend(update.entries.iter().map(|entry| (entry.index, entry.clone())));
            self.meta.log.1 = self.entries.keys().next_back().copied().unwrap_or(first - 1);
            writes.extend(self.segment_writes(first));
        }
        writes.push(file_write(METADATA_FILE, &self.meta));
        writes
    }

    /// The writes that replace the entries up to the index of `state` by `state`.
    pub fn compact(&mut self, state: &AppliedState) -> Vec<FileWrite> {
        self.entries = self.entries.split_off(&(state.index + 1));
        self.meta.log = (state.index + 1, self.meta.log.1.max(state.index));
        vec![file_write(STATE_FILE, state), file_write(METADATA_FILE, &self.meta)]
    }

    /// The write of the metadata file alone.
    pub fn metadata(&self) -> Vec<FileWrite> {
        vec![file_write(METADATA_FILE, &self.meta)]
    }

    /// Sets the range of the log to the entries after `base`.
    fn set_log_range(&mut self, base: u64) {
        let last = self.entries.keys().next_back().copied();
        self.meta.log = (base + 1, last.unwrap_or(base));
    }

    /// The writes of all segments from the one that contains the index `from`.
    fn segment_writes(&self, from: u64) -> Vec<FileWrite> {
        let mut writes = Vec::new();
        let mut number = from / SEGMENT_ENTRIES;
        while self.entries.range(number * SEGMENT_ENTRIES..).next().is_some() {
            let segment = self.entries.range(number * SEGMENT_ENTRIES..(number + 1) * SEGMENT_ENTRIES);
            let segment: Vec<&RaftEntry> = segment.map(|(_, entry)| entry).collect();
            if !segment.is_empty() {
                writes.push(file_write(&segment_name(number), &segment));
            }
            number += 1;
        }
        writes
    }
}
