//! What has to hold all along and at the end. A law sees steps, changes and moments of either player; a later part
//! adds its own to [`all`].

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use merlinfold_membership::Change;
use merlinfold_simulation::{Nanos, SECOND};
use serde::Serialize;

use crate::scenario::{DiskContents, DiskFault, Scenario, FIRST_SERVER};
use crate::schedule::{nanos, LinkEffect, NodeSet, StepAction};

/// Time after its own trouble from which on a node counts as untroubled.
pub const RECOVERY_GRACE: Nanos = 10 * SECOND;
/// Time between moments at which views are looked at.
pub const SAMPLE_INTERVAL: Nanos = SECOND / 2;
const MAX_CHANGES_PER_MINUTE: usize = 20; // changes of one member at one observer in a minute
const MINUTE: Nanos = 60 * SECOND;
const MAJORITY_UPDATE_TIMEOUT: Nanos = 15 * SECOND;
const AFTER_PAUSE_WINDOW: Nanos = 3 * SECOND;
const MAX_VIOLATIONS: usize = 20; // that are kept of one law

/// A law that did not hold.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Violation {
    /// Which.
    #[serde(rename = "law")]
    pub invariant: &'static str,
    /// When, in seconds.
    pub at: f64,
    /// What was seen.
    #[serde(rename = "what")]
    pub detail: String,
}

/// What nodes hold of each other at a moment.
pub trait Views {
    /// How `observer` sees `member`, by their numbers: `alive`, `suspect`, `dead`, `left`; none: not at all.
    fn state(&self, observer: usize, member: usize) -> Option<&'static str>;
    /// Whether the observer hears more than half; none if it does not say.
    fn majority(&self, observer: usize) -> Option<bool>;
    /// How many accusations of its own the observer has made since it started.
    fn accusation_count(&self, observer: usize) -> Option<u64>;
    /// The number of the observer's present process; none if it has not said.
    fn run_id(&self, observer: usize) -> Option<u64>;
    /// Members of other fleets that the observer holds.
    fn foreign_members(&self, observer: usize) -> usize;
}

/// What really is, as the schedule has made it.
#[derive(Clone, Debug)]
pub struct ActualState {
    /// Which processes live.
    pub up: Vec<bool>,
    /// Which are stopped at present.
    pub paused: Vec<bool>,
    rules: BTreeMap<usize, (NodeSet, NodeSet, LinkEffect)>,
    healthy_from: Vec<Nanos>,
    /// When the last fault so far ended, and the last that is to come will have.
    pub faults_end: Nanos,
    partitions: Vec<usize>, // which nodes reach each other: the same number
    partitions_since: Nanos,
}

impl ActualState {
    /// At the start of a trial.
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

    /// Takes note of a step.
    pub fn apply(&mut self, now: Nanos, action: &StepAction) {
        let mut troubled = |node: usize| self.healthy_from[node] = now + RECOVERY_GRACE;
        match action {
            StepAction::Kill(node) | StepAction::Stop(node) => self.up[*node] = false,
            StepAction::Start(node, _) => {
                self.up[*node] = true;
                troubled(*node);
            }
            StepAction::Pause(node) => self.paused[*node] = true,
            StepAction::Continue(node) => {
                self.paused[*node] = false;
                troubled(*node);
            }
            StepAction::BeginRule { rule, from, to, effect } => {
                // What a node misses of servers, discovery or clients takes nobody out of the fleet.
                let nodes = |side: &NodeSet| side.range(..FIRST_SERVER).copied().collect::<NodeSet>();
                let (from, to) = (nodes(from), nodes(to));
                if !from.is_empty() && !to.is_empty() {
                    self.rules.insert(*rule, (from, to, *effect));
                }
            }
            StepAction::EndRule(rule) => {
                if let Some((from, to, _)) =
                    self.rules.remove(rule).filter(|(.., effect)| effect.may_cause_death_report())
                {
                    from.union(&to).copied().for_each(troubled);
                }
            }
            StepAction::SetDiskFault(..) => return,
        }
        let partitions = self.components();
        if partitions != self.partitions {
            (self.partitions, self.partitions_since) = (partitions, now);
        }
    }

    fn blocks(&self, from: usize, to: usize) -> bool {
        let mut rules = self.rules.values();
        rules.any(|(a, b, effect)| {
            matches!(effect, LinkEffect::Cut | LinkEffect::Reset) && a.contains(&from) && b.contains(&to)
        })
    }

    /// Nodes that reach each other, also through others, both ways, have the same number.
    fn components(&self) -> Vec<usize> {
        let count = self.up.len();
        let mut part: Vec<usize> = (0..count).collect();
        let is_running = |node: usize| self.up[node] && !self.paused[node];
        for first in 0..count {
            if part[first] != first || !is_running(first) {
                continue;
            }
            let mut open = vec![first];
            while let Some(node) = open.pop() {
                for (other, group) in part.iter_mut().enumerate().skip(first + 1) {
                    if *group == other
                        && is_running(other)
                        && !self.blocks(node, other)
                        && !self.blocks(other, node)
                    {
                        *group = first;
                        open.push(other);
                    }
                }
            }
        }
        part
    }

    /// Whether nothing has been wrong with the node since then.
    pub fn healthy_since(&self, node: usize, since: Nanos) -> bool {
        let hard = |(from, to, effect): &(NodeSet, NodeSet, LinkEffect)| {
            effect.may_cause_death_report() && (from.contains(&node) || to.contains(&node))
        };
        self.up[node]
            && !self.paused[node]
            && self.healthy_from[node] <= since
            && !self.rules.values().any(hard)
    }

    /// Nodes that this one reaches, itself among them.
    fn reachable_nodes(&self, node: usize) -> usize {
        self.partitions.iter().filter(|&&part| part == self.partitions[node]).count()
    }
}

/// Breaches of one play, and figures that laws leave behind.
#[derive(Clone, Debug, Default)]
pub struct Findings {
    /// What did not hold.
    pub violations: Vec<Violation>,
    /// Seconds from a kill to each untroubled observer's knowledge of it.
    pub detected_s: Vec<f64>,
    /// Seconds from a kill to the last untroubled observer's knowledge of it.
    pub known_to_all_s: Vec<f64>,
    /// Live untroubled nodes held dead by an untroubled observer.
    pub false_deaths: usize,
    /// Seconds from the end of the last fault to one view.
    pub one_view_s: Option<f64>,
}

impl Findings {
    pub(crate) fn record_violation(&mut self, invariant: &'static str, now: Nanos, what: String) {
        if self.violations.iter().filter(|violation| violation.invariant == invariant).count()
            < MAX_VIOLATIONS
        {
            self.violations.push(Violation { invariant, at: now as f64 / SECOND as f64, detail: what });
        }
    }
}

/// A law.
pub trait Invariant {
    /// A step has been carried out; `truth` has taken note of it.
    fn on_step(
        &mut self, _now: Nanos, _actual: &ActualState, _action: &StepAction, _views: &dyn Views,
        _findings: &mut Findings,
    ) {
    }
    /// An observer now sees a member otherwise.
    fn on_state_change(
        &mut self, _now: Nanos, _actual: &ActualState, _observer: usize, _member: usize, _is: &str,
        _findings: &mut Findings,
    ) {
    }
    /// Time has passed; comes every [`MOMENT`].
    fn on_sample(
        &mut self, _now: Nanos, _actual: &ActualState, _views: &dyn Views, _findings: &mut Findings,
    ) {
    }
}

/// Every law, for this trial.
pub fn all_invariants(scenario: &Scenario) -> Vec<Box<dyn Invariant>> {
    vec![
        Box::new(NoFalseDeath { allowed: scenario.rules.false_deaths }),
        Box::new(Detection { timeout: nanos(scenario.rules.detect_s), pending: Vec::new() }),
        Box::new(OneView { timeout: nanos(scenario.rules.settle_s), judged: false }),
        Box::new(NoFlapping::default()),
        Box::new(MajorityIsCorrect),
        Box::new(NoForeignMembers),
        Box::new(NoAccusationAfterPause::default()),
        Box::new(RunNumbersIncrease::new(scenario.fleet.nodes)),
    ]
}

/// Number of the node in a name like `n7`.
pub fn node_number(name: &str) -> Option<usize> {
    name.strip_prefix('n')?.parse().ok()
}

/// What a change is about: member and new state.
pub fn member_change(change: &Change) -> Option<(usize, &'static str)> {
    match change {
        Change::Member { name, is, .. } => node_number(name).map(|member| (member, *is)),
        _ => None,
    }
}

struct NoFalseDeath {
    allowed: usize,
}

impl Invariant for NoFalseDeath {
    fn on_state_change(
        &mut self, now: Nanos, actual: &ActualState, observer: usize, member: usize, is: &str,
        findings: &mut Findings,
    ) {
        let fine = |node| actual.healthy_since(node, now);
        if is == "dead" && fine(member) && fine(observer) {
            findings.false_deaths += 1;
            if findings.false_deaths > self.allowed {
                findings.record_violation(
                    "no false death",
                    now,
                    format!("n{observer} holds n{member} dead, which lives"),
                );
            }
        }
    }
}

struct PendingDetection {
    node: usize,
    at: Nanos,
    known: BTreeMap<usize, Nanos>,
}

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
        let (over, open) = self.pending.drain(..).partition(|killed| killed.at + self.timeout <= now);
        self.pending = open;
        for PendingDetection { node, at, known } in over {
            let mut last = 0.0f64;
            for observer in 0..actual.up.len() {
                if observer == node || !actual.healthy_since(observer, at) {
                    continue;
                }
                if matches!(views.state(observer, node), Some("alive" | "suspect")) {
                    let late = format!(
                        "n{observer} does not hold n{node} dead, killed {} s ago",
                        (now - at) as f64 / 1e9
                    );
                    findings.record_violation("detection", now, late);
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

struct OneView {
    timeout: Nanos,
    judged: bool,
}

impl OneView {
    /// The first pair that is wrong.
    fn wrong(actual: &ActualState, views: &dyn Views) -> Option<String> {
        let is_running = |node: &usize| actual.up[*node] && !actual.paused[*node];
        let count = actual.up.len();
        for observer in (0..count).filter(is_running) {
            for member in 0..count {
                let sees = views.state(observer, member);
                let fine = if is_running(&member) {
                    sees == Some("alive")
                } else {
                    !matches!(sees, Some("alive" | "suspect"))
                };
                if !fine {
                    let is = if is_running(&member) { "lives" } else { "does not" };
                    return Some(format!(
                        "n{observer} sees n{member} as {}, which {is}",
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
        if now < actual.faults_end || self.judged {
            return;
        }
        let late = actual.faults_end + self.timeout <= now;
        if findings.one_view_s.is_some() && !late {
            return;
        }
        match Self::wrong(actual, views) {
            None => {
                findings.one_view_s.get_or_insert((now - actual.faults_end) as f64 / SECOND as f64);
            }
            // Once there was one, a suspicion in this very moment is no second fleet.
            Some(what) if late && findings.one_view_s.is_none() => {
                findings.record_violation("one view", now, what)
            }
            Some(_) => {}
        }
        self.judged = late;
    }
}

#[derive(Default)]
struct NoFlapping(BTreeMap<(usize, usize), VecDeque<Nanos>>);

impl Invariant for NoFlapping {
    fn on_step(&mut self, _: Nanos, _: &ActualState, action: &StepAction, _: &dyn Views, _: &mut Findings) {
        if let StepAction::Start(node, _) = action {
            self.0.retain(|(observer, member), _| observer != node && member != node);
            // begins anew
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
            let what = format!("n{member} at n{observer}: {} changes in a minute, now {is}", times.len());
            findings.record_violation("no flapping", now, what);
        }
    }
}

struct MajorityIsCorrect;

impl Invariant for MajorityIsCorrect {
    fn on_sample(&mut self, now: Nanos, actual: &ActualState, views: &dyn Views, findings: &mut Findings) {
        let count = actual.up.len();
        if now < actual.partitions_since + MAJORITY_UPDATE_TIMEOUT || count < 3 {
            return;
        }
        for node in (0..count).filter(|&node| actual.up[node] && !actual.paused[node]) {
            let reachable_nodes = actual.reachable_nodes(node);
            let Some(says) = views.majority(node) else { continue };
            // Only where what should be there is sure: the dead are remembered for longer than this.
            if 2 * reachable_nodes <= count && says && now < actual.partitions_since + 5 * MINUTE {
                findings.record_violation(
                    "small side knows",
                    now,
                    format!("n{node} reaches {reachable_nodes} of {count} and takes that for most"),
                );
            }
            if 5 * reachable_nodes >= 4 * count
                && !says
                && actual.healthy_since(node, actual.partitions_since.max(RECOVERY_GRACE))
            {
                findings.record_violation(
                    "small side knows",
                    now,
                    format!("n{node} reaches {reachable_nodes} of {count} and takes that for few"),
                );
            }
        }
    }
}

struct NoForeignMembers;

impl Invariant for NoForeignMembers {
    fn on_sample(&mut self, now: Nanos, actual: &ActualState, views: &dyn Views, findings: &mut Findings) {
        for node in 0..actual.up.len() {
            if views.foreign_members(node) > 0 {
                findings.record_violation(
                    "no strangers",
                    now,
                    format!("n{node} holds members of another fleet"),
                );
            }
        }
    }
}

#[derive(Default)]
struct NoAccusationAfterPause {
    resumed: BTreeMap<usize, (Nanos, u64)>,
    excluded: BTreeSet<usize>,
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
            // While others are gone or cut off it has every reason.
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
        let over: Vec<(usize, u64)> = self
            .resumed
            .iter()
            .filter(|(_, (at, _))| at + AFTER_PAUSE_WINDOW <= now)
            .map(|(n, (_, had))| (*n, *had))
            .collect();
        for (node, had) in over {
            self.resumed.remove(&node);
            let quiet = !self.excluded.remove(&node) && actual.paused.iter().all(|paused| !paused);
            if let Some(has) = views.accusation_count(node).filter(|&has| quiet && has > had) {
                findings.record_violation(
                    "paused is meek",
                    now,
                    format!("n{node} accused {} others on its return", has - had),
                );
            }
        }
    }
}

/// What the disk of one node promises.
#[derive(Clone, Default)]
struct StartRecord {
    fault: Option<DiskFault>,
    may_be_lost: bool,   // whether this start may not be on the disk
    must_increase: bool, // whether this start has to follow the one before
    run: Option<u64>,
}

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
            StepAction::Start(node, kept) => {
                let record = &mut self.0[*node];
                record.must_increase = *kept == DiskContents::Kept
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
                let what = format!("n{node} starts as {run:x} after {before:x}, with its disk");
                findings.record_violation("starts only rise", now, what);
            }
            record.run = Some(run);
        }
    }
}
