//! Datagrams of the distribution: two magic bytes, one byte of format version, a CRC-32C of the rest, and an
//! [`Envelope`] encoded by postcard.

use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::bounds::{MAX_CONTENT_BYTES, MAX_DATAGRAM, PIECE_BYTES};
use crate::config::Name;
use crate::revision::{Announcement, Digest, RevisionId};

/// Version of the datagram format.
pub const VERSION: u8 = 1;
/// First bytes of every datagram of the distribution.
pub const MAGIC: [u8; 2] = *b"mc";
const HEADER_BYTES: usize = 7;

/// The addressing and the body of a datagram.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Envelope {
    /// Number of the fleet.
    pub cluster: u64,
    /// Name of the sender.
    pub from: Name,
    /// Name of the receiver; its address may belong to another node by now.
    pub to: Name,
    /// Body of the datagram.
    pub body: Body,
}

/// Kind of a transfer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum TransferKind {
    /// A chain of deltas, in order.
    Chain,
    /// A whole document.
    Snapshot,
}

/// Content that can be fetched in pieces.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Transfer {
    /// Kind of the content.
    pub kind: TransferKind,
    /// Digest of the content, which also identifies the transfer.
    pub digest: Digest,
    /// Length of the content in bytes.
    pub length: u32,
}

impl Transfer {
    /// Describes a transfer of `bytes`.
    pub fn of(kind: TransferKind, bytes: &[u8]) -> Self {
        Transfer { kind, digest: Digest::of(bytes), length: bytes.len() as u32 }
    }

    /// Returns the number of pieces; `None` if the transfer is longer than any content may be.
    pub fn pieces(&self) -> Option<u16> {
        let length = Some(self.length as usize).filter(|length| *length <= 2 * MAX_CONTENT_BYTES)?;
        u16::try_from(length.div_ceil(PIECE_BYTES)).ok()
    }
}

/// The revision in force at a node, as of some time ago.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// Hash of the node's name.
    pub node: u32,
    /// The revision in force there; number 0 if there is none.
    pub id: RevisionId,
    /// Whether the node refuses a later revision.
    pub refused: bool,
    /// Age in steps of half a second, rounded up.
    pub age: u8,
}

/// Body of a datagram.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Body {
    /// Requests the content of a revision.
    Request {
        /// Digest of the document that the sender has as a base.
        have: Option<Digest>,
        /// The requested revision.
        want: RevisionId,
        /// Digest of its document, as the log announces it.
        digest: Digest,
        /// Whether only a snapshot is acceptable, because deltas did not lead to the announced digest.
        snapshot: bool,
    },
    /// Offers the content of a revision, or of a later one.
    Offer {
        /// The requested revision.
        want: RevisionId,
        /// The revision that the transfer produces. It is a later one if the sender is ahead and has no deltas to the
        /// requested one; it then serves as a base, and is verified through the result of the deltas applied to it.
        makes: RevisionId,
        /// Kind, digest and length of the transfer.
        transfer: Transfer,
        /// The first piece.
        first: Vec<u8>,
    },
    /// The sender does not have the content.
    Missing {
        /// The requested revision.
        want: RevisionId,
    },
    /// The sender has the content but serves too many nodes.
    Busy {
        /// The requested revision.
        want: RevisionId,
    },
    /// Requests pieces of an offered transfer.
    Pull {
        /// Digest of the transfer.
        digest: Digest,
        /// Numbers of the pieces.
        pieces: Vec<u16>,
    },
    /// One piece of a transfer.
    Piece {
        /// Digest of the transfer.
        digest: Digest,
        /// Number of the piece.
        number: u16,
        /// Bytes of the piece.
        bytes: Vec<u8>,
    },
    /// Asks a voter to fetch and store content that is to be announced.
    Stage {
        /// Announcement that will be proposed.
        announcement: Announcement,
        /// Digest of the document that a chain is based on.
        base: Option<Digest>,
        /// The transfer that can be fetched from the sender.
        transfer: Transfer,
    },
    /// Confirms that a voter has stored the content.
    Staged {
        /// Announcement of the stored content.
        announcement: Announcement,
    },
    /// Reports of the revisions in force at nodes.
    Reports {
        /// Reports, with the sender's own first.
        reports: Vec<Report>,
        /// Whether the receiver is asked to send reports back.
        answer: bool,
    },
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
