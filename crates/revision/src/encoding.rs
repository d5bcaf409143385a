//! The canonical encoding: magic bytes for the kind of content, the format version, then the content in postcard.
//!
//! Keys are encoded in ascending order and integers in their shortest form. Bytes that decode but differ from the
//! encoding of the decoded value are rejected, so one content has exactly one encoding and one digest.

use serde::de::DeserializeOwned;
use serde::Serialize;
use thiserror::Error;

use crate::bounds::MAX_ENCODED_BYTES;
use crate::delta::Delta;
use crate::digest::Digest;
use crate::document::Document;
use crate::error::DocumentError;

/// Version of the format that this program writes, and the only one that it reads.
pub const FORMAT_VERSION: u16 = 1;

const DOCUMENT_MAGIC: [u8; 4] = *b"mfcd";
const DELTA_MAGIC: [u8; 4] = *b"mfcc";
const HEADER_BYTES: usize = 6;

/// Why bytes cannot be decoded as a document or delta.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum DecodeError {
    /// This version does not support the format.
    #[error(
        "configuration format {0} is not supported, this version supports {FORMAT_VERSION}; \
         finish the upgrade of this node"
    )]
    UnknownVersion(u16),
    /// The bytes are not of the expected kind.
    #[error("not a {0}: the first bytes are those of another kind of content")]
    WrongKind(&'static str),
    /// The bytes are truncated or damaged.
    #[error("{0}: truncated or damaged; fetch it again")]
    Malformed(&'static str),
    /// The bytes are not the canonical encoding of their content.
    #[error("{0}: not in canonical form; encode it with this program")]
    NotCanonical(&'static str),
    /// The encoding exceeds [`MAX_ENCODED_BYTES`].
    #[error("{0} bytes, at most {MAX_ENCODED_BYTES} are allowed")]
    TooLong(usize),
    /// The document was decoded but is not valid.
    #[error(transparent)]
    Invalid(#[from] DocumentError),
}

impl Document {
    /// Returns the canonical encoding.
    pub fn encode(&self) -> Vec<u8> {
        encode(DOCUMENT_MAGIC, self)
    }

    /// Decodes a canonical encoding and validates the document.
    pub fn decode(bytes: &[u8]) -> Result<Self, DecodeError> {
        let document: Document = decode(DOCUMENT_MAGIC, "document", bytes)?;
        document.validate()?;
        Ok(document)
    }

    /// Returns the digest of the canonical encoding.
    pub fn digest(&self) -> Digest {
        Digest::of(&self.encode())
    }
}

impl Delta {
    /// Returns the canonical encoding.
    pub fn encode(&self) -> Vec<u8> {
        encode(DELTA_MAGIC, self)
    }

    /// Decodes a canonical encoding. [`Delta::apply`] checks whether the delta matches a document.
    pub fn decode(bytes: &[u8]) -> Result<Self, DecodeError> {
        decode(DELTA_MAGIC, "delta", bytes)
    }

    /// Returns the digest of the canonical encoding.
    pub fn digest(&self) -> Digest {
        Digest::of(&self.encode())
    }
}

fn encode(magic: [u8; 4], content: &impl Serialize) -> Vec<u8> {
    let mut header = Vec::with_capacity(HEADER_BYTES);
    header.extend(magic);
    header.extend(FORMAT_VERSION.to_be_bytes());
    postcard::to_extend(content, header).expect("maps of plain values can always be encoded")
}

fn decode<T: Serialize + DeserializeOwned>(
    magic: [u8; 4], kind: &'static str, bytes: &[u8],
) -> Result<T, DecodeError> {
    if bytes.len() > MAX_ENCODED_BYTES {
        return Err(DecodeError::TooLong(bytes.len()));
    }
    let content = check_header(magic, kind, bytes)?;
    let (decoded, rest) = postcard::take_from_bytes(content).map_err(|_| DecodeError::Malformed(kind))?;
    if !rest.is_empty() {
        return Err(DecodeError::Malformed(kind));
    }
    if encode(magic, &decoded) != bytes {
        return Err(DecodeError::NotCanonical(kind));
    }
    Ok(decoded)
}

/// Checks the header and returns the bytes after it.
fn check_header<'a>(magic: [u8; 4], kind: &'static str, bytes: &'a [u8]) -> Result<&'a [u8], DecodeError> {
    let (header, content) = bytes.split_at_checked(HEADER_BYTES).ok_or(DecodeError::Malformed(kind))?;
    if header[..4] != magic {
        return Err(DecodeError::WrongKind(kind));
    }
    match u16::from_be_bytes([header[4], header[5]]) {
        FORMAT_VERSION => Ok(content),
        version => Err(DecodeError::UnknownVersion(version)),
    }
}
