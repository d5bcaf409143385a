//! Models of the environment of a fleet of nodes: guide servers, clients, the balancer that spreads clients over
//! nodes, discovery and planned disruptions. A ledger records what happened and checks it against the invariants.
//!
//! The models do no input or output and read no clock. Each call passes the current time and returns the actions that
//! the host has to take, so the same models run in virtual time and, behind the lab's sockets, in real time. All
//! randomness derives from one seed ([`seed::Seed`]) with a separate stream for each use, so that a change to one
//! part of an experiment leaves the random numbers of all other parts unchanged.
//!
//! The models do not measure real machines and do not simulate the network: the host determines latencies between the
//! parties.
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
//! let due = server.next_due().unwrap(); // the core is twice as fast as a standard core
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

/// A time since the start of the run, or a duration, in nanoseconds.
pub type Nanos = u64;

/// One millisecond in [`Nanos`].
pub const MS: Nanos = 1_000_000;

/// One second in [`Nanos`].
pub const SECOND: Nanos = 1_000_000_000;

/// Converts milliseconds, the unit of experiment files, to [`Nanos`]; negative values become 0.
pub fn millis(ms: f64) -> Nanos {
    (ms.max(0.0) * MS as f64) as Nanos
}
