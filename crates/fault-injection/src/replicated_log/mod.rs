//! The agreed log in virtual time: the product's own machine on modelled links and disks, under one schedule, with its
//! laws watched at every event.

mod generate;
mod invariants;
mod simulator;

pub use generate::generate;
pub use invariants::Violation;
pub use simulator::{simulate, LogScenario, RunOutcome};
