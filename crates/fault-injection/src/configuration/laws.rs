//! What has to hold of the distribution, judged as it happens.

use std::collections::{BTreeMap, BTreeSet};

use merlinfold_distribution::{Announcement, Digest, Document, Overview, RevisionId};
use merlinfold_simulation::{Nanos, SECOND};

/// A confirmed revision is in force at every reachable live node within this.
pub const IN_FORCE_WITHIN: Nanos = 12 * SECOND;
/// Bytes a second of a node on the mean day.
pub const MAX_BYTES_S: f64 = 3_000.0;
const MAX_BREACHES: usize = 16;

/// A law that was broken.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Breach {
    /// Which.
    pub law: &'static str,
    /// When.
    pub at: Nanos,
    /// How.
    pub how: String,
}

/// All that was seen, as far as laws need it.
#[derive(Debug, Default)]
pub struct Watch {
    agreed: BTreeMap<RevisionId, Announcement>,
    digests: BTreeMap<RevisionId, Digest>,
    floors: BTreeMap<usize, RevisionId>,
    applied: BTreeSet<(usize, RevisionId)>,
    highest: BTreeMap<usize, RevisionId>,
    /// What was broken.
    pub breaches: Vec<Breach>,
}

impl Watch {
    fn breach(&mut self, law: &'static str, at: Nanos, how: String) {
        if self.breaches.len() < MAX_BREACHES {
            self.breaches.push(Breach { law, at, how });
        }
    }

    /// The log has agreed on this, or a disk came from where it had been.
    pub fn agreed(&mut self, announcement: Announcement) {
        self.agreed.insert(announcement.id, announcement);
    }

    /// A document is about to come into force.
    pub fn applies(&mut self, now: Nanos, node: usize, document: &Document) {
        let Document { announcement, bytes } = document;
        let id = announcement.id;
        let digest = Digest::of(bytes);
        let first = *self.digests.entry(id).or_insert(digest);
        if first != digest {
            self.breach(
                "one digest",
                now,
                format!("n{node}: {id} is {digest:?} here and {first:?} elsewhere"),
            );
        }
        match self.agreed.get(&id) {
            None => self.breach("committed first", now, format!("n{node} applies {id}, which is not agreed")),
            Some(agreed) if agreed.digest != digest => {
                let how = format!("n{node}: {id} is {digest:?}, announced is {:?}", agreed.digest);
                self.breach("whole and verified", now, how);
            }
            Some(_) => {}
        }
        if let Some(floor) = self.floors.get(&node).filter(|floor| **floor > id) {
            let how = format!("n{node} applies {id} after {floor}");
            self.breach("never lower", now, how);
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
    pub fn begins_anew(&mut self, node: usize) {
        self.floors.remove(&node);
    }

    /// What an observer counts.
    pub fn overview(
        &mut self, now: Nanos, observer: usize, overview: &Overview, live: &[(usize, Option<RevisionId>)],
    ) {
        for (node, known) in live {
            let Some(known) = known.filter(|known| known.number > 0) else { continue };
            if !self.applied.contains(&(*node, known)) {
                let how = format!("n{observer} holds {known} in force at n{node}, which never was");
                self.breach("silence is not applied", now, how);
            }
        }
        let Some(latest) = overview.latest else { return };
        let has = |node: &usize| self.applied.contains(&(*node, latest));
        let most = live.iter().filter(|(node, _)| has(node)).count() + usize::from(has(&observer));
        if overview.applied > most {
            let how = format!("n{observer} counts {} at {latest}; {most} ever were", overview.applied);
            self.breach("silence is not applied", now, how);
        }
    }

    /// A node that could be reached does not have in time what was confirmed.
    pub fn late(&mut self, now: Nanos, node: usize, id: RevisionId, inside: &str) {
        self.breach("in force within 12 s", now, format!("n{node} does not have {id}: {inside}"));
    }

    /// A confirmed revision's content was nowhere to be had at the end.
    pub fn lost(&mut self, now: Nanos, id: RevisionId) {
        self.breach("confirmed is kept", now, format!("{id} is in force nowhere"));
    }

    /// Bytes a second of a node on the mean day.
    pub fn control(&mut self, now: Nanos, bytes_s: f64) {
        if bytes_s > MAX_BYTES_S {
            self.breach("3 KB/s", now, format!("{bytes_s:.0} bytes a second a node"));
        }
    }
}
