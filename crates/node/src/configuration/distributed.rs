//! Connects the fleet's distribution, which treats documents as bytes, to the node's [`Applier`].

use std::sync::Arc;

use merlinfold_distribution::{Content, Delta, PublishError, Rejection, RevisionId as FleetRevision};
use merlinfold_fleet::{ConfigurationHandle, ConfigurationView, NewRevision};
use merlinfold_revision::FORMAT_VERSION;

use super::active::RevisionId;
use super::applier::{Applier, ApplyError};
use super::publisher::{FleetProgress, Publication, PublicationError, PublishFuture, Publisher};

/// Applies and composes documents for the distribution.
pub struct NodeContent(pub Arc<Applier>);

impl Content for NodeContent {
    fn max_format(&self) -> u16 {
        FORMAT_VERSION
    }

    fn compose(&self, document: &[u8], deltas: &[Delta]) -> Result<Vec<u8>, Rejection> {
        let base = deltas.first().map_or(0, |delta| delta.base);
        let deltas = deltas.iter().map(|delta| (delta.number, &*delta.bytes));
        Applier::compose(document, base, deltas).map_err(rejection)
    }

    fn apply(&self, revision: FleetRevision, document: &[u8]) -> Result<(), Rejection> {
        self.0.apply(node_revision(revision), document).map_err(rejection)
    }

    fn set_aside(&self, _: FleetRevision) {
        self.0.accept_any_revision();
    }
}

/// Publishes revisions through the fleet.
pub struct FleetPublisher(pub ConfigurationHandle);

impl Publisher for FleetPublisher {
    fn publish(&self, publication: Publication) -> PublishFuture<'_> {
        let change = NewRevision {
            base: publication.base.map(fleet_revision),
            format: publication.format,
            document: publication.document.to_vec(),
            delta: Some(publication.delta.to_vec()),
            over_missing: publication.over_missing,
        };
        Box::pin(async move { self.0.publish(change).await.map(node_revision).map_err(publication_error) })
    }

    fn progress(&self) -> FleetProgress {
        progress(self.0.view())
    }
}

fn rejection(error: ApplyError) -> Rejection {
    Rejection(error.to_string())
}

fn node_revision(FleetRevision { epoch, number }: FleetRevision) -> RevisionId {
    RevisionId { epoch, number }
}

fn fleet_revision(RevisionId { epoch, number }: RevisionId) -> FleetRevision {
    FleetRevision { epoch, number }
}

fn publication_error(error: PublishError) -> PublicationError {
    let text = error.to_string();
    match error {
        PublishError::Superseded(_) | PublishError::NewEpoch => PublicationError::Conflict(text),
        PublishError::TooLong(_) => PublicationError::Refused(text),
        PublishError::Unconfirmed => PublicationError::Unconfirmed,
        PublishError::Behind
        | PublishError::Busy
        | PublishError::NotStaged { .. }
        | PublishError::ProposalRejected(_)
        | PublishError::NotParticipating => PublicationError::Unavailable(text),
    }
}

fn progress(view: ConfigurationView) -> FleetProgress {
    FleetProgress {
        latest: view.latest,
        log_silent_ms: view.log_silent_ms,
        unsaved: view.unsaved,
        live: view.live,
        applied: view.applied,
        behind: view.behind,
        ahead: view.ahead,
        unknown: view.unknown,
        refused: view.refused,
        behind_names: view.behind_names,
        unknown_names: view.unknown_names,
        refused_names: view.refused_names,
        lowest: view.lowest,
        lowest_at: view.lowest_at,
    }
}
