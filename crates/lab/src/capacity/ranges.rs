//! Ranges of sizes; each point is measured in processes of its own.

use std::process::Command;

use super::fit::{Check, Sample};
use super::fleet::Size;
use super::point::{median, Point};
use super::report::{Report, Series, SCHEMA};

/// The dimension that a range varies.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Axis {
    /// Number of servers in the list.
    Servers,
    /// Number of services, each with servers of its own.
    Services,
    /// Number of tenants.
    Tenants,
}

impl Axis {
    fn name(self) -> &'static str {
        match self {
            Axis::Servers => "servers",
            Axis::Services => "services",
            Axis::Tenants => "tenants",
        }
    }

    fn value(self, size: Size) -> u32 {
        match self {
            Axis::Servers => size.servers,
            Axis::Services => size.services,
            Axis::Tenants => size.tenants,
        }
    }

    fn with_value(self, size: Size, to: u32) -> Size {
        match self {
            Axis::Servers => Size { servers: to, ..size },
            Axis::Services => Size { services: to, ..size },
            Axis::Tenants => Size { tenants: to, ..size },
        }
    }
}

/// A figure's name and the function that reads it from a point.
pub type Figure = (&'static str, fn(&Point) -> f64);

/// A range of sizes along one axis, and the figures to fit.
pub struct Range {
    axis: Axis,
    constant: Size, // of the other axes
    sizes: &'static [u32],
    figures: &'static [Figure],
}

const SERVERS: &[u32] = &[200, 500, 1_000, 2_000, 4_000, 8_000];
/// With fewer servers, some of 270 services would have none.
const SERVERS_WITH_MANY_SERVICES: &[u32] = &[500, 1_000, 2_000, 4_000, 8_000];
const SERVICES: &[u32] = &[1, 30, 90, 180, 270];
const TENANTS: &[u32] = &[10, 100, 1_000, 10_000, 30_000];

const MODULE: &[Figure] = &[
    ("decision us", |point| point.decision_us),
    ("tick us", |point| point.tick_us),
    ("module MB", |point| point.module_mb),
];
const LIST: &[Figure] = &[
    ("first list ms", |point| point.first_list_ms),
    ("whole list ms", |point| point.whole_list_ms),
    ("change us", |point| point.change_us),
    ("parse ms", |point| point.parse_ms),
    ("names ms", |point| point.names_ms),
    ("list bytes", |point| point.list_bytes),
    ("lines MB", |point| point.lines_mb),
];
const SETTINGS: &[Figure] = &[
    ("decision us", |point| point.decision_us),
    ("settings ms", |point| point.settings_ms),
    ("settings bytes", |point| point.settings_bytes),
    ("module MB", |point| point.module_mb),
];

const BASE: Size = Size { nodes: 820, servers: 1_000, services: 1, tenants: 0, rate: 110.0 };

fn by_servers_and_services(figures: &'static [Figure]) -> Vec<Range> {
    let range = |axis, constant, sizes| Range { axis, constant, sizes, figures };
    vec![
        range(Axis::Servers, BASE, SERVERS),
        range(Axis::Servers, Size { services: 270, ..BASE }, SERVERS_WITH_MANY_SERVICES),
        range(Axis::Services, BASE, SERVICES),
        range(Axis::Services, Size { servers: 8_000, ..BASE }, SERVICES),
    ]
}

/// Returns the ranges of the `module` command: decision, tick and memory by servers and services.
pub fn module() -> Vec<Range> {
    by_servers_and_services(MODULE)
}

/// Returns the ranges of the `list` command: a list and a change of it by servers and services.
pub fn list() -> Vec<Range> {
    by_servers_and_services(LIST)
}

/// Returns the ranges of the `tenants` command: a decision and the settings by tenants.
pub fn tenants() -> Vec<Range> {
    let range = |servers| Range {
        axis: Axis::Tenants,
        constant: Size { servers, ..BASE },
        sizes: TENANTS,
        figures: SETTINGS,
    };
    vec![range(200), range(8_000)]
}

/// Measures each point of the ranges `repeats` times. Returns an error if a measuring process fails.
pub fn measure(name: &str, ranges: Vec<Range>, repeats: usize) -> Result<Report, String> {
    let mut report = Report {
        schema: SCHEMA,
        command: format!("merlinfold-lab capacity {name} --repeats {repeats}"),
        repeats,
        points: Vec::new(),
        series: Vec::new(),
    };
    for range in ranges {
        let sizes: Vec<Size> =
            range.sizes.iter().map(|&to| range.axis.with_value(range.constant, to)).collect();
        let points = measure_sizes(&sizes, repeats)?;
        report.series.extend(range.figures.iter().map(|figure| series(&range, &points, figure)));
        report.points.extend(points);
    }
    Ok(report)
}

/// Measures all sizes in each round, so that a temporarily slow machine affects all of them.
fn measure_sizes(sizes: &[Size], repeats: usize) -> Result<Vec<Point>, String> {
    let mut measured = vec![Vec::new(); sizes.len()];
    for _ in 0..repeats.max(1) {
        for (size, of_this_size) in sizes.iter().zip(&mut measured) {
            of_this_size.push(measure_in_process(*size)?);
        }
    }
    Ok(sizes.iter().zip(&measured).map(|(size, of_this_size)| median_point(*size, of_this_size)).collect())
}

fn series(range: &Range, points: &[Point], (figure, of): &Figure) -> Series {
    let sizes = range.sizes.iter().zip(points);
    let samples: Vec<Sample> =
        sizes.map(|(&size, point)| Sample { size: f64::from(size), value: of(point) }).collect();
    let held = [Axis::Servers, Axis::Services, Axis::Tenants].into_iter().filter(|axis| *axis != range.axis);
    let held = held.map(|axis| format!("{} {}", axis.value(range.constant), axis.name()));
    Series {
        figure: (*figure).to_owned(),
        by: range.axis.name().to_owned(),
        held: held.collect::<Vec<_>>().join(", "),
        check: Check::of(&samples),
        samples,
    }
}

/// Returns the median of each figure over the measurements at one size.
fn median_point(size: Size, measured: &[Point]) -> Point {
    let median_of = |of: fn(&Point) -> f64| median(measured.iter().map(of).collect());
    Point {
        size,
        decision_us: median_of(|point| point.decision_us),
        tick_us: median_of(|point| point.tick_us),
        first_list_ms: median_of(|point| point.first_list_ms),
        whole_list_ms: median_of(|point| point.whole_list_ms),
        change_us: median_of(|point| point.change_us),
        parse_ms: median_of(|point| point.parse_ms),
        names_ms: median_of(|point| point.names_ms),
        list_bytes: median_of(|point| point.list_bytes),
        settings_ms: median_of(|point| point.settings_ms),
        settings_bytes: median_of(|point| point.settings_bytes),
        module_mb: median_of(|point| point.module_mb),
        lines_mb: median_of(|point| point.lines_mb),
    }
}

fn measure_in_process(size: Size) -> Result<Point, String> {
    let own = std::env::current_exe().map_err(|error| format!("cannot find this program's path: {error}"))?;
    let mut command = Command::new(own);
    command.args(["capacity", "point"]).args(size.arguments());
    let output = command
        .output()
        .map_err(|error| format!("cannot start the process that measures a point: {error}"))?;
    if !output.status.success() {
        return Err(format!(
            "the process that measures a point failed: {}",
            String::from_utf8_lossy(&output.stderr)
        ));
    }
    serde_json::from_slice(&output.stdout)
        .map_err(|error| format!("cannot parse the figures of a point: {error}"))
}
