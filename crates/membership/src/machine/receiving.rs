//! Datagrams that come in: checked, counted, and handed to the part of the protocol that they belong to.

use std::net::SocketAddr;

use super::indirect::Origin;
use super::joining::Lifecycle;
use super::{Action, Membership};
use crate::config::{Nanos, MS};
use crate::record::{Name, Record};
use crate::wire::{decode_datagram, Body, DatagramError, Envelope};

/// Time that one datagram stands for: 2,000 a second are read.
const FLOOD_INTERVAL: Nanos = MS / 2;
/// Datagrams that are read at once, as a time.
const FLOOD_BURST: Nanos = 512 * FLOOD_INTERVAL;

impl Membership {
    pub(super) fn receive(
        &mut self, now: Nanos, address: SocketAddr, bytes: &[u8], out: &mut Vec<Action>,
    ) -> Result<(), DatagramError> {
        self.limit_rate(now)?;
        let (envelope, records) = decode_datagram(self.cluster, bytes)?;
        self.check_envelope(now, &envelope)?;
        self.counts.accepted += 1;
        self.last_heard = now;
        self.isolated = false;
        self.sender_missed_refutation = false;
        for record in &records {
            self.merge(now, record, Some(&envelope.from), out);
        }
        if self.lifecycle != Lifecycle::Active {
            return Ok(()); // it has just stood down, or leaves
        }
        let Envelope { from: sender, run, body, .. } = envelope;
        let is_gossip = matches!(body, Body::Gossip);
        self.handle_body(now, &sender, address, body, out)?;
        self.correct_sender(&sender, run, address, is_gossip, out);
        Ok(())
    }

    fn limit_rate(&mut self, now: Nanos) -> Result<(), DatagramError> {
        self.theoretical_arrival = self.theoretical_arrival.max(now);
        if self.theoretical_arrival > now + FLOOD_BURST {
            return Err(DatagramError::Flood);
        }
        self.theoretical_arrival += FLOOD_INTERVAL;
        Ok(())
    }

    /// Whether it is for this node, from another, and new.
    fn check_envelope(&mut self, now: Nanos, envelope: &Envelope) -> Result<(), DatagramError> {
        if envelope.from == self.me.name && envelope.run == self.me.run {
            return Err(DatagramError::Own);
        }
        if envelope.to.as_ref().is_some_and(|to| *to != self.me.name) {
            return Err(DatagramError::Misdirected);
        }
        // Of another start than the one that is known nothing can be said; what it tells is merged as ever.
        if let Some(peer) = self.peers.get_mut(&envelope.from).filter(|peer| peer.run == envelope.run) {
            if !peer.replay_window.accept(envelope.counter) {
                return Err(DatagramError::Replayed);
            }
            peer.last_heard = Some(now);
        }
        Ok(())
    }

    fn handle_body(
        &mut self, now: Nanos, sender: &Name, address: SocketAddr, body: Body, out: &mut Vec<Action>,
    ) -> Result<(), DatagramError> {
        match body {
            Body::Ping { probe } => self.handle_ping(sender, address, probe, out),
            Body::Ack { probe } => self.handle_ack(now, sender, probe, out)?,
            Body::Ask { probe, target, address: target_address } => {
                let origin = Origin { name: sender.clone(), address, number: probe };
                self.handle_ask(now, origin, &target, target_address, out)?;
            }
            Body::Nack { probe } => self.handle_nack(sender, probe)?,
            Body::Digest { sums, answer } => self.handle_digest(sender, address, &sums, answer, out)?,
            Body::Gossip => {}
        }
        Ok(())
    }

    /// Answers a probe; a sender that missed this node's refutation is told it again.
    fn handle_ping(&mut self, sender: &Name, address: SocketAddr, probe: u64, out: &mut Vec<Action>) {
        let refutation: Vec<Record> =
            self.sender_missed_refutation.then(|| self.own_record()).into_iter().collect();
        self.send(Some(sender), address, Body::Ack { probe }, &refutation, out);
    }

    /// Who is held dead here, or has given way to another start, learns of it and can refute or stand down.
    fn correct_sender(
        &mut self, sender: &Name, run: u64, address: SocketAddr, is_gossip: bool, out: &mut Vec<Action>,
    ) {
        let Some(peer) = self.peers.get(sender) else { return };
        let other_start = peer.run != run;
        let held_gone = is_gossip && !peer.is_live();
        if !other_start && !held_gone {
            return;
        }
        let records = if other_start { peer.records(sender, &self.me.name) } else { Vec::new() };
        self.send(Some(sender), address, Body::Gossip, &records, out);
    }
}
