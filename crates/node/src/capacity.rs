//! Limits on client connections, server connections and memory for buffered bodies. While one process of a node takes
//! over from another, the two together use no more than one alone.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;

use tokio::sync::{OwnedSemaphorePermit, Semaphore};

use crate::memory::{heap_limit, HeapUsage, Memory};

/// Maximum number of concurrent console connections.
pub const MAX_CONSOLE_CONNECTIONS: usize = 16;
const CLIENT_DESCRIPTORS_DIVISOR: usize = 3; // clients may use a third of the descriptors
const BODY_MEMORY_DIVISOR: usize = 4; // bodies never use more than a quarter of the memory
/// Parts of the heap, in percent, for the connections of clients with those to servers that they use, and for buffered
/// bodies. The rest is for long heads, idle connections and what the process keeps of its own.
const CLIENT_HEAP_PERCENT: usize = 45;
const BODY_HEAP_PERCENT: usize = 20;
/// Heap of a client's connection while a long body passes through: the buffers and tasks of this connection and of the one
/// to the server, and what is between the two. A buffered body comes instead of the latter.
const CLIENT_BYTES: usize = 27 << 10;
const MIN_CLIENTS: usize = 32; // fewer would keep a node from serving at all
/// Descriptors that a successor opens before its predecessor has released any: log, state, discovery, one console
/// connection.
const SUCCESSOR_STARTUP_DESCRIPTORS: usize = 16;
const MIN_SERVER_CONNECTIONS: usize = 4; // fewer would keep a node from serving at all
/// Connections without a slot for which there are always descriptors, among the reserved ones.
const MIN_UNSERVED_CONNECTIONS: usize = 8;
/// Descriptors for everything but clients and servers: listeners, peers, discovery, runtime, log, console connections.
pub const RESERVED_DESCRIPTORS: usize = 16 + MAX_CONSOLE_CONNECTIONS;
/// Bytes in one slot of the capacity for buffered bodies.
pub const BODY_UNIT_BYTES: usize = 1 << 10;

/// An amount of each resource.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Allocation {
    /// Connections of clients.
    pub clients: usize,
    /// Connections to servers.
    pub servers: usize,
    /// Memory for buffered bodies, in units of [`BODY_UNIT_BYTES`].
    pub bodies: usize,
}

impl Allocation {
    /// Computes the allocation of a process from the limits on descriptors and bytes of memory. `has_companion`
    /// halves it for a process that runs beside another process of the node.
    pub fn new(sockets: usize, memory: usize, has_companion: bool) -> Self {
        let heap = heap_limit(memory);
        let clients_in_heap = heap / 100 * CLIENT_HEAP_PERCENT / CLIENT_BYTES;
        let clients = (sockets / CLIENT_DESCRIPTORS_DIVISOR).min(clients_in_heap.max(MIN_CLIENTS));
        let bodies = (memory / BODY_MEMORY_DIVISOR).min(heap / 100 * BODY_HEAP_PERCENT);
        let left = sockets.saturating_sub(clients + RESERVED_DESCRIPTORS);
        let servers = left
            .saturating_sub(SUCCESSOR_STARTUP_DESCRIPTORS)
            .min(sockets.saturating_sub(RESERVED_DESCRIPTORS) / 2);
        let full = Allocation {
            clients,
            servers: servers.max(MIN_SERVER_CONNECTIONS),
            bodies: (bodies / BODY_UNIT_BYTES).min(Semaphore::MAX_PERMITS),
        };
        if !has_companion {
            return full;
        }
        let Allocation { clients, servers, bodies } = full;
        let half = |all: usize| all.saturating_sub(RESERVED_DESCRIPTORS) / 2;
        Allocation {
            clients: clients / 2,
            // Its listeners and console connections are taken from the share of the servers.
            servers: half(servers).max(MIN_SERVER_CONNECTIONS),
            bodies: bodies / 2,
        }
    }

    /// Returns what is left of this allocation beside a process that uses `other`.
    fn remaining_beside(self, other: Allocation) -> Self {
        Allocation {
            clients: self.clients.saturating_sub(other.clients),
            servers: self
                .servers
                .saturating_sub(other.servers + RESERVED_DESCRIPTORS)
                .max(MIN_SERVER_CONNECTIONS),
            bodies: self.bodies.saturating_sub(other.bodies),
        }
    }

    /// Returns the smaller amount of each resource.
    fn min(self, other: Allocation) -> Self {
        Allocation {
            clients: self.clients.min(other.clients),
            servers: self.servers.min(other.servers),
            bodies: self.bodies.min(other.bodies),
        }
    }
}

/// A resizable counting semaphore.
#[derive(Debug)]
pub struct Slots {
    free: Arc<Semaphore>,
    total: AtomicUsize,
    target: AtomicUsize,
    waiting: Waiters,
}

/// The number of callers that wait for something.
#[derive(Debug, Default)]
pub struct Waiters(AtomicUsize);

/// Counts a caller that waits, until it is dropped.
pub struct Waiting<'a>(&'a AtomicUsize);

impl Waiters {
    /// Counts a caller until the returned value is dropped.
    pub fn enter(&self) -> Waiting<'_> {
        self.0.fetch_add(1, Ordering::Relaxed);
        Waiting(&self.0)
    }

    /// Returns how many callers wait.
    pub fn count(&self) -> usize {
        self.0.load(Ordering::Relaxed)
    }
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

impl Slots {
    /// Creates `total` free slots.
    pub fn new(total: usize) -> Arc<Self> {
        Arc::new(Slots {
            free: Arc::new(Semaphore::new(total)),
            total: AtomicUsize::new(total),
            target: AtomicUsize::new(total),
            waiting: Waiters::default(),
        })
    }

    /// Waits for a free slot, first come first served.
    pub async fn acquire(&self) -> OwnedSemaphorePermit {
        self.free.clone().acquire_owned().await.expect("the semaphore is never closed")
    }

    /// Waits for `count` free slots, or for all slots if there are fewer; first come first served.
    pub async fn acquire_many(&self, count: u32) -> OwnedSemaphorePermit {
        let count = count.min(self.total() as u32);
        let _waiting = self.waiting.enter();
        self.free.clone().acquire_many_owned(count).await.expect("the semaphore is never closed")
    }

    /// Acquires `count` slots at once, if they are free.
    pub fn try_acquire(&self, count: u32) -> Option<OwnedSemaphorePermit> {
        self.free.clone().try_acquire_many_owned(count).ok()
    }

    /// Returns how many callers wait in [`Slots::acquire_many`].
    pub fn waiting(&self) -> usize {
        self.waiting.count()
    }

    /// Returns the number of free slots.
    pub fn free(&self) -> usize {
        self.free.available_permits()
    }

    /// Returns the current number of slots, free or in use.
    pub fn total(&self) -> usize {
        self.total.load(Ordering::Relaxed)
    }

    /// Returns the number of slots in use.
    pub fn in_use(&self) -> usize {
        self.total().saturating_sub(self.free())
    }

    /// Sets the target number of slots. When there are more, slots in use are removed as they are released: see
    /// [`Slots::reclaim`].
    pub fn resize(&self, target: usize) {
        self.target.store(target, Ordering::Relaxed);
        let total = self.total();
        if target > total {
            self.free.add_permits(target - total);
            self.total.store(target, Ordering::Relaxed);
        }
        self.reclaim();
    }

    /// Removes free slots above the target. Returns whether the number of slots is now within the target.
    pub fn reclaim(&self) -> bool {
        let (total, target) = (self.total(), self.target.load(Ordering::Relaxed));
        let total = total - self.free.forget_permits(total.saturating_sub(target));
        self.total.store(total, Ordering::Relaxed);
        total <= target
    }
}

/// Returns how many connections without a slot a process may hold: those whose descriptors nothing else may use, or their
/// half beside another process.
fn unserved_connections(sockets: usize, memory: usize, has_companion: bool) -> usize {
    let Allocation { clients, servers, .. } = Allocation::new(sockets, memory, false);
    let used = clients + servers + RESERVED_DESCRIPTORS + SUCCESSOR_STARTUP_DESCRIPTORS;
    let unserved = sockets.saturating_sub(used) + MIN_UNSERVED_CONNECTIONS;
    if has_companion {
        unserved / 2
    } else {
        unserved
    }
}

/// The resource limits of a process.
#[derive(Clone, Debug)]
pub struct Capacity {
    /// Connections of clients.
    pub clients: Arc<Slots>,
    /// Connections to servers.
    pub servers: Arc<Slots>,
    /// Memory for buffered bodies, in units of [`BODY_UNIT_BYTES`].
    pub bodies: Arc<Slots>,
    /// Connections of clients that wait for a slot, or only read their last response: a descriptor each, and next to no
    /// memory.
    pub unserved: Arc<Slots>,
    /// All memory of the process.
    pub process_memory: Arc<Memory>,
    sockets: usize,
    memory: usize,
}

impl Capacity {
    /// Creates the limits from the numbers of descriptors and bytes of memory, see [`Allocation::new`].
    pub fn new(sockets: usize, memory: usize, has_companion: bool) -> Self {
        let Allocation { clients, servers, bodies } = Allocation::new(sockets, memory, has_companion);
        Capacity {
            clients: Slots::new(clients),
            servers: Slots::new(servers),
            bodies: Slots::new(bodies),
            unserved: Slots::new(unserved_connections(sockets, memory, has_companion)),
            process_memory: Memory::new(memory, None),
            sockets,
            memory,
        }
    }

    /// Limits all that the process allocates, as `usage` tells.
    pub fn limit_heap(&mut self, usage: Option<HeapUsage>) {
        self.process_memory = Memory::new(self.memory, usage);
    }

    /// Halves the limits while another process runs beside this one, or restores them.
    pub fn resize(&self, has_companion: bool) {
        self.set(Allocation::new(self.sockets, self.memory, has_companion));
        self.unserved.resize(unserved_connections(self.sockets, self.memory, has_companion));
    }

    /// Takes what the first process does not use, up to a half. Returns whether this process now has its half.
    pub fn fit_beside(&self, other: Allocation) -> bool {
        let half = Allocation::new(self.sockets, self.memory, true);
        let allocation = Allocation::new(self.sockets, self.memory, false).remaining_beside(other).min(half);
        self.set(allocation);
        allocation == half
    }

    /// Returns the current limits, including slots above the target that are still in use.
    pub fn allocation(&self) -> Allocation {
        let [clients, servers, bodies] =
            [&self.clients, &self.servers, &self.bodies].map(|slots| slots.total());
        Allocation { clients, servers, bodies }
    }

    fn set(&self, Allocation { clients, servers, bodies }: Allocation) {
        self.clients.resize(clients);
        self.servers.resize(servers);
        self.bodies.resize(bodies);
    }

    /// Removes free slots above the targets. Returns whether client and server connections are within theirs; buffered
    /// bodies are not waited for, as they end soon by themselves.
    pub fn reclaim(&self) -> bool {
        self.unserved.reclaim(); // they end soon by themselves
        let within_target = [&self.clients, &self.servers, &self.bodies].map(|slots| slots.reclaim());
        within_target[0] && within_target[1]
    }
}

#[cfg(test)]
#[path = "../tests/unit/capacity.rs"]
mod tests;
