//! The `merlinfold` command. Without arguments it is the node of the platform.

mod check;
mod command;
mod fleet;
mod log;
mod serve;

use std::process::ExitCode;

use clap::{CommandFactory, Parser};

use crate::command::{Ask, Cli, Command};

fn main() -> ExitCode {
    let ended = match Cli::parse().command {
        None => serve::node(None),
        Some(Command::Node { config }) => serve::node(config.as_deref()),
        Some(Command::Check { files }) => check::files(&files),
        Some(Command::Fleet { ask: Ask::Members { console, json } }) => fleet::members(console, json),
        Some(Command::Completions { shell }) => {
            clap_complete::generate(shell, &mut Cli::command(), "merlinfold", &mut std::io::stdout());
            Ok(())
        }
        Some(Command::Manual) => clap_mangen::Man::new(Cli::command())
            .render(&mut std::io::stdout())
            .map_err(|error| format!("cannot write: {error}")),
    };
    match ended {
        Ok(()) => ExitCode::SUCCESS,
        Err(fault) => {
            eprintln!("merlinfold: {fault}");
            ExitCode::FAILURE
        }
    }
}
