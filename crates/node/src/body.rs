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

use crate::capacity::{Slots, UNIT};
use crate::clock::Clock;

/// Bytes of a body up to which it may be held, either way.
pub const MAX_HELD_BODY: usize = 64 << 10;
const FREE: usize = 8 << 10; // bytes of a body that are held without asking: as many as a connection buffers
const STALLED: Duration = Duration::from_secs(2); // without a byte of a body that its client owes

/// What all bodies that are held may take together.
#[derive(Clone)]
pub struct Budget(pub Arc<Slots>);

/// The part of the budget that one body has; none for a small one.
pub type Share = Option<OwnedSemaphorePermit>;

impl Budget {
    /// Room for a body of this size; none if there is not so much left.
    fn reserve(&self, bytes: usize) -> Option<Share> {
        if bytes <= FREE {
            return Some(None);
        }
        let units = bytes.div_ceil(UNIT) as u32; // a held body has 64 of them at most
        self.0.try_take(units).map(Some)
    }
}

/// A whole body, with the room that it takes.
#[derive(Debug)]
pub struct Held {
    /// Its bytes.
    pub bytes: Bytes,
    _share: Share,
}

impl Held {
    /// One that fits in a connection's buffer and takes no room.
    pub fn small(bytes: Bytes) -> Self {
        Held { bytes, _share: None }
    }
}

impl From<Gathered> for Held {
    fn from(gathered: Gathered) -> Self {
        Held { bytes: gathered.held, _share: gathered.share }
    }
}

/// What was read of a body before it was decided what to do with it.
pub struct Gathered {
    /// Its bytes so far.
    pub held: Bytes,
    /// The room that they take.
    pub share: Share,
    /// All of it.
    pub whole: bool,
}

/// Why a body could not be read.
pub enum Broken {
    /// It did not come in time.
    Late,
    /// Its connection or its framing broke.
    Off,
}

/// Reads a body as far as it may be held. `next` tells how long to wait for more when so many bytes are there;
/// where it gives up without fault, what there is passes on.
pub async fn gather(
    body: &mut Incoming, budget: &Budget, next: impl Fn(usize) -> (Instant, Waited),
) -> Result<Gathered, Broken> {
    let told = body.size_hint().exact();
    let none = Gathered { held: Bytes::new(), share: None, whole: false };
    // Where the length is told room is taken once; a body beyond it passes on from its first bytes.
    let mut share = match told {
        Some(length) if length > MAX_HELD_BODY as u64 => return Ok(none),
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
            Ok(Some(frame)) => frame.map_err(|_| Broken::Off)?,
            Err(_) => match waited {
                Waited::TooLong => return Err(Broken::Late),
                Waited::Enough => return Ok(Gathered { held: held.freeze(), share, whole: false }),
            },
        };
        let Ok(data) = frame.into_data() else { continue }; // trailers: framing is free
        if held.is_empty() && told == Some(data.len() as u64) {
            return Ok(Gathered { held: data, share, whole: true });
        }
        held.extend_from_slice(&data);
        if told.is_none() && share.is_none() && held.len() > FREE {
            match budget.reserve(MAX_HELD_BODY) {
                Some(reserved) => share = reserved,
                None => return Ok(Gathered { held: held.freeze(), share, whole: false }),
            }
        }
        if held.len() > MAX_HELD_BODY {
            return Ok(Gathered { held: held.freeze(), share, whole: false });
        }
    }
    Ok(Gathered { held: held.freeze(), share, whole: true })
}

/// What it means that no more of a body has come.
pub enum Waited {
    /// Its sender is at fault.
    TooLong,
    /// It is time to pass on what there is.
    Enough,
}

/// A long body on its way from a client: nothing of it is kept, so it goes out once, unless nothing was taken yet.
pub struct Upload {
    parts: Mutex<Parts>,
    length: Option<u64>,
    begun: AtomicBool,
    stalled: AtomicBool,
    over: AtomicU64, // when its last byte was handed on; 0: not yet
    changed: Notify,
    clock: Clock,
}

struct Parts {
    held: Bytes,
    share: Share,
    rest: Incoming,
}

impl Upload {
    /// What was gathered of a body, and the rest.
    pub fn new(gathered: Gathered, rest: Incoming, clock: Clock) -> Self {
        let told = rest.size_hint().exact().map(|rest| rest + gathered.held.len() as u64);
        let Gathered { held, share, .. } = gathered;
        Upload {
            parts: Mutex::new(Parts { held, share, rest }),
            length: told,
            begun: AtomicBool::new(false),
            stalled: AtomicBool::new(false),
            over: AtomicU64::new(0),
            changed: Notify::new(),
            clock,
        }
    }

    fn parts(&self) -> MutexGuard<'_, Parts> {
        self.parts.lock().unwrap_or_else(PoisonError::into_inner) // frames are taken whole or not at all
    }

    /// Some of it is gone: it cannot be sent again.
    pub fn is_spent(&self) -> bool {
        self.begun.load(Ordering::Relaxed)
    }

    /// Its client owes the rest and did not send it in time.
    pub fn is_stalled(&self) -> bool {
        self.stalled.load(Ordering::Relaxed)
    }

    /// When its last byte was handed to a connection.
    pub fn over(&self) -> Option<Nanos> {
        Some(self.over.load(Ordering::Relaxed)).filter(|&at| at > 0)
    }

    /// Waits until then.
    pub async fn wait(&self) -> Nanos {
        loop {
            let changed = self.changed.notified();
            if let Some(at) = self.over() {
                return at;
            }
            changed.await;
        }
    }

    fn end(&self) {
        self.over.store(self.clock.now(), Ordering::Relaxed);
        self.changed.notify_waiters();
    }
}

/// A request's body as an attempt sends it.
pub enum Sending {
    /// Held; none once it is sent.
    Held(Option<Bytes>),
    /// Passing through.
    Long {
        /// What it comes from.
        upload: Arc<Upload>,
        /// The held part is on its way.
        held_sent: bool,
        /// Until its client has to have sent more, while that is what it waits for.
        patience: Option<Pin<Box<Sleep>>>,
    },
}

impl Sending {
    /// From the beginning of the upload.
    pub fn long(upload: Arc<Upload>) -> Self {
        Sending::Long { upload, held_sent: false, patience: None }
    }
}

impl Body for Sending {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(self: Pin<&mut Self>, cx: &mut Context) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        match self.get_mut() {
            Sending::Held(bytes) => Poll::Ready(bytes.take().map(|bytes| Ok(Frame::data(bytes)))),
            Sending::Long { upload, held_sent, patience } => {
                let mut parts = upload.parts();
                if !std::mem::replace(held_sent, true) && !parts.held.is_empty() {
                    return Poll::Ready(Some(Ok(Frame::data(parts.held.clone()))));
                }
                let frame = match Pin::new(&mut parts.rest).poll_frame(cx) {
                    Poll::Ready(frame) => frame,
                    Poll::Pending => {
                        let patience = patience.get_or_insert_with(|| Box::pin(sleep(STALLED)));
                        ready!(patience.as_mut().poll(cx));
                        upload.stalled.store(true, Ordering::Relaxed);
                        upload.begun.store(true, Ordering::Relaxed);
                        return Poll::Ready(Some(Err(io::ErrorKind::TimedOut.into())));
                    }
                };
                *patience = None;
                upload.begun.store(true, Ordering::Relaxed);
                (parts.held, parts.share) = (Bytes::new(), None);
                let broke = matches!(frame, Some(Err(_)));
                if frame.is_none() || !broke && parts.rest.is_end_stream() {
                    upload.end();
                }
                Poll::Ready(frame.map(|frame| frame.map_err(io::Error::other)))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Sending::Held(bytes) => bytes.is_none(),
            Sending::Long { upload, .. } => upload.over().is_some(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Sending::Held(bytes) => SizeHint::with_exact(bytes.as_ref().map_or(0, |b| b.len() as u64)),
            Sending::Long { upload, .. } => {
                upload.length.map_or_else(SizeHint::default, SizeHint::with_exact)
            }
        }
    }
}
