//! Revisions and their announcement in the replicated log.

use std::fmt;

use serde::{Deserialize, Serialize};
use sha2::{Digest as _, Sha256};

/// Key of the log's register that holds the latest announcement.
pub const REGISTER_KEY: &str = "configuration";
/// Identifies a revision. A later revision compares greater.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RevisionId {
    /// Epoch of the replicated log in which it was announced.
    pub epoch: u64,
    /// Number of the revision, counted from 1 across all epochs.
    pub number: u64,
}

impl fmt::Display for RevisionId {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "{}.{}", self.epoch, self.number)
    }
}

/// SHA-256 digest of content.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize)]
pub struct Digest(pub [u8; 32]);

impl Digest {
    /// Computes the digest of `bytes`.
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

/// Announcement of a revision in the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Announcement {
    /// The revision.
    pub id: RevisionId,
    /// Format of the document; a node whose version does not support it refuses the revision and reports why.
    pub format: u16,
    /// Digest of the whole document.
    pub digest: Digest,
    /// Length of the whole document in bytes.
    pub length: u32,
    /// Number of the revision that it is based on; 0 for the first.
    pub base: u64,
}

impl Announcement {
    /// Encodes the announcement for the register of the log.
    pub fn encode(&self) -> Vec<u8> {
        postcard::to_stdvec(self).unwrap_or_default()
    }

    /// Decodes the value of the register; `None` if it is not an announcement.
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        postcard::from_bytes(bytes).ok()
    }

    /// Returns whether `document` has the announced length and digest.
    pub fn matches(&self, document: &[u8]) -> bool {
        document.len() == self.length as usize && Digest::of(document) == self.digest
    }
}
