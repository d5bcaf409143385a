//! Datagrams of the log: two bytes of mark, one of version, a CRC-32C over the rest, and an [`Envelope`] in postcard's
//! form.

use raft::eraftpb;
use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::applied::STATE_PARTS;
use crate::command::{Command, Entry};
use crate::config::Name;

/// Bytes of a datagram at most: fits any path without fragments.
pub const MAX_DATAGRAM: usize = 1_200;
/// Version of the form.
pub const VERSION: u8 = 1;
/// Bytes of a state that one datagram carries.
pub const PIECE_BYTES: usize = 900;
/// Bytes of entries that one datagram carries.
pub const MAX_ENTRIES_BYTES: usize = 900;
const MAGIC: [u8; 2] = *b"ma";
const HEADER_BYTES: usize = 7;

/// Which log: its epoch, and the number drawn when its group was founded. A later one is greater.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Group {
    /// Counted from the first group.
    pub epoch: u64,
    /// Drawn.
    pub number: u64,
}

/// What every datagram begins with.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Envelope {
    /// Which fleet.
    pub cluster: u64,
    /// Who sends.
    pub from: Name,
    /// For whom it is: an address may be another's by now.
    pub to: Name,
    /// The sender's log, and what it has applied of it.
    pub group: Group,
    /// The last entry that the sender has applied.
    pub index: u64,
    /// What it is about.
    pub body: Body,
}

/// What a datagram is about.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Body {
    /// Between voters.
    Raft {
        /// How often the sender's disk says that it has started.
        starts: u64,
        /// What the consensus says.
        message: Box<RaftMessage>,
    },
    /// A voter that has started again: does anybody know a later start of its number?
    Hello {
        /// Its number.
        voter: u64,
        /// How often its disk says that it has started.
        starts: u64,
    },
    /// What is known of that number.
    Seen {
        /// The number.
        voter: u64,
        /// The start that was asked about.
        starts: u64,
        /// The last start that was heard of.
        seen: u64,
    },
    /// Do you hold a voter slot in a group?
    Ask,
    /// Whether the sender does.
    Word {
        /// It does.
        holds: bool,
        /// The number by which it would vote.
        voter: u64,
    },
    /// Take this command.
    Propose {
        /// It.
        command: Command,
        /// How often it was sent on: once by whoever it was proposed at, once more by a voter that does not lead.
        hops: u8,
    },
    /// What came after that?
    Pull {
        /// The last digest here.
        digest: Option<(u64, [u32; STATE_PARTS.len()])>,
    },
    /// What came after it.
    Entries(Vec<Entry>),
    /// What came after it is kept no more: this whole state can be fetched.
    Whole {
        /// Its last entry.
        index: u64,
        /// Its length in bytes.
        length: u32,
        /// Its checksum.
        sum: u32,
    },
    /// A part of that state, please.
    Fetch {
        /// Its last entry.
        index: u64,
        /// From this byte on.
        offset: u32,
    },
    /// The part.
    Piece {
        /// The state's last entry.
        index: u64,
        /// From this byte on.
        offset: u32,
        /// The bytes.
        bytes: Vec<u8>,
    },
    /// Your copy differs from mine in this part: fetch it anew.
    Differs {
        /// As of this entry.
        index: u64,
        /// Which part.
        part: String,
    },
}

/// A message between voters: what [`eraftpb::Message`] says, without the content of a snapshot.
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

/// An entry as voters keep it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RaftEntry {
    kind: u8,
    /// Its term.
    pub term: u64,
    /// Its place.
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
    /// The same for the consensus; none if its kind is none.
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
    /// Which voter it is for.
    pub fn recipient(&self) -> u64 {
        self.to
    }

    /// Which voter sends it.
    pub fn sender(&self) -> u64 {
        self.from
    }

    /// The term it belongs to.
    pub fn term(&self) -> u64 {
        self.term
    }

    /// Up to where the sender says that all is agreed.
    pub fn commit(&self) -> u64 {
        self.commit
    }

    /// Whether it says that the receiver is too far behind for entries.
    pub fn is_snapshot(&self) -> bool {
        self.kind == eraftpb::MessageType::MsgSnapshot as u8
    }

    /// The last entry in the state that the sender would send, where it says that the receiver is too far behind.
    pub fn snapshot_index(&self) -> u64 {
        self.snapshot.0
    }

    /// Whether it is a heartbeat, which states how far all is agreed without the entries.
    pub fn is_heartbeat(&self) -> bool {
        self.kind == eraftpb::MessageType::MsgHeartbeat as u8
    }

    /// The same for the consensus; none if it is of a kind that does not travel.
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

/// Why a datagram has no effect. Each is counted; none needs anybody unless it keeps rising.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Error)]
pub enum DatagramError {
    /// Cut short, or not of this form at all.
    #[error("cut short or of another form: see what else sends to this port")]
    Malformed,
    /// Longer than any.
    #[error("longer than any that this program sends: see what else sends to this port")]
    TooLong,
    /// Damaged.
    #[error("its checksum does not fit: see the network")]
    Checksum,
    /// Of another version.
    #[error("of another version of the form: finish the upgrade")]
    UnsupportedVersion,
    /// Of another fleet.
    #[error("of another fleet: see `cluster` at both ends")]
    WrongCluster,
    /// For somebody else.
    #[error("for another node: the address was another's")]
    WrongRecipient,
}

/// A datagram; none where it would be too long, which bounds on all that goes into one rule out.
pub fn encode(envelope: &Envelope) -> Option<Vec<u8>> {
    let body = postcard::to_stdvec(envelope).ok()?;
    let mut bytes = Vec::with_capacity(HEADER_BYTES + body.len());
    bytes.extend(MAGIC);
    bytes.push(VERSION);
    bytes.extend(crc32c::crc32c(&body).to_le_bytes());
    bytes.extend(&body);
    Some(bytes).filter(|bytes| bytes.len() <= MAX_DATAGRAM)
}

/// What a datagram says.
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
