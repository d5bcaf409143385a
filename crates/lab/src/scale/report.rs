//! The report of a sweep over sizes, as a table and as JSON.

use std::fmt::Write;
use std::path::Path;

use serde::Serialize;

use super::fit::{Forecast, Point, MAX_FORECAST_ERROR};
use super::window::MachineState;

/// Version of the JSON form.
pub const SCHEMA: u32 = 1;

/// A quantity that is measured at each size.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Figure {
    /// Members that a node knows of.
    Members,
    /// Values of the replicated log that a node stores.
    LogValues,
    /// Messages sent per second and node, mean.
    MessagesS,
    /// Bytes sent per second and node, mean.
    BytesS,
    /// Bytes sent per second by the node that sends most.
    BytesMaxS,
    /// The replicated log's part of the mean bytes per second.
    LogBytesS,
    /// Processor time per second and node, us, mean.
    CpuUsS,
    /// The part of it used by the node's own task, us.
    TaskUsS,
    /// Processor time per second of the node that uses most, us.
    CpuMaxUsS,
    /// Resident memory of a node, KiB.
    MemoryKib,
    /// Time from a proposal to its confirmation, ms: the median.
    CommitMedianMs,
    /// Time from a proposal to its confirmation, ms: the 99th percentile.
    CommitP99Ms,
    /// Bytes of what is read or fetched in one operation.
    Bytes,
    /// Processor time of the operation, us.
    CpuUs,
    /// Duration of the operation, ms.
    TimeMs,
    /// Bytes sent by the node that serves the largest part of it.
    ServedBytesMax,
}

impl Figure {
    /// Returns whether the figure is meaningless when the processors are saturated.
    fn needs_processors(self) -> bool {
        use Figure::{CommitMedianMs, CommitP99Ms, CpuMaxUsS, CpuUs, CpuUsS, TaskUsS, TimeMs};
        matches!(self, CpuUsS | CpuMaxUsS | CommitMedianMs | CommitP99Ms | CpuUs | TaskUsS | TimeMs)
    }

    fn name(self) -> String {
        let name = serde_json::to_value(self).ok();
        name.and_then(|name| name.as_str().map(str::to_owned)).unwrap_or_default()
    }
}

/// A measured value of a figure.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Measured {
    /// The figure.
    pub figure: Figure,
    /// Its value.
    pub value: f64,
}

/// The measurements at one size.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Run {
    /// The size.
    pub size: usize,
    /// State of the machine during the run; none in virtual time, which does not depend on it.
    pub machine: Option<MachineState>,
    /// The measured values.
    pub figures: Vec<Measured>,
}

impl Run {
    fn value(&self, figure: Figure) -> Option<f64> {
        self.figures.iter().find(|measured| measured.figure == figure).map(|measured| measured.value)
    }

    /// Returns whether the state of the machine allows this figure to be used.
    fn can_use(&self, figure: Figure) -> bool {
        self.machine.is_none_or(|machine| !(machine.late || machine.saturated && figure.needs_processors()))
    }
}

/// The line fitted to a figure over the sizes.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Line {
    /// The figure.
    pub figure: Figure,
    /// Its line and forecast; none if too few runs can be used.
    pub forecast: Option<Forecast>,
}

/// The runs of one role at all sizes.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Sweep {
    /// Version of this form.
    pub schema: u32,
    /// The role.
    pub role: String,
    /// The command that made the report.
    pub command: String,
    /// What the sizes count.
    pub size_is: String,
    /// Duration of each run's measurement, s.
    pub seconds: u64,
    /// Explanation of the figures.
    pub note: String,
    /// The runs.
    pub runs: Vec<Run>,
    /// The lines fitted to all usable runs but the largest.
    pub lines: Vec<Line>,
}

impl Sweep {
    /// Creates the report and fits lines to the runs.
    pub fn new(role: &str, size_is: &str, seconds: u64, note: &str, runs: Vec<Run>) -> Self {
        let figures: Vec<Figure> = runs
            .first()
            .map(|run| run.figures.iter().map(|measured| measured.figure).collect())
            .unwrap_or_default();
        let line = |figure: Figure| {
            let usable = runs.iter().filter(|run| run.can_use(figure));
            let points: Vec<Point> = usable
                .filter_map(|run| Some(Point { size: run.size as f64, cost: run.value(figure)? }))
                .collect();
            Line { figure, forecast: Forecast::of(&points) }
        };
        let command: Vec<String> = std::env::args().skip(1).collect();
        Sweep {
            schema: SCHEMA,
            role: role.to_owned(),
            command: format!("merlinfold-lab {}", command.join(" ")),
            size_is: size_is.to_owned(),
            seconds,
            note: note.to_owned(),
            lines: figures.into_iter().map(line).collect(),
            runs,
        }
    }

    /// Returns the report as a table for people.
    pub fn table(&self) -> String {
        let mut text = String::new();
        // Writing to a string cannot fail.
        let _ =
            writeln!(text, "{} by {}, windows of {} s. {}", self.role, self.size_is, self.seconds, self.note);
        let _ = write!(text, "{:>8}", self.size_is);
        for line in &self.lines {
            let _ = write!(text, " {:>16}", line.figure.name());
        }
        let _ = writeln!(text, " {:>6} {:>9}", "busy", "late p99");
        for run in &self.runs {
            let _ = write!(text, "{:>8}", run.size);
            for measured in &run.figures {
                let _ = write!(text, " {:>16.1}", measured.value);
            }
            if let Some(machine) = run.machine {
                let _ = write!(text, " {:>5.0}% {:>6.1} ms", 100.0 * machine.busy, machine.lateness_p99_ms);
                let _ = write!(text, "{}", machine.verdict());
            }
            let _ = writeln!(text);
        }
        for line in &self.lines {
            let _ = writeln!(text, "{}", line.text());
        }
        text
    }

    /// Writes it as JSON.
    pub fn write(&self, path: &Path) -> Result<(), String> {
        write_json(self, path)
    }
}

impl Line {
    fn text(&self) -> String {
        let name = self.figure.name();
        let Some(Forecast { fit, size, forecast, measured, error, holds }) = self.forecast else {
            return format!(
                "{name:<16} no line: under four runs that can be used, or nothing at the largest"
            );
        };
        let verdict = if holds {
            String::new()
        } else {
            format!(": MISSES by over {:.0}%, no line to forecast from", 100.0 * MAX_FORECAST_ERROR)
        };
        format!(
            "{name:<16} {:.3} + {:.5} * size, residual {:.3}; at {size:.0} forecast {forecast:.1}, measured {measured:.1}, \
             {:+.1}%{verdict}",
            fit.intercept,
            fit.slope,
            fit.residual,
            100.0 * error
        )
    }
}

/// Writes a value as JSON with a final line break, and creates missing parent folders.
pub fn write_json<T: Serialize>(value: &T, path: &Path) -> Result<(), String> {
    let text = serde_json::to_string_pretty(value)
        .map_err(|error| format!("cannot serialize the report: {error}"))?
        + "\n";
    let with_path = |error: std::io::Error| format!("{}: {error}", path.display());
    if let Some(folder) = path.parent().filter(|folder| !folder.as_os_str().is_empty()) {
        std::fs::create_dir_all(folder).map_err(with_path)?;
    }
    std::fs::write(path, text).map_err(with_path)
}
