//! The agreed log: one order of commands for the whole fleet.
//!
//! A pure machine. Time, datagrams, the membership's view and word of the disk come in; datagrams, writes and notes
//! come out. It opens no socket, reads no clock and writes no file: the same code runs in the product and, by the
//! thousand, in virtual time. Consensus is the crate `raft`'s; who may vote, how a group is founded, how every node
//! comes by what is agreed and what a command does are here.
//!
//! Nothing that serves waits for it. What a node acts on is the state that it holds, which says how old it may be.

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
