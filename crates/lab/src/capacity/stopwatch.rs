//! Measures the processor time of this thread and the resident memory of this process.

use rustix::time::{clock_gettime, ClockId};

const CALIBRATION_READS: u32 = 10_000; // to measure the cost of reading the clock

/// Returns the processor time that this thread has used, ns.
fn thread_time() -> f64 {
    let time = clock_gettime(ClockId::ThreadCPUTime);
    time.tv_sec as f64 * 1e9 + time.tv_nsec as f64
}

/// Sums the processor time of pieces of work, less the cost of reading the clock.
pub struct Stopwatch {
    overhead: f64,
    total: f64,
}

impl Stopwatch {
    /// Creates a stopwatch at zero and measures the cost of reading the clock.
    pub fn new() -> Self {
        let mut watch = Stopwatch { overhead: 0.0, total: 0.0 };
        (0..CALIBRATION_READS).for_each(|_| watch.time(|| ()));
        watch.overhead = watch.total / f64::from(CALIBRATION_READS);
        watch.total = 0.0;
        watch
    }

    /// Runs `work` and adds the processor time that it used.
    pub fn time<T>(&mut self, work: impl FnOnce() -> T) -> T {
        let started = thread_time();
        let result = work();
        self.total += (thread_time() - started - self.overhead).max(0.0);
        result
    }

    /// Returns the sum, ns, and resets it to zero.
    pub fn take(&mut self) -> f64 {
        std::mem::take(&mut self.total)
    }
}

impl Default for Stopwatch {
    fn default() -> Self {
        Stopwatch::new()
    }
}

/// Returns the resident anonymous memory of this process, bytes; 0 if the kernel does not report it.
pub fn resident_bytes() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("RssAnon:"));
    let kib = line.and_then(|line| line.trim().strip_suffix("kB")?.trim().parse::<u64>().ok());
    kib.unwrap_or(0) << 10
}
