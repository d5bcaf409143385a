//! Interface to the host, which knows the meaning of content that is opaque here.

use std::sync::Arc;

use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::revision::RevisionId;

/// A delta from one revision to a later one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Delta {
    /// Number of the revision that it is based on.
    pub base: u64,
    /// Number of the revision that it produces.
    pub number: u64,
    /// The encoded change.
    pub bytes: Arc<[u8]>,
}

/// Why a document or a delta was rejected, in words that an operator can act on.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("{0}")]
pub struct Rejection(pub String);

/// Implemented by the host: makes documents from deltas and puts documents in force.
pub trait Content: Send + Sync {
    /// Returns the highest document format that this version can read.
    fn max_format(&self) -> u16;

    /// Applies deltas, in order, to a whole document in its canonical encoding, and returns the canonical encoding of
    /// the result. The `base` of the first delta is the number of the revision of `document`. Has no other effect. It
    /// is called on a thread that may block.
    fn compose(&self, document: &[u8], deltas: &[Delta]) -> Result<Vec<u8>, Rejection>;

    /// Puts a whole document in force between two requests. Its digest has been verified. On an error the previous
    /// revision has to stay in force. It is called on a thread that may block, one call at a time. Revisions increase,
    /// except after [`Content::set_aside`].
    fn apply(&self, revision: RevisionId, document: &[u8]) -> Result<(), Rejection>;

    /// Announces that the revision in force came from the disk and does not belong to this fleet's log. It stays in
    /// force until the next [`Content::apply`], which may be of a lower revision. Must not block.
    fn set_aside(&self, revision: RevisionId);
}
