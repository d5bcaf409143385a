//! Saves the addresses of the membership's view to the disk in the background.

use std::time::Duration;

use merlinfold_membership::{Membership, SAVE_INTERVAL};
use tokio::task::JoinHandle;
use tokio::time::Instant;
use tracing::warn;

use crate::state_store::StateStore;

/// Writes the view to the disk when it has changed.
pub(crate) struct ViewSaver {
    store: Option<StateStore>,
    starts: u32,
    last_save: Instant,
    changed: bool,
    write: Option<JoinHandle<()>>, // at most one write at a time
}

impl ViewSaver {
    /// Creates a saver with no pending change. Without a store nothing is saved.
    pub fn new(store: Option<StateStore>, starts: u32) -> Self {
        ViewSaver { store, starts, last_save: Instant::now(), changed: false, write: None }
    }

    /// Notes whether the view has changed.
    pub fn note_change(&mut self, changed: bool) {
        self.changed |= changed;
    }

    /// Starts a write if the view has changed, no write is in progress and the last one is at least the save interval
    /// ago.
    pub fn save(&mut self, machine: &Membership) {
        let is_writing = self.write.as_ref().is_some_and(|task| !task.is_finished());
        let Some(store) = self.store.clone().filter(|_| {
            self.changed && !is_writing && self.last_save.elapsed() >= Duration::from_nanos(SAVE_INTERVAL)
        }) else {
            return;
        };
        (self.changed, self.last_save) = (false, Instant::now());
        let (starts, addresses) = (self.starts, machine.addresses());
        self.write = Some(tokio::spawn(async move {
            if let Err(error) = store.save(starts, addresses).await {
                warn!(fault = %error, "fleet: saving the view failed; the previous file is unchanged");
            }
        }));
    }
}
