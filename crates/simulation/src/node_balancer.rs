//! The balancer that spreads clients over nodes. It admits a node once the node reports that it is ready, and notices
//! with a delay that a node has stopped.

use rand::seq::IndexedRandom;
use rand::Rng;

use crate::Nanos;

/// The balancer of one run.
#[derive(Debug)]
pub struct NodeBalancer {
    zones: Vec<usize>, // by node
    admitted: Vec<bool>,
    removal_at: Vec<Option<Nanos>>, // when the balancer notices that the node has stopped
}

impl NodeBalancer {
    /// Creates a balancer for nodes with the given zones; no node is admitted yet.
    pub fn new(zones: Vec<usize>) -> Self {
        let count = zones.len();
        NodeBalancer { zones, admitted: vec![false; count], removal_at: vec![None; count] }
    }

    /// Admits a node that has reported that it is ready.
    pub fn node_ready(&mut self, node: usize) {
        self.admitted[node] = true;
        self.removal_at[node] = None;
    }

    /// Records that a node has stopped. It still gets clients until `noticed_at`.
    pub fn node_stopped(&mut self, node: usize, noticed_at: Nanos) {
        self.removal_at[node] = Some(noticed_at);
    }

    /// Picks an admitted node for a client in `zone`, from the same zone if it has any.
    pub fn pick_node(&mut self, now: Nanos, zone: usize, rng: &mut impl Rng) -> Option<usize> {
        for (removal, admitted) in self.removal_at.iter_mut().zip(&mut self.admitted) {
            if removal.is_some_and(|at| at <= now) {
                (*removal, *admitted) = (None, false);
            }
        }
        let admitted = || (0..self.zones.len()).filter(|&node| self.admitted[node]);
        let local: Vec<usize> = admitted().filter(|&node| self.zones[node] == zone).collect();
        let candidates = if local.is_empty() { admitted().collect() } else { local };
        candidates.choose(rng).copied()
    }
}
