//! What the rest of the program may ask.

use std::net::SocketAddr;

use super::joining::Lifecycle;
use super::Membership;
use crate::config::{Nanos, MS};
use crate::peer::State;
use crate::view::{Counts, Member, ViewSummary};

/// Time within which a member was heard to count as heard.
const HEARD_WITHIN: Nanos = 5_000 * MS;

impl Membership {
    /// All members that are not forgotten, this one among them, by name.
    pub fn members(&self, now: Nanos) -> Vec<Member> {
        let own = Member {
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
            silent_for: peer.last_heard.map(|at| now.saturating_sub(at)),
        });
        let mut all: Vec<Member> = others.chain([own]).collect();
        all.sort_by(|a, b| a.name.cmp(&b.name));
        all
    }

    /// How sure the view is.
    pub fn summary(&self, now: Nanos) -> ViewSummary {
        let mut confidence = ViewSummary::of(&self.me.profile, self.peers.iter(), now, HEARD_WITHIN);
        confidence.majority = self.majority;
        confidence
    }

    /// State of one member, by name.
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

    /// Whether this node hears more than half of what should be there.
    pub fn has_majority(&self) -> bool {
        self.majority
    }

    /// Members that are alive, this node among them.
    pub fn alive_count(&self) -> usize {
        1 + self.peers.values().filter(|peer| peer.state == State::Alive).count()
    }

    /// Whether this process takes part: it has neither left nor stood down.
    pub fn is_active(&self) -> bool {
        self.lifecycle == Lifecycle::Active
    }

    /// This node's own number.
    pub fn incarnation(&self) -> u64 {
        self.incarnation
    }

    /// The number of this process among all of its name.
    pub fn run(&self) -> u64 {
        self.me.run
    }

    /// What has been sent and heard.
    pub fn counts(&self) -> &Counts {
        &self.counts
    }

    /// Where live and dead members may be found again after a restart.
    pub fn addresses(&self) -> Vec<SocketAddr> {
        let others = self.peers.values().filter(|peer| !matches!(peer.state, State::Left { .. }));
        others.map(|peer| peer.profile.address).collect()
    }
}
