//! The report of a run.

use merlinfold_simulation::{Nanos, SECOND};
use serde::Serialize;

use crate::invariants::{Findings, Violation};
use crate::scenario::Scenario;

/// Version of the JSON form.
pub const SCHEMA: u32 = 1;
/// Maximum number of timeline entries; later ones are dropped.
pub const MAX_TIMELINE_ENTRIES: usize = 4_000;

/// An entry of the timeline.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct TimelineEntry {
    /// Time in seconds since the start of the run.
    pub at: f64,
    /// Node that observed it; none for a step of the schedule.
    pub node: Option<usize>,
    /// What happened.
    #[serde(rename = "what")]
    pub detail: String,
}

/// The views of all nodes at one moment.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct ViewSample {
    /// Time in seconds since the start of the run.
    pub at: f64,
    /// For each node, the number of members that it considers alive; none while the node is down.
    pub alive: Vec<Option<usize>>,
    /// Share of the requests since the previous sample that were served; none if there were no requests.
    pub served: Option<f64>,
}

/// Measurements of a run.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Figures {
    /// Seconds from a kill until a healthy observer considers the node dead: median and 99th percentile over all
    /// pairs.
    pub detected_s: Option<[f64; 2]>,
    /// Seconds from a kill until the last healthy observer considers the node dead: median and maximum over all
    /// kills.
    pub known_to_all_s: Option<[f64; 2]>,
    /// Number of times that a live, healthy node was considered dead.
    pub false_deaths: usize,
    /// Seconds from the end of the last fault until all nodes agreed on the members.
    pub one_view_s: Option<f64>,
    /// Bytes of datagrams that a node sent per second, without the first 20 seconds in virtual time: mean and maximum
    /// over the nodes.
    pub bytes_s: Option<[f64; 2]>,
    /// Share of a processor core that a node used: mean and maximum over the nodes; only in runs on processes.
    pub processor: Option<[f64; 2]>,
    /// Share of requests that were served; only in runs on processes.
    pub served: Option<f64>,
}

/// The complete report. Its JSON form keeps the field names of schema 1.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Report {
    /// Version of the JSON form.
    pub schema: u32,
    /// Name of the scenario.
    pub name: String,
    /// The scenario as it was run.
    #[serde(rename = "trial")]
    pub scenario: Scenario,
    /// Kind of run: `virtual` or `processes`.
    pub clock: &'static str,
    /// Invariants that were violated.
    #[serde(rename = "breaches")]
    pub violations: Vec<Violation>,
    /// Why the run proves nothing, if it does not.
    #[serde(rename = "void")]
    pub void_reason: Option<String>,
    /// Measurements.
    pub figures: Figures,
    /// Timeline of the run.
    pub timeline: Vec<TimelineEntry>,
    /// Views of the nodes over time.
    #[serde(rename = "moments")]
    pub samples: Vec<ViewSample>,
}

fn quantile(sorted: &[f64], share: f64) -> Option<f64> {
    let last = sorted.len().checked_sub(1)?;
    sorted.get((share * last as f64).round() as usize).copied()
}

/// Returns two quantiles of the values; none if there are no values.
pub fn quantiles(values: &[f64], shares: [f64; 2]) -> Option<[f64; 2]> {
    let mut sorted = values.to_vec();
    sorted.sort_by(f64::total_cmp);
    Some([quantile(&sorted, shares[0])?, quantile(&sorted, shares[1])?])
}

/// Returns the mean and the maximum of the values; none if there are no values.
pub fn mean_and_max(values: &[f64]) -> Option<[f64; 2]> {
    let max = values.iter().copied().fold(f64::NAN, f64::max);
    (!values.is_empty()).then(|| [values.iter().sum::<f64>() / values.len() as f64, max])
}

/// Converts nanoseconds to seconds.
pub fn seconds(at: Nanos) -> f64 {
    at as f64 / SECOND as f64
}

impl Report {
    /// Creates a report from the findings of the invariants, without timeline and samples.
    pub fn new(name: &str, scenario: &Scenario, clock: &'static str, findings: Findings) -> Self {
        let figures = Figures {
            detected_s: quantiles(&findings.detected_s, [0.5, 0.99]),
            known_to_all_s: quantiles(&findings.known_to_all_s, [0.5, 1.0]),
            false_deaths: findings.false_deaths,
            one_view_s: findings.one_view_s,
            ..Figures::default()
        };
        Report {
            schema: SCHEMA,
            name: name.to_owned(),
            scenario: scenario.clone(),
            clock,
            violations: findings.violations,
            void_reason: None,
            figures,
            timeline: Vec::new(),
            samples: Vec::new(),
        }
    }

    /// Appends an entry to the timeline, up to [`MAX_TIMELINE_ENTRIES`].
    pub fn add_timeline_entry(&mut self, at: Nanos, node: Option<usize>, detail: String) {
        if self.timeline.len() < MAX_TIMELINE_ENTRIES {
            self.timeline.push(TimelineEntry { at: seconds(at), node, detail });
        }
    }

    /// Returns the report as JSON.
    pub fn json(&self) -> String {
        serde_json::to_string_pretty(self).unwrap_or_default() // serializing these types cannot fail
    }

    /// Returns a summary for people: the measurements, the violations, and the events before the first violation.
    pub fn text(&self) -> String {
        use std::fmt::Write;
        let mut text = format!(
            "{}: {} Seed {}, {}.\n",
            self.name, self.scenario.question, self.scenario.seed, self.clock
        );
        let mut figure = |name: &str, value: Option<String>| {
            if let Some(value) = value {
                let _ = writeln!(text, "{name:<44} {value}");
            }
        };
        let pair = |values: Option<[f64; 2]>| values.map(|[a, b]| format!("{a:.2}, {b:.2}"));
        let figures = &self.figures;
        figure("death detected, s (median, 99th)", pair(figures.detected_s));
        figure("death known to all, s (median, max)", pair(figures.known_to_all_s));
        figure("live nodes considered dead", Some(figures.false_deaths.to_string()));
        figure("views agree after the last fault, s", figures.one_view_s.map(|s| format!("{s:.1}")));
        figure("bytes per second and node (mean, max)", pair(figures.bytes_s));
        figure(
            "share of a core per node (mean, max)",
            figures.processor.map(|[a, b]| format!("{a:.4}, {b:.4}")),
        );
        figure("requests served", figures.served.map(|share| format!("{share:.3}")));
        for violation in &self.violations {
            let _ = writeln!(
                text,
                "BROKEN {} at {:.1} s: {}",
                violation.invariant, violation.at, violation.detail
            );
        }
        if let Some(first) = self.violations.first() {
            let _ = writeln!(text, "what led to the first:");
            let before = self.timeline.iter().filter(|entry| entry.at <= first.at);
            let before: Vec<&TimelineEntry> = before.collect();
            for entry in before.iter().rev().take(12).rev() {
                let node = entry.node.map(|node| format!("n{node}: ")).unwrap_or_default();
                let _ = writeln!(text, "  {:>8.2} s  {node}{}", entry.at, entry.detail);
            }
        }
        match &self.void_reason {
            Some(reason) => text.push_str(&format!("VOID {reason}\n")),
            None if self.violations.is_empty() => text.push_str("all invariants held\n"),
            None => text.push_str(&format!(
                "invariants were violated; reproduce with --seed {}\n",
                self.scenario.seed
            )),
        }
        text
    }
}
