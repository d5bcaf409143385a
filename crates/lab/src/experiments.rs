//! The experiments that are kept, and reading others.

use merlinfold_simulation::experiment::Experiment;

macro_rules! kept {
    ($($name:literal),* $(,)?) => {
        /// Name and text of each.
        pub const KEPT: &[(&str, &str)] = &[$(($name, include_str!(concat!("../experiments/", $name, ".toml")))),*];
    };
}

kept![
    "calm",
    "crash-quarter",
    "crash-while-slow",
    "cut-and-reset",
    "demo",
    "deploy-roll",
    "deploy-while-discovery-is-out",
    "discovery-outage",
    "hung-servers",
    "list-faults",
    "kill-nodes",
    "lost-answers",
    "node-roll",
    "node-roll-in-a-crash",
    "overload",
    "retry-storm",
    "silent-peers",
    "slow-servers",
    "turned-away",
    "vanished",
];

/// The experiment of this name, or else in the file of this name. The error names file, line and field.
pub fn find(name: &str) -> Result<Experiment, String> {
    let text = match KEPT.iter().find(|(kept, _)| *kept == name) {
        Some((_, text)) => (*text).to_owned(),
        None => std::fs::read_to_string(name).map_err(|error| {
            let names: Vec<&str> = KEPT.iter().map(|(name, _)| *name).collect();
            format!("{name}: {error}; experiments that are kept: {}", names.join(", "))
        })?,
    };
    let day: Experiment = merlinfold_config::parse(&text).map_err(|fault| format!("{name}:{fault}"))?;
    day.validate().map_err(|fault| format!("{name}: {fault}"))?;
    Ok(day)
}

#[cfg(test)]
mod tests {
    use super::*;
    use merlinfold_simulation::clients::generate_requests;
    use merlinfold_simulation::disruptions::timeline;
    use merlinfold_simulation::seed::Seed;

    #[test]
    fn every_kept_experiment_is_valid_and_asks_a_question() {
        for (name, _) in KEPT {
            let day = find(name).unwrap();
            assert!(day.question.ends_with('?'), "{name}: {}", day.question);
            assert!(!generate_requests(&day, Seed(1)).is_empty(), "{name}");
        }
    }

    /// Guards comparisons: two builds that play the same seed meet the same day, to the byte.
    #[test]
    fn the_same_seed_gives_the_same_day_to_the_byte_and_another_a_different_one() {
        for (name, _) in KEPT {
            let day = find(name).unwrap();
            let text =
                |seed| format!("{:?}{:?}", generate_requests(&day, Seed(seed)), timeline(&day, Seed(seed)));
            assert_eq!(text(7), text(7), "{name}");
            assert_ne!(text(7), text(8), "{name}");
        }
    }

    #[test]
    fn what_cannot_be_is_named() {
        for (change, says) in [
            (("seconds = 12", "seconds = nan"), "seconds"),
            (("seconds = 12", "seconds = 1e9"), "seconds"),
            (("count = 3", "count = 0"), "nodes.count"),
            (("work_ms = 8", "work_ms = -1"), "work_ms"),
            (("kind = \"crash\"", "kind = \"turn-away\""), "trouble 1"),
            (("kind = \"crash\"", "kind = \"flood\""), "trouble[0].kind"),
            (("seconds = 12", "second = 12"), "second"),
        ] {
            let (_, text) = KEPT.iter().find(|(name, _)| *name == "demo").unwrap();
            assert!(text.contains(change.0), "{change:?}");
            let read = merlinfold_config::parse::<Experiment>(&text.replacen(change.0, change.1, 1));
            let fault = match read {
                Err(fault) => fault.to_string(),
                Ok(day) => day.validate().unwrap_err().to_string(),
            };
            assert!(fault.contains(says), "{change:?}: {fault}");
        }
    }
}
