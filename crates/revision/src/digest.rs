//! SHA-256 digests of encoded content.

use std::fmt;
use std::str::FromStr;

use serde::de::Error as _;
use serde::{Deserialize, Deserializer, Serialize, Serializer};
use sha2::{Digest as _, Sha256};
use thiserror::Error;

const BYTES: usize = 32;

/// SHA-256 digest of an encoded document or delta. Its text form has 64 lower-case hex digits.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Digest(pub [u8; BYTES]);

/// The text is not a digest.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("not a digest: expected 64 lower-case hex digits; copy the digest that the node shows")]
pub struct DigestError;

impl Digest {
    /// Computes the digest of `bytes`.
    pub fn of(bytes: &[u8]) -> Self {
        Digest(Sha256::digest(bytes).into())
    }
}

impl fmt::Display for Digest {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

impl fmt::Debug for Digest {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        fmt::Display::fmt(self, f)
    }
}

impl FromStr for Digest {
    type Err = DigestError;

    fn from_str(text: &str) -> Result<Self, DigestError> {
        let nibble = |digit: u8| match digit {
            b'0'..=b'9' => Ok(digit - b'0'),
            b'a'..=b'f' => Ok(digit - b'a' + 10),
            _ => Err(DigestError),
        };
        let digits = text.as_bytes();
        if digits.len() != 2 * BYTES {
            return Err(DigestError);
        }
        let mut bytes = [0; BYTES];
        for (byte, pair) in bytes.iter_mut().zip(digits.chunks_exact(2)) {
            *byte = nibble(pair[0])? << 4 | nibble(pair[1])?;
        }
        Ok(Digest(bytes))
    }
}

impl Serialize for Digest {
    fn serialize<S: Serializer>(&self, to: S) -> Result<S::Ok, S::Error> {
        if to.is_human_readable() {
            to.collect_str(self)
        } else {
            self.0.serialize(to)
        }
    }
}

impl<'de> Deserialize<'de> for Digest {
    fn deserialize<D: Deserializer<'de>>(from: D) -> Result<Self, D::Error> {
        if from.is_human_readable() {
            String::deserialize(from)?.parse().map_err(D::Error::custom)
        } else {
            Deserialize::deserialize(from).map(Digest)
        }
    }
}
