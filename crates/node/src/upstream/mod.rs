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

use crate::body::{gather, Budget, Held, Sending, Upload, Waited};
use crate::capacity::Slots;
use crate::clock::Clock;
use crate::figures::Written;
use crate::stream::Shared;
use merlinfold_decide::interface::{LoadReport, Nanos, ServerId, Status};
use merlinfold_settings::{set_load_metric, HostLimits};

mod connection;
mod outgoing;
mod pool;
mod relay;
mod report;
mod server;

use connection::AbortOnDrop;
pub use connection::{Connection, Opening};
pub use outgoing::{Outgoing, Payload};
pub use pool::{Pool, Way};
pub use relay::Relay;
use report::load_report;
pub use server::Server;

const PASS_ON: Duration = Duration::from_millis(20); // for an answer of unknown length, which may be a long one
const DAY: Duration = Duration::from_secs(86_400); // beyond any attempt, which ends it first

/// That something never happens.
pub const NEVER: Nanos = Nanos::MAX;

/// A 200's body, and the header that tells what is in it.
#[derive(Debug)]
pub struct Answer {
    pub content_type: Option<HeaderValue>,
    /// Bytes that it would have, for a request that asks for nothing else.
    pub length: Option<HeaderValue>,
    pub body: AnswerBody,
}

/// What there is of an answer.
#[derive(Debug)]
pub enum AnswerBody {
    /// All of it.
    Held(Held),
    /// Its beginning, and where the rest comes from.
    Long(Box<Relay>),
}

/// How an attempt ended.
pub struct Ended {
    pub status: Status,
    pub answer: Option<Answer>,
    pub report: Option<LoadReport>,
    /// When its last byte was handed on: its server worked from then on. None: never.
    pub since: Option<Nanos>,
    /// Left open for the next one.
    pub connection: Option<Connection>,
    /// Still coming up, for the next one.
    pub opening: Option<Opening>,
}

impl From<Status> for Ended {
    fn from(status: Status) -> Self {
        Ended { status, answer: None, report: None, since: None, connection: None, opening: None }
    }
}

/// One attempt at one server.
pub struct Attempt {
    pub server: Arc<Server>,
    pub request: Arc<Outgoing>,
    /// How long to wait for the answer from when the request is handed to a connection, or comes whole if it is long: a
    /// connection that comes up late is no server's slow answer.
    pub patience: Nanos,
    /// When to give up however late that was; a long one's time begins when it has come whole.
    pub deadline: Nanos,
    pub started: Nanos,
    /// When it has to be written at the latest.
    pub begin_by: Nanos,
    pub budget: Budget,
    pub connect_timeout: Nanos,
    pub clock: Clock,
    /// Counts it, once its last byte is handed to the connection.
    pub written: Written,
}

impl Attempt {
    /// Runs until there is an answer or it expires; giving up closes the connection.
    pub async fn run(self, way: Way) -> Ended {
        let slot = match way {
            Way::Open(connection) => match self.exchange(connection).await {
                Ok(ended) => return ended,
                // It had ended unnoticed and nothing was written: the attempt is yet to begin.
                Err(unsent) => unsent.slot,
            },
            Way::Connect(slot) => slot,
        };
        match self.connect(slot).await {
            Ok(connection) => {
                self.exchange(connection).await.unwrap_or_else(|_| Status::ConnectFailed.into())
            }
            Err(ended) => ended,
        }
    }

    /// A new connection. One that takes too long, or whose client leaves meanwhile, is left to come up by itself.
    async fn connect(&self, slot: OwnedSemaphorePermit) -> Result<Connection, Ended> {
        let now = self.clock.now();
        let left = if self.request.upload().is_some() { NEVER } else { self.deadline.saturating_sub(now) };
        let left = left.min(self.begin_by.saturating_sub(now));
        let within = Duration::from_nanos(self.connect_timeout.min(left));
        let mut opening: Opening = Box::pin(Connection::open(self.server.address, slot));
        let status = tokio::select! {
            biased;
            () = self.request.over.cancelled() => Status::NotSent,
            opened = timeout(within, &mut opening) => match opened {
                Ok(Ok(connection)) => return Ok(connection),
                Ok(Err(_)) => return Err(Status::ConnectFailed.into()),
                Err(_) => Status::ConnectFailed,
            },
        };
        Err(Ended { opening: Some(opening), ..status.into() })
    }

    /// Sends on this connection and waits for the answer, or returns it if it is certain that nothing was written.
    async fn exchange(&self, connection: Connection) -> Result<Ended, Connection> {
        let now = self.clock.now();
        if !self.server.takes_sends(now) {
            return Ok(Status::NotSent.into());
        }
        if self.request.over.is_cancelled() || now >= self.begin_by {
            return Ok(Ended { connection: Some(connection), ..Status::NotSent.into() });
        }
        if let Some(upload) = self.request.upload() {
            let wait = self.patience.min(self.deadline.saturating_sub(self.started));
            let expired = async { sleep_until(self.clock.instant(upload.wait().await + wait)).await };
            let ended = tokio::select! {
                ended = self.send(connection, wait) => ended?,
                () = expired => Status::Timeout.into(),
            };
            return Ok(Ended { since: upload.over(), ..ended });
        }
        let expires = now.saturating_add(self.patience).min(self.deadline);
        let sent = self.send(connection, expires.saturating_sub(now));
        let ended = match timeout_at(self.clock.instant(expires), sent).await {
            Ok(ended) => ended?,
            Err(_) => Status::Timeout.into(),
        };
        Ok(Ended { since: Some(now), ..ended })
    }

    async fn send(&self, mut connection: Connection, wait: Nanos) -> Result<Ended, Connection> {
        let upload = self.request.upload();
        let request = self.request.request(self.server.address, Duration::from_nanos(wait));
        let sent = connection.sender.try_send_request(request);
        // An unsent one is off by one for as long as it takes to be sent elsewhere, and goes there at once.
        if upload.is_none() {
            self.written.add();
        }
        let sent = sent.await;
        if upload.is_some_and(|upload| upload.over().is_some()) {
            self.written.add();
        }
        match sent {
            Ok(response) => Ok(self.receive(connection, response).await),
            Err(mut error) => match error.take_message() {
                Some(_unsent) => {
                    if upload.is_none() {
                        self.written.take_back();
                    }
                    Err(connection)
                }
                // Before its last byte is written no server starts on it; who stopped sending is no server's fault.
                None => Ok(match upload {
                    Some(upload) if upload.is_stalled() => Status::NotSent,
                    Some(upload) if upload.over().is_none() => Status::ConnectFailed,
                    _ => Status::Reset,
                }
                .into()),
            },
        }
    }

    async fn receive(&self, connection: Connection, response: Response<Incoming>) -> Ended {
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
        let next = |_| (if known { came + DAY } else { came + PASS_ON }, Waited::Enough);
        let mut gathered = match gather(&mut body, &self.budget, next).await {
            Ok(gathered) => gathered,
            Err(_) => return Ended { report, ..Status::Reset.into() },
        };
        if status != Status::Ok {
            let connection = Some(connection).filter(|_| gathered.whole); // the rest of it interests nobody
            return Ended { report, connection: self.settled(connection).await, ..status.into() };
        }
        if !gathered.whole && gathered.held.is_empty() {
            // Until there is a first byte another server may still answer.
            match body.frame().await {
                None => gathered.whole = true,
                Some(Ok(frame)) => gathered.held = frame.into_data().unwrap_or_default(),
                Some(Err(_)) => return Ended { report, ..Status::Reset.into() },
            }
        }
        let content_type = head.headers.remove(header::CONTENT_TYPE);
        let length = head.headers.remove(header::CONTENT_LENGTH);
        let (body, connection) = if gathered.whole {
            (AnswerBody::Held(gathered.into()), self.settled(Some(connection)).await)
        } else {
            (AnswerBody::Long(Box::new(Relay::new(gathered, body, connection))), None)
        };
        let answer = Some(Answer { content_type, length, body });
        Ended { answer, report, connection, ..status.into() }
    }

    /// The connection, if another request may follow on it.
    async fn settled(&self, connection: Option<Connection>) -> Option<Connection> {
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
