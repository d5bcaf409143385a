//! The replicated log on the fleet's socket: connects `merlinfold-replicated-log` to the network and the disk.

mod driver;
mod handle;

pub(crate) use driver::LogDriver;
pub(crate) use handle::{channel, PendingProposal, Proposals};
pub use handle::{LogHandle, LogView, SetError};
