//! A whole fleet before one discovery that answers calls in turn and refuses those it could not answer in time.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};

use super::*;
use proptest::prelude::*;

type Millis = u64;

const MILLISECOND: u64 = 1_000_000; // in the back-off's unit
const SERVICE_TIMEOUT_MS: Millis = 3_000;
const WATCH_GAP: Millis = 200; // a watch goes on if the next call comes within this time of the answer
const ROUND_TRIP: Millis = 2;

/// The service: each call that begins something costs it the same time; a watch that goes on costs nothing.
struct Service {
    per_call: Millis,
    busy_until: Millis,
    changes: Vec<Millis>,
    paid: usize,
    refused: usize,
}

/// What a call comes to, and when.
#[derive(Clone, Copy, Debug)]
enum Answer {
    List { version: u64, whole: bool },
    Refused,
}

impl Service {
    fn new(per_call: Millis, changes: Vec<Millis>) -> Self {
        Service { per_call, busy_until: 0, changes, paid: 0, refused: 0 }
    }

    fn version(&self, at: Millis) -> u64 {
        self.changes.iter().filter(|&&change| change <= at).count() as u64
    }

    /// When a watch that waits from `from` to `until` is answered: at the next change, or when its wait ends.
    fn watch(&self, held: u64, from: Millis, until: Millis) -> Millis {
        if self.version(from) > held {
            return from;
        }
        let news = self.changes.iter().copied().find(|&change| change > from);
        news.unwrap_or(Millis::MAX).min(until.max(from))
    }

    fn call(&mut self, now: Millis, query: Query, goes_on: bool) -> (Millis, Answer) {
        let wait = match query {
            Query::Since(_, wait) => wait.as_millis() as Millis,
            Query::Whole => 0,
        };
        let served = if goes_on { now } else { self.busy_until.max(now) + self.per_call };
        if served - now > SERVICE_TIMEOUT_MS {
            self.refused += 1;
            return (now + ROUND_TRIP, Answer::Refused);
        }
        if !goes_on {
            self.paid += 1;
            self.busy_until = served;
        }
        let at = match query {
            Query::Whole => served,
            Query::Since(held, _) => self.watch(held, served, now + wait),
        };
        let list = Answer::List { version: self.version(at), whole: query == Query::Whole };
        (at + ROUND_TRIP, list)
    }
}

/// A node's conversation, and what it heard.
struct Node {
    course: PollState,
    watched: Option<(CallId, Millis)>, // its watch was answered last on this call, and when
    heard: Vec<Millis>,                // when it first held each version
    wakes_at: Millis,                  // the last of its own times that is in the queue
}

impl Node {
    fn new(seed: u64, known: Option<u64>, start: Millis) -> Self {
        let retry = RetryPolicy::shared(10_000 * MILLISECOND, seed);
        Node {
            course: PollState::new(time(start), retry, known),
            watched: None,
            heard: Vec::new(),
            wakes_at: 0,
        }
    }

    fn hears(&mut self, now: Millis, version: u64) {
        while self.heard.len() as u64 <= version {
            self.heard.push(now);
        }
    }
}

fn time(at: Millis) -> Elapsed {
    Duration::from_millis(at)
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Step {
    /// A node's own time has come.
    Due,
    /// The answer to a call is there.
    End(CallId),
}

struct Fleet {
    nodes: Vec<Node>,
    service: Service,
    due: BinaryHeap<Reverse<(Millis, usize, Step)>>,
    answers: HashMap<(usize, CallId), Answer>, // to come; not those of calls that were closed
    silent_at: Millis,                         // the watches that are open then are never answered
}

impl Fleet {
    fn start(count: usize, service: Service, seed: u64, known: Option<u64>) -> Self {
        let nodes = (0..count).map(|number| Node::new(seed ^ number as u64, known, 1)).collect();
        let due = (0..count).map(|number| Reverse((1, number, Step::Due))).collect();
        Fleet { nodes, service, due, answers: HashMap::new(), silent_at: Millis::MAX }
    }

    fn call(&mut self, now: Millis, number: usize, call: Call) {
        let watched = self.nodes[number].watched.take();
        let goes_on = watched.is_some_and(|(id, at)| call.continues == Some(id) && now <= at + WATCH_GAP);
        let (at, answer) = self.service.call(now, call.query, goes_on);
        if now > self.silent_at || at <= self.silent_at {
            self.answers.insert((number, call.id), answer);
            self.due.push(Reverse((at, number, Step::End(call.id))));
        }
    }

    fn act(&mut self, now: Millis, number: usize) {
        while let Some(action) = self.nodes[number].course.poll(time(now)) {
            match action {
                Action::Start(call) => self.call(now, number, call),
                Action::TimedOut(..) => {}
                Action::Close(id) => drop(self.answers.remove(&(number, id))),
            }
        }
        let next =
            self.nodes[number].course.next_action().as_nanos().div_ceil(u128::from(MILLISECOND)) as Millis;
        if std::mem::replace(&mut self.nodes[number].wakes_at, next) != next {
            self.due.push(Reverse((next, number, Step::Due)));
        }
    }

    fn end(&mut self, now: Millis, number: usize, id: CallId) {
        let node = &mut self.nodes[number];
        match self.answers.remove(&(number, id)) {
            Some(Answer::List { version, whole }) => {
                if !whole {
                    node.watched = Some((id, now));
                }
                node.course.handle_list(time(now), id, version, whole);
                node.hears(now, version);
            }
            Some(Answer::Refused) => node.course.handle_failure(time(now), id, Failure::Failed),
            None => {}
        }
    }

    fn run(&mut self, until: Millis) {
        while let Some(&Reverse((now, number, step))) = self.due.peek() {
            if now > until {
                return;
            }
            self.due.pop();
            if let Step::End(id) = step {
                self.end(now, number, id);
            }
            self.act(now, number);
        }
    }

    /// When the last node first held this version.
    fn heard_by_all(&self, version: usize) -> Option<Millis> {
        let at = |node: &Node| node.heard.get(version).copied();
        self.nodes.iter().map(at).collect::<Option<Vec<_>>>()?.into_iter().max()
    }
}

const BACK_OFF: Millis = 2_050; // the longest, and what it takes to act on it
const FIRST_ASK: Millis = 1_300; // the latest at which a node that has started asks

/// Nodes, and the time of a call at a service that has room for a fifth of the nodes or more.
fn fleets() -> impl Strategy<Value = (usize, Millis)> {
    (2..=60usize).prop_flat_map(|count| {
        let least_room = count.div_ceil(5) as Millis;
        (Just(count), (least_room..=2 * count as Millis).prop_map(|room| SERVICE_TIMEOUT_MS / room))
    })
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(400))]
    /// Guards drains: when a whole fleet asks at once, each node is answered for one call, and the last as soon as the
    /// service can have answered that many: no call is paid for twice, and the service is never idle for long while
    /// nodes wait.
    #[test]
    fn a_fleet_that_starts_at_once_costs_one_call_a_node(
        (count, per_call) in fleets(), seed in any::<u64>()
    ) {
        let mut fleet = Fleet::start(count, Service::new(per_call, vec![]), seed, Some(0));
        fleet.run(60_000);
        prop_assert_eq!(fleet.service.paid, count);
        // A place that is free again is asked for at the latest when one of those that were refused tries again.
        let room = SERVICE_TIMEOUT_MS / per_call;
        let idle = BACK_OFF * count as Millis / room.min(count as Millis);
        let latest = FIRST_ASK + count as Millis * per_call + idle;
        let heard = fleet.heard_by_all(0);
        prop_assert!(heard.is_some_and(|at| at <= latest), "{heard:?} of {latest}, {count} of {per_call} ms");
    }

    /// Guards drains: a change counts as told 6 s after the silence of a watch began. Where the service can answer the
    /// whole fleet in 3.6 s every node has heard by then, although all watches fall silent in one moment; where it
    /// cannot, no call is paid for much more often than once a node.
    #[test]
    fn a_fleet_whose_watches_fall_silent_hears_what_they_missed(
        (count, per_call) in fleets(), seed in any::<u64>(), silent in 60_000..65_000u64
    ) {
        let mut fleet = Fleet::start(count, Service::new(per_call, vec![silent + 1]), seed, Some(0));
        fleet.silent_at = silent;
        fleet.run(120_000);
        let heard = fleet.heard_by_all(1).map(|at| at - silent);
        let latest = if count as Millis * per_call <= 3_600 { 6_000 } else { 60_000 };
        prop_assert!(heard.is_some_and(|after| after <= latest), "{heard:?} ms, {count} of {per_call} ms");
        let again = fleet.service.paid - count;
        prop_assert!(again >= count && again <= count + count.div_ceil(2), "{again} calls of {count} nodes");
    }

    /// Guards drains: once all have been answered, each change is heard by every node when it is there, and nothing is
    /// paid for any more.
    #[test]
    fn a_fleet_that_watches_hears_each_change_and_pays_no_more(
        (count, per_call) in fleets(), seed in any::<u64>(),
        changes in prop::collection::vec(60_000..120_000u64, 1..10)
    ) {
        let mut changes = changes;
        changes.sort_unstable();
        let mut fleet = Fleet::start(count, Service::new(per_call, changes.clone()), seed, Some(0));
        fleet.run(130_000);
        prop_assert_eq!(fleet.service.paid, count);
        for (version, change) in changes.into_iter().enumerate() {
            let heard = fleet.heard_by_all(version + 1);
            prop_assert!(heard.is_some_and(|at| at <= change + WATCH_GAP), "{change} heard at {heard:?}");
        }
    }
}

/// How long the last of a fleet waits for its first answer, with and without a list from before the start:
/// `cargo test -p merlinfold-node --lib -- --ignored --nocapture first_answers`.
#[test]
#[ignore = "prints figures"]
fn first_answers() {
    const SEEDS: u64 = 100;
    for (count, per_call) in [(5, 600), (20, 300), (32, 223), (32, 300), (60, 100), (60, 250)] {
        for known in [None, Some(0)] {
            let mut last = Vec::new();
            let (mut paid, mut refused) = (0, 0);
            for seed in 0..SEEDS {
                let mut fleet = Fleet::start(count, Service::new(per_call, vec![]), seed << 10, known);
                fleet.run(60_000);
                last.push(fleet.heard_by_all(0).expect("all are answered within a minute"));
                paid += fleet.service.paid as u64;
                refused += fleet.service.refused as u64;
            }
            last.sort_unstable();
            let (median, most) = (last[last.len() / 2], last[last.len() - 1]);
            let (paid, refused) = (paid / SEEDS, refused / SEEDS);
            println!("{count} nodes, {per_call} ms a call, known {known:?}: {median} ms, most {most}; {paid} paid, {refused} refused");
        }
    }
}
