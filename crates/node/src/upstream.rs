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
use tokio::sync::mpsc::UnboundedSender;
use tokio::sync::OwnedSemaphorePermit;
use tokio::task::{yield_now, AbortHandle};
use tokio::time::{sleep_until, timeout, timeout_at, Duration, Instant};
use tokio_util::sync::CancellationToken;

use crate::body::{gather, Budget, Held, Relay, Sending, Upload, Waited};
use crate::clock::Clock;
use crate::figures::Written;
use crate::input::Input;
use crate::room::Slots;
use crate::stream::Shared;
use merlinfold_decide::interface::{LoadReport, Nanos, ServerId, Status};
use merlinfold_settings::{set_figure, HostLimits};

const BUFFER_MOST: usize = 16 << 10; // bytes buffered of an answer: all connections together must fit in memory
const PASS_ON: Duration = Duration::from_millis(20); // for an answer of unknown length, which may be a long one
const DAY: Duration = Duration::from_secs(86_400); // beyond any attempt, which ends it first
const IDLE_SHARE: f64 = 0.8; // of a server's idle timeout, after which a connection is not used again
/// For a connection that its attempt has given up: a lost SYN is sent again after 1 s, the next after 2 s more.
const LATE_MOST: Duration = Duration::from_secs(2);
const LATE_PART: usize = 4; // one slot in so many is left free by connections that nobody waits for
const DRAIN_SHARE: f64 = 0.8; // of the grace, after which nothing is written to a draining server

/// That something never happens.
pub const NEVER: Nanos = Nanos::MAX;

/// A server as the attempts at it see it.
pub struct Server {
    pub address: SocketAddr,
    no_sends_from: AtomicU64,
}

impl Server {
    pub fn new(address: SocketAddr) -> Self {
        Server { address, no_sends_from: AtomicU64::new(NEVER) }
    }

    /// Notes whether it takes work; what was told first sets the grace.
    pub fn set_ready(&self, ready: bool, now: Nanos, grace: Nanos) {
        let ends = now + (grace as f64 * DRAIN_SHARE) as Nanos;
        let ends = if ready { NEVER } else { ends.min(self.no_sends_from.load(Ordering::Relaxed)) };
        self.no_sends_from.store(ends, Ordering::Relaxed);
    }

    /// Whether it is within what it was told, or its grace.
    pub fn takes_sends(&self, now: Nanos) -> bool {
        now < self.no_sends_from.load(Ordering::Relaxed)
    }
}

/// A client's request as it goes on to servers.
pub struct Outgoing {
    pub method: Method,
    pub uri: Uri,
    pub headers: HeaderMap,
    pub body: Payload,
    /// Its client has left or has its answer: what is not yet written must not be. Set by whoever sees it first, so
    /// that no queue stands between a client that leaves and an attempt that is about to begin.
    pub over: CancellationToken,
}

/// The body of a client's request.
pub enum Payload {
    /// All of it, for as many attempts as are made.
    Held(Held),
    /// It passes through.
    Long(Arc<Upload>),
}

const REMAINING: HeaderName = HeaderName::from_static("x-remaining-ms");
const HOP_BY_HOP: [HeaderName; 9] = [
    header::CONNECTION,
    HeaderName::from_static("keep-alive"),
    HeaderName::from_static("proxy-connection"),
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
    header::EXPECT,
    header::CONTENT_LENGTH, // framing is stated anew
];

impl Outgoing {
    pub fn new(method: Method, uri: Uri, mut headers: HeaderMap, body: Payload) -> Self {
        let listed: Vec<HeaderName> = headers
            .get_all(header::CONNECTION)
            .iter()
            .filter_map(|value| value.to_str().ok())
            .flat_map(|names| names.split(','))
            .filter_map(|name| name.trim().parse().ok())
            .collect();
        // What the protocol sends on is no hop's own, whatever a client lists.
        let kept = |name: &HeaderName| matches!(name.as_str(), "x-txn" | "idempotency-key" | "host");
        for name in HOP_BY_HOP.iter().chain(listed.iter().filter(|name| !kept(name))) {
            headers.remove(name);
        }
        Outgoing { method, uri, headers, body, over: CancellationToken::new() }
    }

    /// The long body, where it has one.
    pub fn upload(&self) -> Option<&Arc<Upload>> {
        match &self.body {
            Payload::Held(_) => None,
            Payload::Long(upload) => Some(upload),
        }
    }

    fn request(&self, to: SocketAddr, wait: Duration) -> Request<Sending> {
        let mut request = Request::new(match &self.body {
            Payload::Held(body) => Sending::Held(Some(body.bytes.clone()).filter(|body| !body.is_empty())),
            Payload::Long(upload) => Sending::long(upload.clone()),
        });
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.uri.clone();
        *request.headers_mut() = self.headers.clone();
        let headers = request.headers_mut();
        if !headers.contains_key(header::HOST) {
            headers.insert(header::HOST, HeaderValue::try_from(to.to_string()).expect("an address is plain"));
        }
        headers.insert(REMAINING, (wait.as_millis() as u64).into());
        request
    }
}

/// A connection that is not in use, or whose attempt is out; closed when it is dropped.
pub struct Connection {
    sender: SendRequest<Sending>,
    stream: Arc<TcpStream>,
    to: SocketAddr,
    _task: AbortOnDrop,
    slot: OwnedSemaphorePermit,
}

struct AbortOnDrop(AbortHandle);

impl Drop for AbortOnDrop {
    fn drop(&mut self) {
        self.0.abort();
    }
}

impl Connection {
    async fn open(to: SocketAddr, slot: OwnedSemaphorePermit) -> io::Result<Self> {
        let stream = TcpStream::connect(to).await?;
        stream.set_nodelay(true)?;
        let stream = Arc::new(stream);
        let io = TokioIo::new(Shared(stream.clone()));
        let (sender, connection) =
            http1::Builder::new().max_buf_size(BUFFER_MOST).handshake(io).await.map_err(io::Error::other)?;
        let task = tokio::spawn(async move {
            // How it ends shows at the attempt on it.
            let _ = connection.await;
        });
        Ok(Connection { sender, stream, to, _task: AbortOnDrop(task.abort_handle()), slot })
    }

    /// Whether it is known to have ended.
    pub fn is_closed(&self) -> bool {
        self.sender.is_closed()
    }

    /// Whether it is open and silent, asking the socket itself: an end may not have been noticed yet.
    fn is_fresh(&self) -> bool {
        let silent = || {
            let peeked = SockRef::from(&*self.stream).peek(&mut [MaybeUninit::uninit()]);
            peeked.is_err_and(|error| error.kind() == io::ErrorKind::WouldBlock)
        };
        self.sender.is_ready() && silent()
    }
}

/// A connection that is coming up.
pub type Opening = Pin<Box<dyn Future<Output = io::Result<Connection>> + Send>>;

/// Idle connections, those that come up late, and slots for all that may be open.
pub struct Pool {
    idle: BTreeMap<ServerId, Vec<(Connection, Nanos)>>,
    late: VecDeque<AbortOnDrop>,
    slots: Arc<Slots>,
    idle_most: Nanos,
    clock: Clock,
}

/// What an attempt starts from.
pub enum Way {
    Open(Connection),
    Connect(OwnedSemaphorePermit),
}

impl Pool {
    pub fn new(slots: Arc<Slots>, limits: HostLimits, clock: Clock) -> Self {
        let idle_most = (limits.idle_timeout as f64 * IDLE_SHARE) as Nanos;
        Pool { idle: BTreeMap::new(), late: VecDeque::new(), slots, idle_most, clock }
    }

    /// The connection to the server that was used last, or leave to open one; none if all are in use.
    pub fn way(&mut self, to: ServerId, address: SocketAddr) -> Option<Way> {
        let since = self.clock.now().saturating_sub(self.idle_most);
        while let Some((connection, at)) = self.idle.get_mut(&to).and_then(Vec::pop) {
            if at > since && connection.to == address && connection.is_fresh() {
                return Some(Way::Open(connection));
            }
        }
        let mut slot = self.slots.try_take(1);
        if slot.is_none() && self.drop_oldest() {
            slot = self.slots.try_take(1);
        }
        if slot.is_none() {
            self.late.pop_front(); // its slot is free a moment later
        }
        slot.map(Way::Connect)
    }

    /// Lets a connection that nobody waits for any more come up for the next one, for a while: opening another costs
    /// its server the same again.
    pub fn await_late(&mut self, to: ServerId, opening: Opening, inputs: UnboundedSender<Input>) {
        self.late.retain(|late| !late.0.is_finished());
        if self.slots.free() * LATE_PART < self.slots.most() {
            return;
        }
        let task = tokio::spawn(async move {
            if let Ok(Ok(connection)) = timeout(LATE_MOST, opening).await {
                let _ = inputs.send(Input::Opened { server: to, connection }); // closed if nobody is left
            }
        });
        self.late.push_back(AbortOnDrop(task.abort_handle()));
    }

    /// Closes the connection that has been idle longest; false if there is none.
    fn drop_oldest(&mut self) -> bool {
        let oldest = self.idle.values_mut().filter(|idle| !idle.is_empty()).min_by_key(|idle| idle[0].1);
        oldest.map(|idle| idle.remove(0)).is_some()
    }

    /// Closes idle connections until there are no more than there should be, or none is idle.
    pub fn shed(&mut self) {
        while !self.slots.settle() && self.drop_oldest() {}
        if !self.slots.settle() {
            self.late.clear();
        }
    }

    pub fn put(&mut self, to: ServerId, connection: Connection) {
        self.idle.entry(to).or_default().push((connection, self.clock.now()));
    }

    /// Closes the idle connections to a server.
    pub fn close(&mut self, to: ServerId) {
        self.idle.remove(&to);
    }

    /// Closes connections that their server closed or soon will.
    pub fn retire(&mut self) {
        let since = self.clock.now().saturating_sub(self.idle_most);
        for idle in self.idle.values_mut() {
            idle.retain(|(connection, at)| *at > since && !connection.sender.is_closed());
        }
    }
}

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
            () = self.request.over.cancelled() => Status::Moot,
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
            return Ok(Status::Moot.into());
        }
        if self.request.over.is_cancelled() || now >= self.begin_by {
            return Ok(Ended { connection: Some(connection), ..Status::Moot.into() });
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
                    Some(upload) if upload.is_stalled() => Status::Moot,
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
            StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT if turned_away => Status::Full,
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

/// `TEXT name=value, name=value`; what is anything else is no report.
fn load_report(value: &HeaderValue) -> Option<LoadReport> {
    let figures = value.to_str().ok()?.trim().strip_prefix("TEXT ")?;
    let mut report = LoadReport::default();
    for (name, value) in figures.split(',').filter_map(|pair| pair.split_once('=')) {
        if let Some(value) = value.trim().parse().ok().filter(|v: &f64| v.is_finite() && *v >= 0.0) {
            set_figure(&mut report, name.trim(), value);
        }
    }
    Some(report)
}

#[cfg(test)]
mod tests {
    use super::*;
    use bytes::Bytes;

    /// Guards drains: a server whose grace has passed while its connection came up gets nothing.
    #[tokio::test]
    async fn nothing_is_written_to_a_server_that_drains_by_then() {
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
        let clock = Clock::new();
        let server = Arc::new(Server::new(listener.local_addr().unwrap()));
        server.set_ready(false, clock.now(), 0);
        let request = Outgoing::new(
            Method::GET,
            Uri::from_static("/"),
            HeaderMap::new(),
            Payload::Held(Held::small(Bytes::new())),
        );
        let slot = Slots::new(1).try_take(1).unwrap();
        let run = Attempt {
            server,
            request: Arc::new(request),
            started: clock.now(),
            begin_by: NEVER,
            budget: Budget(Slots::new(64)),
            patience: 5_000_000_000,
            deadline: clock.now() + 5_000_000_000,
            connect_timeout: 5_000_000_000,
            clock,
            written: Written::default(),
        };
        assert_eq!(run.run(Way::Connect(slot)).await.status, Status::Moot);
        let (mut stream, _) = listener.accept().await.unwrap();
        let read = tokio::io::AsyncReadExt::read(&mut stream, &mut [0; 1]).await.unwrap();
        assert_eq!(read, 0, "something was written");
    }

    #[test]
    fn a_server_that_is_told_to_drain_twice_has_one_grace_and_a_ready_one_no_end() {
        let server = Server::new("127.0.0.1:1".parse().unwrap());
        server.set_ready(false, 0, 1000);
        server.set_ready(false, 900, 1000);
        assert!(server.takes_sends(700) && !server.takes_sends(800));
        server.set_ready(true, 900, 1000);
        assert!(server.takes_sends(NEVER - 1));
    }

    #[test]
    fn a_bad_load_report_is_ignored_and_a_bad_figure_left_out() {
        let read = |text: &'static str| load_report(&HeaderValue::from_static(text));
        let report = read("TEXT inflight=7, queue=x, util=NaN,qps=-1, eps = 0.5,, =, new=1").unwrap();
        assert_eq!((report.in_flight, report.eps), (Some(7.0), Some(0.5)));
        assert_eq!((report.queue, report.utilization, report.qps), (None, None, None));
        assert!(read("BIN AAAA").is_none() && read("").is_none());
        assert!(load_report(&HeaderValue::from_bytes(b"TEXT \xff=1").unwrap()).is_none());
    }
}
