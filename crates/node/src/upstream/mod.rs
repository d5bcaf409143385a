//! Connections to servers, one attempt on one of them, and what became of it.

use std::collections::{BTreeMap, VecDeque};
use std::future::Future;
use std::io;
use std::mem::MaybeUninit;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;

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
use tokio::time::{sleep_until, timeout, timeout_at, Duration, Instant};
use tokio_util::sync::CancellationToken;

use crate::body::{buffer_body, AttemptBody, BufferBudget, BufferedBody, OnTimeout, Upload};
use crate::capacity::Slots;
use crate::clock::Clock;
use crate::metrics::AttemptCounter;
use crate::stream::SharedStream;
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

const UNKNOWN_LENGTH_BUFFERING: Duration = Duration::from_millis(20); // for an answer of unknown length, which may be a long one
const KNOWN_LENGTH_BUFFERING: Duration = Duration::from_secs(86_400); // beyond any attempt, which ends it first

/// That something never happens.
pub const NEVER: Nanos = Nanos::MAX;

/// A 200's body, and the header that tells what is in it.
#[derive(Debug)]
pub struct ServerResponse {
    pub content_type: Option<HeaderValue>,
    /// Bytes that it would have, for a request that asks for nothing else.
    pub length: Option<HeaderValue>,
    pub body: ServerResponseBody,
}

/// What there is of an answer.
#[derive(Debug)]
pub enum ServerResponseBody {
    /// All of it.
    Buffered(BufferedBody),
    /// Its beginning, and where the rest comes from.
    Streamed(Box<Relay>),
}

/// How an attempt ended.
pub struct AttemptOutcome {
    pub status: Status,
    pub response: Option<ServerResponse>,
    pub report: Option<LoadReport>,
    /// When its last byte was handed on: its server worked from then on. None: never.
    pub sent_at: Option<Nanos>,
    /// Left open for the next one.
    pub connection: Option<Connection>,
    /// Still coming up, for the next one.
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

/// One attempt at one server.
pub struct Attempt {
    pub server: Arc<Server>,
    pub request: Arc<UpstreamRequest>,
    /// How long to wait for the answer from when the request is handed to a connection, or comes whole if it is long: a
    /// connection that comes up late is no server's slow answer.
    pub response_timeout: Nanos,
    /// When to give up however late that was; a long one's time begins when it has come whole.
    pub deadline: Nanos,
    pub started: Nanos,
    /// When it has to be written at the latest.
    pub write_by: Nanos,
    pub buffer_budget: BufferBudget,
    pub connect_timeout: Nanos,
    pub clock: Clock,
    /// Counts it, once its last byte is handed to the connection.
    pub sent_attempts: AttemptCounter,
}

impl Attempt {
    /// Runs until there is an answer or it expires; giving up closes the connection.
    pub async fn run(self, way: ConnectionSource) -> AttemptOutcome {
        let slot = match way {
            ConnectionSource::Pooled(connection) => match self.exchange(connection).await {
                Ok(ended) => return ended,
                // It had ended unnoticed and nothing was written: the attempt is yet to begin.
                Err(unsent) => unsent.slot,
            },
            ConnectionSource::Connect(slot) => slot,
        };
        match self.connect(slot).await {
            Ok(connection) => {
                self.exchange(connection).await.unwrap_or_else(|_| Status::ConnectFailed.into())
            }
            Err(ended) => ended,
        }
    }

    /// A new connection. One that takes too long, or whose client leaves meanwhile, is left to come up by itself.
    async fn connect(&self, slot: OwnedSemaphorePermit) -> Result<Connection, AttemptOutcome> {
        let now = self.clock.now();
        let left = if self.request.upload().is_some() { NEVER } else { self.deadline.saturating_sub(now) };
        let left = left.min(self.write_by.saturating_sub(now));
        let within = Duration::from_nanos(self.connect_timeout.min(left));
        let mut opening: PendingConnection = Box::pin(Connection::open(self.server.address, slot));
        let status = tokio::select! {
            biased;
            () = self.request.cancellation.cancelled() => Status::NotSent,
            opened = timeout(within, &mut opening) => match opened {
                Ok(Ok(connection)) => return Ok(connection),
                Ok(Err(_)) => return Err(Status::ConnectFailed.into()),
                Err(_) => Status::ConnectFailed,
            },
        };
        Err(AttemptOutcome { pending_connection: Some(opening), ..status.into() })
    }

    /// Sends on this connection and waits for the answer, or returns it if it is certain that nothing was written.
    async fn exchange(&self, connection: Connection) -> Result<AttemptOutcome, Connection> {
        let now = self.clock.now();
        if !self.server.accepts_sends(now) {
            return Ok(Status::NotSent.into());
        }
        if self.request.cancellation.is_cancelled() || now >= self.write_by {
            return Ok(AttemptOutcome { connection: Some(connection), ..Status::NotSent.into() });
        }
        if let Some(upload) = self.request.upload() {
            let wait = self.response_timeout.min(self.deadline.saturating_sub(self.started));
            let expired =
                async { sleep_until(self.clock.instant(upload.wait_until_complete().await + wait)).await };
            let ended = tokio::select! {
                ended = self.send(connection, wait) => ended?,
                () = expired => Status::Timeout.into(),
            };
            return Ok(AttemptOutcome { sent_at: upload.completed_at(), ..ended });
        }
        let expires = now.saturating_add(self.response_timeout).min(self.deadline);
        let sent = self.send(connection, expires.saturating_sub(now));
        let ended = match timeout_at(self.clock.instant(expires), sent).await {
            Ok(ended) => ended?,
            Err(_) => Status::Timeout.into(),
        };
        Ok(AttemptOutcome { sent_at: Some(now), ..ended })
    }

    async fn send(&self, mut connection: Connection, wait: Nanos) -> Result<AttemptOutcome, Connection> {
        let upload = self.request.upload();
        let request = self.request.build(self.server.address, Duration::from_nanos(wait));
        let sent = connection.sender.try_send_request(request);
        // An unsent one is off by one for as long as it takes to be sent elsewhere, and goes there at once.
        if upload.is_none() {
            self.sent_attempts.increment();
        }
        let sent = sent.await;
        if upload.is_some_and(|upload| upload.completed_at().is_some()) {
            self.sent_attempts.increment();
        }
        match sent {
            Ok(response) => Ok(self.receive(connection, response).await),
            Err(mut error) => match error.take_message() {
                Some(_unsent) => {
                    if upload.is_none() {
                        self.sent_attempts.decrement();
                    }
                    Err(connection)
                }
                // Before its last byte is written no server starts on it; who stopped sending is no server's fault.
                None => Ok(match upload {
                    Some(upload) if upload.is_stalled() => Status::NotSent,
                    Some(upload) if upload.completed_at().is_none() => Status::ConnectFailed,
                    _ => Status::Reset,
                }
                .into()),
            },
        }
    }

    async fn receive(&self, connection: Connection, response: Response<Incoming>) -> AttemptOutcome {
        let (mut head, mut body) = response.into_parts();
        let report = head.headers.get("x-pressure").and_then(load_report);
        let turned_away = head.headers.get("x-turned-away").is_some_and(|value| value == "1");
        let status = match head.status {
            StatusCode::OK => Status::Ok,
            StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT if turned_away => Status::Rejected,
            _ => Status::Error,
        };
        let came = Instant::now();
        let known = body.size_hint().exact().is_some();
        let next = |_| {
            (
                if known { came + KNOWN_LENGTH_BUFFERING } else { came + UNKNOWN_LENGTH_BUFFERING },
                OnTimeout::Stream,
            )
        };
        let mut gathered = match buffer_body(&mut body, &self.buffer_budget, next).await {
            Ok(gathered) => gathered,
            Err(_) => return AttemptOutcome { report, ..Status::Reset.into() },
        };
        if status != Status::Ok {
            let connection = Some(connection).filter(|_| gathered.is_complete); // the rest of it interests nobody
            return AttemptOutcome {
                report,
                connection: self.if_reusable(connection).await,
                ..status.into()
            };
        }
        if !gathered.is_complete && gathered.bytes.is_empty() {
            // Until there is a first byte another server may still answer.
            match body.frame().await {
                None => gathered.is_complete = true,
                Some(Ok(frame)) => gathered.bytes = frame.into_data().unwrap_or_default(),
                Some(Err(_)) => return AttemptOutcome { report, ..Status::Reset.into() },
            }
        }
        let content_type = head.headers.remove(header::CONTENT_TYPE);
        let length = head.headers.remove(header::CONTENT_LENGTH);
        let (body, connection) = if gathered.is_complete {
            (ServerResponseBody::Buffered(gathered.into()), self.if_reusable(Some(connection)).await)
        } else {
            (ServerResponseBody::Streamed(Box::new(Relay::new(gathered, body, connection))), None)
        };
        let answer = Some(ServerResponse { content_type, length, body });
        AttemptOutcome { response: answer, report, connection, ..status.into() }
    }

    /// The connection, if another request may follow on it.
    async fn if_reusable(&self, connection: Option<Connection>) -> Option<Connection> {
        let connection = connection?;
        if !connection.sender.is_ready() {
            yield_now().await; // hyper's task comes to the end of the message in its own turn
        }
        Some(connection).filter(|c| c.sender.is_ready())
    }
}

#[cfg(test)]
#[path = "../../tests/unit/upstream.rs"]
mod tests;
