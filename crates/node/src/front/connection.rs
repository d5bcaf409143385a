//! Serves one client connection and closes it on a timeout or when the node drains.

use super::*;

/// Time for the first byte on a connection accepted while the node drains: no connection may stay open there.
const DRAINING_IDLE_TIMEOUT: Nanos = 500_000_000;
/// Interval between checks whether a partially received request is complete.
const PARTIAL_REQUEST_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Time from the accept within which a client that connects for a request sends its first byte.
const FIRST_BYTE_TIME: Duration = Duration::from_millis(100);
/// Time without a byte after which a response that was handed to the connection has been written.
const RESPONSE_WRITE_TIME: Nanos = 50_000_000;
/// Bytes of a request that a connection buffers: the buffers of all slots together must fit in memory.
pub(super) const MAX_BUFFER_BYTES: usize = 16 << 10;

/// Number of free slots below which connections are closed after their response.
const KEEP_ALIVE_RESERVE: usize = 32;

/// How a connection was served.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ConnectionEnd {
    /// Between messages, or in the middle of a request.
    Orderly,
    /// In the middle of a message, perhaps of a response.
    Cut,
    /// After an invalid message.
    Malformed,
    /// For others that wait, or for the end of the process, while no request was in progress.
    GaveWay,
}

impl Front {
    /// Serves one connection, accepted at `accepted_at`, until it ends. `client_socket` is its socket, if it has one. Sets `ends_by_close` when a
    /// response has no other end than that of the connection.
    pub(super) async fn serve_connection(
        &self, stream: impl AsyncRead + AsyncWrite + Unpin, client_socket: Option<Arc<TcpStream>>,
        accepted_at: Instant, mut close_requested: watch::Receiver<bool>, ends_by_close: &AtomicBool,
    ) -> ConnectionEnd {
        let mut posture = self.posture.clone();
        let ServingState { keep_alive: keeps, idle_closes: retired, .. } = *posture.borrow_and_update();
        let longest_deadline = self.deadlines.iter().copied().max().unwrap_or(0);
        let timeouts = Arc::new(ConnectionTimeouts::new(
            Some(DRAINING_IDLE_TIMEOUT).filter(|_| !keeps),
            longest_deadline,
        ));
        let now = move || accepted_at.elapsed().as_nanos() as Nanos;
        let has_input = match &client_socket {
            Some(client_socket) => has_input(client_socket).await,
            None => false,
        };
        timeouts.serving_started(now(), has_input);
        let _open = self.open.add(&timeouts, accepted_at);
        let mut drain = close_requested.clone();
        let timed_out = async {
            loop {
                let (at, reason) = timeouts.deadline();
                let time_left = at.saturating_sub(now());
                if time_left == 0 {
                    return reason;
                }
                tokio::select! {
                    () = sleep(Duration::from_nanos(time_left.min(timeouts.poll_interval()))) => {}
                    reason = evicted(&timeouts, now) => return reason,
                    _ = drain.wait_for(|started| *started), if !timeouts.is_draining() => {
                        timeouts.drain_started(now());
                    }
                }
            }
        };
        tokio::pin!(timed_out);
        let service = service_fn(|request: Request<Incoming>| {
            let is_http_1_0 = request.version() == Version::HTTP_10;
            let first_request_since = timeouts.request_started().then_some(accepted_at);
            let active_request = ActiveRequest {
                timeouts: timeouts.clone(),
                accepted_at,
                client_socket: client_socket.clone(),
            };
            async move {
                let response = self.handle_request(request, active_request, first_request_since).await;
                let has_length = response.as_ref().is_ok_and(|r| r.body().size_hint().exact().is_some());
                ends_by_close.store(is_http_1_0 && !has_length, Ordering::Relaxed);
                response
            }
        });
        let connection = http1::Builder::new()
            .timer(TokioTimer::new())
            .keep_alive(keeps)
            .header_read_timeout(None)
            .max_buf_size(MAX_BUFFER_BYTES)
            .serve_connection(
                TokioIo::new(MonitoredStream::new(stream, timeouts.clone(), accepted_at)),
                service,
            );
        tokio::pin!(connection);
        tokio::select! {
            biased;
            result = connection.as_mut() => return self.count_end(result),
            _ = close_requested.wait_for(|requested| *requested) => {}
            _ = posture.wait_for(|now| now.idle_closes > retired) => {}
            reason = timed_out.as_mut() => return self.count_timeout(reason),
        }
        // A graceful shutdown by hyper closes an idle connection even when part of a request has arrived. Such a
        // request is answered first, with `Connection: close`. So is the one that a client has just connected for.
        let is_new = || !timeouts.is_used() && accepted_at.elapsed() < FIRST_BYTE_TIME;
        while timeouts.has_partial_request() || is_new() {
            tokio::select! {
                biased;
                result = connection.as_mut() => return self.count_end(result),
                reason = timed_out.as_mut() => return self.count_timeout(reason),
                () = sleep(PARTIAL_REQUEST_POLL_INTERVAL) => {}
            }
        }
        // Of a request that has just come, the library would read nothing, and close without an answer.
        let is_written = timeouts.still_for(now()).is_some_and(|still| still >= RESPONSE_WRITE_TIME);
        if timeouts.has_no_request() && (is_written || !timeouts.is_used()) {
            return ConnectionEnd::GaveWay;
        }
        connection.as_mut().graceful_shutdown();
        tokio::select! {
            result = connection => self.count_end(result),
            reason = timed_out => self.count_timeout(reason),
        }
    }

    /// Returns whether few slots are left for further clients.
    pub(super) fn is_nearly_full(&self) -> bool {
        self.capacity.clients.free() < KEEP_ALIVE_RESERVE
    }

    /// Counts a connection that a timeout closes.
    fn count_timeout(&self, reason: CloseReason) -> ConnectionEnd {
        let (count, end) = match reason {
            CloseReason::Evicted => return ConnectionEnd::GaveWay, // counted as it was chosen
            CloseReason::NoRequest => (&self.stats.silent, ConnectionEnd::Orderly),
            CloseReason::Stalled => (&self.stats.stalled, ConnectionEnd::Cut),
            CloseReason::DrainLimit => (&self.stats.cut_by_drain, ConnectionEnd::Cut),
            CloseReason::SlowReader => (&self.stats.slow_readers, ConnectionEnd::Cut),
        };
        increment(count);
        if self.posture.borrow().stop.is_some() {
            info!(?reason, "client connection closed by a timeout while the node stops");
        }
        end
    }

    /// Counts a connection that ends because of an invalid or incomplete message; other errors are reported to the
    /// request on it.
    fn count_end(&self, result: hyper::Result<()>) -> ConnectionEnd {
        match result {
            Err(error) if error.is_parse() || error.is_incomplete_message() => {
                increment(&self.stats.malformed);
                ConnectionEnd::Malformed
            }
            Err(error) if error.is_user() => ConnectionEnd::Cut, // the body of a response failed
            _ => ConnectionEnd::Orderly,
        }
    }
}

/// Waits until the connection is to give way to others, and can: no request on it is owed an answer and a last response
/// has had time to be written, or its client reads a response too slowly. A request that is being received is refused by
/// its handler.
async fn evicted(timeouts: &ConnectionTimeouts, now: impl Fn() -> Nanos) -> CloseReason {
    timeouts.wait_for_eviction().await;
    loop {
        if timeouts.unread_too_long(now()).is_some() {
            return CloseReason::SlowReader;
        }
        let still_for = timeouts.still_for(now()).filter(|_| timeouts.has_no_request());
        if still_for.is_some_and(|still| still >= RESPONSE_WRITE_TIME) {
            return CloseReason::Evicted;
        }
        sleep(PARTIAL_REQUEST_POLL_INTERVAL).await;
    }
}
