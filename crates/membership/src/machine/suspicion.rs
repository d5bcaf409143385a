//! Suspicion: accusations, their expiry, and this node's refutation of accusations against itself.

use super::indirect::FINAL_PROBE;
use super::joining::Lifecycle;
use super::{Action, Membership};
use crate::broadcast::BroadcastQueue;
use crate::config::Nanos;
use crate::peer::{Peer, State};
use crate::record::{Name, Record, Status};
use crate::view::Change;
use crate::wire::Body;

/// Number of final probes that a suspect receives before it is declared dead.
const FINAL_PROBES: u8 = 3;
/// Maximum number of suspects that wait for a check.
const MAX_CHECKS: usize = 32;
/// Number of claims after which the other process with this name is known to be alive.
const MAX_NAME_CONFLICTS: u32 = 3;

impl Membership {
    /// Number of accusers beside the first that shorten the suspicion to its minimum.
    fn wanted_confirmations(&self) -> usize {
        self.tuning.confirmations.min(self.peers.len().saturating_sub(2))
    }

    fn suspicion_deadline(&self, peer: &Peer, wanted_accusers: usize) -> Option<Nanos> {
        peer.deadline(&self.tuning, wanted_accusers, self.health_multiplier())
    }

    /// Time at which the first suspicion expires.
    pub(super) fn first_suspicion_deadline(&self) -> Option<Nanos> {
        let wanted = self.wanted_confirmations();
        let deadline =
            |name| self.peers.get(name).and_then(|peer: &Peer| self.suspicion_deadline(peer, wanted));
        self.suspects.iter().filter_map(deadline).min()
    }

    /// Extends all suspicions by a time in which this node was stalled.
    pub(super) fn postpone_suspicions(&mut self, by: Nanos) {
        for name in &self.suspects {
            if let Some(peer) = self.peers.get_mut(name) {
                peer.postpone_suspicion(by);
            }
        }
    }

    /// Makes a member a suspect, or adds `by` to its accusers, and broadcasts the accusation.
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

    /// Schedules a check of a new suspect on a few randomly chosen members, which confirms a death early.
    fn maybe_schedule_check(&mut self, now: Nanos, suspect: &Name, by: &Name, live: usize) {
        let is_checker = *by != self.me.name && self.rng.usize(0..live.max(1)) < self.tuning.mean_checkers;
        if is_checker && self.checks.len() < MAX_CHECKS {
            self.checks.push_back(suspect.clone());
            self.next_probe = self.next_probe.min(now);
        }
    }

    /// Broadcasts an accusation, unless it is this node's own and the node is isolated.
    fn broadcast_accusation(&mut self, accusation: &Record, by: &Name) {
        if !self.isolated || *by != self.me.name {
            self.broadcasts.add(accusation);
        }
    }

    /// Sends final probes to suspects whose time is over, and declares them dead after the last one.
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

    /// Sends a final probe to a suspect, whose refutation may have been lost on the way to this node: a probe carries
    /// the accusation, and a member that has refuted it answers with its current record. Returns false if all final
    /// probes have been sent.
    fn send_final_probe(&mut self, now: Nanos, name: &Name, out: &mut Vec<Action>) -> bool {
        let until = now + self.tuning.probe_timeout * self.health_multiplier();
        let Some(peer) = self.peers.get_mut(name) else { return false };
        let State::Suspect { final_probe, .. } = &mut peer.state else { return false };
        let (sent, _) = final_probe.unwrap_or((0, now));
        if sent >= FINAL_PROBES {
            return false;
        }
        *final_probe = Some((sent + 1, until));
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

    /// Handles a record about this node itself, and refutes it if it is wrong.
    pub(super) fn merge_own(&mut self, record: &Record, out: &mut Vec<Action>) {
        if self.lifecycle != Lifecycle::Active {
            return;
        }
        let is_other_run = record.run != self.me.run;
        match &record.status {
            Status::Alive(_) if !is_other_run || record.precedence() <= self.own_record().precedence() => {
                return
            }
            Status::Alive(_) => {
                // The record comes from an earlier run of this node or from another process with its name. Only a live
                // process keeps answering with higher incarnations.
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
            Status::Suspect { .. } | Status::Dead if !is_other_run => {
                self.raise_local_health(1);
                self.counts.refutations += 1;
            }
            _ => {}
        }
        self.refute(record.incarnation);
    }

    /// Raises this node's incarnation above the given one and broadcasts the new record.
    fn refute(&mut self, incarnation: u64) {
        self.incarnation = incarnation + 1;
        self.digest_sums = None;
        let own = self.own_record();
        self.broadcasts.add(&own);
    }

    /// Stops, because a later process has this node's name.
    fn give_up_name(&mut self, out: &mut Vec<Action>) {
        self.lifecycle = Lifecycle::Stopped;
        self.broadcasts = BroadcastQueue::default();
        out.push(Action::Changed(Change::Superseded));
    }
}
