//! Runs the state machine of the distribution on the fleet's socket, beside those of the membership and the log.

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

const UPDATE_INTERVAL: Nanos = 500 * MS; // between two updates from the membership and the log
const VIEW_INTERVAL: Nanos = 1_000 * MS; // between two overviews of the fleet
const LOAD_TIMEOUT: Duration = Duration::from_secs(5); // for the disk at the start
const MAX_COMPLETIONS: usize = 16; // one for each kind of work, and those of proposals

/// The result of work on another thread or task.
pub(crate) enum Completion {
    Composed(Result<Arc<[u8]>, Rejection>),
    Applied(Result<(), Rejection>),
    Persisted(bool),
    Proposed(Ticket, Result<(), ProposalError>),
}

/// An announcement to be proposed to the log.
pub(crate) struct Proposal {
    pub ticket: Ticket,
    pub announcement: Announcement,
    pub expect: u64,
    pub completions: mpsc::Sender<Completion>,
}

impl Proposal {
    /// Reports the outcome to the distribution.
    pub async fn report(self, outcome: Result<(), ProposalError>) {
        // The event loop may have ended.
        let _ = self.completions.send(Completion::Proposed(self.ticket, outcome)).await;
    }
}

/// Everything that a [`ConfigurationDriver`] is created from.
pub(crate) struct StartOptions {
    pub settings: Settings,
    pub id: Identity,
    pub content: Arc<dyn Content>,
    pub disk: Option<(PathBuf, Disks)>,
    pub watches: Watches,
}

/// The distribution of one node, with its content, its disk and its pending publications.
pub(crate) struct ConfigurationDriver {
    machine: Distribution,
    name: String,
    content: Arc<dyn Content>,
    disk: Option<(PathBuf, Disks)>,
    completions: (mpsc::Sender<Completion>, mpsc::Receiver<Completion>),
    outcome_senders: BTreeMap<Ticket, oneshot::Sender<Result<RevisionId, PublishError>>>,
    last_ticket: Ticket,
    watches: Watches,
    updated: Option<Nanos>,
    view_published: Nanos,
    log_index: u64,       // at the last update
    voter_majority: bool, // whether a majority of the log's voters is alive
    to_send: Vec<(SocketAddr, Vec<u8>)>,
    to_propose: Vec<Proposal>,
}

impl ConfigurationDriver {
    /// Whether a datagram belongs to the distribution.
    pub fn is_for(bytes: &[u8]) -> bool {
        bytes.starts_with(&MAGIC)
    }

    /// Creates the distribution from the state on the disk.
    pub async fn start(options: StartOptions, now: Nanos) -> Self {
        let StartOptions { settings, id, content, disk, watches } = options;
        let name = id.name.to_string();
        let stored = match disk.clone() {
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
        let machine = Distribution::new(id, tuning, stored, fastrand::u64(..), now, &mut out);
        let mut driver = ConfigurationDriver {
            machine,
            name,
            content,
            disk,
            completions: mpsc::channel(MAX_COMPLETIONS),
            outcome_senders: BTreeMap::new(),
            last_ticket: 0,
            watches,
            updated: None,
            view_published: now,
            log_index: 0,
            voter_majority: false,
            to_send: Vec::new(),
            to_propose: Vec::new(),
        };
        driver.execute(now, out);
        driver
    }

    /// Time of the next call to [`ConfigurationDriver::advance`].
    pub fn next_deadline(&self) -> Nanos {
        let update = self.updated.map_or(0, |updated| updated + UPDATE_INTERVAL);
        self.machine.due().min(update).min(self.view_published + VIEW_INTERVAL)
    }

    /// Waits for the result of work on another thread or task.
    pub async fn completion(&mut self) -> Completion {
        match self.completions.1.recv().await {
            Some(completion) => completion,
            None => std::future::pending().await, // unreachable: this struct owns a sender
        }
    }

    /// Passes the result of work to the state machine.
    pub fn handle_completion(&mut self, now: Nanos, completion: Completion) {
        let event = match completion {
            Completion::Composed(result) => Event::Composed(result),
            Completion::Applied(result) => Event::Applied(result),
            Completion::Persisted(durable) => Event::Persisted(durable),
            Completion::Proposed(ticket, outcome) => Event::Proposed(ticket, outcome),
        };
        self.handle(now, event);
    }

    /// Passes a received datagram to the state machine.
    pub fn receive(&mut self, now: Nanos, bytes: &[u8]) {
        self.handle(now, Event::Datagram(bytes));
    }

    /// Starts the publication of a revision.
    pub fn publish(&mut self, now: Nanos, publication: PendingPublication) {
        let PendingPublication { revision, outcome_sender } = publication;
        self.last_ticket += 1;
        self.outcome_senders.insert(self.last_ticket, outcome_sender);
        let publication = Publication {
            ticket: self.last_ticket,
            base: revision.base,
            format: revision.format,
            document: revision.document.into(),
            delta: revision.delta.map(Arc::from),
            over_missing: revision.over_missing,
        };
        self.handle(now, Event::Publish(publication));
    }

    /// Whether an update is due: the log has applied entries since the last one, or the update interval is over.
    pub fn is_update_due(&self, now: Nanos, log_index: u64) -> bool {
        self.log_index != log_index || self.is_interval_over(now)
    }

    fn is_interval_over(&self, now: Nanos) -> bool {
        self.updated.is_none_or(|updated| now >= updated + UPDATE_INTERVAL)
    }

    /// Updates the state of the log, and at intervals the peers from the membership.
    pub fn update(
        &mut self, now: Nanos, members: &Membership, (log, index): (LogState, u64), voters: &[String],
    ) {
        self.log_index = index;
        if self.is_interval_over(now) {
            self.updated = Some(now);
            let peers = peers(members, now, voters);
            let alive = peers.iter().filter(|peer| peer.votes && peer.alive).count();
            self.voter_majority = 2 * alive > voters.len();
            self.handle(now, Event::Peers(peers));
        }
        // Followers agree with each other even when no majority can add entries, so that alone does not make the log
        // current.
        let log = LogState { fresh: log.fresh && self.voter_majority, ..log };
        self.handle(now, Event::Log(log));
    }

    /// Runs due timers, and publishes the view at intervals.
    pub fn advance(&mut self, now: Nanos) {
        if now >= self.machine.due() {
            self.handle(now, Event::Tick);
        }
        if now >= self.view_published + VIEW_INTERVAL {
            self.publish_view(now);
        }
    }

    /// Takes the datagrams that are to be sent.
    pub fn take_datagrams(&mut self) -> Vec<(SocketAddr, Vec<u8>)> {
        std::mem::take(&mut self.to_send)
    }

    /// Takes the announcements that are to be proposed to the log.
    pub fn take_proposals(&mut self) -> Vec<Proposal> {
        std::mem::take(&mut self.to_propose)
    }

    fn handle(&mut self, now: Nanos, event: Event) {
        let mut out = Vec::new();
        self.machine.handle(now, event, &mut out);
        self.execute(now, out);
    }

    fn execute(&mut self, now: Nanos, out: Vec<Action>) {
        for action in out {
            match action {
                Action::Send { to, bytes } => self.to_send.push((to, bytes)),
                Action::Compose { base, deltas } => {
                    let content = self.content.clone();
                    self.run_blocking(move || {
                        Completion::Composed(content.compose(&base, &deltas).map(Arc::from))
                    });
                }
                Action::Apply(document) => {
                    let content = self.content.clone();
                    let id = document.announcement.id;
                    self.run_blocking(move || Completion::Applied(content.apply(id, &document.bytes)));
                }
                Action::Persist(write) => self.persist(write),
                Action::Propose { ticket, announcement, expect } => {
                    let completions = self.completions.0.clone();
                    self.to_propose.push(Proposal { ticket, announcement, expect, completions });
                }
                Action::Published(ticket, outcome) => {
                    if let Some(outcome_sender) = self.outcome_senders.remove(&ticket) {
                        let _ = outcome_sender.send(outcome); // the receiver may have stopped waiting
                    }
                }
                Action::Notify(note) => self.handle_note(now, note),
            }
        }
        let is_same = |published: &Option<Document>, document: Option<&Document>| {
            published.as_ref().map(|document| document.announcement)
                == document.map(|document| document.announcement)
        };
        for (sender, document) in [
            (&self.watches.in_force, self.machine.in_force()),
            (&self.watches.publication_base, self.machine.verified_document()),
        ] {
            if !is_same(&sender.borrow(), document) {
                sender.send_replace(document.cloned());
            }
        }
    }

    /// Runs work on a thread that may block, and sends its result back to the event loop.
    fn run_blocking(&self, work: impl FnOnce() -> Completion + Send + 'static) {
        let completions = self.completions.0.clone();
        spawn_blocking(move || {
            let _ = completions.blocking_send(work()); // the event loop may have ended
        });
    }

    fn persist(&self, write: FileWrite) {
        let Some((folder, disks)) = self.disk.clone() else { return };
        let name = self.name.clone();
        self.run_blocking(move || {
            let opened = disks.open(&folder).map_err(|error| error.to_string());
            let result = opened.and_then(|disk| write.save(&*disk, &name).map_err(|error| error.to_string()));
            if let Err(error) = &result {
                warn!(folder = %folder.display(), fault = error, "configuration: write to the disk failed; retrying every 5 s");
            }
            Completion::Persisted(result.is_ok())
        });
    }

    fn handle_note(&mut self, now: Nanos, note: Notification) {
        match note {
            Notification::InForce(announcement) => {
                let (revision, digest) = (announcement.id, announcement.digest);
                info!(%revision, %digest, "configuration: revision in force");
            }
            Notification::Refused(revision, why) => {
                warn!(%revision, why, "configuration: revision refused; the previous one stays in force");
            }
            Notification::DigestMismatch(node, revision) => {
                warn!(%node, %revision, "configuration: node sent content with a wrong digest; fetching from another node");
            }
            Notification::ChainMismatch(revision) => {
                warn!(%revision, "configuration: deltas do not produce the announced digest; fetching the whole document");
            }
            Notification::SetAside(revision, why) => {
                self.content.set_aside(revision);
                warn!(%revision, why, "configuration: saved revision set aside");
            }
            Notification::StorageAvailable(true) => {
                info!("configuration: disk accepts writes again; revision saved")
            }
            Notification::StorageAvailable(false) => {
                warn!("configuration: revision not saved on the disk; serving is not affected")
            }
            Notification::LogBehind(announced) => {
                warn!(%announced, "configuration: the log announces a lower revision than the one stored here");
            }
        }
        self.publish_view(now);
    }

    fn publish_view(&mut self, now: Nanos) {
        self.view_published = now;
        self.watches.view.send_replace(ConfigurationView::from_overview(self.machine.overview(now)));
    }
}

/// The live and dead members as peers of the distribution.
fn peers(members: &Membership, now: Nanos, voters: &[String]) -> Vec<Peer> {
    let to_peer = |member: merlinfold_membership::Member| Peer {
        alive: matches!(member.state, "alive" | "suspect"),
        votes: voters.iter().any(|voter| **voter == *member.name),
        address: member.profile.address,
        zone: member.profile.zone,
        name: member.name,
    };
    members.members(now).into_iter().map(to_peer).collect()
}

/// Loads the saved revisions within the time limit; without them the node starts with none.
async fn load(folder: PathBuf, disks: Disks, name: &str) -> StoredState {
    let (name, path) = (name.to_owned(), folder.display().to_string());
    let loaded = spawn_blocking(move || disks.open(&folder).map(|disk| StoredState::load(&*disk, &name)));
    match timeout(LOAD_TIMEOUT, loaded).await {
        Ok(Ok(Ok((saved, errors)))) => {
            for error in errors {
                warn!(folder = path, fault = %error, "configuration: saved state is unusable");
            }
            saved
        }
        Ok(Ok(Err(error))) => {
            warn!(folder = path, %error, "configuration: cannot open the folder; starting without saved state");
            StoredState::default()
        }
        _ => {
            warn!(folder = path, "configuration: disk timed out; starting without saved state");
            StoredState::default()
        }
    }
}
