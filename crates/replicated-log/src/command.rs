//! Commands: what is agreed on, and what came of it.

use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Bytes of a command's body at most: it travels in one datagram with what says where it belongs.
pub const MAX_BODY_BYTES: usize = 640;
/// Bytes of a key at most.
pub const MAX_KEY_BYTES: usize = 64;

/// Names a command; the same id takes effect once, however often it is sent.
pub type CommandId = u128;

/// What is agreed on.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Command {
    /// Its id; 0 for one that changes nothing and may come as often as it likes.
    pub id: CommandId,
    /// What it is, by number, so that an older version can name what it does not know.
    pub kind: u16,
    /// The rest, in the form of its kind.
    pub body: Vec<u8>,
}

/// Changes nothing: once it is applied here, so is all that was confirmed before it was asked.
pub const BARRIER: u16 = 0;
/// Sets a value of the register: a [`Set`].
pub const SET: u16 = 1;

/// Body of [`SET`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Set {
    /// Which value.
    pub key: String,
    /// Only where it stands at this revision; none: whatever it stands at.
    pub expect: Option<u64>,
    /// What it is from then on.
    pub value: Vec<u8>,
}

/// What came of a command, the same on every node.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Outcome {
    /// It took effect, at this index.
    Done(u64),
    /// It changes nothing, by a rule that every node applied alike.
    SetAside(Refusal),
}

/// Why a command was set aside.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize, Error)]
pub enum Refusal {
    /// It cannot be read.
    #[error("its body is not of its kind: send it from a node of the newest version")]
    Malformed,
    /// The value has changed meanwhile.
    #[error("the value stands at revision {0}: read it again and decide anew")]
    Revision(u64),
    /// No further value fits.
    #[error("the register is full: take out a value that nobody needs")]
    Full,
    /// No value can have that name.
    #[error("the key is empty or over {MAX_KEY_BYTES} bytes: choose another")]
    Key,
}

/// Why a command cannot be sent at all.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum ProposalError {
    /// Too long for one datagram.
    #[error("{0} bytes, {MAX_BODY_BYTES} at most: split it")]
    TooLong(usize),
    /// No more wait here.
    #[error(
        "too many commands wait here for an answer: see whether the group has a majority, then try again"
    )]
    QueueFull,
    /// It could not be told from others.
    #[error("id 0 stands for no command: draw another")]
    ReservedId,
}

/// An agreed command at its place.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Its place.
    pub index: u64,
    /// The term in which it was agreed.
    pub term: u64,
    /// What it is.
    pub what: EntryPayload,
}

/// What stands at a place of the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum EntryPayload {
    /// A leader's first entry, which changes nothing.
    Nothing,
    /// A command.
    Command(Command),
    /// A voter comes in.
    Seat {
        /// Its number.
        voter: u64,
        /// The node's name.
        name: String,
    },
    /// A voter goes.
    Unseat {
        /// Its number.
        voter: u64,
    },
}
