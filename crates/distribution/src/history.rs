//! Deltas and whole documents stored for nodes that are behind.

use std::collections::VecDeque;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::bounds::{MAX_CONTENT_BYTES, MAX_HISTORY_BYTES, MAX_HISTORY_DELTAS, MAX_SNAPSHOTS};
use crate::content::Delta;
use crate::revision::{Announcement, Digest, RevisionId};

/// A delta of a chain. The digest of its result is a hint for assembling chains; the result of a whole chain is
/// compared with the announced digest.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChainLink {
    /// Digest of the resulting document.
    pub result: Digest,
    /// The delta.
    pub delta: Delta,
}

/// Content that this node can serve.
#[derive(Clone, Debug, Default)]
pub struct History {
    links: VecDeque<(Digest, ChainLink)>, // each with the digest of its base document
    bytes: usize,
    snapshots: VecDeque<(Announcement, Arc<[u8]>)>,
}

impl History {
    /// Stores the deltas of a chain that is based on the document with digest `base`.
    pub fn add_chain(&mut self, base: Digest, chain: Vec<ChainLink>) {
        let mut base = base;
        for link in chain {
            let result = link.result;
            if !self.links.iter().any(|(from, stored)| *from == base && stored.result == result) {
                self.bytes += link.delta.bytes.len();
                self.links.push_back((base, link));
            }
            base = result;
        }
        while self.links.len() > MAX_HISTORY_DELTAS || self.bytes > MAX_HISTORY_BYTES {
            let Some((_, oldest)) = self.links.pop_front() else { break };
            self.bytes -= oldest.delta.bytes.len();
        }
    }

    /// Stores a verified document.
    pub fn add_snapshot(&mut self, announcement: Announcement, document: Arc<[u8]>) {
        self.snapshots.retain(|(stored, _)| stored.id != announcement.id);
        self.snapshots.push_back((announcement, document));
        while self.snapshots.len() > MAX_SNAPSHOTS {
            self.snapshots.pop_front();
        }
    }

    /// Drops all content, because it turned out not to belong to this log.
    pub fn clear(&mut self) {
        *self = History::default();
    }

    /// Returns the document of a revision.
    pub fn snapshot(&self, id: RevisionId) -> Option<(&Announcement, &Arc<[u8]>)> {
        let found = self.snapshots.iter().find(|(announcement, _)| announcement.id == id);
        found.map(|(announcement, document)| (announcement, document))
    }

    /// Returns the deltas from one document to another, in order, if all are stored and their total size is within
    /// `limit`.
    pub fn chain(&self, from: Digest, to: Digest, limit: usize) -> Option<Vec<ChainLink>> {
        let mut chain = Vec::new();
        let mut bytes = 0;
        let mut wanted = to;
        // Goes backwards from the result, so that the newest delta that produces a document is taken.
        for (base, link) in self.links.iter().rev() {
            if wanted == from {
                break;
            }
            if link.result == wanted {
                bytes += link.delta.bytes.len();
                if bytes > limit.min(MAX_CONTENT_BYTES) {
                    return None;
                }
                wanted = *base;
                chain.push(link.clone());
            }
        }
        chain.reverse();
        (wanted == from && !chain.is_empty()).then_some(chain)
    }

    /// Returns the total size in bytes and the number of the deltas, for diagnostics.
    pub fn size(&self) -> (usize, usize) {
        (self.bytes, self.links.len())
    }
}
