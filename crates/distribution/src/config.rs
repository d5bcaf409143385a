//! Identity of a node, its view of other nodes, and tuning parameters.

use std::net::SocketAddr;
use std::sync::Arc;

use crate::bounds::CATCH_UP_RATE;

/// Nanoseconds on a monotonic clock.
pub type Nanos = u64;
/// One millisecond.
pub const MS: Nanos = 1_000_000;
/// One second.
pub const SECOND: Nanos = 1_000 * MS;

/// Name of a node.
pub type Name = Arc<str>;

/// Identity of a node in the distribution.
#[derive(Clone, Debug)]
pub struct Identity {
    /// Number of the fleet; datagrams of other fleets are rejected.
    pub cluster: u64,
    /// Name of the node.
    pub name: Name,
    /// Zone of the node.
    pub zone: Name,
}

/// Another node, as the membership and the replicated log describe it at this node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Peer {
    /// Name of the node.
    pub name: Name,
    /// Address at which it receives datagrams.
    pub address: SocketAddr,
    /// Zone of the node.
    pub zone: Name,
    /// Whether the membership considers it alive.
    pub alive: bool,
    /// Whether it votes in the replicated log.
    pub votes: bool,
}

/// Parameters that differ between the product and its tests.
#[derive(Clone, Debug)]
pub struct Tuning {
    /// Highest document format that this version can read.
    pub max_format: u16,
    /// Whether there is a persistent disk to write to.
    pub disk: bool,
    /// Bytes per second that a node fetches while it catches up after a start.
    pub catch_up_rate: u64,
    /// A planted defect for tests of the invariant checkers; `None` in the product.
    pub defect: Option<Defect>,
}

impl Default for Tuning {
    fn default() -> Self {
        Tuning { max_format: 1, disk: false, catch_up_rate: CATCH_UP_RATE, defect: None }
    }
}

/// Faulty behaviour that tests plant to show that the invariant checkers detect it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Defect {
    /// Applies content that is staged but not yet committed.
    AppliesUncommitted,
    /// Applies a document before all its pieces have arrived.
    AppliesIncomplete,
    /// Applies the revision that the log announces even if it is lower than the current one.
    AppliesLower,
    /// Does not compare digests.
    SkipsVerification,
    /// Counts a node without a report as having applied the latest revision.
    CountsSilentAsApplied,
}
