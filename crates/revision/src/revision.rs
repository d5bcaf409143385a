//! A document with its number and digest.

use std::sync::Arc;

use crate::delta::Base;
use crate::digest::Digest;
use crate::document::Document;

/// A document that is in force or may come into force.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Revision {
    /// Number of the revision; it increases with every change.
    pub number: u64,
    /// Digest of the document.
    pub digest: Digest,
    /// The document.
    pub document: Arc<Document>,
}

impl Revision {
    /// Creates a revision of a document.
    pub fn new(number: u64, document: Document) -> Self {
        Revision { number, digest: document.digest(), document: Arc::new(document) }
    }

    /// Returns the base for deltas that change this revision.
    pub fn base(&self) -> Base {
        Base { revision: self.number, digest: self.digest }
    }
}

impl Default for Revision {
    /// Returns revision 0: the empty document before any change.
    fn default() -> Self {
        Revision::new(0, Document::default())
    }
}
