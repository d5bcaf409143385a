//! How the rest of the program asks for something to be agreed, and sees what is.

use std::collections::BTreeMap;
use std::time::Duration;

use merlinfold_replicated_log::command::{Command, Outcome, ProposalError, Refusal, Set, SET};
use serde::{Deserialize, Serialize};
use thiserror::Error;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::timeout;

const ASKS_MOST: usize = 64; // that wait to be taken in
const PATIENCE: Duration = Duration::from_secs(12); // beyond the time after which the log itself gives up

/// How the log stands at this node, and what it says.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogView {
    /// Counted from the first group: it rises when a majority was lost for good.
    pub epoch: u64,
    /// The last entry applied here.
    pub index: u64,
    /// The last entry that anybody told of.
    #[serde(rename = "told")]
    pub latest_announced: u64,
    /// Whether this is as new as anybody has told of late; else it is old, and used as such.
    pub fresh: bool,
    /// Whether this node votes.
    pub votes: bool,
    /// Whether this node leads.
    pub leads: bool,
    /// Names of the nodes that vote.
    pub voters: Vec<String>,
    /// What nothing is applied behind, if so: an entry that this version does not know.
    pub halted: Option<String>,
    /// Datagrams of the log that this process has sent.
    #[serde(default)]
    pub sent: u64,
    /// Their bytes.
    #[serde(default)]
    pub sent_bytes: u64,
    /// The agreed values, with their revisions.
    pub values: BTreeMap<String, (u64, String)>,
}

/// Why something is not agreed, as far as is known.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum SetError {
    /// It was agreed that it changes nothing.
    #[error("set aside at all nodes: {0}")]
    SetAside(Refusal),
    /// Nobody has confirmed it; it may still come to be.
    #[error("not confirmed in time: see whether most voters are up, then send it again under the same id")]
    Unconfirmed,
    /// It cannot be sent.
    #[error("{0}")]
    Invalid(#[from] ProposalError),
    /// There is too much to take in.
    #[error("too many calls at once: try again")]
    Busy,
    /// The part that could agree on it has ended.
    #[error("this process takes no part in the log any more: ask another node")]
    Stopped,
}

/// A command and who waits for it.
pub(crate) struct PendingProposal {
    pub command: Command,
    pub answer: oneshot::Sender<Result<u64, SetError>>,
}

/// What is asked.
pub(crate) type Proposals = mpsc::Receiver<PendingProposal>;

/// By which the rest of the program reaches the log.
#[derive(Clone, Debug)]
pub struct LogHandle {
    asks: mpsc::Sender<PendingProposal>,
    seen: watch::Receiver<LogView>,
}

pub(crate) fn channel() -> (LogHandle, Proposals, watch::Sender<LogView>) {
    let (asks, asked) = mpsc::channel(ASKS_MOST);
    let (tell, seen) = watch::channel(LogView::default());
    (LogHandle { asks, seen }, asked, tell)
}

impl LogHandle {
    /// As of now.
    pub fn view(&self) -> LogView {
        self.seen.borrow().clone()
    }

    /// Reads the view as of now without copying it; the log tells nothing new until `read` returns.
    pub fn with_view(&self, read: impl FnOnce(&LogView)) {
        read(&self.seen.borrow());
    }

    /// Sets an agreed value, where it stands at the expected revision if one is given; returns its new revision. The
    /// same id takes effect once.
    pub async fn set(
        &self, id: u128, key: String, value: Vec<u8>, expect: Option<u64>,
    ) -> Result<u64, SetError> {
        let body = postcard::to_stdvec(&Set { key, expect, value }).unwrap_or_default();
        let (answer, answered) = oneshot::channel();
        let asked = PendingProposal { command: Command { id, kind: SET, body }, answer };
        self.asks.try_send(asked).map_err(|error| match error {
            mpsc::error::TrySendError::Full(_) => SetError::Busy,
            mpsc::error::TrySendError::Closed(_) => SetError::Stopped,
        })?;
        match timeout(PATIENCE, answered).await {
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
