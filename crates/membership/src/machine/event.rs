//! Input events and output actions of the state machine.

use std::net::SocketAddr;

use crate::view::Change;

/// An input of the state machine.
#[derive(Clone, Copy, Debug)]
pub enum Event<'a> {
    /// A datagram was received.
    Datagram {
        /// Address to which an answer is sent.
        from: SocketAddr,
        /// Content of the datagram.
        bytes: &'a [u8],
    },
    /// Time has passed; due timers are run.
    Tick,
    /// This node is to leave the fleet.
    Leave,
}

/// An output of the state machine, to be carried out by the caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send a datagram.
    Send {
        /// Address of the receiver.
        to: SocketAddr,
        /// Content of the datagram.
        bytes: Vec<u8>,
    },
    /// The view has changed.
    Changed(Change),
}
