//! The `[fleet.configuration]` table: how a node takes part in the distribution of configuration.

use serde::Deserialize;
use thiserror::Error;

/// Default limit in kilobytes per second on what a node fetches while it catches up.
pub const DEFAULT_CATCH_UP_KB_S: u32 = 2_000;
/// Lowest accepted limit, in kilobytes per second. At this rate a document of 4 MB takes 40 s.
pub const MIN_CATCH_UP_KB_S: u32 = 100;
/// Highest accepted limit, in kilobytes per second.
pub const MAX_CATCH_UP_KB_S: u32 = 100_000;

/// Settings for the distribution of configuration.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Configuration {
    /// Limit in kilobytes per second on what this node fetches while it catches up after a start.
    pub catch_up_kb_s: u32,
}

impl Default for Configuration {
    fn default() -> Self {
        Configuration { catch_up_kb_s: DEFAULT_CATCH_UP_KB_S }
    }
}

/// An invalid combination or value in the `[fleet.configuration]` table.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum ConfigurationError {
    /// The replicated log, which announces revisions, is not configured.
    #[error("configuration: requires [fleet.log], which announces revisions")]
    NoLog,
    /// The catch-up rate is too low to catch up, or so high that it limits nothing.
    #[error("configuration.catch_up_kb_s: expected {MIN_CATCH_UP_KB_S} to {MAX_CATCH_UP_KB_S}, got {0}")]
    CatchUpRate(u32),
}

impl Configuration {
    /// The catch-up rate in bytes per second.
    pub fn catch_up_bytes_s(&self) -> u64 {
        u64::from(self.catch_up_kb_s) * 1_000
    }

    pub(crate) fn validate(&self, has_log: bool) -> Result<(), ConfigurationError> {
        if !has_log {
            return Err(ConfigurationError::NoLog);
        }
        if !(MIN_CATCH_UP_KB_S..=MAX_CATCH_UP_KB_S).contains(&self.catch_up_kb_s) {
            return Err(ConfigurationError::CatchUpRate(self.catch_up_kb_s));
        }
        Ok(())
    }
}
