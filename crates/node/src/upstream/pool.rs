//! The connection pool.

use super::*;

pub(super) const IDLE_SHARE: f64 = 0.8; // of a server's idle timeout, after which a connection is not used again

/// For a connection that its attempt has given up: a lost SYN is sent again after 1 s, the next after 2 s more.
pub(super) const MAX_LATE_CONNECT: Duration = Duration::from_secs(2);

pub(super) const LATE_PART: usize = 4; // one slot in so many is left free by connections that nobody waits for

/// Idle connections, those that come up late, and slots for all that may be open.
pub struct Pool {
    pub(super) idle: BTreeMap<ServerId, Vec<(Connection, Nanos)>>,
    pub(super) late: VecDeque<AbortOnDrop>,
    pub(super) slots: Arc<Slots>,
    pub(super) idle_most: Nanos,
    pub(super) clock: Clock,
}

/// What an attempt starts from.
pub enum Way {
    Open(Connection),
    Connect(OwnedSemaphorePermit),
}

impl Pool {
    pub fn new(slots: Arc<Slots>, limits: HostLimits, clock: Clock) -> Self {
        let idle_most = (limits.idle_timeout as f64 * IDLE_SHARE) as Nanos;
        Pool { idle: BTreeMap::new(), late: VecDeque::new(), slots, idle_most, clock }
    }

    /// The connection to the server that was used last, or leave to open one; none if all are in use.
    pub fn way(&mut self, to: ServerId, address: SocketAddr) -> Option<Way> {
        let since = self.clock.now().saturating_sub(self.idle_most);
        while let Some((connection, at)) = self.idle.get_mut(&to).and_then(Vec::pop) {
            if at > since && connection.to == address && connection.is_fresh() {
                return Some(Way::Open(connection));
            }
        }
        let mut slot = self.slots.try_take(1);
        if slot.is_none() && self.drop_oldest() {
            slot = self.slots.try_take(1);
        }
        if slot.is_none() {
            self.late.pop_front(); // its slot is free a moment later
        }
        slot.map(Way::Connect)
    }

    /// Lets a connection that nobody waits for any more come up for the next one, for a while: opening another costs
    /// its server the same again. It is handed to `opened`, and closed where that drops it.
    pub fn await_late(&mut self, opening: Opening, opened: impl FnOnce(Connection) + Send + 'static) {
        self.late.retain(|late| !late.0.is_finished());
        if self.slots.free() * LATE_PART < self.slots.most() {
            return;
        }
        let task = tokio::spawn(async move {
            if let Ok(Ok(connection)) = timeout(MAX_LATE_CONNECT, opening).await {
                opened(connection);
            }
        });
        self.late.push_back(AbortOnDrop(task.abort_handle()));
    }

    /// Closes the connection that has been idle longest; false if there is none.
    pub(super) fn drop_oldest(&mut self) -> bool {
        let oldest = self.idle.values_mut().filter(|idle| !idle.is_empty()).min_by_key(|idle| idle[0].1);
        oldest.map(|idle| idle.remove(0)).is_some()
    }

    /// Closes idle connections until there are no more than there should be, or none is idle.
    pub fn shed(&mut self) {
        while !self.slots.settle() && self.drop_oldest() {}
        if !self.slots.settle() {
            self.late.clear();
        }
    }

    pub fn put(&mut self, to: ServerId, connection: Connection) {
        self.idle.entry(to).or_default().push((connection, self.clock.now()));
    }

    /// Closes the idle connections to a server.
    pub fn close(&mut self, to: ServerId) {
        self.idle.remove(&to);
    }

    /// Closes connections that their server closed or soon will.
    pub fn retire(&mut self) {
        let since = self.clock.now().saturating_sub(self.idle_most);
        for idle in self.idle.values_mut() {
            idle.retain(|(connection, at)| *at > since && !connection.sender.is_closed());
        }
    }
}
