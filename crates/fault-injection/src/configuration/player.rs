//! Plays one world.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

use merlinfold_distribution::{Defect, Event, LogState, Peer, RevisionId};
use merlinfold_simulation::seed::{Seed, Stream};
use merlinfold_simulation::{Nanos, MS, SECOND};
use rand::Rng;

use super::draw::Kind;
use super::host::Done;
use super::laws::{Breach, Watch, IN_FORCE_WITHIN};
use super::log::ModelLog;
use super::node::{peer, Node};
use super::publishing::{Commit, Publishing};
use crate::link::Links;
use crate::schedule::{nanos, steps, Do, Step};
use crate::spec::{Kept, Trial};

const VIEW_EVERY: Nanos = 500 * MS;
const VIEW_LATE: Nanos = 1_200 * MS; // until a death is known, as the membership takes at 300 nodes
const POLL_EVERY: Nanos = SECOND; // of the log, as its followers pull
const LEAVES_IN: Nanos = 300 * MS;

/// A fleet and what happens to it.
#[derive(Clone, Debug)]
pub struct World {
    /// Nodes, links and faults.
    pub trial: Trial,
    /// What is published, and what fails with it.
    pub kind: Kind,
    /// How many nodes, from the first on, vote in the log.
    pub voters: usize,
    /// Whether disks last.
    pub lasting: bool,
}

/// What came of it.
#[derive(Clone, Debug, Default)]
pub struct Played {
    /// Laws that were broken.
    pub breaches: Vec<Breach>,
    /// Revisions confirmed.
    pub confirmed: usize,
    /// Publications that failed, by reason.
    pub failed: BTreeMap<String, usize>,
    /// From a confirmation to the revision in force at an untroubled node.
    pub times: Vec<Nanos>,
    /// The same to the last of them, by revision.
    pub to_all: Vec<Nanos>,
    /// Bytes a second that each node sent, on the mean.
    pub bytes_s: f64,
    /// Bytes a second of the voter that sent most.
    pub voter_bytes_s: f64,
    /// The longest document.
    pub longest: usize,
    /// Members unknown on the mean, a share, where somebody looked after the first minute.
    pub unknown: f64,
    /// Notes that tell of something wrong, by kind.
    pub notes: BTreeMap<&'static str, usize>,
    /// What happened, a line each.
    pub lines: Vec<String>,
}

pub(super) enum Ev {
    Step(usize),
    Do(Do),
    Deliver { from: usize, to: usize, bytes: Vec<u8> },
    Due(usize),
    Host { node: usize, start: u64, done: Done },
    Gone { node: usize, start: u64 },
    View,
    Poll(usize),
    Hear { node: usize, start: u64, count: usize, fresh: bool },
    Commit(Commit),
    Publish,
    PublishAt(usize),
    FoundAnew,
    Look,
    Check { node: Option<usize>, since: Nanos },
}

pub(super) struct Player<'a> {
    pub world: &'a World,
    pub nodes: Vec<Node>,
    pub links: Links,
    pub log: ModelLog,
    pub watch: Watch,
    pub publishing: Publishing,
    pub now: Nanos,
    pub stream: Stream,
    pub played: Played,
    defect: Option<Defect>,
    queue: BinaryHeap<Reverse<(Nanos, u64, usize)>>,
    events: Vec<Option<Ev>>,
    free: Vec<usize>,
    next: u64,
    view_changed: Nanos,
    pub slowest: BTreeMap<RevisionId, Nanos>,
    pub looks: (usize, usize), // members seen, and those of them unknown
    logs: bool,
}

/// Plays a world; `defect` stands in every node. The same world gives the same.
pub fn play(world: &World, defect: Option<Defect>, logs: bool) -> Result<Played, String> {
    let trial = &world.trial;
    trial.check()?;
    let steps = steps(trial)?;
    let count = trial.fleet.nodes;
    let mut player = Player {
        world,
        nodes: (0..count).map(|number| Node::new(trial.seed, number)).collect(),
        links: Links::new(trial.network.clone(), trial.seed),
        log: ModelLog::new(count),
        watch: Watch::default(),
        publishing: Publishing::default(),
        now: 0,
        stream: Seed(trial.seed).stream("configuration player", count as u64),
        played: Played::default(),
        defect,
        queue: BinaryHeap::new(),
        events: Vec::new(),
        free: Vec::new(),
        next: 0,
        view_changed: 0,
        slowest: BTreeMap::new(),
        looks: (0, 0),
        logs,
    };
    player.prepare();
    for node in 0..count {
        player.start(node, Kept::Kept);
        player.push(node as Nanos * MS, Ev::Poll(node));
    }
    for (place, step) in steps.iter().enumerate() {
        player.push(step.at, Ev::Step(place));
    }
    player.push(0, Ev::View);
    player.push(2 * SECOND, Ev::Publish);
    player.push(0, Ev::Look);
    if world.kind == Kind::NewEpoch {
        player.push(20 * SECOND, Ev::FoundAnew);
    }
    let end = nanos(trial.seconds);
    player.run(&steps, end);
    Ok(player.finish(end))
}

impl Player<'_> {
    pub fn push(&mut self, at: Nanos, event: Ev) {
        let slot = self.free.pop().unwrap_or_else(|| {
            self.events.push(None);
            self.events.len() - 1
        });
        self.events[slot] = Some(event);
        self.next += 1;
        self.queue.push(Reverse((at, self.next, slot)));
    }

    pub fn line(&mut self, node: Option<usize>, what: impl FnOnce() -> String) {
        if self.logs {
            let at = self.now as f64 / SECOND as f64;
            let node = node.map_or(String::new(), |node| format!(" n{node}"));
            self.played.lines.push(format!("{at:9.3}{node} {}", what()));
        }
    }

    fn run(&mut self, steps: &[Step], end: Nanos) {
        while let Some(Reverse((at, _, slot))) = self.queue.pop() {
            if at > end {
                return;
            }
            self.now = at;
            self.free.push(slot);
            let Some(event) = self.events[slot].take() else { continue };
            match event {
                Ev::Step(place) => self.step(&steps[place].what),
                Ev::Do(what) => self.step(&what),
                Ev::Deliver { from, to, bytes } => self.deliver(from, to, &bytes),
                Ev::Due(node) => {
                    if self.nodes[node].scheduled == Some(at) {
                        self.nodes[node].scheduled = None;
                        self.feed(node, Event::Tick);
                    }
                }
                Ev::Host { node, start, done } => self.host(node, start, done),
                Ev::Gone { node, start } => {
                    if self.nodes[node].starts == start {
                        self.nodes[node].end(at);
                    }
                }
                Ev::View => self.view(),
                Ev::Poll(node) => self.poll(node),
                Ev::Hear { node, start, count, fresh } => {
                    if self.nodes[node].starts == start && self.nodes[node].is_up() {
                        self.log.hear(node, count, fresh);
                        self.tell_log(node);
                    }
                }
                Ev::Commit(commit) => self.commit(commit),
                Ev::Publish => self.publish(),
                Ev::PublishAt(node) => self.publish_at(node),
                Ev::FoundAnew => self.found_anew(),
                Ev::Look => self.look(),
                Ev::Check { node, since } => self.check(node, since),
            }
        }
    }

    fn step(&mut self, what: &Do) {
        self.line(None, || what.text());
        self.links.step(what);
        self.view_changed = self.now;
        match what {
            Do::Kill(node) => {
                self.trouble(*node, true);
                self.nodes[*node].disk.crash();
                self.nodes[*node].end(self.now);
                self.publishing.killed(self.now, *node, self.world.voters);
            }
            Do::Stop(node) => {
                self.trouble(*node, true);
                let start = self.nodes[*node].starts;
                self.push(self.now + LEAVES_IN, Ev::Gone { node: *node, start });
                self.publishing.killed(self.now, *node, self.world.voters);
            }
            Do::Start(node, kept) => {
                self.nodes[*node].end(self.now);
                self.start(*node, *kept);
                self.trouble(*node, false);
            }
            Do::Pause(node) => {
                self.trouble(*node, true);
                self.nodes[*node].paused = true;
                self.nodes[*node].down_since.get_or_insert(self.now);
            }
            Do::Continue(node) => {
                self.nodes[*node].paused = false;
                self.nodes[*node].down_since = None;
                self.feed(*node, Event::Tick);
                self.trouble(*node, false);
            }
            Do::Disk(node, fault) => self.nodes[*node].disk.set(*fault),
            Do::Begin { rule, from, to, effect } if effect.is_hard() => {
                let sides: Vec<usize> = from.iter().chain(to).copied().collect();
                let count = self.nodes.len();
                let nodes: Vec<usize> = sides.into_iter().filter(|node| *node < count).collect();
                nodes.iter().for_each(|node| self.trouble(*node, true));
                self.publishing.rules.insert(*rule, nodes);
            }
            Do::End(rule) => {
                for node in self.publishing.rules.remove(rule).unwrap_or_default() {
                    self.trouble(node, false);
                }
            }
            Do::Begin { .. } => {}
        }
    }

    /// A fault of a node begins or ends; what was confirmed before its end must be in force soon after.
    fn trouble(&mut self, node: usize, begins: bool) {
        let of = &mut self.nodes[node];
        of.troubles = if begins { of.troubles + 1 } else { of.troubles.saturating_sub(1) };
        of.untroubled_since = self.now;
        if of.troubles == 0 {
            self.push(self.now + IN_FORCE_WITHIN, Ev::Check { node: Some(node), since: self.now });
        }
    }

    fn start(&mut self, node: usize, kept: Kept) {
        let (world, defect, now) = (self.world, self.defect, self.now);
        self.watch.begins_anew(node);
        self.log.forget(node);
        let out = self.nodes[node].start(world, node, kept, defect, now);
        self.carry(node, out);
        let peers = self.peers(node);
        self.feed(node, Event::Peers(peers));
    }

    /// How a node sees the others: what is cut off or down is known to be so after a while.
    fn peers(&self, observer: usize) -> Vec<Peer> {
        let alive = |n: usize| {
            let dead = self.nodes[n].down_since.is_some_and(|since| self.now >= since + VIEW_LATE);
            n == observer || !dead && self.reach(n, observer)
        };
        (0..self.nodes.len()).map(|n| peer(self.world, &self.nodes[n], n, alive(n))).collect()
    }

    /// Whether datagrams pass both ways.
    pub fn reach(&self, one: usize, other: usize) -> bool {
        one == other || !self.links.is_cut(one, other) && !self.links.is_cut(other, one)
    }

    fn view(&mut self) {
        // Views are what they were unless something has happened of late.
        if self.now <= self.view_changed + VIEW_LATE + VIEW_EVERY {
            for node in 0..self.nodes.len() {
                if self.nodes[node].is_up() {
                    let peers = self.peers(node);
                    self.feed(node, Event::Peers(peers));
                }
            }
        }
        self.push(self.now + VIEW_EVERY, Ev::View);
    }

    /// A node asks a voter or another node how far the log is.
    fn poll(&mut self, node: usize) {
        let more = self.stream.random_range(0..POLL_EVERY);
        self.push(self.now + POLL_EVERY / 2 + more, Ev::Poll(node));
        if !self.nodes[node].is_up() {
            return;
        }
        let among = if self.stream.random::<bool>() { self.world.voters } else { self.nodes.len() };
        let source = self.stream.random_range(0..among);
        let mut fresh = false;
        let mut count = self.log.heard(node);
        if self.has_majority(node) {
            (count, fresh) = (self.log.agreed.len(), true);
        } else if self.nodes[source].is_up() && self.reach(node, source) {
            let voter = self.has_majority(source);
            // A node that has just started may hear of an old state from another one.
            let old = if count == 0 { self.stream.random_range(0..3) } else { 0 };
            count = if voter { self.log.agreed.len() } else { self.log.heard(source).saturating_sub(old) };
            fresh = voter || self.log.is_fresh(source) && source != node;
        }
        let start = self.nodes[node].starts;
        let way = self.stream.random_range(MS..5 * MS);
        self.push(self.now + way, Ev::Hear { node, start, count, fresh });
    }

    fn tell_log(&mut self, node: usize) {
        let heard = self.log.heard(node);
        let state = LogState {
            epoch: self.log.epoch,
            value_revision: self.log.value_revision(heard),
            fresh: self.log.is_fresh(node),
            announcement: heard.checked_sub(1).map(|place| self.log.agreed[place]),
        };
        self.feed(node, Event::Log(state));
    }
}
