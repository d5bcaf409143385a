//! Streamed request bodies: the client's upload, and the body of the attempt that sends it.

use std::future::Future;
use std::io;
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{ready, Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use merlinfold_decide::interface::Nanos;
use tokio::sync::Notify;
use tokio::time::{sleep, Sleep};

use super::{BodyPrefix, BufferReservation, InputClock};
use crate::answer_deadline::AnswerDeadline;
use crate::clock::Clock;
use crate::metrics::AttemptCounter;

/// Longest time without a byte of a streamed request body before the client counts as stalled.
const UPLOAD_STALL_TIMEOUT: Duration = Duration::from_secs(2);
/// Time for a connection to go on by itself after the node was held up, before its server counts as unresponsive.
const RESUME_GRACE: Duration = Duration::from_millis(20);

/// A streamed request body. Bytes that were passed on are not kept, so the body can be sent once only, except while no
/// byte beyond the prefix has been read.
pub struct Upload {
    state: Mutex<UploadState>,
    length: Option<u64>,
    consumed: AtomicBool,
    stalled: AtomicBool,
    response_begun: AtomicBool,
    awaits_client: AtomicBool, // the connection has room, and the client owes the next bytes
    taken_at: AtomicU64,       // when a connection last took bytes
    completed_at: AtomicU64,   // when the last byte was handed to a connection; 0: not yet
    completion: Notify,
    abandonment: Notify,
    clock: Clock,
    answer_deadline: AnswerDeadline,
    _stream_memory: BufferReservation,
}

struct UploadState {
    input: InputClock,
    prefix: Bytes,
    reservation: BufferReservation,
    rest: Incoming,
    is_abandoned: bool, // nothing more of it is handed to a connection
}

impl Upload {
    /// Creates an upload from the prefix that was read, the rest of the body, and the memory for streaming it.
    /// `answer_deadline` is when a whole request has to be answered; `new_input` creates the record of its bytes for a body
    /// of this length.
    pub fn new(
        prefix: BodyPrefix, rest: Incoming, stream_memory: BufferReservation, clock: Clock,
        answer_deadline: AnswerDeadline, new_input: impl FnOnce(Option<u64>) -> InputClock,
    ) -> Self {
        let length_hint = rest.size_hint().exact().map(|rest| rest + prefix.bytes.len() as u64);
        let mut input = new_input(length_hint);
        input.bytes_read(prefix.bytes.len() as u64, clock.now());
        let BodyPrefix { bytes, reservation, .. } = prefix;
        Upload {
            state: Mutex::new(UploadState { input, prefix: bytes, reservation, rest, is_abandoned: false }),
            length: length_hint,
            consumed: AtomicBool::new(false),
            stalled: AtomicBool::new(false),
            response_begun: AtomicBool::new(false),
            awaits_client: AtomicBool::new(false),
            taken_at: AtomicU64::new(0),
            completed_at: AtomicU64::new(0),
            completion: Notify::new(),
            abandonment: Notify::new(),
            clock,
            answer_deadline,
            _stream_memory: stream_memory,
        }
    }

    fn lock(&self) -> MutexGuard<'_, UploadState> {
        // A frame is taken whole or not at all, so the state stays valid after a panic.
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns whether a part of the body is gone, so that it cannot be sent again.
    pub fn is_consumed(&self) -> bool {
        self.consumed.load(Ordering::Relaxed)
    }

    /// Returns whether the client did not send the rest in time.
    pub fn is_stalled(&self) -> bool {
        self.stalled.load(Ordering::Relaxed)
    }

    /// Returns the length of the body, if the client stated it.
    pub fn length(&self) -> Option<u64> {
        self.length
    }

    /// Returns when the last byte was handed to a connection. From then on a server may run the request.
    pub fn completed_at(&self) -> Option<Nanos> {
        Some(self.completed_at.load(Ordering::Relaxed)).filter(|&at| at > 0)
    }

    /// Records that a server has begun to respond: whatever it has of the request, it may have run it.
    pub fn response_begun(&self) {
        self.response_begun.store(true, Ordering::Relaxed);
    }

    /// Returns whether a server may have run the request.
    pub fn may_have_run(&self) -> bool {
        self.completed_at().is_some() || self.response_begun.load(Ordering::Relaxed)
    }

    /// Gives the upload up unless a server may have run the request. Returns whether none has and none can: from now on no
    /// connection gets any more of the body.
    pub fn abandon(&self) -> bool {
        let mut state = self.lock();
        if self.may_have_run() {
            return false;
        }
        state.is_abandoned = true;
        drop(state);
        self.abandonment.notify_waiters();
        true
    }

    /// Returns whether the upload was given up before a server could run the request.
    pub fn is_abandoned(&self) -> bool {
        self.lock().is_abandoned
    }

    /// Waits until the upload is given up.
    pub async fn wait_until_abandoned(&self) {
        loop {
            let changed = self.abandonment.notified();
            if self.is_abandoned() {
                return;
            }
            changed.await;
        }
    }

    /// Waits until the last byte has been handed to a connection, and returns that time.
    pub async fn wait_until_complete(&self) -> Nanos {
        loop {
            let changed = self.completion.notified();
            if let Some(at) = self.completed_at() {
                return at;
            }
            changed.await;
        }
    }

    /// Waits until the connection has taken nothing for `limit`, counted from `started` at the earliest, although the
    /// client's next bytes are ready: its server does not read.
    pub async fn wait_until_blocked(&self, started: Nanos, limit: Nanos) {
        loop {
            let now = self.clock.now();
            let taken_at = self.taken_at.load(Ordering::Relaxed);
            let waits_since = if self.awaits_server() { taken_at.max(started) } else { now };
            let time_left = (waits_since + limit).saturating_sub(now);
            if time_left > 0 {
                sleep(Duration::from_nanos(time_left)).await;
                continue;
            }
            sleep(RESUME_GRACE).await;
            if self.awaits_server() && self.taken_at.load(Ordering::Relaxed) == taken_at {
                return;
            }
        }
    }

    /// Waits until the request has to be answered whose last byte a connection has had for `client_time`, or for which a
    /// stop leaves no more time.
    pub async fn wait_until_due(&self, client_time: Nanos) {
        let completed_at = self.wait_until_complete().await;
        self.answer_deadline.wait(completed_at, client_time).await;
    }

    /// Waits until the last byte may have been written `limit` ago, or a stop leaves it no more time: the client's time is
    /// over.
    pub async fn wait_until_overdue(&self, limit: Nanos) {
        let mut answer_deadline = self.answer_deadline.clone();
        loop {
            let now = self.clock.now();
            let is_awaited = self.awaits_client.load(Ordering::Relaxed);
            let last_byte_since = self.lock().input.last_byte_since(is_awaited);
            let due = answer_deadline.current(last_byte_since.unwrap_or(now), limit);
            if due <= now && last_byte_since.is_some() {
                return;
            }
            answer_deadline.sleep_or_change(due - now).await;
        }
    }

    /// Returns whether the next step is the server's: it has to read before more can be sent.
    fn awaits_server(&self) -> bool {
        !self.awaits_client.load(Ordering::Relaxed) && self.completed_at().is_none()
    }

    /// Records that the connection has taken bytes.
    fn taken(&self) {
        self.awaits_client.store(false, Ordering::Relaxed);
        self.taken_at.store(self.clock.now(), Ordering::Relaxed);
    }

    /// Records that the connection has the last byte. It must come before the connection can write that byte, whatever
    /// frame ends the body: an upload without this record counts as never run. Returns whether it is the first record.
    fn complete(&self) -> bool {
        if self.completed_at().is_some() {
            return false;
        }
        self.completed_at.store(self.clock.now().max(1), Ordering::Relaxed);
        self.completion.notify_waiters();
        true
    }
}

/// The request body that an attempt sends.
pub enum AttemptBody {
    /// Buffered; `None` once it is sent.
    Buffered(Option<Bytes>),
    /// Streamed from the client.
    Streamed {
        /// Source of the body.
        upload: Arc<Upload>,
        /// Whether the prefix has been sent.
        prefix_sent: bool,
        /// Runs while the client owes more bytes; the client counts as stalled when it elapses.
        stall_timer: Option<Pin<Box<Sleep>>>,
        /// Counts the attempt once the connection has the last byte.
        sent_attempts: AttemptCounter,
    },
}

impl AttemptBody {
    /// Streams an upload from its first byte.
    pub fn streamed(upload: Arc<Upload>, sent_attempts: AttemptCounter) -> Self {
        AttemptBody::Streamed { upload, prefix_sent: false, stall_timer: None, sent_attempts }
    }
}

impl Body for AttemptBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(self: Pin<&mut Self>, cx: &mut Context) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        match self.get_mut() {
            AttemptBody::Buffered(bytes) => Poll::Ready(bytes.take().map(|bytes| Ok(Frame::data(bytes)))),
            AttemptBody::Streamed { upload, prefix_sent, stall_timer, sent_attempts } => {
                let mut state = upload.lock();
                if state.is_abandoned {
                    return Poll::Ready(Some(Err(io::ErrorKind::ConnectionAborted.into())));
                }
                if !std::mem::replace(prefix_sent, true) && !state.prefix.is_empty() {
                    upload.taken();
                    return Poll::Ready(Some(Ok(Frame::data(state.prefix.clone()))));
                }
                let frame = match Pin::new(&mut state.rest).poll_frame(cx) {
                    Poll::Ready(frame) => frame,
                    Poll::Pending => {
                        upload.awaits_client.store(true, Ordering::Relaxed);
                        let stall_timer =
                            stall_timer.get_or_insert_with(|| Box::pin(sleep(UPLOAD_STALL_TIMEOUT)));
                        ready!(stall_timer.as_mut().poll(cx));
                        upload.stalled.store(true, Ordering::Relaxed);
                        upload.consumed.store(true, Ordering::Relaxed);
                        return Poll::Ready(Some(Err(io::ErrorKind::TimedOut.into())));
                    }
                };
                *stall_timer = None;
                upload.taken();
                upload.consumed.store(true, Ordering::Relaxed);
                (state.prefix, state.reservation) = (Bytes::new(), None);
                let data = match frame {
                    Some(Err(error)) => return Poll::Ready(Some(Err(io::Error::other(error)))),
                    // Trailers end a body as well. They are not forwarded: they belong to one hop.
                    Some(Ok(frame)) => frame.into_data().ok(),
                    None => None,
                };
                let length = data.as_ref().map_or(0, Bytes::len);
                state.input.bytes_read(length as u64, upload.clock.now());
                let is_last = data.is_none() || state.rest.is_end_stream();
                if is_last {
                    state.input.ended();
                }
                if is_last && upload.complete() {
                    sent_attempts.increment();
                }
                Poll::Ready(data.map(|data| Ok(Frame::data(data))))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            AttemptBody::Buffered(bytes) => bytes.is_none(),
            AttemptBody::Streamed { upload, .. } => upload.completed_at().is_some(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            AttemptBody::Buffered(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, |b| b.len() as u64))
            }
            AttemptBody::Streamed { upload, .. } => {
                upload.length.map_or_else(SizeHint::default, SizeHint::with_exact)
            }
        }
    }
}
