//! Clients: their connections, their requests on the way to the driver, and the answers.

use std::convert::Infallible;
use std::future::pending;
use std::io;
use std::io::ErrorKind::{ConnectionAborted, Interrupted, WouldBlock};
use std::net::{Shutdown, SocketAddr};
use std::pin::Pin;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use hyper::header::{HeaderValue, CONNECTION, CONTENT_LENGTH, CONTENT_TYPE, RETRY_AFTER};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode, Uri};
use hyper_util::rt::{TokioIo, TokioTimer};
use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncWrite, Interest};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::{mpsc::UnboundedSender, oneshot, watch, OwnedSemaphorePermit};
use tokio::time::{sleep, timeout, timeout_at, Instant};
use tokio_util::sync::CancellationToken;
use tracing::{info, warn};

use crate::body::{buffer_body, BodyError, BodyPrefix, BufferBudget, BufferedBody, OnTimeout, Upload};
use crate::capacity::Capacity;
use crate::clock::Clock;
use crate::configuration::TenantRef;
use crate::connection_timeouts::{CloseReason, ConnectionTimeouts};
use crate::input::{ClientRequest, Input, Reply};
use crate::lifecycle::ServingState;
use crate::request_head::RequestHead;
use crate::stream::{is_transient, MonitoredStream, SharedStream};
use crate::upstream::{Relay, RequestBody, ServerResponseBody, UpstreamRequest};
use merlinfold_decide::interface::{Nanos, RequestId, Settings};
use merlinfold_settings::{NameTable, NameTables};

mod accept;
mod active_request;
mod connection;
mod listener;
mod response;
mod stall;
mod stats;

use active_request::{ActiveRequest, CancelOnDrop};
pub use listener::ClientListener;
use listener::BACKLOG;
use response::*;
use stall::StallDetector;
use stats::{increment, ConnectionStats};

/// From a head on, for a body's next bytes: clients send in pieces, with seconds between them.
const BODY_TIMEOUT: Duration = Duration::from_secs(2);
/// From connecting on, for all of a first request that does not move: its peer is owed an error within 3 s.
const FIRST_REQUEST_TIMEOUT: Duration = Duration::from_millis(2_850);
const MIN_FIRST_BODY_TIMEOUT: Duration = Duration::from_millis(600); // the least that a slow head leaves its body
const MIN_BODY_RATE: f64 = 48_000.0; // bytes a second that a body comes with at least: clients may take 64 kB/s
const SETTLE_INTERVAL: Duration = Duration::from_millis(20); // until a connection is sure to have been looked at

const REPORT_INTERVAL: Duration = Duration::from_secs(5); // between log lines on the clients' connections

const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(10);

/// What the tasks of all client connections share.
pub struct Front {
    classes: NameTable,
    tenants: NameTable,
    accepts_new_tenants: bool, // revisions of the configuration may name others
    deadlines: Vec<Nanos>,
    posture: watch::Receiver<ServingState>,
    capacity: Capacity,
    clock: Clock,
    inputs: UnboundedSender<Input>,
    next_id: AtomicU64,
    stalls: StallDetector,
    stats: ConnectionStats,
}

impl Front {
    pub fn new(
        settings: &Settings, names: &NameTables, clock: Clock, inputs: UnboundedSender<Input>,
        capacity: Capacity, posture: watch::Receiver<ServingState>,
    ) -> Self {
        Front {
            classes: names.classes.clone(),
            tenants: names.tenants.clone(),
            accepts_new_tenants: false,
            deadlines: settings.classes.iter().map(|class| class.deadline).collect(),
            posture,
            capacity,
            clock,
            inputs,
            next_id: AtomicU64::new(0),
            stalls: StallDetector::new(clock.now()),
            stats: ConnectionStats::default(),
        }
    }

    /// Revisions of the configuration may add tenants from now on.
    pub fn accept_new_tenants(&mut self) {
        self.accepts_new_tenants = true;
    }

    /// Accepts for as long as the posture says, and returns when all connections have ended.
    pub async fn serve(self: Arc<Self>, listener: ClientListener) {
        let (close, closing) = watch::channel(false);
        let front = self.clone();
        tokio::spawn(async move {
            let mut reported = Instant::now();
            loop {
                sleep(HEARTBEAT_INTERVAL).await;
                front.stalls.heartbeat(front.clock.now());
                if reported.elapsed() >= REPORT_INTERVAL {
                    reported = Instant::now();
                    front.stats.report(front.capacity.clients.in_use(), front.capacity.clients.total());
                }
            }
        });
        let mut posture = self.posture.clone();
        let listener = match listener {
            ClientListener::Listening(listener) => Ok(listener),
            ClientListener::Bound(socket) => {
                let _ = posture.wait_for(|posture| posture.may_listen || !posture.accepts_connections).await;
                socket.listen(BACKLOG)
            }
        };
        match listener {
            Ok(listener) => {
                let mut listed = posture.clone();
                let accept = async {
                    let _ = listed.wait_for(|posture| posture.list_settled).await;
                    loop {
                        self.accept(&listener, &closing).await;
                    }
                };
                tokio::select! {
                    () = accept => {}
                    _ = posture.wait_for(|posture| !posture.accepts_connections) => {}
                }
                // Once a client is due to be left without an answer, waiting for its slot serves nobody.
                let ends_at = self.posture.borrow().exit_at.unwrap_or(self.clock.now());
                let left =
                    timeout_at(self.clock.instant(ends_at), self.drain_backlog(listener, &closing)).await;
                if left.is_err() {
                    warn!("clients were still waiting to be accepted at the end");
                }
            }
            Err(error) => return warn!(%error, "cannot listen for clients"),
        }
        sleep(SETTLE_INTERVAL).await;
        close.send_replace(true);
        let ends_at = self.posture.borrow().exit_at.unwrap_or(self.clock.now());
        let all_gone = async {
            while self.capacity.clients.in_use() > 0 {
                sleep(SETTLE_INTERVAL).await;
            }
        };
        if timeout_at(self.clock.instant(ends_at), all_gone).await.is_err() {
            warn!("connections were still open at the end");
        }
    }

    async fn handle_request(
        &self, request: Request<Incoming>, under_way: ActiveRequest, first: Option<Instant>,
    ) -> Result<Response<TrackedBody>, Infallible> {
        let answered = self.process_request(request, &under_way, first).await;
        // Who sends no proper request is not given another try at the cost of a client's slot.
        let improper = answered.is_err();
        let mut response = match answered {
            Ok(response) => response,
            Err(status) => {
                increment(&self.stats.rejected);
                let mut response = Response::new(ClientBody::empty());
                *response.status_mut() = status;
                response
            }
        };
        if improper || !self.posture.borrow().keep_alive || self.is_nearly_full() {
            response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
        }
        Ok(response.map(|body| TrackedBody { body, _active_request: under_way }))
    }

    async fn process_request(
        &self, request: Request<Incoming>, under_way: &ActiveRequest, first: Option<Instant>,
    ) -> Result<Response<ClientBody>, StatusCode> {
        let line = &*under_way.timeouts;
        let arrived = self.stalls.arrival(self.clock.now());
        let (head, mut body) = request.into_parts();
        if head.uri.path() == "/health/ready" && matches!(head.method, Method::GET | Method::HEAD) {
            let mut response = Response::new(ClientBody::empty());
            if !self.posture.borrow().ready {
                *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
            }
            line.request_read();
            return Ok(response);
        }
        let asked = RequestHead::read(&head.uri, &head.headers);
        let class = asked.class.and_then(|name| self.classes.get(name)).ok_or(StatusCode::NOT_FOUND)?;
        if !asked.has_id {
            return Err(StatusCode::BAD_REQUEST);
        }
        let RequestHead { key, cost_hint, repeat, remaining, .. } = asked;
        let tenant =
            asked.tenant.and_then(|name| TenantRef::from_name(name, &self.tenants, self.accepts_new_tenants));
        let bodiless = body.is_end_stream();
        let begun = Instant::now();
        let patient = match first {
            Some(connected) => (connected + FIRST_REQUEST_TIMEOUT).max(begun + MIN_FIRST_BODY_TIMEOUT),
            None => begun + BODY_TIMEOUT,
        };
        let next =
            |came: usize| (patient + Duration::from_secs_f64(came as f64 / MIN_BODY_RATE), OnTimeout::Fail);
        let gathered = buffer_body(&mut body, &BufferBudget(self.capacity.bodies.clone()), next)
            .await
            .map_err(|broken| match broken {
                BodyError::TimedOut => StatusCode::REQUEST_TIMEOUT,
                BodyError::Broken => StatusCode::BAD_REQUEST,
            })?;
        line.request_read();
        // Its time counts from its last byte; that of a long one, which is still to come, from when it does.
        let arrived = if bodiless { arrived } else { self.stalls.arrival(self.clock.now()) };
        let deadline = self.deadlines[class];
        let expires = arrived + remaining.unwrap_or(deadline).min(deadline);
        let expires = self.posture.borrow().answer_by.map_or(expires, |by| expires.min(by));
        let body = match gathered {
            all @ BodyPrefix { is_complete: true, .. } => RequestBody::Buffered(all.into()),
            some => RequestBody::Streamed(Arc::new(Upload::new(some, body, self.clock))),
        };
        let asks_head = head.method == Method::HEAD;
        let path = head.uri.path_and_query().cloned().map_or_else(Uri::default, Uri::from);
        let outgoing = Arc::new(UpstreamRequest::new(head.method, path, head.headers, body));
        let id = RequestId(self.next_id.fetch_add(1, Ordering::Relaxed));
        let (client, reply) = oneshot::channel();
        let arrival = ClientRequest {
            id,
            class,
            tenant,
            key,
            cost_hint,
            repeat,
            client_deadline: expires,
            outgoing: outgoing.clone(),
            client,
        };
        let mut waiting =
            CancelOnDrop { inputs: &self.inputs, id, cancellation: &outgoing.cancellation, answered: false };
        let _ = self.inputs.send(Input::Request(arrival));
        let reply = tokio::select! {
            biased;
            reply = reply => reply.unwrap_or(Reply::Failed),
            () = under_way.wait_for_disconnect() => return Err(StatusCode::BAD_REQUEST), // nobody is there to read it
        };
        waiting.answered = true;
        Ok(build_response(reply, asks_head))
    }
}

#[cfg(test)]
#[path = "../../tests/unit/front.rs"]
mod tests;
