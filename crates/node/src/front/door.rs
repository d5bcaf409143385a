//! Where clients come in.

use super::*;

/// Where clients come in.
pub enum Door {
    /// They may come at once.
    Open(TcpListener),
    /// Bound only: until it listens the kernel brings clients to another process on the address.
    Shut(TcpSocket),
}

impl Door {
    /// Listens now if clients may come.
    pub fn new(socket: TcpSocket, opens: bool) -> io::Result<Self> {
        Ok(if opens { Door::Open(socket.listen(BACKLOG)?) } else { Door::Shut(socket) })
    }

    /// Where that is.
    pub fn address(&self) -> io::Result<SocketAddr> {
        match self {
            Door::Open(listener) => listener.local_addr(),
            Door::Shut(socket) => socket.local_addr(),
        }
    }
}

pub(super) const BACKLOG: u32 = 1024; // connections that the kernel holds until they are accepted
