//! Which revision is in force where, as far as is known here and for how long.

use std::collections::BTreeMap;
use std::hash::Hasher;

use crate::bounds::{MAX_REPORTS_PER_DATAGRAM, MAX_STORED_REPORTS, REPORT_TTL};
use crate::config::{Nanos, SECOND};
use crate::revision::RevisionId;
use crate::wire::Report;

const AGE_STEP: Nanos = SECOND / 2;

/// What is known of a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Known {
    /// The revision in force there.
    pub id: RevisionId,
    /// Whether it refuses a later one.
    pub refused: bool,
    /// When that was so, at the latest; it may have been earlier, never later.
    pub as_of: Nanos,
}

/// Reports of other nodes.
#[derive(Clone, Debug, Default)]
pub struct Reports {
    known: BTreeMap<u32, Known>,
}

/// By which reports name a node. Spread evenly, also for names that are alike: what is told on is drawn by place among
/// the hashes.
pub fn hash(name: &str) -> u32 {
    let mut hasher = fnv::FnvHasher::default();
    hasher.write(name.as_bytes());
    // The finalizer of MurmurHash3: FNV leaves names that differ in their last byte next to each other.
    let mut hash = hasher.finish();
    hash = (hash ^ (hash >> 33)).wrapping_mul(0xff51_afd7_ed55_8ccd);
    hash = (hash ^ (hash >> 33)).wrapping_mul(0xc4ce_b9fe_1a85_ec53);
    (hash >> 32) as u32
}

impl Reports {
    /// Takes what another node tells. Its ages are rounded up, so nothing becomes younger by being told on.
    pub fn take(&mut self, now: Nanos, own: u32, reports: &[Report]) {
        for report in reports.iter().filter(|report| report.node != own) {
            let Some(as_of) = now.checked_sub(Nanos::from(report.age) * AGE_STEP) else { continue };
            if now - as_of >= REPORT_TTL {
                continue;
            }
            let known = Known { id: report.id, refused: report.refused, as_of };
            let full = self.known.len() >= MAX_STORED_REPORTS;
            match self.known.get_mut(&report.node) {
                Some(before) if before.as_of >= as_of => {}
                Some(before) => *before = known,
                None if full => {}
                None => {
                    self.known.insert(report.node, known);
                }
            }
        }
    }

    /// Drops what is too old to be believed.
    pub fn expire(&mut self, now: Nanos) {
        self.known.retain(|_, known| now.saturating_sub(known.as_of) < REPORT_TTL);
    }

    /// What is known of a node.
    pub fn of(&self, now: Nanos, node: u32) -> Option<Known> {
        self.known.get(&node).copied().filter(|known| now.saturating_sub(known.as_of) < REPORT_TTL)
    }

    /// Some reports to be told on: those that follow a drawn place in the order of hashes.
    pub fn sample(&self, now: Nanos, from: u32) -> Vec<Report> {
        let after = self.known.range(from..).chain(self.known.range(..from));
        let fresh = after.filter(|(_, known)| now.saturating_sub(known.as_of) < REPORT_TTL - 2 * AGE_STEP);
        fresh.take(MAX_REPORTS_PER_DATAGRAM - 1).map(|(node, known)| report(now, *node, *known)).collect()
    }
}

/// A report, its age rounded up by at least the time that it may take on its way.
pub fn report(now: Nanos, node: u32, known: Known) -> Report {
    let age = now.saturating_sub(known.as_of) / AGE_STEP + 1;
    Report { node, id: known.id, refused: known.refused, age: age.min(u8::MAX.into()) as u8 }
}
