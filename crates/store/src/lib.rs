//! Small files that survive a crash whole.
//!
//! A file is replaced, never changed: written beside, made durable, renamed, and the folder made durable. It says
//! what it is (mark, form, kind, owner, length, checksum); what is torn, of another form or another's is named and
//! set aside, never half believed. After a failed sync the file beside is not trusted and not tried again: the next
//! save begins with a new one. It is no database and holds one value a file.
//!
//! Where bytes go is a [`Disk`], so that tests can put one beneath that fails or lies.
//!
//! ```
//! use merlinfold_store::{File, Folder};
//!
//! let folder = std::env::temp_dir().join(format!("merlinfold-store-example-{}", std::process::id()));
//! let disk = Folder::open(&folder).unwrap();
//! let file = File::new("counts", "n3", 1);
//! file.save(&disk, &[1u32, 2, 3]).unwrap();
//! assert_eq!(file.load::<[u32; 3]>(&disk).unwrap(), Some([1, 2, 3]));
//! assert!(File::new("counts", "n4", 1).load::<[u32; 3]>(&disk).is_err(), "of another node");
//! std::fs::remove_dir_all(&folder).unwrap();
//! ```

use std::fmt;
use std::io::{self, Read, Write};
use std::path::{Path, PathBuf};

use serde::de::DeserializeOwned;
use serde::Serialize;

const MARK: &[u8; 8] = b"mfstore\n";
const FORM: u8 = 1;
/// Bytes of a value at most.
pub const MAX_VALUE_BYTES: usize = 8 << 20;

/// Where files are. Every call is one step that can fail or be lost by itself.
pub trait Disk {
    /// The whole of a file; none if there is no such file.
    fn read(&self, name: &str) -> io::Result<Option<Vec<u8>>>;
    /// Creates the file, or empties it, and writes all of it, which need not be durable yet.
    fn write(&self, name: &str, bytes: &[u8]) -> io::Result<()>;
    /// Makes durable what was written to the file.
    fn sync(&self, name: &str) -> io::Result<()>;
    /// Puts one file in the place of another.
    fn rename(&self, from: &str, to: &str) -> io::Result<()>;
    /// Makes names durable.
    fn sync_folder(&self) -> io::Result<()>;
}

/// A folder of the machine.
#[derive(Clone, Debug)]
pub struct Folder(PathBuf);

impl Folder {
    /// Makes the folder if there is none.
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
        file.take(MAX_VALUE_BYTES as u64 + 1_024).read_to_end(&mut bytes)?; // no more than could be valid
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

/// Why a file could not be believed.
#[derive(Debug)]
pub enum StoreError {
    /// The disk did not do what it was told.
    Io {
        /// At which step.
        step: &'static str,
        /// What it said.
        error: io::Error,
    },
    /// The file is not what it should be. It has been set aside.
    Unusable(&'static str),
    /// The value cannot be kept: too long, or of a kind that has no form.
    InvalidValue,
}

impl fmt::Display for StoreError {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            StoreError::Io { step, error } => write!(f, "{step}: {error}"),
            StoreError::Unusable(why) => write!(f, "set aside: {why}"),
            StoreError::InvalidValue => f.write_str("the value cannot be kept"),
        }
    }
}

impl std::error::Error for StoreError {}

fn at(step: &'static str) -> impl Fn(io::Error) -> StoreError {
    move |error| StoreError::Io { step, error }
}

/// One value on a disk.
#[derive(Clone, Debug)]
pub struct File {
    name: String,
    owner: String,
    version: u8,
}

impl File {
    /// A value of this kind that belongs to `owner`, in this version of its form.
    pub fn new(kind: &str, owner: &str, version: u8) -> Self {
        File { name: format!("{kind}.mf"), owner: owner.to_owned(), version }
    }

    /// Its name in the folder.
    pub fn name(&self) -> &str {
        &self.name
    }

    fn head(&self) -> Result<Vec<u8>, StoreError> {
        let owner = u8::try_from(self.owner.len()).map_err(|_| StoreError::InvalidValue)?;
        Ok([&MARK[..], &[FORM, self.version, owner], self.owner.as_bytes()].concat())
    }

    /// Replaces the value. When this returns without a fault, it survives a crash; with one, the value from before
    /// is still there.
    pub fn save(&self, disk: &dyn Disk, value: &impl Serialize) -> Result<(), StoreError> {
        let value = postcard::to_stdvec(value).map_err(|_| StoreError::InvalidValue)?;
        if value.len() > MAX_VALUE_BYTES {
            return Err(StoreError::InvalidValue);
        }
        let mut bytes = self.head()?;
        bytes.extend((value.len() as u32).to_le_bytes());
        bytes.extend(&value);
        bytes.extend(crc32c::crc32c(&bytes).to_le_bytes());
        let beside = format!("{}.new", self.name);
        disk.write(&beside, &bytes).map_err(at("write"))?;
        disk.sync(&beside).map_err(at("sync"))?;
        disk.rename(&beside, &self.name).map_err(at("rename"))?;
        disk.sync_folder().map_err(at("sync of the folder"))
    }

    /// The value; none if nothing was kept. What cannot be believed is set aside under another name.
    pub fn load<T: DeserializeOwned>(&self, disk: &dyn Disk) -> Result<Option<T>, StoreError> {
        let Some(bytes) = disk.read(&self.name).map_err(at("read"))? else { return Ok(None) };
        self.decode(&bytes).map(Some).map_err(|why| {
            match disk.rename(&self.name, &format!("{}.unusable", self.name)) {
                Ok(()) => StoreError::Unusable(why),
                Err(error) => at("setting aside")(error),
            }
        })
    }

    fn decode<T: DeserializeOwned>(&self, bytes: &[u8]) -> Result<T, &'static str> {
        let (body, sum) = bytes.split_last_chunk::<4>().ok_or("cut short")?;
        if !body.starts_with(MARK) {
            return Err("of another program");
        }
        if crc32c::crc32c(body).to_le_bytes() != *sum {
            return Err("torn: its checksum does not fit");
        }
        let rest = &body[MARK.len()..];
        let &[form, version, owner, ref rest @ ..] = rest else { return Err("cut short") };
        if form != FORM || version != self.version {
            return Err("of another version");
        }
        let (owner, rest) = rest.split_at_checked(owner.into()).ok_or("cut short")?;
        if owner != self.owner.as_bytes() {
            return Err("of another node");
        }
        let (length, value) = rest.split_first_chunk::<4>().ok_or("cut short")?;
        if value.len() != u32::from_le_bytes(*length) as usize {
            return Err("cut short");
        }
        postcard::from_bytes(value).map_err(|_| "of another form")
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    struct Own(PathBuf);

    impl Own {
        fn new(name: &str) -> (Self, Folder) {
            let path = std::env::temp_dir().join(format!("merlinfold-store-{}-{name}", std::process::id()));
            let _ = std::fs::remove_dir_all(&path);
            let folder = Folder::open(&path).unwrap();
            (Own(path), folder)
        }
    }

    impl Drop for Own {
        fn drop(&mut self) {
            let _ = std::fs::remove_dir_all(&self.0);
        }
    }

    proptest! {
        /// A file torn at any byte, or with any byte flipped, is never believed, and is there no more afterwards.
        #[test]
        fn a_damaged_file_is_set_aside(cut in 0usize..60, flip in 0usize..60, bit in 0u8..8) {
            let (_own, disk) = Own::new("damaged");
            let file = File::new("view", "n3", 1);
            let value = vec!["some".to_owned(), "words".to_owned()];
            for tear in [true, false] {
                file.save(&disk, &value).unwrap();
                let mut bytes = disk.read("view.mf").unwrap().unwrap();
                if tear {
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
    fn what_is_of_another_version_or_node_is_named() {
        let (_own, disk) = Own::new("another");
        for (other, why) in [
            (File::new("view", "n3", 2), "of another version"),
            (File::new("view", "n4", 1), "of another node"),
        ] {
            other.save(&disk, &1u8).unwrap();
            let fault = File::new("view", "n3", 1).load::<u8>(&disk).unwrap_err();
            assert_eq!(fault.to_string(), format!("set aside: {why}"));
        }
    }

    /// Guards what was kept before: a disk that takes no more leaves it as it was. `/dev/full` takes nothing.
    #[test]
    fn a_full_disk_leaves_the_value_from_before() {
        let (own, disk) = Own::new("full");
        let file = File::new("view", "n3", 1);
        file.save(&disk, &1u8).unwrap();
        std::os::unix::fs::symlink("/dev/full", own.0.join("view.mf.new")).unwrap();
        let fault = file.save(&disk, &2u8).unwrap_err();
        assert!(matches!(fault, StoreError::Io { step: "write", .. }), "{fault}");
        assert_eq!(file.load::<u8>(&disk).unwrap(), Some(1));
    }
}
