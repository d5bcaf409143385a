//! What gives way when slots or memory run out: connections that hold much and move nothing come first, and nobody whose
//! request was read is closed without an answer.

use super::*;
use crate::memory::resident_bytes;

/// Time without a byte after which a connection gives way to others: peers send in pieces with pauses between them.
const STILL_TIME: Nanos = 200_000_000;
/// The same while the node stops: everybody who waits to be accepted has to be answered before the end.
const STILL_TIME_AT_STOP: Nanos = 50_000_000;
/// Connections that give way at once.
const MAX_EVICTIONS: usize = 8;
const KIB: usize = 1 << 10;

impl Front {
    /// Ends connections that move too little, while others wait for a slot or memory.
    pub(super) fn evict_for_others(&self) {
        let memory = &self.capacity.process_memory;
        if self.slot_waiters.count() > 0 {
            self.evict(Candidates::All);
        } else if !memory.allows(Purpose::StillConnection) {
            self.evict(Candidates::Used);
        } else if self.capacity.bodies.waiting() > 0 {
            self.evict(Candidates::ReceivingBody);
        }
    }

    fn evict(&self, candidates: Candidates) {
        let is_stopping = self.posture.borrow().stop.is_some();
        let limit = if is_stopping { STILL_TIME_AT_STOP } else { STILL_TIME };
        let evicted = (0..MAX_EVICTIONS).take_while(|_| self.open.evict(candidates, limit)).count();
        self.stats.evicted.fetch_add(evicted as u64, Ordering::Relaxed);
    }

    /// Reads as much of a body as is buffered; for one that is streamed, reserves the memory of a stream. The body waits for
    /// memory until its answer is due to a client that waits for `client_time` since `since`.
    pub(super) async fn read_body(
        &self, body: &mut Incoming, since: Nanos, client_time: Nanos,
        wait_limit: impl Fn(usize) -> (Instant, OnTimeout),
    ) -> Result<(BodyPrefix, BufferReservation), BodyError> {
        let budget = BufferBudget::new(&self.capacity);
        let answer_deadline = &self.answer_deadline;
        let without_memory = WithoutMemory::WaitUntilDue { answer_deadline, since, client_time };
        let prefix = buffer_body(body, &budget, without_memory, wait_limit).await?;
        if prefix.is_complete || prefix.reservation.is_some() {
            return Ok((prefix, None));
        }
        tokio::select! {
            reservation = budget.wait_for_stream() => Ok((prefix, reservation)),
            () = answer_deadline.wait(since, client_time) => Err(BodyError::NoMemory),
        }
    }

    /// Gives a streamed request up, unless a server may have run it: once it is to give way to others and its client owes
    /// bytes, or once a stop leaves no time for its answer. The driver refuses it then. Never completes.
    pub(super) async fn abandon_upload(
        &self, id: RequestId, request: &UpstreamRequest, timeouts: &ConnectionTimeouts,
    ) {
        let Some(upload) = request.upload() else { return pending().await };
        let gives_way = async {
            timeouts.wait_for_eviction().await;
            if !timeouts.is_input_empty() {
                pending().await
            }
        };
        let reason = tokio::select! {
            () = gives_way => "its client moves nothing",
            () = upload.wait_until_overdue(NEVER) => "the node stops",
        };
        if request.abandon_upload() {
            debug!(request = id.0, txn = request.transaction_id(), reason, "long request given up");
            self.refuse_for_memory(reason);
            let _ = self.inputs.send(Input::UploadAbandoned(id));
        }
        pending().await
    }

    /// Counts a request that is refused because memory is short. Returns its status.
    pub(super) fn refuse_for_memory(&self, reason: &str) -> StatusCode {
        increment(&self.stats.refused_for_memory);
        debug!(
            reason,
            allocated = self.capacity.process_memory.allocated(),
            "request refused: memory is short"
        );
        StatusCode::SERVICE_UNAVAILABLE
    }

    /// Writes a log line on the memory of the process if it was short since the last one.
    pub(super) fn report_memory(&self) {
        let refused = self.stats.refused_for_memory.swap(0, Ordering::Relaxed);
        let evicted = self.stats.evicted.swap(0, Ordering::Relaxed);
        let slow_readers = self.stats.slow_readers.swap(0, Ordering::Relaxed);
        if refused + evicted == 0 {
            return;
        }
        let memory = &self.capacity.process_memory;
        info!(
            allocated_kib = memory.allocated() / KIB,
            limit_kib = memory.limit() / KIB,
            resident_kib = resident_bytes().map(|bytes| bytes / KIB),
            bodies_kib = self.capacity.bodies.in_use(),
            bodies_limit_kib = self.capacity.bodies.total(),
            waiting = self.capacity.bodies.waiting(),
            refused,
            evicted,
            slow_readers,
            "memory"
        );
    }
}

/// The status for a body that could not be read.
pub(super) fn status_of(error: BodyError) -> StatusCode {
    match error {
        BodyError::TimedOut => StatusCode::REQUEST_TIMEOUT,
        BodyError::Broken => StatusCode::BAD_REQUEST,
        BodyError::NoMemory => StatusCode::SERVICE_UNAVAILABLE,
    }
}
