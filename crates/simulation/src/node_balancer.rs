//! What spreads clients over nodes: it admits a node once that says it is ready, and notices late that one
//! has died.

use rand::seq::IndexedRandom;
use rand::Rng;

use crate::Nanos;

/// The front of one day.
#[derive(Debug)]
pub struct NodeBalancer {
    zones: Vec<usize>, // of each node
    admitted: Vec<bool>,
    gone_at: Vec<Option<Nanos>>, // when it will be noticed that it is gone
}

impl NodeBalancer {
    /// Nodes in these zones, none admitted yet.
    pub fn new(zones: Vec<usize>) -> Self {
        let count = zones.len();
        NodeBalancer { zones, admitted: vec![false; count], gone_at: vec![None; count] }
    }

    /// A node has answered that it is ready.
    pub fn node_ready(&mut self, node: usize) {
        self.admitted[node] = true;
        self.gone_at[node] = None;
    }

    /// A node has ended; it is still sent clients until then.
    pub fn node_stopped(&mut self, node: usize, noticed_at: Nanos) {
        self.gone_at[node] = Some(noticed_at);
    }

    /// A node for a client of this zone: one of its own zone if there is any.
    pub fn pick_node(&mut self, now: Nanos, zone: usize, rng: &mut impl Rng) -> Option<usize> {
        for (gone, admitted) in self.gone_at.iter_mut().zip(&mut self.admitted) {
            if gone.is_some_and(|at| at <= now) {
                (*gone, *admitted) = (None, false);
            }
        }
        let all = || (0..self.zones.len()).filter(|&node| self.admitted[node]);
        let near: Vec<usize> = all().filter(|&node| self.zones[node] == zone).collect();
        let from = if near.is_empty() { all().collect() } else { near };
        from.choose(rng).copied()
    }
}
