//! Simulates the replicated log in virtual time: the product's own state machine on simulated links and disks, with
//! scheduled faults and with the invariants checked on every event.

mod generate;
mod invariants;
mod simulator;

pub use generate::generate;
pub use invariants::Violation;
pub use simulator::{simulate, LogScenario, RunOutcome};
