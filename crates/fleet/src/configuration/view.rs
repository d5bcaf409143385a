//! Which revision is in force where, in a form that the console tells.

use std::collections::BTreeMap;

use merlinfold_distribution::{NodeCount, Overview, RevisionId, MS};
use serde::{Deserialize, Serialize};

/// A revision that is not in force, and why.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RefusedRevision {
    /// Which, as `epoch.number`.
    pub revision: String,
    /// Why.
    pub reason: String,
}

/// Which revision is in force where, as far as this node knows. Revisions are written as `epoch.number`.
///
/// `live` is the sum of `applied`, `behind`, `ahead` and `unknown`. A node counts as applied only where it has said so
/// itself within the last minute; one that is silent is unknown.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigurationView {
    /// The latest revision that the log announces, as this node has heard.
    pub latest: Option<String>,
    /// The revision in force at this node.
    pub in_force: Option<String>,
    /// SHA-256 digest of its document, in hexadecimal.
    pub digest: Option<String>,
    /// The revision that this node refuses; the one in force stays.
    pub refused_here: Option<RefusedRevision>,
    /// The revision of this node's disk that was set aside.
    pub set_aside: Option<RefusedRevision>,
    /// Whether the disk has not taken the revision in force: a restart would begin with an earlier one.
    pub unsaved: bool,
    /// Milliseconds since the log was last heard to be fresh; none: never since the start. What is in force may be as
    /// old as that.
    pub log_silent_ms: Option<u64>,
    /// Live members, this node among them.
    pub live: usize,
    /// Those at which the latest revision is in force.
    pub applied: usize,
    /// Those with an earlier one, or none.
    pub behind: usize,
    /// Names of the first few of them.
    pub behind_names: Vec<String>,
    /// Those with a later one than this node has heard of.
    pub ahead: usize,
    /// Those that refuse a revision.
    pub refused: usize,
    /// Names of the first few of them.
    pub refused_names: Vec<String>,
    /// Those of which nothing was heard for a minute.
    pub unknown: usize,
    /// Names of the first few of them.
    pub unknown_names: Vec<String>,
    /// The lowest revision in force at a node that is known; `0.0`: none is in force there.
    pub lowest: Option<String>,
    /// The node of that revision.
    pub lowest_at: Option<String>,
    /// Age of the oldest report that is counted, in milliseconds.
    pub oldest_report_ms: u64,
    /// Known nodes by revision, the lowest few revisions.
    pub revisions: BTreeMap<String, usize>,
}

impl ConfigurationView {
    /// The same for the console.
    pub(crate) fn of(overview: Overview) -> Self {
        let text = |id: Option<RevisionId>| id.map(|id| id.to_string());
        let refused = |told: Option<(RevisionId, String)>| {
            told.map(|(id, reason)| RefusedRevision { revision: id.to_string(), reason })
        };
        let names = |count: &NodeCount| count.names.iter().map(|name| name.to_string()).collect();
        ConfigurationView {
            latest: text(overview.latest),
            in_force: text(overview.in_force),
            digest: overview.digest.map(|digest| digest.to_string()),
            refused_here: refused(overview.refused_here),
            set_aside: refused(overview.set_aside),
            unsaved: overview.unsaved,
            log_silent_ms: overview.log_fresh_age.map(|nanos| nanos / MS),
            live: overview.live,
            applied: overview.applied,
            behind: overview.behind.count,
            behind_names: names(&overview.behind),
            ahead: overview.ahead,
            refused: overview.refused.count,
            refused_names: names(&overview.refused),
            unknown: overview.unknown.count,
            unknown_names: names(&overview.unknown),
            lowest: text(overview.lowest.as_ref().map(|(id, _)| *id)),
            lowest_at: overview.lowest.map(|(_, name)| name.to_string()),
            oldest_report_ms: overview.oldest_report / MS,
            revisions: overview.revisions.into_iter().map(|(id, count)| (id.to_string(), count)).collect(),
        }
    }
}
