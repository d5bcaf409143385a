//! What a node keeps on its disk to find the fleet again.

use std::net::SocketAddr;

use merlinfold_store::{Disk, File, StoreError};
use serde::{Deserialize, Serialize};

use crate::config::{Nanos, MS};

/// Addresses kept at most.
pub const MAX_ADDRESSES: usize = 4_096;
/// Version of the form, for the file's head.
pub const SAVED_FORMAT_VERSION: u8 = 1;
/// So long a disk may take over a start until the node joins without it.
pub const LOAD_TIMEOUT: Nanos = 5_000 * MS;
/// Time between writes of the view, while it changes.
pub const SAVE_INTERVAL: Nanos = 5_000 * MS;

/// As it stands on the disk.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SavedState {
    /// The fleet.
    pub cluster: String,
    /// How often the node has started.
    pub starts: u32,
    /// Where members were last seen.
    pub addresses: Vec<SocketAddr>,
}

impl SavedState {
    /// The same for a further start in this fleet. What was kept of another fleet is forgotten, its count of starts
    /// not: it only ever rises.
    pub fn into_next_start(mut self, cluster: &str) -> Self {
        if self.cluster != cluster {
            (self.cluster, self.addresses) = (cluster.to_owned(), Vec::new());
        }
        self.starts = self.starts.saturating_add(1);
        self.addresses.truncate(MAX_ADDRESSES);
        self
    }

    /// The number of this start: greater than of any before on this disk, and else a drawn one.
    pub fn run_number(&self, random: u32) -> u64 {
        u64::from(self.starts) << 32 | u64::from(random)
    }
}

/// The file of one node, on whatever disk.
#[derive(Clone, Debug)]
pub struct SavedFile {
    file: File,
    cluster: String,
}

impl SavedFile {
    /// Of the node of this name, in this fleet.
    pub fn new(name: &str, cluster: &str) -> Self {
        SavedFile { file: File::new("fleet", name, SAVED_FORMAT_VERSION), cluster: cluster.to_owned() }
    }

    /// Its name in the folder.
    pub fn name(&self) -> &str {
        self.file.name()
    }

    /// Counts a start, durably, and returns what was kept, with what the disk did wrong. A file that cannot be read
    /// may hold a greater count than this one, so nothing is written over it.
    pub fn record_start(&self, disk: &dyn Disk) -> (SavedState, Vec<StoreError>) {
        let (kept, unread) = match self.file.load::<SavedState>(disk) {
            Ok(kept) => (kept, None),
            Err(fault) => (None, Some(fault)),
        };
        let saved = kept.unwrap_or_default().into_next_start(&self.cluster);
        let mut faults: Vec<StoreError> = unread.into_iter().collect();
        if !faults.iter().any(|fault| matches!(fault, StoreError::Io { .. })) {
            faults.extend(self.file.save(disk, &saved).err());
        }
        (saved, faults)
    }

    /// Keeps the addresses of others. The count of starts on the disk never falls: a successor may have counted, or
    /// this process never read what was there.
    pub fn save(&self, disk: &dyn Disk, starts: u32, addresses: Vec<SocketAddr>) -> Result<(), StoreError> {
        let on_disk = match self.file.load::<SavedState>(disk) {
            Ok(kept) => kept.map_or(0, |kept| kept.starts),
            Err(StoreError::Unusable(_)) => 0, // set aside: there is nothing left to be believed
            Err(fault) => return Err(fault),
        };
        let saved = SavedState { cluster: self.cluster.clone(), starts: starts.max(on_disk), addresses };
        self.file.save(disk, &saved)
    }
}
