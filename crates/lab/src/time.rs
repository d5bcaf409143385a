//! The day's clock, and a timer finer than the runtime's milliseconds.

use std::sync::{Arc, Condvar, Mutex, OnceLock, PoisonError};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use merlinfold_simulation::Nanos;
use tokio::sync::Notify;

/// Time since the day's start; 0 until then.
#[derive(Clone, Debug, Default)]
pub struct Clock(Arc<OnceLock<(Instant, Nanos)>>);

impl Clock {
    /// The day begins. Only the first call counts.
    pub fn start(&self) {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let _ = self.0.set((Instant::now(), unix.as_nanos() as Nanos));
    }

    /// Whether it has begun.
    pub fn started(&self) -> bool {
        self.0.get().is_some()
    }

    /// Time since then.
    pub fn now(&self) -> Nanos {
        self.0.get().map_or(0, |(start, _)| start.elapsed().as_nanos() as Nanos)
    }

    /// Unix time of a point in the day, in milliseconds; of the day's start it is 0: long ago.
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
struct State {
    due: Option<Instant>,
    ended: bool,
}

/// Wakes one task at set times. A thread of its own waits, since the runtime rounds up to milliseconds,
/// which is long beside the service times of the servers here. Ends when it is dropped.
#[derive(Debug)]
pub struct Timer {
    clock: Clock,
    shared: Arc<(Mutex<State>, Condvar)>,
    wake: Arc<Notify>,
}

impl Timer {
    /// A timer that wakes whoever waits on `wake`.
    pub fn new(clock: Clock, wake: Arc<Notify>) -> Self {
        let shared = Arc::new((Mutex::new(State::default()), Condvar::new()));
        let (of_thread, notify) = (shared.clone(), wake.clone());
        std::thread::spawn(move || wait(&of_thread, &notify));
        Timer { clock, shared, wake }
    }

    /// What it wakes.
    pub fn wake(&self) -> &Notify {
        &self.wake
    }

    /// Sets the time at which it wakes next, unless that is set earlier already.
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
        self.shared.0.lock().unwrap_or_else(PoisonError::into_inner).ended = true;
        self.shared.1.notify_one();
    }
}

fn wait((state, changed): &(Mutex<State>, Condvar), wake: &Notify) {
    let mut state = state.lock().unwrap_or_else(PoisonError::into_inner);
    while !state.ended {
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
