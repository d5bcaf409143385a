//! What a process may hold: descriptors for clients and for servers, bytes of bodies. Two processes of one node,
//! while one takes over from the other, hold no more together than one alone.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;

use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// Callers of the console at once.
pub const MAX_CONSOLE_CONNECTIONS: usize = 16;
const CLIENT_DESCRIPTORS_DIVISOR: usize = 3; // one descriptor in so many may be held by clients
const BODY_MEMORY_DIVISOR: usize = 4; // one byte of memory in so many may be held as bodies
const SUCCESSOR_STARTUP_DESCRIPTORS: usize = 16; // what a successor opens before there is room: log, state, discovery, a caller
const MIN_SERVER_CONNECTIONS: usize = 4; // connections without which a node serves nothing
/// Descriptors beside those of clients and servers: listeners, peers, discovery, runtime, log, callers.
pub const RESERVED_DESCRIPTORS: usize = 16 + MAX_CONSOLE_CONNECTIONS;
/// Bytes in one unit of the capacity for bodies.
pub const BODY_UNIT_BYTES: usize = 1 << 10;

/// How much of each.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Allocation {
    /// Connections of clients.
    pub clients: usize,
    /// Connections to servers.
    pub servers: usize,
    /// Units of held bodies.
    pub bodies: usize,
}

impl Allocation {
    /// Of so many descriptors and bytes of memory, alone or beside another process.
    pub fn new(sockets: usize, memory: usize, beside: bool) -> Self {
        let clients = sockets / CLIENT_DESCRIPTORS_DIVISOR;
        let left = sockets.saturating_sub(clients + RESERVED_DESCRIPTORS);
        let servers = left
            .saturating_sub(SUCCESSOR_STARTUP_DESCRIPTORS)
            .min(sockets.saturating_sub(RESERVED_DESCRIPTORS) / 2);
        let alone = Allocation {
            clients,
            servers: servers.max(MIN_SERVER_CONNECTIONS),
            bodies: (memory / BODY_MEMORY_DIVISOR / BODY_UNIT_BYTES).min(Semaphore::MAX_PERMITS),
        };
        if !beside {
            return alone;
        }
        let Allocation { clients, servers, bodies } = alone;
        let half = |all: usize| all.saturating_sub(RESERVED_DESCRIPTORS) / 2;
        Allocation {
            clients: clients / 2,
            // Its own listeners and callers come out of the servers' part.
            servers: half(servers).max(MIN_SERVER_CONNECTIONS),
            bodies: bodies / 2,
        }
    }

    /// What is left of all this beside a process that keeps so much.
    fn remaining_beside(self, kept: Allocation) -> Self {
        Allocation {
            clients: self.clients.saturating_sub(kept.clients),
            servers: self
                .servers
                .saturating_sub(kept.servers + RESERVED_DESCRIPTORS)
                .max(MIN_SERVER_CONNECTIONS),
            bodies: self.bodies.saturating_sub(kept.bodies),
        }
    }

    /// The lesser of each.
    fn min(self, other: Allocation) -> Self {
        Allocation {
            clients: self.clients.min(other.clients),
            servers: self.servers.min(other.servers),
            bodies: self.bodies.min(other.bodies),
        }
    }
}

/// So many of something, of which each is held by a permit; how many there are may change.
#[derive(Debug)]
pub struct Slots {
    free: Arc<Semaphore>,
    total: AtomicUsize,
    target: AtomicUsize,
}

impl Slots {
    /// That many.
    pub fn new(most: usize) -> Arc<Self> {
        Arc::new(Slots {
            free: Arc::new(Semaphore::new(most)),
            total: AtomicUsize::new(most),
            target: AtomicUsize::new(most),
        })
    }

    /// Waits for one, in the order of asking.
    pub async fn acquire(&self) -> OwnedSemaphorePermit {
        self.free.clone().acquire_owned().await.expect("it is never closed")
    }

    /// So many at once, if they are free.
    pub fn try_acquire(&self, count: u32) -> Option<OwnedSemaphorePermit> {
        self.free.clone().try_acquire_many_owned(count).ok()
    }

    /// Free ones.
    pub fn free(&self) -> usize {
        self.free.available_permits()
    }

    /// All that there are now, free or held.
    pub fn total(&self) -> usize {
        self.total.load(Ordering::Relaxed)
    }

    /// Those that are held.
    pub fn in_use(&self) -> usize {
        self.total().saturating_sub(self.free())
    }

    /// From now on there are to be so many. Of too many those that are held go as they are given back: see
    /// [`Slots::settle`].
    pub fn resize(&self, target: usize) {
        self.target.store(target, Ordering::Relaxed);
        let most = self.total();
        if target > most {
            self.free.add_permits(target - most);
            self.total.store(target, Ordering::Relaxed);
        }
        self.reclaim();
    }

    /// Takes away what is free of too many. Whether there are no more than there should be.
    pub fn reclaim(&self) -> bool {
        let (most, target) = (self.total(), self.target.load(Ordering::Relaxed));
        let most = most - self.free.forget_permits(most.saturating_sub(target));
        self.total.store(most, Ordering::Relaxed);
        most <= target
    }
}

/// All that a process may hold.
#[derive(Clone, Debug)]
pub struct Capacity {
    /// Connections of clients.
    pub clients: Arc<Slots>,
    /// Connections to servers.
    pub servers: Arc<Slots>,
    /// Bytes of bodies, in units.
    pub bodies: Arc<Slots>,
    sockets: usize,
    memory: usize,
}

impl Capacity {
    /// Of so many descriptors and bytes of memory.
    pub fn new(sockets: usize, memory: usize, beside: bool) -> Self {
        let Allocation { clients, servers, bodies } = Allocation::new(sockets, memory, beside);
        Capacity {
            clients: Slots::new(clients),
            servers: Slots::new(servers),
            bodies: Slots::new(bodies),
            sockets,
            memory,
        }
    }

    /// Halves it for another process, or takes it back.
    pub fn resize(&self, beside: bool) {
        self.set(Allocation::new(self.sockets, self.memory, beside));
    }

    /// Takes what the process that came first does not keep, up to a half. Whether that is the half.
    pub fn fit_beside(&self, kept: Allocation) -> bool {
        let half = Allocation::new(self.sockets, self.memory, true);
        let shares = Allocation::new(self.sockets, self.memory, false).remaining_beside(kept).min(half);
        self.set(shares);
        shares == half
    }

    /// What this process keeps for as long as it is held.
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

    /// Whether no more is held than there should be. Bodies end by themselves, soon: nobody waits for them.
    pub fn settle(&self) -> bool {
        let settled = [&self.clients, &self.servers, &self.bodies].map(|slots| slots.reclaim());
        settled[0] && settled[1]
    }
}

#[cfg(test)]
#[path = "../tests/unit/capacity.rs"]
mod tests;
