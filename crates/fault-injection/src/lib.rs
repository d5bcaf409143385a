//! Fault injection for a whole fleet: a scenario schedules faults of the processes, links and disks of a fleet, and
//! invariants are checked while it runs.
//!
//! A [`Scenario`] gives the size of the fleet, its network and its faults. [`schedule::steps`] turns the scenario and
//! its seed into timed [`schedule::Step`]s. [`virtual_time`] runs these steps against the product's own state
//! machines, with a simulated network and disk; the lab runs the same steps against real processes. Both report what
//! happens to the [`invariants`], which decide whether the run passes.
//!
//! This package does no input or output and reads no clock. Effects of the kernel, of sockets and of processor time
//! therefore only show in runs on real processes.
//!
//! ```
//! let scenario = merlinfold_fault_injection::catalogue::find("machine-drops").unwrap();
//! let first = merlinfold_fault_injection::virtual_time::simulate("machine-drops", &scenario, None).unwrap();
//! let again = merlinfold_fault_injection::virtual_time::simulate("machine-drops", &scenario, None).unwrap();
//! assert_eq!(first.violations, []);
//! assert_eq!(first.json(), again.json());
//! ```

pub mod catalogue;
pub mod configuration;
pub mod disk;
pub mod faulty_node;
pub mod html;
pub mod invariants;
pub mod link;
pub mod replicated_log;
pub mod report;
pub mod scale;
pub mod scenario;
pub mod schedule;
pub mod shrink;
pub mod virtual_time;

pub use scenario::Scenario;
