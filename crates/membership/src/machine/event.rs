//! What the state machine is told, and what it wants done.

use std::net::SocketAddr;

use crate::view::Change;

/// What the machine is told.
#[derive(Clone, Copy, Debug)]
pub enum Event<'a> {
    /// A datagram has come.
    Datagram {
        /// Where an answer goes.
        from: SocketAddr,
        /// It.
        bytes: &'a [u8],
    },
    /// Time has passed.
    Tick,
    /// This node leaves the fleet.
    Leave,
}

/// What it wants done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send this.
    Send {
        /// Where to.
        to: SocketAddr,
        /// What.
        bytes: Vec<u8>,
    },
    /// Something is now seen otherwise.
    Changed(Change),
}
