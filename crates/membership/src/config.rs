//! The identity of a node and the parameters of the protocol.

use std::net::SocketAddr;

use crate::record::Name;

/// A point in monotonic time, or a duration, in nanoseconds.
pub type Nanos = u64;

/// Nanoseconds in a millisecond.
pub const MS: Nanos = 1_000_000;

/// Maximum number of members in a view, including the node itself.
pub const MAX_MEMBERS: usize = 4_096;

/// The identity of a node and the addresses at which it looks for others.
#[derive(Clone, Debug)]
pub struct Identity {
    /// Name of the fleet; datagrams of other fleets are ignored. Any text is allowed; datagrams carry its hash.
    pub cluster: Name,
    /// Name of this node.
    pub name: Name,
    /// Run number of this process: greater than that of every earlier process of the node.
    pub run: u64,
    /// Properties that the node announces about itself.
    pub profile: crate::record::Profile,
    /// Addresses at which other members may be found.
    pub seeds: Vec<SocketAddr>,
}

impl Identity {
    /// The FNV-1a hash of the fleet's name, which datagrams carry. It is the same in every version.
    pub fn cluster_number(&self) -> u64 {
        use std::hash::Hasher;
        let mut hasher = fnv::FnvHasher::default();
        hasher.write(self.cluster.as_bytes());
        hasher.finish()
    }
}

/// Intervals, timeouts and fan-outs of the protocol.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Tuning {
    /// Time between two probes.
    pub probe_interval: Nanos,
    /// Timeout of one attempt of a probe. It has to exceed the round trip between the most distant zones.
    pub probe_timeout: Nanos,
    /// Number of helpers that are asked for an indirect probe at the second and at the third attempt.
    pub helpers: usize,
    /// Time from suspicion to death if all expected confirmations have been received.
    pub min_suspicion_time: Nanos,
    /// Time from suspicion to death if no other member has confirmed the suspicion.
    pub max_suspicion_time: Nanos,
    /// Number of accusers beside the first that shorten the suspicion to its minimum.
    pub confirmations: usize,
    /// Mean number of members that check an accusation with a probe of their own.
    pub mean_checkers: usize,
    /// Time between gossip rounds while broadcasts are pending.
    pub gossip_interval: Nanos,
    /// Number of members that a gossip round is sent to.
    pub fan_out: usize,
    /// Mean time between digests that are sent to a random live member.
    pub digest_interval: Nanos,
    /// Mean time between attempts to reach a dead member or a seed.
    pub rejoin_interval: Nanos,
    /// Time for which a dead member is remembered.
    pub dead_retention: Nanos,
    /// Time for which a member that has left is remembered.
    pub left_retention: Nanos,
}

impl Default for Tuning {
    fn default() -> Self {
        Tuning {
            probe_interval: 200 * MS,
            probe_timeout: 50 * MS,
            helpers: 3,
            min_suspicion_time: 600 * MS,
            max_suspicion_time: 6_000 * MS,
            confirmations: 3,
            mean_checkers: 6,
            gossip_interval: 80 * MS,
            fan_out: 3,
            digest_interval: 5_000 * MS,
            rejoin_interval: 2_000 * MS,
            dead_retention: 300_000 * MS,
            left_retention: 60_000 * MS,
        }
    }
}
