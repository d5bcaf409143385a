//! Read access to the view.

use std::net::SocketAddr;

use super::joining::Lifecycle;
use super::Membership;
use crate::config::{Nanos, MS};
use crate::peer::State;
use crate::view::{Counts, Member, ViewSummary};

/// Time within which a datagram of a member counts as recent.
const RECENT_WINDOW: Nanos = 5_000 * MS;

impl Membership {
    /// All known members including this node, sorted by name.
    pub fn members(&self, now: Nanos) -> Vec<Member> {
        let own_member = Member {
            name: self.me.name.clone(),
            profile: self.me.profile.clone(),
            incarnation: self.incarnation,
            state: self.own_state(),
            silent_for: Some(0),
        };
        let others = self.peers.iter().map(|(name, peer)| Member {
            name: name.clone(),
            profile: peer.profile.clone(),
            incarnation: peer.incarnation,
            state: peer.state.name(),
            silent_for: peer.last_seen.map(|at| now.saturating_sub(at)),
        });
        let mut members: Vec<Member> = others.chain([own_member]).collect();
        members.sort_by(|a, b| a.name.cmp(&b.name));
        members
    }

    /// Summary of how much of the fleet this node reaches.
    pub fn summary(&self, now: Nanos) -> ViewSummary {
        let mut summary = ViewSummary::from_peers(&self.me.profile, self.peers.iter(), now, RECENT_WINDOW);
        summary.majority = self.majority;
        summary
    }

    /// State of the member with this name.
    pub fn state_of(&self, name: &str) -> Option<&'static str> {
        if *self.me.name == *name {
            return Some(self.own_state());
        }
        self.peers.get(name).map(|peer| peer.state.name())
    }

    fn own_state(&self) -> &'static str {
        if self.is_active() {
            "alive"
        } else {
            "left"
        }
    }

    /// Whether this node reaches more than half of the expected members.
    pub fn has_majority(&self) -> bool {
        self.majority
    }

    /// Number of members that are alive, including this node.
    pub fn alive_count(&self) -> usize {
        1 + self.peers.values().filter(|peer| peer.state == State::Alive).count()
    }

    /// Whether this process takes part: it has neither left nor been superseded.
    pub fn is_active(&self) -> bool {
        self.lifecycle == Lifecycle::Active
    }

    /// Incarnation of this node.
    pub fn incarnation(&self) -> u64 {
        self.incarnation
    }

    /// Run number of this process.
    pub fn run(&self) -> u64 {
        self.me.run
    }

    /// Counters of the protocol since the start.
    pub fn counts(&self) -> &Counts {
        &self.counts
    }

    /// Addresses of all other members except those that have left, for use after a restart.
    pub fn addresses(&self) -> Vec<SocketAddr> {
        let others = self.peers.values().filter(|peer| !matches!(peer.state, State::Left { .. }));
        others.map(|peer| peer.profile.address).collect()
    }
}
