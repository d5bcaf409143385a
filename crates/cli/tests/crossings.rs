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
