//! A store that fails and lies, beneath a node that does not know of it. The end of its process is to it what the
//! end of a machine is to a disk: what was not made durable is lost, or has got there only in part.

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

/// What the process sees and the disk below does not have yet.
struct Held {
    files: BTreeMap<String, (Vec<u8>, bool)>, // content, and whether it is below
    names: Vec<(String, String)>,             // renames that are not below, in their order
    stream: Stream,
}

/// A disk above another that does what it is told to do wrong.
pub struct Faulty<B> {
    below: B,
    held: Mutex<Held>,
    fault: Box<dyn Fn() -> Option<DiskFault> + Send + Sync>,
}

fn broken() -> io::Error {
    io::Error::other("the device reports an error")
}

impl<B: Disk> Faulty<B> {
    /// Above `below`. `fault` says at each step what is wrong just then.
    pub fn new(below: B, seed: u64, fault: impl Fn() -> Option<DiskFault> + Send + Sync + 'static) -> Self {
        let held = Held { files: BTreeMap::new(), names: Vec::new(), stream: Seed(seed).stream("store", 0) };
        Faulty { below, held: Mutex::new(held), fault: Box::new(fault) }
    }

    fn held(&self) -> MutexGuard<'_, Held> {
        self.held.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// What is wrong just now; a slow step has been waited for.
    fn step(&self) -> Option<DiskFault> {
        let fault = (self.fault)();
        if fault == Some(DiskFault::Slow) {
            let takes = self.held().stream.random_range(0..MAX_SLOW_STEP);
            std::thread::sleep(Duration::from_nanos(takes));
        }
        fault
    }
}

impl<B: Disk> Disk for Faulty<B> {
    fn read(&self, name: &str) -> io::Result<Option<Vec<u8>>> {
        if self.step() == Some(DiskFault::ReadFails) {
            return Err(broken());
        }
        match self.held().files.get(name) {
            Some((content, _)) => Ok(Some(content.clone())),
            None => self.below.read(name),
        }
    }

    fn write(&self, name: &str, bytes: &[u8]) -> io::Result<()> {
        self.step();
        let mut held = self.held();
        // As a cache writes back whenever it likes: some of it may be there before anything is asked to be.
        if held.stream.random::<bool>() {
            let some = held.stream.random_range(0..=bytes.len());
            self.below.write(name, &bytes[..some])?;
        }
        held.files.insert(name.to_owned(), (bytes.to_vec(), false));
        Ok(())
    }

    fn sync(&self, name: &str) -> io::Result<()> {
        match self.step() {
            Some(DiskFault::SyncFails) => return Err(broken()),
            Some(DiskFault::SyncLies) => return Ok(()),
            _ => {}
        }
        match self.held().files.get_mut(name) {
            Some((content, there)) if !*there => {
                self.below.write(name, content)?;
                self.below.sync(name)?;
                *there = true;
                Ok(())
            }
            Some(_) => Ok(()),
            None => self.below.sync(name),
        }
    }

    fn rename(&self, from: &str, to: &str) -> io::Result<()> {
        self.step();
        let mut held = self.held();
        let moved = match held.files.remove(from) {
            Some(moved) => moved,
            None => (self.below.read(from)?.ok_or(io::ErrorKind::NotFound)?, true),
        };
        held.files.insert(to.to_owned(), moved);
        let name = (from.to_owned(), to.to_owned());
        if held.names.last() != Some(&name) {
            held.names.push(name);
        }
        // The name may be there before its folder is asked to be, and before the content is.
        if held.names.len() == 1 && held.stream.random::<bool>() && self.below.rename(from, to).is_ok() {
            held.names.clear();
        }
        Ok(())
    }

    fn sync_folder(&self) -> io::Result<()> {
        match self.step() {
            Some(DiskFault::SyncFails) => return Err(broken()),
            Some(DiskFault::SyncLies | DiskFault::NamesLost) => return Ok(()),
            _ => {}
        }
        let mut held = self.held();
        for (from, to) in std::mem::take(&mut held.names) {
            match self.below.rename(&from, &to) {
                // Its content never came, because a sync lied: it comes now, as it does while the machine lives.
                Err(error) if error.kind() == io::ErrorKind::NotFound => {
                    if let Some((content, _)) = held.files.get(&to) {
                        self.below.write(&to, content)?;
                    }
                }
                other => other?,
            }
        }
        held.files.retain(|_, (_, there)| !*there);
        self.below.sync_folder()
    }
}

/// One store for the life of a process, however often it is opened.
struct Shared(Arc<Faulty<Folder>>);

impl Disk for Shared {
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

/// Where the fault of a disk stands, beside its folder.
pub fn told_in(disk: &Path) -> PathBuf {
    disk.with_extension("does")
}

/// Writes down what a disk does from now on.
pub fn tell(disk: &Path, fault: Option<DiskFault>) -> io::Result<()> {
    let text = fault.map(|fault| toml::Value::try_from(fault).map_err(io::Error::other)).transpose()?;
    let text = text.as_ref().and_then(toml::Value::as_str).unwrap_or_default();
    let beside = disk.with_extension("does.new");
    std::fs::write(&beside, text)?;
    std::fs::rename(beside, told_in(disk))
}

fn told(file: &Path) -> Option<DiskFault> {
    let text = std::fs::read_to_string(file).ok().filter(|text| !text.is_empty())?;
    toml::Value::String(text).try_into().ok()
}

/// Disks that do what the files beside them say.
pub fn disks(seed: u64) -> Disks {
    let stores: Mutex<BTreeMap<PathBuf, Arc<Faulty<Folder>>>> = Mutex::default();
    Disks::with_opener(move |path| {
        let folder = Folder::open(path)?;
        let mut stores = stores.lock().unwrap_or_else(PoisonError::into_inner);
        let store = stores.entry(path.to_owned()).or_insert_with(|| {
            let file = told_in(path);
            Arc::new(Faulty::new(folder, seed, move || told(&file)))
        });
        Ok(Box::new(Shared(store.clone())))
    })
}

/// Names of all files that a node keeps.
pub fn files() -> impl Iterator<Item = String> {
    let named = ["fleet", "agree", "agree-state"].into_iter().map(str::to_owned);
    named.chain((0..64).map(|n| format!("agree-log-{n}"))).map(|name| format!("{name}.mf"))
}

#[cfg(test)]
mod tests {
    use merlinfold_fault_injection::disk::ModelDisk;
    use merlinfold_store::{File, StoreError};
    use proptest::prelude::*;

    use super::*;

    fn fault() -> impl Strategy<Value = Option<DiskFault>> {
        let faults = [DiskFault::SyncFails, DiskFault::SyncLies, DiskFault::NamesLost, DiskFault::ReadFails];
        prop_oneof![Just(None), prop::sample::select(faults.to_vec()).prop_map(Some)]
    }

    proptest! {
        /// What was confirmed by a disk that has not lied outlives any crash; what is found was written as a whole.
        #[test]
        fn what_an_honest_disk_confirmed_outlives_a_crash(
            seed in 0u64..1 << 40, plan in prop::collection::vec((fault(), any::<bool>()), 1..20),
        ) {
            let below = Arc::new(Mutex::new(ModelDisk::new(seed, 0)));
            struct Below(Arc<Mutex<ModelDisk>>);
            impl Disk for Below {
                fn read(&self, name: &str) -> io::Result<Option<Vec<u8>>> { self.0.lock().unwrap().read(name) }
                fn write(&self, name: &str, bytes: &[u8]) -> io::Result<()> { self.0.lock().unwrap().write(name, bytes) }
                fn sync(&self, name: &str) -> io::Result<()> { self.0.lock().unwrap().sync(name) }
                fn rename(&self, from: &str, to: &str) -> io::Result<()> { self.0.lock().unwrap().rename(from, to) }
                fn sync_folder(&self) -> io::Result<()> { self.0.lock().unwrap().sync_folder() }
            }
            let now = Arc::new(Mutex::new(None));
            let file = File::new("view", "n3", 1);
            let new = |run: u64| {
                let now = now.clone();
                Faulty::new(Below(below.clone()), seed ^ run, move || *now.lock().unwrap())
            };
            let mut store = new(0);
            let (mut confirmed, mut doubt) = (0u64, false);
            for (n, (fault, crash)) in plan.into_iter().enumerate() {
                let value = n as u64 + 1;
                *now.lock().unwrap() = fault;
                doubt |= fault.is_some_and(DiskFault::loses_confirmed_writes);
                if file.save(&store, &value).is_ok() && !fault.is_some_and(DiskFault::loses_confirmed_writes) {
                    (confirmed, doubt) = (value, false);
                }
                if crash {
                    store = new(value);
                    *now.lock().unwrap() = None;
                    doubt = match file.load::<u64>(&store) {
                        Ok(found) => {
                            let found = found.unwrap_or(0);
                            prop_assert!(found <= value);
                            prop_assert!(doubt || found >= confirmed, "{found} after {confirmed}");
                            confirmed = found;
                            false
                        }
                        // Set aside, which the next crash may undo.
                        Err(StoreError::Unusable(_)) if doubt => {
                            confirmed = 0;
                            true
                        }
                        Err(fault) => return Err(TestCaseError::fail(format!("{fault} after {confirmed}"))),
                    };
                }
            }
        }
    }
}
