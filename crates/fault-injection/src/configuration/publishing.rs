//! Who publishes what when, and what the modelled log does with it.

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
use super::draw::Kind;
use super::host::Done;
use super::laws::IN_FORCE_WITHIN;
use super::node::MAX_FORMAT;
use super::player::{Ev, Player};
use crate::schedule::Do;
use crate::spec::Kept;

const SMALL: usize = 12_000; // bytes of a document
const LARGE: usize = 1_500_000; // the same with 30,000 tenants
const CHANGE: std::ops::Range<usize> = 40..600; // bytes of a usual delta
const BURST: usize = 100;
const PUBLISH_UNTIL: Nanos = 40 * SECOND;
const MEAN_DAY: std::ops::Range<Nanos> = 33 * SECOND..99 * SECOND; // between two of 1,300 a day
const COMMIT_LASTS: Nanos = 10 * SECOND; // until the log gives up
const COMMIT_AGAIN: Nanos = 500 * MS;

/// A proposal on its way.
pub struct Commit {
    node: usize,
    start: u64,
    ticket: Ticket,
    announcement: Announcement,
    expect: u64,
    until: Nanos,
}

/// What was published so far.
#[derive(Default)]
pub struct Publishing {
    /// When each confirmed revision was.
    pub confirmed: BTreeMap<RevisionId, Nanos>,
    /// Nodes that a rule of links troubles.
    pub rules: BTreeMap<usize, Vec<usize>>,
    tickets: Ticket,
    burst: usize,
    killed: BTreeMap<usize, Nanos>, // voters that were killed, and when last
    lost: Option<RevisionId>, // the content of revisions up to this may be lost: a majority did not stand
    restarted: bool,
    failures: usize, // in a row, for want of the latest content
}

impl Publishing {
    /// A node was killed or stopped. Where it and others make a majority of the voters within the time in which content
    /// spreads, what was confirmed in that time may be lost.
    pub fn killed(&mut self, now: Nanos, node: usize, voters: usize) {
        if node >= voters {
            return;
        }
        self.killed.insert(node, now);
        let recent = self.killed.values().filter(|at| now < **at + IN_FORCE_WITHIN).count();
        if 2 * recent >= voters {
            self.lost = self.confirmed.keys().max().copied().max(self.lost);
        }
    }

    /// Whether the content of a revision may be lost by rights.
    pub fn is_lost(&self, id: RevisionId) -> bool {
        self.lost >= Some(id)
    }
}

impl Player<'_> {
    /// What stands there before the first start.
    pub fn prepare(&mut self) {
        let count = self.nodes.len();
        let voters = self.world.voters;
        let others: Vec<usize> = (voters + 1..count).collect();
        let mut some = others.clone();
        some.shuffle(&mut self.stream);
        some.truncate(count / 5);
        match self.world.kind {
            Kind::Corrupt => some.iter().for_each(|node| self.nodes[*node].is_corrupt = true),
            Kind::Refused => {
                for (place, node) in some.into_iter().enumerate() {
                    self.nodes[node].is_old = place % 2 == 0;
                    self.nodes[node].refuses = (place % 2 == 1).then_some(3);
                }
            }
            Kind::LaterDisk if self.world.lasting => {
                if let Some(node) = some.first() {
                    self.leave_later_disk(*node);
                }
            }
            _ => {}
        }
    }

    /// A disk with a revision of an epoch that is yet to come.
    fn leave_later_disk(&mut self, node: usize) {
        let bytes: Arc<[u8]> = document(&mut self.stream, SMALL).into();
        let announcement = Announcement {
            id: RevisionId { epoch: 9, number: 500 },
            format: 1,
            digest: Digest::of(&bytes),
            length: bytes.len() as u32,
            base: 499,
        };
        self.watch.agreed(announcement);
        let of = &self.nodes[node];
        let saved = FileWrite::InForce(Document { announcement, bytes }).save(&of.disk, &of.name);
        debug_assert!(saved.is_ok(), "nothing is wrong with the disk yet");
    }

    /// The next publication, and when the one after it is due.
    pub fn publish(&mut self) {
        let kind = self.world.kind;
        if !kind.is_mean_day() && self.now > PUBLISH_UNTIL {
            return;
        }
        let among = (self.world.voters + 2).min(self.nodes.len());
        let node = self.stream.random_range(0..among);
        self.publish_at(node);
        if kind == Kind::Faults && self.stream.random_range(0..4) == 0 {
            let other = self.stream.random_range(0..among);
            self.publish_at(other); // two publishers at once
        }
        if kind == Kind::Burst && self.now >= 8 * SECOND && self.publishing.burst == 0 {
            self.publishing.burst = BURST;
        }
        let pause = match kind {
            Kind::Calm | Kind::HourApart => self.stream.random_range(MEAN_DAY),
            Kind::Burst if self.now < 8 * SECOND => 6 * SECOND,
            Kind::Burst => 30 * SECOND,
            Kind::Large => 8 * SECOND,
            _ => self.stream.random_range(SECOND..4 * SECOND),
        };
        self.push(self.now + pause, Ev::Publish);
    }

    pub fn publish_at(&mut self, node: usize) {
        if !self.nodes[node].is_up() {
            return;
        }
        let Some(machine) = &self.nodes[node].machine else { return };
        let held = machine.verified_document().cloned();
        let number = held.as_ref().map_or(0, |held| held.announcement.id.number);
        let large = self.world.kind == Kind::Large;
        let length = if large { LARGE } else { SMALL };
        let (whole, delta) = match &held {
            None => (document(&mut self.stream, length), None),
            Some(held) => {
                let changed =
                    if large && number == 2 { LARGE * 9 / 10 } else { self.stream.random_range(CHANGE) };
                let bytes: Arc<[u8]> = patch(&mut self.stream, number, length, changed).into();
                let delta = Delta { base: number, number: number + 1, bytes: bytes.clone() };
                let Ok(whole) = compose(&held.bytes, &[delta]) else { return };
                (whole, Some(bytes))
            }
        };
        self.played.longest = self.played.longest.max(whole.len());
        self.publishing.tickets += 1;
        let format = if self.world.kind == Kind::Refused && number == 4 { MAX_FORMAT } else { 1 };
        let publication = Publication {
            ticket: self.publishing.tickets,
            base: held.map(|held| held.announcement.id),
            format,
            document: whole.into(),
            delta,
            over_missing: self.publishing.failures > 6,
        };
        self.feed(node, Event::Publish(publication));
    }

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
                *self.played.failed.entry(reason).or_default() += 1;
                if self.publishing.burst > 0 {
                    self.push(self.now + 200 * MS, Ev::PublishAt(node));
                }
            }
        }
    }

    /// Whether a voter reaches a majority of the voters.
    pub fn has_majority(&self, node: usize) -> bool {
        let voters = self.world.voters;
        let reached = (0..voters).filter(|other| self.nodes[*other].is_up() && self.reach(node, *other));
        node < voters && 2 * reached.count() > voters
    }

    pub fn propose(&mut self, node: usize, ticket: Ticket, announcement: Announcement, expect: u64) {
        let (start, until) = (self.nodes[node].starts, self.now + COMMIT_LASTS);
        let way = self.stream.random_range(4 * MS..30 * MS);
        let commit = Commit { node, start, ticket, announcement, expect, until };
        self.push(self.now + way, Ev::Commit(commit));
    }

    /// A proposal is agreed on if a majority of the voters is there.
    pub fn commit(&mut self, commit: Commit) {
        let Commit { node, start, ticket, announcement, expect, until } = commit;
        if self.nodes[node].starts != start || self.nodes[node].machine.is_none() {
            return; // nobody sends it again
        }
        let voters = 0..self.world.voters;
        let leader = voters.clone().find(|voter| self.reach(node, *voter) && self.has_majority(*voter));
        let Some(leader) = leader.filter(|leader| self.nodes[*leader].is_up() && self.nodes[node].is_up())
        else {
            if self.now >= until {
                let outcome = Err(ProposalError::Unconfirmed);
                return self.later(node, 5 * MS, Done::Proposed(ticket, outcome));
            }
            return self.push(self.now + COMMIT_AGAIN, Ev::Commit(commit));
        };
        let outcome = self.log.agree(announcement, expect);
        if outcome.is_ok() {
            self.watch.agreed(announcement);
            if let std::collections::btree_map::Entry::Vacant(first) =
                self.publishing.confirmed.entry(announcement.id)
            {
                first.insert(self.now);
                self.push(self.now + IN_FORCE_WITHIN, Ev::Check { node: None, since: self.now });
            }
            self.line(Some(node), || format!("{} is agreed", announcement.id));
            let count = self.log.agreed.len();
            let reached: Vec<usize> = voters.filter(|voter| self.reach(leader, *voter)).collect();
            for voter in reached {
                let (start, way) = (self.nodes[voter].starts, self.stream.random_range(2 * MS..60 * MS));
                self.push(self.now + way, Ev::Hear { node: voter, start, count, fresh: true });
            }
            self.strike(node, leader);
        }
        self.later(node, 5 * MS, Done::Proposed(ticket, outcome));
        if self.publishing.burst > 0 {
            self.publishing.burst -= 1;
            let start = self.nodes[node].starts;
            let count = self.log.agreed.len();
            self.push(self.now + 6 * MS, Ev::Hear { node, start, count, fresh: true });
            self.push(self.now + 100 * MS, Ev::PublishAt(node));
        }
    }

    /// All voters end at once and the log is founded anew by them.
    pub fn found_anew(&mut self) {
        for voter in 0..self.world.voters {
            self.push(self.now, Ev::Do(Do::Kill(voter)));
            self.push(self.now + 2 * SECOND, Ev::Do(Do::Start(voter, Kept::Kept)));
        }
        let without = self.stream.random_range(0..3);
        for lost in self.log.found_anew(without) {
            self.line(None, || format!("the log has lost {}", lost.id));
            self.publishing.confirmed.remove(&lost.id);
        }
    }

    /// What fails between a confirmation and its spread.
    fn strike(&mut self, node: usize, leader: usize) {
        let struck: Vec<usize> = match self.world.kind {
            Kind::LeaderKilled if self.stream.random::<bool>() => {
                [node, leader].into_iter().collect::<BTreeSet<usize>>().into_iter().collect()
            }
            Kind::MostRestart if self.publishing.confirmed.len() == 3 && !self.publishing.restarted => {
                self.publishing.restarted = true;
                let mut all: Vec<usize> = (0..self.nodes.len()).collect();
                all.shuffle(&mut self.stream);
                all.truncate(self.nodes.len() * 7 / 10);
                all
            }
            _ => return,
        };
        for struck in struck.into_iter().filter(|node| self.nodes[*node].is_up()).collect::<Vec<_>>() {
            let at = self.now + self.stream.random_range(0..20 * MS);
            self.push(at, Ev::Do(Do::Kill(struck)));
            self.push(at + 3 * SECOND, Ev::Do(Do::Start(struck, Kept::Kept)));
        }
    }
}
