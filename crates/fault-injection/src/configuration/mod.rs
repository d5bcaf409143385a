//! Simulates the distribution of configuration in virtual time: the product's own state machine on simulated links
//! and disks, with scheduled faults and with the invariants checked on every event.
//!
//! The replicated log is a model (`log::ModelLog`): one sequence of announcements. A majority of the voters must be
//! up to append to it, and an append fails unless the expected revision is current. Nodes learn of announcements
//! after a random time, from voters or from other nodes.

mod content;
mod generate;
mod host;
mod invariants;
mod log;
mod node;
mod observing;
mod publishing;
mod simulator;

pub use content::{compose, document, patch};
pub use generate::{generate, ScenarioKind};
pub use invariants::Violation;
pub use simulator::{simulate, ConfigurationScenario, RunOutcome};
