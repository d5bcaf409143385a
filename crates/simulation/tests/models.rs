//! Property tests of the models, and tests of the rates and limits that they promise.

use std::collections::{BTreeMap, BTreeSet};

use merlinfold_simulation::clients::{Clients, TryOutcome};
use merlinfold_simulation::experiment::{Experiment, RetrySafety};
use merlinfold_simulation::seed::Seed;
use merlinfold_simulation::server::{
    Arrival, CancelScope, Completion, Reply, Server, ServerFaults, ServerSpec, ServerState, WarmUpMode,
};
use merlinfold_simulation::{Nanos, MS, SECOND};
use proptest::prelude::*;

const EXPERIMENT: &str = r#"
question = "Is it the same?"
seconds = 3
nodes = { count = 2 }
load = { of_capacity = 0.5, shape = "bursty", swing = 0.5 }
[fleet]
zones = ["a", "b"]
[[fleet.kind]]
name = "k"
count = 4
[[class]]
name = "fetch"
share = 1
work_ms = 8
spread = 0.5
aim_ms = 200
deadline_ms = 500
effect = "safe"
[[class]]
name = "redeem"
share = 1
work_ms = 8
aim_ms = 200
deadline_ms = 500
effect = "unsafe"
[clients]
retries = 3
try_share = 0.4
impatient = 0.1
"#;

#[derive(Clone, Debug)]
enum Step {
    Advance(Nanos),
    Request { work: Nanos, new_connection: bool },
    Abandon(usize),
    SetState(ServerState),
    SetFaults(ServerFaults),
}

fn step() -> impl Strategy<Value = Step> {
    let state = prop_oneof![
        6 => Just(ServerState::Up), 2 => Just(ServerState::Draining), 1 => Just(ServerState::Down), 1 => Just(ServerState::Vanished)
    ];
    let faults =
        (0.0f64..4.0, any::<bool>(), 0.0f64..0.3, 0.0f64..0.3).prop_map(|(slow, hung, lose, cut)| {
            ServerFaults { slow, hung: hung && slow > 3.0, lose, cut, ..ServerFaults::default() }
        });
    prop_oneof![
        10 => (0u64..60).prop_map(|ms| Step::Advance(ms * MS)),
        10 => (1u64..40, any::<bool>()).prop_map(|(ms, new_connection)| Step::Request { work: ms * MS, new_connection }),
        2 => (0usize..40).prop_map(Step::Abandon),
        1 => state.prop_map(Step::SetState),
        1 => faults.prop_map(Step::SetFaults),
    ]
}

fn spec() -> impl Strategy<Value = ServerSpec> {
    (1usize..4, 0usize..6, 0.2f64..3.0, any::<bool>(), 0usize..3).prop_map(
        |(slots, queue, speed, by_work, c)| {
            let cancels = [CancelScope::Nothing, CancelScope::Waiting, CancelScope::All][c];
            let warm_by = if by_work { WarmUpMode::Work } else { WarmUpMode::Time };
            ServerSpec { slots, queue, speed, cancels, warm_by, fall_multiple: 1e3, ..ServerSpec::default() }
        },
    )
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 400, ..ProptestConfig::default() })]

    /// Each request ends exactly once, whatever happens to the server. The server never holds more requests than its
    /// slots and queue allow, does no more work than its cores can, and has due times only in the future.
    #[test]
    fn a_server_ends_each_request_once_within_its_queue_limit_and_capacity(
        spec in spec(), steps in prop::collection::vec(step(), 1..80),
    ) {
        let (max_pending, max_speed) = (spec.slots + spec.queue, spec.cores * spec.speed);
        let mut server = Server::new(spec, 0, 5);
        let (mut now, mut out, mut next) = (0, Vec::new(), 0u64);
        for step in steps {
            match step {
                Step::Advance(time) => {
                    now += time;
                    server.advance(now, &mut out);
                }
                Step::Request { work, new_connection } => {
                    next += 1;
                    let arrival = Arrival { job: next, class: 0, work, expires: now + SECOND, new_connection, notified_of_start: true };
                    server.receive_request(now, arrival, &mut out);
                }
                Step::Abandon(job) => server.attempt_abandoned(now, job as u64, &mut out),
                Step::SetState(state) => server.set_state(now, state, &mut out),
                Step::SetFaults(faults) => server.set_faults(now, faults, &mut out),
            }
            prop_assert!(server.pending_requests() <= max_pending);
            prop_assert!(server.next_due().is_none_or(|due| due > now || server.pending_requests() == 0));
            prop_assert!(server.warm_fraction() > 0.0 && server.warm_fraction() <= 1.0);
        }
        prop_assert!(server.completed_work() <= now as f64 * max_speed * (1.0 + 1e-9) + 1.0);
        // Without faults and further calls, the server finishes its pending requests.
        server.set_faults(now, ServerFaults::default(), &mut out);
        server.advance(now + 600 * SECOND, &mut out);
        let mut ends: BTreeMap<u64, Vec<Completion>> = BTreeMap::new();
        out.iter().for_each(|done| ends.entry(done.job).or_default().push(*done));
        for job in 1..=next {
            let count = ends.get(&job).map_or(0, Vec::len);
            prop_assert_eq!(count, 1, "request {}: {:?}", job, ends.get(&job));
        }
        let proven = |done: &Completion| done.reply != Reply::TurnedAway || !done.executed;
        prop_assert!(out.iter().all(proven), "rejected although it was executed");
    }

    /// The result does not depend on the steps in which the time advances.
    #[test]
    fn a_server_yields_the_same_result_in_one_time_step_as_in_many(spec in spec(), cuts in prop::collection::vec(1u64..200, 1..20)) {
        let ask = |server: &mut Server, out: &mut Vec<Completion>| {
            for job in 0..4 {
                let arrival = Arrival { job, class: 0, work: 30 * MS, expires: Nanos::MAX, new_connection: false, notified_of_start: true };
                server.receive_request(0, arrival, out);
            }
        };
        let (mut once, mut often, mut one, mut many) =
            (Server::new(spec.clone(), 0, 1), Server::new(spec, 0, 1), Vec::new(), Vec::new());
        ask(&mut once, &mut one);
        ask(&mut often, &mut many);
        let end: Nanos = cuts.iter().sum::<u64>() * MS;
        once.advance(end, &mut one);
        let mut now = 0;
        for cut in cuts {
            now += cut * MS;
            often.advance(now, &mut many);
        }
        prop_assert_eq!(one, many);
        prop_assert!((once.completed_work() - often.completed_work()).abs() < 10.0);
    }

    /// A request gets no more tries than its client may make, one at a time, all within its deadline and each with an id
    /// of its own. An unsafe request is retried only after a refusal or if no node was reached.
    #[test]
    fn clients_retry_only_safe_or_refused_requests(seed in any::<u64>(), ends in prop::collection::vec((0u8..7, 1u64..300), 1..200)) {
        let experiment = toml::from_str::<Experiment>(EXPERIMENT).unwrap();
        experiment.validate().unwrap();
        let mut clients = Clients::new(&experiment, Seed(seed));
        let (mut ids, mut open, mut turn) = (BTreeSet::new(), Vec::new(), 0);
        let mut last: BTreeMap<usize, TryOutcome> = BTreeMap::new();
        while let Some(due) = clients.next_due() {
            let Some(started) = clients.start_try(due) else { panic!("due but not started") };
            prop_assert!(ids.insert(started.id), "duplicate id");
            prop_assert!(started.number <= experiment.clients.retries);
            let deadline = started.plan.at + 500 * MS;
            prop_assert!(due <= deadline && due + started.budget <= deadline);
            if let Some(end) = last.get(&started.request) {
                let again = end.refused() || *end == TryOutcome::Unreachable;
                prop_assert!(again || experiment.classes[started.plan.class].effect == RetrySafety::Safe, "{:?}", end);
                prop_assert!(!end.served() && *end != TryOutcome::Left);
            }
            open.push(started);
            let (kind, after) = ends[turn % ends.len()];
            turn += 1;
            let started = open.pop().unwrap();
            let end = match kind {
                0 => TryOutcome::Unanswered,
                1 => TryOutcome::Closed,
                2 => TryOutcome::Unreachable,
                3 => TryOutcome::Left,
                4 => TryOutcome::Answered { status: 503, retry_after: 0, genuine: false },
                5 => TryOutcome::Answered { status: 502, retry_after: 0, genuine: false },
                _ => TryOutcome::Answered { status: 200, retry_after: 0, genuine: true },
            };
            last.insert(started.request, end);
            clients.try_ended(due + after.min(started.budget / MS) * MS, started.id, end);
        }
        prop_assert!(clients.done());
    }
}

/// Guards the model behind the invariant on cold servers: a cold server tolerates a load that fits its capacity and
/// crashes under a much higher one.
#[test]
fn a_cold_server_crashes_under_overload_and_stays_down() {
    let spec = ServerSpec { queue: 1_000, ramp_s: 100.0, ..ServerSpec::default() };
    for (gap, crashes) in [(30 * MS, false), (2 * MS, true)] {
        let mut server = Server::new(spec.clone(), 0, 1);
        let mut out = Vec::new();
        server.set_state(0, ServerState::Down, &mut out);
        server.set_state(0, ServerState::Up, &mut out);
        for job in 0..400 {
            let arrival = Arrival {
                job,
                class: 0,
                work: 8 * MS,
                expires: Nanos::MAX,
                new_connection: false,
                notified_of_start: job % 4 != 0,
            };
            server.receive_request(job * gap, arrival, &mut out);
        }
        assert_eq!(server.overload_crash().is_some(), crashes, "a request each {gap} ns");
        if let Some(crash) = server.overload_crash() {
            assert!((crash.notified_share - 0.75).abs() < 0.05 && crash.load > 1.0, "{crash:?}");
            server.set_state(10 * SECOND, ServerState::Up, &mut out);
            assert_eq!(server.state(), ServerState::Down);
        }
    }
}

/// Guards the generated load: it has the rate, the shares of classes and the mean work that the experiment states.
#[test]
fn generated_requests_have_the_stated_rate_and_shares() {
    let mut experiment = toml::from_str::<Experiment>(EXPERIMENT).unwrap();
    experiment.seconds = 60.0;
    let plans = merlinfold_simulation::clients::generate_requests(&experiment, Seed(3));
    let expected = experiment.mean_requests_per_second() * 60.0;
    assert!((plans.len() as f64 / expected - 1.0).abs() < 0.15, "{} of {expected}", plans.len());
    let fetch = plans.iter().filter(|plan| plan.class == 0).count() as f64 / plans.len() as f64;
    assert!((fetch - 0.5).abs() < 0.03, "{fetch}");
    let work = plans.iter().map(|plan| plan.work as f64).sum::<f64>() / plans.len() as f64;
    assert!((work / (8 * MS) as f64 - 1.0).abs() < 0.05, "{work}");
}

/// Guards the invariant on drains: a change that is published during an outage of discovery, or just before, counts from
/// the end of the outage; a change that a node learned counts from that time.
#[test]
fn a_change_counts_as_learned_after_the_delay_from_publication_without_an_outage() {
    use merlinfold_simulation::discovery::Status;
    use merlinfold_simulation::notifications::{add_implied_notifications, Notification, Outage};
    let (max_delay, server, status) = (6_000, 0, Status::Terminating);
    let outages = [Outage { from: 10_000, until: Some(14_000) }, Outage { from: 40_000, until: None }];
    let counts_from = |published| {
        let mut notifications = Vec::new();
        add_implied_notifications(&mut notifications, &[(published, server, status)], 1, max_delay, &outages);
        notifications.first().map(|notification| notification.at)
    };
    assert_eq!(counts_from(1_000), Some(7_000));
    assert_eq!(counts_from(4_000), Some(10_000), "the outage begins when it counts");
    assert_eq!(counts_from(5_000), Some(20_000), "the outage begins before it counts");
    assert_eq!(counts_from(12_000), Some(20_000));
    assert_eq!(counts_from(14_000), Some(20_000));
    assert_eq!(counts_from(38_000), None, "the outage never ends");
    let mut learned = vec![Notification { node: 0, server, status, at: 16_000 }];
    add_implied_notifications(&mut learned, &[(12_000, server, status)], 1, max_delay, &outages);
    assert_eq!(learned.len(), 1, "the node learned of it in time");
}
