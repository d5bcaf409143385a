//! Deltas and whole documents that are kept for nodes that are behind.

use std::collections::VecDeque;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::bounds::{MAX_CONTENT_BYTES, MAX_HISTORY_BYTES, MAX_HISTORY_DELTAS, MAX_SNAPSHOTS};
use crate::content::Delta;
use crate::revision::{Announcement, Digest, RevisionId};

/// A delta of a chain. The digest of its result is a hint, by which chains are put together: what a chain as a whole
/// leads to is compared with what the log announces.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Link {
    /// Digest of the document that it makes.
    pub result: Digest,
    /// It.
    pub delta: Delta,
}

/// What this node can serve.
#[derive(Clone, Debug, Default)]
pub struct History {
    links: VecDeque<(Digest, Link)>, // with the digest of the document that each begins at
    bytes: usize,
    snapshots: VecDeque<(Announcement, Arc<[u8]>)>,
}

impl History {
    /// Keeps the deltas of a chain that begins at this document.
    pub fn add_chain(&mut self, base: Digest, chain: Vec<Link>) {
        let mut base = base;
        for link in chain {
            let result = link.result;
            if !self.links.iter().any(|(from, kept)| *from == base && kept.result == result) {
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

    /// Keeps a verified document.
    pub fn add_snapshot(&mut self, announcement: Announcement, document: Arc<[u8]>) {
        self.snapshots.retain(|(kept, _)| kept.id != announcement.id);
        self.snapshots.push_back((announcement, document));
        while self.snapshots.len() > MAX_SNAPSHOTS {
            self.snapshots.pop_front();
        }
    }

    /// Forgets everything: what was kept turned out not to be of this log.
    pub fn clear(&mut self) {
        *self = History::default();
    }

    /// The document of a revision.
    pub fn snapshot(&self, id: RevisionId) -> Option<(&Announcement, &Arc<[u8]>)> {
        let found = self.snapshots.iter().find(|(announcement, _)| announcement.id == id);
        found.map(|(announcement, document)| (announcement, document))
    }

    /// The deltas from one document to another, in order, where all are here and together are no longer than `limit`.
    pub fn chain(&self, from: Digest, to: Digest, limit: usize) -> Option<Vec<Link>> {
        let mut chain = Vec::new();
        let mut bytes = 0;
        let mut wanted = to;
        // From the result backwards: the newest delta that makes it is the one to take.
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

    /// Bytes and number of the deltas, for figures.
    pub fn size(&self) -> (usize, usize) {
        (self.bytes, self.links.len())
    }
}
