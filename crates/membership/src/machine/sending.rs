//! Sending of datagrams: choice of receivers, the envelope, and the records that each datagram carries.

use std::net::SocketAddr;
use std::sync::Arc;

use super::{Action, Membership};
use crate::peer::State;
use crate::record::{Name, Record, Status};
use crate::wire::{encode_record, Body, DatagramWriter, Envelope};

impl Membership {
    /// Names of all other members that are live.
    pub(super) fn live_names(&mut self) -> Arc<[Name]> {
        let peers = &self.peers;
        let collect_names =
            || peers.iter().filter(|(_, peer)| peer.is_live()).map(|(name, _)| name.clone()).collect();
        self.live_names.get_or_insert_with(collect_names).clone()
    }

    /// Returns up to `count` different live members, chosen at random.
    pub(super) fn sample_live(&mut self, count: usize) -> Vec<Name> {
        let live = self.live_names();
        let mut chosen: Vec<Name> = Vec::with_capacity(count);
        // Repeated choices of one member are rare; the bound on attempts may return fewer members than wanted.
        for _ in 0..4 * count {
            if chosen.len() >= count.min(live.len()) {
                break;
            }
            let name = &live[self.rng.usize(0..live.len())];
            if !chosen.contains(name) {
                chosen.push(name.clone());
            }
        }
        chosen
    }

    /// Starts a datagram to a member, or to an unknown receiver at an address.
    pub(super) fn begin_datagram(&mut self, to: Option<&Name>, body: Body) -> DatagramWriter {
        self.counter += 1;
        DatagramWriter::new(&Envelope {
            cluster: self.cluster,
            from: self.me.name.clone(),
            run: self.me.run,
            counter: self.counter,
            to: to.cloned(),
            body,
        })
    }

    /// Fills the datagram with broadcasts and sends it.
    pub(super) fn finish_datagram(
        &mut self, to: SocketAddr, mut writer: DatagramWriter, out: &mut Vec<Action>,
    ) {
        // Twice the binary logarithm of the number of members: the number of rounds in which gossip reaches everybody,
        // doubled.
        let max_transmissions = 2 * (usize::BITS - (self.peers.len() + 1).leading_zeros());
        self.broadcasts.fill(&mut writer, max_transmissions);
        let bytes = writer.finish();
        self.counts.sent += 1;
        self.counts.sent_bytes += bytes.len() as u64;
        out.push(Action::Send { to, bytes });
    }

    /// Sends to a member at its known address.
    pub(super) fn send_to(&mut self, name: &Name, body: Body, records: &[Record], out: &mut Vec<Action>) {
        if let Some(address) = self.peers.get(name).map(|peer| peer.profile.address) {
            self.send(Some(name), address, body, records, out);
        }
    }

    /// Sends a datagram with accusations against the receiver, these records, and broadcasts as far as there is room.
    pub(super) fn send(
        &mut self, name: Option<&Name>, address: SocketAddr, body: Body, records: &[Record],
        out: &mut Vec<Action>,
    ) {
        let accusations = name.map_or_else(Vec::new, |name| self.accusations(name));
        let mut writer = self.begin_datagram(name, body);
        for record in accusations.iter().chain(records) {
            writer.add(&encode_record(record)); // these few records always fit
        }
        self.finish_datagram(address, writer, out);
    }

    /// Records against a member, which it receives so that it can refute them.
    fn accusations(&self, name: &Name) -> Vec<Record> {
        let Some(peer) = self.peers.get(name).filter(|peer| peer.state != State::Alive) else {
            return Vec::new();
        };
        let mut records = peer.records(name, &self.me.name);
        records.retain(|record| !matches!(record.status, Status::Alive(_)));
        records
    }
}
