//! Delays between calls to a shared service.

use fastrand::Rng;

use crate::interface::Nanos;

/// Longest delay: a node is expected to know a change 6 s after it was made, and a call takes up to 3 s.
const MAX_WAIT: Nanos = 2_000_000_000;

/// The longest delay before the first call is the interval divided by this.
const INITIAL_WAIT_DIVISOR: Nanos = 8;

/// The longest delay, before it is doubled with each failure, is the interval divided by this.
const BASE_WAIT_DIVISOR: Nanos = 16;

const MAX_DOUBLINGS: u32 = 3;

/// Exponential backoff with jitter, so that the calls of different nodes are not synchronized.
#[derive(Clone, Debug, Default)]
pub struct Backoff {
    interval: Nanos,
    failures: u32,
}

impl Backoff {
    /// Creates a backoff for a service that must be called once per `interval`.
    pub fn new(interval: Nanos) -> Self {
        Backoff { interval, failures: 0 }
    }

    /// Returns the delay before the first call.
    pub fn initial_wait(&self, rng: &mut Rng) -> Nanos {
        rng.u64(0..=(self.interval / INITIAL_WAIT_DIVISOR).min(MAX_WAIT))
    }

    /// Records a failed call and returns the delay before the next one.
    pub fn record_failure(&mut self, rng: &mut Rng) -> Nanos {
        self.failures = self.failures.saturating_add(1);
        let longest = ((self.interval / BASE_WAIT_DIVISOR) << self.failures.min(MAX_DOUBLINGS)).min(MAX_WAIT);
        longest / 2 + rng.u64(0..=longest / 2)
    }

    /// Records a successful call, which ends a series of failures.
    pub fn record_success(&mut self) {
        self.failures = 0;
    }
}
