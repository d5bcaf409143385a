//! What the node needs of the distribution: to publish a revision, and how far the fleet is.

use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;

use serde::Serialize;
use thiserror::Error;

use super::active::RevisionId;

/// A revision to be published.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Publication {
    /// The revision that it was made from; none: it is the first.
    pub base: Option<RevisionId>,
    /// Format of the document.
    pub format: u16,
    /// The whole document, encoded.
    pub document: Arc<[u8]>,
    /// The encoded delta from the base.
    pub delta: Arc<[u8]>,
    /// To be published from its base although a later revision was agreed on, the content of which is lost.
    pub over_missing: bool,
}

/// Why a revision is not published, as far as is known.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum PublicationError {
    /// Another publisher was first, or this node is behind.
    #[error("{0}")]
    Conflict(String),
    /// It cannot be published at all.
    #[error("{0}")]
    Refused(String),
    /// Nobody has confirmed it; it may still come to be.
    #[error("not confirmed in time: see which revision is the latest before publishing again")]
    Unconfirmed,
    /// It was not tried.
    #[error("{0}")]
    Unavailable(String),
}

/// Which revision is in force where, as far as this node knows. Revisions are written as `epoch.number`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct FleetProgress {
    /// The latest revision that was agreed on, as far as this node has heard.
    pub latest: Option<String>,
    /// Milliseconds since the agreed log was last heard to be fresh; none: never since the start.
    pub log_silent_ms: Option<u64>,
    /// Whether the disk has not taken the revision in force.
    pub unsaved: bool,
    /// Live nodes, this one among them: the sum of the next four.
    pub live: usize,
    /// Those that have said that the latest revision is in force there.
    pub applied: usize,
    /// Those with an earlier revision, or none.
    pub behind: usize,
    /// Those with a later revision than this node has heard of.
    pub ahead: usize,
    /// Those that have said nothing of late.
    pub unknown: usize,
    /// Those that refuse a revision.
    pub refused: usize,
    /// Names of the first few that are behind.
    pub behind_names: Vec<String>,
    /// Names of the first few that have said nothing of late.
    pub unknown_names: Vec<String>,
    /// Names of the first few that refuse a revision.
    pub refused_names: Vec<String>,
    /// The lowest revision in force at a node that is known.
    pub lowest: Option<String>,
    /// The node of that revision.
    pub lowest_at: Option<String>,
}

/// A publication under way.
pub type PublishFuture<'a> = Pin<Box<dyn Future<Output = Result<RevisionId, PublicationError>> + Send + 'a>>;

/// The distribution, as the rest of the node uses it.
pub trait Publisher: Send + Sync {
    /// Has a revision agreed on and spread; returns when it is agreed on.
    fn publish(&self, publication: Publication) -> PublishFuture<'_>;

    /// How far the fleet is.
    fn progress(&self) -> FleetProgress;
}
