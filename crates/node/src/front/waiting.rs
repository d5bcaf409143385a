//! Clients that wait for a slot. They are accepted and not read: each holds a descriptor and next to no memory, and since
//! when it waits is known.

use super::*;

/// Longest wait for a slot once a client has sent something, after which it is refused: well below the time of a request.
const MAX_SLOT_WAIT: Duration = Duration::from_millis(200);
/// The same while further clients wait in the kernel's accept queue.
const MAX_SLOT_WAIT_WHEN_CROWDED: Duration = Duration::from_millis(100);
/// Longest wait of a client that sends nothing. The protocol allows a node to close after 2 s.
const MAX_SILENCE: Duration = Duration::from_millis(2_100);
/// The same while further clients wait in the kernel's accept queue; a client that has just connected sends sooner.
const MAX_SILENCE_WHEN_CROWDED: Duration = Duration::from_millis(200);
/// Longest time that counts for a wait in the kernel's accept queue, which is not known.
const MAX_UNSEEN_WAIT: Duration = Duration::from_millis(200);

/// Connections that are accepted one after the other before those that are open take their turn. With fewer, clients
/// would wait in the accept queue of a busy node for as many turns.
const MAX_ACCEPTS_IN_TURN: usize = 32;

/// An accepted connection before it is served.
pub(super) struct AcceptedClient {
    pub(super) stream: TcpStream,
    /// Since when it may have waited to be served.
    pub(super) accepted_at: Instant,
}

/// What the next connection is accepted for.
pub(super) enum Place {
    /// It is served in this slot.
    Slot(OwnedSemaphorePermit),
    /// It waits for a slot, with this descriptor.
    Waiting(OwnedSemaphorePermit),
}

/// The kernel's accept queue: a connection that is taken from it arrived after it was last empty.
pub(super) struct AcceptQueue {
    empty_at: Instant,
    taken_in_turn: usize,
}

impl AcceptQueue {
    /// Creates the record of a queue that has been empty so far.
    pub(super) fn new() -> Self {
        AcceptQueue { empty_at: Instant::now(), taken_in_turn: 0 }
    }

    /// Records that the queue was empty until now.
    pub(super) fn was_empty(&mut self) {
        self.empty_at = Instant::now();
        self.taken_in_turn = 0;
    }

    /// Lets the connections that are open take their turn if a burst has taken its own.
    pub(super) async fn give_way(&mut self) {
        if self.taken_in_turn >= MAX_ACCEPTS_IN_TURN {
            self.taken_in_turn = 0;
            yield_now().await;
        }
    }

    /// Wraps a connection that has just been taken from the queue.
    pub(super) fn taken(&mut self, stream: TcpStream) -> AcceptedClient {
        self.taken_in_turn += 1;
        let now = Instant::now();
        let unseen_wait = (now - self.empty_at).min(MAX_UNSEEN_WAIT);
        AcceptedClient { stream, accepted_at: now - unseen_wait }
    }
}

impl Front {
    /// Takes a free slot, or else waits until there is a descriptor for a client that waits for one.
    pub(super) async fn acquire_place(&self) -> Place {
        // Above the target, released slots belong to the other process of this node.
        let slot = self.capacity.clients.reclaim().then(|| self.capacity.clients.try_acquire(1)).flatten();
        match slot {
            Some(slot) => Place::Slot(slot),
            None => {
                increment(&self.stats.full);
                Place::Waiting(self.capacity.unserved.acquire().await)
            }
        }
    }

    /// Serves a connection that has just been accepted, or has it wait for its slot in a task of its own, which ends after
    /// [`MAX_SILENCE`] and [`MAX_SLOT_WAIT`] at the latest.
    pub(super) fn place_client(
        self: &Arc<Self>, client: AcceptedClient, place: Place, close_requested: &watch::Receiver<bool>,
    ) {
        match place {
            Place::Slot(slot) => self.serve_client(client, slot, close_requested),
            Place::Waiting(descriptor) => {
                let (front, close_requested) = (self.clone(), close_requested.clone());
                tokio::spawn(async move { front.await_slot(client, descriptor, close_requested).await });
            }
        }
    }

    /// Serves a client as soon as it has sent something and there is a slot for it, or refuses it.
    async fn await_slot(
        self: Arc<Self>, client: AcceptedClient, descriptor: OwnedSemaphorePermit,
        close_requested: watch::Receiver<bool>,
    ) {
        if !self.await_input(&client.stream).await {
            increment(&self.stats.silent);
            return;
        }
        let limit = if self.is_crowded() { MAX_SLOT_WAIT_WHEN_CROWDED } else { MAX_SLOT_WAIT };
        match timeout(limit, self.acquire_slot()).await {
            Ok(slot) => {
                drop(descriptor);
                self.serve_client(client, slot, &close_requested);
            }
            Err(_) => self.refuse_unread(client.stream, descriptor, "no slot for a connection"),
        }
    }

    /// Waits until the client has sent something, or has closed. Returns false if it sends nothing for too long.
    async fn await_input(&self, stream: &TcpStream) -> bool {
        let since = Instant::now();
        while since.elapsed() < MAX_SILENCE {
            if timeout(MAX_SILENCE_WHEN_CROWDED, stream.readable()).await.is_ok() {
                return true;
            }
            if self.is_crowded() {
                return false;
            }
        }
        false
    }

    /// Returns whether further clients may wait in the accept queue, as there is no descriptor for them.
    fn is_crowded(&self) -> bool {
        self.capacity.unserved.free() == 0
    }

    /// Waits for a slot, first come first served.
    async fn acquire_slot(&self) -> OwnedSemaphorePermit {
        let _waiting = self.slot_waiters.enter();
        // Above the target, released slots belong to the other process of this node.
        while !self.capacity.clients.reclaim() {
            sleep(HEARTBEAT_INTERVAL).await;
        }
        self.capacity.clients.acquire().await
    }
}
