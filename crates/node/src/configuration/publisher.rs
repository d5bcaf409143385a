//! The interface to the distribution: publishing a revision, and its progress in the fleet.

use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;

use serde::Serialize;
use thiserror::Error;

use super::active::RevisionId;

/// A revision to be published.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Publication {
    /// The revision that it is based on. The first revision has none.
    pub base: Option<RevisionId>,
    /// Format version of the document.
    pub format: u16,
    /// The whole document, encoded.
    pub document: Arc<[u8]>,
    /// The encoded delta from the base.
    pub delta: Arc<[u8]>,
    /// Whether to publish it although a later revision than its base was agreed on, whose content is lost.
    pub over_missing: bool,
}

/// Why a revision was not published, as far as is known.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum PublicationError {
    /// Another revision was published first, or this node has an earlier revision.
    #[error("{0}")]
    Conflict(String),
    /// It is not valid for publication.
    #[error("{0}")]
    Refused(String),
    /// It was not confirmed in time and may still be published.
    #[error("not confirmed in time: check which revision is the latest before publishing again")]
    Unconfirmed,
    /// Publication was not attempted.
    #[error("{0}")]
    Unavailable(String),
}

/// Progress of the configuration in the fleet, as far as this node knows. Revisions are written as `epoch.number`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct FleetProgress {
    /// The latest agreed revision that this node knows of.
    pub latest: Option<String>,
    /// Milliseconds since this node last knew that its copy of the replicated log was current. There is none if it
    /// never was since the start.
    pub log_silent_ms: Option<u64>,
    /// Whether the revision in force could not be saved to disk.
    pub unsaved: bool,
    /// Number of live nodes, including this one: the sum of the next four.
    pub live: usize,
    /// Nodes that have reported the latest revision as in force.
    pub applied: usize,
    /// Nodes that have reported an earlier revision or none.
    pub behind: usize,
    /// Nodes that have reported a later revision than this node knows of.
    pub ahead: usize,
    /// Nodes without a recent report.
    pub unknown: usize,
    /// Nodes that refuse a revision.
    pub refused: usize,
    /// Names of the first few nodes that are behind.
    pub behind_names: Vec<String>,
    /// Names of the first few nodes without a recent report.
    pub unknown_names: Vec<String>,
    /// Names of the first few nodes that refuse a revision.
    pub refused_names: Vec<String>,
    /// The lowest revision that a node has reported as in force.
    pub lowest: Option<String>,
    /// The node with that revision.
    pub lowest_at: Option<String>,
}

/// The result of a publication that is in progress.
pub type PublishFuture<'a> = Pin<Box<dyn Future<Output = Result<RevisionId, PublicationError>> + Send + 'a>>;

/// Publishes revisions to the fleet.
pub trait Publisher: Send + Sync {
    /// Publishes a revision to the fleet. Returns once the fleet has agreed on it, which is before all nodes apply it.
    fn publish(&self, publication: Publication) -> PublishFuture<'_>;

    /// Progress of the configuration in the fleet.
    fn progress(&self) -> FleetProgress;
}
