//! What operators reach through the console of a node, over loopback sockets.

mod common;

use std::thread;

use common::*;
use serde_json::{json, Value};

fn pong() -> Then {
    Then::Write(answer(200, "", "pong"))
}

fn with_console(discovery: &Server, known: &[(&str, std::net::SocketAddr)]) -> Value {
    let mut config = config(discovery.address, known);
    config["console"] = json!("127.0.0.1:0");
    config
}

/// Guards that calls which make no sense are told what is wrong with them, and change nothing.
#[test]
fn a_bad_call_is_answered_in_kind_and_changes_nothing() {
    let server = Server::start(|_| pong());
    let (_told, discovery) = Discovery::start(&[("s", server.address)]);
    let node = Running::start(&with_console(&discovery, &[("s", server.address)]));
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
        let said = node.call(method, path, body);
        let shown = &body[..body.len().min(40)];
        assert_eq!(said.status(), status, "{method} {path} {shown}");
        assert!(status != 405 || said.header("allow").is_some());
        assert!(!said.body.is_empty(), "{method} {path} {shown} is not told why");
    }
    assert_eq!(node.call("GET", "/status", "").status(), 200);
    assert_eq!((node.figure("members"), node.figure("members_unavailable")), (1, 0));
    assert_eq!(node.ask("read").status(), 200);
}

/// Guards that the console answers while callers sit on it, however many.
#[test]
fn callers_who_finish_no_call_keep_nobody_out() {
    let server = Server::start(|_| pong());
    let (_told, discovery) = Discovery::start(&[("s", server.address)]);
    let node = Running::start(&with_console(&discovery, &[("s", server.address)]));
    let sitting: Vec<Client> = (0..100).map(|_| node.caller()).collect();
    assert_eq!(node.call("GET", "/status", "").status(), 200);
    drop(sitting);
}

/// Guards a server that was taken out, by one call through several that mean the same, until one call back.
#[test]
fn a_server_taken_out_gets_nothing_until_it_is_put_back() {
    let (one, two) = (Server::start(|_| pong()), Server::start(|_| Then::Write(answer(200, "", "two"))));
    let both = [("one", one.address), ("two", two.address)];
    let (told, discovery) = Discovery::start(&both);
    let node = Running::start(&with_console(&discovery, &both));
    let by = |node: &Running| String::from_utf8(node.ask("read").body).unwrap();
    for _ in 0..2 {
        assert_eq!(node.call("POST", "/maintenance/enter", r#"{"member":"one"}"#).status(), 200);
    }
    assert_eq!((node.figure("members"), node.figure("members_unavailable")), (2, 1));
    assert!((0..20).all(|_| by(&node) == "two"));
    // Gone from the list and back: it is out as before.
    told.tell(2, list(2, &[("two", two.address)]).to_string());
    node.wait_for("members", 1);
    told.tell(3, list(3, &both).to_string());
    node.wait_for("members", 2);
    assert!((0..20).all(|_| by(&node) == "two"));
    assert_eq!(node.call("POST", "/maintenance/enter", r#"{"member":"two"}"#).status(), 200);
    assert_eq!(node.ask("read").status(), 503, "all are out");
    assert_eq!(node.call("POST", "/maintenance/exit", r#"{"member":"one"}"#).status(), 200);
    assert_eq!(by(&node), "pong");
}

/// Guards the figures: whatever becomes of a request, it is counted once, and none is left pending.
#[test]
fn every_request_is_counted_once() {
    let server = Server::start(|request| match request.header("x-do") {
        Some("hang") => Then::Hang,
        Some("fail") => Then::WriteAndClose(String::new()),
        _ => pong(),
    });
    let (_told, discovery) = Discovery::start(&[("s", server.address)]);
    let node = Running::start(&with_console(&discovery, &[("s", server.address)]));
    for _ in 0..3 {
        assert_eq!(node.ask("read").status(), 200);
    }
    let mut failing = node.client();
    failing.write(&request("pay", "X-Do: fail\r\n", ""));
    assert_eq!(failing.read().unwrap().status(), 502);
    let mut leaving = node.client();
    leaving.write(&request("pay", "X-Do: hang\r\n", ""));
    node.wait_for("pending", 1);
    assert_eq!(node.figure("upstream_requests"), 5);
    drop(leaving);
    node.wait_for("pending", 0);
    let of = |name| node.figure(&format!("downstream_requests.{name}"));
    assert_eq!((of("read.completed"), of("read.rejected"), of("read.failed")), (3, 0, 0));
    assert_eq!((of("pay.completed"), of("pay.rejected"), of("pay.failed")), (0, 0, 1));
}

/// Guards the drain: readiness says no, what is under way ends, no connection stays open, and `active` undoes it.
#[test]
fn standby_drains_and_active_ends_it() {
    let server = Server::start(|_| pong());
    let (_told, discovery) = Discovery::start(&[("s", server.address)]);
    let mut node = Running::start(&with_console(&discovery, &[("s", server.address)]));
    let ready = |node: &Running| {
        let mut front = node.client();
        front.write("GET /health/ready HTTP/1.1\r\nHost: x\r\n\r\n");
        front.read().expect("an answer").status()
    };
    let (mut used, mut idle, mut kept) = (node.client(), node.client(), node.client());
    assert_eq!((used.ask("read").status(), kept.ask("read").status(), ready(&node)), (200, 200, 200));
    for _ in 0..2 {
        assert_eq!(node.call("POST", "/standby", "").status(), 200);
    }
    assert_eq!(ready(&node), 503);
    let answer = used.ask("read");
    assert_eq!((answer.status(), answer.header("connection")), (200, Some("close")));
    let ends = thread::spawn(move || (used.read().is_none(), idle.read().is_none()));
    assert_eq!(ends.join().unwrap(), (true, true), "connections stayed open");
    assert!(kept.read().is_none(), "it had no request any more");
    assert_eq!(node.ask("read").status(), 200, "who comes all the same is served");
    assert_eq!(node.call("GET", "/status", "").status(), 200, "the process runs on");
    assert_eq!(node.call("POST", "/active", "").status(), 200);
    assert_eq!(ready(&node), 200);
    let mut kept = node.client();
    assert!((0..3).all(|_| kept.ask("read").header("connection").is_none()));
    node.call("POST", "/standby", "");
    node.stop();
    node.join();
}
