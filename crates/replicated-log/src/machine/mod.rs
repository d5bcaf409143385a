//! The state machine of one node: it takes events and the current time, and returns actions.

mod bootstrap;
mod local_replica;
mod proposals;
mod replication;
mod voter_replacement;

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;

use crate::applied::{AppliedState, UnknownCommand};
use crate::command::{Command, CommandId, Entry, Outcome};
use crate::config::{Identity, Name, Nanos, Peer, Tuning};
use crate::durable::{DiskImage, FileWrite, StoredLog};
use crate::replica::Replica;
use crate::wire::{self, encode, Body, Envelope, Group};
use bootstrap::CandidateReport;
use proposals::Proposal;
use replication::{Child, StateFetch};

/// Input of the state machine.
#[derive(Debug)]
pub enum Event<'a> {
    /// Time has passed.
    Tick,
    /// A datagram was received.
    Datagram(&'a [u8]),
    /// The membership's current view of all nodes.
    Peers(Vec<Peer>),
    /// The last requested writes are durable (`true`), or one of them failed (`false`). After a failure everything is
    /// rewritten until the disk accepts it.
    Persisted(bool),
    /// A command is to be committed. Its outcome is reported by a [`Notification`].
    Propose(Command),
}

/// Output of the state machine.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send a datagram.
    Send {
        /// Address of the receiver.
        to: SocketAddr,
        /// The encoded datagram.
        bytes: Vec<u8>,
    },
    /// Write these files in this order and report the result by [`Event::Persisted`]. No further request comes before
    /// the result is reported.
    Persist(Vec<FileWrite>),
    /// Report something to the caller.
    Notify(Notification),
}

/// A change that the caller may act on or log.
#[derive(Clone, Debug, PartialEq)]
pub enum Notification {
    /// The local state has applied this entry.
    Applied(Entry),
    /// The local state was replaced by that of this group at this index.
    StateReplaced(Group, u64),
    /// The outcome of a command that was proposed on this node.
    Outcome(CommandId, Outcome),
    /// The command was not confirmed in time, or could not be accepted. It may still be committed, and may be proposed
    /// again with the same id.
    ProposalTimedOut(CommandId),
    /// The node took the voter slot with this number, or lost its slot.
    VoterSlot(Option<u64>),
    /// The node became the leader in this term, or is no longer the leader.
    Leadership(Option<u64>),
    /// The node cannot apply this command or any later entry and must be upgraded.
    Halted(UnknownCommand),
    /// The state of the named node differs from a voter's at this index in the named part. That node fetches it again.
    StateDiverged(Name, u64, String),
    /// The content of the disk is not trusted, for this reason.
    StorageRejected(&'static str),
}

/// The local status of the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Status {
    /// The group that owns the log.
    pub group: Group,
    /// Index of the last entry applied on this node.
    pub index: u64,
    /// Highest index that any node has announced as applied.
    pub latest_announced: u64,
    /// Whether every announced entry is applied here and another node has sent a message about this log recently
    /// (within [`Tuning::stale_after`] plus [`Tuning::pull_interval`]). Otherwise the state may be outdated.
    pub is_current: bool,
    /// Number of the local voter slot, if the node has one.
    pub voter_slot: Option<u64>,
    /// Whether this node is the leader.
    pub is_leader: bool,
    /// Names of the voters' nodes by voter number.
    pub voters: BTreeMap<u64, String>,
}

/// The state machine of one node.
pub struct ReplicatedLog {
    identity: Identity,
    tuning: Tuning,
    rng: fastrand::Rng,
    peers: BTreeMap<Name, Peer>,
    applied: AppliedState,
    recent_entries: VecDeque<Entry>,
    latest_announced: u64,
    /// When a datagram about this log was last received.
    last_received: Nanos,
    halted_at: Option<UnknownCommand>,
    replica: Option<Replica>,
    /// The number by which this node votes or would vote.
    voter: u64,
    disk_image: Option<DiskImage>,
    write_in_progress: Option<PendingWrite>,
    write_started: Nanos,
    last_event: Nanos,
    /// Nodes by the voter number in their messages, including voters that the applied state does not list yet.
    voter_nodes: BTreeMap<u64, Name>,
    /// Since when writes fail. The replica sends nothing until the disk accepts a write.
    disk_failed_since: Option<Nanos>,
    /// After a restart: the nodes that know no later start of this voter number. `None` once a majority has confirmed.
    rejoin_confirmations: Option<BTreeSet<Name>>,
    /// The highest start count seen from each voter, by voter number.
    seen_starts: BTreeMap<u64, u64>,
    candidate_reports: BTreeMap<Name, CandidateReport>,
    started: Nanos,
    proposals: BTreeMap<CommandId, Proposal>,
    children: BTreeMap<Name, Child>,
    state_fetch: Option<StateFetch>,
    /// The encoded state that other nodes fetch from here, with the index of its last entry.
    offered_state: Option<(u64, Arc<Vec<u8>>)>,
    /// Since when each unavailable voter has been so, by voter number; kept by the leader.
    unavailable_since: BTreeMap<u64, Nanos>,
    /// The leadership as last reported by [`Notification::Leadership`].
    notified_leadership: Option<u64>,
    deadlines: Deadlines,
    rejected_datagrams: BTreeMap<wire::DatagramError, u64>,
    sent_bytes: u64,
}

/// Purpose of the writes in progress.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum PendingWrite {
    /// An update of the consensus, which waits for it.
    Replica,
    /// Files that the consensus does not wait for.
    Background,
}

/// The next time of each periodic task.
#[derive(Clone, Copy, Debug, Default)]
struct Deadlines {
    tick: Nanos,
    pull: Nanos,
    ask: Nanos,
    rejoin: Nanos,
    voter_check: Nanos,
    disk_retry: Nanos,
    later_log_pull: Nanos,
    release_check: Nanos,
}

impl ReplicatedLog {
    /// Creates the state machine of a node that has just started. `stored` is the log loaded from its disk, or `None`
    /// if the node has no durable disk.
    pub fn new(
        identity: Identity, tuning: Tuning, stored: Option<StoredLog>, seed: u64, now: Nanos,
        actions: &mut Vec<Action>,
    ) -> Self {
        let mut rng = fastrand::Rng::with_seed(seed);
        let voter = rng.u64(1..);
        let deadlines = Deadlines {
            pull: now,
            ask: now,
            voter_check: now,
            tick: now,
            rejoin: now,
            disk_retry: now,
            later_log_pull: now,
            release_check: now,
        };
        let mut node = ReplicatedLog {
            identity,
            tuning,
            rng,
            peers: BTreeMap::new(),
            applied: AppliedState::default(),
            recent_entries: VecDeque::new(),
            latest_announced: 0,
            last_received: 0,
            halted_at: None,
            replica: None,
            voter,
            disk_image: None,
            write_in_progress: None,
            write_started: now,
            last_event: now,
            voter_nodes: BTreeMap::new(),
            disk_failed_since: None,
            rejoin_confirmations: None,
            seen_starts: BTreeMap::new(),
            candidate_reports: BTreeMap::new(),
            started: now,
            proposals: BTreeMap::new(),
            children: BTreeMap::new(),
            state_fetch: None,
            offered_state: None,
            unavailable_since: BTreeMap::new(),
            notified_leadership: None,
            deadlines,
            rejected_datagrams: BTreeMap::new(),
            sent_bytes: 0,
        };
        if let Some(stored) = stored {
            node.restore(stored, actions);
        }
        node
    }

    /// Processes one event and appends the resulting actions.
    pub fn handle(&mut self, now: Nanos, event: Event, actions: &mut Vec<Action>) {
        if now.saturating_sub(self.last_event) > self.election_timeout() {
            self.replica.iter_mut().for_each(Replica::step_down); // the process was paused
        }
        self.last_event = now;
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
            Event::Peers(peers) => {
                self.peers = peers.into_iter().map(|peer| (peer.name.clone(), peer)).collect();
            }
            Event::Persisted(durable) => self.write_finished(now, durable, actions),
            Event::Propose(command) => self.accept_proposal(now, command, actions),
        }
        self.run_due(now, actions);
    }

    /// The latest time at which the next [`Event::Tick`] is needed.
    pub fn next_deadline(&self) -> Nanos {
        let is_voter =
            self.replica.is_some() && self.rejoin_confirmations.is_none() && self.disk_failed_since.is_none();
        let mut due = self.deadlines.pull.min(self.deadlines.voter_check);
        if is_voter {
            due = due.min(self.deadlines.tick);
        }
        if self.rejoin_confirmations.is_some() {
            due = due.min(self.deadlines.rejoin);
        }
        if self.disk_failed_since.is_some() {
            due = due.min(self.deadlines.disk_retry);
        }
        if self.replica.is_none() && self.identity.is_candidate() {
            due = due.min(self.deadlines.ask);
        }
        self.proposals.values().map(|proposal| proposal.next_send).fold(due, Nanos::min)
    }

    /// After a pause longer than this the other voters may have elected another leader.
    fn election_timeout(&self) -> Nanos {
        self.tuning.tick_interval * self.tuning.election_ticks as u64
    }

    /// The name of a voter's node, if known.
    fn node_of(&self, voter: u64) -> Option<Name> {
        let known = self.applied.voters.get(&voter).map(|name| Name::from(name.as_str()));
        known.or_else(|| self.voter_nodes.get(&voter).cloned())
    }

    fn count_rejected(&mut self, error: wire::DatagramError) {
        *self.rejected_datagrams.entry(error).or_default() += 1;
    }

    /// Number of rejected datagrams by reason.
    pub fn rejected_datagrams(&self) -> &BTreeMap<wire::DatagramError, u64> {
        &self.rejected_datagrams
    }

    /// Bytes of datagrams sent since the start.
    pub fn sent_bytes(&self) -> u64 {
        self.sent_bytes
    }

    /// The applied state.
    pub fn state(&self) -> &AppliedState {
        &self.applied
    }

    /// Corrupts the applied state, for tests of the comparison of digests.
    pub fn corrupt_for_test(&mut self) {
        self.applied.corrupt_for_test();
    }

    /// The group that owns this node's log.
    pub fn group(&self) -> Group {
        Group { epoch: self.applied.epoch, number: self.applied.group }
    }

    /// The local status of the log at time `now`.
    pub fn status(&self, now: Nanos) -> Status {
        Status {
            group: self.group(),
            index: self.applied.index,
            latest_announced: self.latest_announced.max(self.applied.index),
            is_current: self.applied.index >= self.latest_announced
                && now.saturating_sub(self.last_received)
                    <= self.tuning.stale_after + self.tuning.pull_interval,
            voter_slot: self.replica.as_ref().map(|replica| replica.voter),
            is_leader: self.leading_term().is_some(),
            voters: self.applied.voters.clone(),
        }
    }

    /// One line that describes the node and its replica, for diagnostics.
    pub fn debug_summary(&self) -> String {
        let replica = self.replica.as_ref().map(Replica::debug_summary);
        let (write, disk_failed, rejoin) =
            (self.write_in_progress, self.disk_failed_since, &self.rejoin_confirmations);
        format!(
            "voter {} at {} of {}, {replica:?}, write {write:?}, disk failed {disk_failed:?}, rejoin {rejoin:?}",
            self.voter, self.applied.index, self.latest_announced
        )
    }

    /// The term in which this node is the leader, if it is.
    pub fn leading_term(&self) -> Option<u64> {
        self.replica
            .as_ref()
            .filter(|replica| replica.is_leader() && self.disk_failed_since.is_none())
            .map(Replica::term)
    }

    /// This node's voter number, its term and its vote in that term. `None` unless the vote is durable; before that no
    /// other node has learned of it.
    pub fn durable_vote(&self) -> Option<(u64, u64, u64)> {
        let replica = self
            .replica
            .as_ref()
            .filter(|_| self.write_in_progress.is_none() && self.disk_failed_since.is_none())?;
        let (term, vote) = replica.term_and_vote();
        Some((replica.voter, term, vote)).filter(|_| vote != 0)
    }

    fn send(&mut self, to: &Name, body: Body, actions: &mut Vec<Action>) {
        let Some(address) = self.peers.get(to).map(|peer| peer.address) else { return };
        let envelope = Envelope {
            cluster: self.identity.cluster,
            from: self.identity.name.clone(),
            to: to.clone(),
            group: self.group(),
            index: self.applied.index,
            body,
        };
        // All parts are bounded, so no datagram is too long. If one were, it would be treated like a lost datagram.
        if let Some(bytes) = encode(&envelope) {
            self.sent_bytes += bytes.len() as u64;
            actions.push(Action::Send { to: address, bytes });
        }
    }

    fn receive(&mut self, now: Nanos, envelope: Envelope, actions: &mut Vec<Action>) {
        let Envelope { from, group, index, body, .. } = envelope;
        if group == self.group() {
            self.last_received = now;
            self.latest_announced = self.latest_announced.max(index);
        }
        let later = group != self.group()
            && replication::log_rank(group, index) > replication::log_rank(self.group(), self.applied.index);
        if later && now >= self.deadlines.later_log_pull && !self.is_bound_to_other_group(group) {
            // The sender holds a later log, so the local one can decide nothing any more.
            self.deadlines.later_log_pull = now + self.tuning.pull_interval / 4;
            self.pull_from(now, from.clone(), actions);
        }
        match body {
            Body::Raft { starts, message } => self.receive_raft(now, &from, group, starts, *message, actions),
            Body::Hello { voter, starts } => self.receive_hello(&from, voter, starts, actions),
            Body::Seen { voter, starts, seen } => self.receive_seen(from, voter, starts, seen, actions),
            Body::Ask => {
                let reply = Body::Word { holds: self.may_hold_replica(), voter: self.announced_voter(now) };
                self.send(&from, reply, actions);
            }
            Body::Word { holds, voter } => {
                self.candidate_reports
                    .insert(from, CandidateReport { received: now, holds_slot: holds, voter, group, index });
            }
            Body::Propose { command, hops } => self.forward(&command, hops, actions),
            Body::Pull { digest } => self.receive_pull(now, from, group, index, digest, actions),
            Body::Entries(entries) => self.receive_entries(now, &from, group, entries, actions),
            Body::Whole { index, length, sum } => {
                self.receive_state_offer(now, from, group, index, length, sum, actions)
            }
            Body::Fetch { index, offset } => self.receive_fetch(&from, index, offset, actions),
            Body::Piece { index, offset, bytes } => {
                self.receive_piece(now, &from, index, offset, &bytes, actions)
            }
            Body::Differs { index, part } => self.receive_divergence(now, from, group, index, part, actions),
        }
    }

    /// Runs all tasks that are due.
    fn run_due(&mut self, now: Nanos, actions: &mut Vec<Action>) {
        self.retry_failed_write(now, actions);
        self.request_rejoin(now, actions);
        self.update_voter_slot(now, actions);
        self.tick_replica(now);
        self.process_ready(now, actions);
        self.try_form_group(now, actions);
        self.release_slot_of_lost_group(now, actions);
        self.pull_if_due(now, actions);
        self.push_to_children(now, actions);
        self.resend_proposals(now, actions);
        if now >= self.deadlines.voter_check {
            self.deadlines.voter_check = now + self.tuning.pull_interval;
            self.replace_voters(now, actions);
        }
        let leading_term = self.leading_term();
        if leading_term != self.notified_leadership {
            self.notified_leadership = leading_term;
            actions.push(Action::Notify(Notification::Leadership(leading_term)));
        }
    }
}
