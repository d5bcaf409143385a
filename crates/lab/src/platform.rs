//! What a platform tells a node, made from an experiment, and what discovery writes.

use merlinfold_simulation::discovery::{Listing, Status};
use merlinfold_simulation::experiment::{Experiment, RetrySafety};
use merlinfold_simulation::seed::mix;
use merlinfold_simulation::{millis, SECOND};
use serde_json::{json, Value};

use crate::net::Range;
use crate::time::Clock;

/// Time that a connection may take to come up.
const CONNECT_MS: f64 = 200.0;

/// Name of a server: the same at every node and telling nothing.
pub fn server_name(server: usize) -> String {
    format!("s-{:08x}", mix(server as u64) as u32)
}

/// A list as a node reads it.
pub fn list(day: &Experiment, listing: &Listing, node: usize, range: &Range, clock: &Clock) -> Value {
    let kinds = day.server_kinds();
    let lines = listing.entries.iter().map(|entry| {
        let kind = &day.fleet.kinds[kinds[entry.server]];
        let status = match entry.status {
            Status::InService => "in_service",
            Status::Terminating => "terminating",
            Status::Terminated => "terminated",
        };
        json!({
            "name": server_name(entry.server), "address": range.server(node, entry.server),
            "zone": day.fleet.zones[day.zone_of_server(entry.server)], "type": kind.name,
            "group": entry.server / 4, "status": status, "weight": kind.build.cores * kind.build.speed,
            "since_ms": clock.unix_ms(entry.since),
        })
    });
    json!({"index": listing.index, "snapshot": listing.snapshot, "endpoints": lines.collect::<Vec<_>>()})
}

/// The settings object.
pub fn settings(day: &Experiment, node: usize) -> Value {
    let nanos = millis;
    let class = |class: &merlinfold_simulation::experiment::Class| {
        json!({
            "Name": class.name, "Aim": nanos(class.aim_ms), "GiveUp": nanos(class.deadline_ms),
            "Semantics": match class.effect { RetrySafety::Safe => "repeatable", RetrySafety::Unsafe => "once" },
            "Worth": class.worth, "LateValue": 0.0, "Stream": false,
        })
    };
    let tenant = |tenant: &merlinfold_simulation::experiment::Tenant| json!({"Name": tenant.name, "QuotaPerS": tenant.quota_per_s, "Fraction": tenant.share});
    let builds = || day.fleet.kinds.iter().map(|kind| &kind.build);
    let least = |value: fn(&merlinfold_simulation::server::ServerSpec) -> f64| {
        builds().map(value).fold(f64::MAX, f64::min)
    };
    let most = |value: fn(&merlinfold_simulation::server::ServerSpec) -> f64| {
        builds().map(value).fold(0.0, f64::max)
    };
    json!({
        "Balancers": day.nodes.count, "Me": node,
        "Categories": day.classes.iter().map(class).collect::<Vec<_>>(),
        "Discovery": if day.nodes.ask { "ask" } else { "push" },
        "HostTypes": day.fleet.kinds.iter().map(|kind| &kind.name).collect::<Vec<_>>(),
        "Limits": {
            "Cancelling": true, "ConnIdle": (least(|b| b.idle_s) * SECOND as f64) as u64,
            "ConnectTimeout": nanos(CONNECT_MS), "MaxAttempts": day.rules.attempts,
            "MaxRetryAfter": nanos(day.rules.retry_after_ms), "MayDuplicate": false, "MayTell": false,
            "Probes": false, "RetryAfter": true,
        },
        "Locality": day.fleet.zones[day.zone_of_node(node)],
        "Obligations": {
            "AskWithin": 10 * SECOND, "ColdShare": least(|b| b.cold_share),
            "RampTime": (most(|b| b.ramp_s) * SECOND as f64) as u64,
            "FallMultiple": least(|b| b.fall_multiple), "TipAfter": nanos(least(|b| b.fall_ms)),
            "StopSendingWithin": nanos(day.rules.drain_ms), "GraceToAnswer": nanos(day.rules.grace_ms),
        },
        "OverShareWorth": 0.2,
        "Prices": {"CrossZone": 0.01},
        "Tenants": day.tenants.iter().map(tenant).collect::<Vec<_>>(),
        "WeightSource": "nominal",
        "Zones": day.fleet.zones,
    })
}

/// The whole configuration of a node.
pub fn configuration(day: &Experiment, node: usize, start: u64, known: Value, range: &Range) -> Value {
    json!({
        "name": format!("n{node}"), "listen": range.node(node), "discovery": range.discovery(node),
        "seed": format!("{:016x}", mix(day.seed ^ mix(node as u64 * 1_000 + start))),
        "limits": {"cores": 1.0, "memory_mb": day.nodes.memory_mb, "sockets": day.nodes.sockets},
        "known": known, "settings": settings(day, node),
    })
}
