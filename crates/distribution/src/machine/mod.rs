//! A node's part in the distribution: events and time go in, actions come out.

mod applying;
mod fetching;
mod following;
mod publishing;
mod reporting;
mod saving;
mod serving;
mod staging;

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;

use crate::bounds::{MAX_START_DELAY, REPORT_INTERVAL, SERVE_RATE};
use crate::config::{Identity, Name, Nanos, Peer, Tuning};
use crate::content::{Delta, Rejection};
use crate::history::History;
use crate::reports::{self, Reports};
use crate::revision::{Announcement, Digest, RevisionId};
use crate::server::{Budget, Server};
use crate::stored_state::{Document, FileWrite, StagedContent, StoredState};
use crate::wire::{self, encode, Body, Envelope};
use applying::{Base, Work};
use publishing::InPublication;
pub use publishing::{ProposalError, Publication, PublishError, Ticket};
use saving::Saving;
use serving::Wanted;
use staging::Staging;

/// How the agreed log stands at this node.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LogState {
    /// Its epoch.
    pub epoch: u64,
    /// The revision of the register's value under [`crate::REGISTER_KEY`]; 0: there is none.
    pub value_revision: u64,
    /// Whether it is as new as anybody told of late.
    pub fresh: bool,
    /// What stands there.
    pub announcement: Option<Announcement>,
}

/// What a node is told.
#[derive(Debug)]
pub enum Event<'a> {
    /// Time has passed.
    Tick,
    /// A datagram came.
    Datagram(&'a [u8]),
    /// Who is there, as membership and log see it now; this node may be among them.
    Peers(Vec<Peer>),
    /// How the log stands.
    Log(LogState),
    /// What an [`Action::Compose`] gave.
    Composed(Result<Arc<[u8]>, Rejection>),
    /// What came of an [`Action::Apply`].
    Applied(Result<(), Rejection>),
    /// Whether the last write is durable.
    Persisted(bool),
    /// A revision is to be published here.
    Publish(Publication),
    /// What came of an [`Action::Propose`].
    Proposed(Ticket, Result<(), ProposalError>),
}

/// What it wants done.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send this datagram.
    Send {
        /// Where to.
        to: SocketAddr,
        /// What.
        bytes: Vec<u8>,
    },
    /// Apply these deltas, in order, to a copy of the document, and tell the result. One at most is under way.
    Compose {
        /// The document; empty where there is none yet.
        base: Arc<[u8]>,
        /// The deltas.
        deltas: Vec<Delta>,
    },
    /// Put this document in force between two requests, and tell whether it is. One at most is under way.
    Apply(Document),
    /// FileWrite this and tell whether it is durable. One at most is under way.
    Persist(FileWrite),
    /// Have this announcement agreed on, where the register still stands at this revision, and tell the outcome.
    Propose {
        /// Of which publication.
        ticket: Ticket,
        /// What.
        announcement: Announcement,
        /// Revision of the register's value; 0: there must be none.
        expect: u64,
    },
    /// A publication is over.
    Published(Ticket, Result<RevisionId, PublishError>),
    /// Something that others may want to know.
    Notify(Notification),
}

/// What others may want to know.
#[derive(Clone, Debug, PartialEq)]
pub enum Notification {
    /// A revision is in force here.
    InForce(Announcement),
    /// A revision is refused here, with the reason; the one before stays in force.
    Refused(RevisionId, String),
    /// What a node sent does not have the digest that it should have; it is fetched from another.
    DigestMismatch(Name, RevisionId),
    /// Deltas did not lead to the announced digest; the whole document is fetched.
    ChainMismatch(RevisionId),
    /// The revision that was in force from the disk is not of this log: it is set aside, with the reason.
    SetAside(RevisionId, String),
    /// The disk does not take the revision in force, or takes it again.
    StorageAvailable(bool),
    /// What the log announces is lower than what is held here.
    LogBehind(RevisionId),
}

/// One node's part.
pub struct Distribution {
    id: Identity,
    tuning: Tuning,
    rng: fastrand::Rng,
    peers: Vec<Peer>, // others, by name
    votes: bool,
    log: LogState,
    log_heard: Option<Nanos>,
    contradicted: Option<Nanos>, // since when a fresh log is lower than what is held
    announcements: BTreeMap<RevisionId, Announcement>,
    held: Option<Document>, // verified, whether or not it could be applied
    base: Option<Base>,     // fetched, and not verified but by what deltas make of it
    in_force: Option<Document>,
    forsaken: bool, // what is in force was set aside, and serves until something else can
    refused: Option<(RevisionId, String)>,
    set_aside: Option<(RevisionId, String)>,
    work: Work,
    catching_up: Option<Budget>, // the pace of a node that has started and not yet caught up
    fetch_after: Nanos,
    history: History,
    server: Server,
    staged: VecDeque<(Nanos, StagedContent)>,
    staging: Option<Staging>,
    publications: BTreeMap<Ticket, InPublication>,
    reports: Reports,
    report_at: Nanos,
    saving: Saving,
    faults: BTreeMap<wire::DatagramError, u64>,
    sent_bytes: u64,
}

impl Distribution {
    /// A node that has just started; `saved` is what its disk held. A saved revision is applied at once.
    pub fn new(
        id: Identity, tuning: Tuning, saved: StoredState, seed: u64, now: Nanos, out: &mut Vec<Action>,
    ) -> Self {
        let mut rng = fastrand::Rng::with_seed(seed);
        let (fetch_after, report_at) = (now + rng.u64(0..MAX_START_DELAY), now + rng.u64(0..REPORT_INTERVAL));
        let catching_up = Some(Budget::new(tuning.catch_up_rate, now));
        let mut node = Distribution {
            id,
            tuning,
            rng,
            peers: Vec::new(),
            votes: false,
            log: LogState::default(),
            log_heard: None,
            contradicted: None,
            announcements: BTreeMap::new(),
            held: None,
            base: None,
            in_force: None,
            forsaken: false,
            refused: None,
            set_aside: None,
            work: Work::Idle,
            catching_up,
            fetch_after,
            history: History::default(),
            server: Server::new(SERVE_RATE, now),
            staged: saved.staged.into_iter().map(|staged| (now, staged)).collect(),
            staging: None,
            publications: BTreeMap::new(),
            reports: Reports::default(),
            report_at,
            saving: Saving::default(),
            faults: BTreeMap::new(),
            sent_bytes: 0,
        };
        if let Some(document) = saved.in_force {
            node.saving.has(document.announcement.id);
            node.restore(document, out);
        }
        node
    }

    /// Takes one event and appends what is to be done about it.
    pub fn handle(&mut self, now: Nanos, event: Event, out: &mut Vec<Action>) {
        match event {
            Event::Tick => {}
            Event::Datagram(bytes) => match wire::decode(bytes) {
                Ok(envelope) if envelope.cluster != self.id.cluster => {
                    self.fault(wire::DatagramError::WrongCluster)
                }
                Ok(envelope) if envelope.to != self.id.name => {
                    self.fault(wire::DatagramError::WrongRecipient)
                }
                Ok(envelope) => self.hear(now, envelope, out),
                Err(fault) => self.fault(fault),
            },
            Event::Peers(peers) => self.see(peers),
            Event::Log(state) => self.follow(now, state, out),
            Event::Composed(result) => self.composed(now, result, out),
            Event::Applied(result) => self.applied(now, result, out),
            Event::Persisted(durable) => self.persisted(now, durable, out),
            Event::Publish(publication) => self.publish(now, publication, out),
            Event::Proposed(ticket, outcome) => self.proposed(ticket, outcome, out),
        }
        self.turn(now, out);
    }

    /// When it next wants a tick.
    pub fn due(&self) -> Nanos {
        let publications = self.publications.values().map(InPublication::due);
        let staging = self.staging.iter().map(Staging::due);
        let set_aside = self.contradicted.iter().map(|since| since + crate::bounds::SET_ASIDE_DELAY);
        let all = publications.chain(staging).chain(set_aside).chain(self.server.due());
        all.chain(self.work_due()).chain(self.saving_due()).fold(self.report_at, Nanos::min)
    }

    /// All that has come due.
    fn turn(&mut self, now: Nanos, out: &mut Vec<Action>) {
        self.weigh_set_aside(now, out);
        self.work(now, out);
        self.stage_more(now, out);
        self.push_publications(now, out);
        self.serve(now, out);
        self.report(now, out);
        self.save(now, out);
    }

    fn see(&mut self, peers: Vec<Peer>) {
        self.votes = peers.iter().any(|peer| peer.name == self.id.name && peer.votes);
        self.peers = peers;
        self.peers.retain(|peer| peer.name != self.id.name);
        self.peers.sort_by(|one, other| one.name.cmp(&other.name));
    }

    fn fault(&mut self, fault: wire::DatagramError) {
        *self.faults.entry(fault).or_default() += 1;
    }

    /// Datagrams without effect, by reason.
    pub fn rejected_datagrams(&self) -> &BTreeMap<wire::DatagramError, u64> {
        &self.faults
    }

    /// Who is there, as this node was told last; it is not among them.
    pub fn peers(&self) -> &[Peer] {
        &self.peers
    }

    /// Bytes sent since the start.
    pub fn sent_bytes(&self) -> u64 {
        self.sent_bytes
    }

    /// The document in force.
    pub fn in_force(&self) -> Option<&Document> {
        self.in_force.as_ref()
    }

    /// The latest verified document, which a next revision is made from. It differs from the one in force where the
    /// host has refused it.
    pub fn verified_document(&self) -> Option<&Document> {
        self.held.as_ref()
    }

    /// Everything about the work under way in a line, for whoever looks for a fault.
    pub fn debug_summary(&self) -> String {
        let id = |document: &Option<Document>| document.as_ref().map(|document| document.announcement.id);
        format!(
            "log {:?}, held {:?}, in force {:?}, refused {:?}, {}, {} staged, history {:?}",
            self.log.announcement.map(|announcement| announcement.id),
            id(&self.held),
            id(&self.in_force),
            self.refused,
            self.work.text(),
            self.staged.len(),
            self.history.size(),
        )
    }

    fn own_hash(&self) -> u32 {
        reports::hash(&self.id.name)
    }

    fn held_digest(&self) -> Option<Digest> {
        self.held.as_ref().map(|document| document.announcement.digest)
    }

    fn send(&mut self, to: &Name, body: Body, out: &mut Vec<Action>) {
        let Ok(place) = self.peers.binary_search_by(|peer| peer.name.cmp(to)) else { return };
        let address = self.peers[place].address;
        let envelope =
            Envelope { cluster: self.id.cluster, from: self.id.name.clone(), to: to.clone(), body };
        // One that is too long cannot be made from what is bounded; it would be lost like any other.
        if let Some(bytes) = encode(&envelope) {
            self.sent_bytes += bytes.len() as u64;
            out.push(Action::Send { to: address, bytes });
        }
    }

    fn hear(&mut self, now: Nanos, envelope: Envelope, out: &mut Vec<Action>) {
        let Envelope { from, body, .. } = envelope;
        match body {
            Body::Request { have, want, digest, snapshot } => {
                self.requested(now, &from, have, Wanted { id: want, digest, snapshot }, out);
            }
            Body::Pull { digest, pieces } => self.pulled(now, &from, digest, &pieces),
            Body::Offer { want, makes, transfer, first } => {
                self.offered(now, &from, want, makes, transfer, &first);
            }
            Body::Missing { want } => self.denied(now, &from, want, false),
            Body::Busy { want } => self.denied(now, &from, want, true),
            Body::Piece { digest, number, bytes } => self.piece(now, digest, number, &bytes),
            Body::Stage { announcement, base, transfer } => {
                self.asked_to_stage(now, from, announcement, base, transfer, out);
            }
            Body::Staged { announcement } => self.staged_at(from, &announcement),
            Body::Reports { reports, answer } => self.reported(now, &from, &reports, answer, out),
        }
    }
}
