//! `merlinfold-lab scale`.

use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::Duration;

use clap::{Args, Subcommand};

use super::report::Sweep;
use super::sweep::{sweep, Role};
use super::{catch_up, faults, hollow, list, proof, relays, simulated};

const NODES_MAX: i64 = 2_000;
const SIZES: &str = "100,200,400,820";

/// What to measure.
#[derive(Debug, Subcommand)]
pub enum Command {
    /// The membership of hollow nodes on sockets.
    Membership(Sizes),
    /// A voter of the agreed log, with its membership.
    LogVoter(Sizes),
    /// A node that follows the agreed log, with its membership.
    LogFollower(Sizes),
    /// Both roles of the agreed log from the same runs; writes `log-voter.json` and `log-follower.json`.
    Log(Sizes),
    /// The membership machine alone, in virtual time.
    Machine {
        /// Sizes and output.
        #[command(flatten)]
        sizes: Sizes,
        /// Seed of all that is drawn.
        #[arg(long, default_value_t = 1)]
        seed: u64,
    },
    /// A node that comes back with nothing, by the number of agreed values that it has to fetch.
    CatchUp {
        /// Numbers of values to play; all but the largest are fitted.
        #[arg(long, value_delimiter = ',', default_value = "256,512,1024,2048")]
        sizes: Vec<usize>,
        /// Write the table as JSON into this folder.
        #[arg(long, value_name = "FOLDER")]
        json: Option<PathBuf>,
    },
    /// Taking a server list, by its length.
    List {
        /// Lengths to read; all but the largest are fitted.
        #[arg(long, value_delimiter = ',', default_value = "200,1000,4000,8000")]
        sizes: Vec<usize>,
        /// Write the table as JSON into this folder.
        #[arg(long, value_name = "FOLDER")]
        json: Option<PathBuf>,
    },
    /// A fault in a fleet of hollow nodes: the worst ten seconds and the time to one view.
    Fault {
        /// What fails.
        fault: faults::Fault,
        /// Nodes of the fleet.
        #[arg(long, default_value_t = 820, value_parser = clap::value_parser!(u32).range(20..=NODES_MAX))]
        nodes: u32,
        /// Seconds that regions are apart.
        #[arg(long, default_value_t = 60, value_parser = clap::value_parser!(u64).range(1..=3_600))]
        apart: u64,
        /// Write what was found as JSON into this file.
        #[arg(long, value_name = "FILE")]
        json: Option<PathBuf>,
    },
    /// Hollow nodes beside real ones in one fleet: bytes, processor time and memory of both.
    Proof {
        /// Hollow nodes of the fleet.
        #[arg(long, default_value_t = 40)]
        hollow: usize,
        /// Real nodes of it, and as many outside of any fleet.
        #[arg(long, default_value_t = 40, value_parser = clap::value_parser!(u8).range(1..=100))]
        real: u8,
        /// Seconds that are measured.
        #[arg(long, default_value_t = 60, value_parser = clap::value_parser!(u64).range(2..=600))]
        seconds: u64,
        /// Write what was found as JSON into this file.
        #[arg(long, value_name = "FILE")]
        json: Option<PathBuf>,
    },
    /// A process of hollow nodes, which the other commands start.
    #[command(hide = true)]
    Hollow,
    /// A process of relays between hollow nodes, likewise.
    #[command(hide = true)]
    Relays,
}

/// The sizes of a sweep and where it goes.
#[derive(Debug, Args)]
pub struct Sizes {
    /// Sizes to play; all but the largest are fitted.
    #[arg(long, value_delimiter = ',', default_value = SIZES, value_parser = clap::value_parser!(u32).range(2..=NODES_MAX))]
    sizes: Vec<u32>,
    /// Seconds that are measured at each.
    #[arg(long, default_value_t = 30, value_parser = clap::value_parser!(u64).range(2..=600))]
    seconds: u64,
    /// Time between two proposals to the agreed log, ms; 0: none. The default is far above an ordinary day's 1,300.
    #[arg(long, default_value_t = 250)]
    propose_every_ms: u64,
    /// Write the tables as JSON into this folder, a file a role.
    #[arg(long, value_name = "FOLDER")]
    json: Option<PathBuf>,
}

impl Sizes {
    fn sizes(&self) -> Vec<usize> {
        self.sizes.iter().map(|size| *size as usize).collect()
    }
}

/// Prints the tables and writes them where they are wanted.
fn tell(sweeps: &[Sweep], folder: Option<&Path>) -> Result<(), String> {
    for sweep in sweeps {
        println!("{}", sweep.table());
        if let Some(folder) = folder {
            sweep.write(&folder.join(format!("{}.json", sweep.role)))?;
        }
    }
    Ok(())
}

/// Carries it out.
pub async fn carry_out(command: Command) -> Result<ExitCode, String> {
    match command {
        Command::Membership(sizes) => hollow_sweep(&[Role::Membership], &sizes).await?,
        Command::LogVoter(sizes) => hollow_sweep(&[Role::LogVoter], &sizes).await?,
        Command::LogFollower(sizes) => hollow_sweep(&[Role::LogFollower], &sizes).await?,
        Command::Log(sizes) => hollow_sweep(&[Role::LogVoter, Role::LogFollower], &sizes).await?,
        Command::Machine { sizes, seed } => {
            let swept = simulated::sweep(&sizes.sizes(), sizes.seconds, seed);
            tell(&[swept], sizes.json.as_deref())?;
        }
        Command::CatchUp { sizes, json } => tell(&[catch_up::sweep(&sizes).await?], json.as_deref())?,
        Command::List { sizes, json } => tell(&[list::sweep(&sizes)?], json.as_deref())?,
        Command::Fault { fault, nodes, apart, json } => {
            faults::play(fault, nodes as usize, Duration::from_secs(apart), json.as_deref()).await?;
        }
        Command::Proof { hollow, real, seconds, json } => {
            proof::play(hollow, usize::from(real), seconds, json.as_deref()).await?;
        }
        Command::Hollow => hollow::run().await?,
        Command::Relays => relays::run().await?,
    }
    Ok(ExitCode::SUCCESS)
}

async fn hollow_sweep(roles: &[Role], sizes: &Sizes) -> Result<(), String> {
    tell(&sweep(roles, &sizes.sizes(), sizes.seconds, sizes.propose_every_ms).await?, sizes.json.as_deref())
}
