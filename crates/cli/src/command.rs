//! The command line; help, completions and manual are generated from it.

use std::net::SocketAddr;
use std::path::PathBuf;

use clap::{Parser, Subcommand};
use clap_complete::Shell;

/// A load-balancing node for fleets of HTTP servers, by Koole's myopic static assignment.
///
/// Without a subcommand it runs `merlinfold node`.
#[derive(Debug, Parser)]
#[command(
    name = "merlinfold",
    version,
    after_help = "Exit codes: 0 success, 1 failure or invalid file, 2 wrong usage."
)]
pub struct Cli {
    #[command(subcommand)]
    pub command: Option<Command>,
}

#[derive(Debug, Subcommand)]
pub enum Command {
    /// Run a node until SIGTERM; SIGHUP reloads the platform's configuration.
    ///
    /// The environment variable BALANCER_CONFIG names the JSON file with the platform's configuration of the node.
    Node {
        /// The node's own configuration, merlinfold.toml; without it the defaults apply.
        #[arg(long, value_name = "FILE")]
        config: Option<PathBuf>,
    },
    /// Validate configuration files; each error names the file, the line and the field.
    ///
    /// A file whose name ends in .json is read as the platform's configuration of a node, any other file as
    /// merlinfold.toml.
    Check {
        /// Files to validate.
        #[arg(required = true, value_name = "FILE")]
        files: Vec<PathBuf>,
    },
    /// Query a running node about its fleet.
    Fleet {
        #[command(subcommand)]
        query: FleetQuery,
    },
    /// Print the completion script for a shell.
    Completions {
        /// The shell.
        shell: Shell,
    },
    /// Print the manual page, for man(1).
    Manual,
}

/// A query about the fleet.
#[derive(Debug, Subcommand)]
pub enum FleetQuery {
    /// List the members as this node sees them; the view of another node may differ.
    Members {
        /// Address of the node's console [default: the value of BALANCER_CONSOLE].
        #[arg(long, value_name = "ADDRESS")]
        console: Option<SocketAddr>,
        /// Print JSON, with the version of its schema.
        #[arg(long)]
        json: bool,
    },
}
