//! What others fetch from here.

use std::sync::Arc;

use super::{Action, Distribution};
use crate::bounds::{
    MAX_CONTENT_BYTES, MAX_DATAGRAM, MAX_LARGE_TRANSFERS, MAX_PIECES_PULLED, MAX_VOTER_LARGE_TRANSFERS,
    MIN_CHAIN_LIMIT_BYTES, PIECE_BYTES, SERVE_RATE, VOTER_SERVE_RATE,
};
use crate::config::{Name, Nanos};
use crate::revision::{Announcement, Digest, RevisionId};
use crate::server::Queued;
use crate::wire::{Body, Transfer, TransferKind};

/// What somebody asks for.
#[derive(Clone, Copy, Debug)]
pub struct Wanted {
    /// Which revision.
    pub id: RevisionId,
    /// Digest of its document.
    pub digest: Digest,
    /// Only as a snapshot.
    pub snapshot: bool,
}

/// What can be offered.
struct Served {
    makes: RevisionId,
    transfer: Transfer,
    bytes: Arc<[u8]>,
}

impl Distribution {
    /// Somebody wants a revision.
    pub(super) fn requested(
        &mut self, now: Nanos, from: &Name, have: Option<Digest>, wanted: Wanted, out: &mut Vec<Action>,
    ) {
        let want = wanted.id;
        let Some(Served { makes, transfer, bytes }) = self.served(have, wanted) else {
            return self.send(from, Body::Missing { want }, out);
        };
        let limit = if self.votes { MAX_VOTER_LARGE_TRANSFERS } else { MAX_LARGE_TRANSFERS };
        let several = bytes.len() > PIECE_BYTES;
        let admitted = !several || self.server.admit(now, from, transfer.digest, &bytes, limit);
        if !admitted || !self.server.budget.spend(now, MAX_DATAGRAM) {
            return self.send(from, Body::Busy { want }, out);
        }
        let first = bytes[..PIECE_BYTES.min(bytes.len())].to_vec();
        self.send(from, Body::Offer { want, makes, transfer, first }, out);
    }

    /// What leads to a revision: deltas where they are here, and the document where they are not or are longer.
    fn served(&self, have: Option<Digest>, wanted: Wanted) -> Option<Served> {
        if let Some(staged) = self.staged_for(have, wanted) {
            return Some(staged);
        }
        let document = self.history.snapshot(wanted.id).filter(|(kept, _)| kept.digest == wanted.digest);
        let limit = document.map_or(MAX_CONTENT_BYTES, |(_, bytes)| bytes.len().max(MIN_CHAIN_LIMIT_BYTES));
        let chain =
            have.filter(|_| !wanted.snapshot).and_then(|have| self.history.chain(have, wanted.digest, limit));
        if let Some(chain) = chain {
            let bytes: Arc<[u8]> = postcard::to_stdvec(&chain).ok()?.into();
            return Some(Served {
                makes: wanted.id,
                transfer: Transfer::of(TransferKind::Chain, &bytes),
                bytes,
            });
        }
        let (announcement, bytes) = match document {
            Some((announcement, bytes)) => (*announcement, bytes.clone()),
            None => self.ahead_of(have, wanted)?,
        };
        let (digest, length) = (announcement.digest, announcement.length);
        let transfer = Transfer { kind: TransferKind::Snapshot, digest, length };
        Some(Served { makes: announcement.id, transfer, bytes })
    }

    /// What is held here, where it is later than what is wanted, or the other holds nothing.
    fn ahead_of(&self, have: Option<Digest>, wanted: Wanted) -> Option<(Announcement, Arc<[u8]>)> {
        let announced = self.log.announcement.map(|announcement| announcement.id);
        let held = self.held.as_ref().filter(|held| Some(held.announcement.id) <= announced)?;
        let of_use = held.announcement.id > wanted.id || have.is_none();
        of_use.then(|| (held.announcement, held.bytes.clone()))
    }

    /// Content that is staged here and leads to it, also where this node itself cannot use it yet.
    fn staged_for(&self, have: Option<Digest>, wanted: Wanted) -> Option<Served> {
        let staged = self.staged.iter().map(|(_, staged)| staged).find(|staged| {
            let whole = staged.transfer.kind == TransferKind::Snapshot;
            let leads = whole || !wanted.snapshot && staged.base == have;
            leads && (staged.announcement.id, staged.announcement.digest) == (wanted.id, wanted.digest)
        })?;
        Some(Served { makes: wanted.id, transfer: staged.transfer, bytes: staged.bytes.clone() })
    }

    /// Somebody wants pieces of a transfer that was offered.
    pub(super) fn pulled(&mut self, now: Nanos, from: &Name, digest: Digest, pieces: &[u16]) {
        self.server.touch(now, from);
        for number in pieces.iter().take(MAX_PIECES_PULLED) {
            self.server.queue(Queued { to: from.clone(), digest, number: *number });
        }
    }

    /// Sends the pieces whose turn it is.
    pub(super) fn serve(&mut self, now: Nanos, out: &mut Vec<Action>) {
        // What is published here has to reach the voters, also where this node is one of them.
        let bounded = self.votes && self.publications.is_empty();
        self.server.budget.set_rate(if bounded { VOTER_SERVE_RATE } else { SERVE_RATE });
        while let Some(Queued { to, digest, number }) = self.server.next(now) {
            let Some(bytes) = self.offered_content(&to, digest) else { continue };
            let start = usize::from(number) * PIECE_BYTES;
            let end = (start + PIECE_BYTES).min(bytes.len());
            if start < end {
                self.send(&to, Body::Piece { digest, number, bytes: bytes[start..end].to_vec() }, out);
            }
        }
    }

    /// What was offered to a node: of a publication to all voters, else to those that were admitted.
    fn offered_content(&self, to: &Name, digest: Digest) -> Option<Arc<[u8]>> {
        let published =
            self.publications.values().find(|publication| publication.transfer().digest == digest);
        published.map(|publication| publication.content()).or_else(|| self.server.content(to, digest))
    }
}
