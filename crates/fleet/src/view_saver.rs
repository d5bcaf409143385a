//! The membership's view on its way to the disk.

use std::time::Duration;

use merlinfold_membership::{Membership, SAVE_INTERVAL};
use tokio::task::JoinHandle;
use tokio::time::Instant;
use tracing::warn;

use crate::state_store::StateStore;

/// The view on its way to the disk.
pub(crate) struct ViewSaver {
    keeper: Option<StateStore>,
    starts: u32,
    last: Instant,
    dirty: bool,
    under_way: Option<JoinHandle<()>>, // at most one
}

impl ViewSaver {
    /// Nothing has changed yet.
    pub fn new(keeper: Option<StateStore>, starts: u32) -> Self {
        ViewSaver { keeper, starts, last: Instant::now(), dirty: false, under_way: None }
    }

    /// Whether something has changed since.
    pub fn note(&mut self, changed: bool) {
        self.dirty |= changed;
    }

    /// Begins to save, where something has changed, none is under way and the last is long enough ago.
    pub fn save(&mut self, machine: &Membership) {
        let busy = self.under_way.as_ref().is_some_and(|task| !task.is_finished());
        let Some(keeper) = self
            .keeper
            .clone()
            .filter(|_| self.dirty && !busy && self.last.elapsed() >= Duration::from_nanos(SAVE_INTERVAL))
        else {
            return;
        };
        (self.dirty, self.last) = (false, Instant::now());
        let (starts, addresses) = (self.starts, machine.addresses());
        self.under_way = Some(tokio::spawn(async move {
            if let Err(fault) = keeper.save(starts, addresses).await {
                warn!(%fault, "fleet: the view was not kept; what was kept before still is");
            }
        }));
    }
}
