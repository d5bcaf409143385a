//! The agreed log on the fleet's socket: the thin part around `merlinfold-replicated-log`.

mod driver;
mod handle;

pub(crate) use driver::LogDriver;
pub(crate) use handle::{channel, PendingProposal, Proposals};
pub use handle::{LogHandle, LogView, SetError};
