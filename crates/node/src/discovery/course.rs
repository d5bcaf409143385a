//! Which call is next, how long it may take, and what follows its end. Pure: the one clock of the list.
//!
//! What a silent call misses counts as told 6 s after the silence began, which may be the moment of the call.
//! Everything here is reckoned from the call, so it holds whenever the silence began.

use std::time::Duration;

/// That a watch asks for.
const WAIT: Duration = Duration::from_secs(2);
/// Discovery answers a call at the latest after this time, or gives it up.
const SERVICE_TIMEOUT: Duration = Duration::from_secs(3);
/// For the way of an answer that takes all of [`SERVICE_TIMEOUT`]. A call that is given up in that moment has been paid
/// for and has to be paid for again.
const TRANSIT: Duration = Duration::from_millis(200);
/// For a call that is not one of those after a silence.
const PATIENCE: Duration = SERVICE_TIMEOUT.saturating_add(TRANSIT);
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
    /// A call was silent: what it missed is asked for.
    Missing,
}

impl Course {
    /// The conversation of a node that holds a list of this version from before its start. Asking for what has changed
    /// since then begins a watch; asking for the whole list does not, so a whole list and the watch after it cost the
    /// service two calls, and the second may be refused when the first was answered.
    pub fn resuming(version: u64) -> Self {
        Course { held: Some(version), ..Course::default() }
    }

    /// What to call for now.
    pub fn next(&mut self) -> Call {
        self.overtaken = false;
        let query = |wait| self.held.map_or(Query::Whole, |held| Query::Since(held, wait));
        match self.state {
            State::Asking => Call { query: query(Duration::ZERO), within: PATIENCE },
            State::Watching => Call { query: query(WAIT), within: PATIENCE },
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

    /// The call has taken all its time. A second one that is silent too is one too many for a service in need.
    pub fn silent(&mut self) -> Then {
        if std::mem::replace(&mut self.state, State::Missing) != State::Missing {
            return Then::AtOnce;
        }
        self.state = State::Asking;
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
#[path = "../../tests/unit/course.rs"]
mod tests;

#[cfg(test)]
#[path = "../../tests/unit/discovery_fleet.rs"]
mod fleet_tests;
