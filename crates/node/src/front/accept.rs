//! Accepts client connections, and closes them so that clients can read their last responses.

use std::future::ready;

use super::*;

/// Time to read on after the write side is shut down, until the client closes. Closing a socket with unread bytes
/// resets the connection, and the client could lose the end of a response.
const LINGER: Duration = Duration::from_secs(1);
const LINGER_WHEN_FULL: Duration = Duration::from_millis(50); // the same while other clients wait for a slot
/// Time to read on behind a refusal: others wait for theirs.
const REFUSED_LINGER: Duration = Duration::from_millis(20);
/// The response on a connection that is not read.
const REFUSAL: &[u8] = b"HTTP/1.1 503 Service Unavailable\r\ncontent-length: 0\r\nconnection: close\r\n\r\n";
/// Time between two rounds of discarding what a client sends after its last response.
const DISCARD_INTERVAL: Duration = Duration::from_millis(5);
/// Reads of one round: enough for a long upload to get to its response within [`LINGER`], and a small part of a turn.
const DISCARD_READS: usize = 8;
/// The same after an invalid message, behind which no upload is expected.
const DISCARD_READS_WHEN_MALFORMED: usize = 1;
const DISCARD_BYTES: usize = 16 << 10;
/// Maximum number of connections that the kernel queues while the queue is emptied before the end.
const BACKLOG_WHILE_DRAINING: i32 = 0;
/// Delay after a failed accept, which keeps a repeated error from spinning.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(10);

impl Front {
    /// Accepts one connection, as soon as there is a slot for it or it can wait for one.
    pub(super) async fn accept(
        self: &Arc<Self>, listener: &TcpListener, queue: &mut AcceptQueue,
        close_requested: &watch::Receiver<bool>,
    ) {
        let place = self.acquire_place().await;
        let accept = listener.accept();
        tokio::pin!(accept);
        let accepted = tokio::select! {
            biased;
            accepted = accept.as_mut() => accepted,
            () = ready(()) => {
                let accepted = accept.await;
                queue.was_empty(); // the connection has just come
                accepted
            }
        };
        match accepted {
            Ok((stream, _)) => {
                self.place_client(queue.taken(stream), place, close_requested);
                queue.give_way().await;
            }
            Err(error) => {
                warn!(%error, "accept failed; retrying"); // out of descriptors, or the client has already left
                sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }

    /// Serves an accepted connection in its slot, or refuses it if there is no memory for it.
    pub(super) fn serve_client(
        self: &Arc<Self>, client: AcceptedClient, slot: OwnedSemaphorePermit,
        close_requested: &watch::Receiver<bool>,
    ) {
        if self.capacity.process_memory.allows(Purpose::Connection) {
            self.spawn_connection(client, slot, close_requested);
        } else {
            self.refuse_unread(client.stream, slot, "no memory for a connection");
        }
    }

    /// Refuses what comes on a connection, whatever it is.
    pub(super) fn refuse_unread(&self, stream: TcpStream, slot: OwnedSemaphorePermit, reason: &str) {
        self.refuse_for_memory(reason);
        tokio::spawn(async move {
            // A new connection has room for the response as soon as the runtime knows of it; an error ends it.
            let _ = timeout(LINGER_WHEN_FULL, stream.writable()).await;
            let _ = stream.try_write(REFUSAL);
            let _ = SockRef::from(&stream).shutdown(Shutdown::Write);
            // Behind a request that is read whole, a close resets nothing.
            if discard_input(&stream, DISCARD_READS) != Discarded::All {
                let _ = timeout(REFUSED_LINGER, read_until_closed(&stream, DISCARD_READS)).await;
            }
            drop(slot);
        });
    }

    /// Serves a connection in a task of its own, which holds the slot until the connection is closed.
    fn spawn_connection(
        self: &Arc<Self>, client: AcceptedClient, slot: OwnedSemaphorePermit,
        close_requested: &watch::Receiver<bool>,
    ) {
        increment(&self.stats.accepted);
        let AcceptedClient { stream, accepted_at } = client;
        // On an error the connection has either ended, which its first read reports, or is served with delays.
        let _ = stream.set_nodelay(true);
        let (front, stream, close_requested) = (self.clone(), Arc::new(stream), close_requested.clone());
        tokio::spawn(async move {
            let (served_stream, ends_by_close) = (SharedStream(stream.clone()), AtomicBool::new(false));
            let end = front
                .serve_connection(
                    served_stream,
                    Some(stream.clone()),
                    accepted_at,
                    close_requested,
                    &ends_by_close,
                )
                .await;
            let (peer, open_for) = (stream.peer_addr().ok(), accepted_at.elapsed());
            debug!(?peer, ?end, ?open_for, "client connection ends");
            if end == ConnectionEnd::Cut && ends_by_close.load(Ordering::Relaxed) {
                // An orderly close would end the response for its client. An error means that it has already ended.
                let _ = SockRef::from(&*stream).set_linger(Some(Duration::ZERO));
                return;
            }
            if end == ConnectionEnd::GaveWay && has_unread_bytes(&stream) {
                let _ = stream.try_write(REFUSAL); // a request has just come; an error means that its client has left
            }
            let _ = SockRef::from(&*stream).shutdown(Shutdown::Write); // an error means that it has already ended
            let reads = match end {
                ConnectionEnd::Malformed => DISCARD_READS_WHEN_MALFORMED,
                ConnectionEnd::Orderly | ConnectionEnd::Cut | ConnectionEnd::GaveWay => DISCARD_READS,
            };
            let is_full = front.capacity.clients.free() == 0;
            let slot = front.exchange_for_closing(slot);
            let linger = if is_full { LINGER_WHEN_FULL } else { LINGER };
            let _ = timeout(linger, read_until_closed(&stream, reads)).await;
            drop(slot);
        });
    }

    /// Frees the slot of a connection that is only to be closed, if many descriptors are left for clients without one.
    fn exchange_for_closing(&self, slot: OwnedSemaphorePermit) -> OwnedSemaphorePermit {
        let unserved = &self.capacity.unserved;
        let has_spare = unserved.free() > unserved.total() / 2;
        has_spare.then(|| unserved.try_acquire(1)).flatten().unwrap_or(slot)
    }

    /// Accepts all connections that the kernel has queued, which clients take for accepted, and closes the listener as
    /// soon as the queue is empty: a connection that arrives between the two would be reset.
    pub(super) async fn drain_backlog(
        self: &Arc<Self>, listener: TcpListener, mut queue: AcceptQueue,
        close_requested: &watch::Receiver<bool>,
    ) {
        // The handshakes of further clients are left to a successor, or the queue of a busy node would never be empty. An
        // error means that they go on arriving here.
        let _ = SockRef::from(&listener).listen(BACKLOG_WHILE_DRAINING);
        let Ok(listener) = listener.into_std() else { return };
        loop {
            let place = self.acquire_place().await;
            match listener.accept().map(|(stream, _)| stream) {
                Ok(stream) => {
                    let stream = stream.set_nonblocking(true).and_then(|()| TcpStream::from_std(stream));
                    if let Ok(stream) = stream {
                        self.place_client(queue.taken(stream), place, close_requested);
                    }
                }
                Err(error) if matches!(error.kind(), ConnectionAborted | Interrupted) => {}
                Err(error) if error.kind() == WouldBlock => return, // the queue is empty
                Err(error) => {
                    warn!(%error, "accept failed while draining the backlog; retrying");
                    sleep(ACCEPT_RETRY_DELAY).await;
                }
            }
        }
    }
}

/// Reads and discards what the client still sends, until it closes the connection. Between two rounds the rest waits in
/// the kernel, so that a client that sends at full speed is held back by its own connection.
async fn read_until_closed(stream: &TcpStream, reads: usize) {
    while stream.readable().await.is_ok() {
        if discard_input(stream, reads) == Discarded::End {
            return;
        }
        sleep(DISCARD_INTERVAL).await;
    }
}

/// What one round of discarding found.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Discarded {
    /// The end of the connection.
    End,
    /// Bytes, and nothing behind them.
    All,
    /// Nothing, or more than one round reads.
    NothingOrMore,
}

/// Discards what has arrived, at most `reads` times [`DISCARD_BYTES`].
fn discard_input(stream: &TcpStream, reads: usize) -> Discarded {
    let mut buffer = [0; DISCARD_BYTES];
    for round in 0..reads {
        match stream.try_read(&mut buffer) {
            Ok(0) => return Discarded::End,
            Ok(_) => {}
            Err(error) if is_transient(&error) && round > 0 => return Discarded::All,
            Err(error) if is_transient(&error) => return Discarded::NothingOrMore,
            Err(_) => return Discarded::End,
        }
    }
    Discarded::NothingOrMore
}
