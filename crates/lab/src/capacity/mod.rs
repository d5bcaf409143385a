//! Measures what a node's data plane costs, by the number of servers, services and tenants.
//!
//! The settings have no services, so a service is modelled as a class of requests that may run only on its own host
//! type. Each point of a range is measured in a process of its own, so that memory and caches left by one size do not
//! affect the next.

pub mod command;
pub mod connections;
pub mod fit;
pub mod fleet;
pub mod model;
pub mod point;
pub mod ranges;
pub mod report;
pub mod stopwatch;
