//! The lab runs the experiments of [`merlinfold_simulation`] against real node processes on loopback sockets.
//!
//! It starts the nodes, simulates the guide servers, discovery, the front and the clients around them, injects the
//! faults that an experiment lists, records what happens to every request on both sides, and checks the records
//! against the invariants. It relies on no node's own account: a node is any program that reads the platform's
//! configuration.
//!
//! The lab does not show the behaviour of a network of many machines, because all parties share the cores and the
//! loopback interface of one machine. It measures how late its own timers fire and marks a run as void if it could
//! not keep to the schedule.

pub mod capacity;
pub mod closed;
pub mod compare;
pub mod experiments;
pub mod html;
pub mod http;
mod load;
pub mod net;
pub mod peer_faults;
pub mod platform;
pub mod process;
pub mod runner;
pub mod scale;
mod servers;
pub mod sim;
mod time;
pub mod trial;

pub use servers::body;
