//! The invariants of a fleet, checked during a run and at its end. An invariant sees the steps, the changes of state
//! and the samples of a run, in virtual time or on processes. [`all_invariants`] lists them.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use merlinfold_membership::Change;
use merlinfold_simulation::{Nanos, SECOND};
use serde::Serialize;

use crate::scenario::{DiskContents, DiskFault, Scenario, FIRST_SERVER};
use crate::schedule::{nanos, EndpointSet, LinkEffect, StepAction};

/// Time after the end of a node's own fault until the node counts as healthy again.
pub const RECOVERY_GRACE: Nanos = 10 * SECOND;
/// Interval at which the views of all nodes are sampled.
pub const SAMPLE_INTERVAL: Nanos = SECOND / 2;
const MAX_CHANGES_PER_MINUTE: usize = 20; // changes of one member at one observer
const MINUTE: Nanos = 60 * SECOND;
/// Time after a change of connectivity within which nodes must know whether they reach a majority.
const MAJORITY_UPDATE_TIMEOUT: Nanos = 15 * SECOND;
/// Time after its resumption in which a paused node must not accuse others.
const AFTER_PAUSE_WINDOW: Nanos = 3 * SECOND;
const MAX_VIOLATIONS: usize = 20; // recorded for each invariant

/// A violation of an invariant.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Violation {
    /// Name of the invariant.
    #[serde(rename = "law")]
    pub invariant: &'static str,
    /// Time in seconds since the start of the run.
    pub at: f64,
    /// What was observed.
    #[serde(rename = "what")]
    pub detail: String,
}

/// What the nodes of a fleet believe about each other at one moment.
pub trait Views {
    /// Returns the state of `member` at `observer`: `alive`, `suspect`, `dead` or `left`; none if `observer` does not
    /// know it.
    fn state(&self, observer: usize, member: usize) -> Option<&'static str>;
    /// Returns whether `observer` believes that it reaches more than half of the fleet; none if it does not report.
    fn majority(&self, observer: usize) -> Option<bool>;
    /// Returns how many accusations `observer` has started since its own start; none if it does not report.
    fn accusation_count(&self, observer: usize) -> Option<u64>;
    /// Returns the run number of the current process of `observer`; none if it does not report.
    fn run_id(&self, observer: usize) -> Option<u64>;
    /// Returns how many members of other fleets `observer` lists.
    fn foreign_members(&self, observer: usize) -> usize;
}

/// The actual state of the fleet, as the schedule has made it.
#[derive(Clone, Debug)]
pub struct ActualState {
    /// For each node, whether its process runs.
    pub up: Vec<bool>,
    /// For each node, whether its process is suspended.
    pub paused: Vec<bool>,
    rules: BTreeMap<usize, (EndpointSet, EndpointSet, LinkEffect)>,
    healthy_from: Vec<Nanos>, // for each node, when it counts as healthy again
    /// Time of the schedule's last step, from which on no fault begins or ends.
    pub faults_end: Nanos,
    partitions: Vec<usize>,  // nodes with the same number reach each other
    partitions_since: Nanos, // when the partitions last changed
}

impl ActualState {
    /// Creates the state at the start of a run: all nodes are up. `last_step` is the time of the schedule's last
    /// step.
    pub fn new(scenario: &Scenario, last_step: Nanos) -> Self {
        let count = scenario.fleet.nodes;
        ActualState {
            up: vec![true; count],
            paused: vec![false; count],
            rules: BTreeMap::new(),
            healthy_from: vec![RECOVERY_GRACE / 2; count],
            faults_end: last_step,
            partitions: vec![0; count],
            partitions_since: 0,
        }
    }

    /// Applies a step of the schedule.
    pub fn apply(&mut self, now: Nanos, action: &StepAction) {
        let mut mark_unhealthy = |node: usize| self.healthy_from[node] = now + RECOVERY_GRACE;
        match action {
            StepAction::Kill(node) | StepAction::Stop(node) => self.up[*node] = false,
            StepAction::Start(node, _) => {
                self.up[*node] = true;
                mark_unhealthy(*node);
            }
            StepAction::Pause(node) => self.paused[*node] = true,
            StepAction::Continue(node) => {
                self.paused[*node] = false;
                mark_unhealthy(*node);
            }
            StepAction::BeginRule { rule, from, to, effect } => {
                // A node without links to guide servers, discovery or clients is still a member of the fleet.
                let nodes = |side: &EndpointSet| side.range(..FIRST_SERVER).copied().collect::<EndpointSet>();
                let (from, to) = (nodes(from), nodes(to));
                if !from.is_empty() && !to.is_empty() {
                    self.rules.insert(*rule, (from, to, *effect));
                }
            }
            StepAction::EndRule(rule) => {
                if let Some((from, to, _)) =
                    self.rules.remove(rule).filter(|(.., effect)| effect.may_cause_death_report())
                {
                    from.union(&to).copied().for_each(mark_unhealthy);
                }
            }
            StepAction::SetDiskFault(..) => return,
        }
        let partitions = self.partition_numbers();
        if partitions != self.partitions {
            (self.partitions, self.partitions_since) = (partitions, now);
        }
    }

    /// Returns whether a rule blocks everything from one node to another.
    fn blocks(&self, from: usize, to: usize) -> bool {
        let mut rules = self.rules.values();
        rules.any(|(a, b, effect)| {
            matches!(effect, LinkEffect::Cut | LinkEffect::Reset) && a.contains(&from) && b.contains(&to)
        })
    }

    /// Returns a number for each node; nodes have the same number if they reach each other in both directions,
    /// directly or through others.
    fn partition_numbers(&self) -> Vec<usize> {
        let count = self.up.len();
        let mut numbers: Vec<usize> = (0..count).collect();
        let is_running = |node: usize| self.up[node] && !self.paused[node];
        for first in 0..count {
            if numbers[first] != first || !is_running(first) {
                continue;
            }
            let mut unvisited = vec![first];
            while let Some(node) = unvisited.pop() {
                for (other, group) in numbers.iter_mut().enumerate().skip(first + 1) {
                    if *group == other
                        && is_running(other)
                        && !self.blocks(node, other)
                        && !self.blocks(other, node)
                    {
                        *group = first;
                        unvisited.push(other);
                    }
                }
            }
        }
        numbers
    }

    /// Returns whether the node runs and had no fault of its own or of its links since `since`.
    pub fn healthy_since(&self, node: usize, since: Nanos) -> bool {
        let severe = |(from, to, effect): &(EndpointSet, EndpointSet, LinkEffect)| {
            effect.may_cause_death_report() && (from.contains(&node) || to.contains(&node))
        };
        self.up[node]
            && !self.paused[node]
            && self.healthy_from[node] <= since
            && !self.rules.values().any(severe)
    }

    /// Returns how many nodes this node reaches, including itself.
    fn reachable_nodes(&self, node: usize) -> usize {
        self.partitions.iter().filter(|&&partition| partition == self.partitions[node]).count()
    }
}

/// Violations and measurements of a run.
#[derive(Clone, Debug, Default)]
pub struct Findings {
    /// Violations, in order of time.
    pub violations: Vec<Violation>,
    /// Seconds from a kill until each healthy observer considered the node dead.
    pub detected_s: Vec<f64>,
    /// Seconds from a kill until the last healthy observer considered the node dead.
    pub known_to_all_s: Vec<f64>,
    /// Number of times that a live, healthy node was considered dead by a healthy observer.
    pub false_deaths: usize,
    /// Seconds from the end of the last fault until all nodes agreed on the members.
    pub one_view_s: Option<f64>,
}

impl Findings {
    /// Records a violation, up to [`MAX_VIOLATIONS`] for each invariant.
    pub(crate) fn record_violation(&mut self, invariant: &'static str, now: Nanos, detail: String) {
        if self.violations.iter().filter(|violation| violation.invariant == invariant).count()
            < MAX_VIOLATIONS
        {
            self.violations.push(Violation { invariant, at: now as f64 / SECOND as f64, detail });
        }
    }
}

/// A condition that must hold throughout a run.
pub trait Invariant {
    /// Called after a step was carried out and applied to `actual`.
    fn on_step(
        &mut self, _now: Nanos, _actual: &ActualState, _action: &StepAction, _views: &dyn Views,
        _findings: &mut Findings,
    ) {
    }
    /// Called when `observer` sees `member` in a new state.
    fn on_state_change(
        &mut self, _now: Nanos, _actual: &ActualState, _observer: usize, _member: usize, _is: &str,
        _findings: &mut Findings,
    ) {
    }
    /// Called every [`SAMPLE_INTERVAL`].
    fn on_sample(
        &mut self, _now: Nanos, _actual: &ActualState, _views: &dyn Views, _findings: &mut Findings,
    ) {
    }
}

/// Returns all invariants, with the limits of this scenario.
pub fn all_invariants(scenario: &Scenario) -> Vec<Box<dyn Invariant>> {
    vec![
        Box::new(NoFalseDeath { allowed: scenario.rules.false_deaths }),
        Box::new(Detection { timeout: nanos(scenario.rules.detect_s), pending: Vec::new() }),
        Box::new(OneView { timeout: nanos(scenario.rules.settle_s), checked: false }),
        Box::new(NoFlapping::default()),
        Box::new(MajorityIsCorrect),
        Box::new(NoForeignMembers),
        Box::new(NoAccusationAfterPause::default()),
        Box::new(RunNumbersIncrease::new(scenario.fleet.nodes)),
    ]
}

/// Returns the number of the node with a name like `n7`.
pub fn node_number(name: &str) -> Option<usize> {
    name.strip_prefix('n')?.parse().ok()
}

/// Returns the member and its new state if `change` is about a member of the fleet.
pub fn member_change(change: &Change) -> Option<(usize, &'static str)> {
    match change {
        Change::Member { name, is, .. } => node_number(name).map(|member| (member, *is)),
        _ => None,
    }
}

/// A live, healthy node is not considered dead by a healthy observer more often than the scenario allows.
struct NoFalseDeath {
    allowed: usize,
}

impl Invariant for NoFalseDeath {
    fn on_state_change(
        &mut self, now: Nanos, actual: &ActualState, observer: usize, member: usize, is: &str,
        findings: &mut Findings,
    ) {
        let is_healthy = |node| actual.healthy_since(node, now);
        if is == "dead" && is_healthy(member) && is_healthy(observer) {
            findings.false_deaths += 1;
            if findings.false_deaths > self.allowed {
                findings.record_violation(
                    "no false death",
                    now,
                    format!("n{observer} considers n{member} dead, but it is alive"),
                );
            }
        }
    }
}

/// A killed node, and when each observer first considered it dead.
struct PendingDetection {
    node: usize,
    at: Nanos,
    known: BTreeMap<usize, Nanos>,
}

/// Every healthy observer considers a killed node dead within the limit.
struct Detection {
    timeout: Nanos,
    pending: Vec<PendingDetection>,
}

impl Invariant for Detection {
    fn on_step(&mut self, now: Nanos, _: &ActualState, action: &StepAction, _: &dyn Views, _: &mut Findings) {
        match action {
            StepAction::Kill(node) => {
                self.pending.push(PendingDetection { node: *node, at: now, known: BTreeMap::new() })
            }
            StepAction::Start(node, _) => self.pending.retain(|killed| killed.node != *node),
            _ => {}
        }
    }

    fn on_state_change(
        &mut self, now: Nanos, _: &ActualState, observer: usize, member: usize, is: &str, _: &mut Findings,
    ) {
        if is == "dead" {
            let pending = self.pending.iter_mut().filter(|killed| killed.node == member);
            pending.for_each(|killed| {
                killed.known.entry(observer).or_insert(now);
            });
        }
    }

    fn on_sample(&mut self, now: Nanos, actual: &ActualState, views: &dyn Views, findings: &mut Findings) {
        let (due, pending) = self.pending.drain(..).partition(|killed| killed.at + self.timeout <= now);
        self.pending = pending;
        for PendingDetection { node, at, known } in due {
            let mut last = 0.0f64;
            for observer in 0..actual.up.len() {
                if observer == node || !actual.healthy_since(observer, at) {
                    continue;
                }
                if matches!(views.state(observer, node), Some("alive" | "suspect")) {
                    let detail = format!(
                        "n{observer} does not consider n{node} dead, {} s after it was killed",
                        (now - at) as f64 / 1e9
                    );
                    findings.record_violation("detection", now, detail);
                } else if let Some(&when) = known.get(&observer) {
                    let took = (when - at) as f64 / SECOND as f64;
                    findings.detected_s.push(took);
                    last = last.max(took);
                }
            }
            findings.known_to_all_s.push(last);
        }
    }
}

/// After the last fault, all running nodes see each other alive and all others not, within the limit.
struct OneView {
    timeout: Nanos,
    checked: bool,
}

impl OneView {
    /// Returns a description of the first wrong view.
    fn first_wrong_view(actual: &ActualState, views: &dyn Views) -> Option<String> {
        let is_running = |node: &usize| actual.up[*node] && !actual.paused[*node];
        let count = actual.up.len();
        for observer in (0..count).filter(is_running) {
            for member in 0..count {
                let sees = views.state(observer, member);
                let is_healthy = if is_running(&member) {
                    sees == Some("alive")
                } else {
                    !matches!(sees, Some("alive" | "suspect"))
                };
                if !is_healthy {
                    let is = if is_running(&member) { "is running" } else { "is not running" };
                    return Some(format!(
                        "n{observer} sees n{member} as {}, but it {is}",
                        sees.unwrap_or("unknown")
                    ));
                }
            }
        }
        None
    }
}

impl Invariant for OneView {
    fn on_sample(&mut self, now: Nanos, actual: &ActualState, views: &dyn Views, findings: &mut Findings) {
        if now < actual.faults_end || self.checked {
            return;
        }
        let late = actual.faults_end + self.timeout <= now;
        if findings.one_view_s.is_some() && !late {
            return;
        }
        match Self::first_wrong_view(actual, views) {
            None => {
                findings.one_view_s.get_or_insert((now - actual.faults_end) as f64 / SECOND as f64);
            }
            // Once the views agreed, a suspicion at the end of the limit does not mean a second fleet.
            Some(detail) if late && findings.one_view_s.is_none() => {
                findings.record_violation("one view", now, detail)
            }
            Some(_) => {}
        }
        self.checked = late;
    }
}

/// The state of a member does not change too often at an observer.
#[derive(Default)]
struct NoFlapping(BTreeMap<(usize, usize), VecDeque<Nanos>>);

impl Invariant for NoFlapping {
    fn on_step(&mut self, _: Nanos, _: &ActualState, action: &StepAction, _: &dyn Views, _: &mut Findings) {
        if let StepAction::Start(node, _) = action {
            // A restarted node begins with an empty history.
            self.0.retain(|(observer, member), _| observer != node && member != node);
        }
    }

    fn on_state_change(
        &mut self, now: Nanos, _: &ActualState, observer: usize, member: usize, is: &str,
        findings: &mut Findings,
    ) {
        let times = self.0.entry((observer, member)).or_default();
        times.push_back(now);
        while times.front().is_some_and(|&at| at + MINUTE < now) {
            times.pop_front();
        }
        if times.len() > MAX_CHANGES_PER_MINUTE {
            let detail = format!("n{member} at n{observer}: {} changes in a minute, now {is}", times.len());
            findings.record_violation("no flapping", now, detail);
        }
    }
}

/// A node that reaches half of the fleet or less knows that it has no majority, and one that reaches most of it knows
/// that it has one.
struct MajorityIsCorrect;

impl Invariant for MajorityIsCorrect {
    fn on_sample(&mut self, now: Nanos, actual: &ActualState, views: &dyn Views, findings: &mut Findings) {
        let count = actual.up.len();
        if now < actual.partitions_since + MAJORITY_UPDATE_TIMEOUT || count < 3 {
            return;
        }
        for node in (0..count).filter(|&node| actual.up[node] && !actual.paused[node]) {
            let reachable = actual.reachable_nodes(node);
            let Some(claims_majority) = views.majority(node) else { continue };
            // Checked only while the expected answer is certain: dead nodes are remembered for longer than this.
            if 2 * reachable <= count && claims_majority && now < actual.partitions_since + 5 * MINUTE {
                findings.record_violation(
                    "small side knows",
                    now,
                    format!("n{node} reaches {reachable} of {count} nodes and reports a majority"),
                );
            }
            if 5 * reachable >= 4 * count
                && !claims_majority
                && actual.healthy_since(node, actual.partitions_since.max(RECOVERY_GRACE))
            {
                findings.record_violation(
                    "small side knows",
                    now,
                    format!("n{node} reaches {reachable} of {count} nodes and reports no majority"),
                );
            }
        }
    }
}

/// No node lists members of another fleet.
struct NoForeignMembers;

impl Invariant for NoForeignMembers {
    fn on_sample(&mut self, now: Nanos, actual: &ActualState, views: &dyn Views, findings: &mut Findings) {
        for node in 0..actual.up.len() {
            if views.foreign_members(node) > 0 {
                findings.record_violation(
                    "no strangers",
                    now,
                    format!("n{node} lists members of another fleet"),
                );
            }
        }
    }
}

/// A resumed node does not accuse others because of its own pause.
#[derive(Default)]
struct NoAccusationAfterPause {
    resumed: BTreeMap<usize, (Nanos, u64)>, // time of the resumption and accusations until then
    excluded: BTreeSet<usize>,              // resumed nodes that may accuse others, because of another fault
}

impl Invariant for NoAccusationAfterPause {
    fn on_step(
        &mut self, now: Nanos, actual: &ActualState, action: &StepAction, views: &dyn Views, _: &mut Findings,
    ) {
        match action {
            StepAction::Continue(node) if actual.up.iter().all(|up| *up) => {
                if let Some(accusation_count) = views.accusation_count(*node) {
                    self.resumed.insert(*node, (now, accusation_count));
                }
            }
            // While other nodes are down or cut off, the resumed node may accuse them.
            StepAction::Kill(_)
            | StepAction::Stop(_)
            | StepAction::Pause(_)
            | StepAction::BeginRule { .. } => {
                self.excluded.extend(self.resumed.keys());
            }
            _ => {}
        }
    }

    fn on_sample(&mut self, now: Nanos, actual: &ActualState, views: &dyn Views, findings: &mut Findings) {
        let due: Vec<(usize, u64)> = self
            .resumed
            .iter()
            .filter(|(_, (at, _))| at + AFTER_PAUSE_WINDOW <= now)
            .map(|(n, (_, before))| (*n, *before))
            .collect();
        for (node, before) in due {
            self.resumed.remove(&node);
            let quiet = !self.excluded.remove(&node) && actual.paused.iter().all(|paused| !paused);
            if let Some(after) = views.accusation_count(node).filter(|&after| quiet && after > before) {
                findings.record_violation(
                    "paused is meek",
                    now,
                    format!("n{node} accused {} others after its pause", after - before),
                );
            }
        }
    }
}

/// What is known about the start numbers that one node's disk holds.
#[derive(Clone, Default)]
struct StartRecord {
    fault: Option<DiskFault>,
    may_be_lost: bool,   // whether the number of the current start may not be on the disk
    must_increase: bool, // whether the current run number must be greater than the one before
    run: Option<u64>,
}

/// The run number of a node increases with every start that finds what the disk confirmed.
struct RunNumbersIncrease(Vec<StartRecord>);

impl RunNumbersIncrease {
    fn new(count: usize) -> Self {
        RunNumbersIncrease(vec![StartRecord::default(); count])
    }
}

impl Invariant for RunNumbersIncrease {
    fn on_step(&mut self, _: Nanos, _: &ActualState, action: &StepAction, _: &dyn Views, _: &mut Findings) {
        match action {
            StepAction::SetDiskFault(node, fault) => {
                let record = &mut self.0[*node];
                record.fault = *fault;
                record.may_be_lost |= fault.is_some_and(DiskFault::loses_confirmed_writes);
            }
            StepAction::Start(node, contents) => {
                let record = &mut self.0[*node];
                record.must_increase = *contents == DiskContents::Kept
                    && !record.may_be_lost
                    && !record.fault.is_some_and(DiskFault::may_hide_stored_files);
                record.may_be_lost = record.fault.is_some();
            }
            _ => {}
        }
    }

    fn on_sample(&mut self, now: Nanos, actual: &ActualState, views: &dyn Views, findings: &mut Findings) {
        for (node, record) in self.0.iter_mut().enumerate().filter(|(node, _)| actual.up[*node]) {
            let Some(run) = views.run_id(node).filter(|run| record.run != Some(*run)) else { continue };
            if let Some(before) = record.run.filter(|before| record.must_increase && run <= *before) {
                let detail = format!(
                    "n{node} starts as run {run:x} after run {before:x}, although its disk was intact"
                );
                findings.record_violation("starts only rise", now, detail);
            }
            record.run = Some(run);
        }
    }
}
