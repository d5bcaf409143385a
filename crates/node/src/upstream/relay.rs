//! A long answer as it passes from a server's connection to a client.

use std::collections::VecDeque;
use std::pin::Pin;
use std::task::{ready, Context, Poll};

use bytes::Bytes;
use hyper::body::{Body, Frame, Incoming, SizeHint};

use super::Connection;
use crate::body::{BodyPrefix, BufferReservation};
use crate::metrics::RequestEnd;

/// Takes how a long answer has ended, with its connection where that may serve another request.
type EndCallback = Box<dyn FnOnce(RequestEnd, Option<Connection>) + Send>;

/// A long answer on its way to a client. However it ends, whoever asked for that is told.
pub struct Relay {
    buffered: VecDeque<Bytes>,
    reservation: BufferReservation,
    rest: Incoming,
    bytes_left: Option<u64>, // bytes that are still to go, where the length was told
    connection: Option<Connection>,
    end_callback: Option<EndCallback>,
}

impl std::fmt::Debug for Relay {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Relay").field("left", &self.bytes_left).finish_non_exhaustive()
    }
}

impl Relay {
    /// What was gathered of the answer, and the rest, with the connection on which it comes.
    pub fn new(gathered: BodyPrefix, rest: Incoming, connection: Connection) -> Self {
        let left = rest.size_hint().exact().map(|rest| rest + gathered.bytes.len() as u64);
        let BodyPrefix { bytes: held, reservation: share, .. } = gathered;
        let held = VecDeque::from_iter(Some(held).filter(|held| !held.is_empty()));
        Relay {
            buffered: held,
            reservation: share,
            rest,
            bytes_left: left,
            connection: Some(connection),
            end_callback: None,
        }
    }

    /// Calls `report` once when it has ended.
    pub fn on_end(&mut self, report: impl FnOnce(RequestEnd, Option<Connection>) + Send + 'static) {
        self.end_callback = Some(Box::new(report));
    }

    fn end(&mut self, end: RequestEnd) {
        let connection = self.connection.take().filter(|_| end == RequestEnd::Completed);
        if let Some(report) = self.end_callback.take() {
            report(end, connection);
        }
    }
}

impl Body for Relay {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>, cx: &mut Context,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        let data = match self.buffered.pop_front() {
            Some(held) => held,
            None => {
                self.reservation = None;
                match ready!(Pin::new(&mut self.rest).poll_frame(cx)) {
                    None => {
                        self.end(RequestEnd::Completed);
                        return Poll::Ready(None);
                    }
                    Some(Err(error)) => {
                        self.end(RequestEnd::Failed);
                        return Poll::Ready(Some(Err(error)));
                    }
                    Some(Ok(frame)) => frame.into_data().unwrap_or_default(), // trailers are the hop's own
                }
            }
        };
        self.bytes_left = self.bytes_left.map(|left| left.saturating_sub(data.len() as u64));
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
        self.end(RequestEnd::ClientLeft); // nobody wants the rest; after an end it changes nothing
    }
}
