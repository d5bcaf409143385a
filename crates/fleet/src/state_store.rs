//! The file of the membership on the disk, accessed on threads that may block.

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

type Opener = dyn Fn(&Path) -> io::Result<Box<dyn Disk>> + Send + Sync;

/// Opens a folder as a [`Disk`]. Fault injection replaces it by an opener of disks that fail.
#[derive(Clone)]
pub struct Disks(Arc<Opener>);

impl Disks {
    /// Uses this function, which is called for each access to a disk.
    pub fn with_opener(open: impl Fn(&Path) -> io::Result<Box<dyn Disk>> + Send + Sync + 'static) -> Self {
        Disks(Arc::new(open))
    }

    /// Opens the disk of this folder.
    pub(crate) fn open(&self, folder: &Path) -> io::Result<Box<dyn Disk>> {
        self.0(folder)
    }
}

impl Default for Disks {
    /// Opens folders of the file system.
    fn default() -> Self {
        Disks::with_opener(|path| Ok(Box::new(Folder::open(path)?)))
    }
}

impl fmt::Debug for Disks {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str("Disks")
    }
}

/// Loads and saves the state file of one node.
#[derive(Clone, Debug)]
pub struct StateStore {
    folder: PathBuf,
    disks: Disks,
    file: SavedFile,
    access: Arc<Mutex<()>>, // serializes accesses, also behind one that has timed out
}

impl StateStore {
    /// Creates the store of a node in this folder.
    pub fn new(folder: PathBuf, disks: Disks, name: &str, cluster: &str) -> Self {
        StateStore { folder, disks, file: SavedFile::new(name, cluster), access: Arc::default() }
    }

    /// Runs work with the disk on a thread that may block; returns `None` if the thread panicked.
    async fn run_blocking<T: Send + 'static>(
        &self, work: impl FnOnce(&SavedFile, &dyn Disk) -> T + Send + 'static,
    ) -> Option<Result<T, StoreError>> {
        let store = self.clone();
        let result = spawn_blocking(move || {
            let _guard = store.access.lock().unwrap_or_else(PoisonError::into_inner);
            let open = &store.disks.0;
            let disk = open(&store.folder).map_err(|error| StoreError::Io { step: "open", error })?;
            Ok(work(&store.file, &*disk))
        });
        result.await.ok()
    }

    /// Increments the number of starts durably and returns the saved state. If the disk fails or times out, a warning
    /// names the file and the node goes on without saved state.
    pub async fn record_start(&self) -> SavedState {
        let path = self.folder.join(self.file.name());
        let result = self.run_blocking(|file, disk| file.record_start(disk));
        let (saved, errors) = match timeout(Duration::from_nanos(LOAD_TIMEOUT), result).await {
            Ok(Some(Ok(result))) => result,
            Ok(Some(Err(error))) => (SavedState::default(), vec![error]),
            Ok(None) | Err(_) => {
                warn!(file = %path.display(), "fleet: disk timed out; joining without saved state");
                (SavedState::default(), Vec::new())
            }
        };
        for error in errors {
            warn!(file = %path.display(), fault = %error, "fleet: saved state is unusable or was not saved");
        }
        saved
    }

    /// Saves the addresses of other members.
    pub async fn save(&self, starts: u32, addresses: Vec<SocketAddr>) -> Result<(), StoreError> {
        let result = self.run_blocking(move |file, disk| file.save(disk, starts, addresses)).await;
        result.unwrap_or(Err(StoreError::InvalidValue))? // the thread panicked
    }
}
