//! Rollback: deltas from the revision in force back to earlier ones.

use std::collections::VecDeque;

use thiserror::Error;

use crate::bounds::{MAX_HISTORY_BYTES, MAX_HISTORY_DELTAS};
use crate::delta::Delta;
use crate::document::Document;
use crate::encoding::DecodeError;
use crate::error::DocumentError;
use crate::revision::Revision;

/// A step back to the previous revision.
#[derive(Clone, Debug)]
struct Step {
    /// Number of the revision that the step leads to.
    to: u64,
    /// The encoded delta from the following revision.
    delta: Vec<u8>,
}

/// Why an earlier document cannot be restored.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum HistoryError {
    /// The revision is too old, never existed, or preceded the start of this process.
    #[error(
        "revision {revision} is not stored at this node, the earliest is {}; \
         use a node that has been running longer",
        earliest_text(.earliest)
    )]
    Unknown {
        /// The requested revision.
        revision: u64,
        /// The earliest stored revision, if any.
        earliest: Option<u64>,
    },
    /// The stored deltas are inconsistent, which is a defect of the program.
    #[error("the stored deltas cannot be read: {0}; use another node")]
    Unreadable(#[from] DecodeError),
}

impl From<DocumentError> for HistoryError {
    fn from(error: DocumentError) -> Self {
        HistoryError::Unreadable(error.into())
    }
}

fn earliest_text(earliest: &Option<u64>) -> String {
    earliest.map_or_else(|| "none".to_owned(), |number| number.to_string())
}

/// Deltas from each revision back to the one before it, the newest last. Bounded in number and bytes.
#[derive(Clone, Debug, Default)]
pub struct History {
    steps: VecDeque<Step>,
    bytes: usize,
}

impl History {
    /// Records the step from the revision `before` to the revision `after`.
    pub fn record(&mut self, before: &Revision, after: &Revision) {
        let delta = Delta::between(after, &before.document).encode();
        self.bytes += delta.len();
        self.steps.push_back(Step { to: before.number, delta });
        while self.steps.len() > MAX_HISTORY_DELTAS || self.bytes > MAX_HISTORY_BYTES {
            let dropped = self.steps.pop_front();
            self.bytes -= dropped.map_or(0, |step| step.delta.len());
        }
    }

    /// Drops all deltas, because the next revision does not follow from the stored ones.
    pub fn clear(&mut self) {
        *self = History::default();
    }

    /// Returns the numbers of the revisions that can be restored, the earliest first.
    pub fn revisions(&self) -> impl Iterator<Item = u64> + '_ {
        self.steps.iter().map(|step| step.to)
    }

    /// Returns the document of an earlier revision, computed from the revision in force.
    pub fn document(&self, revision: u64, in_force: &Revision) -> Result<Document, HistoryError> {
        if !self.revisions().any(|number| number == revision) {
            return Err(HistoryError::Unknown { revision, earliest: self.revisions().next() });
        }
        let mut reached = in_force.clone();
        for step in self.steps.iter().rev() {
            reached = Revision::new(step.to, Delta::decode(&step.delta)?.apply(&reached)?);
            if step.to == revision {
                break;
            }
        }
        Ok(Document::clone(&reached.document))
    }
}
