//! Runs the state machine of the replicated log on the fleet's socket, beside that of the membership.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use merlinfold_config::{Durability, ReplicatedLog as LogSettings};
use merlinfold_distribution::{Announcement, LogState, ProposalError, REGISTER_KEY};
use merlinfold_membership::Membership;
use merlinfold_replicated_log::command::{Command, CommandId, Outcome, Refusal, Set, SET};
use merlinfold_replicated_log::{
    Action, Event, FileWrite, Identity, Nanos, Notification, Peer, ReplicatedLog, StoredLog, Tuning,
    MAX_DATAGRAM,
};
use tokio::sync::{mpsc, oneshot, watch};
use tokio::task::spawn_blocking;
use tokio::time::timeout;
use tracing::{info, warn};

use super::{LogView, PendingProposal, SetError};
use crate::configuration::Proposal;
use crate::state_store::Disks;

const MAGIC: &[u8] = b"ma";
const PEERS_INTERVAL: Nanos = 250_000_000; // between two updates of the peers from the membership
const LOAD_TIMEOUT: Duration = Duration::from_secs(5); // for the disk at the start

/// The replicated log of one node, with its disk and its pending proposals.
pub(crate) struct LogDriver {
    machine: ReplicatedLog,
    name: String,
    disk: Option<(PathBuf, Disks)>,
    write_results: (mpsc::Sender<bool>, mpsc::Receiver<bool>), // at most one write is in progress
    outcome_senders: BTreeMap<CommandId, Vec<oneshot::Sender<Result<u64, SetError>>>>,
    view_sender: watch::Sender<LogView>,
    peers_updated: Nanos,
    halted: Option<String>,
    changed: bool,
    to_send: Vec<(SocketAddr, Vec<u8>)>,
    sent: u64,
    sent_bytes: u64,
}

impl LogDriver {
    /// Whether a datagram belongs to the log.
    pub fn is_for(bytes: &[u8]) -> bool {
        bytes.starts_with(MAGIC) && bytes.len() <= MAX_DATAGRAM
    }

    /// Creates the log from the state on the disk; the disk is used only with durability `disk`.
    pub async fn start(
        settings: &LogSettings, (name, cluster, run): (&str, u64, u64), disk: Option<(PathBuf, Disks)>,
        view_sender: watch::Sender<LogView>, now: Nanos,
    ) -> Self {
        let disk = disk.filter(|_| settings.durability == Durability::Disk);
        let stored = match disk.clone() {
            Some((folder, disks)) => Some(load(folder, disks, name).await),
            None => None,
        };
        let id = Identity {
            cluster,
            name: name.into(),
            start_number: run,
            candidates: settings.candidates.iter().map(|name| name.as_str().into()).collect(),
            voter_count: settings.voters,
        };
        let mut out = Vec::new();
        let machine = ReplicatedLog::new(id, Tuning::default(), stored, fastrand::u64(..), now, &mut out);
        let mut driver = LogDriver {
            machine,
            name: name.to_owned(),
            disk,
            write_results: mpsc::channel(1),
            outcome_senders: BTreeMap::new(),
            view_sender,
            peers_updated: 0,
            halted: None,
            changed: true,
            to_send: Vec::new(),
            sent: 0,
            sent_bytes: 0,
        };
        driver.execute(out);
        driver
    }

    /// Time of the next call to [`LogDriver::advance`].
    pub fn next_deadline(&self) -> Nanos {
        self.machine.next_deadline().min(self.peers_updated + PEERS_INTERVAL)
    }

    /// Waits for the result of a write to the disk.
    pub async fn write_result(&mut self) -> bool {
        match self.write_results.1.recv().await {
            Some(durable) => durable,
            None => std::future::pending().await, // unreachable: this struct owns a sender
        }
    }

    /// Passes the result of a write to the state machine.
    pub fn handle_write_result(&mut self, now: Nanos, durable: bool) {
        self.handle(now, Event::Persisted(durable));
    }

    /// Passes a received datagram to the state machine.
    pub fn receive(&mut self, now: Nanos, bytes: &[u8]) {
        self.handle(now, Event::Datagram(bytes));
    }

    /// Proposes a command; its result is sent when the log reports it.
    pub fn propose(&mut self, now: Nanos, proposal: PendingProposal) {
        let PendingProposal { command, outcome_sender } = proposal;
        if let Err(error) = self.machine.check_proposal(&command) {
            let _ = outcome_sender.send(Err(error.into())); // the receiver may have stopped waiting
            return;
        }
        self.outcome_senders.entry(command.id).or_default().push(outcome_sender);
        self.handle(now, Event::Propose(command));
    }

    /// Runs due timers, and updates the peers from the membership at intervals.
    pub fn advance(&mut self, now: Nanos, members: &Membership) {
        if now >= self.peers_updated + PEERS_INTERVAL || self.peers_updated == 0 {
            self.peers_updated = now;
            let peers = members.members(now).into_iter().map(|member| Peer {
                alive: matches!(member.state, "alive" | "suspect"),
                address: member.profile.address,
                zone: member.profile.zone,
                machine: member.profile.machine,
                name: member.name,
            });
            self.handle(now, Event::Peers(peers.collect()));
            self.changed = true;
        } else {
            self.handle(now, Event::Tick);
        }
        if std::mem::take(&mut self.changed) {
            self.publish_view(now);
        }
    }

    /// Index of the last entry applied here.
    pub fn index(&self) -> u64 {
        self.machine.state().index
    }

    /// The state that the distribution of configuration reads from the log.
    pub fn state(&self, now: Nanos) -> LogState {
        let status = self.machine.status(now);
        let value = self.machine.state().value(REGISTER_KEY);
        LogState {
            epoch: status.group.epoch,
            value_revision: value.map_or(0, |value| value.revision),
            fresh: status.is_current,
            announcement: value.and_then(|value| Announcement::decode(&value.value)),
        }
    }

    /// Names of the voters.
    pub fn voters(&self) -> Vec<String> {
        self.machine.state().voters.values().cloned().collect()
    }

    /// Proposes an announcement of a revision, and reports the outcome to its sender.
    pub fn propose_announcement(&mut self, now: Nanos, proposal: Proposal) {
        let set = Set {
            key: REGISTER_KEY.to_owned(),
            expect: Some(proposal.expect),
            value: proposal.announcement.encode(),
        };
        let body = postcard::to_stdvec(&set).unwrap_or_default();
        let (outcome_sender, outcome_receiver) = oneshot::channel();
        let id = fastrand::u128(1..);
        self.propose(now, PendingProposal { command: Command { id, kind: SET, body }, outcome_sender });
        tokio::spawn(async move {
            let outcome = match outcome_receiver.await {
                Ok(Ok(_)) => Ok(()),
                Ok(Err(SetError::SetAside(Refusal::Revision(_)))) => Err(ProposalError::Superseded),
                Ok(Err(SetError::Unconfirmed)) | Err(_) => Err(ProposalError::Unconfirmed),
                Ok(Err(other)) => Err(ProposalError::Rejected(other.to_string())),
            };
            proposal.report(outcome).await;
        });
    }

    /// Takes the datagrams that are to be sent.
    pub fn take_datagrams(&mut self) -> Vec<(SocketAddr, Vec<u8>)> {
        self.sent += self.to_send.len() as u64;
        self.sent_bytes += self.to_send.iter().map(|(_, bytes)| bytes.len() as u64).sum::<u64>();
        std::mem::take(&mut self.to_send)
    }

    fn handle(&mut self, now: Nanos, event: Event) {
        let mut out = Vec::new();
        self.machine.handle(now, event, &mut out);
        self.execute(out);
    }

    fn execute(&mut self, out: Vec<Action>) {
        for action in out {
            match action {
                Action::Send { to, bytes } => self.to_send.push((to, bytes)),
                Action::Persist(writes) => self.persist(writes),
                Action::Notify(notification) => self.handle_notification(notification),
            }
        }
    }

    fn persist(&self, writes: Vec<FileWrite>) {
        let (result_sender, name) = (self.write_results.0.clone(), self.name.clone());
        let Some((folder, disks)) = self.disk.clone() else { return };
        spawn_blocking(move || {
            let result = disks.open(&folder).map_err(|error| error.to_string()).and_then(|disk| {
                let saved = writes.iter().try_for_each(|write| write.save(&*disk, &name));
                saved.map_err(|error| error.to_string())
            });
            if let Err(error) = &result {
                warn!(folder = %folder.display(), fault = error, "fleet log: write to the disk failed; retrying every second");
            }
            // The channel has room, because at most one write is in progress.
            let _ = result_sender.try_send(result.is_ok());
        });
    }

    fn handle_notification(&mut self, notification: Notification) {
        self.changed = true;
        match notification {
            Notification::Applied(_) => {}
            Notification::Outcome(id, outcome) => {
                for outcome_sender in self.outcome_senders.remove(&id).unwrap_or_default() {
                    let outcome = match &outcome {
                        Outcome::Done(index) => Ok(*index),
                        other => Err(other.clone().into()),
                    };
                    let _ = outcome_sender.send(outcome); // the receiver may have stopped waiting
                }
            }
            Notification::ProposalTimedOut(id) => {
                for outcome_sender in self.outcome_senders.remove(&id).unwrap_or_default() {
                    let _ = outcome_sender.send(Err(SetError::Unconfirmed));
                }
            }
            Notification::StateReplaced(group, index) => {
                info!(epoch = group.epoch, index, "fleet log: local state replaced")
            }
            Notification::VoterSlot(Some(seat)) => info!(seat, "fleet log: became a voter"),
            Notification::VoterSlot(None) => info!("fleet log: no longer a voter"),
            Notification::Leadership(Some(term)) => info!(term, "fleet log: became the leader"),
            Notification::Leadership(None) => info!("fleet log: no longer the leader"),
            Notification::Halted(unknown) => {
                let (index, kind) = (unknown.index, unknown.kind);
                warn!(
                    index,
                    kind, "fleet log: unknown kind of entry; no further entries are applied until an upgrade"
                );
                self.halted =
                    Some(format!("entry {index} is of kind {kind}, which this version does not know"));
            }
            Notification::StateDiverged(node, index, part) => {
                warn!(%node, index, part, "fleet log: state differs from another node; fetching a new copy");
            }
            Notification::StorageRejected(why) => warn!(why, "fleet log: content of the disk is not trusted"),
        }
    }

    fn publish_view(&mut self, now: Nanos) {
        let status = self.machine.status(now);
        let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
        let values = self.machine.state().values();
        self.view_sender.send_replace(LogView {
            epoch: status.group.epoch,
            index: status.index,
            latest_announced: status.latest_announced,
            fresh: status.is_current,
            votes: status.voter_slot.is_some(),
            leads: status.is_leader,
            voters: status.voters.into_values().collect(),
            halted: self.halted.clone(),
            sent: self.sent,
            sent_bytes: self.sent_bytes,
            values: values
                .map(|(key, value)| (key.to_owned(), (value.revision, text(&value.value))))
                .collect(),
        });
    }
}

/// Loads the stored log within the time limit; without it the node starts as a new replica.
async fn load(folder: PathBuf, disks: Disks, name: &str) -> StoredLog {
    let (name, path) = (name.to_owned(), folder.display().to_string());
    let loaded = spawn_blocking(move || disks.open(&folder).map(|disk| StoredLog::load(&*disk, &name)));
    match timeout(LOAD_TIMEOUT, loaded).await {
        Ok(Ok(Ok((stored, load_error)))) => {
            if let Some(load_error) = load_error {
                warn!(folder = path, doubt = %load_error, "fleet log: cannot use the stored log; starting as a new replica");
            }
            stored
        }
        Ok(Ok(Err(error))) => {
            warn!(folder = path, %error, "fleet log: cannot open the folder; starting as a new replica");
            StoredLog::default()
        }
        _ => {
            warn!(folder = path, "fleet log: disk timed out; starting as a new replica");
            StoredLog::default()
        }
    }
}
