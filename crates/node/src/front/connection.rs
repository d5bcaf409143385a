//! One client's connection: how long it stays as it is, and why it is closed.

use super::*;

/// For the first byte on a connection that comes to a node which takes no new ones: nothing may stay open there.
const IDLE_LEAVING: Nanos = 500_000_000;
/// Between looks whether a request that has begun to come is there.
const REST: Duration = Duration::from_millis(20);
/// Bytes buffered of a request: all slots together must fit in memory.
pub(super) const MAX_HEAD: usize = 16 << 10;
/// Connections short of the most at which they are closed after their answer.
const SPARE: usize = 32;

impl Front {
    /// Serves one connection until it ends; `peer` is its socket, where there is one.
    pub(super) async fn connection(
        &self, stream: impl AsyncRead + AsyncWrite + Unpin, peer: Option<Arc<TcpStream>>,
        mut closing: watch::Receiver<bool>,
    ) {
        let mut posture = self.posture.clone();
        let ServingState { keep_alive: keeps, idle_closes: retired, .. } = *posture.borrow_and_update();
        let longest = self.deadlines.iter().copied().max().unwrap_or(0);
        let line = Arc::new(Line::new(Some(IDLE_LEAVING).filter(|_| !keeps), longest));
        let origin = Instant::now();
        let now = move || origin.elapsed().as_nanos() as Nanos;
        let due = async {
            loop {
                let (at, why) = line.due();
                match at.checked_sub(now()) {
                    None | Some(0) => return why,
                    Some(left) => sleep(Duration::from_nanos(left.min(line.step()))).await,
                }
            }
        };
        tokio::pin!(due);
        let service = service_fn(|request| {
            let first = line.begin().then_some(origin);
            let under_way = UnderWay { line: line.clone(), origin, peer: peer.clone() };
            self.answer(request, under_way, first)
        });
        let connection = http1::Builder::new()
            .timer(TokioTimer::new())
            .keep_alive(keeps)
            .header_read_timeout(None)
            .max_buf_size(MAX_HEAD)
            .serve_connection(TokioIo::new(Heard::new(stream, line.clone(), origin)), service);
        tokio::pin!(connection);
        tokio::select! {
            biased;
            ended = connection.as_mut() => return self.ended(ended),
            _ = closing.wait_for(|closing| *closing) => {}
            _ = posture.wait_for(|now| now.idle_closes > retired) => {}
            why = due.as_mut() => return self.cut(why),
        }
        // hyper closes what rests, also over the beginning of a request: that one is still answered, with a close.
        while line.has_begun() {
            tokio::select! {
                biased;
                ended = connection.as_mut() => return self.ended(ended),
                why = due.as_mut() => return self.cut(why),
                () = sleep(REST) => {}
            }
        }
        connection.as_mut().graceful_shutdown();
        tokio::select! {
            _ = connection => {} // how it ends shows at the request on it
            why = due => self.cut(why),
        }
    }

    /// Whether there is little room for further clients.
    pub(super) fn short(&self) -> bool {
        self.capacity.clients.free() < SPARE
    }

    /// Counts a connection that is closed in the middle of something.
    fn cut(&self, why: Why) {
        count(match why {
            Why::Silent => &self.tally.silent,
            Why::Still => &self.tally.still,
        });
    }

    /// Counts an end that is the peer's fault; all others show at the request on the connection.
    fn ended(&self, ended: hyper::Result<()>) {
        match ended {
            Err(error) if error.is_parse() || error.is_incomplete_message() => count(&self.tally.malformed),
            _ => {}
        }
    }
}
