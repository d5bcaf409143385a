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

use crate::body::{gather, Broken, Budget, Gathered, Held, Upload, Waited};
use crate::capacity::Capacity;
use crate::clock::Clock;
use crate::configuration::TenantRef;
use crate::head::Asked;
use crate::input::{Arrival, Input, Reply};
use crate::lifecycle::ServingState;
use crate::line::{Line, Why};
use crate::stream::{is_transient, Heard, Shared};
use crate::upstream::{AnswerBody, Outgoing, Payload, Relay};
use merlinfold_decide::interface::{Nanos, RequestId, Settings};
use merlinfold_settings::{Names, Numbering};

mod accept;
mod answer;
mod connection;
mod listener;
mod stall;
mod tally;
mod under_way;

use answer::*;
pub use listener::ClientListener;
use listener::BACKLOG;
use stall::StallDetector;
use tally::{count, Tally};
use under_way::{UnderWay, Waiting};

/// From a head on, for a body's next bytes: clients send in pieces, with seconds between them.
const BODY_TIMEOUT: Duration = Duration::from_secs(2);
/// From connecting on, for all of a first request that does not move: its peer is owed an error within 3 s.
const FIRST_TIMEOUT: Duration = Duration::from_millis(2_850);
const FIRST_BODY_TIMEOUT: Duration = Duration::from_millis(600); // the least that a slow head leaves its body
const BODY_RATE: f64 = 48_000.0; // bytes a second that a body comes with at least: clients may take 64 kB/s
const SETTLE: Duration = Duration::from_millis(20); // until a connection is sure to have been looked at

const REPORT_EVERY: Duration = Duration::from_secs(5); // between log lines on the clients' connections

const HEARTBEAT_EVERY: Duration = Duration::from_millis(10);

/// What the tasks of all client connections share.
pub struct Front {
    classes: Numbering,
    tenants: Numbering,
    adds_tenants: bool, // revisions of the configuration may name others
    deadlines: Vec<Nanos>,
    posture: watch::Receiver<ServingState>,
    capacity: Capacity,
    clock: Clock,
    inputs: UnboundedSender<Input>,
    next: AtomicU64,
    stalls: StallDetector,
    tally: Tally,
}

impl Front {
    pub fn new(
        settings: &Settings, names: &Names, clock: Clock, inputs: UnboundedSender<Input>, capacity: Capacity,
        posture: watch::Receiver<ServingState>,
    ) -> Self {
        Front {
            classes: names.classes.clone(),
            tenants: names.tenants.clone(),
            adds_tenants: false,
            deadlines: settings.classes.iter().map(|class| class.deadline).collect(),
            posture,
            capacity,
            clock,
            inputs,
            next: AtomicU64::new(0),
            stalls: StallDetector::new(clock.now()),
            tally: Tally::default(),
        }
    }

    /// Revisions of the configuration may add tenants from now on.
    pub fn expect_tenants(&mut self) {
        self.adds_tenants = true;
    }

    /// Accepts for as long as the posture says, and returns when all connections have ended.
    pub async fn serve(self: Arc<Self>, listener: ClientListener) {
        let (close, closing) = watch::channel(false);
        let front = self.clone();
        tokio::spawn(async move {
            let mut reported = Instant::now();
            loop {
                sleep(HEARTBEAT_EVERY).await;
                front.stalls.heartbeat(front.clock.now());
                if reported.elapsed() >= REPORT_EVERY {
                    reported = Instant::now();
                    front.tally.report(front.capacity.clients.held(), front.capacity.clients.most());
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
                let left = timeout_at(self.clock.instant(ends_at), self.leave(listener, &closing)).await;
                if left.is_err() {
                    warn!("clients were still waiting to be accepted at the end");
                }
            }
            Err(error) => return warn!(%error, "cannot listen for clients"),
        }
        sleep(SETTLE).await;
        close.send_replace(true);
        let ends_at = self.posture.borrow().exit_at.unwrap_or(self.clock.now());
        let all_gone = async {
            while self.capacity.clients.held() > 0 {
                sleep(SETTLE).await;
            }
        };
        if timeout_at(self.clock.instant(ends_at), all_gone).await.is_err() {
            warn!("connections were still open at the end");
        }
    }

    async fn answer(
        &self, request: Request<Incoming>, under_way: UnderWay, first: Option<Instant>,
    ) -> Result<Response<Lasting>, Infallible> {
        let answered = self.respond(request, &under_way, first).await;
        // Who sends no proper request is not given another try at the cost of a client's slot.
        let improper = answered.is_err();
        let mut response = match answered {
            Ok(response) => response,
            Err(status) => {
                count(&self.tally.rejected);
                let mut response = Response::new(Outgo::nothing());
                *response.status_mut() = status;
                response
            }
        };
        if improper || !self.posture.borrow().keep_alive || self.short() {
            response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
        }
        Ok(response.map(|body| Lasting { body, _under_way: under_way }))
    }

    async fn respond(
        &self, request: Request<Incoming>, under_way: &UnderWay, first: Option<Instant>,
    ) -> Result<Response<Outgo>, StatusCode> {
        let line = &*under_way.line;
        let arrived = self.stalls.arrival(self.clock.now());
        let (head, mut body) = request.into_parts();
        if head.uri.path() == "/health/ready" && matches!(head.method, Method::GET | Method::HEAD) {
            let mut response = Response::new(Outgo::nothing());
            if !self.posture.borrow().ready {
                *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
            }
            line.read();
            return Ok(response);
        }
        let asked = Asked::read(&head.uri, &head.headers);
        let class = asked.class.and_then(|name| self.classes.get(name)).ok_or(StatusCode::NOT_FOUND)?;
        if !asked.has_id {
            return Err(StatusCode::BAD_REQUEST);
        }
        let Asked { key, cost_hint, repeat, remaining, .. } = asked;
        let tenant =
            asked.tenant.and_then(|name| TenantRef::from_name(name, &self.tenants, self.adds_tenants));
        let bodiless = body.is_end_stream();
        let begun = Instant::now();
        let patient = match first {
            Some(connected) => (connected + FIRST_TIMEOUT).max(begun + FIRST_BODY_TIMEOUT),
            None => begun + BODY_TIMEOUT,
        };
        let next =
            |came: usize| (patient + Duration::from_secs_f64(came as f64 / BODY_RATE), Waited::TooLong);
        let gathered =
            gather(&mut body, &Budget(self.capacity.bodies.clone()), next).await.map_err(|broken| {
                match broken {
                    Broken::Late => StatusCode::REQUEST_TIMEOUT,
                    Broken::Off => StatusCode::BAD_REQUEST,
                }
            })?;
        line.read();
        // Its time counts from its last byte; that of a long one, which is still to come, from when it does.
        let arrived = if bodiless { arrived } else { self.stalls.arrival(self.clock.now()) };
        let deadline = self.deadlines[class];
        let expires = arrived + remaining.unwrap_or(deadline).min(deadline);
        let expires = self.posture.borrow().answer_by.map_or(expires, |by| expires.min(by));
        let body = match gathered {
            all @ Gathered { whole: true, .. } => Payload::Held(all.into()),
            some => Payload::Long(Arc::new(Upload::new(some, body, self.clock))),
        };
        let asks_head = head.method == Method::HEAD;
        let path = head.uri.path_and_query().cloned().map_or_else(Uri::default, Uri::from);
        let outgoing = Arc::new(Outgoing::new(head.method, path, head.headers, body));
        let id = RequestId(self.next.fetch_add(1, Ordering::Relaxed));
        let (client, reply) = oneshot::channel();
        let arrival = Arrival {
            id,
            class,
            tenant,
            key,
            cost_hint,
            repeat,
            expires,
            outgoing: outgoing.clone(),
            client,
        };
        let mut waiting = Waiting { inputs: &self.inputs, id, over: &outgoing.over, answered: false };
        let _ = self.inputs.send(Input::Request(arrival));
        let reply = tokio::select! {
            biased;
            reply = reply => reply.unwrap_or(Reply::Failed),
            () = under_way.left() => return Err(StatusCode::BAD_REQUEST), // nobody is there to read it
        };
        waiting.answered = true;
        Ok(response(reply, asks_head))
    }
}

#[cfg(test)]
#[path = "../../tests/unit/front.rs"]
mod tests;
