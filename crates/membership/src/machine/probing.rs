//! Direct failure detection: one member after another is probed, in rounds of a drawn order.

use std::collections::{BTreeMap, BTreeSet};

use super::indirect::FINAL_PROBE;
use super::{Action, Membership};
use crate::config::{Nanos, MS};
use crate::peer::{Peer, State};
use crate::record::{Name, Record, Status};
use crate::wire::{Body, DatagramError};

/// Attempts of a probe: the first alone, the others with helpers.
const PROBE_ATTEMPTS: u8 = 3;
/// Silence of everybody after which a node takes itself to be at fault.
const ISOLATED_AFTER: Nanos = 1_000 * MS;
/// Silence of everybody after which the others are accused all the same.
const ACCUSE_ANYWAY_AFTER: Nanos = 6_000 * MS;

/// A probe under way.
#[derive(Clone, Debug)]
pub(super) struct Probe {
    pub number: u64,
    pub target: Name,
    /// Drawn in its turn, not because it was accused: only such a probe tells of the fleet as a whole.
    pub in_turn: bool,
    attempts: u8,
    next_step: Nanos,
    pub helpers: BTreeSet<Name>,
    /// Any helper answered, if only that it has heard nothing.
    helper_answered: bool,
}

impl Membership {
    /// When the probe under way, or the next one, goes on.
    pub(super) fn next_probe_step(&self) -> Nanos {
        self.probe.as_ref().map_or(self.next_probe, |probe| probe.next_step)
    }

    /// Goes on with the probe under way, or begins the next one, if it is time.
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

    /// The member to probe next, and whether it is its turn.
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

    /// A node without a majority probes the dead as well: only that tells it when it has one again.
    fn is_probed(&self, peer: &Peer) -> bool {
        peer.is_live() || !self.majority && !matches!(peer.state, State::Left { .. })
    }

    /// All members that did not leave.
    fn remaining_names(&self) -> Vec<Name> {
        let remains = |peer: &Peer| !matches!(peer.state, State::Left { .. });
        self.peers.iter().filter(|(_, peer)| remains(peer)).map(|(name, _)| name.clone()).collect()
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

    /// Members to ask for a probe that does not go through: of other zones first, each zone once before any twice.
    fn choose_helpers(&mut self, probe: &Probe) -> Vec<Name> {
        let mut able: Vec<Name> = self.live_names().to_vec();
        able.retain(|name| {
            *name != probe.target && !probe.helpers.contains(name) && !self.suspects.contains(name)
        });
        self.rng.shuffle(&mut able);
        let mut drawn_of_zone: BTreeMap<Name, usize> = BTreeMap::new();
        let mut ranked: Vec<(bool, usize, Name)> = Vec::new();
        for name in able {
            let Some(peer) = self.peers.get(&name) else { continue };
            let earlier = drawn_of_zone.entry(peer.profile.zone.clone()).or_default();
            ranked.push((peer.profile.zone == self.me.profile.zone, *earlier, name));
            *earlier += 1;
        }
        ranked.sort_by_key(|(own_zone, earlier, _)| (*own_zone, *earlier)); // stable: the order stays a drawn one
        ranked.into_iter().take(self.tuning.helpers).map(|(_, _, name)| name).collect()
    }

    fn probe_failed(&mut self, now: Nanos, probe: &Probe, out: &mut Vec<Action>) {
        self.note_probe_result(probe, false);
        if !probe.helpers.is_empty() && !probe.helper_answered {
            self.raise_local_health(1); // not one of them said even that it had no answer
        }
        // Whoever hears nobody at all is more likely to be at fault itself, for a while.
        let silence = now.saturating_sub(self.last_heard);
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

    /// An answer to a probe: to this node's own, or to one that it makes for another.
    pub(super) fn handle_ack(
        &mut self, now: Nanos, from: &Name, number: u64, out: &mut Vec<Action>,
    ) -> Result<(), DatagramError> {
        if number == FINAL_PROBE {
            return Ok(());
        }
        let answered = self.probe.take_if(|probe| {
            probe.number == number && (probe.target == *from || probe.helpers.contains(from))
        });
        match answered {
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

    /// A helper says that it has asked and heard nothing so far.
    pub(super) fn handle_nack(&mut self, from: &Name, number: u64) -> Result<(), DatagramError> {
        let own = self.probe.as_mut().filter(|probe| probe.number == number);
        let asked = own.filter(|probe| probe.helpers.contains(from)).ok_or(DatagramError::Unexpected)?;
        asked.helper_answered = true;
        Ok(())
    }
}
