//! How long a client's connection may stay as it is: what moves on it and when goes in, out comes when to close it.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};

use merlinfold_decide::interface::Nanos;

/// Without a request, from the last answer on. The protocol lets a node close after 2 s.
const IDLE: Nanos = 2_100_000_000;
/// For a whole head from its first byte; clients may take 2 s.
const HEAD: Nanos = 2_250_000_000;
/// Without a byte either way, whoever is to blame.
const STILL: Nanos = 15_000_000_000;

/// Why a connection is closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Why {
    /// No whole head came in time.
    Silent,
    /// Nothing moved in the middle of a message.
    Still,
}

/// What has happened on a connection so far; times are ns since it was accepted.
#[derive(Debug)]
pub struct Line {
    idle: Nanos,         // for its first request
    still: Nanos,        // longer than any answer may take
    busy: AtomicBool,    // a request is being answered
    blocked: AtomicBool, // the client takes nothing more for now
    served: AtomicBool,  // there has been a request
    moved: AtomicU64,    // the last byte, either way
    freed: AtomicU64,    // the end of the last answer
    head: AtomicU64,     // first byte after the last request's; 0: none yet
}

impl Line {
    /// A connection just accepted, on which the first request has to begin within `idle`, and which waits for
    /// answers for up to `longest`.
    pub fn new(idle: Option<Nanos>, longest: Nanos) -> Self {
        Line {
            idle: idle.unwrap_or(IDLE),
            still: STILL.max(longest.saturating_mul(2)),
            busy: AtomicBool::new(false),
            blocked: AtomicBool::new(false),
            served: AtomicBool::new(false),
            moved: AtomicU64::new(0),
            freed: AtomicU64::new(0),
            head: AtomicU64::new(0),
        }
    }

    /// Bytes have come.
    pub fn heard(&self, now: Nanos) {
        self.moved.store(now, Ordering::Relaxed);
        if self.head.load(Ordering::Relaxed) == 0 {
            self.head.store(now.max(1), Ordering::Relaxed);
        }
    }

    /// Bytes were written, or could not be.
    pub fn wrote(&self, now: Nanos, taken: bool) {
        let was_blocked = self.blocked.swap(!taken, Ordering::Relaxed);
        if taken {
            self.moved.store(now, Ordering::Relaxed);
        }
        if taken && was_blocked {
            self.freed.store(now, Ordering::Relaxed); // its client takes the end of the answer only now
        }
    }

    /// A whole head has come: a request is under way. Whether it is the first one.
    pub fn begin(&self) -> bool {
        self.busy.store(true, Ordering::Relaxed);
        !self.served.swap(true, Ordering::Relaxed)
    }

    /// Its body has come; what is heard from now on is the next one's.
    pub fn read(&self) {
        self.head.store(0, Ordering::Relaxed);
    }

    /// Whether bytes have come that no whole request accounts for: the next one's beginning.
    pub fn has_begun(&self) -> bool {
        self.head.load(Ordering::Relaxed) > 0
    }

    /// Its answer is out of the node's hands.
    pub fn free(&self, now: Nanos) {
        self.freed.store(now, Ordering::Relaxed);
        self.busy.store(false, Ordering::Relaxed);
    }

    /// When to close it and why, if nothing more happens.
    pub fn due(&self) -> (Nanos, Why) {
        let get = |at: &AtomicU64| at.load(Ordering::Relaxed);
        let (moved, freed, head) = (get(&self.moved), get(&self.freed), get(&self.head));
        if self.busy.load(Ordering::Relaxed) || self.blocked.load(Ordering::Relaxed) {
            (moved + self.still, Why::Still)
        } else if !self.served.load(Ordering::Relaxed) {
            // From the connection on, or a peer could keep its slot by a late beginning.
            (if head > 0 { HEAD } else { self.idle }, Why::Silent)
        } else if head > 0 {
            (head.max(freed) + HEAD, Why::Silent)
        } else {
            (moved.max(freed) + IDLE, Why::Silent)
        }
    }

    /// How long to wait at most before asking again: nothing becomes due sooner than that after it has changed.
    pub fn step(&self) -> Nanos {
        self.idle.min(IDLE)
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    const MS: Nanos = 1_000_000;

    #[test]
    fn a_client_has_its_2_s_for_a_head_however_long_it_idled_before() {
        let line = Line::new(None, 750 * MS);
        assert_eq!(line.due(), (IDLE, Why::Silent));
        line.heard(100 * MS);
        assert_eq!(line.due(), (HEAD, Why::Silent), "within 3 s of connecting, whatever comes");
        line.begin();
        line.read();
        line.free(300 * MS);
        assert_eq!(line.due(), (300 * MS + IDLE, Why::Silent));
        line.heard(2_300 * MS);
        assert!(line.due().0 >= 4_300 * MS, "2 s from its first byte");
        line.begin();
        assert_eq!(line.due(), (2_300 * MS + STILL, Why::Still));
    }

    #[test]
    fn a_client_that_takes_nothing_is_not_idle_while_it_is_owed_bytes() {
        let line = Line::new(None, 750 * MS);
        line.heard(0);
        line.begin();
        line.read();
        line.wrote(10 * MS, true);
        line.wrote(10 * MS, false);
        line.free(20 * MS);
        assert_eq!(line.due(), (10 * MS + STILL, Why::Still));
        line.wrote(5_000 * MS, true);
        assert_eq!(line.due(), (5_000 * MS + IDLE, Why::Silent));
    }

    proptest! {
        /// Whoever asks again after each step is never late: what becomes due earlier by an event is due no
        /// sooner than a step after it. A first request's times stand from the start.
        #[test]
        fn nothing_is_due_before_the_next_look(events in prop::collection::vec((0..3_000 * MS, 0usize..6), 1..40)) {
            let line = Line::new(Some(500 * MS), 750 * MS);
            let (mut now, mut busy) = (0, false);
            for (after, event) in events {
                now += after;
                let (before, _) = line.due();
                match event {
                    0 => line.heard(now),
                    1 => line.wrote(now, true),
                    2 => line.wrote(now, false),
                    3 if !busy => {
                        line.begin();
                        busy = true;
                    }
                    4 if busy => line.read(),
                    5 if busy => {
                        line.free(now);
                        busy = false;
                    }
                    _ => {}
                }
                let (at, _) = line.due();
                let first = !line.served.load(Ordering::Relaxed);
                prop_assert!(first || at >= before || at >= now + line.step(), "{at} at {now} after {event}");
            }
        }
    }
}
