//! A made-up fleet of a given size: its settings, its list and how both are written.

use std::fmt::Write;

use merlinfold_decide::interface::*;
use serde::{Deserialize, Serialize};

/// A millisecond.
pub const MS: Nanos = 1_000_000;
/// A second.
pub const SECOND: Nanos = 1_000 * MS;

const ZONES: u32 = 8;
const HOSTS: u32 = 250; // in a part of an address
const CELL: u32 = 4; // servers in a cell
const LINE_MOST: usize = 192; // bytes

/// How large all is.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize, clap::Args)]
pub struct Size {
    /// Nodes of the fleet.
    #[arg(long, default_value_t = 820)]
    pub nodes: u32,
    /// Servers in the list.
    #[arg(long, default_value_t = 7_900)]
    pub servers: u32,
    /// Services, each with servers of its own.
    #[arg(long, default_value_t = 1)]
    pub services: u32,
    /// Tenants with a quota; 0: requests name none.
    #[arg(long, default_value_t = 0)]
    pub tenants: u32,
    /// Requests a second that come to one node.
    #[arg(long, default_value_t = 110.0)]
    pub rate: f64,
}

impl Size {
    /// The same as arguments of a command line.
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

    /// What the module is told at its start.
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

    /// One line of the list.
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

    /// The whole list.
    pub fn entries(&self) -> Vec<ServerEntry> {
        (0..self.servers).map(|server| self.entry(server)).collect()
    }

    /// The whole list as discovery writes it.
    pub fn list_text(&self) -> String {
        // In one piece: what is given back would be counted as free for what is measured next.
        let mut text = String::with_capacity(256 + LINE_MOST * self.servers as usize);
        text.push_str(r#"{"index":41,"snapshot":true,"endpoints":["#);
        for server in 0..self.servers {
            text.push_str(if server > 0 { "," } else { "" });
            self.write_line(server, &mut text);
        }
        text.push_str("]}");
        text
    }

    fn write_line(&self, server: u32, text: &mut String) {
        let entry = self.entry(server);
        let (block, host) = (server / HOSTS, server % HOSTS);
        // Writing to a string cannot fail.
        let _ = write!(text, r#"{{"name":"s-{:08x}","address":"#, entry.name_hash as u32);
        let _ = write!(text, r#""10.{}.{}.{host}:8081","#, block / HOSTS, block % HOSTS);
        let _ = write!(text, r#""zone":"zone-{}","type":"service-{}","#, entry.zone, entry.host_type);
        let _ = write!(text, r#""group":{},"status":"in_service","#, server / CELL);
        text.push_str(r#""weight":1.0,"since_ms":0}"#);
    }

    /// The settings object with these tenants, as the platform writes it.
    pub fn settings_text(&self) -> String {
        let tenant = |n: u32| format!(r#"{{"Name":"tenant-{n}","QuotaPerS":10.0}}"#);
        let tenants: Vec<String> = (0..self.tenants).map(tenant).collect();
        let class = r#"{"Name":"fetch","Aim":300000000,"GiveUp":750000000,"Semantics":"repeatable"}"#;
        format!(r#"{{"Balancers":{},"Categories":[{class}],"Tenants":[{}]}}"#, self.nodes, tenants.join(","))
    }
}

/// How much each service is asked for: all alike, or the n-th one n-th of the first.
pub fn shares(services: u32, skewed: bool) -> Vec<f64> {
    (1..=services).map(|n| if skewed { 1.0 / f64::from(n) } else { 1.0 }).collect()
}
