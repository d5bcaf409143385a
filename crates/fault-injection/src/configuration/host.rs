//! The host of each state machine: it delivers events, carries out actions on links and disks, and adds their delays.

use std::sync::Arc;

use merlinfold_distribution::{
    decode, encode, Action, Body, Event, FileWrite, Notification, ProposalError, Rejection, RevisionId,
    Ticket,
};
use merlinfold_simulation::{Nanos, MS};
use rand::Rng;

use super::content::compose;
use super::node::node_number;
use super::simulator::{QueuedEvent, Simulator};

const FILE_WRITE_OPERATIONS: usize = 4; // disk operations to write a file

/// The result of work that a host has done for its state machine.
pub enum HostResult {
    /// Deltas were composed into a document.
    Composed(Result<Arc<[u8]>, Rejection>),
    /// A revision was applied.
    Applied(RevisionId, Result<(), Rejection>),
    /// A file was written; whether it is durable.
    Persisted(bool),
    /// The log decided on a proposal.
    Proposed(Ticket, Result<(), ProposalError>),
}

impl Simulator<'_> {
    /// Delivers a datagram; content from a node that corrupts pieces arrives with a changed byte.
    pub fn deliver(&mut self, from: usize, to: usize, bytes: &[u8]) {
        if !self.nodes[from].corrupts_pieces {
            return self.handle_event(to, Event::Datagram(bytes));
        }
        // A node with bad memory: the checksums of its datagrams are right, the content is not.
        let Ok(mut envelope) = decode(bytes) else { return };
        if let Body::Piece { bytes: content, .. } | Body::Offer { first: content, .. } = &mut envelope.body {
            if let Some(last) = content.last_mut() {
                *last ^= 1;
            }
        }
        if let Some(bytes) = encode(&envelope) {
            self.handle_event(to, Event::Datagram(&bytes));
        }
    }

    /// Passes an event to the state machine of a node that is up, and carries out the resulting actions.
    pub fn handle_event(&mut self, node: usize, event: Event) {
        if !self.nodes[node].is_up() {
            return;
        }
        let Some(machine) = &mut self.nodes[node].machine else { return };
        let mut actions = Vec::new();
        machine.handle(self.now, event, &mut actions);
        self.perform_actions(node, actions);
    }

    /// Carries out actions of a state machine and schedules its next tick.
    pub fn perform_actions(&mut self, node: usize, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Send { to, bytes } => {
                    let to = node_number(to);
                    for transit in self.links.delivery_delays(self.now, node, to, bytes.len()) {
                        self.push(
                            self.now + transit,
                            QueuedEvent::Deliver { from: node, to, bytes: bytes.clone() },
                        );
                    }
                }
                Action::Compose { base, deltas } => {
                    let result = compose(&base, &deltas).map(Arc::from);
                    self.schedule_host_result(node, 5 * MS, HostResult::Composed(result));
                }
                Action::Apply(document) => {
                    self.checker.applies(self.now, node, &document);
                    let id = document.announcement.id;
                    let refuses = self.nodes[node].refused_number == Some(id.number);
                    let refused = Rejection("the node refuses this revision".to_owned());
                    let result = if refuses { Err(refused) } else { Ok(()) };
                    self.schedule_host_result(node, 50 * MS, HostResult::Applied(id, result));
                }
                Action::Persist(write) => self.persist(node, &write),
                Action::Propose { ticket, announcement, expect } => {
                    self.propose(node, ticket, announcement, expect);
                }
                Action::Published(ticket, outcome) => self.published(node, ticket, outcome),
                Action::Notify(note) => self.record_note(node, &note),
            }
        }
        let Some(machine) = &self.nodes[node].machine else { return };
        let due = machine.due().max(self.now + MS);
        if self.nodes[node].scheduled.is_none_or(|at| due < at) {
            self.nodes[node].scheduled = Some(due);
            self.push(due, QueuedEvent::Tick(node));
        }
    }

    /// Delivers a host's result after a random delay below `longest`.
    pub fn schedule_host_result(&mut self, node: usize, longest: Nanos, done: HostResult) {
        let (start, delay) = (self.nodes[node].starts, self.stream.random_range(0..longest));
        self.push(self.now + delay, QueuedEvent::HostDone { node, start, done });
    }

    /// Passes a host's result to the state machine, unless the process has ended; a paused process gets it later.
    pub fn deliver_host_result(&mut self, node: usize, start: u64, done: HostResult) {
        if self.nodes[node].starts != start || self.nodes[node].machine.is_none() {
            return;
        }
        if self.nodes[node].paused {
            return self.push(self.now + 10 * MS, QueuedEvent::HostDone { node, start, done });
        }
        match done {
            HostResult::Composed(result) => self.handle_event(node, Event::Composed(result)),
            HostResult::Applied(id, result) => {
                if result.is_ok() {
                    self.checker.applied(node, id);
                    self.record_apply_latency(node, id);
                }
                self.handle_event(node, Event::Applied(result));
            }
            HostResult::Persisted(durable) => self.handle_event(node, Event::Persisted(durable)),
            HostResult::Proposed(ticket, outcome) => {
                self.handle_event(node, Event::Proposed(ticket, outcome))
            }
        }
    }

    /// Writes a file to the node's disk and reports the result after the time that this takes.
    fn persist(&mut self, node: usize, write: &FileWrite) {
        let node_state = &self.nodes[node];
        let saved = write.save(&node_state.disk, &node_state.name);
        let delay = MS / 2 + node_state.disk.operation_delay(FILE_WRITE_OPERATIONS);
        let start = node_state.starts;
        let done = HostResult::Persisted(saved.is_ok());
        self.push(self.now + delay, QueuedEvent::HostDone { node, start, done });
    }

    /// Records a note of a state machine, and counts it unless a revision came into force.
    fn record_note(&mut self, node: usize, note: &Notification) {
        self.line(Some(node), || format!("{note:?}"));
        let kind = match note {
            Notification::InForce(_) => return,
            Notification::Refused(..) => "refused",
            Notification::DigestMismatch(..) => "bad content",
            Notification::ChainMismatch(_) => "bad chain",
            Notification::SetAside(..) => {
                self.checker.reset_floor(node);
                "set aside"
            }
            Notification::StorageAvailable(_) => "disk",
            Notification::LogBehind(_) => "log is lower",
        };
        *self.outcome.notes.entry(kind).or_default() += 1;
    }
}
