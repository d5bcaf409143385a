//! Which call is next, how long it may take, and what follows its end. Pure: the one owner of every timer of the list.
//!
//! Each event names the call that it belongs to, so the end of an earlier call never ends the wait for a later one: at
//! every moment either a call is out whose time will run out, or the time of the next one is set.
//!
//! What a silent call misses counts as told 6 s after the silence began, which may be the moment of the call.
//! Everything here is reckoned from the call, so it holds whenever the silence began.

use std::collections::BTreeMap;
use std::time::Duration;

use super::retry::{Elapsed, RetryPolicy};

/// That a watch asks for.
const WATCH_WAIT: Duration = Duration::from_secs(2);
/// Discovery answers a call at the latest after this time, or gives it up.
const SERVICE_TIMEOUT: Duration = Duration::from_secs(3);
/// For the way of an answer that takes all of [`SERVICE_TIMEOUT`]. A call that is given up in that moment has been paid
/// for and has to be paid for again.
const TRANSIT_TIME: Duration = Duration::from_millis(200);
/// For a call that is not one of those after a silence.
const CALL_TIMEOUT: Duration = SERVICE_TIMEOUT.saturating_add(TRANSIT_TIME);
/// For the call after a silence or a slow failure, which leaves time for another.
const RECOVERY_TIMEOUT: Duration = Duration::from_millis(1_500);
/// For which a call that was given up is still listened to: what discovery has written counts as told.
const LATE_ANSWER_WINDOW: Duration = Duration::from_secs(6);
/// Calls that were given up and are listened to at once; beyond that the oldest is closed.
const MAX_TIMED_OUT_CALLS: usize = 4;

/// Tells the calls to one address apart.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallId(pub u64);

/// What to ask for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Query {
    /// The whole list.
    Whole,
    /// What has changed since that version; waits for it so long if nothing has.
    Since(u64, Duration),
}

/// A call to make.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Call {
    /// By which its end is told.
    pub id: CallId,
    /// What it asks for.
    pub query: Query,
    /// The answered call on whose connection it goes out, if that is still open.
    pub continues: Option<CallId>,
}

/// What has to be done now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// Make a call.
    Start(Call),
    /// A call has taken all its time. It is listened to until it is closed.
    TimedOut(CallId, Duration),
    /// Nobody waits for that call any more.
    Close(CallId),
}

/// What a list is beside the one that is held.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListStatus {
    /// The next one.
    Accepted,
    /// Older: the answer to another call has told more meanwhile.
    Stale,
    /// Changes of another counting: they must not be taken for the next ones.
    VersionReset,
}

/// Why a call brought no list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// It was answered with an error, or its connection has ended.
    Failed,
    /// The answer was no list: what it should have told is known only from the whole.
    Unreadable,
}

/// What a call is made for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Purpose {
    /// Nothing has been heard since the last failure, or ever.
    CatchUp,
    /// The call before was answered: the watch goes on, on that call's connection.
    Watch(CallId),
    /// The call before was silent, or took long to fail: what it missed is asked for.
    Recover {
        /// When that call began: the back-off after another silence counts from there.
        since: Elapsed,
    },
}

impl Purpose {
    fn timeout(self) -> Duration {
        match self {
            Purpose::CatchUp | Purpose::Watch(_) => CALL_TIMEOUT,
            Purpose::Recover { .. } => RECOVERY_TIMEOUT,
        }
    }
}

#[derive(Clone, Copy, Debug)]
enum Phase {
    /// The next call is made then.
    Scheduled { at: Elapsed, purpose: Purpose },
    /// A call is out and given up then.
    InFlight { call: CallId, began: Elapsed, until: Elapsed, purpose: Purpose },
}

/// A call that has no end yet.
#[derive(Clone, Copy, Debug)]
struct PendingCall {
    query: Query,
    version: Option<u64>,       // version of the list that was held when it was made
    closed_at: Option<Elapsed>, // once it was given up
}

/// Where the conversation with discovery stands.
#[derive(Debug)]
pub struct PollState {
    version: Option<u64>, // version of the list
    needs_whole: bool,    // an answer could not be read
    retry: RetryPolicy,
    phase: Phase,
    pending: BTreeMap<CallId, PendingCall>,
    closing: Vec<CallId>,
    last_id: CallId,
}

impl PollState {
    /// The conversation of a node that starts now. It may hold a list of this version from before: asking for what has
    /// changed since then begins a watch; asking for the whole list does not, so a whole list and the watch after it
    /// cost the service two calls, and the second may be refused when the first was answered.
    pub fn new(now: Elapsed, mut retry: RetryPolicy, known: Option<u64>) -> Self {
        let at = now + retry.initial_delay();
        PollState {
            version: known,
            needs_whole: false,
            retry,
            phase: Phase::Scheduled { at, purpose: Purpose::CatchUp },
            pending: BTreeMap::new(),
            closing: Vec::new(),
            last_id: CallId::default(),
        }
    }

    /// Goes on at another address, whose versions may be of another counting, at once.
    pub fn change_address(&mut self, now: Elapsed) {
        self.reset(now);
        self.retry.reset();
    }

    /// The version of the list that is held.
    pub fn version(&self) -> Option<u64> {
        self.version
    }

    /// When the next call is made, unless the one that is out is answered before.
    pub fn next_call(&self) -> Elapsed {
        match self.phase {
            Phase::Scheduled { at, .. } => at,
            Phase::InFlight { until, .. } => until,
        }
    }

    /// When there is something to do by itself.
    pub fn next_action(&self) -> Elapsed {
        let closed = self.pending.values().filter_map(|call| call.closed_at);
        closed.fold(self.next_call(), Elapsed::min)
    }

    /// What has to be done now, one thing at a time; none: nothing before [`Course::due`].
    pub fn poll(&mut self, now: Elapsed) -> Option<Action> {
        if let Some(id) = self.closing.pop().or_else(|| self.expired(now)) {
            self.pending.remove(&id);
            return Some(Action::Close(id));
        }
        match self.phase {
            Phase::Scheduled { at, purpose } if at <= now => Some(Action::Start(self.start(now, purpose))),
            Phase::InFlight { call, began, until, purpose } if until <= now => {
                self.time_out(now, call);
                let (at, purpose) = match purpose {
                    // A second one that is silent too is one too many for a service in need.
                    Purpose::Recover { since } => {
                        (self.retry.next_call_after_failure(since, now), Purpose::CatchUp)
                    }
                    Purpose::CatchUp | Purpose::Watch(_) => (now, Purpose::Recover { since: began }),
                };
                self.phase = Phase::Scheduled { at, purpose };
                Some(Action::TimedOut(call, now.saturating_sub(began)))
            }
            _ => None,
        }
    }

    fn start(&mut self, now: Elapsed, purpose: Purpose) -> Call {
        self.last_id.0 += 1;
        let (call, until) = (self.last_id, now + purpose.timeout());
        let (wait, continues) = match purpose {
            Purpose::Watch(call) => (WATCH_WAIT, Some(call)),
            Purpose::CatchUp | Purpose::Recover { .. } => (Duration::ZERO, None),
        };
        let query = match self.version {
            Some(held) if !self.needs_whole => Query::Since(held, wait),
            _ => Query::Whole,
        };
        self.phase = Phase::InFlight { call, began: now, until, purpose };
        self.pending.insert(call, PendingCall { query, version: self.version, closed_at: None });
        Call { id: call, query, continues }
    }

    fn expired(&self, now: Elapsed) -> Option<CallId> {
        let expired = |call: &PendingCall| call.closed_at.is_some_and(|at| at <= now);
        self.pending.iter().find(|(_, call)| expired(call)).map(|(&id, _)| id)
    }

    /// Goes on listening to a call for a while.
    fn time_out(&mut self, now: Elapsed, id: CallId) {
        if let Some(call) = self.pending.get_mut(&id) {
            call.closed_at = Some(now + LATE_ANSWER_WINDOW);
        }
        let given_up = self.pending.iter().filter(|(_, call)| call.closed_at.is_some());
        let given_up: Vec<CallId> = given_up.map(|(&id, _)| id).collect();
        let most = given_up.len().saturating_sub(MAX_TIMED_OUT_CALLS);
        self.closing.extend(&given_up[..most]);
    }

    fn is_awaited(&self, id: CallId) -> bool {
        matches!(self.phase, Phase::InFlight { call, .. } if call == id)
    }

    /// A call was answered with a list of this version.
    pub fn handle_list(&mut self, now: Elapsed, id: CallId, version: u64, whole: bool) -> ListStatus {
        let Some(call) = self.pending.remove(&id) else { return ListStatus::Stale };
        let taken = self.classify(call.version, version, whole);
        let of_another_counting =
            taken != ListStatus::Stale && self.version.is_some_and(|held| version < held);
        if of_another_counting {
            self.reset(now);
        }
        if taken == ListStatus::VersionReset {
            return taken;
        }
        if taken == ListStatus::Accepted {
            self.version = Some(version);
            self.needs_whole = false;
        }
        if self.is_awaited(id) || of_another_counting || self.resumes_watch_sooner(call.query) {
            self.retry.reset();
            if let Phase::InFlight { call, .. } = self.phase {
                if call != id {
                    self.time_out(now, call);
                }
            }
            self.phase = Phase::Scheduled { at: now, purpose: Purpose::Watch(id) };
        }
        taken
    }

    /// `known` was held when the call was made: discovery had come as far by then, unless it counts anew.
    fn classify(&self, known: Option<u64>, version: u64, whole: bool) -> ListStatus {
        let Some(held) = self.version.filter(|&held| version < held) else { return ListStatus::Accepted };
        let overtaken = known.is_none_or(|known| known < held);
        let same_counting = known.is_none_or(|known| version >= known);
        match whole {
            _ if overtaken && same_counting => ListStatus::Stale,
            true => ListStatus::Accepted,
            false => ListStatus::VersionReset,
        }
    }

    /// Whether the answer to a call that was given up begins a watch before the call that is out, or due, would.
    fn resumes_watch_sooner(&self, answered: Query) -> bool {
        match self.phase {
            Phase::Scheduled { purpose, .. } => !matches!(purpose, Purpose::Watch(_)),
            Phase::InFlight { purpose: Purpose::Watch(_), .. } => false,
            Phase::InFlight { .. } => answered != Query::Whole,
        }
    }

    /// A call has brought no list. That of one that was given up changes nothing: another is out, or due.
    pub fn handle_failure(&mut self, now: Elapsed, id: CallId, failure: Failure) {
        self.pending.remove(&id);
        let Phase::InFlight { call, began, .. } = self.phase else { return };
        if call != id {
            return;
        }
        if failure == Failure::Unreadable {
            self.needs_whole = true;
        }
        let at = self.retry.next_call_after_failure(began, now);
        let was_slow = now.saturating_sub(began) >= RECOVERY_TIMEOUT;
        let purpose = if was_slow { Purpose::Recover { since: began } } else { Purpose::CatchUp };
        self.phase = Phase::Scheduled { at, purpose };
    }

    /// Forgets all that was heard, and closes all calls: none of their answers can be compared with what comes.
    fn reset(&mut self, now: Elapsed) {
        self.version = None;
        self.closing = self.pending.keys().copied().collect();
        self.phase = Phase::Scheduled { at: now, purpose: Purpose::CatchUp };
    }
}

#[cfg(test)]
#[path = "../../tests/unit/poll_state.rs"]
mod tests;

#[cfg(test)]
#[path = "../../tests/unit/discovery_fleet.rs"]
mod fleet_tests;
