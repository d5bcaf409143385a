//! The host of [`ActiveRevision`]: documents come in on threads that may block, changes go to the driver.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, RwLock, RwLockReadGuard};
use std::time::{Instant, SystemTime};

use merlinfold_revision::{DecodeError, Delta, Digest, Document, Fault, NotHeld, Revision};
use serde::Serialize;
use thiserror::Error;
use tokio::sync::oneshot;
use tracing::{info, warn};

use super::active::{ActiveRevision, PreparedRevision, RevisionError, RevisionId};
use super::baseline::Baseline;
use super::change::ConfigurationChange;
use super::unsupported::UnsupportedError;

/// Why a revision did not come into force, or a change cannot be proposed.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum ApplyError {
    /// It is refused; the one before stays in force.
    #[error(transparent)]
    Refused(#[from] RevisionError),
    /// A delta does not fit the document that it is applied to.
    #[error(transparent)]
    Delta(#[from] Fault),
    /// A delta or document cannot be read.
    #[error(transparent)]
    Unreadable(#[from] DecodeError),
    /// This node could not apply the result.
    #[error(transparent)]
    Unsupported(#[from] UnsupportedError),
    /// The revision to go back to is not held.
    #[error(transparent)]
    NotHeld(#[from] NotHeld),
    /// The process ends.
    #[error("the node ends; ask another one")]
    Ended,
}

/// How the configuration stands at this node.
#[derive(Clone, Debug, Serialize)]
pub struct LocalStatus {
    /// Number of the revision in force; 0: none, all is as at the start.
    pub revision: u64,
    /// Epoch of the agreed log in which it was announced.
    pub epoch: u64,
    /// Digest of its document.
    pub digest: Digest,
    /// Seconds since it came into force here; none before the first.
    pub in_force_for_s: Option<u64>,
    /// The earliest revision that this node can go back to.
    pub earliest_held: Option<u64>,
    /// The last revision that was refused here, if it came after the one in force.
    pub refused: Option<RefusedRevision>,
}

/// A revision that this node did not apply.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct RefusedRevision {
    /// Its number.
    pub revision: u64,
    /// The epoch in which it was announced.
    pub epoch: u64,
    /// Key, fault and what to do.
    pub fault: String,
    /// When, in seconds of Unix time.
    pub at: u64,
}

/// What is shown, apart from the revision itself, so that whoever looks waits for nothing.
struct Summary {
    id: RevisionId,
    digest: Digest,
    earliest_held: Option<u64>,
    since: Option<Instant>,
    refused: Option<RefusedRevision>,
}

/// Hands a change to the driver, which answers when it has taken it; false: the driver is gone.
type Deliver = Box<dyn Fn(Box<ConfigurationChange>, oneshot::Sender<()>) -> bool + Send + Sync>;

/// Brings revisions into force, one at a time.
pub struct Applier {
    active: RwLock<ActiveRevision>,
    summary: Mutex<Summary>,
    /// Held while a revision is on its way to the driver, so that the next one waits.
    turn: Mutex<()>,
    /// The next revision may be a lower one.
    set_aside: AtomicBool,
    deliver: Deliver,
}

impl Applier {
    /// For a node with this baseline, whose driver is reached by `deliver`.
    pub(crate) fn new(
        baseline: Baseline,
        deliver: impl Fn(Box<ConfigurationChange>, oneshot::Sender<()>) -> bool + Send + Sync + 'static,
    ) -> Self {
        let active = ActiveRevision::new(baseline);
        let (id, digest) = (active.id(), active.digest());
        let summary = Summary { id, digest, earliest_held: None, since: None, refused: None };
        Applier {
            active: RwLock::new(active),
            summary: Mutex::new(summary),
            turn: Mutex::default(),
            set_aside: AtomicBool::new(false),
            deliver: Box::new(deliver),
        }
    }

    /// Applies encoded deltas, in order, to an encoded document; no bytes stand for the empty document. Nothing comes
    /// into force by it.
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

    /// Puts a document whose digest was verified in force, and returns when the driver has taken it. Blocks.
    pub fn apply(&self, id: RevisionId, document: &[u8]) -> Result<(), ApplyError> {
        let _turn = self.turn.lock().unwrap_or_else(PoisonError::into_inner);
        if self.set_aside.swap(false, Ordering::Relaxed) {
            self.active.write().unwrap_or_else(PoisonError::into_inner).accept_any_revision();
        }
        let prepared =
            self.read_active().prepare(id, document).inspect_err(|refusal| self.refuse(id, refusal))?;
        let (taken, is_taken) = oneshot::channel();
        let change = Box::new(prepared.change());
        if !(self.deliver)(change, taken) {
            return Err(ApplyError::Ended);
        }
        is_taken.blocking_recv().map_err(|_| ApplyError::Ended)?;
        self.commit(prepared);
        Ok(())
    }

    fn commit(&self, prepared: PreparedRevision) {
        let mut active = self.active.write().unwrap_or_else(PoisonError::into_inner);
        active.commit(prepared);
        let (id, digest) = (active.id(), active.digest());
        let earliest_held = active.history().held().next();
        drop(active);
        info!(revision = %id, %digest, "configuration in force");
        *self.lock_summary() =
            Summary { id, digest, earliest_held, since: Some(Instant::now()), refused: None };
    }

    /// Names a revision that is refused. One that is merely not later is nothing to tell of.
    fn refuse(&self, id: RevisionId, refusal: &RevisionError) {
        if matches!(refusal, RevisionError::NotLater { .. }) {
            return;
        }
        let fault = refusal.to_string();
        warn!(revision = %id, fault, "configuration refused; the one before stays in force");
        let at = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default().as_secs();
        let RevisionId { epoch, number: revision } = id;
        self.lock_summary().refused = Some(RefusedRevision { revision, epoch, fault, at });
    }

    /// What is in force is not of this fleet's log: it serves on, and any other revision may follow it. Does not block.
    pub fn accept_any_revision(&self) {
        self.set_aside.store(true, Ordering::Relaxed);
    }

    /// The document that a delta would make here, checked against all that can be known before it is proposed, and
    /// the revision in force that it would be made from.
    pub fn check(&self, delta: &Delta) -> Result<(RevisionId, Document), ApplyError> {
        let active = self.read_active();
        let document = delta.apply(active.revision())?;
        active.check(&document)?;
        Ok((active.id(), document))
    }

    /// The delta that goes back to an earlier revision, where this one is in force.
    pub fn rollback_delta(&self, in_force: u64, earlier: u64) -> Result<Delta, ApplyError> {
        let active = self.read_active();
        let revision = active.revision();
        if revision.number != in_force {
            return Err(Fault::Conflict { base: in_force, in_force: revision.number }.into());
        }
        let document = active.history().document(earlier, revision)?;
        Ok(Delta::between(revision, &document))
    }

    /// The document in force.
    pub fn document(&self) -> Arc<Document> {
        self.read_active().revision().document.clone()
    }

    /// How the configuration stands here.
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

    // A lock whose holder panicked is taken over: no change is made before all of it is known to succeed.

    fn read_active(&self) -> RwLockReadGuard<'_, ActiveRevision> {
        self.active.read().unwrap_or_else(PoisonError::into_inner)
    }

    fn lock_summary(&self) -> MutexGuard<'_, Summary> {
        self.summary.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
