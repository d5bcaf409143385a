//! A document with its number and digest.

use std::sync::Arc;

use crate::delta::Base;
use crate::digest::Digest;
use crate::document::Document;

/// A document as it is in force, or is to be.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Revision {
    /// Its number: it rises with every change.
    pub number: u64,
    /// Digest of the document.
    pub digest: Digest,
    /// The content.
    pub document: Arc<Document>,
}

impl Revision {
    /// This document under a number.
    pub fn new(number: u64, document: Document) -> Self {
        Revision { number, digest: document.digest(), document: Arc::new(document) }
    }

    /// What deltas name that change this revision.
    pub fn base(&self) -> Base {
        Base { revision: self.number, digest: self.digest }
    }
}

impl Default for Revision {
    /// The empty document before any change.
    fn default() -> Self {
        Revision::new(0, Document::default())
    }
}
