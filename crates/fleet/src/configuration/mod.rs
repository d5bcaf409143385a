//! Distribution of configuration on the fleet's socket: revisions that the agreed log announces.
//!
//! Off without `[fleet.configuration]`. What a document means is the [`Content`](merlinfold_distribution::Content) that
//! the program hands in; nothing here reads one.

mod driver;
mod handle;
mod view;

pub(crate) use driver::{Completion, ConfigurationDriver, Proposal, StartOptions};
pub(crate) use handle::{channel, PendingPublication, Publications, Watches};
pub use handle::{ConfigurationHandle, NewRevision};
pub use view::{ConfigurationView, RefusedRevision};
