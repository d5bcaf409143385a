//! Delays between calls to discovery.

use std::time::Duration;

use merlinfold_decide::interface::Nanos;
use merlinfold_decide::policy::Backoff;

/// Shortest and longest pause after a failed call that itself took as long as the back-off.
const MIN_PAUSE_RANGE: (Duration, Duration) = (Duration::from_millis(50), Duration::from_millis(300));
/// Delay after a failure where an agent pushes the list. What the agent has counts as announced as soon as it can be
/// reached, and it serves this node alone, so a longer delay would spare nobody.
const PUSHED_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Time since polling began.
pub type Elapsed = Duration;

/// When the first call is made, and when a failed call is retried.
#[derive(Debug)]
pub enum RetryPolicy {
    /// An agent that serves this node alone pushes the list.
    Pushed,
    /// Discovery is polled and shared with other nodes.
    Shared(Backoff, fastrand::Rng),
}

impl RetryPolicy {
    /// Policy for a service that has to be polled once per interval.
    pub fn shared(interval: Nanos, seed: u64) -> Self {
        RetryPolicy::Shared(Backoff::new(interval), fastrand::Rng::with_seed(seed))
    }

    /// The delay before the first call.
    pub fn initial_delay(&mut self) -> Duration {
        match self {
            RetryPolicy::Pushed => Duration::ZERO,
            RetryPolicy::Shared(backoff, rng) => Duration::from_nanos(backoff.initial_wait(rng)),
        }
    }

    /// When to retry a call that started and failed at these times.
    pub fn next_call_after_failure(&mut self, started: Elapsed, now: Elapsed) -> Elapsed {
        match self {
            RetryPolicy::Pushed => now + PUSHED_RETRY_DELAY,
            RetryPolicy::Shared(backoff, rng) => {
                let (shortest, longest) = MIN_PAUSE_RANGE;
                let pause_ms = rng.u64(shortest.as_millis() as u64..=longest.as_millis() as u64);
                let delay = Duration::from_nanos(backoff.record_failure(rng));
                (started + delay).max(now + Duration::from_millis(pause_ms))
            }
        }
    }

    /// Resets the back-off after an answered call.
    pub fn reset(&mut self) {
        if let RetryPolicy::Shared(backoff, _) = self {
            backoff.record_success();
        }
    }
}
