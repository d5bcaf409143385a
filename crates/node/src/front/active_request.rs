//! A request in progress, and detection of a client that disconnects before its response.

use super::*;

/// Interval between checks of a client that has sent more than its request: hyper stops reading then, and would not
/// notice a disconnect. No attempt may begin later than 100 ms after a disconnect.
pub(super) const DISCONNECT_POLL_INTERVAL: Duration = Duration::from_millis(40);

/// A request from its head to the end of its response.
pub(super) struct ActiveRequest {
    pub(super) timeouts: Arc<ConnectionTimeouts>,
    /// When the connection was accepted.
    pub(super) accepted_at: Instant,
    /// The socket on which a disconnect is detected while hyper does not read; `None` if the stream is not a socket.
    pub(super) client_socket: Option<Arc<TcpStream>>,
}

impl ActiveRequest {
    /// Returns whether the client has disconnected already.
    pub(super) async fn has_disconnected(&self) -> bool {
        match &self.client_socket {
            Some(client_socket) => has_disconnected(client_socket).await,
            None => false,
        }
    }

    /// Waits until the client has disconnected while bytes beyond its request are unread; without such bytes hyper
    /// notices a disconnect itself.
    pub(super) async fn wait_for_disconnect(&self) {
        let Some(client_socket) = &self.client_socket else { return pending().await };
        loop {
            sleep(DISCONNECT_POLL_INTERVAL).await;
            if has_disconnected(client_socket).await {
                return;
            }
        }
    }
}

impl Drop for ActiveRequest {
    fn drop(&mut self) {
        self.timeouts.response_ended(self.accepted_at.elapsed().as_nanos() as Nanos);
    }
}

/// Cancels a request and notifies the driver when hyper drops it because its client has left.
pub(super) struct CancelOnDrop<'a> {
    pub(super) inputs: &'a UnboundedSender<Input>,
    pub(super) id: RequestId,
    pub(super) cancellation: &'a CancellationToken,
    pub(super) answered: bool,
}

impl Drop for CancelOnDrop<'_> {
    fn drop(&mut self) {
        if !self.answered {
            self.cancellation.cancel(); // at once, since the driver may have many inputs queued before this one
            let _ = self.inputs.send(Input::ClientLeft(self.id));
        }
    }
}
