//! The invariants of the distribution of configuration, checked on every event.

use std::collections::{BTreeMap, BTreeSet};

use merlinfold_distribution::{Announcement, Digest, Document, Overview, RevisionId};
use merlinfold_simulation::{Nanos, SECOND};

/// Time within which a confirmed revision must be in force at every healthy node.
pub const IN_FORCE_TIMEOUT: Nanos = 12 * SECOND;
/// Maximum bytes per second that a node may send on an average day.
pub const MAX_BYTES_S: f64 = 3_000.0;
const MAX_VIOLATIONS: usize = 16; // recorded in one run

/// A violation of an invariant.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    /// Name of the invariant.
    pub invariant: &'static str,
    /// Virtual time.
    pub at: Nanos,
    /// What was observed.
    pub detail: String,
}

/// The observations that the invariants need, and the violations found.
#[derive(Debug, Default)]
pub struct InvariantChecker {
    committed: BTreeMap<RevisionId, Announcement>,
    digests: BTreeMap<RevisionId, Digest>,
    floors: BTreeMap<usize, RevisionId>, // for each node, the lowest revision that it may apply
    applied: BTreeSet<(usize, RevisionId)>,
    highest: BTreeMap<usize, RevisionId>,
    /// Violations, in order of time.
    pub violations: Vec<Violation>,
}

/// Records a violation, up to [`MAX_VIOLATIONS`].
impl InvariantChecker {
    fn record_violation(&mut self, invariant: &'static str, at: Nanos, detail: String) {
        if self.violations.len() < MAX_VIOLATIONS {
            self.violations.push(Violation { invariant, at, detail });
        }
    }

    /// An announcement was committed, or left on a disk by an earlier log.
    pub fn announcement_committed(&mut self, announcement: Announcement) {
        self.committed.insert(announcement.id, announcement);
    }

    /// A node is about to apply a document: it must be committed, match its digest and not be lower than the one in
    /// force.
    pub fn applies(&mut self, now: Nanos, node: usize, document: &Document) {
        let Document { announcement, bytes } = document;
        let id = announcement.id;
        let digest = Digest::of(bytes);
        let first = *self.digests.entry(id).or_insert(digest);
        if first != digest {
            self.record_violation(
                "one digest",
                now,
                format!("n{node}: {id} is {digest:?} here and {first:?} elsewhere"),
            );
        }
        match self.committed.get(&id) {
            None => self.record_violation(
                "committed first",
                now,
                format!("n{node} applies {id}, which is not committed"),
            ),
            Some(committed) if committed.digest != digest => {
                let detail = format!("n{node}: {id} is {digest:?}, but {:?} was announced", committed.digest);
                self.record_violation("whole and verified", now, detail);
            }
            Some(_) => {}
        }
        if let Some(floor) = self.floors.get(&node).filter(|floor| **floor > id) {
            let detail = format!("n{node} applies {id} after {floor}");
            self.record_violation("never lower", now, detail);
        }
    }

    /// A revision is in force at a node.
    pub fn applied(&mut self, node: usize, id: RevisionId) {
        self.floors.insert(node, id);
        self.applied.insert((node, id));
        let highest = self.highest.entry(node).or_default();
        *highest = id.max(*highest);
    }

    /// A node set its revision aside on request, or restarted with disk contents that may be older.
    pub fn reset_floor(&mut self, node: usize) {
        self.floors.remove(&node);
    }

    /// Checks what an observer reports: `overview` and the revisions that it knows of live nodes must not exceed what
    /// was applied.
    pub fn overview(
        &mut self, now: Nanos, observer: usize, overview: &Overview, live: &[(usize, Option<RevisionId>)],
    ) {
        for (node, known) in live {
            let Some(known) = known.filter(|known| known.number > 0) else { continue };
            if !self.applied.contains(&(*node, known)) {
                let detail = format!("n{observer} reports {known} in force at n{node}, where it never was");
                self.record_violation("silence is not applied", now, detail);
            }
        }
        let Some(latest) = overview.latest else { return };
        let has = |node: &usize| self.applied.contains(&(*node, latest));
        let max = live.iter().filter(|(node, _)| has(node)).count() + usize::from(has(&observer));
        if overview.applied > max {
            let detail = format!(
                "n{observer} counts {} nodes at {latest}, but at most {max} ever had it",
                overview.applied
            );
            self.record_violation("silence is not applied", now, detail);
        }
    }

    /// A healthy node does not have a confirmed revision in time.
    pub fn missing_after_timeout(&mut self, now: Nanos, node: usize, id: RevisionId, summary: &str) {
        self.record_violation("in force within 12 s", now, format!("n{node} does not have {id}: {summary}"));
    }

    /// The content of a confirmed revision was in force nowhere at the end.
    pub fn content_lost(&mut self, now: Nanos, id: RevisionId) {
        self.record_violation("confirmed is kept", now, format!("{id} is not in force at any node"));
    }

    /// Checks the bytes per second of a node on an average day.
    pub fn check_bandwidth(&mut self, now: Nanos, bytes_s: f64) {
        if bytes_s > MAX_BYTES_S {
            self.record_violation("3 KB/s", now, format!("{bytes_s:.0} bytes per second and node"));
        }
    }
}
