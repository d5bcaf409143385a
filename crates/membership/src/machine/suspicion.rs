//! Suspicion: accusations, the time to refute them, and this node's refutation of those against itself.

use super::indirect::FINAL_PROBE;
use super::joining::Lifecycle;
use super::{Action, Membership};
use crate::broadcast::BroadcastQueue;
use crate::config::Nanos;
use crate::peer::{Peer, State};
use crate::record::{Name, Record, Status};
use crate::view::Change;
use crate::wire::Body;

/// Times that a suspect is asked itself before it is held dead.
const FINAL_PROBES: u8 = 3;
/// Accusations to be checked that wait at once.
const MAX_CHECKS: usize = 32;
/// Claims of another process of this name, until it is sure to be alive.
const MAX_NAME_CONFLICTS: u32 = 3;

impl Membership {
    /// Accusers beside the first that shorten the time to refute.
    fn wanted_confirmations(&self) -> usize {
        self.tuning.confirmations.min(self.peers.len().saturating_sub(2))
    }

    fn suspicion_deadline(&self, peer: &Peer, wanted_accusers: usize) -> Option<Nanos> {
        peer.deadline(&self.tuning, wanted_accusers, self.health_multiplier())
    }

    /// When the first suspect's time to refute is over.
    pub(super) fn first_suspicion_deadline(&self) -> Option<Nanos> {
        let wanted = self.wanted_confirmations();
        let deadline =
            |name| self.peers.get(name).and_then(|peer: &Peer| self.suspicion_deadline(peer, wanted));
        self.suspects.iter().filter_map(deadline).min()
    }

    /// Gives suspects as much more time as this node did nothing.
    pub(super) fn postpone_suspicions(&mut self, by: Nanos) {
        for name in &self.suspects {
            if let Some(peer) = self.peers.get_mut(name) {
                peer.postpone_suspicion(by);
            }
        }
    }

    /// Holds an accusation of a member by `by`, and tells others of it.
    pub(super) fn accuse(&mut self, now: Nanos, record: &Record, by: Name, out: &mut Vec<Action>) {
        let wanted = self.wanted_confirmations();
        let live = self.live_names().len();
        let Some(peer) = self.peers.get_mut(&record.name) else { return };
        let was = peer.state.name();
        let accusation = Record { status: Status::Suspect { by: by.clone() }, ..record.clone() };
        (peer.incarnation, peer.run) = (record.incarnation, record.run);
        if let State::Suspect { accusers, .. } = &mut peer.state {
            if accusers.len() <= wanted && !accusers.contains(&by) {
                accusers.push(by.clone());
                self.broadcast_accusation(&accusation, &by);
            }
            return;
        }
        peer.state = State::Suspect { since: now, accusers: vec![by.clone()], final_probe: None };
        self.suspects.insert(record.name.clone());
        self.maybe_schedule_check(now, &record.name, &by, live);
        let change = Change::Member { name: record.name.clone(), was: Some(was), is: "suspect" };
        out.push(Action::Changed(change));
        self.invalidate_caches();
        self.broadcast_accusation(&accusation, &by);
    }

    /// Some of those who hear of an accusation look for themselves, which is what confirms a death soon.
    fn maybe_schedule_check(&mut self, now: Nanos, suspect: &Name, by: &Name, live: usize) {
        let is_checker = *by != self.me.name && self.rng.usize(0..live.max(1)) < self.tuning.mean_checkers;
        if is_checker && self.checks.len() < MAX_CHECKS {
            self.checks.push_back(suspect.clone());
            self.next_probe = self.next_probe.min(now);
        }
    }

    /// Tells others, unless it is this node's own accusation and it hears nobody.
    fn broadcast_accusation(&mut self, accusation: &Record, by: &Name) {
        if !self.isolated || *by != self.me.name {
            self.broadcasts.add(accusation);
        }
    }

    /// Asks suspects whose time is over a last few times, and holds them dead then.
    pub(super) fn expire_suspicions(&mut self, now: Nanos, out: &mut Vec<Action>) {
        for name in self.expired_suspects(now) {
            if !self.send_final_probe(now, &name, out) {
                self.declare_dead(now, name, out);
            }
        }
    }

    fn expired_suspects(&self, now: Nanos) -> Vec<Name> {
        let wanted = self.wanted_confirmations();
        let is_expired = |name: &&Name| {
            let peer = self.peers.get(*name);
            let deadline = peer.and_then(|peer| self.suspicion_deadline(peer, wanted));
            deadline.is_none_or(|at| at <= now)
        };
        self.suspects.iter().filter(is_expired).cloned().collect()
    }

    /// Probes a suspect itself, whose refutation may be what did not come here: whoever is probed with an accusation
    /// that it has refuted answers with what holds. False if it was asked often enough.
    fn send_final_probe(&mut self, now: Nanos, name: &Name, out: &mut Vec<Action>) -> bool {
        let until = now + self.tuning.probe_timeout * self.health_multiplier();
        let Some(peer) = self.peers.get_mut(name) else { return false };
        let State::Suspect { final_probe, .. } = &mut peer.state else { return false };
        let (asked, _) = final_probe.unwrap_or((0, now));
        if asked >= FINAL_PROBES {
            return false;
        }
        *final_probe = Some((asked + 1, until));
        self.send_to(name, Body::Ping { probe: FINAL_PROBE }, &[], out);
        true
    }

    fn declare_dead(&mut self, now: Nanos, name: Name, out: &mut Vec<Action>) {
        let Some(peer) = self.peers.get_mut(&name) else { return };
        self.suspects.remove(&name);
        peer.state = State::Dead { since: now, had_majority: self.majority };
        let record = Record { name, incarnation: peer.incarnation, run: peer.run, status: Status::Dead };
        self.announce(&record, Some("suspect"), "dead", out);
    }

    /// Others tell this node what they hold of it: what is not so is refuted.
    pub(super) fn merge_own(&mut self, record: &Record, out: &mut Vec<Action>) {
        if self.lifecycle != Lifecycle::Active {
            return;
        }
        let is_other_start = record.run != self.me.run;
        match &record.status {
            Status::Alive(_) if !is_other_start || record.precedence() <= self.own_record().precedence() => {
                return
            }
            Status::Alive(_) => {
                // One start of this node before it, or another process with its name. Only a living one goes on
                // answering with ever greater numbers.
                self.name_conflicts += 1;
                if self.name_conflicts >= MAX_NAME_CONFLICTS && record.run > self.me.run {
                    self.give_up_name(out);
                    return;
                }
            }
            _ if record.incarnation < self.incarnation => {
                self.sender_missed_refutation = true;
                return;
            }
            Status::Suspect { .. } | Status::Dead if !is_other_start => {
                self.raise_local_health(1);
                self.counts.refutations += 1;
            }
            _ => {}
        }
        self.refute(record.incarnation);
    }

    /// Raises this node's own incarnation above the one that was told, and tells others.
    fn refute(&mut self, incarnation: u64) {
        self.incarnation = incarnation + 1;
        self.digest_sums = None;
        let own = self.own_record();
        self.broadcasts.add(&own);
    }

    /// Leaves the name to the later process that has it.
    fn give_up_name(&mut self, out: &mut Vec<Action>) {
        self.lifecycle = Lifecycle::Stopped;
        self.broadcasts = BroadcastQueue::default();
        out.push(Action::Changed(Change::Superseded));
    }
}
