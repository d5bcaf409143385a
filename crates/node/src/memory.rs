//! The memory of the process: what is allocated, and how much each purpose may bring it to.
//!
//! Every byte that peers make the process hold is allocated on the heap: buffers of the HTTP library, heads, bodies, tasks
//! and tables alike. The process asks here before each step that makes it hold more, on the thread that takes the step,
//! so it exceeds a limit by one step at most.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;

/// Memory of a process beside its heap: program, stacks and runtime.
const PROCESS_BYTES: usize = 6 << 20;
/// Memory that a process leaves to its successor, which starts beside it.
const SUCCESSOR_BYTES: usize = 9 << 20;
/// Parts of the resident heap of which the allocator keeps one in gaps.
const GAP_DIVISOR: usize = 8;
/// Parts of the memory of which two processes together leave one free: neither gives memory back that it has once used.
const COMPANION_RESERVE_DIVISOR: usize = 16;
/// Fewer bytes of heap would keep a node from serving at all.
const MIN_HEAP_BYTES: usize = 2 << 20;
const PERCENT: usize = 100;

/// Returns the number of bytes that are allocated.
pub type HeapUsage = fn() -> usize;

/// What memory is wanted for, in the order in which it is refused. Connections come last, as they are needed to refuse
/// requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Purpose {
    /// To keep a connection to a server that no attempt uses.
    IdleConnection,
    /// To take in a body beyond what every connection buffers.
    Body,
    /// To send a request whose answer is expected to be long.
    LongAnswer,
    /// To keep a client's connection that moves too little.
    StillConnection,
    /// To send a request to a server.
    Attempt,
    /// To handle a request whose head is read.
    Request,
    /// To accept a connection.
    Connection,
}

impl Purpose {
    /// The share of the limit, in percent, up to which it may be used.
    fn share(self) -> usize {
        match self {
            Purpose::IdleConnection => 50,
            Purpose::Body => 65,
            Purpose::LongAnswer => 70,
            Purpose::StillConnection => 80,
            Purpose::Attempt => 88,
            Purpose::Request => 90,
            Purpose::Connection => 92,
        }
    }
}

/// Returns the heap, in bytes, of a process that runs alone within `total` bytes of memory and leaves some of it for the
/// start of its successor.
pub fn heap_limit(total: usize) -> usize {
    heap_within(total.saturating_sub(SUCCESSOR_BYTES))
}

/// Returns the heap of a process whose resident memory is `share` bytes at most.
fn heap_within(share: usize) -> usize {
    let heap = share.saturating_sub(PROCESS_BYTES);
    (heap - heap / GAP_DIVISOR).max(MIN_HEAP_BYTES)
}

/// The limit on the heap of this process.
#[derive(Debug)]
pub struct Memory {
    usage: Option<HeapUsage>, // `None`: unknown, as in a process with other things beside the node
    total: usize,
    limit: AtomicUsize,
}

impl Memory {
    /// Creates the limit for a process that runs alone, from the memory of the node in bytes.
    pub fn new(total: usize, usage: Option<HeapUsage>) -> Arc<Self> {
        let memory = Memory { usage, total, limit: AtomicUsize::new(0) };
        memory.run_alone();
        Arc::new(memory)
    }

    /// Sets the limit of a process that runs alone and leaves memory for the start of its successor.
    pub fn run_alone(&self) {
        self.set_share(self.total.saturating_sub(SUCCESSOR_BYTES));
    }

    /// Sets the limit of a process that runs beside another one, which uses `other` bytes of memory at most.
    pub fn run_beside(&self, other: usize) {
        self.set_share(self.total_of_two().saturating_sub(other));
    }

    /// Sets the limit of a process that runs beside another one of which nothing is known: its half.
    pub fn run_beside_unknown(&self) {
        self.run_beside(self.total_of_two() / 2);
    }

    /// Sets the limit of a process that has told another one that it needs `own` bytes of memory.
    pub fn run_beside_own(&self, own: usize) {
        self.set_share(own);
    }

    /// The memory that this process needs beside another one: its half, or what it has become if that is more.
    /// `resident` is its resident memory in bytes.
    pub fn needed_beside(&self, resident: usize) -> usize {
        resident.max(self.total_of_two() / 2).min(self.total.saturating_sub(SUCCESSOR_BYTES))
    }

    /// The memory that two processes may use together.
    fn total_of_two(&self) -> usize {
        self.total - self.total / COMPANION_RESERVE_DIVISOR
    }

    fn set_share(&self, share: usize) {
        self.limit.store(heap_within(share), Ordering::Relaxed);
    }

    /// Returns whether memory may be allocated for this purpose now.
    pub fn allows(&self, purpose: Purpose) -> bool {
        let limit = self.limit();
        self.allocated() <= limit / PERCENT * purpose.share()
    }

    /// Returns the number of bytes that are allocated, or 0 if that is unknown.
    pub fn allocated(&self) -> usize {
        self.usage.map_or(0, |usage| usage())
    }

    /// Returns the limit on the bytes that are allocated.
    pub fn limit(&self) -> usize {
        self.limit.load(Ordering::Relaxed)
    }
}

/// Returns the resident memory of this process in bytes, or `None` if the system does not say.
pub fn resident_bytes() -> Option<usize> {
    let status = std::fs::read_to_string("/proc/self/status").ok()?;
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"))?;
    let kib: usize = line.trim().strip_suffix("kB")?.trim().parse().ok()?;
    Some(kib << 10)
}

#[cfg(test)]
#[path = "../tests/unit/memory.rs"]
mod tests;
