//! The connection pool.

use super::*;

/// Fraction of a server's idle timeout after which a connection is not used again.
pub(super) const IDLE_TIMEOUT_FRACTION: f64 = 0.8;

/// Time to go on establishing a connection that its attempt has given up. A lost SYN is repeated after 1 s, and again
/// after 2 s more.
pub(super) const LATE_CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// Connections that no attempt waits for leave a quarter of the slots free.
pub(super) const RESERVED_SLOTS_DIVISOR: usize = 4;

/// Idle connections, connections that are still being established after their attempt gave up, and the slots for all
/// connections to servers.
pub struct Pool {
    pub(super) idle: BTreeMap<ServerId, Vec<(Connection, Nanos)>>,
    pub(super) pending: VecDeque<AbortOnDrop>,
    pub(super) slots: Arc<Slots>,
    pub(super) max_idle: Nanos,
    pub(super) clock: Clock,
}

/// How an attempt obtains its connection.
pub enum ConnectionSource {
    /// An idle connection from the pool.
    Pooled(Connection),
    /// A free slot in which to open a new connection.
    Connect(OwnedSemaphorePermit),
}

impl Pool {
    /// Creates an empty pool whose connections take up `slots`.
    pub fn new(slots: Arc<Slots>, limits: HostLimits, clock: Clock) -> Self {
        let max_idle = (limits.idle_timeout as f64 * IDLE_TIMEOUT_FRACTION) as Nanos;
        Pool { idle: BTreeMap::new(), pending: VecDeque::new(), slots, max_idle, clock }
    }

    /// Returns the most recently used idle connection to the server, or a slot in which to open one. Returns `None` if
    /// all slots are in use.
    pub fn acquire(&mut self, server: ServerId, address: SocketAddr) -> Option<ConnectionSource> {
        let oldest_usable = self.clock.now().saturating_sub(self.max_idle);
        while let Some((connection, at)) = self.idle.get_mut(&server).and_then(Vec::pop) {
            if at > oldest_usable && connection.address == address && connection.is_reusable() {
                return Some(ConnectionSource::Pooled(connection));
            }
        }
        let mut slot = self.slots.try_acquire(1);
        if slot.is_none() && self.close_longest_idle() {
            slot = self.slots.try_acquire(1);
        }
        if slot.is_none() {
            self.pending.pop_front(); // its slot is released when its task has ended
        }
        slot.map(ConnectionSource::Connect)
    }

    /// Goes on establishing a connection that its attempt has given up, for [`LATE_CONNECT_TIMEOUT`], since opening
    /// another one costs the server the same again. Passes the connection to `opened`, which closes it by dropping it.
    pub fn await_pending(
        &mut self, pending_connection: PendingConnection, opened: impl FnOnce(Connection) + Send + 'static,
    ) {
        self.pending.retain(|task| !task.0.is_finished());
        if self.slots.free() * RESERVED_SLOTS_DIVISOR < self.slots.total() {
            return;
        }
        let task = tokio::spawn(async move {
            if let Ok(Ok(connection)) = timeout(LATE_CONNECT_TIMEOUT, pending_connection).await {
                opened(connection);
            }
        });
        self.pending.push_back(AbortOnDrop(task.abort_handle()));
    }

    /// Closes the connection that has been idle longest. Returns false if there is none.
    pub fn close_longest_idle(&mut self) -> bool {
        let oldest = self.idle.values_mut().filter(|idle| !idle.is_empty()).min_by_key(|idle| idle[0].1);
        oldest.map(|idle| idle.remove(0)).is_some()
    }

    /// Closes idle connections until the slots are within their target or none is idle; after that abandons those still
    /// being established.
    pub fn shrink(&mut self) {
        while !self.slots.reclaim() && self.close_longest_idle() {}
        if !self.slots.reclaim() {
            self.pending.clear();
        }
    }

    /// Returns a connection to the pool.
    pub fn put(&mut self, server: ServerId, connection: Connection) {
        self.idle.entry(server).or_default().push((connection, self.clock.now()));
    }

    /// Closes all idle connections to a server.
    pub fn close_idle(&mut self, server: ServerId) {
        self.idle.remove(&server);
    }

    /// Closes idle connections that the server has closed or is about to close.
    pub fn close_expired(&mut self) {
        let oldest_usable = self.clock.now().saturating_sub(self.max_idle);
        for idle in self.idle.values_mut() {
            idle.retain(|(connection, at)| *at > oldest_usable && !connection.sender.is_closed());
        }
    }
}
