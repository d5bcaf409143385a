//! The versioned configuration of this node: which revision is in force, and how the next one comes into force.
//!
//! [`Baseline`] has the settings that the node was started with. A document overrides some of them; those that it does
//! not name stay as at the start. [`ActiveRevision`] accepts whole documents in order and does no I/O. [`Applier`] runs
//! it on threads that may block, and sends the driver one [`ConfigurationChange`] at a time, which the driver applies
//! between two requests.

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
