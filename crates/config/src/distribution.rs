//! The table of the distribution of configuration.

use serde::Deserialize;
use thiserror::Error;

/// Kilobytes a second that a node fetches while it catches up, where the table does not say.
pub const CATCH_UP_KB_S: u32 = 2_000;
/// The least that is possible: a document of 4 MB takes 40 s.
pub const MIN_CATCH_UP_KB_S: u32 = 100;
/// The most.
pub const MAX_CATCH_UP_KB_S: u32 = 100_000;

/// Distribution of configuration.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Configuration {
    /// Kilobytes a second that this node fetches while it catches up after a start.
    pub catch_up_kb_s: u32,
}

impl Default for Configuration {
    fn default() -> Self {
        Configuration { catch_up_kb_s: CATCH_UP_KB_S }
    }
}

/// Why a table of the distribution cannot be kept to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum ConfigurationFault {
    /// Revisions are announced by the log.
    #[error("configuration: needs [fleet.log], which announces revisions")]
    NoLog,
    /// Too slow to catch up, or no bound at all.
    #[error("configuration.catch_up_kb_s: {0}; {MIN_CATCH_UP_KB_S} to {MAX_CATCH_UP_KB_S} are possible")]
    Pace(u32),
}

impl Configuration {
    /// The pace in bytes a second.
    pub fn catch_up_bytes_s(&self) -> u64 {
        u64::from(self.catch_up_kb_s) * 1_000
    }

    pub(crate) fn check(&self, has_log: bool) -> Result<(), ConfigurationFault> {
        if !has_log {
            return Err(ConfigurationFault::NoLog);
        }
        if !(MIN_CATCH_UP_KB_S..=MAX_CATCH_UP_KB_S).contains(&self.catch_up_kb_s) {
            return Err(ConfigurationFault::Pace(self.catch_up_kb_s));
        }
        Ok(())
    }
}
