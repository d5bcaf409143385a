//! Staging: voters store content before it is announced, so that it survives the loss of its publisher.

use super::{Action, Distribution};
use crate::bounds::{MAX_CONTENT_BYTES, MAX_PIECES_PULLED, MAX_STAGED, STAGED_TTL};
use crate::config::{Defect, Name, Nanos};
use crate::download::Download;
use crate::revision::{Announcement, Digest};
use crate::stored_state::{FileWrite, StagedContent};
use crate::wire::{Body, Transfer};

/// A download of content from its publisher.
#[derive(Debug)]
pub struct Staging {
    /// The download.
    pub download: Download,
    announcement: Announcement,
    base: Option<Digest>,
}

impl Staging {
    /// Returns when the download next needs a check.
    pub fn due(&self) -> Nanos {
        self.download.due()
    }
}

impl Distribution {
    /// Handles a publisher's request to store content.
    pub(super) fn stage_requested(
        &mut self, now: Nanos, from: Name, announcement: Announcement, base: Option<Digest>,
        transfer: Transfer, actions: &mut Vec<Action>,
    ) {
        if self.is_staged(&announcement) {
            // With a disk, the content is confirmed only once it is durable.
            if !self.saving.is_staged_pending() {
                self.send(&from, Body::Staged { announcement }, actions);
            }
            return;
        }
        let free = self.staging.as_ref().is_none_or(|staging| staging.download.is_stuck(now));
        let fits = transfer.length as usize <= MAX_CONTENT_BYTES + MAX_CONTENT_BYTES / 64;
        if free && fits && self.is_voter {
            let download = Download::new(now, from, transfer);
            self.staging = download.map(|download| Staging { download, announcement, base });
        }
    }

    fn is_staged(&self, announcement: &Announcement) -> bool {
        self.staged.iter().any(|(_, staged)| staged.announcement == *announcement)
    }

    /// Continues the download from a publisher, and drops staged content that is outdated or was not announced.
    pub(super) fn advance_staging(&mut self, now: Nanos, actions: &mut Vec<Action>) {
        let floor = self.verified_id();
        let announcements = &self.announcements;
        self.staged.retain(|(since, staged)| {
            let id = staged.announcement.id;
            let announced = announcements.get(&id) == Some(&staged.announcement);
            (announced || now < since + STAGED_TTL) && Some(id) > floor
        });
        let Some(mut staging) = self.staging.take() else { return };
        if staging.download.is_complete() {
            return self.finish_staging(now, staging, actions);
        }
        if staging.download.is_stuck(now) {
            return; // a publisher that is still alive offers it again
        }
        let (from, digest) = (staging.download.from.clone(), staging.download.transfer.digest);
        loop {
            let pieces = staging.download.pull(now, MAX_PIECES_PULLED);
            if pieces.is_empty() {
                break;
            }
            self.send(&from, Body::Pull { digest, pieces }, actions);
        }
        self.staging = Some(staging);
    }

    fn finish_staging(&mut self, now: Nanos, staging: Staging, actions: &mut Vec<Action>) {
        let Staging { download, announcement, base } = staging;
        let (from, transfer) = (download.from.clone(), download.transfer);
        let bytes = download.into_bytes();
        if Digest::of(&bytes) != transfer.digest {
            return; // the publisher offers it again
        }
        self.store_staged(now, StagedContent { announcement, base, transfer, bytes: bytes.into() });
        if self.saving.is_staged_pending() {
            return; // confirmed when it is offered again and durable
        }
        self.send(&from, Body::Staged { announcement }, actions);
    }

    pub(super) fn store_staged(&mut self, now: Nanos, content: StagedContent) {
        if self.tuning.defect == Some(Defect::AppliesUncommitted) {
            self.log.announcement = Some(content.announcement);
        }
        self.staged.push_back((now, content));
        let bytes = |staged: &std::collections::VecDeque<(Nanos, StagedContent)>| {
            staged.iter().map(|(_, content)| content.bytes.len()).sum::<usize>()
        };
        while self.staged.len() > MAX_STAGED
            || bytes(&self.staged) > MAX_CONTENT_BYTES + MAX_CONTENT_BYTES / 2
        {
            self.staged.pop_front();
        }
        if self.tuning.disk {
            let staged = self.staged.iter().map(|(_, content)| content.clone()).collect();
            self.saving.request_staged(FileWrite::Staged(staged));
        }
    }
}
