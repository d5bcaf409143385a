//! The clock of a run, and a timer with a finer resolution than the runtime's milliseconds.

use std::sync::{Arc, Condvar, Mutex, OnceLock, PoisonError};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use merlinfold_simulation::Nanos;
use tokio::sync::Notify;

/// Time since the start of the run in nanoseconds; 0 before the start.
#[derive(Clone, Debug, Default)]
pub struct Clock(Arc<OnceLock<(Instant, Nanos)>>);

impl Clock {
    /// Starts the clock. Calls after the first have no effect.
    pub fn start(&self) {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let _ = self.0.set((Instant::now(), unix.as_nanos() as Nanos));
    }

    /// Whether the clock has been started.
    pub fn started(&self) -> bool {
        self.0.get().is_some()
    }

    /// Nanoseconds since the start; 0 before it.
    pub fn now(&self) -> Nanos {
        self.0.get().map_or(0, |(start, _)| start.elapsed().as_nanos() as Nanos)
    }

    /// Unix time in milliseconds of the instant `at` after the start. It is 0 for `at == 0`, because a server that
    /// runs at the start counts as started long ago.
    pub fn unix_ms(&self, at: Nanos) -> u64 {
        let unix = self.0.get().map_or(0, |&(_, unix)| unix);
        if at == 0 {
            0
        } else {
            (unix + at) / 1_000_000
        }
    }

    fn instant(&self, at: Nanos) -> Option<Instant> {
        self.0.get().map(|(start, _)| *start + Duration::from_nanos(at))
    }
}

#[derive(Debug, Default)]
struct TimerState {
    due: Option<Instant>,
    stopped: bool,
}

/// Wakes one task at set times. A dedicated thread waits, because the runtime rounds up to milliseconds, which is
/// long compared with the service times of the simulated servers. The thread ends when the timer is dropped.
#[derive(Debug)]
pub struct Timer {
    clock: Clock,
    shared: Arc<(Mutex<TimerState>, Condvar)>,
    wake: Arc<Notify>,
}

impl Timer {
    /// Starts a timer that notifies `wake`.
    pub fn new(clock: Clock, wake: Arc<Notify>) -> Self {
        let shared = Arc::new((Mutex::new(TimerState::default()), Condvar::new()));
        let (thread_shared, notify) = (shared.clone(), wake.clone());
        std::thread::spawn(move || run_timer(&thread_shared, &notify));
        Timer { clock, shared, wake }
    }

    /// The `Notify` that the timer notifies.
    pub fn wake(&self) -> &Notify {
        &self.wake
    }

    /// Sets the next wake-up, unless an earlier one is already set.
    pub fn set(&self, due: Option<Nanos>) {
        let Some(at) = due.and_then(|due| self.clock.instant(due)) else { return };
        let mut state = self.shared.0.lock().unwrap_or_else(PoisonError::into_inner);
        if state.due.is_none_or(|due| at < due) {
            state.due = Some(at);
            self.shared.1.notify_one();
        }
    }
}

impl Drop for Timer {
    fn drop(&mut self) {
        self.shared.0.lock().unwrap_or_else(PoisonError::into_inner).stopped = true;
        self.shared.1.notify_one();
    }
}

fn run_timer((state, changed): &(Mutex<TimerState>, Condvar), wake: &Notify) {
    let mut state = state.lock().unwrap_or_else(PoisonError::into_inner);
    while !state.stopped {
        let now = Instant::now();
        state = match state.due {
            None => changed.wait(state).unwrap_or_else(PoisonError::into_inner),
            Some(due) if due > now => {
                changed.wait_timeout(state, due - now).unwrap_or_else(PoisonError::into_inner).0
            }
            Some(_) => {
                state.due = None;
                wake.notify_one();
                state
            }
        };
    }
}
