//! Publishing of revisions: a majority of the voters stores the content before it is proposed to the log.

use std::collections::BTreeSet;
use std::sync::Arc;

use thiserror::Error;

use super::{Action, Distribution};
use crate::bounds::{MAX_CONTENT_BYTES, MAX_PUBLICATIONS, OFFER_INTERVAL, STAGE_TIMEOUT};
use crate::config::{Name, Nanos};
use crate::content::Delta;
use crate::history::ChainLink;
use crate::revision::{Announcement, Digest, RevisionId};
use crate::stored_state::StagedContent;
use crate::wire::{Body, Transfer, TransferKind};

/// Identifies a publication at its node.
pub type Ticket = u64;

/// A revision to publish.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Publication {
    /// Identifies the publication in its result.
    pub ticket: Ticket,
    /// The revision that it is based on; `None` for the first.
    pub base: Option<RevisionId>,
    /// Format of the document.
    pub format: u16,
    /// The whole document in its canonical encoding.
    pub document: Arc<[u8]>,
    /// The delta from the base, if there is one.
    pub delta: Option<Arc<[u8]>>,
    /// Publish although this node does not have the announced revision, because its content is lost.
    pub over_missing: bool,
}

/// Why the log did not accept an announcement.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum ProposalError {
    /// Another announcement is in the register by now.
    #[error("another revision was announced in the meantime")]
    Superseded,
    /// The log did not confirm the announcement; it may still be committed.
    #[error("the log did not confirm the announcement in time")]
    Unconfirmed,
    /// The log rejected the announcement.
    #[error("{0}")]
    Rejected(String),
}

/// Why a revision was not published.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum PublishError {
    /// Another publication came first.
    #[error("revision {0} is the latest at this node; base the change on it and publish again")]
    Superseded(RevisionId),
    /// This node does not have the announced revision.
    #[error("this node has not yet fetched the latest revision; retry, or use another node")]
    Behind,
    /// The document or the delta is too long.
    #[error(
        "content has {0} bytes, at most {MAX_CONTENT_BYTES} are allowed; remove entries that are not needed"
    )]
    TooLong(usize),
    /// Too many publications are in progress.
    #[error("too many publications are in progress; retry later")]
    Busy,
    /// A majority of the voters did not store the content; nothing was proposed.
    #[error("{staged} of {voters} voters stored the content in time, a majority is needed; check that most are up")]
    NotStaged {
        /// Number of voters that stored it.
        staged: usize,
        /// Number of voters.
        voters: usize,
    },
    /// The log did not confirm the announcement; it may still be committed.
    #[error("not confirmed in time; check which revision the log announces before publishing again")]
    Unconfirmed,
    /// The log rejected the announcement.
    #[error("the log rejected the announcement: {0}")]
    ProposalRejected(String),
    /// The log was lost and created anew while the content was on its way to the voters.
    #[error(
        "the log was created anew in the meantime; check which revision it announces, then publish again"
    )]
    NewEpoch,
    /// This process has stopped taking part in the distribution.
    #[error("this process no longer takes part in the distribution; use another node")]
    NotParticipating,
}

/// A publication in progress.
#[derive(Clone, Debug)]
pub struct PendingPublication {
    content: StagedContent,
    epoch: u64, // epoch of the log at the start of the publication
    expected_value_revision: u64,
    staged_by: BTreeSet<Name>,
    deadline: Nanos,
    next_offer_at: Nanos,
    proposed: bool,
}

impl PendingPublication {
    /// Describes the transfer that voters fetch.
    pub fn transfer(&self) -> Transfer {
        self.content.transfer
    }

    /// Returns the content of the transfer.
    pub fn content(&self) -> Arc<[u8]> {
        self.content.bytes.clone()
    }

    /// Returns when the publication next needs a check.
    pub fn due(&self) -> Nanos {
        if self.proposed {
            Nanos::MAX
        } else {
            self.deadline.min(self.next_offer_at)
        }
    }
}

impl Distribution {
    pub(super) fn publish(&mut self, now: Nanos, publication: Publication, actions: &mut Vec<Action>) {
        let ticket = publication.ticket;
        match self.prepare(now, publication) {
            Ok(prepared) => {
                // The publisher itself applies the staged content as soon as it is announced.
                self.store_staged(now, prepared.content.clone());
                self.publications.insert(ticket, prepared);
            }
            Err(error) => actions.push(Action::Published(ticket, Err(error))),
        }
    }

    fn prepare(&self, now: Nanos, publication: Publication) -> Result<PendingPublication, PublishError> {
        let Publication { base, format, document, delta, over_missing, .. } = publication;
        let max_length = document.len().max(delta.as_ref().map_or(0, |delta| delta.len()));
        if max_length > MAX_CONTENT_BYTES {
            return Err(PublishError::TooLong(max_length));
        }
        if self.publications.len() >= MAX_PUBLICATIONS {
            return Err(PublishError::Busy);
        }
        let announced = self.log.announcement.map(|announcement| announcement.id);
        let verified = self.verified_id();
        let log_known = self.log.epoch > 0;
        if !log_known || announced > verified && !over_missing {
            return Err(PublishError::Behind);
        }
        if base != verified {
            return Err(PublishError::Superseded(verified.unwrap_or_default()));
        }
        let latest = verified.max(announced).unwrap_or_default();
        let (epoch, number) = (self.log.epoch.max(latest.epoch), latest.number + 1);
        let announcement = Announcement {
            id: RevisionId { epoch, number },
            format,
            digest: Digest::of(&document),
            length: document.len() as u32,
            base: base.map_or(0, |id| id.number),
        };
        let (kind, bytes) = self.content(&announcement, document, delta);
        let transfer = Transfer::of(kind, &bytes);
        let content = StagedContent { announcement, base: self.verified_digest(), transfer, bytes };
        Ok(PendingPublication {
            content,
            epoch: self.log.epoch,
            expected_value_revision: self.log.value_revision,
            staged_by: BTreeSet::new(),
            deadline: now + STAGE_TIMEOUT,
            next_offer_at: now,
            proposed: false,
        })
    }

    /// Returns the delta as a chain if there is one that is shorter than the document, else the document.
    fn content(
        &self, announcement: &Announcement, document: Arc<[u8]>, delta: Option<Arc<[u8]>>,
    ) -> (TransferKind, Arc<[u8]>) {
        let delta = delta.filter(|delta| delta.len() < document.len() && self.verified.is_some());
        let chain = delta.and_then(|bytes| {
            let delta = Delta { base: announcement.base, number: announcement.id.number, bytes };
            postcard::to_stdvec(&[ChainLink { result: announcement.digest, delta }][..]).ok()
        });
        match chain {
            Some(chain) => (TransferKind::Chain, chain.into()),
            None => (TransferKind::Snapshot, document),
        }
    }

    /// Records that a voter has stored the content of a publication.
    pub(super) fn staged_received(&mut self, voter: Name, announcement: &Announcement) {
        for publication in self.publications.values_mut() {
            if publication.content.announcement == *announcement {
                publication.staged_by.insert(voter.clone());
            }
        }
    }

    /// Offers publications to voters, and proposes those that a majority has stored.
    pub(super) fn advance_publications(&mut self, now: Nanos, actions: &mut Vec<Action>) {
        let voters: Vec<Name> =
            self.peers.iter().filter(|peer| peer.votes).map(|peer| peer.name.clone()).collect();
        let count = voters.len() + usize::from(self.is_voter);
        let own_copy = usize::from(self.is_voter && !self.saving.is_staged_pending());
        let tickets: Vec<Ticket> = self.publications.keys().copied().collect();
        for ticket in tickets {
            let Some(publication) = self.publications.get_mut(&ticket).filter(|pending| !pending.proposed)
            else {
                continue;
            };
            let stored =
                own_copy + voters.iter().filter(|voter| publication.staged_by.contains(*voter)).count();
            let StagedContent { announcement, base, transfer, .. } = publication.content;
            if publication.epoch != self.log.epoch {
                // In the new epoch another revision may get the same number.
                self.publications.remove(&ticket);
                actions.push(Action::Published(ticket, Err(PublishError::NewEpoch)));
            } else if 2 * stored > count {
                publication.proposed = true;
                let expect = publication.expected_value_revision;
                actions.push(Action::Propose { ticket, announcement, expect });
            } else if now >= publication.deadline {
                self.publications.remove(&ticket);
                let error = PublishError::NotStaged { staged: stored, voters: count };
                actions.push(Action::Published(ticket, Err(error)));
            } else if now >= publication.next_offer_at {
                publication.next_offer_at = now + OFFER_INTERVAL;
                let without_copy: Vec<&Name> =
                    voters.iter().filter(|voter| !publication.staged_by.contains(*voter)).collect();
                for voter in without_copy {
                    self.send(voter, Body::Stage { announcement, base, transfer }, actions);
                }
            }
        }
    }

    pub(super) fn proposed(
        &mut self, ticket: Ticket, outcome: Result<(), ProposalError>, actions: &mut Vec<Action>,
    ) {
        let Some(publication) = self.publications.remove(&ticket) else { return };
        let id = publication.content.announcement.id;
        let latest = self.log.announcement.map_or_else(RevisionId::default, |announcement| announcement.id);
        let outcome = match outcome {
            Ok(()) => Ok(id),
            Err(ProposalError::Superseded) => Err(PublishError::Superseded(latest)),
            Err(ProposalError::Unconfirmed) => Err(PublishError::Unconfirmed),
            Err(ProposalError::Rejected(reason)) => Err(PublishError::ProposalRejected(reason)),
        };
        actions.push(Action::Published(ticket, outcome));
    }
}
