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
use bootstrap::Word;
use proposals::Proposal;
use replication::{Child, Fetch};

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
    id: Identity,
    tuning: Tuning,
    rng: fastrand::Rng,
    peers: BTreeMap<Name, Peer>,
    applied: AppliedState,
    tail: VecDeque<Entry>,
    told: u64,
    heard: Nanos, // when somebody last told something of this log
    halted: Option<UnknownCommand>,
    replica: Option<Replica>,
    voter: u64, // the number by which this node votes, or would
    image: Option<DiskImage>,
    saving: Option<Saving>,
    saving_since: Nanos,
    now: Nanos,                                      // when this node last had its turn
    names: BTreeMap<u64, Name>, // nodes of voters that were heard, also of such as the state here does not know yet
    frozen: Option<Nanos>,      // since when the disk takes nothing: the replica says nothing until it does
    hello: Option<std::collections::BTreeSet<Name>>, // who has let the old number in
    seen: BTreeMap<u64, u64>,
    words: BTreeMap<Name, Word>,
    began: Nanos,
    proposals: BTreeMap<CommandId, Proposal>,
    children: BTreeMap<Name, Child>,
    fetch: Option<Fetch>,
    offered: Option<(u64, std::sync::Arc<Vec<u8>>)>,
    gone: BTreeMap<u64, Nanos>,
    led: Option<u64>,
    next: Next,
    faults: BTreeMap<wire::DatagramError, u64>,
    sent_bytes: u64,
}

/// What the disk is busy with.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Saving {
    /// What the consensus wants kept.
    Replica,
    /// Something that nothing waits for.
    Aside,
}

/// When what is due next.
#[derive(Clone, Copy, Debug, Default)]
struct Next {
    tick: Nanos,
    pull: Nanos,
    ask: Nanos,
    hello: Nanos,
    look: Nanos,
    thaw: Nanos,
    later: Nanos,
    free: Nanos,
}

impl ReplicatedLog {
    /// A node that has just started; `kept` is what its disk held and is believed, none without a lasting disk.
    pub fn new(
        id: Identity, tuning: Tuning, kept: Option<StoredLog>, seed: u64, now: Nanos, out: &mut Vec<Action>,
    ) -> Self {
        let mut rng = fastrand::Rng::with_seed(seed);
        let fresh = rng.u64(1..);
        let next =
            Next { pull: now, ask: now, look: now, tick: now, hello: now, thaw: now, later: now, free: now };
        let mut node = ReplicatedLog {
            id,
            tuning,
            rng,
            peers: BTreeMap::new(),
            applied: AppliedState::default(),
            tail: VecDeque::new(),
            told: 0,
            heard: 0,
            halted: None,
            replica: None,
            voter: fresh,
            image: None,
            saving: None,
            saving_since: now,
            now,
            names: BTreeMap::new(),
            frozen: None,
            hello: None,
            seen: BTreeMap::new(),
            words: BTreeMap::new(),
            began: now,
            proposals: BTreeMap::new(),
            children: BTreeMap::new(),
            fetch: None,
            offered: None,
            gone: BTreeMap::new(),
            led: None,
            next,
            faults: BTreeMap::new(),
            sent_bytes: 0,
        };
        if let Some(kept) = kept {
            node.resume(kept, out);
        }
        node
    }

    /// Takes one event and appends what is to be done about it.
    pub fn handle(&mut self, now: Nanos, event: Event, out: &mut Vec<Action>) {
        if now.saturating_sub(self.now) > self.patience() {
            self.replica.iter_mut().for_each(Replica::step_down); // this node was held up
        }
        self.now = now;
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
            Event::Peers(peers) => {
                self.peers = peers.into_iter().map(|peer| (peer.name.clone(), peer)).collect();
            }
            Event::Persisted(durable) => self.persisted(now, durable, out),
            Event::Propose(command) => self.take(now, command, out),
        }
        self.turn(now, out);
    }

    /// When it next wants a tick.
    pub fn next_deadline(&self) -> Nanos {
        let is_voter = self.replica.is_some() && self.hello.is_none() && self.frozen.is_none();
        let mut due = self.next.pull.min(self.next.look);
        if is_voter {
            due = due.min(self.next.tick);
        }
        if self.hello.is_some() {
            due = due.min(self.next.hello);
        }
        if self.frozen.is_some() {
            due = due.min(self.next.thaw);
        }
        if self.replica.is_none() && self.id.is_candidate() {
            due = due.min(self.next.ask);
        }
        self.proposals.values().map(|proposal| proposal.next).fold(due, Nanos::min)
    }

    /// After so long others may have chosen another leader.
    fn patience(&self) -> Nanos {
        self.tuning.tick_interval * self.tuning.election_ticks as u64
    }

    /// The node of a voter.
    fn node_of(&self, voter: u64) -> Option<Name> {
        let known = self.applied.voters.get(&voter).map(|name| Name::from(name.as_str()));
        known.or_else(|| self.names.get(&voter).cloned())
    }

    fn fault(&mut self, fault: wire::DatagramError) {
        *self.faults.entry(fault).or_default() += 1;
    }

    /// Datagrams without effect, by reason.
    pub fn rejected_datagrams(&self) -> &BTreeMap<wire::DatagramError, u64> {
        &self.faults
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
            latest_announced: self.told.max(self.applied.index),
            is_current: self.applied.index >= self.told
                && now.saturating_sub(self.heard) <= self.tuning.stale_after + self.tuning.pull_interval,
            voter_slot: self.replica.as_ref().map(|replica| replica.voter),
            is_leader: self.leading_term().is_some(),
            voters: self.applied.voters.clone(),
        }
    }

    /// Everything about the replica in a line, for whoever looks for a fault.
    pub fn debug_summary(&self) -> String {
        let replica = self.replica.as_ref().map(Replica::inside);
        let (saving, frozen, hello) = (self.saving, self.frozen, &self.hello);
        format!(
            "{} at {} of {}, {replica:?}, {saving:?}, frozen {frozen:?}, hello {hello:?}",
            self.voter, self.applied.index, self.told
        )
    }

    /// The term in which this node leads.
    pub fn leading_term(&self) -> Option<u64> {
        self.replica.as_ref().filter(|replica| replica.leads() && self.frozen.is_none()).map(Replica::term)
    }

    /// What this node's number has voted for, by term, where that is durable: nobody was told before.
    pub fn durable_vote(&self) -> Option<(u64, u64, u64)> {
        let replica = self.replica.as_ref().filter(|_| self.saving.is_none() && self.frozen.is_none())?;
        let (term, vote) = replica.hard();
        Some((replica.voter, term, vote)).filter(|_| vote != 0)
    }

    fn send(&mut self, to: &Name, body: Body, out: &mut Vec<Action>) {
        let Some(address) = self.peers.get(to).map(|peer| peer.address) else { return };
        let envelope = Envelope {
            cluster: self.id.cluster,
            from: self.id.name.clone(),
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

    fn hear(&mut self, now: Nanos, envelope: Envelope, out: &mut Vec<Action>) {
        let Envelope { from, group, index, body, .. } = envelope;
        if group == self.group() {
            self.heard = now;
            self.told = self.told.max(index);
        }
        let later = group != self.group()
            && replication::rank(group, index) > replication::rank(self.group(), self.applied.index);
        if later && now >= self.next.later && !self.is_bound_to_another(group) {
            // A later log, whoever tells of it: the one that is held here decides nothing any more.
            self.next.later = now + self.tuning.pull_interval / 4;
            self.pull_from(now, from.clone(), out);
        }
        match body {
            Body::Raft { starts, message } => self.raft(now, &from, group, starts, *message, out),
            Body::Hello { voter, starts } => self.greeted(&from, voter, starts, out),
            Body::Seen { voter, starts, seen } => self.known(from, voter, starts, seen, out),
            Body::Ask => {
                let word = Body::Word { holds: self.is_bound(), voter: self.says(now) };
                self.send(&from, word, out);
            }
            Body::Word { holds, voter } => {
                self.words.insert(from, Word { at: now, holds, voter, group, index });
            }
            Body::Propose { command, hops } => self.passed_on(&command, hops, out),
            Body::Pull { digest } => self.pulled(now, from, group, index, digest, out),
            Body::Entries(entries) => self.entries(now, &from, group, entries, out),
            Body::Whole { index, length, sum } => self.offer(now, from, group, index, length, sum, out),
            Body::Fetch { index, offset } => self.fetched(&from, index, offset, out),
            Body::Piece { index, offset, bytes } => self.piece(now, &from, index, offset, &bytes, out),
            Body::Differs { index, part } => self.differs(now, from, group, index, part, out),
        }
    }

    /// All that has come due.
    fn turn(&mut self, now: Nanos, out: &mut Vec<Action>) {
        self.thaw(now, out);
        self.greet(now, out);
        self.sit(now, out);
        self.tick(now, out);
        self.drive(now, out);
        self.found(now, out);
        self.free(now, out);
        self.pull(now, out);
        self.push(now, out);
        self.resend(now, out);
        if now >= self.next.look {
            self.next.look = now + self.tuning.pull_interval;
            self.replace(now, out);
        }
        let leads = self.leading_term();
        if leads != self.led {
            self.led = leads;
            out.push(Action::Notify(Notification::Leadership(leads)));
        }
    }
}
