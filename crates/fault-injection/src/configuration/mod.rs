//! Distribution of configuration in virtual time: the product's own machine on modelled links and disks, under one
//! schedule, with its laws watched at every event.
//!
//! The agreed log is a model ([`log::ModelLog`]): one order of announcements that a majority of the voters has to be up
//! for, compared before it is set, and heard of by other nodes after a drawn while or from other nodes.

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
