//! Tests of configuration changes while a node runs.

mod common;
use common::*;

use merlinfold_decide::interface::*;

fn two_classes() -> Settings {
    settings(vec![class(Idempotency::Idempotent), class(Idempotency::Idempotent)])
}

/// Applies a changed configuration, which may only cause timers.
fn reconfigure(node: &mut TestNode, change: impl FnOnce(&mut DynamicSettings)) {
    let mut figures = two_classes().dynamic_settings();
    change(&mut figures);
    let actions = node.handle(Event::Reconfigured(Box::new(figures)));
    assert!(actions.iter().all(|action| matches!(action, Action::Timer { .. })), "{actions:?}");
}

/// Serves requests and returns their servers, of which some are slower than others.
fn servers_used(node: &mut TestNode, requests: usize) -> Vec<Option<u32>> {
    let serve = |_| {
        node.advance(20 * MS);
        node.serve(0, |server| (10 + 30 * u64::from(server.0 % 3)) * MS).map(|server| server.0)
    };
    (0..requests).map(serve).collect()
}

/// Guards learned state: after a change that does not affect its requests, a node acts like one without the change.
#[test]
fn learned_state_survives_a_configuration_change() {
    let mut unchanged = TestNode::new(two_classes(), 6, 3);
    let mut changed = TestNode::new(two_classes(), 6, 3);
    assert_eq!(servers_used(&mut unchanged, 400), servers_used(&mut changed, 400));
    reconfigure(&mut changed, |figures| {
        figures.classes[1].value = 7.0;
        figures.tenants.push(Tenant { quota_per_s: 3.0 });
    });
    assert_eq!(servers_used(&mut unchanged, 400), servers_used(&mut changed, 400));
}

/// Guards against requests that mix two configurations: an open request keeps the attempt limit of its arrival.
#[test]
fn a_request_keeps_the_attempt_limit_that_applied_at_its_arrival() {
    let mut node = TestNode::new(two_classes(), 6, 3);
    let (old, actions) = node.request(0, S);
    let first = sent_to(&actions).unwrap();
    reconfigure(&mut node, |figures| figures.max_attempts = 1);
    let second =
        sent_to(&node.end_attempt(old, 0, first, Status::ConnectFailed, MS)).expect("the limit is four");
    assert_ne!(first, second);
    let (new, actions) = node.request(0, S);
    let only = sent_to(&actions).unwrap();
    let actions = node.end_attempt(new, 0, only, Status::ConnectFailed, MS);
    assert_eq!((sent_to(&actions), is_refused(&actions)), (None, true), "the limit is one");
}

/// Guards the same for the value of an answer after the aim, which is 0 in the old configuration.
#[test]
fn a_request_keeps_the_value_of_late_answers_that_applied_at_its_arrival() {
    let mut node = TestNode::new(two_classes(), 6, 3);
    servers_used(&mut node, 400); // the node learns latencies, by which it predicts late answers
    let (old, actions) = node.request(0, S);
    let old_server = sent_to(&actions).unwrap();
    reconfigure(&mut node, |figures| figures.classes[0].late_value_share = 0.5);
    let (new, actions) = node.request(0, S);
    let new_server = sent_to(&actions).unwrap();
    node.now += 399 * MS; // the aim is 400 ms
    let mut is_repeated =
        |id, server| sent_to(&node.end_attempt(id, 0, server, Status::ConnectFailed, 399 * MS)).is_some();
    assert!(!is_repeated(old, old_server), "a late answer has no value");
    assert!(is_repeated(new, new_server), "a late answer has half of the value");
}

#[test]
fn requests_of_added_tenants_are_sent() {
    let mut node = TestNode::new(two_classes(), 6, 3);
    reconfigure(&mut node, |figures| {
        figures.tenants.extend([10.0, f64::INFINITY].map(|quota_per_s| Tenant { quota_per_s }));
    });
    for tenant in [0, 1] {
        let id = node.next_id();
        let request = Request {
            id: RequestId(id.0 + 1_000 + tenant as u64),
            class: 0,
            tenant: Some(tenant),
            key: None,
            client_timeout: S,
            cost_hint: None,
            is_retry: false,
            streams_body: false,
        };
        assert!(sent_to(&node.handle(Event::Request(request))).is_some(), "tenant {tenant}");
    }
}
