//! Connections to servers, attempts on them, and the outcomes of attempts.

use std::collections::{BTreeMap, VecDeque};
use std::future::Future;
use std::io;
use std::mem::MaybeUninit;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, Weak};

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use hyper::client::conn::http1::{self, SendRequest};
use hyper::header::{self, HeaderMap, HeaderName, HeaderValue};
use hyper::{Method, Request, Response, StatusCode, Uri};
use hyper_util::rt::TokioIo;
use socket2::SockRef;
use tokio::net::TcpStream;
use tokio::sync::OwnedSemaphorePermit;
use tokio::task::{yield_now, AbortHandle};
use tokio::time::{timeout, timeout_at, Duration, Instant};
use tokio_util::sync::CancellationToken;
use tracing::debug;

use crate::body::{buffer_body, AttemptBody, BufferBudget, BufferedBody, OnTimeout, Upload, WithoutMemory};
use crate::capacity::Slots;
use crate::clock::Clock;
use crate::fair_stream::{FairStream, HeadLimit};
use crate::metrics::AttemptCounter;
use crate::stream::{has_disconnected, limit_unsent_bytes, SharedStream};
use merlinfold_decide::interface::{LoadReport, Nanos, ServerId, Status};
use merlinfold_settings::{set_load_metric, HostLimits};

mod connection;
mod load_report;
mod pool;
mod relay;
mod request;
mod server;

use connection::AbortOnDrop;
pub use connection::{Connection, PendingConnection};
use load_report::load_report;
pub use pool::{ConnectionSource, Pool};
pub use relay::Relay;
pub use request::{RequestBody, UpstreamRequest};
pub use server::Server;

/// Time for which a response of unknown length is buffered before it is streamed.
const UNKNOWN_LENGTH_BUFFERING: Duration = Duration::from_millis(20);
/// The same for a response of known length: longer than any attempt, whose timeout ends it first.
const KNOWN_LENGTH_BUFFERING: Duration = Duration::from_secs(86_400);

/// Time beyond that of the client at which a streamed request ends whose last byte may have been written long ago. An
/// answer may come up to 0.5 s late, and the last byte may have been written later.
const OVERDUE_MARGIN: Nanos = 200_000_000;

/// A time that is never reached.
pub const NEVER: Nanos = Nanos::MAX;

/// The body of a response with status 200, and the headers that describe it.
#[derive(Debug)]
pub struct ServerResponse {
    pub content_type: Option<HeaderValue>,
    /// `Content-Length`, which the reply to a HEAD request repeats.
    pub length: Option<HeaderValue>,
    pub body: ServerResponseBody,
}

/// The body of a response.
#[derive(Debug)]
pub enum ServerResponseBody {
    /// Complete, in memory.
    Buffered(BufferedBody),
    /// Streamed from the server.
    Streamed(Box<Relay>),
}

/// How an attempt ended.
pub struct AttemptOutcome {
    pub status: Status,
    pub response: Option<ServerResponse>,
    /// The load report in the response.
    pub report: Option<LoadReport>,
    /// When the last byte of the request was handed to the connection, from which the server works on it. `None`:
    /// never.
    pub sent_at: Option<Nanos>,
    /// The connection, if the next attempt can use it.
    pub connection: Option<Connection>,
    /// A connection that is still being established and that the next attempt can use.
    pub pending_connection: Option<PendingConnection>,
}

impl From<Status> for AttemptOutcome {
    fn from(status: Status) -> Self {
        AttemptOutcome {
            status,
            response: None,
            report: None,
            sent_at: None,
            connection: None,
            pending_connection: None,
        }
    }
}

/// One attempt to have a server answer a request.
pub struct Attempt {
    pub server: Arc<Server>,
    pub request: Arc<UpstreamRequest>,
    /// Time to wait for the response from when the request is handed to a connection, or from the last byte of a
    /// streamed request; before that byte, longest time for which the server may take nothing of it. The time to connect is not counted as a slow response of the server.
    pub response_timeout: Nanos,
    /// When to give up in any case. For a streamed request the time until then counts from its last byte.
    pub deadline: Nanos,
    /// When the module chose the server.
    pub started: Nanos,
    /// Latest time at which the request may be written.
    pub write_by: Nanos,
    pub buffer_budget: BufferBudget,
    pub connect_timeout: Nanos,
    pub clock: Clock,
    /// Counts the attempt once its last byte is handed to the connection.
    pub sent_attempts: AttemptCounter,
}

impl Attempt {
    /// Runs until there is a response or a timeout; a timeout closes the connection.
    pub async fn run(self, source: ConnectionSource) -> AttemptOutcome {
        let slot = match source {
            ConnectionSource::Pooled(connection) => match self.exchange(connection).await {
                Ok(outcome) => return outcome,
                // The pooled connection had ended and nothing was written, so the attempt uses a new one.
                Err(unsent) => unsent.slot,
            },
            ConnectionSource::Connect(slot) => slot,
        };
        match self.connect(slot).await {
            Ok(connection) => {
                self.exchange(connection).await.unwrap_or_else(|_| Status::ConnectFailed.into())
            }
            Err(outcome) => outcome,
        }
    }

    /// Opens a connection. If that takes too long, or the client leaves meanwhile, the outcome has the pending
    /// connection.
    async fn connect(&self, slot: OwnedSemaphorePermit) -> Result<Connection, AttemptOutcome> {
        let now = self.clock.now();
        let time_left =
            if self.request.upload().is_some() { NEVER } else { self.deadline.saturating_sub(now) };
        let time_left = time_left.min(self.write_by.saturating_sub(now));
        let connect_timeout = Duration::from_nanos(self.connect_timeout.min(time_left));
        let mut pending_connection: PendingConnection = Box::pin(Connection::open(self.server.address, slot));
        let status = tokio::select! {
            biased;
            () = self.request.cancellation.cancelled() => Status::NotSent,
            connected = timeout(connect_timeout, &mut pending_connection) => match connected {
                Ok(Ok(connection)) => return Ok(connection),
                Ok(Err(_)) => return Err(Status::ConnectFailed.into()),
                Err(_) => Status::ConnectFailed,
            },
        };
        Err(AttemptOutcome { pending_connection: Some(pending_connection), ..status.into() })
    }

    /// Sends the request on this connection and waits for the response. Returns the connection as an error if it is
    /// certain that nothing was written.
    async fn exchange(&self, connection: Connection) -> Result<AttemptOutcome, Connection> {
        self.request.cancel_if_client_left().await;
        let now = self.clock.now();
        if !self.server.accepts_sends(now) {
            return Ok(Status::NotSent.into());
        }
        if self.request.cancellation.is_cancelled() || now >= self.write_by {
            return Ok(AttemptOutcome { connection: Some(connection), ..Status::NotSent.into() });
        }
        if let Some(upload) = self.request.upload() {
            let client_time = self.deadline.saturating_sub(self.started);
            let response_timeout = self.response_timeout.min(client_time);
            let stream = connection.stream.clone();
            limit_unsent_bytes(&stream);
            let outcome = tokio::select! {
                outcome = self.send(connection, response_timeout) => outcome?,
                () = upload.wait_until_due(response_timeout) => Status::Timeout.into(),
                () = upload.wait_until_blocked(now, response_timeout) => {
                    self.give_up_sending(upload, &stream, Status::ConnectFailed, "the server takes no more of the request")
                }
                () = upload.wait_until_overdue(client_time + OVERDUE_MARGIN) => {
                    self.give_up_sending(upload, &stream, Status::ConnectFailed, "the client's time may be over")
                }
                () = upload.wait_until_abandoned() => {
                    self.give_up_sending(upload, &stream, Status::NotSent, "the client gives way to others")
                }
            };
            return Ok(AttemptOutcome { sent_at: upload.completed_at(), ..outcome });
        }
        let deadline = now.saturating_add(self.response_timeout).min(self.deadline);
        let sent = self.send(connection, deadline.saturating_sub(now));
        let outcome = match timeout_at(self.clock.instant(deadline), sent).await {
            Ok(outcome) => outcome?,
            Err(_) => Status::Timeout.into(),
        };
        Ok(AttemptOutcome { sent_at: Some(now), ..outcome })
    }

    /// Ends a streamed request that has no response yet. Its status is `unsent` if no server can run it any more.
    fn give_up_sending(
        &self, upload: &Upload, stream: &TcpStream, unsent: Status, reason: &str,
    ) -> AttemptOutcome {
        reset_when_closed(stream);
        let status = if upload.abandon() { unsent } else { Status::Reset };
        let (txn, server) = (self.request.transaction_id(), self.server.address);
        debug!(txn, %server, ?status, reason, "attempt given up");
        status.into()
    }

    /// Sends the request and receives the response, without a timeout; errors as in [`Self::exchange`].
    async fn send(
        &self, mut connection: Connection, response_timeout: Nanos,
    ) -> Result<AttemptOutcome, Connection> {
        let upload = self.request.upload();
        let request = self.request.build(
            self.server.address,
            Duration::from_nanos(response_timeout),
            &self.sent_attempts,
        );
        connection.head_limit.head_awaited();
        let sent = connection.sender.try_send_request(request);
        // A streamed request is counted by its body. A buffered one that turns out to be unsent is counted one too many
        // until it is decremented below, and is then sent on another connection at once.
        if upload.is_none() {
            self.sent_attempts.increment();
        }
        match sent.await {
            Ok(response) => {
                connection.head_limit.head_received();
                if let Some(upload) = upload {
                    upload.response_begun();
                }
                Ok(self.receive(connection, response).await)
            }
            Err(mut error) => match error.take_message() {
                Some(_unsent) => {
                    if upload.is_none() {
                        self.sent_attempts.decrement();
                    }
                    Err(connection)
                }
                None => {
                    let status = self.status_without_response();
                    debug!(
                        txn = self.request.transaction_id(),
                        server = %self.server.address,
                        ?status,
                        error = %error.error(),
                        "connection ended before the response"
                    );
                    Ok(status.into())
                }
            },
        }
    }

    /// The outcome of a request that was at least partly written and got no whole response. No server starts on a request
    /// before its last byte, unless its response shows otherwise; a client that stopped sending is not the server's fault.
    fn status_without_response(&self) -> Status {
        match self.request.upload() {
            Some(upload) if upload.is_stalled() || upload.is_abandoned() => Status::NotSent,
            Some(upload) if !upload.may_have_run() => Status::ConnectFailed,
            _ => Status::Reset,
        }
    }

    /// Reads the response and determines the outcome of the attempt.
    async fn receive(&self, connection: Connection, response: Response<Incoming>) -> AttemptOutcome {
        let (mut head, mut body) = response.into_parts();
        let report = head.headers.get("x-pressure").and_then(load_report);
        let turned_away = head.headers.get("x-turned-away").is_some_and(|value| value == "1");
        let status = match head.status {
            StatusCode::OK => Status::Ok,
            StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT if turned_away => Status::Rejected,
            _ => Status::Error,
        };
        let received_at = Instant::now();
        let has_known_length = body.size_hint().exact().is_some();
        let buffering = if has_known_length { KNOWN_LENGTH_BUFFERING } else { UNKNOWN_LENGTH_BUFFERING };
        let wait_limit = |_| (received_at + buffering, OnTimeout::Stream);
        let mut prefix =
            match buffer_body(&mut body, &self.buffer_budget, WithoutMemory::Stream, wait_limit).await {
                Ok(prefix) => prefix,
                Err(_) => return AttemptOutcome { report, ..Status::Reset.into() },
            };
        if status != Status::Ok {
            let connection = Some(connection).filter(|_| prefix.is_complete); // the rest of an error body is not needed
            return AttemptOutcome {
                report,
                connection: self.if_reusable(connection).await,
                ..status.into()
            };
        }
        if !prefix.is_complete && prefix.bytes.is_empty() {
            // Until there is a first byte, another server may still answer.
            match body.frame().await {
                None => prefix.is_complete = true,
                Some(Ok(frame)) => prefix.bytes = frame.into_data().unwrap_or_default(),
                Some(Err(_)) => return AttemptOutcome { report, ..Status::Reset.into() },
            }
        }
        let content_type = head.headers.remove(header::CONTENT_TYPE);
        let length = head.headers.remove(header::CONTENT_LENGTH);
        let (body, connection) = if prefix.is_complete {
            (ServerResponseBody::Buffered(prefix.into()), self.if_reusable(Some(connection)).await)
        } else {
            (ServerResponseBody::Streamed(Box::new(Relay::new(prefix, body, connection))), None)
        };
        let response = Some(ServerResponse { content_type, length, body });
        AttemptOutcome { response, report, connection, ..status.into() }
    }

    /// Returns the connection if another request may follow on it.
    async fn if_reusable(&self, connection: Option<Connection>) -> Option<Connection> {
        let connection = connection?;
        if !connection.sender.is_ready() {
            yield_now().await; // lets hyper's task process the end of the message
        }
        Some(connection).filter(|c| c.sender.is_ready())
    }
}

/// Has a connection reset instead of closed: behind bytes that a server does not read, it would not notice a close.
fn reset_when_closed(stream: &TcpStream) {
    // An error means that the connection has ended.
    let _ = SockRef::from(stream).set_linger(Some(Duration::ZERO));
}

#[cfg(test)]
#[path = "../../tests/unit/upstream.rs"]
mod tests;
