//! Connections from the kernel: taking them, and seeing that their last answers are read.

use super::*;

/// After the write side has ended, for what a client has sent before it saw that: a close over unread bytes resets
/// the connection, and with it the end of an answer that the client has not read yet.
const LINGER: Duration = Duration::from_secs(1);
const LINGER_WHEN_FULL: Duration = Duration::from_millis(100); // the same while others wait for the slot
/// After a failed accept, so as not to spin.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(10);

impl Front {
    pub(super) async fn accept(self: &Arc<Self>, listener: &TcpListener, closing: &watch::Receiver<bool>) {
        if self.capacity.clients.free() == 0 {
            increment(&self.stats.full);
        }
        while !self.capacity.clients.reclaim() {
            sleep(ACCEPT_RETRY_DELAY).await; // what is given back is for the process beside this one
        }
        let slot = self.capacity.clients.acquire().await;
        match listener.accept().await {
            Ok((stream, _)) => self.spawn_connection(stream, slot, closing),
            Err(error) => {
                warn!(%error, "accept"); // short of descriptors, or the client has left again
                sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }

    fn spawn_connection(
        self: &Arc<Self>, stream: TcpStream, slot: OwnedSemaphorePermit, closing: &watch::Receiver<bool>,
    ) {
        increment(&self.stats.accepted);
        // An error: it has ended, which its first read shows, or it is served with delays all the same.
        let _ = stream.set_nodelay(true);
        let (front, stream, closing) = (self.clone(), Arc::new(stream), closing.clone());
        tokio::spawn(async move {
            front.serve_connection(SharedStream(stream.clone()), Some(stream.clone()), closing).await;
            let _ = SockRef::from(&*stream).shutdown(Shutdown::Write); // an error: it has ended already
            let linger = if front.capacity.clients.free() == 0 { LINGER_WHEN_FULL } else { LINGER };
            let _ = timeout(linger, read_until_closed(&stream)).await;
            drop(slot);
        });
    }

    /// Takes all that the kernel has accepted, which counts as taken, and closes the listener in the moment in
    /// which nothing is left: whatever came between the two would be reset.
    pub(super) async fn drain_backlog(
        self: &Arc<Self>, listener: TcpListener, closing: &watch::Receiver<bool>,
    ) {
        let Ok(listener) = listener.into_std() else { return };
        loop {
            let slot = self.capacity.clients.acquire().await;
            match listener.accept().map(|(stream, _)| stream) {
                Ok(stream) => {
                    let stream = stream.set_nonblocking(true).and_then(|()| TcpStream::from_std(stream));
                    if let Ok(stream) = stream {
                        self.spawn_connection(stream, slot, closing);
                    }
                }
                Err(error) if matches!(error.kind(), ConnectionAborted | Interrupted) => {}
                Err(error) if error.kind() == WouldBlock => return, // nothing is left
                Err(error) => {
                    warn!(%error, "accept while leaving: tried again until the end");
                    sleep(ACCEPT_RETRY_DELAY).await;
                }
            }
        }
    }
}

/// Reads what a client still sends, until it has seen that there is nothing more to say and closes.
async fn read_until_closed(stream: &TcpStream) {
    let mut buffer = [0; 4096];
    while stream.readable().await.is_ok() {
        match stream.try_read(&mut buffer) {
            Ok(0) => return,
            Err(error) if !is_transient(&error) => return,
            _ => {}
        }
    }
}
