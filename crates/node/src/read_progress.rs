//! How fast a client reads a response: told from a slow server by what the connection to the client does not accept.

use std::sync::atomic::{AtomicU64, Ordering};

use merlinfold_decide::interface::Nanos;

/// Slowest rate at which a client has to read when others wait for what it holds. Clients may move bodies at 64 kB/s.
const MIN_BYTES_PER_SECOND: u64 = 48_000;
/// Bytes in which the kernels of both sides make room at once: what a client has read shows in steps of this size.
const STEP_BYTES: u64 = 96 << 10;
const SECOND: Nanos = 1_000_000_000;
/// Time that a client may pause in one response altogether: peers take seconds to read, in pieces of any size.
const PAUSE_ALLOWANCE: Nanos = 30 * SECOND;

/// What a client has read of a response since it first held up its connection.
#[derive(Debug, Default)]
pub struct ReadProgress {
    held_up_since: AtomicU64, // 0: not yet
    bytes: AtomicU64,         // that the connection has accepted since then
}

impl ReadProgress {
    /// Records that a response begins.
    pub fn response_started(&self) {
        self.held_up_since.store(0, Ordering::Relaxed);
        self.bytes.store(0, Ordering::Relaxed);
    }

    /// Records that the connection accepts nothing more for now. Times are nanoseconds since it was accepted.
    pub fn held_up(&self, now: Nanos) {
        let now = now.max(1);
        let _ = self.held_up_since.compare_exchange(0, now, Ordering::Relaxed, Ordering::Relaxed);
    }

    /// Records the number of bytes that the connection has accepted. What went into empty buffers tells nothing.
    pub fn bytes_accepted(&self, count: usize) {
        if self.held_up_since.load(Ordering::Relaxed) > 0 {
            self.bytes.fetch_add(count as u64, Ordering::Relaxed);
        }
    }

    /// Returns how many bytes less the client has read than it has to, or `None` if it reads as fast.
    pub fn missing_bytes(&self, now: Nanos) -> Option<u64> {
        let since = Some(self.held_up_since.load(Ordering::Relaxed)).filter(|&since| since > 0)?;
        let owed = now.saturating_sub(since + PAUSE_ALLOWANCE) / (SECOND / MIN_BYTES_PER_SECOND);
        let missing = owed.saturating_sub(self.bytes.load(Ordering::Relaxed) + STEP_BYTES);
        Some(missing).filter(|&missing| missing > 0)
    }
}

#[cfg(test)]
#[path = "../tests/unit/read_progress.rs"]
mod tests;
