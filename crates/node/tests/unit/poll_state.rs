//! The list's clock, by search.

use super::*;
use merlinfold_decide::interface::Nanos;
use proptest::prelude::*;

const MARGIN: Duration = Duration::from_millis(2_500);
const BACK_OFF: Duration = Duration::from_millis(1_250); // the longest after one failure, asked every 10 s
const INTERVAL: Nanos = 10_000_000_000;

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// The first whole ms that is not before it.
fn whole_ms(time: Elapsed) -> u64 {
    time.as_nanos().div_ceil(1_000_000) as u64
}

/// By the operators' page: when what a call misses that fell silent `after` its start counts as told.
fn told(query: Query, after: Duration) -> Duration {
    let wait = match query {
        Query::Whole => Duration::ZERO,
        Query::Since(_, wait) => wait,
    };
    let of_wait = if wait.is_zero() { Duration::ZERO } else { wait + Duration::from_secs(2) };
    (after + Duration::from_secs(6)).max(of_wait)
}

/// What happens to a conversation.
#[derive(Clone, Copy, Debug)]
enum Event {
    /// A call that has no end yet is answered: the one that is awaited, or an earlier one.
    Answered {
        earlier: bool,
        version: u64,
        whole: bool,
    },
    Failed {
        earlier: bool,
        failure: Failure,
    },
    /// Nothing, for so long.
    Passes(u64),
    /// Discovery is asked elsewhere.
    Moves,
}

fn events() -> impl Strategy<Value = Vec<Event>> {
    let failure = prop_oneof![Just(Failure::Failed), Just(Failure::Unreadable)];
    let event = prop_oneof![
        4 => (any::<bool>(), 0..50u64, any::<bool>())
            .prop_map(|(earlier, version, whole)| Event::Answered { earlier, version, whole }),
        2 => (any::<bool>(), failure).prop_map(|(earlier, failure)| Event::Failed { earlier, failure }),
        4 => (0..4_000u64).prop_map(Event::Passes),
        1 => Just(Event::Moves),
    ];
    prop::collection::vec(event, 1..60)
}

/// A conversation, and what its owner knows of it.
struct Play {
    course: PollState,
    now: Elapsed,
    out: Vec<Call>, // calls without an end that were not closed
    given_up: Vec<CallId>,
    answered: Option<CallId>,
}

impl Play {
    fn start(seed: u64, known: Option<u64>) -> Self {
        let course = PollState::new(Elapsed::ZERO, RetryPolicy::shared(INTERVAL, seed), known);
        Play { course, now: Elapsed::ZERO, out: Vec::new(), given_up: Vec::new(), answered: None }
    }

    /// The call that is awaited.
    fn awaited(&self) -> Option<Call> {
        self.out.iter().rev().copied().find(|call| self.course.is_awaited(call.id))
    }

    fn take(&mut self, earlier: bool) -> Option<Call> {
        let is_meant = |call: &Call| self.course.is_awaited(call.id) != earlier;
        let position = self.out.iter().position(is_meant)?;
        Some(self.out.remove(position))
    }

    /// Does all that is due now, and holds the law: a call is out whose time will run out, or the next one is due.
    fn settle(&mut self) -> Result<(), TestCaseError> {
        while let Some(action) = self.course.poll(self.now) {
            match action {
                Action::Start(call) => {
                    prop_assert!(call.continues.is_none() || call.continues == self.answered, "{:?}", call);
                    prop_assert!(self.out.iter().all(|other| other.id != call.id));
                    self.out.push(call);
                }
                Action::TimedOut(id, _) => self.given_up.push(id),
                Action::Close(id) => self.out.retain(|call| call.id != id),
            }
        }
        let ahead = self.course.next_call().checked_sub(self.now);
        prop_assert!(
            ahead.is_some_and(|ahead| ahead > Duration::ZERO && ahead <= CALL_TIMEOUT),
            "{ahead:?} ahead"
        );
        prop_assert!(self.course.next_action() <= self.course.next_call());
        prop_assert!(self.out.len() <= MAX_TIMED_OUT_CALLS + 1, "{} calls are out", self.out.len());
        Ok(())
    }

    fn pass(&mut self, time: Duration) -> Result<(), TestCaseError> {
        let end = self.now + time;
        while self.course.next_action() < end {
            self.now = self.course.next_action();
            self.settle()?;
        }
        self.now = end;
        self.settle()
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(2_000))]
    /// Report 3d4b04: whatever ends when, also long after it was given up, a call is out or the time of the next one is
    /// set, and it comes in time. Versions never go back but to those of another counting.
    #[test]
    fn a_call_is_out_or_due_whatever_ends_when(
        seed in any::<u64>(), known in prop::option::of(0..50u64), events in events()
    ) {
        let mut play = Play::start(seed, known);
        play.settle()?;
        for event in events {
            let held = play.course.version();
            match event {
                Event::Answered { earlier, version, whole } => {
                    let Some(call) = play.take(earlier) else { continue };
                    let taken = play.course.handle_list(play.now, call.id, version, whole);
                    play.answered = Some(call.id);
                    let older = held.is_some_and(|held| version < held);
                    match taken {
                        ListStatus::Accepted => {
                            prop_assert_eq!(play.course.version(), Some(version));
                            prop_assert!(!older || whole, "{} after {:?} in part", version, held);
                        }
                        ListStatus::Stale => prop_assert!(older && play.course.version() == held),
                        ListStatus::VersionReset => prop_assert!(older && !whole && play.course.version().is_none()),
                    }
                }
                Event::Failed { earlier, failure } => {
                    let Some(call) = play.take(earlier) else { continue };
                    let next = play.course.next_call();
                    play.course.handle_failure(play.now, call.id, failure);
                    if earlier {
                        prop_assert_eq!(play.course.next_call(), next, "the end of an earlier call changed the next");
                        prop_assert_eq!(play.course.version(), held);
                    }
                }
                Event::Passes(millis) => play.pass(ms(millis))?,
                Event::Moves => {
                    play.course.change_address(play.now);
                    prop_assert_eq!(play.course.version(), None);
                    play.settle()?;
                    prop_assert_eq!(play.out.len(), 1, "calls to the old address are still out");
                }
            }
            play.settle()?;
        }
    }

    /// Guards drains: whenever a call falls silent, what it missed is asked for in time, and once more if that is silent
    /// too.
    #[test]
    fn what_a_silence_hides_is_asked_for_before_it_counts_as_told(
        seed in any::<u64>(), known in prop::option::of(0..50u64), events in events(), after in 0..3_000u64
    ) {
        let mut play = Play::start(seed, known);
        for event in events {
            match event {
                Event::Answered { earlier, version, whole } => {
                    let Some(call) = play.take(earlier) else { continue };
                    play.course.handle_list(play.now, call.id, version, whole);
                    play.answered = Some(call.id);
                }
                Event::Failed { earlier, failure } => {
                    let Some(call) = play.take(earlier) else { continue };
                    play.course.handle_failure(play.now, call.id, failure);
                }
                Event::Passes(millis) => play.pass(ms(millis))?,
                Event::Moves => play.course.change_address(play.now),
            }
            play.settle()?;
        }
        if play.awaited().is_none() {
            play.now = play.course.next_call();
            play.settle()?;
        }
        // From here on all is silent.
        let first = play.awaited().expect("a call is out");
        let Phase::InFlight { began, until, purpose, .. } = play.course.phase else { unreachable!() };
        let left = told(first.query, ms(after).min(until - began)).saturating_sub(until - began);
        prop_assert!(left >= MARGIN, "{:?} leaves {:?}", first, left);
        play.now = until;
        play.settle()?;
        if matches!(purpose, Purpose::Recover { .. }) {
            return Ok(());
        }
        let held = play.course.version();
        let second = play.awaited().expect("it is made at once");
        prop_assert!(second.id != first.id);
        let missed = match held {
            Some(held) if !play.course.needs_whole => Query::Since(held, Duration::ZERO),
            _ => Query::Whole,
        };
        prop_assert_eq!(second.query, missed);
        let within = play.course.next_call() - play.now;
        prop_assert!(within + BACK_OFF < left, "{:?} in {:?}", second, left);
    }
}

/// What becomes of a call that is made before discovery can be reached again.
#[derive(Clone, Copy, Debug)]
enum Fate {
    Answered,
    /// Answered after so many ms, given up by then or not.
    Late(u64),
    /// Failed or refused after so many ms.
    Failed(u64),
    Unreadable,
    Silent,
}

#[derive(Clone, Copy, Debug)]
enum End {
    List(u64),
    Failure(Failure),
    /// The answer to a call that was made once discovery could be reached again.
    Heard,
}

/// Plays the list's clock: until `back` (ms) calls meet what is drawn, from then on each is answered after `slow` ms,
/// but the first `silent` of them. Each step comes late by one of `held_up`. When a call that was begun after `back` has
/// been answered.
fn heard_at(
    seed: u64, back: u64, slow: u64, interval: u64, fates: &[Fate], held_up: &[u64], mut silent: u32,
) -> u64 {
    let (mut fates, mut held_up) = (fates.iter().cycle(), held_up.iter().cycle());
    let mut course = PollState::new(Elapsed::ZERO, RetryPolicy::shared(interval * 1_000_000, seed), Some(1));
    let (mut now, mut version) = (0u64, 1);
    let mut ends: Vec<(u64, CallId, End)> = Vec::new();
    loop {
        while let Some(action) = course.poll(ms(now)) {
            match action {
                Action::Start(_) if now >= back && silent > 0 => silent -= 1,
                Action::Start(Call { id, .. }) if now >= back => ends.push((now + slow, id, End::Heard)),
                Action::Start(Call { id, query, .. }) => {
                    let wait = match query {
                        Query::Since(_, wait) => wait.as_millis() as u64,
                        Query::Whole => 0,
                    };
                    version += 1;
                    match *fates.next().expect("it goes round") {
                        Fate::Answered => ends.push((now + wait + 1, id, End::List(version))),
                        Fate::Late(after) => ends.push((now + after, id, End::List(version))),
                        Fate::Failed(after) => ends.push((now + after, id, End::Failure(Failure::Failed))),
                        Fate::Unreadable => ends.push((now, id, End::Failure(Failure::Unreadable))),
                        Fate::Silent => {}
                    }
                }
                Action::TimedOut(..) => {}
                Action::Close(id) => ends.retain(|&(_, of, _)| of != id),
            }
        }
        let next = ends.iter().map(|&(at, ..)| at).min().unwrap_or(u64::MAX);
        now = next.min(whole_ms(course.next_action())).max(now) + held_up.next().expect("it goes round");
        ends.sort_by_key(|&(at, ..)| at);
        // One end at a time, as its owner takes them.
        if ends.first().is_some_and(|&(at, ..)| at <= now) {
            match ends.remove(0) {
                // A watch that goes on from here and falls silent has 6 s of its own, by the page.
                (_, _, End::List(_)) if now >= back && silent > 0 => return now - back,
                (_, id, End::List(version)) => drop(course.handle_list(ms(now), id, version, false)),
                (_, id, End::Failure(failure)) => course.handle_failure(ms(now), id, failure),
                (_, _, End::Heard) => return now - back,
            }
        }
    }
}

fn fates() -> impl Strategy<Value = Vec<Fate>> {
    let fate = prop_oneof![
        1 => Just(Fate::Answered),
        1 => (0..=9_000u64).prop_map(Fate::Late),
        2 => (0..=3_000u64).prop_map(Fate::Failed),
        1 => Just(Fate::Failed(0)),
        1 => Just(Fate::Unreadable),
        2 => Just(Fate::Silent),
    ];
    prop::collection::vec(fate, 1..24)
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(4_000))]
    /// Guards drains: whatever failed, was refused, came late or was given up before, and however often, what discovery
    /// has is heard within 6 s of its being reached again; no back-off, jitter or call that is still out adds up to more.
    #[test]
    fn what_discovery_has_is_heard_within_6_s_of_its_return(
        seed in any::<u64>(), back in 0..60_000u64, slow in 1..=700u64, interval in 1_000..=60_000u64, fates in fates()
    ) {
        let heard = heard_at(seed, back, slow, interval, &fates, &[0], 0);
        prop_assert!(heard <= 6_000, "after {heard} ms");
    }

    /// The same on a node that is held up for up to 0.15 s at every step.
    #[test]
    fn a_node_that_is_held_up_hears_within_6_s_too(
        seed in any::<u64>(), back in 0..60_000u64, slow in 1..=700u64, interval in 1_000..=60_000u64, fates in fates(),
        held_up in prop::collection::vec(0..=150u64, 1..12)
    ) {
        let heard = heard_at(seed, back, slow, interval, &fates, &held_up, 0);
        prop_assert!(heard <= 6_000, "after {heard} ms");
    }

    /// The same where the first call after the return falls silent too.
    #[test]
    fn a_silent_call_after_the_return_leaves_time_for_another(
        seed in any::<u64>(), back in 0..60_000u64, slow in 1..=700u64, interval in 1_000..=60_000u64, fates in fates()
    ) {
        let heard = heard_at(seed, back, slow, interval, &fates, &[0], 1);
        prop_assert!(heard <= 6_000, "after {heard} ms");
    }
}

/// Guards drains: an answer that was given up and comes after one that could not be read brings no older list back.
#[test]
fn a_late_answer_after_one_that_was_cut_brings_no_older_list_back() {
    let mut play = Play::start(1, None);
    play.pass(ms(1_250)).unwrap();
    let silent = play.awaited().expect("the first call");
    play.pass(CALL_TIMEOUT).unwrap();
    let next = play.awaited().expect("the call after the silence");
    assert_eq!(play.course.handle_list(play.now, next.id, 7, true), ListStatus::Accepted);
    play.answered = Some(next.id);
    play.settle().unwrap();
    let watch = play.awaited().expect("the watch");
    play.course.handle_failure(play.now, watch.id, Failure::Unreadable);
    assert_eq!(play.course.handle_list(play.now, silent.id, 6, true), ListStatus::Stale);
    assert_eq!(play.course.version(), Some(7));
    // Discovery that counts anew meanwhile is heard all the same.
    play.answered = Some(silent.id);
    play.pass(CALL_TIMEOUT).unwrap();
    let whole = play.awaited().expect("the whole list is asked for");
    assert_eq!(whole.query, Query::Whole);
    assert_eq!(play.course.handle_list(play.now, whole.id, 2, true), ListStatus::Accepted);
    assert_eq!(play.course.version(), Some(2));
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(2_000))]
    /// Guards drains: whatever is silent, late, cut or answered in another order, a discovery whose versions only rise
    /// never takes a node back to one that it had left.
    #[test]
    fn versions_that_only_rise_are_never_taken_back(
        seed in any::<u64>(), known in prop::option::of(0..3u64),
        steps in prop::collection::vec((0..3_500u64, 0..4u8, any::<bool>(), any::<bool>()), 1..80)
    ) {
        let mut play = Play::start(seed, known);
        let (mut version, mut newest) = (3, known);
        let mut written: Vec<(CallId, u64, bool)> = Vec::new(); // answers on their way
        for (passes, what, earlier, whole) in steps {
            play.pass(ms(passes))?;
            version += 1;
            let is_out = |id: &CallId| play.out.iter().any(|call| call.id == *id);
            written.retain(|(id, ..)| is_out(id));
            match what {
                0 => {
                    let unwritten = |call: &&Call| !written.iter().any(|(id, ..)| *id == call.id);
                    let calls = play.out.iter().filter(unwritten);
                    let late: Vec<_> = calls.map(|call| (call.id, version, whole || call.query == Query::Whole)).collect();
                    written.extend(late);
                }
                1 if !written.is_empty() => {
                    let (id, version, whole) = written.remove(if earlier { 0 } else { written.len() - 1 });
                    play.out.retain(|call| call.id != id);
                    let taken = play.course.handle_list(play.now, id, version, whole);
                    play.answered = Some(id);
                    let older = newest.is_some_and(|newest| version < newest);
                    prop_assert_eq!(taken, if older { ListStatus::Stale } else { ListStatus::Accepted }, "{} after {:?}", version, newest);
                    newest = newest.max(Some(version));
                }
                2 => {
                    let Some(call) = play.take(earlier) else { continue };
                    play.course.handle_failure(play.now, call.id, Failure::Unreadable);
                }
                _ => {}
            }
            play.settle()?;
        }
    }
}

/// Guards drains: what discovery has is heard within 6 s of its return, also where the two calls after it fall silent.
#[test]
fn two_silent_calls_after_the_return_leave_time_for_another() {
    let heard = |seed| heard_at(seed, 8_000, 1, 10_000, &[Fate::Failed(0)], &[0], 2);
    let latest = (0..200).map(heard).max().expect("there are seeds");
    assert!(latest <= 6_000, "after {latest} ms");
}
