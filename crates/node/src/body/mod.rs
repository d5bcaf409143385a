//! Request and response bodies. Short bodies are buffered whole; long bodies are streamed frame by frame, so that
//! neither side is read faster than the other accepts data.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use merlinfold_decide::interface::Nanos;
use tokio::sync::OwnedSemaphorePermit;
use tokio::time::{timeout, timeout_at, Instant};

use crate::answer_deadline::AnswerDeadline;
use crate::capacity::{Capacity, Slots, BODY_UNIT_BYTES};
use crate::memory::{Memory, Purpose};

mod input_clock;
mod upload;

pub use input_clock::InputClock;
pub use upload::{AttemptBody, Upload};

/// Maximum size of a request or response body that is buffered, in bytes.
pub const MAX_BUFFERED_BODY_BYTES: usize = 64 << 10;
/// Time between two looks at the memory of the process.
const MEMORY_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Bytes of a body that may be buffered without a reservation: as many as a connection buffers anyway.
const UNRESERVED_BODY_BYTES: usize = 8 << 10;

/// Memory that all bodies may use together, those that are streamed included.
#[derive(Clone)]
pub struct BufferBudget {
    bodies: Arc<Slots>,
    memory: Arc<Memory>,
}

/// The share of the budget that one body has reserved; `None` for a body of at most [`UNRESERVED_BODY_BYTES`].
pub type BufferReservation = Option<OwnedSemaphorePermit>;

impl BufferBudget {
    /// Takes the slots for bodies, and lets streams beyond them through while the memory of the process allows them.
    pub fn new(capacity: &Capacity) -> Self {
        BufferBudget { bodies: capacity.bodies.clone(), memory: capacity.process_memory.clone() }
    }

    /// Reserves memory for a body of `bytes`; returns `None` if the budget has too little left.
    fn reserve(&self, bytes: usize) -> Option<BufferReservation> {
        if bytes <= UNRESERVED_BODY_BYTES {
            return Some(None);
        }
        self.bodies.try_acquire(units(bytes)).map(Some)
    }

    /// Waits for memory for a body of `bytes`; whoever came first gets it first.
    async fn wait(&self, bytes: usize) -> BufferReservation {
        if bytes <= UNRESERVED_BODY_BYTES {
            return None;
        }
        Some(self.bodies.acquire_many(units(bytes)).await)
    }

    /// Waits for the memory of a body that is streamed: the buffers of two connections. It is reserved, or the process
    /// has room for it beside all that is reserved.
    pub async fn wait_for_stream(&self) -> BufferReservation {
        let reserved = self.wait(MAX_BUFFERED_BODY_BYTES);
        tokio::pin!(reserved);
        loop {
            if let Ok(reservation) = timeout(MEMORY_POLL_INTERVAL, reserved.as_mut()).await {
                return reservation;
            }
            if self.memory.allows(Purpose::Body) {
                return None;
            }
        }
    }
}

/// Returns the units of a body, at most 64 for one that is buffered.
fn units(bytes: usize) -> u32 {
    bytes.div_ceil(BODY_UNIT_BYTES) as u32
}

/// A complete body in memory. Its reservation lasts as long as any part of the content, wherever that waits.
#[derive(Debug)]
pub struct BufferedBody {
    /// Content of the body.
    pub bytes: Bytes,
}

/// The memory of a body, with its reservation.
struct ReservedBytes {
    bytes: Bytes,
    _reservation: OwnedSemaphorePermit,
}

impl AsRef<[u8]> for ReservedBytes {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl BufferedBody {
    /// Wraps a body that fits in a connection's buffer and needs no reservation.
    pub fn small(bytes: Bytes) -> Self {
        BufferedBody { bytes }
    }
}

impl From<BodyPrefix> for BufferedBody {
    fn from(prefix: BodyPrefix) -> Self {
        let BodyPrefix { bytes, reservation, .. } = prefix;
        match reservation {
            Some(reservation) => {
                BufferedBody::small(Bytes::from_owner(ReservedBytes { bytes, _reservation: reservation }))
            }
            None => BufferedBody::small(bytes),
        }
    }
}

/// The first part of a body, read before it is known whether the body is buffered or streamed.
pub struct BodyPrefix {
    /// Bytes read so far.
    pub bytes: Bytes,
    /// Reservation for these bytes.
    pub reservation: BufferReservation,
    /// Whether these bytes are the whole body.
    pub is_complete: bool,
}

/// Why a body could not be read.
pub enum BodyError {
    /// The next bytes did not arrive in time.
    TimedOut,
    /// The connection failed or the framing is invalid.
    Broken,
    /// There was no memory for it.
    NoMemory,
}

/// What a body does that finds no memory.
#[derive(Clone, Copy)]
pub enum WithoutMemory<'a> {
    /// It waits unread until this answer is due to a request whose last byte has come at `since`.
    WaitUntilDue {
        /// Deadline of the answer.
        answer_deadline: &'a AnswerDeadline,
        /// When the last byte may have come, in nanoseconds of the clock.
        since: Nanos,
        /// Time that the client waits from then.
        client_time: Nanos,
    },
    /// It is streamed.
    Stream,
}

/// Reads a body until it is complete or exceeds what may be buffered. `without_memory` says what happens where it finds no
/// memory. `wait_limit` maps the number of bytes received to
/// the time until which to wait for more, and to what happens then: an error, or streaming of the rest.
pub async fn buffer_body(
    body: &mut Incoming, budget: &BufferBudget, without_memory: WithoutMemory<'_>,
    wait_limit: impl Fn(usize) -> (Instant, OnTimeout),
) -> Result<BodyPrefix, BodyError> {
    let length_hint = body.size_hint().exact();
    let nothing_read = BodyPrefix { bytes: Bytes::new(), reservation: None, is_complete: false };
    // Memory for a body of known length is reserved once.
    let mut reservation = match length_hint {
        Some(length) if length > MAX_BUFFERED_BODY_BYTES as u64 => return Ok(nothing_read),
        Some(length) => match reserve(budget, length as usize, without_memory).await? {
            Some(reservation) => reservation,
            None => return Ok(nothing_read),
        },
        None => None,
    };
    let mut buffer = Vec::new();
    while !body.is_end_stream() {
        let (deadline, on_timeout) = wait_limit(buffer.len());
        let frame = match timeout_at(deadline, body.frame()).await {
            Ok(None) => break,
            Ok(Some(frame)) => frame.map_err(|_| BodyError::Broken)?,
            Err(_) => match on_timeout {
                OnTimeout::Fail => return Err(BodyError::TimedOut),
                OnTimeout::Stream => {
                    return Ok(BodyPrefix { bytes: buffer.into(), reservation, is_complete: false })
                }
            },
        };
        let Ok(data) = frame.into_data() else { continue }; // trailers are dropped: the node chooses its own framing
        if buffer.is_empty() && length_hint == Some(data.len() as u64) {
            return Ok(BodyPrefix { bytes: data, reservation, is_complete: true });
        }
        append(&mut buffer, &data, length_hint);
        drop(data); // it keeps a buffer of the connection
        if length_hint.is_none() && reservation.is_none() && buffer.len() > UNRESERVED_BODY_BYTES {
            let reserved = reserve(budget, MAX_BUFFERED_BODY_BYTES, without_memory).await?;
            match reserved {
                Some(reserved) => reservation = reserved,
                None => return Ok(BodyPrefix { bytes: buffer.into(), reservation, is_complete: false }),
            }
        }
        if buffer.len() > MAX_BUFFERED_BODY_BYTES {
            return Ok(BodyPrefix { bytes: buffer.into(), reservation, is_complete: false });
        }
    }
    Ok(BodyPrefix { bytes: buffer.into(), reservation, is_complete: true })
}

/// Reserves memory for a body. Returns `None` for a body that is to be streamed instead, and an error if it has waited
/// until its time limit.
async fn reserve(
    budget: &BufferBudget, bytes: usize, without_memory: WithoutMemory<'_>,
) -> Result<Option<BufferReservation>, BodyError> {
    match (budget.reserve(bytes), without_memory) {
        (Some(reservation), _) => Ok(Some(reservation)),
        (None, WithoutMemory::Stream) => Ok(None),
        (None, WithoutMemory::WaitUntilDue { answer_deadline, since, client_time }) => tokio::select! {
            reservation = budget.wait(bytes) => Ok(Some(reservation)),
            () = answer_deadline.wait(since, client_time) => Err(BodyError::NoMemory),
        },
    }
}

/// Appends data to a buffer that has its full size from the start, as far as that is reserved: buffers of ever new sizes
/// would leave gaps in the heap.
fn append(buffer: &mut Vec<u8>, data: &[u8], length: Option<u64>) {
    let needed = buffer.len() + data.len();
    if needed > buffer.capacity() {
        let reserved =
            if needed <= UNRESERVED_BODY_BYTES { UNRESERVED_BODY_BYTES } else { MAX_BUFFERED_BODY_BYTES };
        let full = length.map_or(reserved, |length| length as usize);
        buffer.reserve_exact(full.max(needed) - buffer.len());
    }
    buffer.extend_from_slice(data);
}

/// What happens when no more of a body arrives in time.
pub enum OnTimeout {
    /// Reading fails, because the sender is too slow.
    Fail,
    /// The bytes received so far are forwarded, and the rest is streamed.
    Stream,
}
