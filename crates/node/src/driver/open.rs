//! A request from its arrival to the end of its last attempt.

use super::*;

/// A request in the table: until it is answered and its last attempt has ended.
pub(super) struct Open {
    pub(super) class: usize,
    pub(super) client: Option<oneshot::Sender<Reply>>, // none once the final answer is given or nobody waits for it
    pub(super) outgoing: Arc<Outgoing>,
    pub(super) deadline: Nanos,
    pub(super) attempts: Vec<Out>,
    pub(super) relays: bool, // a long answer is on its way
}

pub(super) struct Out {
    pub(super) server: ServerId,
    pub(super) sent: Nanos,
    pub(super) task: Option<AbortHandle>, // none once it has had its outcome
}

impl Open {
    /// The only place where a request ends: it is answered, or without a reply its client has left. Only the
    /// first end counts, in the figures too; true if this was it.
    pub(super) fn end(&mut self, reply: Option<Reply>, figures: &mut Figures) -> bool {
        let Some(client) = self.client.take() else { return false };
        self.outgoing.over.cancel();
        let end = match &reply {
            Some(Reply::Served(Answer { body: AnswerBody::Long(_), .. })) => None, // with its last byte
            Some(Reply::Served(_)) => Some(End::Completed),
            Some(Reply::Refused { .. }) => Some(End::Rejected),
            Some(Reply::Failed | Reply::Stalled) => Some(End::Failed),
            None => Some(End::Left),
        };
        match end {
            Some(end) => figures.ended(self.class, end),
            None => self.relays = true,
        }
        if let Some(reply) = reply {
            let _ = client.send(reply); // a client that left just now counts as answered
        }
        true
    }

    /// A long answer has ended, which ends its request.
    pub(super) fn relayed(&mut self, end: End, figures: &mut Figures) {
        if std::mem::take(&mut self.relays) {
            figures.ended(self.class, end);
        }
    }

    pub(super) fn is_over(&self) -> bool {
        self.client.is_none() && !self.relays && self.attempts.iter().all(|out| out.task.is_none())
    }
}
