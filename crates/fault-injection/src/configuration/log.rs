//! A model of the agreed log, as far as announcements are concerned.

use merlinfold_distribution::{Announcement, ProposalError};

/// One order of announcements, and how much of it each node has heard.
#[derive(Clone, Debug)]
pub struct ModelLog {
    /// All that is agreed, in order.
    pub agreed: Vec<Announcement>,
    /// The epoch.
    pub epoch: u64,
    places: Vec<u64>, // of each of them in the log
    next_place: u64,
    heard: Vec<usize>, // by node: how many of them
    fresh: Vec<bool>,
}

impl ModelLog {
    /// An empty one among so many nodes.
    pub fn new(nodes: usize) -> Self {
        ModelLog {
            agreed: Vec::new(),
            epoch: 1,
            places: Vec::new(),
            next_place: 0,
            heard: vec![0; nodes],
            fresh: vec![false; nodes],
        }
    }

    /// Agrees on an announcement, where the register still stands there.
    pub fn agree(&mut self, announcement: Announcement, expect: u64) -> Result<(), ProposalError> {
        if self.agreed.last() == Some(&announcement) {
            return Ok(()); // proposed again
        }
        if expect != self.value_revision(self.agreed.len()) {
            return Err(ProposalError::Superseded);
        }
        self.places.truncate(self.agreed.len());
        self.next_place += 1;
        self.places.push(self.next_place);
        self.agreed.push(announcement);
        Ok(())
    }

    /// A majority is lost at once: the log goes on under the next epoch, without its last so many announcements, which
    /// are told.
    pub fn found_anew(&mut self, without: usize) -> Vec<Announcement> {
        self.epoch += 1;
        let kept = self.agreed.len().saturating_sub(without);
        self.heard.iter_mut().for_each(|heard| *heard = kept.min(*heard));
        self.agreed.split_off(kept)
    }

    /// The register's revision of what a node has heard; 0: it has heard of nothing. A place is never used twice.
    pub fn value_revision(&self, heard: usize) -> u64 {
        heard.checked_sub(1).map_or(0, |place| self.places[place])
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
        self.heard[node] = count.min(self.agreed.len()).max(self.heard[node]);
        self.fresh[node] = fresh;
    }
}
