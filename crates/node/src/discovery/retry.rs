//! When discovery is called again after a call that failed.

use std::time::Duration;

use merlinfold_decide::interface::Nanos;
use merlinfold_decide::policy::Backoff;

/// Shortest and longest pause after a call that has itself taken as long as the back-off asks for.
const MIN_PAUSE_RANGE: (Duration, Duration) = (Duration::from_millis(50), Duration::from_millis(300));
/// After a failure, where lists are pushed. What the agent holds counts as told the moment that it can be reached, and
/// it serves this node alone: nobody is spared by a longer wait.
const PUSHED_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Since the node began to follow the list.
pub type Elapsed = Duration;

/// How long to wait after a failure.
#[derive(Debug)]
pub enum RetryPolicy {
    /// The list is pushed by an agent of this node alone.
    Pushed,
    /// Discovery is asked, and shared with other nodes.
    Shared(Backoff, fastrand::Rng),
}

impl RetryPolicy {
    /// For a service that has to be asked once in this interval.
    pub fn shared(interval: Nanos, seed: u64) -> Self {
        RetryPolicy::Shared(Backoff::new(interval), fastrand::Rng::with_seed(seed))
    }

    /// The wait before the first call.
    pub fn initial_delay(&mut self) -> Duration {
        match self {
            RetryPolicy::Pushed => Duration::ZERO,
            RetryPolicy::Shared(backoff, rng) => Duration::from_nanos(backoff.initial_wait(rng)),
        }
    }

    /// When to call again, after a call that began and failed at these times.
    pub fn next_call_after_failure(&mut self, began: Elapsed, now: Elapsed) -> Elapsed {
        match self {
            RetryPolicy::Pushed => now + PUSHED_RETRY_DELAY,
            RetryPolicy::Shared(backoff, rng) => {
                let least =
                    rng.u64(MIN_PAUSE_RANGE.0.as_millis() as u64..=MIN_PAUSE_RANGE.1.as_millis() as u64);
                let wait = Duration::from_nanos(backoff.record_failure(rng));
                (began + wait).max(now + Duration::from_millis(least))
            }
        }
    }

    /// A call was answered.
    pub fn reset(&mut self) {
        if let RetryPolicy::Shared(backoff, _) = self {
            backoff.record_success();
        }
    }
}
