//! Membership on a socket and a disk: the thin part around `merlinfold-membership`.
//!
//! [`Fleet::open`] binds the socket; [`Fleet::run`] plays the machine on it until it is told to leave. What is seen
//! comes as [`Snapshot`]s. Nothing here decides, and nothing waits for a disk: files are read and written on threads
//! of their own, one at a time.

mod keeper;
mod run;
mod snapshot;

use std::net::SocketAddr;
use std::path::PathBuf;

pub use run::Fleet;
pub use snapshot::{MemberLine, Snapshot, ZoneLine, SCHEMA};

/// What an operator sets.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Which fleet.
    pub cluster: String,
    /// The node's name.
    pub name: String,
    /// Where this process hears datagrams.
    pub listen: SocketAddr,
    /// Where others reach it, if that is elsewhere.
    pub advertise: Option<SocketAddr>,
    /// Zone that the node runs in.
    pub zone: String,
    /// Machine that it runs on.
    pub machine: String,
    /// Where others may be found.
    pub seeds: Vec<SocketAddr>,
    /// Folder of its own that lasts; none: it finds the fleet by its seeds alone.
    pub folder: Option<PathBuf>,
}
