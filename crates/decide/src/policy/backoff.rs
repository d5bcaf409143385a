//! How long to wait before a shared service is called again.

use fastrand::Rng;

use crate::interface::Nanos;

const MAX_WAIT: Nanos = 2_000_000_000; // news counts as told 6 s on, and a call takes up to 3 s
const FIRST_SHARE: Nanos = 8; // of the interval: the longest wait before the first call
const BASE_SHARE: Nanos = 16; // of the interval: the shortest of the longest waits
const MAX_DOUBLINGS: u32 = 3;

/// Waits between calls: longer after each failure in a row, and never in step with those of other callers.
#[derive(Clone, Debug, Default)]
pub struct Backoff {
    interval: Nanos,
    failures: u32,
}

impl Backoff {
    /// For a service that has to be called once in this interval.
    pub fn new(interval: Nanos) -> Self {
        Backoff { interval, failures: 0 }
    }

    /// The wait before the first call.
    pub fn initial_wait(&self, rng: &mut Rng) -> Nanos {
        rng.u64(0..=(self.interval / FIRST_SHARE).min(MAX_WAIT))
    }

    /// The wait after one more failure in a row.
    pub fn record_failure(&mut self, rng: &mut Rng) -> Nanos {
        self.failures = self.failures.saturating_add(1);
        let longest = ((self.interval / BASE_SHARE) << self.failures.min(MAX_DOUBLINGS)).min(MAX_WAIT);
        longest / 2 + rng.u64(0..=longest / 2)
    }

    /// A call was answered.
    pub fn record_success(&mut self) {
        self.failures = 0;
    }
}
