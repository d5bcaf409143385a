//! A synthetic fleet of a given size: its settings and server list, as values and as JSON text.

use std::fmt::Write;

use merlinfold_decide::interface::*;
use serde::{Deserialize, Serialize};

/// One millisecond, ns.
pub const MS: Nanos = 1_000_000;
/// One second, ns.
pub const SECOND: Nanos = 1_000 * MS;

const ZONES: u32 = 8;
const HOSTS_PER_OCTET: u32 = 250; // of an address
const CELL_SERVERS: u32 = 4;
const MAX_ENTRY_BYTES: usize = 192; // of one server in the list's text

/// The size of a fleet and its load.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize, clap::Args)]
pub struct Size {
    /// Number of nodes in the fleet.
    #[arg(long, default_value_t = 820)]
    pub nodes: u32,
    /// Number of servers in the list.
    #[arg(long, default_value_t = 7_900)]
    pub servers: u32,
    /// Number of services, each with servers of its own.
    #[arg(long, default_value_t = 1)]
    pub services: u32,
    /// Number of tenants with a quota; 0: requests name no tenant.
    #[arg(long, default_value_t = 0)]
    pub tenants: u32,
    /// Requests per second that one node receives.
    #[arg(long, default_value_t = 110.0)]
    pub rate: f64,
}

impl Size {
    /// Returns the size as command-line arguments.
    pub fn arguments(&self) -> Vec<String> {
        vec![
            format!("--nodes={}", self.nodes),
            format!("--servers={}", self.servers),
            format!("--services={}", self.services),
            format!("--tenants={}", self.tenants),
            format!("--rate={}", self.rate),
        ]
    }

    fn class(&self, service: u32) -> Class {
        let kinds = (self.services > 1).then(|| vec![service as u16]);
        Class {
            target_latency: 300 * MS,
            deadline: 750 * MS,
            value: 1.0,
            late_value_share: 0.0,
            idempotency: Idempotency::Idempotent,
            placement: Placement { zones: None, host_types: kinds },
        }
    }

    /// Returns the settings of the decision module.
    pub fn settings(&self) -> Settings {
        Settings {
            node_index: self.nodes / 3,
            node_count: self.nodes,
            classes: (0..self.services).map(|service| self.class(service)).collect(),
            tenants: vec![Tenant { quota_per_s: 10.0 }; self.tenants as usize],
            over_quota_value_share: 0.2,
            max_attempts: 3,
            retry_after: true,
            watch_interval: 10 * SECOND,
            initial_capacity_share: 0.15,
            slow_start_duration: 23 * SECOND,
            overload_factor: 4.0,
            overload_duration: 2 * SECOND,
            ..Settings::default()
        }
    }

    /// Returns one server's entry in the list.
    pub fn entry(&self, server: u32) -> ServerEntry {
        let tag = u64::from(server).wrapping_mul(0x9E37_79B9_7F4A_7C15);
        let kind = (server % self.services) as u16;
        let zone = (server / self.services % ZONES) as u16;
        ServerEntry {
            id: ServerId(server),
            name_hash: tag,
            zone,
            host_type: kind,
            weight: 1.0,
            ..ServerEntry::default()
        }
    }

    /// Returns the whole list.
    pub fn entries(&self) -> Vec<ServerEntry> {
        (0..self.servers).map(|server| self.entry(server)).collect()
    }

    /// Returns the whole list as the JSON that discovery sends.
    pub fn list_text(&self) -> String {
        // Allocated at once: memory freed by growing would be reused and so hide memory that is measured next.
        let mut text = String::with_capacity(256 + MAX_ENTRY_BYTES * self.servers as usize);
        text.push_str(r#"{"index":41,"snapshot":true,"endpoints":["#);
        for server in 0..self.servers {
            text.push_str(if server > 0 { "," } else { "" });
            self.write_entry(server, &mut text);
        }
        text.push_str("]}");
        text
    }

    fn write_entry(&self, server: u32, text: &mut String) {
        let entry = self.entry(server);
        let (block, host) = (server / HOSTS_PER_OCTET, server % HOSTS_PER_OCTET);
        // Writing to a string cannot fail.
        let _ = write!(text, r#"{{"name":"s-{:08x}","address":"#, entry.name_hash as u32);
        let _ = write!(text, r#""10.{}.{}.{host}:8081","#, block / HOSTS_PER_OCTET, block % HOSTS_PER_OCTET);
        let _ = write!(text, r#""zone":"zone-{}","type":"service-{}","#, entry.zone, entry.host_type);
        let _ = write!(text, r#""group":{},"status":"in_service","#, server / CELL_SERVERS);
        text.push_str(r#""weight":1.0,"since_ms":0}"#);
    }

    /// Returns the settings object with these tenants, as the platform's JSON.
    pub fn settings_text(&self) -> String {
        let tenant = |n: u32| format!(r#"{{"Name":"tenant-{n}","QuotaPerS":10.0}}"#);
        let tenants: Vec<String> = (0..self.tenants).map(tenant).collect();
        let class = r#"{"Name":"fetch","Aim":300000000,"GiveUp":750000000,"Semantics":"repeatable"}"#;
        format!(r#"{{"Balancers":{},"Categories":[{class}],"Tenants":[{}]}}"#, self.nodes, tenants.join(","))
    }
}

/// Returns the relative request rate of each service: all equal, or, if skewed, 1/n for the n-th.
pub fn shares(services: u32, skewed: bool) -> Vec<f64> {
    (1..=services).map(|n| if skewed { 1.0 / f64::from(n) } else { 1.0 }).collect()
}
