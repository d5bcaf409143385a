//! The listening socket for clients.

use super::*;

/// Maximum number of connections that the kernel queues until they are accepted.
pub(super) const BACKLOG: u32 = 1024;

/// The listening socket for clients.
pub enum ClientListener {
    /// Listening for connections.
    Listening(TcpListener),
    /// Bound but not listening: until it listens, the kernel gives new connections to another process on the address.
    Bound(TcpSocket),
}

impl ClientListener {
    /// Starts to listen at once if `opens` is true.
    pub fn new(socket: TcpSocket, opens: bool) -> io::Result<Self> {
        if opens {
            Ok(ClientListener::Listening(socket.listen(BACKLOG)?))
        } else {
            Ok(ClientListener::Bound(socket))
        }
    }

    /// Returns the local address.
    pub fn address(&self) -> io::Result<SocketAddr> {
        match self {
            ClientListener::Listening(listener) => listener.local_addr(),
            ClientListener::Bound(socket) => socket.local_addr(),
        }
    }
}
