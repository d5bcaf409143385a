//! Reports of the revision in force at other nodes, with their age.

use std::collections::BTreeMap;
use std::hash::Hasher;

use crate::bounds::{MAX_REPORTS_PER_DATAGRAM, MAX_STORED_REPORTS, REPORT_TTL};
use crate::config::{Nanos, SECOND};
use crate::revision::RevisionId;
use crate::wire::Report;

/// Unit of [`Report::age`].
const AGE_STEP: Nanos = SECOND / 2;

/// The last report of a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NodeReport {
    /// The revision in force there.
    pub id: RevisionId,
    /// Whether the node refuses a later revision.
    pub refused: bool,
    /// Time of the report, rounded towards the past, so that a report never counts as more recent than it is.
    pub as_of: Nanos,
}

/// Reports of other nodes, by hash of the name.
#[derive(Clone, Debug, Default)]
pub struct Reports {
    by_node: BTreeMap<u32, NodeReport>,
}

/// Returns the hash by which reports identify a node. Similar names spread evenly, because reports to pass on are
/// sampled by position among the hashes.
pub fn hash(name: &str) -> u32 {
    let mut hasher = fnv::FnvHasher::default();
    hasher.write(name.as_bytes());
    // The finalizer of MurmurHash3. FNV alone maps names that differ in the last byte to neighbouring hashes.
    let mut hash = hasher.finish();
    hash = (hash ^ (hash >> 33)).wrapping_mul(0xff51_afd7_ed55_8ccd);
    hash = (hash ^ (hash >> 33)).wrapping_mul(0xc4ce_b9fe_1a85_ec53);
    (hash >> 32) as u32
}

impl Reports {
    /// Merges reports received from another node. Ages are rounded up, so passing a report on never makes it younger.
    pub fn merge(&mut self, now: Nanos, own: u32, reports: &[Report]) {
        for report in reports.iter().filter(|report| report.node != own) {
            let Some(as_of) = now.checked_sub(Nanos::from(report.age) * AGE_STEP) else { continue };
            if now - as_of >= REPORT_TTL {
                continue;
            }
            let received = NodeReport { id: report.id, refused: report.refused, as_of };
            let full = self.by_node.len() >= MAX_STORED_REPORTS;
            match self.by_node.get_mut(&report.node) {
                Some(last) if last.as_of >= as_of => {}
                Some(last) => *last = received,
                None if full => {}
                None => {
                    self.by_node.insert(report.node, received);
                }
            }
        }
    }

    /// Drops reports older than [`REPORT_TTL`].
    pub fn expire(&mut self, now: Nanos) {
        self.by_node.retain(|_, last| now.saturating_sub(last.as_of) < REPORT_TTL);
    }

    /// Returns the unexpired report of a node.
    pub fn get(&self, now: Nanos, node: u32) -> Option<NodeReport> {
        self.by_node.get(&node).copied().filter(|last| now.saturating_sub(last.as_of) < REPORT_TTL)
    }

    /// Returns reports to pass on: those that follow the hash `from`, wrapping around.
    pub fn sample(&self, now: Nanos, from: u32) -> Vec<Report> {
        let after = self.by_node.range(from..).chain(self.by_node.range(..from));
        let fresh = after.filter(|(_, last)| now.saturating_sub(last.as_of) < REPORT_TTL - 2 * AGE_STEP);
        fresh.take(MAX_REPORTS_PER_DATAGRAM - 1).map(|(node, last)| build_report(now, *node, *last)).collect()
    }
}

/// Builds a report, with its age rounded up by at least one step for the time in transit.
pub fn build_report(now: Nanos, node: u32, last: NodeReport) -> Report {
    let age = now.saturating_sub(last.as_of) / AGE_STEP + 1;
    Report { node, id: last.id, refused: last.refused, age: age.min(u8::MAX.into()) as u8 }
}
