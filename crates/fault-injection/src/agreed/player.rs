//! Plays one world.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::net::SocketAddr;

use merlinfold_replicated_log::command::{Command, EntryPayload, Outcome, Set, SET};
use merlinfold_replicated_log::{
    Action, Defect, Event, FileWrite, Group, Identity, Name, Notification, Peer, ReplicatedLog,
    StoredLog as KeptLog, Tuning,
};
use merlinfold_simulation::seed::{mix, Seed, Stream};
use merlinfold_simulation::{Nanos, MS, SECOND};
use rand::Rng;

use super::laws::{Breach, Watch};
use crate::disk::ModelDisk;
use crate::link::Links;
use crate::schedule::{nanos, steps, Do, Step};
use crate::spec::{Kept, Trial};

const VIEW_EVERY: Nanos = 500 * MS;
const VIEW_LATE: Nanos = 1_200 * MS; // until a death is known, as the membership takes at 300 nodes
const PROPOSE_EVERY: Nanos = 250 * MS;
const WRITE_STEPS: usize = 4; // of a disk, a file
const LEAVES_IN: Nanos = 300 * MS;
const SETTLE: Nanos = 20 * SECOND; // from the last fault on, until a command must be agreed everywhere

/// A fleet and what happens to it.
#[derive(Clone, Debug)]
pub struct World {
    /// Nodes, links and faults.
    pub trial: Trial,
    /// How many nodes, from the first on, may vote.
    pub candidates: usize,
    /// How many do.
    pub voters: usize,
    /// Whether disks last.
    pub lasting: bool,
    /// Whether commands have to be agreed again after the last fault.
    pub goes_on: bool,
}

/// What came of it.
#[derive(Clone, Debug, Default)]
pub struct Played {
    /// Laws that were broken.
    pub breaches: Vec<Breach>,
    /// Commands confirmed, and given up.
    pub confirmed: usize,
    /// The same.
    pub given_up: usize,
    /// Places agreed on.
    pub places: usize,
    /// Groups that have decided anything.
    pub groups: usize,
    /// From a proposal to its confirmation.
    pub latency: Vec<Nanos>,
    /// From a leader's death or stop to the next lead.
    pub leaderless: Vec<Nanos>,
    /// Bytes a second that each node sent, on the mean.
    pub bytes_s: f64,
    /// Whether all live nodes agreed on a command at the end.
    pub went_on: bool,
    /// What happened, a line each.
    pub lines: Vec<String>,
}

struct Node {
    name: Name,
    machine: Option<ReplicatedLog>,
    paused: bool,
    starts: u64,
    scheduled: Option<Nanos>,
    disk: ModelDisk,
    down_since: Option<Nanos>,
    sent: u64,
}

enum Ev {
    Step(usize),
    Deliver { to: usize, bytes: Vec<u8> },
    Due(usize),
    Saved { node: usize, start: u64, durable: bool },
    Gone { node: usize, start: u64 },
    View,
    Propose,
    Probe,
}

struct Player<'a> {
    world: &'a World,
    tuning: Tuning,
    nodes: Vec<Node>,
    links: Links,
    watch: Watch,
    queue: BinaryHeap<Reverse<(Nanos, u64, usize)>>,
    events: Vec<Option<Ev>>,
    free: Vec<usize>,
    next: u64,
    now: Nanos,
    stream: Stream,
    proposed: BTreeMap<u128, Nanos>,
    probe: Option<u128>,
    lost_lead: Option<Nanos>,
    played: Played,
    logs: bool,
}

fn address(node: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, (node >> 8) as u8, node as u8], 7_947))
}

fn number(at: SocketAddr) -> usize {
    let SocketAddr::V4(at) = at else { return usize::MAX };
    let [.., high, low] = at.ip().octets();
    usize::from(high) << 8 | usize::from(low)
}

/// Plays a world; `defect` stands in every node. The same world gives the same.
pub fn play(world: &World, defect: Option<Defect>, logs: bool) -> Result<Played, String> {
    let trial = &world.trial;
    trial.check()?;
    let steps = steps(trial)?;
    let last = steps.last().map_or(0, |step| step.at);
    let node = |n: usize| Node {
        name: format!("n{n}").into(),
        machine: None,
        paused: false,
        starts: 0,
        scheduled: None,
        disk: ModelDisk::new(trial.seed, n as u64),
        down_since: None,
        sent: 0,
    };
    let mut player = Player {
        world,
        tuning: Tuning { defect, ..Tuning::default() },
        nodes: (0..trial.fleet.nodes).map(node).collect(),
        links: Links::new(trial.network.clone(), trial.seed),
        watch: Watch::default(),
        queue: BinaryHeap::new(),
        events: Vec::new(),
        free: Vec::new(),
        next: 0,
        now: 0,
        stream: Seed(trial.seed).stream("proposals", 0),
        proposed: BTreeMap::new(),
        probe: None,
        lost_lead: None,
        played: Played::default(),
        logs,
    };
    for n in 0..trial.fleet.nodes {
        player.start(n, Kept::Empty);
    }
    for (n, step) in steps.iter().enumerate() {
        player.push(step.at, Ev::Step(n));
    }
    player.push(0, Ev::View);
    player.push(SECOND, Ev::Propose);
    let end = nanos(trial.seconds);
    player.push((last + SETTLE).min(end.saturating_sub(5 * SECOND)), Ev::Probe);
    player.run(&steps, end);
    Ok(player.finish(end))
}

impl Player<'_> {
    fn push(&mut self, at: Nanos, event: Ev) {
        let slot = self.free.pop().unwrap_or_else(|| {
            self.events.push(None);
            self.events.len() - 1
        });
        self.events[slot] = Some(event);
        self.next += 1;
        self.queue.push(Reverse((at, self.next, slot)));
    }

    fn line(&mut self, node: Option<usize>, what: String) {
        if self.logs {
            let at = self.now as f64 / SECOND as f64;
            let node = node.map_or(String::new(), |node| format!(" n{node}"));
            self.played.lines.push(format!("{at:9.3}{node} {what}"));
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
                Ev::Step(n) => self.step(&steps[n].what),
                Ev::Deliver { to, bytes } => {
                    if !self.nodes[to].paused {
                        self.feed(to, Event::Datagram(&bytes));
                    }
                }
                Ev::Due(node) => {
                    if self.nodes[node].scheduled == Some(at) {
                        self.nodes[node].scheduled = None;
                        if !self.nodes[node].paused {
                            self.feed(node, Event::Tick);
                        }
                    }
                }
                Ev::Saved { node, start, durable } => {
                    if self.nodes[node].starts == start {
                        if self.nodes[node].paused {
                            self.push(at + 10 * MS, Ev::Saved { node, start, durable });
                        } else {
                            self.feed(node, Event::Persisted(durable));
                        }
                    }
                }
                Ev::Gone { node, start } => {
                    if self.nodes[node].starts == start {
                        self.end(node);
                    }
                }
                Ev::View => self.view(),
                Ev::Propose => self.propose(),
                Ev::Probe => {
                    let id = self.stream.random::<u128>() | 1;
                    self.probe = Some(id);
                    let up: Vec<usize> = self.up().collect();
                    if let Some(&node) = up.first() {
                        self.offer(node, id, "probe", None);
                    }
                }
            }
        }
    }

    fn up(&self) -> impl Iterator<Item = usize> + '_ {
        let up = |node: &Node| node.machine.is_some() && !node.paused;
        self.nodes.iter().enumerate().filter(move |(_, node)| up(node)).map(|(n, _)| n)
    }

    fn step(&mut self, what: &Do) {
        self.line(None, what.text());
        self.links.step(what);
        match what {
            Do::Kill(node) => {
                self.nodes[*node].disk.crash();
                self.end(*node);
            }
            Do::Stop(node) => {
                let start = self.nodes[*node].starts;
                self.push(self.now + LEAVES_IN, Ev::Gone { node: *node, start });
            }
            Do::Start(node, kept) => {
                self.end(*node);
                self.start(*node, *kept);
            }
            Do::Pause(node) => {
                self.nodes[*node].paused = true;
                self.nodes[*node].down_since.get_or_insert(self.now);
                self.watch_lead(*node);
            }
            Do::Continue(node) => {
                self.nodes[*node].paused = false;
                self.nodes[*node].down_since = None;
                self.feed(*node, Event::Tick);
            }
            Do::Disk(node, fault) => self.nodes[*node].disk.set(*fault),
            Do::Begin { .. } | Do::End(_) => {}
        }
    }

    fn watch_lead(&mut self, node: usize) {
        if self.nodes[node].machine.as_ref().is_some_and(|machine| machine.leading_term().is_some()) {
            self.lost_lead = Some(self.now);
        }
    }

    fn start(&mut self, node: usize, kept: Kept) {
        let (world, now) = (self.world, self.now);
        let of = &mut self.nodes[node];
        of.starts += 1;
        (of.paused, of.down_since, of.scheduled) = (false, None, None);
        let kept = if world.lasting { kept } else { Kept::Empty };
        of.disk.start(kept, None);
        let (found, doubt) = if world.lasting {
            let (found, doubt) = KeptLog::load(&of.disk, &of.name);
            (Some(found), doubt)
        } else {
            (None, None)
        };
        let id = Identity {
            cluster: 7,
            name: of.name.clone(),
            start_number: of.starts,
            candidates: (0..world.candidates).map(|n| format!("n{n}").into()).collect(),
            voter_count: world.voters,
        };
        let seed = mix(world.trial.seed ^ mix(node as u64 + (of.starts << 20)));
        let mut out = Vec::new();
        let machine = ReplicatedLog::new(id, self.tuning.clone(), found, seed, now, &mut out);
        of.machine = Some(machine);
        if let Some(doubt) = doubt {
            self.line(Some(node), format!("doubt: {doubt}"));
        }
        let peers = self.peers(node);
        self.carry(node, out);
        self.feed(node, Event::Peers(peers));
    }

    fn end(&mut self, node: usize) {
        self.watch_lead(node);
        let of = &mut self.nodes[node];
        if let Some(machine) = of.machine.take() {
            of.sent += machine.sent_bytes();
        }
        (of.scheduled, of.paused) = (None, false);
        of.down_since.get_or_insert(self.now);
    }

    /// How a node sees the others: what is cut off or down is known to be so after a while.
    fn peers(&self, observer: usize) -> Vec<Peer> {
        let trial = &self.world.trial;
        let alive = |n: usize| {
            let of = &self.nodes[n];
            let dead = of.down_since.is_some_and(|since| self.now >= since + VIEW_LATE);
            n == observer || !dead && !self.links.is_cut(n, observer) && !self.links.is_cut(observer, n)
        };
        let peer = |n: usize| Peer {
            name: self.nodes[n].name.clone(),
            address: address(n),
            zone: trial.zone(n).into(),
            machine: trial.machine(n).into(),
            alive: alive(n),
        };
        (0..self.nodes.len()).map(peer).collect()
    }

    fn view(&mut self) {
        for node in self.up().collect::<Vec<_>>() {
            let peers = self.peers(node);
            self.feed(node, Event::Peers(peers));
        }
        self.push(self.now + VIEW_EVERY, Ev::View);
    }

    fn propose(&mut self) {
        let up: Vec<usize> = self.up().collect();
        if !up.is_empty() {
            let node = up[self.stream.random_range(0..up.len())];
            let id = self.stream.random::<u128>() | 1;
            let key = format!("k{}", self.stream.random_range(0..5));
            let state = self.nodes[node].machine.as_ref().map(ReplicatedLog::state);
            let stands = state.and_then(|state| state.value(&key)).map_or(0, |value| value.revision);
            let expect = Some(stands).filter(|_| self.stream.random::<bool>());
            self.offer(node, id, &key, expect);
            if self.stream.random_range(0..4) == 0 {
                // The same again through another node, as after an answer that was lost.
                let other = up[self.stream.random_range(0..up.len())];
                self.offer(other, id, &key, expect);
            }
        }
        let more = self.stream.random_range(0..PROPOSE_EVERY);
        self.push(self.now + PROPOSE_EVERY / 2 + more, Ev::Propose);
    }

    fn offer(&mut self, node: usize, id: u128, key: &str, expect: Option<u64>) {
        self.proposed.entry(id).or_insert(self.now);
        let set = Set { key: key.to_owned(), expect, value: id.to_le_bytes().to_vec() };
        let body = postcard::to_stdvec(&set).unwrap_or_default();
        self.feed(node, Event::Propose(Command { id, kind: SET, body }));
    }

    fn feed(&mut self, node: usize, event: Event) {
        let Some(machine) = &mut self.nodes[node].machine else { return };
        let mut out = Vec::new();
        machine.handle(self.now, event, &mut out);
        self.carry(node, out);
    }

    fn group(&self, node: usize) -> Group {
        self.nodes[node].machine.as_ref().map(ReplicatedLog::group).unwrap_or_default()
    }

    fn carry(&mut self, node: usize, out: Vec<Action>) {
        let mut group = self.group(node);
        for action in out {
            match action {
                Action::Send { to, bytes } => {
                    let to = number(to);
                    for way in self.links.fate(self.now, node, to, bytes.len()) {
                        self.push(self.now + way, Ev::Deliver { to, bytes: bytes.clone() });
                    }
                }
                Action::Persist(writes) => self.persist(node, &writes),
                Action::Notify(note) => self.note(node, &mut group, note),
            }
        }
        let Some(machine) = &self.nodes[node].machine else { return };
        let (vote, due) = (machine.durable_vote(), machine.next_deadline().max(self.now + MS));
        if let Some(vote) = vote {
            self.watch.voted(self.now, node, vote);
        }
        if self.nodes[node].scheduled.is_none_or(|at| due < at) {
            self.nodes[node].scheduled = Some(due);
            self.push(due, Ev::Due(node));
        }
    }

    fn persist(&mut self, node: usize, writes: &[FileWrite]) {
        let of = &self.nodes[node];
        let saved: Result<(), _> = writes.iter().try_for_each(|write| write.save(&of.disk, &of.name));
        let takes = MS / 2 + of.disk.takes(WRITE_STEPS * writes.len());
        let (start, durable) = (of.starts, saved.is_ok());
        if let Err(fault) = saved {
            self.line(Some(node), format!("disk: {fault}"));
        }
        self.push(self.now + takes, Ev::Saved { node, start, durable });
    }

    fn note(&mut self, node: usize, group: &mut Group, note: Notification) {
        match note {
            Notification::Applied(entry) => {
                let of = self.nodes[node].machine.as_ref();
                if let EntryPayload::Command(command) = &entry.what {
                    let outcome = of.and_then(|machine| machine.state().outcome(command.id)).cloned();
                    if let Some(outcome) = outcome {
                        self.watch.effect(self.now, node, *group, command.id, &outcome);
                    }
                }
                self.watch.applied(self.now, node, *group, &entry);
            }
            Notification::StateReplaced(to, index) => {
                *group = to;
                self.watch.jumped(to, index);
                self.line(Some(node), format!("holds {to:?} at {index}"));
            }
            Notification::Outcome(id, outcome) => {
                if let Some(at) = self.proposed.get(&id) {
                    self.played.latency.push(self.now - at);
                }
                if matches!(outcome, Outcome::Done(_)) {
                    self.played.confirmed += 1;
                }
                self.watch.confirmed(self.now, node, *group, id, outcome);
            }
            Notification::ProposalTimedOut(_) => self.played.given_up += 1,
            Notification::Leadership(term) => {
                if let Some(term) = term {
                    self.watch.leads(self.now, node, *group, term);
                    if let Some(since) = self.lost_lead.take() {
                        self.played.leaderless.push(self.now - since);
                    }
                }
                self.line(Some(node), format!("leads {term:?}"));
            }
            other => self.line(Some(node), format!("{other:?}")),
        }
    }

    fn finish(mut self, end: Nanos) -> Played {
        let now = self.now;
        let up: Vec<usize> = self.up().collect();
        let mut went_on = self.probe.is_some();
        for &node in &up {
            let Some(machine) = &self.nodes[node].machine else { continue };
            self.watch.kept(now, node, machine.group(), machine.state());
            let inside = machine.debug_summary();
            let has = self.probe.is_some_and(|id| machine.state().outcome(id).is_some());
            went_on &= has;
            self.played.lines.push(format!("at the end n{node}: {inside}"));
            if self.world.goes_on {
                let standing = machine.status(now);
                self.watch
                    .expect(now, has, || format!("n{node} does not have the last command: {standing:?}"));
            }
        }
        let sent: u64 = self
            .nodes
            .iter()
            .map(|node| node.sent + node.machine.as_ref().map_or(0, ReplicatedLog::sent_bytes))
            .sum();
        self.played.bytes_s = sent as f64 / self.nodes.len() as f64 / (end as f64 / SECOND as f64);
        self.played.places = self.watch.places();
        self.played.groups = self.watch.groups();
        self.played.went_on = went_on;
        self.played.breaches = self.watch.breaches;
        self.played
    }
}
