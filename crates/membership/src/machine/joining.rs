//! Joining and leaving: the search for members that are not there, goodbyes, and members that are forgotten.

use std::net::SocketAddr;

use super::{Action, Membership};
use crate::config::{Nanos, MS};
use crate::peer::{Peer, State};
use crate::record::Name;
use crate::view::Change;
use crate::wire::Body;

/// Time between tries to join while nobody else is known, at first.
pub(super) const MIN_REJOIN_WAIT: Nanos = 250 * MS;
/// Rounds of goodbyes.
const LEAVE_ROUNDS: u32 = 3;
/// Time between them.
const LEAVE_INTERVAL: Nanos = 100 * MS;
/// Members that are told in each.
const LEAVE_FAN_OUT: usize = 8;

/// Whether this process takes part.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Lifecycle {
    /// It does.
    Active,
    /// It says goodbye.
    Leaving {
        /// Rounds of goodbyes so far.
        rounds: u32,
        /// When the next one is due.
        next_round: Nanos,
    },
    /// It has left, or stood down for another process of this name.
    Stopped,
}

impl Membership {
    /// Looks for those who are not there: dead members and seeds.
    pub(super) fn rejoin(&mut self, now: Nanos, out: &mut Vec<Action>) {
        let is_alone = self.live_names().is_empty();
        let every = self.tuning.rejoin_interval;
        self.rejoin_wait = if is_alone { (self.rejoin_wait * 3 / 2).min(every) } else { every };
        self.next_rejoin = now + self.rejoin_wait / 2 + self.rng.u64(0..=self.rejoin_wait);
        let mut candidates = self.missing_addresses();
        if candidates.is_empty() {
            return;
        }
        let (name, address) = candidates.swap_remove(self.rng.usize(0..candidates.len()));
        let body = self.digest_request();
        self.send(name.as_ref(), address, body, &[self.own_record()], out);
    }

    /// Where dead members were, and the seeds at which no live member is.
    fn missing_addresses(&self) -> Vec<(Option<Name>, SocketAddr)> {
        let dead = self.peers.iter().filter(|(_, peer)| matches!(peer.state, State::Dead { .. }));
        let dead = dead.map(|(name, peer)| (Some(name.clone()), peer.profile.address));
        let is_present = |address: &SocketAddr| {
            *address == self.me.profile.address
                || self.peers.values().any(|peer| peer.is_live() && peer.profile.address == *address)
        };
        let seeds = self.me.seeds.iter().filter(|address| !is_present(address));
        dead.chain(seeds.map(|address| (None, *address))).collect()
    }

    /// Begins to leave.
    pub(super) fn leave(&mut self, now: Nanos, out: &mut Vec<Action>) {
        if self.lifecycle == Lifecycle::Active {
            self.lifecycle = Lifecycle::Leaving { rounds: 0, next_round: now };
            self.announce_leave(now, out);
        }
    }

    /// Tells a few members that this node leaves; stops after the last round.
    pub(super) fn announce_leave(&mut self, now: Nanos, out: &mut Vec<Action>) {
        let Lifecycle::Leaving { rounds, .. } = self.lifecycle else { return };
        if rounds >= LEAVE_ROUNDS {
            self.lifecycle = Lifecycle::Stopped;
            return;
        }
        self.lifecycle = Lifecycle::Leaving { rounds: rounds + 1, next_round: now + LEAVE_INTERVAL };
        let record = self.own_record();
        for name in self.sample_live(LEAVE_FAN_OUT) {
            self.send_to(&name, Body::Gossip, std::slice::from_ref(&record), out);
        }
    }

    /// Forgets members that have been dead or gone for long.
    pub(super) fn forget_expired(&mut self, now: Nanos, out: &mut Vec<Action>) {
        if !self.majority {
            return; // a small side that forgot the others would take itself for the whole
        }
        let expired = self.expired_members(now);
        if !expired.is_empty() {
            self.member_counts = None;
        }
        for name in expired {
            let was = self.peers.remove(&name).map(|peer| peer.state.name());
            self.broadcasts.remove(&name);
            out.push(Action::Changed(Change::Member { name, was, is: "forgotten" }));
        }
    }

    fn expired_members(&self, now: Nanos) -> Vec<Name> {
        let is_expired = |peer: &Peer| match peer.state {
            State::Dead { since, .. } => since + self.tuning.dead_retention <= now,
            State::Left { since } => since + self.tuning.left_retention <= now,
            _ => false,
        };
        self.peers.iter().filter(|(_, peer)| is_expired(peer)).map(|(name, _)| name.clone()).collect()
    }
}
