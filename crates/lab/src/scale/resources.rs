//! Reads processor time, memory and load from the kernel.

use rustix::time::{clock_gettime, ClockId};
use serde::Serialize;

use merlinfold_simulation::Nanos;

const NANOS_PER_SECOND: Nanos = 1_000_000_000;
/// Fields of a `/proc/stat` line with idle time: idle, and waiting for I/O (proc(5)).
const IDLE_FIELDS: std::ops::Range<usize> = 3..5;
/// Number of fields to sum; later ones are already contained in the first two.
const COUNTED_FIELDS: usize = 8;

fn read_clock(clock: ClockId) -> Nanos {
    let time = clock_gettime(clock);
    time.tv_sec as Nanos * NANOS_PER_SECOND + time.tv_nsec as Nanos
}

/// Returns the processor time of the calling thread, ns.
pub fn thread_cpu() -> Nanos {
    read_clock(ClockId::ThreadCPUTime)
}

/// Returns the processor time of all threads of a process, ns.
pub fn process_cpu(process: u32) -> Option<Nanos> {
    let tasks = std::fs::read_dir(format!("/proc/{process}/task")).ok()?;
    let task_time = |task: std::fs::DirEntry| {
        // The first field is the time spent on a processor (proc(5)).
        let text = std::fs::read_to_string(task.path().join("schedstat")).ok()?;
        text.split_whitespace().next()?.parse::<Nanos>().ok()
    };
    Some(tasks.flatten().filter_map(task_time).sum())
}

/// Returns the monotonic time, which is the same in all processes of the machine, ns.
pub fn monotonic() -> Nanos {
    read_clock(ClockId::Monotonic)
}

/// Returns the resident anonymous memory of a process in KiB, which excludes its program's file-backed pages.
pub fn anonymous_memory_kib(process: &str) -> Option<u64> {
    let status = std::fs::read_to_string(format!("/proc/{process}/status")).ok()?;
    let line = status.lines().find_map(|line| line.strip_prefix("RssAnon:"))?;
    line.trim().strip_suffix("kB")?.trim().parse().ok()
}

/// Returns the machine's total memory in KiB.
pub fn machine_memory_kib() -> Option<u64> {
    let info = std::fs::read_to_string("/proc/meminfo").ok()?;
    let line = info.lines().find_map(|line| line.strip_prefix("MemTotal:"))?;
    line.trim().strip_suffix("kB")?.trim().parse().ok()
}

/// Returns the machine's load average over the last minute.
pub fn load() -> Option<f64> {
    let text = std::fs::read_to_string("/proc/loadavg").ok()?;
    text.split_whitespace().next()?.parse().ok()
}

/// Busy and total time of all processors, in ticks since the machine's start; compared with a later reading.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Processors {
    busy: u64,
    total: u64,
}

impl Processors {
    /// Reads the current times; none if the kernel does not provide them.
    pub fn now() -> Option<Self> {
        let stat = std::fs::read_to_string("/proc/stat").ok()?;
        let fields = stat.lines().next()?.split_whitespace().skip(1).take(COUNTED_FIELDS);
        let ticks: Vec<u64> = fields.map(|field| field.parse().unwrap_or(0)).collect();
        let idle: u64 = ticks.get(IDLE_FIELDS)?.iter().sum();
        let total: u64 = ticks.iter().sum();
        Some(Processors { busy: total - idle, total })
    }

    /// Returns the share of all processors that was in use since an earlier reading.
    pub fn busy_since(&self, earlier: &Processors) -> f64 {
        let total = self.total.saturating_sub(earlier.total);
        self.busy.saturating_sub(earlier.busy) as f64 / total.max(1) as f64
    }
}
