//! What is kept on the disk, on threads that may wait for it.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use merlinfold_membership::{Saved, SAVED_VERSION};
use merlinfold_store::{Fault, File, Folder};
use tokio::task::spawn_blocking;
use tokio::time::timeout;
use tracing::warn;

/// A disk may take so long over the start until the node joins without it.
const START_WITHIN: Duration = Duration::from_secs(5);

/// Keeps the view of one node.
#[derive(Clone, Debug)]
pub struct Keeper {
    folder: PathBuf,
    file: File,
    cluster: String,
    writing: Arc<Mutex<()>>, // one at a time, also after one that took too long
}

impl Keeper {
    /// In this folder.
    pub fn new(folder: PathBuf, name: &str, cluster: &str) -> Self {
        Keeper {
            folder,
            file: File::new("fleet", name, SAVED_VERSION),
            cluster: cluster.to_owned(),
            writing: Arc::default(),
        }
    }

    /// Counts this start, durably, and returns what was kept. A disk that fails or takes too long is named, and the
    /// node goes on without.
    pub async fn start(&self) -> Saved {
        let keeper = self.clone();
        let begun = spawn_blocking(move || {
            let _one = keeper.writing.lock().unwrap_or_else(PoisonError::into_inner);
            let disk = match Folder::open(&keeper.folder) {
                Ok(disk) => disk,
                Err(error) => return (Saved::default(), vec![Fault::Disk { step: "open", error }]),
            };
            let mut faults = Vec::new();
            let saved = keeper.file.load::<Saved>(&disk).unwrap_or_else(|fault| {
                faults.push(fault);
                None
            });
            let saved = saved.unwrap_or_default().next(&keeper.cluster);
            faults.extend(keeper.file.save(&disk, &saved).err());
            (saved, faults)
        });
        let file = self.folder.join(self.file.name());
        match timeout(START_WITHIN, begun).await {
            Ok(Ok((saved, faults))) => {
                for fault in faults {
                    warn!(file = %file.display(), %fault, "fleet: what was kept cannot be relied on");
                }
                saved
            }
            Ok(Err(_)) | Err(_) => {
                warn!(file = %file.display(), "fleet: the disk does not answer: joining without what was kept");
                Saved::default()
            }
        }
    }

    /// Keeps the addresses of others. The count of starts on the disk never falls: a successor may have counted.
    pub async fn save(&self, starts: u32, addresses: Vec<SocketAddr>) -> Result<(), Fault> {
        let keeper = self.clone();
        let saved = spawn_blocking(move || {
            let _one = keeper.writing.lock().unwrap_or_else(PoisonError::into_inner);
            let disk = Folder::open(&keeper.folder).map_err(|error| Fault::Disk { step: "open", error })?;
            let on_disk = keeper.file.load::<Saved>(&disk).ok().flatten().map_or(0, |saved| saved.starts);
            let saved = Saved { cluster: keeper.cluster.clone(), starts: starts.max(on_disk), addresses };
            keeper.file.save(&disk, &saved)
        });
        saved.await.unwrap_or(Err(Fault::Value)) // the thread ended without a word
    }
}
