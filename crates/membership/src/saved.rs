//! What a node keeps on its disk to find the fleet again.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

/// Addresses kept at most.
pub const ADDRESSES_MOST: usize = 4_096;
/// Version of the form, for the file's head.
pub const SAVED_VERSION: u8 = 1;

/// As it stands on the disk.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Saved {
    /// The fleet.
    pub cluster: String,
    /// How often the node has started.
    pub starts: u32,
    /// Where members were last seen.
    pub addresses: Vec<SocketAddr>,
}

impl Saved {
    /// The same for a further start in this fleet. What was kept of another fleet is forgotten, its count of starts
    /// not: it only ever rises.
    pub fn next(mut self, cluster: &str) -> Self {
        if self.cluster != cluster {
            (self.cluster, self.addresses) = (cluster.to_owned(), Vec::new());
        }
        self.starts = self.starts.saturating_add(1);
        self.addresses.truncate(ADDRESSES_MOST);
        self
    }

    /// The number of this start: greater than of any before on this disk, and else a drawn one.
    pub fn run(&self, random: u32) -> u64 {
        u64::from(self.starts) << 32 | u64::from(random)
    }
}
