//! The clock of the decision module.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use merlinfold_decide::interface::Nanos;
use tokio::time::Instant;

/// A monotonic clock that starts at the Unix time of its creation.
#[derive(Clone, Copy)]
pub struct Clock {
    start: Instant,
    start_unix: Nanos,
}

impl Clock {
    pub fn new() -> Self {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { start: Instant::now(), start_unix: unix.as_nanos() as Nanos }
    }

    /// Returns the nanoseconds since the Unix epoch.
    pub fn now(&self) -> Nanos {
        self.start_unix + self.start.elapsed().as_nanos() as Nanos
    }

    /// Converts a time of the runtime's clock to this clock; earlier times become the start.
    pub fn at(&self, at: Instant) -> Nanos {
        self.start_unix + at.saturating_duration_since(self.start).as_nanos() as Nanos
    }

    /// Converts a time of this clock to the runtime's clock; earlier times become the start.
    pub fn instant(&self, at: Nanos) -> Instant {
        self.start + Duration::from_nanos(at.saturating_sub(self.start_unix))
    }
}
