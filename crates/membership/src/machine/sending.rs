//! Datagrams that go out: drawn members, the envelope, and what is piggybacked on every datagram.

use std::net::SocketAddr;
use std::sync::Arc;

use super::{Action, Membership};
use crate::peer::State;
use crate::record::{Name, Record, Status};
use crate::wire::{encode_record, Body, DatagramWriter, Envelope};

impl Membership {
    /// Names of the members that take part, without this node's.
    pub(super) fn live_names(&mut self) -> Arc<[Name]> {
        let peers = &self.peers;
        let make = || peers.iter().filter(|(_, peer)| peer.is_live()).map(|(name, _)| name.clone()).collect();
        self.live_names.get_or_insert_with(make).clone()
    }

    /// So many live members, drawn.
    pub(super) fn sample_live(&mut self, count: usize) -> Vec<Name> {
        let live = self.live_names();
        let mut drawn: Vec<Name> = Vec::with_capacity(count);
        // Draws that meet the same twice are rare and bounded.
        for _ in 0..4 * count {
            if drawn.len() >= count.min(live.len()) {
                break;
            }
            let name = &live[self.rng.usize(0..live.len())];
            if !drawn.contains(name) {
                drawn.push(name.clone());
            }
        }
        drawn
    }

    /// Begins a datagram to a member, or to whoever is at an address.
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
        // Told as often as it takes for all to hear: twice the rounds in which one tells another.
        let max_transmissions = 2 * (usize::BITS - (self.peers.len() + 1).leading_zeros());
        self.broadcasts.fill(&mut writer, max_transmissions);
        let bytes = writer.finish();
        self.counts.sent += 1;
        self.counts.sent_bytes += bytes.len() as u64;
        out.push(Action::Send { to, bytes });
    }

    /// Sends to a member where it is held to be.
    pub(super) fn send_to(&mut self, name: &Name, body: Body, records: &[Record], out: &mut Vec<Action>) {
        if let Some(address) = self.peers.get(name).map(|peer| peer.profile.address) {
            self.send(Some(name), address, body, records, out);
        }
    }

    /// Sends these records, what is held against the member it goes to, and broadcasts as there is room.
    pub(super) fn send(
        &mut self, name: Option<&Name>, address: SocketAddr, body: Body, records: &[Record],
        out: &mut Vec<Action>,
    ) {
        let accusations = name.map_or_else(Vec::new, |name| self.accusations(name));
        let mut writer = self.begin_datagram(name, body);
        for record in accusations.iter().chain(records) {
            writer.add(&encode_record(record)); // these few always fit
        }
        self.finish_datagram(address, writer, out);
    }

    /// What is held against a member, so that it can refute it.
    fn accusations(&self, name: &Name) -> Vec<Record> {
        let Some(peer) = self.peers.get(name).filter(|peer| peer.state != State::Alive) else {
            return Vec::new();
        };
        let mut records = peer.records(name, &self.me.name);
        records.retain(|record| !matches!(record.status, Status::Alive(_)));
        records
    }
}
