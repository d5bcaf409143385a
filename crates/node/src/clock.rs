//! Time as the decision module counts it.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use merlinfold_decide::interface::Nanos;
use tokio::time::Instant;

/// The module's clock: Unix time at the start, which from then on only goes forward.
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

    pub fn now(&self) -> Nanos {
        self.start_unix + self.start.elapsed().as_nanos() as Nanos
    }

    pub fn instant(&self, at: Nanos) -> Instant {
        self.start + Duration::from_nanos(at.saturating_sub(self.start_unix))
    }
}
