//! What others fetch from here.

use std::sync::Arc;

use super::{Action, Distribution};
use crate::bounds::{MAX_DATAGRAM, MAX_PIECES_PULLED, MAX_TRANSFERS, MAX_VOTER_TRANSFERS, PIECE_BYTES};
use crate::config::{Name, Nanos};
use crate::revision::{Digest, RevisionId};
use crate::wire::{Body, Transfer, TransferKind};

impl Distribution {
    /// Somebody wants a revision.
    pub(super) fn requested(
        &mut self, now: Nanos, from: &Name, have: Option<Digest>, want: RevisionId, snapshot: bool,
        out: &mut Vec<Action>,
    ) {
        let Some((transfer, bytes)) = self.served(have, want, snapshot) else {
            return self.send(from, Body::Missing { want }, out);
        };
        let limit = if self.votes { MAX_VOTER_TRANSFERS } else { MAX_TRANSFERS };
        let several = bytes.len() > PIECE_BYTES;
        let admitted = !several || self.server.admit(now, from, limit);
        if !admitted || !self.server.budget.spend(now, MAX_DATAGRAM) {
            return self.send(from, Body::Busy { want }, out);
        }
        let first = bytes[..PIECE_BYTES.min(bytes.len())].to_vec();
        if several && transfer.kind == TransferKind::Chain {
            self.server.keep(transfer.digest, bytes);
        }
        self.send(from, Body::Offer { want, transfer, first }, out);
    }

    /// What leads to a revision: deltas where they are here and no longer than the document, else the document.
    fn served(
        &self, have: Option<Digest>, want: RevisionId, snapshot: bool,
    ) -> Option<(Transfer, Arc<[u8]>)> {
        let staged = self.staged.iter().map(|(_, staged)| staged).find(|staged| {
            let leads = staged.transfer.kind == TransferKind::Snapshot || !snapshot && staged.base == have;
            staged.announcement.id == want && leads
        });
        if let Some(staged) = staged {
            return Some((staged.transfer, staged.bytes.clone()));
        }
        let announced = self.announcements.get(&want);
        let kept = self.history.snapshot(want);
        let target = kept.map(|(announcement, _)| announcement).or(announced)?;
        let chain = have
            .filter(|_| !snapshot)
            .and_then(|have| self.history.chain(have, target.digest, target.length as usize));
        if let Some(chain) = chain {
            let bytes: Arc<[u8]> = postcard::to_stdvec(&chain).ok()?.into();
            return Some((Transfer::of(TransferKind::Chain, &bytes), bytes));
        }
        let (announcement, bytes) = kept?;
        let (digest, length) = (announcement.digest, announcement.length);
        Some((Transfer { kind: TransferKind::Snapshot, digest, length }, bytes.clone()))
    }

    /// Somebody wants pieces of a transfer that was offered.
    pub(super) fn pulled(
        &mut self, now: Nanos, from: &Name, digest: Digest, pieces: &[u16], out: &mut Vec<Action>,
    ) {
        let Some(bytes) = self.offered_content(digest) else { return };
        self.server.touch(now, from);
        for number in pieces.iter().take(MAX_PIECES_PULLED) {
            let start = usize::from(*number) * PIECE_BYTES;
            let end = (start + PIECE_BYTES).min(bytes.len());
            if start >= end {
                continue;
            }
            if !self.server.budget.spend(now, end - start) {
                return; // what is not answered is asked for again
            }
            self.send(from, Body::Piece { digest, number: *number, bytes: bytes[start..end].to_vec() }, out);
        }
    }

    fn offered_content(&self, digest: Digest) -> Option<Arc<[u8]>> {
        let published =
            self.publications.values().find(|publication| publication.transfer().digest == digest);
        published
            .map(|publication| publication.content())
            .or_else(|| self.server.bundle(digest))
            .or_else(|| self.history.snapshot_of(digest))
            .or_else(|| self.staged_content(digest))
    }

    fn staged_content(&self, digest: Digest) -> Option<Arc<[u8]>> {
        let found = self.staged.iter().find(|(_, staged)| staged.transfer.digest == digest);
        found.map(|(_, staged)| staged.bytes.clone())
    }
}
