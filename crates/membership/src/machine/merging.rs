//! Merging of records, received from others or found by this node, into the view.

use super::joining::Lifecycle;
use super::{Action, Membership};
use crate::config::{Nanos, MAX_MEMBERS};
use crate::peer::{Peer, State};
use crate::record::{Name, Profile, Record, Status};
use crate::view::Change;
use crate::wire::{DatagramError, ReplayWindow};

/// Whether the record is about the stored incarnation and run of the member.
fn is_same_claim(peer: &Peer, record: &Record) -> bool {
    record.incarnation == peer.incarnation && record.run == peer.run
}

/// Whether the record may accuse the member: it is not outdated, and the member is not immune.
fn accepts_accusation(peer: &Peer, record: &Record, now: Nanos) -> bool {
    let is_newer = record.incarnation > peer.incarnation;
    (is_newer || is_same_claim(peer, record) && peer.is_live()) && !peer.is_immune(now)
}

impl Membership {
    /// The record that this node announces about itself.
    pub(super) fn own_record(&self) -> Record {
        let status = match self.lifecycle {
            Lifecycle::Active => Status::Alive(self.me.profile.clone()),
            _ => Status::Left,
        };
        Record { name: self.me.name.clone(), incarnation: self.incarnation, run: self.me.run, status }
    }

    /// Merges a record. `from` is the sender, or `None` if this node produced the record itself.
    pub(super) fn merge(&mut self, now: Nanos, record: &Record, from: Option<&Name>, out: &mut Vec<Action>) {
        if record.name == self.me.name {
            return self.merge_own(record, out);
        }
        match &record.status {
            Status::Alive(profile) => self.merge_alive(now, record, profile, out),
            Status::Suspect { by } => self.merge_suspect(now, record, by, out),
            Status::Dead => self.merge_dead(now, record, from, out),
            Status::Left => self.merge_left(now, record, out),
        }
    }

    fn merge_alive(&mut self, now: Nanos, record: &Record, profile: &Profile, out: &mut Vec<Action>) {
        let Some(peer) = self.peers.get_mut(&record.name) else {
            return self.add_member(record, profile, out);
        };
        if record.precedence() <= peer.precedence() {
            return;
        }
        let was = peer.state.name();
        if record.run != peer.run {
            peer.replay_window = ReplayWindow::default();
            peer.last_seen = None;
        }
        (peer.incarnation, peer.run) = (record.incarnation, record.run);
        peer.profile = profile.clone();
        if peer.state == State::Alive {
            self.digest_sums = None;
            self.broadcasts.add(record);
            return;
        }
        peer.state = State::Alive;
        peer.record_refutation(now);
        self.suspects.remove(&record.name);
        self.announce(record, Some(was), "alive", out);
    }

    /// Adds a new member to the view and to a random position of the current probe round.
    fn add_member(&mut self, record: &Record, profile: &Profile, out: &mut Vec<Action>) {
        if self.peers.len() + 1 >= MAX_MEMBERS {
            self.count_dropped(DatagramError::Full);
            return;
        }
        let peer = Peer::new(profile.clone(), record.incarnation, record.run);
        self.peers.insert(record.name.clone(), peer);
        let position = self.rng.usize(0..=self.probe_round.len());
        self.probe_round.insert(position, record.name.clone());
        self.announce(record, None, "alive", out);
    }

    fn merge_suspect(&mut self, now: Nanos, record: &Record, by: &Name, out: &mut Vec<Action>) {
        let Some(peer) = self.peers.get(&record.name) else { return };
        if accepts_accusation(peer, record, now) {
            self.accuse(now, record, by.clone(), out);
        }
    }

    fn merge_dead(&mut self, now: Nanos, record: &Record, from: Option<&Name>, out: &mut Vec<Action>) {
        let Some(peer) = self.peers.get_mut(&record.name) else { return };
        if !accepts_accusation(peer, record, now) {
            return;
        }
        let is_suspect = matches!(peer.state, State::Suspect { .. });
        if !is_suspect || !is_same_claim(peer, record) {
            // The member was not suspected here, so it becomes a suspect first and has time to refute.
            if let Some(from) = from {
                self.accuse(now, record, from.clone(), out);
            }
            return;
        }
        let was = peer.state.name();
        peer.state = State::Dead { since: now, had_majority: self.majority };
        self.suspects.remove(&record.name);
        self.announce(record, Some(was), "dead", out);
    }

    fn merge_left(&mut self, now: Nanos, record: &Record, out: &mut Vec<Action>) {
        let Some(peer) = self.peers.get_mut(&record.name) else { return };
        let is_newer = record.incarnation > peer.incarnation;
        let is_current = is_newer || is_same_claim(peer, record);
        if !is_current || matches!(peer.state, State::Left { .. }) {
            return;
        }
        let was = peer.state.name();
        peer.incarnation = record.incarnation;
        peer.run = record.run;
        peer.state = State::Left { since: now };
        self.suspects.remove(&record.name);
        self.announce(record, Some(was), "left", out);
    }

    /// Broadcasts a state change of a member, and reports it to the caller.
    pub(super) fn announce(
        &mut self, record: &Record, was: Option<&'static str>, is: &'static str, out: &mut Vec<Action>,
    ) {
        self.invalidate_caches();
        if !self.isolated || !matches!(record.status, Status::Dead) {
            self.broadcasts.add(record);
        }
        out.push(Action::Changed(Change::Member { name: record.name.clone(), was, is }));
    }
}
