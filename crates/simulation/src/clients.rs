//! Clients: who asks when, and what they do about failures.
//!
//! Arrivals are drawn ahead and wait for nobody: slow answers don't thin the load that follows. A request is
//! what a client wants; a try is one way of asking for it, with an id of its own.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

use rand::Rng;
use rand_distr::{Distribution, Exp1, LogNormal};

use crate::experiment::{DisruptionKind, Experiment, RetrySafety, Shape};
use crate::seed::{mix, Seed, Stream};
use crate::{millis, Nanos, SECOND};

/// Keys that requests are about.
const KEYS: u64 = 10_000;
/// Tries of one request that its ids can tell apart.
const TRIES_MOST: u64 = 16;

/// What a client wants, drawn ahead.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RequestPlan {
    /// When it is first asked for.
    pub at: Nanos,
    /// Its class.
    pub class: usize,
    /// Its tenant; 0 where there is none.
    pub tenant: usize,
    /// What it is about.
    pub key: u64,
    /// Work, as time on a standard core.
    pub work: Nanos,
    /// The client's zone.
    pub zone: usize,
    /// The client heeds `Retry-After`.
    pub honours_retry_after: bool,
    /// It leaves its first try after this share of its time.
    pub abandon_share: Option<f64>,
}

/// All that is asked for in a day: the same for the same seed.
pub fn generate_requests(day: &Experiment, seed: Seed) -> Vec<RequestPlan> {
    let mut when = seed.stream("arrivals", 0);
    let mut what = seed.stream("wishes", 0);
    let mut level = Level::new(day, seed);
    let (end, mean) = (day.duration(), day.mean_requests_per_second() / SECOND as f64);
    let peak = level.most();
    let class = Shares::new(day.classes.iter().map(|class| class.share));
    let tenant = Shares::new(day.tenants.iter().map(|tenant| tenant.share));
    let work: Vec<Option<LogNormal<f64>>> = day
        .classes
        .iter()
        .map(|class| {
            // Mean and deviation of the lognormal itself, not of its logarithm.
            let variance = (1.0 + class.spread * class.spread).ln();
            LogNormal::new(class.work_ms.ln() - variance / 2.0, variance.sqrt()).ok()
        })
        .collect();
    let (mut wishes, mut at) = (Vec::new(), 0.0);
    loop {
        // Thinning (Lewis and Shedler, 1979): arrivals at the peak's rate, of which the level's share stays.
        let gap: f64 = Exp1.sample(&mut when);
        at += gap / (mean * peak);
        if at >= end as f64 {
            return wishes;
        }
        if when.random::<f64>() * peak > level.at(at as Nanos) {
            continue;
        }
        let number = class.pick(&mut what);
        let drawn = work[number].map_or(day.classes[number].work_ms, |work| work.sample(&mut what));
        wishes.push(RequestPlan {
            at: at as Nanos,
            class: number,
            tenant: tenant.pick(&mut what),
            key: what.random_range(0..KEYS),
            work: millis(drawn).max(1),
            zone: what.random_range(0..day.fleet.zones.len()),
            honours_retry_after: what.random::<f64>() < day.clients.honour,
            abandon_share: {
                let (chance, share): (f64, f64) = (what.random(), what.random());
                (chance < day.clients.impatient).then_some(share)
            },
        });
    }
}

/// A choice by shares.
struct Shares(Vec<f64>); // running sums

impl Shares {
    fn new(shares: impl Iterator<Item = f64>) -> Self {
        let sums = shares.scan(0.0, |sum, share| {
            *sum += share;
            Some(*sum)
        });
        Shares(sums.collect())
    }

    fn pick(&self, rng: &mut impl Rng) -> usize {
        let whole = self.0.last().copied().unwrap_or(0.0);
        let drawn = rng.random::<f64>() * whole;
        self.0.partition_point(|&sum| sum <= drawn).min(self.0.len().saturating_sub(1))
    }
}

/// The load over its mean, over time.
struct Level {
    shape: Shape,
    swing: f64,
    period: f64,
    surges: Vec<(Nanos, Nanos, f64)>,
    rng: Stream,
    burst: f64, // level of the present burst, and its end
    ends: f64,
}

impl Level {
    fn new(day: &Experiment, seed: Seed) -> Self {
        let surges =
            day.disruptions.iter().filter(|trouble| trouble.kind == DisruptionKind::Surge).map(|trouble| {
                let from = millis(trouble.at_s * 1e3);
                (from, from + millis(trouble.for_s * 1e3), trouble.size.unwrap_or(1.0))
            });
        Level {
            shape: day.load.shape,
            swing: day.load.swing,
            period: millis(day.load.period_ms).max(1) as f64,
            surges: surges.collect(),
            rng: seed.stream("level", 0),
            burst: 1.0,
            ends: 0.0,
        }
    }

    fn most(&self) -> f64 {
        let surge: f64 = self.surges.iter().map(|&(.., size)| size.max(1.0)).product();
        surge * (1.0 + if self.shape == Shape::Steady { 0.0 } else { self.swing })
    }

    /// Times must not go back.
    fn at(&mut self, at: Nanos) -> f64 {
        let base = match self.shape {
            Shape::Steady => 1.0,
            Shape::Swinging => 1.0 + self.swing * (std::f64::consts::TAU * at as f64 / self.period).sin(),
            Shape::Bursty => {
                while at as f64 >= self.ends {
                    let length: f64 = Exp1.sample(&mut self.rng);
                    self.ends += length * self.period;
                    self.burst = 1.0 + self.swing * (2.0 * self.rng.random::<f64>() - 1.0);
                }
                self.burst
            }
        };
        let on = self.surges.iter().filter(|&&(from, until, _)| (from..until).contains(&at));
        base * on.map(|&(.., size)| size).product::<f64>()
    }
}

/// A try that begins now.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Try {
    /// Its id: fresh with every try.
    pub id: u64,
    /// Number of the request, an index into what was drawn.
    pub request: usize,
    /// Tries of it before.
    pub number: u32,
    /// When it should have begun.
    pub scheduled_at: Nanos,
    /// How long the client waits for it.
    pub budget: Nanos,
    /// What is wanted.
    pub plan: RequestPlan,
    /// It leaves so long after it has asked.
    pub abandon_after: Option<Nanos>,
}

/// How a try ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TryOutcome {
    /// An answer.
    Answered {
        /// Its status.
        status: u16,
        /// `Retry-After`; 0: none.
        retry_after: Nanos,
        /// The body is what a guide server makes of this id.
        genuine: bool,
    },
    /// None in the client's time.
    Unanswered,
    /// The connection ended without a whole answer.
    Closed,
    /// No connection came up.
    Unreachable,
    /// The client left.
    Left,
}

impl TryOutcome {
    /// Turned away, and trying again is harmless.
    pub fn refused(self) -> bool {
        matches!(self, TryOutcome::Answered { status: 429 | 503, .. })
    }

    /// Served.
    pub fn served(self) -> bool {
        matches!(self, TryOutcome::Answered { status: 200, .. })
    }
}

/// All clients of a day: a state machine that starts tries and hears how they end.
#[derive(Debug)]
pub struct Clients {
    wishes: Vec<RequestPlan>,
    next: usize,
    later: BinaryHeap<Reverse<(Nanos, usize, u32)>>, // further tries
    open: BTreeMap<u64, Try>,
    settings: crate::experiment::Clients,
    classes: Vec<(Nanos, RetrySafety)>, // deadline and effect
    retry_after_most: Nanos,
    salt: u64,
}

impl Clients {
    /// The clients of a day, of whom none has asked yet.
    pub fn new(day: &Experiment, seed: Seed) -> Self {
        let class = |class: &crate::experiment::Class| (millis(class.deadline_ms), class.effect);
        Clients {
            wishes: generate_requests(day, seed),
            next: 0,
            later: BinaryHeap::new(),
            open: BTreeMap::new(),
            settings: day.clients.clone(),
            classes: day.classes.iter().map(class).collect(),
            retry_after_most: millis(day.rules.retry_after_ms),
            salt: mix(seed.0),
        }
    }

    /// All that is asked for.
    pub fn plans(&self) -> &[RequestPlan] {
        &self.wishes
    }

    /// When the next try begins.
    pub fn next_due(&self) -> Option<Nanos> {
        let first = self.wishes.get(self.next).map(|wish| wish.at);
        let later = self.later.peek().map(|&Reverse((at, ..))| at);
        first.into_iter().chain(later).min()
    }

    /// Whether all is over.
    pub fn done(&self) -> bool {
        self.next_due().is_none() && self.open.is_empty()
    }

    /// The next try that is due.
    pub fn start_try(&mut self, now: Nanos) -> Option<Try> {
        let due = self.next_due().filter(|&due| due <= now)?;
        let (request, number) = match self.wishes.get(self.next).filter(|wish| wish.at == due) {
            Some(_) => {
                self.next += 1;
                (self.next - 1, 0)
            }
            None => self.later.pop().map(|Reverse((_, request, number))| (request, number))?,
        };
        let wish = self.wishes[request];
        let (deadline, _) = self.classes[wish.class];
        let left = (wish.at + deadline).saturating_sub(due);
        let budget = ((deadline as f64 * self.settings.try_share) as Nanos).min(left);
        let id = mix(self.salt ^ (request as u64 * TRIES_MOST + u64::from(number)));
        let leaves_after =
            wish.abandon_share.filter(|_| number == 0).map(|share| (share * budget as f64) as Nanos);
        let started =
            Try { id, request, number, scheduled_at: due, budget, plan: wish, abandon_after: leaves_after };
        self.open.insert(id, started);
        Some(started)
    }

    /// A try has ended. What a client may safely repeat it repeats, while it has tries and time left.
    pub fn try_ended(&mut self, now: Nanos, id: u64, end: TryOutcome) {
        let Some(Try { request, number, plan: wish, .. }) = self.open.remove(&id) else { return };
        let (deadline, effect) = self.classes[wish.class];
        let repeats = match end {
            TryOutcome::Left => false,
            TryOutcome::Answered { status: 200, .. } => false,
            TryOutcome::Unreachable => true,
            _ if end.refused() => true,
            _ => effect == RetrySafety::Safe,
        };
        let mut at = now + millis(self.settings.backoff_ms);
        if let TryOutcome::Answered { retry_after, .. } = end {
            if wish.honours_retry_after {
                at = at.max(now + retry_after.min(self.retry_after_most));
            }
        }
        if repeats && number < self.settings.retries && at < wish.at + deadline {
            self.later.push(Reverse((at, request, number + 1)));
        }
    }
}
