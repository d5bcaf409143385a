//! Trials on sockets and processes, and their command.

pub mod agreed;
pub mod command;
pub mod faulty;
pub mod members;
pub mod processes;
pub mod relay;
