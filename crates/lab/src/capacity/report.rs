//! The report of a range of sizes, as a table and as JSON.

use std::fmt::Write;

use serde::{Deserialize, Serialize};

use super::fit::{Check, Sample, MAX_FORECAST_ERROR};
use super::point::Point;

/// Version of the JSON form.
pub const SCHEMA: u32 = 1;

/// One figure as a function of one size.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Series {
    /// The figure's name; its unit is the last word.
    pub figure: String,
    /// What the size counts.
    pub by: String,
    /// The dimensions that were constant, with their values.
    pub held: String,
    /// Median values, the smallest size first.
    pub samples: Vec<Sample>,
    /// The fit of all sizes but the largest, and its forecast of the largest; none if there are too few sizes.
    pub check: Option<Check>,
}

/// All measurements of a command.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// Version of this form.
    pub schema: u32,
    /// The command that reproduces the report.
    pub command: String,
    /// How often each point was measured, each time in a process of its own; the median is reported.
    pub repeats: usize,
    /// The measurements, by size.
    pub points: Vec<Point>,
    /// The same measurements by figure, with fits.
    pub series: Vec<Series>,
}

impl Report {
    /// Returns the report as JSON.
    pub fn json(&self) -> Result<String, String> {
        serde_json::to_string_pretty(self).map(|text| text + "\n").map_err(|error| error.to_string())
    }

    /// Returns a table for people: each figure at its sizes, with its fit.
    pub fn text(&self) -> String {
        let mut text = String::new();
        for series in &self.series {
            let _ = writeln!(text, "{} by {} ({})", series.figure, series.by, series.held);
            let sizes = series.samples.iter().map(|sample| format!("{:>10}", sample.size));
            let values = series.samples.iter().map(|sample| format!("{:>10.3}", sample.value));
            let _ = writeln!(text, "  size  {}", sizes.collect::<String>());
            let _ = writeln!(text, "  value {}", values.collect::<String>());
            let _ = writeln!(text, "  {}", verdict(series.check.as_ref()));
        }
        text
    }
}

fn verdict(check: Option<&Check>) -> String {
    let Some(check) = check else { return "no fit: too few sizes".to_owned() };
    let fit = &check.fit;
    let holds =
        if check.holds() { "holds".to_owned() } else { format!("over {:.0}%", 100.0 * MAX_FORECAST_ERROR) };
    format!(
        "fit {:.4} + {:.6} {}, residual {:.4}; forecast at {}: {:.3}, measured {:.3}, error {:+.1}%: {holds}",
        fit.intercept,
        fit.slope,
        fit.form.name(),
        fit.residual,
        check.size,
        check.forecast,
        check.measured,
        100.0 * check.error,
    )
}
