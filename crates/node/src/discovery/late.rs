//! Calls that were given up and may still be answered. What discovery has written counts as told, also on a call for
//! which nobody waits any more, so each is listened to for a while longer.

use std::future::{pending, Future};
use std::time::Duration;

use tokio::task::JoinSet;
use tokio::time::timeout;

use super::connection::{Connection, Fault};
use crate::list::List;

const LISTENED_TO: Duration = Duration::from_secs(3); // beyond its time; discovery itself gives up after 3 s in all
const MOST: usize = 3; // at once: more are never given up in that time

/// Calls whose time is over. Dropped, they are closed.
#[derive(Default)]
pub struct Late(JoinSet<Option<List>>);

impl Late {
    /// Goes on listening to a call that was given up.
    pub fn listen<F>(&mut self, call: F)
    where
        F: Future<Output = Result<(Connection, List), Fault>> + Send + 'static,
    {
        if self.0.len() < MOST {
            self.0.spawn(async { Some(timeout(LISTENED_TO, call).await.ok()?.ok()?.1) });
        }
    }

    /// The next late answer; without any it waits for ever.
    pub async fn next(&mut self) -> List {
        loop {
            match self.0.join_next().await {
                Some(Ok(Some(list))) => return list,
                Some(_) => {}
                None => pending().await,
            }
        }
    }
}
