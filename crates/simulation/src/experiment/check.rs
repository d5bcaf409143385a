//! Whether an experiment can be played.

use super::*;

/// A value that cannot be.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ExperimentError {
    /// Path of the field.
    pub field: String,
    /// What is wrong with it.
    pub problem: String,
}

impl std::fmt::Display for ExperimentError {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        write!(f, "{}: {}", self.field, self.problem)
    }
}

impl std::error::Error for ExperimentError {}

/// Most servers, nodes and seconds of an experiment: what one machine can hold.
const SERVERS_MOST: usize = 1_000;
const NODES_MOST: usize = 100;
const SECONDS_MOST: f64 = 3_600.0;
const PER_SECOND_MOST: f64 = 50_000.0;

impl Experiment {
    /// Whether it can be played. The error names the field.
    pub fn validate(&self) -> Result<(), ExperimentError> {
        let fault =
            |field: &str, what: &str| Err(ExperimentError { field: field.into(), problem: what.into() });
        let within = |field: String, value: f64, least: f64, most: f64| {
            if value.is_finite() && (least..=most).contains(&value) {
                return Ok(());
            }
            Err(ExperimentError { field, problem: format!("{value} is not between {least} and {most}") })
        };
        within("seconds".into(), self.seconds, 0.5, SECONDS_MOST)?;
        within("nodes.count".into(), self.nodes.count as f64, 1.0, NODES_MOST as f64)?;
        within("nodes.sockets".into(), self.nodes.sockets as f64, 64.0, 65_536.0)?;
        within("nodes.memory_mb".into(), self.nodes.memory_mb, 1.0, 65_536.0)?;
        within("nodes.notice_ms".into(), self.nodes.notice_ms, 0.0, 60_000.0)?;
        if self.fleet.zones.is_empty() {
            return fault("fleet.zones", "there is none");
        }
        if self.fleet.kinds.is_empty() {
            return fault("fleet.kind", "there is none");
        }
        within("fleet.kind.count".into(), self.server_count() as f64, 1.0, SERVERS_MOST as f64)?;
        for kind in &self.fleet.kinds {
            let at = |name: &str| format!("fleet.kind {}: build.{name}", kind.name);
            within(at("cores"), kind.build.cores, 0.01, 1_024.0)?;
            within(at("speed"), kind.build.speed, 0.001, 1_000.0)?;
            within(at("slots"), kind.build.slots as f64, 1.0, 100_000.0)?;
            within(at("cold_share"), kind.build.cold_share, 0.001, 1.0)?;
            within(at("ramp_s"), kind.build.ramp_s, 0.0, SECONDS_MOST)?;
            within(at("errors"), kind.build.errors, 0.0, 1.0)?;
            within(at("choke"), kind.build.choke, 0.0, 100.0)?;
            within(at("fall_multiple"), kind.build.fall_multiple, 0.1, 1_000.0)?;
        }
        if self.classes.is_empty() {
            return fault("class", "there is none");
        }
        let mut names = BTreeSet::new();
        for class in &self.classes {
            let at = |name: &str| format!("class {}: {name}", class.name);
            let plain = |c: char| c.is_ascii_alphanumeric() || c == '-';
            if class.name.is_empty() || !class.name.chars().all(plain) || !names.insert(&class.name) {
                return fault(&at("name"), "has to be letters, digits and hyphens, and its own");
            }
            within(at("share"), class.share, 0.0, 1e6)?;
            within(at("work_ms"), class.work_ms, 0.001, 60_000.0)?;
            within(at("spread"), class.spread, 0.0, 10.0)?;
            within(at("deadline_ms"), class.deadline_ms, 1.0, 600_000.0)?;
            within(at("aim_ms"), class.aim_ms, 1.0, class.deadline_ms)?;
            within(at("worth"), class.worth, 0.0, 1e6)?;
        }
        if self.classes.iter().map(|class| class.share).sum::<f64>() <= 0.0 {
            return fault("class", "no share is above 0");
        }
        within("load.of_capacity".into(), self.load.of_capacity, 0.001, 100.0)?;
        within("load.swing".into(), self.load.swing, 0.0, 1.0)?;
        within("load.period_ms".into(), self.load.period_ms, 10.0, 3.6e6)?;
        within("load (requests a second)".into(), self.mean_requests_per_second(), 0.01, PER_SECOND_MOST)?;
        within("clients.try_share".into(), self.clients.try_share, 0.01, 1.0)?;
        within("clients.retries".into(), f64::from(self.clients.retries), 0.0, 10.0)?;
        within("clients.honour".into(), self.clients.honour, 0.0, 1.0)?;
        within("clients.impatient".into(), self.clients.impatient, 0.0, 1.0)?;
        for (n, trouble) in self.disruptions.iter().enumerate() {
            let at = |name: &str| format!("trouble {}: {name}", n + 1);
            within(at("at_s"), trouble.at_s, 0.0, self.seconds)?;
            within(at("for_s"), trouble.for_s, 0.0, SECONDS_MOST)?;
            within(at("part"), trouble.part, 0.0, 1.0)?;
            if let Some(size) = trouble.size {
                within(at("size"), size, 0.0, 1e6)?;
            }
            use DisruptionKind::*;
            let sized = matches!(
                trouble.kind,
                Slow | TurnAway
                    | LoseAnswers
                    | CutAnswers
                    | ResetAnswers
                    | MalformedAnswers
                    | ListFaults
                    | SilentPeers
                    | Surge
            );
            if sized && trouble.size.is_none() {
                return fault(&at("size"), "has to be stated for this kind");
            }
            let named = trouble.class.as_ref();
            if (trouble.kind == TurnAway) != named.is_some() {
                return fault(&at("class"), "goes with turn-away, and only with it");
            }
            if named.is_some_and(|name| self.class_index(name).is_none()) {
                return fault(&at("class"), "no class has this name");
            }
        }
        Ok(())
    }
}
