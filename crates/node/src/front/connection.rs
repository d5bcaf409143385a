//! One client's connection: how long it stays as it is, and why it is closed.

use super::*;

/// For the first byte on a connection that comes to a node which takes no new ones: nothing may stay open there.
const DRAINING_IDLE_TIMEOUT: Nanos = 500_000_000;
/// Between looks whether a request that has begun to come is there.
const PARTIAL_REQUEST_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Bytes buffered of a request: all slots together must fit in memory.
pub(super) const MAX_BUFFER_BYTES: usize = 16 << 10;
/// Connections short of the most at which they are closed after their answer.
const KEEP_ALIVE_RESERVE: usize = 32;

impl Front {
    /// Serves one connection until it ends; `peer` is its socket, where there is one.
    pub(super) async fn serve_connection(
        &self, stream: impl AsyncRead + AsyncWrite + Unpin, peer: Option<Arc<TcpStream>>,
        mut closing: watch::Receiver<bool>,
    ) {
        let mut posture = self.posture.clone();
        let ServingState { keep_alive: keeps, idle_closes: retired, .. } = *posture.borrow_and_update();
        let longest = self.deadlines.iter().copied().max().unwrap_or(0);
        let line = Arc::new(ConnectionTimeouts::new(Some(DRAINING_IDLE_TIMEOUT).filter(|_| !keeps), longest));
        let origin = Instant::now();
        let now = move || origin.elapsed().as_nanos() as Nanos;
        let due = async {
            loop {
                let (at, why) = line.deadline();
                match at.checked_sub(now()) {
                    None | Some(0) => return why,
                    Some(left) => sleep(Duration::from_nanos(left.min(line.poll_interval()))).await,
                }
            }
        };
        tokio::pin!(due);
        let service = service_fn(|request| {
            let first = line.request_started().then_some(origin);
            let under_way =
                ActiveRequest { timeouts: line.clone(), accepted_at: origin, client_socket: peer.clone() };
            self.handle_request(request, under_way, first)
        });
        let connection = http1::Builder::new()
            .timer(TokioTimer::new())
            .keep_alive(keeps)
            .header_read_timeout(None)
            .max_buf_size(MAX_BUFFER_BYTES)
            .serve_connection(TokioIo::new(MonitoredStream::new(stream, line.clone(), origin)), service);
        tokio::pin!(connection);
        tokio::select! {
            biased;
            ended = connection.as_mut() => return self.count_end(ended),
            _ = closing.wait_for(|closing| *closing) => {}
            _ = posture.wait_for(|now| now.idle_closes > retired) => {}
            why = due.as_mut() => return self.count_timeout(why),
        }
        // hyper closes what rests, also over the beginning of a request: that one is still answered, with a close.
        while line.has_partial_request() {
            tokio::select! {
                biased;
                ended = connection.as_mut() => return self.count_end(ended),
                why = due.as_mut() => return self.count_timeout(why),
                () = sleep(PARTIAL_REQUEST_POLL_INTERVAL) => {}
            }
        }
        connection.as_mut().graceful_shutdown();
        tokio::select! {
            _ = connection => {} // how it ends shows at the request on it
            why = due => self.count_timeout(why),
        }
    }

    /// Whether there is little room for further clients.
    pub(super) fn is_nearly_full(&self) -> bool {
        self.capacity.clients.free() < KEEP_ALIVE_RESERVE
    }

    /// Counts a connection that is closed in the middle of something.
    fn count_timeout(&self, why: CloseReason) {
        increment(match why {
            CloseReason::NoRequest => &self.stats.silent,
            CloseReason::Stalled => &self.stats.stalled,
        });
    }

    /// Counts an end that is the peer's fault; all others show at the request on the connection.
    fn count_end(&self, ended: hyper::Result<()>) {
        match ended {
            Err(error) if error.is_parse() || error.is_incomplete_message() => {
                increment(&self.stats.malformed)
            }
            _ => {}
        }
    }
}
