//! Direct failure detection: members are probed one after another, in rounds of random order.

use std::collections::{BTreeMap, BTreeSet};

use super::indirect::FINAL_PROBE;
use super::{Action, Membership};
use crate::config::{Nanos, MS};
use crate::peer::{Peer, State};
use crate::record::{Name, Record, Status};
use crate::wire::{Body, DatagramError};

/// Number of attempts of a probe: the first is direct only, the others also use helpers.
const PROBE_ATTEMPTS: u8 = 3;
/// Time without any datagram after which a node considers itself isolated.
const ISOLATED_AFTER: Nanos = 1_000 * MS;
/// Time without any datagram after which an isolated node accuses others all the same.
const ACCUSE_ANYWAY_AFTER: Nanos = 6_000 * MS;

/// A pending probe.
#[derive(Clone, Debug)]
pub(super) struct Probe {
    pub number: u64,
    pub target: Name,
    /// Whether the target was chosen by the round and not as a suspect. Only these probes sample the whole fleet.
    pub in_turn: bool,
    attempts: u8,
    next_step: Nanos,
    pub helpers: BTreeSet<Name>,
    /// Whether any helper has answered, even with a negative acknowledgement.
    helper_answered: bool,
}

impl Membership {
    /// Time of the next attempt or expiry of the pending probe, or else of the next probe.
    pub(super) fn next_probe_step(&self) -> Nanos {
        self.probe.as_ref().map_or(self.next_probe, |probe| probe.next_step)
    }

    /// Continues the pending probe or starts the next one if it is due.
    pub(super) fn advance_probe(&mut self, now: Nanos, out: &mut Vec<Action>) {
        if let Some(mut probe) = self.probe.take() {
            if probe.next_step > now {
                self.probe = Some(probe);
                return;
            }
            if probe.attempts < PROBE_ATTEMPTS {
                self.attempt_probe(now, &mut probe, out);
                self.probe = Some(probe);
                return;
            }
            self.probe_failed(now, &probe, out);
        }
        if self.next_probe <= now {
            self.begin_probe(now, out);
        }
    }

    fn begin_probe(&mut self, now: Nanos, out: &mut Vec<Action>) {
        self.next_probe = now + self.tuning.probe_interval;
        let Some((target, in_turn)) = self.next_target() else { return };
        let mut probe = Probe {
            number: self.next_probe_number(),
            target,
            in_turn,
            attempts: 0,
            next_step: now,
            helpers: BTreeSet::new(),
            helper_answered: false,
        };
        self.attempt_probe(now, &mut probe, out);
        self.probe = Some(probe);
    }

    pub(super) fn next_probe_number(&mut self) -> u64 {
        self.last_probe_number += 1;
        self.last_probe_number
    }

    /// The next member to probe, and whether the round chose it.
    fn next_target(&mut self) -> Option<(Name, bool)> {
        while let Some(name) = self.checks.pop_front() {
            if self.suspects.contains(&name) {
                return Some((name, false));
            }
        }
        loop {
            if self.probe_round.is_empty() {
                self.begin_round();
            }
            let name = self.probe_round.pop()?;
            if self.peers.get(&name).is_some_and(|peer| self.is_probed(peer)) {
                return Some((name, true));
            }
        }
    }

    fn begin_round(&mut self) {
        self.probe_round = if self.majority { self.live_names().to_vec() } else { self.remaining_names() };
        self.rng.shuffle(&mut self.probe_round);
    }

    /// Whether the round includes this member. A node without a majority also probes dead members, because only that
    /// shows when it has a majority again.
    fn is_probed(&self, peer: &Peer) -> bool {
        peer.is_live() || !self.majority && !matches!(peer.state, State::Left { .. })
    }

    /// Names of all members that have not left.
    fn remaining_names(&self) -> Vec<Name> {
        let has_not_left = |peer: &Peer| !matches!(peer.state, State::Left { .. });
        self.peers.iter().filter(|(_, peer)| has_not_left(peer)).map(|(name, _)| name.clone()).collect()
    }

    fn attempt_probe(&mut self, now: Nanos, probe: &mut Probe, out: &mut Vec<Action>) {
        probe.attempts += 1;
        probe.next_step = now + self.tuning.probe_timeout * self.health_multiplier();
        self.send_to(&probe.target, Body::Ping { probe: probe.number }, &[], out);
        if probe.attempts == 1 {
            return;
        }
        let Some(address) = self.peers.get(&probe.target).map(|peer| peer.profile.address) else { return };
        for helper in self.choose_helpers(probe) {
            let body = Body::Ask { probe: probe.number, target: probe.target.clone(), address };
            self.send_to(&helper, body, &[], out);
            probe.helpers.insert(helper);
        }
    }

    /// Chooses helpers for a probe: members of other zones first, and one of each zone before a second of any.
    fn choose_helpers(&mut self, probe: &Probe) -> Vec<Name> {
        let mut candidates: Vec<Name> = self.live_names().to_vec();
        candidates.retain(|name| {
            *name != probe.target && !probe.helpers.contains(name) && !self.suspects.contains(name)
        });
        self.rng.shuffle(&mut candidates);
        let mut chosen_by_zone: BTreeMap<Name, usize> = BTreeMap::new();
        let mut ranked: Vec<(bool, usize, Name)> = Vec::new();
        for name in candidates {
            let Some(peer) = self.peers.get(&name) else { continue };
            let chosen_before = chosen_by_zone.entry(peer.profile.zone.clone()).or_default();
            ranked.push((peer.profile.zone == self.me.profile.zone, *chosen_before, name));
            *chosen_before += 1;
        }
        // A stable sort preserves the random order among equals.
        ranked.sort_by_key(|(own_zone, chosen_before, _)| (*own_zone, *chosen_before));
        ranked.into_iter().take(self.tuning.helpers).map(|(_, _, name)| name).collect()
    }

    fn probe_failed(&mut self, now: Nanos, probe: &Probe, out: &mut Vec<Action>) {
        self.note_probe_result(probe, false);
        if !probe.helpers.is_empty() && !probe.helper_answered {
            self.raise_local_health(1); // not even a negative acknowledgement: this node may be slow
        }
        // A node that receives nothing from anybody is more likely to be at fault itself, so it waits before it
        // accuses.
        let silence = now.saturating_sub(self.last_received);
        self.isolated = silence > ISOLATED_AFTER * self.health_multiplier();
        if self.isolated && silence < ACCUSE_ANYWAY_AFTER {
            return;
        }
        let Some(peer) = self.peers.get(&probe.target).filter(|peer| peer.is_live()) else { return };
        let status = Status::Suspect { by: self.me.name.clone() };
        let record =
            Record { name: probe.target.clone(), incarnation: peer.incarnation, run: peer.run, status };
        self.counts.accusations += 1;
        self.merge(now, &record, None, out);
    }

    /// Handles the answer to a probe of this node or to an indirect probe.
    pub(super) fn handle_ack(
        &mut self, now: Nanos, from: &Name, number: u64, out: &mut Vec<Action>,
    ) -> Result<(), DatagramError> {
        if number == FINAL_PROBE {
            return Ok(());
        }
        let answered_probe = self.probe.take_if(|probe| {
            probe.number == number && (probe.target == *from || probe.helpers.contains(from))
        });
        match answered_probe {
            Some(probe) => {
                self.probe_succeeded(now, &probe, out);
                Ok(())
            }
            None => self.forward_ack(number, out),
        }
    }

    fn probe_succeeded(&mut self, now: Nanos, probe: &Probe, out: &mut Vec<Action>) {
        self.local_health = self.local_health.saturating_sub(1);
        self.note_probe_result(probe, true);
        let Some(peer) = self.peers.get_mut(&probe.target) else { return };
        if !matches!(peer.state, State::Dead { had_majority: false, .. }) {
            return;
        }
        peer.state = State::Alive;
        peer.record_refutation(now);
        let status = Status::Alive(peer.profile.clone());
        let record =
            Record { name: probe.target.clone(), incarnation: peer.incarnation, run: peer.run, status };
        self.announce(&record, Some("dead"), "alive", out);
    }

    /// Handles the negative acknowledgement of a helper.
    pub(super) fn handle_nack(&mut self, from: &Name, number: u64) -> Result<(), DatagramError> {
        let probe = self.probe.as_mut().filter(|probe| probe.number == number);
        let probe = probe.filter(|probe| probe.helpers.contains(from)).ok_or(DatagramError::Unexpected)?;
        probe.helper_answered = true;
        Ok(())
    }
}
