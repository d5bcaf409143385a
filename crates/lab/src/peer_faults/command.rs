//! The `peer-faults` command: plays drawn scenarios and reports what broke a rule.

use std::process::ExitCode;

use clap::Args;

use super::pictures::upgraded;
use super::{draw, picture, run, Scenario, PICTURES};
use crate::process::NodeCommand;

/// Arguments of the `peer-faults` command.
#[derive(Debug, Args)]
pub struct PeerFaults {
    /// First seed.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Number of seeds to play, one after the other.
    #[arg(long, default_value_t = 1, value_parser = clap::value_parser!(u64).range(1..=1_000))]
    count: u64,
    /// Play this fixed scenario instead of drawn ones; `all` plays each of them.
    #[arg(long, value_name = "NAME")]
    picture: Option<String>,
    /// Number of clients of each kind in the crowd of a fixed scenario.
    #[arg(long, requires = "picture")]
    clients: Option<usize>,
    /// Memory of the node in a fixed scenario, in MiB.
    #[arg(long, requires = "picture")]
    memory_mb: Option<u32>,
    /// Descriptors of the node in a fixed scenario.
    #[arg(long, requires = "picture")]
    sockets: Option<usize>,
    /// Play an upgrade in the middle of a fixed scenario.
    #[arg(long, requires = "picture")]
    upgrade: bool,
    /// Time for which clients send in each run, in seconds.
    #[arg(long, default_value_t = 8.0)]
    seconds: f64,
    /// Print the log of each run.
    #[arg(long)]
    show_log: bool,
    /// Command of a node; the default is this build's own node.
    #[arg(long, value_name = "COMMAND")]
    node: Option<String>,
}

/// Plays the scenarios. The exit code reports a failure if a rule was broken.
pub fn execute(options: &PeerFaults) -> Result<ExitCode, String> {
    let node = options.node.as_deref().map_or_else(NodeCommand::own, NodeCommand::of)?;
    let mut broken = 0;
    let scenarios = scenarios(options)?;
    for (name, scenario) in &scenarios {
        let outcome = run(scenario, &node)?;
        println!(
            "{name}: {} kB of {} MB, {} descriptors, served {}, refused {}, resent {}, longest wait {} ms; {:?} {:?}",
            outcome.peak_kib,
            scenario.memory_mb,
            scenario.sockets,
            outcome.waits.served,
            outcome.waits.refused,
            outcome.waits.resent,
            outcome.waits.longest.as_millis(),
            scenario.peers,
            scenario.restarts
        );
        outcome.violations.iter().for_each(|violation| println!("  BROKEN {violation}"));
        if options.show_log {
            print!("{}", outcome.log);
        }
        broken += u64::from(!outcome.violations.is_empty());
    }
    println!("{broken} of {} runs broke a rule", scenarios.len());
    Ok(if broken == 0 { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}

/// The scenarios that the options name.
fn scenarios(options: &PeerFaults) -> Result<Vec<(String, Scenario)>, String> {
    match options.picture.as_deref() {
        None => {
            let seeds = options.seed..options.seed.saturating_add(options.count);
            Ok(seeds.map(|seed| (format!("seed {seed}"), draw(seed, options.seconds))).collect())
        }
        Some(wanted) => {
            let names = PICTURES.iter().filter(|name| wanted == "all" || **name == wanted);
            let adjusted = |name: &str| Some((name.to_owned(), adjust(picture(name)?, options)));
            let found: Vec<_> = names.filter_map(|name| adjusted(name)).collect();
            if found.is_empty() {
                return Err(format!("--picture: no {wanted:?}; there are {}", PICTURES.join(", ")));
            }
            Ok(found)
        }
    }
}

/// Replaces what the options name in a fixed scenario.
fn adjust(mut scenario: Scenario, options: &PeerFaults) -> Scenario {
    scenario.memory_mb = options.memory_mb.unwrap_or(scenario.memory_mb);
    scenario.sockets = options.sockets.unwrap_or(scenario.sockets);
    if let Some(clients) = options.clients {
        scenario.peers.iter_mut().for_each(|(_, count)| *count = clients);
    }
    if options.upgrade {
        scenario = upgraded(scenario);
    }
    scenario
}
