//! Membership records that nodes exchange, and the order by which two records are merged.

use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// Name of a member. It is the same on all nodes and does not change with a restart.
pub type Name = Arc<str>;

/// Maximum length of a name, zone, machine or version, in bytes.
pub const MAX_TEXT_BYTES: usize = 64;

/// Upper bound of an incarnation. It rises by one with each refutation, so no honest member ever reaches it.
pub const MAX_INCARNATION: u64 = 1 << 48;

/// Properties that a member announces about itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Profile {
    /// Zone of the member.
    pub zone: Name,
    /// Machine on which the member runs.
    pub machine: Name,
    /// Address at which the member receives datagrams.
    pub address: SocketAddr,
    /// Version of its program.
    pub version: Name,
    /// Lowest and highest protocol version that it supports.
    pub protocols: (u8, u8),
}

/// Status of a member as a record states it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Status {
    /// The member is alive.
    Alive(Profile),
    /// The member did not answer a probe of the accuser.
    Suspect {
        /// Name of the accuser.
        by: Name,
    },
    /// The member did not refute the suspicion in time.
    Dead,
    /// The member has announced that it leaves.
    Left,
}

impl Status {
    /// Rank among the statuses of one incarnation: the highest rank takes precedence.
    fn rank(&self) -> u8 {
        match self {
            Status::Alive(_) => 0,
            Status::Suspect { .. } => 1,
            Status::Dead => 2,
            Status::Left => 3,
        }
    }
}

/// A statement about one member, as nodes exchange it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Name of the member that the record is about.
    pub name: Name,
    /// Incarnation of the member. Only the member itself raises it, by refuting a record about itself.
    pub incarnation: u64,
    /// Run number of the member's process that the record is about.
    pub run: u64,
    /// Status of the member.
    pub status: Status,
}

impl Record {
    /// Sort key for merging: the record with the greatest key takes precedence. The order is total, so that records can
    /// be merged in any order and any number of times.
    pub fn precedence(&self) -> (u64, u8, u64) {
        (self.incarnation, self.status.rank(), self.run)
    }

    /// Whether all texts have an allowed length, the protocol range is not reversed, and the incarnation is low enough
    /// for the member to refute the record.
    pub fn is_valid(&self) -> bool {
        let is_valid_text = |text: &Name| !text.is_empty() && text.len() <= MAX_TEXT_BYTES;
        self.incarnation < MAX_INCARNATION
            && is_valid_text(&self.name)
            && match &self.status {
                Status::Alive(profile) => {
                    let texts = [&profile.zone, &profile.machine, &profile.version];
                    texts.into_iter().all(is_valid_text) && profile.protocols.0 <= profile.protocols.1
                }
                Status::Suspect { by } => is_valid_text(by),
                Status::Dead | Status::Left => true,
            }
    }
}
