//! Revisions, and how the agreed log announces one.

use std::fmt;

use serde::{Deserialize, Serialize};
use sha2::{Digest as _, Sha256};

/// The key of the log's register under which the latest announcement stands.
pub const REGISTER_KEY: &str = "configuration";
/// Which revision. A later one is greater.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RevisionId {
    /// Epoch of the agreed log in which it was announced.
    pub epoch: u64,
    /// Its number, counted from 1 through all epochs.
    pub number: u64,
}

impl fmt::Display for RevisionId {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "{}.{}", self.epoch, self.number)
    }
}

/// The SHA-256 digest of some content.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize)]
pub struct Digest(pub [u8; 32]);

impl Digest {
    /// The digest of these bytes.
    pub fn of(bytes: &[u8]) -> Self {
        Digest(Sha256::digest(bytes).into())
    }
}

impl fmt::Display for Digest {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

impl fmt::Debug for Digest {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        let [first, second, third, fourth, ..] = self.0;
        write!(f, "{first:02x}{second:02x}{third:02x}{fourth:02x}")
    }
}

/// What the log says of a revision.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Announcement {
    /// Which revision.
    pub id: RevisionId,
    /// Format of the document: a node whose version does not know it refuses the revision by name.
    pub format: u16,
    /// Digest of the whole document.
    pub digest: Digest,
    /// Length of the whole document in bytes.
    pub length: u32,
    /// Number of the revision that it was made from; 0 for the first.
    pub base: u64,
}

impl Announcement {
    /// As it stands in the register of the log.
    pub fn encode(&self) -> Vec<u8> {
        postcard::to_stdvec(self).unwrap_or_default()
    }

    /// What stands in the register; none if it is no announcement.
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        postcard::from_bytes(bytes).ok()
    }

    /// Whether these bytes are the document that it announces.
    pub fn matches(&self, document: &[u8]) -> bool {
        document.len() == self.length as usize && Digest::of(document) == self.digest
    }
}
