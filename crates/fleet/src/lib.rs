//! Fleet membership on a socket and a disk: connects `merlinfold-membership` to the network and the file system.
//!
//! [`Fleet::open`] binds the socket, and [`Fleet::run`] runs the protocol on it until the node leaves. The view is
//! published as [`Snapshot`]s. This crate makes no decisions, and its event loop never waits for a disk: files are read
//! and written on separate threads, one at a time.

mod configuration;
mod log;
mod run;
mod snapshot;
mod state_store;
mod view_saver;

pub use configuration::{ConfigurationHandle, ConfigurationView, NewRevision, RefusedRevision};
pub use log::{LogHandle, LogView, SetError};
pub use run::Fleet;
pub use snapshot::{MemberLine, Snapshot, ZoneLine, SCHEMA};
pub use state_store::Disks;
