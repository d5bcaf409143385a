//! Datagrams between members.
//!
//! Two bytes of mark, one of version, four of a checksum (CRC-32C) over the rest, which is an [`Envelope`] and then
//! records up to the end, all in postcard's form.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::record::{Name, Record, MAX_TEXT_BYTES};

/// Bytes of a datagram at most: fits any path without fragments.
pub const MAX_DATAGRAM: usize = 1_200;
/// Version of the form.
pub const PROTOCOL_VERSION: u8 = 1;
const MARK: [u8; 2] = *b"mf";
const HEADER: usize = 7; // mark, version, checksum

/// What every datagram begins with.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Envelope {
    /// Which fleet this is: others are not heard.
    pub cluster: u64,
    /// Who sends.
    pub from: Name,
    /// The sender's start.
    pub run: u64,
    /// Counts the sender's datagrams, so that a repeat is known for one.
    pub counter: u64,
    /// For whom it is; none where the sender knows only an address.
    pub to: Option<Name>,
    /// What it is about.
    pub body: Body,
}

/// What a datagram is about, beside the records that it carries.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Body {
    /// Are you there?
    Ping {
        /// Number of the probe.
        probe: u64,
    },
    /// I am.
    Ack {
        /// The probe that is answered.
        probe: u64,
    },
    /// Ask that one for me.
    Ask {
        /// Number of the probe.
        probe: u64,
        /// Whom to ask.
        target: Name,
        /// Where it was last heard to be.
        address: SocketAddr,
    },
    /// I asked it and had no answer so far.
    Nack {
        /// The probe that it belongs to.
        probe: u64,
    },
    /// Records only.
    Gossip,
    /// Sums over the sender's live members, a bucket each; whoever differs sends what it has there.
    Digest {
        /// The sums.
        sums: Vec<u32>,
        /// Whether the other's sums are wanted.
        answer: bool,
    },
}

/// Why a datagram has no effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum DatagramError {
    /// Cut short, or not of this form at all.
    Malformed,
    /// Longer than any that this program sends.
    Long,
    /// Its checksum does not fit.
    Checksum,
    /// Of another version of the form.
    Version,
    /// Of another fleet.
    Foreign,
    /// Says that this very process sent it.
    Own,
    /// For somebody else.
    Misdirected,
    /// Came before, or is older than what came since.
    Replayed,
    /// More than are read in the time.
    Flood,
    /// Answers what was not asked.
    Unexpected,
    /// Of a member for which the view has no room.
    Full,
}

impl DatagramError {
    /// Every one, in order.
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

    /// As figures and logs name it.
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

/// A datagram in the making: an envelope, and records while there is room.
pub struct DatagramWriter(Vec<u8>);

impl DatagramWriter {
    /// Begins with the envelope.
    pub fn new(envelope: &Envelope) -> Self {
        let mut bytes = Vec::with_capacity(MAX_DATAGRAM);
        bytes.extend(MARK);
        bytes.push(PROTOCOL_VERSION);
        bytes.extend([0; 4]);
        // Writing into memory can fail only for lack of it.
        DatagramWriter(postcard::to_extend(envelope, bytes).unwrap_or_default())
    }

    /// Adds an encoded record; false if there is no room for it.
    pub fn add(&mut self, record: &[u8]) -> bool {
        let fits = self.0.len() + record.len() <= MAX_DATAGRAM;
        if fits {
            self.0.extend_from_slice(record);
        }
        fits
    }

    /// The whole.
    pub fn finish(mut self) -> Vec<u8> {
        if let Some((header, rest)) = self.0.split_at_mut_checked(HEADER) {
            header[3..].copy_from_slice(&crc32c::crc32c(rest).to_le_bytes());
        }
        self.0
    }
}

/// A record as it travels.
pub fn encode_record(record: &Record) -> Vec<u8> {
    postcard::to_stdvec(record).unwrap_or_default()
}

/// Reads a datagram for this fleet. Nothing of it is believed unless all of it can be read.
pub fn decode_datagram(cluster: u64, bytes: &[u8]) -> Result<(Envelope, Vec<Record>), DatagramError> {
    if bytes.len() > MAX_DATAGRAM {
        return Err(DatagramError::Long);
    }
    let (header, rest) = bytes.split_at_checked(HEADER).ok_or(DatagramError::Malformed)?;
    if header[..2] != MARK {
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
        let (record, left): (Record, _) =
            postcard::take_from_bytes(rest).map_err(|_| DatagramError::Malformed)?;
        if !record.is_valid() {
            return Err(DatagramError::Malformed);
        }
        records.push(record);
        rest = left;
    }
    Ok((envelope, records))
}

/// Knows which of a sender's datagrams have come: the last 64 by number.
#[derive(Clone, Copy, Debug, Default)]
pub struct ReplayWindow {
    newest: u64,
    seen: u64,
}

impl ReplayWindow {
    /// Whether this number is new; it is not from then on.
    pub fn accept(&mut self, counter: u64) -> bool {
        if counter > self.newest {
            let ahead = counter - self.newest;
            self.seen = if ahead < 64 { self.seen << ahead } else { 0 } | 1;
            self.newest = counter;
            return true;
        }
        let back = self.newest - counter;
        let bit = 1u64.checked_shl(back.min(64) as u32).unwrap_or(0);
        let new = bit != 0 && self.seen & bit == 0;
        self.seen |= bit;
        new
    }
}
