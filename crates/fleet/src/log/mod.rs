//! The agreed log on the fleet's socket: the thin part around `merlinfold-replicated-log`.

mod handle;
mod part;

pub(crate) use handle::{channel, Asked, Asks};
pub use handle::{LogHandle, LogView, NotAgreed};
pub(crate) use part::LogPart;
