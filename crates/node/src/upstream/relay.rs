//! A streamed response on its way from a server's connection to a client.

use std::collections::VecDeque;
use std::pin::Pin;
use std::task::{ready, Context, Poll};

use bytes::Bytes;
use hyper::body::{Body, Frame, Incoming, SizeHint};

use super::Connection;
use crate::body::{BodyPrefix, BufferedBody};
use crate::metrics::RequestEnd;

/// Receives how a streamed response has ended, and its connection if that can serve another request.
type EndCallback = Box<dyn FnOnce(RequestEnd, Option<Connection>) + Send>;

/// The body of a streamed response. The callback set by [`Relay::on_end`] is called however the response ends.
pub struct Relay {
    buffered: VecDeque<Bytes>,
    rest: Incoming,
    bytes_left: Option<u64>, // bytes still to be sent; `None` if the length is unknown
    connection: Option<Connection>,
    end_callback: Option<EndCallback>,
    failure: Option<hyper::Error>, // of the server's connection
}

impl std::fmt::Debug for Relay {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Relay").field("left", &self.bytes_left).finish_non_exhaustive()
    }
}

impl Relay {
    /// Creates the body from the prefix that was read, the rest, and the connection that it arrives on.
    pub fn new(prefix: BodyPrefix, rest: Incoming, connection: Connection) -> Self {
        let bytes_left = rest.size_hint().exact().map(|rest| rest + prefix.bytes.len() as u64);
        let buffered = BufferedBody::from(prefix).bytes;
        let buffered = VecDeque::from_iter(Some(buffered).filter(|buffered| !buffered.is_empty()));
        Relay { buffered, rest, bytes_left, connection: Some(connection), end_callback: None, failure: None }
    }

    /// Calls `callback` once, when the response has ended.
    pub fn on_end(&mut self, callback: impl FnOnce(RequestEnd, Option<Connection>) + Send + 'static) {
        self.end_callback = Some(Box::new(callback));
    }

    fn end(&mut self, end: RequestEnd) {
        let connection = self.connection.take().filter(|_| end == RequestEnd::Completed);
        if let Some(callback) = self.end_callback.take() {
            callback(end, connection);
        }
    }
}

impl Body for Relay {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>, cx: &mut Context,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        if let Some(error) = self.failure.take() {
            self.end(RequestEnd::Failed);
            return Poll::Ready(Some(Err(error)));
        }
        let data = match self.buffered.pop_front() {
            Some(buffered) => buffered,
            None => {
                match ready!(Pin::new(&mut self.rest).poll_frame(cx)) {
                    None => {
                        self.end(RequestEnd::Completed);
                        return Poll::Ready(None);
                    }
                    Some(Err(error)) => {
                        // A failure ends the client's connection: what it was given before is written first.
                        self.failure = Some(error);
                        cx.waker().wake_by_ref();
                        return Poll::Pending;
                    }
                    // Trailers are not forwarded: they belong to one hop.
                    Some(Ok(frame)) => frame.into_data().unwrap_or_default(),
                }
            }
        };
        self.bytes_left = self.bytes_left.map(|bytes_left| bytes_left.saturating_sub(data.len() as u64));
        if self.is_end_stream() {
            self.end(RequestEnd::Completed);
        }
        Poll::Ready(Some(Ok(Frame::data(data))))
    }

    fn is_end_stream(&self) -> bool {
        self.buffered.is_empty() && (self.bytes_left == Some(0) || self.rest.is_end_stream())
    }

    fn size_hint(&self) -> SizeHint {
        self.bytes_left.map_or_else(SizeHint::default, SizeHint::with_exact)
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.end(RequestEnd::ClientLeft); // the client does not read the rest; has no effect after an earlier end
    }
}
