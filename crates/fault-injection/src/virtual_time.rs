//! Plays a trial in virtual time: the product's own machines on a modelled network and disk.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};
use std::net::SocketAddr;

use merlinfold_membership::{
    Action, Change, Event, Identity, Membership, Name, Profile, SavedFile, SavedState, Tuning, LOAD_TIMEOUT,
    SAVE_INTERVAL,
};
use merlinfold_simulation::seed::mix;
use merlinfold_simulation::{Nanos, MS, SECOND};

use crate::disk::ModelDisk;
use crate::doubles::Double;
use crate::laws::{all, of_member, Findings, Law, Truth, Views, MOMENT};
use crate::link::Links;
use crate::report::{mean_and_most, Moment, Report};
use crate::schedule::{nanos, steps, Do, Step};
use crate::spec::{DiskFault, Kept, Trial};

const INBOX_MOST: usize = 256; // datagrams that a kernel keeps for a process that does not read
const START_STEPS: usize = 6; // of a disk: open, read, write, sync, rename, sync of the folder
const LEAVES_IN: Nanos = 400 * MS; // from being told to end to the end
const STARTED: Nanos = 20 * SECOND; // by when a fleet that starts at once is one; bytes are counted from then on
const CLUSTER: &str = "guides";
const OTHER_CLUSTER: &str = "others";

/// A name as members have it.
pub fn name(node: usize) -> Name {
    format!("n{node}").into()
}

struct Node {
    name: Name,
    cluster: &'static str,
    address: SocketAddr,
    profile: Profile,
    machine: Option<Membership>,
    paused: bool,
    leaving: bool,
    ended: bool, // or not yet started
    inbox: VecDeque<(SocketAddr, Vec<u8>)>,
    disk: ModelDisk,
    starts: u64,
    run: u64,
    scheduled: Option<Nanos>,
    sent_before: u64,   // bytes, by starts that have ended
    sent_starting: u64, // and in the first seconds
    changed: bool,
}

enum Ev {
    Step(usize),
    Deliver { to: usize, from: usize, bytes: Vec<u8> },
    Due(usize),
    Gone(usize, u64),
    Join(usize, u64, Box<SavedState>),
    Save(usize, u64),
    Saved(usize, u64),
    Moment,
}

impl Node {
    fn sent(&self) -> u64 {
        self.sent_before + self.machine.as_ref().map_or(0, |machine| machine.counts().sent_bytes)
    }
}

struct Player<'a> {
    trial: &'a Trial,
    double: Option<Double>,
    nodes: Vec<Node>,
    links: Links,
    truth: Truth,
    laws: Vec<Box<dyn Law>>,
    found: Findings,
    report: Report,
    queue: BinaryHeap<Reverse<(Nanos, u64, usize)>>,
    events: Vec<Option<Ev>>,
    free: Vec<usize>,
    next: u64,
    now: Nanos,
}

struct Seen<'a>(&'a [Node], usize);

impl Views for Seen<'_> {
    fn state(&self, observer: usize, member: usize) -> Option<&'static str> {
        self.0[observer].machine.as_ref()?.state_of(&self.0[member].name)
    }

    fn majority(&self, observer: usize) -> Option<bool> {
        self.0[observer].machine.as_ref().map(Membership::has_majority)
    }

    fn accused(&self, observer: usize) -> Option<u64> {
        self.0[observer].machine.as_ref().map(|machine| machine.counts().accusations)
    }

    fn run(&self, observer: usize) -> Option<u64> {
        self.0[observer].machine.as_ref().map(Membership::run)
    }

    fn strangers(&self, observer: usize) -> usize {
        let of = self.0[observer].machine.as_ref();
        of.map_or(0, |machine| {
            self.0[self.1..].iter().filter(|other| machine.state_of(&other.name).is_some()).count()
        })
    }
}

/// Plays it, with `double` in place of every node if there is one. The same trial gives the same report.
pub fn play(title: &str, trial: &Trial, double: Option<Double>) -> Result<Report, String> {
    trial.check()?;
    let steps = steps(trial)?;
    let last = steps.last().map_or(0, |step| step.at);
    let count = trial.fleet.nodes;
    let all_nodes = count + trial.fleet.strangers;
    let address = |n: usize| SocketAddr::from(([10, 0, (n >> 8) as u8, n as u8], 7_946));
    let nodes = (0..all_nodes).map(|n| Node {
        name: if n < count { name(n) } else { format!("x{n}").into() },
        cluster: if n < count { CLUSTER } else { OTHER_CLUSTER },
        address: address(n),
        profile: Profile {
            zone: trial.zone(n).into(),
            machine: trial.machine(n).into(),
            address: address(n),
            version: "0".into(),
            protocols: (1, 1),
        },
        machine: None,
        paused: false,
        leaving: false,
        ended: true,
        inbox: VecDeque::new(),
        disk: ModelDisk::new(trial.seed, n as u64),
        starts: 0,
        run: 0,
        scheduled: None,
        sent_before: 0,
        sent_starting: 0,
        changed: false,
    });
    let mut player = Player {
        trial,
        double,
        nodes: nodes.collect(),
        links: Links::new(trial.network.clone(), trial.seed),
        truth: Truth::new(trial, last),
        laws: all(trial),
        found: Findings::default(),
        report: Report::new(title, trial, "virtual", Findings::default()),
        queue: BinaryHeap::new(),
        events: Vec::new(),
        free: Vec::new(),
        next: 0,
        now: 0,
    };
    if double == Some(Double::Unsynced) {
        player.nodes.iter().for_each(|node| node.disk.set(Some(DiskFault::SyncLies)));
    }
    for node in 0..all_nodes {
        player.start(node, Kept::Empty);
    }
    for (n, step) in steps.iter().enumerate() {
        player.push(step.at, Ev::Step(n));
    }
    player.push(MOMENT, Ev::Moment);
    player.run(&steps, nanos(trial.seconds));
    Ok(player.finish())
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

    fn run(&mut self, steps: &[Step], end: Nanos) {
        while let Some(Reverse((at, _, slot))) = self.queue.pop() {
            if at > end {
                break;
            }
            self.now = at;
            self.free.push(slot);
            let Some(event) = self.events[slot].take() else { continue };
            match event {
                Ev::Step(n) => self.step(&steps[n].what),
                Ev::Deliver { to, from, bytes } => self.deliver(to, from, bytes),
                Ev::Due(node) => {
                    if self.nodes[node].scheduled == Some(at) {
                        self.nodes[node].scheduled = None;
                        if !self.nodes[node].paused {
                            self.feed(node, Event::Tick);
                        }
                    }
                }
                Ev::Gone(node, start) => {
                    if self.nodes[node].starts == start {
                        self.end(node);
                    }
                }
                Ev::Join(node, start, saved) => self.join(node, start, *saved),
                Ev::Save(node, start) => self.save(node, start),
                Ev::Saved(node, start) => self.saved(node, start),
                Ev::Moment => self.moment(),
            }
        }
    }

    fn step(&mut self, what: &Do) {
        self.report.line(self.now, None, what.text());
        self.links.step(what);
        match what {
            Do::Kill(node) => {
                self.nodes[*node].disk.crash();
                self.end(*node);
            }
            Do::Stop(node) => {
                self.nodes[*node].leaving = true;
                let start = self.nodes[*node].starts;
                self.push(self.now + LEAVES_IN, Ev::Gone(*node, start));
                self.feed(*node, Event::Leave);
            }
            Do::Start(node, kept) => {
                self.end(*node); // one that still leaves is gone by now
                self.start(*node, *kept);
            }
            Do::Pause(node) => self.nodes[*node].paused = true,
            Do::Disk(node, fault) => self.nodes[*node].disk.set(*fault),
            Do::Continue(_) | Do::Begin { .. } | Do::End(_) => {}
        }
        self.truth.step(self.now, what);
        let seen = Seen(&self.nodes, self.trial.fleet.nodes);
        for law in &mut self.laws {
            law.step(self.now, &self.truth, what, &seen, &mut self.found);
        }
        if let Do::Continue(node) = what {
            self.nodes[*node].paused = false;
            // The kernel has kept what came; the process believes that no time has passed.
            while let Some((from, bytes)) = self.nodes[*node].inbox.pop_front() {
                self.feed(*node, Event::Datagram { from, bytes: &bytes });
            }
            self.feed(*node, Event::Tick);
        }
    }

    fn start(&mut self, node: usize, kept: Kept) {
        let other = (node + 1) % self.trial.fleet.nodes;
        let (mine, others) = (&self.nodes[node], &self.nodes[other]);
        let neighbour = others.disk.clone();
        mine.disk.start(kept, Some(&neighbour));
        let (mut saved, faults) = SavedFile::new(&mine.name, mine.cluster).record_start(&mine.disk);
        let mut takes = mine.disk.takes(START_STEPS);
        for fault in faults {
            self.report.line(self.now, Some(node), format!("fleet.mf: {fault}"));
        }
        self.nodes[node].starts += 1;
        self.nodes[node].ended = false;
        if takes >= LOAD_TIMEOUT {
            self.report.line(self.now, Some(node), "fleet.mf: the disk does not answer".to_owned());
            (takes, saved) = (LOAD_TIMEOUT, SavedState::default());
        }
        let start = self.nodes[node].starts;
        if takes > 0 {
            self.push(self.now + takes, Ev::Join(node, start, Box::new(saved)));
        } else {
            self.join(node, start, saved);
        }
    }

    /// The process has what its disk gave, or goes on without.
    fn join(&mut self, node: usize, start: u64, saved: SavedState) {
        let of = &mut self.nodes[node];
        if of.starts != start || of.ended {
            return;
        }
        let random = mix(self.trial.seed ^ mix(node as u64 + (start << 20)));
        let run = saved.run_number(random as u32);
        of.run = run;
        let seeds = (0..self.trial.fleet.seeds.min(self.trial.fleet.nodes)).map(|n| self.nodes[n].address);
        let seeds = seeds.chain(saved.addresses).collect();
        let of = &mut self.nodes[node];
        let identity = Identity {
            cluster: of.cluster.into(),
            name: of.name.clone(),
            run,
            profile: of.profile.clone(),
            seeds,
        };
        let tuning = self.double.map_or(Tuning::default(), |double| double.tuning(Tuning::default()));
        of.machine = Some(Membership::new(identity, tuning, random, self.now));
        (of.paused, of.leaving) = (false, false);
        of.inbox.clear();
        self.push(self.now + SAVE_INTERVAL, Ev::Save(node, start));
        self.schedule(node);
    }

    /// The process is no more.
    fn end(&mut self, node: usize) {
        let of = &mut self.nodes[node];
        if let Some(machine) = of.machine.take() {
            of.sent_before += machine.counts().sent_bytes;
        }
        (of.scheduled, of.paused, of.ended) = (None, false, true);
        of.inbox.clear();
    }

    fn save(&mut self, node: usize, start: u64) {
        let of = &mut self.nodes[node];
        if of.starts != start {
            return;
        }
        let mut next = self.now + SAVE_INTERVAL;
        if of.machine.is_some() && of.changed && !of.paused {
            of.changed = false;
            let takes = of.disk.takes(START_STEPS);
            next = next.max(self.now + takes); // one at a time
            self.push(self.now + takes, Ev::Saved(node, start));
        }
        self.push(next, Ev::Save(node, start));
    }

    fn saved(&mut self, node: usize, start: u64) {
        let of = &self.nodes[node];
        let Some(machine) = of.machine.as_ref().filter(|_| of.starts == start) else { return };
        let keeping = SavedFile::new(&of.name, of.cluster);
        if let Err(fault) = keeping.save(&of.disk, (of.run >> 32) as u32, machine.addresses()) {
            self.report.line(self.now, Some(node), format!("fleet.mf: {fault}"));
        }
    }

    fn deliver(&mut self, to: usize, from: usize, bytes: Vec<u8>) {
        let (source, of) = (self.nodes[from].address, &mut self.nodes[to]);
        if of.paused {
            if of.inbox.len() < INBOX_MOST {
                of.inbox.push_back((source, bytes));
            }
            return;
        }
        let Some(machine) = &of.machine else { return };
        let _ = machine;
        let bytes = match self.double.filter(|_| to < self.trial.fleet.nodes) {
            Some(double) => {
                let number = |cluster: &str| {
                    use merlinfold_membership::Identity;
                    Identity {
                        cluster: cluster.into(),
                        name: of.name.clone(),
                        run: 0,
                        profile: of.profile.clone(),
                        seeds: Vec::new(),
                    }
                    .cluster_number()
                };
                let clusters = [number(CLUSTER), number(OTHER_CLUSTER)];
                double.hears(&of.name, clusters[0], &clusters, bytes)
            }
            None => bytes,
        };
        self.feed(to, Event::Datagram { from: source, bytes: &bytes });
    }

    fn feed(&mut self, node: usize, event: Event) {
        let Some(machine) = &mut self.nodes[node].machine else { return };
        let mut out = Vec::new();
        machine.handle(self.now, event, &mut out);
        for action in out {
            match action {
                Action::Send { to, bytes } => self.send(node, to, bytes),
                Action::Changed(change) => self.changed(node, &change),
            }
        }
        self.schedule(node);
    }

    fn send(&mut self, from: usize, to: SocketAddr, bytes: Vec<u8>) {
        let SocketAddr::V4(at) = to else { return };
        let [.., high, low] = at.ip().octets();
        let to = usize::from(high) << 8 | usize::from(low);
        if to >= self.nodes.len() {
            return;
        }
        for way in self.links.fate(self.now, from, to, bytes.len()) {
            self.push(self.now + way, Ev::Deliver { to, from, bytes: bytes.clone() });
        }
    }

    fn changed(&mut self, node: usize, change: &Change) {
        if node >= self.trial.fleet.nodes {
            return;
        }
        self.nodes[node].changed = true;
        if let Some((member, is)) = of_member(change) {
            for law in &mut self.laws {
                law.change(self.now, &self.truth, node, member, is, &mut self.found);
            }
        }
        let what = match change {
            Change::Member { name, was, is } => format!("{name}: {} -> {is}", was.unwrap_or("unknown")),
            Change::Majority(hears) => format!("hears {}", if *hears { "most" } else { "fewer than half" }),
            Change::Superseded => "stands down".to_owned(),
        };
        self.report.line(self.now, Some(node), what);
    }

    fn schedule(&mut self, node: usize) {
        let of = &mut self.nodes[node];
        let due = of.machine.as_ref().and_then(Membership::next_deadline);
        if of.scheduled.is_none_or(|at| due.is_some_and(|due| due < at)) {
            if let Some(due) = due {
                let due = due.max(self.now);
                of.scheduled = Some(due);
                self.push(due, Ev::Due(node));
            }
        }
    }

    fn moment(&mut self) {
        if self.now <= STARTED {
            self.nodes.iter_mut().for_each(|node| node.sent_starting = node.sent());
        }
        let seen = Seen(&self.nodes, self.trial.fleet.nodes);
        for law in &mut self.laws {
            law.moment(self.now, &self.truth, &seen, &mut self.found);
        }
        let nodes = &self.nodes[..self.trial.fleet.nodes];
        let alive = nodes.iter().map(|node| node.machine.as_ref().map(Membership::alive_count)).collect();
        self.report.moments.push(Moment { at: crate::report::seconds(self.now), alive, served: None });
        self.push(self.now + MOMENT, Ev::Moment);
    }

    fn finish(mut self) -> Report {
        let seconds = crate::report::seconds(nanos(self.trial.seconds).saturating_sub(STARTED));
        let nodes = &self.nodes[..self.trial.fleet.nodes];
        let sent = |node: &Node| (node.sent() - node.sent_starting) as f64 / seconds;
        let sent: Vec<f64> = nodes.iter().filter(|_| seconds > 0.0).map(sent).collect();
        let judged = Report::new(&self.report.name, self.trial, "virtual", std::mem::take(&mut self.found));
        let mut report = self.report;
        (report.breaches, report.figures) = (judged.breaches, judged.figures);
        report.figures.bytes_s = mean_and_most(&sent);
        report
    }
}
