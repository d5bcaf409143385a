//! Bodies on their way through the node. Short ones are held, long ones pass through frame by frame: neither side
//! is read faster than the other takes it.

use std::future::Future;
use std::io;
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{ready, Context, Poll};
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use merlinfold_decide::interface::Nanos;
use tokio::sync::{Notify, OwnedSemaphorePermit};
use tokio::time::{sleep, timeout_at, Instant, Sleep};

use crate::capacity::{Slots, BODY_UNIT_BYTES};
use crate::clock::Clock;

/// Bytes of a body up to which it may be held, either way.
pub const MAX_BUFFERED_BODY_BYTES: usize = 64 << 10;
const UNRESERVED_BODY_BYTES: usize = 8 << 10; // bytes of a body that are held without asking: as many as a connection buffers
const UPLOAD_STALL_TIMEOUT: Duration = Duration::from_secs(2); // without a byte of a body that its client owes

/// What all bodies that are held may take together.
#[derive(Clone)]
pub struct BufferBudget(pub Arc<Slots>);

/// The part of the budget that one body has; none for a small one.
pub type BufferReservation = Option<OwnedSemaphorePermit>;

impl BufferBudget {
    /// Room for a body of this size; none if there is not so much left.
    fn reserve(&self, bytes: usize) -> Option<BufferReservation> {
        if bytes <= UNRESERVED_BODY_BYTES {
            return Some(None);
        }
        let units = bytes.div_ceil(BODY_UNIT_BYTES) as u32; // a held body has 64 of them at most
        self.0.try_acquire(units).map(Some)
    }
}

/// A whole body, with the room that it takes.
#[derive(Debug)]
pub struct BufferedBody {
    /// Its bytes.
    pub bytes: Bytes,
    _reservation: BufferReservation,
}

impl BufferedBody {
    /// One that fits in a connection's buffer and takes no room.
    pub fn small(bytes: Bytes) -> Self {
        BufferedBody { bytes, _reservation: None }
    }
}

impl From<BodyPrefix> for BufferedBody {
    fn from(gathered: BodyPrefix) -> Self {
        BufferedBody { bytes: gathered.bytes, _reservation: gathered.reservation }
    }
}

/// What was read of a body before it was decided what to do with it.
pub struct BodyPrefix {
    /// Its bytes so far.
    pub bytes: Bytes,
    /// The room that they take.
    pub reservation: BufferReservation,
    /// All of it.
    pub is_complete: bool,
}

/// Why a body could not be read.
pub enum BodyError {
    /// It did not come in time.
    TimedOut,
    /// Its connection or its framing broke.
    Broken,
}

/// Reads a body as far as it may be held. `next` tells how long to wait for more when so many bytes are there;
/// where it gives up without fault, what there is passes on.
pub async fn buffer_body(
    body: &mut Incoming, budget: &BufferBudget, next: impl Fn(usize) -> (Instant, OnTimeout),
) -> Result<BodyPrefix, BodyError> {
    let told = body.size_hint().exact();
    let none = BodyPrefix { bytes: Bytes::new(), reservation: None, is_complete: false };
    // Where the length is told room is taken once; a body beyond it passes on from its first bytes.
    let mut share = match told {
        Some(length) if length > MAX_BUFFERED_BODY_BYTES as u64 => return Ok(none),
        Some(length) => match budget.reserve(length as usize) {
            Some(share) => share,
            None => return Ok(none),
        },
        None => None,
    };
    let mut held = BytesMut::new();
    while !body.is_end_stream() {
        let (until, waited) = next(held.len());
        let frame = match timeout_at(until, body.frame()).await {
            Ok(None) => break,
            Ok(Some(frame)) => frame.map_err(|_| BodyError::Broken)?,
            Err(_) => match waited {
                OnTimeout::Fail => return Err(BodyError::TimedOut),
                OnTimeout::Stream => {
                    return Ok(BodyPrefix { bytes: held.freeze(), reservation: share, is_complete: false })
                }
            },
        };
        let Ok(data) = frame.into_data() else { continue }; // trailers: framing is free
        if held.is_empty() && told == Some(data.len() as u64) {
            return Ok(BodyPrefix { bytes: data, reservation: share, is_complete: true });
        }
        held.extend_from_slice(&data);
        if told.is_none() && share.is_none() && held.len() > UNRESERVED_BODY_BYTES {
            match budget.reserve(MAX_BUFFERED_BODY_BYTES) {
                Some(reserved) => share = reserved,
                None => {
                    return Ok(BodyPrefix { bytes: held.freeze(), reservation: share, is_complete: false })
                }
            }
        }
        if held.len() > MAX_BUFFERED_BODY_BYTES {
            return Ok(BodyPrefix { bytes: held.freeze(), reservation: share, is_complete: false });
        }
    }
    Ok(BodyPrefix { bytes: held.freeze(), reservation: share, is_complete: true })
}

/// What it means that no more of a body has come.
pub enum OnTimeout {
    /// Its sender is at fault.
    Fail,
    /// It is time to pass on what there is.
    Stream,
}

/// A long body on its way from a client: nothing of it is kept, so it goes out once, unless nothing was taken yet.
pub struct Upload {
    state: Mutex<UploadState>,
    length: Option<u64>,
    consumed: AtomicBool,
    stalled: AtomicBool,
    completed_at: AtomicU64, // when its last byte was handed on; 0: not yet
    completion: Notify,
    clock: Clock,
}

struct UploadState {
    held: Bytes,
    share: BufferReservation,
    rest: Incoming,
}

impl Upload {
    /// What was gathered of a body, and the rest.
    pub fn new(gathered: BodyPrefix, rest: Incoming, clock: Clock) -> Self {
        let told = rest.size_hint().exact().map(|rest| rest + gathered.bytes.len() as u64);
        let BodyPrefix { bytes: held, reservation: share, .. } = gathered;
        Upload {
            state: Mutex::new(UploadState { held, share, rest }),
            length: told,
            consumed: AtomicBool::new(false),
            stalled: AtomicBool::new(false),
            completed_at: AtomicU64::new(0),
            completion: Notify::new(),
            clock,
        }
    }

    fn lock(&self) -> MutexGuard<'_, UploadState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner) // frames are taken whole or not at all
    }

    /// Some of it is gone: it cannot be sent again.
    pub fn is_consumed(&self) -> bool {
        self.consumed.load(Ordering::Relaxed)
    }

    /// Its client owes the rest and did not send it in time.
    pub fn is_stalled(&self) -> bool {
        self.stalled.load(Ordering::Relaxed)
    }

    /// When its last byte was handed to a connection.
    pub fn completed_at(&self) -> Option<Nanos> {
        Some(self.completed_at.load(Ordering::Relaxed)).filter(|&at| at > 0)
    }

    /// Waits until then.
    pub async fn wait_until_complete(&self) -> Nanos {
        loop {
            let changed = self.completion.notified();
            if let Some(at) = self.completed_at() {
                return at;
            }
            changed.await;
        }
    }

    fn complete(&self) {
        self.completed_at.store(self.clock.now(), Ordering::Relaxed);
        self.completion.notify_waiters();
    }
}

/// A request's body as an attempt sends it.
pub enum AttemptBody {
    /// Held; none once it is sent.
    Buffered(Option<Bytes>),
    /// Passing through.
    Streamed {
        /// What it comes from.
        upload: Arc<Upload>,
        /// The held part is on its way.
        prefix_sent: bool,
        /// Until its client has to have sent more, while that is what it waits for.
        stall_timer: Option<Pin<Box<Sleep>>>,
    },
}

impl AttemptBody {
    /// From the beginning of the upload.
    pub fn streamed(upload: Arc<Upload>) -> Self {
        AttemptBody::Streamed { upload, prefix_sent: false, stall_timer: None }
    }
}

impl Body for AttemptBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(self: Pin<&mut Self>, cx: &mut Context) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        match self.get_mut() {
            AttemptBody::Buffered(bytes) => Poll::Ready(bytes.take().map(|bytes| Ok(Frame::data(bytes)))),
            AttemptBody::Streamed { upload, prefix_sent: held_sent, stall_timer: patience } => {
                let mut parts = upload.lock();
                if !std::mem::replace(held_sent, true) && !parts.held.is_empty() {
                    return Poll::Ready(Some(Ok(Frame::data(parts.held.clone()))));
                }
                let frame = match Pin::new(&mut parts.rest).poll_frame(cx) {
                    Poll::Ready(frame) => frame,
                    Poll::Pending => {
                        let patience = patience.get_or_insert_with(|| Box::pin(sleep(UPLOAD_STALL_TIMEOUT)));
                        ready!(patience.as_mut().poll(cx));
                        upload.stalled.store(true, Ordering::Relaxed);
                        upload.consumed.store(true, Ordering::Relaxed);
                        return Poll::Ready(Some(Err(io::ErrorKind::TimedOut.into())));
                    }
                };
                *patience = None;
                upload.consumed.store(true, Ordering::Relaxed);
                (parts.held, parts.share) = (Bytes::new(), None);
                let broke = matches!(frame, Some(Err(_)));
                if frame.is_none() || !broke && parts.rest.is_end_stream() {
                    upload.complete();
                }
                Poll::Ready(frame.map(|frame| frame.map_err(io::Error::other)))
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
