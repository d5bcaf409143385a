//! Indirect probes: this node asks a member on behalf of another, and passes the answer on.

use std::net::SocketAddr;

use super::{Action, Membership};
use crate::config::Nanos;
use crate::record::Name;
use crate::wire::{Body, DatagramError};

/// Number of the probes by which a suspect is asked before it is held dead: its refutation counts, not its answer.
pub(super) const FINAL_PROBE: u64 = 0;
/// Probes for others that are under way at once.
const MAX_INDIRECT_PROBES: usize = 256;

/// Who asked for a probe.
#[derive(Clone, Debug)]
pub(super) struct Origin {
    pub name: Name,
    pub address: SocketAddr,
    /// The origin's number of the probe.
    pub number: u64,
}

/// A probe that this node makes for another.
#[derive(Clone, Debug)]
pub(super) struct IndirectProbe {
    number: u64,
    origin: Origin,
    nack_at: Nanos,
    nack_sent: bool,
}

impl Membership {
    /// When a helper's word that it has heard nothing is due next.
    pub(super) fn next_nack(&self) -> Option<Nanos> {
        self.indirect_probes.iter().filter(|probe| !probe.nack_sent).map(|probe| probe.nack_at).min()
    }

    /// Another member asks this node to probe `target`, which it sees at `address`.
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
        // Where this node sees it, if it does: an address may differ by observer.
        let known = self.peers.get(target).map_or(address, |peer| peer.profile.address);
        self.send(Some(target), known, Body::Ping { probe: number }, &[], out);
        Ok(())
    }

    /// Passes an answer on to the member that asked for the probe.
    pub(super) fn forward_ack(&mut self, number: u64, out: &mut Vec<Action>) -> Result<(), DatagramError> {
        let at = self.indirect_probes.iter().position(|probe| probe.number == number);
        let probe = at.and_then(|at| self.indirect_probes.remove(at)).ok_or(DatagramError::Unexpected)?;
        let Origin { name, address, number } = probe.origin;
        self.send(Some(&name), address, Body::Ack { probe: number }, &[], out);
        Ok(())
    }

    /// Tells those who asked that there is no answer yet, and forgets the probes that are long over.
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
