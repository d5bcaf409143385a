//! Runs fault-injection scenarios on node processes and real sockets, and provides the `trial` command.

pub mod command;
pub mod faulty_disk;
pub mod log_proposals;
pub mod members;
pub mod processes;
pub mod relay;
