//! The state file of a node on disks that fail.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::io;

use merlinfold_membership::SavedFile;
use merlinfold_store::{Disk, StoreError};

/// A disk that accepts all writes, but whose reads can be made to fail.
#[derive(Default)]
struct UnreadableDisk {
    files: RefCell<BTreeMap<String, Vec<u8>>>,
    reads_fail: Cell<bool>,
}

impl Disk for UnreadableDisk {
    fn read(&self, name: &str) -> io::Result<Option<Vec<u8>>> {
        if self.reads_fail.get() {
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

/// Guards the number of starts on a disk that temporarily fails to read but accepts writes: without the read, a write
/// would reset the number on the disk, and run numbers would repeat.
#[test]
fn a_failed_read_does_not_reset_the_number_of_starts() {
    let (disk, file) = (UnreadableDisk::default(), SavedFile::new("n3", "guides"));
    assert!((1..=3).all(|starts| file.record_start(&disk).0.starts == starts));
    disk.reads_fail.set(true);
    let (saved, errors) = file.record_start(&disk);
    assert_eq!(
        (saved.starts, errors.len()),
        (1, 1),
        "the node starts without saved state and reports the error"
    );
    assert!(file.save(&disk, saved.starts, Vec::new()).is_err());
    disk.reads_fail.set(false);
    file.save(&disk, saved.starts, Vec::new()).unwrap();
    assert_eq!(file.record_start(&disk).0.starts, 4);
}

/// Guards the opposite case: a damaged file is set aside and does not prevent the node from counting its starts.
#[test]
fn a_damaged_file_resets_the_number_of_starts() {
    let (disk, file) = (UnreadableDisk::default(), SavedFile::new("n3", "guides"));
    file.record_start(&disk);
    disk.write(file.name(), b"mfstore").unwrap();
    let (saved, errors) = file.record_start(&disk);
    assert!(saved.starts == 1 && matches!(errors[..], [StoreError::Unusable(_)]), "{errors:?}");
    assert_eq!(file.record_start(&disk).0.starts, 2);
}
