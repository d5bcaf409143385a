//! A simulated disk that tracks what is durable and loses the rest at a crash.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::io::{self, ErrorKind};

use merlinfold_simulation::seed::{Seed, Stream};
use merlinfold_simulation::Nanos;
use merlinfold_store::Disk;
use rand::Rng;

use crate::scenario::{DiskContents, DiskFault, MAX_SLOW_STEP};

type Content = Vec<u8>;

#[derive(Clone, Debug, Default)]
struct State {
    visible: BTreeMap<String, (Content, bool)>, // as the running process reads it, and whether the content is durable
    durable: BTreeMap<String, Content>,         // what remains after a crash
    contents_before_last_start: BTreeMap<String, Content>, // what the last start but one found
    contents_at_start: BTreeMap<String, Content>, // what the last start found
    fault: Option<DiskFault>,
}

/// A simulated disk. A crash truncates content that was not synced at a random byte; a rename whose folder was not
/// synced may or may not have happened.
#[derive(Clone, Debug)]
pub struct ModelDisk {
    state: RefCell<State>,
    stream: RefCell<Stream>,
}

impl ModelDisk {
    /// Creates an empty disk. `seed` and `number` determine its random choices.
    pub fn new(seed: u64, number: u64) -> Self {
        ModelDisk { state: RefCell::default(), stream: RefCell::new(Seed(seed).stream("disk", number)) }
    }

    /// Sets or clears the disk's fault.
    pub fn set_fault(&self, fault: Option<DiskFault>) {
        self.state.borrow_mut().fault = fault;
    }

    /// Returns how long `steps` operations take: nothing, except on a slow disk.
    pub fn operation_delay(&self, steps: usize) -> Nanos {
        match self.state.borrow().fault {
            Some(DiskFault::Slow) => {
                (0..steps).map(|_| self.stream.borrow_mut().random_range(0..MAX_SLOW_STEP)).sum()
            }
            _ => 0,
        }
    }

    /// Simulates a crash of the machine: whatever is not durable may be lost.
    pub fn crash(&self) {
        let mut state = self.state.borrow_mut();
        let mut stream = self.stream.borrow_mut();
        let mut remaining = state.durable.clone();
        for (name, (content, synced)) in &state.visible {
            if state.durable.get(name) == Some(content) {
                continue;
            }
            // The name may have reached the disk without a sync of the folder; unsynced content only in part.
            if stream.random::<bool>() {
                let length = if *synced { content.len() } else { stream.random_range(0..=content.len()) };
                remaining.insert(name.clone(), content[..length].to_vec());
            }
        }
        state.visible =
            remaining.iter().map(|(name, content)| (name.clone(), (content.clone(), true))).collect();
        state.durable = remaining;
    }

    /// Sets what the next start finds. `other` is the disk of another node, for [`DiskContents::Foreign`].
    pub fn start(&self, contents: DiskContents, other: Option<&ModelDisk>) {
        let mut state = self.state.borrow_mut();
        let mut stream = self.stream.borrow_mut();
        let mut stored = match contents {
            DiskContents::Empty => BTreeMap::new(),
            DiskContents::Yesterday => state.contents_before_last_start.clone(),
            DiskContents::Foreign => {
                other.map(|disk| disk.state.borrow().durable.clone()).unwrap_or_default()
            }
            DiskContents::Kept | DiskContents::Torn | DiskContents::Flipped => state.durable.clone(),
        };
        for content in stored.values_mut().filter(|content| !content.is_empty()) {
            let at = stream.random_range(0..content.len());
            match contents {
                DiskContents::Torn => content.truncate(at),
                DiskContents::Flipped => content[at] ^= 1 << stream.random_range(0..8),
                _ => {}
            }
        }
        state.contents_before_last_start = std::mem::replace(&mut state.contents_at_start, stored.clone());
        state.visible =
            stored.iter().map(|(name, content)| (name.clone(), (content.clone(), true))).collect();
        state.durable = stored;
    }
}

impl Disk for ModelDisk {
    fn read(&self, name: &str) -> io::Result<Option<Vec<u8>>> {
        let state = self.state.borrow();
        match state.fault {
            Some(DiskFault::Gone) => Err(ErrorKind::NotADirectory.into()),
            Some(DiskFault::ReadFails) => Err(io::Error::other("the device reports an error")),
            _ => Ok(state.visible.get(name).map(|(content, _)| content.clone())),
        }
    }

    fn write(&self, name: &str, bytes: &[u8]) -> io::Result<()> {
        let mut state = self.state.borrow_mut();
        match state.fault {
            Some(DiskFault::Gone) => Err(ErrorKind::NotADirectory.into()),
            Some(fault @ (DiskFault::Full | DiskFault::Limited)) => {
                state.visible.insert(name.to_owned(), (Vec::new(), false));
                let limited = fault == DiskFault::Limited;
                Err(if limited { ErrorKind::FileTooLarge } else { ErrorKind::StorageFull }.into())
            }
            _ => {
                state.visible.insert(name.to_owned(), (bytes.to_vec(), false));
                Ok(())
            }
        }
    }

    fn sync(&self, name: &str) -> io::Result<()> {
        let mut state = self.state.borrow_mut();
        match state.fault {
            Some(DiskFault::Gone) => return Err(ErrorKind::NotADirectory.into()),
            Some(DiskFault::SyncFails) => return Err(io::Error::other("the device reports an error")),
            Some(DiskFault::SyncLies) => return Ok(()),
            _ => {}
        }
        if let Some((_, synced)) = state.visible.get_mut(name) {
            *synced = true;
        }
        Ok(())
    }

    fn rename(&self, from: &str, to: &str) -> io::Result<()> {
        let mut state = self.state.borrow_mut();
        if state.fault == Some(DiskFault::Gone) {
            return Err(ErrorKind::NotADirectory.into());
        }
        let content = state.visible.remove(from).ok_or(ErrorKind::NotFound)?;
        state.visible.insert(to.to_owned(), content);
        Ok(())
    }

    fn sync_folder(&self) -> io::Result<()> {
        let mut state = self.state.borrow_mut();
        match state.fault {
            Some(DiskFault::Gone) => return Err(ErrorKind::NotADirectory.into()),
            Some(DiskFault::SyncFails) => return Err(io::Error::other("the device reports an error")),
            Some(DiskFault::SyncLies | DiskFault::NamesLost) => return Ok(()),
            _ => {}
        }
        let state = &mut *state;
        let old = std::mem::take(&mut state.durable);
        for (name, (content, synced)) in &state.visible {
            // The name becomes durable now, the content only if it was synced.
            let content = if *synced { content.clone() } else { old.get(name).cloned().unwrap_or_default() };
            state.durable.insert(name.clone(), content);
        }
        Ok(())
    }
}
