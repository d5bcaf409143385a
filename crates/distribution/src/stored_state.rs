//! Files that hold the revision in force and staged content.

use std::sync::Arc;

use merlinfold_store::{Disk, File, StoreError};
use serde::{Deserialize, Serialize};

use crate::revision::{Announcement, Digest};
use crate::wire::Transfer;

/// Version of the file format.
pub const STORED_STATE_VERSION: u8 = 1;
const IN_FORCE_FILE: &str = "configuration";
const STAGED_FILE: &str = "configuration-staged";

/// A whole document with its announcement.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Document {
    /// Announcement of the document.
    pub announcement: Announcement,
    /// The document in its canonical encoding.
    pub bytes: Arc<[u8]>,
}

/// Content of a revision that is not announced yet.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StagedContent {
    /// Announcement that will be proposed.
    pub announcement: Announcement,
    /// Digest of the document that a chain is based on; `None` if there is none.
    pub base: Option<Digest>,
    /// Kind, digest and length of the content.
    pub transfer: Transfer,
    /// The encoded chain or the document.
    pub bytes: Arc<[u8]>,
}

/// State loaded from the disk.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct StoredState {
    /// The revision that was in force.
    pub in_force: Option<Document>,
    /// Content that was staged here.
    pub staged: Vec<StagedContent>,
}

/// A requested disk write.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FileWrite {
    /// Writes the revision in force.
    InForce(Document),
    /// Writes all staged content.
    Staged(Vec<StagedContent>),
    /// Renames the file of the revision in force, which does not belong to this log.
    SetAside,
}

fn file(kind: &str, node: &str) -> File {
    File::new(kind, node, STORED_STATE_VERSION)
}

impl FileWrite {
    /// Performs the write durably. After success it survives a crash; after an error the previous content is intact.
    pub fn save(&self, disk: &dyn Disk, node: &str) -> Result<(), StoreError> {
        match self {
            FileWrite::InForce(document) => file(IN_FORCE_FILE, node).save(disk, document),
            FileWrite::Staged(staged) => file(STAGED_FILE, node).save(disk, staged),
            FileWrite::SetAside => {
                let name = file(IN_FORCE_FILE, node).name().to_owned();
                let renamed = disk.rename(&name, &format!("{name}.set-aside"));
                renamed.map_err(|error| StoreError::Io { step: "setting aside", error })
            }
        }
    }
}

impl StoredState {
    /// Loads the files and returns the errors of those that cannot be read or trusted. The store sets such files aside.
    pub fn load(disk: &dyn Disk, node: &str) -> (Self, Vec<StoreError>) {
        let mut errors = Vec::new();
        let in_force: Option<Document> =
            file(IN_FORCE_FILE, node).load(disk).unwrap_or_else(|error| record_error(&mut errors, error));
        let staged: Option<Vec<StagedContent>> =
            file(STAGED_FILE, node).load(disk).unwrap_or_else(|error| record_error(&mut errors, error));
        // The checksum covers the file; the digest also detects content that was damaged before it was written.
        let in_force = in_force.filter(|document| document.announcement.matches(&document.bytes));
        (StoredState { in_force, staged: staged.unwrap_or_default() }, errors)
    }
}

fn record_error<T>(errors: &mut Vec<StoreError>, error: StoreError) -> Option<T> {
    errors.push(error);
    None
}
