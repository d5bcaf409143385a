//! The machine of the log beside that of the membership, on the same socket.

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

use super::{Asked, LogView, NotAgreed};
use crate::configuration::Proposal;
use crate::keeper::Disks;

const MARK: &[u8] = b"ma";
const VIEW_EVERY: Nanos = 250_000_000; // between two looks at the membership
const LOAD_WITHIN: Duration = Duration::from_secs(5); // that a disk may take over a start

/// The log's part of a node.
pub(crate) struct LogPart {
    machine: ReplicatedLog,
    name: String,
    disk: Option<(PathBuf, Disks)>,
    saved: (mpsc::Sender<bool>, mpsc::Receiver<bool>), // one at most is under way
    asked: BTreeMap<CommandId, Vec<oneshot::Sender<Result<u64, NotAgreed>>>>,
    tell: watch::Sender<LogView>,
    looked: Nanos,
    halted: Option<String>,
    changed: bool,
    to_send: Vec<(SocketAddr, Vec<u8>)>,
    sent: u64,
    sent_bytes: u64,
}

impl LogPart {
    /// Whether a datagram is the log's.
    pub fn is_for(bytes: &[u8]) -> bool {
        bytes.starts_with(MARK) && bytes.len() <= MAX_DATAGRAM
    }

    /// With what the disk holds, where one is to be relied on.
    pub async fn start(
        settings: &LogSettings, (name, cluster, run): (&str, u64, u64), disk: Option<(PathBuf, Disks)>,
        tell: watch::Sender<LogView>, now: Nanos,
    ) -> Self {
        let disk = disk.filter(|_| settings.durability == Durability::Disk);
        let kept = match disk.clone() {
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
        let machine = ReplicatedLog::new(id, Tuning::default(), kept, fastrand::u64(..), now, &mut out);
        let mut part = LogPart {
            machine,
            name: name.to_owned(),
            disk,
            saved: mpsc::channel(1),
            asked: BTreeMap::new(),
            tell,
            looked: 0,
            halted: None,
            changed: true,
            to_send: Vec::new(),
            sent: 0,
            sent_bytes: 0,
        };
        part.carry(out);
        part
    }

    /// When it next wants its turn.
    pub fn due(&self) -> Nanos {
        self.machine.next_deadline().min(self.looked + VIEW_EVERY)
    }

    /// Waits for word of the disk.
    pub async fn saved(&mut self) -> bool {
        match self.saved.1.recv().await {
            Some(durable) => durable,
            None => std::future::pending().await, // cannot be: the sender is here
        }
    }

    /// The disk has answered.
    pub fn persisted(&mut self, now: Nanos, durable: bool) {
        self.feed(now, Event::Persisted(durable));
    }

    pub fn hear(&mut self, now: Nanos, bytes: &[u8]) {
        self.feed(now, Event::Datagram(bytes));
    }

    pub fn ask(&mut self, now: Nanos, asked: Asked) {
        let Asked { command, answer } = asked;
        if let Err(unsent) = self.machine.check_proposal(&command) {
            let _ = answer.send(Err(unsent.into())); // who has left wants no answer
            return;
        }
        self.asked.entry(command.id).or_default().push(answer);
        self.feed(now, Event::Propose(command));
    }

    /// Its turn: looks at the membership now and then.
    pub fn turn(&mut self, now: Nanos, members: &Membership) {
        if now >= self.looked + VIEW_EVERY || self.looked == 0 {
            self.looked = now;
            let peers = members.members(now).into_iter().map(|member| Peer {
                alive: matches!(member.state, "alive" | "suspect"),
                address: member.profile.address,
                zone: member.profile.zone,
                machine: member.profile.machine,
                name: member.name,
            });
            self.feed(now, Event::Peers(peers.collect()));
            self.changed = true;
        } else {
            self.feed(now, Event::Tick);
        }
        if std::mem::take(&mut self.changed) {
            self.show(now);
        }
    }

    /// The last entry applied here.
    pub fn index(&self) -> u64 {
        self.machine.state().index
    }

    /// What the log announces to the distribution of configuration.
    pub fn announced(&self, now: Nanos) -> LogState {
        let standing = self.machine.status(now);
        let value = self.machine.state().value(REGISTER_KEY);
        LogState {
            epoch: standing.group.epoch,
            value_revision: value.map_or(0, |value| value.revision),
            fresh: standing.is_current,
            announcement: value.and_then(|value| Announcement::decode(&value.value)),
        }
    }

    /// Names of the nodes that vote.
    pub fn voters(&self) -> Vec<String> {
        self.machine.state().voters.values().cloned().collect()
    }

    /// Has an announcement agreed on, and its outcome told.
    pub fn announce(&mut self, now: Nanos, proposal: Proposal) {
        let set = Set {
            key: REGISTER_KEY.to_owned(),
            expect: Some(proposal.expect),
            value: proposal.announcement.encode(),
        };
        let body = postcard::to_stdvec(&set).unwrap_or_default();
        let (answer, answered) = oneshot::channel();
        let id = fastrand::u128(1..);
        self.ask(now, Asked { command: Command { id, kind: SET, body }, answer });
        tokio::spawn(async move {
            let outcome = match answered.await {
                Ok(Ok(_)) => Ok(()),
                Ok(Err(NotAgreed::SetAside(Refusal::Revision(_)))) => Err(ProposalError::Superseded),
                Ok(Err(NotAgreed::Unconfirmed)) | Err(_) => Err(ProposalError::Unconfirmed),
                Ok(Err(other)) => Err(ProposalError::NotTaken(other.to_string())),
            };
            proposal.tell(outcome).await;
        });
    }

    /// Datagrams that are to go out.
    pub fn outgoing(&mut self) -> Vec<(SocketAddr, Vec<u8>)> {
        self.sent += self.to_send.len() as u64;
        self.sent_bytes += self.to_send.iter().map(|(_, bytes)| bytes.len() as u64).sum::<u64>();
        std::mem::take(&mut self.to_send)
    }

    fn feed(&mut self, now: Nanos, event: Event) {
        let mut out = Vec::new();
        self.machine.handle(now, event, &mut out);
        self.carry(out);
    }

    fn carry(&mut self, out: Vec<Action>) {
        for action in out {
            match action {
                Action::Send { to, bytes } => self.to_send.push((to, bytes)),
                Action::Persist(writes) => self.persist(writes),
                Action::Notify(note) => self.note(note),
            }
        }
    }

    fn persist(&self, writes: Vec<FileWrite>) {
        let (tell, name) = (self.saved.0.clone(), self.name.clone());
        let Some((folder, disks)) = self.disk.clone() else { return };
        spawn_blocking(move || {
            let saved = disks.open(&folder).map_err(|error| error.to_string()).and_then(|disk| {
                let all = writes.iter().try_for_each(|write| write.save(&*disk, &name));
                all.map_err(|fault| fault.to_string())
            });
            if let Err(fault) = &saved {
                warn!(folder = %folder.display(), fault, "fleet log: not kept; tried again every second");
            }
            let _ = tell.try_send(saved.is_ok()); // one is under way at most, so there is room
        });
    }

    fn note(&mut self, note: Notification) {
        self.changed = true;
        match note {
            Notification::Applied(_) => {}
            Notification::Outcome(id, outcome) => {
                for answer in self.asked.remove(&id).unwrap_or_default() {
                    let outcome = match &outcome {
                        Outcome::Done(index) => Ok(*index),
                        other => Err(other.clone().into()),
                    };
                    let _ = answer.send(outcome); // who has left wants no answer
                }
            }
            Notification::ProposalTimedOut(id) => {
                for answer in self.asked.remove(&id).unwrap_or_default() {
                    let _ = answer.send(Err(NotAgreed::Unconfirmed));
                }
            }
            Notification::StateReplaced(group, index) => {
                info!(epoch = group.epoch, index, "fleet log: holds")
            }
            Notification::VoterSlot(Some(seat)) => info!(seat, "fleet log: votes"),
            Notification::VoterSlot(None) => info!("fleet log: votes no more"),
            Notification::Leadership(Some(term)) => info!(term, "fleet log: leads"),
            Notification::Leadership(None) => info!("fleet log: leads no more"),
            Notification::Halted(unknown) => {
                let (index, kind) = (unknown.index, unknown.kind);
                warn!(index, kind, "fleet log: this version does not know what was agreed: upgrade it; it serves by what it holds");
                self.halted =
                    Some(format!("entry {index} is of kind {kind}, which this version does not know"));
            }
            Notification::StateDiverged(node, index, part) => {
                warn!(%node, index, part, "fleet log: a copy differs and is fetched anew");
            }
            Notification::StorageRejected(why) => warn!(why, "fleet log: disk"),
        }
    }

    fn show(&mut self, now: Nanos) {
        let standing = self.machine.status(now);
        let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
        let values = self.machine.state().values();
        self.tell.send_replace(LogView {
            epoch: standing.group.epoch,
            index: standing.index,
            told: standing.latest_announced,
            fresh: standing.is_current,
            votes: standing.voter_slot.is_some(),
            leads: standing.is_leader,
            voters: standing.voters.into_values().collect(),
            halted: self.halted.clone(),
            sent: self.sent,
            sent_bytes: self.sent_bytes,
            values: values
                .map(|(key, value)| (key.to_owned(), (value.revision, text(&value.value))))
                .collect(),
        });
    }
}

async fn load(folder: PathBuf, disks: Disks, name: &str) -> StoredLog {
    let (name, at) = (name.to_owned(), folder.display().to_string());
    let loaded = spawn_blocking(move || disks.open(&folder).map(|disk| StoredLog::load(&*disk, &name)));
    match timeout(LOAD_WITHIN, loaded).await {
        Ok(Ok(Ok((kept, doubt)))) => {
            if let Some(doubt) = doubt {
                warn!(folder = at, %doubt, "fleet log: begins anew as a voter");
            }
            kept
        }
        Ok(Ok(Err(error))) => {
            warn!(folder = at, %error, "fleet log: the folder cannot be opened: begins anew as a voter");
            StoredLog::default()
        }
        _ => {
            warn!(folder = at, "fleet log: the disk does not answer: begins anew as a voter");
            StoredLog::default()
        }
    }
}
