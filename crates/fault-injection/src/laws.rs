//! What has to hold all along and at the end. A law sees steps, changes and moments of either player; a later part
//! adds its own to [`all`].

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use merlinfold_membership::Change;
use merlinfold_simulation::{Nanos, SECOND};
use serde::Serialize;

use crate::schedule::{nanos, Do, Effect, Nodes};
use crate::spec::{DiskFault, Kept, Trial, SERVERS};

/// Time after its own trouble from which on a node counts as untroubled.
pub const GRACE: Nanos = 10 * SECOND;
/// Time between moments at which views are looked at.
pub const MOMENT: Nanos = SECOND / 2;
const FLAPS_MOST: usize = 20; // changes of one member at one observer in a minute
const MINUTE: Nanos = 60 * SECOND;
const SMALL_SIDE_KNOWS: Nanos = 15 * SECOND;
const PAUSED_IS_MEEK: Nanos = 3 * SECOND;
const BREACHES_MOST: usize = 20; // that are kept of one law

/// A law that did not hold.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Breach {
    /// Which.
    pub law: &'static str,
    /// When, in seconds.
    pub at: f64,
    /// What was seen.
    pub what: String,
}

/// What nodes hold of each other at a moment.
pub trait Views {
    /// How `observer` sees `member`, by their numbers: `alive`, `suspect`, `dead`, `left`; none: not at all.
    fn state(&self, observer: usize, member: usize) -> Option<&'static str>;
    /// Whether the observer hears more than half; none if it does not say.
    fn majority(&self, observer: usize) -> Option<bool>;
    /// How many accusations of its own the observer has made since it started.
    fn accused(&self, observer: usize) -> Option<u64>;
    /// The number of the observer's present process; none if it has not said.
    fn run(&self, observer: usize) -> Option<u64>;
    /// Members of other fleets that the observer holds.
    fn strangers(&self, observer: usize) -> usize;
}

/// What really is, as the schedule has made it.
#[derive(Clone, Debug)]
pub struct Truth {
    /// Which processes live.
    pub up: Vec<bool>,
    /// Which are stopped at present.
    pub paused: Vec<bool>,
    rules: BTreeMap<usize, (Nodes, Nodes, Effect)>,
    untroubled_from: Vec<Nanos>,
    /// When the last fault so far ended, and the last that is to come will have.
    pub quiet_from: Nanos,
    parts: Vec<usize>, // which nodes reach each other: the same number
    parts_since: Nanos,
}

impl Truth {
    /// At the start of a trial.
    pub fn new(trial: &Trial, last_step: Nanos) -> Self {
        let count = trial.fleet.nodes;
        Truth {
            up: vec![true; count],
            paused: vec![false; count],
            rules: BTreeMap::new(),
            untroubled_from: vec![GRACE / 2; count],
            quiet_from: last_step,
            parts: vec![0; count],
            parts_since: 0,
        }
    }

    /// Takes note of a step.
    pub fn step(&mut self, now: Nanos, what: &Do) {
        let mut troubled = |node: usize| self.untroubled_from[node] = now + GRACE;
        match what {
            Do::Kill(node) | Do::Stop(node) => self.up[*node] = false,
            Do::Start(node, _) => {
                self.up[*node] = true;
                troubled(*node);
            }
            Do::Pause(node) => self.paused[*node] = true,
            Do::Continue(node) => {
                self.paused[*node] = false;
                troubled(*node);
            }
            Do::Begin { rule, from, to, effect } => {
                // What a node misses of servers, discovery or clients takes nobody out of the fleet.
                let nodes = |side: &Nodes| side.range(..SERVERS).copied().collect::<Nodes>();
                let (from, to) = (nodes(from), nodes(to));
                if !from.is_empty() && !to.is_empty() {
                    self.rules.insert(*rule, (from, to, *effect));
                }
            }
            Do::End(rule) => {
                if let Some((from, to, _)) = self.rules.remove(rule).filter(|(.., effect)| effect.is_hard()) {
                    from.union(&to).copied().for_each(troubled);
                }
            }
            Do::Disk(..) => return,
        }
        let parts = self.components();
        if parts != self.parts {
            (self.parts, self.parts_since) = (parts, now);
        }
    }

    fn cut(&self, from: usize, to: usize) -> bool {
        let mut rules = self.rules.values();
        rules.any(|(a, b, effect)| {
            matches!(effect, Effect::Cut | Effect::Reset) && a.contains(&from) && b.contains(&to)
        })
    }

    /// Nodes that reach each other, also through others, both ways, have the same number.
    fn components(&self) -> Vec<usize> {
        let count = self.up.len();
        let mut part: Vec<usize> = (0..count).collect();
        let works = |node: usize| self.up[node] && !self.paused[node];
        for first in 0..count {
            if part[first] != first || !works(first) {
                continue;
            }
            let mut open = vec![first];
            while let Some(node) = open.pop() {
                for (other, of) in part.iter_mut().enumerate().skip(first + 1) {
                    if *of == other && works(other) && !self.cut(node, other) && !self.cut(other, node) {
                        *of = first;
                        open.push(other);
                    }
                }
            }
        }
        part
    }

    /// Whether nothing has been wrong with the node since then.
    pub fn untroubled_since(&self, node: usize, since: Nanos) -> bool {
        let hard = |(from, to, effect): &(Nodes, Nodes, Effect)| {
            effect.is_hard() && (from.contains(&node) || to.contains(&node))
        };
        self.up[node]
            && !self.paused[node]
            && self.untroubled_from[node] <= since
            && !self.rules.values().any(hard)
    }

    /// Nodes that this one reaches, itself among them.
    fn reaches(&self, node: usize) -> usize {
        self.parts.iter().filter(|&&part| part == self.parts[node]).count()
    }
}

/// Breaches of one play, and figures that laws leave behind.
#[derive(Clone, Debug, Default)]
pub struct Findings {
    /// What did not hold.
    pub breaches: Vec<Breach>,
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
    pub(crate) fn broken(&mut self, law: &'static str, now: Nanos, what: String) {
        if self.breaches.iter().filter(|breach| breach.law == law).count() < BREACHES_MOST {
            self.breaches.push(Breach { law, at: now as f64 / SECOND as f64, what });
        }
    }
}

/// A law.
pub trait Law {
    /// A step has been carried out; `truth` has taken note of it.
    fn step(&mut self, _now: Nanos, _truth: &Truth, _what: &Do, _views: &dyn Views, _found: &mut Findings) {}
    /// An observer now sees a member otherwise.
    fn change(
        &mut self, _now: Nanos, _truth: &Truth, _observer: usize, _member: usize, _is: &str,
        _found: &mut Findings,
    ) {
    }
    /// Time has passed; comes every [`MOMENT`].
    fn moment(&mut self, _now: Nanos, _truth: &Truth, _views: &dyn Views, _found: &mut Findings) {}
}

/// Every law, for this trial.
pub fn all(trial: &Trial) -> Vec<Box<dyn Law>> {
    vec![
        Box::new(NoFalseDeath { allowed: trial.rules.false_deaths }),
        Box::new(Detection { within: nanos(trial.rules.detect_s), open: Vec::new() }),
        Box::new(OneView { within: nanos(trial.rules.settle_s), judged: false }),
        Box::new(NoFlapping::default()),
        Box::new(SmallSideKnows),
        Box::new(NoStrangers),
        Box::new(PausedIsMeek::default()),
        Box::new(StartsOnlyRise::new(trial.fleet.nodes)),
    ]
}

/// Number of the node in a name like `n7`.
pub fn number(name: &str) -> Option<usize> {
    name.strip_prefix('n')?.parse().ok()
}

/// What a change is about: member and new state.
pub fn of_member(change: &Change) -> Option<(usize, &'static str)> {
    match change {
        Change::Member { name, is, .. } => number(name).map(|member| (member, *is)),
        _ => None,
    }
}

struct NoFalseDeath {
    allowed: usize,
}

impl Law for NoFalseDeath {
    fn change(
        &mut self, now: Nanos, truth: &Truth, observer: usize, member: usize, is: &str, found: &mut Findings,
    ) {
        let fine = |node| truth.untroubled_since(node, now);
        if is == "dead" && fine(member) && fine(observer) {
            found.false_deaths += 1;
            if found.false_deaths > self.allowed {
                found.broken("no false death", now, format!("n{observer} holds n{member} dead, which lives"));
            }
        }
    }
}

struct Killed {
    node: usize,
    at: Nanos,
    known: BTreeMap<usize, Nanos>,
}

struct Detection {
    within: Nanos,
    open: Vec<Killed>,
}

impl Law for Detection {
    fn step(&mut self, now: Nanos, _: &Truth, what: &Do, _: &dyn Views, _: &mut Findings) {
        match what {
            Do::Kill(node) => self.open.push(Killed { node: *node, at: now, known: BTreeMap::new() }),
            Do::Start(node, _) => self.open.retain(|killed| killed.node != *node),
            _ => {}
        }
    }

    fn change(&mut self, now: Nanos, _: &Truth, observer: usize, member: usize, is: &str, _: &mut Findings) {
        if is == "dead" {
            let of = self.open.iter_mut().filter(|killed| killed.node == member);
            of.for_each(|killed| {
                killed.known.entry(observer).or_insert(now);
            });
        }
    }

    fn moment(&mut self, now: Nanos, truth: &Truth, views: &dyn Views, found: &mut Findings) {
        let (over, open) = self.open.drain(..).partition(|killed| killed.at + self.within <= now);
        self.open = open;
        for Killed { node, at, known } in over {
            let mut last = 0.0f64;
            for observer in 0..truth.up.len() {
                if observer == node || !truth.untroubled_since(observer, at) {
                    continue;
                }
                if matches!(views.state(observer, node), Some("alive" | "suspect")) {
                    let late = format!(
                        "n{observer} does not hold n{node} dead, killed {} s ago",
                        (now - at) as f64 / 1e9
                    );
                    found.broken("detection", now, late);
                } else if let Some(&when) = known.get(&observer) {
                    let took = (when - at) as f64 / SECOND as f64;
                    found.detected_s.push(took);
                    last = last.max(took);
                }
            }
            found.known_to_all_s.push(last);
        }
    }
}

struct OneView {
    within: Nanos,
    judged: bool,
}

impl OneView {
    /// The first pair that is wrong.
    fn wrong(truth: &Truth, views: &dyn Views) -> Option<String> {
        let works = |node: &usize| truth.up[*node] && !truth.paused[*node];
        let count = truth.up.len();
        for observer in (0..count).filter(works) {
            for member in 0..count {
                let sees = views.state(observer, member);
                let fine = if works(&member) {
                    sees == Some("alive")
                } else {
                    !matches!(sees, Some("alive" | "suspect"))
                };
                if !fine {
                    let is = if works(&member) { "lives" } else { "does not" };
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

impl Law for OneView {
    fn moment(&mut self, now: Nanos, truth: &Truth, views: &dyn Views, found: &mut Findings) {
        if now < truth.quiet_from || self.judged {
            return;
        }
        let late = truth.quiet_from + self.within <= now;
        if found.one_view_s.is_some() && !late {
            return;
        }
        match Self::wrong(truth, views) {
            None => {
                found.one_view_s.get_or_insert((now - truth.quiet_from) as f64 / SECOND as f64);
            }
            // Once there was one, a suspicion in this very moment is no second fleet.
            Some(what) if late && found.one_view_s.is_none() => found.broken("one view", now, what),
            Some(_) => {}
        }
        self.judged = late;
    }
}

#[derive(Default)]
struct NoFlapping(BTreeMap<(usize, usize), VecDeque<Nanos>>);

impl Law for NoFlapping {
    fn step(&mut self, _: Nanos, _: &Truth, what: &Do, _: &dyn Views, _: &mut Findings) {
        if let Do::Start(node, _) = what {
            self.0.retain(|(observer, member), _| observer != node && member != node);
            // begins anew
        }
    }

    fn change(
        &mut self, now: Nanos, _: &Truth, observer: usize, member: usize, is: &str, found: &mut Findings,
    ) {
        let times = self.0.entry((observer, member)).or_default();
        times.push_back(now);
        while times.front().is_some_and(|&at| at + MINUTE < now) {
            times.pop_front();
        }
        if times.len() > FLAPS_MOST {
            let what = format!("n{member} at n{observer}: {} changes in a minute, now {is}", times.len());
            found.broken("no flapping", now, what);
        }
    }
}

struct SmallSideKnows;

impl Law for SmallSideKnows {
    fn moment(&mut self, now: Nanos, truth: &Truth, views: &dyn Views, found: &mut Findings) {
        let count = truth.up.len();
        if now < truth.parts_since + SMALL_SIDE_KNOWS || count < 3 {
            return;
        }
        for node in (0..count).filter(|&node| truth.up[node] && !truth.paused[node]) {
            let reaches = truth.reaches(node);
            let Some(says) = views.majority(node) else { continue };
            // Only where what should be there is sure: the dead are remembered for longer than this.
            if 2 * reaches <= count && says && now < truth.parts_since + 5 * MINUTE {
                found.broken(
                    "small side knows",
                    now,
                    format!("n{node} reaches {reaches} of {count} and takes that for most"),
                );
            }
            if 5 * reaches >= 4 * count && !says && truth.untroubled_since(node, truth.parts_since.max(GRACE))
            {
                found.broken(
                    "small side knows",
                    now,
                    format!("n{node} reaches {reaches} of {count} and takes that for few"),
                );
            }
        }
    }
}

struct NoStrangers;

impl Law for NoStrangers {
    fn moment(&mut self, now: Nanos, truth: &Truth, views: &dyn Views, found: &mut Findings) {
        for node in 0..truth.up.len() {
            if views.strangers(node) > 0 {
                found.broken("no strangers", now, format!("n{node} holds members of another fleet"));
            }
        }
    }
}

#[derive(Default)]
struct PausedIsMeek {
    back: BTreeMap<usize, (Nanos, u64)>,
    spoilt: BTreeSet<usize>,
}

impl Law for PausedIsMeek {
    fn step(&mut self, now: Nanos, truth: &Truth, what: &Do, views: &dyn Views, _: &mut Findings) {
        match what {
            Do::Continue(node) if truth.up.iter().all(|up| *up) => {
                if let Some(accused) = views.accused(*node) {
                    self.back.insert(*node, (now, accused));
                }
            }
            // While others are gone or cut off it has every reason.
            Do::Kill(_) | Do::Stop(_) | Do::Pause(_) | Do::Begin { .. } => {
                self.spoilt.extend(self.back.keys());
            }
            _ => {}
        }
    }

    fn moment(&mut self, now: Nanos, truth: &Truth, views: &dyn Views, found: &mut Findings) {
        let over: Vec<(usize, u64)> = self
            .back
            .iter()
            .filter(|(_, (at, _))| at + PAUSED_IS_MEEK <= now)
            .map(|(n, (_, had))| (*n, *had))
            .collect();
        for (node, had) in over {
            self.back.remove(&node);
            let quiet = !self.spoilt.remove(&node) && truth.paused.iter().all(|paused| !paused);
            if let Some(has) = views.accused(node).filter(|&has| quiet && has > had) {
                found.broken(
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
struct Promise {
    fault: Option<DiskFault>,
    doubt: bool, // whether this start may not be on the disk
    bound: bool, // whether this start has to follow the one before
    run: Option<u64>,
}

struct StartsOnlyRise(Vec<Promise>);

impl StartsOnlyRise {
    fn new(count: usize) -> Self {
        StartsOnlyRise(vec![Promise::default(); count])
    }
}

impl Law for StartsOnlyRise {
    fn step(&mut self, _: Nanos, _: &Truth, what: &Do, _: &dyn Views, _: &mut Findings) {
        match what {
            Do::Disk(node, fault) => {
                let of = &mut self.0[*node];
                of.fault = *fault;
                of.doubt |= fault.is_some_and(DiskFault::lies);
            }
            Do::Start(node, kept) => {
                let of = &mut self.0[*node];
                of.bound = *kept == Kept::Kept && !of.doubt && !of.fault.is_some_and(DiskFault::hides);
                of.doubt = of.fault.is_some();
            }
            _ => {}
        }
    }

    fn moment(&mut self, now: Nanos, truth: &Truth, views: &dyn Views, found: &mut Findings) {
        for (node, of) in self.0.iter_mut().enumerate().filter(|(node, _)| truth.up[*node]) {
            let Some(run) = views.run(node).filter(|run| of.run != Some(*run)) else { continue };
            if let Some(before) = of.run.filter(|before| of.bound && run <= *before) {
                let what = format!("n{node} starts as {run:x} after {before:x}, with its disk");
                found.broken("starts only rise", now, what);
            }
            of.run = Some(run);
        }
    }
}
