//! The state machine that polls discovery: which call is made next, how long it may take and what follows its end. It
//! does no I/O and owns every timer of the server list.
//!
//! Each event names its call, so the end of an earlier call never ends the wait for a later one. At any time either a
//! call is in flight and has a timeout, or the time of the next call is set.
//!
//! Changes that a silent call misses count as announced 6 s after the silence began, which may be when the call was
//! made. All timeouts are measured from the start of the call, so they hold whenever the silence began.

use std::collections::BTreeMap;
use std::time::Duration;

use super::retry::{Elapsed, RetryPolicy};

/// How long a watch asks discovery to wait for a change.
const WATCH_WAIT: Duration = Duration::from_secs(2);
/// Discovery answers a call within this time or gives it up.
const SERVICE_TIMEOUT: Duration = Duration::from_secs(3);
/// Time for an answer to arrive that discovery sends at the end of [`SERVICE_TIMEOUT`]. A call that times out just
/// before its answer arrives has cost discovery its work and has to be repeated.
const TRANSIT_TIME: Duration = Duration::from_millis(200);
/// Timeout of every call but a [`Purpose::Recover`] one.
const CALL_TIMEOUT: Duration = SERVICE_TIMEOUT.saturating_add(TRANSIT_TIME);
/// Timeout of the call after a silent or slowly failing one. It leaves time for another call before the missed changes
/// count as announced.
const RECOVERY_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Two calls may be silent after discovery was last known not to answer; another call follows within this time.
const THIRD_CALL_WITHIN: Duration = Duration::from_millis(5_550);
/// Least timeout of a [`Purpose::Recover`] call, where another call has to follow soon.
const MIN_RECOVERY_TIMEOUT: Duration = Duration::from_millis(300);
/// How long the answer to a timed-out call is still accepted: what discovery has written counts as announced.
const LATE_ANSWER_WINDOW: Duration = Duration::from_secs(6);
/// Number of timed-out calls that are kept open at once. Beyond it the oldest is closed.
const MAX_TIMED_OUT_CALLS: usize = 4;

/// Identifies a call among those to one address.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallId(pub u64);

/// What a call asks discovery for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Query {
    /// The whole list.
    Whole,
    /// The changes since this version. If there are none, discovery waits for one for the given time.
    Since(u64, Duration),
}

/// A call to make.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Call {
    /// Identifies the call when its end is reported.
    pub id: CallId,
    /// What it asks for.
    pub query: Query,
    /// The answered call whose connection it reuses, if that is still open.
    pub continues: Option<CallId>,
}

/// What the owner of the state machine has to do now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// Make a call.
    Start(Call),
    /// Report that a call has timed out after this time. Its answer is still accepted until [`Action::Close`].
    TimedOut(CallId, Duration),
    /// Close a call whose answer is no longer accepted.
    Close(CallId),
}

/// How a received list relates to the current one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListStatus {
    /// It is applied.
    Accepted,
    /// It is older than the current list: another call was answered with a later one in the meantime.
    Stale,
    /// It has changes whose versions were counted from a new start, so they do not apply to the current list.
    VersionReset,
}

/// Why a call brought no list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// It was answered with an error, or its connection ended.
    Failed,
    /// The answer was not a valid list. Only the whole list shows what it contained.
    Unreadable,
}

/// Why a call is made.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Purpose {
    /// There was no answer since the last failure, or since the start.
    CatchUp {
        /// When that was. Discovery may answer, and what it has counts as announced, from then on.
        unanswered_since: Elapsed,
    },
    /// The call before was answered, and the watch continues on the connection of that call.
    Watch(CallId),
    /// The call before was silent or slow to fail, and this one asks for what it missed.
    Recover {
        /// When that call started. If this call is silent too, the back-off is measured from there.
        since: Elapsed,
        /// When another call has to follow if this one is silent too.
        next_by: Elapsed,
    },
}

impl Purpose {
    /// When a call that starts now times out.
    fn deadline(self, now: Elapsed) -> Elapsed {
        match self {
            Purpose::CatchUp { .. } | Purpose::Watch(_) => now + CALL_TIMEOUT,
            Purpose::Recover { next_by, .. } => {
                next_by.clamp(now + MIN_RECOVERY_TIMEOUT, now + RECOVERY_TIMEOUT)
            }
        }
    }
}

#[derive(Clone, Copy, Debug)]
enum Phase {
    /// The next call is made at this time.
    Scheduled { at: Elapsed, purpose: Purpose },
    /// A call is in flight and times out at the deadline.
    InFlight { call: CallId, started: Elapsed, deadline: Elapsed, purpose: Purpose },
}

/// A call that has not ended yet.
#[derive(Clone, Copy, Debug)]
struct PendingCall {
    query: Query,
    version: Option<u64>,       // version of the current list when the call was made
    closed_at: Option<Elapsed>, // set once the call has timed out
}

/// State of polling discovery at one address.
#[derive(Debug)]
pub struct PollState {
    version: Option<u64>, // version of the current list
    needs_whole: bool,    // an answer could not be read
    retry: RetryPolicy,
    phase: Phase,
    pending: BTreeMap<CallId, PendingCall>,
    closing: Vec<CallId>,
    last_id: CallId,
}

impl PollState {
    /// State of a node that starts now, with the version of a saved list if it has one.
    ///
    /// With a saved list the first call asks for changes, which starts a watch. A call for the whole list does not
    /// start one, so the whole list and the watch after it cost discovery two calls, and the second may be refused
    /// although the first was answered.
    pub fn new(now: Elapsed, mut retry: RetryPolicy, known: Option<u64>) -> Self {
        let at = now + retry.initial_delay();
        PollState {
            version: known,
            needs_whole: false,
            retry,
            phase: Phase::Scheduled { at, purpose: Purpose::CatchUp { unanswered_since: now } },
            pending: BTreeMap::new(),
            closing: Vec::new(),
            last_id: CallId::default(),
        }
    }

    /// Continues at another address, at once. Versions there may be counted from another start.
    pub fn change_address(&mut self, now: Elapsed) {
        self.reset(now);
        self.retry.reset();
    }

    /// The version of the current list.
    pub fn version(&self) -> Option<u64> {
        self.version
    }

    /// When the next call is made, unless the call in flight is answered before.
    pub fn next_call(&self) -> Elapsed {
        match self.phase {
            Phase::Scheduled { at, .. } => at,
            Phase::InFlight { deadline, .. } => deadline,
        }
    }

    /// When [`PollState::poll`] next has an action, unless a call ends before.
    pub fn next_action(&self) -> Elapsed {
        let closed = self.pending.values().filter_map(|call| call.closed_at);
        closed.fold(self.next_call(), Elapsed::min)
    }

    /// The next action that is due now. Without one there is none before [`PollState::next_action`].
    pub fn poll(&mut self, now: Elapsed) -> Option<Action> {
        if let Some(id) = self.closing.pop().or_else(|| self.expired(now)) {
            self.pending.remove(&id);
            return Some(Action::Close(id));
        }
        match self.phase {
            Phase::Scheduled { at, purpose } if at <= now => Some(Action::Start(self.start(now, purpose))),
            Phase::InFlight { call, started, deadline, purpose } if deadline <= now => {
                self.time_out(now, call);
                let (at, purpose) = self.after_silence(now, started, purpose);
                self.phase = Phase::Scheduled { at, purpose };
                Some(Action::TimedOut(call, now.saturating_sub(started)))
            }
            _ => None,
        }
    }

    /// When the call after a silent one is made, and why.
    fn after_silence(&mut self, now: Elapsed, started: Elapsed, purpose: Purpose) -> (Elapsed, Purpose) {
        let unanswered_since = match purpose {
            Purpose::CatchUp { unanswered_since } => unanswered_since,
            Purpose::Watch(_) => started,
            // After two silent calls an immediate third would add load to a service that may be overloaded.
            Purpose::Recover { since, next_by } => {
                let at = self.retry.next_call_after_failure(since, now);
                let purpose = Purpose::CatchUp { unanswered_since: now };
                return (at.min(next_by.max(now)), purpose);
            }
        };
        (now, Purpose::Recover { since: started, next_by: unanswered_since + THIRD_CALL_WITHIN })
    }

    fn start(&mut self, now: Elapsed, purpose: Purpose) -> Call {
        self.last_id.0 += 1;
        let (call, deadline) = (self.last_id, purpose.deadline(now));
        let (wait, continues) = match purpose {
            Purpose::Watch(call) => (WATCH_WAIT, Some(call)),
            Purpose::CatchUp { .. } | Purpose::Recover { .. } => (Duration::ZERO, None),
        };
        let query = match self.version {
            Some(version) if !self.needs_whole => Query::Since(version, wait),
            _ => Query::Whole,
        };
        self.phase = Phase::InFlight { call, started: now, deadline, purpose };
        self.pending.insert(call, PendingCall { query, version: self.version, closed_at: None });
        Call { id: call, query, continues }
    }

    /// A timed-out call whose answer is no longer accepted.
    fn expired(&self, now: Elapsed) -> Option<CallId> {
        let expired = |call: &PendingCall| call.closed_at.is_some_and(|at| at <= now);
        self.pending.iter().find(|(_, call)| expired(call)).map(|(&id, _)| id)
    }

    /// Marks a call as timed out and closes the oldest ones beyond [`MAX_TIMED_OUT_CALLS`].
    fn time_out(&mut self, now: Elapsed, id: CallId) {
        if let Some(call) = self.pending.get_mut(&id) {
            call.closed_at = Some(now + LATE_ANSWER_WINDOW);
        }
        let timed_out = self.pending.iter().filter(|(_, call)| call.closed_at.is_some());
        let timed_out: Vec<CallId> = timed_out.map(|(&id, _)| id).collect();
        let excess = timed_out.len().saturating_sub(MAX_TIMED_OUT_CALLS);
        self.closing.extend(&timed_out[..excess]);
    }

    /// Whether the call is the one in flight, rather than one that has timed out.
    fn is_in_flight(&self, id: CallId) -> bool {
        matches!(self.phase, Phase::InFlight { call, .. } if call == id)
    }

    /// Handles the answer to a call: a list of this version, whole or in changes.
    pub fn handle_list(&mut self, now: Elapsed, id: CallId, version: u64, whole: bool) -> ListStatus {
        let Some(call) = self.pending.remove(&id) else { return ListStatus::Stale };
        let status = self.classify(call.version, version, whole);
        let versions_restarted =
            status != ListStatus::Stale && self.version.is_some_and(|current| version < current);
        if versions_restarted {
            self.reset(now);
        }
        if status == ListStatus::VersionReset {
            return status;
        }
        if status == ListStatus::Accepted {
            self.version = Some(version);
            self.needs_whole = false;
        }
        if self.is_in_flight(id) || versions_restarted || self.resumes_watch_sooner(call.query) {
            self.retry.reset();
            if let Phase::InFlight { call, .. } = self.phase {
                if call != id {
                    self.time_out(now, call);
                }
            }
            self.phase = Phase::Scheduled { at: now, purpose: Purpose::Watch(id) };
        }
        status
    }

    /// Compares a list with the current one. `at_call` is the version that was current when the call was made:
    /// discovery had reached it by then, unless it has restarted its versions.
    fn classify(&self, at_call: Option<u64>, version: u64, whole: bool) -> ListStatus {
        let Some(current) = self.version.filter(|&current| version < current) else {
            return ListStatus::Accepted;
        };
        let overtaken = at_call.is_none_or(|at_call| at_call < current);
        let same_numbering = at_call.is_none_or(|at_call| version >= at_call);
        match whole {
            _ if overtaken && same_numbering => ListStatus::Stale,
            true => ListStatus::Accepted,
            false => ListStatus::VersionReset,
        }
    }

    /// Whether a watch that continues from the answer to a timed-out call starts before the call in flight, or the
    /// scheduled one, would start it.
    fn resumes_watch_sooner(&self, answered: Query) -> bool {
        match self.phase {
            Phase::Scheduled { purpose, .. } => !matches!(purpose, Purpose::Watch(_)),
            Phase::InFlight { purpose: Purpose::Watch(_), .. } => false,
            Phase::InFlight { .. } => answered != Query::Whole,
        }
    }

    /// Handles a call that brought no list. The failure of a timed-out call changes nothing, because another call is in
    /// flight or scheduled.
    pub fn handle_failure(&mut self, now: Elapsed, id: CallId, failure: Failure) {
        self.pending.remove(&id);
        let Phase::InFlight { call, started, .. } = self.phase else { return };
        if call != id {
            return;
        }
        if failure == Failure::Unreadable {
            self.needs_whole = true;
        }
        let at = self.retry.next_call_after_failure(started, now);
        let was_slow = now.saturating_sub(started) >= RECOVERY_TIMEOUT;
        let purpose = match was_slow {
            true => Purpose::Recover { since: started, next_by: now + THIRD_CALL_WITHIN },
            false => Purpose::CatchUp { unanswered_since: now },
        };
        self.phase = Phase::Scheduled { at, purpose };
    }

    /// Forgets the current version and closes all calls, because their answers cannot be compared with later ones.
    fn reset(&mut self, now: Elapsed) {
        self.version = None;
        self.closing = self.pending.keys().copied().collect();
        self.phase = Phase::Scheduled { at: now, purpose: Purpose::CatchUp { unanswered_since: now } };
    }
}

#[cfg(test)]
#[path = "../../tests/unit/poll_state.rs"]
mod tests;

#[cfg(test)]
#[path = "../../tests/unit/discovery_fleet.rs"]
mod fleet_tests;
