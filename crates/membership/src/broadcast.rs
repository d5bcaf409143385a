//! Queue of records that are piggybacked on outgoing datagrams, those transmitted least often first.

use std::collections::BTreeMap;

use crate::record::{Name, Record, Status};
use crate::wire::{encode_record, DatagramWriter};

/// Name of the member, and of the accuser if the broadcast is an accusation. A broadcast replaces an earlier one with
/// the same key. Accusations by different accusers have keys of their own because the number of accusers matters.
type Key = (Name, Option<Name>);

#[derive(Clone, Debug)]
struct Broadcast {
    bytes: Vec<u8>,
    transmissions: u32,
}

/// Pending broadcasts: at most one for each member and accuser.
#[derive(Clone, Debug, Default)]
pub struct BroadcastQueue(BTreeMap<Key, Broadcast>);

impl BroadcastQueue {
    /// Queues a record. It replaces all pending broadcasts about the member, except that an accusation replaces only an
    /// earlier one by the same accuser.
    pub fn add(&mut self, record: &Record) {
        let accuser = match &record.status {
            Status::Suspect { by } => Some(by.clone()),
            _ => None,
        };
        if accuser.is_none() {
            self.remove(&record.name);
        }
        let broadcast = Broadcast { bytes: encode_record(record), transmissions: 0 };
        self.0.insert((record.name.clone(), accuser), broadcast);
    }

    /// Removes all broadcasts about this member.
    pub fn remove(&mut self, name: &Name) {
        let from_first = self.0.range((name.clone(), None)..);
        let of_member = from_first.take_while(|((member, _), _)| member == name);
        let keys: Vec<Key> = of_member.map(|(key, _)| key.clone()).collect();
        for key in keys {
            self.0.remove(&key);
        }
    }

    /// Whether no broadcast is pending.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Fills the datagram with the broadcasts that were transmitted least often. A broadcast is removed after
    /// `max_transmissions`.
    pub fn fill(&mut self, writer: &mut DatagramWriter, max_transmissions: u32) {
        if self.0.is_empty() {
            return;
        }
        let mut order: Vec<(u32, Key)> =
            self.0.iter().map(|(key, broadcast)| (broadcast.transmissions, key.clone())).collect();
        order.sort();
        for (_, key) in order {
            let Some(broadcast) = self.0.get_mut(&key) else { continue };
            if !writer.add(&broadcast.bytes) {
                break; // a smaller broadcast may follow, but it has to wait for one more datagram only
            }
            broadcast.transmissions += 1;
            if broadcast.transmissions >= max_transmissions {
                self.0.remove(&key);
            }
        }
    }
}
