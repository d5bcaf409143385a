//! The command line: the one source of help, completions and manual.

use std::net::SocketAddr;
use std::path::PathBuf;

use clap::{Parser, Subcommand};
use clap_complete::Shell;

/// A load-balancing node for fleets of HTTP servers, by Koole's myopic static assignment.
///
/// Without a subcommand it is `merlinfold node`.
#[derive(Debug, Parser)]
#[command(name = "merlinfold", version, after_help = "Exit codes: 0 done, 1 failed or invalid, 2 usage.")]
pub struct Cli {
    #[command(subcommand)]
    pub command: Option<Command>,
}

#[derive(Debug, Subcommand)]
pub enum Command {
    /// Serve until SIGTERM; SIGHUP reads the platform's configuration again.
    ///
    /// What the platform tells a node stands in the JSON file that BALANCER_CONFIG names.
    Node {
        /// The product's own configuration; the defaults hold without it.
        #[arg(long, value_name = "FILE")]
        config: Option<PathBuf>,
    },
    /// Say what is wrong with a configuration: file, line, field and fault.
    ///
    /// A name that ends in .json is read as the platform's configuration of a node, any other as
    /// merlinfold.toml.
    Check {
        /// What to check.
        #[arg(required = true, value_name = "FILE")]
        files: Vec<PathBuf>,
    },
    /// Ask a running node about its fleet.
    Fleet {
        #[command(subcommand)]
        ask: Ask,
    },
    /// Print completions for a shell.
    Completions {
        /// Which one.
        shell: Shell,
    },
    /// Print the manual page, for man(1).
    Manual,
}

/// What to ask.
#[derive(Debug, Subcommand)]
pub enum Ask {
    /// Who is there, as this one node sees it; another's view may differ.
    Members {
        /// The node's console; else the one that BALANCER_CONSOLE names.
        #[arg(long, value_name = "ADDRESS")]
        console: Option<SocketAddr>,
        /// As JSON, with the version of its form.
        #[arg(long)]
        json: bool,
    },
}
