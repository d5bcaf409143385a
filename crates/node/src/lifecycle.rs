//! State machine of the node's lifecycle: from commands and time it derives the [`ServingState`] that the front
//! follows.

use merlinfold_decide::interface::Nanos;

use crate::connection_timeouts::MAX_DRAIN_TIME;

/// How long after a stop new connections are accepted, for clients that still open some then.
const ACCEPT_AFTER_STOP: Nanos = 550_000_000;
/// How long a predecessor may take to free capacity. Its requests end within less, and the platform waits 6 s for a
/// successor.
const MAX_PREDECESSOR_WAIT: Nanos = 1_000_000_000;
/// How long to wait for an agent to push the first list. What the agent has counts as announced from the first moment
/// of a process. An agent that is down announces nothing, and readiness does not wait for it.
const MAX_FIRST_LIST_WAIT: Nanos = 1_000_000_000;
/// Time after the longest deadline from a stop by which all answers have begun. A long answer ends later.
const ANSWER_MARGIN: Nanos = 500_000_000;
/// The longest request deadline that the platform waits for before it kills the process. Requests that come after a
/// stop get no longer deadline, because a kill loses those that are unanswered.
const MAX_DEADLINE_AFTER_STOP: Nanos = 3_000_000_000;
/// Time that the last answer needs to reach its client before the process ends.
const LAST_ANSWER_TRANSIT: Nanos = 20_000_000;
/// Time after the longest awaited deadline from a stop before which the platform does not kill the process.
const KILL_MARGIN: Nanos = 700_000_000;
/// How long after the start of standby connections without a request are closed. By then the front has sent clients
/// elsewhere, and the rest of the 4 s that a drain may take covers the longest answer.
const IDLE_CLOSE_DELAY: Nanos = 1_000_000_000;

/// A command of an operator or of the platform.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Command {
    /// Drain: take no new requests, but keep running.
    Standby,
    /// Serve again.
    Active,
    /// Answer the accepted requests, then end.
    Terminate,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Active,
    Standby { since: Nanos },
    Stopping { since: Nanos, ready: bool },
}

/// How the front treats clients.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServingState {
    /// Whether the readiness check succeeds.
    pub ready: bool,
    /// Whether connections stay open after an answer.
    pub keep_alive: bool,
    /// How many times connections without a request were to be closed so far.
    pub idle_closes: u64,
    /// Whether the node may listen for clients, because there is capacity for them.
    pub may_listen: bool,
    /// Whether the server list is known, or is no longer waited for. Until then new connections wait.
    pub list_settled: bool,
    /// Whether new connections are accepted.
    pub accepts_connections: bool,
    /// The time limits of a stop; none while the node is not stopping.
    pub stop: Option<StopLimits>,
}

/// Time limits of a stop. The process ends once its last exchange has ended, which no deadline of a request bounds:
/// each connection has limits of its own, see [`ConnectionTimeouts`](crate::connection_timeouts::ConnectionTimeouts).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StopLimits {
    /// By when requests that have come by then have to be answered.
    answer_by: Nanos,
    /// The same for requests that come later: just before the platform may kill the process.
    last_answer_by: Nanos,
    /// When every accepted request has been answered, refused or at least begun to be answered. Clients that were not
    /// accepted by then are past their deadline.
    pub answers_begun_by: Nanos,
    /// When the process ends in any case: after the limits of all connections.
    pub exit_by: Nanos,
}

impl StopLimits {
    /// When a request has to be answered, whatever its own deadline, if its last byte has come at `since`. `None` after
    /// the process may have been killed already: who is still served then is owed no more than its own deadline.
    pub fn answer_limit(self, since: Nanos) -> Option<Nanos> {
        [self.answer_by, self.last_answer_by].into_iter().find(|&limit| since < limit)
    }
}

/// The lifecycle of one node.
#[derive(Debug)]
pub struct Lifecycle {
    state: State,
    idle_closes: u64,
    next_idle_close: Option<Nanos>,
    listen_by: Option<Nanos>, // set while waiting for the predecessor: when to listen in any case
    list_by: Option<Nanos>,   // set while waiting for the first list: when to serve without it
    accepts_connections: bool,
    longest_deadline: Nanos,
}

impl Lifecycle {
    /// An active node. `longest_deadline` is the longest time that a client waits for an answer.
    pub fn new(longest_deadline: Nanos) -> Self {
        Lifecycle {
            state: State::Active,
            idle_closes: 0,
            next_idle_close: None,
            listen_by: None,
            list_by: None,
            accepts_connections: true,
            longest_deadline,
        }
    }

    /// Waits to listen until a predecessor has freed capacity, for at most [`MAX_PREDECESSOR_WAIT`].
    pub fn await_predecessor(&mut self, now: Nanos) {
        self.listen_by = Some(now + MAX_PREDECESSOR_WAIT);
    }

    /// Waits for an agent to push the first list, for at most [`MAX_FIRST_LIST_WAIT`]. Until then only a saved list is
    /// known.
    pub fn await_list(&mut self, now: Nanos) {
        self.list_by = Some(now + MAX_FIRST_LIST_WAIT);
    }

    /// Notes that the first list has been received.
    pub fn list_received(&mut self) {
        self.list_by = None;
    }

    /// Notes that there is capacity for clients.
    pub fn allow_listening(&mut self) {
        self.listen_by = None;
    }

    /// Has connections without a request closed, to free capacity.
    pub fn close_idle_connections(&mut self) {
        self.idle_closes += 1;
    }

    /// Applies a command. Returns false if that is no longer possible.
    pub fn apply(&mut self, now: Nanos, command: Command) -> bool {
        match (self.state, command) {
            (State::Stopping { .. }, Command::Active) => return false,
            (State::Stopping { .. }, _) | (State::Standby { .. }, Command::Standby) => {}
            (_, Command::Terminate) => {
                // An active node stays ready: the platform removes it by itself and the node serves what comes until
                // then. A drained node has been removed already.
                let ready = self.state == State::Active;
                (self.state, self.next_idle_close) = (State::Stopping { since: now, ready }, None);
            }
            (_, Command::Standby) => {
                self.state = State::Standby { since: now };
                self.next_idle_close = Some(now + IDLE_CLOSE_DELAY);
            }
            (_, Command::Active) => (self.state, self.next_idle_close) = (State::Active, None),
        }
        true
    }

    /// Applies the changes that are due.
    pub fn tick(&mut self, now: Nanos) {
        self.listen_by = self.listen_by.filter(|&by| now < by);
        self.list_by = self.list_by.filter(|&by| now < by);
        if self.next_idle_close.is_some_and(|at| at <= now) {
            (self.next_idle_close, self.idle_closes) = (None, self.idle_closes + 1);
        }
        if let State::Stopping { since, .. } = self.state {
            self.accepts_connections &= now < since + ACCEPT_AFTER_STOP;
        }
    }

    /// When [`Lifecycle::tick`] next changes the serving state.
    pub fn next_change(&self) -> Option<Nanos> {
        let of_state = match self.state {
            State::Stopping { since, .. } if self.accepts_connections => Some(since + ACCEPT_AFTER_STOP),
            _ => self.next_idle_close,
        };
        [of_state, self.listen_by, self.list_by].into_iter().flatten().min()
    }

    /// The serving state as of the last command or tick.
    pub fn serving_state(&self) -> ServingState {
        let (ready, stop) = match self.state {
            State::Active => (true, None),
            State::Standby { .. } => (false, None),
            State::Stopping { since, ready } => (ready, Some(self.stop_limits(since))),
        };
        ServingState {
            ready,
            keep_alive: self.state == State::Active,
            idle_closes: self.idle_closes,
            may_listen: self.listen_by.is_none(),
            list_settled: self.list_by.is_none(),
            accepts_connections: self.accepts_connections,
            stop,
        }
    }

    fn stop_limits(&self, since: Nanos) -> StopLimits {
        let awaited_deadline = self.longest_deadline.min(MAX_DEADLINE_AFTER_STOP);
        let answers_begun_by = since + self.longest_deadline + ANSWER_MARGIN;
        StopLimits {
            answer_by: since + awaited_deadline + ANSWER_MARGIN - LAST_ANSWER_TRANSIT,
            last_answer_by: since + awaited_deadline + KILL_MARGIN - LAST_ANSWER_TRANSIT,
            answers_begun_by,
            exit_by: answers_begun_by + MAX_DRAIN_TIME,
        }
    }

    /// The name of the state for the log and for operators.
    pub fn state_name(&self) -> &'static str {
        match self.state {
            State::Active if self.listen_by.is_some() || self.list_by.is_some() => "starting",
            State::Active => "active",
            State::Standby { .. } => "standby",
            State::Stopping { .. } => "stopping",
        }
    }
}

#[cfg(test)]
#[path = "../tests/unit/lifecycle.rs"]
mod tests;
