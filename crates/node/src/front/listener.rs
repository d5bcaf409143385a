//! The socket at which clients connect.

use super::*;

/// Connections that the kernel holds until they are accepted.
pub(super) const BACKLOG: u32 = 1024;

/// The socket at which clients connect.
pub enum ClientListener {
    /// It accepts connections.
    Listening(TcpListener),
    /// Bound only: until it listens the kernel brings clients to another process on the address.
    Bound(TcpSocket),
}

impl ClientListener {
    /// Listens now if clients may come.
    pub fn new(socket: TcpSocket, opens: bool) -> io::Result<Self> {
        if opens {
            Ok(ClientListener::Listening(socket.listen(BACKLOG)?))
        } else {
            Ok(ClientListener::Bound(socket))
        }
    }

    /// Its address.
    pub fn address(&self) -> io::Result<SocketAddr> {
        match self {
            ClientListener::Listening(listener) => listener.local_addr(),
            ClientListener::Bound(socket) => socket.local_addr(),
        }
    }
}
