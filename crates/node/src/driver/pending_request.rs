//! A request from its arrival to the end of its last attempt.

use super::*;

/// A request in the table: until it is answered and its last attempt has ended.
pub(super) struct PendingRequest {
    pub(super) class: usize,
    pub(super) reply_sender: Option<oneshot::Sender<Reply>>, // none once the final answer is given or nobody waits for it
    pub(super) request: Arc<UpstreamRequest>,
    pub(super) deadline: Nanos,
    pub(super) attempts: Vec<AttemptRecord>,
    pub(super) is_streaming: bool, // a long answer is on its way
}

pub(super) struct AttemptRecord {
    pub(super) server: ServerId,
    pub(super) started: Nanos,
    pub(super) task: Option<AbortHandle>, // none once it has had its outcome
}

impl PendingRequest {
    /// The only place where a request ends: it is answered, or without a reply its client has left. Only the
    /// first end counts, in the figures too; true if this was it.
    pub(super) fn finish(&mut self, reply: Option<Reply>, metrics: &mut Metrics) -> bool {
        let Some(client) = self.reply_sender.take() else { return false };
        self.request.cancellation.cancel();
        let end = match &reply {
            Some(Reply::Served(ServerResponse { body: ServerResponseBody::Streamed(_), .. })) => None, // with its last byte
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
            let _ = client.send(reply); // a client that left just now counts as answered
        }
        true
    }

    /// A long answer has ended, which ends its request.
    pub(super) fn response_ended(&mut self, end: RequestEnd, metrics: &mut Metrics) {
        if std::mem::take(&mut self.is_streaming) {
            metrics.request_ended(self.class, end);
        }
    }

    pub(super) fn is_finished(&self) -> bool {
        self.reply_sender.is_none()
            && !self.is_streaming
            && self.attempts.iter().all(|out| out.task.is_none())
    }
}
