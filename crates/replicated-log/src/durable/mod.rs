//! What a node keeps of the log on its disk, and what it believes of that at its next start.
//!
//! Files of [`merlinfold_store`], each replaced as a whole: `agree` says which replica it is and how far its log goes,
//! `agree-state` holds the state before the log, `agree-log-N` its entries, 64 a file. The first is written last; where
//! entries are taken back, also first, so that what stands behind them is never believed.

use std::collections::BTreeMap;

use merlinfold_store::{Disk, File, StoreError as DiskFault};
use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::applied::AppliedState;
use crate::replica::DurableUpdate;
use crate::wire::{Group, RaftEntry};

/// Entries in a file.
pub const SEGMENT_ENTRIES: u64 = 64;
const MAX_SEGMENT_FILES: u64 = 64;
const FORMAT_VERSION: u8 = 1;
const METADATA_FILE: &str = "agree";
const STATE_FILE: &str = "agree-state";

/// The first file.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicaMetadata {
    /// The log.
    pub group: Group,
    /// The number of the replica; 0: none.
    pub voter: u64,
    /// How often the node has started with that replica.
    pub starts: u64,
    /// Term, vote and how far all is agreed.
    pub hard: (u64, u64, u64),
    /// The first and the last place of the log; behind that nothing is believed.
    pub log: (u64, u64),
    /// The last start that was heard of, by number of the voter.
    pub seen: BTreeMap<u64, u64>,
}

/// One file to be replaced.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FileWrite {
    name: String,
    bytes: Vec<u8>,
}

impl FileWrite {
    /// Replaces it. Without a fault it survives a crash.
    pub fn save(&self, disk: &dyn Disk, owner: &str) -> Result<(), DiskFault> {
        File::new(&self.name, owner, FORMAT_VERSION).save(disk, &self.bytes)
    }
}

/// Why what stands on the disk is not believed. The node begins as a voter with a new number and fetches the state.
#[derive(Debug, Error)]
pub enum LoadError {
    /// A file cannot be believed.
    #[error("{file}: {fault}; if the disk is well nothing is to be done, the state is fetched from others")]
    File {
        /// Which file.
        file: String,
        /// What is wrong with it.
        fault: DiskFault,
    },
    /// Entries are missing.
    #[error("entry {0} is missing or out of order; nothing is to be done, the state is fetched from others")]
    MissingEntry(u64),
    /// Something cannot be read.
    #[error("{0} is of another form; nothing is to be done, the state is fetched from others")]
    Malformed(&'static str),
}

/// What was kept.
#[derive(Clone, Debug, Default)]
pub struct StoredLog {
    /// The replica.
    pub meta: ReplicaMetadata,
    /// The state before the log.
    pub state: AppliedState,
    /// The log.
    pub entries: Vec<RaftEntry>,
}

fn load_file<T: serde::de::DeserializeOwned>(
    disk: &dyn Disk, owner: &str, name: &str, what: &'static str,
) -> Result<Option<T>, LoadError> {
    let bytes = File::new(name, owner, FORMAT_VERSION).load::<Vec<u8>>(disk);
    let bytes = bytes.map_err(|fault| LoadError::File { file: name.to_owned(), fault })?;
    bytes.map(|bytes| postcard::from_bytes(&bytes).map_err(|_| LoadError::Malformed(what))).transpose()
}

impl StoredLog {
    /// Reads all; with it, why it is not believed, if so. A state that can be read is right even then: it is agreed.
    pub fn load(disk: &dyn Disk, owner: &str) -> (StoredLog, Option<LoadError>) {
        let state = match load_file::<AppliedState>(disk, owner, STATE_FILE, "the state") {
            Ok(state) => state,
            Err(doubt) => return (StoredLog::default(), Some(doubt)),
        };
        let only = |state: Option<AppliedState>| StoredLog {
            state: state.unwrap_or_default(),
            ..StoredLog::default()
        };
        let meta = match load_file::<ReplicaMetadata>(disk, owner, METADATA_FILE, "the seat") {
            Ok(Some(meta)) => meta,
            Ok(None) => return (only(state), None),
            Err(doubt) => return (only(state), Some(doubt)),
        };
        let Some(state) = state else { return (only(None), Some(LoadError::Malformed("the state"))) };
        match load_entries(disk, owner, &meta, state.index) {
            Ok(entries) => (StoredLog { meta, state, entries }, None),
            Err(doubt) => (StoredLog { state, ..StoredLog::default() }, Some(doubt)),
        }
    }
}

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
        let before = next;
        for entry in
            stored.into_iter().skip_while(|entry| entry.index < before).take_while(|e| e.index <= last)
        {
            let term = entries.last().map_or(0, |entry| entry.term);
            if entry.index != next || entry.term < term {
                return Err(LoadError::MissingEntry(next));
            }
            entries.push(entry);
            next += 1;
        }
        if next == before {
            return Err(LoadError::MissingEntry(next));
        }
    }
    Ok(entries)
}

/// Names go round, so that no more files than these ever stand there: the log never holds half as many.
fn segment_name(number: u64) -> String {
    format!("agree-log-{}", number % MAX_SEGMENT_FILES)
}

fn file_write(name: &str, value: &impl Serialize) -> FileWrite {
    FileWrite { name: name.to_owned(), bytes: postcard::to_stdvec(value).unwrap_or_default() }
}

/// What a node's disk holds, as far as it has been told.
#[derive(Clone, Debug, Default)]
pub struct DiskImage {
    /// The first file.
    pub meta: ReplicaMetadata,
    entries: BTreeMap<u64, RaftEntry>,
}

impl DiskImage {
    /// Of a replica that has just been started, or of what was kept.
    pub fn new(meta: ReplicaMetadata, entries: Vec<RaftEntry>) -> Self {
        DiskImage { meta, entries: entries.into_iter().map(|entry| (entry.index, entry)).collect() }
    }

    /// The files for a replica that begins after this state.
    pub fn reset(&mut self, state: &AppliedState, entries: Vec<RaftEntry>) -> Vec<FileWrite> {
        self.entries = entries.into_iter().map(|entry| (entry.index, entry)).collect();
        self.set_log_range(state.index);
        let mut writes = vec![file_write(STATE_FILE, state)];
        writes.extend(self.segment_writes(state.index + 1));
        writes.push(file_write(METADATA_FILE, &self.meta));
        writes
    }

    /// The files for what the consensus wants kept.
    pub fn record(&mut self, save: &DurableUpdate) -> Vec<FileWrite> {
        let mut writes = Vec::new();
        if let Some(hard) = save.hard_state {
            self.meta.hard = hard;
        }
        if let Some(first) = save.entries.first().map(|entry| entry.index) {
            if first <= self.meta.log.1 {
                self.meta.log.1 = first - 1;
                writes.push(file_write(METADATA_FILE, &self.meta));
            }
            self.entries.split_off(&first);
            self.entries.extend(save.entries.iter().map(|entry| (entry.index, entry.clone())));
            self.meta.log.1 = self.entries.keys().next_back().copied().unwrap_or(first - 1);
            writes.extend(self.segment_writes(first));
        }
        writes.push(file_write(METADATA_FILE, &self.meta));
        writes
    }

    /// The files for a state that takes the place of the entries in it.
    pub fn compact(&mut self, state: &AppliedState) -> Vec<FileWrite> {
        self.entries = self.entries.split_off(&(state.index + 1));
        self.meta.log = (state.index + 1, self.meta.log.1.max(state.index));
        vec![file_write(STATE_FILE, state), file_write(METADATA_FILE, &self.meta)]
    }

    /// The first file alone.
    pub fn metadata(&self) -> Vec<FileWrite> {
        vec![file_write(METADATA_FILE, &self.meta)]
    }

    fn set_log_range(&mut self, base: u64) {
        let last = self.entries.keys().next_back().copied();
        self.meta.log = (base + 1, last.unwrap_or(base));
    }

    fn segment_writes(&self, from: u64) -> Vec<FileWrite> {
        let mut writes = Vec::new();
        let mut number = from / SEGMENT_ENTRIES;
        while self.entries.range(number * SEGMENT_ENTRIES..).next().is_some() {
            let of = self.entries.range(number * SEGMENT_ENTRIES..(number + 1) * SEGMENT_ENTRIES);
            let of: Vec<&RaftEntry> = of.map(|(_, entry)| entry).collect();
            if !of.is_empty() {
                writes.push(file_write(&segment_name(number), &of));
            }
            number += 1;
        }
        writes
    }
}
