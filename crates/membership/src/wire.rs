//! Wire format of the datagrams between members.
//!
//! A datagram begins with two magic bytes, one byte of protocol version and a four-byte checksum (CRC-32C) of the rest.
//! The rest is an [`Envelope`] followed by records up to the end, all encoded with postcard.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::record::{Name, Record, MAX_TEXT_BYTES};

/// Maximum size of a datagram in bytes. Datagrams of this size are not fragmented on common network paths.
pub const MAX_DATAGRAM: usize = 1_200;
/// Version of the wire format.
pub const PROTOCOL_VERSION: u8 = 1;
const MAGIC: [u8; 2] = *b"mf";
const HEADER_BYTES: usize = 7; // magic bytes, version and checksum

/// The first part of every datagram.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Envelope {
    /// Hash of the fleet's name; datagrams of other fleets are dropped.
    pub cluster: u64,
    /// Name of the sender.
    pub from: Name,
    /// Run number of the sender.
    pub run: u64,
    /// Sequence number of the datagram, by which replayed datagrams are detected.
    pub counter: u64,
    /// Name of the receiver; `None` if the sender knows only an address.
    pub to: Option<Name>,
    /// Content of the datagram.
    pub body: Body,
}

/// Content of a datagram beside the records that it carries.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Body {
    /// A probe of the receiver.
    Ping {
        /// Number of the probe.
        probe: u64,
    },
    /// The answer to a probe.
    Ack {
        /// Number of the probe that is answered.
        probe: u64,
    },
    /// Asks the receiver to probe a third member (SWIM's ping-req).
    Ask {
        /// Number of the probe.
        probe: u64,
        /// Name of the member to probe.
        target: Name,
        /// Address of the member as the sender knows it.
        address: SocketAddr,
    },
    /// Sent by a helper that has received no answer from the target so far.
    Nack {
        /// Number of the probe in the corresponding `Ask`.
        probe: u64,
    },
    /// No content beside the records.
    Gossip,
    /// Checksums of the sender's live members by bucket. The receiver replies with its members of each bucket that
    /// differs.
    Digest {
        /// One checksum for each bucket.
        sums: Vec<u32>,
        /// Whether the receiver's checksums are expected in return.
        answer: bool,
    },
}

/// The reason why a datagram was dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum DatagramError {
    /// The datagram is truncated or does not have this format.
    Malformed,
    /// The datagram exceeds [`MAX_DATAGRAM`].
    Long,
    /// The checksum does not match.
    Checksum,
    /// The datagram has another protocol version.
    Version,
    /// The datagram belongs to another fleet.
    Foreign,
    /// The datagram names this very process as its sender.
    Own,
    /// The datagram is addressed to another member.
    Misdirected,
    /// The datagram was received before or is too old to tell.
    Replayed,
    /// The datagram exceeds the rate limit or the capacity of a queue.
    Flood,
    /// The datagram answers a probe that is not pending.
    Unexpected,
    /// The record adds a member for which the view has no room.
    Full,
}

impl DatagramError {
    /// All errors in the order of their definition.
    pub const ALL: [DatagramError; 11] = [
        DatagramError::Malformed,
        DatagramError::Long,
        DatagramError::Checksum,
        DatagramError::Version,
        DatagramError::Foreign,
        DatagramError::Own,
        DatagramError::Misdirected,
        DatagramError::Replayed,
        DatagramError::Flood,
        DatagramError::Unexpected,
        DatagramError::Full,
    ];

    /// Name of the error in metrics and logs.
    pub fn name(self) -> &'static str {
        match self {
            DatagramError::Malformed => "malformed",
            DatagramError::Long => "long",
            DatagramError::Checksum => "checksum",
            DatagramError::Version => "version",
            DatagramError::Foreign => "foreign",
            DatagramError::Own => "own",
            DatagramError::Misdirected => "misdirected",
            DatagramError::Replayed => "replayed",
            DatagramError::Flood => "flood",
            DatagramError::Unexpected => "unexpected",
            DatagramError::Full => "full",
        }
    }
}

/// Encodes a datagram: an envelope, followed by records while there is room.
pub struct DatagramWriter(Vec<u8>);

impl DatagramWriter {
    /// Encodes the envelope.
    pub fn new(envelope: &Envelope) -> Self {
        let mut bytes = Vec::with_capacity(MAX_DATAGRAM);
        bytes.extend(MAGIC);
        bytes.push(PROTOCOL_VERSION);
        bytes.extend([0; 4]);
        // Encoding into a growing vector cannot fail.
        DatagramWriter(postcard::to_extend(envelope, bytes).unwrap_or_default())
    }

    /// Appends an encoded record; returns false if there is no room for it.
    pub fn add(&mut self, record: &[u8]) -> bool {
        let fits = self.0.len() + record.len() <= MAX_DATAGRAM;
        if fits {
            self.0.extend_from_slice(record);
        }
        fits
    }

    /// Computes the checksum and returns the datagram.
    pub fn finish(mut self) -> Vec<u8> {
        if let Some((header, rest)) = self.0.split_at_mut_checked(HEADER_BYTES) {
            header[3..].copy_from_slice(&crc32c::crc32c(rest).to_le_bytes());
        }
        self.0
    }
}

/// Encodes a record for [`DatagramWriter::add`].
pub fn encode_record(record: &Record) -> Vec<u8> {
    postcard::to_stdvec(record).unwrap_or_default()
}

/// Decodes a datagram of this fleet. All of it has to be valid; otherwise nothing of it is used.
pub fn decode_datagram(cluster: u64, bytes: &[u8]) -> Result<(Envelope, Vec<Record>), DatagramError> {
    if bytes.len() > MAX_DATAGRAM {
        return Err(DatagramError::Long);
    }
    let (header, rest) = bytes.split_at_checked(HEADER_BYTES).ok_or(DatagramError::Malformed)?;
    if header[..2] != MAGIC {
        return Err(DatagramError::Malformed);
    }
    if header[2] != PROTOCOL_VERSION {
        return Err(DatagramError::Version);
    }
    if header[3..] != crc32c::crc32c(rest).to_le_bytes() {
        return Err(DatagramError::Checksum);
    }
    let (envelope, mut rest): (Envelope, _) =
        postcard::take_from_bytes(rest).map_err(|_| DatagramError::Malformed)?;
    if envelope.cluster != cluster {
        return Err(DatagramError::Foreign);
    }
    if envelope.from.is_empty() || envelope.from.len() > MAX_TEXT_BYTES {
        return Err(DatagramError::Malformed);
    }
    let mut records = Vec::new();
    while !rest.is_empty() {
        let (record, remaining): (Record, _) =
            postcard::take_from_bytes(rest).map_err(|_| DatagramError::Malformed)?;
        if !record.is_valid() {
            return Err(DatagramError::Malformed);
        }
        records.push(record);
        rest = remaining;
    }
    Ok((envelope, records))
}

/// Detects replayed datagrams of one sender among the 64 most recent sequence numbers.
#[derive(Clone, Copy, Debug, Default)]
pub struct ReplayWindow {
    newest: u64,
    seen: u64,
}

impl ReplayWindow {
    /// Returns whether this sequence number is new, and marks it as received.
    pub fn accept(&mut self, counter: u64) -> bool {
        if counter > self.newest {
            let distance = counter - self.newest;
            self.seen = if distance < 64 { self.seen << distance } else { 0 } | 1;
            self.newest = counter;
            return true;
        }
        let age = self.newest - counter;
        let bit = 1u64.checked_shl(age.min(64) as u32).unwrap_or(0);
        let is_new = bit != 0 && self.seen & bit == 0;
        self.seen |= bit;
        is_new
    }
}
