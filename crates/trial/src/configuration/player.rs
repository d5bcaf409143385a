//! Plays one world.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::sync::Arc;

use merlinfold_distribution::{
    encode, read, Action, Body, Defect, Distribution, Event, LogState, Note, Peer, Rejection, RevisionId,
    Ticket, Write,
};
use merlinfold_world::seed::{Seed, Stream};
use merlinfold_world::{Nanos, MS, SECOND};
use rand::Rng;

use super::content::compose;
use super::draw::Kind;
use super::laws::{Breach, Watch, IN_FORCE_WITHIN};
use super::log::ModelLog;
use super::node::{number, peer, Node};
use super::publishing::{Commit, Publishing};
use crate::link::Links;
use crate::schedule::{nanos, steps, Do, Step};
use crate::spec::{Kept, Trial};

const VIEW_EVERY: Nanos = 500 * MS;
const VIEW_LATE: Nanos = 1_200 * MS; // until a death is known, as the membership takes at 300 nodes
const POLL_EVERY: Nanos = SECOND; // of the log, as its followers pull
const LOOK_EVERY: Nanos = 2 * SECOND; // at what some observers count
const OBSERVERS: usize = 3;
const WRITE_STEPS: usize = 4; // of a disk, a file
const LEAVES_IN: Nanos = 300 * MS;
const BYTES_OF_OTHERS_S: f64 = 1_102.0; // membership and log, measured at 300 and 100 nodes

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
    Look,
    Check { node: Option<usize>, since: Nanos },
}

pub(super) enum Done {
    Composed(Result<Arc<[u8]>, Rejection>),
    Applied(RevisionId, Result<(), Rejection>),
    Persisted(bool),
    Proposed(Ticket, Result<(), merlinfold_distribution::ProposalError>),
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
    slowest: BTreeMap<RevisionId, Nanos>,
    looks: (usize, usize), // members seen, and those of them unknown
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
    player.push(LOOK_EVERY, Ev::Look);
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
                Ev::Look => self.look(),
                Ev::Check { node, since } => self.check(node, since),
            }
        }
    }

    fn deliver(&mut self, from: usize, to: usize, bytes: &[u8]) {
        if !self.nodes[from].is_corrupt {
            return self.feed(to, Event::Datagram(bytes));
        }
        // A node whose memory is bad: checksums of datagrams are right, content is not.
        let Ok(mut envelope) = read(bytes) else { return };
        if let Body::Piece { bytes: content, .. } | Body::Offer { first: content, .. } = &mut envelope.body {
            if let Some(last) = content.last_mut() {
                *last ^= 1;
            }
        }
        if let Some(bytes) = encode(&envelope) {
            self.feed(to, Event::Datagram(&bytes));
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
            value_revision: heard as u64,
            fresh: self.log.is_fresh(node),
            announcement: heard.checked_sub(1).map(|place| self.log.agreed[place]),
        };
        self.feed(node, Event::Log(state));
    }

    pub fn feed(&mut self, node: usize, event: Event) {
        if !self.nodes[node].is_up() {
            return;
        }
        let Some(machine) = &mut self.nodes[node].machine else { return };
        let mut out = Vec::new();
        machine.handle(self.now, event, &mut out);
        self.carry(node, out);
    }

    fn carry(&mut self, node: usize, out: Vec<Action>) {
        for action in out {
            match action {
                Action::Send { to, bytes } => {
                    let to = number(to);
                    for way in self.links.fate(self.now, node, to, bytes.len()) {
                        self.push(self.now + way, Ev::Deliver { from: node, to, bytes: bytes.clone() });
                    }
                }
                Action::Compose { base, deltas } => {
                    let result = compose(&base, &deltas).map(Arc::from);
                    self.later(node, 5 * MS, Done::Composed(result));
                }
                Action::Apply(document) => {
                    self.watch.applies(self.now, node, &document);
                    let id = document.announcement.id;
                    let refuses = self.nodes[node].refuses == Some(id.number);
                    let refused = Rejection("this node refuses it".to_owned());
                    let result = if refuses { Err(refused) } else { Ok(()) };
                    self.later(node, 50 * MS, Done::Applied(id, result));
                }
                Action::Persist(write) => self.persist(node, &write),
                Action::Propose { ticket, announcement, expect } => {
                    self.propose(node, ticket, announcement, expect);
                }
                Action::Published(ticket, outcome) => self.published(node, ticket, outcome),
                Action::Tell(note) => self.note(node, &note),
            }
        }
        let Some(machine) = &self.nodes[node].machine else { return };
        let due = machine.due().max(self.now + MS);
        if self.nodes[node].scheduled.is_none_or(|at| due < at) {
            self.nodes[node].scheduled = Some(due);
            self.push(due, Ev::Due(node));
        }
    }

    pub fn later(&mut self, node: usize, longest: Nanos, done: Done) {
        let (start, takes) = (self.nodes[node].starts, self.stream.random_range(0..longest));
        self.push(self.now + takes, Ev::Host { node, start, done });
    }

    fn host(&mut self, node: usize, start: u64, done: Done) {
        if self.nodes[node].starts != start || self.nodes[node].machine.is_none() {
            return;
        }
        if self.nodes[node].paused {
            return self.push(self.now + 10 * MS, Ev::Host { node, start, done });
        }
        match done {
            Done::Composed(result) => self.feed(node, Event::Composed(result)),
            Done::Applied(id, result) => {
                if result.is_ok() {
                    self.watch.applied(node, id);
                    self.time(node, id);
                }
                self.feed(node, Event::Applied(result));
            }
            Done::Persisted(durable) => self.feed(node, Event::Persisted(durable)),
            Done::Proposed(ticket, outcome) => self.feed(node, Event::Proposed(ticket, outcome)),
        }
    }

    /// A revision came into force: how long after its confirmation, where nothing was wrong with the node since.
    fn time(&mut self, node: usize, id: RevisionId) {
        let before = self.nodes[node].in_force();
        let newly = self.publishing.confirmed.range(..=id).filter(|(earlier, _)| Some(**earlier) > before);
        let newly: Vec<(RevisionId, Nanos)> = newly.map(|(id, at)| (*id, *at)).collect();
        for (id, at) in newly {
            if self.nodes[node].is_untroubled_since(at) {
                let took = self.now - at;
                self.played.times.push(took);
                let slowest = self.slowest.entry(id).or_default();
                *slowest = took.max(*slowest);
            }
        }
    }

    fn persist(&mut self, node: usize, write: &Write) {
        let of = &self.nodes[node];
        let saved = write.save(&of.disk, &of.name);
        let takes = MS / 2 + of.disk.takes(WRITE_STEPS);
        let start = of.starts;
        let done = Done::Persisted(saved.is_ok());
        self.push(self.now + takes, Ev::Host { node, start, done });
    }

    fn note(&mut self, node: usize, note: &Note) {
        self.line(Some(node), || format!("{note:?}"));
        let kind = match note {
            Note::InForce(_) => return,
            Note::Refused(..) => "refused",
            Note::BadContent(..) => "bad content",
            Note::BadChain(_) => "bad chain",
            Note::SetAside(..) => {
                self.watch.begins_anew(node);
                "set aside"
            }
            Note::DiskTakes(_) => "disk",
            Note::LogIsLower(_) => "log is lower",
        };
        *self.played.notes.entry(kind).or_default() += 1;
    }

    /// What some observers count.
    fn look(&mut self) {
        for _ in 0..OBSERVERS {
            let observer = self.stream.random_range(0..self.nodes.len());
            let Some(machine) = &self.nodes[observer].machine else { continue };
            let overview = machine.overview(self.now);
            let others = machine.peers().iter().filter(|peer| peer.alive);
            let live: Vec<_> =
                others.map(|peer| (number(peer.address), machine.known_at(self.now, &peer.name))).collect();
            if self.now > 60 * SECOND {
                self.looks.0 += overview.live;
                self.looks.1 += overview.unknown.count;
            }
            self.watch.overview(self.now, observer, &overview, &live);
        }
        self.push(self.now + LOOK_EVERY, Ev::Look);
    }

    /// Whether what was confirmed by then is in force at a node, or at all, where nothing was wrong since.
    fn check(&mut self, node: Option<usize>, since: Nanos) {
        let latest =
            self.publishing.confirmed.iter().filter(|(_, at)| **at <= since).map(|(id, _)| *id).max();
        let voters = self.nodes[..self.world.voters].iter();
        let standing = voters.filter(|voter| voter.is_untroubled_since(since)).count();
        let Some(latest) = latest.filter(|_| 2 * standing > self.world.voters) else { return };
        if self.publishing.is_lost(latest) {
            return;
        }
        let nodes = node.map_or(0..self.nodes.len(), |node| node..node + 1);
        for node in nodes {
            let of = &self.nodes[node];
            if !of.is_untroubled_since(since) || of.in_force() >= Some(latest) {
                continue;
            }
            let Some(machine) = &of.machine else { continue };
            let refused = machine.overview(self.now).refused_here;
            if refused.is_some_and(|(id, _)| id >= latest) {
                continue;
            }
            let inside = machine.inside();
            self.watch.late(self.now, node, latest, &inside);
        }
    }

    fn finish(mut self, end: Nanos) -> Played {
        let now = self.now;
        let latest = self.publishing.confirmed.keys().max().copied();
        let in_force = self.nodes.iter().filter_map(Node::in_force).max();
        if let Some(latest) = latest.filter(|latest| !self.publishing.is_lost(*latest)) {
            if in_force < Some(latest) {
                self.watch.lost(now, latest);
            }
        }
        let seconds = end as f64 / SECOND as f64;
        let sent = |node: &Node| node.sent + node.machine.as_ref().map_or(0, Distribution::sent_bytes);
        let all: u64 = self.nodes.iter().map(sent).sum();
        self.played.bytes_s = all as f64 / self.nodes.len() as f64 / seconds;
        let voters = self.nodes[..self.world.voters].iter().map(sent).max().unwrap_or_default();
        self.played.voter_bytes_s = voters as f64 / seconds;
        if self.world.kind == Kind::Calm {
            self.watch.control(now, self.played.bytes_s + BYTES_OF_OTHERS_S);
        }
        self.played.unknown = self.looks.1 as f64 / self.looks.0.max(1) as f64;
        self.played.confirmed = self.publishing.confirmed.len();
        self.played.to_all = self.slowest.into_values().collect();
        self.played.breaches = self.watch.breaches;
        self.played
    }
}
