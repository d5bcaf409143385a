//! The command `merlinfold-lab scale`.

use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::Duration;

use clap::{Args, Subcommand};

use super::report::Sweep;
use super::sweep::{sweep, Role};
use super::{catch_up, faults, hollow, list, proof, relays, simulated};

const MAX_NODES: i64 = 2_000;
const DEFAULT_SIZES: &str = "100,200,400,820";

/// Subcommands of `scale`.
#[derive(Debug, Subcommand)]
pub enum Command {
    /// The membership of hollow nodes on sockets.
    Membership(Sizes),
    /// A voter of the replicated log, with its membership.
    LogVoter(Sizes),
    /// A node that follows the replicated log, with its membership.
    LogFollower(Sizes),
    /// Both roles of the replicated log from the same runs; writes `log-voter.json` and `log-follower.json`.
    Log(Sizes),
    /// The membership state machine alone, in virtual time.
    Machine {
        /// Sizes and output.
        #[command(flatten)]
        sizes: Sizes,
        /// Seed of all random choices.
        #[arg(long, default_value_t = 1)]
        seed: u64,
    },
    /// A node that restarts without stored data, by the number of log values that it must fetch.
    CatchUp {
        /// Numbers of values to run; all but the largest are fitted.
        #[arg(long, value_delimiter = ',', default_value = "256,512,1024,2048")]
        sizes: Vec<usize>,
        /// Write the table as JSON into this folder.
        #[arg(long, value_name = "FOLDER")]
        json: Option<PathBuf>,
    },
    /// Reading a server list, by its length.
    List {
        /// Lengths to read; all but the largest are fitted.
        #[arg(long, value_delimiter = ',', default_value = "200,1000,4000,8000")]
        sizes: Vec<usize>,
        /// Write the table as JSON into this folder.
        #[arg(long, value_name = "FOLDER")]
        json: Option<PathBuf>,
    },
    /// A fault in a fleet of hollow nodes: the worst ten seconds, and the time until all nodes agree on who is alive.
    Fault {
        /// What fails.
        fault: faults::Fault,
        /// Number of nodes in the fleet.
        #[arg(long, default_value_t = 820, value_parser = clap::value_parser!(u32).range(20..=MAX_NODES))]
        nodes: u32,
        /// Seconds for which regions are separated.
        #[arg(long, default_value_t = 60, value_parser = clap::value_parser!(u64).range(1..=3_600))]
        apart: u64,
        /// Write the report as JSON to this file.
        #[arg(long, value_name = "FILE")]
        json: Option<PathBuf>,
    },
    /// Compare hollow and real nodes of one fleet by bytes, processor time and memory.
    Proof {
        /// Number of hollow nodes in the fleet.
        #[arg(long, default_value_t = 40)]
        hollow: usize,
        /// Number of real nodes in the fleet; as many run without a fleet.
        #[arg(long, default_value_t = 40, value_parser = clap::value_parser!(u8).range(1..=100))]
        real: u8,
        /// Duration of the measurement, s.
        #[arg(long, default_value_t = 60, value_parser = clap::value_parser!(u64).range(2..=600))]
        seconds: u64,
        /// Write the report as JSON to this file.
        #[arg(long, value_name = "FILE")]
        json: Option<PathBuf>,
    },
    /// A process of hollow nodes; started by the other commands.
    #[command(hide = true)]
    Hollow,
    /// A process of relays between hollow nodes; started by the other commands.
    #[command(hide = true)]
    Relays,
}

/// Sizes, duration and output of a sweep.
#[derive(Debug, Args)]
pub struct Sizes {
    /// Sizes to run; all but the largest are fitted.
    #[arg(long, value_delimiter = ',', default_value = DEFAULT_SIZES, value_parser = clap::value_parser!(u32).range(2..=MAX_NODES))]
    sizes: Vec<u32>,
    /// Duration of the measurement at each size, s.
    #[arg(long, default_value_t = 30, value_parser = clap::value_parser!(u64).range(2..=600))]
    seconds: u64,
    /// Time between two proposals to the replicated log, ms; 0: none. A usual day has 1,300 proposals,
    /// far fewer than the default.
    #[arg(long, default_value_t = 250)]
    propose_every_ms: u64,
    /// Write the tables as JSON into this folder, one file per role.
    #[arg(long, value_name = "FOLDER")]
    json: Option<PathBuf>,
}

impl Sizes {
    fn sizes(&self) -> Vec<usize> {
        self.sizes.iter().map(|size| *size as usize).collect()
    }
}

/// Prints the tables, and writes them to `folder` if there is one.
fn output(sweeps: &[Sweep], folder: Option<&Path>) -> Result<(), String> {
    for sweep in sweeps {
        println!("{}", sweep.table());
        if let Some(folder) = folder {
            sweep.write(&folder.join(format!("{}.json", sweep.role)))?;
        }
    }
    Ok(())
}

/// Executes the command.
pub async fn execute(command: Command) -> Result<ExitCode, String> {
    match command {
        Command::Membership(sizes) => hollow_sweep(&[Role::Membership], &sizes).await?,
        Command::LogVoter(sizes) => hollow_sweep(&[Role::LogVoter], &sizes).await?,
        Command::LogFollower(sizes) => hollow_sweep(&[Role::LogFollower], &sizes).await?,
        Command::Log(sizes) => hollow_sweep(&[Role::LogVoter, Role::LogFollower], &sizes).await?,
        Command::Machine { sizes, seed } => {
            let swept = simulated::sweep(&sizes.sizes(), sizes.seconds, seed);
            output(&[swept], sizes.json.as_deref())?;
        }
        Command::CatchUp { sizes, json } => output(&[catch_up::sweep(&sizes).await?], json.as_deref())?,
        Command::List { sizes, json } => output(&[list::sweep(&sizes)?], json.as_deref())?,
        Command::Fault { fault, nodes, apart, json } => {
            faults::run(fault, nodes as usize, Duration::from_secs(apart), json.as_deref()).await?;
        }
        Command::Proof { hollow, real, seconds, json } => {
            proof::run(hollow, usize::from(real), seconds, json.as_deref()).await?;
        }
        Command::Hollow => hollow::run().await?,
        Command::Relays => relays::run().await?,
    }
    Ok(ExitCode::SUCCESS)
}

async fn hollow_sweep(roles: &[Role], sizes: &Sizes) -> Result<(), String> {
    output(&sweep(roles, &sizes.sizes(), sizes.seconds, sizes.propose_every_ms).await?, sizes.json.as_deref())
}
