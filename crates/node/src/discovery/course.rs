//! Which call is next, how long it may take, and what follows its end. Pure: the one clock of the list.
//!
//! What a silent call misses counts as told 6 s after the silence began, which may be the moment of the call.
//! Everything here is reckoned from the call, so it holds whenever the silence began.

use std::time::Duration;

/// That a watch asks for.
const WAIT: Duration = Duration::from_secs(2);
/// For a watch, beyond its wait: it is answered when that ends.
const OVER_WAIT: Duration = Duration::from_secs(1);
/// For a call that does not wait: discovery itself gives up what it has not come to after 3 s.
const PATIENCE: Duration = Duration::from_secs(3);
/// For the call after a silence, which leaves time for another.
const AFTER_SILENCE: Duration = Duration::from_millis(1_500);

/// What to ask for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Query {
    /// The whole list.
    Whole,
    /// What has changed since that version; waits for it so long if nothing has.
    Since(u64, Duration),
}

/// One call and all the time that it has, from connecting to its last byte.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Call {
    pub query: Query,
    pub within: Duration,
}

/// What follows a call that has failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Then {
    /// The next call, without delay.
    AtOnce,
    /// Nothing until it is time to try again: the service may be short of capacity.
    Later,
}

/// Where the conversation with discovery at one address stands.
#[derive(Debug, Default)]
pub struct Course {
    held: Option<u64>, // version of the list
    state: State,
    overtaken: bool, // a late answer has brought more while the call that is out was made
}

/// What a list is beside the one that is held.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Taken {
    /// The next one.
    News,
    /// Older: a late answer has told more meanwhile.
    Old,
    /// Of another counting: it must not be taken for the next one.
    Anew,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum State {
    /// Nothing has been heard since the last failure, or ever.
    #[default]
    Asking,
    /// The last call was answered: a watch holds.
    Watching,
    /// A watch was silent: what it missed is asked for.
    Missing,
}

impl Course {
    /// What to call for now.
    pub fn next(&mut self) -> Call {
        self.overtaken = false;
        let query = |wait| self.held.map_or(Query::Whole, |held| Query::Since(held, wait));
        match self.state {
            State::Asking => Call { query: query(Duration::ZERO), within: PATIENCE },
            State::Watching => Call { query: query(WAIT), within: WAIT + OVER_WAIT },
            State::Missing => Call { query: query(Duration::ZERO), within: AFTER_SILENCE },
        }
    }

    /// A list of this version came.
    pub fn answered(&mut self, version: u64, whole: bool) -> Taken {
        let older = self.held.is_some_and(|held| version < held);
        if older && self.overtaken {
            self.state = State::Watching;
            return Taken::Old;
        }
        if older && !whole {
            *self = Course::default();
            return Taken::Anew;
        }
        (self.held, self.state) = (Some(version), State::Watching);
        Taken::News
    }

    /// The answer to a call that was given up; whether it is newer than what is held.
    pub fn late(&mut self, version: u64) -> bool {
        let news = self.held.is_none_or(|held| version > held);
        if news {
            (self.held, self.overtaken) = (Some(version), true);
        }
        news
    }

    /// The call has taken all its time.
    pub fn silent(&mut self) -> Then {
        let watched = std::mem::replace(&mut self.state, State::Asking) == State::Watching;
        if watched {
            self.state = State::Missing;
            return Then::AtOnce;
        }
        Then::Later
    }

    /// The call was answered with an error, or its connection has ended.
    pub fn failed(&mut self) -> Then {
        self.state = State::Asking;
        Then::Later
    }

    /// The answer was no list: what it should have told is known only from the whole.
    pub fn unreadable(&mut self) -> Then {
        *self = Course::default();
        Then::Later
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    const MARGIN: Duration = Duration::from_millis(2_500);
    const BACK_OFF: Duration = Duration::from_millis(1_250); // the module's longest after one failure, asked every 10 s

    /// By the operators' page: when what a call misses that fell silent `after` its start counts as told.
    fn told(call: Call, after: Duration) -> Duration {
        let wait = match call.query {
            Query::Whole => Duration::ZERO,
            Query::Since(_, wait) => wait,
        };
        let of_wait = if wait.is_zero() { Duration::ZERO } else { wait + Duration::from_secs(2) };
        (after + Duration::from_secs(6)).max(of_wait)
    }

    #[derive(Clone, Copy, Debug)]
    enum End {
        Answer(u64, bool),
        Late(u64),
        Failure,
        Unreadable,
        Silence(Duration),
    }

    fn ends() -> impl Strategy<Value = Vec<End>> {
        let end = prop_oneof![
            4 => (0..50u64, any::<bool>()).prop_map(|(version, whole)| End::Answer(version, whole)),
            1 => (0..50u64).prop_map(End::Late),
            1 => Just(End::Failure),
            1 => Just(End::Unreadable),
            2 => (0..3_000u64).prop_map(|ms| End::Silence(Duration::from_millis(ms))),
        ];
        prop::collection::vec(end, 1..40)
    }

    proptest! {
        /// Guards drains: whenever a call falls silent, what it missed is asked for in time, and once more if
        /// that is silent too; versions that go back are never taken for news.
        #[test]
        fn what_a_silence_hides_is_asked_for_before_it_counts_as_told(ends in ends()) {
            let (mut course, mut held) = (Course::default(), None::<u64>);
            let mut overtaken = false;
            for end in ends {
                let call = if overtaken { Call { query: Query::Whole, within: PATIENCE } } else { course.next() };
                prop_assert!(call.within > Duration::ZERO && call.within <= Duration::from_secs(60));
                match (call.query, held) {
                    _ if overtaken => {} // the call that is out was made before
                    (Query::Whole, None) => {}
                    (Query::Since(version, _), Some(held)) => prop_assert_eq!(version, held),
                    other => prop_assert!(false, "asked {:?}", other),
                }
                match end {
                    End::Answer(version, whole) => {
                        let older = held.is_some_and(|held| version < held);
                        let taken = course.answered(version, whole);
                        prop_assert_eq!(taken == Taken::Old, older && overtaken);
                        prop_assert_eq!(taken == Taken::Anew, older && !overtaken && !whole);
                        held = match taken {
                            Taken::News => Some(version),
                            Taken::Old => held,
                            Taken::Anew => None,
                        };
                    }
                    End::Late(version) => {
                        let taken = course.late(version);
                        prop_assert_eq!(taken, held.is_none_or(|held| version > held));
                        held = if taken { Some(version) } else { held };
                        overtaken |= taken;
                        continue; // the call is still out
                    }
                    End::Failure => prop_assert_eq!(course.failed(), Then::Later),
                    End::Unreadable => {
                        prop_assert_eq!(course.unreadable(), Then::Later);
                        held = None;
                    }
                    End::Silence(_) if overtaken => drop(course.silent()),
                    End::Silence(after) => {
                        let left = told(call, after.min(call.within)).saturating_sub(call.within);
                        prop_assert!(left >= MARGIN, "{:?} leaves {:?}", call, left);
                        let watched = matches!(call.query, Query::Since(_, wait) if !wait.is_zero());
                        let then = course.silent();
                        prop_assert_eq!(then, if watched { Then::AtOnce } else { Then::Later });
                        if watched {
                            let second = course.next();
                            prop_assert_eq!(second.query, Query::Since(held.unwrap_or(0), Duration::ZERO));
                            prop_assert!(second.within + BACK_OFF < left, "{:?} in {:?}", second, left);
                        }
                    }
                }
                overtaken = false;
            }
        }
    }
}
