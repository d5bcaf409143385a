//! Broadcasts that are piggybacked on datagrams, those transmitted least often first.

use std::collections::BTreeMap;

use crate::record::{Name, Record, Status};
use crate::wire::{encode_record, DatagramWriter};

/// A member, and its accuser where the broadcast is an accusation: broadcasts of one key take each other's place, and
/// as accusers count, each has its own.
type Key = (Name, Option<Name>);

#[derive(Clone, Debug)]
struct Broadcast {
    bytes: Vec<u8>,
    transmissions: u32,
}

/// Broadcasts under way. At most one for each member and accuser.
#[derive(Clone, Debug, Default)]
pub struct BroadcastQueue(BTreeMap<Key, Broadcast>);

impl BroadcastQueue {
    /// Begins to spread this; what was told of the member so far no longer is, unless it is the same accusation by
    /// somebody else.
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

    /// Whether there is nothing to tell.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Fills the datagram with what was transmitted least often. A broadcast ends after `max_transmissions`.
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
                break; // the next one could be smaller, but waits no longer than one datagram
            }
            broadcast.transmissions += 1;
            if broadcast.transmissions >= max_transmissions {
                self.0.remove(&key);
            }
        }
    }
}
