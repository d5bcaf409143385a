//! What two processes of one node share while one takes over from the other: what operators have ordered, and
//! whether the other lives. Files under `$TMPDIR`; whatever fails there is logged, and the node serves without.

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

const FORM: &str = "merlinfold-orders";
const VERSION: u32 = 1;
const MAX_ORDERS: u64 = 4 << 20; // bytes: the names of far more servers than a node has

/// What operators have ordered and not taken back.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Orders {
    /// Servers taken out, by name.
    pub out: BTreeSet<String>,
    /// Servers put back, and when, in Unix time: they are cold from then on.
    pub back: BTreeMap<String, Nanos>,
    /// The node is drained.
    pub standby: bool,
}

impl Orders {
    /// Adds what was ordered later than these.
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

#[derive(Serialize, Deserialize)]
struct Kept {
    node: String,
    orders: Orders,
}

fn checksum(text: &str) -> u64 {
    let mut hasher = fnv::FnvHasher::default();
    hasher.write(text.as_bytes());
    hasher.finish()
}

/// The orders as they stand in the file: form, version and checksum on the first line, then JSON.
fn encode(node: &str, orders: &Orders) -> Result<String, String> {
    let kept = Kept { node: node.to_owned(), orders: orders.clone() };
    let body = serde_json::to_string(&kept).map_err(|error| error.to_string())?;
    Ok(format!("{FORM} {VERSION} {:016x}\n{body}", checksum(&body)))
}

/// Reads them back; the error says why they are of no use.
fn decode(node: &str, text: &str) -> Result<Orders, String> {
    let (head, body) = text.split_once('\n').ok_or("no first line")?;
    let mut head = head.split(' ');
    if head.next() != Some(FORM) {
        return Err("not orders of a node".to_owned());
    }
    match head.next().map(str::parse) {
        Some(Ok(VERSION)) => {}
        other => return Err(format!("version {other:?}, {VERSION} is known")),
    }
    if head.next().and_then(|sum| u64::from_str_radix(sum, 16).ok()) != Some(checksum(body)) {
        return Err("torn: the checksum differs".to_owned());
    }
    let kept: Kept = serde_json::from_str(body).map_err(|error| error.to_string())?;
    if kept.node != node {
        return Err(format!("of another node, {:?}", kept.node));
    }
    Ok(kept.orders)
}

/// A file that one process holds locked for as long as it lives.
struct Place {
    path: PathBuf,
    held: Option<File>,
}

impl Place {
    /// Takes the place if nobody holds it; whether this process has it then.
    fn take(&mut self) -> io::Result<bool> {
        if self.held.is_none() {
            let file = OpenOptions::new().create(true).truncate(false).write(true).open(&self.path)?;
            match file.try_lock() {
                Ok(()) => self.held = Some(file),
                Err(TryLockError::WouldBlock) => {}
                Err(TryLockError::Error(error)) => return Err(error),
            }
        }
        Ok(self.held.is_some())
    }

    /// Whether another process holds it.
    fn is_taken(&mut self) -> io::Result<bool> {
        let had = self.held.is_some();
        let free = self.take()?;
        if !had {
            self.held = None;
        }
        Ok(!free)
    }
}

/// When the file of orders was last written, as far as the file system tells.
type Stamp = (SystemTime, u64);

/// This process's part in what is shared.
pub struct Handover {
    node: String,
    orders: PathBuf,
    stamp: Option<Stamp>,
    unwritten: Option<Orders>, // newer than what stands in the file
    fault: Option<String>,     // of the file of orders, as last logged: looks are many
    first: Place,
    second: Place,
    companion: bool,
    room: PathBuf,
    token: String, // of this process, to be told from one that was beside the first earlier
    said: Option<String>, // what was last told the second
}

impl Handover {
    /// This process's part in what is shared under this folder; nothing is opened before the first look.
    pub fn new(folder: &Path, node: &str) -> Self {
        // A name may hold what a file name must not.
        let stem = format!("merlinfold-{:016x}", checksum(node));
        let path = |ending: &str| folder.join(format!("{stem}.{ending}"));
        let place = |ending: &str| Place { path: path(ending), held: None };
        let started = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
        Handover {
            node: node.to_owned(),
            orders: path("orders"),
            stamp: None,
            unwritten: None,
            fault: None,
            first: place("first"),
            second: place("second"),
            companion: false,
            room: path("room"),
            token: format!("{:x}-{:x}", started.as_nanos(), std::process::id()),
            said: None,
        }
    }

    /// Whether another process of this node lives, as of the last look.
    pub fn has_companion(&self) -> bool {
        self.companion
    }

    /// Whether this process came before the other one.
    pub fn is_first(&self) -> bool {
        self.first.held.is_some()
    }

    /// Looks whether another process lives.
    pub fn refresh(&mut self) -> io::Result<()> {
        let was = self.companion;
        if self.first.take()? {
            self.second.held = None; // the predecessor, if there was one, is gone
            self.companion = self.second.is_taken()?;
        } else {
            // A third process waits for either place.
            if self.second.held.is_none() && self.second.take()? {
                fs::write(&self.second.path, &self.token)?;
            }
            self.companion = true;
        }
        if was != self.companion {
            let first = self.is_first();
            info!(companion = self.companion, first, "another process of this node");
        }
        Ok(())
    }

    /// Whether this process is one of the two that a node may have.
    pub fn has_slot(&self) -> bool {
        self.is_first() || self.second.held.is_some()
    }

    /// Tells the process beside this one how much this one still keeps, if that has changed.
    pub fn publish_usage(&mut self, kept: Allocation) -> io::Result<()> {
        let token = fs::read_to_string(&self.second.path)?;
        let said = format!("{token} {} {} {}", kept.clients, kept.servers, kept.bodies);
        if self.said.as_ref() != Some(&said) {
            fs::write(&self.room, &said)?;
            self.said = Some(said);
        }
        Ok(())
    }

    /// What the process that came first still keeps, once it has told this one. A file that is another's, or cut
    /// short, tells nothing.
    pub fn companion_usage(&self) -> Option<Allocation> {
        let text = fs::read_to_string(&self.room).ok()?;
        let mut words = text.split(' ');
        words.next().filter(|token| *token == self.token)?;
        let mut number = || words.next().and_then(|word| word.parse().ok());
        let kept = Allocation { clients: number()?, servers: number()?, bodies: number()? };
        words.next().is_none().then_some(kept)
    }

    /// The orders, if they were written since this process last read or wrote them.
    pub fn changed_orders(&mut self) -> Option<Orders> {
        let stamp = self.look_at_orders();
        if stamp.is_none() || stamp == self.stamp {
            return None;
        }
        let read = match stamp {
            Some((_, length)) if length > MAX_ORDERS => Err(format!("over {MAX_ORDERS} bytes")),
            _ => match fs::read_to_string(&self.orders) {
                Ok(text) => Ok(text),
                Err(error) if error.kind() == io::ErrorKind::InvalidData => Err(error.to_string()),
                Err(error) => {
                    self.report(format!("orders not read: {error}"));
                    return None;
                }
            },
        };
        self.stamp = stamp;
        match read.and_then(|text| decode(&self.node, &text)) {
            Ok(orders) => Some(orders),
            Err(fault) => {
                warn!(file = %self.orders.display(), fault, "orders ignored");
                None
            }
        }
    }

    /// Writes the orders in place of those before; a reader gets either. Where that fails they are kept for
    /// [`Shared::write_again`].
    pub fn write_orders(&mut self, orders: &Orders) {
        self.unwritten = Some(orders.clone());
        self.retry_write();
    }

    /// Writes what could not be written before.
    pub fn retry_write(&mut self) {
        let Some(orders) = &self.unwritten else { return };
        let new = self.orders.with_extension(if self.is_first() { "new-first" } else { "new-second" });
        let written = encode(&self.node, orders).and_then(|text| {
            let write = fs::write(&new, text).and_then(|()| fs::rename(&new, &self.orders));
            write.map_err(|error| error.to_string())
        });
        match written {
            Ok(()) => {
                self.stamp = self.look_at_orders();
                self.unwritten = None;
                self.fault = None;
            }
            Err(error) => self.report(format!("orders not written: {error}")),
        }
    }

    /// Logs what goes wrong with the file, once for as long as it does.
    fn report(&mut self, fault: String) {
        if self.fault.as_ref() != Some(&fault) {
            warn!(file = %self.orders.display(), fault, "tried again at each look; see that the folder has room");
            self.fault = Some(fault);
        }
    }

    fn look_at_orders(&self) -> Option<Stamp> {
        let found = fs::metadata(&self.orders).ok()?;
        Some((found.modified().ok()?, found.len()))
    }
}

#[cfg(test)]
#[path = "../tests/unit/handover.rs"]
mod tests;
