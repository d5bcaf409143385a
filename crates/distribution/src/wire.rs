//! Datagrams of the distribution: two bytes of mark, one of version, a CRC-32C over the rest, and an [`Envelope`] in
//! postcard's form.

use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::bounds::{MAX_CONTENT_BYTES, MAX_DATAGRAM, PIECE_BYTES};
use crate::config::Name;
use crate::revision::{Announcement, Digest, RevisionId};

/// Version of the form.
pub const VERSION: u8 = 1;
/// What every datagram of the distribution begins with.
pub const MAGIC: [u8; 2] = *b"mc";
const HEADER: usize = 7;

/// What every datagram says.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Envelope {
    /// Which fleet.
    pub cluster: u64,
    /// Who sends.
    pub from: Name,
    /// For whom it is: an address may be another's by now.
    pub to: Name,
    /// What it is about.
    pub body: Body,
}

/// What is transferred in pieces.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum TransferKind {
    /// Deltas, in order.
    Chain,
    /// A whole document.
    Snapshot,
}

/// Content that can be fetched in pieces.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Transfer {
    /// What it is.
    pub kind: TransferKind,
    /// Its digest, which also names it.
    pub digest: Digest,
    /// Its length in bytes.
    pub length: u32,
}

impl Transfer {
    /// A transfer of these bytes.
    pub fn of(kind: TransferKind, bytes: &[u8]) -> Self {
        Transfer { kind, digest: Digest::of(bytes), length: bytes.len() as u32 }
    }

    /// Pieces that it has; none if it is longer than any content.
    pub fn pieces(&self) -> Option<u16> {
        let length = Some(self.length as usize).filter(|length| *length <= 2 * MAX_CONTENT_BYTES)?;
        u16::try_from(length.div_ceil(PIECE_BYTES)).ok()
    }
}

/// Which revision is in force at a node, as of some time ago.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// Hash of the node's name.
    pub node: u32,
    /// The revision in force there; number 0: none.
    pub id: RevisionId,
    /// Whether the node refuses a later one.
    pub refused: bool,
    /// Age in steps of half a second, rounded up.
    pub age: u8,
}

/// What a datagram is about.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Body {
    /// Give me this revision.
    Request {
        /// Digest of the document held here.
        have: Option<Digest>,
        /// Which revision.
        want: RevisionId,
        /// Digest of its document, as the log announces it.
        digest: Digest,
        /// Only as a snapshot: deltas did not lead to it.
        snapshot: bool,
    },
    /// It can be fetched here.
    Offer {
        /// Which revision was asked for.
        want: RevisionId,
        /// Which revision the transfer makes: a later one where the sender is ahead and has no deltas to what was asked
        /// for. It is then a base, to be verified by what deltas make of it.
        makes: RevisionId,
        /// As what.
        transfer: Transfer,
        /// The first piece.
        first: Vec<u8>,
    },
    /// It is not here.
    Missing {
        /// Which revision was asked for.
        want: RevisionId,
    },
    /// It is here, but too many fetch.
    Busy {
        /// Which revision was asked for.
        want: RevisionId,
    },
    /// These pieces, please.
    Pull {
        /// Of which transfer.
        digest: Digest,
        /// Their numbers.
        pieces: Vec<u16>,
    },
    /// A piece.
    Piece {
        /// Of which transfer.
        digest: Digest,
        /// Its number.
        number: u16,
        /// It.
        bytes: Vec<u8>,
    },
    /// Keep this content: it is to be announced.
    Stage {
        /// How.
        announcement: Announcement,
        /// Digest of the document that a chain begins at.
        base: Option<Digest>,
        /// What can be fetched from the sender.
        transfer: Transfer,
    },
    /// It is kept.
    Staged {
        /// What.
        announcement: Announcement,
    },
    /// Which revision is in force where.
    Reports {
        /// Some reports, the sender's own first.
        reports: Vec<Report>,
        /// Whether as many are wanted back.
        answer: bool,
    },
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
    let mut bytes = Vec::with_capacity(HEADER + body.len());
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
    let (head, body) = bytes.split_at_checked(HEADER).ok_or(DatagramError::Malformed)?;
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
