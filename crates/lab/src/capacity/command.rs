//! The command `merlinfold-lab capacity`.

use std::path::{Path, PathBuf};
use std::process::ExitCode;

use clap::{Args, Subcommand};

use super::connections::{self, Parameters};
use super::fleet::Size;
use super::point;
use super::ranges::{self, Range};

/// Subcommands of `capacity`.
#[derive(Debug, Subcommand)]
pub enum Command {
    /// Cost of a decision and of a housekeeping tick, and memory, by servers and services.
    Module(Output),
    /// Cost of reading a whole list and of a change of one server, by servers and services.
    List(Output),
    /// Cost of a decision and of reading the settings, by tenants.
    Tenants(Output),
    /// Share of requests that must open a connection, in virtual time.
    Connections {
        /// Parameters of the simulation.
        #[command(flatten)]
        question: Parameters,
        /// Append the answer to the JSON array in this file.
        #[arg(long, value_name = "FILE")]
        json: Option<PathBuf>,
    },
    /// Measure one point of a range in this process and print its figures as JSON.
    Point(Size),
}

/// Number of repeats, and the output file.
#[derive(Debug, Args)]
pub struct Output {
    /// Number of processes that measure each point; the median is reported.
    #[arg(long, default_value_t = 3)]
    repeats: usize,
    /// Write all figures and fits as JSON.
    #[arg(long, value_name = "FILE")]
    json: Option<PathBuf>,
}

/// Executes the command.
pub fn execute(command: Command) -> Result<ExitCode, String> {
    match command {
        Command::Module(output) => measure_range("module", ranges::module(), &output)?,
        Command::List(output) => measure_range("list", ranges::list(), &output)?,
        Command::Tenants(output) => measure_range("tenants", ranges::tenants(), &output)?,
        Command::Connections { question, json } => connections(question, json.as_deref())?,
        Command::Point(size) => println!("{}", json(&point::measure(size)?)?),
    }
    Ok(ExitCode::SUCCESS)
}

fn json(value: &impl serde::Serialize) -> Result<String, String> {
    serde_json::to_string_pretty(value).map_err(|error| error.to_string())
}

fn write(path: &Path, text: &str) -> Result<(), String> {
    std::fs::write(path, text).map_err(|error| format!("{}: {error}", path.display()))
}

fn measure_range(name: &str, ranges: Vec<Range>, output: &Output) -> Result<(), String> {
    let report = ranges::measure(name, ranges, output.repeats)?;
    print!("{}", report.text());
    match &output.json {
        Some(path) => write(path, &report.json()?),
        None => Ok(()),
    }
}

fn connections(question: Parameters, file: Option<&Path>) -> Result<(), String> {
    let answer = connections::simulate(question);
    let result = serde_json::json!({ "question": question, "answer": answer });
    println!("{}", json(&result)?);
    let Some(path) = file else { return Ok(()) };
    let mut all: Vec<serde_json::Value> = match std::fs::read_to_string(path) {
        Ok(text) => serde_json::from_str(&text).map_err(|error| format!("{}: {error}", path.display()))?,
        Err(_) => Vec::new(), // the file does not exist yet
    };
    all.push(result);
    write(path, &(json(&all)? + "\n"))
}
