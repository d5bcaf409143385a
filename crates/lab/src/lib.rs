//! The lab: plays days of the [`merlinfold_simulation`] against real node processes on loopback sockets.
//!
//! It starts the nodes, plays guide servers, discovery, the front and the clients around them, causes what an
//! experiment says goes wrong, writes down on both sides what becomes of every request, and judges. It
//! trusts no node: a node is any program that reads the platform's configuration.
//!
//! It does not show what a network of many machines does: all parties share this machine's cores and its
//! loopback. It measures its own lateness and calls a run void that it could not keep time for.

pub mod capacity;
pub mod closed;
pub mod compare;
pub mod experiments;
pub mod html;
pub mod http;
mod load;
pub mod net;
pub mod platform;
pub mod play;
pub mod process;
pub mod scale;
mod servers;
pub mod sim;
mod time;
pub mod trial;

pub use servers::body;
