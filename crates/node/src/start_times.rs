//! Start times of servers on this node's clock. Discovery announces them as Unix time. This machine's wall clock may
//! have been stepped before the node started, so start times that are impossible by it are bounded by what the node has
//! seen.

use merlinfold_decide::interface::Nanos;

const SECOND: i64 = 1_000_000_000;
/// Largest difference between two clocks that agree.
const CLOCK_TOLERANCE: i64 = SECOND;
/// How late discovery may announce a start.
const MAX_ANNOUNCEMENT_DELAY: i64 = 60 * SECOND;

#[derive(Clone, Copy, Debug, Default)]
struct Start {
    announced: Nanos,
    local: Nanos,
}

/// The announced start times, by server number.
#[derive(Debug, Default)]
pub struct StartTimes {
    starts: Vec<Start>,
    clock_lag: i64, // ns by which this clock is behind discovery's
}

impl StartTimes {
    /// Converts the announced start time of a server to this node's clock. 0 stands for long ago in both.
    ///
    /// `unseen_at` is a time at which an answer of discovery did not contain this start yet, if there is one. A start
    /// time that was announced before keeps its local value.
    pub fn local_start(
        &mut self, server: usize, announced: Nanos, now: Nanos, unseen_at: Option<Nanos>,
    ) -> Nanos {
        if server >= self.starts.len() {
            self.starts.resize(server + 1, Start::default());
        }
        if announced == 0 {
            self.starts[server] = Start::default();
        } else if self.starts[server].announced != announced {
            let local = self.convert_to_local(signed(announced), signed(now), unseen_at.map(signed));
            self.starts[server] = Start { announced, local };
        }
        self.starts[server].local
    }

    fn convert_to_local(&mut self, announced: i64, now: i64, unseen_at: Option<i64>) -> Nanos {
        if announced.saturating_sub(self.clock_lag) > now + CLOCK_TOLERANCE {
            self.clock_lag = announced - now;
        }
        let local = announced - self.clock_lag;
        // A newly announced start that seems to be hours old is an error of the clock: it was after `unseen_at`.
        let local = match unseen_at {
            Some(unseen_at) if local < unseen_at - MAX_ANNOUNCEMENT_DELAY => unseen_at,
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
