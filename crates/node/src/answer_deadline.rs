//! When a request has to be answered: at its own deadline, or in time for the end of a process that is told to stop,
//! whenever that happens while the request waits.

use std::time::Duration;

use merlinfold_decide::interface::Nanos;
use tokio::sync::watch;
use tokio::time::sleep;

use crate::clock::Clock;
use crate::lifecycle::ServingState;

/// Follows the serving state for requests that wait.
#[derive(Clone)]
pub struct AnswerDeadline {
    clock: Clock,
    serving_state: watch::Receiver<ServingState>,
}

impl AnswerDeadline {
    /// Creates a deadline that follows this serving state.
    pub fn new(clock: Clock, serving_state: watch::Receiver<ServingState>) -> Self {
        AnswerDeadline { clock, serving_state }
    }

    /// Returns when a request has to be answered, as of now, if its last byte came at `since` and its client waits for
    /// `client_time` from then.
    pub fn current(&self, since: Nanos, client_time: Nanos) -> Nanos {
        let own = since.saturating_add(client_time);
        let limit = self.serving_state.borrow().stop.and_then(|stop| stop.answer_limit(since));
        limit.map_or(own, |limit| own.min(limit))
    }

    /// Waits for [`Self::current`], which a stop brings closer.
    pub async fn wait(&self, since: Nanos, client_time: Nanos) {
        let mut following = self.clone();
        loop {
            let left = following.current(since, client_time).saturating_sub(self.clock.now());
            if left == 0 {
                return;
            }
            following.sleep_or_change(left).await;
        }
    }

    /// Waits for `time`, or until the serving state changes if that comes first.
    pub async fn sleep_or_change(&mut self, time: Nanos) {
        let slept = sleep(Duration::from_nanos(time));
        tokio::pin!(slept);
        tokio::select! {
            () = slept.as_mut() => {}
            changed = self.serving_state.changed() => {
                if changed.is_err() {
                    slept.await; // the state changes no more
                }
            }
        }
    }
}

#[cfg(test)]
#[path = "../tests/unit/answer_deadline.rs"]
mod tests;
