//! The model of clients: when they send requests, and how they react to failures.
//!
//! Requests are generated in advance as an open workload, so that slow answers do not reduce the load that follows. A
//! request is what a client wants; each time it is sent is a try with an id of its own.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

use rand::Rng;
use rand_distr::{Distribution, Exp1, LogNormal};

use crate::experiment::{DisruptionKind, Experiment, RetrySafety, Shape};
use crate::seed::{mix, Seed, Stream};
use crate::{millis, Nanos, SECOND};

/// Number of distinct request keys.
const KEY_COUNT: u64 = 10_000;
/// Number of tries of one request whose ids are distinct.
const MAX_TRIES_PER_REQUEST: u64 = 16;

/// A request of a client, generated in advance.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RequestPlan {
    /// When its first try is scheduled.
    pub at: Nanos,
    /// Index of its class.
    pub class: usize,
    /// Index of its tenant; 0 if the experiment has no tenants.
    pub tenant: usize,
    /// Key of the requested object.
    pub key: u64,
    /// Work of the request, as time on a standard core.
    pub work: Nanos,
    /// Index of the client's zone.
    pub zone: usize,
    /// Whether the client honours `Retry-After`.
    pub honours_retry_after: bool,
    /// Share of the timeout after which the client abandons the first try; `None` if it does not.
    pub abandon_share: Option<f64>,
}

/// Generates the requests of a run in order of time; the same seed yields the same requests.
pub fn generate_requests(experiment: &Experiment, seed: Seed) -> Vec<RequestPlan> {
    let mut arrivals = seed.stream("arrivals", 0);
    let mut attributes = seed.stream("wishes", 0);
    let mut level = LoadLevel::new(experiment, seed);
    let (end, mean) = (experiment.duration(), experiment.mean_requests_per_second() / SECOND as f64);
    let peak = level.peak();
    let class = WeightedChoice::new(experiment.classes.iter().map(|class| class.share));
    let tenant = WeightedChoice::new(experiment.tenants.iter().map(|tenant| tenant.share));
    let work: Vec<Option<LogNormal<f64>>> = experiment
        .classes
        .iter()
        .map(|class| {
            // The class states the mean and deviation of the lognormal distribution, not those of its logarithm.
            let variance = (1.0 + class.spread * class.spread).ln();
            LogNormal::new(class.work_ms.ln() - variance / 2.0, variance.sqrt()).ok()
        })
        .collect();
    let (mut plans, mut at) = (Vec::new(), 0.0);
    loop {
        // Thinning (Lewis and Shedler, 1979): generates arrivals at the peak rate and keeps the share that the current
        // level requires.
        let gap: f64 = Exp1.sample(&mut arrivals);
        at += gap / (mean * peak);
        if at >= end as f64 {
            return plans;
        }
        if arrivals.random::<f64>() * peak > level.at(at as Nanos) {
            continue;
        }
        let class_index = class.pick(&mut attributes);
        let work_ms = work[class_index]
            .map_or(experiment.classes[class_index].work_ms, |work| work.sample(&mut attributes));
        plans.push(RequestPlan {
            at: at as Nanos,
            class: class_index,
            tenant: tenant.pick(&mut attributes),
            key: attributes.random_range(0..KEY_COUNT),
            work: millis(work_ms).max(1),
            zone: attributes.random_range(0..experiment.fleet.zones.len()),
            honours_retry_after: attributes.random::<f64>() < experiment.clients.honour,
            abandon_share: {
                let (chance, share): (f64, f64) = (attributes.random(), attributes.random());
                (chance < experiment.clients.impatient).then_some(share)
            },
        });
    }
}

/// A weighted choice of an index.
struct WeightedChoice(Vec<f64>); // cumulative weights

impl WeightedChoice {
    fn new(shares: impl Iterator<Item = f64>) -> Self {
        let sums = shares.scan(0.0, |sum, share| {
            *sum += share;
            Some(*sum)
        });
        WeightedChoice(sums.collect())
    }

    fn pick(&self, rng: &mut impl Rng) -> usize {
        let total = self.0.last().copied().unwrap_or(0.0);
        let point = rng.random::<f64>() * total;
        self.0.partition_point(|&sum| sum <= point).min(self.0.len().saturating_sub(1))
    }
}

/// The load relative to its mean, as a function of time.
struct LoadLevel {
    shape: Shape,
    swing: f64,
    period: f64,
    surges: Vec<(Nanos, Nanos, f64)>,
    rng: Stream,
    burst_level: f64,
    burst_end: f64,
}

impl LoadLevel {
    fn new(experiment: &Experiment, seed: Seed) -> Self {
        let surges =
            experiment.disruptions.iter().filter(|disruption| disruption.kind == DisruptionKind::Surge).map(
                |disruption| {
                    let from = millis(disruption.at_s * 1e3);
                    (from, from + millis(disruption.for_s * 1e3), disruption.size.unwrap_or(1.0))
                },
            );
        LoadLevel {
            shape: experiment.load.shape,
            swing: experiment.load.swing,
            period: millis(experiment.load.period_ms).max(1) as f64,
            surges: surges.collect(),
            rng: seed.stream("level", 0),
            burst_level: 1.0,
            burst_end: 0.0,
        }
    }

    fn peak(&self) -> f64 {
        let surge: f64 = self.surges.iter().map(|&(.., size)| size.max(1.0)).product();
        surge * (1.0 + if self.shape == Shape::Steady { 0.0 } else { self.swing })
    }

    /// Returns the level at a time. Times must not decrease from call to call.
    fn at(&mut self, at: Nanos) -> f64 {
        let base = match self.shape {
            Shape::Steady => 1.0,
            Shape::Swinging => 1.0 + self.swing * (std::f64::consts::TAU * at as f64 / self.period).sin(),
            Shape::Bursty => {
                while at as f64 >= self.burst_end {
                    let length: f64 = Exp1.sample(&mut self.rng);
                    self.burst_end += length * self.period;
                    self.burst_level = 1.0 + self.swing * (2.0 * self.rng.random::<f64>() - 1.0);
                }
                self.burst_level
            }
        };
        let active = self.surges.iter().filter(|&&(from, until, _)| (from..until).contains(&at));
        base * active.map(|&(.., size)| size).product::<f64>()
    }
}

/// A try that a client starts.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Try {
    /// Id of this try; each try has its own.
    pub id: u64,
    /// Index of the request among the generated ones.
    pub request: usize,
    /// Number of earlier tries of the request.
    pub number: u32,
    /// When the try was scheduled to start.
    pub scheduled_at: Nanos,
    /// Time that the client waits for an answer.
    pub budget: Nanos,
    /// The request.
    pub plan: RequestPlan,
    /// Time after which the client abandons the try; `None` if it does not.
    pub abandon_after: Option<Nanos>,
}

/// How a try ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TryOutcome {
    /// The client got an answer.
    Answered {
        /// HTTP status.
        status: u16,
        /// Value of `Retry-After`; 0 if absent.
        retry_after: Nanos,
        /// Whether the body is the one that a guide server generates for this id.
        genuine: bool,
    },
    /// No answer came before the client's timeout.
    Unanswered,
    /// The connection closed without a complete answer.
    Closed,
    /// No connection could be opened.
    Unreachable,
    /// The client abandoned the try.
    Left,
}

impl TryOutcome {
    /// Returns whether the request was refused without execution, so that a retry is harmless.
    pub fn refused(self) -> bool {
        matches!(self, TryOutcome::Answered { status: 429 | 503, .. })
    }

    /// Returns whether the request was served.
    pub fn served(self) -> bool {
        matches!(self, TryOutcome::Answered { status: 200, .. })
    }
}

/// All clients of a run: a state machine that starts tries and is informed of their outcomes.
#[derive(Debug)]
pub struct Clients {
    plans: Vec<RequestPlan>,
    next_request: usize,
    retries: BinaryHeap<Reverse<(Nanos, usize, u32)>>, // time, request and number of the try
    open: BTreeMap<u64, Try>,
    settings: crate::experiment::Clients,
    classes: Vec<(Nanos, RetrySafety)>, // deadline and retry safety
    max_retry_after: Nanos,
    id_salt: u64,
}

impl Clients {
    /// Creates the clients of a run, with all requests still to be sent.
    pub fn new(experiment: &Experiment, seed: Seed) -> Self {
        let class = |class: &crate::experiment::Class| (millis(class.deadline_ms), class.effect);
        Clients {
            plans: generate_requests(experiment, seed),
            next_request: 0,
            retries: BinaryHeap::new(),
            open: BTreeMap::new(),
            settings: experiment.clients.clone(),
            classes: experiment.classes.iter().map(class).collect(),
            max_retry_after: millis(experiment.rules.retry_after_ms),
            id_salt: mix(seed.0),
        }
    }

    /// Returns all requests of the run.
    pub fn plans(&self) -> &[RequestPlan] {
        &self.plans
    }

    /// Returns when the next try starts.
    pub fn next_due(&self) -> Option<Nanos> {
        let first = self.plans.get(self.next_request).map(|plan| plan.at);
        let retry = self.retries.peek().map(|&Reverse((at, ..))| at);
        first.into_iter().chain(retry).min()
    }

    /// Returns whether all tries have ended and none is scheduled.
    pub fn done(&self) -> bool {
        self.next_due().is_none() && self.open.is_empty()
    }

    /// Starts the next try that is due; `None` if there is none.
    pub fn start_try(&mut self, now: Nanos) -> Option<Try> {
        let due = self.next_due().filter(|&due| due <= now)?;
        let (request, number) = match self.plans.get(self.next_request).filter(|plan| plan.at == due) {
            Some(_) => {
                self.next_request += 1;
                (self.next_request - 1, 0)
            }
            None => self.retries.pop().map(|Reverse((_, request, number))| (request, number))?,
        };
        let plan = self.plans[request];
        let (deadline, _) = self.classes[plan.class];
        let left = (plan.at + deadline).saturating_sub(due);
        let budget = ((deadline as f64 * self.settings.try_share) as Nanos).min(left);
        let id = mix(self.id_salt ^ (request as u64 * MAX_TRIES_PER_REQUEST + u64::from(number)));
        let abandon_after =
            plan.abandon_share.filter(|_| number == 0).map(|share| (share * budget as f64) as Nanos);
        let started = Try { id, request, number, scheduled_at: due, budget, plan, abandon_after };
        self.open.insert(id, started);
        Some(started)
    }

    /// Records the outcome of a try. The client schedules a retry if that is safe and the request has tries and time
    /// left.
    pub fn try_ended(&mut self, now: Nanos, id: u64, end: TryOutcome) {
        let Some(Try { request, number, plan, .. }) = self.open.remove(&id) else { return };
        let (deadline, effect) = self.classes[plan.class];
        let retryable = match end {
            TryOutcome::Left => false,
            TryOutcome::Answered { status: 200, .. } => false,
            TryOutcome::Unreachable => true,
            _ if end.refused() => true,
            _ => effect == RetrySafety::Safe,
        };
        let mut at = now + millis(self.settings.backoff_ms);
        if let TryOutcome::Answered { retry_after, .. } = end {
            if plan.honours_retry_after {
                at = at.max(now + retry_after.min(self.max_retry_after));
            }
        }
        if retryable && number < self.settings.retries && at < plan.at + deadline {
            self.retries.push(Reverse((at, request, number + 1)));
        }
    }
}
