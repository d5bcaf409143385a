//! What each control role costs by the size of the fleet: sweeps over sizes, fitted lines and faults at size.
//!
//! Nodes are hollow: the real control part on real sockets without a data plane, many in a process.

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
