//! Measures what the control plane costs a node in each role, by fleet size: sweeps over sizes, fitted lines, and
//! faults in large fleets.
//!
//! The nodes are hollow: each runs the real control plane on real sockets but no data plane, many in one process.

mod catch_up;
mod cluster;
pub mod command;
mod faults;
pub mod fit;
mod hollow;
mod limits;
mod list;
mod messages;
mod proof;
mod relays;
mod report;
mod resources;
mod simulated;
mod sweep;
mod window;
