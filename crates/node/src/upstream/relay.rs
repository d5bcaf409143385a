//! A long answer as it passes from a server's connection to a client.

use std::collections::VecDeque;
use std::pin::Pin;
use std::task::{ready, Context, Poll};

use bytes::Bytes;
use hyper::body::{Body, Frame, Incoming, SizeHint};

use super::Connection;
use crate::body::{Gathered, Share};
use crate::figures::End;

/// Takes how a long answer has ended, with its connection where that may serve another request.
type EndReport = Box<dyn FnOnce(End, Option<Connection>) + Send>;

/// A long answer on its way to a client. However it ends, whoever asked for that is told.
pub struct Relay {
    held: VecDeque<Bytes>,
    share: Share,
    rest: Incoming,
    left: Option<u64>, // bytes that are still to go, where the length was told
    connection: Option<Connection>,
    report: Option<EndReport>,
}

impl std::fmt::Debug for Relay {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Relay").field("left", &self.left).finish_non_exhaustive()
    }
}

impl Relay {
    /// What was gathered of the answer, and the rest, with the connection on which it comes.
    pub fn new(gathered: Gathered, rest: Incoming, connection: Connection) -> Self {
        let left = rest.size_hint().exact().map(|rest| rest + gathered.held.len() as u64);
        let Gathered { held, share, .. } = gathered;
        let held = VecDeque::from_iter(Some(held).filter(|held| !held.is_empty()));
        Relay { held, share, rest, left, connection: Some(connection), report: None }
    }

    /// Calls `report` once when it has ended.
    pub fn on_end(&mut self, report: impl FnOnce(End, Option<Connection>) + Send + 'static) {
        self.report = Some(Box::new(report));
    }

    fn end(&mut self, end: End) {
        let connection = self.connection.take().filter(|_| end == End::Completed);
        if let Some(report) = self.report.take() {
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
        let data = match self.held.pop_front() {
            Some(held) => held,
            None => {
                self.share = None;
                match ready!(Pin::new(&mut self.rest).poll_frame(cx)) {
                    None => {
                        self.end(End::Completed);
                        return Poll::Ready(None);
                    }
                    Some(Err(error)) => {
                        self.end(End::Failed);
                        return Poll::Ready(Some(Err(error)));
                    }
                    Some(Ok(frame)) => frame.into_data().unwrap_or_default(), // trailers are the hop's own
                }
            }
        };
        self.left = self.left.map(|left| left.saturating_sub(data.len() as u64));
        if self.is_end_stream() {
            self.end(End::Completed);
        }
        Poll::Ready(Some(Ok(Frame::data(data))))
    }

    fn is_end_stream(&self) -> bool {
        self.held.is_empty() && (self.left == Some(0) || self.rest.is_end_stream())
    }

    fn size_hint(&self) -> SizeHint {
        self.left.map_or_else(SizeHint::default, SizeHint::with_exact)
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.end(End::Left); // nobody wants the rest; after an end it changes nothing
    }
}
