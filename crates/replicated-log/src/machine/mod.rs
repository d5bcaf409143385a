//! A node's part in the log: events and time go in, actions come out.

mod bootstrap;
mod local_replica;
mod proposals;
mod replication;
mod voter_replacement;

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;

use crate::applied::{AppliedState, UnknownCommand};
use crate::command::{Command, CommandId, Entry, Outcome};
use crate::config::{Identity, Name, Nanos, Peer, Tuning};
use crate::durable::{DiskImage, FileWrite, StoredLog};
use crate::replica::Replica;
use crate::wire::{self, encode, Body, Envelope, Group};
use bootstrap::CandidateReport;
use proposals::Proposal;
use replication::{Child, StateFetch};

/// What a node is told.
#[derive(Debug)]
pub enum Event<'a> {
    /// Time has passed.
    Tick,
    /// A datagram came.
    Datagram(&'a [u8]),
    /// Who is there, as the membership sees it now.
    Peers(Vec<Peer>),
    /// The last writes are durable, or one of them failed: all is then written anew until it is taken.
    Persisted(bool),
    /// A command is to be agreed; its outcome is told.
    Propose(Command),
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
    /// Write these files in this order, and tell whether they are durable. At most one is under way.
    Persist(Vec<FileWrite>),
    /// Something that others may want to know.
    Notify(Notification),
}

/// What others may want to know.
#[derive(Clone, Debug, PartialEq)]
pub enum Notification {
    /// The state here has taken this entry.
    Applied(Entry),
    /// The state here has jumped to this log and place.
    StateReplaced(Group, u64),
    /// What came of a command that was proposed here.
    Outcome(CommandId, Outcome),
    /// Nobody has confirmed it in time; it may still come to be, and may be proposed again by the same id.
    ProposalTimedOut(CommandId),
    /// This node has taken a voter slot, or has given it up.
    VoterSlot(Option<u64>),
    /// This node leads in this term, or no longer.
    Leadership(Option<u64>),
    /// Nothing after this entry is applied here: upgrade the node.
    Halted(UnknownCommand),
    /// A copy differed as of this entry and is fetched anew: which node's, and which part.
    StateDiverged(Name, u64, String),
    /// What stands on the disk is not believed, for this reason.
    StorageRejected(&'static str),
}

/// How the log stands here.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Status {
    /// Which log.
    pub group: Group,
    /// The last entry applied here.
    pub index: u64,
    /// The last entry that anybody told of.
    pub latest_announced: u64,
    /// Whether what is held here is as new as anybody told within the last while; else it is old.
    pub is_current: bool,
    /// The number of the voter slot.
    pub voter_slot: Option<u64>,
    /// Whether this node leads.
    pub is_leader: bool,
    /// Voters, by number, with their nodes' names.
    pub voters: BTreeMap<u64, String>,
}

/// One node's part.
pub struct ReplicatedLog {
    identity: Identity,
    tuning: Tuning,
    rng: fastrand::Rng,
    peers: BTreeMap<Name, Peer>,
    applied: AppliedState,
    recent_entries: VecDeque<Entry>,
    latest_announced: u64,
    last_received: Nanos, // when somebody last told something of this log
    halted_at: Option<UnknownCommand>,
    replica: Option<Replica>,
    voter: u64, // the number by which this node votes, or would
    disk_image: Option<DiskImage>,
    write_in_progress: Option<PendingWrite>,
    write_started: Nanos,
    last_event: Nanos,                // when this node last had its turn
    voter_nodes: BTreeMap<u64, Name>, // nodes of voters that were heard, also of such as the state here does not know yet
    disk_failed_since: Option<Nanos>, // since when the disk takes nothing: the replica says nothing until it does
    rejoin_confirmations: Option<std::collections::BTreeSet<Name>>, // who has let the old number in
    seen_starts: BTreeMap<u64, u64>,
    candidate_reports: BTreeMap<Name, CandidateReport>,
    started: Nanos,
    proposals: BTreeMap<CommandId, Proposal>,
    children: BTreeMap<Name, Child>,
    state_fetch: Option<StateFetch>,
    offered_state: Option<(u64, std::sync::Arc<Vec<u8>>)>,
    unavailable_since: BTreeMap<u64, Nanos>,
    notified_leadership: Option<u64>,
    deadlines: Deadlines,
    rejected_datagrams: BTreeMap<wire::DatagramError, u64>,
    sent_bytes: u64,
}

/// What the disk is busy with.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum PendingWrite {
    /// What the consensus wants kept.
    Replica,
    /// Something that nothing waits for.
    Background,
}

/// When what is due next.
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
    /// A node that has just started; `kept` is what its disk held and is believed, none without a lasting disk.
    pub fn new(
        id: Identity, tuning: Tuning, kept: Option<StoredLog>, seed: u64, now: Nanos, out: &mut Vec<Action>,
    ) -> Self {
        let mut rng = fastrand::Rng::with_seed(seed);
        let fresh = rng.u64(1..);
        let next = Deadlines {
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
            identity: id,
            tuning,
            rng,
            peers: BTreeMap::new(),
            applied: AppliedState::default(),
            recent_entries: VecDeque::new(),
            latest_announced: 0,
            last_received: 0,
            halted_at: None,
            replica: None,
            voter: fresh,
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
            deadlines: next,
            rejected_datagrams: BTreeMap::new(),
            sent_bytes: 0,
        };
        if let Some(kept) = kept {
            node.restore(kept, out);
        }
        node
    }

    /// Takes one event and appends what is to be done about it.
    pub fn handle(&mut self, now: Nanos, event: Event, out: &mut Vec<Action>) {
        if now.saturating_sub(self.last_event) > self.election_timeout() {
            self.replica.iter_mut().for_each(Replica::step_down); // this node was held up
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
                Ok(envelope) => self.receive(now, envelope, out),
                Err(fault) => self.count_rejected(fault),
            },
            Event::Peers(peers) => {
                self.peers = peers.into_iter().map(|peer| (peer.name.clone(), peer)).collect();
            }
            Event::Persisted(durable) => self.write_finished(now, durable, out),
            Event::Propose(command) => self.accept_proposal(now, command, out),
        }
        self.run_due(now, out);
    }

    /// When it next wants a tick.
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

    /// After so long others may have chosen another leader.
    fn election_timeout(&self) -> Nanos {
        self.tuning.tick_interval * self.tuning.election_ticks as u64
    }

    /// The node of a voter.
    fn node_of(&self, voter: u64) -> Option<Name> {
        let known = self.applied.voters.get(&voter).map(|name| Name::from(name.as_str()));
        known.or_else(|| self.voter_nodes.get(&voter).cloned())
    }

    fn count_rejected(&mut self, fault: wire::DatagramError) {
        *self.rejected_datagrams.entry(fault).or_default() += 1;
    }

    /// Datagrams without effect, by reason.
    pub fn rejected_datagrams(&self) -> &BTreeMap<wire::DatagramError, u64> {
        &self.rejected_datagrams
    }

    /// Bytes sent since the start.
    pub fn sent_bytes(&self) -> u64 {
        self.sent_bytes
    }

    /// The state.
    pub fn state(&self) -> &AppliedState {
        &self.applied
    }

    /// For tests of the comparison of copies.
    pub fn corrupt_for_test(&mut self) {
        self.applied.corrupt_for_test();
    }

    /// Which log this node holds.
    pub fn group(&self) -> Group {
        Group { epoch: self.applied.epoch, number: self.applied.group }
    }

    /// How the log stands here.
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

    /// Everything about the replica in a line, for whoever looks for a fault.
    pub fn debug_summary(&self) -> String {
        let replica = self.replica.as_ref().map(Replica::debug_summary);
        let (saving, frozen, hello) =
            (self.write_in_progress, self.disk_failed_since, &self.rejoin_confirmations);
        format!(
            "{} at {} of {}, {replica:?}, {saving:?}, frozen {frozen:?}, hello {hello:?}",
            self.voter, self.applied.index, self.latest_announced
        )
    }

    /// The term in which this node leads.
    pub fn leading_term(&self) -> Option<u64> {
        self.replica
            .as_ref()
            .filter(|replica| replica.is_leader() && self.disk_failed_since.is_none())
            .map(Replica::term)
    }

    /// What this node's number has voted for, by term, where that is durable: nobody was told before.
    pub fn durable_vote(&self) -> Option<(u64, u64, u64)> {
        let replica = self
            .replica
            .as_ref()
            .filter(|_| self.write_in_progress.is_none() && self.disk_failed_since.is_none())?;
        let (term, vote) = replica.term_and_vote();
        Some((replica.voter, term, vote)).filter(|_| vote != 0)
    }

    fn send(&mut self, to: &Name, body: Body, out: &mut Vec<Action>) {
        let Some(address) = self.peers.get(to).map(|peer| peer.address) else { return };
        let envelope = Envelope {
            cluster: self.identity.cluster,
            from: self.identity.name.clone(),
            to: to.clone(),
            group: self.group(),
            index: self.applied.index,
            body,
        };
        // One that is too long cannot be made from what is bounded; it would be lost like any other.
        if let Some(bytes) = encode(&envelope) {
            self.sent_bytes += bytes.len() as u64;
            out.push(Action::Send { to: address, bytes });
        }
    }

    fn receive(&mut self, now: Nanos, envelope: Envelope, out: &mut Vec<Action>) {
        let Envelope { from, group, index, body, .. } = envelope;
        if group == self.group() {
            self.last_received = now;
            self.latest_announced = self.latest_announced.max(index);
        }
        let later = group != self.group()
            && replication::log_rank(group, index) > replication::log_rank(self.group(), self.applied.index);
        if later && now >= self.deadlines.later_log_pull && !self.is_bound_to_other_group(group) {
            // A later log, whoever tells of it: the one that is held here decides nothing any more.
            self.deadlines.later_log_pull = now + self.tuning.pull_interval / 4;
            self.pull_from(now, from.clone(), out);
        }
        match body {
            Body::Raft { starts, message } => self.receive_raft(now, &from, group, starts, *message, out),
            Body::Hello { voter, starts } => self.receive_hello(&from, voter, starts, out),
            Body::Seen { voter, starts, seen } => self.receive_seen(from, voter, starts, seen, out),
            Body::Ask => {
                let word = Body::Word { holds: self.may_hold_replica(), voter: self.announced_voter(now) };
                self.send(&from, word, out);
            }
            Body::Word { holds, voter } => {
                self.candidate_reports
                    .insert(from, CandidateReport { received: now, holds_slot: holds, voter, group, index });
            }
            Body::Propose { command, hops } => self.forward(&command, hops, out),
            Body::Pull { digest } => self.receive_pull(now, from, group, index, digest, out),
            Body::Entries(entries) => self.receive_entries(now, &from, group, entries, out),
            Body::Whole { index, length, sum } => {
                self.receive_state_offer(now, from, group, index, length, sum, out)
            }
            Body::Fetch { index, offset } => self.receive_fetch(&from, index, offset, out),
            Body::Piece { index, offset, bytes } => {
                self.receive_piece(now, &from, index, offset, &bytes, out)
            }
            Body::Differs { index, part } => self.receive_divergence(now, from, group, index, part, out),
        }
    }

    /// All that has come due.
    fn run_due(&mut self, now: Nanos, out: &mut Vec<Action>) {
        self.retry_failed_write(now, out);
        self.request_rejoin(now, out);
        self.update_voter_slot(now, out);
        self.tick_replica(now, out);
        self.process_ready(now, out);
        self.try_form_group(now, out);
        self.release_slot_of_lost_group(now, out);
        self.pull_if_due(now, out);
        self.push_to_children(now, out);
        self.resend_proposals(now, out);
        if now >= self.deadlines.voter_check {
            self.deadlines.voter_check = now + self.tuning.pull_interval;
            self.replace_voters(now, out);
        }
        let leads = self.leading_term();
        if leads != self.notified_leadership {
            self.notified_leadership = leads;
            out.push(Action::Notify(Notification::Leadership(leads)));
        }
    }
}
