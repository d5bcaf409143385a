//! What an operator may set, and the times that follow.

use std::net::SocketAddr;

use crate::record::Name;

/// A point in monotonic time, or a duration, in nanoseconds.
pub type Nanos = u64;

/// A millisecond.
pub const MS: Nanos = 1_000_000;

/// Members that a view holds at most.
pub const MAX_MEMBERS: usize = 4_096;

/// Who this is and whom it knows.
#[derive(Clone, Debug)]
pub struct Identity {
    /// The fleet: others are not heard. Any text; it travels as a number.
    pub cluster: Name,
    /// This node's name.
    pub name: Name,
    /// This start: greater than all earlier ones of the node.
    pub run: u64,
    /// What the node says of itself.
    pub profile: crate::record::Profile,
    /// Where others may be found.
    pub seeds: Vec<SocketAddr>,
}

impl Identity {
    /// The fleet as it stands in datagrams: FNV-1a, the same in every version.
    pub fn cluster_number(&self) -> u64 {
        use std::hash::Hasher;
        let mut hasher = fnv::FnvHasher::default();
        hasher.write(self.cluster.as_bytes());
        hasher.finish()
    }
}

/// Times and numbers of the protocol.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Tuning {
    /// Time between probes.
    pub probe_interval: Nanos,
    /// Time for an answer to one try of a probe; above the round trip between the farthest zones.
    pub probe_timeout: Nanos,
    /// Helpers that are asked at the second and third try, each.
    pub helpers: usize,
    /// Time from accusation to death with as many accusers as are wanted.
    pub min_suspicion_time: Nanos,
    /// The same with one accuser.
    pub max_suspicion_time: Nanos,
    /// Further accusers that are wanted.
    pub confirmations: usize,
    /// Members that check an accusation themselves, on average.
    pub mean_checkers: usize,
    /// Time between rounds of gossip, while there is something to tell.
    pub gossip_interval: Nanos,
    /// Members that are told in a round.
    pub fan_out: usize,
    /// Time between digests to a live member.
    pub digest_interval: Nanos,
    /// Time between tries to reach a dead member or a seed.
    pub rejoin_interval: Nanos,
    /// How long a dead member is remembered.
    pub dead_retention: Nanos,
    /// How long one that left is remembered.
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
