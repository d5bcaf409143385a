//! When servers started, on this node's clock. Discovery tells it as Unix time; this machine's wall clock may have been
//! stepped before the node started, so what cannot be by that clock is bounded by what the node has seen itself.

use merlinfold_decide::interface::Nanos;

const SECOND: i64 = 1_000_000_000;
/// By which two clocks that agree may differ.
const TOLERANCE: i64 = SECOND;
/// By which discovery may tell of a start late.
const MAX_LATENESS: i64 = 60 * SECOND;

#[derive(Clone, Copy, Debug, Default)]
struct Start {
    told: Nanos,
    local: Nanos,
}

/// The starts that were told, by number of the server.
#[derive(Debug, Default)]
pub struct StartTimes {
    starts: Vec<Start>,
    behind: i64, // by which this clock is behind discovery's, ns
}

impl StartTimes {
    /// The start of a server on this node's clock; 0: long ago. `unseen_at` is a time at which discovery answered and
    /// did not tell of this start yet, if there is one. A start that was told before stays what it was.
    pub fn local_start(&mut self, server: usize, told: Nanos, now: Nanos, unseen_at: Option<Nanos>) -> Nanos {
        if server >= self.starts.len() {
            self.starts.resize(server + 1, Start::default());
        }
        if told == 0 {
            self.starts[server] = Start::default();
        } else if self.starts[server].told != told {
            let local = self.place(signed(told), signed(now), unseen_at.map(signed));
            self.starts[server] = Start { told, local };
        }
        self.starts[server].local
    }

    fn place(&mut self, told: i64, now: i64, unseen_at: Option<i64>) -> Nanos {
        if told.saturating_sub(self.behind) > now + TOLERANCE {
            self.behind = told - now;
        }
        let local = told - self.behind;
        // One that is new by hours is a fault of the clock: it began after it was not there yet.
        let local = match unseen_at {
            Some(unseen_at) if local < unseen_at - MAX_LATENESS => unseen_at,
            _ => local,
        };
        local.min(now).max(1) as Nanos
    }
}

fn signed(time: Nanos) -> i64 {
    i64::try_from(time).unwrap_or(i64::MAX / 2)
}

#[cfg(test)]
#[path = "../tests/unit/start_times.rs"]
mod tests;
