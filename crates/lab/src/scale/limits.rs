//! Limits of the control plane's cost for a node, and a run's cost as multiples of them.

use serde::Serialize;

use super::faults::Worst;

/// Limits of the control plane's cost for a node.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Limits {
    /// Processor time per second, us.
    pub cpu_us_s: f64,
    /// Memory, KiB.
    pub memory_kib: f64,
    /// Bytes sent per second.
    pub bytes_s: f64,
}

impl Limits {
    /// Limits at the target fleet size: 1.4% of a core, 128 MB, 3 KB/s.
    pub const CONTROL: Limits = Limits { cpu_us_s: 14_000.0, memory_kib: 128.0 * 1_024.0, bytes_s: 3_000.0 };

    /// Divides each of the worst figures by its limit.
    pub fn overshoot(&self, worst: &Worst, memory_kib: f64) -> Overshoot {
        Overshoot {
            mean_cpu: worst.mean_cpu_us_s / self.cpu_us_s,
            max_cpu: worst.max_cpu_us_s / self.cpu_us_s,
            mean_bytes: worst.mean_bytes_s / self.bytes_s,
            max_bytes: worst.max_bytes_s / self.bytes_s,
            memory: memory_kib / self.memory_kib,
        }
    }
}

/// Worst figures as multiples of their limits; a value above 1 exceeds the limit.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Overshoot {
    /// Processor time, mean of all nodes.
    pub mean_cpu: f64,
    /// Processor time of the node that used most.
    pub max_cpu: f64,
    /// Bytes, mean of all nodes.
    pub mean_bytes: f64,
    /// Bytes of the node that sent most.
    pub max_bytes: f64,
    /// Memory.
    pub memory: f64,
}

impl Overshoot {
    /// Returns the multiples in one line.
    pub fn text(&self) -> String {
        let multiples = [
            ("cpu, mean", self.mean_cpu),
            ("cpu, most", self.max_cpu),
            ("bytes, mean", self.mean_bytes),
            ("bytes, most", self.max_bytes),
            ("memory", self.memory),
        ];
        let parts = multiples
            .map(|(name, factor)| format!("{name} {factor:.2}{}", if factor > 1.0 { " OVER" } else { "" }));
        format!("of the limits of control (1.4% of a core, 128 MB, 3 KB/s): {}", parts.join("; "))
    }
}
