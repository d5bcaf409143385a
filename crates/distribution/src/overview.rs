//! Which revision is in force where, in figures that an operator reads.

use std::collections::BTreeMap;

use crate::config::{Name, Nanos};
use crate::revision::RevisionId;

/// Names of nodes that an overview holds at most, in each list.
pub const MAX_NAMES: usize = 16;

/// A count of nodes, with the names of the first few.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct NodeCount {
    /// How many.
    pub count: usize,
    /// Names of the first [`MAX_NAMES`].
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

/// The fleet as it is known at one node. A node is counted as applied only where it has said so itself within the last
/// minute, at first or second hand.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Overview {
    /// The latest revision that the log here announces.
    pub latest: Option<RevisionId>,
    /// The revision in force at this node.
    pub in_force: Option<RevisionId>,
    /// Digest of its document.
    pub digest: Option<crate::revision::Digest>,
    /// The revision that this node refuses, and why.
    pub refused_here: Option<(RevisionId, String)>,
    /// A revision of this node's disk that was set aside, and why.
    pub set_aside: Option<(RevisionId, String)>,
    /// Whether the disk has not taken the revision in force.
    pub unsaved: bool,
    /// Nanoseconds since the log was last heard to be fresh; none: never since the start. What is in force may be as
    /// old as that.
    pub log_fresh_age: Option<Nanos>,
    /// Live members, this node among them.
    pub live: usize,
    /// Those at which the latest revision is in force.
    pub applied: usize,
    /// Those with an earlier one.
    pub behind: NodeCount,
    /// Those with a later one than the log here announces.
    pub ahead: usize,
    /// Those that refuse a revision.
    pub refused: NodeCount,
    /// Those of which nothing was heard for a minute.
    pub unknown: NodeCount,
    /// The lowest revision in force at a node that is known; number 0: none is in force there.
    pub lowest: Option<(RevisionId, Name)>,
    /// Age of the oldest report that is counted.
    pub oldest_report: Nanos,
    /// Known nodes by revision, the lowest [`MAX_NAMES`] of them.
    pub revisions: BTreeMap<RevisionId, usize>,
}
