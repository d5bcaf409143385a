//! Tests of the choice of servers without failures, which is Koole's myopic assignment policy (IEEE TAC 44, 1999).

mod common;
use common::*;

use merlinfold_decide::interface::*;

/// Returns the servers of the last `length` of 3,000 requests, one every `gap`, when the node has learned the servers'
/// speeds.
fn server_sequence(speeds: &[f64], gap: Nanos, length: usize) -> Vec<u32> {
    let mut node = TestNode::new(settings(vec![class(Idempotency::Idempotent)]), speeds.len() as u32, 5);
    let mut servers = Vec::new();
    for _ in 0..3_000 {
        node.advance(gap);
        let server = node.serve(0, |s| (S as f64 / 100.0 / speeds[s.0 as usize]) as Nanos);
        servers.push(server.expect("a server is ready").0);
    }
    servers.split_off(servers.len() - length)
}

#[test]
fn equal_speeds_give_round_robin() {
    let servers = server_sequence(&[1.0; 5], 20 * MS, 50);
    for round in servers.windows(5) {
        let mut seen = round.to_vec();
        seen.sort_unstable();
        assert_eq!(seen, [0, 1, 2, 3, 4], "{servers:?}");
    }
}

/// Section 4 of the paper: for lambda 1 and mu 1 and 5 the myopic policy repeats 122.
#[test]
fn two_servers_of_speeds_1_and_5_repeat_122() {
    let servers = server_sequence(&[1.0, 5.0], 10 * MS, 30);
    let start = servers.iter().position(|&s| s == 0).expect("the slow server gets requests");
    for (n, &server) in servers[start..].iter().enumerate() {
        assert_eq!(server, u32::from(n % 3 != 0), "{servers:?}");
    }
}

/// Table 1 of the paper: for lambda 1 and mu 1, 1 and 2 the myopic policy repeats 1323.
#[test]
fn three_servers_of_speeds_1_1_and_2_repeat_1323() {
    let servers = server_sequence(&[1.0, 1.0, 2.0], 10 * MS, 40);
    for window in servers.windows(4) {
        let count = |s| window.iter().filter(|&&w| w == s).count();
        assert_eq!((count(0), count(1), count(2)), (1, 1, 2), "{servers:?}");
    }
}

#[test]
fn a_draining_server_gets_no_requests_and_the_others_equal_shares() {
    let mut node = TestNode::new(settings(vec![class(Idempotency::Idempotent)]), 4, 9);
    for _ in 0..40 {
        node.now += 20 * MS;
        node.serve(0, |_| 10 * MS);
    }
    node.update_servers(ListKind::Partial, vec![ServerEntry { readiness: Readiness::Draining, ..entry(2) }]);
    let servers: Vec<u32> = (0..30)
        .map(|_| {
            node.now += 20 * MS;
            node.serve(0, |_| 10 * MS).expect("three servers are left").0
        })
        .collect();
    assert!(!servers.contains(&2));
    for s in [0, 1, 3] {
        assert_eq!(servers.iter().filter(|&&t| t == s).count(), 10, "{servers:?}");
    }
}

#[test]
fn shares_are_equal_again_after_a_server_joins() {
    let mut node = TestNode::new(settings(vec![class(Idempotency::Idempotent)]), 3, 9);
    for _ in 0..30 {
        node.advance(20 * MS);
        node.serve(0, |_| 10 * MS);
    }
    node.update_servers(ListKind::Partial, vec![entry(3)]);
    for _ in 0..40 {
        node.advance(20 * MS);
        node.serve(0, |_| 10 * MS);
    }
    let mut counts = [0; 4];
    for _ in 0..40 {
        node.advance(20 * MS);
        counts[node.serve(0, |_| 10 * MS).expect("ready").0 as usize] += 1;
    }
    assert_eq!(counts, [10; 4]);
}

#[test]
fn a_single_server_with_a_single_attempt_serves_requests() {
    let node_settings = Settings { max_attempts: 1, ..settings(vec![class(Idempotency::Idempotent)]) };
    let mut node = TestNode::new(node_settings, 1, 2);
    for _ in 0..20 {
        node.advance(20 * MS);
        assert_eq!(node.serve(0, |_| 10 * MS), Some(ServerId(0)));
    }
    let (id, actions) = node.request(0, S);
    let server = sent_to(&actions).expect("sent");
    let end = node.end_attempt(id, 0, server, Status::ConnectFailed, MS);
    assert!(is_refused(&end) && sent_to(&end).is_none());
}
