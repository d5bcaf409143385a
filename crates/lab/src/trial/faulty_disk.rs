//! A disk with injected faults for the node under test, which is not aware of them. When the node's process ends,
//! data that was not made durable is lost or only partly written, as on a real disk when its machine fails.

use std::collections::BTreeMap;
use std::io;
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use merlinfold_fault_injection::scenario::{DiskFault, MAX_SLOW_STEP};
use merlinfold_fleet::Disks;
use merlinfold_simulation::seed::{Seed, Stream};
use merlinfold_store::{Disk, Folder};
use rand::Rng;

/// State that the process sees and that is not yet durable on the underlying disk.
struct Unsynced {
    files: BTreeMap<String, (Vec<u8>, bool)>, // content, and whether the underlying disk has it
    renames: Vec<(String, String)>,           // renames not yet made on the underlying disk, in order
    stream: Stream,
}

/// A disk that wraps another one and injects faults.
pub struct FaultyDisk<B> {
    underlying: B,
    unsynced: Mutex<Unsynced>,
    fault: Box<dyn Fn() -> Option<DiskFault> + Send + Sync>,
}

fn device_error() -> io::Error {
    io::Error::other("the device reports an error")
}

impl<B: Disk> FaultyDisk<B> {
    /// Wraps `underlying`. `fault` returns the fault to inject and is called at each operation.
    pub fn new(
        underlying: B, seed: u64, fault: impl Fn() -> Option<DiskFault> + Send + Sync + 'static,
    ) -> Self {
        let unsynced =
            Unsynced { files: BTreeMap::new(), renames: Vec::new(), stream: Seed(seed).stream("store", 0) };
        FaultyDisk { underlying, unsynced: Mutex::new(unsynced), fault: Box::new(fault) }
    }

    fn unsynced(&self) -> MutexGuard<'_, Unsynced> {
        self.unsynced.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the current fault, after the delay that [`DiskFault::Slow`] causes.
    fn apply_fault(&self) -> Option<DiskFault> {
        let fault = (self.fault)();
        if fault == Some(DiskFault::Slow) {
            let takes = self.unsynced().stream.random_range(0..MAX_SLOW_STEP);
            std::thread::sleep(Duration::from_nanos(takes));
        }
        fault
    }
}

impl<B: Disk> Disk for FaultyDisk<B> {
    fn read(&self, name: &str) -> io::Result<Option<Vec<u8>>> {
        if self.apply_fault() == Some(DiskFault::ReadFails) {
            return Err(device_error());
        }
        match self.unsynced().files.get(name) {
            Some((content, _)) => Ok(Some(content.clone())),
            None => self.underlying.read(name),
        }
    }

    fn write(&self, name: &str, bytes: &[u8]) -> io::Result<()> {
        self.apply_fault();
        let mut unsynced = self.unsynced();
        // A cache may write back at any time, so a part of the data may reach the disk before any sync.
        if unsynced.stream.random::<bool>() {
            let some = unsynced.stream.random_range(0..=bytes.len());
            self.underlying.write(name, &bytes[..some])?;
        }
        unsynced.files.insert(name.to_owned(), (bytes.to_vec(), false));
        Ok(())
    }

    fn sync(&self, name: &str) -> io::Result<()> {
        match self.apply_fault() {
            Some(DiskFault::SyncFails) => return Err(device_error()),
            Some(DiskFault::SyncLies) => return Ok(()),
            _ => {}
        }
        match self.unsynced().files.get_mut(name) {
            Some((content, there)) if !*there => {
                self.underlying.write(name, content)?;
                self.underlying.sync(name)?;
                *there = true;
                Ok(())
            }
            Some(_) => Ok(()),
            None => self.underlying.sync(name),
        }
    }

    fn rename(&self, from: &str, to: &str) -> io::Result<()> {
        self.apply_fault();
        let mut unsynced = self.unsynced();
        let moved = match unsynced.files.remove(from) {
            Some(moved) => moved,
            None => (self.underlying.read(from)?.ok_or(io::ErrorKind::NotFound)?, true),
        };
        unsynced.files.insert(to.to_owned(), moved);
        let name = (from.to_owned(), to.to_owned());
        if unsynced.renames.last() != Some(&name) {
            unsynced.renames.push(name);
        }
        // A rename may become durable before the folder is synced and before the content is.
        if unsynced.renames.len() == 1
            && unsynced.stream.random::<bool>()
            && self.underlying.rename(from, to).is_ok()
        {
            unsynced.renames.clear();
        }
        Ok(())
    }

    fn sync_folder(&self) -> io::Result<()> {
        match self.apply_fault() {
            Some(DiskFault::SyncFails) => return Err(device_error()),
            Some(DiskFault::SyncLies | DiskFault::NamesLost) => return Ok(()),
            _ => {}
        }
        let mut unsynced = self.unsynced();
        for (from, to) in std::mem::take(&mut unsynced.renames) {
            match self.underlying.rename(&from, &to) {
                // The content is missing because an earlier sync falsely reported success. It is written now, as a
                // running machine's cache eventually does.
                Err(error) if error.kind() == io::ErrorKind::NotFound => {
                    if let Some((content, _)) = unsynced.files.get(&to) {
                        self.underlying.write(&to, content)?;
                    }
                }
                other => other?,
            }
        }
        unsynced.files.retain(|_, (_, there)| !*there);
        self.underlying.sync_folder()
    }
}

/// A disk that a process shares between all openings of the same folder.
struct SharedDisk(Arc<FaultyDisk<Folder>>);

impl Disk for SharedDisk {
    fn read(&self, name: &str) -> io::Result<Option<Vec<u8>>> {
        self.0.read(name)
    }

    fn write(&self, name: &str, bytes: &[u8]) -> io::Result<()> {
        self.0.write(name, bytes)
    }

    fn sync(&self, name: &str) -> io::Result<()> {
        self.0.sync(name)
    }

    fn rename(&self, from: &str, to: &str) -> io::Result<()> {
        self.0.rename(from, to)
    }

    fn sync_folder(&self) -> io::Result<()> {
        self.0.sync_folder()
    }
}

/// Returns the path of the file, beside the disk's folder, that renames the disk's current fault.
pub fn fault_file(disk: &Path) -> PathBuf {
    disk.with_extension("does")
}

/// Sets a disk's fault from now on; `None` removes it.
pub fn set_fault(disk: &Path, fault: Option<DiskFault>) -> io::Result<()> {
    let text = fault.map(|fault| toml::Value::try_from(fault).map_err(io::Error::other)).transpose()?;
    let text = text.as_ref().and_then(toml::Value::as_str).unwrap_or_default();
    let temporary = disk.with_extension("does.new");
    std::fs::write(&temporary, text)?;
    std::fs::rename(temporary, fault_file(disk))
}

fn read_fault(file: &Path) -> Option<DiskFault> {
    let text = std::fs::read_to_string(file).ok().filter(|text| !text.is_empty())?;
    toml::Value::String(text).try_into().ok()
}

/// Returns disks that inject the faults named in the files beside their folders.
pub fn disks(seed: u64) -> Disks {
    let disks: Mutex<BTreeMap<PathBuf, Arc<FaultyDisk<Folder>>>> = Mutex::default();
    Disks::with_opener(move |path| {
        let folder = Folder::open(path)?;
        let mut disks = disks.lock().unwrap_or_else(PoisonError::into_inner);
        let disk = disks.entry(path.to_owned()).or_insert_with(|| {
            let file = fault_file(path);
            Arc::new(FaultyDisk::new(folder, seed, move || read_fault(&file)))
        });
        Ok(Box::new(SharedDisk(disk.clone())))
    })
}

/// Returns the renames of all files that a node stores.
pub fn node_files() -> impl Iterator<Item = String> {
    let fixed = ["fleet", "agree", "agree-state"].into_iter().map(str::to_owned);
    fixed.chain((0..64).map(|n| format!("agree-log-{n}"))).map(|name| format!("{name}.mf"))
}

#[cfg(test)]
mod tests {
    use merlinfold_fault_injection::disk::ModelDisk;
    use merlinfold_store::{File, StoreError};
    use proptest::prelude::*;

    use super::*;

    fn any_fault() -> impl Strategy<Value = Option<DiskFault>> {
        let faults = [DiskFault::SyncFails, DiskFault::SyncLies, DiskFault::NamesLost, DiskFault::ReadFails];
        prop_oneof![Just(None), prop::sample::select(faults.to_vec()).prop_map(Some)]
    }

    proptest! {
        /// A write that the disk truthfully confirmed survives any crash, and a file that loads was written in full.
        #[test]
        fn a_truthfully_confirmed_write_survives_a_crash(
            seed in 0u64..1 << 40, plan in prop::collection::vec((any_fault(), any::<bool>()), 1..20),
        ) {
            let underlying = Arc::new(Mutex::new(ModelDisk::new(seed, 0)));
            struct SharedModel(Arc<Mutex<ModelDisk>>);
            impl Disk for SharedModel {
                fn read(&self, name: &str) -> io::Result<Option<Vec<u8>>> { self.0.lock().unwrap().read(name) }
                fn write(&self, name: &str, bytes: &[u8]) -> io::Result<()> { self.0.lock().unwrap().write(name, bytes) }
                fn sync(&self, name: &str) -> io::Result<()> { self.0.lock().unwrap().sync(name) }
                fn rename(&self, from: &str, to: &str) -> io::Result<()> { self.0.lock().unwrap().rename(from, to) }
                fn sync_folder(&self) -> io::Result<()> { self.0.lock().unwrap().sync_folder() }
            }
            let current_fault = Arc::new(Mutex::new(None));
            let file = File::new("view", "n3", 1);
            let open_disk = |run: u64| {
                let current_fault = current_fault.clone();
                FaultyDisk::new(SharedModel(underlying.clone()), seed ^ run, move || *current_fault.lock().unwrap())
            };
            let mut store = open_disk(0);
            let (mut confirmed, mut may_be_lost) = (0u64, false);
            for (n, (fault, crash)) in plan.into_iter().enumerate() {
                let value = n as u64 + 1;
                *current_fault.lock().unwrap() = fault;
                may_be_lost |= fault.is_some_and(DiskFault::loses_confirmed_writes);
                if file.save(&store, &value).is_ok() && !fault.is_some_and(DiskFault::loses_confirmed_writes) {
                    (confirmed, may_be_lost) = (value, false);
                }
                if crash {
                    store = open_disk(value);
                    *current_fault.lock().unwrap() = None;
                    may_be_lost = match file.load::<u64>(&store) {
                        Ok(found) => {
                            let found = found.unwrap_or(0);
                            prop_assert!(found <= value);
                            prop_assert!(may_be_lost || found >= confirmed, "{found} after {confirmed}");
                            confirmed = found;
                            false
                        }
                        // The unusable file was renamed; the next crash may undo that rename.
                        Err(StoreError::Unusable(_)) if may_be_lost => {
                            confirmed = 0;
                            true
                        }
                        Err(error) => return Err(TestCaseError::fail(format!("{error} after {confirmed}"))),
                    };
                }
            }
        }
    }
}
