//! Small files that are replaced atomically and survive a crash.
//!
//! A file is never changed in place. A new version is written to a temporary file and synced, then renamed over the
//! old one, and then the folder is synced. The file contains magic bytes, format versions, its owner, the length of
//! the value and a checksum. A file that is damaged, has another version or belongs to another node is reported and
//! renamed, and its content is never used. After a failed sync the temporary file is not trusted: the next save writes
//! it again from the start. The store is not a database; a file holds one value.
//!
//! Files are accessed through the trait [`Disk`], so that tests can inject disk faults.
//!
//! ```
//! use merlinfold_store::{File, Folder};
//!
//! let folder = std::env::temp_dir().join(format!("merlinfold-store-example-{}", std::process::id()));
//! let disk = Folder::open(&folder).unwrap();
//! let file = File::new("counts", "n3", 1);
//! file.save(&disk, &[1u32, 2, 3]).unwrap();
//! assert_eq!(file.load::<[u32; 3]>(&disk).unwrap(), Some([1, 2, 3]));
//! assert!(File::new("counts", "n4", 1).load::<[u32; 3]>(&disk).is_err(), "belongs to n3");
//! std::fs::remove_dir_all(&folder).unwrap();
//! ```

use std::fmt;
use std::io::{self, Read, Write};
use std::path::{Path, PathBuf};

use serde::de::DeserializeOwned;
use serde::Serialize;

/// First bytes of every file.
const MAGIC: &[u8; 8] = b"mfstore\n";
/// Version of the file header.
const HEADER_VERSION: u8 = 1;
/// Maximum size of an encoded value in bytes.
pub const MAX_VALUE_BYTES: usize = 8 << 20;

/// A flat folder of files. Each call is a separate step that can fail, or be lost in a crash, on its own.
pub trait Disk {
    /// Reads a whole file; `None` if it does not exist.
    fn read(&self, name: &str) -> io::Result<Option<Vec<u8>>>;
    /// Creates or truncates the file and writes all bytes, without making them durable.
    fn write(&self, name: &str, bytes: &[u8]) -> io::Result<()>;
    /// Makes the content of the file durable.
    fn sync(&self, name: &str) -> io::Result<()>;
    /// Renames a file and replaces the target if it exists.
    fn rename(&self, from: &str, to: &str) -> io::Result<()>;
    /// Makes created and renamed file names durable.
    fn sync_folder(&self) -> io::Result<()>;
}

/// A folder of the local file system.
#[derive(Clone, Debug)]
pub struct Folder(PathBuf);

impl Folder {
    /// Opens the folder and creates it if it does not exist.
    pub fn open(path: &Path) -> io::Result<Self> {
        std::fs::create_dir_all(path)?;
        Ok(Folder(path.to_owned()))
    }
}

impl Disk for Folder {
    fn read(&self, name: &str) -> io::Result<Option<Vec<u8>>> {
        let file = match std::fs::File::open(self.0.join(name)) {
            Err(error) if error.kind() == io::ErrorKind::NotFound => return Ok(None),
            other => other?,
        };
        let mut bytes = Vec::new();
        file.take(MAX_VALUE_BYTES as u64 + 1_024).read_to_end(&mut bytes)?; // more bytes cannot be a valid file
        Ok(Some(bytes))
    }

    fn write(&self, name: &str, bytes: &[u8]) -> io::Result<()> {
        std::fs::File::create(self.0.join(name))?.write_all(bytes)
    }

    fn sync(&self, name: &str) -> io::Result<()> {
        std::fs::File::open(self.0.join(name))?.sync_all()
    }

    fn rename(&self, from: &str, to: &str) -> io::Result<()> {
        std::fs::rename(self.0.join(from), self.0.join(to))
    }

    fn sync_folder(&self) -> io::Result<()> {
        std::fs::File::open(&self.0)?.sync_all()
    }
}

/// Why a file could not be saved or loaded.
#[derive(Debug)]
pub enum StoreError {
    /// An operation of the disk failed.
    Io {
        /// The step that failed.
        step: &'static str,
        /// The error of the disk.
        error: io::Error,
    },
    /// The file is invalid, for this reason. It has been renamed, so that it is not loaded again.
    Unusable(&'static str),
    /// The value cannot be stored, because it is too long or cannot be serialized.
    InvalidValue,
}

impl fmt::Display for StoreError {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            StoreError::Io { step, error } => write!(f, "{step} failed: {error}"),
            StoreError::Unusable(reason) => write!(f, "invalid file was set aside: {reason}"),
            StoreError::InvalidValue => {
                write!(f, "the value cannot be serialized or exceeds {MAX_VALUE_BYTES} bytes")
            }
        }
    }
}

impl std::error::Error for StoreError {}

fn failed_at(step: &'static str) -> impl Fn(io::Error) -> StoreError {
    move |error| StoreError::Io { step, error }
}

/// A file that holds one value.
#[derive(Clone, Debug)]
pub struct File {
    name: String,
    owner: String,
    version: u8,
}

impl File {
    /// A file for a value of this kind that belongs to the node `owner`, in this version of its format. The name of
    /// the owner has up to 255 bytes.
    pub fn new(kind: &str, owner: &str, version: u8) -> Self {
        File { name: format!("{kind}.mf"), owner: owner.to_owned(), version }
    }

    /// Name of the file in its folder.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// The bytes before the length of the value.
    fn header(&self) -> Result<Vec<u8>, StoreError> {
        let owner = u8::try_from(self.owner.len()).map_err(|_| StoreError::InvalidValue)?;
        Ok([&MAGIC[..], &[HEADER_VERSION, self.version, owner], self.owner.as_bytes()].concat())
    }

    /// Replaces the value. If this succeeds, the new value survives a crash. After an error the previous value is still
    /// there, except that the rename may have taken effect when only the sync of the folder failed.
    pub fn save(&self, disk: &dyn Disk, value: &impl Serialize) -> Result<(), StoreError> {
        let value = postcard::to_stdvec(value).map_err(|_| StoreError::InvalidValue)?;
        if value.len() > MAX_VALUE_BYTES {
            return Err(StoreError::InvalidValue);
        }
        let mut bytes = self.header()?;
        bytes.extend((value.len() as u32).to_le_bytes());
        bytes.extend(&value);
        bytes.extend(crc32c::crc32c(&bytes).to_le_bytes());
        let temporary = format!("{}.new", self.name);
        disk.write(&temporary, &bytes).map_err(failed_at("write"))?;
        disk.sync(&temporary).map_err(failed_at("sync"))?;
        disk.rename(&temporary, &self.name).map_err(failed_at("rename"))?;
        disk.sync_folder().map_err(failed_at("sync of the folder"))
    }

    /// Loads the value; `None` if the file does not exist. An invalid file is renamed to `<name>.unusable`.
    pub fn load<T: DeserializeOwned>(&self, disk: &dyn Disk) -> Result<Option<T>, StoreError> {
        let Some(bytes) = disk.read(&self.name).map_err(failed_at("read"))? else { return Ok(None) };
        self.decode(&bytes).map(Some).map_err(|reason| {
            match disk.rename(&self.name, &format!("{}.unusable", self.name)) {
                Ok(()) => StoreError::Unusable(reason),
                Err(error) => failed_at("renaming an invalid file")(error),
            }
        })
    }

    fn decode<T: DeserializeOwned>(&self, bytes: &[u8]) -> Result<T, &'static str> {
        let (body, sum) = bytes.split_last_chunk::<4>().ok_or("the file is truncated")?;
        if !body.starts_with(MAGIC) {
            return Err("the file belongs to another program");
        }
        if crc32c::crc32c(body).to_le_bytes() != *sum {
            return Err("the checksum does not match");
        }
        let rest = &body[MAGIC.len()..];
        let &[header_version, version, owner, ref rest @ ..] = rest else {
            return Err("the file is truncated");
        };
        if header_version != HEADER_VERSION || version != self.version {
            return Err("the file has another format version");
        }
        let (owner, rest) = rest.split_at_checked(owner.into()).ok_or("the file is truncated")?;
        if owner != self.owner.as_bytes() {
            return Err("the file belongs to another node");
        }
        let (length, value) = rest.split_first_chunk::<4>().ok_or("the file is truncated")?;
        if value.len() != u32::from_le_bytes(*length) as usize {
            return Err("the file is truncated");
        }
        postcard::from_bytes(value).map_err(|_| "the value cannot be decoded")
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    /// A temporary folder that is removed when it is dropped.
    struct TemporaryFolder(PathBuf);

    impl TemporaryFolder {
        fn new(name: &str) -> (Self, Folder) {
            let path = std::env::temp_dir().join(format!("merlinfold-store-{}-{name}", std::process::id()));
            let _ = std::fs::remove_dir_all(&path);
            let folder = Folder::open(&path).unwrap();
            (TemporaryFolder(path), folder)
        }
    }

    impl Drop for TemporaryFolder {
        fn drop(&mut self) {
            let _ = std::fs::remove_dir_all(&self.0);
        }
    }

    proptest! {
        /// Guards against loading a file that was truncated at any byte or has any bit flipped. It must be reported
        /// once and renamed.
        #[test]
        fn a_damaged_file_is_set_aside(cut in 0usize..60, flip in 0usize..60, bit in 0u8..8) {
            let (_folder, disk) = TemporaryFolder::new("damaged");
            let file = File::new("view", "n3", 1);
            let value = vec!["some".to_owned(), "words".to_owned()];
            for truncate in [true, false] {
                file.save(&disk, &value).unwrap();
                let mut bytes = disk.read("view.mf").unwrap().unwrap();
                if truncate {
                    bytes.truncate(cut % bytes.len());
                } else {
                    let at = flip % bytes.len();
                    bytes[at] ^= 1 << bit;
                }
                disk.write("view.mf", &bytes).unwrap();
                prop_assert!(matches!(file.load::<Vec<String>>(&disk), Err(StoreError::Unusable(_))));
                prop_assert!(matches!(file.load::<Vec<String>>(&disk), Ok(None)));
                prop_assert!(disk.read("view.mf.unusable").unwrap().is_some());
            }
        }
    }

    #[test]
    fn a_file_of_another_version_or_node_is_refused_with_the_reason() {
        let (_folder, disk) = TemporaryFolder::new("another");
        for (other, reason) in [
            (File::new("view", "n3", 2), "the file has another format version"),
            (File::new("view", "n4", 1), "the file belongs to another node"),
        ] {
            other.save(&disk, &1u8).unwrap();
            let error = File::new("view", "n3", 1).load::<u8>(&disk).unwrap_err();
            assert_eq!(error.to_string(), format!("invalid file was set aside: {reason}"));
        }
    }

    /// Guards the previous value against a failed save on a full disk. Every write to `/dev/full` fails.
    #[test]
    fn a_failed_save_on_a_full_disk_keeps_the_previous_value() {
        let (folder, disk) = TemporaryFolder::new("full");
        let file = File::new("view", "n3", 1);
        file.save(&disk, &1u8).unwrap();
        std::os::unix::fs::symlink("/dev/full", folder.0.join("view.mf.new")).unwrap();
        let error = file.save(&disk, &2u8).unwrap_err();
        assert!(matches!(error, StoreError::Io { step: "write", .. }), "{error}");
        assert_eq!(file.load::<u8>(&disk).unwrap(), Some(1));
    }
}
