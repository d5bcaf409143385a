//! The report of a run: statistics of the whole run and of windows of five seconds.

use std::collections::BTreeMap;

use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};

use crate::clients::TryOutcome;
use crate::experiment::Experiment;
use crate::ledger::{Invariant, Ledger, Violation};
use crate::{millis, Nanos, MS, SECOND};

/// Version of the report format; a change that an older reader would misread increments it.
pub const SCHEMA: u32 = 1;
/// Length of a window of the report.
pub const WINDOW: Nanos = 5 * SECOND;
/// Approximate number of points that a plot of a run shows.
const PLOT_POINTS: u64 = 40;
/// Upper bound of recorded latencies: ten minutes, in microseconds.
const MAX_LATENCY_US: u64 = 600_000_000;

/// Statistics of the requests that were first sent in one span of time.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Span {
    /// Start of the span, in seconds.
    pub from_s: f64,
    /// Number of requests.
    pub asked: u64,
    /// Requests served within their latency target.
    pub served: u64,
    /// Requests served after their latency target.
    pub late: u64,
    /// Requests that ended with a refusal.
    pub refused: u64,
    /// Requests that ended with a failure.
    pub failed: u64,
    /// Requests that got no answer or whose clients abandoned them.
    pub unanswered: u64,
    /// Value of the requests served within their target, relative to the value of all requests.
    pub worth_served: f64,
    /// Mean number of tries per request.
    pub tries: f64,
    /// Mean number of attempts at servers per request.
    pub attempts: f64,
    /// Latency of served requests from their scheduled start: 50th, 90th, 99th and 99.9th percentile, in
    /// milliseconds.
    pub latency_ms: [f64; 4],
}

/// The report of a run.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// Version of the format, [`SCHEMA`].
    pub schema: u32,
    /// Name of the experiment.
    pub experiment: String,
    /// The question of the experiment.
    pub question: String,
    /// Seed of the run.
    pub seed: u64,
    /// Command that started the nodes.
    pub nodes: String,
    /// Statistics of the whole run.
    pub whole: Span,
    /// Share of the value served, by class.
    pub classes: BTreeMap<String, f64>,
    /// Statistics by windows of five seconds.
    pub windows: Vec<Span>,
    /// Statistics by shorter windows, for plots.
    pub points: Vec<Span>,
    /// Number of attempts that reached each server in each of the shorter windows.
    pub load: Vec<Vec<u64>>,
    /// Disruptions: time in seconds and text.
    pub marks: Vec<(f64, String)>,
    /// Violated invariants.
    #[serde(rename = "breaches")]
    pub violations: Vec<String>,
    /// Timing of the lab itself.
    pub lab: HarnessTiming,
    /// Resource usage of each node.
    pub usage: Vec<Usage>,
}

/// Timing accuracy of the lab itself.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct HarnessTiming {
    /// Lateness of its timers and arrivals: 50th percentile, 99th percentile and maximum, in milliseconds.
    pub lateness_ms: [f64; 3],
    /// Why the run is void; `None` if it is valid.
    pub void: Option<String>,
}

/// Resource usage of a node.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Usage {
    /// Peak memory, in megabytes.
    pub memory_mb: f64,
    /// Peak number of file descriptors.
    pub descriptors: u64,
    /// Processor time, in seconds.
    pub cpu_s: f64,
}

/// Creates a histogram of latencies in microseconds, from 1 µs to ten minutes with three significant digits.
pub fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, MAX_LATENCY_US, 3).expect("the bounds are in order")
}

#[derive(Default)]
struct SpanBuilder {
    span: Span,
    value: [f64; 2], // requested and served
    tries: u64,
    attempts: u64,
    latencies: Option<Histogram<u64>>,
}

impl SpanBuilder {
    fn add(&mut self, value: f64, outcome: Option<Outcome>, latency: Nanos, on_time: bool) {
        self.span.asked += 1;
        self.value[0] += value;
        self.value[1] += if on_time { value } else { 0.0 };
        self.tries += outcome.map_or(0, |outcome| outcome.tries);
        let span = &mut self.span;
        let count = match outcome.map(|outcome| outcome.end) {
            Some(end) if end.served() => {
                self.latencies.get_or_insert_with(histogram).saturating_record(micros(latency));
                if on_time {
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
        self.span.worth_served = if self.value[0] > 0.0 { self.value[1] / self.value[0] } else { 0.0 };
        (self.span.tries, self.span.attempts) = (self.tries as f64 / asked, self.attempts as f64 / asked);
        if let Some(all) = &self.latencies {
            self.span.latency_ms = [0.5, 0.9, 0.99, 0.999].map(|q| all.value_at_quantile(q) as f64 / 1e3);
        }
        self.span
    }
}

/// The statistics of a run in windows of equal length.
struct WindowBuilder {
    width: Nanos,
    spans: Vec<SpanBuilder>,
}

impl WindowBuilder {
    fn new(experiment: &Experiment, width: Nanos) -> Self {
        let count = experiment.duration().div_ceil(width).max(1);
        WindowBuilder { width, spans: (0..count).map(|_| SpanBuilder::default()).collect() }
    }

    /// Returns the index of the window of a time. Times after the end of the run count towards the last window.
    fn index(&self, at: Nanos) -> usize {
        ((at / self.width) as usize).min(self.spans.len() - 1)
    }

    fn at(&mut self, at: Nanos) -> &mut SpanBuilder {
        let index = self.index(at);
        &mut self.spans[index]
    }

    fn finish(self) -> Vec<Span> {
        let from = |n: usize| (n as u64 * self.width) as f64 / SECOND as f64;
        let windows = self.spans.into_iter().enumerate();
        windows.map(|(n, builder)| Span { from_s: from(n), ..builder.finish() }).collect()
    }
}

/// The outcome of a request over all its tries.
#[derive(Clone, Copy)]
struct Outcome {
    end: TryOutcome,
    at: Nanos,
    tries: u64,
}

/// Builds the report of a run. The host fills in what only it knows: `lab`, `usage` and the names.
pub fn build_report(experiment: &Experiment, ledger: &Ledger) -> Report {
    let mut outcomes: Vec<Option<Outcome>> = vec![None; ledger.plans.len()];
    let mut attempts = vec![0u64; ledger.plans.len()];
    let request_of: BTreeMap<u64, usize> =
        ledger.tries.iter().map(|t| (t.client_try.id, t.client_try.request)).collect();
    for record in &ledger.tries {
        let outcome = &mut outcomes[record.client_try.request];
        let tries = outcome.map_or(0, |outcome| outcome.tries) + 1;
        let last = outcome.is_none_or(|outcome| outcome.at <= record.ended && !outcome.end.served());
        *outcome = match outcome {
            Some(old) if !last => Some(Outcome { tries, ..*old }),
            _ => Some(Outcome { end: record.outcome, at: record.ended, tries }),
        };
    }
    for attempt in &ledger.attempts {
        if let Some(&request) = request_of.get(&attempt.id) {
            attempts[request] += 1;
        }
    }
    let windows = WindowBuilder::new(experiment, WINDOW);
    let points =
        WindowBuilder::new(experiment, (experiment.duration() / PLOT_POINTS).clamp(SECOND / 2, WINDOW));
    let (mut spans, mut whole) = ([windows, points], SpanBuilder::default());
    let mut classes: Vec<[f64; 2]> = vec![[0.0; 2]; experiment.classes.len()];
    for (request, plan) in ledger.plans.iter().enumerate() {
        let class = &experiment.classes[plan.class];
        let outcome = outcomes[request];
        let latency = outcome.map_or(0, |outcome| outcome.at.saturating_sub(plan.at));
        let on_time = outcome.is_some_and(|outcome| outcome.end.served()) && latency <= millis(class.aim_ms);
        let parts = spans.iter_mut().map(|spans| spans.at(plan.at));
        for sum in parts.chain([&mut whole]) {
            sum.add(class.worth, outcome, latency, on_time);
            sum.attempts += attempts[request];
        }
        classes[plan.class][0] += class.worth;
        classes[plan.class][1] += if on_time { class.worth } else { 0.0 };
    }
    let [windows, points] = spans;
    let mut load = vec![vec![0; points.spans.len()]; experiment.server_count()];
    for attempt in &ledger.attempts {
        if let Some(server) = load.get_mut(attempt.server) {
            server[points.index(attempt.arrived)] += 1;
        }
    }
    let share = |(class, [asked, served]): (&crate::experiment::Class, [f64; 2])| {
        (class.name.clone(), if asked > 0.0 { served / asked } else { 1.0 })
    };
    Report {
        schema: SCHEMA,
        experiment: String::new(),
        question: experiment.question.clone(),
        seed: experiment.seed,
        nodes: String::new(),
        whole: whole.finish(),
        classes: experiment.classes.iter().zip(classes).map(share).collect(),
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
    /// Checks the invariants over the ledger, and the minimum share of the value served if the experiment states one.
    /// Stores the violations in the report and returns them.
    pub fn add_violations(&mut self, experiment: &Experiment, ledger: &Ledger) -> Vec<Violation> {
        let mut violations = crate::ledger::find_violations(experiment, ledger);
        if self.whole.worth_served < experiment.rules.served {
            let description = format!(
                "served {:.3} of the value, {:.3} required",
                self.whole.worth_served, experiment.rules.served
            );
            violations.push(Violation { invariant: Invariant::Served, description });
        }
        self.violations = violations.iter().map(Violation::to_string).collect();
        violations
    }

    /// Formats the windows as a table for a terminal.
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

/// Summarizes the lateness that the host measured in microseconds, and marks the run as void if the 99th percentile
/// exceeds `max_ms`.
pub fn harness_timing(lateness: &Histogram<u64>, max_ms: f64) -> HarnessTiming {
    let at = |q: f64| lateness.value_at_quantile(q) as f64 / 1e3;
    let figures = [at(0.5), at(0.99), lateness.max() as f64 / 1e3];
    let void = (figures[1] > max_ms).then(|| {
        format!(
            "the lab itself ran {:.1} ms late at the 99th percentile; {max_ms} ms are allowed",
            figures[1]
        )
    });
    HarnessTiming { lateness_ms: figures, void }
}

/// Converts a latency to the unit of [`histogram`], rounded up to 1 µs if below.
pub fn micros(latency: Nanos) -> u64 {
    (latency / (MS / 1_000)).max(1)
}
