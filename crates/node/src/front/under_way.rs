//! A request that waits for its answer, and its client's leaving.

use super::*;

/// Between looks at a client that has sent more than its request: hyper does not read on then, and would not see it
/// leave. An attempt must not begin 100 ms after that.
pub(super) const LOOK: Duration = Duration::from_millis(40);

/// A request from its head to the end of its answer.
pub(super) struct UnderWay {
    pub(super) line: Arc<Line>,
    pub(super) origin: Instant,
    pub(super) peer: Option<Arc<TcpStream>>,
}

impl UnderWay {
    /// Waits until the client has left behind more bytes than its request; without such hyper sees it itself.
    pub(super) async fn left(&self) {
        let Some(peer) = &self.peer else { return pending().await };
        loop {
            sleep(LOOK).await;
            if has_left(peer).await {
                return;
            }
        }
    }
}

/// Whether the other side has ended its writing, as the kernel tells it beside what is still to be read.
pub(super) async fn has_left(peer: &TcpStream) -> bool {
    tokio::select! {
        biased;
        ready = peer.ready(Interest::READABLE) => ready.is_ok_and(|ready| ready.is_read_closed()),
        () = std::future::ready(()) => false,
    }
}

impl Drop for UnderWay {
    fn drop(&mut self) {
        self.line.free(self.origin.elapsed().as_nanos() as Nanos);
    }
}

/// Tells the driver when hyper gives a request up because its client has left.
pub(super) struct Waiting<'a> {
    pub(super) inputs: &'a UnboundedSender<Input>,
    pub(super) id: RequestId,
    pub(super) over: &'a CancellationToken,
    pub(super) answered: bool,
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        if !self.answered {
            self.over.cancel(); // at once: the driver may have much to do before it comes to this
            let _ = self.inputs.send(Input::Gone(self.id));
        }
    }
}
