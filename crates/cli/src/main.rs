//! The `merlinfold` command. Without arguments it runs a node, as the platform starts it.

mod check;
mod command;
mod fleet;
mod log;
mod serve;

use std::process::ExitCode;

use clap::{CommandFactory, Parser};

use crate::command::{Cli, Command, FleetQuery};

fn main() -> ExitCode {
    let result = match Cli::parse().command {
        None => serve::node(None),
        Some(Command::Node { config }) => serve::node(config.as_deref()),
        Some(Command::Check { files }) => check::files(&files),
        Some(Command::Fleet { query: FleetQuery::Members { console, json } }) => {
            fleet::members(console, json)
        }
        Some(Command::Completions { shell }) => {
            clap_complete::generate(shell, &mut Cli::command(), "merlinfold", &mut std::io::stdout());
            Ok(())
        }
        Some(Command::Manual) => clap_mangen::Man::new(Cli::command())
            .render(&mut std::io::stdout())
            .map_err(|error| format!("cannot write the manual page: {error}")),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("merlinfold: {error}");
            ExitCode::FAILURE
        }
    }
}
