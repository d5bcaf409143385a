//! The machine of the distribution beside those of membership and log, on the same socket.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use merlinfold_config::Configuration as Settings;
use merlinfold_distribution::{
    Action, Announcement, Content, Distribution, Document, Event, FileWrite, Identity, LogState, Nanos,
    Notification, Peer, ProposalError, Publication, PublishError, Rejection, RevisionId, StoredState, Ticket,
    Tuning, MAGIC, MS,
};
use merlinfold_membership::Membership;
use tokio::sync::{mpsc, oneshot};
use tokio::task::spawn_blocking;
use tokio::time::timeout;
use tracing::{info, warn};

use super::{ConfigurationView, PendingPublication, Watches};
use crate::state_store::Disks;

const VIEW_EVERY: Nanos = 500 * MS; // between two looks at the membership and the log
const TELL_EVERY: Nanos = 1_000 * MS; // an overview of the fleet
const LOAD_WITHIN: Duration = Duration::from_secs(5); // that a disk may take over a start
const MAX_DONE: usize = 16; // results that wait: one of each kind of work, and those of proposals

/// Something that was done on another thread.
pub(crate) enum Completion {
    Composed(Result<Arc<[u8]>, Rejection>),
    Applied(Result<(), Rejection>),
    Persisted(bool),
    Proposed(Ticket, Result<(), ProposalError>),
}

/// An announcement that the log is to agree on.
pub(crate) struct Proposal {
    pub ticket: Ticket,
    pub announcement: Announcement,
    pub expect: u64,
    pub done: mpsc::Sender<Completion>,
}

impl Proposal {
    /// Tells the outcome.
    pub async fn tell(self, outcome: Result<(), ProposalError>) {
        let _ = self.done.send(Completion::Proposed(self.ticket, outcome)).await;
        // nobody waits in a process that ends
    }
}

/// What a part begins with.
pub(crate) struct StartOptions {
    pub settings: Settings,
    pub id: Identity,
    pub content: Arc<dyn Content>,
    pub disk: Option<(PathBuf, Disks)>,
    pub tells: Watches,
}

/// The distribution's part of a node.
pub(crate) struct ConfigurationDriver {
    machine: Distribution,
    name: String,
    content: Arc<dyn Content>,
    disk: Option<(PathBuf, Disks)>,
    done: (mpsc::Sender<Completion>, mpsc::Receiver<Completion>),
    asked: BTreeMap<Ticket, oneshot::Sender<Result<RevisionId, PublishError>>>,
    tickets: Ticket,
    tells: Watches,
    looked: Option<Nanos>,
    told: Nanos,
    log_index: u64, // at the last look
    majority: bool, // of the log's voters is held alive
    to_send: Vec<(SocketAddr, Vec<u8>)>,
    to_propose: Vec<Proposal>,
}

impl ConfigurationDriver {
    /// Whether a datagram is the distribution's.
    pub fn is_for(bytes: &[u8]) -> bool {
        bytes.starts_with(&MAGIC)
    }

    /// With what the disk holds.
    pub async fn start(start: StartOptions, now: Nanos) -> Self {
        let StartOptions { settings, id, content, disk, tells } = start;
        let name = id.name.to_string();
        let saved = match disk.clone() {
            Some((folder, disks)) => load(folder, disks, &name).await,
            None => StoredState::default(),
        };
        let tuning = Tuning {
            max_format: content.max_format(),
            disk: disk.is_some(),
            catch_up_rate: settings.catch_up_bytes_s(),
            ..Tuning::default()
        };
        let mut out = Vec::new();
        let machine = Distribution::new(id, tuning, saved, fastrand::u64(..), now, &mut out);
        let mut part = ConfigurationDriver {
            machine,
            name,
            content,
            disk,
            done: mpsc::channel(MAX_DONE),
            asked: BTreeMap::new(),
            tickets: 0,
            tells,
            looked: None,
            told: now,
            log_index: 0,
            majority: false,
            to_send: Vec::new(),
            to_propose: Vec::new(),
        };
        part.carry(now, out);
        part
    }

    /// When it next wants its turn.
    pub fn due(&self) -> Nanos {
        let look = self.looked.map_or(0, |looked| looked + VIEW_EVERY);
        self.machine.due().min(look).min(self.told + TELL_EVERY)
    }

    /// Waits for something that was done on another thread.
    pub async fn done(&mut self) -> Completion {
        match self.done.1.recv().await {
            Some(done) => done,
            None => std::future::pending().await, // cannot be: the sender is here
        }
    }

    /// Takes what was done.
    pub fn finish(&mut self, now: Nanos, done: Completion) {
        let event = match done {
            Completion::Composed(result) => Event::Composed(result),
            Completion::Applied(result) => Event::Applied(result),
            Completion::Persisted(durable) => Event::Persisted(durable),
            Completion::Proposed(ticket, outcome) => Event::Proposed(ticket, outcome),
        };
        self.feed(now, event);
    }

    /// A datagram came.
    pub fn hear(&mut self, now: Nanos, bytes: &[u8]) {
        self.feed(now, Event::Datagram(bytes));
    }

    /// A revision is to be published.
    pub fn publish(&mut self, now: Nanos, asked: PendingPublication) {
        let PendingPublication { change, answer } = asked;
        self.tickets += 1;
        self.asked.insert(self.tickets, answer);
        let publication = Publication {
            ticket: self.tickets,
            base: change.base,
            format: change.format,
            document: change.document.into(),
            delta: change.delta.map(Arc::from),
            over_missing: change.over_missing,
        };
        self.feed(now, Event::Publish(publication));
    }

    /// Whether the log has gone on since the last look, or that is long enough ago.
    pub fn looks(&self, now: Nanos, log_index: u64) -> bool {
        self.log_index != log_index || self.is_view_due(now)
    }

    fn is_view_due(&self, now: Nanos) -> bool {
        self.looked.is_none_or(|looked| now >= looked + VIEW_EVERY)
    }

    /// Looks at the log, and at the membership now and then.
    pub fn look(
        &mut self, now: Nanos, members: &Membership, (log, index): (LogState, u64), voters: &[String],
    ) {
        self.log_index = index;
        if self.is_view_due(now) {
            self.looked = Some(now);
            let peers = peers(members, now, voters);
            let alive = peers.iter().filter(|peer| peer.votes && peer.alive).count();
            self.majority = 2 * alive > voters.len();
            self.feed(now, Event::Peers(peers));
        }
        // Copies of followers agree with each other also when nobody can add to them.
        let log = LogState { fresh: log.fresh && self.majority, ..log };
        self.feed(now, Event::Log(log));
    }

    /// Its turn.
    pub fn turn(&mut self, now: Nanos) {
        if now >= self.machine.due() {
            self.feed(now, Event::Tick);
        }
        if now >= self.told + TELL_EVERY {
            self.tell(now);
        }
    }

    /// Datagrams that are to go out.
    pub fn outgoing(&mut self) -> Vec<(SocketAddr, Vec<u8>)> {
        std::mem::take(&mut self.to_send)
    }

    /// Announcements that the log is to agree on.
    pub fn proposals(&mut self) -> Vec<Proposal> {
        std::mem::take(&mut self.to_propose)
    }

    fn feed(&mut self, now: Nanos, event: Event) {
        let mut out = Vec::new();
        self.machine.handle(now, event, &mut out);
        self.carry(now, out);
    }

    fn carry(&mut self, now: Nanos, out: Vec<Action>) {
        for action in out {
            match action {
                Action::Send { to, bytes } => self.to_send.push((to, bytes)),
                Action::Compose { base, deltas } => {
                    let content = self.content.clone();
                    self.work(move || Completion::Composed(content.compose(&base, &deltas).map(Arc::from)));
                }
                Action::Apply(document) => {
                    let content = self.content.clone();
                    let id = document.announcement.id;
                    self.work(move || Completion::Applied(content.apply(id, &document.bytes)));
                }
                Action::Persist(write) => self.persist(write),
                Action::Propose { ticket, announcement, expect } => {
                    let done = self.done.0.clone();
                    self.to_propose.push(Proposal { ticket, announcement, expect, done });
                }
                Action::Published(ticket, outcome) => {
                    if let Some(answer) = self.asked.remove(&ticket) {
                        let _ = answer.send(outcome); // who has left wants no answer
                    }
                }
                Action::Notify(note) => self.note(now, note),
            }
        }
        let is = |told: &Option<Document>, document: Option<&Document>| {
            told.as_ref().map(|document| document.announcement)
                == document.map(|document| document.announcement)
        };
        for (told, document) in [
            (&self.tells.in_force, self.machine.in_force()),
            (&self.tells.held, self.machine.verified_document()),
        ] {
            if !is(&told.borrow(), document) {
                told.send_replace(document.cloned());
            }
        }
    }

    /// Does something on a thread that may block, and has its result told.
    fn work(&self, work: impl FnOnce() -> Completion + Send + 'static) {
        let done = self.done.0.clone();
        spawn_blocking(move || {
            let _ = done.blocking_send(work()); // nobody waits in a process that ends
        });
    }

    fn persist(&self, write: FileWrite) {
        let Some((folder, disks)) = self.disk.clone() else { return };
        let name = self.name.clone();
        self.work(move || {
            let opened = disks.open(&folder).map_err(|error| error.to_string());
            let saved = opened.and_then(|disk| write.save(&*disk, &name).map_err(|fault| fault.to_string()));
            if let Err(fault) = &saved {
                warn!(folder = %folder.display(), fault, "configuration: not kept; tried again every 5 s");
            }
            Completion::Persisted(saved.is_ok())
        });
    }

    fn note(&mut self, now: Nanos, note: Notification) {
        match note {
            Notification::InForce(announcement) => {
                let (revision, digest) = (announcement.id, announcement.digest);
                info!(%revision, %digest, "configuration: in force");
            }
            Notification::Refused(revision, why) => {
                warn!(%revision, why, "configuration: refused; the revision before stays in force");
            }
            Notification::DigestMismatch(node, revision) => {
                warn!(%node, %revision, "configuration: a node sent content of another digest; fetched elsewhere");
            }
            Notification::ChainMismatch(revision) => {
                warn!(%revision, "configuration: deltas do not lead to the announced digest; fetched as a whole");
            }
            Notification::SetAside(revision, why) => {
                self.content.set_aside(revision);
                warn!(%revision, why, "configuration: the disk's revision is set aside");
            }
            Notification::StorageAvailable(true) => info!("configuration: kept on the disk again"),
            Notification::StorageAvailable(false) => {
                warn!("configuration: the disk does not keep it; serving does not depend on it")
            }
            Notification::LogBehind(announced) => {
                warn!(%announced, "configuration: the log announces a lower revision than is held here");
            }
        }
        self.tell(now);
    }

    fn tell(&mut self, now: Nanos) {
        self.told = now;
        self.tells.view.send_replace(ConfigurationView::of(self.machine.overview(now)));
    }
}

fn peers(members: &Membership, now: Nanos, voters: &[String]) -> Vec<Peer> {
    let peer = |member: merlinfold_membership::Member| Peer {
        alive: matches!(member.state, "alive" | "suspect"),
        votes: voters.iter().any(|voter| **voter == *member.name),
        address: member.profile.address,
        zone: member.profile.zone,
        name: member.name,
    };
    members.members(now).into_iter().map(peer).collect()
}

async fn load(folder: PathBuf, disks: Disks, name: &str) -> StoredState {
    let (name, at) = (name.to_owned(), folder.display().to_string());
    let loaded = spawn_blocking(move || disks.open(&folder).map(|disk| StoredState::load(&*disk, &name)));
    match timeout(LOAD_WITHIN, loaded).await {
        Ok(Ok(Ok((saved, faults)))) => {
            for fault in faults {
                warn!(folder = at, %fault, "configuration: what was kept cannot be relied on");
            }
            saved
        }
        Ok(Ok(Err(error))) => {
            warn!(folder = at, %error, "configuration: the folder cannot be opened: begins with nothing");
            StoredState::default()
        }
        _ => {
            warn!(folder = at, "configuration: the disk does not answer: begins with nothing");
            StoredState::default()
        }
    }
}
