//! The way back from the revision in force to earlier ones, as deltas.

use std::collections::VecDeque;

use thiserror::Error;

use crate::bounds::{MAX_HISTORY_BYTES, MAX_HISTORY_DELTAS};
use crate::delta::Delta;
use crate::document::Document;
use crate::encoding::DecodeError;
use crate::error::DocumentError;
use crate::revision::Revision;

/// One step back.
#[derive(Clone, Debug)]
struct Step {
    /// Number of the revision that it leads to.
    to: u64,
    /// The encoded delta from the revision after it.
    delta: Vec<u8>,
}

/// Why an earlier document cannot be made.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum HistoryError {
    /// It is too old, has never been, or came before this process.
    #[error("revision {revision} is not held here, {} is the earliest; ask a node that has been up for longer", known(.earliest))]
    Unknown {
        /// The revision that was asked for.
        revision: u64,
        /// The earliest that is held, if any.
        earliest: Option<u64>,
    },
    /// What is held does not fit together: a fault of the program.
    #[error("what is held of earlier revisions cannot be read: {0}; ask another node")]
    Unreadable(#[from] DecodeError),
}

impl From<DocumentError> for HistoryError {
    fn from(fault: DocumentError) -> Self {
        HistoryError::Unreadable(fault.into())
    }
}

fn known(earliest: &Option<u64>) -> String {
    earliest.map_or_else(|| "none".to_owned(), |number| number.to_string())
}

/// Deltas that lead back from one revision to the one before, newest last. Bounded in number and bytes.
#[derive(Clone, Debug, Default)]
pub struct History {
    steps: VecDeque<Step>,
    bytes: usize,
}

impl History {
    /// Notes that one revision has followed another.
    pub fn record(&mut self, before: &Revision, after: &Revision) {
        let delta = Delta::between(after, &before.document).encode();
        self.bytes += delta.len();
        self.steps.push_back(Step { to: before.number, delta });
        while self.steps.len() > MAX_HISTORY_DELTAS || self.bytes > MAX_HISTORY_BYTES {
            let dropped = self.steps.pop_front();
            self.bytes -= dropped.map_or(0, |step| step.delta.len());
        }
    }

    /// Forgets everything: the next revision does not follow from what is held.
    pub fn clear(&mut self) {
        *self = History::default();
    }

    /// Numbers of the revisions that can be gone back to, the earliest first.
    pub fn revisions(&self) -> impl Iterator<Item = u64> + '_ {
        self.steps.iter().map(|step| step.to)
    }

    /// The document of an earlier revision, made from the one in force.
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
