//! The versioned configuration for operators: how it stands, changes of it, and going back.

use std::sync::Arc;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::{Method, Response, StatusCode};
use merlinfold_revision::{Delta, Document, Fault, FORMAT_VERSION};
use serde::{Deserialize, Serialize};
use tokio::sync::Mutex;
use tokio::task::spawn_blocking;
use tokio::time::timeout;
use tracing::info;

use super::{read_body, text, ErrorResponse, COMMIT_TIMEOUT};
use crate::configuration::{
    Applier, ApplyError, FleetProgress, LocalStatus, Publication, PublicationError, Publisher, RevisionId,
};

/// How the configuration stands, and changes of it.
pub const PATH: &str = "/fleet/configuration";
/// The document in force.
pub const DOCUMENT_PATH: &str = "/fleet/configuration/document";
/// Going back.
pub const ROLLBACK_PATH: &str = "/fleet/configuration/rollback";

/// Bytes of a delta as JSON: one that names each of 30,000 tenants fits.
const MAX_DELTA_JSON: usize = 4 << 20;

/// Back to an earlier revision.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Rollback {
    /// The revision that has to be in force, so that nobody's change is undone unseen.
    from: u64,
    /// The revision whose content is wanted.
    to: u64,
    /// As in [`Proposal::over_missing`].
    #[serde(default)]
    over_missing: bool,
}

/// A delta, with how it is to be published.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Proposal {
    /// What changes.
    delta: Delta,
    /// Although a later revision was agreed on: its content is lost, and the operator knows that.
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

/// What is to be published, and the revision that it is based on.
struct PendingChange {
    base: RevisionId,
    delta: Delta,
    document: Document,
    over_missing: bool,
}

/// Calls about the configuration.
pub struct ConfigurationApi {
    applier: Arc<Applier>,
    publisher: Arc<dyn Publisher>,
    /// Held while a change is read and published: memory for one at a time.
    publishing: Mutex<()>,
}

impl ConfigurationApi {
    /// At a node with this state and this way to the others.
    pub fn new(applier: Arc<Applier>, publisher: Arc<dyn Publisher>) -> Self {
        ConfigurationApi { applier, publisher, publishing: Mutex::default() }
    }

    async fn publish(&self, path: &str, body: Incoming) -> Result<Response<Full<Bytes>>, ErrorResponse> {
        let busy =
            |_| refusal(StatusCode::SERVICE_UNAVAILABLE, "another change is being published here: try again");
        let _one = self.publishing.try_lock().map_err(busy)?;
        let body = read_body(path, body, MAX_DELTA_JSON).await?;
        let applier = self.applier.clone();
        let goes_back = path == ROLLBACK_PATH;
        let change = move || if goes_back { rollback(&applier, &body) } else { delta(&applier, &body) };
        let (base, publication) =
            spawn_blocking(move || change().map(publication)).await.map_err(failed)??;
        info!(path, %base, "console: configuration to be published");
        let published = timeout(COMMIT_TIMEOUT, self.publisher.publish(publication)).await;
        let id = published.unwrap_or(Err(PublicationError::Unconfirmed)).map_err(not_published)?;
        json(&Published { revision: id.number, epoch: id.epoch })
    }

    async fn document(&self) -> Result<Response<Full<Bytes>>, ErrorResponse> {
        let applier = self.applier.clone();
        let shown = spawn_blocking(move || json(&*applier.document())).await;
        shown.map_err(failed)?
    }

    fn standing(&self) -> Result<Response<Full<Bytes>>, ErrorResponse> {
        json(&ConfigurationStatus { here: self.applier.status(), fleet: self.publisher.progress() })
    }
}

/// Answers a call about the configuration.
pub(super) async fn answer(
    path: &str, method: Method, body: Incoming, calls: Option<Arc<ConfigurationApi>>,
) -> Result<Response<Full<Bytes>>, ErrorResponse> {
    let none = || {
        refusal(
            StatusCode::NOT_FOUND,
            "no versioned configuration: merlinfold.toml has no [fleet.configuration]",
        )
    };
    let calls = calls.ok_or_else(none)?;
    match path {
        _ if method == Method::POST => calls.publish(path, body).await,
        DOCUMENT_PATH => calls.document().await,
        _ => calls.standing(),
    }
}

/// The change that a delta states.
fn delta(applier: &Applier, body: &[u8]) -> Result<PendingChange, ErrorResponse> {
    let Proposal { delta, over_missing } = parse(PATH, body)?;
    let (base, document) = applier.check(&delta).map_err(not_applicable)?;
    Ok(PendingChange { base, delta, document, over_missing })
}

/// The change that goes back to an earlier revision.
fn rollback(applier: &Applier, body: &[u8]) -> Result<PendingChange, ErrorResponse> {
    let Rollback { from, to, over_missing } = parse(ROLLBACK_PATH, body)?;
    let delta = applier.rollback_delta(from, to).map_err(not_applicable)?;
    let (base, document) = applier.check(&delta).map_err(not_applicable)?;
    Ok(PendingChange { base, delta, document, over_missing })
}

/// The change as it is published, with the number of its base.
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
    let fault = |error| refusal(StatusCode::BAD_REQUEST, format!("{path}: body: {error}"));
    serde_json::from_slice(body).map_err(fault)
}

fn refusal(status: StatusCode, fault: impl Into<String>) -> ErrorResponse {
    ErrorResponse::new(status, fault)
}

fn failed(error: impl std::fmt::Display) -> ErrorResponse {
    refusal(StatusCode::INTERNAL_SERVER_ERROR, error.to_string())
}

fn not_applicable(error: ApplyError) -> ErrorResponse {
    let status = match &error {
        ApplyError::Delta(Fault::Conflict { .. } | Fault::OtherContent { .. }) => StatusCode::CONFLICT,
        ApplyError::NotHeld(_) => StatusCode::CONFLICT,
        ApplyError::Ended => StatusCode::SERVICE_UNAVAILABLE,
        _ => StatusCode::BAD_REQUEST,
    };
    refusal(status, error.to_string())
}

fn not_published(error: PublicationError) -> ErrorResponse {
    let status = match &error {
        PublicationError::Conflict(_) => StatusCode::CONFLICT,
        PublicationError::Refused(_) => StatusCode::BAD_REQUEST,
        PublicationError::Unconfirmed | PublicationError::Unavailable(_) => StatusCode::SERVICE_UNAVAILABLE,
    };
    refusal(status, error.to_string())
}

fn json(shown: &impl Serialize) -> Result<Response<Full<Bytes>>, ErrorResponse> {
    let shown = serde_json::to_string_pretty(shown).map_err(failed)?;
    Ok(text(StatusCode::OK, shown + "\n"))
}
