//! How the rest of the program publishes a revision, and sees which is in force where.
//!
//! The program implements [`merlinfold_distribution::Content`] and hands it to `Fleet::serve_configuration`: its `compose`
//! makes documents from deltas, its `apply` puts a verified document in force between two requests. Both are called on
//! threads that may block, one call at a time. What comes back is a [`ConfigurationHandle`].

use merlinfold_distribution::{Document, PublishError, RevisionId};
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::{timeout, Duration};

use super::ConfigurationView;

const MAX_WAITING: usize = 16; // publications that wait to be taken in
const PATIENCE: Duration = Duration::from_secs(24); // beyond the times after which staging and log give up

/// A revision to be published. The caller has validated it: the document is the whole of it, in its canonical encoding.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NewRevision {
    /// The revision that it was made from, as [`ConfigurationHandle::publication_base`] gave it; none: it is the first.
    pub base: Option<RevisionId>,
    /// Format of the document. Nodes that do not know it refuse the revision by name and keep the one before.
    pub format: u16,
    /// The whole document. Nodes that lack the base, or have been away for long, fetch this.
    pub document: Vec<u8>,
    /// What was changed. Nodes that have the base fetch this alone and apply it by `Content::compose`; the result must
    /// be the document, byte by byte. None: all nodes fetch the whole document.
    pub delta: Option<Vec<u8>>,
    /// Publish from the base although the log announces a later revision which this node cannot fetch: for an operator
    /// who knows that its content is lost.
    pub over_missing: bool,
}

/// A publication and who waits for its outcome.
pub(crate) struct PendingPublication {
    pub change: NewRevision,
    pub answer: oneshot::Sender<Result<RevisionId, PublishError>>,
}

/// What is asked.
pub(crate) type Publications = mpsc::Receiver<PendingPublication>;

/// What the part on the socket tells.
pub(crate) struct Watches {
    pub in_force: watch::Sender<Option<Document>>,
    pub held: watch::Sender<Option<Document>>,
    pub view: watch::Sender<ConfigurationView>,
}

/// By which the rest of the program reaches the distribution.
#[derive(Clone, Debug)]
pub struct ConfigurationHandle {
    asks: mpsc::Sender<PendingPublication>,
    in_force: watch::Receiver<Option<Document>>,
    held: watch::Receiver<Option<Document>>,
    view: watch::Receiver<ConfigurationView>,
}

pub(crate) fn channel() -> (ConfigurationHandle, Publications, Watches) {
    let (asks, asked) = mpsc::channel(MAX_WAITING);
    let (tell_in_force, in_force) = watch::channel(None);
    let (tell_held, held) = watch::channel(None);
    let (tell_view, view) = watch::channel(ConfigurationView::default());
    let tells = Watches { in_force: tell_in_force, held: tell_held, view: tell_view };
    (ConfigurationHandle { asks, in_force, held, view }, asked, tells)
}

impl ConfigurationHandle {
    /// The document in force at this node, as it was announced.
    pub fn in_force(&self) -> Option<Document> {
        self.in_force.borrow().clone()
    }

    /// Tells of each revision that comes into force here.
    pub fn watch(&self) -> watch::Receiver<Option<Document>> {
        self.in_force.clone()
    }

    /// The document that the next revision has to be made from. It differs from the one in force where `Content::apply`
    /// has refused it.
    pub fn publication_base(&self) -> Option<Document> {
        self.held.borrow().clone()
    }

    /// Which revision is in force where. Renewed every second, and when something changes here.
    pub fn view(&self) -> ConfigurationView {
        self.view.borrow().clone()
    }

    /// Publishes a revision: brings its content to a majority of the log's voters, then has it announced. When this
    /// returns an id the revision is confirmed and will not be lost while a majority of the voters stands; nodes apply it
    /// within seconds. [`PublishError::Unconfirmed`] says that it may still come to be.
    pub async fn publish(&self, change: NewRevision) -> Result<RevisionId, PublishError> {
        let (answer, answered) = oneshot::channel();
        self.asks.try_send(PendingPublication { change, answer }).map_err(|error| match error {
            mpsc::error::TrySendError::Full(_) => PublishError::Busy,
            mpsc::error::TrySendError::Closed(_) => PublishError::NotParticipating,
        })?;
        match timeout(PATIENCE, answered).await {
            Ok(Ok(outcome)) => outcome,
            Ok(Err(_)) => Err(PublishError::NotParticipating),
            Err(_) => Err(PublishError::Unconfirmed),
        }
    }
}
