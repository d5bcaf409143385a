//! Which revision is in force at which node, as the console shows it.

use std::collections::BTreeMap;

use merlinfold_distribution::{NodeCount, Overview, RevisionId, MS};
use serde::{Deserialize, Serialize};

/// A revision that is not in force, and the reason.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RefusedRevision {
    /// The revision as `epoch.number`.
    pub revision: String,
    /// Why it was refused or set aside.
    pub reason: String,
}

/// Which revision is in force at which node, as far as this node knows. Revisions are written as `epoch.number`.
///
/// `live` is the sum of `applied`, `behind`, `ahead` and `unknown`. A node counts as applied only if it has reported
/// the revision itself within the last minute; a silent node is unknown.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigurationView {
    /// The latest revision that the log announces, as far as this node knows.
    pub latest: Option<String>,
    /// The revision in force at this node.
    pub in_force: Option<String>,
    /// SHA-256 digest of its document, in hexadecimal.
    pub digest: Option<String>,
    /// The revision that this node refuses; the previous one stays in force.
    pub refused_here: Option<RefusedRevision>,
    /// The revision on this node's disk that was set aside.
    pub set_aside: Option<RefusedRevision>,
    /// Whether the revision in force is not saved on the disk. A restart would begin with an earlier one.
    pub unsaved: bool,
    /// Milliseconds since the log was last known to be current; `None` if it never was since the start. The
    /// configuration in force may be outdated by this time.
    pub log_silent_ms: Option<u64>,
    /// Number of live members, including this node.
    pub live: usize,
    /// Number of live members at which the latest revision is in force.
    pub applied: usize,
    /// Number of live members with an earlier revision or none.
    pub behind: usize,
    /// Names of the first few members that are behind.
    pub behind_names: Vec<String>,
    /// Number of live members with a later revision than this node knows.
    pub ahead: usize,
    /// Number of live members that refuse a revision.
    pub refused: usize,
    /// Names of the first few members that refuse a revision.
    pub refused_names: Vec<String>,
    /// Number of live members without a report for one minute.
    pub unknown: usize,
    /// Names of the first few members without a report.
    pub unknown_names: Vec<String>,
    /// The lowest revision in force at a node with a report; `0.0` if none is in force there.
    pub lowest: Option<String>,
    /// Name of the node with the lowest revision.
    pub lowest_at: Option<String>,
    /// Age of the oldest report that is counted, in milliseconds.
    pub oldest_report_ms: u64,
    /// Number of nodes with a report by revision, for the lowest few revisions.
    pub revisions: BTreeMap<String, usize>,
}

impl ConfigurationView {
    /// Converts the overview of the distribution for the console.
    pub(crate) fn from_overview(overview: Overview) -> Self {
        let text = |id: Option<RevisionId>| id.map(|id| id.to_string());
        let refused = |refusal: Option<(RevisionId, String)>| {
            refusal.map(|(id, reason)| RefusedRevision { revision: id.to_string(), reason })
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
