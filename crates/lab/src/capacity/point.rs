//! One point of a range: all that is measured at one size, in this process.

use std::hint::black_box;

use merlinfold_decide::interface::*;
use merlinfold_node::server_list::ServerList;
use merlinfold_settings::{NameTables, NamedServer, PlatformSettings};
use serde::{Deserialize, Serialize};

use super::fleet::{shares, Size};
use super::model::Node;
use super::stopwatch::{resident, Stopwatch};

const WARM_UP: u64 = 2_000; // requests before any is measured, or one of each tenant
const BATCHES: usize = 5; // of which the median counts
const BATCH: u64 = 1_000; // requests
const TICKS: usize = 200;
const CHANGES: usize = 50; // in a batch
const LISTS: usize = 5;

/// What was measured at one size. Times are processor time of one thread.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Point {
    /// The size.
    pub size: Size,
    /// A request and its outcome in the module, us.
    pub decision_us: f64,
    /// A round of housekeeping, of which there are 20 a second, us.
    pub tick_us: f64,
    /// The first list, into a module that knows none, ms.
    pub first_list_ms: f64,
    /// A whole list that says what is known already, ms.
    pub whole_list_ms: f64,
    /// A change of one server, us.
    pub change_us: f64,
    /// The list's text into its lines, ms.
    pub parse_ms: f64,
    /// Numbers for the names of a list that is new, ms.
    pub names_ms: f64,
    /// Length of the list's text, bytes.
    pub list_bytes: f64,
    /// The settings' text into what the module is told, ms.
    pub settings_ms: f64,
    /// Length of the settings' text, bytes.
    pub settings_bytes: f64,
    /// Resident memory of the module with its list, after the warm-up, MB.
    pub module_mb: f64,
    /// Resident memory of the list's lines while they are taken in, MB.
    pub lines_mb: f64,
}

/// The middle one of some measurements; 0 of none.
pub fn median(mut values: Vec<f64>) -> f64 {
    values.sort_by(f64::total_cmp);
    values.get(values.len() / 2).copied().unwrap_or(0.0)
}

fn megabytes(before: u64) -> f64 {
    resident().saturating_sub(before) as f64 / f64::from(1 << 20)
}

/// Measures everything at this size.
pub fn measure(size: Size) -> Result<Point, String> {
    let before = resident();
    let mut node = Node::new(size, &shares(size.services, false), size.entries());
    let first_list_ms = node.others.take() / 1e6;
    node.serve(WARM_UP.max(u64::from(size.tenants)));
    let module_mb = megabytes(before);
    let decision_us = median((0..BATCHES).map(|_| decision_us(&mut node)).collect());
    let tick_us = median((0..BATCHES).map(|_| tick_us(&mut node)).collect());
    let change_us = median((0..BATCHES).map(|_| change_us(&mut node, size)).collect());
    let whole_list_ms = median((0..LISTS).map(|_| whole_list_ms(&mut node, size)).collect());
    // The module is still there: what it holds must not be counted as free for the lines.
    let text = size.list_text();
    let before = resident();
    let list = parse(&text)?;
    let lines_mb = megabytes(before);
    let parse_ms = median((0..LISTS).map(|_| timed_ms(|| parse(&text).map(black_box).is_ok())).collect());
    let names_ms = median((0..LISTS).map(|_| timed_ms(|| black_box(number(&list)).len())).collect());
    let settings_text = size.settings_text();
    read_settings(&settings_text)?;
    let settings_ms = (0..LISTS).map(|_| timed_ms(|| read_settings(&settings_text).map(black_box).is_ok()));
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
    node.serve(BATCH);
    node.decisions.take() / 1e3 / BATCH as f64
}

fn tick_us(node: &mut Node) -> f64 {
    node.others.take();
    (0..TICKS).for_each(|_| node.tick());
    node.others.take() / 1e3 / TICKS as f64
}

/// Servers far apart in the list begin to drain and come back.
fn change_us(node: &mut Node, size: Size) -> f64 {
    node.others.take();
    for n in 0..CHANGES {
        let server = (n / 2) as u32 * 7_919 % size.servers;
        let readiness = if n % 2 == 0 { Readiness::Draining } else { Readiness::Ready };
        node.servers(ListKind::Partial, vec![ServerEntry { readiness, ..size.entry(server) }]);
    }
    node.others.take() / 1e3 / CHANGES as f64
}

fn whole_list_ms(node: &mut Node, size: Size) -> f64 {
    let entries = size.entries();
    node.others.take();
    node.servers(ListKind::Complete, entries);
    node.others.take() / 1e6
}

fn parse(text: &str) -> Result<ServerList, String> {
    serde_json::from_slice(text.as_bytes()).map_err(|error| format!("list: {error}"))
}

fn number(list: &ServerList) -> Vec<ServerEntry> {
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
    let env: PlatformSettings = serde_json::from_str(text).map_err(|error| format!("settings: {error}"))?;
    env.decision_settings(&mut NameTables::default())
}
