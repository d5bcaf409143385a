//! What a play leaves behind.

use merlinfold_simulation::{Nanos, SECOND};
use serde::Serialize;

use crate::invariants::{Findings, Violation};
use crate::scenario::Scenario;

/// Version of the JSON form.
pub const SCHEMA: u32 = 1;
/// Lines of a timeline that are kept.
pub const MAX_TIMELINE_ENTRIES: usize = 4_000;

/// A moment of the timeline.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct TimelineEntry {
    /// When, in seconds.
    pub at: f64,
    /// Node that saw it; none: the schedule did it.
    pub node: Option<usize>,
    /// What.
    #[serde(rename = "what")]
    pub detail: String,
}

/// Views at a moment.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct ViewSample {
    /// When, in seconds.
    pub at: f64,
    /// Of each node: members that it sees alive; none: the node is down.
    pub alive: Vec<Option<usize>>,
    /// Share of requests asked since the moment before that were served; none: none were asked.
    pub served: Option<f64>,
}

/// Figures of a play.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Figures {
    /// Seconds from a kill to an untroubled observer's knowledge: median and 99th percentile over all pairs.
    pub detected_s: Option<[f64; 2]>,
    /// Seconds from a kill to the last untroubled observer's knowledge: median and most over kills.
    pub known_to_all_s: Option<[f64; 2]>,
    /// Live untroubled nodes held dead.
    pub false_deaths: usize,
    /// Seconds from the last fault's end to one view.
    pub one_view_s: Option<f64>,
    /// Bytes of datagrams that a node sent a second, once all had started: mean and most.
    pub bytes_s: Option<[f64; 2]>,
    /// Share of a core that a node used: mean and most; only of processes.
    pub processor: Option<[f64; 2]>,
    /// Share of requests that were served; only of processes.
    pub served: Option<f64>,
}

/// The whole.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Report {
    /// Version of this form.
    pub schema: u32,
    /// Name of the trial.
    pub name: String,
    /// The trial, as it was played.
    #[serde(rename = "trial")]
    pub scenario: Scenario,
    /// On which clock: `virtual` or `processes`.
    pub clock: &'static str,
    /// Laws that did not hold.
    #[serde(rename = "breaches")]
    pub violations: Vec<Violation>,
    /// Why the play tells nothing, if so.
    #[serde(rename = "void")]
    pub void_reason: Option<String>,
    /// Figures.
    pub figures: Figures,
    /// What happened.
    pub timeline: Vec<TimelineEntry>,
    /// Views over time.
    #[serde(rename = "moments")]
    pub samples: Vec<ViewSample>,
}

fn quantile(sorted: &[f64], share: f64) -> Option<f64> {
    let last = sorted.len().checked_sub(1)?;
    sorted.get((share * last as f64).round() as usize).copied()
}

/// Two quantiles; none of nothing.
pub fn quantiles(values: &[f64], shares: [f64; 2]) -> Option<[f64; 2]> {
    let mut sorted = values.to_vec();
    sorted.sort_by(f64::total_cmp);
    Some([quantile(&sorted, shares[0])?, quantile(&sorted, shares[1])?])
}

/// Mean and most; none of nothing.
pub fn mean_and_max(values: &[f64]) -> Option<[f64; 2]> {
    let most = values.iter().copied().fold(f64::NAN, f64::max);
    (!values.is_empty()).then(|| [values.iter().sum::<f64>() / values.len() as f64, most])
}

/// Seconds.
pub fn seconds(at: Nanos) -> f64 {
    at as f64 / SECOND as f64
}

impl Report {
    /// From what laws have found.
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

    /// Adds to the timeline, up to its bound.
    pub fn add_timeline_entry(&mut self, at: Nanos, node: Option<usize>, what: String) {
        if self.timeline.len() < MAX_TIMELINE_ENTRIES {
            self.timeline.push(TimelineEntry { at: seconds(at), node, detail: what });
        }
    }

    /// As JSON.
    pub fn json(&self) -> String {
        serde_json::to_string_pretty(self).unwrap_or_default() // of these types nothing can fail
    }

    /// For people: what came of it, and of each breach what led to it.
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
        let two = |pair: Option<[f64; 2]>| pair.map(|[a, b]| format!("{a:.2}, {b:.2}"));
        let of = &self.figures;
        figure("a death known, s (median, 99th)", two(of.detected_s));
        figure("a death known to all, s (median, most)", two(of.known_to_all_s));
        figure("live nodes held dead", Some(of.false_deaths.to_string()));
        figure("one view after the last fault, s", of.one_view_s.map(|s| format!("{s:.1}")));
        figure("bytes a second a node (mean, most)", two(of.bytes_s));
        figure("share of a core a node (mean, most)", of.processor.map(|[a, b]| format!("{a:.4}, {b:.4}")));
        figure("requests served", of.served.map(|share| format!("{share:.3}")));
        for violation in &self.violations {
            let _ = writeln!(
                text,
                "BROKEN {} at {:.1} s: {}",
                violation.invariant, violation.at, violation.detail
            );
        }
        if let Some(first) = self.violations.first() {
            let _ = writeln!(text, "what led to the first:");
            let before = self.timeline.iter().filter(|line| line.at <= first.at);
            let before: Vec<&TimelineEntry> = before.collect();
            for line in before.iter().rev().take(12).rev() {
                let node = line.node.map(|node| format!("n{node}: ")).unwrap_or_default();
                let _ = writeln!(text, "  {:>8.2} s  {node}{}", line.at, line.detail);
            }
        }
        match &self.void_reason {
            Some(why) => text.push_str(&format!("VOID {why}\n")),
            None if self.violations.is_empty() => text.push_str("all laws kept\n"),
            None => text.push_str(&format!("laws were broken; again: --seed {}\n", self.scenario.seed)),
        }
        text
    }
}
