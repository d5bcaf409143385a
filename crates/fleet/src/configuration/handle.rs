//! Publication of revisions, and the view of which revision is in force at which node.
//!
//! The program implements [`merlinfold_distribution::Content`] and passes it to `Fleet::serve_configuration`. Its
//! `compose` builds documents from deltas, and its `apply` puts a verified document in force between two requests. Both
//! are called on threads that may block, one call at a time. The program receives a [`ConfigurationHandle`] in return.

use merlinfold_distribution::{Document, PublishError, RevisionId};
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::{timeout, Duration};

use super::ConfigurationView;

const MAX_PENDING_PUBLICATIONS: usize = 16; // publications that wait for the event loop
const OUTCOME_TIMEOUT: Duration = Duration::from_secs(24); // longer than the timeouts of staging and log

/// A revision to publish. The caller has validated the document, which is complete and in its canonical encoding.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NewRevision {
    /// The revision on which it is based, as [`ConfigurationHandle::publication_base`] returned it; `None` for the
    /// first one.
    pub base: Option<RevisionId>,
    /// Format of the document. Nodes that do not know it refuse the revision, report its id and keep the previous one.
    pub format: u16,
    /// The complete document, for nodes that lack the base or have been away for long.
    pub document: Vec<u8>,
    /// The difference to the base. Nodes with the base fetch only this and apply it by `Content::compose`; the result
    /// must equal the document byte by byte. With `None` all nodes fetch the complete document.
    pub delta: Option<Vec<u8>>,
    /// Whether to publish although the log announces a later revision that this node cannot fetch. Meant for an
    /// operator who knows that the content of that revision is lost.
    pub over_missing: bool,
}

/// A publication and the channel that receives its result.
pub(crate) struct PendingPublication {
    pub revision: NewRevision,
    pub outcome_sender: oneshot::Sender<Result<RevisionId, PublishError>>,
}

/// Publications that wait for the event loop.
pub(crate) type Publications = mpsc::Receiver<PendingPublication>;

/// Senders by which the event loop publishes its state to handles.
pub(crate) struct Watches {
    pub in_force: watch::Sender<Option<Document>>,
    pub publication_base: watch::Sender<Option<Document>>,
    pub view: watch::Sender<ConfigurationView>,
}

/// Handle by which other parts of the program publish revisions and observe which is in force.
#[derive(Clone, Debug)]
pub struct ConfigurationHandle {
    publications: mpsc::Sender<PendingPublication>,
    in_force: watch::Receiver<Option<Document>>,
    publication_base: watch::Receiver<Option<Document>>,
    view: watch::Receiver<ConfigurationView>,
}

pub(crate) fn channel() -> (ConfigurationHandle, Publications, Watches) {
    let (publications, receiver) = mpsc::channel(MAX_PENDING_PUBLICATIONS);
    let (in_force_sender, in_force) = watch::channel(None);
    let (base_sender, publication_base) = watch::channel(None);
    let (view_sender, view) = watch::channel(ConfigurationView::default());
    let watches = Watches { in_force: in_force_sender, publication_base: base_sender, view: view_sender };
    (ConfigurationHandle { publications, in_force, publication_base, view }, receiver, watches)
}

impl ConfigurationHandle {
    /// The document in force at this node, with its announcement.
    pub fn in_force(&self) -> Option<Document> {
        self.in_force.borrow().clone()
    }

    /// Receives each revision that comes into force at this node.
    pub fn watch(&self) -> watch::Receiver<Option<Document>> {
        self.in_force.clone()
    }

    /// The document on which the next revision has to be based. It differs from the one in force if `Content::apply`
    /// has refused it.
    pub fn publication_base(&self) -> Option<Document> {
        self.publication_base.borrow().clone()
    }

    /// Which revision is in force at which node. Updated every second and after each revision at this node.
    pub fn view(&self) -> ConfigurationView {
        self.view.borrow().clone()
    }

    /// Publishes a revision: stores its content at a majority of the log's voters, and then announces it in the log. A
    /// returned id means that the revision is confirmed and is not lost while a majority of the voters survives; nodes
    /// apply it within seconds. After [`PublishError::Unconfirmed`] the revision may still come into force.
    pub async fn publish(&self, revision: NewRevision) -> Result<RevisionId, PublishError> {
        let (outcome_sender, outcome_receiver) = oneshot::channel();
        self.publications.try_send(PendingPublication { revision, outcome_sender }).map_err(|error| {
            match error {
                mpsc::error::TrySendError::Full(_) => PublishError::Busy,
                mpsc::error::TrySendError::Closed(_) => PublishError::NotParticipating,
            }
        })?;
        match timeout(OUTCOME_TIMEOUT, outcome_receiver).await {
            Ok(Ok(outcome)) => outcome,
            Ok(Err(_)) => Err(PublishError::NotParticipating),
            Err(_) => Err(PublishError::Unconfirmed),
        }
    }
}
