//! Who takes part, and what a test may change.

use std::net::SocketAddr;
use std::sync::Arc;

use crate::bounds::CATCH_UP_RATE;

/// Nanoseconds on a clock that only rises.
pub type Nanos = u64;
/// A millisecond.
pub const MS: Nanos = 1_000_000;
/// A second.
pub const SECOND: Nanos = 1_000 * MS;

/// The name of a node.
pub type Name = Arc<str>;

/// A node's part in the distribution.
#[derive(Clone, Debug)]
pub struct Identity {
    /// Number of the fleet: datagrams of others are not heard.
    pub cluster: u64,
    /// The node's name.
    pub name: Name,
    /// The zone it runs in.
    pub zone: Name,
}

/// What the membership and the log say of a node, as they are seen here.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Peer {
    /// Its name.
    pub name: Name,
    /// Where it hears datagrams.
    pub address: SocketAddr,
    /// Its zone.
    pub zone: Name,
    /// Whether it is held alive.
    pub alive: bool,
    /// Whether it votes in the agreed log.
    pub votes: bool,
}

/// What differs between the product and its tests.
#[derive(Clone, Debug)]
pub struct Tuning {
    /// The greatest format of a document that this version can read.
    pub max_format: u16,
    /// Whether a lasting disk is there to be written to.
    pub disk: bool,
    /// Bytes a second that a node fetches while it catches up after a start.
    pub catch_up_rate: u64,
    /// Planted defects, for tests of the checkers; none in the product.
    pub defect: Option<Defect>,
}

impl Default for Tuning {
    fn default() -> Self {
        Tuning { max_format: 1, disk: false, catch_up_rate: CATCH_UP_RATE, defect: None }
    }
}

/// What a planted defect does wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Defect {
    /// Applies content that is staged and not yet committed.
    AppliesUncommitted,
    /// Applies a document of which not all pieces have come.
    AppliesIncomplete,
    /// Applies whatever the log shows, also when it is lower.
    AppliesLower,
    /// Does not compare digests.
    SkipsVerification,
    /// Counts a node that is not heard of as having applied.
    CountsSilentAsApplied,
}
