//! Plays one world.

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
const VIEW_DELAY: Nanos = 1_200 * MS; // until a death is known, as the membership takes at 300 nodes
const POLL_INTERVAL: Nanos = SECOND; // of the log, as its followers pull
const SHUTDOWN_TIME: Nanos = 300 * MS;

/// A fleet and what happens to it.
#[derive(Clone, Debug)]
pub struct ConfigurationScenario {
    /// Nodes, links and faults.
    pub base: Scenario,
    /// What is published, and what fails with it.
    pub kind: ScenarioKind,
    /// How many nodes, from the first on, vote in the log.
    pub voters: usize,
    /// Whether disks last.
    pub durable_disks: bool,
}

/// What came of it.
#[derive(Clone, Debug, Default)]
pub struct RunOutcome {
    /// Laws that were broken.
    pub violations: Vec<Violation>,
    /// Revisions confirmed.
    pub confirmed: usize,
    /// Publications that failed, by reason.
    pub failed_publications: BTreeMap<String, usize>,
    /// From a confirmation to the revision in force at an untroubled node.
    pub apply_latencies: Vec<Nanos>,
    /// The same to the last of them, by revision.
    pub slowest_apply_latencies: Vec<Nanos>,
    /// Bytes a second that each node sent, on the mean.
    pub bytes_s: f64,
    /// Bytes a second of the voter that sent most.
    pub voter_bytes_s: f64,
    /// The longest document.
    pub max_document_bytes: usize,
    /// Members unknown on the mean, a share, where somebody looked after the first minute.
    pub unknown_share: f64,
    /// Notes that tell of something wrong, by kind.
    pub notes: BTreeMap<&'static str, usize>,
    /// What happened, a line each.
    pub lines: Vec<String>,
}

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
    next: u64,
    view_changed: Nanos,
    pub slowest: BTreeMap<RevisionId, Nanos>,
    pub observed_members: (usize, usize), // members seen, and those of them unknown
    record_lines: bool,
}

/// Plays a world; `defect` stands in every node. The same world gives the same.
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
        next: 0,
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
    for (place, step) in steps.iter().enumerate() {
        simulator.push(step.at, QueuedEvent::Step(place));
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
    pub fn push(&mut self, at: Nanos, event: QueuedEvent) {
        let slot = self.free.pop().unwrap_or_else(|| {
            self.events.push(None);
            self.events.len() - 1
        });
        self.events[slot] = Some(event);
        self.next += 1;
        self.queue.push(Reverse((at, self.next, slot)));
    }

    pub fn line(&mut self, node: Option<usize>, what: impl FnOnce() -> String) {
        if self.record_lines {
            let at = self.now as f64 / SECOND as f64;
            let node = node.map_or(String::new(), |node| format!(" n{node}"));
            self.outcome.lines.push(format!("{at:9.3}{node} {}", what()));
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
                QueuedEvent::Step(place) => self.step(&steps[place].action),
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

    /// A fault of a node begins or ends; what was confirmed before its end must be in force soon after.
    fn mark_fault(&mut self, node: usize, begins: bool) {
        let node_state = &mut self.nodes[node];
        node_state.active_faults =
            if begins { node_state.active_faults + 1 } else { node_state.active_faults.saturating_sub(1) };
        node_state.healthy_since = self.now;
        if node_state.active_faults == 0 {
            self.push(self.now + IN_FORCE_TIMEOUT, QueuedEvent::Check { node: Some(node), since: self.now });
        }
    }

    fn start(&mut self, node: usize, contents: DiskContents) {
        let (scenario, defect, now) = (self.scenario, self.defect, self.now);
        self.checker.reset_floor(node);
        self.log.reset_node(node);
        let out = self.nodes[node].start(scenario, node, contents, defect, now);
        self.perform_actions(node, out);
        let peers = self.peers(node);
        self.handle_event(node, Event::Peers(peers));
    }

    /// How a node sees the others: what is cut off or down is known to be so after a while.
    fn peers(&self, observer: usize) -> Vec<Peer> {
        let alive = |n: usize| {
            let dead = self.nodes[n].down_since.is_some_and(|since| self.now >= since + VIEW_DELAY);
            n == observer || !dead && self.reach(n, observer)
        };
        (0..self.nodes.len()).map(|n| peer(self.scenario, &self.nodes[n], n, alive(n))).collect()
    }

    /// Whether datagrams pass both ways.
    pub fn reach(&self, one: usize, other: usize) -> bool {
        one == other || !self.links.is_cut(one, other) && !self.links.is_cut(other, one)
    }

    fn update_views(&mut self) {
        // Views are what they were unless something has happened of late.
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

    /// A node asks a voter or another node how far the log is.
    fn poll(&mut self, node: usize) {
        let more = self.stream.random_range(0..POLL_INTERVAL);
        self.push(self.now + POLL_INTERVAL / 2 + more, QueuedEvent::Poll(node));
        if !self.nodes[node].is_up() {
            return;
        }
        let among = if self.stream.random::<bool>() { self.scenario.voters } else { self.nodes.len() };
        let source = self.stream.random_range(0..among);
        let mut fresh = false;
        let mut count = self.log.known_count(node);
        if self.has_majority(node) {
            (count, fresh) = (self.log.committed.len(), true);
        } else if self.nodes[source].is_up() && self.reach(node, source) {
            let voter = self.has_majority(source);
            // A node that has just started may hear of an old state from another one.
            let old = if count == 0 { self.stream.random_range(0..3) } else { 0 };
            count = if voter {
                self.log.committed.len()
            } else {
                self.log.known_count(source).saturating_sub(old)
            };
            fresh = voter || self.log.is_fresh(source) && source != node;
        }
        let start = self.nodes[node].starts;
        let way = self.stream.random_range(MS..5 * MS);
        self.push(self.now + way, QueuedEvent::LogUpdate { node, start, count, fresh });
    }

    fn send_log_state(&mut self, node: usize) {
        let known = self.log.known_count(node);
        let state = LogState {
            epoch: self.log.epoch,
            value_revision: self.log.value_revision(known),
            fresh: self.log.is_fresh(node),
            announcement: known.checked_sub(1).map(|place| self.log.committed[place]),
        };
        self.handle_event(node, Event::Log(state));
    }
}
