//! Runs one scenario of the distribution of configuration.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

use merlinfold_distribution::{Defect, Event, LogState, Peer, RevisionId};
use merlinfold_simulation::seed::{Seed, Stream};
use merlinfold_simulation::{Nanos, MS, SECOND};
use rand::Rng;

use super::generate::ScenarioKind;
use super::host::HostResult;
use super::invariants::{InvariantChecker, Violation, IN_FORCE_TIMEOUT};
use super::log::ModelLog;
use super::node::{peer, Node};
use super::publishing::{Commit, Publishing};
use crate::link::Links;
use crate::scenario::{DiskContents, Scenario};
use crate::schedule::{nanos, steps, Step, StepAction};

const VIEW_INTERVAL: Nanos = 500 * MS;
const VIEW_DELAY: Nanos = 1_200 * MS; // until nodes learn of a death, as long as the membership takes at 300 nodes
const POLL_INTERVAL: Nanos = SECOND; // average interval at which followers fetch from the log
const SHUTDOWN_TIME: Nanos = 300 * MS;

/// A fleet with a distributed configuration, and its faults.
#[derive(Clone, Debug)]
pub struct ConfigurationScenario {
    /// Nodes, links and faults.
    pub base: Scenario,
    /// What is published, and which failures accompany it.
    pub kind: ScenarioKind,
    /// Number of nodes, from the first on, that vote in the log.
    pub voters: usize,
    /// Whether nodes store the configuration on disks.
    pub durable_disks: bool,
}

/// Outcome of a run.
#[derive(Clone, Debug, Default)]
pub struct RunOutcome {
    /// Violated invariants.
    pub violations: Vec<Violation>,
    /// Number of confirmed revisions.
    pub confirmed: usize,
    /// Number of failed publications by reason.
    pub failed_publications: BTreeMap<String, usize>,
    /// Times from a confirmation until the revision was in force at a healthy node.
    pub apply_latencies: Vec<Nanos>,
    /// For each revision, the longest such time.
    pub slowest_apply_latencies: Vec<Nanos>,
    /// Bytes per second that a node sent, averaged over the nodes.
    pub bytes_s: f64,
    /// Bytes per second of the voter that sent most.
    pub voter_bytes_s: f64,
    /// Length of the longest document in bytes.
    pub max_document_bytes: usize,
    /// Average share of members whose revision an observer did not know, after the first minute.
    pub unknown_share: f64,
    /// Number of notes about errors, by kind.
    pub notes: BTreeMap<&'static str, usize>,
    /// Event log, if it was recorded.
    pub lines: Vec<String>,
}

/// An event of the simulation. Events of a process carry the number of its start, and are ignored after another
/// start.
pub(super) enum QueuedEvent {
    Step(usize),
    ExtraStep(StepAction),
    Deliver { from: usize, to: usize, bytes: Vec<u8> },
    Tick(usize),
    HostDone { node: usize, start: u64, done: HostResult },
    Exit { node: usize, start: u64 },
    UpdateViews,
    Poll(usize),
    LogUpdate { node: usize, start: u64, count: usize, fresh: bool },
    Commit(Commit),
    Publish,
    PublishAt(usize),
    RecreateLog,
    Observe,
    Check { node: Option<usize>, since: Nanos },
}

/// The state of a simulation. `queue` orders the slots of `events` by time and sequence number; `free` are unused
/// slots.
pub(super) struct Simulator<'a> {
    pub scenario: &'a ConfigurationScenario,
    pub nodes: Vec<Node>,
    pub links: Links,
    pub log: ModelLog,
    pub checker: InvariantChecker,
    pub publishing: Publishing,
    pub now: Nanos,
    pub stream: Stream,
    pub outcome: RunOutcome,
    defect: Option<Defect>,
    queue: BinaryHeap<Reverse<(Nanos, u64, usize)>>,
    events: Vec<Option<QueuedEvent>>,
    free: Vec<usize>,
    next_sequence: u64,
    view_changed: Nanos,
    pub slowest: BTreeMap<RevisionId, Nanos>,
    pub observed_members: (usize, usize), // members seen, and how many of them were unknown
    record_lines: bool,
}

/// Runs a scenario in virtual time; `defect` is planted in every node. The same scenario gives the same outcome.
/// `record_lines` enables the event log.
pub fn simulate(
    scenario: &ConfigurationScenario, defect: Option<Defect>, record_lines: bool,
) -> Result<RunOutcome, String> {
    let base = &scenario.base;
    base.check()?;
    let steps = steps(base)?;
    let count = base.fleet.nodes;
    let mut simulator = Simulator {
        scenario,
        nodes: (0..count).map(|number| Node::new(base.seed, number)).collect(),
        links: Links::new(base.network.clone(), base.seed),
        log: ModelLog::new(count),
        checker: InvariantChecker::default(),
        publishing: Publishing::default(),
        now: 0,
        stream: Seed(base.seed).stream("configuration player", count as u64),
        outcome: RunOutcome::default(),
        defect,
        queue: BinaryHeap::new(),
        events: Vec::new(),
        free: Vec::new(),
        next_sequence: 0,
        view_changed: 0,
        slowest: BTreeMap::new(),
        observed_members: (0, 0),
        record_lines,
    };
    simulator.prepare();
    for node in 0..count {
        simulator.start(node, DiskContents::Kept);
        simulator.push(node as Nanos * MS, QueuedEvent::Poll(node));
    }
    for (index, step) in steps.iter().enumerate() {
        simulator.push(step.at, QueuedEvent::Step(index));
    }
    simulator.push(0, QueuedEvent::UpdateViews);
    simulator.push(2 * SECOND, QueuedEvent::Publish);
    simulator.push(0, QueuedEvent::Observe);
    if scenario.kind == ScenarioKind::NewEpoch {
        simulator.push(20 * SECOND, QueuedEvent::RecreateLog);
    }
    let end = nanos(base.seconds);
    simulator.run(&steps, end);
    Ok(simulator.finish(end))
}

impl Simulator<'_> {
    /// Schedules an event.
    pub fn push(&mut self, at: Nanos, event: QueuedEvent) {
        let slot = self.free.pop().unwrap_or_else(|| {
            self.events.push(None);
            self.events.len() - 1
        });
        self.events[slot] = Some(event);
        self.next_sequence += 1;
        self.queue.push(Reverse((at, self.next_sequence, slot)));
    }

    /// Adds a line to the event log if it is recorded.
    pub fn line(&mut self, node: Option<usize>, text: impl FnOnce() -> String) {
        if self.record_lines {
            let at = self.now as f64 / SECOND as f64;
            let node = node.map_or(String::new(), |node| format!(" n{node}"));
            self.outcome.lines.push(format!("{at:9.3}{node} {}", text()));
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
                QueuedEvent::Step(index) => self.step(&steps[index].action),
                QueuedEvent::ExtraStep(action) => self.step(&action),
                QueuedEvent::Deliver { from, to, bytes } => self.deliver(from, to, &bytes),
                QueuedEvent::Tick(node) => {
                    if self.nodes[node].scheduled == Some(at) {
                        self.nodes[node].scheduled = None;
                        self.handle_event(node, Event::Tick);
                    }
                }
                QueuedEvent::HostDone { node, start, done } => self.deliver_host_result(node, start, done),
                QueuedEvent::Exit { node, start } => {
                    if self.nodes[node].starts == start {
                        self.nodes[node].end(at);
                    }
                }
                QueuedEvent::UpdateViews => self.update_views(),
                QueuedEvent::Poll(node) => self.poll(node),
                QueuedEvent::LogUpdate { node, start, count, fresh } => {
                    if self.nodes[node].starts == start && self.nodes[node].is_up() {
                        self.log.update_known(node, count, fresh);
                        self.send_log_state(node);
                    }
                }
                QueuedEvent::Commit(commit) => self.commit(commit),
                QueuedEvent::Publish => self.publish(),
                QueuedEvent::PublishAt(node) => self.publish_at(node),
                QueuedEvent::RecreateLog => self.recreate_log(),
                QueuedEvent::Observe => self.observe(),
                QueuedEvent::Check { node, since } => self.check(node, since),
            }
        }
    }

    /// Carries out a step of the schedule.
    fn step(&mut self, action: &StepAction) {
        self.line(None, || action.description());
        self.links.step(action);
        self.view_changed = self.now;
        match action {
            StepAction::Kill(node) => {
                self.mark_fault(*node, true);
                self.nodes[*node].disk.crash();
                self.nodes[*node].end(self.now);
                self.publishing.killed(self.now, *node, self.scenario.voters);
            }
            StepAction::Stop(node) => {
                self.mark_fault(*node, true);
                let start = self.nodes[*node].starts;
                self.push(self.now + SHUTDOWN_TIME, QueuedEvent::Exit { node: *node, start });
                self.publishing.killed(self.now, *node, self.scenario.voters);
            }
            StepAction::Start(node, contents) => {
                self.nodes[*node].end(self.now);
                self.start(*node, *contents);
                self.mark_fault(*node, false);
            }
            StepAction::Pause(node) => {
                self.mark_fault(*node, true);
                self.nodes[*node].paused = true;
                self.nodes[*node].down_since.get_or_insert(self.now);
            }
            StepAction::Continue(node) => {
                self.nodes[*node].paused = false;
                self.nodes[*node].down_since = None;
                self.handle_event(*node, Event::Tick);
                self.mark_fault(*node, false);
            }
            StepAction::SetDiskFault(node, fault) => self.nodes[*node].disk.set_fault(*fault),
            StepAction::BeginRule { rule, from, to, effect } if effect.may_cause_death_report() => {
                let sides: Vec<usize> = from.iter().chain(to).copied().collect();
                let count = self.nodes.len();
                let nodes: Vec<usize> = sides.into_iter().filter(|node| *node < count).collect();
                nodes.iter().for_each(|node| self.mark_fault(*node, true));
                self.publishing.rules.insert(*rule, nodes);
            }
            StepAction::EndRule(rule) => {
                for node in self.publishing.rules.remove(rule).unwrap_or_default() {
                    self.mark_fault(node, false);
                }
            }
            StepAction::BeginRule { .. } => {}
        }
    }

    /// Counts a fault of a node that begins or ends. After the end of the last one, everything confirmed before must
    /// soon be in force at the node.
    fn mark_fault(&mut self, node: usize, begins: bool) {
        let node_state = &mut self.nodes[node];
        node_state.active_faults =
            if begins { node_state.active_faults + 1 } else { node_state.active_faults.saturating_sub(1) };
        node_state.healthy_since = self.now;
        if node_state.active_faults == 0 {
            self.push(self.now + IN_FORCE_TIMEOUT, QueuedEvent::Check { node: Some(node), since: self.now });
        }
    }

    /// Starts a process with the given disk contents.
    fn start(&mut self, node: usize, contents: DiskContents) {
        let (scenario, defect, now) = (self.scenario, self.defect, self.now);
        self.checker.reset_floor(node);
        self.log.reset_node(node);
        let actions = self.nodes[node].start(scenario, node, contents, defect, now);
        self.perform_actions(node, actions);
        let peers = self.peers(node);
        self.handle_event(node, Event::Peers(peers));
    }

    /// Returns the membership as a node sees it: nodes that are down are known to be dead after [`VIEW_DELAY`], and
    /// cut links at the next update of the views.
    fn peers(&self, observer: usize) -> Vec<Peer> {
        let alive = |n: usize| {
            let dead = self.nodes[n].down_since.is_some_and(|since| self.now >= since + VIEW_DELAY);
            n == observer || !dead && self.can_communicate(n, observer)
        };
        (0..self.nodes.len()).map(|n| peer(self.scenario, &self.nodes[n], n, alive(n))).collect()
    }

    /// Returns whether datagrams pass in both directions.
    pub fn can_communicate(&self, one: usize, other: usize) -> bool {
        one == other || !self.links.is_cut(one, other) && !self.links.is_cut(other, one)
    }

    /// Gives every running node its view of the membership.
    fn update_views(&mut self) {
        // Views only change for a while after a step of the schedule.
        if self.now <= self.view_changed + VIEW_DELAY + VIEW_INTERVAL {
            for node in 0..self.nodes.len() {
                if self.nodes[node].is_up() {
                    let peers = self.peers(node);
                    self.handle_event(node, Event::Peers(peers));
                }
            }
        }
        self.push(self.now + VIEW_INTERVAL, QueuedEvent::UpdateViews);
    }

    /// A node asks a voter or another node for the state of the log.
    fn poll(&mut self, node: usize) {
        let jitter = self.stream.random_range(0..POLL_INTERVAL);
        self.push(self.now + POLL_INTERVAL / 2 + jitter, QueuedEvent::Poll(node));
        if !self.nodes[node].is_up() {
            return;
        }
        let candidates = if self.stream.random::<bool>() { self.scenario.voters } else { self.nodes.len() };
        let source = self.stream.random_range(0..candidates);
        let mut fresh = false;
        let mut count = self.log.known_count(node);
        if self.has_majority(node) {
            (count, fresh) = (self.log.committed.len(), true);
        } else if self.nodes[source].is_up() && self.can_communicate(node, source) {
            let voter = self.has_majority(source);
            // A node that has just started may get an old state from another node.
            let lag = if count == 0 { self.stream.random_range(0..3) } else { 0 };
            count = if voter {
                self.log.committed.len()
            } else {
                self.log.known_count(source).saturating_sub(lag)
            };
            fresh = voter || self.log.is_fresh(source) && source != node;
        }
        let start = self.nodes[node].starts;
        let transit = self.stream.random_range(MS..5 * MS);
        self.push(self.now + transit, QueuedEvent::LogUpdate { node, start, count, fresh });
    }

    /// Tells a node's state machine what the node knows of the log.
    fn send_log_state(&mut self, node: usize) {
        let known = self.log.known_count(node);
        let state = LogState {
            epoch: self.log.epoch,
            value_revision: self.log.value_revision(known),
            fresh: self.log.is_fresh(node),
            announcement: known.checked_sub(1).map(|index| self.log.committed[index]),
        };
        self.handle_event(node, Event::Log(state));
    }
}
