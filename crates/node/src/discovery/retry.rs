//! When discovery is called again after a call that failed.

use std::time::Duration;

use merlinfold_decide::interface::Nanos;
use merlinfold_decide::policy::Backoff;

/// Shortest and longest pause after a call that has itself taken as long as the back-off asks for.
const PAUSE: (Duration, Duration) = (Duration::from_millis(50), Duration::from_millis(300));
/// After a failure, where lists are pushed. What the agent holds counts as told the moment that it can be reached, and
/// it serves this node alone: nobody is spared by a longer wait.
const PUSHED_PAUSE: Duration = Duration::from_millis(50);

/// Since the node began to follow the list.
pub type Time = Duration;

/// How long to wait after a failure.
#[derive(Debug)]
pub enum Retry {
    /// The list is pushed by an agent of this node alone.
    Pushed,
    /// Discovery is asked, and shared with other nodes.
    Shared(Backoff, fastrand::Rng),
}

impl Retry {
    /// For a service that has to be asked once in this interval.
    pub fn shared(interval: Nanos, seed: u64) -> Self {
        Retry::Shared(Backoff::new(interval), fastrand::Rng::with_seed(seed))
    }

    /// The wait before the first call.
    pub fn before_first(&mut self) -> Duration {
        match self {
            Retry::Pushed => Duration::ZERO,
            Retry::Shared(backoff, rng) => Duration::from_nanos(backoff.initial_wait(rng)),
        }
    }

    /// When to call again, after a call that began and failed at these times.
    pub fn after_failure(&mut self, began: Time, now: Time) -> Time {
        match self {
            Retry::Pushed => now + PUSHED_PAUSE,
            Retry::Shared(backoff, rng) => {
                let least = rng.u64(PAUSE.0.as_millis() as u64..=PAUSE.1.as_millis() as u64);
                let wait = Duration::from_nanos(backoff.record_failure(rng));
                (began + wait).max(now + Duration::from_millis(least))
            }
        }
    }

    /// A call was answered.
    pub fn answered(&mut self) {
        if let Retry::Shared(backoff, _) = self {
            backoff.record_success();
        }
    }
}
