//! Trials of a whole fleet: what fails between its processes, by one schedule on two clocks, and the laws that have
//! to hold all the while.
//!
//! A [`Trial`] says how large the fleet is, how its network is and what fails when. Its seed draws it into timed
//! [`schedule::Step`]s. [`virtual_time`] plays them around the product's own pure machines on a modelled network and
//! disk; the lab plays the same steps on processes. Either tells the [`laws`] what happens, and they judge.
//!
//! Nothing here does input or output or reads a clock. It shows nothing of the kernel, of sockets or of processor
//! time: that is what the other clock is for.
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
