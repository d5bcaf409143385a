//! Distribution of configuration on the fleet's socket: revisions that the agreed log announces.
//!
//! Off without `[fleet.configuration]`. What a document means is the [`Content`](merlinfold_distribution::Content) that
//! the program hands in; nothing here reads one.

mod handle;
mod part;
mod view;

pub(crate) use handle::{channel, Asked, Asks, Tells};
pub use handle::{Change, ConfigurationHandle};
pub(crate) use part::{ConfigurationPart, Done, Proposal, Start};
pub use view::{ConfigurationView, RefusedRevision};
