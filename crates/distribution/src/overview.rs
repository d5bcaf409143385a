//! Statistics for operators: the revision in force at each node.

use std::collections::BTreeMap;

use crate::config::{Name, Nanos};
use crate::revision::RevisionId;

/// Maximum number of names in each list of an overview.
pub const MAX_NAMES: usize = 16;

/// A count of nodes, with the names of the first few.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct NodeCount {
    /// Number of nodes.
    pub count: usize,
    /// Names of the first 16 nodes.
    pub names: Vec<Name>,
}

impl NodeCount {
    pub(crate) fn add(&mut self, name: &Name) {
        self.count += 1;
        if self.names.len() < MAX_NAMES {
            self.names.push(name.clone());
        }
    }
}

/// The fleet as one node knows it. A node counts as applied only if it reported so itself within the last minute,
/// directly or through other nodes.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Overview {
    /// The latest revision that the local copy of the log announces.
    pub latest: Option<RevisionId>,
    /// The revision in force at this node.
    pub in_force: Option<RevisionId>,
    /// Digest of the document in force.
    pub digest: Option<crate::revision::Digest>,
    /// The revision that this node refuses, and the reason.
    pub refused_here: Option<(RevisionId, String)>,
    /// The revision from this node's disk that was set aside, and the reason.
    pub set_aside: Option<(RevisionId, String)>,
    /// Whether the last disk write failed.
    pub unsaved: bool,
    /// Nanoseconds since the local copy of the log was last known to be fresh; `None` if it never was since the start.
    /// The revision in force may be outdated by as much.
    pub log_fresh_age: Option<Nanos>,
    /// Number of live members, including this node.
    pub live: usize,
    /// Number of nodes with the latest revision in force.
    pub applied: usize,
    /// Nodes with an earlier revision in force.
    pub behind: NodeCount,
    /// Number of nodes with a later revision in force than the local copy of the log announces.
    pub ahead: usize,
    /// Nodes that refuse a revision.
    pub refused: NodeCount,
    /// Nodes without a report within the last minute.
    pub unknown: NodeCount,
    /// The lowest reported revision and a node that reported it; number 0 means that none is in force there.
    pub lowest: Option<(RevisionId, Name)>,
    /// Age of the oldest report that was counted, in nanoseconds.
    pub oldest_report: Nanos,
    /// Number of reporting nodes by revision, for the 16 lowest revisions.
    pub revisions: BTreeMap<RevisionId, usize>,
}
