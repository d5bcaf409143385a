//! A revision that is published here: its content goes to a majority of the voters before the log announces it.

use std::collections::BTreeSet;
use std::sync::Arc;

use thiserror::Error;

use super::{Action, Distribution};
use crate::bounds::{MAX_CONTENT_BYTES, MAX_PUBLICATIONS, OFFER_INTERVAL, STAGE_TIMEOUT};
use crate::config::{Name, Nanos};
use crate::content::Delta;
use crate::history::Link;
use crate::revision::{Announcement, Digest, RevisionId};
use crate::stored_state::StagedContent;
use crate::wire::{Body, Transfer, TransferKind};

/// Names a publication at its node.
pub type Ticket = u64;

/// What is to be published.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Publication {
    /// By which its outcome is told.
    pub ticket: Ticket,
    /// The revision that it was made from; none: the first.
    pub base: Option<RevisionId>,
    /// Format of the document.
    pub format: u16,
    /// The whole document in its canonical encoding.
    pub document: Arc<[u8]>,
    /// The delta from the base, if there is one.
    pub delta: Option<Arc<[u8]>>,
    /// Publish although this node does not hold what the log announces, because its content is lost.
    pub over_missing: bool,
}

/// Why the log has not taken an announcement.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum ProposalError {
    /// Another one stands there by now.
    #[error("another revision was announced meanwhile")]
    Superseded,
    /// Nobody has confirmed it; it may still come to be.
    #[error("nobody has confirmed it in time")]
    Unconfirmed,
    /// The log cannot take it.
    #[error("{0}")]
    Rejected(String),
}

/// Why a revision is not published.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum PublishError {
    /// Another publisher was first.
    #[error("revision {0} is the latest here: make the change from it and publish again")]
    Superseded(RevisionId),
    /// This node does not hold what the log announces.
    #[error("this node has not yet fetched the latest revision: try again, or at another node")]
    Behind,
    /// Too long.
    #[error("{0} bytes, {MAX_CONTENT_BYTES} at most: take out what nobody needs")]
    TooLong(usize),
    /// Too many at once.
    #[error("too many publications at once: try again")]
    Busy,
    /// The content is not kept by enough voters; nothing was announced.
    #[error("{staged} of {voters} voters have kept the content in time, a majority is needed: see whether most are up")]
    NotStaged {
        /// How many have.
        staged: usize,
        /// How many there are.
        voters: usize,
    },
    /// The log has not confirmed the announcement; it may still come to be.
    #[error("not confirmed in time: see which revision the log announces before publishing again")]
    Unconfirmed,
    /// The log has not taken the announcement.
    #[error("the log did not take the announcement: {0}")]
    ProposalRejected(String),
    /// The log was lost and founded anew while the content was on its way to the voters.
    #[error("the log was founded anew meanwhile: see which revision it announces, then publish again")]
    NewEpoch,
    /// The part that publishes has ended.
    #[error("this process takes no part any more: ask another node")]
    NotParticipating,
}

/// One under way.
#[derive(Clone, Debug)]
pub struct InPublication {
    content: StagedContent,
    epoch: u64, // of the log when it began
    expect: u64,
    kept: BTreeSet<Name>,
    until: Nanos,
    again: Nanos,
    proposed: bool,
}

impl InPublication {
    /// What voters fetch.
    pub fn transfer(&self) -> Transfer {
        self.content.transfer
    }

    /// Its bytes.
    pub fn content(&self) -> Arc<[u8]> {
        self.content.bytes.clone()
    }

    /// When it next wants a look.
    pub fn due(&self) -> Nanos {
        if self.proposed {
            Nanos::MAX
        } else {
            self.until.min(self.again)
        }
    }
}

impl Distribution {
    pub(super) fn publish(&mut self, now: Nanos, publication: Publication, out: &mut Vec<Action>) {
        let ticket = publication.ticket;
        match self.prepare(now, publication) {
            Ok(prepared) => {
                // The publisher applies it from here as soon as it is announced.
                self.keep_staged(now, prepared.content.clone());
                self.publications.insert(ticket, prepared);
            }
            Err(error) => out.push(Action::Published(ticket, Err(error))),
        }
    }

    fn prepare(&self, now: Nanos, publication: Publication) -> Result<InPublication, PublishError> {
        let Publication { base, format, document, delta, over_missing, .. } = publication;
        let longest = document.len().max(delta.as_ref().map_or(0, |delta| delta.len()));
        if longest > MAX_CONTENT_BYTES {
            return Err(PublishError::TooLong(longest));
        }
        if self.publications.len() >= MAX_PUBLICATIONS {
            return Err(PublishError::Busy);
        }
        let announced = self.log.announcement.map(|announcement| announcement.id);
        let held = self.held_id();
        let heard = self.log.epoch > 0;
        if !heard || announced > held && !over_missing {
            return Err(PublishError::Behind);
        }
        if base != held {
            return Err(PublishError::Superseded(held.unwrap_or_default()));
        }
        let latest = held.max(announced).unwrap_or_default();
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
        let content = StagedContent { announcement, base: self.held_digest(), transfer, bytes };
        Ok(InPublication {
            content,
            epoch: self.log.epoch,
            expect: self.log.value_revision,
            kept: BTreeSet::new(),
            until: now + STAGE_TIMEOUT,
            again: now,
            proposed: false,
        })
    }

    /// The delta where there is one that is shorter than the document, else the document.
    fn content(
        &self, announcement: &Announcement, document: Arc<[u8]>, delta: Option<Arc<[u8]>>,
    ) -> (TransferKind, Arc<[u8]>) {
        let delta = delta.filter(|delta| delta.len() < document.len() && self.held.is_some());
        let chain = delta.and_then(|bytes| {
            let delta = Delta { base: announcement.base, number: announcement.id.number, bytes };
            postcard::to_stdvec(&[Link { result: announcement.digest, delta }][..]).ok()
        });
        match chain {
            Some(chain) => (TransferKind::Chain, chain.into()),
            None => (TransferKind::Snapshot, document),
        }
    }

    /// A voter has kept the content of a publication.
    pub(super) fn staged_at(&mut self, voter: Name, announcement: &Announcement) {
        for publication in self.publications.values_mut() {
            if publication.content.announcement == *announcement {
                publication.kept.insert(voter.clone());
            }
        }
    }

    /// Offers what is published to voters, and proposes what enough of them have kept.
    pub(super) fn push_publications(&mut self, now: Nanos, out: &mut Vec<Action>) {
        let voters: Vec<Name> =
            self.peers.iter().filter(|peer| peer.votes).map(|peer| peer.name.clone()).collect();
        let count = voters.len() + usize::from(self.votes);
        let own = usize::from(self.votes && !self.saving.wants_staged());
        let tickets: Vec<Ticket> = self.publications.keys().copied().collect();
        for ticket in tickets {
            let Some(publication) = self.publications.get_mut(&ticket).filter(|known| !known.proposed) else {
                continue;
            };
            let kept = own + voters.iter().filter(|voter| publication.kept.contains(*voter)).count();
            let StagedContent { announcement, base, transfer, .. } = publication.content;
            if publication.epoch != self.log.epoch {
                // In the new epoch another revision may come by this number.
                self.publications.remove(&ticket);
                out.push(Action::Published(ticket, Err(PublishError::NewEpoch)));
            } else if 2 * kept > count {
                publication.proposed = true;
                let expect = publication.expect;
                out.push(Action::Propose { ticket, announcement, expect });
            } else if now >= publication.until {
                self.publications.remove(&ticket);
                let error = PublishError::NotStaged { staged: kept, voters: count };
                out.push(Action::Published(ticket, Err(error)));
            } else if now >= publication.again {
                publication.again = now + OFFER_INTERVAL;
                let missing: Vec<&Name> =
                    voters.iter().filter(|voter| !publication.kept.contains(*voter)).collect();
                for voter in missing {
                    self.send(voter, Body::Stage { announcement, base, transfer }, out);
                }
            }
        }
    }

    pub(super) fn proposed(
        &mut self, ticket: Ticket, outcome: Result<(), ProposalError>, out: &mut Vec<Action>,
    ) {
        let Some(publication) = self.publications.remove(&ticket) else { return };
        let id = publication.content.announcement.id;
        let latest = self.log.announcement.map_or_else(RevisionId::default, |announcement| announcement.id);
        let outcome = match outcome {
            Ok(()) => Ok(id),
            Err(ProposalError::Superseded) => Err(PublishError::Superseded(latest)),
            Err(ProposalError::Unconfirmed) => Err(PublishError::Unconfirmed),
            Err(ProposalError::Rejected(why)) => Err(PublishError::ProposalRejected(why)),
        };
        out.push(Action::Published(ticket, outcome));
    }
}
