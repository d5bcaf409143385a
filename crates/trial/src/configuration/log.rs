//! A model of the agreed log, as far as announcements are concerned.

use merlinfold_distribution::{Announcement, ProposalError};

/// One order of announcements, and how much of it each node has heard.
#[derive(Clone, Debug)]
pub struct ModelLog {
    /// All that is agreed, in order; the register's revision of one is its place, counted from 1.
    pub agreed: Vec<Announcement>,
    /// The epoch.
    pub epoch: u64,
    heard: Vec<usize>, // by node: how many of them
    fresh: Vec<bool>,
}

impl ModelLog {
    /// An empty one among so many nodes.
    pub fn new(nodes: usize) -> Self {
        ModelLog { agreed: Vec::new(), epoch: 1, heard: vec![0; nodes], fresh: vec![false; nodes] }
    }

    /// Agrees on an announcement, where the register still stands there.
    pub fn agree(&mut self, announcement: Announcement, expect: u64) -> Result<(), ProposalError> {
        if self.agreed.last() == Some(&announcement) {
            return Ok(()); // proposed again
        }
        if expect != self.agreed.len() as u64 {
            return Err(ProposalError::Superseded);
        }
        self.agreed.push(announcement);
        Ok(())
    }

    /// How many announcements a node has heard.
    pub fn heard(&self, node: usize) -> usize {
        self.heard[node]
    }

    /// Whether what a node has heard counts as new.
    pub fn is_fresh(&self, node: usize) -> bool {
        self.fresh[node]
    }

    /// A node has started again and knows nothing.
    pub fn forget(&mut self, node: usize) {
        (self.heard[node], self.fresh[node]) = (0, false);
    }

    /// A node has heard so many; `fresh` where a voter with a majority says so.
    pub fn hear(&mut self, node: usize, count: usize, fresh: bool) {
        self.heard[node] = count.max(self.heard[node]);
        self.fresh[node] = fresh;
    }
}
