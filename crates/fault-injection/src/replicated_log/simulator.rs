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

use super::invariants::{InvariantChecker, Violation};
use crate::disk::ModelDisk;
use crate::link::Links;
use crate::scenario::{DiskContents, Scenario};
use crate::schedule::{nanos, steps, Step, StepAction};

const VIEW_INTERVAL: Nanos = 500 * MS;
const VIEW_DELAY: Nanos = 1_200 * MS; // until a death is known, as the membership takes at 300 nodes
const PROPOSAL_INTERVAL: Nanos = 250 * MS;
const FILE_WRITE_OPERATIONS: usize = 4; // of a disk, a file
const SHUTDOWN_TIME: Nanos = 300 * MS;
const SETTLE_TIME: Nanos = 20 * SECOND; // from the last fault on, until a command must be agreed everywhere

/// A fleet and what happens to it.
#[derive(Clone, Debug)]
pub struct LogScenario {
    /// Nodes, links and faults.
    pub base: Scenario,
    /// How many nodes, from the first on, may vote.
    pub candidates: usize,
    /// How many do.
    pub voters: usize,
    /// Whether disks last.
    pub durable_disks: bool,
    /// Whether commands have to be agreed again after the last fault.
    pub requires_recovery: bool,
}

/// What came of it.
#[derive(Clone, Debug, Default)]
pub struct RunOutcome {
    /// Laws that were broken.
    pub violations: Vec<Violation>,
    /// Commands confirmed, and given up.
    pub confirmed: usize,
    /// The same.
    pub timed_out: usize,
    /// Places agreed on.
    pub entries: usize,
    /// Groups that have decided anything.
    pub groups: usize,
    /// From a proposal to its confirmation.
    pub latency: Vec<Nanos>,
    /// From a leader's death or stop to the next lead.
    pub leaderless: Vec<Nanos>,
    /// Bytes a second that each node sent, on the mean.
    pub bytes_s: f64,
    /// Whether all live nodes agreed on a command at the end.
    pub recovered: bool,
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

enum QueuedEvent {
    Step(usize),
    Deliver { to: usize, bytes: Vec<u8> },
    Tick(usize),
    SaveDone { node: usize, start: u64, durable: bool },
    Exit { node: usize, start: u64 },
    UpdateViews,
    Propose,
    Probe,
}

struct Simulator<'a> {
    scenario: &'a LogScenario,
    tuning: Tuning,
    nodes: Vec<Node>,
    links: Links,
    checker: InvariantChecker,
    queue: BinaryHeap<Reverse<(Nanos, u64, usize)>>,
    events: Vec<Option<QueuedEvent>>,
    free: Vec<usize>,
    next: u64,
    now: Nanos,
    stream: Stream,
    proposed: BTreeMap<u128, Nanos>,
    probe: Option<u128>,
    lost_lead: Option<Nanos>,
    outcome: RunOutcome,
    record_lines: bool,
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
pub fn simulate(
    scenario: &LogScenario, defect: Option<Defect>, record_lines: bool,
) -> Result<RunOutcome, String> {
    let base = &scenario.base;
    base.check()?;
    let steps = steps(base)?;
    let last = steps.last().map_or(0, |step| step.at);
    let node = |n: usize| Node {
        name: format!("n{n}").into(),
        machine: None,
        paused: false,
        starts: 0,
        scheduled: None,
        disk: ModelDisk::new(base.seed, n as u64),
        down_since: None,
        sent: 0,
    };
    let mut simulator = Simulator {
        scenario,
        tuning: Tuning { defect, ..Tuning::default() },
        nodes: (0..base.fleet.nodes).map(node).collect(),
        links: Links::new(base.network.clone(), base.seed),
        checker: InvariantChecker::default(),
        queue: BinaryHeap::new(),
        events: Vec::new(),
        free: Vec::new(),
        next: 0,
        now: 0,
        stream: Seed(base.seed).stream("proposals", 0),
        proposed: BTreeMap::new(),
        probe: None,
        lost_lead: None,
        outcome: RunOutcome::default(),
        record_lines,
    };
    for n in 0..base.fleet.nodes {
        simulator.start(n, DiskContents::Empty);
    }
    for (n, step) in steps.iter().enumerate() {
        simulator.push(step.at, QueuedEvent::Step(n));
    }
    simulator.push(0, QueuedEvent::UpdateViews);
    simulator.push(SECOND, QueuedEvent::Propose);
    let end = nanos(base.seconds);
    simulator.push((last + SETTLE_TIME).min(end.saturating_sub(5 * SECOND)), QueuedEvent::Probe);
    simulator.run(&steps, end);
    Ok(simulator.finish(end))
}

impl Simulator<'_> {
    fn push(&mut self, at: Nanos, event: QueuedEvent) {
        let slot = self.free.pop().unwrap_or_else(|| {
            self.events.push(None);
            self.events.len() - 1
        });
        self.events[slot] = Some(event);
        self.next += 1;
        self.queue.push(Reverse((at, self.next, slot)));
    }

    fn line(&mut self, node: Option<usize>, what: String) {
        if self.record_lines {
            let at = self.now as f64 / SECOND as f64;
            let node = node.map_or(String::new(), |node| format!(" n{node}"));
            self.outcome.lines.push(format!("{at:9.3}{node} {what}"));
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
                QueuedEvent::Step(n) => self.step(&steps[n].action),
                QueuedEvent::Deliver { to, bytes } => {
                    if !self.nodes[to].paused {
                        self.handle_event(to, Event::Datagram(&bytes));
                    }
                }
                QueuedEvent::Tick(node) => {
                    if self.nodes[node].scheduled == Some(at) {
                        self.nodes[node].scheduled = None;
                        if !self.nodes[node].paused {
                            self.handle_event(node, Event::Tick);
                        }
                    }
                }
                QueuedEvent::SaveDone { node, start, durable } => {
                    if self.nodes[node].starts == start {
                        if self.nodes[node].paused {
                            self.push(at + 10 * MS, QueuedEvent::SaveDone { node, start, durable });
                        } else {
                            self.handle_event(node, Event::Persisted(durable));
                        }
                    }
                }
                QueuedEvent::Exit { node, start } => {
                    if self.nodes[node].starts == start {
                        self.end(node);
                    }
                }
                QueuedEvent::UpdateViews => self.update_views(),
                QueuedEvent::Propose => self.propose(),
                QueuedEvent::Probe => {
                    let id = self.stream.random::<u128>() | 1;
                    self.probe = Some(id);
                    let up: Vec<usize> = self.up().collect();
                    if let Some(&node) = up.first() {
                        self.propose_command(node, id, "probe", None);
                    }
                }
            }
        }
    }

    fn up(&self) -> impl Iterator<Item = usize> + '_ {
        let up = |node: &Node| node.machine.is_some() && !node.paused;
        self.nodes.iter().enumerate().filter(move |(_, node)| up(node)).map(|(n, _)| n)
    }

    fn step(&mut self, action: &StepAction) {
        self.line(None, action.description());
        self.links.step(action);
        match action {
            StepAction::Kill(node) => {
                self.nodes[*node].disk.crash();
                self.end(*node);
            }
            StepAction::Stop(node) => {
                let start = self.nodes[*node].starts;
                self.push(self.now + SHUTDOWN_TIME, QueuedEvent::Exit { node: *node, start });
            }
            StepAction::Start(node, contents) => {
                self.end(*node);
                self.start(*node, *contents);
            }
            StepAction::Pause(node) => {
                self.nodes[*node].paused = true;
                self.nodes[*node].down_since.get_or_insert(self.now);
                self.note_lost_leader(*node);
            }
            StepAction::Continue(node) => {
                self.nodes[*node].paused = false;
                self.nodes[*node].down_since = None;
                self.handle_event(*node, Event::Tick);
            }
            StepAction::SetDiskFault(node, fault) => self.nodes[*node].disk.set_fault(*fault),
            StepAction::BeginRule { .. } | StepAction::EndRule(_) => {}
        }
    }

    fn note_lost_leader(&mut self, node: usize) {
        if self.nodes[node].machine.as_ref().is_some_and(|machine| machine.leading_term().is_some()) {
            self.lost_lead = Some(self.now);
        }
    }

    fn start(&mut self, node: usize, contents: DiskContents) {
        let (scenario, now) = (self.scenario, self.now);
        let node_state = &mut self.nodes[node];
        node_state.starts += 1;
        (node_state.paused, node_state.down_since, node_state.scheduled) = (false, None, None);
        let contents = if scenario.durable_disks { contents } else { DiskContents::Empty };
        node_state.disk.start(contents, None);
        let (stored, doubt) = if scenario.durable_disks {
            let (stored, doubt) = KeptLog::load(&node_state.disk, &node_state.name);
            (Some(stored), doubt)
        } else {
            (None, None)
        };
        let id = Identity {
            cluster: 7,
            name: node_state.name.clone(),
            start_number: node_state.starts,
            candidates: (0..scenario.candidates).map(|n| format!("n{n}").into()).collect(),
            voter_count: scenario.voters,
        };
        let seed = mix(scenario.base.seed ^ mix(node as u64 + (node_state.starts << 20)));
        let mut out = Vec::new();
        let machine = ReplicatedLog::new(id, self.tuning.clone(), stored, seed, now, &mut out);
        node_state.machine = Some(machine);
        if let Some(doubt) = doubt {
            self.line(Some(node), format!("doubt: {doubt}"));
        }
        let peers = self.peers(node);
        self.perform_actions(node, out);
        self.handle_event(node, Event::Peers(peers));
    }

    fn end(&mut self, node: usize) {
        self.note_lost_leader(node);
        let node_state = &mut self.nodes[node];
        if let Some(machine) = node_state.machine.take() {
            node_state.sent += machine.sent_bytes();
        }
        (node_state.scheduled, node_state.paused) = (None, false);
        node_state.down_since.get_or_insert(self.now);
    }

    /// How a node sees the others: what is cut off or down is known to be so after a while.
    fn peers(&self, observer: usize) -> Vec<Peer> {
        let base = &self.scenario.base;
        let alive = |n: usize| {
            let node_state = &self.nodes[n];
            let dead = node_state.down_since.is_some_and(|since| self.now >= since + VIEW_DELAY);
            n == observer || !dead && !self.links.is_cut(n, observer) && !self.links.is_cut(observer, n)
        };
        let peer = |n: usize| Peer {
            name: self.nodes[n].name.clone(),
            address: address(n),
            zone: base.zone(n).into(),
            machine: base.machine(n).into(),
            alive: alive(n),
        };
        (0..self.nodes.len()).map(peer).collect()
    }

    fn update_views(&mut self) {
        for node in self.up().collect::<Vec<_>>() {
            let peers = self.peers(node);
            self.handle_event(node, Event::Peers(peers));
        }
        self.push(self.now + VIEW_INTERVAL, QueuedEvent::UpdateViews);
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
            self.propose_command(node, id, &key, expect);
            if self.stream.random_range(0..4) == 0 {
                // The same again through another node, as after an answer that was lost.
                let other = up[self.stream.random_range(0..up.len())];
                self.propose_command(other, id, &key, expect);
            }
        }
        let more = self.stream.random_range(0..PROPOSAL_INTERVAL);
        self.push(self.now + PROPOSAL_INTERVAL / 2 + more, QueuedEvent::Propose);
    }

    fn propose_command(&mut self, node: usize, id: u128, key: &str, expect: Option<u64>) {
        self.proposed.entry(id).or_insert(self.now);
        let set = Set { key: key.to_owned(), expect, value: id.to_le_bytes().to_vec() };
        let body = postcard::to_stdvec(&set).unwrap_or_default();
        self.handle_event(node, Event::Propose(Command { id, kind: SET, body }));
    }

    fn handle_event(&mut self, node: usize, event: Event) {
        let Some(machine) = &mut self.nodes[node].machine else { return };
        let mut out = Vec::new();
        machine.handle(self.now, event, &mut out);
        self.perform_actions(node, out);
    }

    fn group(&self, node: usize) -> Group {
        self.nodes[node].machine.as_ref().map(ReplicatedLog::group).unwrap_or_default()
    }

    fn perform_actions(&mut self, node: usize, out: Vec<Action>) {
        let mut group = self.group(node);
        for action in out {
            match action {
                Action::Send { to, bytes } => {
                    let to = number(to);
                    for way in self.links.delivery_delays(self.now, node, to, bytes.len()) {
                        self.push(self.now + way, QueuedEvent::Deliver { to, bytes: bytes.clone() });
                    }
                }
                Action::Persist(writes) => self.persist(node, &writes),
                Action::Notify(note) => self.handle_notification(node, &mut group, note),
            }
        }
        let Some(machine) = &self.nodes[node].machine else { return };
        let (vote, due) = (machine.durable_vote(), machine.next_deadline().max(self.now + MS));
        if let Some(vote) = vote {
            self.checker.voted(self.now, node, vote);
        }
        if self.nodes[node].scheduled.is_none_or(|at| due < at) {
            self.nodes[node].scheduled = Some(due);
            self.push(due, QueuedEvent::Tick(node));
        }
    }

    fn persist(&mut self, node: usize, writes: &[FileWrite]) {
        let node_state = &self.nodes[node];
        let saved: Result<(), _> =
            writes.iter().try_for_each(|write| write.save(&node_state.disk, &node_state.name));
        let delay = MS / 2 + node_state.disk.operation_delay(FILE_WRITE_OPERATIONS * writes.len());
        let (start, durable) = (node_state.starts, saved.is_ok());
        if let Err(fault) = saved {
            self.line(Some(node), format!("disk: {fault}"));
        }
        self.push(self.now + delay, QueuedEvent::SaveDone { node, start, durable });
    }

    fn handle_notification(&mut self, node: usize, group: &mut Group, note: Notification) {
        match note {
            Notification::Applied(entry) => {
                let node_state = self.nodes[node].machine.as_ref();
                if let EntryPayload::Command(command) = &entry.what {
                    let outcome = node_state.and_then(|machine| machine.state().outcome(command.id)).cloned();
                    if let Some(outcome) = outcome {
                        self.checker.outcome_applied(self.now, node, *group, command.id, &outcome);
                    }
                }
                self.checker.applied(self.now, node, *group, &entry);
            }
            Notification::StateReplaced(to, index) => {
                *group = to;
                self.checker.state_replaced(to, index);
                self.line(Some(node), format!("holds {to:?} at {index}"));
            }
            Notification::Outcome(id, outcome) => {
                if let Some(at) = self.proposed.get(&id) {
                    self.outcome.latency.push(self.now - at);
                }
                if matches!(outcome, Outcome::Done(_)) {
                    self.outcome.confirmed += 1;
                }
                self.checker.confirmed(self.now, node, *group, id, outcome);
            }
            Notification::ProposalTimedOut(_) => self.outcome.timed_out += 1,
            Notification::Leadership(term) => {
                if let Some(term) = term {
                    self.checker.leader_elected(self.now, node, *group, term);
                    if let Some(since) = self.lost_lead.take() {
                        self.outcome.leaderless.push(self.now - since);
                    }
                }
                self.line(Some(node), format!("leads {term:?}"));
            }
            other => self.line(Some(node), format!("{other:?}")),
        }
    }

    fn finish(mut self, end: Nanos) -> RunOutcome {
        let now = self.now;
        let up: Vec<usize> = self.up().collect();
        let mut recovered = self.probe.is_some();
        for &node in &up {
            let Some(machine) = &self.nodes[node].machine else { continue };
            self.checker.check_confirmed_retained(now, node, machine.group(), machine.state());
            let inside = machine.debug_summary();
            let has = self.probe.is_some_and(|id| machine.state().outcome(id).is_some());
            recovered &= has;
            self.outcome.lines.push(format!("at the end n{node}: {inside}"));
            if self.scenario.requires_recovery {
                let standing = machine.status(now);
                self.checker.check_recovered(now, has, || {
                    format!("n{node} does not have the last command: {standing:?}")
                });
            }
        }
        let sent: u64 = self
            .nodes
            .iter()
            .map(|node| node.sent + node.machine.as_ref().map_or(0, ReplicatedLog::sent_bytes))
            .sum();
        self.outcome.bytes_s = sent as f64 / self.nodes.len() as f64 / (end as f64 / SECOND as f64);
        self.outcome.entries = self.checker.entry_count();
        self.outcome.groups = self.checker.group_count();
        self.outcome.recovered = recovered;
        self.outcome.violations = self.checker.violations;
        self.outcome
    }
}
