//! What the kernel tells of processor time and memory.

use rustix::time::{clock_gettime, ClockId};
use serde::Serialize;

use merlinfold_simulation::Nanos;

const NANOS_A_SECOND: Nanos = 1_000_000_000;
/// Fields of a line of `/proc/stat` in which a processor does nothing: idle, and idle while a disk works (proc(5)).
const IDLE_FIELDS: std::ops::Range<usize> = 3..5;
/// Fields of that line that count time once: those after them are already in the first two.
const COUNTED_FIELDS: usize = 8;

fn read_clock(clock: ClockId) -> Nanos {
    let time = clock_gettime(clock);
    time.tv_sec as Nanos * NANOS_A_SECOND + time.tv_nsec as Nanos
}

/// Processor time of the calling thread.
pub fn thread_cpu() -> Nanos {
    read_clock(ClockId::ThreadCPUTime)
}

/// Processor time of all threads of a process.
pub fn process_cpu(process: u32) -> Option<Nanos> {
    let tasks = std::fs::read_dir(format!("/proc/{process}/task")).ok()?;
    let of_task = |task: std::fs::DirEntry| {
        // The first of its fields is the time on a processor (proc(5)).
        let text = std::fs::read_to_string(task.path().join("schedstat")).ok()?;
        text.split_whitespace().next()?.parse::<Nanos>().ok()
    };
    Some(tasks.flatten().filter_map(of_task).sum())
}

/// Monotonic time, the same in all processes of the machine.
pub fn monotonic() -> Nanos {
    read_clock(ClockId::Monotonic)
}

/// Resident anonymous memory of a process in KiB: what it has made itself, without its program's pages.
pub fn anonymous_memory_kib(process: &str) -> Option<u64> {
    let status = std::fs::read_to_string(format!("/proc/{process}/status")).ok()?;
    let line = status.lines().find_map(|line| line.strip_prefix("RssAnon:"))?;
    line.trim().strip_suffix("kB")?.trim().parse().ok()
}

/// Memory of the machine in KiB.
pub fn machine_memory_kib() -> Option<u64> {
    let info = std::fs::read_to_string("/proc/meminfo").ok()?;
    let line = info.lines().find_map(|line| line.strip_prefix("MemTotal:"))?;
    line.trim().strip_suffix("kB")?.trim().parse().ok()
}

/// Load of the machine over the last minute.
pub fn load() -> Option<f64> {
    let text = std::fs::read_to_string("/proc/loadavg").ok()?;
    text.split_whitespace().next()?.parse().ok()
}

/// Time that all processors of the machine have counted, to be compared with a later one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Processors {
    busy: u64,
    total: u64,
}

impl Processors {
    /// As of now.
    pub fn now() -> Option<Self> {
        let stat = std::fs::read_to_string("/proc/stat").ok()?;
        let fields = stat.lines().next()?.split_whitespace().skip(1).take(COUNTED_FIELDS);
        let ticks: Vec<u64> = fields.map(|field| field.parse().unwrap_or(0)).collect();
        let idle: u64 = ticks.get(IDLE_FIELDS)?.iter().sum();
        let total: u64 = ticks.iter().sum();
        Some(Processors { busy: total - idle, total })
    }

    /// Share of all processors that was in use since then.
    pub fn busy_since(&self, earlier: &Processors) -> f64 {
        let total = self.total.saturating_sub(earlier.total);
        self.busy.saturating_sub(earlier.busy) as f64 / total.max(1) as f64
    }
}
