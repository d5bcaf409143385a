//! Transaction ids that the two processes of a node tell each other during an upgrade, so that a request that comes to
//! both runs at one of them only. Each process appends to a file of its own, and reads what the other has appended.

use std::fs::{self, File, OpenOptions};
use std::io::{self, Read, Seek, SeekFrom, Write};
use std::path::{Path, PathBuf};

const ID_BYTES: usize = 8;
/// Length at which a process writes its file anew, with its recent ids alone.
const MAX_FILE_BYTES: u64 = 1 << 20;

/// The files of two processes, as one of them uses them.
#[derive(Debug)]
pub struct SharedClaims {
    own_path: PathBuf,
    other_path: PathBuf,
    own: File,
    own_bytes: u64,
    other_bytes: u64, // read so far
}

impl SharedClaims {
    /// Begins to share, with the ids that this process knows. `stem` is the path of the node's files without an ending,
    /// and `is_first` says whether this process started before the other one. Fails if the file cannot be written.
    pub fn begin(stem: &Path, is_first: bool, known: &[u64]) -> io::Result<Self> {
        let path = |is_first| stem.with_extension(if is_first { "claims-first" } else { "claims-second" });
        let (own_path, other_path) = (path(is_first), path(!is_first));
        let own = write_new(&own_path, known)?;
        let own_bytes = (known.len() * ID_BYTES) as u64;
        Ok(SharedClaims { own_path, other_path, own, own_bytes, other_bytes: 0 })
    }

    /// Tells the other process of a request before it can run here. `known` gives all recent ids. Fails if the file
    /// cannot be written.
    pub fn claim(&mut self, id: u64, known: impl FnOnce() -> Vec<u64>) -> io::Result<()> {
        if self.own_bytes >= MAX_FILE_BYTES {
            let known = known();
            self.own = write_new(&self.own_path, &known)?;
            self.own_bytes = (known.len() * ID_BYTES) as u64;
        }
        self.own.write_all(&id.to_be_bytes())?;
        self.own_bytes += ID_BYTES as u64;
        Ok(())
    }

    /// Returns the ids that the other process has claimed since the last call. A file that it has not begun has none.
    /// Fails if the file cannot be read.
    pub fn claims_of_other(&mut self) -> io::Result<Vec<u64>> {
        let mut file = match File::open(&self.other_path) {
            Ok(file) => file,
            Err(error) if error.kind() == io::ErrorKind::NotFound => return Ok(Vec::new()),
            Err(error) => return Err(error),
        };
        let length = file.metadata()?.len();
        if length < self.other_bytes {
            self.other_bytes = 0; // written anew
        }
        file.seek(SeekFrom::Start(self.other_bytes))?;
        let mut text = Vec::new();
        file.take(MAX_FILE_BYTES + ID_BYTES as u64).read_to_end(&mut text)?;
        // An id of which a part is written is read at the next call.
        let ids =
            text.chunks_exact(ID_BYTES).filter_map(|bytes| Some(u64::from_be_bytes(bytes.try_into().ok()?)));
        let ids: Vec<u64> = ids.collect();
        self.other_bytes += (ids.len() * ID_BYTES) as u64;
        Ok(ids)
    }
}

/// Replaces a file atomically, so that a reader never takes a part of it for the whole.
fn write_new(path: &Path, ids: &[u64]) -> io::Result<File> {
    let new = path.with_extension("claims-new");
    let text: Vec<u8> = ids.iter().flat_map(|id| id.to_be_bytes()).collect();
    fs::write(&new, text)?;
    fs::rename(&new, path)?;
    OpenOptions::new().append(true).open(path)
}
