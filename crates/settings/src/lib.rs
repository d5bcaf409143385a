//! Reads the settings object that the platform hands to a node at its start, and assigns the numbers
//! that stand for the names in it.
//!
//! Fields that neither the decision module nor its host uses are ignored. `Goal`, `Prices` other than
//! `CrossZone`, `Tenants[].Fraction` (the tenant's quota states the same), `Stages`, `Tier`, `Family`,
//! `Period`, `ValueBy` and `AimStretch` only weigh results and affect no decision. `MaxStreams` and the
//! CPU limits apply to the process that hosts the module. `GraceToAnswer` is slack that the node does not
//! use.

use std::collections::BTreeMap;
use std::hash::Hasher;

use serde::Deserialize;

use merlinfold_decide::interface::*;

/// Longest interval between two requests for the server list if the settings state none, ns.
const DEFAULT_ASK_WITHIN: Nanos = 10_000_000_000;

/// The settings object as the platform writes it; durations are in nanoseconds.
#[derive(Debug, Deserialize)]
#[serde(rename_all = "PascalCase", expecting = "a settings object")]
pub struct PlatformSettings {
    #[serde(default)]
    balancers: u32,
    #[serde(default)]
    categories: Vec<Category>,
    discovery: Option<String>,
    #[serde(default)]
    family_info: FamilyInfo,
    #[serde(default)]
    host_types: Vec<String>,
    #[serde(default)]
    limits: Limits,
    locality: Option<String>,
    #[serde(default)]
    me: u32,
    #[serde(default)]
    obligations: Obligations,
    over_share_worth: Option<f64>,
    #[serde(default)]
    prices: Prices,
    #[serde(default)]
    tenants: Vec<TenantEntry>,
    weight_source: Option<String>,
    #[serde(default)]
    zones: Vec<String>,
}

#[derive(Debug, Deserialize)]
#[serde(rename_all = "PascalCase")]
struct Category {
    name: String,
    aim: u64,
    give_up: u64,
    group: Option<String>,
    key_ttl: Option<u64>,
    late_value: Option<f64>,
    runs_on: Option<Vec<String>>,
    semantics: Option<String>,
    worth: Option<f64>,
    zones_allowed: Option<Vec<String>>,
}

#[derive(Debug, Deserialize, Default)]
#[serde(rename_all = "PascalCase", default)]
struct FamilyInfo {
    warm_keys: bool,
}

#[derive(Debug, Deserialize, Default)]
#[serde(rename_all = "PascalCase", default)]
struct Limits {
    cancelling: bool,
    conn_idle: Option<u64>,
    connect_timeout: Option<u64>,
    max_attempts: Option<u32>,
    max_retry_after: u64,
    may_duplicate: bool,
    may_tell: bool,
    open_cap: Option<usize>,
    probes: bool,
    retry_after: bool,
}

#[derive(Debug, Deserialize, Default)]
#[serde(rename_all = "PascalCase", default)]
struct Obligations {
    ask_within: Option<u64>,
    budget_free: Option<f64>,
    budget_span: Option<u64>,
    extra_share: Option<f64>,
    cold_share: Option<f64>,
    ramp_time: u64,
    fall_multiple: Option<f64>,
    stop_sending_within: u64,
    tip_after: u64,
}

#[derive(Debug, Deserialize, Default)]
#[serde(rename_all = "PascalCase", default)]
struct Prices {
    cross_zone: f64,
}

#[derive(Debug, Deserialize)]
#[serde(rename_all = "PascalCase")]
struct TenantEntry {
    name: String,
    quota_per_s: Option<f64>,
}

/// Limits on real connections that the host of the decision module enforces itself.
#[derive(Clone, Copy, Debug)]
pub struct HostLimits {
    /// Timeout for establishing a connection to a server.
    pub connect_timeout: Nanos,
    /// Idle time after which a server closes a connection.
    pub idle_timeout: Nanos,
    /// Maximum number of requests that are open at the same time.
    pub max_open_requests: usize,
    /// Time for which attempts may still be sent to a server after it started to drain or was removed.
    pub drain_grace: Nanos,
    /// Longest time that a client of any class waits for an answer.
    pub max_deadline: Nanos,
    /// Time from the start of a server until it is warm.
    pub ramp_time: Nanos,
}

impl PlatformSettings {
    /// Converts the settings for the decision module and assigns a number to each name in them.
    ///
    /// Returns an error if a class has an unknown group or semantics, or if an attempt budget has no
    /// `BudgetSpan`.
    pub fn decision_settings(&self, names: &mut NameTables) -> Result<Settings, String> {
        for zone in &self.zones {
            names.zones.intern(zone);
        }
        for host_type in &self.host_types {
            names.host_types.intern(host_type);
        }
        let mut classes = Vec::new();
        for category in &self.categories {
            names.classes.intern(&category.name);
            let effect = match category.semantics.as_deref() {
                Some("repeatable") => Idempotency::Idempotent,
                Some("by_key") => Idempotency::Keyed {
                    scope: match category.group.as_deref() {
                        Some("all") => DedupScope::All,
                        Some("zone") => DedupScope::Zone,
                        Some("cell") => DedupScope::Cell,
                        other => {
                            let class = &category.name;
                            return Err(format!(
                                "class {class}: expected Group all, zone or cell, got {other:?}"
                            ));
                        }
                    },
                    window: category.key_ttl.unwrap_or(0),
                },
                Some("once") | None => Idempotency::NonIdempotent,
                Some(other) => {
                    let class = &category.name;
                    return Err(format!(
                        "class {class}: expected Semantics repeatable, by_key or once, got {other:?}"
                    ));
                }
            };
            classes.push(Class {
                target_latency: category.aim,
                deadline: category.give_up,
                value: category.worth.unwrap_or(1.0),
                late_value_share: category.late_value.unwrap_or(0.0),
                idempotency: effect,
                placement: Placement {
                    zones: names.zones.intern_all(&category.zones_allowed),
                    host_types: names.host_types.intern_all(&category.runs_on),
                },
            });
        }
        let tenants = self.tenants.iter().map(|tenant| {
            names.tenants.intern(&tenant.name);
            // A quota that is absent or not positive limits nothing.
            Tenant { quota_per_s: tenant.quota_per_s.filter(|&quota| quota > 0.0).unwrap_or(f64::INFINITY) }
        });
        let tenants = tenants.collect();
        let obligations = &self.obligations;
        let attempt_budget = match (obligations.budget_free, obligations.extra_share) {
            (None, None) => None,
            (free, share) => Some(RetryBudget {
                base: free.unwrap_or(0.0),
                per_request: share.unwrap_or(0.0),
                window: require_field(obligations.budget_span, "BudgetSpan")?,
            }),
        };
        Ok(Settings {
            node_index: self.me,
            node_count: self.balancers.max(1),
            classes,
            tenants,
            zone: names.zones.intern(self.locality.as_deref().unwrap_or("")) as u16,
            over_quota_value_share: self.over_share_worth.unwrap_or(1.0),
            discovery: match self.discovery.as_deref() {
                Some("ask") => Discovery::Watch,
                _ => Discovery::Push,
            },
            weighted: matches!(self.weight_source.as_deref(), Some("nominal" | "rough")),
            key_affinity: self.family_info.warm_keys,
            cross_zone_price: self.prices.cross_zone,
            max_attempts: self.limits.max_attempts.unwrap_or(1),
            retry_budget: attempt_budget,
            may_hedge: self.limits.may_duplicate,
            may_cancel: self.limits.cancelling,
            may_probe: self.limits.probes,
            may_message_peers: self.limits.may_tell,
            retry_after: self.limits.retry_after,
            max_retry_after: self.limits.max_retry_after,
            watch_interval: obligations.ask_within.unwrap_or(DEFAULT_ASK_WITHIN),
            initial_capacity_share: obligations.cold_share.unwrap_or(1.0),
            slow_start_duration: obligations.ramp_time,
            overload_factor: obligations.fall_multiple.unwrap_or(1.0),
            overload_duration: obligations.tip_after,
        })
    }

    /// Returns the limits that the host enforces, or an error that names the missing field.
    pub fn host_limits(&self) -> Result<HostLimits, String> {
        if self.categories.is_empty() {
            return Err("field Categories is missing or empty".to_owned());
        }
        Ok(HostLimits {
            connect_timeout: require_field(self.limits.connect_timeout, "Limits.ConnectTimeout")?,
            idle_timeout: require_field(self.limits.conn_idle, "Limits.ConnIdle")?,
            max_open_requests: self.limits.open_cap.unwrap_or(usize::MAX),
            drain_grace: self.obligations.stop_sending_within,
            ramp_time: self.obligations.ramp_time,
            max_deadline: self.categories.iter().map(|category| category.give_up).max().unwrap_or(0),
        })
    }
}

/// Returns the value of a mandatory field, or an error that names the missing field.
pub fn require_field<T>(value: Option<T>, field: &str) -> Result<T, String> {
    value.ok_or_else(|| format!("field {field} is missing"))
}

/// Assigns consecutive numbers to names, in the order in which the names are first seen.
#[derive(Clone, Debug, Default)]
pub struct NameTable {
    numbers: BTreeMap<String, usize>,
    names: Vec<String>,
}

impl NameTable {
    /// Returns the number of a name; a new name gets the next free number.
    pub fn intern(&mut self, name: &str) -> usize {
        if let Some(number) = self.get(name) {
            return number;
        }
        let number = self.names.len();
        self.numbers.insert(name.to_owned(), number);
        self.names.push(name.to_owned());
        number
    }

    /// Returns the number of a name, or `None` if the name is unknown.
    pub fn get(&self, name: &str) -> Option<usize> {
        self.numbers.get(name).copied()
    }

    /// Returns the name that has this number. Panics if the number was never assigned.
    pub fn name(&self, number: usize) -> &str {
        &self.names[number]
    }

    /// Returns all names in the order of their numbers.
    pub fn names(&self) -> impl Iterator<Item = &str> {
        self.names.iter().map(String::as_str)
    }

    /// Returns the numbers of all names in a list. A name that no server has yet gets a number too, so
    /// that a list of such names permits no server rather than every server.
    fn intern_all(&mut self, names: &Option<Vec<String>>) -> Option<Vec<u16>> {
        names.as_ref().map(|names| names.iter().map(|name| self.intern(name) as u16).collect())
    }
}

/// The names that one node has seen, with a table for each sort of name.
#[derive(Clone, Debug, Default)]
pub struct NameTables {
    /// Names of request classes.
    pub classes: NameTable,
    /// Names of tenants.
    pub tenants: NameTable,
    /// Names of zones.
    pub zones: NameTable,
    /// Names of host types.
    pub host_types: NameTable,
    /// Names of servers.
    pub servers: NameTable,
}

/// An entry of the server list that has names in place of numbers.
pub struct NamedServer<'a> {
    /// Name of the server.
    pub name: &'a str,
    /// Zone in which the server runs.
    pub zone: Option<&'a str>,
    /// Type of host on which the server runs.
    pub host_type: Option<&'a str>,
    /// Cell to which the server belongs; 0 if absent.
    pub cell: Option<u64>,
    /// Whether the server accepts requests.
    pub readiness: Readiness,
    /// Registered capacity relative to other servers; 1 if absent.
    pub weight: Option<f64>,
    /// Time of the last start on the decision module's clock; 0 means long ago.
    pub started_at: Nanos,
}

impl NameTables {
    /// Converts a server entry for the decision module, with numbers in place of names.
    pub fn server_entry(&mut self, server: NamedServer) -> ServerEntry {
        let mut hasher = fnv::FnvHasher::default();
        hasher.write(server.name.as_bytes());
        ServerEntry {
            id: ServerId(self.servers.intern(server.name) as u32),
            name_hash: hasher.finish(),
            zone: self.zones.intern(server.zone.unwrap_or("")) as u16,
            host_type: self.host_types.intern(server.host_type.unwrap_or("")) as u16,
            cell: server.cell.unwrap_or(0),
            readiness: server.readiness,
            weight: server.weight.unwrap_or(1.0),
            started_at: server.started_at,
        }
    }
}

/// Sets one metric of a load report by its name on the wire; an unknown name is ignored.
pub fn set_load_metric(report: &mut LoadReport, name: &str, value: f64) {
    match name {
        "inflight" => report.in_flight = Some(value),
        "queue" => report.queue = Some(value),
        "util" => report.utilization = Some(value),
        "qps" => report.qps = Some(value),
        "eps" => report.eps = Some(value),
        "latency_ms" => report.service_time = Some((value * 1e6) as Nanos),
        _ => {}
    }
}
