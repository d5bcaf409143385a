//! Proposals to the replicated log, and the view of its state.

use std::collections::BTreeMap;
use std::time::Duration;

use merlinfold_replicated_log::command::{Command, Outcome, ProposalError, Refusal, Set, SET};
use serde::{Deserialize, Serialize};
use thiserror::Error;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::timeout;

const MAX_PENDING_PROPOSALS: usize = 64; // proposals that wait for the event loop
const OUTCOME_TIMEOUT: Duration = Duration::from_secs(12); // longer than the log's own timeout

/// State of the replicated log at this node, and its values.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogView {
    /// Number of the epoch. It rises when the log is restarted after a permanent loss of its majority.
    pub epoch: u64,
    /// Index of the last entry applied here.
    pub index: u64,
    /// Highest index that any node has announced.
    #[serde(rename = "told")]
    pub latest_announced: u64,
    /// Whether this copy is as new as recent announcements. An outdated copy is still used.
    pub fresh: bool,
    /// Whether this node is a voter.
    pub votes: bool,
    /// Whether this node is the leader.
    pub leads: bool,
    /// Names of the voters.
    pub voters: Vec<String>,
    /// Why no further entry is applied, if so: an entry has a kind that this version does not know.
    pub halted: Option<String>,
    /// Number of datagrams of the log that this process has sent.
    #[serde(default)]
    pub sent: u64,
    /// Number of bytes in these datagrams.
    #[serde(default)]
    pub sent_bytes: u64,
    /// The committed values with their revisions, by key.
    pub values: BTreeMap<String, (u64, String)>,
}

/// The reason why a proposed value is not known to be set.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum SetError {
    /// The command was committed, but changes nothing at any node.
    #[error("committed without effect: {0}")]
    SetAside(Refusal),
    /// Nobody has confirmed the command; it may still be committed.
    #[error(
        "not confirmed in time: check whether a majority of the voters is up, then retry with the same id"
    )]
    Unconfirmed,
    /// The command cannot be proposed.
    #[error("{0}")]
    Invalid(#[from] ProposalError),
    /// Too many proposals are waiting.
    #[error("too many pending proposals: try again")]
    Busy,
    /// The event loop that handles proposals has ended.
    #[error("this process no longer takes part in the log: use another node")]
    Stopped,
}

/// A command and the channel that receives its result.
pub(crate) struct PendingProposal {
    pub command: Command,
    pub outcome_sender: oneshot::Sender<Result<u64, SetError>>,
}

/// Proposals that wait for the event loop.
pub(crate) type Proposals = mpsc::Receiver<PendingProposal>;

/// Handle by which other parts of the program read the log and propose values.
#[derive(Clone, Debug)]
pub struct LogHandle {
    proposals: mpsc::Sender<PendingProposal>,
    view: watch::Receiver<LogView>,
}

pub(crate) fn channel() -> (LogHandle, Proposals, watch::Sender<LogView>) {
    let (proposals, receiver) = mpsc::channel(MAX_PENDING_PROPOSALS);
    let (view_sender, view) = watch::channel(LogView::default());
    (LogHandle { proposals, view }, receiver, view_sender)
}

impl LogHandle {
    /// A copy of the current view.
    pub fn view(&self) -> LogView {
        self.view.borrow().clone()
    }

    /// Reads the current view without copying it. The log cannot publish a new view until `read` returns.
    pub fn with_view(&self, read: impl FnOnce(&LogView)) {
        read(&self.view.borrow());
    }

    /// Sets a value and returns its new revision. If `expect` is given, the value has to be at that revision. A command
    /// with the same id takes effect only once.
    pub async fn set(
        &self, id: u128, key: String, value: Vec<u8>, expect: Option<u64>,
    ) -> Result<u64, SetError> {
        let body = postcard::to_stdvec(&Set { key, expect, value }).unwrap_or_default();
        let (outcome_sender, outcome_receiver) = oneshot::channel();
        let pending = PendingProposal { command: Command { id, kind: SET, body }, outcome_sender };
        self.proposals.try_send(pending).map_err(|error| match error {
            mpsc::error::TrySendError::Full(_) => SetError::Busy,
            mpsc::error::TrySendError::Closed(_) => SetError::Stopped,
        })?;
        match timeout(OUTCOME_TIMEOUT, outcome_receiver).await {
            Ok(Ok(outcome)) => outcome,
            Ok(Err(_)) => Err(SetError::Stopped),
            Err(_) => Err(SetError::Unconfirmed),
        }
    }
}

impl From<Outcome> for SetError {
    fn from(outcome: Outcome) -> Self {
        match outcome {
            Outcome::SetAside(refusal) => SetError::SetAside(refusal),
            Outcome::Done(_) => SetError::Unconfirmed,
        }
    }
}
