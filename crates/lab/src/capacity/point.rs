//! Measures one point of a range: all figures at one size, in this process.

use std::hint::black_box;

use merlinfold_decide::interface::*;
use merlinfold_node::server_list::ServerList;
use merlinfold_settings::{NameTables, NamedServer, PlatformSettings};
use serde::{Deserialize, Serialize};

use super::fleet::{shares, Size};
use super::model::Node;
use super::stopwatch::{resident_bytes, Stopwatch};

const WARM_UP: u64 = 2_000; // requests before the measurement; at least one per tenant
const BATCHES: usize = 5; // the median is reported
const BATCH_REQUESTS: u64 = 1_000;
const BATCH_TICKS: usize = 200;
const BATCH_CHANGES: usize = 50;
const LIST_REPEATS: usize = 5; // the median is reported

/// The figures at one size. Times are processor time of one thread.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Point {
    /// The size.
    pub size: Size,
    /// Time of a request and its outcome in the module, us.
    pub decision_us: f64,
    /// Time of a housekeeping tick, of which there are 20 per second, us.
    pub tick_us: f64,
    /// Time to apply a list in a module that has none yet, ms.
    pub first_list_ms: f64,
    /// Time to apply a whole list that changes nothing, ms.
    pub whole_list_ms: f64,
    /// Time to apply a change of one server, us.
    pub change_us: f64,
    /// Time to parse the list's text, ms.
    pub parse_ms: f64,
    /// Time to assign numbers to the names of a new list, ms.
    pub names_ms: f64,
    /// Length of the list's text, bytes.
    pub list_bytes: f64,
    /// Time to convert the settings' text to the module's settings, ms.
    pub settings_ms: f64,
    /// Length of the settings' text, bytes.
    pub settings_bytes: f64,
    /// Resident memory of the module with its list, after the warm-up, MB.
    pub module_mb: f64,
    /// Resident memory of the parsed list, MB.
    pub lines_mb: f64,
}

/// Returns the median of the values; 0 if there are none.
pub fn median(mut values: Vec<f64>) -> f64 {
    values.sort_by(f64::total_cmp);
    values.get(values.len() / 2).copied().unwrap_or(0.0)
}

fn megabytes(before: u64) -> f64 {
    resident_bytes().saturating_sub(before) as f64 / f64::from(1 << 20)
}

/// Measures all figures at this size. Returns an error if the list or settings text cannot be parsed.
pub fn measure(size: Size) -> Result<Point, String> {
    let before = resident_bytes();
    let mut node = Node::new(size, &shares(size.services, false), size.entries());
    let first_list_ms = node.others.take() / 1e6;
    node.serve(WARM_UP.max(u64::from(size.tenants)));
    let module_mb = megabytes(before);
    let decision_us = median((0..BATCHES).map(|_| decision_us(&mut node)).collect());
    let tick_us = median((0..BATCHES).map(|_| tick_us(&mut node)).collect());
    let change_us = median((0..BATCHES).map(|_| change_us(&mut node, size)).collect());
    let whole_list_ms = median((0..LIST_REPEATS).map(|_| whole_list_ms(&mut node, size)).collect());
    // The module stays alive here, so that its memory cannot be reused for the parsed list.
    let text = size.list_text();
    let before = resident_bytes();
    let list = parse(&text)?;
    let lines_mb = megabytes(before);
    let parse_ms =
        median((0..LIST_REPEATS).map(|_| timed_ms(|| parse(&text).map(black_box).is_ok())).collect());
    let names_ms =
        median((0..LIST_REPEATS).map(|_| timed_ms(|| black_box(assign_numbers(&list)).len())).collect());
    let settings_text = size.settings_text();
    read_settings(&settings_text)?;
    let settings_ms =
        (0..LIST_REPEATS).map(|_| timed_ms(|| read_settings(&settings_text).map(black_box).is_ok()));
    Ok(Point {
        size,
        decision_us,
        tick_us,
        first_list_ms,
        whole_list_ms,
        change_us,
        parse_ms,
        names_ms,
        list_bytes: text.len() as f64,
        settings_ms: median(settings_ms.collect()),
        settings_bytes: settings_text.len() as f64,
        module_mb,
        lines_mb,
    })
}

fn timed_ms<T>(work: impl FnOnce() -> T) -> f64 {
    let mut watch = Stopwatch::new();
    black_box(watch.time(work));
    watch.take() / 1e6
}

fn decision_us(node: &mut Node) -> f64 {
    node.decisions.take();
    node.serve(BATCH_REQUESTS);
    node.decisions.take() / 1e3 / BATCH_REQUESTS as f64
}

fn tick_us(node: &mut Node) -> f64 {
    node.others.take();
    (0..BATCH_TICKS).for_each(|_| node.tick());
    node.others.take() / 1e3 / BATCH_TICKS as f64
}

/// Measures changes in which servers far apart in the list start to drain and become ready again.
fn change_us(node: &mut Node, size: Size) -> f64 {
    node.others.take();
    for n in 0..BATCH_CHANGES {
        let server = (n / 2) as u32 * 7_919 % size.servers;
        let readiness = if n % 2 == 0 { Readiness::Draining } else { Readiness::Ready };
        node.servers(ListKind::Partial, vec![ServerEntry { readiness, ..size.entry(server) }]);
    }
    node.others.take() / 1e3 / BATCH_CHANGES as f64
}

fn whole_list_ms(node: &mut Node, size: Size) -> f64 {
    let entries = size.entries();
    node.others.take();
    node.servers(ListKind::Complete, entries);
    node.others.take() / 1e6
}

fn parse(text: &str) -> Result<ServerList, String> {
    serde_json::from_slice(text.as_bytes()).map_err(|error| format!("cannot parse the list: {error}"))
}

fn assign_numbers(list: &ServerList) -> Vec<ServerEntry> {
    let mut names = NameTables::default();
    let listed = list.endpoints.iter().map(|line| NamedServer {
        name: &line.name,
        zone: line.zone.as_deref(),
        host_type: line.kind.as_deref(),
        cell: line.group,
        readiness: line.status.into(),
        weight: line.weight,
        started_at: line.since_ms,
    });
    listed.map(|line| names.server_entry(line)).collect()
}

fn read_settings(text: &str) -> Result<Settings, String> {
    let env: PlatformSettings =
        serde_json::from_str(text).map_err(|error| format!("cannot parse the settings: {error}"))?;
    env.decision_settings(&mut NameTables::default())
}
