//! The `merlinfold-lab` command.

use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::Duration;

use clap::{Args, Parser, Subcommand};
use indicatif::{ProgressBar, ProgressStyle};
use merlinfold_lab::compare::paired;
use merlinfold_lab::play::{play, Plan, Played};
use merlinfold_lab::process::NodeCommand;
use merlinfold_lab::{capacity, experiments, html, scale, sim, trial};
use merlinfold_simulation::experiment::Experiment;
use tokio::signal::unix::{signal, SignalKind};

/// Plays days of traffic and trouble against real nodes on loopback, and says what was served and which
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
    /// A short day with a crash and a drain against three nodes; leaves its page in the temporary folder.
    Demo(Common),
    /// Play one experiment.
    Run {
        /// The name of a kept experiment, or a file.
        experiment: String,
        #[command(flatten)]
        common: Common,
        /// In virtual time, with the decision module itself instead of node processes: the same seed gives
        /// the same report.
        #[arg(long = "virtual", conflicts_with = "node")]
        in_virtual_time: bool,
        /// Write the report as JSON.
        #[arg(long, value_name = "FILE")]
        json: Option<PathBuf>,
        /// Write the report as one page.
        #[arg(long, value_name = "FILE")]
        html: Option<PathBuf>,
        /// Keep the configurations and logs of the nodes in this folder.
        #[arg(long, value_name = "FOLDER")]
        logs: Option<PathBuf>,
    },
    /// Play two builds in turn on the same days and print the paired difference.
    Compare {
        /// Command of the first node; `own` for this build.
        a: String,
        /// Command of the second.
        b: String,
        /// Experiments to play, by name or file.
        #[arg(long = "on", value_name = "EXPERIMENT", default_value = "calm")]
        experiments: Vec<String>,
        /// Seeds to play of each: 1, 2, 3 ...
        #[arg(long, default_value_t = 3, value_parser = clap::value_parser!(u64).range(1..=100))]
        seeds: u64,
    },
    /// Measure how many requests a second the lab can offer to one node while it keeps time.
    Load(Common),
    /// Measure the processor time of a node for each request beside that of a bare forwarder, in turn.
    Cost {
        #[command(flatten)]
        common: Common,
        /// Command of what decides nothing; else the bare forwarder of this build.
        #[arg(long, value_name = "COMMAND")]
        against: Option<String>,
        /// Instead: the node in a fleet with so many other members beside the same node without a fleet.
        #[arg(long, value_name = "MEMBERS", conflicts_with = "against")]
        fleet: Option<usize>,
        /// Pairs to play.
        #[arg(long, default_value_t = 5, value_parser = clap::value_parser!(u64).range(1..=100))]
        pairs: u64,
    },
    /// Play trials: what fails between many processes, and the laws that hold all the while.
    Trial {
        #[command(subcommand)]
        command: trial::command::Command,
    },
    /// Measure what a node's data plane costs by the size of the fleet, with fits and their forecasts.
    Capacity {
        #[command(subcommand)]
        command: capacity::command::Command,
    },
    /// Measure what each control role costs by the size of the fleet.
    Scale {
        #[command(subcommand)]
        command: scale::command::Command,
    },
    /// Let clients ask again as soon as they are answered or refused, beside a bare forwarder.
    Closed(merlinfold_lab::closed::Closed),
    /// List the kept experiments and what they ask.
    List,
    /// This program as a node, which is what the lab starts.
    #[command(hide = true)]
    Node {
        /// The product's own configuration.
        #[arg(long)]
        config: Option<PathBuf>,
        /// Its files are on a store that does what is written beside its folder, drawn from this seed.
        #[arg(long)]
        store: Option<u64>,
    },
}

#[derive(Debug, Args)]
struct Common {
    /// Seed of all that is drawn; else the experiment's own.
    #[arg(long)]
    seed: Option<u64>,
    /// Command of a node; else this build's own.
    #[arg(long, value_name = "COMMAND")]
    node: Option<String>,
}

/// Exit code of a run that the lab could not keep time for.
const VOID: u8 = 3;

fn main() -> ExitCode {
    let cli = Cli::parse();
    // A node whose log cannot be written goes on all the same, as the product does.
    let log = tracing_subscriber::fmt().with_writer(std::io::stderr).log_internal_errors(false);
    log.with_ansi(false).with_target(false).init();
    let ended = match cli.command {
        Command::Node { config, store } => node(config.as_deref(), store).map(|()| ExitCode::SUCCESS),
        Command::List => experiments::KEPT
            .iter()
            .try_for_each(|(name, _)| {
                experiments::find(name).map(|day| println!("{name:<30} {}", day.question))
            })
            .map(|()| ExitCode::SUCCESS),
        Command::Capacity { command } => capacity::command::execute(command),
        other => runtime().and_then(|runtime| runtime.block_on(until_ended(other))),
    };
    ended.unwrap_or_else(|fault| {
        eprintln!("merlinfold-lab: {fault}");
        ExitCode::FAILURE
    })
}

fn node(config: Option<&Path>, store: Option<u64>) -> Result<(), String> {
    let fleet = match config {
        Some(path) => {
            let text =
                std::fs::read_to_string(path).map_err(|error| format!("{}: {error}", path.display()))?;
            let config: merlinfold_config::Config =
                merlinfold_config::parse(&text).map_err(|fault| format!("{}:{fault}", path.display()))?;
            config.fleet
        }
        None => None,
    };
    merlinfold_node::process::run(fleet, store.map(trial::faulty_disk::disks).unwrap_or_default())
}

fn runtime() -> Result<tokio::runtime::Runtime, String> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    runtime.map_err(|error| format!("runtime: {error}"))
}

/// A signal ends the run; whatever was started ends with it.
async fn until_ended(command: Command) -> Result<ExitCode, String> {
    let cannot = |error| format!("signals: {error}");
    let mut interrupt = signal(SignalKind::interrupt()).map_err(cannot)?;
    let mut terminate = signal(SignalKind::terminate()).map_err(cannot)?;
    tokio::select! {
        ended = carry_out(command) => ended,
        _ = interrupt.recv() => Err("interrupted".to_owned()),
        _ = terminate.recv() => Err("told to end".to_owned()),
    }
}

fn command(words: Option<&str>) -> Result<NodeCommand, String> {
    match words {
        None | Some("own") => NodeCommand::own(),
        Some(words) => NodeCommand::of(words),
    }
}

async fn carry_out(told: Command) -> Result<ExitCode, String> {
    match told {
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
            let node = command(common.node.as_deref())?;
            let (members, joined) = trial::members::start(members, &node).await?;
            let ended = cost([joined, node], "in a fleet", "without", pairs).await;
            members.stop();
            ended
        }
        Command::Cost { common, against, pairs, .. } => {
            let own =
                std::env::current_exe().map_err(|error| format!("cannot name this program: {error}"))?;
            let bare = own.with_file_name("merlinfold-lab-forwarder").display().to_string();
            let bare = NodeCommand::of(against.as_deref().unwrap_or(&bare))?;
            cost([command(common.node.as_deref())?, bare], "node", "forwarder", pairs).await
        }
        Command::Closed(closed) => merlinfold_lab::closed::run(&closed).await,
        Command::Scale { command } => scale::command::execute(command).await,
        Command::Trial { command } => trial::command::execute(command).await,
        Command::List | Command::Node { .. } | Command::Capacity { .. } => Ok(ExitCode::SUCCESS),
    }
}

/// Where a report goes besides the terminal.
#[derive(Default)]
struct Out {
    json: Option<PathBuf>,
    html: Option<PathBuf>,
    logs: Option<PathBuf>,
}

async fn one(plan: Plan) -> Result<Played, String> {
    // Drawn on a terminal only.
    let bar = ProgressBar::new((plan.day.seconds * 1e3) as u64);
    if let Ok(style) = ProgressStyle::with_template("{msg} {wide_bar} {percent}%") {
        bar.set_style(style);
    }
    bar.set_message(format!("{} (seed {})", plan.name, plan.day.seed));
    let played = play(plan, |passed: Duration| bar.set_position(passed.as_millis() as u64)).await;
    bar.finish_and_clear();
    played
}

async fn run(name: &str, common: &Common, in_virtual_time: bool, out: Out) -> Result<ExitCode, String> {
    let mut day = experiments::find(name)?;
    day.seed = common.seed.unwrap_or(day.seed);
    let Played { report, breaches, tails } = if in_virtual_time {
        let (report, breaches) = sim::play(name, &day)?;
        Played { report, breaches, tails: Vec::new() }
    } else {
        let nodes = command(common.node.as_deref())?;
        one(Plan { name: name.to_owned(), day, nodes, logs: out.logs }).await?
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
        return Ok(ExitCode::from(VOID));
    }
    println!("{}", if breaches.is_empty() { "all rules kept" } else { "rules were broken" });
    Ok(if breaches.is_empty() { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}

async fn compare(a: &str, b: &str, names: &[String], seeds: u64) -> Result<ExitCode, String> {
    let commands = [command(Some(a))?, command(Some(b))?];
    let (mut all, mut void) = (Vec::new(), 0);
    println!(
        "{:<30} {:>4}  {:>7} {:>7} {:>8}  {:>8} {:>8}  broken A B",
        "experiment", "seed", "A", "B", "B - A", "refused A", "refused B"
    );
    for name in names {
        let mut pairs = Vec::new();
        for seed in 1..=seeds {
            let mut both = Vec::new();
            // Which goes first changes with the seed, so that a machine that tires favours neither.
            let order = if seed % 2 == 1 { [0, 1] } else { [1, 0] };
            for side in order {
                let mut day = experiments::find(name)?;
                day.seed = seed;
                let plan = Plan { name: name.clone(), day, nodes: commands[side].clone(), logs: None };
                let played = one(plan).await?;
                both.push((side, played));
            }
            both.sort_by_key(|(side, _)| *side);
            let figures: Vec<_> = both.iter().map(|(_, played)| &played.report).collect();
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
    Ok(if void > 0 { ExitCode::from(VOID) } else { ExitCode::SUCCESS })
}

/// Lateness at the 99th percentile up to which a rate counts as offered.
const OFFERED_MS: f64 = 1.0;
/// Rates that are tried, in requests a second.
const RATES: [f64; 9] = [500.0, 1_000.0, 2_000.0, 3_000.0, 4_000.0, 6_000.0, 8_000.0, 12_000.0, 16_000.0];

/// A day without trouble on which servers answer in parallel, at so many requests a second.
fn plain(rate: f64, seconds: f64) -> Result<Experiment, String> {
    let mut day = experiments::find("calm")?;
    (day.nodes.count, day.nodes.sockets, day.nodes.memory_mb, day.seconds) = (1, 4_096, 192.0, seconds);
    day.load.swing = 0.0;
    for kind in &mut day.fleet.kinds {
        (kind.build.cores, kind.build.slots, kind.build.choke) = (256.0, 256, 0.0);
    }
    day.load.of_capacity *= rate / day.mean_requests_per_second();
    day.rules.served = 0.0;
    Ok(day)
}

async fn load(common: &Common) -> Result<ExitCode, String> {
    println!(
        "{:>8} {:>10} {:>10} {:>8} {:>10} {:>12}",
        "rate", "late p99", "late most", "served", "node cpu", "latency p99"
    );
    let mut best = None;
    for rate in RATES {
        let mut day = plain(rate, 4.0)?;
        day.seed = common.seed.unwrap_or(day.seed);
        let nodes = command(common.node.as_deref())?;
        let played = one(Plan { name: format!("{rate}/s"), day, nodes, logs: None }).await?;
        let report = played.report;
        let [_, p99, most] = report.lab.lateness_ms;
        let cpu = report.usage.first().map_or(0.0, |used| used.cpu_s) / 4.0;
        println!(
            "{rate:>8} {p99:>7.2} ms {most:>7.2} ms {:>7.1}% {:>9.0}% {:>9.1} ms",
            100.0 * report.whole.served as f64 / report.whole.asked.max(1) as f64,
            100.0 * cpu,
            report.whole.latency_ms[2],
        );
        if p99 > OFFERED_MS {
            break;
        }
        best = Some(rate);
    }
    match best {
        Some(rate) => {
            println!("offered with a lateness of at most {OFFERED_MS} ms at the 99th percentile: {rate}/s")
        }
        None => println!("not even the least rate was offered in time"),
    }
    Ok(ExitCode::SUCCESS)
}

async fn cost(
    commands: [NodeCommand; 2], one_is: &str, other_is: &str, pairs: u64,
) -> Result<ExitCode, String> {
    let mut ratios = Vec::new();
    println!(
        "{:>4} {:>18} {:>18} {:>7}  memory, MB",
        "seed",
        format!("{one_is}, us/req"),
        format!("{other_is}, us/req"),
        "ratio"
    );
    for seed in 1..=pairs {
        let (mut figures, mut memory) = ([0.0; 2], [0.0; 2]);
        let mut day = plain(1_500.0, 6.0)?;
        day.seed = seed;
        let plan = |side: usize| {
            let name = format!("pair {seed}");
            Plan { name, day: day.clone(), nodes: commands[side].clone(), logs: None }
        };
        // Side by side: whatever else the machine does, and however fast it runs just then, both have the same of it.
        let (first, second) = if seed % 2 == 1 { (0, 1) } else { (1, 0) };
        let (played, others) = tokio::join!(one(plan(first)), one(plan(second)));
        for (side, played) in [(first, played?), (second, others?)] {
            let served = played.report.whole.served.max(1) as f64;
            let used = played.report.usage.first().cloned().unwrap_or_default();
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
        "processor time of a served request, {one_is} over {other_is}: median {:.3}, from {:.3} to {:.3}",
        ratios[ratios.len() / 2],
        ratios[0],
        ratios[ratios.len() - 1]
    );
    Ok(ExitCode::SUCCESS)
}
