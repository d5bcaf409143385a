//! Configuration content for tests, in which documents are plain bytes.

#![allow(dead_code)] // not every test uses all items

use std::sync::Mutex;

use merlinfold_distribution::{Content, Delta, Rejection, RevisionId};
use merlinfold_fleet::{ConfigurationHandle, NewRevision};

/// Content whose deltas are bytes that are appended to the document.
#[derive(Default)]
pub struct AppendContent {
    /// Documents that end with these bytes are refused.
    pub rejected_suffix: Option<&'static [u8]>,
    /// Revisions that came into force, in order.
    pub applied: Mutex<Vec<(RevisionId, Vec<u8>)>>,
}

impl Content for AppendContent {
    fn max_format(&self) -> u16 {
        1
    }

    fn compose(&self, document: &[u8], deltas: &[Delta]) -> Result<Vec<u8>, Rejection> {
        let added = deltas.iter().flat_map(|delta| delta.bytes.iter().copied());
        Ok(document.iter().copied().chain(added).collect())
    }

    fn apply(&self, revision: RevisionId, document: &[u8]) -> Result<(), Rejection> {
        if self.rejected_suffix.is_some_and(|suffix| document.ends_with(suffix)) {
            return Err(Rejection("the document ends with the rejected suffix".to_owned()));
        }
        self.applied.lock().unwrap().push((revision, document.to_vec()));
        Ok(())
    }

    fn set_aside(&self, _revision: RevisionId) {}
}

/// The next revision: the node's publication base with `added` appended.
pub fn next_revision(handle: &ConfigurationHandle, added: &[u8]) -> NewRevision {
    let base = handle.publication_base();
    let mut document = base.as_ref().map_or_else(Vec::new, |base| base.bytes.to_vec());
    document.extend(added);
    NewRevision {
        base: base.as_ref().map(|base| base.announcement.id),
        format: 1,
        document,
        delta: base.is_some().then(|| added.to_vec()),
        over_missing: false,
    }
}
