//! Distribution of configuration on the fleet's socket: the revisions that the replicated log announces.
//!
//! Disabled without `[fleet.configuration]`. Documents are opaque here; the program interprets them with the
//! [`Content`](merlinfold_distribution::Content) that it passes in.

mod driver;
mod handle;
mod view;

pub(crate) use driver::{Completion, ConfigurationDriver, Proposal, StartOptions};
pub(crate) use handle::{channel, PendingPublication, Publications, Watches};
pub use handle::{ConfigurationHandle, NewRevision};
pub use view::{ConfigurationView, RefusedRevision};
