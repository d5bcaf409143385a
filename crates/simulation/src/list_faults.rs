//! Faults of single calls to discovery, sampled for each call of each node.

use std::collections::BTreeMap;

use rand::Rng;

use crate::seed::{Seed, Stream};
use crate::{Nanos, MS};

/// Limit of consecutive faulty calls of one node. Discovery counts as reachable during this disruption, so its changes
/// have to get through.
const MAX_CONSECUTIVE_FAULTS: u32 = 2;
/// Upper bound of the delay of a late answer.
const MAX_ANSWER_DELAY: Nanos = 6_000 * MS;

/// A fault of one call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListFault {
    /// Discovery reads the call and never answers.
    Silent,
    /// Discovery answers after this additional delay.
    Late(Nanos),
    /// Discovery answers with status 503.
    Refused,
    /// Discovery resets the connection.
    Reset,
    /// Discovery closes the connection in the middle of its answer.
    Cut,
}

/// Samples the faults of calls to discovery in one run.
#[derive(Debug)]
pub struct ListFaultSampler {
    stream: Stream,
    share: f64,
    consecutive_faults: BTreeMap<usize, u32>,
}

impl ListFaultSampler {
    /// Creates a sampler that yields no faults until a share is set.
    pub fn new(seed: Seed) -> Self {
        ListFaultSampler {
            stream: seed.stream("list-faults", 0),
            share: 0.0,
            consecutive_faults: BTreeMap::new(),
        }
    }

    /// Sets the share of calls that get a fault from now on.
    pub fn set_share(&mut self, share: f64) {
        self.share = share;
    }

    /// Samples the fault of a call that `node` makes now; `None` if the call succeeds.
    pub fn sample(&mut self, node: usize) -> Option<ListFault> {
        let consecutive_faults = self.consecutive_faults.entry(node).or_default();
        if *consecutive_faults >= MAX_CONSECUTIVE_FAULTS
            || !self.stream.random_bool(self.share.clamp(0.0, 1.0))
        {
            *consecutive_faults = 0;
            return None;
        }
        *consecutive_faults += 1;
        Some(match self.stream.random_range(0..8) {
            0..=2 => ListFault::Silent,
            3..=4 => ListFault::Late(self.stream.random_range(0..MAX_ANSWER_DELAY)),
            5 => ListFault::Refused,
            6 => ListFault::Reset,
            _ => ListFault::Cut,
        })
    }
}
