//! Validation of experiments.

use super::*;

/// An invalid value in an experiment.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ExperimentError {
    /// Path of the invalid field.
    pub field: String,
    /// Why its value is invalid.
    pub problem: String,
}

impl std::fmt::Display for ExperimentError {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        write!(f, "{}: {}", self.field, self.problem)
    }
}

impl std::error::Error for ExperimentError {}

// Limits of an experiment that one machine can run.
const MAX_SERVERS: usize = 1_000;
const MAX_NODES: usize = 100;
const MAX_SECONDS: f64 = 3_600.0;
const MAX_REQUESTS_PER_SECOND: f64 = 50_000.0;

impl Experiment {
    /// Checks that the experiment can be run. The error names the first invalid field.
    pub fn validate(&self) -> Result<(), ExperimentError> {
        let invalid = |field: &str, problem: &str| {
            Err(ExperimentError { field: field.into(), problem: problem.into() })
        };
        let within = |field: String, value: f64, min: f64, max: f64| {
            if value.is_finite() && (min..=max).contains(&value) {
                return Ok(());
            }
            Err(ExperimentError { field, problem: format!("{value} is not between {min} and {max}") })
        };
        within("seconds".into(), self.seconds, 0.5, MAX_SECONDS)?;
        within("nodes.count".into(), self.nodes.count as f64, 1.0, MAX_NODES as f64)?;
        within("nodes.sockets".into(), self.nodes.sockets as f64, 64.0, 65_536.0)?;
        within("nodes.memory_mb".into(), self.nodes.memory_mb, 1.0, 65_536.0)?;
        within("nodes.notice_ms".into(), self.nodes.notice_ms, 0.0, 60_000.0)?;
        if self.fleet.zones.is_empty() {
            return invalid("fleet.zones", "expected at least one");
        }
        if self.fleet.kinds.is_empty() {
            return invalid("fleet.kind", "expected at least one");
        }
        within("fleet.kind.count".into(), self.server_count() as f64, 1.0, MAX_SERVERS as f64)?;
        for kind in &self.fleet.kinds {
            let field = |name: &str| format!("fleet.kind {}: build.{name}", kind.name);
            within(field("cores"), kind.build.cores, 0.01, 1_024.0)?;
            within(field("speed"), kind.build.speed, 0.001, 1_000.0)?;
            within(field("slots"), kind.build.slots as f64, 1.0, 100_000.0)?;
            within(field("cold_share"), kind.build.cold_share, 0.001, 1.0)?;
            within(field("ramp_s"), kind.build.ramp_s, 0.0, MAX_SECONDS)?;
            within(field("errors"), kind.build.errors, 0.0, 1.0)?;
            within(field("choke"), kind.build.choke, 0.0, 100.0)?;
            within(field("fall_multiple"), kind.build.fall_multiple, 0.1, 1_000.0)?;
        }
        if self.classes.is_empty() {
            return invalid("class", "expected at least one");
        }
        let mut names = BTreeSet::new();
        for class in &self.classes {
            let field = |name: &str| format!("class {}: {name}", class.name);
            let allowed = |c: char| c.is_ascii_alphanumeric() || c == '-';
            if class.name.is_empty() || !class.name.chars().all(allowed) || !names.insert(&class.name) {
                return invalid(&field("name"), "expected a unique name of letters, digits and hyphens");
            }
            within(field("share"), class.share, 0.0, 1e6)?;
            within(field("work_ms"), class.work_ms, 0.001, 60_000.0)?;
            within(field("spread"), class.spread, 0.0, 10.0)?;
            within(field("deadline_ms"), class.deadline_ms, 1.0, 600_000.0)?;
            within(field("aim_ms"), class.aim_ms, 1.0, class.deadline_ms)?;
            within(field("worth"), class.worth, 0.0, 1e6)?;
        }
        if self.classes.iter().map(|class| class.share).sum::<f64>() <= 0.0 {
            return invalid("class", "expected at least one share above 0");
        }
        within("load.of_capacity".into(), self.load.of_capacity, 0.001, 100.0)?;
        within("load.swing".into(), self.load.swing, 0.0, 1.0)?;
        within("load.period_ms".into(), self.load.period_ms, 10.0, 3.6e6)?;
        within(
            "load (requests a second)".into(),
            self.mean_requests_per_second(),
            0.01,
            MAX_REQUESTS_PER_SECOND,
        )?;
        within("clients.try_share".into(), self.clients.try_share, 0.01, 1.0)?;
        within("clients.retries".into(), f64::from(self.clients.retries), 0.0, 10.0)?;
        within("clients.honour".into(), self.clients.honour, 0.0, 1.0)?;
        within("clients.impatient".into(), self.clients.impatient, 0.0, 1.0)?;
        for (n, disruption) in self.disruptions.iter().enumerate() {
            let field = |name: &str| format!("trouble {}: {name}", n + 1);
            within(field("at_s"), disruption.at_s, 0.0, self.seconds)?;
            within(field("for_s"), disruption.for_s, 0.0, MAX_SECONDS)?;
            within(field("part"), disruption.part, 0.0, 1.0)?;
            if let Some(size) = disruption.size {
                within(field("size"), size, 0.0, 1e6)?;
            }
            use DisruptionKind::*;
            let needs_size = matches!(
                disruption.kind,
                Slow | TurnAway
                    | LoseAnswers
                    | CutAnswers
                    | ResetAnswers
                    | MalformedAnswers
                    | ListFaults
                    | SilentPeers
                    | Surge
            );
            if needs_size && disruption.size.is_none() {
                return invalid(&field("size"), "required for this kind");
            }
            let class_name = disruption.class.as_ref();
            if (disruption.kind == TurnAway) != class_name.is_some() {
                return invalid(
                    &field("class"),
                    "required for kind turn-away and not allowed for other kinds",
                );
            }
            if class_name.is_some_and(|name| self.class_index(name).is_none()) {
                return invalid(&field("class"), "no class has this name");
            }
        }
        Ok(())
    }
}
