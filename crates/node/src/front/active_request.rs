//! A request that waits for its answer, and its client's leaving.

use super::*;

/// Between looks at a client that has sent more than its request: hyper does not read on then, and would not see it
/// leave. An attempt must not begin 100 ms after that.
pub(super) const DISCONNECT_POLL_INTERVAL: Duration = Duration::from_millis(40);

/// A request from its head to the end of its answer.
pub(super) struct ActiveRequest {
    pub(super) timeouts: Arc<ConnectionTimeouts>,
    pub(super) accepted_at: Instant,
    pub(super) client_socket: Option<Arc<TcpStream>>,
}

impl ActiveRequest {
    /// Waits until the client has left behind more bytes than its request; without such hyper sees it itself.
    pub(super) async fn wait_for_disconnect(&self) {
        let Some(peer) = &self.client_socket else { return pending().await };
        loop {
            sleep(DISCONNECT_POLL_INTERVAL).await;
            if has_disconnected(peer).await {
                return;
            }
        }
    }
}

/// Whether the other side has ended its writing, as the kernel tells it beside what is still to be read.
pub(super) async fn has_disconnected(peer: &TcpStream) -> bool {
    tokio::select! {
        biased;
        ready = peer.ready(Interest::READABLE) => ready.is_ok_and(|ready| ready.is_read_closed()),
        () = std::future::ready(()) => false,
    }
}

impl Drop for ActiveRequest {
    fn drop(&mut self) {
        self.timeouts.response_ended(self.accepted_at.elapsed().as_nanos() as Nanos);
    }
}

/// Tells the driver when hyper gives a request up because its client has left.
pub(super) struct CancelOnDrop<'a> {
    pub(super) inputs: &'a UnboundedSender<Input>,
    pub(super) id: RequestId,
    pub(super) cancellation: &'a CancellationToken,
    pub(super) answered: bool,
}

impl Drop for CancelOnDrop<'_> {
    fn drop(&mut self) {
        if !self.answered {
            self.cancellation.cancel(); // at once: the driver may have much to do before it comes to this
            let _ = self.inputs.send(Input::ClientLeft(self.id));
        }
    }
}
