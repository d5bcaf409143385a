//! Membership on a socket and a disk: the thin part around `merlinfold-membership`.
//!
//! [`Fleet::open`] binds the socket; [`Fleet::run`] plays the machine on it until it is told to leave. What is seen
//! comes as [`Snapshot`]s. Nothing here decides, and nothing waits for a disk: files are read and written on threads
//! of their own, one at a time.

mod configuration;
mod keeper;
mod log;
mod run;
mod saving;
mod snapshot;

pub use configuration::{Change, ConfigurationHandle, ConfigurationView, RefusedRevision};
pub use keeper::Disks;
pub use log::{LogHandle, LogView, NotAgreed};
pub use run::Fleet;
pub use snapshot::{MemberLine, Snapshot, ZoneLine, SCHEMA};
