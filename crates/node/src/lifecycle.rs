//! The node's life as a state machine: orders and time go in, a posture comes out that the front follows.

use merlinfold_decide::interface::Nanos;

const ACCEPT_AFTER_STOP: Nanos = 550_000_000; // for what clients still open then
/// For a predecessor to make room: its requests last for less, and the platform waits 6 s for a successor.
const MAKE_ROOM: Nanos = 1_000_000_000;
/// For an agent to push the first list: what it holds counts as told from a process's first moment. One that is down
/// tells nothing, and readiness does not wait for it.
const FIRST_LIST: Nanos = 1_000_000_000;
const OVER_DEADLINE: Nanos = 500_000_000; // after the longest deadline from a stop: all answers are out
/// The longest deadline that the platform waits for before it kills: for what comes after a stop there is no more, and
/// what a kill finds unanswered of that is lost.
const LONGEST_COUNTED: Nanos = 3_000_000_000;
const LAST_WAY: Nanos = 20_000_000; // before the end, for the last answer's way
/// From standby on, until connections without a request are closed: the front has by then sent clients
/// elsewhere, and what is left of the 4 s that a drain may take covers the longest answer.
const IDLE_IN_STANDBY: Nanos = 1_000_000_000;

/// What a node is told by its operators or its platform.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Command {
    /// Drain: take nothing new, and stay.
    Standby,
    /// Back to work.
    Active,
    /// Answer what is held, and end.
    Terminate,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Active,
    Standby { since: Nanos },
    Stopping { since: Nanos },
}

/// What the front does about clients.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServingState {
    /// Readiness is answered with yes.
    pub ready: bool,
    /// Connections stay open after an answer.
    pub keep_alive: bool,
    /// How many times those without a request were to be closed so far.
    pub idle_closes: u64,
    /// Clients may connect at all: there is room for them.
    pub may_listen: bool,
    /// It is known where requests may go, or will not be any sooner: those who connect until then are let wait.
    pub list_settled: bool,
    /// New connections are taken.
    pub accepts_connections: bool,
    /// When the node ends, whatever is left by then.
    pub exit_at: Option<Nanos>,
    /// Until when requests that come from now on have to be answered, if the node is to end.
    pub answer_by: Option<Nanos>,
}

/// One node's life.
#[derive(Debug)]
pub struct Lifecycle {
    state: State,
    retired: u64,
    retire_at: Option<Nanos>,
    open_by: Option<Nanos>, // while the predecessor makes room: when to go on without
    list_by: Option<Nanos>, // while the first list is still to be pushed: when to go on without
    accepts: bool,
    longest: Nanos,
}

impl Lifecycle {
    /// A node that works; `longest` is the longest time that a client waits for an answer.
    pub fn new(longest: Nanos) -> Self {
        Lifecycle {
            state: State::Active,
            retired: 0,
            retire_at: None,
            open_by: None,
            list_by: None,
            accepts: true,
            longest,
        }
    }

    /// Starts beside a predecessor that has yet to make room, for which it has a while.
    pub fn await_predecessor(&mut self, now: Nanos) {
        self.open_by = Some(now + MAKE_ROOM);
    }

    /// Starts by a list of old, where the one that counts is about to be pushed.
    pub fn await_list(&mut self, now: Nanos) {
        self.list_by = Some(now + FIRST_LIST);
    }

    /// It has come.
    pub fn list_received(&mut self) {
        self.list_by = None;
    }

    /// There is room.
    pub fn allow_listening(&mut self) {
        self.open_by = None;
    }

    /// Connections without a request are to be closed, to make room.
    pub fn close_idle_connections(&mut self) {
        self.retired += 1;
    }

    /// Takes an order; false if it cannot be carried out any more.
    pub fn apply(&mut self, now: Nanos, order: Command) -> bool {
        match (self.state, order) {
            (State::Stopping { .. }, Command::Active) => return false,
            (State::Stopping { .. }, _) | (State::Standby { .. }, Command::Standby) => {}
            (_, Command::Terminate) => (self.state, self.retire_at) = (State::Stopping { since: now }, None),
            (_, Command::Standby) => {
                (self.state, self.retire_at) = (State::Standby { since: now }, Some(now + IDLE_IN_STANDBY));
            }
            (_, Command::Active) => (self.state, self.retire_at) = (State::Active, None),
        }
        true
    }

    /// Does what has come due.
    pub fn tick(&mut self, now: Nanos) {
        self.open_by = self.open_by.filter(|&by| now < by);
        self.list_by = self.list_by.filter(|&by| now < by);
        if self.retire_at.is_some_and(|at| at <= now) {
            (self.retire_at, self.retired) = (None, self.retired + 1);
        }
        if let State::Stopping { since } = self.state {
            self.accepts &= now < since + ACCEPT_AFTER_STOP;
        }
    }

    /// When time alone next changes the posture.
    pub fn next_change(&self) -> Option<Nanos> {
        let of_state = match self.state {
            State::Stopping { since } if self.accepts => Some(since + ACCEPT_AFTER_STOP),
            _ => self.retire_at,
        };
        [of_state, self.open_by, self.list_by].into_iter().flatten().min()
    }

    /// As of the last order or tick.
    pub fn serving_state(&self) -> ServingState {
        let stopping = match self.state {
            State::Stopping { since } => Some(since),
            _ => None,
        };
        let ends_at = stopping.map(|since| since + self.longest + OVER_DEADLINE);
        let answers_by =
            stopping.map(|since| since + self.longest.min(LONGEST_COUNTED) + OVER_DEADLINE - LAST_WAY);
        // One that stops still says yes: the platform takes it out itself, and what comes meanwhile is served.
        let ready = !matches!(self.state, State::Standby { .. });
        ServingState {
            ready,
            keep_alive: self.state == State::Active,
            idle_closes: self.retired,
            may_listen: self.open_by.is_none(),
            list_settled: self.list_by.is_none(),
            accepts_connections: self.accepts,
            exit_at: ends_at,
            answer_by: answers_by,
        }
    }

    /// One word for the log.
    pub fn state_name(&self) -> &'static str {
        match self.state {
            State::Active if self.open_by.is_some() || self.list_by.is_some() => "starting",
            State::Active => "active",
            State::Standby { .. } => "standby",
            State::Stopping { .. } => "stopping",
        }
    }
}

#[cfg(test)]
#[path = "../tests/unit/lifecycle.rs"]
mod tests;
