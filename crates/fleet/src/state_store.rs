//! What is kept on the disk, on threads that may wait for it.

use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use merlinfold_membership::{SavedFile, SavedState, LOAD_TIMEOUT};
use merlinfold_store::{Disk, Folder, StoreError};
use tokio::task::spawn_blocking;
use tokio::time::timeout;
use tracing::warn;

type Open = dyn Fn(&Path) -> io::Result<Box<dyn Disk>> + Send + Sync;

/// How a folder becomes a disk: the lab puts one there that fails.
#[derive(Clone)]
pub struct Disks(Arc<Open>);

impl Disks {
    /// By this function, called for every piece of work on a disk.
    pub fn with_opener(open: impl Fn(&Path) -> io::Result<Box<dyn Disk>> + Send + Sync + 'static) -> Self {
        Disks(Arc::new(open))
    }
}

impl Disks {
    /// The disk in this folder.
    pub(crate) fn open(&self, folder: &Path) -> io::Result<Box<dyn Disk>> {
        self.0(folder)
    }
}

impl Default for Disks {
    /// Folders as they are.
    fn default() -> Self {
        Disks::with_opener(|path| Ok(Box::new(Folder::open(path)?)))
    }
}

impl fmt::Debug for Disks {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str("Disks")
    }
}

/// Keeps the view of one node.
#[derive(Clone, Debug)]
pub struct StateStore {
    folder: PathBuf,
    disks: Disks,
    keeping: SavedFile,
    writing: Arc<Mutex<()>>, // one at a time, also after one that took too long
}

impl StateStore {
    /// In this folder.
    pub fn new(folder: PathBuf, disks: Disks, name: &str, cluster: &str) -> Self {
        StateStore { folder, disks, keeping: SavedFile::new(name, cluster), writing: Arc::default() }
    }

    /// Does something with the disk, on a thread that may wait; none if the thread ended without a word.
    async fn with<T: Send + 'static>(
        &self, work: impl FnOnce(&SavedFile, &dyn Disk) -> T + Send + 'static,
    ) -> Option<Result<T, StoreError>> {
        let keeper = self.clone();
        let done = spawn_blocking(move || {
            let _one = keeper.writing.lock().unwrap_or_else(PoisonError::into_inner);
            let open = &keeper.disks.0;
            let disk = open(&keeper.folder).map_err(|error| StoreError::Io { step: "open", error })?;
            Ok(work(&keeper.keeping, &*disk))
        });
        done.await.ok()
    }

    /// Counts this start, durably, and returns what was kept. A disk that fails or takes too long is named, and the
    /// node goes on without.
    pub async fn record_start(&self) -> SavedState {
        let file = self.folder.join(self.keeping.name());
        let begun = self.with(|keeping, disk| keeping.record_start(disk));
        let (saved, faults) = match timeout(Duration::from_nanos(LOAD_TIMEOUT), begun).await {
            Ok(Some(Ok(begun))) => begun,
            Ok(Some(Err(fault))) => (SavedState::default(), vec![fault]),
            Ok(None) | Err(_) => {
                warn!(file = %file.display(), "fleet: the disk does not answer: joining without what was kept");
                (SavedState::default(), Vec::new())
            }
        };
        for fault in faults {
            warn!(file = %file.display(), %fault, "fleet: what was kept cannot be relied on");
        }
        saved
    }

    /// Keeps the addresses of others.
    pub async fn save(&self, starts: u32, addresses: Vec<SocketAddr>) -> Result<(), StoreError> {
        let saved = self.with(move |keeping, disk| keeping.save(disk, starts, addresses)).await;
        saved.unwrap_or(Err(StoreError::InvalidValue))? // the thread ended without a word
    }
}
