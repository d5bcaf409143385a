//! Simulation of a whole fleet that polls one discovery, which answers calls in turn and refuses those that it could
//! not answer in time.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};

use super::*;
use proptest::prelude::*;

type Millis = u64;

const MILLISECOND: u64 = 1_000_000; // ns, the unit of the back-off
const SERVICE_TIMEOUT_MS: Millis = 3_000;
const MAX_WATCH_GAP: Millis = 200; // a watch continues if the next call follows the answer within this time
const ROUND_TRIP: Millis = 2;

/// Discovery. Each call costs it the same time, except for one that continues a watch, which costs nothing.
struct Service {
    per_call: Millis,
    busy_until: Millis,
    changes: Vec<Millis>,
    charged: usize, // calls that cost time
    refused: usize,
}

/// The answer to a call.
#[derive(Clone, Copy, Debug)]
enum Answer {
    List { version: u64, whole: bool },
    Refused,
}

impl Service {
    fn new(per_call: Millis, changes: Vec<Millis>) -> Self {
        Service { per_call, busy_until: 0, changes, charged: 0, refused: 0 }
    }

    fn version(&self, at: Millis) -> u64 {
        self.changes.iter().filter(|&&change| change <= at).count() as u64
    }

    /// When a watch for changes since `known` that waits from `from` to `until` is answered: at the next change, or
    /// when its wait ends.
    fn watch(&self, known: u64, from: Millis, until: Millis) -> Millis {
        if self.version(from) > known {
            return from;
        }
        let next_change = self.changes.iter().copied().find(|&change| change > from);
        next_change.unwrap_or(Millis::MAX).min(until.max(from))
    }

    /// Answers a call: the time at which the answer arrives, and the answer.
    fn call(&mut self, now: Millis, query: Query, continues_watch: bool) -> (Millis, Answer) {
        let wait = match query {
            Query::Since(_, wait) => wait.as_millis() as Millis,
            Query::Whole => 0,
        };
        let served = if continues_watch { now } else { self.busy_until.max(now) + self.per_call };
        if served - now > SERVICE_TIMEOUT_MS {
            self.refused += 1;
            return (now + ROUND_TRIP, Answer::Refused);
        }
        if !continues_watch {
            self.charged += 1;
            self.busy_until = served;
        }
        let at = match query {
            Query::Whole => served,
            Query::Since(known, _) => self.watch(known, served, now + wait),
        };
        let list = Answer::List { version: self.version(at), whole: query == Query::Whole };
        (at + ROUND_TRIP, list)
    }
}

/// A node that polls discovery, with the versions that it received.
struct Node {
    poll_state: PollState,
    last_watch: Option<(CallId, Millis)>, // the call that answered its watch last, and when
    received_at: Vec<Millis>,             // when it first had each version
    wakes_at: Millis,                     // its latest timer in the queue
}

impl Node {
    fn new(seed: u64, known: Option<u64>, start: Millis) -> Self {
        let retry = RetryPolicy::shared(10_000 * MILLISECOND, seed);
        Node {
            poll_state: PollState::new(time(start), retry, known),
            last_watch: None,
            received_at: Vec::new(),
            wakes_at: 0,
        }
    }

    fn receive(&mut self, now: Millis, version: u64) {
        while self.received_at.len() as u64 <= version {
            self.received_at.push(now);
        }
    }
}

fn time(at: Millis) -> Elapsed {
    Duration::from_millis(at)
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    /// A timer of the node expires.
    Timer,
    /// The answer to a call arrives.
    Answer(CallId),
}

struct Fleet {
    nodes: Vec<Node>,
    service: Service,
    queue: BinaryHeap<Reverse<(Millis, usize, Event)>>,
    answers: HashMap<(usize, CallId), Answer>, // answers to calls that are pending
    silent_at: Millis,                         // watches that are open at this time are never answered
}

impl Fleet {
    fn start(count: usize, service: Service, seed: u64, known: Option<u64>) -> Self {
        let nodes = (0..count).map(|number| Node::new(seed ^ number as u64, known, 1)).collect();
        let queue = (0..count).map(|number| Reverse((1, number, Event::Timer))).collect();
        Fleet { nodes, service, queue, answers: HashMap::new(), silent_at: Millis::MAX }
    }

    fn call(&mut self, now: Millis, number: usize, call: Call) {
        let last_watch = self.nodes[number].last_watch.take();
        let continues_watch =
            last_watch.is_some_and(|(id, at)| call.continues == Some(id) && now <= at + MAX_WATCH_GAP);
        let (at, answer) = self.service.call(now, call.query, continues_watch);
        if now > self.silent_at || at <= self.silent_at {
            self.answers.insert((number, call.id), answer);
            self.queue.push(Reverse((at, number, Event::Answer(call.id))));
        }
    }

    /// Carries out the actions of a node that are due, and sets its next timer.
    fn act(&mut self, now: Millis, number: usize) {
        while let Some(action) = self.nodes[number].poll_state.poll(time(now)) {
            match action {
                Action::Start(call) => self.call(now, number, call),
                Action::TimedOut(..) => {}
                Action::Close(id) => drop(self.answers.remove(&(number, id))),
            }
        }
        let next = self.nodes[number].poll_state.next_action().as_nanos().div_ceil(u128::from(MILLISECOND))
            as Millis;
        if std::mem::replace(&mut self.nodes[number].wakes_at, next) != next {
            self.queue.push(Reverse((next, number, Event::Timer)));
        }
    }

    fn handle_answer(&mut self, now: Millis, number: usize, id: CallId) {
        let node = &mut self.nodes[number];
        match self.answers.remove(&(number, id)) {
            Some(Answer::List { version, whole }) => {
                if !whole {
                    node.last_watch = Some((id, now));
                }
                node.poll_state.handle_list(time(now), id, version, whole);
                node.receive(now, version);
            }
            Some(Answer::Refused) => node.poll_state.handle_failure(time(now), id, Failure::Failed),
            None => {}
        }
    }

    fn run(&mut self, until: Millis) {
        while let Some(&Reverse((now, number, event))) = self.queue.peek() {
            if now > until {
                return;
            }
            self.queue.pop();
            if let Event::Answer(id) = event {
                self.handle_answer(now, number, id);
            }
            self.act(now, number);
        }
    }

    /// When the last node first had this version, if all have had it.
    fn received_by_all(&self, version: usize) -> Option<Millis> {
        let at = |node: &Node| node.received_at.get(version).copied();
        self.nodes.iter().map(at).collect::<Option<Vec<_>>>()?.into_iter().max()
    }
}

const MAX_BACKOFF: Millis = 2_050; // with the time it takes to make the call after it
const MAX_FIRST_CALL: Millis = 1_300; // latest time of a node's first call after its start

/// The number of nodes, and the time per call at a service that can answer at least a fifth of the nodes before calls
/// time out.
fn fleets() -> impl Strategy<Value = (usize, Millis)> {
    (2..=60usize).prop_flat_map(|count| {
        let min_capacity = count.div_ceil(5) as Millis;
        (Just(count), (min_capacity..=2 * count as Millis).prop_map(|capacity| SERVICE_TIMEOUT_MS / capacity))
    })
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(400))]
    /// Guards against late lists after a start of the whole fleet. Each node is answered by its first served call, so
    /// discovery never does the same work twice, and the last node as soon as discovery can have answered all: it is
    /// never idle for long while nodes wait.
    #[test]
    fn a_fleet_that_starts_at_once_costs_one_call_per_node(
        (count, per_call) in fleets(), seed in any::<u64>()
    ) {
        let mut fleet = Fleet::start(count, Service::new(per_call, vec![]), seed, Some(0));
        fleet.run(60_000);
        prop_assert_eq!(fleet.service.charged, count);
        // Capacity that becomes free stays idle at most until a refused node retries.
        let capacity = SERVICE_TIMEOUT_MS / per_call;
        let idle = MAX_BACKOFF * count as Millis / capacity.min(count as Millis);
        let latest = MAX_FIRST_CALL + count as Millis * per_call + idle;
        let received = fleet.received_by_all(0);
        prop_assert!(received.is_some_and(|at| at <= latest), "{received:?} of {latest}, {count} of {per_call} ms");
    }

    /// Guards against requests to a server whose drain counts as announced, which it does 6 s after the silence of a
    /// watch began. All watches fall silent at once. Where discovery can answer the whole fleet in 3.6 s, every node
    /// has the change within the 6 s; where it cannot, it does little more work than one call per node.
    #[test]
    fn a_fleet_whose_watches_all_fall_silent_receives_the_missed_change(
        (count, per_call) in fleets(), seed in any::<u64>(), silent in 60_000..65_000u64
    ) {
        let mut fleet = Fleet::start(count, Service::new(per_call, vec![silent + 1]), seed, Some(0));
        fleet.silent_at = silent;
        fleet.run(120_000);
        let received = fleet.received_by_all(1).map(|at| at - silent);
        let latest = if count as Millis * per_call <= 3_600 { 6_000 } else { 60_000 };
        prop_assert!(received.is_some_and(|after| after <= latest), "{received:?} ms, {count} of {per_call} ms");
        let repeated = fleet.service.charged - count;
        prop_assert!(repeated >= count && repeated <= count + count.div_ceil(2), "{repeated} calls of {count} nodes");
    }

    /// Guards against late changes: while all nodes watch, each change reaches every node at once and costs discovery
    /// no call.
    #[test]
    fn a_watching_fleet_receives_each_change_at_once_without_further_cost(
        (count, per_call) in fleets(), seed in any::<u64>(),
        changes in prop::collection::vec(60_000..120_000u64, 1..10)
    ) {
        let mut changes = changes;
        changes.sort_unstable();
        let mut fleet = Fleet::start(count, Service::new(per_call, changes.clone()), seed, Some(0));
        fleet.run(130_000);
        prop_assert_eq!(fleet.service.charged, count);
        for (version, change) in changes.into_iter().enumerate() {
            let received = fleet.received_by_all(version + 1);
            prop_assert!(received.is_some_and(|at| at <= change + MAX_WATCH_GAP), "the change at {change} was received at {received:?}");
        }
    }
}

/// Prints how long the last node of a fleet waits for its first answer, with and without a saved list:
/// `cargo test -p merlinfold-node --lib -- --ignored --nocapture first_answers`.
#[test]
#[ignore = "prints figures"]
fn first_answers() {
    const SEEDS: u64 = 100;
    for (count, per_call) in [(5, 600), (20, 300), (32, 223), (32, 300), (60, 100), (60, 250)] {
        for known in [None, Some(0)] {
            let mut last = Vec::new();
            let (mut charged, mut refused) = (0, 0);
            for seed in 0..SEEDS {
                let mut fleet = Fleet::start(count, Service::new(per_call, vec![]), seed << 10, known);
                fleet.run(60_000);
                last.push(fleet.received_by_all(0).expect("all are answered within a minute"));
                charged += fleet.service.charged as u64;
                refused += fleet.service.refused as u64;
            }
            last.sort_unstable();
            let (median, max) = (last[last.len() / 2], last[last.len() - 1]);
            let (charged, refused) = (charged / SEEDS, refused / SEEDS);
            println!("{count} nodes, {per_call} ms a call, known {known:?}: {median} ms, max {max}; {charged} answered, {refused} refused");
        }
    }
}
