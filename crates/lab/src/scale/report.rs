//! What a sweep over sizes found: a table for people, JSON for the pages that cite it.

use std::fmt::Write;
use std::path::Path;

use serde::Serialize;

use super::fit::{Forecast, Point, MISS_MAX};
use super::window::MachineState;

/// Version of the JSON form.
pub const SCHEMA: u32 = 1;

/// Something that is measured at each size.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Figure {
    /// Members that a node knows.
    Members,
    /// Values of the agreed log that it holds.
    LogValues,
    /// Messages that a node sends a second, on the mean.
    MessagesS,
    /// Bytes that a node sends a second, on the mean.
    BytesS,
    /// The same of the node that sends most.
    BytesMaxS,
    /// Of the mean the agreed log's.
    LogBytesS,
    /// Processor time of a node's second, us, on the mean.
    CpuUsS,
    /// Of it that of its own task.
    TaskUsS,
    /// Of all its processor time, the node that uses most.
    CpuMaxUsS,
    /// Resident memory of a node, KiB.
    MemoryKib,
    /// From a proposal to its confirmation, ms: the median.
    CommitMedianMs,
    /// The same: the 99th percentile.
    CommitP99Ms,
    /// Bytes of what is taken at once.
    Bytes,
    /// Processor time to take it, us.
    CpuUs,
    /// Time until it is there, ms.
    TimeMs,
    /// Bytes that the node that serves most of it sends.
    ServedBytesMax,
}

impl Figure {
    /// Whether it says nothing where all processors are taken.
    fn needs_processors(self) -> bool {
        use Figure::{CommitMedianMs, CommitP99Ms, CpuMaxUsS, CpuUs, CpuUsS, TaskUsS, TimeMs};
        matches!(self, CpuUsS | CpuMaxUsS | CommitMedianMs | CommitP99Ms | CpuUs | TaskUsS | TimeMs)
    }

    fn name(self) -> String {
        let name = serde_json::to_value(self).ok();
        name.and_then(|name| name.as_str().map(str::to_owned)).unwrap_or_default()
    }
}

/// A figure's value.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Measured {
    /// Which.
    pub figure: Figure,
    /// Its value.
    pub value: f64,
}

/// One size.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Run {
    /// The size.
    pub size: usize,
    /// How the machine was meanwhile; none in virtual time, where it does not matter.
    pub machine: Option<MachineState>,
    /// What was measured.
    pub figures: Vec<Measured>,
}

impl Run {
    fn value(&self, figure: Figure) -> Option<f64> {
        self.figures.iter().find(|measured| measured.figure == figure).map(|measured| measured.value)
    }

    /// Whether the machine let this figure be measured.
    fn can_use(&self, figure: Figure) -> bool {
        self.machine.is_none_or(|machine| !(machine.late || machine.saturated && figure.needs_processors()))
    }
}

/// A figure's line over the sizes.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Line {
    /// Which figure.
    pub figure: Figure,
    /// Its line and forecast; none where too few runs can be used.
    pub forecast: Option<Forecast>,
}

/// All sizes of one role.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Sweep {
    /// Version of this form.
    pub schema: u32,
    /// The role.
    pub role: String,
    /// The command that made it.
    pub command: String,
    /// What the sizes count.
    pub size_is: String,
    /// Seconds of each window.
    pub seconds: u64,
    /// What has to be known to read the figures.
    pub note: String,
    /// The runs.
    pub runs: Vec<Run>,
    /// The lines through all but the largest of those that can be used.
    pub lines: Vec<Line>,
}

impl Sweep {
    /// With lines through its runs.
    pub fn new(role: &str, size_is: &str, seconds: u64, note: &str, runs: Vec<Run>) -> Self {
        let figures: Vec<Figure> = runs
            .first()
            .map(|run| run.figures.iter().map(|measured| measured.figure).collect())
            .unwrap_or_default();
        let line = |figure: Figure| {
            let used = runs.iter().filter(|run| run.can_use(figure));
            let points: Vec<Point> = used
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

    /// For people.
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
            format!(": MISSES by over {:.0}%, no line to forecast from", 100.0 * MISS_MAX)
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

/// Writes anything as JSON, with a line at the end; folders on the way are made.
pub fn write_json<T: Serialize>(value: &T, path: &Path) -> Result<(), String> {
    let text = serde_json::to_string_pretty(value).map_err(|error| format!("report: {error}"))? + "\n";
    let cannot = |error: std::io::Error| format!("{}: {error}", path.display());
    if let Some(folder) = path.parent().filter(|folder| !folder.as_os_str().is_empty()) {
        std::fs::create_dir_all(folder).map_err(cannot)?;
    }
    std::fs::write(path, text).map_err(cannot)
}
