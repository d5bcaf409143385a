//! Tests of the rules that the decision module has to follow: answers, repeats, placement, server states, cold
//! servers and the attempt budget.

mod common;
use common::*;

use merlinfold_decide::interface::*;
use proptest::prelude::*;

/// Time for which the servers of a group recognize a repeat.
const WINDOW: Nanos = 300 * MS;

fn keyed(group: DedupScope) -> Idempotency {
    Idempotency::Keyed { scope: group, window: WINDOW }
}

fn new_node(effect: Idempotency, servers: u32) -> TestNode {
    TestNode::new(settings(vec![class(effect)]), servers, 3)
}

#[test]
fn a_request_without_servers_is_refused_once_by_its_deadline() {
    let mut node = new_node(Idempotency::Idempotent, 0);
    let (_, mut actions) = node.request(0, S);
    actions.extend(node.advance(S));
    assert_eq!(actions.iter().filter(|a| matches!(a, Action::Refuse { .. })).count(), 1);
}

#[test]
fn requests_with_a_budget_of_0_or_1_ns_are_refused_or_sent_at_once() {
    let mut node = new_node(Idempotency::Idempotent, 3);
    let (_, actions) = node.request(0, 0);
    assert!(is_refused(&actions) && sent_to(&actions).is_none());
    let (_, actions) = node.request(0, 1);
    assert!(is_refused(&actions) != sent_to(&actions).is_some());
}

#[test]
fn a_timeout_at_the_deadline_fails_an_unsafe_request_once() {
    let mut node = new_node(Idempotency::NonIdempotent, 3);
    let (id, actions) = node.request(0, S);
    let server = sent_to(&actions).expect("sent");
    node.now += S;
    let end = node.end_attempt(id, 0, server, Status::Timeout, S);
    assert!(is_failed(&end) && !is_refused(&end) && sent_to(&end).is_none());
}

#[test]
fn an_unsafe_request_is_repeated_only_after_a_status_that_proves_it_never_ran() {
    for (status, again) in [
        (Status::Rejected, true),
        (Status::ConnectFailed, true),
        (Status::NotSent, true),
        (Status::Error, false),
        (Status::Reset, false),
        (Status::Timeout, false),
        (Status::Cancelled, false),
    ] {
        let mut node = new_node(Idempotency::NonIdempotent, 6);
        let (id, actions) = node.request(0, S);
        let server = sent_to(&actions).expect("sent");
        node.now += MS;
        let end = node.end_attempt(id, 0, server, status, MS);
        assert_eq!(sent_to(&end).is_some(), again, "{status:?}");
        assert_eq!(is_failed(&end), !again, "{status:?}");
        assert!(!is_refused(&end), "{status:?}");
    }
}

/// Checks for every effect and status of an attempt whether the request is repeated, refused or failed.
#[test]
fn each_status_leads_to_a_repeat_a_refusal_or_a_failure_as_its_class_allows() {
    let ends = [
        (Status::Rejected, false),
        (Status::ConnectFailed, false),
        (Status::NotSent, false),
        (Status::Error, true),
        (Status::Reset, true),
        (Status::Timeout, true),
        (Status::Cancelled, true),
    ];
    let effects = [
        Idempotency::Idempotent,
        keyed(DedupScope::All),
        keyed(DedupScope::Zone),
        keyed(DedupScope::Cell),
        Idempotency::Keyed { scope: DedupScope::All, window: 0 },
        Idempotency::NonIdempotent,
    ];
    for effect in effects {
        for (status, may_have_run) in ends {
            for (attempts, after) in [(4, MS), (4, 350 * MS), (1, MS)] {
                // Each cell and zone has several servers, so that an allowed repeat always finds another one.
                let node_settings = Settings { max_attempts: attempts, ..settings(vec![class(effect)]) };
                let mut node = TestNode::new(node_settings, 24, 3);
                let (id, actions) = node.request(0, S);
                let server = sent_to(&actions).expect("sent");
                node.now += after;
                let end = node.end_attempt(id, 0, server, status, after);
                let window = match effect {
                    Idempotency::Keyed { window, .. } => after < window,
                    Idempotency::Idempotent => true,
                    Idempotency::NonIdempotent => false,
                };
                let again = attempts > 1 && (!may_have_run || window);
                let harmless = matches!(
                    effect,
                    Idempotency::Idempotent | Idempotency::Keyed { scope: DedupScope::All, .. }
                );
                let refuses = !again && (!may_have_run || harmless);
                let seen = (sent_to(&end).is_some(), is_refused(&end), is_failed(&end));
                let wanted = (again, refuses, !again && !refuses);
                assert_eq!(seen, wanted, "{effect:?} {status:?} after {after} ns, {attempts} attempts");
            }
        }
    }
}

#[test]
fn a_keyed_request_stays_in_its_group() {
    for group in [DedupScope::All, DedupScope::Zone, DedupScope::Cell] {
        for seed in 0..20 {
            let mut node = TestNode::new(settings(vec![class(keyed(group))]), 24, seed);
            let (id, actions) = node.request(0, S);
            let first = sent_to(&actions).expect("sent").0;
            node.now += 5 * MS;
            if let Some(ServerId(second)) =
                sent_to(&node.end_attempt(id, 0, ServerId(first), Status::Error, 5 * MS))
            {
                assert!(group == DedupScope::All || first % 3 == second % 3);
                assert!(group != DedupScope::Cell || first % 6 == second % 6);
                node.end_attempt(id, 1, ServerId(second), Status::Ok, 5 * MS);
            }
        }
    }
}

#[test]
fn the_window_of_a_keyed_repeat_starts_at_the_first_attempt_that_may_have_run() {
    let mut node = new_node(keyed(DedupScope::All), 9);
    let (id, actions) = node.request(0, S);
    let first = sent_to(&actions).expect("sent");
    node.now += 200 * MS;
    let second =
        sent_to(&node.end_attempt(id, 0, first, Status::Error, 200 * MS)).expect("within its window");
    node.now += 101 * MS;
    let end = node.end_attempt(id, 1, second, Status::Error, 101 * MS);
    assert!(sent_to(&end).is_none(), "301 ms after the first attempt the window is over");
    assert!(is_refused(&end), "a refusal is allowed if all servers share the keys");
}

/// Guards the window of keyed repeats if the host sends late, as its connection may be established after the window.
#[test]
fn a_keyed_repeat_carries_the_time_within_which_it_has_to_be_written() {
    let within = |actions: &[Action]| {
        actions.iter().find_map(|action| match action {
            Action::Send { send_within: within, .. } => Some(*within),
            _ => None,
        })
    };
    let mut node =
        TestNode::new(settings(vec![class(keyed(DedupScope::All)), class(Idempotency::Idempotent)]), 6, 3);
    let (id, first) = node.request(0, S);
    assert_eq!(within(&first), Some(None), "a first attempt has no time limit");
    node.now += 100 * MS;
    let again = node.end_attempt(id, 0, sent_to(&first).unwrap(), Status::ConnectFailed, 100 * MS);
    assert_eq!(within(&again), Some(None), "nothing has run yet");
    node.now += 100 * MS;
    let last = node.end_attempt(id, 1, sent_to(&again).unwrap(), Status::Reset, 100 * MS);
    assert_eq!(within(&last), Some(Some(WINDOW - 100 * MS)), "counted from the attempt that may have run");
    let (id, first) = node.request(1, S);
    let again = node.end_attempt(id, 0, sent_to(&first).unwrap(), Status::Reset, 0);
    assert_eq!(within(&again), Some(None), "a safe request has no window");
}

#[test]
fn a_request_keyed_by_zone_is_failed_and_not_refused_once_it_may_have_run() {
    let mut node = new_node(keyed(DedupScope::Zone), 1);
    let (id, actions) = node.request(0, S);
    let server = sent_to(&actions).expect("sent");
    node.now += 350 * MS;
    let end = node.end_attempt(id, 0, server, Status::Error, 350 * MS);
    assert!(is_failed(&end) && !is_refused(&end));
}

#[test]
fn a_request_whose_client_has_left_gets_no_answer_when_its_attempt_ends() {
    let mut node = new_node(Idempotency::Idempotent, 3);
    let (id, actions) = node.request(0, S);
    let server = sent_to(&actions).expect("sent");
    assert!(node.handle(Event::ClientGone(id)).is_empty());
    let late = node.handle(Event::Outcome {
        id,
        attempt: 0,
        server,
        status: Status::Error,
        latency: MS,
        terminal: true,
        report: None,
    });
    assert!(late.is_empty());
}

#[test]
fn a_stream_that_has_started_gets_no_other_answer() {
    let mut node = new_node(Idempotency::Idempotent, 3);
    let (id, actions) = node.request(0, S);
    let server = sent_to(&actions).expect("sent");
    node.handle(Event::ResponseStarted { id, attempt: 0, latency: MS });
    node.now += 3 * S;
    let end = node.handle(Event::Outcome {
        id,
        attempt: 0,
        server,
        status: Status::Reset,
        latency: 3 * S,
        terminal: true,
        report: None,
    });
    assert!(end.is_empty());
}

#[test]
fn a_server_that_drains_or_is_gone_gets_no_attempts() {
    for readiness in [Readiness::Draining, Readiness::Removed] {
        let mut node = new_node(Idempotency::Idempotent, 2);
        node.update_servers(ListKind::Partial, vec![ServerEntry { readiness, ..entry(0) }]);
        for _ in 0..50 {
            node.now += 20 * MS;
            assert_eq!(node.serve(0, |_| 10 * MS), Some(ServerId(1)));
        }
    }
}

#[test]
fn a_server_missing_from_a_complete_list_gets_no_attempts() {
    let mut node = new_node(Idempotency::Idempotent, 3);
    node.update_servers(ListKind::Complete, vec![entry(1)]);
    for _ in 0..20 {
        node.now += 20 * MS;
        assert_eq!(node.serve(0, |_| 10 * MS), Some(ServerId(1)));
    }
}

#[test]
fn maintenance_lasts_until_one_order_ends_it_whatever_the_list_says_and_the_server_returns_cold() {
    let mut node = new_node(Idempotency::Idempotent, 2);
    let maintain = |node: &mut TestNode, out| {
        node.handle(Event::Maintenance { server: ServerId(0), out, ordered_at: node.now });
    };
    let only_the_other = |node: &mut TestNode, when: &str| {
        for _ in 0..50 {
            node.now += 20 * MS;
            assert_eq!(node.serve(0, |_| 10 * MS), Some(ServerId(1)), "{when}");
        }
    };
    maintain(&mut node, true);
    maintain(&mut node, true);
    only_the_other(&mut node, "in maintenance");
    assert_eq!(node.balancer.excluded_servers(node.now), 1);
    node.update_servers(ListKind::Partial, vec![ServerEntry { readiness: Readiness::Removed, ..entry(0) }]);
    only_the_other(&mut node, "in maintenance and gone");
    node.update_servers(ListKind::Partial, vec![ServerEntry { started_at: node.now, ..entry(0) }]);
    only_the_other(&mut node, "in maintenance and restarted");
    node.update_servers(ListKind::Complete, vec![entry(0), entry(1)]);
    only_the_other(&mut node, "in maintenance and in a complete list");
    maintain(&mut node, false);
    assert!(node.balancer.is_ready(ServerId(0)) && node.balancer.excluded_servers(node.now) == 0);
    node.update_servers(ListKind::Complete, vec![entry(0), entry(1)]); // without a recent start
    let mut served = 0;
    for _ in 0..50 {
        node.now += 2 * MS;
        served += usize::from(node.serve(0, |_| 10 * MS) == Some(ServerId(0)));
    }
    assert!((1..15).contains(&served), "{served} of the first 50 went to a cold server");
    assert!(!is_refused(&node.request(0, S).1));
}

#[test]
fn requests_are_refused_while_all_servers_are_in_maintenance_and_not_after_one_returns() {
    let mut node = new_node(Idempotency::Idempotent, 2);
    let since = node.now;
    for n in 0..2 {
        node.handle(Event::Maintenance { server: ServerId(n), out: true, ordered_at: since });
    }
    assert!(is_refused(&node.request(0, S).1));
    node.handle(Event::Maintenance { server: ServerId(1), out: false, ordered_at: since });
    assert!(!is_refused(&node.request(0, S).1));
}

/// Guards against refusals caused by uploads: a server does not work on a request whose body is still arriving.
#[test]
fn uploads_do_not_occupy_servers_or_cause_refusals() {
    let mut node = new_node(Idempotency::Idempotent, 4);
    for _ in 0..50 {
        node.now += 20 * MS;
        node.serve(0, |_| 10 * MS);
    }
    let mut uploads = Vec::new();
    for _ in 0..100 {
        let (id, actions) = node.request_with_upload(0, S);
        uploads.push((id, sent_to(&actions).expect("sent at once")));
        node.now += 5 * MS;
        assert!(node.serve(0, |_| 10 * MS).is_some(), "refused during {} uploads", uploads.len());
    }
    node.advance(5 * S);
    for (id, server) in uploads {
        node.handle(Event::BodySent(id));
        let latency = 10 * MS;
        node.now += latency;
        assert!(!is_failed(&node.end_attempt(id, 0, server, Status::Ok, latency)));
    }
    assert!(node.serve(0, |_| 10 * MS).is_some());
}

/// Checks that a request with an upload may be repeated after a rejection although its upload took longer than its
/// deadline.
#[test]
fn the_deadline_of_a_request_with_an_upload_starts_at_its_last_byte() {
    let mut node = TestNode::new(settings(vec![class(Idempotency::NonIdempotent)]), 3, 3);
    let (id, actions) = node.request_with_upload(0, S);
    let server = sent_to(&actions).expect("sent");
    node.advance(3 * S);
    node.handle(Event::BodySent(id));
    node.now += 10 * MS;
    let again = node.end_attempt(id, 0, server, Status::Rejected, 10 * MS);
    assert!(sent_to(&again).is_some(), "rejected unread, so that another server may take it");
}

#[test]
fn the_node_asks_for_the_list_again_after_failures_until_it_is_subscribed() {
    let node_settings =
        Settings { discovery: Discovery::Watch, ..settings(vec![class(Idempotency::Idempotent)]) };
    let mut node = TestNode::new(node_settings, 3, 8);
    let watches = |actions: &[Action]| actions.iter().filter(|a| **a == Action::Watch).count();
    for _ in 0..6 {
        let mut asked = 0;
        for _ in 0..100 {
            asked += watches(&node.advance(100 * MS));
            if asked > 0 {
                break;
            }
        }
        assert_eq!(asked, 1, "asked again once within ten seconds");
        node.update_servers(ListKind::Failed, vec![]);
    }
    node.advance(10 * S);
    node.update_servers(ListKind::Partial, vec![]);
    assert_eq!(watches(&node.advance(60 * S)), 0, "a subscribed node does not ask again");
}

/// Checks in every window that the attempts of all nodes at a cold server stay within its budget. There are four
/// servers with this number of cores, `restarted` lists those that restart at the given time, and the load is five
/// sixths of what all servers can serve when warm.
fn check_cold_server_budget(nodes: u32, cores: u64, restarted: impl Fn(Nanos) -> Vec<ServerEntry>) {
    let service = 20 * MS;
    let mut fleet: Vec<TestNode> = (0..nodes)
        .map(|me| {
            let node_settings = Settings {
                node_index: me,
                node_count: nodes,
                ..settings(vec![class(Idempotency::Idempotent)])
            };
            TestNode::new(node_settings, 4, u64::from(me) + 1)
        })
        .collect();
    let mut at = 100 * S;
    for turn in 0..400 {
        at += 10 * MS;
        let node = &mut fleet[turn % nodes as usize];
        node.now = at;
        node.handle(Event::Timer(0));
        node.serve(0, |_| service);
    }
    let start = at;
    for node in &mut fleet {
        node.now = at;
        node.update_servers(ListKind::Partial, restarted(start));
    }
    let mut cold: Vec<Nanos> = Vec::new();
    for turn in 0..8_000 {
        at += 6 * MS / cores;
        let node = &mut fleet[(turn * 7) % nodes as usize];
        node.now = at;
        if turn % 20 == 0 {
            node.handle(Event::Timer(0));
        }
        if node.serve(0, |_| service) == Some(ServerId(0)) {
            cold.push(at);
        }
    }
    assert!(!cold.is_empty(), "a cold server gets attempts");
    for (n, &from) in cold.iter().enumerate() {
        let sent = cold[n..].iter().take_while(|&&t| t < from + S).count() as f64;
        let share = 0.2 + 0.8 * (from - start) as f64 / (10 * S) as f64;
        let budget = 3.0 * share * (cores * S / service) as f64;
        assert!(sent <= budget, "{sent} attempts within a second of {from}, budget {budget}");
    }
}

#[test]
fn a_server_that_restarts_under_the_same_id_is_not_overloaded() {
    for (nodes, cores) in [(1, 1), (4, 1), (60, 1), (600, 1), (1, 6), (60, 6), (600, 6)] {
        check_cold_server_budget(nodes, cores, |since| vec![ServerEntry { started_at: since, ..entry(0) }]);
    }
}

#[test]
fn the_servers_of_a_returning_zone_are_not_overloaded() {
    for (nodes, cores) in [(1, 1), (4, 1), (60, 1), (600, 1), (1, 6), (60, 6), (600, 6)] {
        let zone = |since| (0..3).map(|n| ServerEntry { started_at: since, ..entry(n) }).collect();
        check_cold_server_budget(nodes, cores, zone);
    }
}

fn placed_class(effect: Idempotency, zones: Option<Vec<u16>>, kinds: Option<Vec<u16>>) -> Class {
    Class { placement: Placement { zones, host_types: kinds }, ..class(effect) }
}

#[test]
fn every_attempt_of_a_placed_class_goes_to_a_permitted_server() {
    for (zones, kinds) in [(Some(vec![1]), None), (None, Some(vec![1])), (Some(vec![0, 2]), Some(vec![0]))] {
        let node_settings = Settings {
            key_affinity: true,
            zone: 2,
            ..settings(vec![placed_class(Idempotency::Idempotent, zones.clone(), kinds.clone())])
        };
        let mut node = TestNode::new(node_settings, 12, 5);
        let place = Placement { zones, host_types: kinds };
        let mut visited = std::collections::BTreeSet::new();
        for turn in 0..200u64 {
            node.advance(20 * MS);
            let (id, mut actions) = node.request_for_key(Some(turn % 9), 0, S);
            for attempt in 0.. {
                let Some(server) = sent_to(&actions) else { break };
                let at = entry(server.0);
                assert!(place.allows(&at), "attempt {attempt} went to {server:?}");
                visited.insert(server);
                // Different failures, so that every fallback is used.
                let status =
                    [Status::Rejected, Status::Error, Status::Ok, Status::ConnectFailed][turn as usize % 4];
                actions = node.end_attempt(id, attempt, server, status, 10 * MS);
            }
        }
        let permitted = (0..12).map(entry).filter(|e| place.allows(e)).count();
        assert_eq!(visited.len(), permitted, "all permitted servers are used");
    }
}

#[test]
fn a_placed_class_without_available_servers_is_refused_by_its_deadline() {
    for kinds in [vec![1], vec![7], vec![]] {
        let node_settings = settings(vec![
            placed_class(Idempotency::Idempotent, None, Some(kinds)),
            class(Idempotency::Idempotent),
        ]);
        let mut node = TestNode::new(node_settings, 6, 5);
        let draining = (0..6).filter(|n| n % 2 == 1);
        let draining = draining.map(|n| ServerEntry { readiness: Readiness::Draining, ..entry(n) }).collect();
        node.update_servers(ListKind::Partial, draining);
        let (_, mut actions) = node.request(0, S);
        actions.extend(node.advance(S));
        assert!(sent_to(&actions).is_none() && is_refused(&actions));
        assert!(node.serve(1, |_| 10 * MS).is_some(), "another class is served meanwhile");
    }
}

/// Sends one request whose attempts all end with `status`; returns the number of attempts beyond the first.
fn further_attempts(node: &mut TestNode, status: Status) -> usize {
    let (id, mut actions) = node.request(0, S);
    let mut attempts = 0;
    while let Some(server) = sent_to(&actions) {
        actions = node.end_attempt(id, attempts, server, status, MS);
        attempts += 1;
    }
    attempts.saturating_sub(1) as usize
}

#[test]
fn further_attempts_after_any_failure_stay_within_the_configured_budget() {
    for status in [Status::Error, Status::ConnectFailed, Status::Reset] {
        let budget = RetryBudget { base: 2.0, per_request: 0.25, window: 5 * S };
        let node_settings =
            Settings { retry_budget: Some(budget), ..settings(vec![class(Idempotency::Idempotent)]) };
        let mut node = TestNode::new(node_settings, 12, 4);
        let (mut arrivals, mut repeats): (Vec<Nanos>, Vec<Nanos>) = (vec![], vec![]);
        for turn in 0..600u64 {
            node.advance(if turn % 50 == 0 { 6 * S } else { 10 * MS });
            arrivals.push(node.now);
            // Failures come and go, so that a repeat always has a promising server.
            let status = if turn % 7 < 3 { status } else { Status::Ok };
            repeats.extend(vec![node.now; further_attempts(&mut node, status)]);
            let within = |times: &[Nanos]| times.iter().filter(|&&t| t + 5 * S >= node.now).count() as f64;
            assert!(within(&repeats) <= 2.0 + 0.25 * within(&arrivals), "turn {turn}");
        }
        assert!(repeats.len() > 60, "the budget is used: {}", repeats.len());
    }
}

#[test]
fn the_budget_window_is_exact_to_the_nanosecond_and_empty_after_a_restart() {
    let budget = RetryBudget { base: 1.0, per_request: 0.0, window: 5 * S };
    let node_settings =
        Settings { retry_budget: Some(budget), ..settings(vec![class(Idempotency::Idempotent)]) };
    let start = || TestNode::new(node_settings.clone(), 9, 4);
    let mut node = start();
    assert_eq!(further_attempts(&mut node, Status::ConnectFailed), 1);
    node.now += 5 * S;
    assert_eq!(
        further_attempts(&mut node, Status::ConnectFailed),
        0,
        "the first repeat is still within the window of 5 s"
    );
    node.now += 1;
    assert_eq!(further_attempts(&mut node, Status::ConnectFailed), 1);
    assert_eq!(
        further_attempts(&mut start(), Status::ConnectFailed),
        1,
        "a restarted node has its whole budget"
    );
}

/// A step of a generated test. Indices of requests and attempts are taken modulo their present number.
#[derive(Clone, Debug)]
enum Step {
    /// A request of this class with this budget.
    Request(usize, Nanos),
    /// The same with a body that has not arrived yet.
    LongRequest(usize, Nanos),
    /// The last byte of the body of the request with this open attempt.
    EndUpload(usize),
    /// The end of this open attempt.
    EndAttempt(usize, Status),
    /// The client of this request leaves.
    ClientLeaves(usize),
    Advance(Nanos),
    /// News of a server: its readiness and whether it has restarted.
    UpdateServer(u32, Readiness, bool),
    /// The start or the end of a server's maintenance.
    SetMaintenance(u32, bool),
    /// A failed call for the server list.
    ListFailed,
}

/// Generates a step.
fn step() -> impl Strategy<Value = Step> {
    let status = prop::sample::select(vec![
        Status::Ok,
        Status::Ok,
        Status::Error,
        Status::Rejected,
        Status::Timeout,
        Status::ConnectFailed,
        Status::Reset,
        Status::Cancelled,
        Status::NotSent,
    ]);
    let readiness = prop::sample::select(vec![Readiness::Ready, Readiness::Draining, Readiness::Removed]);
    prop_oneof![
        4 => (0usize..7, prop::sample::select(vec![0, 1, 5 * MS, 300 * MS, S])).prop_map(|(c, b)| Step::Request(c, b)),
        1 => (0usize..7, prop::sample::select(vec![5 * MS, S])).prop_map(|(c, b)| Step::LongRequest(c, b)),
        1 => (0usize..64).prop_map(Step::EndUpload),
        4 => (0usize..64, status).prop_map(|(n, s)| Step::EndAttempt(n, s)),
        1 => (0usize..64).prop_map(Step::ClientLeaves),
        2 => (0u64..120).prop_map(|ms| Step::Advance(ms * MS)),
        1 => (0u32..8, readiness, any::<bool>()).prop_map(|(n, r, b)| Step::UpdateServer(n, r, b)),
        1 => (0u32..8, any::<bool>()).prop_map(|(n, out)| Step::SetMaintenance(n, out)),
        1 => Just(Step::ListFailed),
    ]
}

const BUDGET: RetryBudget = RetryBudget { base: 3.0, per_request: 0.2, window: 500 * MS };

/// What the checker knows about a request.
struct TrackedRequest {
    class: usize,
    deadline: Nanos,
    answers: u32,
    /// Server, time and, once it has ended, status of each attempt.
    attempts: Vec<(u32, Nanos, Option<Status>)>,
}

/// A node and a model that checks the rules on its actions, for any sequence of events.
struct RuleChecker {
    node: TestNode,
    classes: Vec<Class>,
    arrivals: Vec<Nanos>,
    further_attempts: Vec<Nanos>,
    ready_in_list: std::collections::BTreeSet<u32>,
    in_maintenance: std::collections::BTreeSet<u32>,
    requests: std::collections::BTreeMap<RequestId, TrackedRequest>,
}

impl RuleChecker {
    /// Checks actions of the node and records them.
    fn check_actions(&mut self, actions: Vec<Action>) {
        let now = self.node.now;
        for action in actions {
            match action {
                Action::Send { id, server: ServerId(server), .. } => {
                    let request = self.requests.get_mut(&id).expect("the request is known");
                    assert_eq!(request.answers, 0, "sent after its answer");
                    assert!(self.ready_in_list.contains(&server), "sent to a server that is not ready");
                    assert!(!self.in_maintenance.contains(&server), "sent to a server in maintenance");
                    assert!(request.attempts.iter().all(|(.., s)| s.is_some()), "two attempts at once");
                    let (class, at) = (&self.classes[request.class], entry(server));
                    assert!(
                        class.placement.allows(&at),
                        "sent to a server that its placement does not permit"
                    );
                    if !request.attempts.is_empty() {
                        self.further_attempts.push(now);
                        let within =
                            |t: &[Nanos]| t.iter().filter(|&&t| t + BUDGET.window >= now).count() as f64;
                        let allowed = BUDGET.base + BUDGET.per_request * within(&self.arrivals);
                        assert!(within(&self.further_attempts) <= allowed, "over the attempt budget");
                    }
                    let ran = request.attempts.iter().find(|(.., s)| !s.is_some_and(Status::never_ran));
                    match (class.idempotency, ran) {
                        (Idempotency::Idempotent, _) | (_, None) => {}
                        (Idempotency::NonIdempotent, Some(_)) => {
                            panic!("an unsafe request may have run twice")
                        }
                        (Idempotency::Keyed { scope: group, window }, Some(&(first, at, _))) => {
                            assert!(now < at + window);
                            assert!(group == DedupScope::All || server % 3 == first % 3);
                            assert!(group != DedupScope::Cell || server % 6 == first % 6);
                        }
                    }
                    request.attempts.push((server, now, None));
                    assert!(request.attempts.len() <= 4);
                }
                Action::Refuse { id, retry_after } => {
                    assert!(
                        (1..=S).contains(&retry_after),
                        "retry_after outside of the range that clients honor: {retry_after}"
                    );
                    let request = self.requests.get_mut(&id).expect("the request is known");
                    request.answers += 1;
                    let never_ran = request.attempts.iter().all(|(.., s)| s.is_some_and(Status::never_ran));
                    let may_be_refused = matches!(
                        self.classes[request.class].idempotency,
                        Idempotency::Idempotent | Idempotency::Keyed { scope: DedupScope::All, .. }
                    );
                    assert!(never_ran || may_be_refused, "refused although it may have run");
                }
                Action::Fail { id } => self.requests.get_mut(&id).expect("the request is known").answers += 1,
                _ => {}
            }
        }
        assert!(self.requests.values().all(|request| request.answers <= 1), "two answers");
    }

    /// Ends an attempt with this status.
    fn end_attempt(&mut self, id: RequestId, attempt: usize, status: Status) {
        let request = self.requests.get_mut(&id).expect("known");
        let (server, at, _) = request.attempts[attempt];
        request.attempts[attempt].2 = Some(status);
        let terminal = request.answers > 0 || status == Status::Ok;
        if status == Status::Ok && request.answers == 0 {
            request.answers = 1;
        }
        let latency = self.node.now - at;
        let server = ServerId(server);
        let attempt = attempt as u32;
        let event = Event::Outcome { id, attempt, server, status, latency, terminal, report: None };
        let actions = self.node.handle(event);
        self.check_actions(actions);
    }

    /// Returns the open attempts, with the ids of their requests.
    fn open_attempts(&self) -> Vec<(RequestId, usize)> {
        let open = |(id, request): (&RequestId, &TrackedRequest)| {
            request.attempts.last().and_then(|s| s.2.is_none().then_some(*id))
        };
        self.requests.iter().filter_map(open).map(|id| (id, self.requests[&id].attempts.len() - 1)).collect()
    }

    /// Advances the clock in steps of 10 ms. Like a host, it ends attempts with a timeout at the client's deadline.
    fn advance(&mut self, time: Nanos) {
        let until = self.node.now + time;
        while self.node.now < until {
            self.node.now = (self.node.now + 10 * MS).min(until);
            for (id, attempt) in self.open_attempts() {
                if self.requests[&id].deadline <= self.node.now {
                    self.end_attempt(id, attempt, Status::Timeout);
                }
            }
            let actions = self.node.handle(Event::Timer(0));
            self.check_actions(actions);
            for request in self.requests.values() {
                assert!(
                    request.answers == 1 || request.deadline + 16 * MS > self.node.now,
                    "no answer in time"
                );
            }
        }
    }
}

impl RuleChecker {
    fn new() -> Self {
        let classes = vec![
            class(Idempotency::Idempotent),
            class(Idempotency::NonIdempotent),
            class(keyed(DedupScope::All)),
            class(keyed(DedupScope::Zone)),
            class(keyed(DedupScope::Cell)),
            placed_class(Idempotency::Idempotent, Some(vec![0, 2]), None),
            placed_class(keyed(DedupScope::Zone), None, Some(vec![1])),
        ];
        let node_settings = Settings { retry_budget: Some(BUDGET), ..settings(classes.clone()) };
        let node = TestNode::new(node_settings, 6, 17);
        RuleChecker {
            node,
            classes,
            arrivals: vec![],
            further_attempts: vec![],
            ready_in_list: (0..6).collect(),
            in_maintenance: Default::default(),
            requests: Default::default(),
        }
    }

    fn request(&mut self, class: usize, budget: Nanos, long: bool) {
        let id = self.node.next_id();
        let deadline = self.node.now + budget;
        self.arrivals.push(self.node.now);
        self.requests.insert(id, TrackedRequest { class, deadline, answers: 0, attempts: vec![] });
        let (_, actions) = match long {
            true => self.node.request_with_upload(class, budget),
            false => self.node.request(class, budget),
        };
        self.check_actions(actions);
    }

    fn step(&mut self, step: Step) {
        match step {
            Step::Request(class, budget) => self.request(class, budget, false),
            Step::LongRequest(class, budget) => self.request(class, budget, true),
            Step::EndUpload(n) => {
                let open = self.open_attempts();
                if let Some(&(id, _)) = open.get(n % open.len().max(1)) {
                    let actions = self.node.handle(Event::BodySent(id));
                    self.check_actions(actions);
                }
            }
            Step::EndAttempt(n, status) => {
                let open = self.open_attempts();
                if let Some(&(id, attempt)) = open.get(n % open.len().max(1)) {
                    self.end_attempt(id, attempt, status);
                }
            }
            Step::ClientLeaves(n) => {
                let live: Vec<RequestId> = self
                    .requests
                    .iter()
                    .filter(|(_, request)| request.answers == 0)
                    .map(|(id, _)| *id)
                    .collect();
                if let Some(&id) = live.get(n % live.len().max(1)) {
                    self.requests.get_mut(&id).expect("live").answers = 1;
                    let actions = self.node.handle(Event::ClientGone(id));
                    self.check_actions(actions);
                }
            }
            Step::Advance(time) => self.advance(time),
            Step::UpdateServer(n, readiness, restarted) => {
                let since = if restarted { self.node.now } else { 0 };
                match readiness {
                    Readiness::Ready => self.ready_in_list.insert(n),
                    _ => self.ready_in_list.remove(&n),
                };
                let entries = vec![ServerEntry { readiness, started_at: since, ..entry(n) }];
                let actions = self.node.update_servers(ListKind::Partial, entries);
                self.check_actions(actions);
            }
            Step::SetMaintenance(n, out) => {
                match out {
                    true => self.in_maintenance.insert(n),
                    false => self.in_maintenance.remove(&n),
                };
                let since = self.node.now;
                let actions =
                    self.node.handle(Event::Maintenance { server: ServerId(n), out, ordered_at: since });
                self.check_actions(actions);
                let ready = |n: &u32| self.ready_in_list.contains(n) && !self.in_maintenance.contains(n);
                assert!((0..8).all(|n| self.node.balancer.is_ready(ServerId(n)) == ready(&n)));
            }
            Step::ListFailed => {
                let actions = self.node.update_servers(ListKind::Failed, vec![]);
                self.check_actions(actions);
            }
        }
    }

    /// Drops records that no rule refers to any more.
    fn drop_finished(&mut self) {
        let from = self.node.now.saturating_sub(BUDGET.window);
        self.arrivals.retain(|&at| at >= from);
        self.further_attempts.retain(|&at| at >= from);
        self.requests.retain(|_, request| {
            request.answers == 0 || request.attempts.last().is_some_and(|s| s.2.is_none())
        });
    }

    /// Lets all requests end and checks that each has exactly one answer.
    fn finish(mut self) {
        self.advance(2 * S);
        assert!(self.requests.values().all(|request| request.answers == 1));
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 256, failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(20),
        ..ProptestConfig::default()
    })]

    #[test]
    fn the_rules_hold_over_any_sequence_of_events(steps in prop::collection::vec(step(), 1..300)) {
        let mut checker = RuleChecker::new();
        steps.into_iter().for_each(|step| checker.step(step));
        checker.finish();
    }
}

/// Runs one node for a million events. Run it with
/// `cargo test --release -p merlinfold-decide --test rules million -- --ignored`.
#[test]
#[ignore = "takes too long for every run"]
fn the_rules_hold_over_a_million_events() {
    use proptest::strategy::ValueTree;
    use proptest::test_runner::TestRunner;
    let (mut runner, mut checker, step) = (TestRunner::deterministic(), RuleChecker::new(), step());
    for n in 0..1_000_000 {
        checker.step(step.new_tree(&mut runner).expect("a step").current());
        if n % 64 == 0 {
            checker.drop_finished();
            assert!(checker.node.balancer.known_servers() <= 8, "the node forgets removed servers");
        }
    }
    checker.finish();
}
