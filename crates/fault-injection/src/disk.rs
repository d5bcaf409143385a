//! A disk that knows what is durable and loses the rest at a crash.

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
    visible: BTreeMap<String, (Content, bool)>, // as a running process reads it, and whether the content is durable
    durable: BTreeMap<String, Content>,         // as a crash leaves it
    before: BTreeMap<String, Content>,          // the same at the start before
    at_start: BTreeMap<String, Content>,
    fault: Option<DiskFault>,
}

/// A modelled disk. What was not synced is torn at a drawn byte by a crash; a rename whose folder was not synced may
/// or may not have happened.
#[derive(Clone, Debug)]
pub struct ModelDisk {
    state: RefCell<State>,
    stream: RefCell<Stream>,
}

impl ModelDisk {
    /// An empty one.
    pub fn new(seed: u64, number: u64) -> Self {
        ModelDisk { state: RefCell::default(), stream: RefCell::new(Seed(seed).stream("disk", number)) }
    }

    /// From now on it does this wrong, or nothing.
    pub fn set_fault(&self, fault: Option<DiskFault>) {
        self.state.borrow_mut().fault = fault;
    }

    /// How long so many steps take.
    pub fn operation_delay(&self, steps: usize) -> Nanos {
        match self.state.borrow().fault {
            Some(DiskFault::Slow) => {
                (0..steps).map(|_| self.stream.borrow_mut().random_range(0..MAX_SLOW_STEP)).sum()
            }
            _ => 0,
        }
    }

    /// The machine ends without a word.
    pub fn crash(&self) {
        let mut state = self.state.borrow_mut();
        let mut stream = self.stream.borrow_mut();
        let mut left = state.durable.clone();
        for (name, (content, synced)) in &state.visible {
            if state.durable.get(name) == Some(content) {
                continue;
            }
            // The name may have reached the disk without the folder's sync; the content only as far as it got.
            if stream.random::<bool>() {
                let whole = if *synced { content.len() } else { stream.random_range(0..=content.len()) };
                left.insert(name.clone(), content[..whole].to_vec());
            }
        }
        state.visible = left.iter().map(|(name, content)| (name.clone(), (content.clone(), true))).collect();
        state.durable = left;
    }

    /// What the next start finds. `other` is the disk of another node.
    pub fn start(&self, contents: DiskContents, other: Option<&ModelDisk>) {
        let mut state = self.state.borrow_mut();
        let mut stream = self.stream.borrow_mut();
        let mut stored = match contents {
            DiskContents::Empty => BTreeMap::new(),
            DiskContents::Yesterday => state.before.clone(),
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
        state.before = std::mem::replace(&mut state.at_start, stored.clone());
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
            // A name is durable now; its content only if it was synced.
            let content = if *synced { content.clone() } else { old.get(name).cloned().unwrap_or_default() };
            state.durable.insert(name.clone(), content);
        }
        Ok(())
    }
}
