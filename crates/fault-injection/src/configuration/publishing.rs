//! Publishes revisions, and simulates how the log commits them.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use merlinfold_distribution::{
    Announcement, Delta, Digest, Document, Event, FileWrite, ProposalError, Publication, PublishError,
    RevisionId, Ticket,
};
use merlinfold_simulation::{Nanos, MS, SECOND};
use rand::seq::SliceRandom;
use rand::Rng;

use super::content::{compose, document, patch};
use super::generate::ScenarioKind;
use super::host::HostResult;
use super::invariants::IN_FORCE_TIMEOUT;
use super::node::MAX_FORMAT;
use super::simulator::{QueuedEvent, Simulator};
use crate::scenario::DiskContents;
use crate::schedule::StepAction;

const SMALL_DOCUMENT_BYTES: usize = 12_000; // length of a usual document
const LARGE_DOCUMENT_BYTES: usize = 1_500_000; // length of a document with 30,000 tenants
const DELTA_BYTES: std::ops::Range<usize> = 40..600; // length of a usual delta
const BURST_REVISIONS: usize = 100;
const PUBLISH_UNTIL: Nanos = 40 * SECOND;
/// Time between two publications at 1,300 a day.
const AVERAGE_DAY_INTERVAL: std::ops::Range<Nanos> = 33 * SECOND..99 * SECOND;
const COMMIT_TIMEOUT: Nanos = 10 * SECOND; // until the log reports that it cannot confirm
const COMMIT_RETRY_INTERVAL: Nanos = 500 * MS;

/// A proposal that the log has not decided yet.
pub struct Commit {
    node: usize,
    start: u64,
    ticket: Ticket,
    announcement: Announcement,
    expect: u64,
    until: Nanos,
}

/// The publications so far.
#[derive(Default)]
pub struct Publishing {
    /// When each confirmed revision was confirmed.
    pub confirmed: BTreeMap<RevisionId, Nanos>,
    /// Nodes that each active link rule affects.
    pub rules: BTreeMap<usize, Vec<usize>>,
    tickets: Ticket,
    burst: usize,                   // publications of the current burst that are still to come
    killed: BTreeMap<usize, Nanos>, // for each voter that was killed or stopped, when that last happened
    lost: Option<RevisionId>, // content up to this revision may be lost, because half of the voters or more restarted
    restarted: bool,          // whether most of the fleet was already restarted once
    failures: usize,          // in a row, because the publisher lacks the latest content
}

impl Publishing {
    /// Records that a node was killed or stopped. If that happens to at least half of the voters within the time that
    /// content takes to spread, the content confirmed so far may be lost.
    pub fn killed(&mut self, now: Nanos, node: usize, voters: usize) {
        if node >= voters {
            return;
        }
        self.killed.insert(node, now);
        let recent = self.killed.values().filter(|at| now < **at + IN_FORCE_TIMEOUT).count();
        if 2 * recent >= voters {
            self.lost = self.confirmed.keys().max().copied().max(self.lost);
        }
    }

    /// Returns whether the content of a revision may be lost without violating an invariant.
    pub fn is_lost(&self, id: RevisionId) -> bool {
        self.lost >= Some(id)
    }
}

impl Simulator<'_> {
    /// Sets up the nodes and disks that this kind of scenario needs before the first start.
    pub fn prepare(&mut self) {
        let count = self.nodes.len();
        let voters = self.scenario.voters;
        let mut affected: Vec<usize> = (voters + 1..count).collect();
        affected.shuffle(&mut self.stream);
        affected.truncate(count / 5);
        match self.scenario.kind {
            ScenarioKind::Corrupt => {
                affected.iter().for_each(|node| self.nodes[*node].corrupts_pieces = true)
            }
            ScenarioKind::Refused => {
                for (index, node) in affected.into_iter().enumerate() {
                    self.nodes[node].lacks_latest_format = index % 2 == 0;
                    self.nodes[node].refused_number = (index % 2 == 1).then_some(3);
                }
            }
            ScenarioKind::LaterDisk if self.scenario.durable_disks => {
                if let Some(node) = affected.first() {
                    self.leave_later_disk(*node);
                }
            }
            _ => {}
        }
    }

    /// Leaves a revision of a future epoch on a node's disk.
    fn leave_later_disk(&mut self, node: usize) {
        let bytes: Arc<[u8]> = document(&mut self.stream, SMALL_DOCUMENT_BYTES).into();
        let announcement = Announcement {
            id: RevisionId { epoch: 9, number: 500 },
            format: 1,
            digest: Digest::of(&bytes),
            length: bytes.len() as u32,
            base: 499,
        };
        self.checker.announcement_committed(announcement);
        let node_state = &self.nodes[node];
        let saved =
            FileWrite::InForce(Document { announcement, bytes }).save(&node_state.disk, &node_state.name);
        debug_assert!(saved.is_ok(), "the disk has no fault before the first start");
    }

    /// Publishes a revision and schedules the next publication.
    pub fn publish(&mut self) {
        let kind = self.scenario.kind;
        if !kind.is_average_day() && self.now > PUBLISH_UNTIL {
            return;
        }
        let publishers = (self.scenario.voters + 2).min(self.nodes.len());
        let node = self.stream.random_range(0..publishers);
        self.publish_at(node);
        if kind == ScenarioKind::Faults && self.stream.random_range(0..4) == 0 {
            let other = self.stream.random_range(0..publishers);
            self.publish_at(other); // two publishers at the same time
        }
        if kind == ScenarioKind::Burst && self.now >= 8 * SECOND && self.publishing.burst == 0 {
            self.publishing.burst = BURST_REVISIONS;
        }
        let pause = match kind {
            ScenarioKind::Calm | ScenarioKind::HourApart => self.stream.random_range(AVERAGE_DAY_INTERVAL),
            ScenarioKind::Burst if self.now < 8 * SECOND => 6 * SECOND,
            ScenarioKind::Burst => 30 * SECOND,
            ScenarioKind::Large => 8 * SECOND,
            _ => self.stream.random_range(SECOND..4 * SECOND),
        };
        self.push(self.now + pause, QueuedEvent::Publish);
    }

    /// Publishes a revision on top of the one that the node has, if it is up.
    pub fn publish_at(&mut self, node: usize) {
        if !self.nodes[node].is_up() {
            return;
        }
        let Some(machine) = &self.nodes[node].machine else { return };
        let stored = machine.verified_document().cloned();
        let number = stored.as_ref().map_or(0, |stored| stored.announcement.id.number);
        let large = self.scenario.kind == ScenarioKind::Large;
        let length = if large { LARGE_DOCUMENT_BYTES } else { SMALL_DOCUMENT_BYTES };
        let (document_bytes, delta) = match &stored {
            None => (document(&mut self.stream, length), None),
            Some(stored) => {
                let changed = if large && number == 2 {
                    LARGE_DOCUMENT_BYTES * 9 / 10
                } else {
                    self.stream.random_range(DELTA_BYTES)
                };
                let bytes: Arc<[u8]> = patch(&mut self.stream, number, length, changed).into();
                let delta = Delta { base: number, number: number + 1, bytes: bytes.clone() };
                let Ok(document_bytes) = compose(&stored.bytes, &[delta]) else { return };
                (document_bytes, Some(bytes))
            }
        };
        self.outcome.max_document_bytes = self.outcome.max_document_bytes.max(document_bytes.len());
        self.publishing.tickets += 1;
        let format = if self.scenario.kind == ScenarioKind::Refused && number == 4 { MAX_FORMAT } else { 1 };
        let publication = Publication {
            ticket: self.publishing.tickets,
            base: stored.map(|stored| stored.announcement.id),
            format,
            document: document_bytes.into(),
            delta,
            over_missing: self.publishing.failures > 6,
        };
        self.handle_event(node, Event::Publish(publication));
    }

    /// Records the outcome of a publication; during a burst, a failed one is tried again.
    pub fn published(&mut self, node: usize, _ticket: Ticket, outcome: Result<RevisionId, PublishError>) {
        self.line(Some(node), || format!("published: {outcome:?}"));
        match &outcome {
            Ok(_) => self.publishing.failures = 0,
            Err(error) => {
                if *error == PublishError::Behind {
                    self.publishing.failures += 1;
                }
                let reason = format!("{error:?}");
                let reason = reason.split([' ', '(', '{']).next().unwrap_or_default().to_owned();
                *self.outcome.failed_publications.entry(reason).or_default() += 1;
                if self.publishing.burst > 0 {
                    self.push(self.now + 200 * MS, QueuedEvent::PublishAt(node));
                }
            }
        }
    }

    /// Returns whether a node is a voter that reaches a majority of the voters.
    pub fn has_majority(&self, node: usize) -> bool {
        let voters = self.scenario.voters;
        let reached =
            (0..voters).filter(|other| self.nodes[*other].is_up() && self.can_communicate(node, *other));
        node < voters && 2 * reached.count() > voters
    }

    /// Sends a proposal to the log.
    pub fn propose(&mut self, node: usize, ticket: Ticket, announcement: Announcement, expect: u64) {
        let (start, until) = (self.nodes[node].starts, self.now + COMMIT_TIMEOUT);
        let delay = self.stream.random_range(4 * MS..30 * MS);
        let commit = Commit { node, start, ticket, announcement, expect, until };
        self.push(self.now + delay, QueuedEvent::Commit(commit));
    }

    /// Commits a proposal if a majority of the voters can be reached, and tries again until the timeout otherwise.
    pub fn commit(&mut self, commit: Commit) {
        let Commit { node, start, ticket, announcement, expect, until } = commit;
        if self.nodes[node].starts != start || self.nodes[node].machine.is_none() {
            return; // the proposing process has ended, so nobody sends it again
        }
        let voters = 0..self.scenario.voters;
        let leader =
            voters.clone().find(|voter| self.can_communicate(node, *voter) && self.has_majority(*voter));
        let Some(leader) = leader.filter(|leader| self.nodes[*leader].is_up() && self.nodes[node].is_up())
        else {
            if self.now >= until {
                let outcome = Err(ProposalError::Unconfirmed);
                return self.schedule_host_result(node, 5 * MS, HostResult::Proposed(ticket, outcome));
            }
            return self.push(self.now + COMMIT_RETRY_INTERVAL, QueuedEvent::Commit(commit));
        };
        let outcome = self.log.append(announcement, expect);
        if outcome.is_ok() {
            self.checker.announcement_committed(announcement);
            if let std::collections::btree_map::Entry::Vacant(first) =
                self.publishing.confirmed.entry(announcement.id)
            {
                first.insert(self.now);
                self.push(self.now + IN_FORCE_TIMEOUT, QueuedEvent::Check { node: None, since: self.now });
            }
            self.line(Some(node), || format!("{} is committed", announcement.id));
            let count = self.log.committed.len();
            let reached: Vec<usize> = voters.filter(|voter| self.can_communicate(leader, *voter)).collect();
            for voter in reached {
                let (start, delay) = (self.nodes[voter].starts, self.stream.random_range(2 * MS..60 * MS));
                self.push(
                    self.now + delay,
                    QueuedEvent::LogUpdate { node: voter, start, count, fresh: true },
                );
            }
            self.inject_publication_fault(node, leader);
        }
        self.schedule_host_result(node, 5 * MS, HostResult::Proposed(ticket, outcome));
        if self.publishing.burst > 0 {
            self.publishing.burst -= 1;
            let start = self.nodes[node].starts;
            let count = self.log.committed.len();
            self.push(self.now + 6 * MS, QueuedEvent::LogUpdate { node, start, count, fresh: true });
            self.push(self.now + 100 * MS, QueuedEvent::PublishAt(node));
        }
    }

    /// Kills all voters at once; they restart and found a new log, without up to two of its last announcements.
    pub fn recreate_log(&mut self) {
        for voter in 0..self.scenario.voters {
            self.push(self.now, QueuedEvent::ExtraStep(StepAction::Kill(voter)));
            self.push(
                self.now + 2 * SECOND,
                QueuedEvent::ExtraStep(StepAction::Start(voter, DiskContents::Kept)),
            );
        }
        let without = self.stream.random_range(0..3);
        for lost in self.log.recreate(without) {
            self.line(None, || format!("the log has lost {}", lost.id));
            self.publishing.confirmed.remove(&lost.id);
        }
    }

    /// Kills nodes between a confirmation and the spread of its content, if this kind of scenario does so.
    fn inject_publication_fault(&mut self, node: usize, leader: usize) {
        let killed: Vec<usize> = match self.scenario.kind {
            ScenarioKind::LeaderKilled if self.stream.random::<bool>() => {
                [node, leader].into_iter().collect::<BTreeSet<usize>>().into_iter().collect()
            }
            ScenarioKind::MostRestart
                if self.publishing.confirmed.len() == 3 && !self.publishing.restarted =>
            {
                self.publishing.restarted = true;
                let mut all: Vec<usize> = (0..self.nodes.len()).collect();
                all.shuffle(&mut self.stream);
                all.truncate(self.nodes.len() * 7 / 10);
                all
            }
            _ => return,
        };
        for node in killed.into_iter().filter(|node| self.nodes[*node].is_up()).collect::<Vec<_>>() {
            let at = self.now + self.stream.random_range(0..20 * MS);
            self.push(at, QueuedEvent::ExtraStep(StepAction::Kill(node)));
            self.push(at + 3 * SECOND, QueuedEvent::ExtraStep(StepAction::Start(node, DiskContents::Kept)));
        }
    }
}
