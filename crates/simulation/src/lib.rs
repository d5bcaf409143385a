//! The world around a fleet of nodes: guide servers, clients, the front that spreads them, discovery and
//! what goes wrong; and the ledger that holds what a node did against the rules.
//!
//! Nothing here does input or output or reads a clock. Time comes in with every call and what is to be done
//! comes back, so that the same models run in virtual time and, at the lab's sockets, in real time. All
//! chance comes from one seed ([`seed::Seed`]), one stream for each use of it: a change to one part of a day
//! leaves the draws of all others as they are.
//!
//! It is no measurement of real machines, and no simulator of the network: latencies between the parties
//! are the host's.
//!
//! ```
//! use merlinfold_simulation::server::{Arrival, Reply, Server, ServerSpec};
//!
//! const MS: u64 = 1_000_000;
//! let spec = ServerSpec { cores: 1.0, speed: 2.0, ..ServerSpec::default() };
//! let mut server = Server::new(spec, 0, 7);
//! let mut out = Vec::new();
//! let arrival = Arrival {
//!     job: 1,
//!     class: 0,
//!     work: 10 * MS,
//!     expires: u64::MAX,
//!     new_connection: false,
//!     notified_of_start: true,
//! };
//! server.receive_request(0, arrival, &mut out);
//! let due = server.next_due().unwrap(); // twice as fast as a standard core
//! assert_eq!(due, 5 * MS);
//! server.advance(due, &mut out);
//! assert_eq!((out[0].job, out[0].reply), (1, Reply::Served));
//! ```

pub mod clients;
pub mod discovery;
pub mod disruptions;
pub mod experiment;
pub mod fleet;
pub mod ledger;
pub mod list_faults;
pub mod node_balancer;
pub mod notifications;
pub mod report;
pub mod seed;
pub mod server;

/// A point in time since the day's start, or a duration, in nanoseconds.
pub type Nanos = u64;

/// A millisecond, in [`Nanos`].
pub const MS: Nanos = 1_000_000;

/// A second, in [`Nanos`].
pub const SECOND: Nanos = 1_000_000_000;

/// Milliseconds, as files state them.
pub fn millis(ms: f64) -> Nanos {
    (ms.max(0.0) * MS as f64) as Nanos
}
