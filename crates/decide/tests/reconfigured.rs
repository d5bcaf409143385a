//! Figures that change while a node runs.

mod common;
use common::*;

use merlinfold_decide::interface::*;

fn two_classes() -> Settings {
    settings(vec![class(Idempotency::Idempotent), class(Idempotency::Idempotent)])
}

fn reconfigure(node: &mut TestNode, change: impl FnOnce(&mut DynamicSettings)) {
    let mut figures = two_classes().dynamic_settings();
    change(&mut figures);
    let actions = node.handle(Event::Reconfigured(Box::new(figures)));
    assert!(actions.iter().all(|action| matches!(action, Action::Timer { .. })), "{actions:?}");
}

/// Servers that requests are sent to, some of which are slower than others.
fn servers_used(node: &mut TestNode, requests: usize) -> Vec<Option<u32>> {
    let serve = |_| {
        node.advance(20 * MS);
        node.serve(0, |server| (10 + 30 * u64::from(server.0 % 3)) * MS).map(|server| server.0)
    };
    (0..requests).map(serve).collect()
}

/// Guards what was learned: a node that takes other figures goes on as one that did not, where they do not matter.
#[test]
fn what_was_learned_stays_when_figures_change() {
    let mut one = TestNode::new(two_classes(), 6, 3);
    let mut other = TestNode::new(two_classes(), 6, 3);
    assert_eq!(servers_used(&mut one, 400), servers_used(&mut other, 400));
    reconfigure(&mut other, |figures| {
        figures.classes[1].value = 7.0;
        figures.tenants.push(Tenant { quota_per_s: 3.0 });
    });
    assert_eq!(servers_used(&mut one, 400), servers_used(&mut other, 400));
}

/// Guards "all of the old or all of the new": a request under way keeps the attempts that it came with.
#[test]
fn a_request_keeps_the_attempts_that_held_when_it_came() {
    let mut node = TestNode::new(two_classes(), 6, 3);
    let (old, actions) = node.request(0, S);
    let first = sent_to(&actions).unwrap();
    reconfigure(&mut node, |figures| figures.max_attempts = 1);
    let second =
        sent_to(&node.end_attempt(old, 0, first, Status::ConnectFailed, MS)).expect("it may have four");
    assert_ne!(first, second);
    let (new, actions) = node.request(0, S);
    let only = sent_to(&actions).unwrap();
    let actions = node.end_attempt(new, 0, only, Status::ConnectFailed, MS);
    assert_eq!((sent_to(&actions), is_refused(&actions)), (None, true), "it may have one");
}

/// The same of an answer after its aim, which is worth nothing under the old figures.
#[test]
fn a_request_keeps_the_worth_of_a_late_answer_that_held_when_it_came() {
    let mut node = TestNode::new(two_classes(), 6, 3);
    servers_used(&mut node, 400); // what cannot be answered in time is told by what answers have taken
    let (old, actions) = node.request(0, S);
    let old_at = sent_to(&actions).unwrap();
    reconfigure(&mut node, |figures| figures.classes[0].late_value_share = 0.5);
    let (new, actions) = node.request(0, S);
    let new_at = sent_to(&actions).unwrap();
    node.now += 399 * MS; // the aim is 400 ms
    let mut goes_on =
        |id, server| sent_to(&node.end_attempt(id, 0, server, Status::ConnectFailed, 399 * MS)).is_some();
    assert!(!goes_on(old, old_at), "late it is worth nothing");
    assert!(goes_on(new, new_at), "late it is worth a half");
}

#[test]
fn a_tenant_that_is_added_has_its_quota_and_the_others_keep_their_numbers() {
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
