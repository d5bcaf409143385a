//! The `merlinfold-lab` command.

use std::alloc::System;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::Duration;

use cap::Cap;
use clap::{Args, Parser, Subcommand};
use indicatif::{ProgressBar, ProgressStyle};
use merlinfold_lab::compare::paired;
use merlinfold_lab::process::NodeCommand;
use merlinfold_lab::runner::{Plan, RunOutcome};
use merlinfold_lab::{capacity, experiments, html, peer_faults, runner, scale, sim, trial};
use merlinfold_simulation::experiment::Experiment;
use tokio::signal::unix::{signal, SignalKind};

/// Counts what the process allocates, for the node that it may run as.
#[global_allocator]
static ALLOCATOR: Cap<System> = Cap::new(System, usize::MAX);

/// Runs experiments with traffic and faults against real nodes on loopback, and reports what was served and which
/// rules were kept.
#[derive(Debug, Parser)]
#[command(
    name = "merlinfold-lab",
    version,
    after_help = "Exit codes: 0 all rules kept, 1 a rule broken or the run failed, 2 usage, 3 void: the lab \
                  itself could not keep time."
)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Run a short experiment with a crash and a drain against three nodes; writes its page to the temporary folder.
    Demo(Common),
    /// Run one experiment.
    Run {
        /// Name of a built-in experiment, or a file.
        experiment: String,
        #[command(flatten)]
        common: Common,
        /// Run in virtual time, with the decision module instead of node processes: the same seed gives the same
        /// report.
        #[arg(long = "virtual", conflicts_with = "node")]
        in_virtual_time: bool,
        /// Write the report as JSON.
        #[arg(long, value_name = "FILE")]
        json: Option<PathBuf>,
        /// Write the report as an HTML page.
        #[arg(long, value_name = "FILE")]
        html: Option<PathBuf>,
        /// Keep the configurations and logs of the nodes in this folder.
        #[arg(long, value_name = "FOLDER")]
        logs: Option<PathBuf>,
    },
    /// Run two builds alternately on the same experiments and print the paired difference.
    Compare {
        /// Command of the first node; `own` for this build.
        a: String,
        /// Command of the second node.
        b: String,
        /// Experiments to run, by name or file.
        #[arg(long = "on", value_name = "EXPERIMENT", default_value = "calm")]
        experiments: Vec<String>,
        /// Number of seeds for each experiment: 1, 2, 3 ...
        #[arg(long, default_value_t = 3, value_parser = clap::value_parser!(u64).range(1..=100))]
        seeds: u64,
    },
    /// Measure the request rate that the lab can offer to one node without running late.
    Load(Common),
    /// Measure the processor time per request of a node and of a bare forwarder.
    Cost {
        #[command(flatten)]
        common: Common,
        /// Command to compare with; the default is the bare forwarder of this build.
        #[arg(long, value_name = "COMMAND")]
        against: Option<String>,
        /// Compare the node in a fleet with this many other members with the same node without a fleet.
        #[arg(long, value_name = "MEMBERS", conflicts_with = "against")]
        fleet: Option<usize>,
        /// Number of pairs to run.
        #[arg(long, default_value_t = 5, value_parser = clap::value_parser!(u64).range(1..=100))]
        pairs: u64,
    },
    /// Run trials: inject faults between many processes and check the invariants.
    Trial {
        #[command(subcommand)]
        command: trial::command::Command,
    },
    /// Measure the cost of a node's data plane by the size of the fleet, with fits and forecasts.
    Capacity {
        #[command(subcommand)]
        command: capacity::command::Command,
    },
    /// Measure the cost of each control role by the size of the fleet.
    Scale {
        #[command(subcommand)]
        command: scale::command::Command,
    },
    /// Run closed-loop clients against a node and against a bare forwarder.
    Closed(merlinfold_lab::closed::Closed),
    /// Play misbehaving clients and servers, drawn from a seed, against processes of one node with little memory.
    PeerFaults(peer_faults::command::PeerFaults),
    /// List the built-in experiments and their questions.
    List,
    /// Run this program as a node; the lab starts its nodes this way.
    #[command(hide = true)]
    Node {
        /// Configuration file of the product.
        #[arg(long)]
        config: Option<PathBuf>,
        /// Seed of a fault-injecting store for the node's files; a file beside its folder says which faults.
        #[arg(long)]
        store: Option<u64>,
    },
}

#[derive(Debug, Args)]
struct Common {
    /// Seed of all generated values; the default is the experiment's own.
    #[arg(long)]
    seed: Option<u64>,
    /// Command of a node; the default is this build's own node.
    #[arg(long, value_name = "COMMAND")]
    node: Option<String>,
}

/// Exit code of a run in which the lab itself was too late.
const EXIT_VOID: u8 = 3;

fn main() -> ExitCode {
    let cli = Cli::parse();
    // A node whose log cannot be written keeps running, as the product does.
    let log = tracing_subscriber::fmt().with_writer(std::io::stderr).log_internal_errors(false);
    log.with_ansi(false).with_target(false).init();
    let ended = match cli.command {
        Command::Node { config, store } => node(config.as_deref(), store).map(|()| ExitCode::SUCCESS),
        Command::List => experiments::BUILT_IN
            .iter()
            .try_for_each(|(name, _)| {
                experiments::find(name).map(|experiment| println!("{name:<30} {}", experiment.question))
            })
            .map(|()| ExitCode::SUCCESS),
        Command::Capacity { command } => capacity::command::execute(command),
        Command::PeerFaults(options) => peer_faults::command::execute(&options),
        other => runtime().and_then(|runtime| runtime.block_on(run_until_signal(other))),
    };
    ended.unwrap_or_else(|error| {
        eprintln!("merlinfold-lab: {error}");
        ExitCode::FAILURE
    })
}

fn node(config: Option<&Path>, store: Option<u64>) -> Result<(), String> {
    let fleet = match config {
        Some(path) => {
            let text =
                std::fs::read_to_string(path).map_err(|error| format!("{}: {error}", path.display()))?;
            let config: merlinfold_config::Config =
                merlinfold_config::parse(&text).map_err(|error| format!("{}:{error}", path.display()))?;
            config.fleet
        }
        None => None,
    };
    let disks = store.map(trial::faulty_disk::disks).unwrap_or_default();
    merlinfold_node::process::run(fleet, disks, || ALLOCATOR.allocated())
}

fn runtime() -> Result<tokio::runtime::Runtime, String> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    runtime.map_err(|error| format!("runtime: {error}"))
}

/// Runs a command until it ends or SIGINT or SIGTERM arrives. Everything that the command started ends with it.
async fn run_until_signal(command: Command) -> Result<ExitCode, String> {
    let cannot = |error| format!("signals: {error}");
    let mut interrupt = signal(SignalKind::interrupt()).map_err(cannot)?;
    let mut terminate = signal(SignalKind::terminate()).map_err(cannot)?;
    tokio::select! {
        ended = execute(command) => ended,
        _ = interrupt.recv() => Err("interrupted".to_owned()),
        _ = terminate.recv() => Err("terminated by SIGTERM".to_owned()),
    }
}

/// The node command that a user gave; without one, or with `own`, this build's own node.
fn node_command(words: Option<&str>) -> Result<NodeCommand, String> {
    match words {
        None | Some("own") => NodeCommand::own(),
        Some(words) => NodeCommand::of(words),
    }
}

async fn execute(command: Command) -> Result<ExitCode, String> {
    match command {
        Command::Demo(common) => {
            let page = std::env::temp_dir().join("merlinfold-lab-demo.html");
            let out = Out { html: Some(page), ..Out::default() };
            run("demo", &common, false, out).await
        }
        Command::Run { experiment, common, in_virtual_time, json, html, logs } => {
            run(&experiment, &common, in_virtual_time, Out { json, html, logs }).await
        }
        Command::Compare { a, b, experiments, seeds } => compare(&a, &b, &experiments, seeds).await,
        Command::Load(common) => load(&common).await,
        Command::Cost { common, fleet: Some(members), pairs, .. } => {
            let node = node_command(common.node.as_deref())?;
            let (members, joined) = trial::members::start(members, &node).await?;
            let ended = cost([joined, node], "in a fleet", "without", pairs).await;
            members.stop();
            ended
        }
        Command::Cost { common, against, pairs, .. } => {
            let own = std::env::current_exe()
                .map_err(|error| format!("cannot determine the path of this program: {error}"))?;
            let forwarder = own.with_file_name("merlinfold-lab-forwarder").display().to_string();
            let forwarder = NodeCommand::of(against.as_deref().unwrap_or(&forwarder))?;
            cost([node_command(common.node.as_deref())?, forwarder], "node", "forwarder", pairs).await
        }
        Command::Closed(closed) => merlinfold_lab::closed::run(&closed).await,
        Command::Scale { command } => scale::command::execute(command).await,
        Command::Trial { command } => trial::command::execute(command).await,
        Command::List | Command::Node { .. } | Command::Capacity { .. } | Command::PeerFaults(_) => {
            Ok(ExitCode::SUCCESS)
        }
    }
}

/// Files to which a report is written in addition to the terminal.
#[derive(Default)]
struct Out {
    json: Option<PathBuf>,
    html: Option<PathBuf>,
    logs: Option<PathBuf>,
}

/// Runs a plan with a progress bar, which is shown on a terminal only.
async fn run_with_progress(plan: Plan) -> Result<RunOutcome, String> {
    let bar = ProgressBar::new((plan.experiment.seconds * 1e3) as u64);
    if let Ok(style) = ProgressStyle::with_template("{msg} {wide_bar} {percent}%") {
        bar.set_style(style);
    }
    bar.set_message(format!("{} (seed {})", plan.name, plan.experiment.seed));
    let outcome = runner::run(plan, |passed: Duration| bar.set_position(passed.as_millis() as u64)).await;
    bar.finish_and_clear();
    outcome
}

async fn run(name: &str, common: &Common, in_virtual_time: bool, out: Out) -> Result<ExitCode, String> {
    let mut experiment = experiments::find(name)?;
    experiment.seed = common.seed.unwrap_or(experiment.seed);
    let RunOutcome { report, breaches, tails } = if in_virtual_time {
        let (report, breaches) = sim::run(name, &experiment)?;
        RunOutcome { report, breaches, tails: Vec::new() }
    } else {
        let nodes = node_command(common.node.as_deref())?;
        run_with_progress(Plan { name: name.to_owned(), experiment, nodes, logs: out.logs }).await?
    };
    println!("{name}: {} Seed {}, nodes: {}.", report.question, report.seed, report.nodes);
    print!("{}", report.table());
    let classes: Vec<String> = report.classes.iter().map(|(name, w)| format!("{name} {w:.3}")).collect();
    println!("worth served {:.3} ({})", report.whole.worth_served, classes.join(", "));
    for (node, used) in report.usage.iter().enumerate() {
        println!(
            "node {node}: {:.1} MB, {} descriptors, {:.2} s of processor",
            used.memory_mb, used.descriptors, used.cpu_s
        );
    }
    let [median, p99, most] = report.lab.lateness_ms;
    println!("the lab's own lateness: median {median:.2} ms, p99 {p99:.2} ms, most {most:.2} ms");
    tails.iter().for_each(|tail| println!("{tail}"));
    breaches.iter().for_each(|breach| println!("BROKEN {breach}"));
    let written = |path: &PathBuf, text: String| {
        std::fs::write(path, text).map_err(|error| format!("{}: {error}", path.display()))
    };
    if let Some(path) = out.json {
        let text = serde_json::to_string_pretty(&report).map_err(|error| format!("report: {error}"))?;
        written(&path, text)?;
    }
    if let Some(path) = out.html {
        written(&path, html::page(&report)?)?;
        println!("page: {}", path.display());
    }
    if let Some(void) = report.lab.void {
        println!("VOID {void}");
        return Ok(ExitCode::from(EXIT_VOID));
    }
    println!("{}", if breaches.is_empty() { "all rules kept" } else { "rules were broken" });
    Ok(if breaches.is_empty() { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}

/// Runs two builds with the same seeds and prints the differences of their served worth.
async fn compare(a: &str, b: &str, names: &[String], seeds: u64) -> Result<ExitCode, String> {
    let commands = [node_command(Some(a))?, node_command(Some(b))?];
    let (mut all, mut void) = (Vec::new(), 0);
    println!(
        "{:<30} {:>4}  {:>7} {:>7} {:>8}  {:>8} {:>8}  broken A B",
        "experiment", "seed", "A", "B", "B - A", "refused A", "refused B"
    );
    for name in names {
        let mut pairs = Vec::new();
        for seed in 1..=seeds {
            let mut both = Vec::new();
            // The order alternates with the seed, so that a machine that slows down over time favours neither.
            let order = if seed % 2 == 1 { [0, 1] } else { [1, 0] };
            for side in order {
                let mut experiment = experiments::find(name)?;
                experiment.seed = seed;
                let plan = Plan { name: name.clone(), experiment, nodes: commands[side].clone(), logs: None };
                let outcome = run_with_progress(plan).await?;
                both.push((side, outcome));
            }
            both.sort_by_key(|(side, _)| *side);
            let figures: Vec<_> = both.iter().map(|(_, outcome)| &outcome.report).collect();
            if figures.iter().any(|report| report.lab.void.is_some()) {
                println!("{name:<30} {seed:>4}  void");
                void += 1;
                continue;
            }
            let worth = (figures[0].whole.worth_served, figures[1].whole.worth_served);
            let refused =
                |n: usize| 100.0 * figures[n].whole.refused as f64 / figures[n].whole.asked.max(1) as f64;
            println!(
                "{name:<30} {seed:>4}  {:>7.3} {:>7.3} {:>+8.3}  {:>8.1}% {:>8.1}%  {} {}",
                worth.0,
                worth.1,
                worth.1 - worth.0,
                refused(0),
                refused(1),
                both[0].1.breaches.len(),
                both[1].1.breaches.len()
            );
            pairs.push(worth);
        }
        if let Some(of) = paired(&pairs) {
            println!(
                "{name:<30} B - A {:+.3}, deviation {:.3}, from {:+.3} to {:+.3}",
                of.mean, of.deviation, of.range.0, of.range.1
            );
        }
        all.extend(pairs);
    }
    if let Some(of) = paired(&all).filter(|_| names.len() > 1) {
        println!("all: B - A {:+.3}, deviation {:.3}", of.mean, of.deviation);
    }
    Ok(if void > 0 { ExitCode::from(EXIT_VOID) } else { ExitCode::SUCCESS })
}

/// Maximum lateness at the 99th percentile, in milliseconds, at which a rate counts as offered.
const MAX_LATENESS_MS: f64 = 1.0;
/// Rates to measure, in requests per second.
const RATES: [f64; 9] = [500.0, 1_000.0, 2_000.0, 3_000.0, 4_000.0, 6_000.0, 8_000.0, 12_000.0, 16_000.0];

/// An experiment without faults at `rate` requests per second, whose servers have enough cores and slots to
/// answer all requests in parallel.
fn fault_free(rate: f64, seconds: f64) -> Result<Experiment, String> {
    let mut experiment = experiments::find("calm")?;
    (experiment.nodes.count, experiment.nodes.sockets, experiment.nodes.memory_mb, experiment.seconds) =
        (1, 4_096, 192.0, seconds);
    experiment.load.swing = 0.0;
    for kind in &mut experiment.fleet.kinds {
        (kind.build.cores, kind.build.slots, kind.build.choke) = (256.0, 256, 0.0);
    }
    experiment.load.of_capacity *= rate / experiment.mean_requests_per_second();
    experiment.rules.served = 0.0;
    Ok(experiment)
}

/// Raises the rate until the lab runs late, and prints the highest rate that it could offer.
async fn load(common: &Common) -> Result<ExitCode, String> {
    println!(
        "{:>8} {:>10} {:>10} {:>8} {:>10} {:>12}",
        "rate", "late p99", "late most", "served", "node cpu", "latency p99"
    );
    let mut best = None;
    for rate in RATES {
        let mut experiment = fault_free(rate, 4.0)?;
        experiment.seed = common.seed.unwrap_or(experiment.seed);
        let nodes = node_command(common.node.as_deref())?;
        let outcome =
            run_with_progress(Plan { name: format!("{rate}/s"), experiment, nodes, logs: None }).await?;
        let report = outcome.report;
        let [_, p99, most] = report.lab.lateness_ms;
        let cpu = report.usage.first().map_or(0.0, |used| used.cpu_s) / 4.0;
        println!(
            "{rate:>8} {p99:>7.2} ms {most:>7.2} ms {:>7.1}% {:>9.0}% {:>9.1} ms",
            100.0 * report.whole.served as f64 / report.whole.asked.max(1) as f64,
            100.0 * cpu,
            report.whole.latency_ms[2],
        );
        if p99 > MAX_LATENESS_MS {
            break;
        }
        best = Some(rate);
    }
    match best {
        Some(rate) => {
            println!(
                "offered with a lateness of at most {MAX_LATENESS_MS} ms at the 99th percentile: {rate}/s"
            )
        }
        None => println!("not even the least rate was offered in time"),
    }
    Ok(ExitCode::SUCCESS)
}

/// Runs pairs of nodes with the same seeds and prints the ratio of their processor time per served request.
async fn cost(
    commands: [NodeCommand; 2], first_name: &str, second_name: &str, pairs: u64,
) -> Result<ExitCode, String> {
    let mut ratios = Vec::new();
    println!(
        "{:>4} {:>18} {:>18} {:>7}  memory, MB",
        "seed",
        format!("{first_name}, us/req"),
        format!("{second_name}, us/req"),
        "ratio"
    );
    for seed in 1..=pairs {
        let (mut figures, mut memory) = ([0.0; 2], [0.0; 2]);
        let mut experiment = fault_free(1_500.0, 6.0)?;
        experiment.seed = seed;
        let plan = |side: usize| {
            let name = format!("pair {seed}");
            Plan { name, experiment: experiment.clone(), nodes: commands[side].clone(), logs: None }
        };
        // Both sides run at the same time, so that other load on the machine and its clock speed affect both alike.
        let (first, second) = if seed % 2 == 1 { (0, 1) } else { (1, 0) };
        let (outcome, second_outcome) =
            tokio::join!(run_with_progress(plan(first)), run_with_progress(plan(second)));
        for (side, outcome) in [(first, outcome?), (second, second_outcome?)] {
            let served = outcome.report.whole.served.max(1) as f64;
            let used = outcome.report.usage.first().cloned().unwrap_or_default();
            (figures[side], memory[side]) = (used.cpu_s * 1e6 / served, used.memory_mb);
        }
        let ratio = figures[0] / figures[1];
        println!(
            "{seed:>4} {:>18.1} {:>18.1} {ratio:>7.3}  {:.1} {:.1}",
            figures[0], figures[1], memory[0], memory[1]
        );
        ratios.push(ratio);
    }
    ratios.sort_by(f64::total_cmp);
    println!(
        "processor time of a served request, {first_name} over {second_name}: median {:.3}, from {:.3} to {:.3}",
        ratios[ratios.len() / 2],
        ratios[0],
        ratios[ratios.len() - 1]
    );
    Ok(ExitCode::SUCCESS)
}
