//! What a node keeps on its disk to find the fleet again.

use std::net::SocketAddr;

use merlinfold_store::{Disk, Fault, File};
use serde::{Deserialize, Serialize};

use crate::config::{Nanos, MS};

/// Addresses kept at most.
pub const ADDRESSES_MOST: usize = 4_096;
/// Version of the form, for the file's head.
pub const SAVED_VERSION: u8 = 1;
/// So long a disk may take over a start until the node joins without it.
pub const START_WITHIN: Nanos = 5_000 * MS;
/// Time between writes of the view, while it changes.
pub const SAVE_EVERY: Nanos = 5_000 * MS;

/// As it stands on the disk.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Saved {
    /// The fleet.
    pub cluster: String,
    /// How often the node has started.
    pub starts: u32,
    /// Where members were last seen.
    pub addresses: Vec<SocketAddr>,
}

impl Saved {
    /// The same for a further start in this fleet. What was kept of another fleet is forgotten, its count of starts
    /// not: it only ever rises.
    pub fn next(mut self, cluster: &str) -> Self {
        if self.cluster != cluster {
            (self.cluster, self.addresses) = (cluster.to_owned(), Vec::new());
        }
        self.starts = self.starts.saturating_add(1);
        self.addresses.truncate(ADDRESSES_MOST);
        self
    }

    /// The number of this start: greater than of any before on this disk, and else a drawn one.
    pub fn run(&self, random: u32) -> u64 {
        u64::from(self.starts) << 32 | u64::from(random)
    }
}

/// The file of one node, on whatever disk.
#[derive(Clone, Debug)]
pub struct Keeping {
    file: File,
    cluster: String,
}

impl Keeping {
    /// Of the node of this name, in this fleet.
    pub fn new(name: &str, cluster: &str) -> Self {
        Keeping { file: File::new("fleet", name, SAVED_VERSION), cluster: cluster.to_owned() }
    }

    /// Its name in the folder.
    pub fn name(&self) -> &str {
        self.file.name()
    }

    /// Counts a start, durably, and returns what was kept, with what the disk did wrong. A file that cannot be read
    /// may hold a greater count than this one, so nothing is written over it.
    pub fn start(&self, disk: &dyn Disk) -> (Saved, Vec<Fault>) {
        let (kept, unread) = match self.file.load::<Saved>(disk) {
            Ok(kept) => (kept, None),
            Err(fault) => (None, Some(fault)),
        };
        let saved = kept.unwrap_or_default().next(&self.cluster);
        let mut faults: Vec<Fault> = unread.into_iter().collect();
        if !faults.iter().any(|fault| matches!(fault, Fault::Disk { .. })) {
            faults.extend(self.file.save(disk, &saved).err());
        }
        (saved, faults)
    }

    /// Keeps the addresses of others. The count of starts on the disk never falls: a successor may have counted, or
    /// this process never read what was there.
    pub fn save(&self, disk: &dyn Disk, starts: u32, addresses: Vec<SocketAddr>) -> Result<(), Fault> {
        let on_disk = match self.file.load::<Saved>(disk) {
            Ok(kept) => kept.map_or(0, |kept| kept.starts),
            Err(Fault::Unusable(_)) => 0, // set aside: there is nothing left to be believed
            Err(fault) => return Err(fault),
        };
        let saved = Saved { cluster: self.cluster.clone(), starts: starts.max(on_disk), addresses };
        self.file.save(disk, &saved)
    }
}

#[cfg(test)]
mod tests {
    use std::cell::{Cell, RefCell};
    use std::collections::BTreeMap;
    use std::io;

    use super::*;

    /// Takes all that is written, and may fail to give it back.
    #[derive(Default)]
    struct Unreadable {
        files: RefCell<BTreeMap<String, Vec<u8>>>,
        fails: Cell<bool>,
    }

    impl Disk for Unreadable {
        fn read(&self, name: &str) -> io::Result<Option<Vec<u8>>> {
            if self.fails.get() {
                return Err(io::Error::other("the device reports an error"));
            }
            Ok(self.files.borrow().get(name).cloned())
        }

        fn write(&self, name: &str, bytes: &[u8]) -> io::Result<()> {
            self.files.borrow_mut().insert(name.to_owned(), bytes.to_vec());
            Ok(())
        }

        fn sync(&self, _: &str) -> io::Result<()> {
            Ok(())
        }

        fn rename(&self, from: &str, to: &str) -> io::Result<()> {
            let bytes = self.files.borrow_mut().remove(from).ok_or(io::ErrorKind::NotFound)?;
            self.files.borrow_mut().insert(to.to_owned(), bytes);
            Ok(())
        }

        fn sync_folder(&self) -> io::Result<()> {
            Ok(())
        }
    }

    /// Guards the count of starts on a disk that for a while cannot be read but takes writes.
    #[test]
    fn a_read_that_fails_does_not_begin_the_count_anew() {
        let (disk, keeping) = (Unreadable::default(), Keeping::new("n3", "guides"));
        assert!((1..=3).all(|starts| keeping.start(&disk).0.starts == starts));
        disk.fails.set(true);
        let (saved, faults) = keeping.start(&disk);
        assert_eq!((saved.starts, faults.len()), (1, 1), "it goes on without, and says why");
        assert!(keeping.save(&disk, saved.starts, Vec::new()).is_err());
        disk.fails.set(false);
        keeping.save(&disk, saved.starts, Vec::new()).unwrap();
        assert_eq!(keeping.start(&disk).0.starts, 4);
    }

    /// Guards the other side: what is damaged is set aside and does not keep the node from counting.
    #[test]
    fn a_damaged_file_begins_the_count_anew() {
        let (disk, keeping) = (Unreadable::default(), Keeping::new("n3", "guides"));
        keeping.start(&disk);
        disk.write(keeping.name(), b"mfstore").unwrap();
        let (saved, faults) = keeping.start(&disk);
        assert!(saved.starts == 1 && matches!(faults[..], [Fault::Unusable(_)]), "{faults:?}");
        assert_eq!(keeping.start(&disk).0.starts, 2);
    }
}
