//! The server list as discovery writes it.

use std::net::SocketAddr;

use merlinfold_decide::interface::Readiness;
use serde::Deserialize;

/// An answer of discovery.
#[derive(Debug, Default, Deserialize)]
pub struct ServerList {
    /// Version.
    pub index: u64,
    /// The whole list, which replaces the one before; else changes of it.
    pub snapshot: bool,
    /// Its lines.
    pub endpoints: Vec<Endpoint>,
}

/// A server as discovery writes it.
#[derive(Debug, Deserialize)]
pub struct Endpoint {
    /// Its name, the same at every node.
    pub name: String,
    /// Where this node reaches it.
    pub address: SocketAddr,
    /// Its zone.
    pub zone: Option<String>,
    /// Its kind of machine.
    #[serde(rename = "type")]
    pub kind: Option<String>,
    /// Its cell.
    pub group: Option<u64>,
    /// Whether it takes work.
    pub status: EndpointStatus,
    /// Registered size.
    pub weight: Option<f64>,
    /// When it last started, in Unix time; 0: long ago.
    #[serde(default)]
    pub since_ms: u64,
}

/// Whether a server takes work, in discovery's words.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EndpointStatus {
    /// It does.
    InService,
    /// It finishes what it has.
    Terminating,
    /// It is no more; only among changes.
    Terminated,
}

impl std::fmt::Display for EndpointStatus {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            EndpointStatus::InService => "in_service",
            EndpointStatus::Terminating => "terminating",
            EndpointStatus::Terminated => "terminated",
        })
    }
}

impl From<EndpointStatus> for Readiness {
    fn from(state: EndpointStatus) -> Self {
        match state {
            EndpointStatus::InService => Readiness::Ready,
            EndpointStatus::Terminating => Readiness::Draining,
            EndpointStatus::Terminated => Readiness::Removed,
        }
    }
}
