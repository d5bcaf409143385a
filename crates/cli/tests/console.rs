//! The console of a node for operators, over loopback sockets.

mod common;

use std::thread;

use common::*;
use serde_json::{json, Value};

fn pong() -> Reply {
    Reply::Write(response(200, "", "pong"))
}

fn with_console(discovery: &Server, known: &[(&str, std::net::SocketAddr)]) -> Value {
    let mut config = config(discovery.address, known);
    config["console"] = json!("127.0.0.1:0");
    config
}

#[test]
fn an_invalid_call_gets_an_error_status_with_a_reason_and_changes_nothing() {
    let server = Server::start(|_| pong());
    let (_list_source, discovery) = Discovery::start(&[("s", server.address)]);
    let node = RunningNode::start(&with_console(&discovery, &[("s", server.address)]));
    let enter = "/maintenance/enter";
    let cases = [
        ("GET", "/nothing", "", 404),
        ("GET", "/standby", "", 405),
        ("POST", "/status", "", 405),
        ("POST", enter, "", 400),
        ("POST", enter, "member", 400),
        ("POST", enter, "{}", 400),
        ("POST", enter, r#"{"member":1}"#, 400),
        ("POST", enter, r#"{"member":"nobody"}"#, 404),
        ("POST", "/maintenance/exit", r#"{"member":"nobody"}"#, 404),
        ("POST", enter, &format!(r#"{{"member":"{}"}}"#, "x".repeat(5_000)), 413),
    ];
    for (method, path, body, status) in cases {
        let response = node.call_console(method, path, body);
        let shown = &body[..body.len().min(40)];
        assert_eq!(response.status(), status, "{method} {path} {shown}");
        assert!(status != 405 || response.header("allow").is_some());
        assert!(!response.body.is_empty(), "{method} {path} {shown} got no reason");
    }
    assert_eq!(node.call_console("GET", "/status", "").status(), 200);
    assert_eq!((node.metric("members"), node.metric("members_unavailable")), (1, 0));
    assert_eq!(node.request("read").status(), 200);
}

#[test]
fn open_connections_without_a_call_do_not_block_the_console() {
    let server = Server::start(|_| pong());
    let (_list_source, discovery) = Discovery::start(&[("s", server.address)]);
    let node = RunningNode::start(&with_console(&discovery, &[("s", server.address)]));
    let open_connections: Vec<Client> = (0..100).map(|_| node.console_client()).collect();
    assert_eq!(node.call_console("GET", "/status", "").status(), 200);
    drop(open_connections);
}

/// Entering maintenance is idempotent: one exit ends it however often it was entered. A server that leaves the list and
/// returns is still in maintenance.
#[test]
fn a_server_in_maintenance_gets_no_requests_until_it_is_returned() {
    let (one, two) = (Server::start(|_| pong()), Server::start(|_| Reply::Write(response(200, "", "two"))));
    let both = [("one", one.address), ("two", two.address)];
    let (list_source, discovery) = Discovery::start(&both);
    let node = RunningNode::start(&with_console(&discovery, &both));
    let by = |node: &RunningNode| String::from_utf8(node.request("read").body).unwrap();
    for _ in 0..2 {
        assert_eq!(node.call_console("POST", "/maintenance/enter", r#"{"member":"one"}"#).status(), 200);
    }
    assert_eq!((node.metric("members"), node.metric("members_unavailable")), (2, 1));
    assert!((0..20).all(|_| by(&node) == "two"));
    // The server leaves the list and returns, and is still in maintenance.
    list_source.set_answer(2, list(2, &[("two", two.address)]).to_string());
    node.wait_for("members", 1);
    list_source.set_answer(3, list(3, &both).to_string());
    node.wait_for("members", 2);
    assert!((0..20).all(|_| by(&node) == "two"));
    assert_eq!(node.call_console("POST", "/maintenance/enter", r#"{"member":"two"}"#).status(), 200);
    assert_eq!(node.request("read").status(), 503, "all servers are in maintenance");
    assert_eq!(node.call_console("POST", "/maintenance/exit", r#"{"member":"one"}"#).status(), 200);
    assert_eq!(by(&node), "pong");
}

#[test]
fn every_request_is_counted_once_and_none_stays_pending() {
    let server = Server::start(|request| match request.header("x-do") {
        Some("hang") => Reply::Hang,
        Some("fail") => Reply::WriteAndClose(String::new()),
        _ => pong(),
    });
    let (_list_source, discovery) = Discovery::start(&[("s", server.address)]);
    let node = RunningNode::start(&with_console(&discovery, &[("s", server.address)]));
    for _ in 0..3 {
        assert_eq!(node.request("read").status(), 200);
    }
    let mut failing = node.client();
    failing.write(&request("pay", "X-Do: fail\r\n", ""));
    assert_eq!(failing.read().unwrap().status(), 502);
    let mut leaving = node.client();
    leaving.write(&request("pay", "X-Do: hang\r\n", ""));
    node.wait_for("pending", 1);
    node.wait_for("upstream_requests", 5); // a request is pending before its attempt is sent
    drop(leaving);
    node.wait_for("pending", 0);
    assert_eq!(node.metric("upstream_requests"), 5, "each attempt is counted once");
    let requests = |name| node.metric(&format!("downstream_requests.{name}"));
    assert_eq!((requests("read.completed"), requests("read.rejected"), requests("read.failed")), (3, 0, 0));
    assert_eq!((requests("pay.completed"), requests("pay.rejected"), requests("pay.failed")), (0, 0, 1));
}

/// Standby reports not ready, completes requests under way and closes all connections; `active` reverts it.
#[test]
fn standby_drains_and_active_ends_it() {
    let server = Server::start(|_| pong());
    let (_list_source, discovery) = Discovery::start(&[("s", server.address)]);
    let mut node = RunningNode::start(&with_console(&discovery, &[("s", server.address)]));
    let ready = |node: &RunningNode| {
        let mut client = node.client();
        client.write("GET /health/ready HTTP/1.1\r\nHost: x\r\n\r\n");
        client.read().expect("a response").status()
    };
    let (mut used, mut idle, mut kept) = (node.client(), node.client(), node.client());
    assert_eq!((used.request("read").status(), kept.request("read").status(), ready(&node)), (200, 200, 200));
    for _ in 0..2 {
        assert_eq!(node.call_console("POST", "/standby", "").status(), 200);
    }
    assert_eq!(ready(&node), 503);
    let answer = used.request("read");
    assert_eq!((answer.status(), answer.header("connection")), (200, Some("close")));
    let ends = thread::spawn(move || (used.read().is_none(), idle.read().is_none()));
    assert_eq!(ends.join().unwrap(), (true, true), "connections stayed open");
    assert!(kept.read().is_none(), "an idle connection stayed open");
    assert_eq!(node.request("read").status(), 200, "a new client is still served");
    assert_eq!(node.call_console("GET", "/status", "").status(), 200, "the process runs on");
    assert_eq!(node.call_console("POST", "/active", "").status(), 200);
    assert_eq!(ready(&node), 200);
    let mut kept = node.client();
    assert!((0..3).all(|_| kept.request("read").header("connection").is_none()));
    node.call_console("POST", "/standby", "");
    node.stop();
    node.join();
}
