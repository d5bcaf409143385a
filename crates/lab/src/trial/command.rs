//! The command `merlinfold-lab trial`, which runs fault-injection scenarios.

use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Instant;

use clap::{Args, Subcommand};
use merlinfold_fault_injection::report::Report;
use merlinfold_fault_injection::{catalogue, html, shrink, virtual_time, Scenario};

use crate::process::NodeCommand;

/// Exit code of a void run: the machine was too busy to keep time.
const EXIT_VOID: u8 = 3;
/// The most seeds that `search` runs.
const MAX_SEEDS: u64 = 100_000;

/// Subcommands of `trial`.
#[derive(Debug, Subcommand)]
pub enum Command {
    /// List the built-in trials and the question that each one answers.
    List,
    /// Run a trial on processes of the program, or in virtual time.
    Run(Run),
    /// Run a trial in virtual time with many seeds; print the first violation, with its schedule made smaller.
    Search {
        /// The name of a built-in trial, or a file.
        #[arg(value_name = "TRIAL")]
        scenario: String,
        /// Number of seeds to run: 1, 2, 3 ...
        #[arg(long, default_value_t = 100, value_parser = clap::value_parser!(u64).range(1..=MAX_SEEDS))]
        seeds: u64,
        /// Number of nodes; the trial's own by default.
        #[arg(long)]
        nodes: Option<usize>,
        /// Write the smaller schedule that shows the violation to this file.
        #[arg(long, value_name = "FILE")]
        keep: Option<PathBuf>,
    },
}

/// Arguments of `trial run`.
#[derive(Debug, Args)]
pub struct Run {
    /// The name of a built-in trial, or a file.
    #[arg(value_name = "TRIAL")]
    scenario: String,
    /// Seed of all random choices; the trial's own by default.
    #[arg(long)]
    seed: Option<u64>,
    /// Number of nodes; the trial's own by default.
    #[arg(long)]
    nodes: Option<usize>,
    /// Run in virtual time: the same seed gives the same report.
    #[arg(long = "virtual")]
    in_virtual_time: bool,
    /// Write the report as JSON.
    #[arg(long, value_name = "FILE")]
    json: Option<PathBuf>,
    /// Write the report as one HTML page.
    #[arg(long, value_name = "FILE")]
    html: Option<PathBuf>,
    /// Keep the nodes' folders and logs in this folder.
    #[arg(long, value_name = "FOLDER", conflicts_with = "in_virtual_time")]
    logs: Option<PathBuf>,
    /// Command that starts a node; this build's own node by default.
    #[arg(long, value_name = "COMMAND", conflicts_with = "in_virtual_time")]
    node: Option<String>,
}

/// Loads a scenario from a file or the catalogue and applies the overrides of the command line.
fn load_scenario(name: &str, seed: Option<u64>, nodes: Option<usize>) -> Result<Scenario, String> {
    let mut scenario = if Path::new(name).is_file() {
        let text = std::fs::read_to_string(name).map_err(|error| format!("{name}: {error}"))?;
        Scenario::parse(&text).map_err(|error| format!("{name}:{error}"))?
    } else {
        catalogue::find(name)?
    };
    scenario.seed = seed.unwrap_or(scenario.seed);
    scenario.fleet.nodes = nodes.unwrap_or(scenario.fleet.nodes);
    scenario.check().map_err(|error| format!("{name}: {error}"))?;
    Ok(scenario)
}

/// Executes the command and returns the exit code.
pub async fn execute(command: Command) -> Result<ExitCode, String> {
    match command {
        Command::List => {
            for (name, _) in catalogue::SCENARIOS {
                println!("{name:<20} {}", catalogue::find(name)?.question);
            }
            Ok(ExitCode::SUCCESS)
        }
        Command::Run(options) => run(options).await,
        Command::Search { scenario, seeds, nodes, keep } => search(&scenario, seeds, nodes, keep.as_deref()),
    }
}

fn write(path: &Path, text: &str) -> Result<(), String> {
    std::fs::write(path, text).map_err(|error| format!("{}: {error}", path.display()))
}

async fn run(options: Run) -> Result<ExitCode, String> {
    let scenario = load_scenario(&options.scenario, options.seed, options.nodes)?;
    let started_at = Instant::now();
    let report: Report = if options.in_virtual_time {
        virtual_time::simulate(&options.scenario, &scenario, None)?
    } else {
        let nodes = options.node.as_deref().map_or_else(NodeCommand::own, NodeCommand::of)?;
        super::processes::run(&options.scenario, &scenario, &nodes, options.logs.as_deref()).await?
    };
    print!("{}", report.text());
    if options.in_virtual_time {
        // Virtual time uses one thread and never waits, so elapsed time is processor time, the simulator's included.
        let elapsed = started_at.elapsed().as_secs_f64();
        let per_node_second = elapsed / (scenario.seconds * scenario.fleet.nodes as f64);
        println!(
            "ran in {elapsed:.2} s: {:.1} us of processor time per node and second",
            per_node_second * 1e6
        );
    }
    if let Some(path) = &options.json {
        write(path, &report.json())?;
    }
    if let Some(path) = &options.html {
        write(path, &html::page(&report))?;
        println!("page: {}", path.display());
    }
    Ok(match (&report.void_reason, report.violations.is_empty()) {
        (Some(_), _) => ExitCode::from(EXIT_VOID),
        (None, true) => ExitCode::SUCCESS,
        (None, false) => ExitCode::FAILURE,
    })
}

fn search(name: &str, seeds: u64, nodes: Option<usize>, keep: Option<&Path>) -> Result<ExitCode, String> {
    let scenario = load_scenario(name, None, nodes)?;
    let with = |seed| Scenario { seed, ..scenario.clone() };
    // Seeds run in parallel. The lowest seed with a violation is reported, in whatever order the runs end.
    let (next, lowest_violating) = (AtomicU64::new(1), AtomicU64::new(u64::MAX));
    let workers = std::thread::available_parallelism().map_or(1, usize::from);
    std::thread::scope(|scope| {
        let run_seeds = || loop {
            let seed = next.fetch_add(1, Ordering::Relaxed);
            if seed > seeds || lowest_violating.load(Ordering::Relaxed) < seed {
                return Ok::<(), String>(());
            }
            if !virtual_time::simulate(name, &with(seed), None)?.violations.is_empty() {
                lowest_violating.fetch_min(seed, Ordering::Relaxed);
            }
        };
        let started: Vec<_> = (0..workers).map(|_| scope.spawn(run_seeds)).collect();
        started
            .into_iter()
            .try_for_each(|worker| worker.join().map_err(|_| "a simulation thread panicked".to_owned())?)
    })?;
    let seed = lowest_violating.into_inner();
    if seed <= seeds {
        let scenario = with(seed);
        let report = virtual_time::simulate(name, &scenario, None)?;
        let Some(invariant) = report.violations.first().map(|violation| violation.invariant) else {
            return Err(format!("seed {seed} violated an invariant but did not when run again: the simulator is not deterministic"));
        };
        print!("{}", report.text());
        let still_violates = |smaller: &Scenario| {
            let result = virtual_time::simulate(name, smaller, None);
            result.is_ok_and(|report| {
                report.violations.iter().any(|violation| violation.invariant == invariant)
            })
        };
        let small = shrink::shrink(&scenario, still_violates);
        let text =
            toml::to_string(&small).map_err(|error| format!("cannot serialize the schedule: {error}"))?;
        println!("the smallest schedule found that violates the invariant \"{invariant}\":\n\n{text}");
        if let Some(path) = keep {
            write(path, &text)?;
        }
        return Ok(ExitCode::FAILURE);
    }
    println!("{name}: {seeds} seeds, no invariant violated");
    Ok(ExitCode::SUCCESS)
}
