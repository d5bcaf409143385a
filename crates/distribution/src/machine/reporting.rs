//! Exchange of reports of the revision in force, and their statistics.

use std::collections::BTreeMap;

use super::{Action, Distribution};
use crate::bounds::REPORT_INTERVAL;
use crate::config::{Defect, Name, Nanos, Peer};
use crate::overview::{Overview, MAX_NAMES};
use crate::reports::{self, build_report, NodeReport};
use crate::revision::RevisionId;
use crate::wire::{Body, Report};

impl Distribution {
    /// Returns this node's own report. A revision that is set aside stays in force but is reported as none.
    fn own_report(&self, now: Nanos) -> NodeReport {
        let in_force = self.in_force.as_ref().filter(|_| !self.in_force_set_aside);
        let id = in_force.map_or_else(RevisionId::default, |document| document.announcement.id);
        NodeReport { id, refused: self.refused.is_some(), as_of: now }
    }

    fn sample_reports(&mut self, now: Nanos) -> Vec<Report> {
        let mut reports = vec![build_report(now, self.own_hash(), self.own_report(now))];
        let from = self.rng.u32(..);
        reports.extend(self.reports.sample(now, from));
        reports
    }

    /// Sends reports to one random live node at intervals.
    pub(super) fn report(&mut self, now: Nanos, actions: &mut Vec<Action>) {
        if now < self.report_at {
            return;
        }
        self.report_at = now + REPORT_INTERVAL / 2 + self.rng.u64(0..REPORT_INTERVAL);
        self.reports.expire(now);
        let alive: Vec<&Peer> = self.peers.iter().filter(|peer| peer.alive).collect();
        if alive.is_empty() {
            return;
        }
        let to = alive[self.rng.usize(0..alive.len())].name.clone();
        let reports = self.sample_reports(now);
        self.send(&to, Body::Reports { reports, answer: true }, actions);
    }

    pub(super) fn reports_received(
        &mut self, now: Nanos, from: &Name, reports: &[Report], answer: bool, actions: &mut Vec<Action>,
    ) {
        self.reports.merge(now, self.own_hash(), reports);
        if answer {
            let reports = self.sample_reports(now);
            self.send(from, Body::Reports { reports, answer: false }, actions);
        }
    }

    /// Returns the statistics of the fleet as this node knows it.
    pub fn overview(&self, now: Nanos) -> Overview {
        let latest = self.log.announcement.map(|announcement| announcement.id);
        let mut overview = Overview {
            latest,
            in_force: self.in_force.as_ref().map(|document| document.announcement.id),
            digest: self.in_force.as_ref().map(|document| document.announcement.digest),
            refused_here: self.refused.clone(),
            set_aside: self.set_aside.clone(),
            unsaved: self.saving.is_failing(),
            log_fresh_age: self.log_fresh_at.map(|at| now.saturating_sub(at)),
            ..Overview::default()
        };
        count(&mut overview, now, &self.identity.name, Some(self.own_report(now)));
        let mut names: BTreeMap<u32, usize> = BTreeMap::from([(self.own_hash(), 1)]);
        let live = || self.peers.iter().filter(|peer| peer.alive);
        live().for_each(|peer| *names.entry(reports::hash(&peer.name)).or_default() += 1);
        for peer in live() {
            let hash = reports::hash(&peer.name);
            // If two names have the same hash, the report cannot be attributed to either.
            let report = self.reports.get(now, hash).filter(|_| names.get(&hash) == Some(&1));
            let report = match (report, self.tuning.defect) {
                (None, Some(Defect::CountsSilentAsApplied)) => {
                    latest.map(|id| NodeReport { id, refused: false, as_of: now })
                }
                _ => report,
            };
            count(&mut overview, now, &peer.name, report);
        }
        while overview.revisions.len() > MAX_NAMES {
            overview.revisions.pop_last();
        }
        overview
    }

    /// Returns the last reported revision of a node, or `None` without a report within [`crate::bounds::REPORT_TTL`].
    pub fn reported_revision(&self, now: Nanos, name: &str) -> Option<RevisionId> {
        self.reports.get(now, reports::hash(name)).map(|report| report.id)
    }
}

fn count(overview: &mut Overview, now: Nanos, name: &Name, report: Option<NodeReport>) {
    overview.live += 1;
    let Some(report) = report else { return overview.unknown.add(name) };
    overview.oldest_report = overview.oldest_report.max(now.saturating_sub(report.as_of));
    *overview.revisions.entry(report.id).or_default() += 1;
    if report.refused {
        overview.refused.add(name);
    }
    match Some(report.id).filter(|id| id.number > 0).cmp(&overview.latest) {
        std::cmp::Ordering::Less => overview.behind.add(name),
        std::cmp::Ordering::Equal => overview.applied += 1,
        std::cmp::Ordering::Greater => overview.ahead += 1,
    }
    if overview.lowest.as_ref().is_none_or(|(lowest, _)| report.id < *lowest) {
        overview.lowest = Some((report.id, name.clone()));
    }
}
