//! State that two processes of one node share while one replaces the other: the operators' orders, and which processes
//! are running. It is kept in files under `$TMPDIR`. Errors are logged, and the node serves without the shared state.

use std::collections::{BTreeMap, BTreeSet};
use std::fs::{self, File, OpenOptions, TryLockError};
use std::hash::Hasher;
use std::io;
use std::path::{Path, PathBuf};
use std::time::SystemTime;

use merlinfold_decide::interface::Nanos;
use serde::{Deserialize, Serialize};
use tracing::{info, warn};

use crate::capacity::Allocation;
use crate::shared_claims::SharedClaims;

const FORMAT: &str = "merlinfold-orders";
const VERSION: u32 = 1;
/// Size limit of the orders file. The names of far more servers than a node has fit.
const MAX_ORDERS_BYTES: u64 = 4 << 20;

/// The operators' orders that are in effect.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Orders {
    /// Names of the servers taken out for maintenance.
    pub out: BTreeSet<String>,
    /// Servers put back, with the Unix time in ns of that: they count as cold from then on.
    pub back: BTreeMap<String, Nanos>,
    /// Whether the node is drained.
    pub standby: bool,
}

impl Orders {
    /// Merges orders that were given later than these.
    pub fn merge_later(&mut self, later: &Orders) {
        for name in &later.out {
            self.back.remove(name);
            self.out.insert(name.clone());
        }
        for (name, at) in &later.back {
            self.out.remove(name);
            self.back.insert(name.clone(), *at);
        }
        self.standby |= later.standby;
    }
}

/// The JSON body of the orders file.
#[derive(Serialize, Deserialize)]
struct OrdersFile {
    node: String,
    orders: Orders,
}

fn checksum(text: &str) -> u64 {
    let mut hasher = fnv::FnvHasher::default();
    hasher.write(text.as_bytes());
    hasher.finish()
}

/// Encodes the orders file: format, version and checksum on the first line, then JSON.
fn encode(node: &str, orders: &Orders) -> Result<String, String> {
    let file = OrdersFile { node: node.to_owned(), orders: orders.clone() };
    let body = serde_json::to_string(&file).map_err(|error| error.to_string())?;
    Ok(format!("{FORMAT} {VERSION} {:016x}\n{body}", checksum(&body)))
}

/// Decodes the orders file of this node. The error says why it is not valid.
fn decode(node: &str, text: &str) -> Result<Orders, String> {
    let (head, body) = text.split_once('\n').ok_or("the first line is not complete")?;
    let mut head = head.split(' ');
    if head.next() != Some(FORMAT) {
        return Err("not an orders file".to_owned());
    }
    match head.next().map(str::parse) {
        Some(Ok(VERSION)) => {}
        other => return Err(format!("version {other:?} is not supported, expected {VERSION}")),
    }
    if head.next().and_then(|sum| u64::from_str_radix(sum, 16).ok()) != Some(checksum(body)) {
        return Err("the checksum does not match: the file is damaged or incomplete".to_owned());
    }
    let file: OrdersFile = serde_json::from_str(body).map_err(|error| error.to_string())?;
    if file.node != node {
        return Err(format!("orders of another node, {:?}", file.node));
    }
    Ok(file.orders)
}

/// A lock file. A process that has locked it keeps it locked until it ends.
struct Slot {
    path: PathBuf,
    locked: Option<File>,
}

impl Slot {
    /// Locks the file unless another process has locked it. Returns whether this process has it locked.
    fn try_lock(&mut self) -> io::Result<bool> {
        if self.locked.is_none() {
            let file = OpenOptions::new().create(true).truncate(false).write(true).open(&self.path)?;
            match file.try_lock() {
                Ok(()) => self.locked = Some(file),
                Err(TryLockError::WouldBlock) => {}
                Err(TryLockError::Error(error)) => return Err(error),
            }
        }
        Ok(self.locked.is_some())
    }

    /// Whether another process has the file locked.
    fn is_locked_by_other(&mut self) -> io::Result<bool> {
        let was_locked = self.locked.is_some();
        let is_ours = self.try_lock()?;
        if !was_locked {
            self.locked = None;
        }
        Ok(!is_ours)
    }
}

/// Modification time and length of the orders file.
type Stamp = (SystemTime, u64);

/// The shared state as one process of the node uses it. Of the two processes that may run at once, the first one has
/// locked the first slot and the other one, its successor, the second.
pub struct Handover {
    node: String,
    orders_path: PathBuf,
    stamp: Option<Stamp>,         // of the orders as last read or written
    unwritten: Option<Orders>,    // orders newer than the file
    logged_error: Option<String>, // about the orders file; the same error is logged once
    first: Slot,
    second: Slot,
    companion: bool,
    usage_path: PathBuf,
    memory_path: PathBuf,
    token: String, // identifies this process; an earlier one in the second slot had another
    published_usage: Option<String>,
    published_memory: Option<usize>,
}

impl Handover {
    /// Shares state under this folder. No file is opened before the first [`Handover::refresh`].
    pub fn new(folder: &Path, node: &str) -> Self {
        // The checksum stands for the name, which may contain characters that are not allowed in a file name.
        let stem = format!("merlinfold-{:016x}", checksum(node));
        let path = |ending: &str| folder.join(format!("{stem}.{ending}"));
        let slot = |ending: &str| Slot { path: path(ending), locked: None };
        let started = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
        Handover {
            node: node.to_owned(),
            orders_path: path("orders"),
            stamp: None,
            unwritten: None,
            logged_error: None,
            first: slot("first"),
            second: slot("second"),
            companion: false,
            usage_path: path("room"),
            memory_path: path("memory"),
            token: format!("{:x}-{:x}", started.as_nanos(), std::process::id()),
            published_usage: None,
            published_memory: None,
        }
    }

    /// Whether another process of this node was running at the last refresh.
    pub fn has_companion(&self) -> bool {
        self.companion
    }

    /// Whether this process started before the other one.
    pub fn is_first(&self) -> bool {
        self.first.locked.is_some()
    }

    /// Checks whether another process of this node is running, and takes a free slot.
    pub fn refresh(&mut self) -> io::Result<()> {
        let had_companion = self.companion;
        if self.first.try_lock()? {
            self.second.locked = None; // the predecessor, if there was one, has ended
            self.companion = self.second.is_locked_by_other()?;
        } else {
            // A third process waits for either slot.
            if self.second.locked.is_none() && self.second.try_lock()? {
                fs::write(&self.second.path, &self.token)?;
            }
            self.companion = true;
        }
        if had_companion != self.companion {
            let first = self.is_first();
            info!(companion = self.companion, first, "another process of this node started or ended");
        }
        Ok(())
    }

    /// Begins to share the ids of requests with the other process. Fails if they cannot be written.
    pub fn share_claims(&self, known: &[u64]) -> io::Result<SharedClaims> {
        SharedClaims::begin(&self.usage_path, self.is_first(), known)
    }

    /// Whether this process is one of the two that a node may have.
    pub fn has_slot(&self) -> bool {
        self.is_first() || self.second.locked.is_some()
    }

    /// Publishes the capacity that this process still uses for the other process, if it has changed, and the bytes of
    /// memory that it needs.
    pub fn publish_usage(&mut self, usage: Allocation, memory: usize) -> io::Result<()> {
        let token = fs::read_to_string(&self.second.path)?;
        let text = format!("{token} {} {} {}", usage.clients, usage.servers, usage.bodies);
        // It is written first, so that a successor that reads the usage finds it.
        if self.published_memory != Some(memory) {
            fs::write(&self.memory_path, format!("{token} {memory}"))?;
            self.published_memory = Some(memory);
        }
        if self.published_usage.as_ref() != Some(&text) {
            fs::write(&self.usage_path, &text)?;
            self.published_usage = Some(text);
        }
        Ok(())
    }

    /// The capacity that the first process still uses, once it has published it for this process. A file that is
    /// incomplete or was written for another process gives none.
    pub fn companion_usage(&self) -> Option<Allocation> {
        let text = fs::read_to_string(&self.usage_path).ok()?;
        let mut words = text.split(' ');
        words.next().filter(|token| *token == self.token)?;
        let mut number = || words.next().and_then(|word| word.parse().ok());
        let usage = Allocation { clients: number()?, servers: number()?, bodies: number()? };
        words.next().is_none().then_some(usage)
    }

    /// The bytes of memory that the first process needs, once it has published it for this process.
    pub fn companion_memory(&self) -> Option<usize> {
        let text = fs::read_to_string(&self.memory_path).ok()?;
        let (token, memory) = text.split_once(' ')?;
        memory.parse().ok().filter(|_| token == self.token)
    }

    /// The orders, if they were written since this process last read or wrote them.
    pub fn changed_orders(&mut self) -> Option<Orders> {
        let stamp = self.orders_stamp();
        if stamp.is_none() || stamp == self.stamp {
            return None;
        }
        let read = match stamp {
            Some((_, length)) if length > MAX_ORDERS_BYTES => {
                Err(format!("the file is longer than {MAX_ORDERS_BYTES} bytes"))
            }
            _ => match fs::read_to_string(&self.orders_path) {
                Ok(text) => Ok(text),
                Err(error) if error.kind() == io::ErrorKind::InvalidData => Err(error.to_string()),
                Err(error) => {
                    self.warn_once(format!("cannot read orders: {error}"));
                    return None;
                }
            },
        };
        self.stamp = stamp;
        match read.and_then(|text| decode(&self.node, &text)) {
            Ok(orders) => Some(orders),
            Err(fault) => {
                warn!(file = %self.orders_path.display(), fault, "ignoring an invalid orders file");
                None
            }
        }
    }

    /// Replaces the orders file atomically, so that a reader gets either the old or the new orders. Orders that cannot
    /// be written are kept for [`Handover::retry_write`].
    pub fn write_orders(&mut self, orders: &Orders) {
        self.unwritten = Some(orders.clone());
        self.retry_write();
    }

    /// Writes the orders that could not be written before.
    pub fn retry_write(&mut self) {
        let Some(orders) = &self.unwritten else { return };
        let new = self.orders_path.with_extension(if self.is_first() { "new-first" } else { "new-second" });
        let written = encode(&self.node, orders).and_then(|text| {
            let write = fs::write(&new, text).and_then(|()| fs::rename(&new, &self.orders_path));
            write.map_err(|error| error.to_string())
        });
        match written {
            Ok(()) => {
                self.stamp = self.orders_stamp();
                self.unwritten = None;
                self.logged_error = None;
            }
            Err(error) => self.warn_once(format!("cannot write orders: {error}")),
        }
    }

    /// Logs an error about the orders file, unless it was the last one logged: each refresh would repeat it.
    fn warn_once(&mut self, fault: String) {
        if self.logged_error.as_ref() != Some(&fault) {
            let file = self.orders_path.display();
            warn!(%file, fault, "orders file not accessible; retrying, check that its folder has free space");
            self.logged_error = Some(fault);
        }
    }

    fn orders_stamp(&self) -> Option<Stamp> {
        let metadata = fs::metadata(&self.orders_path).ok()?;
        Some((metadata.modified().ok()?, metadata.len()))
    }
}

#[cfg(test)]
#[path = "../tests/unit/handover.rs"]
mod tests;
