//! What a node's data plane costs by the size of the fleet: servers, services and tenants.
//!
//! A service stands here for what the settings can express of one: a class of requests that may run only on its own
//! kind of machine. Each point of a range is measured in a process of its own, so that what one size leaves behind in
//! memory and caches does not count for the next.

pub mod command;
pub mod connections;
pub mod fit;
pub mod fleet;
pub mod model;
pub mod point;
pub mod ranges;
pub mod report;
pub mod stopwatch;
