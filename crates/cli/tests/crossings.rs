//! Moments in which a signal, an answer, a close or a list comes between two steps of something else, forced over
//! loopback sockets by what the other side has read or written.

mod common;

use std::io::Read;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{mpsc, Arc, Barrier, Mutex};
use std::time::{Duration, Instant};

use common::*;
use serde_json::Value;
use socket2::{Domain, Socket, Type};

/// Bytes of an answer that does not fit into what its client's kernel takes unread, but into that and the node's.
const LONG: usize = 160 << 10;

fn ok() -> Then {
    Then::Write(answer(200, "", "pong"))
}

/// A node's configuration with a console, so that a test can wait for what the node has noticed.
fn with_console(discovery: SocketAddr, known: &[(&str, SocketAddr)]) -> Value {
    let mut config = config(discovery, known);
    config["console"] = "127.0.0.1:0".into();
    config
}

/// A server whose kernel takes no further connection until [`Full::relieve`]: a SYN that comes meanwhile is dropped, and
/// its sender repeats it after a second.
struct Full {
    listener: TcpListener,
    _filler: TcpStream,
}

impl Full {
    fn new() -> Self {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
        socket.bind(&"127.0.0.1:0".parse::<SocketAddr>().unwrap().into()).unwrap();
        socket.listen(0).unwrap();
        let listener = TcpListener::from(socket);
        let filler = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
        Full { listener, _filler: filler }
    }

    fn address(&self) -> SocketAddr {
        self.listener.local_addr().unwrap()
    }

    /// Waits until somebody is connecting, as the kernel tells it.
    fn wait_for_a_syn(&self) {
        let (begun, to) = (Instant::now(), format!("0100007F:{:04X}", self.address().port()));
        let connecting = |line: &str| {
            let mut fields = line.split_whitespace().skip(2);
            fields.next() == Some(to.as_str()) && fields.next() == Some("02") // SYN_SENT
        };
        while !std::fs::read_to_string("/proc/net/tcp").unwrap().lines().any(connecting) {
            assert!(begun.elapsed() < PATIENCE, "nobody connects");
        }
    }

    /// Makes room, and returns the next connection that comes up.
    fn relieve(&self) -> TcpStream {
        drop(self.listener.accept().unwrap());
        let (stream, _) = self.listener.accept().unwrap();
        stream.set_read_timeout(Some(PATIENCE)).unwrap();
        stream
    }
}

/// Guards servers and the rule on clients that have left: a connection that comes up late for one who is gone carries
/// nothing of theirs; what it brings is the next one's request.
#[test]
fn a_connection_that_comes_up_after_its_client_has_left_carries_the_next_request() {
    let full = Full::new();
    let (_held, discovery) = Discovery::start(&[("s", full.address())]);
    let mut config = with_console(discovery.address, &[("s", full.address())]);
    config["settings"]["Limits"]["ConnectTimeout"] = 4_000_000_000u64.into();
    let node = Running::start(&config);
    let mut leaver = node.client();
    leaver.write(&request("read", "X-Remaining-Ms: 4500\r\n", "of one who leaves"));
    node.wait_for("pending", 1);
    drop(leaver);
    node.wait_for("pending", 0);
    let mut late = full.relieve();
    let mut next = node.client();
    next.write(&request("read", "X-Remaining-Ms: 4500\r\n", "of the next"));
    // It comes on this connection or on one opened beside it, and nothing else comes on either.
    let mut seen = Vec::new();
    late.set_read_timeout(Some(Duration::from_secs(1))).unwrap();
    let mut buffer = [0; 4096];
    while let Ok(length @ 1..) = late.read(&mut buffer) {
        seen.extend_from_slice(&buffer[..length]);
        if seen.ends_with(b"of the next") {
            break;
        }
    }
    let seen = String::from_utf8(seen).unwrap();
    assert!(!seen.contains("of one who leaves"), "sent on for a client that had left: {seen}");
}

/// Guards the same where the client has sent more than its request: the bytes behind it hide its end from a reader that
/// takes one message after the other.
#[test]
fn a_client_that_leaves_behind_more_than_its_request_has_left() {
    let server = Server::start(|_| Then::Hang);
    let (_held, discovery) = Discovery::start(&[("s", server.address)]);
    let node = Running::start(&with_console(discovery.address, &[("s", server.address)]));
    let mut leaver = node.client();
    leaver.write(&(request("read", "X-Remaining-Ms: 4500\r\n", "x") + "GET /rea"));
    server.next_request();
    let gone = Instant::now();
    drop(leaver);
    node.wait_for("pending", 0);
    assert!(
        gone.elapsed() < Duration::from_secs(2),
        "noticed only at its deadline, after {:?}",
        gone.elapsed()
    );
}

/// Guards requests that are on their way when the node begins to close what rests: one of which a part has come is
/// answered, with a close, and not cut off.
#[test]
fn half_a_request_that_has_come_when_a_stop_closes_what_rests_is_answered() {
    let server = Server::start(|_| ok());
    let mut node = Running::before(&[("s", server.address)]);
    let (mut halved, mut resting) = (node.client(), node.client());
    assert_eq!((halved.ask("read").status(), resting.ask("read").status()), (200, 200));
    let text = request("read", "X-Remaining-Ms: 3000\r\n", "ping");
    let (first, second) = text.split_at(text.len() / 2);
    halved.write(first);
    node.stop();
    assert!(resting.read().is_none(), "what rests is closed");
    halved.write(second);
    let answer = halved.read().expect("an answer");
    assert_eq!((answer.status(), answer.header("connection")), (200, Some("close")));
    drop(halved);
    node.join();
}

/// Guards answers: bytes that come behind a request whose answer says close do not turn the close into a reset, with
/// which what the kernel has not yet sent of the answer would go.
#[test]
fn a_close_over_unread_bytes_is_no_reset() {
    let (release, released) = mpsc::channel::<()>();
    let released = Mutex::new(released);
    let server = Server::start(move |_| {
        released.lock().unwrap().recv_timeout(PATIENCE).unwrap();
        Then::Write(answer(200, "", &"y".repeat(LONG)))
    });
    let mut node = Running::before(&[("s", server.address)]);
    let mut client = TcpStream::connect(node.address).unwrap();
    client.set_read_timeout(Some(PATIENCE)).unwrap();
    let behind = "x".repeat(256 << 10); // more than is read ahead
    std::io::Write::write_all(&mut client, request("read", "X-Remaining-Ms: 4500\r\n", "").as_bytes())
        .unwrap();
    server.next_request();
    std::io::Write::write_all(&mut client, behind.as_bytes()).unwrap();
    node.stop();
    // The stop is known to the node once a new client is told to go.
    let mut other = node.client();
    other.write("GET /health/ready HTTP/1.1\r\nHost: x\r\n\r\n");
    while other.read().expect("an answer").header("connection") != Some("close") {
        other = node.client();
        other.write("GET /health/ready HTTP/1.1\r\nHost: x\r\n\r\n");
    }
    release.send(()).unwrap();
    drop(other);
    node.join(); // whatever it does about the connection it has done
    let mut got = Vec::new();
    client.read_to_end(&mut got).expect("an answer and an end, no reset");
    assert_eq!(got.iter().filter(|&&byte| byte == b'y').count(), LONG, "bytes of the answer");
}

/// Guards requests that come after a stop: each has its final answer before the platform's kill may come, which counts
/// no deadline as longer than 3 s.
#[test]
fn what_comes_after_a_stop_is_answered_before_a_kill_may_come() {
    let server = Server::start(|request| if request.body == b"hang" { Then::Hang } else { ok() });
    let mut node = Running::before(&[("s", server.address)]);
    let mut client = node.client();
    assert_eq!(client.ask("read").status(), 200);
    let stopped = Instant::now();
    node.stop();
    while node.ask("read").header("connection") != Some("close") {}
    client.write(&request("read", "X-Remaining-Ms: 5000\r\n", "hang"));
    let answer = client.read().expect("an answer");
    assert!(matches!(answer.status(), 502 | 503), "{}", answer.status());
    assert!(stopped.elapsed() < Duration::from_millis(3_700), "answered after {:?}", stopped.elapsed());
    drop(client);
    node.join();
}

/// Guards a restart where lists are pushed: what the agent holds counts from a process's first moment, so those who come
/// before its first word wait for that, and go where it says.
#[test]
fn who_comes_before_the_first_pushed_list_goes_where_that_list_says() {
    let (old, new) = (Server::start(|_| ok()), Server::start(|_| ok()));
    let (asked, may_answer) = (Arc::new(Barrier::new(2)), Arc::new(Barrier::new(2)));
    let (told, text) = ((asked.clone(), may_answer.clone()), list(2, &[("new", new.address)]).to_string());
    let discovery = Server::start(move |request| {
        if request.start.contains("index=") {
            return Then::Hang;
        }
        told.0.wait();
        told.1.wait();
        Then::Write(answer(200, "", &text))
    });
    let node = Running::start(&config(discovery.address, &[("old", old.address)]));
    asked.wait();
    let mut client = node.client();
    client.write(&request("read", "X-Remaining-Ms: 4500\r\n", ""));
    may_answer.wait();
    assert_eq!(client.read().expect("an answer").status(), 200);
    new.next_request();
    assert!(old.seen.try_recv().is_err(), "it went where only the old file says");
}

/// Guards readiness: an agent that says nothing holds nobody up for longer than a moment.
#[test]
fn an_agent_that_is_silent_at_a_start_does_not_keep_the_node_from_serving() {
    let server = Server::start(|_| ok());
    let discovery = Server::start(|_| Then::Hang);
    let begun = Instant::now();
    let node = Running::start(&config(discovery.address, &[("s", server.address)]));
    assert_eq!(node.ask("read").status(), 200);
    assert!(begun.elapsed() < Duration::from_secs(3), "ready after {:?}", begun.elapsed());
}

/// Guards discovery and operators against a flood: idle clients that fill all their descriptors while discovery is down
/// leave it, the console and the servers theirs, and what discovery says at its return is acted upon.
#[test]
fn idle_clients_that_fill_the_descriptors_do_not_blind_a_node_whose_discovery_is_down() {
    let (old, new) = (Server::start(|_| ok()), Server::start(|_| ok()));
    let (held, discovery) = Discovery::start(&[("old", old.address)]);
    held.tell(1, "no list".to_owned()); // it fails each call
    let mut config = with_console(discovery.address, &[("old", old.address)]);
    config["limits"]["sockets"] = 64.into();
    config["settings"]["Discovery"] = "ask".into();
    let node = Running::start(&config);
    let mut worker = node.client();
    assert_eq!(worker.ask("read").status(), 200);
    let _idle: Vec<Client> = (0..64).map(|_| node.client()).collect();
    let filled = Instant::now();
    held.tell(2, list(2, &[("new", new.address)]).to_string());
    while node.call("GET", "/status/metrics", "").status() != 200 || node.figure("members") != 1 || {
        new.seen.try_iter().count() == 0
    } {
        assert!(filled.elapsed() < PATIENCE, "discovery's word was not acted upon");
        let mut client = node.client();
        client.write(&request("read", "X-Remaining-Ms: 4500\r\n", "")); // waits until an idle one's time is over
        let _ = client.read();
    }
}

/// Guards the window in which a repeat is known: one whose connection comes up after it is not written any more.
#[test]
fn a_repeat_whose_connection_comes_up_after_its_window_is_not_sent() {
    let full = Full::new();
    let (listed, may_break) = (Arc::new(Barrier::new(2)), Arc::new(Barrier::new(2)));
    let told = (listed.clone(), may_break.clone());
    let breaks = Server::start(move |_| {
        told.0.wait();
        told.1.wait();
        Then::WriteAndClose(String::new())
    });
    let (held, discovery) = Discovery::start(&[("breaks", breaks.address)]);
    let mut config = with_console(discovery.address, &[("breaks", breaks.address)]);
    config["settings"]["Limits"]["ConnectTimeout"] = 4_000_000_000u64.into();
    config["settings"]["Limits"]["MaxAttempts"] = 2.into();
    let class = &mut config["settings"]["Categories"][1];
    class["Semantics"] = "by_key".into();
    class["KeyTtl"] = 300_000_000u64.into();
    let node = Running::start(&config);
    let mut client = node.client();
    client.write(&request("pay", "X-Remaining-Ms: 4500\r\n", "once"));
    listed.wait();
    held.tell(2, list(2, &[("breaks", breaks.address), ("full", full.address())]).to_string());
    node.wait_for("members", 2);
    may_break.wait();
    full.wait_for_a_syn();
    let mut late = full.relieve(); // a second after the first SYN
    late.set_read_timeout(Some(Duration::from_millis(500))).unwrap();
    let mut buffer = [0; 64];
    assert!(!matches!(late.read(&mut buffer), Ok(1..)), "written after its window");
    let answer = client.read().expect("an answer");
    assert_eq!(answer.status(), 503, "every server knows the repeat, so it may be asked for again");
}
