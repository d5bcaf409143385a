//! The server list in the format of discovery.

use std::net::SocketAddr;

use merlinfold_decide::interface::Readiness;
use serde::Deserialize;

/// An answer of discovery: the whole list, or changes to it.
#[derive(Debug, Default, Deserialize)]
pub struct ServerList {
    /// Version of the list.
    pub index: u64,
    /// Whether this is the whole list, which replaces the current one, rather than changes to it.
    pub snapshot: bool,
    /// The servers that are listed or have changed.
    pub endpoints: Vec<Endpoint>,
}

/// A server in the list.
#[derive(Debug, Deserialize)]
pub struct Endpoint {
    /// Its name, which is the same at every node.
    pub name: String,
    /// The address at which this node reaches it.
    pub address: SocketAddr,
    /// Its zone.
    pub zone: Option<String>,
    /// Its machine type.
    #[serde(rename = "type")]
    pub kind: Option<String>,
    /// Its cell.
    pub group: Option<u64>,
    /// Whether it takes requests.
    pub status: EndpointStatus,
    /// Its registered capacity, relative to other servers.
    pub weight: Option<f64>,
    /// Unix time of its last start in ms, or 0 if it started long ago.
    #[serde(default)]
    pub since_ms: u64,
}

/// Whether a server takes requests.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EndpointStatus {
    /// It takes requests.
    InService,
    /// It finishes the requests it has and takes no new ones.
    Terminating,
    /// It has been removed. Only changes contain this status.
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
    fn from(status: EndpointStatus) -> Self {
        match status {
            EndpointStatus::InService => Readiness::Ready,
            EndpointStatus::Terminating => Readiness::Draining,
            EndpointStatus::Terminated => Readiness::Removed,
        }
    }
}
