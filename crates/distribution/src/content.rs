//! What the host has to know of content, which is opaque to the machine.

use std::sync::Arc;

use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::revision::RevisionId;

/// A delta on its way from one revision to the next.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Delta {
    /// Number of the revision that it is made from.
    pub base: u64,
    /// Number of the revision that it makes.
    pub number: u64,
    /// What it changes.
    pub bytes: Arc<[u8]>,
}

/// Why a document or a delta is not accepted, in words that an operator can act on.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("{0}")]
pub struct Rejection(pub String);

/// The host's side: how documents are made from deltas, and how one comes into force.
pub trait Content: Send + Sync {
    /// The greatest format of a document that this version can read.
    fn max_format(&self) -> u16;

    /// Applies deltas, in order, to a whole document in its canonical encoding, and gives the canonical encoding of the
    /// result. The first delta's `base` is the number of the revision whose document is given. Has no other effect;
    /// called on a thread that may block.
    fn compose(&self, document: &[u8], deltas: &[Delta]) -> Result<Vec<u8>, Rejection>;

    /// Puts a whole document in force between two requests. Its digest has been verified. When this is an error the
    /// revision before has to stay in force. Called on a thread that may block, one call at a time. Revisions only rise,
    /// but after [`Content::set_aside`].
    fn apply(&self, revision: RevisionId, document: &[u8]) -> Result<(), Rejection>;

    /// The revision in force came from a disk and is not of this fleet's log. It serves on until the next
    /// [`Content::apply`], which may be of a lower one. Must not block.
    fn set_aside(&self, revision: RevisionId);
}
