//! The state that results from applying the log. It is the same on every node that has applied the same entries.

use std::collections::{BTreeMap, VecDeque};

use serde::{Deserialize, Serialize};

use crate::command::{
    Command, CommandId, Entry, EntryPayload, Outcome, Refusal, Set, BARRIER, MAX_BODY_BYTES, MAX_KEY_BYTES,
    SET,
};

/// Maximum number of command ids whose outcome is remembered; the oldest is dropped first.
pub const MAX_REMEMBERED_IDS: usize = 4_096;
/// Maximum number of values in the register.
pub const MAX_VALUES: usize = 4_096;
/// Number of entries between two digests of the state.
pub const DIGEST_INTERVAL: u64 = 64;
const MAX_DIGESTS: usize = 8;

/// Names of the parts of the state, in the order of their checksums in a digest.
pub const STATE_PARTS: [&str; 3] = ["voters", "ids", "register"];

/// A value of the register.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Value {
    /// Index of the command that set the value.
    pub revision: u64,
    /// The bytes of the value.
    pub value: Vec<u8>,
}

/// The state after a prefix of the log.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct AppliedState {
    /// Epoch of the group that owns the log; each new group increments it.
    pub epoch: u64,
    /// Random number of the group, generated when the group was formed.
    pub group: u64,
    /// Index of the last applied entry.
    pub index: u64,
    /// Term of the last applied entry.
    pub term: u64,
    /// Names of the voters' nodes by voter number.
    pub voters: BTreeMap<u64, String>,
    ids: BTreeMap<CommandId, Outcome>,
    order: VecDeque<CommandId>,
    register: BTreeMap<String, Value>,
    digests: VecDeque<(u64, [u32; STATE_PARTS.len()])>,
}

/// A command of a kind that this version does not know. The node applies neither it nor any later entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UnknownCommand {
    /// Index of the command.
    pub index: u64,
    /// Kind of the command.
    pub kind: u16,
}

impl AppliedState {
    /// The initial state of a new group with these voters. It keeps the ids and the register of this state.
    pub fn with_new_group(self, group: u64, voters: BTreeMap<u64, String>) -> Self {
        AppliedState {
            epoch: self.epoch + 1,
            group,
            // The new log starts at a new index, so that no entry of the previous log can be taken for one of its own.
            index: self.index + 1,
            term: 1,
            voters,
            digests: VecDeque::new(),
            ..self
        }
    }

    /// Applies the next entry and returns the id and the outcome of its command; `None` if it holds no command.
    /// `ignore_known_ids` applies a command again although its id is known; only an injected defect sets it.
    pub fn apply(
        &mut self, entry: &Entry, ignore_known_ids: bool,
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
            EntryPayload::Command(command) => self.apply_command(entry.index, command, ignore_known_ids)?,
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
        &mut self, index: u64, command: &Command, ignore_known_ids: bool,
    ) -> Result<Option<(CommandId, Outcome)>, UnknownCommand> {
        if let Some(known) = self.ids.get(&command.id).filter(|_| !ignore_known_ids) {
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
        let revision = self.register.get(&set.key).map_or(0, |value| value.revision);
        if set.expect.is_some_and(|expect| expect != revision) {
            return Err(Refusal::Revision(revision));
        }
        if revision == 0 && self.register.len() >= MAX_VALUES {
            return Err(Refusal::Full);
        }
        if set.value.is_empty() {
            self.register.remove(&set.key);
        } else {
            self.register.insert(set.key, Value { revision: index, value: set.value });
        }
        Ok(())
    }

    /// The value of a key in the register.
    pub fn value(&self, key: &str) -> Option<&Value> {
        self.register.get(key)
    }

    /// All keys and values of the register, in the order of the keys.
    pub fn values(&self) -> impl Iterator<Item = (&str, &Value)> {
        self.register.iter().map(|(key, value)| (key.as_str(), value))
    }

    /// The outcome of a command, if it is still remembered.
    pub fn outcome(&self, id: CommandId) -> Option<&Outcome> {
        self.ids.get(&id)
    }

    fn part_checksums(&self) -> [u32; STATE_PARTS.len()] {
        let checksum =
            |bytes: Result<Vec<u8>, postcard::Error>| bytes.map_or(0, |bytes| crc32c::crc32c(&bytes));
        [
            checksum(postcard::to_stdvec(&self.voters)),
            checksum(postcard::to_stdvec(&(&self.ids, &self.order))),
            checksum(postcard::to_stdvec(&self.register)),
        ]
    }

    /// The last digest: its index, and the checksum of each part.
    pub fn digest(&self) -> Option<(u64, [u32; STATE_PARTS.len()])> {
        self.digests.back().copied()
    }

    /// The first part that differs from another node's digest. `None` if there is no local digest at `index`.
    pub fn first_difference(&self, index: u64, parts: &[u32; STATE_PARTS.len()]) -> Option<&'static str> {
        let (_, local) = self.digests.iter().find(|(at, _)| *at == index)?;
        let first = local.iter().zip(parts).position(|(local, other)| local != other)?;
        STATE_PARTS.get(first).copied()
    }

    /// Encodes the whole state, to be stored or sent.
    pub fn to_bytes(&self) -> Vec<u8> {
        postcard::to_stdvec(self).unwrap_or_default()
    }

    /// Decodes a state; `None` if the bytes are not a valid encoding.
    pub fn from_bytes(bytes: &[u8]) -> Option<Self> {
        postcard::from_bytes(bytes).ok()
    }

    /// Corrupts the register as faulty memory might, for tests of the comparison of digests.
    pub fn corrupt_for_test(&mut self) {
        self.register.insert("spoilt".to_owned(), Value { revision: 1, value: vec![1] });
    }
}
