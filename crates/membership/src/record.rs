//! What nodes tell each other of a member, and which of two records holds.

use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// A member's name: the same everywhere and over restarts.
pub type Name = Arc<str>;

/// Bytes of a name, zone, machine or version at most.
pub const MAX_TEXT_BYTES: usize = 64;

/// Number of a member at most: it rises by one with each contradiction, so no honest one ever comes near.
pub const MAX_INCARNATION: u64 = 1 << 48;

/// What a member says of itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Profile {
    /// Zone that it runs in.
    pub zone: Name,
    /// Machine that it runs on.
    pub machine: Name,
    /// Where it hears datagrams.
    pub address: SocketAddr,
    /// Version of the program.
    pub version: Name,
    /// Least and greatest protocol that it speaks.
    pub protocols: (u8, u8),
}

/// How a member fares.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Status {
    /// It is there.
    Alive(Profile),
    /// It did not answer this one.
    Suspect {
        /// Whom.
        by: Name,
    },
    /// It did not refute in time.
    Dead,
    /// It said that it leaves.
    Left,
}

impl Status {
    /// Which of two statuses of one incarnation holds: the greater.
    fn rank(&self) -> u8 {
        match self {
            Status::Alive(_) => 0,
            Status::Suspect { .. } => 1,
            Status::Dead => 2,
            Status::Left => 3,
        }
    }
}

/// What is told of one member.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Of whom.
    pub name: Name,
    /// How often the member has contradicted what was told of it: only it can raise this.
    pub incarnation: u64,
    /// Which start of the member this is about.
    pub run: u64,
    /// How it fares.
    pub status: Status,
}

impl Record {
    /// What holds is the greatest: a total order, so records can be merged in any order and any number of times.
    pub fn precedence(&self) -> (u64, u8, u64) {
        (self.incarnation, self.status.rank(), self.run)
    }

    /// Whether no word in it is longer than allowed, and no number so high that its member could not contradict it.
    pub fn is_valid(&self) -> bool {
        let fits = |word: &Name| !word.is_empty() && word.len() <= MAX_TEXT_BYTES;
        self.incarnation < MAX_INCARNATION
            && fits(&self.name)
            && match &self.status {
                Status::Alive(profile) => {
                    let of_itself = [&profile.zone, &profile.machine, &profile.version];
                    of_itself.into_iter().all(fits) && profile.protocols.0 <= profile.protocols.1
                }
                Status::Suspect { by } => fits(by),
                Status::Dead | Status::Left => true,
            }
    }
}
