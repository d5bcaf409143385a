//! Calls to discovery that go wrong one by one: drawn for each call of each node.

use std::collections::BTreeMap;

use rand::Rng;

use crate::seed::{Seed, Stream};
use crate::{Nanos, MS};

/// Faulty calls in a row that one node meets at most: discovery counts as reachable, so what it has must be heard.
const MAX_IN_A_ROW: u32 = 2;
/// Longest delay of a late answer.
const MAX_DELAY: Nanos = 6_000 * MS;

/// What goes wrong with one call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListFault {
    /// It is read and never answered.
    Silent,
    /// Its answer is written so much later.
    Late(Nanos),
    /// It is answered with 503.
    Refused,
    /// Its connection is reset.
    Reset,
    /// Its answer ends half way with the connection.
    Cut,
}

/// Draws the faults of one day.
#[derive(Debug)]
pub struct ListFaultSampler {
    stream: Stream,
    share: f64,
    in_a_row: BTreeMap<usize, u32>,
}

impl ListFaultSampler {
    /// None until a share is set.
    pub fn new(seed: Seed) -> Self {
        ListFaultSampler { stream: seed.stream("list-faults", 0), share: 0.0, in_a_row: BTreeMap::new() }
    }

    /// From now on this share of calls meets a fault.
    pub fn set_share(&mut self, share: f64) {
        self.share = share;
    }

    /// What goes wrong with the call that a node makes now.
    pub fn sample(&mut self, node: usize) -> Option<ListFault> {
        let in_a_row = self.in_a_row.entry(node).or_default();
        if *in_a_row >= MAX_IN_A_ROW || !self.stream.random_bool(self.share.clamp(0.0, 1.0)) {
            *in_a_row = 0;
            return None;
        }
        *in_a_row += 1;
        Some(match self.stream.random_range(0..8) {
            0..=2 => ListFault::Silent,
            3..=4 => ListFault::Late(self.stream.random_range(0..MAX_DELAY)),
            5 => ListFault::Refused,
            6 => ListFault::Reset,
            _ => ListFault::Cut,
        })
    }
}
