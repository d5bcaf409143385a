//! Parses `merlinfold.toml` and experiment files, and checks experiments.
#![no_main]

libfuzzer_sys::fuzz_target!(|text: &str| {
    let _ = merlinfold_config::parse::<merlinfold_config::Config>(text);
    if let Ok(experiment) = merlinfold_config::parse::<merlinfold_simulation::experiment::Experiment>(text) {
        let _ = experiment.check();
    }
});
