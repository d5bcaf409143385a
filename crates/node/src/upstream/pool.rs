//! The connection pool.

use super::*;

pub(super) const IDLE_TIMEOUT_FRACTION: f64 = 0.8; // of a server's idle timeout, after which a connection is not used again

/// For a connection that its attempt has given up: a lost SYN is sent again after 1 s, the next after 2 s more.
pub(super) const LATE_CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

pub(super) const RESERVED_SLOTS_DIVISOR: usize = 4; // one slot in so many is left free by connections that nobody waits for

/// Idle connections, those that come up late, and slots for all that may be open.
pub struct Pool {
    pub(super) idle: BTreeMap<ServerId, Vec<(Connection, Nanos)>>,
    pub(super) pending: VecDeque<AbortOnDrop>,
    pub(super) slots: Arc<Slots>,
    pub(super) max_idle: Nanos,
    pub(super) clock: Clock,
}

/// What an attempt starts from.
pub enum ConnectionSource {
    Pooled(Connection),
    Connect(OwnedSemaphorePermit),
}

impl Pool {
    pub fn new(slots: Arc<Slots>, limits: HostLimits, clock: Clock) -> Self {
        let idle_most = (limits.idle_timeout as f64 * IDLE_TIMEOUT_FRACTION) as Nanos;
        Pool { idle: BTreeMap::new(), pending: VecDeque::new(), slots, max_idle: idle_most, clock }
    }

    /// The connection to the server that was used last, or leave to open one; none if all are in use.
    pub fn acquire(&mut self, to: ServerId, address: SocketAddr) -> Option<ConnectionSource> {
        let since = self.clock.now().saturating_sub(self.max_idle);
        while let Some((connection, at)) = self.idle.get_mut(&to).and_then(Vec::pop) {
            if at > since && connection.address == address && connection.is_reusable() {
                return Some(ConnectionSource::Pooled(connection));
            }
        }
        let mut slot = self.slots.try_acquire(1);
        if slot.is_none() && self.close_longest_idle() {
            slot = self.slots.try_acquire(1);
        }
        if slot.is_none() {
            self.pending.pop_front(); // its slot is free a moment later
        }
        slot.map(ConnectionSource::Connect)
    }

    /// Lets a connection that nobody waits for any more come up for the next one, for a while: opening another costs
    /// its server the same again. It is handed to `opened`, and closed where that drops it.
    pub fn await_pending(
        &mut self, opening: PendingConnection, opened: impl FnOnce(Connection) + Send + 'static,
    ) {
        self.pending.retain(|late| !late.0.is_finished());
        if self.slots.free() * RESERVED_SLOTS_DIVISOR < self.slots.total() {
            return;
        }
        let task = tokio::spawn(async move {
            if let Ok(Ok(connection)) = timeout(LATE_CONNECT_TIMEOUT, opening).await {
                opened(connection);
            }
        });
        self.pending.push_back(AbortOnDrop(task.abort_handle()));
    }

    /// Closes the connection that has been idle longest; false if there is none.
    pub(super) fn close_longest_idle(&mut self) -> bool {
        let oldest = self.idle.values_mut().filter(|idle| !idle.is_empty()).min_by_key(|idle| idle[0].1);
        oldest.map(|idle| idle.remove(0)).is_some()
    }

    /// Closes idle connections until there are no more than there should be, or none is idle.
    pub fn shrink(&mut self) {
        while !self.slots.reclaim() && self.close_longest_idle() {}
        if !self.slots.reclaim() {
            self.pending.clear();
        }
    }

    pub fn put(&mut self, to: ServerId, connection: Connection) {
        self.idle.entry(to).or_default().push((connection, self.clock.now()));
    }

    /// Closes the idle connections to a server.
    pub fn close_idle(&mut self, to: ServerId) {
        self.idle.remove(&to);
    }

    /// Closes connections that their server closed or soon will.
    pub fn close_expired(&mut self) {
        let since = self.clock.now().saturating_sub(self.max_idle);
        for idle in self.idle.values_mut() {
            idle.retain(|(connection, at)| *at > since && !connection.sender.is_closed());
        }
    }
}
