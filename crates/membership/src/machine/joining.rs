//! Joining and leaving: contacting dead members and seeds, announcing a leave, and forgetting members.

use std::net::SocketAddr;

use super::{Action, Membership};
use crate::config::{Nanos, MS};
use crate::peer::{Peer, State};
use crate::record::Name;
use crate::view::Change;
use crate::wire::Body;

/// Initial time between attempts to join while no other member is live.
pub(super) const MIN_REJOIN_WAIT: Nanos = 250 * MS;
/// Number of rounds in which a leave is announced.
const LEAVE_ROUNDS: u32 = 3;
/// Time between these rounds.
const LEAVE_INTERVAL: Nanos = 100 * MS;
/// Number of members to which each round is sent.
const LEAVE_FAN_OUT: usize = 8;

/// Lifecycle of this process in the fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Lifecycle {
    /// The process takes part in the protocol.
    Active,
    /// The process announces that it leaves.
    Leaving {
        /// Number of rounds sent so far.
        rounds: u32,
        /// Time of the next round.
        next_round: Nanos,
    },
    /// The process has left, or was superseded by another process with its name.
    Stopped,
}

impl Membership {
    /// Sends a digest to a random dead member or to a seed without a live member.
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

    /// Addresses of dead members, and of seeds at which no live member is known.
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

    /// Starts to leave the fleet.
    pub(super) fn leave(&mut self, now: Nanos, out: &mut Vec<Action>) {
        if self.lifecycle == Lifecycle::Active {
            self.lifecycle = Lifecycle::Leaving { rounds: 0, next_round: now };
            self.announce_leave(now, out);
        }
    }

    /// Announces the leave to a few members; stops after the last round.
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

    /// Forgets members whose retention time after death or leave is over.
    pub(super) fn forget_expired(&mut self, now: Nanos, out: &mut Vec<Action>) {
        if !self.majority {
            return; // a minority that forgot the others would take itself for the whole fleet
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
