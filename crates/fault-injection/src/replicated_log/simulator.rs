//! Runs one scenario of the replicated log.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::net::SocketAddr;

use merlinfold_replicated_log::command::{Command, EntryPayload, Outcome, Set, SET};
use merlinfold_replicated_log::{
    Action, Defect, Event, FileWrite, Group, Identity, Name, Notification, Peer, ReplicatedLog, StoredLog,
    Tuning,
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
const VIEW_DELAY: Nanos = 1_200 * MS; // until nodes learn of a death, as long as the membership takes at 300 nodes
const PROPOSAL_INTERVAL: Nanos = 250 * MS;
const FILE_WRITE_OPERATIONS: usize = 4; // disk operations to write a file
const SHUTDOWN_TIME: Nanos = 300 * MS;
const SETTLE_TIME: Nanos = 20 * SECOND; // after the last step, until a command is proposed that all nodes must commit

/// A fleet with a replicated log, and its faults.
#[derive(Clone, Debug)]
pub struct LogScenario {
    /// Nodes, links and faults.
    pub base: Scenario,
    /// Number of nodes, from the first on, that may become voters.
    pub candidates: usize,
    /// Number of voters.
    pub voters: usize,
    /// Whether the log is stored on disks.
    pub durable_disks: bool,
    /// Whether commands must be committed again after the last fault.
    pub requires_recovery: bool,
}

/// Outcome of a run.
#[derive(Clone, Debug, Default)]
pub struct RunOutcome {
    /// Violated invariants.
    pub violations: Vec<Violation>,
    /// Number of confirmed commands.
    pub confirmed: usize,
    /// Number of proposals that timed out.
    pub timed_out: usize,
    /// Number of committed entries.
    pub entries: usize,
    /// Number of groups that committed an entry.
    pub groups: usize,
    /// Times from a proposal to its confirmation.
    pub latency: Vec<Nanos>,
    /// Times from the death, shutdown or pause of a leader to the next leadership.
    pub leaderless: Vec<Nanos>,
    /// Bytes per second that a node sent, averaged over the nodes.
    pub bytes_s: f64,
    /// Whether all running nodes had applied the last command at the end.
    pub recovered: bool,
    /// Event log, if it was recorded.
    pub lines: Vec<String>,
}

/// A node: its state machine while the process runs, and its disk.
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

/// An event of the simulation. Events of a process carry the number of its start, and are ignored after another
/// start.
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

/// The state of a simulation. `queue` orders the slots of `events` by time and sequence number; `free` are unused
/// slots.
struct Simulator<'a> {
    scenario: &'a LogScenario,
    tuning: Tuning,
    nodes: Vec<Node>,
    links: Links,
    checker: InvariantChecker,
    queue: BinaryHeap<Reverse<(Nanos, u64, usize)>>,
    events: Vec<Option<QueuedEvent>>,
    free: Vec<usize>,
    next_sequence: u64,
    now: Nanos,
    stream: Stream,
    proposed: BTreeMap<u128, Nanos>,
    probe: Option<u128>,
    leader_lost_at: Option<Nanos>,
    outcome: RunOutcome,
    record_lines: bool,
}

fn address(node: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, (node >> 8) as u8, node as u8], 7_947))
}

fn node_number(at: SocketAddr) -> usize {
    let SocketAddr::V4(at) = at else { return usize::MAX };
    let [.., high, low] = at.ip().octets();
    usize::from(high) << 8 | usize::from(low)
}

/// Runs a scenario in virtual time; `defect` is planted in every node. The same scenario gives the same outcome.
/// `record_lines` enables the event log.
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
        next_sequence: 0,
        now: 0,
        stream: Seed(base.seed).stream("proposals", 0),
        proposed: BTreeMap::new(),
        probe: None,
        leader_lost_at: None,
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

    /// Adds a line to the event log if it is recorded.
    fn line(&mut self, node: Option<usize>, text: String) {
        if self.record_lines {
            let at = self.now as f64 / SECOND as f64;
            let node = node.map_or(String::new(), |node| format!(" n{node}"));
            self.outcome.lines.push(format!("{at:9.3}{node} {text}"));
        }
    }

    /// Handles all events up to `end`.
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
                    let up: Vec<usize> = self.running_nodes().collect();
                    if let Some(&node) = up.first() {
                        self.propose_command(node, id, "probe", None);
                    }
                }
            }
        }
    }

    /// Returns the nodes whose process runs and is not paused.
    fn running_nodes(&self) -> impl Iterator<Item = usize> + '_ {
        let up = |node: &Node| node.machine.is_some() && !node.paused;
        self.nodes.iter().enumerate().filter(move |(_, node)| up(node)).map(|(n, _)| n)
    }

    /// Carries out a step of the schedule.
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

    /// Records when a leader was lost if this node was one.
    fn note_lost_leader(&mut self, node: usize) {
        if self.nodes[node].machine.as_ref().is_some_and(|machine| machine.leading_term().is_some()) {
            self.leader_lost_at = Some(self.now);
        }
    }

    /// Starts a process with the given disk contents.
    fn start(&mut self, node: usize, contents: DiskContents) {
        let (scenario, now) = (self.scenario, self.now);
        let node_state = &mut self.nodes[node];
        node_state.starts += 1;
        (node_state.paused, node_state.down_since, node_state.scheduled) = (false, None, None);
        let contents = if scenario.durable_disks { contents } else { DiskContents::Empty };
        node_state.disk.start(contents, None);
        let (stored, error) = if scenario.durable_disks {
            let (stored, error) = StoredLog::load(&node_state.disk, &node_state.name);
            (Some(stored), error)
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
        let mut actions = Vec::new();
        let machine = ReplicatedLog::new(id, self.tuning.clone(), stored, seed, now, &mut actions);
        node_state.machine = Some(machine);
        if let Some(error) = error {
            self.line(Some(node), format!("stored log: {error}"));
        }
        let peers = self.peers(node);
        self.perform_actions(node, actions);
        self.handle_event(node, Event::Peers(peers));
    }

    /// Ends the process of a node.
    fn end(&mut self, node: usize) {
        self.note_lost_leader(node);
        let node_state = &mut self.nodes[node];
        if let Some(machine) = node_state.machine.take() {
            node_state.sent += machine.sent_bytes();
        }
        (node_state.scheduled, node_state.paused) = (None, false);
        node_state.down_since.get_or_insert(self.now);
    }

    /// Returns the membership as a node sees it: nodes that are down are known to be dead after [`VIEW_DELAY`], and
    /// cut links at the next update of the views.
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

    /// Gives every running node its view of the membership.
    fn update_views(&mut self) {
        for node in self.running_nodes().collect::<Vec<_>>() {
            let peers = self.peers(node);
            self.handle_event(node, Event::Peers(peers));
        }
        self.push(self.now + VIEW_INTERVAL, QueuedEvent::UpdateViews);
    }

    /// Proposes a random command through a random node, a quarter of them twice, and schedules the next proposal.
    fn propose(&mut self) {
        let up: Vec<usize> = self.running_nodes().collect();
        if !up.is_empty() {
            let node = up[self.stream.random_range(0..up.len())];
            let id = self.stream.random::<u128>() | 1;
            let key = format!("k{}", self.stream.random_range(0..5));
            let state = self.nodes[node].machine.as_ref().map(ReplicatedLog::state);
            let revision = state.and_then(|state| state.value(&key)).map_or(0, |value| value.revision);
            let expect = Some(revision).filter(|_| self.stream.random::<bool>());
            self.propose_command(node, id, &key, expect);
            if self.stream.random_range(0..4) == 0 {
                // The same command again through another node, as after a lost answer.
                let other = up[self.stream.random_range(0..up.len())];
                self.propose_command(other, id, &key, expect);
            }
        }
        let jitter = self.stream.random_range(0..PROPOSAL_INTERVAL);
        self.push(self.now + PROPOSAL_INTERVAL / 2 + jitter, QueuedEvent::Propose);
    }

    /// Proposes a command that sets `key` to its own number, through one node.
    fn propose_command(&mut self, node: usize, id: u128, key: &str, expect: Option<u64>) {
        self.proposed.entry(id).or_insert(self.now);
        let set = Set { key: key.to_owned(), expect, value: id.to_le_bytes().to_vec() };
        let body = postcard::to_stdvec(&set).unwrap_or_default();
        self.handle_event(node, Event::Propose(Command { id, kind: SET, body }));
    }

    /// Passes an event to the state machine of a node and carries out its actions.
    fn handle_event(&mut self, node: usize, event: Event) {
        let Some(machine) = &mut self.nodes[node].machine else { return };
        let mut actions = Vec::new();
        machine.handle(self.now, event, &mut actions);
        self.perform_actions(node, actions);
    }

    /// Returns the group of a node's log.
    fn group(&self, node: usize) -> Group {
        self.nodes[node].machine.as_ref().map(ReplicatedLog::group).unwrap_or_default()
    }

    /// Carries out actions of a state machine, checks its vote and schedules its next tick.
    fn perform_actions(&mut self, node: usize, actions: Vec<Action>) {
        let mut group = self.group(node);
        for action in actions {
            match action {
                Action::Send { to, bytes } => {
                    let to = node_number(to);
                    for transit in self.links.delivery_delays(self.now, node, to, bytes.len()) {
                        self.push(self.now + transit, QueuedEvent::Deliver { to, bytes: bytes.clone() });
                    }
                }
                Action::Persist(writes) => self.persist(node, &writes),
                Action::Notify(notification) => self.handle_notification(node, &mut group, notification),
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

    /// Writes files to the node's disk and reports the result after the time that this takes.
    fn persist(&mut self, node: usize, writes: &[FileWrite]) {
        let node_state = &self.nodes[node];
        let saved: Result<(), _> =
            writes.iter().try_for_each(|write| write.save(&node_state.disk, &node_state.name));
        let delay = MS / 2 + node_state.disk.operation_delay(FILE_WRITE_OPERATIONS * writes.len());
        let (start, durable) = (node_state.starts, saved.is_ok());
        if let Err(error) = saved {
            self.line(Some(node), format!("disk: {error}"));
        }
        self.push(self.now + delay, QueuedEvent::SaveDone { node, start, durable });
    }

    /// Reports a notification to the invariant checker and the event log.
    fn handle_notification(&mut self, node: usize, group: &mut Group, notification: Notification) {
        match notification {
            Notification::Applied(entry) => {
                let machine = self.nodes[node].machine.as_ref();
                if let EntryPayload::Command(command) = &entry.what {
                    let outcome = machine.and_then(|machine| machine.state().outcome(command.id)).cloned();
                    if let Some(outcome) = outcome {
                        self.checker.outcome_applied(self.now, node, *group, command.id, &outcome);
                    }
                }
                self.checker.applied(self.now, node, *group, &entry);
            }
            Notification::StateReplaced(to, index) => {
                *group = to;
                self.checker.state_replaced(to, index);
                self.line(Some(node), format!("state replaced by that of {to:?} at {index}"));
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
                    if let Some(since) = self.leader_lost_at.take() {
                        self.outcome.leaderless.push(self.now - since);
                    }
                }
                self.line(Some(node), format!("leads {term:?}"));
            }
            other => self.line(Some(node), format!("{other:?}")),
        }
    }

    /// Makes the final checks and returns the outcome.
    fn finish(mut self, end: Nanos) -> RunOutcome {
        let now = self.now;
        let up: Vec<usize> = self.running_nodes().collect();
        let mut recovered = self.probe.is_some();
        for &node in &up {
            let Some(machine) = &self.nodes[node].machine else { continue };
            self.checker.check_confirmed_retained(now, node, machine.group(), machine.state());
            let summary = machine.debug_summary();
            let has_probe = self.probe.is_some_and(|id| machine.state().outcome(id).is_some());
            recovered &= has_probe;
            self.outcome.lines.push(format!("final state of n{node}: {summary}"));
            if self.scenario.requires_recovery {
                let status = machine.status(now);
                self.checker.check_recovered(now, has_probe, || {
                    format!("n{node} does not have the last command: {status:?}")
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
