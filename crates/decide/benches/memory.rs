//! Memory per server of the list: `cargo bench -p merlinfold-decide --bench memory`. Linux only.

use std::fs;

use merlinfold_decide::interface::*;
use merlinfold_decide::policy::Balancer;

/// Page size in bytes, the unit of `/proc/self/statm`.
const PAGE: u64 = 4_096;
const NODES: usize = 16;
const MS: Nanos = 1_000_000;

/// Resident memory of this process in bytes; 0 if the kernel does not report it.
fn resident() -> u64 {
    let statm = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    statm.split(' ').nth(1).and_then(|pages| pages.parse::<u64>().ok()).unwrap_or(0) * PAGE
}

fn entry(n: u32) -> ServerEntry {
    let tag = u64::from(n).wrapping_mul(0x9E37_79B9_7F4A_7C15);
    ServerEntry { id: ServerId(n), name_hash: tag, weight: 1.0, ..ServerEntry::default() }
}

fn main() {
    // All nodes are kept: the next run would reuse freed memory, which would then not be counted.
    let mut all = Vec::new();
    for (servers, classes) in [(4_096, 1), (16_384, 1), (16_384, 2), (16_384, 6)] {
        let class = Class {
            target_latency: 300 * MS,
            deadline: 750 * MS,
            value: 1.0,
            late_value_share: 0.0,
            idempotency: Idempotency::Idempotent,
            placement: Placement::default(),
        };
        let settings = Settings { classes: vec![class; classes], node_count: 1, ..Settings::default() };
        let before = resident();
        let nodes: Vec<Balancer> = (0..NODES)
            .map(|seed| {
                let mut node = Balancer::new(settings.clone(), seed as u64);
                let entries = (0..servers).map(entry).collect();
                node.handle(MS, Event::Servers { kind: ListKind::Persisted, entries }, &mut Vec::new());
                node
            })
            .collect();
        let bytes = (resident() - before) / (NODES as u64 * u64::from(servers));
        println!("{servers} servers, {classes} classes: {bytes} bytes a server");
        all.push(nodes);
    }
}
