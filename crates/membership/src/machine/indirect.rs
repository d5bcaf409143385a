//! Indirect probes: this node probes a member on behalf of another, and forwards the answer.

use std::net::SocketAddr;

use super::{Action, Membership};
use crate::config::Nanos;
use crate::record::Name;
use crate::wire::{Body, DatagramError};

/// Probe number of the final probes that a suspect receives before it is declared dead. Their acknowledgement is
/// ignored; only a refutation counts.
pub(super) const FINAL_PROBE: u64 = 0;
/// Maximum number of pending indirect probes.
const MAX_INDIRECT_PROBES: usize = 256;

/// The member that has asked for an indirect probe.
#[derive(Clone, Debug)]
pub(super) struct Origin {
    pub name: Name,
    pub address: SocketAddr,
    /// Number of the probe at the origin.
    pub number: u64,
}

/// A probe that this node makes for another member.
#[derive(Clone, Debug)]
pub(super) struct IndirectProbe {
    number: u64,
    origin: Origin,
    nack_at: Nanos,
    nack_sent: bool,
}

impl Membership {
    /// Time at which the next negative acknowledgement has to be sent.
    pub(super) fn next_nack(&self) -> Option<Nanos> {
        self.indirect_probes.iter().filter(|probe| !probe.nack_sent).map(|probe| probe.nack_at).min()
    }

    /// Probes `target` on behalf of another member, which knows it at `address`.
    pub(super) fn handle_ask(
        &mut self, now: Nanos, origin: Origin, target: &Name, address: SocketAddr, out: &mut Vec<Action>,
    ) -> Result<(), DatagramError> {
        if self.indirect_probes.len() >= MAX_INDIRECT_PROBES {
            return Err(DatagramError::Flood);
        }
        let number = self.next_probe_number();
        self.indirect_probes.push_back(IndirectProbe {
            number,
            origin,
            nack_at: now + self.tuning.probe_timeout * 4 / 5,
            nack_sent: false,
        });
        // Prefers the address that this node knows, because the address of a member may differ by observer.
        let target_address = self.peers.get(target).map_or(address, |peer| peer.profile.address);
        self.send(Some(target), target_address, Body::Ping { probe: number }, &[], out);
        Ok(())
    }

    /// Forwards an answer to the member that asked for the probe.
    pub(super) fn forward_ack(&mut self, number: u64, out: &mut Vec<Action>) -> Result<(), DatagramError> {
        let position = self.indirect_probes.iter().position(|probe| probe.number == number);
        let probe = position
            .and_then(|position| self.indirect_probes.remove(position))
            .ok_or(DatagramError::Unexpected)?;
        let Origin { name, address, number } = probe.origin;
        self.send(Some(&name), address, Body::Ack { probe: number }, &[], out);
        Ok(())
    }

    /// Sends negative acknowledgements for probes without an answer, and drops indirect probes that have expired.
    pub(super) fn send_nacks(&mut self, now: Nanos, out: &mut Vec<Action>) {
        let grace = self.tuning.probe_timeout * 2;
        self.indirect_probes.retain(|probe| probe.nack_at + grace > now);
        let mut due = Vec::new();
        for probe in self.indirect_probes.iter_mut().filter(|probe| !probe.nack_sent && probe.nack_at <= now)
        {
            probe.nack_sent = true;
            due.push(probe.origin.clone());
        }
        for Origin { name, address, number } in due {
            self.send(Some(&name), address, Body::Nack { probe: number }, &[], out);
        }
    }
}
