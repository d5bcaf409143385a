//! Processor time of this thread, and resident memory of this process.

use rustix::time::{clock_gettime, ClockId};

const CALIBRATION: u32 = 10_000; // readings from which the cost of one is known

/// Processor time that this thread has used, ns.
fn thread_time() -> f64 {
    let time = clock_gettime(ClockId::ThreadCPUTime);
    time.tv_sec as f64 * 1e9 + time.tv_nsec as f64
}

/// Adds up processor time between start and stop, without what reading the clock takes.
pub struct Stopwatch {
    overhead: f64,
    total: f64,
}

impl Stopwatch {
    /// One that stands at zero.
    pub fn new() -> Self {
        let mut watch = Stopwatch { overhead: 0.0, total: 0.0 };
        (0..CALIBRATION).for_each(|_| watch.time(|| ()));
        watch.overhead = watch.total / f64::from(CALIBRATION);
        watch.total = 0.0;
        watch
    }

    /// Runs this and adds what it took.
    pub fn time<T>(&mut self, work: impl FnOnce() -> T) -> T {
        let begun = thread_time();
        let made = work();
        self.total += (thread_time() - begun - self.overhead).max(0.0);
        made
    }

    /// What it stands at, ns; it starts again from zero.
    pub fn take(&mut self) -> f64 {
        std::mem::take(&mut self.total)
    }
}

impl Default for Stopwatch {
    fn default() -> Self {
        Stopwatch::new()
    }
}

/// Resident memory of this process that no file stands behind, bytes; 0 where the kernel does not say.
pub fn resident() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("RssAnon:"));
    let kib = line.and_then(|line| line.trim().strip_suffix("kB")?.trim().parse::<u64>().ok());
    kib.unwrap_or(0) << 10
}
