//! `merlinfold-lab trial`.

use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Instant;

use clap::{Args, Subcommand};
use merlinfold_fault_injection::report::Report;
use merlinfold_fault_injection::{catalogue, html, shrink, virtual_time, Scenario};

use crate::process::NodeCommand;

/// Exit code of a play that could not keep time.
const VOID: u8 = 3;
/// Seeds that `search` plays at most.
const SEEDS_MOST: u64 = 100_000;

/// What to do with trials.
#[derive(Debug, Subcommand)]
pub enum Command {
    /// List the kept trials and what they ask.
    List,
    /// Play one: processes of the program, or in virtual time.
    Run(Run),
    /// Play one in virtual time over many seeds; print the first breach, shrunk to a smaller schedule.
    Search {
        /// The name of a kept trial, or a file.
        trial: String,
        /// Seeds to play: 1, 2, 3 ...
        #[arg(long, default_value_t = 100, value_parser = clap::value_parser!(u64).range(1..=SEEDS_MOST))]
        seeds: u64,
        /// Nodes; else the trial's own.
        #[arg(long)]
        nodes: Option<usize>,
        /// Write the smaller schedule that breaks here, to be kept as a test.
        #[arg(long, value_name = "FILE")]
        keep: Option<PathBuf>,
    },
}

/// How to play one.
#[derive(Debug, Args)]
pub struct Run {
    /// The name of a kept trial, or a file.
    trial: String,
    /// Seed of all that is drawn; else the trial's own.
    #[arg(long)]
    seed: Option<u64>,
    /// Nodes; else the trial's own.
    #[arg(long)]
    nodes: Option<usize>,
    /// In virtual time: the same seed gives the same report.
    #[arg(long = "virtual")]
    in_virtual_time: bool,
    /// Write the report as JSON.
    #[arg(long, value_name = "FILE")]
    json: Option<PathBuf>,
    /// Write the report as one page.
    #[arg(long, value_name = "FILE")]
    html: Option<PathBuf>,
    /// Keep the folders and logs of the nodes here.
    #[arg(long, value_name = "FOLDER", conflicts_with = "in_virtual_time")]
    logs: Option<PathBuf>,
    /// Command of a node; else this build's own.
    #[arg(long, value_name = "COMMAND", conflicts_with = "in_virtual_time")]
    node: Option<String>,
}

/// A kept trial, or one in a file.
fn find(name: &str, seed: Option<u64>, nodes: Option<usize>) -> Result<Scenario, String> {
    let mut trial = if Path::new(name).is_file() {
        let text = std::fs::read_to_string(name).map_err(|error| format!("{name}: {error}"))?;
        Scenario::parse(&text).map_err(|fault| format!("{name}:{fault}"))?
    } else {
        catalogue::find(name)?
    };
    trial.seed = seed.unwrap_or(trial.seed);
    trial.fleet.nodes = nodes.unwrap_or(trial.fleet.nodes);
    trial.check().map_err(|fault| format!("{name}: {fault}"))?;
    Ok(trial)
}

/// Carries it out.
pub async fn carry_out(command: Command) -> Result<ExitCode, String> {
    match command {
        Command::List => {
            for (name, _) in catalogue::SCENARIOS {
                println!("{name:<20} {}", catalogue::find(name)?.question);
            }
            Ok(ExitCode::SUCCESS)
        }
        Command::Run(told) => run(told).await,
        Command::Search { trial, seeds, nodes, keep } => search(&trial, seeds, nodes, keep.as_deref()),
    }
}

fn write(path: &Path, text: &str) -> Result<(), String> {
    std::fs::write(path, text).map_err(|error| format!("{}: {error}", path.display()))
}

async fn run(told: Run) -> Result<ExitCode, String> {
    let trial = find(&told.trial, told.seed, told.nodes)?;
    let begun = Instant::now();
    let report: Report = if told.in_virtual_time {
        virtual_time::simulate(&told.trial, &trial, None)?
    } else {
        let nodes = told.node.as_deref().map_or_else(NodeCommand::own, NodeCommand::of)?;
        super::processes::play(&told.trial, &trial, &nodes, told.logs.as_deref()).await?
    };
    print!("{}", report.text());
    if told.in_virtual_time {
        // One thread and no waiting: the time that it took is processor time, the player's own with it.
        let took = begun.elapsed().as_secs_f64();
        let of_node = took / (trial.seconds * trial.fleet.nodes as f64);
        println!("played in {took:.2} s: {:.1} us of processor time for a node's second", of_node * 1e6);
    }
    if let Some(path) = &told.json {
        write(path, &report.json())?;
    }
    if let Some(path) = &told.html {
        write(path, &html::page(&report))?;
        println!("page: {}", path.display());
    }
    Ok(match (&report.void_reason, report.violations.is_empty()) {
        (Some(_), _) => ExitCode::from(VOID),
        (None, true) => ExitCode::SUCCESS,
        (None, false) => ExitCode::FAILURE,
    })
}

fn search(name: &str, seeds: u64, nodes: Option<usize>, keep: Option<&Path>) -> Result<ExitCode, String> {
    let trial = find(name, None, nodes)?;
    let with = |seed| Scenario { seed, ..trial.clone() };
    // Seeds are played side by side; what is told is the least that breaks, however they came to an end.
    let (next, broken) = (AtomicU64::new(1), AtomicU64::new(u64::MAX));
    let workers = std::thread::available_parallelism().map_or(1, usize::from);
    std::thread::scope(|scope| {
        let work = || loop {
            let seed = next.fetch_add(1, Ordering::Relaxed);
            if seed > seeds || broken.load(Ordering::Relaxed) < seed {
                return Ok::<(), String>(());
            }
            if !virtual_time::simulate(name, &with(seed), None)?.violations.is_empty() {
                broken.fetch_min(seed, Ordering::Relaxed);
            }
        };
        let started: Vec<_> = (0..workers).map(|_| scope.spawn(work)).collect();
        started.into_iter().try_for_each(|worker| worker.join().map_err(|_| "a play panicked".to_owned())?)
    })?;
    let seed = broken.into_inner();
    if seed <= seeds {
        let trial = with(seed);
        let report = virtual_time::simulate(name, &trial, None)?;
        let Some(law) = report.violations.first().map(|violation| violation.invariant) else {
            return Err(format!("seed {seed} broke a law and then did not: a fault of the player"));
        };
        print!("{}", report.text());
        let breaks = |smaller: &Scenario| {
            let played = virtual_time::simulate(name, smaller, None);
            played.is_ok_and(|report| report.violations.iter().any(|violation| violation.invariant == law))
        };
        let small = shrink::shrink(&trial, breaks);
        let text = toml::to_string(&small).map_err(|error| format!("schedule: {error}"))?;
        println!("the smallest schedule found that breaks it, {law}:\n\n{text}");
        if let Some(path) = keep {
            write(path, &text)?;
        }
        return Ok(ExitCode::FAILURE);
    }
    println!("{name}: {seeds} seeds, all laws kept");
    Ok(ExitCode::SUCCESS)
}
