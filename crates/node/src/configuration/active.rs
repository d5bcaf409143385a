//! Which revision is in force: whole ones, in order, never a lower one.

use std::fmt;
use std::sync::Arc;

use merlinfold_revision::{DecodeError, Digest, Document, History, Revision};
use thiserror::Error;

use super::baseline::Baseline;
use super::change::{ActiveDocument, ConfigurationChange};
use super::tenants::TenantNumbers;
use super::unsupported::UnsupportedError;

/// Which revision. A later one is greater.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct RevisionId {
    /// Epoch of the agreed log in which it was announced.
    pub epoch: u64,
    /// Its number, counted through all epochs.
    pub number: u64,
}

impl fmt::Display for RevisionId {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "{}.{}", self.epoch, self.number)
    }
}

/// Why a revision does not come into force. The one before stays.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum RevisionError {
    /// It is not later than the one in force.
    #[error("revision {offered} is not later than {in_force}, which is in force; nothing to do")]
    NotLater {
        /// What was offered.
        offered: RevisionId,
        /// What is in force.
        in_force: RevisionId,
    },
    /// It cannot be read.
    #[error("{0}")]
    Unreadable(#[from] DecodeError),
    /// It can be read, but not be applied here.
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
    /// What the driver is to take.
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
    /// None yet: all is as at the start.
    pub fn new(baseline: Baseline) -> Self {
        let numbers = TenantNumbers::starting_after(baseline.tenant_count());
        let (id, revision, history) = Default::default();
        ActiveRevision { baseline, id, revision, numbers, history }
    }

    /// Which one is in force.
    pub fn id(&self) -> RevisionId {
        self.id
    }

    /// Its digest.
    pub fn digest(&self) -> Digest {
        self.revision.digest
    }

    /// It.
    pub fn revision(&self) -> &Revision {
        &self.revision
    }

    /// The way back.
    pub fn history(&self) -> &History {
        &self.history
    }

    /// Whether this node could apply the document.
    pub fn check(&self, document: &Document) -> Result<(), UnsupportedError> {
        self.baseline.check(document)
    }

    /// Reads and checks a revision; nothing changes yet.
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

    /// What is in force came from a disk and is not of this fleet's log: it serves until another revision comes, which
    /// may be any.
    pub fn accept_any_revision(&mut self) {
        self.id = RevisionId::default();
    }

    /// Notes that a revision is in force from now on: the driver has taken its change.
    pub fn commit(&mut self, prepared: PreparedRevision) {
        let PreparedRevision { id, revision, change } = prepared;
        self.history.follow(&self.revision, &revision);
        (self.id, self.revision) = (id, revision);
        self.numbers = change.in_force.numbers.clone();
    }
}
