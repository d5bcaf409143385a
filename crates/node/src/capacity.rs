//! Limits on client connections, server connections and memory for buffered bodies. While one process of a node takes
//! over from another, the two together use no more than one alone.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;

use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// Maximum number of concurrent console connections.
pub const MAX_CONSOLE_CONNECTIONS: usize = 16;
const CLIENT_DESCRIPTORS_DIVISOR: usize = 3; // clients may use a third of the descriptors
const BODY_MEMORY_DIVISOR: usize = 4; // buffered bodies may use a quarter of the memory
/// Descriptors that a successor opens before its predecessor has released any: log, state, discovery, one console
/// connection.
const SUCCESSOR_STARTUP_DESCRIPTORS: usize = 16;
const MIN_SERVER_CONNECTIONS: usize = 4; // fewer would keep a node from serving at all
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
        let clients = sockets / CLIENT_DESCRIPTORS_DIVISOR;
        let left = sockets.saturating_sub(clients + RESERVED_DESCRIPTORS);
        let servers = left
            .saturating_sub(SUCCESSOR_STARTUP_DESCRIPTORS)
            .min(sockets.saturating_sub(RESERVED_DESCRIPTORS) / 2);
        let full = Allocation {
            clients,
            servers: servers.max(MIN_SERVER_CONNECTIONS),
            bodies: (memory / BODY_MEMORY_DIVISOR / BODY_UNIT_BYTES).min(Semaphore::MAX_PERMITS),
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
}

impl Slots {
    /// Creates `total` free slots.
    pub fn new(total: usize) -> Arc<Self> {
        Arc::new(Slots {
            free: Arc::new(Semaphore::new(total)),
            total: AtomicUsize::new(total),
            target: AtomicUsize::new(total),
        })
    }

    /// Waits for a free slot, first come first served.
    pub async fn acquire(&self) -> OwnedSemaphorePermit {
        self.free.clone().acquire_owned().await.expect("the semaphore is never closed")
    }

    /// Acquires `count` slots at once, if they are free.
    pub fn try_acquire(&self, count: u32) -> Option<OwnedSemaphorePermit> {
        self.free.clone().try_acquire_many_owned(count).ok()
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

/// The resource limits of a process.
#[derive(Clone, Debug)]
pub struct Capacity {
    /// Connections of clients.
    pub clients: Arc<Slots>,
    /// Connections to servers.
    pub servers: Arc<Slots>,
    /// Memory for buffered bodies, in units of [`BODY_UNIT_BYTES`].
    pub bodies: Arc<Slots>,
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
            sockets,
            memory,
        }
    }

    /// Halves the limits while another process runs beside this one, or restores them.
    pub fn resize(&self, has_companion: bool) {
        self.set(Allocation::new(self.sockets, self.memory, has_companion));
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
        let within_target = [&self.clients, &self.servers, &self.bodies].map(|slots| slots.reclaim());
        within_target[0] && within_target[1]
    }
}

#[cfg(test)]
#[path = "../tests/unit/capacity.rs"]
mod tests;
