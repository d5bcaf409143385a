//! A connection to a server.

use super::*;

/// Bytes of a response that a connection buffers: the buffers of all connections together must fit in memory.
pub(super) const MAX_BUFFER_BYTES: usize = 16 << 10;

/// A connection that is idle or carries one attempt; it is closed when dropped.
pub struct Connection {
    pub(super) sender: SendRequest<AttemptBody>,
    pub(super) stream: Arc<TcpStream>,
    pub(super) address: SocketAddr,
    pub(super) head_limit: Arc<HeadLimit>,
    _task: AbortOnDrop,
    pub(super) slot: OwnedSemaphorePermit,
}

/// Aborts a task when dropped.
pub(super) struct AbortOnDrop(pub(super) AbortHandle);

impl Drop for AbortOnDrop {
    fn drop(&mut self) {
        self.0.abort();
    }
}

impl Connection {
    /// Connects to `address`; the connection occupies `slot` until it is dropped.
    pub(super) async fn open(address: SocketAddr, slot: OwnedSemaphorePermit) -> io::Result<Self> {
        let stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        let stream = Arc::new(stream);
        let head_limit = HeadLimit::new();
        let io =
            TokioIo::new(FairStream::new(SharedStream(stream.clone())).with_head_limit(head_limit.clone()));
        let (sender, connection) = http1::Builder::new()
            .max_buf_size(MAX_BUFFER_BYTES)
            .handshake(io)
            .await
            .map_err(io::Error::other)?;
        let task = tokio::spawn(async move {
            // An error is reported to the attempt on this connection.
            let _ = connection.await;
        });
        Ok(Connection { sender, stream, address, head_limit, _task: AbortOnDrop(task.abort_handle()), slot })
    }

    /// Returns whether the connection is known to have ended.
    pub fn is_closed(&self) -> bool {
        self.sender.is_closed()
    }

    /// Returns whether the connection is open and has no unread bytes. Checks the socket itself, because hyper may not
    /// have noticed a close yet.
    pub(super) fn is_reusable(&self) -> bool {
        let has_no_unread_bytes = || {
            let peeked = SockRef::from(&*self.stream).peek(&mut [MaybeUninit::uninit()]);
            peeked.is_err_and(|error| error.kind() == io::ErrorKind::WouldBlock)
        };
        self.sender.is_ready() && has_no_unread_bytes()
    }
}

/// A connection that is being established.
pub type PendingConnection = Pin<Box<dyn Future<Output = io::Result<Connection>> + Send>>;
