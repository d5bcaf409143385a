//! The state of a request from its arrival to the end of its last attempt.

use super::*;

/// A request that is not answered yet or has attempts that have not ended.
pub(super) struct PendingRequest {
    pub(super) class: usize,
    pub(super) reply_sender: Option<oneshot::Sender<Reply>>, // `None` once answered or abandoned
    pub(super) request: Arc<UpstreamRequest>,
    pub(super) claim: Option<u64>, // its transaction id, if it must not run more than once
    pub(super) resource: Resource,
    pub(super) may_have_run: bool,
    pub(super) deadline: Nanos,
    pub(super) attempts: Vec<AttemptRecord>,
    pub(super) is_streaming: bool, // a streamed response is in progress
}

/// One attempt of a request.
pub(super) struct AttemptRecord {
    pub(super) server: ServerId,
    pub(super) started: Nanos,
    pub(super) task: Option<AbortHandle>, // `None` once its outcome is reported
}

impl PendingRequest {
    /// Ends the request with a reply, or without one because its client has left. This is the only place where a
    /// request ends. Only the first call has an effect and is counted; returns whether this was it.
    pub(super) fn finish(&mut self, reply: Option<Reply>, metrics: &mut Metrics) -> bool {
        let Some(client) = self.reply_sender.take() else { return false };
        self.request.cancellation.cancel();
        self.request.release();
        let end = match &reply {
            // A streamed response ends with its last byte.
            Some(reply) if reply.is_streamed() => None,
            Some(Reply::Served(_)) => Some(RequestEnd::Completed),
            Some(Reply::Refused { .. }) => Some(RequestEnd::Rejected),
            Some(Reply::Failed | Reply::Stalled) => Some(RequestEnd::Failed),
            None => Some(RequestEnd::ClientLeft),
        };
        match end {
            Some(end) => metrics.request_ended(self.class, end),
            None => self.is_streaming = true,
        }
        if let Some(reply) = reply {
            let _ = client.send(reply); // a client that has just left counts as answered
        }
        true
    }

    /// Counts the end of a streamed response, which ends its request.
    pub(super) fn response_ended(&mut self, end: RequestEnd, metrics: &mut Metrics) {
        if std::mem::take(&mut self.is_streaming) {
            metrics.request_ended(self.class, end);
        }
    }

    /// Returns whether a streamed request body is still being received.
    pub(super) fn is_uploading(&self) -> bool {
        self.request.upload().is_some_and(|upload| upload.completed_at().is_none())
    }

    /// Returns whether an attempt is in progress.
    pub(super) fn has_attempt(&self) -> bool {
        self.attempts.iter().any(|attempt| attempt.task.is_some())
    }

    /// Returns whether the request is answered and no attempt or response is in progress.
    pub(super) fn is_finished(&self) -> bool {
        self.reply_sender.is_none() && !self.is_streaming && !self.has_attempt()
    }
}
