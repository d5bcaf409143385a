//! The file that a node keeps, on disks that fail.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::io;

use merlinfold_membership::SavedFile;
use merlinfold_store::{Disk, StoreError};

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
    let (disk, keeping) = (Unreadable::default(), SavedFile::new("n3", "guides"));
    assert!((1..=3).all(|starts| keeping.record_start(&disk).0.starts == starts));
    disk.fails.set(true);
    let (saved, faults) = keeping.record_start(&disk);
    assert_eq!((saved.starts, faults.len()), (1, 1), "it goes on without, and says why");
    assert!(keeping.save(&disk, saved.starts, Vec::new()).is_err());
    disk.fails.set(false);
    keeping.save(&disk, saved.starts, Vec::new()).unwrap();
    assert_eq!(keeping.record_start(&disk).0.starts, 4);
}

/// Guards the other side: what is damaged is set aside and does not keep the node from counting.
#[test]
fn a_damaged_file_begins_the_count_anew() {
    let (disk, keeping) = (Unreadable::default(), SavedFile::new("n3", "guides"));
    keeping.record_start(&disk);
    disk.write(keeping.name(), b"mfstore").unwrap();
    let (saved, faults) = keeping.record_start(&disk);
    assert!(saved.starts == 1 && matches!(faults[..], [StoreError::Unusable(_)]), "{faults:?}");
    assert_eq!(keeping.record_start(&disk).0.starts, 2);
}
