//! A model of the replicated log that only covers announcements.

use merlinfold_distribution::{Announcement, ProposalError};

/// One sequence of announcements, and how much of it each node knows.
#[derive(Clone, Debug)]
pub struct ModelLog {
    /// All committed announcements, in order.
    pub committed: Vec<Announcement>,
    /// Epoch of the log.
    pub epoch: u64,
    indexes: Vec<u64>, // log index of each announcement
    next_index: u64,
    known: Vec<usize>, // for each node, the number of announcements that it knows
    fresh: Vec<bool>,  // for each node, whether what it knows is confirmed to be current
}

impl ModelLog {
    /// Creates an empty log for this number of nodes.
    pub fn new(nodes: usize) -> Self {
        ModelLog {
            committed: Vec::new(),
            epoch: 1,
            indexes: Vec::new(),
            next_index: 0,
            known: vec![0; nodes],
            fresh: vec![false; nodes],
        }
    }

    /// Appends an announcement if the register still has the expected revision.
    pub fn append(&mut self, announcement: Announcement, expect: u64) -> Result<(), ProposalError> {
        if self.committed.last() == Some(&announcement) {
            return Ok(()); // proposed again
        }
        if expect != self.value_revision(self.committed.len()) {
            return Err(ProposalError::Superseded);
        }
        self.indexes.truncate(self.committed.len());
        self.next_index += 1;
        self.indexes.push(self.next_index);
        self.committed.push(announcement);
        Ok(())
    }

    /// Continues the log under the next epoch after the loss of a majority, without its last `without` announcements,
    /// which are returned.
    pub fn recreate(&mut self, without: usize) -> Vec<Announcement> {
        self.epoch += 1;
        let retained = self.committed.len().saturating_sub(without);
        self.known.iter_mut().for_each(|known| *known = retained.min(*known));
        self.committed.split_off(retained)
    }

    /// Returns the register's revision after the first `known` announcements; 0 if there are none. An index is never
    /// used twice.
    pub fn value_revision(&self, known: usize) -> u64 {
        known.checked_sub(1).map_or(0, |position| self.indexes[position])
    }

    /// Returns how many announcements a node knows.
    pub fn known_count(&self, node: usize) -> usize {
        self.known[node]
    }

    /// Returns whether what a node knows is confirmed to be current.
    pub fn is_fresh(&self, node: usize) -> bool {
        self.fresh[node]
    }

    /// Forgets what a node knew before it restarted.
    pub fn reset_node(&mut self, node: usize) {
        (self.known[node], self.fresh[node]) = (0, false);
    }

    /// A node learns of the first `count` announcements; `fresh` if a voter with a majority confirmed them.
    pub fn update_known(&mut self, node: usize, count: usize, fresh: bool) {
        self.known[node] = count.min(self.committed.len()).max(self.known[node]);
        self.fresh[node] = fresh;
    }
}
