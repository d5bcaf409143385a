//! What is to be told to others, the least told first.

use std::collections::BTreeMap;

use crate::record::{Name, Record, Tale};
use crate::wire::{encode, Writer};

/// Rumours of one kind about one member take each other's place; accusers count, so each has its own.
type Key = (Name, Option<Name>);

#[derive(Clone, Debug)]
struct Rumour {
    bytes: Vec<u8>,
    told: u32,
}

/// Rumours under way. At most one for each member and accuser.
#[derive(Clone, Debug, Default)]
pub struct Rumours(BTreeMap<Key, Rumour>);

impl Rumours {
    /// Begins to spread this; what was told of the member so far no longer is, unless it is the same accusation by
    /// somebody else.
    pub fn add(&mut self, record: &Record) {
        let by = match &record.tale {
            Tale::Suspect { by } => Some(by.clone()),
            _ => None,
        };
        if by.is_none() {
            self.drop_all_of(&record.name);
        }
        self.0.insert((record.name.clone(), by), Rumour { bytes: encode(record), told: 0 });
    }

    /// Nothing of this member is spread any more.
    pub fn drop_all_of(&mut self, name: &Name) {
        let of: Vec<Key> = self
            .0
            .range((name.clone(), None)..)
            .take_while(|((n, _), _)| n == name)
            .map(|(k, _)| k.clone())
            .collect();
        of.iter().for_each(|key| drop(self.0.remove(key)));
    }

    /// Whether there is nothing to tell.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Fills the datagram with what was told least. A rumour ends once it was told `most` times.
    pub fn fill(&mut self, writer: &mut Writer, most: u32) {
        if self.0.is_empty() {
            return;
        }
        let mut order: Vec<(u32, Key)> =
            self.0.iter().map(|(key, rumour)| (rumour.told, key.clone())).collect();
        order.sort();
        for (_, key) in order {
            let Some(rumour) = self.0.get_mut(&key) else { continue };
            if !writer.add(&rumour.bytes) {
                break; // the next one could be smaller, but waits no longer than one datagram
            }
            rumour.told += 1;
            if rumour.told >= most {
                self.0.remove(&key);
            }
        }
    }
}
