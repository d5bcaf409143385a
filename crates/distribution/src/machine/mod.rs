//! The state machine of one node: it takes events with the current time and returns actions.

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
use applying::{UnverifiedBase, Work};
use publishing::PendingPublication;
pub use publishing::{ProposalError, Publication, PublishError, Ticket};
use saving::SaveState;
use serving::RequestedRevision;
use staging::Staging;

/// State of the replicated log at this node.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LogState {
    /// Epoch of the log.
    pub epoch: u64,
    /// Revision of the value of the register [`crate::REGISTER_KEY`]; 0 if there is none.
    pub value_revision: u64,
    /// Whether the local copy is as recent as any state that other nodes have announced lately.
    pub fresh: bool,
    /// The announcement in the register.
    pub announcement: Option<Announcement>,
}

/// An input of the state machine.
#[derive(Debug)]
pub enum Event<'a> {
    /// Time has passed.
    Tick,
    /// A datagram was received.
    Datagram(&'a [u8]),
    /// The nodes that membership and log know now; this node may be among them.
    Peers(Vec<Peer>),
    /// The state of the log changed.
    Log(LogState),
    /// The result of an [`Action::Compose`].
    Composed(Result<Arc<[u8]>, Rejection>),
    /// The result of an [`Action::Apply`].
    Applied(Result<(), Rejection>),
    /// Whether the write of the last [`Action::Persist`] is durable.
    Persisted(bool),
    /// A revision is to be published at this node.
    Publish(Publication),
    /// The result of an [`Action::Propose`].
    Proposed(Ticket, Result<(), ProposalError>),
}

/// An output of the state machine.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Sends a datagram.
    Send {
        /// Address of the receiver.
        to: SocketAddr,
        /// The datagram.
        bytes: Vec<u8>,
    },
    /// Applies deltas, in order, to a copy of the document, and returns the result. At most one is in progress.
    Compose {
        /// The document; empty if there is none yet.
        base: Arc<[u8]>,
        /// The deltas.
        deltas: Vec<Delta>,
    },
    /// Puts a document in force between two requests, and returns the result. At most one is in progress.
    Apply(Document),
    /// Performs a disk write, and returns whether it is durable. At most one is in progress.
    Persist(FileWrite),
    /// Proposes an announcement to the log on the condition that the register is unchanged, and returns the result.
    Propose {
        /// The publication.
        ticket: Ticket,
        /// The announcement to propose.
        announcement: Announcement,
        /// Expected revision of the register's value; 0 if the register must be empty.
        expect: u64,
    },
    /// A publication has ended.
    Published(Ticket, Result<RevisionId, PublishError>),
    /// Reports an event that needs no action from the state machine's host.
    Notify(Notification),
}

/// An event that the host may log or display.
#[derive(Clone, Debug, PartialEq)]
pub enum Notification {
    /// A revision came into force at this node.
    InForce(Announcement),
    /// This node refuses a revision, for the given reason; the previous one stays in force.
    Refused(RevisionId, String),
    /// Content from a node does not have the offered digest; it is fetched from another node.
    DigestMismatch(Name, RevisionId),
    /// Deltas did not lead to the announced digest; the whole document is fetched instead.
    ChainMismatch(RevisionId),
    /// The revision that was restored from the disk does not belong to this log. It is set aside for the given reason.
    SetAside(RevisionId, String),
    /// Whether disk writes succeed, reported when it changes.
    StorageAvailable(bool),
    /// The log announces a lower revision than this node has.
    LogBehind(RevisionId),
}

/// State machine of one node.
pub struct Distribution {
    identity: Identity,
    tuning: Tuning,
    rng: fastrand::Rng,
    peers: Vec<Peer>, // other nodes, sorted by name
    is_voter: bool,
    log: LogState,
    log_fresh_at: Option<Nanos>,
    contradicted_since: Option<Nanos>, // since when a fresh log contradicts `verified`
    announcements: BTreeMap<RevisionId, Announcement>,
    verified: Option<Document>, // latest verified document, even if it could not be applied
    base: Option<UnverifiedBase>, // fetched document that is verified only through the result of deltas
    in_force: Option<Document>,
    in_force_set_aside: bool, // in force until another revision replaces it
    refused: Option<(RevisionId, String)>,
    set_aside: Option<(RevisionId, String)>,
    work: Work,
    catching_up: Option<Budget>, // fetch rate limit from the start until the node has caught up
    fetch_after: Nanos,
    history: History,
    server: Server,
    staged: VecDeque<(Nanos, StagedContent)>,
    staging: Option<Staging>,
    publications: BTreeMap<Ticket, PendingPublication>,
    reports: Reports,
    report_at: Nanos,
    saving: SaveState,
    rejected_datagrams: BTreeMap<wire::DatagramError, u64>,
    sent_bytes: u64,
}

impl Distribution {
    /// Creates a node that has just started with `saved` from its disk. The stored revision is applied at once.
    pub fn new(
        identity: Identity, tuning: Tuning, saved: StoredState, seed: u64, now: Nanos,
        actions: &mut Vec<Action>,
    ) -> Self {
        let mut rng = fastrand::Rng::with_seed(seed);
        let (fetch_after, report_at) = (now + rng.u64(0..MAX_START_DELAY), now + rng.u64(0..REPORT_INTERVAL));
        let catching_up = Some(Budget::new(tuning.catch_up_rate, now));
        let mut node = Distribution {
            identity,
            tuning,
            rng,
            peers: Vec::new(),
            is_voter: false,
            log: LogState::default(),
            log_fresh_at: None,
            contradicted_since: None,
            announcements: BTreeMap::new(),
            verified: None,
            base: None,
            in_force: None,
            in_force_set_aside: false,
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
            saving: SaveState::default(),
            rejected_datagrams: BTreeMap::new(),
            sent_bytes: 0,
        };
        if let Some(document) = saved.in_force {
            node.saving.restored(document.announcement.id);
            node.restore(document, actions);
        }
        node
    }

    /// Handles one event and appends the resulting actions.
    pub fn handle(&mut self, now: Nanos, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::Tick => {}
            Event::Datagram(bytes) => match wire::decode(bytes) {
                Ok(envelope) if envelope.cluster != self.identity.cluster => {
                    self.count_rejected(wire::DatagramError::WrongCluster)
                }
                Ok(envelope) if envelope.to != self.identity.name => {
                    self.count_rejected(wire::DatagramError::WrongRecipient)
                }
                Ok(envelope) => self.receive(now, envelope, actions),
                Err(error) => self.count_rejected(error),
            },
            Event::Peers(peers) => self.update_peers(peers),
            Event::Log(state) => self.log_changed(now, state, actions),
            Event::Composed(result) => self.composed(now, result, actions),
            Event::Applied(result) => self.applied(now, result, actions),
            Event::Persisted(durable) => self.persisted(now, durable, actions),
            Event::Publish(publication) => self.publish(now, publication, actions),
            Event::Proposed(ticket, outcome) => self.proposed(ticket, outcome, actions),
        }
        self.run_due_work(now, actions);
    }

    /// Returns when the next [`Event::Tick`] is needed.
    pub fn due(&self) -> Nanos {
        let publications = self.publications.values().map(PendingPublication::due);
        let staging = self.staging.iter().map(Staging::due);
        let set_aside = self.contradicted_since.iter().map(|since| since + crate::bounds::SET_ASIDE_DELAY);
        let all = publications.chain(staging).chain(set_aside).chain(self.server.due());
        all.chain(self.work_due()).chain(self.saving_due()).fold(self.report_at, Nanos::min)
    }

    /// Performs all work that is due.
    fn run_due_work(&mut self, now: Nanos, actions: &mut Vec<Action>) {
        self.set_aside_contradicted(now, actions);
        self.advance_work(now, actions);
        self.advance_staging(now, actions);
        self.advance_publications(now, actions);
        self.serve(now, actions);
        self.report(now, actions);
        self.save(now, actions);
    }

    fn update_peers(&mut self, peers: Vec<Peer>) {
        self.is_voter = peers.iter().any(|peer| peer.name == self.identity.name && peer.votes);
        self.peers = peers;
        self.peers.retain(|peer| peer.name != self.identity.name);
        self.peers.sort_by(|one, other| one.name.cmp(&other.name));
    }

    fn count_rejected(&mut self, error: wire::DatagramError) {
        *self.rejected_datagrams.entry(error).or_default() += 1;
    }

    /// Returns the number of rejected datagrams by reason.
    pub fn rejected_datagrams(&self) -> &BTreeMap<wire::DatagramError, u64> {
        &self.rejected_datagrams
    }

    /// Returns the other nodes of the last [`Event::Peers`].
    pub fn peers(&self) -> &[Peer] {
        &self.peers
    }

    /// Returns the number of bytes sent since the start.
    pub fn sent_bytes(&self) -> u64 {
        self.sent_bytes
    }

    /// Returns the document in force.
    pub fn in_force(&self) -> Option<&Document> {
        self.in_force.as_ref()
    }

    /// Returns the latest verified document, on which the next revision is based. It differs from the document in
    /// force if the host refused it.
    pub fn verified_document(&self) -> Option<&Document> {
        self.verified.as_ref()
    }

    /// Returns a one-line summary of the state for debugging.
    pub fn debug_summary(&self) -> String {
        let id = |document: &Option<Document>| document.as_ref().map(|document| document.announcement.id);
        format!(
            "log {:?}, verified {:?}, in force {:?}, refused {:?}, {}, {} staged, history {:?}",
            self.log.announcement.map(|announcement| announcement.id),
            id(&self.verified),
            id(&self.in_force),
            self.refused,
            self.work.describe(),
            self.staged.len(),
            self.history.size(),
        )
    }

    fn own_hash(&self) -> u32 {
        reports::hash(&self.identity.name)
    }

    fn verified_digest(&self) -> Option<Digest> {
        self.verified.as_ref().map(|document| document.announcement.digest)
    }

    fn send(&mut self, to: &Name, body: Body, actions: &mut Vec<Action>) {
        let Ok(place) = self.peers.binary_search_by(|peer| peer.name.cmp(to)) else { return };
        let address = self.peers[place].address;
        let envelope = Envelope {
            cluster: self.identity.cluster,
            from: self.identity.name.clone(),
            to: to.clone(),
            body,
        };
        // The bounds rule out a datagram that is too long; one that were too long would be dropped as if lost.
        if let Some(bytes) = encode(&envelope) {
            self.sent_bytes += bytes.len() as u64;
            actions.push(Action::Send { to: address, bytes });
        }
    }

    fn receive(&mut self, now: Nanos, envelope: Envelope, actions: &mut Vec<Action>) {
        let Envelope { from, body, .. } = envelope;
        match body {
            Body::Request { have, want, digest, snapshot } => {
                self.request_received(
                    now,
                    &from,
                    have,
                    RequestedRevision { id: want, digest, snapshot },
                    actions,
                );
            }
            Body::Pull { digest, pieces } => self.pull_received(now, &from, digest, &pieces),
            Body::Offer { want, makes, transfer, first } => {
                self.offer_received(now, &from, want, makes, transfer, &first);
            }
            Body::Missing { want } => self.request_denied(now, &from, want, false),
            Body::Busy { want } => self.request_denied(now, &from, want, true),
            Body::Piece { digest, number, bytes } => self.piece_received(now, digest, number, &bytes),
            Body::Stage { announcement, base, transfer } => {
                self.stage_requested(now, from, announcement, base, transfer, actions);
            }
            Body::Staged { announcement } => self.staged_received(from, &announcement),
            Body::Reports { reports, answer } => self.reports_received(now, &from, &reports, answer, actions),
        }
    }
}
