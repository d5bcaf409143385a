//! Console calls about the versioned configuration: its status, changes and rollbacks.

use std::sync::Arc;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::{Method, Response, StatusCode};
use merlinfold_revision::{Delta, Document, DocumentError, FORMAT_VERSION};
use serde::{Deserialize, Serialize};
use tokio::sync::Mutex;
use tokio::task::spawn_blocking;
use tokio::time::timeout;
use tracing::info;

use super::{read_body, text, ErrorResponse, COMMIT_TIMEOUT};
use crate::configuration::{
    Applier, ApplyError, FleetProgress, LocalStatus, Publication, PublicationError, Publisher, RevisionId,
};

/// Path of the configuration's status (GET) and of changes (POST).
pub const PATH: &str = "/fleet/configuration";
/// Path of the document in force.
pub const DOCUMENT_PATH: &str = "/fleet/configuration/document";
/// Path of rollbacks.
pub const ROLLBACK_PATH: &str = "/fleet/configuration/rollback";

/// Size limit of a change as JSON. A delta of 30,000 tenants fits.
const MAX_CHANGE_BYTES: usize = 4 << 20;

/// A rollback to an earlier revision.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Rollback {
    /// The revision that must be in force, so that no change is undone that the operator does not know of.
    from: u64,
    /// The revision whose content is restored.
    to: u64,
    /// As in [`Proposal::over_missing`].
    #[serde(default)]
    over_missing: bool,
}

/// A change to publish.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Proposal {
    /// The delta from the revision in force.
    delta: Delta,
    /// Whether to publish although a later revision was agreed on. The operator confirms by it that the content of that
    /// revision is lost.
    #[serde(default)]
    over_missing: bool,
}

#[derive(Serialize)]
struct ConfigurationStatus {
    here: LocalStatus,
    fleet: FleetProgress,
}

#[derive(Serialize)]
struct Published {
    revision: u64,
    epoch: u64,
}

/// A checked change, with the revision that it is based on.
struct PendingChange {
    base: RevisionId,
    delta: Delta,
    document: Document,
    over_missing: bool,
}

/// The console's API for the versioned configuration.
pub struct ConfigurationApi {
    applier: Arc<Applier>,
    publisher: Arc<dyn Publisher>,
    /// Locked while a change is read and published, which limits the memory to that of one change.
    publishing: Mutex<()>,
}

impl ConfigurationApi {
    /// Serves the configuration of this applier and publishes through this publisher.
    pub fn new(applier: Arc<Applier>, publisher: Arc<dyn Publisher>) -> Self {
        ConfigurationApi { applier, publisher, publishing: Mutex::default() }
    }

    async fn publish(&self, path: &str, body: Incoming) -> Result<Response<Full<Bytes>>, ErrorResponse> {
        let busy = |_| {
            error_response(
                StatusCode::SERVICE_UNAVAILABLE,
                "another change is being published here: try again",
            )
        };
        let _publishing = self.publishing.try_lock().map_err(busy)?;
        let body = read_body(path, body, MAX_CHANGE_BYTES).await?;
        let applier = self.applier.clone();
        let is_rollback = path == ROLLBACK_PATH;
        let change = move || {
            if is_rollback {
                rollback_change(&applier, &body)
            } else {
                proposed_change(&applier, &body)
            }
        };
        let (base, publication) =
            spawn_blocking(move || change().map(publication)).await.map_err(internal_error)??;
        info!(path, %base, "console: publishing a configuration change");
        let published = timeout(COMMIT_TIMEOUT, self.publisher.publish(publication)).await;
        let id = published.unwrap_or(Err(PublicationError::Unconfirmed)).map_err(publication_error)?;
        json_response(&Published { revision: id.number, epoch: id.epoch })
    }

    async fn document(&self) -> Result<Response<Full<Bytes>>, ErrorResponse> {
        let applier = self.applier.clone();
        let response = spawn_blocking(move || json_response(&*applier.document())).await;
        response.map_err(internal_error)?
    }

    fn status(&self) -> Result<Response<Full<Bytes>>, ErrorResponse> {
        json_response(&ConfigurationStatus { here: self.applier.status(), fleet: self.publisher.progress() })
    }
}

/// Answers a call about the configuration.
pub(super) async fn answer(
    path: &str, method: Method, body: Incoming, api: Option<Arc<ConfigurationApi>>,
) -> Result<Response<Full<Bytes>>, ErrorResponse> {
    let not_configured = || {
        error_response(
            StatusCode::NOT_FOUND,
            "no versioned configuration: merlinfold.toml has no [fleet.configuration]",
        )
    };
    let api = api.ok_or_else(not_configured)?;
    match path {
        _ if method == Method::POST => api.publish(path, body).await,
        DOCUMENT_PATH => api.document().await,
        _ => api.status(),
    }
}

/// Reads and checks a proposed change.
fn proposed_change(applier: &Applier, body: &[u8]) -> Result<PendingChange, ErrorResponse> {
    let Proposal { delta, over_missing } = parse(PATH, body)?;
    let (base, document) = applier.check(&delta).map_err(apply_error)?;
    Ok(PendingChange { base, delta, document, over_missing })
}

/// Reads and checks a rollback to an earlier revision.
fn rollback_change(applier: &Applier, body: &[u8]) -> Result<PendingChange, ErrorResponse> {
    let Rollback { from, to, over_missing } = parse(ROLLBACK_PATH, body)?;
    let delta = applier.rollback_delta(from, to).map_err(apply_error)?;
    let (base, document) = applier.check(&delta).map_err(apply_error)?;
    Ok(PendingChange { base, delta, document, over_missing })
}

/// Encodes a change for publication, and returns it with its base.
fn publication(change: PendingChange) -> (RevisionId, Publication) {
    let PendingChange { base, delta, document, over_missing } = change;
    let publication = Publication {
        base: Some(base).filter(|base| base.number > 0),
        format: FORMAT_VERSION,
        document: document.encode().into(),
        delta: delta.encode().into(),
        over_missing,
    };
    (base, publication)
}

fn parse<T: for<'read> Deserialize<'read>>(path: &str, body: &[u8]) -> Result<T, ErrorResponse> {
    let invalid = |error| error_response(StatusCode::BAD_REQUEST, format!("{path}: body: {error}"));
    serde_json::from_slice(body).map_err(invalid)
}

fn error_response(status: StatusCode, message: impl Into<String>) -> ErrorResponse {
    ErrorResponse::new(status, message)
}

fn internal_error(error: impl std::fmt::Display) -> ErrorResponse {
    error_response(StatusCode::INTERNAL_SERVER_ERROR, error.to_string())
}

fn apply_error(error: ApplyError) -> ErrorResponse {
    let status = match &error {
        ApplyError::Delta(DocumentError::Conflict { .. } | DocumentError::DigestMismatch { .. }) => {
            StatusCode::CONFLICT
        }
        ApplyError::NotStored(_) => StatusCode::CONFLICT,
        ApplyError::Ended => StatusCode::SERVICE_UNAVAILABLE,
        _ => StatusCode::BAD_REQUEST,
    };
    error_response(status, error.to_string())
}

fn publication_error(error: PublicationError) -> ErrorResponse {
    let status = match &error {
        PublicationError::Conflict(_) => StatusCode::CONFLICT,
        PublicationError::Refused(_) => StatusCode::BAD_REQUEST,
        PublicationError::Unconfirmed | PublicationError::Unavailable(_) => StatusCode::SERVICE_UNAVAILABLE,
    };
    error_response(status, error.to_string())
}

fn json_response(value: &impl Serialize) -> Result<Response<Full<Bytes>>, ErrorResponse> {
    let json = serde_json::to_string_pretty(value).map_err(internal_error)?;
    Ok(text(StatusCode::OK, json + "\n"))
}
