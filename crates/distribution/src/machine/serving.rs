//! Serving of content to other nodes.

use std::sync::Arc;

use super::{Action, Distribution};
use crate::bounds::{
    MAX_CONTENT_BYTES, MAX_DATAGRAM, MAX_LARGE_TRANSFERS, MAX_PIECES_PULLED, MAX_VOTER_LARGE_TRANSFERS,
    MIN_CHAIN_LIMIT_BYTES, PIECE_BYTES, SERVE_RATE, VOTER_SERVE_RATE,
};
use crate::config::{Name, Nanos};
use crate::revision::{Announcement, Digest, RevisionId};
use crate::server::QueuedPiece;
use crate::wire::{Body, Transfer, TransferKind};

/// A revision requested by another node.
#[derive(Clone, Copy, Debug)]
pub struct RequestedRevision {
    /// The revision.
    pub id: RevisionId,
    /// Digest of its document.
    pub digest: Digest,
    /// Whether only a snapshot is acceptable.
    pub snapshot: bool,
}

/// Content that can be offered.
struct ServedContent {
    makes: RevisionId,
    transfer: Transfer,
    bytes: Arc<[u8]>,
}

impl Distribution {
    /// Answers a request for a revision.
    pub(super) fn request_received(
        &mut self, now: Nanos, from: &Name, have: Option<Digest>, requested: RequestedRevision,
        actions: &mut Vec<Action>,
    ) {
        let want = requested.id;
        let Some(ServedContent { makes, transfer, bytes }) = self.find_content(have, requested) else {
            return self.send(from, Body::Missing { want }, actions);
        };
        let limit = if self.is_voter { MAX_VOTER_LARGE_TRANSFERS } else { MAX_LARGE_TRANSFERS };
        let needs_slot = bytes.len() > PIECE_BYTES;
        let admitted = !needs_slot || self.server.admit(now, from, transfer.digest, &bytes, limit);
        if !admitted || !self.server.budget.spend(now, MAX_DATAGRAM) {
            return self.send(from, Body::Busy { want }, actions);
        }
        let first = bytes[..PIECE_BYTES.min(bytes.len())].to_vec();
        self.send(from, Body::Offer { want, makes, transfer, first }, actions);
    }

    /// Returns content that produces the revision: deltas if they are stored and not longer than the document, else the
    /// document.
    fn find_content(&self, have: Option<Digest>, requested: RequestedRevision) -> Option<ServedContent> {
        if let Some(staged) = self.find_staged(have, requested) {
            return Some(staged);
        }
        let document =
            self.history.snapshot(requested.id).filter(|(stored, _)| stored.digest == requested.digest);
        let limit = document.map_or(MAX_CONTENT_BYTES, |(_, bytes)| bytes.len().max(MIN_CHAIN_LIMIT_BYTES));
        let chain = have
            .filter(|_| !requested.snapshot)
            .and_then(|have| self.history.chain(have, requested.digest, limit));
        if let Some(chain) = chain {
            let bytes: Arc<[u8]> = postcard::to_stdvec(&chain).ok()?.into();
            return Some(ServedContent {
                makes: requested.id,
                transfer: Transfer::of(TransferKind::Chain, &bytes),
                bytes,
            });
        }
        let (announcement, bytes) = match document {
            Some((announcement, bytes)) => (*announcement, bytes.clone()),
            None => self.find_later(have, requested)?,
        };
        let (digest, length) = (announcement.digest, announcement.length);
        let transfer = Transfer { kind: TransferKind::Snapshot, digest, length };
        Some(ServedContent { makes: announcement.id, transfer, bytes })
    }

    /// Returns the verified document if it is later than the requested revision or the other node has none, and the log
    /// announces it or a later one.
    fn find_later(
        &self, have: Option<Digest>, requested: RequestedRevision,
    ) -> Option<(Announcement, Arc<[u8]>)> {
        let announced = self.log.announcement.map(|announcement| announcement.id);
        let verified =
            self.verified.as_ref().filter(|verified| Some(verified.announcement.id) <= announced)?;
        let usable = verified.announcement.id > requested.id || have.is_none();
        usable.then(|| (verified.announcement, verified.bytes.clone()))
    }

    /// Returns staged content that produces the revision, even if this node itself cannot apply it yet.
    fn find_staged(&self, have: Option<Digest>, requested: RequestedRevision) -> Option<ServedContent> {
        let staged = self.staged.iter().map(|(_, staged)| staged).find(|staged| {
            let whole = staged.transfer.kind == TransferKind::Snapshot;
            let applicable = whole || !requested.snapshot && staged.base == have;
            applicable
                && (staged.announcement.id, staged.announcement.digest) == (requested.id, requested.digest)
        })?;
        Some(ServedContent { makes: requested.id, transfer: staged.transfer, bytes: staged.bytes.clone() })
    }

    /// Queues pieces of an offered transfer.
    pub(super) fn pull_received(&mut self, now: Nanos, from: &Name, digest: Digest, pieces: &[u16]) {
        self.server.touch(now, from);
        for number in pieces.iter().take(MAX_PIECES_PULLED) {
            self.server.queue(QueuedPiece { to: from.clone(), digest, number: *number });
        }
    }

    /// Sends queued pieces within the rate limit.
    pub(super) fn serve(&mut self, now: Nanos, actions: &mut Vec<Action>) {
        // A publisher has to deliver its content to the voters, so the limit for voters does not apply to it.
        let limited = self.is_voter && self.publications.is_empty();
        self.server.budget.set_rate(if limited { VOTER_SERVE_RATE } else { SERVE_RATE });
        while let Some(QueuedPiece { to, digest, number }) = self.server.next(now) {
            let Some(bytes) = self.offered_content(&to, digest) else { continue };
            let start = usize::from(number) * PIECE_BYTES;
            let end = (start + PIECE_BYTES).min(bytes.len());
            if start < end {
                self.send(&to, Body::Piece { digest, number, bytes: bytes[start..end].to_vec() }, actions);
            }
        }
    }

    /// Returns the content offered to a node: a publication's content to any voter, other content to admitted nodes.
    fn offered_content(&self, to: &Name, digest: Digest) -> Option<Arc<[u8]>> {
        let published =
            self.publications.values().find(|publication| publication.transfer().digest == digest);
        published.map(|publication| publication.content()).or_else(|| self.server.content(to, digest))
    }
}
