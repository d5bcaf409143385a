//! Request and response bodies. Short bodies are buffered whole; long bodies are streamed frame by frame, so that
//! neither side is read faster than the other accepts data.

use std::sync::Arc;

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use tokio::sync::OwnedSemaphorePermit;
use tokio::time::{timeout_at, Instant};

use crate::capacity::{Slots, BODY_UNIT_BYTES};

mod upload;

pub use upload::{AttemptBody, Upload};

/// Maximum size of a request or response body that is buffered, in bytes.
pub const MAX_BUFFERED_BODY_BYTES: usize = 64 << 10;
/// Bytes of a body that may be buffered without a reservation: as many as a connection buffers anyway.
const UNRESERVED_BODY_BYTES: usize = 8 << 10;

/// Memory that all buffered bodies may use together.
#[derive(Clone)]
pub struct BufferBudget(pub Arc<Slots>);

/// The share of the budget that one body has reserved; `None` for a body of at most [`UNRESERVED_BODY_BYTES`].
pub type BufferReservation = Option<OwnedSemaphorePermit>;

impl BufferBudget {
    /// Reserves memory for a body of `bytes`; returns `None` if the budget has too little left.
    fn reserve(&self, bytes: usize) -> Option<BufferReservation> {
        if bytes <= UNRESERVED_BODY_BYTES {
            return Some(None);
        }
        let units = bytes.div_ceil(BODY_UNIT_BYTES) as u32; // at most 64 for one buffered body
        self.0.try_acquire(units).map(Some)
    }
}

/// A complete body in memory, with its reservation.
#[derive(Debug)]
pub struct BufferedBody {
    /// Content of the body.
    pub bytes: Bytes,
    _reservation: BufferReservation,
}

impl BufferedBody {
    /// Wraps a body that fits in a connection's buffer and needs no reservation.
    pub fn small(bytes: Bytes) -> Self {
        BufferedBody { bytes, _reservation: None }
    }
}

impl From<BodyPrefix> for BufferedBody {
    fn from(prefix: BodyPrefix) -> Self {
        BufferedBody { bytes: prefix.bytes, _reservation: prefix.reservation }
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
}

/// Reads a body until it is complete or exceeds what may be buffered. `wait_limit` maps the number of bytes received to
/// the time until which to wait for more, and to what happens then: an error, or streaming of the rest.
pub async fn buffer_body(
    body: &mut Incoming, budget: &BufferBudget, wait_limit: impl Fn(usize) -> (Instant, OnTimeout),
) -> Result<BodyPrefix, BodyError> {
    let length_hint = body.size_hint().exact();
    let nothing_read = BodyPrefix { bytes: Bytes::new(), reservation: None, is_complete: false };
    // Memory for a body of known length is reserved once; one that does not fit is streamed from its first byte.
    let mut reservation = match length_hint {
        Some(length) if length > MAX_BUFFERED_BODY_BYTES as u64 => return Ok(nothing_read),
        Some(length) => match budget.reserve(length as usize) {
            Some(reservation) => reservation,
            None => return Ok(nothing_read),
        },
        None => None,
    };
    let mut buffer = BytesMut::new();
    while !body.is_end_stream() {
        let (deadline, on_timeout) = wait_limit(buffer.len());
        let frame = match timeout_at(deadline, body.frame()).await {
            Ok(None) => break,
            Ok(Some(frame)) => frame.map_err(|_| BodyError::Broken)?,
            Err(_) => match on_timeout {
                OnTimeout::Fail => return Err(BodyError::TimedOut),
                OnTimeout::Stream => {
                    return Ok(BodyPrefix { bytes: buffer.freeze(), reservation, is_complete: false })
                }
            },
        };
        let Ok(data) = frame.into_data() else { continue }; // trailers are dropped: the node chooses its own framing
        if buffer.is_empty() && length_hint == Some(data.len() as u64) {
            return Ok(BodyPrefix { bytes: data, reservation, is_complete: true });
        }
        buffer.extend_from_slice(&data);
        if length_hint.is_none() && reservation.is_none() && buffer.len() > UNRESERVED_BODY_BYTES {
            match budget.reserve(MAX_BUFFERED_BODY_BYTES) {
                Some(reserved) => reservation = reserved,
                None => return Ok(BodyPrefix { bytes: buffer.freeze(), reservation, is_complete: false }),
            }
        }
        if buffer.len() > MAX_BUFFERED_BODY_BYTES {
            return Ok(BodyPrefix { bytes: buffer.freeze(), reservation, is_complete: false });
        }
    }
    Ok(BodyPrefix { bytes: buffer.freeze(), reservation, is_complete: true })
}

/// What happens when no more of a body arrives in time.
pub enum OnTimeout {
    /// Reading fails, because the sender is too slow.
    Fail,
    /// The bytes received so far are forwarded, and the rest is streamed.
    Stream,
}
