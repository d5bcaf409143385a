//! Measures the membership state machine alone in virtual time, by fleet size.

use merlinfold_fault_injection::scale::{simulate, Plan};
use merlinfold_membership::{Membership, Tuning};

use super::report::{Figure, Measured, Run, Sweep};
use super::resources::thread_cpu;

const CLOCK_READS: u32 = 10_000; // to measure the cost of reading the clock
const NOTE: &str =
    "Virtual time, the membership machine alone: neither sockets nor snapshots nor the simulator are in its \
                    processor time; what reading the clock costs is taken off.";

/// Runs each size. The same seed gives the same counts and bytes; processor time depends on the machine.
pub fn sweep(sizes: &[usize], seconds: u64, seed: u64) -> Sweep {
    let read_ns = clock_read_cost_ns();
    let run = |&nodes: &usize| {
        let create_machine = |identity, seed| Membership::new(identity, Tuning::default(), seed, 0);
        let measured = simulate(&Plan { nodes, seconds, seed }, create_machine, &thread_cpu);
        let machine_ns_s = (measured.machine_s - measured.calls_s * read_ns).max(0.0);
        let figures = [
            (Figure::Members, measured.entries as f64),
            (Figure::MessagesS, measured.messages_s),
            (Figure::BytesS, measured.bytes_s),
            (Figure::CpuUsS, machine_ns_s / 1e3),
        ];
        let figures = figures.map(|(figure, value)| Measured { figure, value }).to_vec();
        Run { size: nodes, machine: None, figures }
    };
    let runs = sizes.iter().map(run).collect();
    Sweep::new("membership-machine", "nodes", seconds, NOTE, runs)
}

/// Returns the processor time between two successive reads of the clock, ns.
fn clock_read_cost_ns() -> f64 {
    let begun = thread_cpu();
    (0..CLOCK_READS).for_each(|_| {
        std::hint::black_box(thread_cpu());
    });
    (thread_cpu() - begun) as f64 / f64::from(CLOCK_READS)
}
