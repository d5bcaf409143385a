//! What a day came to: windows of five seconds, and all of it.

use std::collections::BTreeMap;

use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};

use crate::clients::TryOutcome;
use crate::experiment::Experiment;
use crate::ledger::{Invariant, Ledger, Violation};
use crate::{millis, Nanos, MS, SECOND};

/// Version of the report's form; a change that an older reader would misread raises it.
pub const SCHEMA: u32 = 1;
/// Length of a window.
pub const WINDOW: Nanos = 5 * SECOND;
/// Parts of a day that a plot shows, about.
const POINTS: u64 = 40;
/// Latencies are kept from a microsecond to ten minutes, to three digits.
const LATENCY_MOST: u64 = 600_000_000;

/// What became of requests that were first asked for in one span of time.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Span {
    /// Start, in seconds.
    pub from_s: f64,
    /// Requests.
    pub asked: u64,
    /// Answered within their aim.
    pub served: u64,
    /// Answered after it.
    pub late: u64,
    /// Given up after a refusal.
    pub refused: u64,
    /// Given up after a failure.
    pub failed: u64,
    /// Their clients left or had no answer.
    pub unanswered: u64,
    /// Worth answered within the aim, over the worth asked for.
    pub worth_served: f64,
    /// Tries for each request.
    pub tries: f64,
    /// Attempts at servers for each request.
    pub attempts: f64,
    /// Latency of what was answered, from when it should have been asked: 50th, 90th, 99th and 99.9th
    /// percentile, in milliseconds.
    pub latency_ms: [f64; 4],
}

/// A whole report.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// Version of this form.
    pub schema: u32,
    /// The experiment.
    pub experiment: String,
    /// What it asks.
    pub question: String,
    /// The seed.
    pub seed: u64,
    /// Command of the nodes.
    pub nodes: String,
    /// All of the day.
    pub whole: Span,
    /// Worth served of each class.
    pub classes: BTreeMap<String, f64>,
    /// Its parts, by windows of five seconds.
    pub windows: Vec<Span>,
    /// The same by shorter ones, for plots.
    pub points: Vec<Span>,
    /// Attempts that reached each server in each of the shorter ones.
    pub load: Vec<Vec<u64>>,
    /// Troubles: time in seconds, and what.
    pub marks: Vec<(f64, String)>,
    /// Laws broken.
    #[serde(rename = "breaches")]
    pub violations: Vec<String>,
    /// The lab's own figures.
    pub lab: HarnessTiming,
    /// What each node used.
    pub usage: Vec<Usage>,
}

/// How well the lab itself kept time.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct HarnessTiming {
    /// Lateness of its timers and arrivals, 50th and 99th percentile and the most, in milliseconds.
    pub lateness_ms: [f64; 3],
    /// Why the run is void, if it is.
    pub void: Option<String>,
}

/// What a node used.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Usage {
    /// Most memory, in megabytes.
    pub memory_mb: f64,
    /// Most descriptors.
    pub descriptors: u64,
    /// Processor time, in seconds.
    pub cpu_s: f64,
}

/// Latencies in microseconds.
pub fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, LATENCY_MOST, 3).expect("the bounds are in order")
}

#[derive(Default)]
struct Sum {
    span: Span,
    worth: [f64; 2], // asked for and served
    tries: u64,
    attempts: u64,
    latencies: Option<Histogram<u64>>,
}

impl Sum {
    fn add(&mut self, worth: f64, fate: Option<Fate>, latency: Nanos, in_aim: bool) {
        self.span.asked += 1;
        self.worth[0] += worth;
        self.worth[1] += if in_aim { worth } else { 0.0 };
        self.tries += fate.map_or(0, |fate| fate.tries);
        let span = &mut self.span;
        let count = match fate.map(|fate| fate.end) {
            Some(end) if end.served() => {
                self.latencies.get_or_insert_with(histogram).saturating_record(micros(latency));
                if in_aim {
                    &mut span.served
                } else {
                    &mut span.late
                }
            }
            Some(end) if end.refused() => &mut span.refused,
            Some(TryOutcome::Answered { .. } | TryOutcome::Closed) => &mut span.failed,
            _ => &mut span.unanswered,
        };
        *count += 1;
    }

    fn finish(mut self) -> Span {
        let asked = self.span.asked.max(1) as f64;
        self.span.worth_served = if self.worth[0] > 0.0 { self.worth[1] / self.worth[0] } else { 0.0 };
        (self.span.tries, self.span.attempts) = (self.tries as f64 / asked, self.attempts as f64 / asked);
        if let Some(all) = &self.latencies {
            self.span.latency_ms = [0.5, 0.9, 0.99, 0.999].map(|q| all.value_at_quantile(q) as f64 / 1e3);
        }
        self.span
    }
}

/// A day cut into windows of one length.
struct Sums {
    width: Nanos,
    sums: Vec<Sum>,
}

impl Sums {
    fn new(day: &Experiment, width: Nanos) -> Self {
        let count = day.duration().div_ceil(width).max(1);
        Sums { width, sums: (0..count).map(|_| Sum::default()).collect() }
    }

    /// What comes after the day's end counts to its last window.
    fn index(&self, at: Nanos) -> usize {
        ((at / self.width) as usize).min(self.sums.len() - 1)
    }

    fn at(&mut self, at: Nanos) -> &mut Sum {
        let index = self.index(at);
        &mut self.sums[index]
    }

    fn finish(self) -> Vec<Span> {
        let from = |n: usize| (n as u64 * self.width) as f64 / SECOND as f64;
        let each = self.sums.into_iter().enumerate();
        each.map(|(n, sum)| Span { from_s: from(n), ..sum.finish() }).collect()
    }
}

/// How one request ended.
#[derive(Clone, Copy)]
struct Fate {
    end: TryOutcome,
    at: Nanos,
    tries: u64,
}

/// The figures of a day. The host fills in what only it knows: `lab`, `usage`, names.
pub fn build_report(day: &Experiment, ledger: &Ledger) -> Report {
    let mut fates: Vec<Option<Fate>> = vec![None; ledger.plans.len()];
    let mut attempts = vec![0u64; ledger.plans.len()];
    let request_of: BTreeMap<u64, usize> =
        ledger.tries.iter().map(|t| (t.client_try.id, t.client_try.request)).collect();
    for tried in &ledger.tries {
        let fate = &mut fates[tried.client_try.request];
        let tries = fate.map_or(0, |fate| fate.tries) + 1;
        let last = fate.is_none_or(|fate| fate.at <= tried.ended && !fate.end.served());
        *fate = match fate {
            Some(old) if !last => Some(Fate { tries, ..*old }),
            _ => Some(Fate { end: tried.outcome, at: tried.ended, tries }),
        };
    }
    for run in &ledger.attempts {
        if let Some(&request) = request_of.get(&run.id) {
            attempts[request] += 1;
        }
    }
    let windows = Sums::new(day, WINDOW);
    let points = Sums::new(day, (day.duration() / POINTS).clamp(SECOND / 2, WINDOW));
    let (mut sums, mut whole) = ([windows, points], Sum::default());
    let mut classes: Vec<[f64; 2]> = vec![[0.0; 2]; day.classes.len()];
    for (request, wish) in ledger.plans.iter().enumerate() {
        let class = &day.classes[wish.class];
        let fate = fates[request];
        let latency = fate.map_or(0, |fate| fate.at.saturating_sub(wish.at));
        let in_aim = fate.is_some_and(|fate| fate.end.served()) && latency <= millis(class.aim_ms);
        let parts = sums.iter_mut().map(|sums| sums.at(wish.at));
        for sum in parts.chain([&mut whole]) {
            sum.add(class.worth, fate, latency, in_aim);
            sum.attempts += attempts[request];
        }
        classes[wish.class][0] += class.worth;
        classes[wish.class][1] += if in_aim { class.worth } else { 0.0 };
    }
    let [windows, points] = sums;
    let mut load = vec![vec![0; points.sums.len()]; day.server_count()];
    for run in &ledger.attempts {
        if let Some(server) = load.get_mut(run.server) {
            server[points.index(run.arrived)] += 1;
        }
    }
    let share = |(class, [asked, served]): (&crate::experiment::Class, [f64; 2])| {
        (class.name.clone(), if asked > 0.0 { served / asked } else { 1.0 })
    };
    Report {
        schema: SCHEMA,
        experiment: String::new(),
        question: day.question.clone(),
        seed: day.seed,
        nodes: String::new(),
        whole: whole.finish(),
        classes: day.classes.iter().zip(classes).map(share).collect(),
        windows: windows.finish(),
        points: points.finish(),
        load,
        marks: ledger.marks.iter().map(|(at, what)| (*at as f64 / SECOND as f64, what.clone())).collect(),
        violations: Vec::new(),
        lab: HarnessTiming::default(),
        usage: Vec::new(),
    }
}

impl Report {
    /// Adds what the laws say, and whether enough was served where the experiment asks for that.
    pub fn add_violations(&mut self, day: &Experiment, ledger: &Ledger) -> Vec<Violation> {
        let mut breaches = crate::ledger::find_violations(day, ledger);
        if self.whole.worth_served < day.rules.served {
            let what =
                format!("{:.3} of the worth, {:.3} asked for", self.whole.worth_served, day.rules.served);
            breaches.push(Violation { invariant: Invariant::Served, description: what });
        }
        self.violations = breaches.iter().map(Violation::to_string).collect();
        breaches
    }

    /// The windows as a table for a terminal.
    pub fn table(&self) -> String {
        let head = [
            "from", "asked", "served", "late", "refused", "failed", "none", "worth", "tries", "p50 ms",
            "p99 ms",
        ];
        let row = |name: String, span: &Span| {
            let share = |n: u64| format!("{:.1}%", 100.0 * n as f64 / span.asked.max(1) as f64);
            [
                name,
                span.asked.to_string(),
                share(span.served),
                share(span.late),
                share(span.refused),
                share(span.failed),
                share(span.unanswered),
                format!("{:.3}", span.worth_served),
                format!("{:.2}", span.tries),
                format!("{:.1}", span.latency_ms[0]),
                format!("{:.1}", span.latency_ms[2]),
            ]
        };
        let mut rows = vec![head.map(str::to_owned)];
        rows.extend(self.windows.iter().map(|span| row(format!("{:.0} s", span.from_s), span)));
        rows.push(row("all".to_owned(), &self.whole));
        let mut text = String::new();
        for row in rows {
            text.extend(row.iter().map(|cell| format!("{cell:>8}")));
            text.push('\n');
        }
        text
    }
}

/// Mean lateness and its void verdict, from what the host measured in microseconds.
pub fn harness_timing(lateness: &Histogram<u64>, most_ms: f64) -> HarnessTiming {
    let at = |q: f64| lateness.value_at_quantile(q) as f64 / 1e3;
    let figures = [at(0.5), at(0.99), lateness.max() as f64 / 1e3];
    let void = (figures[1] > most_ms).then(|| {
        format!(
            "the lab itself ran {:.1} ms late at the 99th percentile; {most_ms} ms are allowed",
            figures[1]
        )
    });
    HarnessTiming { lateness_ms: figures, void }
}

/// A latency in the unit of [`histogram`].
pub fn micros(latency: Nanos) -> u64 {
    (latency / (MS / 1_000)).max(1)
}
