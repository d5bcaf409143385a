//! Who takes part, and the times by which it is done.

use std::net::SocketAddr;
use std::sync::Arc;

/// Nanoseconds on a clock that only rises.
pub type Nanos = u64;
/// A millisecond.
pub const MS: Nanos = 1_000_000;
/// A second.
pub const SECOND: Nanos = 1_000 * MS;

/// The name of a node.
pub type Name = Arc<str>;

/// A node's part in the log.
#[derive(Clone, Debug)]
pub struct Identity {
    /// Number of the fleet: datagrams of others are not heard.
    pub cluster: u64,
    /// The node's name.
    pub name: Name,
    /// The number of this start: greater than that of any before on this disk.
    pub start_number: u64,
    /// Names of the nodes that may vote, the same at every node.
    pub candidates: Vec<Name>,
    /// How many of them vote: 3, 5 or 7.
    pub voter_count: usize,
}

/// What the membership says of a node, as it is seen here.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Peer {
    /// Its name.
    pub name: Name,
    /// Where it hears datagrams of the log.
    pub address: SocketAddr,
    /// Its zone.
    pub zone: Name,
    /// Its machine.
    pub machine: Name,
    /// Whether it is held alive.
    pub alive: bool,
}

/// Times and bounds.
#[derive(Clone, Debug)]
pub struct Tuning {
    /// Between two ticks of the consensus.
    pub tick_interval: Nanos,
    /// Ticks without a leader until an election, and up to as many more, drawn.
    pub election_ticks: usize,
    /// Ticks between a leader's heartbeats.
    pub heartbeat_ticks: usize,
    /// A voter gone for so long is replaced.
    pub replace_after: Nanos,
    /// Between a follower's pulls.
    pub pull_interval: Nanos,
    /// Without news from its parent, a follower asks a voter.
    pub stale_after: Nanos,
    /// Between two sends of a command that is not confirmed.
    pub resend_interval: Nanos,
    /// After so long a command that is not confirmed is given up: it may still come to be.
    pub proposal_timeout: Nanos,
    /// Applied entries kept for those behind.
    pub retained_entries: u64,
    /// Children of a node in the tree.
    pub fan_out: usize,
    /// Planted defects, for tests of the checkers; none in the product.
    pub defect: Option<Defect>,
}

/// What a double does wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Defect {
    /// Votes under its old number without what it had promised.
    ForgetsVote,
    /// Applies what is not yet agreed.
    AppliesEarly,
    /// Lets a command take effect each time that it comes.
    AppliesTwice,
    /// Confirms before the command is agreed.
    ConfirmsEarly,
    /// Founds a group without asking.
    FoundsAlone,
}

impl Default for Tuning {
    fn default() -> Self {
        Tuning {
            tick_interval: 50 * MS,
            election_ticks: 8,
            heartbeat_ticks: 2,
            replace_after: 10 * SECOND,
            pull_interval: SECOND,
            stale_after: 2 * SECOND,
            resend_interval: 300 * MS,
            proposal_timeout: 10 * SECOND,
            retained_entries: 1_024,
            fan_out: 8,
            defect: None,
        }
    }
}

impl Identity {
    /// Votes that decide in a full group.
    pub fn majority(&self) -> usize {
        self.voter_count / 2 + 1
    }

    /// So many candidates, this one among them, must hold no group before one is founded: any majority of an older
    /// group meets them.
    pub fn founding_quorum(&self) -> usize {
        self.candidates.len() + 1 - self.majority().min(self.candidates.len())
    }

    /// Whether this node may vote.
    pub fn is_candidate(&self) -> bool {
        self.candidates.contains(&self.name)
    }
}
