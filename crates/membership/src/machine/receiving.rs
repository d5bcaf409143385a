//! Reception of datagrams: rate limit, validation, merging of records and dispatch by content.

use std::net::SocketAddr;

use super::indirect::Origin;
use super::joining::Lifecycle;
use super::{Action, Membership};
use crate::config::{Nanos, MS};
use crate::record::{Name, Record};
use crate::wire::{decode_datagram, Body, DatagramError, Envelope};

/// Time that each datagram adds to the theoretical arrival time: at most 2,000 datagrams per second.
const FLOOD_INTERVAL: Nanos = MS / 2;
/// Burst of 512 datagrams, expressed as time.
const FLOOD_BURST: Nanos = 512 * FLOOD_INTERVAL;

impl Membership {
    pub(super) fn receive(
        &mut self, now: Nanos, address: SocketAddr, bytes: &[u8], out: &mut Vec<Action>,
    ) -> Result<(), DatagramError> {
        self.limit_rate(now)?;
        let (envelope, records) = decode_datagram(self.cluster, bytes)?;
        self.check_envelope(now, &envelope)?;
        self.counts.accepted += 1;
        self.last_received = now;
        self.isolated = false;
        self.sender_missed_refutation = false;
        for record in &records {
            self.merge(now, record, Some(&envelope.from), out);
        }
        if self.lifecycle != Lifecycle::Active {
            return Ok(()); // a record has superseded this process, or it is leaving
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

    /// Checks that the datagram is addressed to this node, comes from another process and is not a replay.
    fn check_envelope(&mut self, now: Nanos, envelope: &Envelope) -> Result<(), DatagramError> {
        if envelope.from == self.me.name && envelope.run == self.me.run {
            return Err(DatagramError::Own);
        }
        if envelope.to.as_ref().is_some_and(|to| *to != self.me.name) {
            return Err(DatagramError::Misdirected);
        }
        // Replays can be detected only for the known run of the sender; records of other runs are merged nevertheless.
        if let Some(peer) = self.peers.get_mut(&envelope.from).filter(|peer| peer.run == envelope.run) {
            if !peer.replay_window.accept(envelope.counter) {
                return Err(DatagramError::Replayed);
            }
            peer.last_seen = Some(now);
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

    /// Answers a probe. If the sender has missed this node's refutation, the answer repeats it.
    fn handle_ping(&mut self, sender: &Name, address: SocketAddr, probe: u64, out: &mut Vec<Action>) {
        let refutation: Vec<Record> =
            self.sender_missed_refutation.then(|| self.own_record()).into_iter().collect();
        self.send(Some(sender), address, Body::Ack { probe }, &refutation, out);
    }

    /// Informs a sender that is dead here, or whose run is not the stored one, so that it can refute or give up its
    /// name.
    fn correct_sender(
        &mut self, sender: &Name, run: u64, address: SocketAddr, is_gossip: bool, out: &mut Vec<Action>,
    ) {
        let Some(peer) = self.peers.get(sender) else { return };
        let other_run = peer.run != run;
        let sender_is_gone = is_gossip && !peer.is_live();
        if !other_run && !sender_is_gone {
            return;
        }
        let records = if other_run { peer.records(sender, &self.me.name) } else { Vec::new() };
        self.send(Some(sender), address, Body::Gossip, &records, out);
    }
}
