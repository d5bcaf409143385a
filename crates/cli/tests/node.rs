//! A whole node over loopback sockets: requests, connections, discovery, signals.

mod common;

use std::io::{BufRead, BufReader};
use std::net::{SocketAddr, TcpListener};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{mpsc, Mutex};
use std::time::Duration;

use common::*;

fn ok() -> Reply {
    Reply::Write(response(200, "", "pong"))
}

/// The node forwards path, body and end-to-end headers, drops hop-by-hop headers and sets the framing itself.
#[test]
fn a_request_and_its_response_pass_unchanged() {
    let server = Server::start(|_| Reply::Write(response(200, "Content-Type: text/odd\r\n", "p\0ng")));
    let node = RunningNode::in_front_of(&[("s", server.address)]);
    let mut client = node.client();
    let extra = "Idempotency-Key: 5c0f\r\nConnection: keep-alive, X-Hop, X-Txn\r\nX-Hop: 1\r\nX-Remaining-Ms: 900\r\n";
    let id = new_transaction_id();
    client.write(&request_with_id(&id, "read", extra, "a\0b"));
    let answer = client.read().unwrap();
    assert_eq!((answer.status(), answer.body.as_slice()), (200, b"p\0ng".as_slice()));
    assert_eq!(answer.header("content-type"), Some("text/odd"));
    let seen = server.next_request();
    assert_eq!(
        (seen.start_line.as_str(), seen.body.as_slice()),
        ("POST /read?sid=7f3a HTTP/1.1", b"a\0b".as_slice())
    );
    assert_eq!(seen.header("x-txn"), Some(id.as_str()));
    assert_eq!(seen.header("idempotency-key"), Some("5c0f"));
    assert_eq!(seen.header("x-hop"), None, "a hop-by-hop header was forwarded");
    let left: u64 = seen.header("x-remaining-ms").unwrap().parse().unwrap();
    assert!(left < 900, "the remaining time was not reduced: {left} ms");
}

/// A request that may have run must count as failed (502), not as refused (503), which invites a repeat.
#[test]
fn an_unsafe_request_is_refused_only_if_it_certainly_never_ran() {
    let closed = TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    let refusing = RunningNode::in_front_of(&[("s", closed)]).request("pay");
    assert_eq!(refusing.status(), 503, "nothing listens, so the request never ran");
    let advice: f64 = refusing.header("retry-after").expect("a Retry-After header").parse().expect("seconds");
    assert!((0.001..=1.5).contains(&advice), "{advice} s, expected at most 1.5 s (MaxRetryAfter)");

    type Case = (&'static str, u16, fn() -> Reply);
    let cases: [Case; 6] = [
        ("turned away", 503, || Reply::Write(response(504, "X-Turned-Away: 1\r\n", ""))),
        ("503 that promises nothing", 502, || Reply::Write(response(503, "", ""))),
        ("error", 502, || Reply::Write(response(500, "X-Turned-Away: 1\r\n", ""))),
        ("reset", 502, || Reply::WriteAndClose(String::new())),
        ("cut head", 502, || Reply::WriteAndClose("HTTP/1.1 200 x\r\nContent-Le".to_owned())),
        ("cut body", 502, || {
            Reply::WriteAndClose("HTTP/1.1 200 x\r\nContent-Length: 9\r\n\r\nhalf".to_owned())
        }),
    ];
    for (name, status, then) in cases {
        let server = Server::start(move |_| then());
        let answer = RunningNode::in_front_of(&[("s", server.address)]).request("pay");
        assert_eq!(answer.status(), status, "{name}");
    }
}

/// A load report that cannot be parsed is ignored; the response that carries it still counts.
#[test]
fn a_malformed_load_report_does_not_affect_its_response() {
    let server =
        Server::start(|_| Reply::Write(response(200, "X-Pressure: TEXT inflight=é, =;\r\n", "pong")));
    let node = RunningNode::in_front_of(&[("s", server.address)]);
    assert_eq!(node.request("read").status(), 200);
    assert_eq!(node.request("read").status(), 200);
}

/// The client gets a response before its deadline. The connection of the attempt is closed, so that a late response on it
/// cannot be taken for that of the next request.
#[test]
fn a_server_that_does_not_answer_costs_one_failure_and_its_connection() {
    let server = Server::start(|request| match request.header("x-remaining-ms").unwrap().parse::<u32>() {
        Ok(..1_000) => Reply::Hang,
        _ => ok(),
    });
    let node = RunningNode::in_front_of(&[("s", server.address)]);
    let mut client = node.client();
    client.write(&request("pay", "X-Remaining-Ms: 900\r\n", ""));
    assert_eq!(client.read().unwrap().status(), 502);
    server.wait_for_close();
    assert_eq!(client.request("pay").status(), 200, "the next response belongs to the next request");
}

/// A request whose client has left must end, or it would hold a slot of the open requests.
#[test]
fn a_request_whose_client_has_left_frees_its_slot() {
    let server = Server::start(|request| if request.body.is_empty() { Reply::Hang } else { ok() });
    let (_list_source, discovery) = Discovery::start(&[("s", server.address)]);
    let mut config = config(discovery.address, &[("s", server.address)]);
    config["settings"]["Limits"]["OpenCap"] = 1.into();
    let node = RunningNode::start(&config);
    let mut leaver = node.client();
    leaver.write(&request("read", "X-Remaining-Ms: 900\r\n", ""));
    server.next_request();
    assert_eq!(node.request("read").status(), 503, "the limit of one open request is reached");
    drop(leaver);
    server.wait_for_close();
    assert_eq!(node.request("read").status(), 200);
}

#[test]
fn successive_requests_reuse_one_connection() {
    let server = Server::start(|_| ok());
    let node = RunningNode::in_front_of(&[("s", server.address)]);
    (0..5).for_each(|_| assert_eq!(node.request("pay").status(), 200));
    let seen: Vec<ServerEvent> = server.events.try_iter().collect();
    assert_eq!(seen.iter().filter(|seen| matches!(seen, ServerEvent::Connection)).count(), 1, "{seen:?}");
}

/// A connection that the server has closed, or on which it sent bytes without a request, must not be reused: an unsafe
/// request sent there would be lost to a reset.
#[test]
fn a_connection_that_ended_or_has_unexpected_bytes_is_not_reused() {
    let closing = Server::start(|_| Reply::WriteAndClose(response(200, "", "pong")));
    let chatty = Server::start(|_| {
        Reply::Write(response(200, "", "pong") + "HTTP/1.1 200 x\r\nContent-Length: 4\r\n\r\nevil")
    });
    for server in [closing, chatty] {
        let node = RunningNode::in_front_of(&[("s", server.address)]);
        for _ in 0..5 {
            let answer = node.request("pay");
            assert_eq!((answer.status(), answer.body.as_slice()), (200, b"pong".as_slice()));
            server.wait_for_close(); // the next request could otherwise race with the close
        }
    }
}

/// Closing an idle connection only at the server's idle timeout would race with the server.
#[test]
fn an_idle_connection_is_retired_before_its_server_would_close_it() {
    let server = Server::start(|_| ok());
    let (_list_source, discovery) = Discovery::start(&[("s", server.address)]);
    let mut config = config(discovery.address, &[("s", server.address)]);
    config["settings"]["Limits"]["ConnIdle"] = 100_000_000.into();
    let node = RunningNode::start(&config);
    assert_eq!(node.request("pay").status(), 200);
    server.wait_for_close();
    assert_eq!(node.request("pay").status(), 200);
}

/// A watch names the version that the node has, a whole list replaces the previous one, and the node fetches the list
/// again after an answer that it cannot read.
#[test]
fn a_new_list_moves_requests_and_an_invalid_one_is_fetched_again() {
    let old = Server::start(|_| Reply::Write(response(200, "", "old")));
    let new = Server::start(|_| Reply::Write(response(200, "", "new")));
    let (list_source, discovery) = Discovery::start(&[("old", old.address)]);
    let node = RunningNode::start(&config(discovery.address, &[("old", old.address)]));
    assert_eq!(node.request("read").body, b"old");
    assert_eq!(discovery.next_request().start_line, "GET /registry/instances HTTP/1.1");
    assert!(discovery.next_request().start_line.starts_with("GET /registry/instances?index=1&wait="));
    list_source.set_answer(
        2,
        r#"{"index":2,"snapshot":true,"endpoints":[{"name":"x","address":"nowhere"}]}"#.to_owned(),
    );
    assert_eq!(discovery.next_request().start_line, "GET /registry/instances HTTP/1.1", "a new watch begins");
    list_source.set_answer(3, list(3, &[("new", new.address)]).to_string());
    while !discovery.next_request().start_line.contains("index=3") {}
    assert_eq!(node.request("read").body, b"new");
}

/// A change that an unanswered watch hides takes effect 6 s after the watch fell silent. Before that, the node must close
/// the watch and ask for the missed changes on a new connection.
#[test]
fn a_watch_without_an_answer_is_closed_and_missed_changes_are_fetched() {
    let (old, new) = (Server::start(|_| ok()), Server::start(|_| ok()));
    let (first, second) = (list(1, &[("old", old.address)]), list(2, &[("new", new.address)]));
    let silent = AtomicUsize::new(0);
    let discovery = Server::start(move |request| match &request.start_line {
        line if line.contains("index=2") => Reply::Hang,
        line if line.contains("index=1&wait=0") => Reply::Write(response(200, "", &second.to_string())),
        line if line.contains("index=1") => {
            silent.fetch_add(1, Ordering::Relaxed);
            Reply::Hang
        }
        _ => Reply::Write(response(200, "", &first.to_string())),
    });
    let node = RunningNode::start(&config(discovery.address, &[("old", old.address)]));
    while !discovery.next_request().start_line.contains("index=1&wait=2000") {}
    let begun = std::time::Instant::now();
    assert!(
        discovery.next_request().start_line.contains("index=1&wait=0"),
        "the node asks only for the missed changes"
    );
    while !discovery.next_request().start_line.contains("index=2") {}
    assert!(begun.elapsed() < Duration::from_millis(5_000), "{:?} of 6 s", begun.elapsed());
    assert_eq!(node.request("read").status(), 200);
    new.next_request();
}

/// A drain takes effect once discovery has written it, also on a call that the node has given up.
#[test]
fn an_answer_that_arrives_after_its_call_was_given_up_is_applied() {
    let (old, new) = (Server::start(|_| ok()), Server::start(|_| ok()));
    let (first, second) = (list(1, &[("old", old.address)]), list(2, &[("new", new.address)]));
    let (late, given_up) = (mpsc::channel::<()>(), mpsc::channel::<()>());
    let (late, given_up) = ((Mutex::new(late.0), Mutex::new(late.1)), given_up);
    let (late_answer_sender, late_answer) = (Mutex::new(given_up.0), given_up.1);
    let discovery = Server::start(move |request| match &request.start_line {
        line if line.contains("index=2") => Reply::Hang,
        line if line.contains("index=1&wait=0") => {
            // This is the call for missed changes: it gets no answer, and the watch is answered now.
            late.0.lock().unwrap().send(()).unwrap();
            Reply::Hang
        }
        line if line.contains("index=1") => {
            late.1.lock().unwrap().recv_timeout(TIMEOUT).unwrap();
            late_answer_sender.lock().unwrap().send(()).unwrap();
            Reply::Write(response(200, "", &second.to_string()))
        }
        _ => Reply::Write(response(200, "", &first.to_string())),
    });
    let node = RunningNode::start(&config(discovery.address, &[("old", old.address)]));
    late_answer.recv_timeout(TIMEOUT).unwrap();
    let begun = std::time::Instant::now();
    // Only the late answer contains the new server.
    while node.request("read").status() != 200 || new.events.try_iter().count() == 0 {
        assert!(begun.elapsed() < Duration::from_millis(1_000), "the late answer was not applied");
    }
}

/// Invalid input must neither end the node nor be forwarded as a request.
#[test]
fn invalid_requests_get_an_error_status_and_the_node_goes_on() {
    let server = Server::start(|_| ok());
    let node = RunningNode::in_front_of(&[("s", server.address)]);
    let id = new_transaction_id();
    let good = request_with_id(&id, "read", "", "x");
    let cases = [
        (good.replace(&format!("X-Txn: {id}\r\n"), ""), 400),
        (good.replace(&id, "9B1F"), 400),
        (request("nothing", "", ""), 404),
        (request("read", "", &"x".repeat((64 << 10) + 1)), 200),
        ("NONSENSE\r\n\r\n".to_owned(), 400),
        (request("read", "X-Org: nobody\r\nX-Remaining-Ms: soon\r\nX-Estimate: -1\r\n", "x"), 200),
        (request("read", "X-Remaining-Ms: 18446744073709551615\r\n", "x"), 200),
        ("GET /health/ready HTTP/1.1\r\nHost: x\r\n\r\n".to_owned(), 200),
        ("GET /health/live HTTP/1.1\r\nHost: x\r\n\r\n".to_owned(), 404),
        (good, 200),
    ];
    for (text, status) in cases {
        let mut client = node.client();
        client.write(&text);
        assert_eq!(client.read().expect("a response").status(), status, "{}", &text[..text.len().min(200)]);
    }
}

/// More clients than the socket limit admits must wait to be accepted, and the accept loop must go on.
#[test]
fn clients_beyond_the_socket_limit_wait_and_are_served() {
    let server = Server::start(|_| ok());
    let (_list_source, discovery) = Discovery::start(&[("s", server.address)]);
    let mut config = config(discovery.address, &[("s", server.address)]);
    config["limits"]["sockets"] = 64.into();
    let node = RunningNode::start(&config);
    let mut clients: Vec<Client> = (0..40).map(|_| node.client()).collect();
    // Few descriptors are left, so each client is told to close after its response, which makes room for the next.
    for client in &mut clients {
        let answer = client.request("read");
        assert_eq!((answer.status(), answer.header("connection")), (200, Some("close")));
    }
}

/// During a planned restart, accepted requests are answered, new clients are still served for a while, all connections are
/// told to close, and the node then ends.
#[test]
fn a_stop_answers_all_accepted_requests_and_then_ends_the_node() {
    let (release, released) = std::sync::mpsc::channel();
    let released = std::sync::Mutex::new(released);
    let server = Server::start(move |request| {
        if request.body == b"slow" {
            released.lock().unwrap().recv().unwrap();
        }
        ok()
    });
    let mut node = RunningNode::in_front_of(&[("s", server.address)]);
    let (mut slow, mut idle) = (node.client(), node.client());
    slow.write(&request("read", "", "slow"));
    server.next_request();
    node.stop();
    let answer = loop {
        // The node notices the stop after a short time.
        let answer = node.request("read");
        assert_eq!(answer.status(), 200, "new clients are still served");
        if answer.header("connection") == Some("close") {
            break answer;
        }
    };
    assert_eq!(answer.body, b"pong");
    release.send(()).unwrap();
    let answer = slow.read().unwrap();
    assert_eq!((answer.status(), answer.header("connection")), (200, Some("close")));
    assert!(idle.read().is_none(), "an idle connection is closed");
    node.join();
}

fn program(config: &str) -> (Command, std::path::PathBuf) {
    static NEXT: AtomicUsize = AtomicUsize::new(0);
    let path = std::env::temp_dir().join(format!(
        "merlinfold-{}-{}.json",
        std::process::id(),
        NEXT.fetch_add(1, Ordering::Relaxed)
    ));
    std::fs::write(&path, config).unwrap();
    let mut command = Command::new(env!("CARGO_BIN_EXE_merlinfold"));
    command.env("BALANCER_CONFIG", &path).env_remove("TMPDIR").stderr(Stdio::piped());
    (command, path)
}

/// The error is one line that names the missing field, and the exit code reports failure.
#[test]
fn a_missing_field_ends_the_start_with_the_field_named() {
    let nowhere = "127.0.0.1:9".parse().unwrap();
    for (field, pointer) in [
        ("listen", ""),
        ("sockets", "/limits"),
        ("ConnIdle", "/settings/Limits"),
        ("Aim", "/settings/Categories/0"),
    ] {
        let mut config = config(nowhere, &[]);
        config.pointer_mut(pointer).unwrap().as_object_mut().unwrap().remove(field);
        let (mut command, path) = program(&config.to_string());
        let output = command.output().unwrap();
        std::fs::remove_file(path).unwrap();
        let line = String::from_utf8(output.stderr).unwrap();
        assert!(
            !output.status.success() && line.lines().count() == 1 && line.contains(field),
            "{field}: {line}"
        );
    }
}

fn start(command: &mut Command) -> (Child, SocketAddr) {
    let mut child = command.spawn().unwrap();
    let mut line = String::new();
    BufReader::new(child.stderr.take().unwrap()).read_line(&mut line).unwrap();
    (child, line.trim_end().rsplit("address=").next().unwrap().parse().unwrap())
}

fn signal(child: &Child, name: &str) {
    let kill = Command::new("sh").arg("-c").arg(format!("kill -{name} {}", child.id())).status().unwrap();
    assert!(kill.success());
}

/// The deadline of a request that waited unread counts from the start of the suspension; otherwise the server and the
/// client would be promised time that has passed.
#[test]
fn time_during_which_the_node_is_suspended_counts_against_the_deadline() {
    let server = Server::start(|_| ok());
    let (_list_source, discovery) = Discovery::start(&[("s", server.address)]);
    let (mut command, path) = program(&config(discovery.address, &[("s", server.address)]).to_string());
    let (mut child, address) = start(&mut command);
    let mut client = Client::connect(address);
    assert_eq!(client.request("read").status(), 200);
    server.next_request();
    signal(&child, "STOP");
    client.write(&request("read", "X-Remaining-Ms: 4500\r\n", ""));
    std::thread::sleep(Duration::from_secs(1));
    signal(&child, "CONT");
    assert_eq!(client.read().unwrap().status(), 200);
    let left: u64 = server.next_request().header("x-remaining-ms").unwrap().parse().unwrap();
    child.kill().unwrap();
    child.wait().unwrap();
    std::fs::remove_file(path).unwrap();
    assert!(left < 3_600, "{left} ms promised of 4,500 after 1,000 were lost");
}

/// SIGTERM ends the program with exit code 0, even if its log pipe has no reader any more.
#[test]
fn the_program_serves_and_exits_with_0_on_sigterm() {
    let server = Server::start(|_| ok());
    let (_list_source, discovery) = Discovery::start(&[("s", server.address)]);
    let (mut command, path) = program(&config(discovery.address, &[("s", server.address)]).to_string());
    let (mut child, address) = start(&mut command);
    assert_eq!(Client::connect(address).request("read").status(), 200);
    signal(&child, "TERM");
    let started = std::time::Instant::now();
    assert!(child.wait().unwrap().success());
    assert!(started.elapsed() < Duration::from_secs(5), "the stop took longer than the longest deadline");
    std::fs::remove_file(path).unwrap();
}

/// SIGHUP moves the watch to the new discovery, an invalid file changes nothing, and the program serves all the time.
#[test]
fn sighup_moves_to_the_new_discovery_and_ignores_an_invalid_file() {
    let (old, new) = (Server::start(|_| ok()), Server::start(|_| Reply::Write(response(200, "", "new"))));
    let (_list_source, before) = Discovery::start(&[("old", old.address)]);
    let (list_source, after) = Discovery::start(&[("new", new.address)]);
    for mode in ["push", "ask"] {
        let mut config = config(before.address, &[("old", old.address)]);
        config["settings"]["Discovery"] = mode.into();
        let (mut command, path) = program(&config.to_string());
        let (mut child, address) = start(&mut command);
        let mut client = Client::connect(address);
        assert_eq!(client.request("read").body, b"pong");
        config["discovery"] = after.address.to_string().into();
        config["settings"]["Limits"].as_object_mut().unwrap().remove("ConnIdle");
        for broken in ["{\"name\": \"n0\", ", &config.to_string()] {
            std::fs::write(&path, broken).unwrap();
            signal(&child, "HUP");
            assert_eq!(client.request("read").body, b"pong");
        }
        config["settings"]["Limits"]["ConnIdle"] = 30_000_000_000u64.into();
        std::fs::write(&path, config.to_string()).unwrap();
        signal(&child, "HUP");
        assert_eq!(after.next_request().start_line, "GET /registry/instances HTTP/1.1", "{mode}");
        while !after.next_request().start_line.contains("index=1") {}
        assert_eq!(client.request("read").body, b"new", "{mode}");
        signal(&child, "TERM");
        assert!(child.wait().unwrap().success(), "{mode}");
        std::fs::remove_file(path).unwrap();
        while after.events.try_recv().is_ok() {}
    }
    drop(list_source);
}

/// A second SIGTERM, or one while the configuration is being read again, must not change the stop that has begun;
/// accepted requests get their whole response.
#[test]
fn overlapping_signals_leave_accepted_requests_their_response() {
    for signals in [["TERM", "TERM", "HUP"], ["HUP", "TERM", "TERM"], ["TERM", "HUP", "TERM"]] {
        let (release, released) = mpsc::channel::<()>();
        let released = Mutex::new(released);
        let server = Server::start(move |request| {
            if request.body == b"slow" {
                released.lock().unwrap().recv_timeout(TIMEOUT).unwrap();
            }
            ok()
        });
        let (_list_source, discovery) = Discovery::start(&[("s", server.address)]);
        let (mut command, path) = program(&config(discovery.address, &[("s", server.address)]).to_string());
        let (mut child, address) = start(&mut command);
        let mut slow = Client::connect(address);
        slow.write(&request("read", "X-Remaining-Ms: 4000\r\n", "slow"));
        server.next_request();
        signals.iter().for_each(|name| signal(&child, name));
        // Requests are served before and after the node notices the signals.
        while Client::connect(address).request("read").header("connection") != Some("close") {}
        release.send(()).unwrap();
        let answer = slow.read().expect("a response");
        assert_eq!((answer.status(), answer.body.as_slice()), (200, b"pong".as_slice()), "{signals:?}");
        assert_eq!(answer.header("connection"), Some("close"), "{signals:?}");
        drop(slow);
        assert!(child.wait().unwrap().success(), "{signals:?}");
        std::fs::remove_file(path).unwrap();
    }
}
