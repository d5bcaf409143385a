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

use crate::body::{gather, Broken, Budget, Gathered, Held, Relay, Upload, Waited};
use crate::clock::Clock;
use crate::head::Asked;
use crate::input::{Arrival, Input, Reply};
use crate::lifecycle::Posture;
use crate::line::{Line, Why};
use crate::room::Room;
use crate::stream::{Heard, Shared};
use crate::upstream::{AnswerBody, Outgoing, Payload};
use merlinfold_decide::interface::{Nanos, RequestId, Settings};
use merlinfold_settings::{Names, Numbering};

/// For the first byte on a connection that comes to a node which takes no new ones: nothing may stay open there.
const IDLE_LEAVING: Nanos = 500_000_000;
/// From a head on, for a body's next bytes: clients send in pieces, with seconds between them.
const BODY_TIMEOUT: Duration = Duration::from_secs(2);
/// From connecting on, for all of a first request that does not move: its peer is owed an error within 3 s.
const FIRST_TIMEOUT: Duration = Duration::from_millis(2_850);
const FIRST_BODY_TIMEOUT: Duration = Duration::from_millis(600); // the least that a slow head leaves its body
const BODY_RATE: f64 = 48_000.0; // bytes a second that a body comes with at least: clients may take 64 kB/s
/// After the write side has ended, for what a client has sent before it saw that: a close over unread bytes resets
/// the connection, and with it the end of an answer that the client has not read yet.
const LINGER: Duration = Duration::from_secs(1);
const LINGER_FULL: Duration = Duration::from_millis(100); // the same while others wait for the slot
/// Between looks at a client that has sent more than its request: hyper does not read on then, and would not see it
/// leave. An attempt must not begin 100 ms after that.
const LOOK: Duration = Duration::from_millis(40);
const REST: Duration = Duration::from_millis(20); // between looks whether a request that has begun to come is there
const HEAD_MOST: usize = 16 << 10; // bytes buffered of a request: all slots together must fit in memory
const SPARE: usize = 32; // connections short of the most at which they are closed after their answer
const BACKLOG: u32 = 1024; // connections that the kernel holds until they are accepted
const ACCEPT_PAUSE: Duration = Duration::from_millis(10); // after a failed accept, so as not to spin
const SETTLE: Duration = Duration::from_millis(20); // until a connection is sure to have been looked at

const REPORT_EVERY: Duration = Duration::from_secs(5); // between log lines on the clients' connections

const PULSE: Duration = Duration::from_millis(10); // between the beats that show a hold-up
const HELD_UP: Nanos = 25_000_000; // between two beats: well over what timers and a full turn take
const TURN: Nanos = 2_000_000; // after a hold-up, in which what it kept waiting is found

/// Where clients come in.
pub enum Door {
    /// They may come at once.
    Open(TcpListener),
    /// Bound only: until it listens the kernel brings clients to another process on the address.
    Shut(TcpSocket),
}

impl Door {
    /// Listens now if clients may come.
    pub fn new(socket: TcpSocket, opens: bool) -> io::Result<Self> {
        Ok(if opens { Door::Open(socket.listen(BACKLOG)?) } else { Door::Shut(socket) })
    }

    /// Where that is.
    pub fn address(&self) -> io::Result<SocketAddr> {
        match self {
            Door::Open(listener) => listener.local_addr(),
            Door::Shut(socket) => socket.local_addr(),
        }
    }
}

/// What the tasks of all client connections share.
pub struct Front {
    classes: Numbering,
    tenants: Numbering,
    deadlines: Vec<Nanos>,
    posture: watch::Receiver<Posture>,
    room: Room,
    clock: Clock,
    inputs: UnboundedSender<Input>,
    next: AtomicU64,
    pulse: Pulse,
    tally: Tally,
}

/// What became of connections since the last log line; shows an operator peers that send no proper request.
#[derive(Default)]
struct Tally {
    accepted: AtomicU64,
    silent: AtomicU64,    // closed because no whole head came in time
    malformed: AtomicU64, // closed because what came was not HTTP or not whole
    rejected: AtomicU64,  // closed after a request that was not proper and was answered with an error
    still: AtomicU64,     // closed because no byte moved for long, in the middle of a message
    full: AtomicU64,      // times that a client had to wait for room
}

impl Tally {
    /// Writes a line if there is something in it that an operator should look at.
    fn report(&self, held: usize, most: usize) {
        let take = |count: &AtomicU64| count.swap(0, Ordering::Relaxed);
        let accepted = take(&self.accepted);
        let (silent, malformed) = (take(&self.silent), take(&self.malformed));
        let (rejected, still, full) = (take(&self.rejected), take(&self.still), take(&self.full));
        if silent + malformed + rejected + still + full > 0 {
            info!(held, most, accepted, silent, malformed, rejected, still, full, "clients");
        }
    }
}

/// Adds one to a count.
fn count(counter: &AtomicU64) {
    counter.fetch_add(1, Ordering::Relaxed);
}

impl Front {
    pub fn new(
        settings: &Settings, names: &Names, clock: Clock, inputs: UnboundedSender<Input>, room: Room,
        posture: watch::Receiver<Posture>,
    ) -> Self {
        Front {
            classes: names.classes.clone(),
            tenants: names.tenants.clone(),
            deadlines: settings.classes.iter().map(|class| class.deadline).collect(),
            posture,
            room,
            clock,
            inputs,
            next: AtomicU64::new(0),
            pulse: Pulse::new(clock.now()),
            tally: Tally::default(),
        }
    }

    /// Accepts for as long as the posture says, and returns when all connections have ended.
    pub async fn serve(self: Arc<Self>, door: Door) {
        let (close, closing) = watch::channel(false);
        let front = self.clone();
        tokio::spawn(async move {
            let mut reported = Instant::now();
            loop {
                sleep(PULSE).await;
                front.pulse.beat(front.clock.now());
                if reported.elapsed() >= REPORT_EVERY {
                    reported = Instant::now();
                    front.tally.report(front.room.clients.held(), front.room.clients.most());
                }
            }
        });
        let mut posture = self.posture.clone();
        let listener = match door {
            Door::Open(listener) => Ok(listener),
            Door::Shut(socket) => {
                let _ = posture.wait_for(|posture| posture.opens || !posture.accepts).await;
                socket.listen(BACKLOG)
            }
        };
        match listener {
            Ok(listener) => {
                let mut listed = posture.clone();
                let accept = async {
                    let _ = listed.wait_for(|posture| posture.listed).await;
                    loop {
                        self.accept(&listener, &closing).await;
                    }
                };
                tokio::select! {
                    () = accept => {}
                    _ = posture.wait_for(|posture| !posture.accepts) => {}
                }
                // Once a client is due to be left without an answer, waiting for its slot serves nobody.
                let ends_at = self.posture.borrow().ends_at.unwrap_or(self.clock.now());
                let left = timeout_at(self.clock.instant(ends_at), self.leave(listener, &closing)).await;
                if left.is_err() {
                    warn!("clients were still waiting to be accepted at the end");
                }
            }
            Err(error) => return warn!(%error, "cannot listen for clients"),
        }
        sleep(SETTLE).await;
        close.send_replace(true);
        let ends_at = self.posture.borrow().ends_at.unwrap_or(self.clock.now());
        let all_gone = async {
            while self.room.clients.held() > 0 {
                sleep(SETTLE).await;
            }
        };
        if timeout_at(self.clock.instant(ends_at), all_gone).await.is_err() {
            warn!("connections were still open at the end");
        }
    }

    async fn accept(self: &Arc<Self>, listener: &TcpListener, closing: &watch::Receiver<bool>) {
        if self.room.clients.free() == 0 {
            count(&self.tally.full);
        }
        while !self.room.clients.settle() {
            sleep(ACCEPT_PAUSE).await; // what is given back is for the process beside this one
        }
        let slot = self.room.clients.take().await;
        match listener.accept().await {
            Ok((stream, _)) => self.take(stream, slot, closing),
            Err(error) => {
                warn!(%error, "accept"); // short of descriptors, or the client has left again
                sleep(ACCEPT_PAUSE).await;
            }
        }
    }

    fn take(
        self: &Arc<Self>, stream: TcpStream, slot: OwnedSemaphorePermit, closing: &watch::Receiver<bool>,
    ) {
        count(&self.tally.accepted);
        // A stream that takes no option has ended already.
        if stream.set_nodelay(true).is_ok() {
            let (front, stream, closing) = (self.clone(), Arc::new(stream), closing.clone());
            tokio::spawn(async move {
                front.connection(Shared(stream.clone()), Some(stream.clone()), closing).await;
                let _ = SockRef::from(&*stream).shutdown(Shutdown::Write); // an error: it has ended already
                let linger = if front.room.clients.free() == 0 { LINGER_FULL } else { LINGER };
                let _ = timeout(linger, read_empty(&stream)).await;
                drop(slot);
            });
        }
    }

    /// Takes all that the kernel has accepted, which counts as taken, and closes the listener in the moment in
    /// which nothing is left: whatever came between the two would be reset.
    async fn leave(self: &Arc<Self>, listener: TcpListener, closing: &watch::Receiver<bool>) {
        let Ok(listener) = listener.into_std() else { return };
        loop {
            let slot = self.room.clients.take().await;
            match listener.accept().map(|(stream, _)| stream) {
                Ok(stream) => {
                    let stream = stream.set_nonblocking(true).and_then(|()| TcpStream::from_std(stream));
                    if let Ok(stream) = stream {
                        self.take(stream, slot, closing);
                    }
                }
                Err(error) if matches!(error.kind(), ConnectionAborted | Interrupted) => {}
                Err(_) => return, // nothing is left, or nothing more is to be had
            }
        }
    }

    /// Serves one connection until it ends; `peer` is its socket, where there is one.
    async fn connection(
        &self, stream: impl AsyncRead + AsyncWrite + Unpin, peer: Option<Arc<TcpStream>>,
        mut closing: watch::Receiver<bool>,
    ) {
        let mut posture = self.posture.clone();
        let Posture { keeps, retired, .. } = *posture.borrow_and_update();
        let longest = self.deadlines.iter().copied().max().unwrap_or(0);
        let line = Arc::new(Line::new(Some(IDLE_LEAVING).filter(|_| !keeps), longest));
        let origin = Instant::now();
        let now = move || origin.elapsed().as_nanos() as Nanos;
        let due = async {
            loop {
                let (at, why) = line.due();
                match at.checked_sub(now()) {
                    None | Some(0) => return why,
                    Some(left) => sleep(Duration::from_nanos(left.min(line.step()))).await,
                }
            }
        };
        tokio::pin!(due);
        let service = service_fn(|request| {
            let first = line.begin().then_some(origin);
            let under_way = UnderWay { line: line.clone(), origin, peer: peer.clone() };
            self.answer(request, under_way, first)
        });
        let connection = http1::Builder::new()
            .timer(TokioTimer::new())
            .keep_alive(keeps)
            .header_read_timeout(None)
            .max_buf_size(HEAD_MOST)
            .serve_connection(TokioIo::new(Heard::new(stream, line.clone(), origin)), service);
        tokio::pin!(connection);
        tokio::select! {
            biased;
            ended = connection.as_mut() => return self.ended(ended),
            _ = closing.wait_for(|closing| *closing) => {}
            _ = posture.wait_for(|now| now.retired > retired) => {}
            why = due.as_mut() => return self.cut(why),
        }
        // hyper closes what rests, also over the beginning of a request: that one is still answered, with a close.
        while line.has_begun() {
            tokio::select! {
                biased;
                ended = connection.as_mut() => return self.ended(ended),
                why = due.as_mut() => return self.cut(why),
                () = sleep(REST) => {}
            }
        }
        connection.as_mut().graceful_shutdown();
        tokio::select! {
            _ = connection => {} // how it ends shows at the request on it
            why = due => self.cut(why),
        }
    }

    /// Whether there is little room for further clients.
    fn short(&self) -> bool {
        self.room.clients.free() < SPARE
    }

    /// Counts a connection that is closed in the middle of something.
    fn cut(&self, why: Why) {
        count(match why {
            Why::Silent => &self.tally.silent,
            Why::Still => &self.tally.still,
        });
    }

    /// Counts an end that is the peer's fault; all others show at the request on the connection.
    fn ended(&self, ended: hyper::Result<()>) {
        match ended {
            Err(error) if error.is_parse() || error.is_incomplete_message() => count(&self.tally.malformed),
            _ => {}
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
        if improper || !self.posture.borrow().keeps || self.short() {
            response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
        }
        Ok(response.map(|body| Lasting { body, _under_way: under_way }))
    }

    async fn respond(
        &self, request: Request<Incoming>, under_way: &UnderWay, first: Option<Instant>,
    ) -> Result<Response<Outgo>, StatusCode> {
        let line = &*under_way.line;
        let arrived = self.pulse.arrival(self.clock.now());
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
        let tenant = asked.tenant.and_then(|name| self.tenants.get(name));
        let bodiless = body.is_end_stream();
        let begun = Instant::now();
        let patient = match first {
            Some(connected) => (connected + FIRST_TIMEOUT).max(begun + FIRST_BODY_TIMEOUT),
            None => begun + BODY_TIMEOUT,
        };
        let next =
            |came: usize| (patient + Duration::from_secs_f64(came as f64 / BODY_RATE), Waited::TooLong);
        let gathered = gather(&mut body, &Budget(self.room.bodies.clone()), next).await.map_err(
            |broken| match broken {
                Broken::Late => StatusCode::REQUEST_TIMEOUT,
                Broken::Off => StatusCode::BAD_REQUEST,
            },
        )?;
        line.read();
        // Its time counts from its last byte; that of a long one, which is still to come, from when it does.
        let arrived = if bodiless { arrived } else { self.pulse.arrival(self.clock.now()) };
        let deadline = self.deadlines[class];
        let expires = arrived + remaining.unwrap_or(deadline).min(deadline);
        let expires = self.posture.borrow().answers_by.map_or(expires, |by| expires.min(by));
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

/// Reads what a client still sends, until it has seen that there is nothing more to say and closes.
async fn read_empty(stream: &TcpStream) {
    let mut buffer = [0; 4096];
    while stream.readable().await.is_ok() {
        match stream.try_read(&mut buffer) {
            Ok(0) => return,
            Err(error) if error.kind() != WouldBlock => return,
            _ => {}
        }
    }
}

/// A request from its head to the end of its answer.
struct UnderWay {
    line: Arc<Line>,
    origin: Instant,
    peer: Option<Arc<TcpStream>>,
}

impl UnderWay {
    /// Waits until the client has left behind more bytes than its request; without such hyper sees it itself.
    async fn left(&self) {
        let Some(peer) = &self.peer else { return pending().await };
        loop {
            sleep(LOOK).await;
            if has_left(peer).await {
                return;
            }
        }
    }
}

/// Whether the other side has ended its writing, as the kernel tells it beside what is still to be read.
async fn has_left(peer: &TcpStream) -> bool {
    tokio::select! {
        biased;
        ready = peer.ready(Interest::READABLE) => ready.is_ok_and(|ready| ready.is_read_closed()),
        () = std::future::ready(()) => false,
    }
}

impl Drop for UnderWay {
    fn drop(&mut self) {
        self.line.free(self.origin.elapsed().as_nanos() as Nanos);
    }
}

/// An answer's body, while which its request is under way.
struct Lasting {
    body: Outgo,
    _under_way: UnderWay,
}

impl Body for Lasting {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>, cx: &mut Context,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        match &mut self.body {
            Outgo::Held { body, .. } => Pin::new(body).poll_frame(cx).map_err(|never| match never {}),
            Outgo::Long(relay) => Pin::new(relay).poll_frame(cx),
        }
    }

    fn is_end_stream(&self) -> bool {
        match &self.body {
            Outgo::Held { body, .. } => body.is_end_stream(),
            Outgo::Long(relay) => relay.is_end_stream(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match &self.body {
            Outgo::Held { body, .. } => body.size_hint(),
            Outgo::Long(relay) => relay.size_hint(),
        }
    }
}

/// What is in it.
enum Outgo {
    Held { body: Full<Bytes>, _held: Held },
    Long(Box<Relay>),
}

impl Outgo {
    fn nothing() -> Self {
        Outgo::from(Held::small(Bytes::new()))
    }
}

impl From<Held> for Outgo {
    fn from(held: Held) -> Self {
        Outgo::Held { body: Full::new(held.bytes.clone()), _held: held }
    }
}

/// Notices that the node was held up: what it finds then may have come at any time since.
struct Pulse {
    beat: AtomicU64,
    away_from: AtomicU64,
    back_at: AtomicU64,
}

impl Pulse {
    fn new(now: Nanos) -> Self {
        Pulse { beat: AtomicU64::new(now), away_from: AtomicU64::new(0), back_at: AtomicU64::new(0) }
    }

    fn beat(&self, now: Nanos) {
        let last = self.beat.swap(now, Ordering::Relaxed);
        if now - last > HELD_UP {
            self.away_from.store(last, Ordering::Relaxed);
            self.back_at.store(now, Ordering::Relaxed);
        }
    }

    /// When a request that is read now came in, at the earliest.
    fn arrival(&self, now: Nanos) -> Nanos {
        let last = self.beat.load(Ordering::Relaxed);
        if now - last > HELD_UP {
            return last;
        }
        let just_back = now - self.back_at.load(Ordering::Relaxed) < TURN;
        if just_back {
            self.away_from.load(Ordering::Relaxed)
        } else {
            now
        }
    }
}

/// Tells the driver when hyper gives a request up because its client has left.
struct Waiting<'a> {
    inputs: &'a UnboundedSender<Input>,
    id: RequestId,
    over: &'a CancellationToken,
    answered: bool,
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        if !self.answered {
            self.over.cancel(); // at once: the driver may have much to do before it comes to this
            let _ = self.inputs.send(Input::Gone(self.id));
        }
    }
}

fn response(reply: Reply, asks_head: bool) -> Response<Outgo> {
    let mut response = Response::new(Outgo::nothing());
    match reply {
        Reply::Served(answer) => {
            *response.body_mut() = match answer.body {
                AnswerBody::Held(held) => held.into(),
                AnswerBody::Long(relay) => Outgo::Long(relay),
            };
            if let Some(length) = answer.length.filter(|_| asks_head) {
                response.headers_mut().insert(CONTENT_LENGTH, length);
            }
            answer.content_type.map(|kind| response.headers_mut().insert(CONTENT_TYPE, kind));
        }
        Reply::Refused { retry_after } => {
            *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
            if retry_after > 0 {
                let seconds = format!("{:.3}", retry_after as f64 / 1e9);
                let seconds = HeaderValue::try_from(seconds).expect("a number is plain");
                response.headers_mut().insert(RETRY_AFTER, seconds);
            }
        }
        Reply::Failed => *response.status_mut() = StatusCode::BAD_GATEWAY,
        Reply::Stalled => *response.status_mut() = StatusCode::REQUEST_TIMEOUT,
    }
    response
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::lifecycle::Life;
    use merlinfold_decide::interface::{Class, Effect, Placement};
    use tokio::io::{AsyncReadExt, AsyncWriteExt};

    /// What a peer gets that sends this and then nothing more, and after which time the connection ends.
    async fn sent(text: &str) -> (String, Duration) {
        let (inputs, _held) = tokio::sync::mpsc::unbounded_channel();
        let mut names = Names::default();
        names.classes.number("read");
        let class = Class {
            aim: 4_000_000_000,
            deadline: 5_000_000_000,
            worth: 1.0,
            late_worth: 0.0,
            effect: Effect::Safe,
            placement: Placement::default(),
        };
        let settings = Settings { classes: vec![class], ..Settings::default() };
        let (_posture, posture) = watch::channel(Life::new(5_000_000_000).posture());
        let front = Arc::new(Front::new(
            &settings,
            &names,
            Clock::new(),
            inputs,
            Room::new(256, 1 << 20, false),
            posture,
        ));
        let (_close, closing) = watch::channel(false);
        let slot = front.room.clients.take().await;
        let (mut peer, stream) = tokio::io::duplex(1 << 20);
        let begun = Instant::now();
        let serving = front.clone();
        let connection = tokio::spawn(async move {
            serving.connection(stream, None, closing).await;
            drop(slot);
        });
        peer.write_all(text.as_bytes()).await.unwrap();
        let mut answer = String::new();
        let _ = peer.read_to_string(&mut answer).await;
        connection.await.unwrap();
        assert_eq!(front.room.clients.held(), 0, "the slot is free again");
        (answer, begun.elapsed())
    }

    /// Guards clients' slots: a peer that sends no proper request holds one for less than 3 s.
    #[tokio::test(start_paused = true)]
    async fn who_sends_no_proper_request_gets_an_error_or_a_close_within_3_s() {
        let head = "POST /read HTTP/1.1\r\nHost: x\r\nX-Txn: 9b1f03aa5c7e2d41\r\n";
        let cases = [
            (String::new(), ""),
            ("POST /re".to_owned(), ""),
            (head.to_owned(), ""),
            (format!("{head}Content-Length: 5\r\n\r\npin"), "HTTP/1.1 408"),
            ("GET /read HTTP/1.1\r\nHost: x\r\n\r\n".to_owned(), "HTTP/1.1 400"),
            ("GET /nothing HTTP/1.1\r\nHost: x\r\n\r\n".to_owned(), "HTTP/1.1 404"),
            (format!("{head}X-Fill: {}", "x".repeat(2 * HEAD_MOST)), "HTTP/1.1 431"),
        ];
        for (text, answer) in cases {
            let (got, after) = sent(&text).await;
            let shown = &text[..text.len().min(100)];
            assert!(after < Duration::from_secs(3), "{shown:?} held its slot for {after:?}");
            assert!(got.starts_with(answer), "{shown:?} got {got:?}");
        }
    }

    #[test]
    fn only_what_a_hold_up_kept_waiting_counts_from_its_beginning() {
        let ms = |n: u64| n * 1_000_000;
        let pulse = Pulse::new(ms(1_000));
        pulse.beat(ms(1_010));
        assert_eq!(pulse.arrival(ms(1_015)), ms(1_015));
        assert_eq!(pulse.arrival(ms(1_200)), ms(1_010), "found before the next beat");
        pulse.beat(ms(1_200));
        assert_eq!(pulse.arrival(ms(1_201)), ms(1_010), "found after it");
        assert_eq!(pulse.arrival(ms(1_205)), ms(1_205), "the hold-up is over");
    }
}
