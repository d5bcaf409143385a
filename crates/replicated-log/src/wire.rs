//! Datagrams of the log: two magic bytes, one byte of format version, a CRC-32C of the rest, and an [`Envelope`]
//! encoded by postcard.

use raft::eraftpb;
use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::applied::STATE_PARTS;
use crate::command::{Command, Entry};
use crate::config::Name;

/// Maximum size of a datagram in bytes; it passes any network path without fragmentation.
pub const MAX_DATAGRAM: usize = 1_200;
/// Version of the datagram format.
pub const VERSION: u8 = 1;
/// Bytes of an encoded state that one datagram carries.
pub const PIECE_BYTES: usize = 900;
/// Maximum bytes of encoded entries that one datagram carries.
pub const MAX_ENTRIES_BYTES: usize = 900;
const MAGIC: [u8; 2] = *b"ma";
const HEADER_BYTES: usize = 7;

/// Identifies a log by the group of voters that owns it. A later log compares greater.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Group {
    /// Epoch of the group; the first group has epoch 1.
    pub epoch: u64,
    /// Random number, generated when the group was formed.
    pub number: u64,
}

/// The addressing and the body of a datagram.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Envelope {
    /// Number of the fleet.
    pub cluster: u64,
    /// Name of the sender.
    pub from: Name,
    /// Name of the receiver; its address may belong to another node by now.
    pub to: Name,
    /// The sender's log.
    pub group: Group,
    /// Index of the last entry that the sender has applied.
    pub index: u64,
    /// The message.
    pub body: Body,
}

/// A message between two nodes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Body {
    /// A message of the consensus between voters.
    Raft {
        /// How often the sender has started with its replica, as stored on its disk.
        starts: u64,
        /// The message.
        message: Box<RaftMessage>,
    },
    /// A restarted voter asks whether the receiver knows a later start of its voter number.
    Hello {
        /// The voter number.
        voter: u64,
        /// How often the voter has started, as stored on its disk.
        starts: u64,
    },
    /// The answer to [`Body::Hello`].
    Seen {
        /// The voter number.
        voter: u64,
        /// The start count that the question named.
        starts: u64,
        /// The highest start count that the sender has seen for this voter.
        seen: u64,
    },
    /// Asks whether the receiver holds a voter slot.
    Ask,
    /// The answer to [`Body::Ask`].
    Word {
        /// Whether the sender holds a voter slot, or its disk may still hold one.
        holds: bool,
        /// The number by which the sender votes or would vote; 0 if nobody may rely on it.
        voter: u64,
    },
    /// Forwards a command towards the leader.
    Propose {
        /// The command.
        command: Command,
        /// How often it was forwarded: once by the node that proposed it, once more by a voter that does not lead.
        hops: u8,
    },
    /// Asks for the entries after the sender's index.
    Pull {
        /// The last digest of the sender's state.
        digest: Option<(u64, [u32; STATE_PARTS.len()])>,
    },
    /// The entries that follow the index of a pull.
    Entries(Vec<Entry>),
    /// The entries that follow the index of a pull are no longer retained; this whole state can be fetched instead.
    Whole {
        /// Index of the last entry in the state.
        index: u64,
        /// Length of the encoded state in bytes.
        length: u32,
        /// CRC-32C of the encoded state.
        sum: u32,
    },
    /// Asks for a piece of an offered state.
    Fetch {
        /// Index of the last entry in the state.
        index: u64,
        /// Offset of the piece in bytes.
        offset: u32,
    },
    /// A piece of an offered state.
    Piece {
        /// Index of the last entry in the state.
        index: u64,
        /// Offset of the piece in bytes.
        offset: u32,
        /// The bytes of the piece.
        bytes: Vec<u8>,
    },
    /// The receiver's state differs from the sender's and must be fetched again.
    Differs {
        /// Index of the digests that differ.
        index: u64,
        /// Name of the first part that differs, one of [`STATE_PARTS`].
        part: String,
    },
}

/// A message between voters: the fields of [`eraftpb::Message`] without the content of a snapshot.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RaftMessage {
    kind: u8,
    to: u64,
    from: u64,
    term: u64,
    log_term: u64,
    index: u64,
    entries: Vec<RaftEntry>,
    commit: u64,
    commit_term: u64,
    snapshot: (u64, u64), // index and term
    request_snapshot: u64,
    reject: bool,
    reject_hint: u64,
    context: Vec<u8>,
    priority: i64,
}

/// An entry as voters store it, which may not be committed yet.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RaftEntry {
    kind: u8,
    /// Its term.
    pub term: u64,
    /// Its index in the log.
    pub index: u64,
    data: Vec<u8>,
    context: Vec<u8>,
}

impl From<&eraftpb::Entry> for RaftEntry {
    fn from(entry: &eraftpb::Entry) -> Self {
        RaftEntry {
            kind: entry.get_entry_type() as u8,
            term: entry.term,
            index: entry.index,
            data: entry.data.to_vec(),
            context: entry.context.to_vec(),
        }
    }
}

impl RaftEntry {
    /// Converts the entry to the type of the crate `raft`; `None` if its kind is unknown.
    pub fn to_protobuf(&self) -> Option<eraftpb::Entry> {
        use eraftpb::EntryType::{EntryConfChange, EntryNormal};
        let mut entry = eraftpb::Entry::default();
        entry.set_entry_type([EntryNormal, EntryConfChange].into_iter().find(|k| *k as u8 == self.kind)?);
        (entry.term, entry.index) = (self.term, self.index);
        (entry.data, entry.context) = (self.data.clone().into(), self.context.clone().into());
        Some(entry)
    }
}

impl RaftMessage {
    /// Number of the voter that receives the message.
    pub fn recipient(&self) -> u64 {
        self.to
    }

    /// Number of the voter that sends the message.
    pub fn sender(&self) -> u64 {
        self.from
    }

    /// Term of the message.
    pub fn term(&self) -> u64 {
        self.term
    }

    /// The sender's commit index.
    pub fn commit(&self) -> u64 {
        self.commit
    }

    /// Whether the message announces a snapshot because the receiver is too far behind for entries.
    pub fn is_snapshot(&self) -> bool {
        self.kind == eraftpb::MessageType::MsgSnapshot as u8
    }

    /// Index of the last entry in the announced snapshot; 0 in other messages.
    pub fn snapshot_index(&self) -> u64 {
        self.snapshot.0
    }

    /// Whether the message is a heartbeat, which carries the commit index without entries.
    pub fn is_heartbeat(&self) -> bool {
        self.kind == eraftpb::MessageType::MsgHeartbeat as u8
    }

    /// Converts the message to the type of the crate `raft`; `None` if its kind is never sent between nodes.
    pub fn to_protobuf(&self) -> Option<eraftpb::Message> {
        use eraftpb::MessageType::*;
        let kinds = [
            MsgAppend,
            MsgAppendResponse,
            MsgRequestVote,
            MsgRequestVoteResponse,
            MsgSnapshot,
            MsgHeartbeat,
            MsgHeartbeatResponse,
            MsgTimeoutNow,
            MsgRequestPreVote,
            MsgRequestPreVoteResponse,
        ];
        let mut message = eraftpb::Message::default();
        message.set_msg_type(kinds.into_iter().find(|kind| *kind as u8 == self.kind)?);
        (message.to, message.from, message.term) = (self.to, self.from, self.term);
        (message.log_term, message.index) = (self.log_term, self.index);
        let entries: Option<Vec<eraftpb::Entry>> = self.entries.iter().map(RaftEntry::to_protobuf).collect();
        message.set_entries(entries?.into());
        (message.commit, message.commit_term) = (self.commit, self.commit_term);
        if self.is_snapshot() {
            let meta = message.mut_snapshot().mut_metadata();
            (meta.index, meta.term) = self.snapshot;
        }
        message.request_snapshot = self.request_snapshot;
        (message.reject, message.reject_hint) = (self.reject, self.reject_hint);
        message.context = self.context.clone().into();
        message.priority = self.priority;
        Some(message)
    }
}

impl From<&eraftpb::Message> for RaftMessage {
    fn from(message: &eraftpb::Message) -> Self {
        RaftMessage {
            kind: message.get_msg_type() as u8,
            to: message.to,
            from: message.from,
            term: message.term,
            log_term: message.log_term,
            index: message.index,
            entries: message.entries.iter().map(RaftEntry::from).collect(),
            commit: message.commit,
            commit_term: message.commit_term,
            snapshot: {
                let meta = message.get_snapshot().get_metadata();
                (meta.index, meta.term)
            },
            request_snapshot: message.request_snapshot,
            reject: message.reject,
            reject_hint: message.reject_hint,
            context: message.context.to_vec(),
            priority: message.priority,
        }
    }
}

/// Why a datagram was rejected. Each reason is counted; a count needs attention only if it keeps rising.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Error)]
pub enum DatagramError {
    /// The datagram is truncated or not in this format.
    #[error("datagram is truncated or malformed; check what else sends to this port")]
    Malformed,
    /// The datagram is longer than [`MAX_DATAGRAM`].
    #[error("datagram exceeds {MAX_DATAGRAM} bytes; check what else sends to this port")]
    TooLong,
    /// The checksum does not match.
    #[error("datagram checksum does not match; check the network")]
    Checksum,
    /// The datagram has another format version.
    #[error("datagram has another format version; finish the upgrade")]
    UnsupportedVersion,
    /// The datagram comes from another fleet.
    #[error("datagram is from another fleet; check `cluster` at both ends")]
    WrongCluster,
    /// The datagram is addressed to another node.
    #[error("datagram is addressed to another node; the address belonged to that node before")]
    WrongRecipient,
}

/// Encodes a datagram; `None` if it would exceed [`MAX_DATAGRAM`], which the bounds on all parts of a message rule
/// out.
pub fn encode(envelope: &Envelope) -> Option<Vec<u8>> {
    let body = postcard::to_stdvec(envelope).ok()?;
    let mut bytes = Vec::with_capacity(HEADER_BYTES + body.len());
    bytes.extend(MAGIC);
    bytes.push(VERSION);
    bytes.extend(crc32c::crc32c(&body).to_le_bytes());
    bytes.extend(&body);
    Some(bytes).filter(|bytes| bytes.len() <= MAX_DATAGRAM)
}

/// Decodes a datagram.
pub fn decode(bytes: &[u8]) -> Result<Envelope, DatagramError> {
    if bytes.len() > MAX_DATAGRAM {
        return Err(DatagramError::TooLong);
    }
    let (head, body) = bytes.split_at_checked(HEADER_BYTES).ok_or(DatagramError::Malformed)?;
    if head[..2] != MAGIC {
        return Err(DatagramError::Malformed);
    }
    if head[2] != VERSION {
        return Err(DatagramError::UnsupportedVersion);
    }
    if crc32c::crc32c(body).to_le_bytes() != head[3..] {
        return Err(DatagramError::Checksum);
    }
    postcard::from_bytes(body).map_err(|_| DatagramError::Malformed)
}
