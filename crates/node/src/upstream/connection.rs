//! One connection to a server.

use super::*;

pub(super) const MAX_BUFFER_BYTES: usize = 16 << 10; // bytes buffered of an answer: all connections together must fit in memory

/// A connection that is not in use, or whose attempt is out; closed when it is dropped.
pub struct Connection {
    pub(super) sender: SendRequest<AttemptBody>,
    pub(super) stream: Arc<TcpStream>,
    pub(super) address: SocketAddr,
    _task: AbortOnDrop,
    pub(super) slot: OwnedSemaphorePermit,
}

pub(super) struct AbortOnDrop(pub(super) AbortHandle);

impl Drop for AbortOnDrop {
    fn drop(&mut self) {
        self.0.abort();
    }
}

impl Connection {
    pub(super) async fn open(to: SocketAddr, slot: OwnedSemaphorePermit) -> io::Result<Self> {
        let stream = TcpStream::connect(to).await?;
        stream.set_nodelay(true)?;
        let stream = Arc::new(stream);
        let io = TokioIo::new(SharedStream(stream.clone()));
        let (sender, connection) = http1::Builder::new()
            .max_buf_size(MAX_BUFFER_BYTES)
            .handshake(io)
            .await
            .map_err(io::Error::other)?;
        let task = tokio::spawn(async move {
            // How it ends shows at the attempt on it.
            let _ = connection.await;
        });
        Ok(Connection { sender, stream, address: to, _task: AbortOnDrop(task.abort_handle()), slot })
    }

    /// Whether it is known to have ended.
    pub fn is_closed(&self) -> bool {
        self.sender.is_closed()
    }

    /// Whether it is open and silent, asking the socket itself: an end may not have been noticed yet.
    pub(super) fn is_reusable(&self) -> bool {
        let silent = || {
            let peeked = SockRef::from(&*self.stream).peek(&mut [MaybeUninit::uninit()]);
            peeked.is_err_and(|error| error.kind() == io::ErrorKind::WouldBlock)
        };
        self.sender.is_ready() && silent()
    }
}

/// A connection that is coming up.
pub type PendingConnection = Pin<Box<dyn Future<Output = io::Result<Connection>> + Send>>;
