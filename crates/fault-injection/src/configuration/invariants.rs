//! What has to hold of the distribution, judged as it happens.

use std::collections::{BTreeMap, BTreeSet};

use merlinfold_distribution::{Announcement, Digest, Document, Overview, RevisionId};
use merlinfold_simulation::{Nanos, SECOND};

/// A confirmed revision is in force at every reachable live node within this.
pub const IN_FORCE_TIMEOUT: Nanos = 12 * SECOND;
/// Bytes a second of a node on the mean day.
pub const MAX_BYTES_S: f64 = 3_000.0;
const MAX_VIOLATIONS: usize = 16;

/// A law that was broken.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    /// Which.
    pub invariant: &'static str,
    /// When.
    pub at: Nanos,
    /// How.
    pub detail: String,
}

/// All that was seen, as far as laws need it.
#[derive(Debug, Default)]
pub struct InvariantChecker {
    committed: BTreeMap<RevisionId, Announcement>,
    digests: BTreeMap<RevisionId, Digest>,
    floors: BTreeMap<usize, RevisionId>,
    applied: BTreeSet<(usize, RevisionId)>,
    highest: BTreeMap<usize, RevisionId>,
    /// What was broken.
    pub violations: Vec<Violation>,
}

impl InvariantChecker {
    fn record_violation(&mut self, invariant: &'static str, at: Nanos, detail: String) {
        if self.violations.len() < MAX_VIOLATIONS {
            self.violations.push(Violation { invariant, at, detail });
        }
    }

    /// The log has agreed on this, or a disk came from where it had been.
    pub fn announcement_committed(&mut self, announcement: Announcement) {
        self.committed.insert(announcement.id, announcement);
    }

    /// A document is about to come into force.
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
                format!("n{node} applies {id}, which is not agreed"),
            ),
            Some(committed) if committed.digest != digest => {
                let detail = format!("n{node}: {id} is {digest:?}, announced is {:?}", committed.digest);
                self.record_violation("whole and verified", now, detail);
            }
            Some(_) => {}
        }
        if let Some(floor) = self.floors.get(&node).filter(|floor| **floor > id) {
            let detail = format!("n{node} applies {id} after {floor}");
            self.record_violation("never lower", now, detail);
        }
    }

    /// It is in force.
    pub fn applied(&mut self, node: usize, id: RevisionId) {
        self.floors.insert(node, id);
        self.applied.insert((node, id));
        let highest = self.highest.entry(node).or_default();
        *highest = id.max(*highest);
    }

    /// A node has set its revision aside by name, or has started again with what its disk held, which may be older.
    pub fn reset_floor(&mut self, node: usize) {
        self.floors.remove(&node);
    }

    /// What an observer counts.
    pub fn overview(
        &mut self, now: Nanos, observer: usize, overview: &Overview, live: &[(usize, Option<RevisionId>)],
    ) {
        for (node, known) in live {
            let Some(known) = known.filter(|known| known.number > 0) else { continue };
            if !self.applied.contains(&(*node, known)) {
                let detail = format!("n{observer} holds {known} in force at n{node}, which never was");
                self.record_violation("silence is not applied", now, detail);
            }
        }
        let Some(latest) = overview.latest else { return };
        let has = |node: &usize| self.applied.contains(&(*node, latest));
        let most = live.iter().filter(|(node, _)| has(node)).count() + usize::from(has(&observer));
        if overview.applied > most {
            let detail = format!("n{observer} counts {} at {latest}; {most} ever were", overview.applied);
            self.record_violation("silence is not applied", now, detail);
        }
    }

    /// A node that could be reached does not have in time what was confirmed.
    pub fn missing_after_timeout(&mut self, now: Nanos, node: usize, id: RevisionId, inside: &str) {
        self.record_violation("in force within 12 s", now, format!("n{node} does not have {id}: {inside}"));
    }

    /// A confirmed revision's content was nowhere to be had at the end.
    pub fn content_lost(&mut self, now: Nanos, id: RevisionId) {
        self.record_violation("confirmed is kept", now, format!("{id} is in force nowhere"));
    }

    /// Bytes a second of a node on the mean day.
    pub fn check_bandwidth(&mut self, now: Nanos, bytes_s: f64) {
        if bytes_s > MAX_BYTES_S {
            self.record_violation("3 KB/s", now, format!("{bytes_s:.0} bytes a second a node"));
        }
    }
}
