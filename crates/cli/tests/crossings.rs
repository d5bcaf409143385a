//! Races between a signal, a response, a close or a list and another operation, forced over loopback sockets by what the
//! other side has read or written.

mod common;

use std::io::Read;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{mpsc, Arc, Barrier, Mutex};
use std::time::{Duration, Instant};

use common::*;
use serde_json::Value;
use socket2::{Domain, Socket, Type};

/// Length of a response in bytes: longer than the receive buffer of its client, shorter than that and the node's send
/// buffer together.
const LONG: usize = 160 << 10;

fn ok() -> Reply {
    Reply::Write(response(200, "", "pong"))
}

/// Returns a node configuration with a console, through which a test can wait for a state of the node.
fn with_console(discovery: SocketAddr, known: &[(&str, SocketAddr)]) -> Value {
    let mut config = config(discovery, known);
    config["console"] = "127.0.0.1:0".into();
    config
}

/// A server whose accept queue is full until [`FullServer::accept_next`]: the kernel drops a SYN in the meantime, and the
/// sender repeats it after a second.
struct FullServer {
    listener: TcpListener,
    _filler: TcpStream,
}

impl FullServer {
    fn new() -> Self {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
        socket.bind(&"127.0.0.1:0".parse::<SocketAddr>().unwrap().into()).unwrap();
        socket.listen(0).unwrap();
        let listener = TcpListener::from(socket);
        let filler = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
        FullServer { listener, _filler: filler }
    }

    fn address(&self) -> SocketAddr {
        self.listener.local_addr().unwrap()
    }

    /// Waits until the kernel lists a connection attempt to this server.
    fn wait_for_syn(&self) {
        let (begun, to) = (Instant::now(), format!("0100007F:{:04X}", self.address().port()));
        let connecting = |line: &str| {
            let mut fields = line.split_whitespace().skip(2);
            fields.next() == Some(to.as_str()) && fields.next() == Some("02") // SYN_SENT
        };
        while !std::fs::read_to_string("/proc/net/tcp").unwrap().lines().any(connecting) {
            assert!(begun.elapsed() < TIMEOUT, "no connection attempt");
        }
    }

    /// Empties the accept queue and returns the next connection.
    fn accept_next(&self) -> TcpStream {
        drop(self.listener.accept().unwrap());
        let (stream, _) = self.listener.accept().unwrap();
        stream.set_read_timeout(Some(TIMEOUT)).unwrap();
        stream
    }
}

/// A connection that is established only after its client has left must not carry the request of that client; the next
/// request may use it.
#[test]
fn a_connection_established_after_its_client_left_carries_the_next_request() {
    let full = FullServer::new();
    let (_list_source, discovery) = Discovery::start(&[("s", full.address())]);
    let mut config = with_console(discovery.address, &[("s", full.address())]);
    config["settings"]["Limits"]["ConnectTimeout"] = 4_000_000_000u64.into();
    let node = RunningNode::start(&config);
    let mut leaver = node.client();
    leaver.write(&request("read", "X-Remaining-Ms: 4500\r\n", "of one who leaves"));
    node.wait_for("pending", 1);
    drop(leaver);
    node.wait_for("pending", 0);
    let mut late = full.accept_next();
    let mut next = node.client();
    next.write(&request("read", "X-Remaining-Ms: 4500\r\n", "of the next"));
    // The request arrives on this connection or on a second one, and nothing else arrives on this one.
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
    assert!(!seen.contains("of one who leaves"), "sent for a client that had left: {seen}");
}

/// Bytes after the request hide the end of the stream from a reader that reads one message at a time.
#[test]
fn a_client_that_sent_more_than_its_request_is_noticed_when_it_leaves() {
    let server = Server::start(|_| Reply::Hang);
    let (_list_source, discovery) = Discovery::start(&[("s", server.address)]);
    let node = RunningNode::start(&with_console(discovery.address, &[("s", server.address)]));
    let mut leaver = node.client();
    leaver.write(&(request("read", "X-Remaining-Ms: 4500\r\n", "x") + "GET /rea"));
    server.next_request();
    let gone = Instant::now();
    drop(leaver);
    node.wait_for("pending", 0);
    assert!(
        gone.elapsed() < Duration::from_secs(2),
        "the close was noticed only at the deadline, after {:?}",
        gone.elapsed()
    );
}

/// A connection on which part of a request has arrived is not idle: it gets a response with `Connection: close`.
#[test]
fn a_partly_received_request_is_answered_when_a_stop_closes_idle_connections() {
    let server = Server::start(|_| ok());
    let mut node = RunningNode::in_front_of(&[("s", server.address)]);
    let (mut partial, mut idle) = (node.client(), node.client());
    assert_eq!((partial.request("read").status(), idle.request("read").status()), (200, 200));
    let text = request("read", "X-Remaining-Ms: 3000\r\n", "ping");
    let (first, second) = text.split_at(text.len() / 2);
    partial.write(first);
    node.stop();
    assert!(idle.read().is_none(), "an idle connection is closed");
    partial.write(second);
    let answer = partial.read().expect("a response");
    assert_eq!((answer.status(), answer.header("connection")), (200, Some("close")));
    drop(partial);
    node.join();
}

/// Unread bytes after a request would turn a close into a reset, which discards what the kernel has not yet sent of the
/// response.
#[test]
fn a_close_with_unread_bytes_does_not_reset_the_connection() {
    let (release, released) = mpsc::channel::<()>();
    let released = Mutex::new(released);
    let server = Server::start(move |_| {
        released.lock().unwrap().recv_timeout(TIMEOUT).unwrap();
        Reply::Write(response(200, "", &"y".repeat(LONG)))
    });
    let mut node = RunningNode::in_front_of(&[("s", server.address)]);
    let mut client = TcpStream::connect(node.address).unwrap();
    client.set_read_timeout(Some(TIMEOUT)).unwrap();
    let behind = "x".repeat(256 << 10); // more than the node reads ahead
    std::io::Write::write_all(&mut client, request("read", "X-Remaining-Ms: 4500\r\n", "").as_bytes())
        .unwrap();
    server.next_request();
    std::io::Write::write_all(&mut client, behind.as_bytes()).unwrap();
    node.stop();
    // The node has noticed the stop once it tells a new client to close.
    let mut other = node.client();
    other.write("GET /health/ready HTTP/1.1\r\nHost: x\r\n\r\n");
    while other.read().expect("a response").header("connection") != Some("close") {
        other = node.client();
        other.write("GET /health/ready HTTP/1.1\r\nHost: x\r\n\r\n");
    }
    release.send(()).unwrap();
    drop(other);
    node.join(); // the node has finished with the connection
    let mut got = Vec::new();
    client.read_to_end(&mut got).expect("a response and an orderly close, no reset");
    assert_eq!(got.iter().filter(|&&byte| byte == b'y').count(), LONG, "bytes of the response");
}

/// The platform counts no deadline as longer than 3 s when it kills a stopped node, so a later request needs its final
/// response within that time.
#[test]
fn a_request_after_a_stop_is_answered_before_the_platform_may_kill() {
    let server = Server::start(|request| if request.body == b"hang" { Reply::Hang } else { ok() });
    let mut node = RunningNode::in_front_of(&[("s", server.address)]);
    let mut client = node.client();
    assert_eq!(client.request("read").status(), 200);
    let stopped = Instant::now();
    node.stop();
    while node.request("read").header("connection") != Some("close") {}
    client.write(&request("read", "X-Remaining-Ms: 5000\r\n", "hang"));
    let answer = client.read().expect("a response");
    assert!(matches!(answer.status(), 502 | 503), "{}", answer.status());
    assert!(stopped.elapsed() < Duration::from_millis(3_700), "answered after {:?}", stopped.elapsed());
    drop(client);
    node.join();
}

/// After a restart with pushed lists, the list of the discovery agent applies from the first moment of the process. Early
/// requests wait for it and are routed by it.
#[test]
fn requests_before_the_first_pushed_list_wait_for_it() {
    let (old, new) = (Server::start(|_| ok()), Server::start(|_| ok()));
    let (asked, may_answer) = (Arc::new(Barrier::new(2)), Arc::new(Barrier::new(2)));
    let (at_discovery, text) =
        ((asked.clone(), may_answer.clone()), list(2, &[("new", new.address)]).to_string());
    let discovery = Server::start(move |request| {
        if request.start_line.contains("index=") {
            return Reply::Hang;
        }
        at_discovery.0.wait();
        at_discovery.1.wait();
        Reply::Write(response(200, "", &text))
    });
    let node = RunningNode::start(&config(discovery.address, &[("old", old.address)]));
    asked.wait();
    let mut client = node.client();
    client.write(&request("read", "X-Remaining-Ms: 4500\r\n", ""));
    may_answer.wait();
    assert_eq!(client.read().expect("a response").status(), 200);
    new.next_request();
    assert!(old.events.try_recv().is_err(), "the request went to the server of the outdated configuration");
}

#[test]
fn an_unresponsive_agent_does_not_delay_the_start_for_long() {
    let server = Server::start(|_| ok());
    let discovery = Server::start(|_| Reply::Hang);
    let begun = Instant::now();
    let node = RunningNode::start(&config(discovery.address, &[("s", server.address)]));
    assert_eq!(node.request("read").status(), 200);
    assert!(begun.elapsed() < Duration::from_secs(3), "ready after {:?}", begun.elapsed());
}

/// Idle clients may use all the descriptors of clients while discovery is down. Discovery, the console and the servers have
/// their own, and the first list after the outage is applied.
#[test]
fn idle_clients_that_use_all_descriptors_do_not_block_discovery() {
    let (old, new) = (Server::start(|_| ok()), Server::start(|_| ok()));
    let (list_source, discovery) = Discovery::start(&[("old", old.address)]);
    list_source.set_answer(1, "no list".to_owned()); // each call fails
    let mut config = with_console(discovery.address, &[("old", old.address)]);
    config["limits"]["sockets"] = 64.into();
    config["settings"]["Discovery"] = "ask".into();
    let node = RunningNode::start(&config);
    let mut worker = node.client();
    assert_eq!(worker.request("read").status(), 200);
    let _idle: Vec<Client> = (0..64).map(|_| node.client()).collect();
    let filled = Instant::now();
    list_source.set_answer(2, list(2, &[("new", new.address)]).to_string());
    while node.call_console("GET", "/status/metrics", "").status() != 200 || node.metric("members") != 1 || {
        new.events.try_iter().count() == 0
    } {
        assert!(filled.elapsed() < TIMEOUT, "the new list was not applied");
        let mut client = node.client();
        client.write(&request("read", "X-Remaining-Ms: 4500\r\n", "")); // waits until an idle connection times out
        let _ = client.read();
    }
}

/// A server recognises a repeat only within the lifetime of its key. If the connection is established later, the repeat
/// must not be written.
#[test]
fn a_repeat_is_not_sent_after_its_idempotency_window() {
    let full = FullServer::new();
    let (listed, may_break) = (Arc::new(Barrier::new(2)), Arc::new(Barrier::new(2)));
    let at_server = (listed.clone(), may_break.clone());
    let breaks = Server::start(move |_| {
        at_server.0.wait();
        at_server.1.wait();
        Reply::WriteAndClose(String::new())
    });
    let (list_source, discovery) = Discovery::start(&[("breaks", breaks.address)]);
    let mut config = with_console(discovery.address, &[("breaks", breaks.address)]);
    config["settings"]["Limits"]["ConnectTimeout"] = 4_000_000_000u64.into();
    config["settings"]["Limits"]["MaxAttempts"] = 2.into();
    let class = &mut config["settings"]["Categories"][1];
    class["Semantics"] = "by_key".into();
    class["KeyTtl"] = 300_000_000u64.into();
    let node = RunningNode::start(&config);
    let mut client = node.client();
    client.write(&request("pay", "X-Remaining-Ms: 4500\r\n", "once"));
    listed.wait();
    list_source.set_answer(2, list(2, &[("breaks", breaks.address), ("full", full.address())]).to_string());
    node.wait_for("members", 2);
    may_break.wait();
    full.wait_for_syn();
    let mut late = full.accept_next(); // a second after the first SYN
    late.set_read_timeout(Some(Duration::from_millis(500))).unwrap();
    let mut buffer = [0; 64];
    assert!(!matches!(late.read(&mut buffer), Ok(1..)), "written after its idempotency window");
    let answer = client.read().expect("a response");
    assert_eq!(answer.status(), 503, "every server recognises the repeat, so the client may retry");
}
