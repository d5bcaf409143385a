//! Membership on a socket and a disk: the thin part around `merlinfold-membership`.
//!
//! [`Fleet::open`] binds the socket; [`Fleet::run`] plays the machine on it until it is told to leave. What is seen
//! comes as [`Snapshot`]s. Nothing here decides, and nothing waits for a disk: files are read and written on threads
//! of their own, one at a time.

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
