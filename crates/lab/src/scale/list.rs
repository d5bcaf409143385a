//! What taking a server list costs a node, by the number of servers: the product's own reader on the platform's JSON.

use merlinfold_node::Config;
use serde_json::{json, Value};

use super::report::{Figure, Measured, Run, Sweep};
use super::resources::{anonymous_memory_kib, thread_cpu};
use crate::experiments;
use crate::net::Range;
use crate::platform::{configuration, server_name};

const SERVERS_A_GROUP: usize = 4;
const REPEATS: usize = 9; // of which the median is told
const COPIES: usize = 16; // whose memory is divided
const NOTE: &str = "The product's reader on a whole list in the platform's JSON: bytes of it, processor time to read it \
                    (median of nine, the rest of the configuration taken off), memory of what was read. The decision \
                    module's part is not in it.";

/// Reads lists of these lengths.
pub fn sweep(sizes: &[usize]) -> Result<Sweep, String> {
    let range = Range::claim()?;
    let bare = text_with(0, &range)?;
    let bare_us = time_to_read(&bare)?;
    let (mut runs, mut held) = (Vec::new(), Vec::new());
    for &servers in sizes {
        let text = text_with(servers, &range)?;
        let cpu_us = time_to_read(&text)? - bare_us;
        let memory_kib = memory_of(&text, &mut held)?;
        let figures = [
            (Figure::Bytes, (text.len() - bare.len()) as f64),
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
        "zone": format!("z{}", server % 8), "type": "standard", "group": server / SERVERS_A_GROUP,
        "status": "in_service", "weight": 4.0, "since_ms": 1_700_000_000_000u64 + server as u64,
    })
}

fn text_with(servers: usize, range: &Range) -> Result<String, String> {
    let day = experiments::find("calm")?;
    let endpoints: Vec<Value> = (0..servers).map(endpoint).collect();
    let known = json!({"index": 1, "snapshot": true, "endpoints": endpoints});
    Ok(configuration(&day, 0, 0, known, range).to_string())
}

fn time_to_read(text: &str) -> Result<f64, String> {
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

/// Of several copies, because one may fit into what is free already; for the same reason all are kept in `held`.
fn memory_of(text: &str, held: &mut Vec<Config>) -> Result<f64, String> {
    let before = anonymous_memory_kib("self").unwrap_or(0);
    for _ in 0..COPIES {
        held.push(Config::parse(text)?);
    }
    let after = anonymous_memory_kib("self").unwrap_or(0);
    Ok(after.saturating_sub(before) as f64 / COPIES as f64)
}
