//! Applies documents to [`ActiveRevision`] on threads that may block, and sends the changes to the driver.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, RwLock, RwLockReadGuard};
use std::time::{Instant, SystemTime};

use merlinfold_revision::{DecodeError, Delta, Digest, Document, DocumentError, HistoryError, Revision};
use serde::Serialize;
use thiserror::Error;
use tokio::sync::oneshot;
use tracing::{info, warn};

use super::active::{ActiveRevision, PreparedRevision, RevisionError, RevisionId};
use super::baseline::Baseline;
use super::change::ConfigurationChange;
use super::unsupported::UnsupportedError;

/// Why a revision did not come into force, or why a change cannot be published.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum ApplyError {
    /// The revision is refused, and the one before stays in force.
    #[error(transparent)]
    Refused(#[from] RevisionError),
    /// The delta does not match the document that it is applied to.
    #[error(transparent)]
    Delta(#[from] DocumentError),
    /// A delta or document cannot be decoded.
    #[error(transparent)]
    Unreadable(#[from] DecodeError),
    /// This node could not apply the result.
    #[error(transparent)]
    Unsupported(#[from] UnsupportedError),
    /// The revision to roll back to is not stored here.
    #[error(transparent)]
    NotStored(#[from] HistoryError),
    /// The process is ending.
    #[error("the node is stopping; use another one")]
    Ended,
}

/// Status of the configuration at this node.
#[derive(Clone, Debug, Serialize)]
pub struct LocalStatus {
    /// Number of the revision in force. 0 stands for none: all settings are as at the start.
    pub revision: u64,
    /// Epoch of the replicated log in which it was announced.
    pub epoch: u64,
    /// Digest of its document.
    pub digest: Digest,
    /// Seconds since it came into force here. There is none before the first revision.
    pub in_force_for_s: Option<u64>,
    /// The earliest revision that this node can roll back to.
    pub earliest_held: Option<u64>,
    /// The last revision that was refused here since the one in force.
    pub refused: Option<RefusedRevision>,
}

/// A revision that this node did not apply.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct RefusedRevision {
    /// Its number.
    pub revision: u64,
    /// Epoch of the replicated log in which it was announced.
    pub epoch: u64,
    /// The key, the problem and the remedy.
    pub fault: String,
    /// When it was refused, in seconds of Unix time.
    pub at: u64,
}

/// The data of [`LocalStatus`]. Its own lock is only held for moments, so a status query never waits for a revision
/// that is being applied.
struct Summary {
    id: RevisionId,
    digest: Digest,
    earliest_held: Option<u64>,
    since: Option<Instant>,
    refused: Option<RefusedRevision>,
}

/// Sends a change to the driver, which confirms on the channel when it has applied it. Returns false if the driver has
/// ended.
type SendChange = Box<dyn Fn(Box<ConfigurationChange>, oneshot::Sender<()>) -> bool + Send + Sync>;

/// Applies revisions, one at a time.
pub struct Applier {
    active: RwLock<ActiveRevision>,
    summary: Mutex<Summary>,
    /// Locked while a revision is being applied, so that the next one waits.
    apply_lock: Mutex<()>,
    /// Whether the next revision may be any, even an earlier one.
    accept_any: AtomicBool,
    send_change: SendChange,
}

impl Applier {
    /// An applier for a node with this baseline. `send_change` sends a change to its driver.
    pub(crate) fn new(
        baseline: Baseline,
        send_change: impl Fn(Box<ConfigurationChange>, oneshot::Sender<()>) -> bool + Send + Sync + 'static,
    ) -> Self {
        let active = ActiveRevision::new(baseline);
        let (id, digest) = (active.id(), active.digest());
        let summary = Summary { id, digest, earliest_held: None, since: None, refused: None };
        Applier {
            active: RwLock::new(active),
            summary: Mutex::new(summary),
            apply_lock: Mutex::default(),
            accept_any: AtomicBool::new(false),
            send_change: Box::new(send_change),
        }
    }

    /// Applies encoded deltas to an encoded document in order, without putting the result in force. No bytes stand for
    /// the empty document.
    pub fn compose<'a>(
        document: &[u8], base: u64, deltas: impl IntoIterator<Item = (u64, &'a [u8])>,
    ) -> Result<Vec<u8>, ApplyError> {
        let document = if document.is_empty() { Document::default() } else { Document::decode(document)? };
        let mut revision = Revision::new(base, document);
        for (number, delta) in deltas {
            let changed = Delta::decode(delta)?.apply(&revision)?;
            revision = Revision::new(number, changed);
        }
        Ok(revision.document.encode())
    }

    /// Puts a document in force whose digest has been verified. Blocks until the driver has applied it.
    pub fn apply(&self, id: RevisionId, document: &[u8]) -> Result<(), ApplyError> {
        let _applying = self.apply_lock.lock().unwrap_or_else(PoisonError::into_inner);
        if self.accept_any.swap(false, Ordering::Relaxed) {
            self.active.write().unwrap_or_else(PoisonError::into_inner).accept_any_revision();
        }
        let prepared =
            self.read_active().prepare(id, document).inspect_err(|error| self.record_refusal(id, error))?;
        let (applied, is_applied) = oneshot::channel();
        let change = Box::new(prepared.change());
        if !(self.send_change)(change, applied) {
            return Err(ApplyError::Ended);
        }
        is_applied.blocking_recv().map_err(|_| ApplyError::Ended)?;
        self.commit(prepared);
        Ok(())
    }

    fn commit(&self, prepared: PreparedRevision) {
        let mut active = self.active.write().unwrap_or_else(PoisonError::into_inner);
        active.commit(prepared);
        let (id, digest) = (active.id(), active.digest());
        let earliest_held = active.history().revisions().next();
        drop(active);
        info!(revision = %id, %digest, "configuration in force");
        *self.lock_summary() =
            Summary { id, digest, earliest_held, since: Some(Instant::now()), refused: None };
    }

    /// Logs and records a refused revision, unless it is merely not later than the one in force.
    fn record_refusal(&self, id: RevisionId, error: &RevisionError) {
        if matches!(error, RevisionError::NotLater { .. }) {
            return;
        }
        let fault = error.to_string();
        warn!(revision = %id, fault, "configuration refused; the previous one stays in force");
        let at = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default().as_secs();
        let RevisionId { epoch, number: revision } = id;
        self.lock_summary().refused = Some(RefusedRevision { revision, epoch, fault, at });
    }

    /// Lets any revision follow the one in force, which is not in this fleet's log and stays in force until then. Does
    /// not block.
    pub fn accept_any_revision(&self) {
        self.accept_any.store(true, Ordering::Relaxed);
    }

    /// Checks a delta as far as possible before it is published. Returns the revision in force and the document that
    /// the delta makes of it.
    pub fn check(&self, delta: &Delta) -> Result<(RevisionId, Document), ApplyError> {
        let active = self.read_active();
        let document = delta.apply(active.revision())?;
        active.check(&document)?;
        Ok((active.id(), document))
    }

    /// The delta that restores the document of an earlier revision. Fails unless the revision `in_force` is in force.
    pub fn rollback_delta(&self, in_force: u64, earlier: u64) -> Result<Delta, ApplyError> {
        let active = self.read_active();
        let revision = active.revision();
        if revision.number != in_force {
            return Err(DocumentError::Conflict { base: in_force, in_force: revision.number }.into());
        }
        let document = active.history().document(earlier, revision)?;
        Ok(Delta::between(revision, &document))
    }

    /// The document in force.
    pub fn document(&self) -> Arc<Document> {
        self.read_active().revision().document.clone()
    }

    /// Status of the configuration at this node.
    pub fn status(&self) -> LocalStatus {
        let summary = self.lock_summary();
        let RevisionId { epoch, number: revision } = summary.id;
        LocalStatus {
            revision,
            epoch,
            digest: summary.digest,
            in_force_for_s: summary.since.map(|since| since.elapsed().as_secs()),
            earliest_held: summary.earliest_held,
            refused: summary.refused.clone(),
        }
    }

    // A poisoned lock can be used: data is only changed after everything that may fail has succeeded.

    fn read_active(&self) -> RwLockReadGuard<'_, ActiveRevision> {
        self.active.read().unwrap_or_else(PoisonError::into_inner)
    }

    fn lock_summary(&self) -> MutexGuard<'_, Summary> {
        self.summary.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
