//! Content for tests: documents are bytes.

#![allow(dead_code)] // no test uses all of it

use std::sync::Mutex;

use merlinfold_distribution::{Content, Delta, Rejection, RevisionId};
use merlinfold_fleet::{ConfigurationHandle, NewRevision};

/// Documents are bytes, a delta is what is added at the end; some documents are refused.
#[derive(Default)]
pub struct Appended {
    /// Documents that end so are refused.
    pub refuses: Option<&'static [u8]>,
    /// What came into force, in order.
    pub applied: Mutex<Vec<(RevisionId, Vec<u8>)>>,
}

impl Content for Appended {
    fn max_format(&self) -> u16 {
        1
    }

    fn compose(&self, document: &[u8], deltas: &[Delta]) -> Result<Vec<u8>, Rejection> {
        let added = deltas.iter().flat_map(|delta| delta.bytes.iter().copied());
        Ok(document.iter().copied().chain(added).collect())
    }

    fn apply(&self, revision: RevisionId, document: &[u8]) -> Result<(), Rejection> {
        if self.refuses.is_some_and(|refused| document.ends_with(refused)) {
            return Err(Rejection("it ends badly".to_owned()));
        }
        self.applied.lock().unwrap().push((revision, document.to_vec()));
        Ok(())
    }

    fn set_aside(&self, _revision: RevisionId) {}
}

/// The next revision: what a node holds, with this added.
pub fn appended(handle: &ConfigurationHandle, added: &[u8]) -> NewRevision {
    let held = handle.publication_base();
    let mut document = held.as_ref().map_or_else(Vec::new, |held| held.bytes.to_vec());
    document.extend(added);
    NewRevision {
        base: held.as_ref().map(|held| held.announcement.id),
        format: 1,
        document,
        delta: held.is_some().then(|| added.to_vec()),
        over_missing: false,
    }
}
