//! Measures what reading a server list costs a node, by the number of servers, with the node's own reader on the
//! platform's JSON.

use merlinfold_node::Config;
use serde_json::{json, Value};

use super::report::{Figure, Measured, Run, Sweep};
use super::resources::{anonymous_memory_kib, thread_cpu};
use crate::experiments;
use crate::net::Range;
use crate::platform::{configuration, server_name};

const SERVERS_PER_GROUP: usize = 4;
const REPEATS: usize = 9; // the median is reported
const COPIES: usize = 16; // memory is measured over all of them and divided by their number
const NOTE: &str = "The product's reader on a whole list in the platform's JSON: bytes of it, processor time to read it \
                    (median of nine, the rest of the configuration taken off), memory of what was read. The decision \
                    module's part is not in it.";

/// Measures lists of these lengths.
pub fn sweep(sizes: &[usize]) -> Result<Sweep, String> {
    let range = Range::claim()?;
    let baseline = configuration_text(0, &range)?;
    let baseline_us = read_time_us(&baseline)?;
    let (mut runs, mut retained) = (Vec::new(), Vec::new());
    for &servers in sizes {
        let text = configuration_text(servers, &range)?;
        let cpu_us = read_time_us(&text)? - baseline_us;
        let memory_kib = memory_per_copy_kib(&text, &mut retained)?;
        let figures = [
            (Figure::Bytes, (text.len() - baseline.len()) as f64),
            (Figure::CpuUs, cpu_us),
            (Figure::MemoryKib, memory_kib),
        ];
        let figures = figures.map(|(figure, value)| Measured { figure, value }).to_vec();
        runs.push(Run { size: servers, machine: None, figures });
    }
    Ok(Sweep::new("list", "servers", 0, NOTE, runs))
}

fn endpoint(server: usize) -> Value {
    let (net, host) = (server / 250, server % 250 + 1);
    json!({
        "name": server_name(server), "address": format!("10.{}.{}.{host}:9000", net / 250, net % 250),
        "zone": format!("z{}", server % 8), "type": "standard", "group": server / SERVERS_PER_GROUP,
        "status": "in_service", "weight": 4.0, "since_ms": 1_700_000_000_000u64 + server as u64,
    })
}

fn configuration_text(servers: usize, range: &Range) -> Result<String, String> {
    let experiment = experiments::find("calm")?;
    let endpoints: Vec<Value> = (0..servers).map(endpoint).collect();
    let known = json!({"index": 1, "snapshot": true, "endpoints": endpoints});
    Ok(configuration(&experiment, 0, 0, known, range).to_string())
}

fn read_time_us(text: &str) -> Result<f64, String> {
    let mut times = Vec::new();
    for _ in 0..REPEATS {
        let begun = thread_cpu();
        let read = Config::parse(text)?;
        times.push(thread_cpu() - begun);
        drop(std::hint::black_box(read));
    }
    times.sort_unstable();
    Ok(times[REPEATS / 2] as f64 / 1e3)
}

/// Returns the memory of one copy, KiB. It is measured over several copies, because a single one may fit into memory
/// that is already free; for the same reason all copies stay in `retained`.
fn memory_per_copy_kib(text: &str, retained: &mut Vec<Config>) -> Result<f64, String> {
    let before = anonymous_memory_kib("self").unwrap_or(0);
    for _ in 0..COPIES {
        retained.push(Config::parse(text)?);
    }
    let after = anonymous_memory_kib("self").unwrap_or(0);
    Ok(after.saturating_sub(before) as f64 / COPIES as f64)
}
