//! What is kept on the disk, by files of the store.

use std::sync::Arc;

use merlinfold_store::{Disk, File, StoreError};
use serde::{Deserialize, Serialize};

use crate::revision::{Announcement, Digest};
use crate::wire::Transfer;

/// Version of the files' form.
pub const STORED_STATE_VERSION: u8 = 1;
const IN_FORCE: &str = "configuration";
const STAGED: &str = "configuration-staged";

/// A whole document, as it was announced.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Document {
    /// How.
    pub announcement: Announcement,
    /// It, in its canonical encoding.
    pub bytes: Arc<[u8]>,
}

/// Content of a revision that is not announced yet.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StagedContent {
    /// How it is to be announced.
    pub announcement: Announcement,
    /// Digest of the document that a chain begins at.
    pub base: Option<Digest>,
    /// What it is.
    pub transfer: Transfer,
    /// The chain or the document.
    pub bytes: Arc<[u8]>,
}

/// What a disk holds.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct StoredState {
    /// The revision that was in force.
    pub in_force: Option<Document>,
    /// Content that was staged here.
    pub staged: Vec<StagedContent>,
}

/// A write that is wanted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FileWrite {
    /// The revision in force.
    InForce(Document),
    /// All that is staged.
    Staged(Vec<StagedContent>),
    /// The revision on the disk is not of this log: it is renamed.
    SetAside,
}

fn file(kind: &str, node: &str) -> File {
    File::new(kind, node, STORED_STATE_VERSION)
}

impl FileWrite {
    /// Makes it durable. Without a fault it survives a crash; with one, what was there before is still there.
    pub fn save(&self, disk: &dyn Disk, node: &str) -> Result<(), StoreError> {
        match self {
            FileWrite::InForce(document) => file(IN_FORCE, node).save(disk, document),
            FileWrite::Staged(staged) => file(STAGED, node).save(disk, staged),
            FileWrite::SetAside => {
                let name = file(IN_FORCE, node).name().to_owned();
                let renamed = disk.rename(&name, &format!("{name}.set-aside"));
                renamed.map_err(|error| StoreError::Io { step: "setting aside", error })
            }
        }
    }
}

impl StoredState {
    /// What the disk holds and can be believed; files that cannot be are named, and set aside where they are there.
    pub fn load(disk: &dyn Disk, node: &str) -> (Self, Vec<StoreError>) {
        let mut faults = Vec::new();
        let in_force: Option<Document> =
            file(IN_FORCE, node).load(disk).unwrap_or_else(|fault| note(&mut faults, fault));
        let staged: Option<Vec<StagedContent>> =
            file(STAGED, node).load(disk).unwrap_or_else(|fault| note(&mut faults, fault));
        // The checksum is of the file; the digest tells also what was wrong before it was written.
        let in_force = in_force.filter(|document| document.announcement.matches(&document.bytes));
        (StoredState { in_force, staged: staged.unwrap_or_default() }, faults)
    }
}

fn note<T>(faults: &mut Vec<StoreError>, fault: StoreError) -> Option<T> {
    faults.push(fault);
    None
}
