//! The file in which a node saves the addresses of other members, so that it finds the fleet again after a restart.

use std::net::SocketAddr;

use merlinfold_store::{Disk, File, StoreError};
use serde::{Deserialize, Serialize};

use crate::config::{Nanos, MS};

/// Maximum number of saved addresses.
pub const MAX_ADDRESSES: usize = 4_096;
/// Version of the format, for the header of the file.
pub const SAVED_FORMAT_VERSION: u8 = 1;
/// Time that a disk may take for loading at the start; after it the node joins without the saved state.
pub const LOAD_TIMEOUT: Nanos = 5_000 * MS;
/// Minimum time between two writes of the view while it changes.
pub const SAVE_INTERVAL: Nanos = 5_000 * MS;

/// Content of the file.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SavedState {
    /// Name of the fleet.
    pub cluster: String,
    /// Number of starts of the node so far.
    pub starts: u32,
    /// Last known addresses of other members.
    pub addresses: Vec<SocketAddr>,
}

impl SavedState {
    /// Returns the state for one more start in this fleet. Addresses of another fleet are dropped, but the number of
    /// starts is kept, because run numbers must never fall.
    pub fn into_next_start(mut self, cluster: &str) -> Self {
        if self.cluster != cluster {
            (self.cluster, self.addresses) = (cluster.to_owned(), Vec::new());
        }
        self.starts = self.starts.saturating_add(1);
        self.addresses.truncate(MAX_ADDRESSES);
        self
    }

    /// The run number of this start: the number of starts in the upper half, which makes it greater than all earlier
    /// ones on this disk, and a random number in the lower half.
    pub fn run_number(&self, random: u32) -> u64 {
        u64::from(self.starts) << 32 | u64::from(random)
    }
}

/// The state file of one node, independent of the disk that it is stored on.
#[derive(Clone, Debug)]
pub struct SavedFile {
    file: File,
    cluster: String,
}

impl SavedFile {
    /// The file of the node with this name in this fleet.
    pub fn new(name: &str, cluster: &str) -> Self {
        SavedFile { file: File::new("fleet", name, SAVED_FORMAT_VERSION), cluster: cluster.to_owned() }
    }

    /// Name of the file in its folder.
    pub fn name(&self) -> &str {
        self.file.name()
    }

    /// Increments the number of starts durably, and returns the saved state together with the errors of the disk. A
    /// file that cannot be read is not overwritten, because it may contain a higher number of starts.
    pub fn record_start(&self, disk: &dyn Disk) -> (SavedState, Vec<StoreError>) {
        let (saved, read_error) = match self.file.load::<SavedState>(disk) {
            Ok(saved) => (saved, None),
            Err(error) => (None, Some(error)),
        };
        let saved = saved.unwrap_or_default().into_next_start(&self.cluster);
        let mut errors: Vec<StoreError> = read_error.into_iter().collect();
        if !errors.iter().any(|error| matches!(error, StoreError::Io { .. })) {
            errors.extend(self.file.save(disk, &saved).err());
        }
        (saved, errors)
    }

    /// Saves the addresses of other members. The number of starts on the disk never falls: a later process may have
    /// incremented it, or this process may have failed to read it.
    pub fn save(&self, disk: &dyn Disk, starts: u32, addresses: Vec<SocketAddr>) -> Result<(), StoreError> {
        let starts_on_disk = match self.file.load::<SavedState>(disk) {
            Ok(saved) => saved.map_or(0, |saved| saved.starts),
            Err(StoreError::Unusable(_)) => 0, // the damaged file was set aside, so no number of starts is left
            Err(error) => return Err(error),
        };
        let saved =
            SavedState { cluster: self.cluster.clone(), starts: starts.max(starts_on_disk), addresses };
        self.file.save(disk, &saved)
    }
}
