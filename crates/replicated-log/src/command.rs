//! Commands, their outcomes, and the entries of the log.

use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Maximum size of a command's body in bytes. The body and its addressing must fit into one datagram.
pub const MAX_BODY_BYTES: usize = 640;
/// Maximum size of a key in bytes.
pub const MAX_KEY_BYTES: usize = 64;

/// Identifies a command. Commands with the same id take effect once, however often they are sent.
pub type CommandId = u128;

/// A command to be committed to the log.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Command {
    /// The id; 0 is reserved for commands that change nothing and may be repeated.
    pub id: CommandId,
    /// The kind as a number, so that an older version can report a kind that it does not know.
    pub kind: u16,
    /// The encoded body; its format depends on the kind.
    pub body: Vec<u8>,
}

/// A command that changes nothing. Once it is applied on a node, every command that was confirmed before it was
/// proposed is applied there too.
pub const BARRIER: u16 = 0;
/// A command that sets a value of the register; its body is a [`Set`].
pub const SET: u16 = 1;

/// Body of a [`SET`] command.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Set {
    /// Key of the value.
    pub key: String,
    /// The revision that the value must have; `None` sets it at any revision.
    pub expect: Option<u64>,
    /// The new value; an empty value removes the key.
    pub value: Vec<u8>,
}

/// Outcome of a committed command, the same on every node.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Outcome {
    /// The command took effect at this index.
    Done(u64),
    /// The command changed nothing, by a rule that every node applies in the same way.
    SetAside(Refusal),
}

/// Why a committed command changed nothing.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize, Error)]
pub enum Refusal {
    /// The body cannot be decoded.
    #[error(
        "the command body cannot be decoded for its kind; send it from a node that runs the newest version"
    )]
    Malformed,
    /// The value is not at the expected revision; it is at this one.
    #[error("the value is at revision {0}, not at the expected one; read it again before retrying")]
    Revision(u64),
    /// The register holds its maximum number of values.
    #[error("the register is full; remove a value that is no longer needed")]
    Full,
    /// The key is empty or too long.
    #[error("the key must have 1 to {MAX_KEY_BYTES} bytes")]
    Key,
}

/// Why a command cannot be proposed.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum ProposalError {
    /// The body is too long for one datagram.
    #[error("the command body has {0} bytes, but at most {MAX_BODY_BYTES} are allowed; split the command")]
    TooLong(usize),
    /// Too many commands are pending on this node.
    #[error("too many commands are waiting for an outcome; check that the group has a majority, then retry")]
    QueueFull,
    /// Id 0 does not identify a command.
    #[error("command id 0 is reserved; generate a nonzero id")]
    ReservedId,
}

/// A committed entry of the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Its index in the log.
    pub index: u64,
    /// The term in which it was proposed.
    pub term: u64,
    /// Its payload.
    pub what: EntryPayload,
}

/// Payload of an entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum EntryPayload {
    /// The empty entry with which a leader begins its term; it changes nothing.
    Nothing,
    /// A command.
    Command(Command),
    /// A voter is added to the group.
    Seat {
        /// Its voter number.
        voter: u64,
        /// The node's name.
        name: String,
    },
    /// A voter is removed from the group.
    Unseat {
        /// Its voter number.
        voter: u64,
    },
}
