//! What the agreed commands have made: the same on every node that has applied as many.

use std::collections::{BTreeMap, VecDeque};

use serde::{Deserialize, Serialize};

use crate::command::{
    Command, CommandId, Entry, EntryPayload, Outcome, Refusal, Set, BARRIER, MAX_BODY_BYTES, MAX_KEY_BYTES,
    SET,
};

/// Ids whose outcome is remembered.
pub const MAX_REMEMBERED_IDS: usize = 4_096;
/// Values in the register.
pub const MAX_VALUES: usize = 4_096;
/// Commands between two digests.
pub const DIGEST_INTERVAL: u64 = 64;
const MAX_DIGESTS: usize = 8; // that are remembered

/// Parts of the state, in the order of their digests.
pub const STATE_PARTS: [&str; 3] = ["voters", "ids", "register"];

/// A value of the register.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Value {
    /// Index of the command that set it.
    pub revision: u64,
    /// It.
    pub value: Vec<u8>,
}

/// The state.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct AppliedState {
    /// Which group's log, counted from the first; a later group's is greater.
    pub epoch: u64,
    /// Number drawn when the group was founded.
    pub group: u64,
    /// The last entry that is in it.
    pub index: u64,
    /// And its term.
    pub term: u64,
    /// Voters by number, with their nodes' names.
    pub voters: BTreeMap<u64, String>,
    ids: BTreeMap<CommandId, Outcome>,
    order: VecDeque<CommandId>,
    register: BTreeMap<String, Value>,
    digests: VecDeque<(u64, [u32; STATE_PARTS.len()])>,
}

/// A command that this version does not know: nothing after it is applied here.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UnknownCommand {
    /// Its place.
    pub index: u64,
    /// Its kind.
    pub kind: u16,
}

impl AppliedState {
    /// The first state of a group that these voters found, on top of what was agreed before.
    pub fn with_new_group(self, group: u64, voters: BTreeMap<u64, String>) -> Self {
        AppliedState {
            epoch: self.epoch + 1,
            group,
            // A new log at a place of its own: no entry of the one before can be taken for one of this.
            index: self.index + 1,
            term: 1,
            voters,
            digests: VecDeque::new(),
            ..self
        }
    }

    /// Takes the next entry. What it was to somebody who waits for it; none where it is nobody's.
    pub fn apply(
        &mut self, entry: &Entry, twice: bool,
    ) -> Result<Option<(CommandId, Outcome)>, UnknownCommand> {
        let outcome = match &entry.what {
            EntryPayload::Nothing => None,
            EntryPayload::Seat { voter, name } => {
                self.voters.insert(*voter, name.clone());
                None
            }
            EntryPayload::Unseat { voter } => {
                self.voters.remove(voter);
                None
            }
            EntryPayload::Command(command) => self.apply_command(entry.index, command, twice)?,
        };
        (self.index, self.term) = (entry.index, entry.term);
        if self.index.is_multiple_of(DIGEST_INTERVAL) {
            self.digests.push_back((self.index, self.part_checksums()));
            if self.digests.len() > MAX_DIGESTS {
                self.digests.pop_front();
            }
        }
        Ok(outcome)
    }

    fn apply_command(
        &mut self, index: u64, command: &Command, twice: bool,
    ) -> Result<Option<(CommandId, Outcome)>, UnknownCommand> {
        if let Some(known) = self.ids.get(&command.id).filter(|_| !twice) {
            return Ok(Some((command.id, known.clone())));
        }
        let outcome = match command.kind {
            BARRIER => Outcome::Done(index),
            SET => self.apply_set(index, command).map_or_else(Outcome::SetAside, |()| Outcome::Done(index)),
            kind => return Err(UnknownCommand { index, kind }),
        };
        if command.kind != BARRIER && self.ids.insert(command.id, outcome.clone()).is_none() {
            self.order.push_back(command.id);
            if self.order.len() > MAX_REMEMBERED_IDS {
                self.order.pop_front().map(|oldest| self.ids.remove(&oldest));
            }
        }
        Ok(Some((command.id, outcome)))
    }

    fn apply_set(&mut self, index: u64, command: &Command) -> Result<(), Refusal> {
        if command.body.len() > MAX_BODY_BYTES {
            return Err(Refusal::Malformed);
        }
        let set: Set = postcard::from_bytes(&command.body).map_err(|_| Refusal::Malformed)?;
        if set.key.is_empty() || set.key.len() > MAX_KEY_BYTES {
            return Err(Refusal::Key);
        }
        let stands = self.register.get(&set.key).map_or(0, |value| value.revision);
        if set.expect.is_some_and(|expect| expect != stands) {
            return Err(Refusal::Revision(stands));
        }
        if stands == 0 && self.register.len() >= MAX_VALUES {
            return Err(Refusal::Full);
        }
        if set.value.is_empty() {
            self.register.remove(&set.key);
        } else {
            self.register.insert(set.key, Value { revision: index, value: set.value });
        }
        Ok(())
    }

    /// A value of the register.
    pub fn value(&self, key: &str) -> Option<&Value> {
        self.register.get(key)
    }

    /// All of it.
    pub fn values(&self) -> impl Iterator<Item = (&str, &Value)> {
        self.register.iter().map(|(key, value)| (key.as_str(), value))
    }

    /// What came of a command, if it is remembered.
    pub fn outcome(&self, id: CommandId) -> Option<&Outcome> {
        self.ids.get(&id)
    }

    fn part_checksums(&self) -> [u32; STATE_PARTS.len()] {
        let sum = |bytes: Result<Vec<u8>, postcard::Error>| bytes.map_or(0, |bytes| crc32c::crc32c(&bytes));
        [
            sum(postcard::to_stdvec(&self.voters)),
            sum(postcard::to_stdvec(&(&self.ids, &self.order))),
            sum(postcard::to_stdvec(&self.register)),
        ]
    }

    /// The last digest: as of which index, and of each part.
    pub fn digest(&self) -> Option<(u64, [u32; STATE_PARTS.len()])> {
        self.digests.back().copied()
    }

    /// The first part that differs from a digest of another node, where both have one of the same index.
    pub fn first_difference(&self, index: u64, parts: &[u32; STATE_PARTS.len()]) -> Option<&'static str> {
        let (_, own) = self.digests.iter().find(|(at, _)| *at == index)?;
        let first = own.iter().zip(parts).position(|(own, other)| own != other)?;
        STATE_PARTS.get(first).copied()
    }

    /// The whole, to be kept or sent.
    pub fn to_bytes(&self) -> Vec<u8> {
        postcard::to_stdvec(self).unwrap_or_default()
    }

    /// A whole that was kept or sent; none if it is not one.
    pub fn from_bytes(bytes: &[u8]) -> Option<Self> {
        postcard::from_bytes(bytes).ok()
    }

    /// Spoils a part, as a bad memory would; for tests of the comparison.
    pub fn corrupt_for_test(&mut self) {
        self.register.insert("spoilt".to_owned(), Value { revision: 1, value: vec![1] });
    }
}
