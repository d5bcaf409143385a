//! A replicated log: every node of the fleet applies the same commands in the same order.
//!
//! The crate is a deterministic state machine. Time, datagrams, the membership's view and the results of disk writes
//! are its input; datagrams, file writes and notifications are its output. It opens no socket, reads no clock and
//! writes no file, so the same code runs in the product and, in thousands of instances, in a simulation in virtual
//! time. Consensus itself is provided by the crate `raft`. This crate decides which nodes vote, forms the first group,
//! replicates committed entries to all nodes and defines what a command does.
//!
//! Serving requests never waits for the log. A node acts on its local state, and [`Status`] says whether that state
//! is current.

pub mod applied;
pub mod command;
mod config;
mod durable;
mod machine;
mod replica;
mod wire;

pub use config::{Defect, Identity, Name, Nanos, Peer, Tuning, MS, SECOND};
pub use durable::{FileWrite, LoadError, ReplicaMetadata, StoredLog};
pub use machine::{Action, Event, Notification, ReplicatedLog, Status};
pub use wire::{
    decode, encode, Body, DatagramError, Envelope, Group, RaftEntry, RaftMessage, MAX_DATAGRAM, VERSION,
};
