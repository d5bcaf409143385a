//! Distribution of versioned configuration: revisions that the agreed log announces, and their content on its way to
//! every node.
//!
//! A pure machine. Time, datagrams, the membership's view, the state of the log and word of the disk come in;
//! datagrams, documents to be applied, writes and notes come out. It opens no socket, reads no clock and writes no
//! file: the same code runs in the product and, by the thousand, in virtual time.
//!
//! Content is opaque: a document is bytes with a SHA-256 digest, and what a delta does to one is the host's
//! ([`Action::Compose`]). Only a whole document whose digest is announced is handed to [`Action::Apply`].

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
