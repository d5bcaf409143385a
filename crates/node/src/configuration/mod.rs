//! The versioned configuration at this node: which revision is in force, and how the next one comes to be.
//!
//! [`Baseline`] is what the node was started with; a document lays over it: what the document does not name is as at
//! the start. [`ActiveRevision`] takes whole documents in order and is pure. [`Applier`] is its host: it works on
//! threads that may block, and hands the driver one [`Change`] at a time, which the driver takes between two requests.

mod active;
mod applier;
mod baseline;
mod change;
mod distributed;
mod publisher;
mod tenants;
mod unsupported;

pub use active::{ActiveRevision, PreparedRevision, RevisionError, RevisionId};
pub use applier::{Applier, ApplyError, LocalStatus, RefusedRevision};
pub use baseline::Baseline;
pub use change::{ActiveDocument, ConfigurationChange};
pub use distributed::{FleetPublisher, NodeContent};
pub use publisher::{FleetProgress, Publication, PublicationError, PublishFuture, Publisher};
pub use tenants::{TenantNumbers, TenantRef};
pub use unsupported::UnsupportedError;

#[cfg(test)]
#[path = "../../tests/unit/configuration.rs"]
mod tests;
