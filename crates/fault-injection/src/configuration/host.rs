//! The host of each machine: links, disks, and what takes time beside the machine.

use std::sync::Arc;

use merlinfold_distribution::{
    decode, encode, Action, Body, Event, FileWrite, Notification, ProposalError, Rejection, RevisionId,
    Ticket,
};
use merlinfold_simulation::{Nanos, MS};
use rand::Rng;

use super::content::compose;
use super::node::number;
use super::player::{Ev, Player};

const WRITE_STEPS: usize = 4; // of a disk, a file

/// What a host has done for its machine.
pub enum Done {
    Composed(Result<Arc<[u8]>, Rejection>),
    Applied(RevisionId, Result<(), Rejection>),
    Persisted(bool),
    Proposed(Ticket, Result<(), ProposalError>),
}

impl Player<'_> {
    pub fn deliver(&mut self, from: usize, to: usize, bytes: &[u8]) {
        if !self.nodes[from].is_corrupt {
            return self.feed(to, Event::Datagram(bytes));
        }
        // A node whose memory is bad: checksums of datagrams are right, content is not.
        let Ok(mut envelope) = decode(bytes) else { return };
        if let Body::Piece { bytes: content, .. } | Body::Offer { first: content, .. } = &mut envelope.body {
            if let Some(last) = content.last_mut() {
                *last ^= 1;
            }
        }
        if let Some(bytes) = encode(&envelope) {
            self.feed(to, Event::Datagram(&bytes));
        }
    }

    pub fn feed(&mut self, node: usize, event: Event) {
        if !self.nodes[node].is_up() {
            return;
        }
        let Some(machine) = &mut self.nodes[node].machine else { return };
        let mut out = Vec::new();
        machine.handle(self.now, event, &mut out);
        self.carry(node, out);
    }

    pub fn carry(&mut self, node: usize, out: Vec<Action>) {
        for action in out {
            match action {
                Action::Send { to, bytes } => {
                    let to = number(to);
                    for way in self.links.fate(self.now, node, to, bytes.len()) {
                        self.push(self.now + way, Ev::Deliver { from: node, to, bytes: bytes.clone() });
                    }
                }
                Action::Compose { base, deltas } => {
                    let result = compose(&base, &deltas).map(Arc::from);
                    self.later(node, 5 * MS, Done::Composed(result));
                }
                Action::Apply(document) => {
                    self.watch.applies(self.now, node, &document);
                    let id = document.announcement.id;
                    let refuses = self.nodes[node].refuses == Some(id.number);
                    let refused = Rejection("this node refuses it".to_owned());
                    let result = if refuses { Err(refused) } else { Ok(()) };
                    self.later(node, 50 * MS, Done::Applied(id, result));
                }
                Action::Persist(write) => self.persist(node, &write),
                Action::Propose { ticket, announcement, expect } => {
                    self.propose(node, ticket, announcement, expect);
                }
                Action::Published(ticket, outcome) => self.published(node, ticket, outcome),
                Action::Notify(note) => self.note(node, &note),
            }
        }
        let Some(machine) = &self.nodes[node].machine else { return };
        let due = machine.due().max(self.now + MS);
        if self.nodes[node].scheduled.is_none_or(|at| due < at) {
            self.nodes[node].scheduled = Some(due);
            self.push(due, Ev::Due(node));
        }
    }

    pub fn later(&mut self, node: usize, longest: Nanos, done: Done) {
        let (start, takes) = (self.nodes[node].starts, self.stream.random_range(0..longest));
        self.push(self.now + takes, Ev::Host { node, start, done });
    }

    pub fn host(&mut self, node: usize, start: u64, done: Done) {
        if self.nodes[node].starts != start || self.nodes[node].machine.is_none() {
            return;
        }
        if self.nodes[node].paused {
            return self.push(self.now + 10 * MS, Ev::Host { node, start, done });
        }
        match done {
            Done::Composed(result) => self.feed(node, Event::Composed(result)),
            Done::Applied(id, result) => {
                if result.is_ok() {
                    self.watch.applied(node, id);
                    self.time(node, id);
                }
                self.feed(node, Event::Applied(result));
            }
            Done::Persisted(durable) => self.feed(node, Event::Persisted(durable)),
            Done::Proposed(ticket, outcome) => self.feed(node, Event::Proposed(ticket, outcome)),
        }
    }

    fn persist(&mut self, node: usize, write: &FileWrite) {
        let of = &self.nodes[node];
        let saved = write.save(&of.disk, &of.name);
        let takes = MS / 2 + of.disk.takes(WRITE_STEPS);
        let start = of.starts;
        let done = Done::Persisted(saved.is_ok());
        self.push(self.now + takes, Ev::Host { node, start, done });
    }

    fn note(&mut self, node: usize, note: &Notification) {
        self.line(Some(node), || format!("{note:?}"));
        let kind = match note {
            Notification::InForce(_) => return,
            Notification::Refused(..) => "refused",
            Notification::DigestMismatch(..) => "bad content",
            Notification::ChainMismatch(_) => "bad chain",
            Notification::SetAside(..) => {
                self.watch.begins_anew(node);
                "set aside"
            }
            Notification::StorageAvailable(_) => "disk",
            Notification::LogBehind(_) => "log is lower",
        };
        *self.played.notes.entry(kind).or_default() += 1;
    }
}
