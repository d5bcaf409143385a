//! `merlinfold-lab capacity`.

use std::path::{Path, PathBuf};
use std::process::ExitCode;

use clap::{Args, Subcommand};

use super::connections::{self, Question};
use super::fleet::Size;
use super::point;
use super::ranges::{self, Range};

/// What to measure.
#[derive(Debug, Subcommand)]
pub enum Command {
    /// A decision, a round of housekeeping and memory, by servers and services.
    Module(Output),
    /// Taking a whole list and a change of one server, by servers and services.
    List(Output),
    /// A decision and reading the settings, by tenants.
    Tenants(Output),
    /// How often a request has to open a connection, in virtual time.
    Connections {
        /// What is asked.
        #[command(flatten)]
        question: Question,
        /// Add the answer to those in this file.
        #[arg(long, value_name = "FILE")]
        json: Option<PathBuf>,
    },
    /// One point of a range, in this process; prints its figures as JSON.
    Point(Size),
}

/// How often to measure, and where to write.
#[derive(Debug, Args)]
pub struct Output {
    /// Processes that measure each point; the median counts.
    #[arg(long, default_value_t = 3)]
    repeats: usize,
    /// Write all figures and fits as JSON.
    #[arg(long, value_name = "FILE")]
    json: Option<PathBuf>,
}

/// Carries it out.
pub fn carry_out(command: Command) -> Result<ExitCode, String> {
    match command {
        Command::Module(output) => range("module", ranges::module(), &output)?,
        Command::List(output) => range("list", ranges::list(), &output)?,
        Command::Tenants(output) => range("tenants", ranges::tenants(), &output)?,
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

fn range(name: &str, ranges: Vec<Range>, output: &Output) -> Result<(), String> {
    let report = ranges::measure(name, ranges, output.repeats)?;
    print!("{}", report.text());
    match &output.json {
        Some(path) => write(path, &report.json()?),
        None => Ok(()),
    }
}

fn connections(question: Question, file: Option<&Path>) -> Result<(), String> {
    let answer = connections::answer(question);
    let played = serde_json::json!({ "question": question, "answer": answer });
    println!("{}", json(&played)?);
    let Some(path) = file else { return Ok(()) };
    let mut all: Vec<serde_json::Value> = match std::fs::read_to_string(path) {
        Ok(text) => serde_json::from_str(&text).map_err(|error| format!("{}: {error}", path.display()))?,
        Err(_) => Vec::new(), // the first
    };
    all.push(played);
    write(path, &(json(&all)? + "\n"))
}
