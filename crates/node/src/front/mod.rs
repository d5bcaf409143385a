//! The client side: accepts connections, passes requests to the driver and sends the responses.

use std::convert::Infallible;
use std::future::pending;
use std::io;
use std::io::ErrorKind::{ConnectionAborted, Interrupted, WouldBlock};
use std::net::{Shutdown, SocketAddr};
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::task::{ready, Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use hyper::header::{HeaderValue, CONNECTION, CONTENT_LENGTH, CONTENT_TYPE, RETRY_AFTER};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode, Uri, Version};
use hyper_util::rt::{TokioIo, TokioTimer};
use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::{mpsc::UnboundedSender, oneshot, watch, OwnedSemaphorePermit};
use tokio::task::yield_now;
use tokio::time::{sleep, timeout, timeout_at, Instant};
use tokio_util::sync::CancellationToken;
use tracing::{debug, info, warn};

use crate::answer_deadline::AnswerDeadline;
use crate::body::{
    buffer_body, BodyError, BodyPrefix, BufferBudget, BufferReservation, BufferedBody, InputClock, OnTimeout,
    Upload, WithoutMemory,
};
use crate::capacity::{Capacity, Waiters};
use crate::clock::Clock;
use crate::configuration::TenantRef;
use crate::connection_timeouts::{CloseReason, ConnectionTimeouts};
use crate::input::{ClientRequest, Input, Reply};
use crate::lifecycle::ServingState;
use crate::memory::Purpose;
use crate::request_head::RequestHead;
use crate::stream::{
    has_disconnected, has_input, has_unread_bytes, is_transient, limit_unsent_bytes, MonitoredStream,
    SharedStream,
};
use crate::upstream::{Relay, RequestBody, ServerResponseBody, UpstreamRequest, NEVER};
use merlinfold_decide::interface::{Nanos, RequestId, Settings};
use merlinfold_settings::{NameTable, NameTables};

mod accept;
mod active_request;
mod connection;
mod eviction;
mod listener;
mod open_connections;
mod response;
mod stall;
mod stats;
mod waiting;

use active_request::{ActiveRequest, CancelOnDrop};
use connection::ConnectionEnd;
use eviction::status_of;
pub use listener::ClientListener;
use listener::BACKLOG;
use open_connections::{Candidates, OpenConnections};
use response::*;
use stall::StallDetector;
use stats::{increment, ConnectionStats};
use waiting::{AcceptQueue, AcceptedClient};

/// Base time for a body from the end of its head: clients send in pieces, with seconds between them.
const BODY_TIMEOUT: Duration = Duration::from_secs(2);
/// Time from the accept for a first request that stalls: the client must get an error within 3 s.
const FIRST_REQUEST_TIMEOUT: Duration = Duration::from_millis(2_850);
/// Time that is left at least to the body of a first request after a slow head.
const MIN_FIRST_BODY_TIMEOUT: Duration = Duration::from_millis(600);
/// Slowest accepted rate of a body in bytes per second; clients may send as slowly as 64 kB/s.
const MIN_BODY_RATE: f64 = 48_000.0;
/// Time in which the task of an accepted connection is certain to have run once.
const SETTLE_INTERVAL: Duration = Duration::from_millis(20);
/// Time between two readiness checks on one connection, which cost the client less than the node.
const READINESS_CHECK_INTERVAL: Duration = Duration::from_millis(5);
const REPORT_INTERVAL: Duration = Duration::from_secs(5); // between log lines on client connections
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(10);

/// The state that the tasks of all client connections share.
pub struct Front {
    classes: NameTable,
    tenants: NameTable,
    accepts_new_tenants: bool, // revisions of the configuration may add tenants
    deadlines: Vec<Nanos>,
    posture: watch::Receiver<ServingState>,
    answer_deadline: AnswerDeadline,
    capacity: Capacity,
    clock: Clock,
    inputs: UnboundedSender<Input>,
    next_id: AtomicU64,
    stalls: StallDetector,
    stats: ConnectionStats,
    slot_waiters: Waiters, // clients that have sent something
    open: OpenConnections, // those that have not ended, without those that only wait for the close
}

impl Front {
    /// Creates a front that has accepted no connection yet.
    pub fn new(
        settings: &Settings, names: &NameTables, clock: Clock, inputs: UnboundedSender<Input>,
        capacity: Capacity, posture: watch::Receiver<ServingState>,
    ) -> Self {
        Front {
            classes: names.classes.clone(),
            tenants: names.tenants.clone(),
            accepts_new_tenants: false,
            deadlines: settings.classes.iter().map(|class| class.deadline).collect(),
            answer_deadline: AnswerDeadline::new(clock, posture.clone()),
            posture,
            capacity,
            clock,
            inputs,
            next_id: AtomicU64::new(0),
            stalls: StallDetector::new(clock.now()),
            stats: ConnectionStats::default(),
            slot_waiters: Waiters::default(),
            open: OpenConnections::default(),
        }
    }

    /// Allows revisions of the configuration to add tenants.
    pub fn accept_new_tenants(&mut self) {
        self.accepts_new_tenants = true;
    }

    /// Accepts connections as long as the posture allows it, and returns when the last exchange has ended.
    pub async fn serve(self: Arc<Self>, listener: ClientListener) {
        let (close, close_requested) = watch::channel(false);
        let front = self.clone();
        tokio::spawn(async move {
            let mut reported = Instant::now();
            loop {
                sleep(HEARTBEAT_INTERVAL).await;
                front.stalls.heartbeat(front.clock.now());
                front.evict_for_others();
                if reported.elapsed() >= REPORT_INTERVAL {
                    reported = Instant::now();
                    front.stats.report(front.capacity.clients.in_use(), front.capacity.clients.total());
                    front.report_memory();
                }
            }
        });
        let mut posture = self.posture.clone();
        let listener = match listener {
            ClientListener::Listening(listener) => Ok(listener),
            ClientListener::Bound(socket) => {
                // What is queued here waits for the list, while the other process could serve it.
                let may_listen = |posture: &ServingState| {
                    (posture.may_listen && posture.list_settled) || !posture.accepts_connections
                };
                let _ = posture.wait_for(may_listen).await;
                socket.listen(BACKLOG)
            }
        };
        match listener {
            Ok(listener) => {
                let mut list_posture = posture.clone();
                let mut queue = AcceptQueue::new();
                let accept = async {
                    let _ = list_posture.wait_for(|posture| posture.list_settled).await;
                    loop {
                        self.accept(&listener, &mut queue, &close_requested).await;
                    }
                };
                tokio::select! {
                    () = accept => {}
                    _ = posture.wait_for(|posture| !posture.accepts_connections) => {}
                }
                // A client that still waits for a slot when all answers have begun is past its deadline.
                let waits_until = self.clock.instant(self.answers_begun_by());
                let drained =
                    timeout_at(waits_until, self.drain_backlog(listener, queue, &close_requested)).await;
                if drained.is_err() {
                    warn!("clients still waiting to be accepted at the longest deadline after the stop");
                }
            }
            Err(error) => return warn!(%error, "failed to listen for clients"),
        }
        sleep(SETTLE_INTERVAL).await;
        close.send_replace(true);
        self.drain_connections().await;
    }

    /// Returns once the last exchange has ended. Each connection ends by its own limits, so an answer that is still
    /// being sent is not cut.
    async fn drain_connections(&self) {
        let open = self.open.count();
        info!(open, "draining client connections");
        let answers_begun_by = self.answers_begun_by();
        let all_ended = async {
            // Once all answers have begun, connections that only wait for the client to close are not waited for.
            while self.capacity.clients.in_use() + self.capacity.unserved.in_use() > 0
                && (self.clock.now() < answers_begun_by || self.open.count() > 0)
            {
                sleep(SETTLE_INTERVAL).await;
            }
        };
        let exit_by = self.posture.borrow().stop.map_or(answers_begun_by, |stop| stop.exit_by);
        if timeout_at(self.clock.instant(exit_by), all_ended).await.is_err() {
            let open = self.open.count();
            warn!(open, "client connections still open at the last limit of the stop; closing them");
        }
    }

    /// When every request accepted before the stop has at least begun to be answered.
    fn answers_begun_by(&self) -> Nanos {
        self.posture.borrow().stop.map_or(self.clock.now(), |stop| stop.answers_begun_by)
    }

    /// Responds to a request; errors become responses that close the connection. `first_request_since` is when the
    /// connection was accepted, if this is its first request.
    async fn handle_request(
        &self, request: Request<Incoming>, active_request: ActiveRequest,
        first_request_since: Option<Instant>,
    ) -> Result<Response<TrackedBody>, Infallible> {
        let txn = request.headers().get("x-txn").cloned();
        let result = self.process_request(request, &active_request, first_request_since).await;
        let gives_way = active_request.timeouts.is_evicted();
        // A connection with an invalid request is closed after the error, so that it does not hold a slot.
        let is_invalid = result.is_err();
        let mut response = match result {
            Ok(response) => response,
            Err(status) => {
                increment(&self.stats.rejected);
                debug!(?txn, %status, "request answered without the driver");
                let mut response = Response::new(ClientBody::empty());
                *response.status_mut() = status;
                response
            }
        };
        if is_invalid || gives_way || !self.posture.borrow().keep_alive || self.is_nearly_full() {
            response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
        }
        Ok(response.map(|body| TrackedBody { body, active_request }))
    }

    /// Reads a request, passes it to the driver and waits for its reply. An error is the status for an invalid request.
    async fn process_request(
        &self, request: Request<Incoming>, active_request: &ActiveRequest,
        first_request_since: Option<Instant>,
    ) -> Result<Response<ClientBody>, StatusCode> {
        let timeouts = &*active_request.timeouts;
        let accepted_at = self.clock.at(active_request.accepted_at);
        let mut arrived = self.stalls.arrival(self.clock.now());
        if timeouts.has_waited_from_accept() {
            arrived = arrived.min(accepted_at);
        }
        let (head, mut body) = request.into_parts();
        if head.uri.path() == "/health/ready" && matches!(head.method, Method::GET | Method::HEAD) {
            let mut response = Response::new(ClientBody::empty());
            if !self.posture.borrow().ready {
                *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
            }
            timeouts.request_read();
            if first_request_since.is_none() {
                sleep(READINESS_CHECK_INTERVAL).await;
            }
            return Ok(response);
        }
        if active_request.has_disconnected().await {
            return Err(StatusCode::BAD_REQUEST); // any status will do: no client is left to read it
        }
        if !self.capacity.process_memory.allows(Purpose::Request) {
            return Err(self.refuse_for_memory("a request"));
        }
        let request_head = RequestHead::read(&head.uri, &head.headers);
        let class =
            request_head.class.and_then(|name| self.classes.get(name)).ok_or(StatusCode::NOT_FOUND)?;
        if !request_head.has_id {
            return Err(StatusCode::BAD_REQUEST);
        }
        let RequestHead { key, cost_hint, repeat, remaining, .. } = request_head;
        let tenant = request_head
            .tenant
            .and_then(|name| TenantRef::from_name(name, &self.tenants, self.accepts_new_tenants));
        let has_no_body = body.is_end_stream();
        let head_read_at = Instant::now();
        let base_deadline = match first_request_since {
            Some(connected) => (connected + FIRST_REQUEST_TIMEOUT).max(head_read_at + MIN_FIRST_BODY_TIMEOUT),
            None => head_read_at + BODY_TIMEOUT,
        };
        let wait_limit = |received: usize| {
            (base_deadline + Duration::from_secs_f64(received as f64 / MIN_BODY_RATE), OnTimeout::Fail)
        };
        let deadline = self.deadlines[class];
        let client_time = remaining.unwrap_or(deadline).min(deadline);
        // The client may have written its last byte together with its head.
        let (prefix, stream_memory) = tokio::select! {
            biased;
            read = self.read_body(&mut body, arrived, client_time, wait_limit) => read.map_err(status_of)?,
            () = timeouts.wait_for_eviction() => return Err(self.refuse_for_memory("it moves too little")),
        };
        if prefix.is_complete {
            timeouts.request_read();
        }
        // The time of a request counts from its last byte; for a streamed request the last byte is still to come.
        // A body that waited for memory may have been there all the time.
        let input_since = accepted_at + timeouts.input_since();
        let arrived = match has_no_body {
            true => arrived,
            false => self.stalls.arrival(self.clock.now()).min(input_since.max(arrived)),
        };
        let client_deadline = self.answer_deadline.current(arrived, client_time);
        let body = match prefix {
            complete @ BodyPrefix { is_complete: true, .. } => BufferedBody::from(complete).into(),
            incomplete => RequestBody::Streamed(Arc::new({
                let timeouts = active_request.timeouts.clone();
                let answer_deadline = self.answer_deadline.clone();
                let new_input = |length| InputClock::new(timeouts, accepted_at, length);
                Upload::new(incomplete, body, stream_memory, self.clock, answer_deadline, new_input)
            })),
        };
        let is_head = head.method == Method::HEAD;
        let path = head.uri.path_and_query().cloned().map_or_else(Uri::default, Uri::from);
        let upstream_request = UpstreamRequest::new(head.method, path, head.headers, body)
            .with_client(active_request.client_socket.as_ref());
        let upstream_request = Arc::new(upstream_request);
        let id = RequestId(self.next_id.fetch_add(1, Ordering::Relaxed));
        let (client, reply) = oneshot::channel();
        let client_request = ClientRequest {
            id,
            class,
            tenant,
            key,
            cost_hint,
            repeat,
            client_deadline,
            upstream_request: upstream_request.clone(),
            client,
        };
        let mut cancel_on_drop = CancelOnDrop {
            inputs: &self.inputs,
            id,
            cancellation: &upstream_request.cancellation,
            answered: false,
        };
        let _ = self.inputs.send(Input::Request(client_request));
        let upload_read = async {
            if let Some(upload) = upstream_request.upload() {
                upload.wait_until_complete().await;
                timeouts.request_read();
            }
            pending().await
        };
        let reply = tokio::select! {
            biased;
            never = upload_read => never,
            reply = reply => reply.unwrap_or(Reply::Failed),
            () = self.abandon_upload(id, &upstream_request, timeouts) => pending().await,
            // Any status will do: no client is left to read it.
            () = active_request.wait_for_disconnect() => return Err(StatusCode::BAD_REQUEST),
        };
        cancel_on_drop.answered = true;
        if let (true, Some(client_socket)) = (reply.is_streamed(), &active_request.client_socket) {
            limit_unsent_bytes(client_socket);
        }
        Ok(build_response(reply, is_head))
    }
}

#[cfg(test)]
#[path = "../../tests/unit/front.rs"]
mod tests;
