//! A model of the agreed log, as far as announcements are concerned.

use merlinfold_distribution::{Announcement, ProposalError};

/// One order of announcements, and how much of it each node has heard.
#[derive(Clone, Debug)]
pub struct ModelLog {
    /// All that is agreed, in order.
    pub committed: Vec<Announcement>,
    /// The epoch.
    pub epoch: u64,
    indexes: Vec<u64>, // of each of them in the log
    next_index: u64,
    known: Vec<usize>, // by node: how many of them
    fresh: Vec<bool>,
}

impl ModelLog {
    /// An empty one among so many nodes.
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

    /// Agrees on an announcement, where the register still stands there.
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

    /// A majority is lost at once: the log goes on under the next epoch, without its last so many announcements, which
    /// are told.
    pub fn recreate_log(&mut self, without: usize) -> Vec<Announcement> {
        self.epoch += 1;
        let retained = self.committed.len().saturating_sub(without);
        self.known.iter_mut().for_each(|known| *known = retained.min(*known));
        self.committed.split_off(retained)
    }

    /// The register's revision of what a node has heard; 0: it has heard of nothing. A place is never used twice.
    pub fn value_revision(&self, known: usize) -> u64 {
        known.checked_sub(1).map_or(0, |position| self.indexes[position])
    }

    /// How many announcements a node has heard.
    pub fn known_count(&self, node: usize) -> usize {
        self.known[node]
    }

    /// Whether what a node has heard counts as new.
    pub fn is_fresh(&self, node: usize) -> bool {
        self.fresh[node]
    }

    /// A node has started again and knows nothing.
    pub fn reset_node(&mut self, node: usize) {
        (self.known[node], self.fresh[node]) = (0, false);
    }

    /// A node has heard so many; `fresh` where a voter with a majority says so.
    pub fn update_known(&mut self, node: usize, count: usize, fresh: bool) {
        self.known[node] = count.min(self.committed.len()).max(self.known[node]);
        self.fresh[node] = fresh;
    }
}
