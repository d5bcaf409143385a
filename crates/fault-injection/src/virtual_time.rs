//! Runs a scenario in virtual time: the product's own membership state machines on a simulated network and disk.

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
use crate::faulty_node::FaultyNode;
use crate::invariants::{
    all_invariants, member_change, ActualState, Findings, Invariant, Views, SAMPLE_INTERVAL,
};
use crate::link::Links;
use crate::report::{mean_and_max, Report, ViewSample};
use crate::scenario::{DiskContents, DiskFault, Scenario};
use crate::schedule::{nanos, steps, Step, StepAction};

const MAX_QUEUED_DATAGRAMS: usize = 256; // that a kernel buffers for a suspended process
/// Disk operations of a load or save: open, read, write, sync, rename, sync of the folder.
const SAVE_OPERATIONS: usize = 6;
const SHUTDOWN_TIME: Nanos = 400 * MS; // from the request to shut down until the process has ended
/// Time within which a fleet whose nodes start together has formed; sent bytes are counted from then on.
const FORMATION_TIME: Nanos = 20 * SECOND;
const CLUSTER: &str = "guides";
const OTHER_CLUSTER: &str = "others";

/// Returns the name of a node.
pub fn name(node: usize) -> Name {
    format!("n{node}").into()
}

/// A node: its membership while the process runs, its disk and what it has sent.
struct Node {
    name: Name,
    cluster: &'static str,
    address: SocketAddr,
    profile: Profile,
    machine: Option<Membership>,
    paused: bool,
    leaving: bool,
    ended: bool, // also true before the first start
    inbox: VecDeque<(SocketAddr, Vec<u8>)>,
    disk: ModelDisk,
    starts: u64,
    run: u64,
    scheduled: Option<Nanos>,
    sent_before: u64,        // bytes that earlier processes of this node sent
    sent_while_forming: u64, // bytes sent before `FORMATION_TIME`
    changed: bool,           // whether the membership changed since the last save
}

/// An event of the simulation. Events of a process carry the number of its start, and are ignored after another
/// start.
enum QueuedEvent {
    Step(usize), // index into the schedule
    Deliver { to: usize, from: usize, bytes: Vec<u8> },
    Tick(usize),
    Exit(usize, u64),
    StartMembership(usize, u64, Box<SavedState>),
    SaveDue(usize, u64),
    SaveDone(usize, u64),
    Sample,
}

impl Node {
    /// Returns the bytes that all processes of the node have sent.
    fn sent(&self) -> u64 {
        self.sent_before + self.machine.as_ref().map_or(0, |machine| machine.counts().sent_bytes)
    }
}

/// The state of a simulation. `queue` orders the slots of `events` by time and sequence number; `free` are unused
/// slots.
struct Simulator<'a> {
    scenario: &'a Scenario,
    faulty_node: Option<FaultyNode>,
    nodes: Vec<Node>,
    links: Links,
    actual: ActualState,
    invariants: Vec<Box<dyn Invariant>>,
    findings: Findings,
    report: Report,
    queue: BinaryHeap<Reverse<(Nanos, u64, usize)>>,
    events: Vec<Option<QueuedEvent>>,
    free: Vec<usize>,
    next_sequence: u64,
    now: Nanos,
}

/// The current views of all nodes. Nodes from `fleet_size` on belong to the other fleet.
struct NodeViews<'a> {
    nodes: &'a [Node],
    fleet_size: usize,
}

impl Views for NodeViews<'_> {
    fn state(&self, observer: usize, member: usize) -> Option<&'static str> {
        self.nodes[observer].machine.as_ref()?.state_of(&self.nodes[member].name)
    }

    fn majority(&self, observer: usize) -> Option<bool> {
        self.nodes[observer].machine.as_ref().map(Membership::has_majority)
    }

    fn accusation_count(&self, observer: usize) -> Option<u64> {
        self.nodes[observer].machine.as_ref().map(|machine| machine.counts().accusations)
    }

    fn run_id(&self, observer: usize) -> Option<u64> {
        self.nodes[observer].machine.as_ref().map(Membership::run)
    }

    fn foreign_members(&self, observer: usize) -> usize {
        let machine = self.nodes[observer].machine.as_ref();
        machine.map_or(0, |machine| {
            self.nodes[self.fleet_size..]
                .iter()
                .filter(|other| machine.state_of(&other.name).is_some())
                .count()
        })
    }
}

/// Runs a scenario in virtual time. If `faulty_node` is given, every node has that defect. The same scenario gives
/// the same report.
pub fn simulate(title: &str, scenario: &Scenario, faulty_node: Option<FaultyNode>) -> Result<Report, String> {
    scenario.check()?;
    let steps = steps(scenario)?;
    let last = steps.last().map_or(0, |step| step.at);
    let count = scenario.fleet.nodes;
    let all_nodes = count + scenario.fleet.strangers;
    let address = |n: usize| SocketAddr::from(([10, 0, (n >> 8) as u8, n as u8], 7_946));
    let nodes = (0..all_nodes).map(|n| Node {
        name: if n < count { name(n) } else { format!("x{n}").into() },
        cluster: if n < count { CLUSTER } else { OTHER_CLUSTER },
        address: address(n),
        profile: Profile {
            zone: scenario.zone(n).into(),
            machine: scenario.machine(n).into(),
            address: address(n),
            version: "0".into(),
            protocols: (1, 1),
        },
        machine: None,
        paused: false,
        leaving: false,
        ended: true,
        inbox: VecDeque::new(),
        disk: ModelDisk::new(scenario.seed, n as u64),
        starts: 0,
        run: 0,
        scheduled: None,
        sent_before: 0,
        sent_while_forming: 0,
        changed: false,
    });
    let mut simulator = Simulator {
        scenario,
        faulty_node,
        nodes: nodes.collect(),
        links: Links::new(scenario.network.clone(), scenario.seed),
        actual: ActualState::new(scenario, last),
        invariants: all_invariants(scenario),
        findings: Findings::default(),
        report: Report::new(title, scenario, "virtual", Findings::default()),
        queue: BinaryHeap::new(),
        events: Vec::new(),
        free: Vec::new(),
        next_sequence: 0,
        now: 0,
    };
    if faulty_node == Some(FaultyNode::Unsynced) {
        simulator.nodes.iter().for_each(|node| node.disk.set_fault(Some(DiskFault::SyncLies)));
    }
    for node in 0..all_nodes {
        simulator.start(node, DiskContents::Empty);
    }
    for (n, step) in steps.iter().enumerate() {
        simulator.push(step.at, QueuedEvent::Step(n));
    }
    simulator.push(SAMPLE_INTERVAL, QueuedEvent::Sample);
    simulator.run(&steps, nanos(scenario.seconds));
    Ok(simulator.finish())
}

impl Simulator<'_> {
    /// Schedules an event.
    fn push(&mut self, at: Nanos, event: QueuedEvent) {
        let slot = self.free.pop().unwrap_or_else(|| {
            self.events.push(None);
            self.events.len() - 1
        });
        self.events[slot] = Some(event);
        self.next_sequence += 1;
        self.queue.push(Reverse((at, self.next_sequence, slot)));
    }

    /// Handles all events up to `end`.
    fn run(&mut self, steps: &[Step], end: Nanos) {
        while let Some(Reverse((at, _, slot))) = self.queue.pop() {
            if at > end {
                break;
            }
            self.now = at;
            self.free.push(slot);
            let Some(event) = self.events[slot].take() else { continue };
            match event {
                QueuedEvent::Step(n) => self.step(&steps[n].action),
                QueuedEvent::Deliver { to, from, bytes } => self.deliver(to, from, bytes),
                QueuedEvent::Tick(node) => {
                    if self.nodes[node].scheduled == Some(at) {
                        self.nodes[node].scheduled = None;
                        if !self.nodes[node].paused {
                            self.handle_event(node, Event::Tick);
                        }
                    }
                }
                QueuedEvent::Exit(node, start) => {
                    if self.nodes[node].starts == start {
                        self.end_process(node);
                    }
                }
                QueuedEvent::StartMembership(node, start, saved) => {
                    self.start_membership(node, start, *saved)
                }
                QueuedEvent::SaveDue(node, start) => self.begin_save(node, start),
                QueuedEvent::SaveDone(node, start) => self.complete_save(node, start),
                QueuedEvent::Sample => self.sample(),
            }
        }
    }

    /// Carries out a step of the schedule and reports it to the invariants.
    fn step(&mut self, action: &StepAction) {
        self.report.add_timeline_entry(self.now, None, action.description());
        self.links.step(action);
        match action {
            StepAction::Kill(node) => {
                self.nodes[*node].disk.crash();
                self.end_process(*node);
            }
            StepAction::Stop(node) => {
                self.nodes[*node].leaving = true;
                let start = self.nodes[*node].starts;
                self.push(self.now + SHUTDOWN_TIME, QueuedEvent::Exit(*node, start));
                self.handle_event(*node, Event::Leave);
            }
            StepAction::Start(node, contents) => {
                self.end_process(*node); // a node that is still shutting down has ended by now
                self.start(*node, *contents);
            }
            StepAction::Pause(node) => self.nodes[*node].paused = true,
            StepAction::SetDiskFault(node, fault) => self.nodes[*node].disk.set_fault(*fault),
            StepAction::Continue(_) | StepAction::BeginRule { .. } | StepAction::EndRule(_) => {}
        }
        self.actual.apply(self.now, action);
        let views = NodeViews { nodes: &self.nodes, fleet_size: self.scenario.fleet.nodes };
        for invariant in &mut self.invariants {
            invariant.on_step(self.now, &self.actual, action, &views, &mut self.findings);
        }
        if let StepAction::Continue(node) = action {
            self.nodes[*node].paused = false;
            // The kernel buffered the datagrams; the process does not notice that time has passed.
            while let Some((from, bytes)) = self.nodes[*node].inbox.pop_front() {
                self.handle_event(*node, Event::Datagram { from, bytes: &bytes });
            }
            self.handle_event(*node, Event::Tick);
        }
    }

    /// Starts a process with the given disk contents; its membership starts once the disk has answered.
    fn start(&mut self, node: usize, contents: DiskContents) {
        let other_node = (node + 1) % self.scenario.fleet.nodes;
        let (own, other) = (&self.nodes[node], &self.nodes[other_node]);
        let other_disk = other.disk.clone();
        own.disk.start(contents, Some(&other_disk));
        let (mut saved, errors) = SavedFile::new(&own.name, own.cluster).record_start(&own.disk);
        let mut delay = own.disk.operation_delay(SAVE_OPERATIONS);
        for error in errors {
            self.report.add_timeline_entry(self.now, Some(node), format!("fleet.mf: {error}"));
        }
        self.nodes[node].starts += 1;
        self.nodes[node].ended = false;
        if delay >= LOAD_TIMEOUT {
            self.report.add_timeline_entry(
                self.now,
                Some(node),
                "fleet.mf: the disk does not answer".to_owned(),
            );
            (delay, saved) = (LOAD_TIMEOUT, SavedState::default());
        }
        let start = self.nodes[node].starts;
        if delay > 0 {
            self.push(self.now + delay, QueuedEvent::StartMembership(node, start, Box::new(saved)));
        } else {
            self.start_membership(node, start, saved);
        }
    }

    /// Starts the membership of a process with what its disk returned, or with nothing if the disk did not answer in
    /// time.
    fn start_membership(&mut self, node: usize, start: u64, saved: SavedState) {
        let node_state = &mut self.nodes[node];
        if node_state.starts != start || node_state.ended {
            return;
        }
        let random = mix(self.scenario.seed ^ mix(node as u64 + (start << 20)));
        let run = saved.run_number(random as u32);
        node_state.run = run;
        let seeds =
            (0..self.scenario.fleet.seeds.min(self.scenario.fleet.nodes)).map(|n| self.nodes[n].address);
        let seeds = seeds.chain(saved.addresses).collect();
        let node_state = &mut self.nodes[node];
        let identity = Identity {
            cluster: node_state.cluster.into(),
            name: node_state.name.clone(),
            run,
            profile: node_state.profile.clone(),
            seeds,
        };
        let tuning =
            self.faulty_node.map_or(Tuning::default(), |faulty_node| faulty_node.tuning(Tuning::default()));
        node_state.machine = Some(Membership::new(identity, tuning, random, self.now));
        (node_state.paused, node_state.leaving) = (false, false);
        node_state.inbox.clear();
        self.push(self.now + SAVE_INTERVAL, QueuedEvent::SaveDue(node, start));
        self.schedule_tick(node);
    }

    /// Ends the process of a node.
    fn end_process(&mut self, node: usize) {
        let node_state = &mut self.nodes[node];
        if let Some(machine) = node_state.machine.take() {
            node_state.sent_before += machine.counts().sent_bytes;
        }
        (node_state.scheduled, node_state.paused, node_state.ended) = (None, false, true);
        node_state.inbox.clear();
    }

    /// Starts a save if the membership changed, and schedules the next one.
    fn begin_save(&mut self, node: usize, start: u64) {
        let node_state = &mut self.nodes[node];
        if node_state.starts != start {
            return;
        }
        let mut next = self.now + SAVE_INTERVAL;
        if node_state.machine.is_some() && node_state.changed && !node_state.paused {
            node_state.changed = false;
            let delay = node_state.disk.operation_delay(SAVE_OPERATIONS);
            next = next.max(self.now + delay); // one save at a time
            self.push(self.now + delay, QueuedEvent::SaveDone(node, start));
        }
        self.push(next, QueuedEvent::SaveDue(node, start));
    }

    /// Writes the saved view once the disk operations have taken their time.
    fn complete_save(&mut self, node: usize, start: u64) {
        let node_state = &self.nodes[node];
        let Some(machine) = node_state.machine.as_ref().filter(|_| node_state.starts == start) else {
            return;
        };
        let keeping = SavedFile::new(&node_state.name, node_state.cluster);
        if let Err(error) = keeping.save(&node_state.disk, (node_state.run >> 32) as u32, machine.addresses())
        {
            self.report.add_timeline_entry(self.now, Some(node), format!("fleet.mf: {error}"));
        }
    }

    /// Passes a datagram to a node, or buffers it while the node is paused.
    fn deliver(&mut self, to: usize, from: usize, bytes: Vec<u8>) {
        let (source, node_state) = (self.nodes[from].address, &mut self.nodes[to]);
        if node_state.paused {
            if node_state.inbox.len() < MAX_QUEUED_DATAGRAMS {
                node_state.inbox.push_back((source, bytes));
            }
            return;
        }
        if node_state.machine.is_none() {
            return;
        }
        let bytes = match self.faulty_node.filter(|_| to < self.scenario.fleet.nodes) {
            Some(faulty_node) => {
                let number = |cluster: &str| {
                    Identity {
                        cluster: cluster.into(),
                        name: node_state.name.clone(),
                        run: 0,
                        profile: node_state.profile.clone(),
                        seeds: Vec::new(),
                    }
                    .cluster_number()
                };
                let clusters = [number(CLUSTER), number(OTHER_CLUSTER)];
                faulty_node.filter_datagram(&node_state.name, clusters[0], &clusters, bytes)
            }
            None => bytes,
        };
        self.handle_event(to, Event::Datagram { from: source, bytes: &bytes });
    }

    /// Passes an event to the membership of a node and carries out its actions.
    fn handle_event(&mut self, node: usize, event: Event) {
        let Some(machine) = &mut self.nodes[node].machine else { return };
        let mut actions = Vec::new();
        machine.handle(self.now, event, &mut actions);
        for action in actions {
            match action {
                Action::Send { to, bytes } => self.send(node, to, bytes),
                Action::Changed(change) => self.handle_change(node, &change),
            }
        }
        self.schedule_tick(node);
    }

    /// Sends a datagram over the simulated links.
    fn send(&mut self, from: usize, to: SocketAddr, bytes: Vec<u8>) {
        let SocketAddr::V4(at) = to else { return };
        let [.., high, low] = at.ip().octets();
        let to = usize::from(high) << 8 | usize::from(low);
        if to >= self.nodes.len() {
            return;
        }
        for transit in self.links.delivery_delays(self.now, from, to, bytes.len()) {
            self.push(self.now + transit, QueuedEvent::Deliver { to, from, bytes: bytes.clone() });
        }
    }

    /// Reports a change of a membership to the invariants and the timeline.
    fn handle_change(&mut self, node: usize, change: &Change) {
        if node >= self.scenario.fleet.nodes {
            return;
        }
        self.nodes[node].changed = true;
        if let Some((member, is)) = member_change(change) {
            for invariant in &mut self.invariants {
                invariant.on_state_change(self.now, &self.actual, node, member, is, &mut self.findings);
            }
        }
        let detail = match change {
            Change::Member { name, was, is } => format!("{name}: {} -> {is}", was.unwrap_or("unknown")),
            Change::Majority(hears_majority) => {
                format!("hears {}", if *hears_majority { "most" } else { "fewer than half" })
            }
            Change::Superseded => "stands down".to_owned(),
        };
        self.report.add_timeline_entry(self.now, Some(node), detail);
    }

    /// Schedules the next tick of a node unless an earlier one is scheduled.
    fn schedule_tick(&mut self, node: usize) {
        let node_state = &mut self.nodes[node];
        let due = node_state.machine.as_ref().and_then(Membership::next_deadline);
        if node_state.scheduled.is_none_or(|at| due.is_some_and(|due| due < at)) {
            if let Some(due) = due {
                let due = due.max(self.now);
                node_state.scheduled = Some(due);
                self.push(due, QueuedEvent::Tick(node));
            }
        }
    }

    /// Samples all views and schedules the next sample.
    fn sample(&mut self) {
        if self.now <= FORMATION_TIME {
            self.nodes.iter_mut().for_each(|node| node.sent_while_forming = node.sent());
        }
        let views = NodeViews { nodes: &self.nodes, fleet_size: self.scenario.fleet.nodes };
        for invariant in &mut self.invariants {
            invariant.on_sample(self.now, &self.actual, &views, &mut self.findings);
        }
        let nodes = &self.nodes[..self.scenario.fleet.nodes];
        let alive = nodes.iter().map(|node| node.machine.as_ref().map(Membership::alive_count)).collect();
        self.report.samples.push(ViewSample { at: crate::report::seconds(self.now), alive, served: None });
        self.push(self.now + SAMPLE_INTERVAL, QueuedEvent::Sample);
    }

    /// Returns the report with the findings of the invariants.
    fn finish(mut self) -> Report {
        let seconds = crate::report::seconds(nanos(self.scenario.seconds).saturating_sub(FORMATION_TIME));
        let nodes = &self.nodes[..self.scenario.fleet.nodes];
        let sent = |node: &Node| (node.sent() - node.sent_while_forming) as f64 / seconds;
        let sent: Vec<f64> = nodes.iter().filter(|_| seconds > 0.0).map(sent).collect();
        let from_findings =
            Report::new(&self.report.name, self.scenario, "virtual", std::mem::take(&mut self.findings));
        let mut report = self.report;
        (report.violations, report.figures) = (from_findings.violations, from_findings.figures);
        report.figures.bytes_s = mean_and_max(&sent);
        report
    }
}
