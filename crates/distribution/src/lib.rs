//! Distribution of versioned configuration: the replicated log announces revisions, and nodes fetch their content from
//! each other until each node has it in force.
//!
//! The crate is a deterministic state machine. Its inputs are time, datagrams, the view of the membership, the state of
//! the log and completed disk writes; its outputs are datagrams, documents to apply, disk writes and notifications. It
//! opens no socket, reads no clock and writes no file, so the same code runs in the product and, in thousands of nodes,
//! in virtual time.
//!
//! Content is opaque: a document is bytes with a SHA-256 digest, and the host applies deltas to it
//! ([`Action::Compose`]). Only a whole document with an announced digest is passed to [`Action::Apply`].

pub mod bounds;
mod config;
mod content;
mod download;
mod history;
mod machine;
mod overview;
mod reports;
mod revision;
mod server;
mod stored_state;
mod wire;

pub use config::{Defect, Identity, Name, Nanos, Peer, Tuning, MS, SECOND};
pub use content::{Content, Delta, Rejection};
pub use machine::{
    Action, Distribution, Event, LogState, Notification, ProposalError, Publication, PublishError, Ticket,
};
pub use overview::{NodeCount, Overview};
pub use revision::{Announcement, Digest, RevisionId, REGISTER_KEY};
pub use stored_state::{Document, FileWrite, StagedContent, StoredState, STORED_STATE_VERSION};
pub use wire::{
    decode, encode, Body, DatagramError, Envelope, Report, Transfer, TransferKind, MAGIC, VERSION,
};
