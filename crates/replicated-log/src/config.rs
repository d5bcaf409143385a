//! The identity of a node, its peers, and the timing and size parameters of the log.

use std::net::SocketAddr;
use std::sync::Arc;

/// A point in time or a duration in nanoseconds of a monotonic clock.
pub type Nanos = u64;
/// One millisecond.
pub const MS: Nanos = 1_000_000;
/// One second.
pub const SECOND: Nanos = 1_000 * MS;

/// The name of a node.
pub type Name = Arc<str>;

/// Who this node is, and which nodes may vote.
#[derive(Clone, Debug)]
pub struct Identity {
    /// Number of the fleet; datagrams of other fleets are rejected.
    pub cluster: u64,
    /// The node's name.
    pub name: Name,
    /// The number of this start, greater than that of any earlier start on the same disk.
    pub start_number: u64,
    /// Names of the nodes that may vote; the list is the same on every node.
    pub candidates: Vec<Name>,
    /// The number of voters in a full group: 3, 5 or 7.
    pub voter_count: usize,
}

/// A node as the local membership view describes it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Peer {
    /// The node's name.
    pub name: Name,
    /// The address at which it receives datagrams of the log.
    pub address: SocketAddr,
    /// Its zone.
    pub zone: Name,
    /// Its machine.
    pub machine: Name,
    /// Whether the membership considers it alive.
    pub alive: bool,
}

/// Timing and size parameters.
#[derive(Clone, Debug)]
pub struct Tuning {
    /// Interval between two ticks of the consensus.
    pub tick_interval: Nanos,
    /// Ticks without a leader before an election; a random extra delay of up to as many ticks is added.
    pub election_ticks: usize,
    /// Ticks between two heartbeats of a leader.
    pub heartbeat_ticks: usize,
    /// How long a voter must be unavailable before it is replaced.
    pub replace_after: Nanos,
    /// Average interval between two pulls of a follower.
    pub pull_interval: Nanos,
    /// How long a follower waits for a message about its log before it pulls from a voter instead of its parent.
    pub stale_after: Nanos,
    /// Interval between two sends of an unconfirmed command.
    pub resend_interval: Nanos,
    /// After this time an unconfirmed command is given up; it may still be committed later.
    pub proposal_timeout: Nanos,
    /// Applied entries retained for nodes that are behind.
    pub retained_entries: u64,
    /// Children of a node in the replication tree.
    pub fan_out: usize,
    /// An injected defect, for tests that the invariant checks detect it; `None` in the product.
    pub defect: Option<Defect>,
}

/// A defect that makes a node violate the protocol.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Defect {
    /// After a restart, the node votes under its old number without its stored vote.
    ForgetsVote,
    /// The node applies entries that are not committed yet.
    AppliesEarly,
    /// The node applies a command again each time it appears in the log.
    AppliesTwice,
    /// The node confirms a command before it is committed.
    ConfirmsEarly,
    /// The node forms a group without asking the other candidates.
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
    /// Votes needed for a decision in a full group.
    pub fn majority(&self) -> usize {
        self.voter_count / 2 + 1
    }

    /// How many candidates, including this one, must report that they are in no group before a new group may be
    /// formed. Any majority of an older group shares at least one candidate with them.
    pub fn founding_quorum(&self) -> usize {
        self.candidates.len() + 1 - self.majority().min(self.candidates.len())
    }

    /// Whether this node may vote.
    pub fn is_candidate(&self) -> bool {
        self.candidates.contains(&self.name)
    }
}
