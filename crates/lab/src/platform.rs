//! Builds the node configuration and the discovery lists of an experiment, as a platform provides them.

use merlinfold_simulation::discovery::{Listing, Status};
use merlinfold_simulation::experiment::{Experiment, RetrySafety};
use merlinfold_simulation::seed::mix;
use merlinfold_simulation::{millis, SECOND};
use serde_json::{json, Value};

use crate::net::Range;
use crate::time::Clock;

/// Timeout of a connection attempt in milliseconds.
const CONNECT_TIMEOUT_MS: f64 = 200.0;

/// Name of a server, the same for every node. It is a hash, so that a node cannot derive the server's number from it.
pub fn server_name(server: usize) -> String {
    format!("s-{:08x}", mix(server as u64) as u32)
}

/// Formats a discovery list for one node, with the addresses that the node is to use.
pub fn list(experiment: &Experiment, listing: &Listing, node: usize, range: &Range, clock: &Clock) -> Value {
    let kinds = experiment.server_kinds();
    let lines = listing.entries.iter().map(|entry| {
        let kind = &experiment.fleet.kinds[kinds[entry.server]];
        let status = match entry.status {
            Status::InService => "in_service",
            Status::Terminating => "terminating",
            Status::Terminated => "terminated",
        };
        json!({
            "name": server_name(entry.server), "address": range.server(node, entry.server),
            "zone": experiment.fleet.zones[experiment.zone_of_server(entry.server)], "type": kind.name,
            "group": entry.server / 4, "status": status, "weight": kind.build.cores * kind.build.speed,
            "since_ms": clock.unix_ms(entry.since),
        })
    });
    json!({"index": listing.index, "snapshot": listing.snapshot, "endpoints": lines.collect::<Vec<_>>()})
}

/// Settings of the decision module for one node.
pub fn settings(experiment: &Experiment, node: usize) -> Value {
    let nanos = millis;
    let class = |class: &merlinfold_simulation::experiment::Class| {
        json!({
            "Name": class.name, "Aim": nanos(class.aim_ms), "GiveUp": nanos(class.deadline_ms),
            "Semantics": match class.effect { RetrySafety::Safe => "repeatable", RetrySafety::Unsafe => "once" },
            "Worth": class.worth, "LateValue": 0.0, "Stream": false,
        })
    };
    let tenant = |tenant: &merlinfold_simulation::experiment::Tenant| json!({"Name": tenant.name, "QuotaPerS": tenant.quota_per_s, "Fraction": tenant.share});
    let builds = || experiment.fleet.kinds.iter().map(|kind| &kind.build);
    let min_build = |value: fn(&merlinfold_simulation::server::ServerSpec) -> f64| {
        builds().map(value).fold(f64::MAX, f64::min)
    };
    let max_build = |value: fn(&merlinfold_simulation::server::ServerSpec) -> f64| {
        builds().map(value).fold(0.0, f64::max)
    };
    json!({
        "Balancers": experiment.nodes.count, "Me": node,
        "Categories": experiment.classes.iter().map(class).collect::<Vec<_>>(),
        "Discovery": if experiment.nodes.ask { "ask" } else { "push" },
        "HostTypes": experiment.fleet.kinds.iter().map(|kind| &kind.name).collect::<Vec<_>>(),
        "Limits": {
            "Cancelling": true, "ConnIdle": (min_build(|b| b.idle_s) * SECOND as f64) as u64,
            "ConnectTimeout": nanos(CONNECT_TIMEOUT_MS), "MaxAttempts": experiment.rules.attempts,
            "MaxRetryAfter": nanos(experiment.rules.retry_after_ms), "MayDuplicate": false, "MayTell": false,
            "Probes": false, "RetryAfter": true,
        },
        "Locality": experiment.fleet.zones[experiment.zone_of_node(node)],
        "Obligations": {
            "AskWithin": 10 * SECOND, "ColdShare": min_build(|b| b.cold_share),
            "RampTime": (max_build(|b| b.ramp_s) * SECOND as f64) as u64,
            "FallMultiple": min_build(|b| b.fall_multiple), "TipAfter": nanos(min_build(|b| b.fall_ms)),
            "StopSendingWithin": nanos(experiment.rules.drain_ms), "GraceToAnswer": nanos(experiment.rules.grace_ms),
        },
        "OverShareWorth": 0.2,
        "Prices": {"CrossZone": 0.01},
        "Tenants": experiment.tenants.iter().map(tenant).collect::<Vec<_>>(),
        "WeightSource": "nominal",
        "Zones": experiment.fleet.zones,
    })
}

/// Complete configuration of a node. The seed differs with each `start` of the node.
pub fn configuration(experiment: &Experiment, node: usize, start: u64, known: Value, range: &Range) -> Value {
    json!({
        "name": format!("n{node}"), "listen": range.node(node), "discovery": range.discovery(node),
        "seed": format!("{:016x}", mix(experiment.seed ^ mix(node as u64 * 1_000 + start))),
        "limits": {"cores": 1.0, "memory_mb": experiment.nodes.memory_mb, "sockets": experiment.nodes.sockets},
        "known": known, "settings": settings(experiment, node),
    })
}
