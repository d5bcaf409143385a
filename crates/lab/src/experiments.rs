//! The built-in experiments, and reading experiments from files.

use merlinfold_simulation::experiment::Experiment;

macro_rules! built_in {
    ($($name:literal),* $(,)?) => {
        /// Name and TOML text of each built-in experiment.
        pub const BUILT_IN: &[(&str, &str)] = &[$(($name, include_str!(concat!("../experiments/", $name, ".toml")))),*];
    };
}

built_in![
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

/// Returns the built-in experiment `name`, or reads the file `name`. The error names the file, the line and the field.
pub fn find(name: &str) -> Result<Experiment, String> {
    let text = match BUILT_IN.iter().find(|(built_in, _)| *built_in == name) {
        Some((_, text)) => (*text).to_owned(),
        None => std::fs::read_to_string(name).map_err(|error| {
            let names: Vec<&str> = BUILT_IN.iter().map(|(name, _)| *name).collect();
            format!("{name}: {error}; experiments that are kept: {}", names.join(", "))
        })?,
    };
    let experiment: Experiment =
        merlinfold_config::parse(&text).map_err(|fault| format!("{name}:{fault}"))?;
    experiment.validate().map_err(|fault| format!("{name}: {fault}"))?;
    Ok(experiment)
}

#[cfg(test)]
mod tests {
    use super::*;
    use merlinfold_simulation::clients::generate_requests;
    use merlinfold_simulation::disruptions::timeline;
    use merlinfold_simulation::seed::Seed;

    #[test]
    fn every_built_in_experiment_is_valid_and_has_a_question() {
        for (name, _) in BUILT_IN {
            let experiment = find(name).unwrap();
            assert!(experiment.question.ends_with('?'), "{name}: {}", experiment.question);
            assert!(!generate_requests(&experiment, Seed(1)).is_empty(), "{name}");
        }
    }

    /// Comparisons of two builds need this: the same seed must generate identical requests and faults.
    #[test]
    fn same_seed_generates_identical_load_and_faults_and_another_seed_differs() {
        for (name, _) in BUILT_IN {
            let experiment = find(name).unwrap();
            let text = |seed| {
                format!(
                    "{:?}{:?}",
                    generate_requests(&experiment, Seed(seed)),
                    timeline(&experiment, Seed(seed))
                )
            };
            assert_eq!(text(7), text(7), "{name}");
            assert_ne!(text(7), text(8), "{name}");
        }
    }

    #[test]
    fn error_names_the_invalid_field() {
        for (change, says) in [
            (("seconds = 12", "seconds = nan"), "seconds"),
            (("seconds = 12", "seconds = 1e9"), "seconds"),
            (("count = 3", "count = 0"), "nodes.count"),
            (("work_ms = 8", "work_ms = -1"), "work_ms"),
            (("kind = \"crash\"", "kind = \"turn-away\""), "trouble 1"),
            (("kind = \"crash\"", "kind = \"flood\""), "trouble[0].kind"),
            (("seconds = 12", "second = 12"), "second"),
        ] {
            let (_, text) = BUILT_IN.iter().find(|(name, _)| *name == "demo").unwrap();
            assert!(text.contains(change.0), "{change:?}");
            let read = merlinfold_config::parse::<Experiment>(&text.replacen(change.0, change.1, 1));
            let fault = match read {
                Err(fault) => fault.to_string(),
                Ok(experiment) => experiment.validate().unwrap_err().to_string(),
            };
            assert!(fault.contains(says), "{change:?}: {fault}");
        }
    }
}
