//! The revision in force. Revisions come into force whole and in order, and never after a later one.

use std::fmt;
use std::sync::Arc;

use merlinfold_revision::{DecodeError, Digest, Document, History, Revision};
use thiserror::Error;

use super::baseline::Baseline;
use super::change::{ActiveDocument, ConfigurationChange};
use super::tenants::TenantNumbers;
use super::unsupported::UnsupportedError;

/// Identifies a revision. Later revisions compare greater.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct RevisionId {
    /// Epoch of the replicated log in which it was announced.
    pub epoch: u64,
    /// Its number, which keeps counting across epochs.
    pub number: u64,
}

impl fmt::Display for RevisionId {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "{}.{}", self.epoch, self.number)
    }
}

/// Why a revision does not come into force. The one before stays in force.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum RevisionError {
    /// It is not later than the one in force.
    #[error("revision {offered} is not later than {in_force}, which is in force; nothing to do")]
    NotLater {
        /// The rejected revision.
        offered: RevisionId,
        /// The revision in force.
        in_force: RevisionId,
    },
    /// It cannot be decoded.
    #[error("{0}")]
    Unreadable(#[from] DecodeError),
    /// It can be decoded, but this node cannot apply it.
    #[error("{0}")]
    Unsupported(#[from] UnsupportedError),
}

/// A revision that is ready to come into force.
#[derive(Clone, Debug)]
pub struct PreparedRevision {
    id: RevisionId,
    revision: Revision,
    change: ConfigurationChange,
}

impl PreparedRevision {
    /// The change for the driver.
    pub fn change(&self) -> ConfigurationChange {
        self.change.clone()
    }
}

/// The revision in force at this node.
#[derive(Clone, Debug)]
pub struct ActiveRevision {
    baseline: Baseline,
    id: RevisionId,
    revision: Revision,
    numbers: TenantNumbers,
    history: History,
}

impl ActiveRevision {
    /// No revision yet: all settings are as at the start.
    pub fn new(baseline: Baseline) -> Self {
        let numbers = TenantNumbers::starting_after(baseline.tenant_count());
        let (id, revision, history) = Default::default();
        ActiveRevision { baseline, id, revision, numbers, history }
    }

    /// The revision in force.
    pub fn id(&self) -> RevisionId {
        self.id
    }

    /// The digest of its document.
    pub fn digest(&self) -> Digest {
        self.revision.digest
    }

    /// The revision in force with its document.
    pub fn revision(&self) -> &Revision {
        &self.revision
    }

    /// Earlier revisions that can be restored.
    pub fn history(&self) -> &History {
        &self.history
    }

    /// Checks whether this node could apply the document.
    pub fn check(&self, document: &Document) -> Result<(), UnsupportedError> {
        self.baseline.check(document)
    }

    /// Decodes and checks a revision. It does not come into force before [`ActiveRevision::commit`].
    pub fn prepare(&self, id: RevisionId, document: &[u8]) -> Result<PreparedRevision, RevisionError> {
        if id <= self.id {
            return Err(RevisionError::NotLater { offered: id, in_force: self.id });
        }
        let revision = Revision::new(id.number, Document::decode(document)?);
        let document = &revision.document;
        self.baseline.check(document)?;
        let numbers = self.numbers.extended_with(self.baseline.added_tenants(document))?;
        let change = ConfigurationChange {
            figures: Box::new(self.baseline.figures(document, &numbers)),
            open_requests: self.baseline.open_requests(document),
            in_force: Arc::new(ActiveDocument { document: document.clone(), numbers }),
        };
        Ok(PreparedRevision { id, revision, change })
    }

    /// Lets any revision follow the one in force, which came from a disk and is not in this fleet's log. It stays in
    /// force until then.
    pub fn accept_any_revision(&mut self) {
        self.id = RevisionId::default();
    }

    /// Marks a revision as in force once the driver has applied its change.
    pub fn commit(&mut self, prepared: PreparedRevision) {
        let PreparedRevision { id, revision, change } = prepared;
        self.history.record(&self.revision, &revision);
        (self.id, self.revision) = (id, revision);
        self.numbers = change.in_force.numbers.clone();
    }
}
