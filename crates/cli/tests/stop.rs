//! What a node waits for before it ends: exchanges that no deadline bounds, on loopback sockets.

mod common;

use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc;
use std::thread;
use std::time::{Duration, Instant};

use common::*;
use serde_json::json;

/// Longest deadline of the node's classes.
const DEADLINE: Duration = Duration::from_millis(300);
/// How long the peers rest in the middle of a message: longer than the longest deadline and all margins of a stop, and
/// shorter than the 2 s that a message may rest.
const REST: Duration = Duration::from_millis(1_500);
/// Length of one half of a long body in bytes: more than a node buffers.
const HALF: usize = 1 << 20;

/// Starts a server that handles its only connection with this function.
fn start_server(serve: impl FnOnce(TcpStream) + Send + 'static) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || serve(listener.accept().unwrap().0));
    address
}

/// Starts a node with short deadlines in front of one server.
fn node_in_front_of(server: SocketAddr) -> RunningNode {
    node_with_deadline(server, DEADLINE)
}

fn node_with_deadline(server: SocketAddr, deadline: Duration) -> RunningNode {
    let known = [("s", server)];
    let (_list_source, discovery) = Discovery::start(&known);
    let mut config = config(discovery.address, &known);
    for class in config["settings"]["Categories"].as_array_mut().unwrap() {
        class["Aim"] = json!(deadline.as_nanos() as u64);
        class["GiveUp"] = json!(deadline.as_nanos() as u64);
    }
    RunningNode::start(&config)
}

fn connect(node: &RunningNode) -> TcpStream {
    let stream = TcpStream::connect(node.address).unwrap();
    stream.set_read_timeout(Some(TIMEOUT)).unwrap();
    stream
}

/// Reads for [`REST`] and expects that nothing comes and that the connection stays open.
fn expect_open(stream: &mut TcpStream) {
    stream.set_read_timeout(Some(REST)).unwrap();
    match stream.read(&mut [0]) {
        Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {}
        read => panic!("the node ended or answered the exchange: {read:?}"),
    }
    stream.set_read_timeout(Some(TIMEOUT)).unwrap();
}

/// Guards long responses against a planned restart: a node that was told to end by itself cut them once the longest
/// deadline and a margin had passed, although that deadline does not bound a response that has begun.
#[test]
fn a_stop_waits_for_the_end_of_a_long_response_in_any_framing() {
    let framings = [
        ("Content-Length: 2097152\r\n", ""),
        ("Transfer-Encoding: chunked\r\n", "chunked"),
        ("Connection: close\r\n", ""),
    ];
    for (framing, is_chunked) in framings {
        let (release, released) = mpsc::channel::<()>();
        let server = start_server(move |mut stream| {
            read_head(&mut stream);
            let half = vec![b'a'; HALF];
            let send_half = |stream: &mut TcpStream| match is_chunked {
                "" => stream.write_all(&half),
                _ => write!(stream, "{HALF:x}\r\n")
                    .and_then(|()| stream.write_all(&half))
                    .and_then(|()| stream.write_all(b"\r\n")),
            };
            write!(stream, "HTTP/1.1 200 x\r\n{framing}\r\n").unwrap();
            send_half(&mut stream).unwrap();
            released.recv_timeout(TIMEOUT).unwrap();
            send_half(&mut stream).unwrap();
            if !is_chunked.is_empty() {
                stream.write_all(b"0\r\n\r\n").unwrap();
            }
        });
        let mut node = node_in_front_of(server);
        let mut client = connect(&node);
        // To HTTP/1.0 an answer of unknown length ends with the connection, so its bytes need no decoding.
        let text = request("pay", "", "").replace("HTTP/1.1", "HTTP/1.0");
        client.write_all(text.as_bytes()).unwrap();
        assert!(read_head(&mut client).contains(" 200 "), "{framing}");
        client.read_exact(&mut vec![0; HALF]).unwrap();
        node.stop();
        expect_open(&mut client);
        release.send(()).unwrap();
        let mut rest = Vec::new();
        client.read_to_end(&mut rest).unwrap();
        assert_eq!(rest.len(), HALF, "bytes after the stop, {framing}");
        drop(client);
        node.join();
    }
}

/// Guards long requests against a planned restart: one that is still being sent is passed on to its end and answered.
#[test]
fn a_stop_waits_for_a_long_request_that_is_still_being_sent() {
    let server = start_server(|mut stream| {
        read_head(&mut stream);
        stream.read_exact(&mut vec![0; 2 * HALF]).unwrap();
        stream.write_all(response(200, "", "whole").as_bytes()).unwrap();
    });
    let mut node = node_in_front_of(server);
    let mut client = connect(&node);
    let head = request("pay", "", "").replace("Length: 0", &format!("Length: {}", 2 * HALF));
    client.write_all(head.as_bytes()).unwrap();
    client.write_all(&vec![b'a'; HALF]).unwrap();
    node.stop();
    expect_open(&mut client);
    client.write_all(&vec![b'a'; HALF]).unwrap();
    let mut client = Client::on(client);
    let answer = client.read().expect("a response");
    assert_eq!((answer.status(), answer.body.as_slice()), (200, b"whole".as_slice()));
    assert_eq!(answer.header("connection"), Some("close"));
    drop(client);
    node.join();
}

/// Guards long requests against a planned restart: one that began before it and ends after it waited for its whole time
/// for a server that hangs, and was unanswered when the process was killed.
#[test]
fn a_long_request_that_a_stop_finds_half_sent_is_answered_before_the_kill() {
    let deadline = Duration::from_secs(2);
    let kill_after = deadline + Duration::from_millis(700);
    let (head_sender, head_read) = mpsc::channel();
    let server = start_server(move |mut stream| {
        head_sender.send(read_head(&mut stream)).unwrap();
        let _ = stream.read_to_end(&mut Vec::new()); // never answers
    });
    let mut node = node_with_deadline(server, deadline);
    let mut client = connect(&node);
    let head = request("pay", "", "").replace("Length: 0", &format!("Length: {}", 2 * HALF));
    client.write_all(head.as_bytes()).unwrap();
    client.write_all(&vec![b'a'; HALF]).unwrap();
    head_read.recv_timeout(TIMEOUT).unwrap();
    let stopped = Instant::now();
    node.stop();
    thread::sleep(Duration::from_secs(1)); // so late that its own time ends after the kill
    client.write_all(&vec![b'a'; HALF]).unwrap();
    let answer = Client::on(client.try_clone().unwrap()).read().expect("a response");
    assert_eq!(answer.status(), 502, "it may have run");
    assert!(stopped.elapsed() < kill_after, "answered {:?} after the stop", stopped.elapsed());
    drop(client);
    node.join();
}

/// Guards the end of a process: once nothing is in progress it comes by itself, also while clients keep their end of an
/// answered connection open.
#[test]
fn a_stop_without_exchanges_ends_the_node_although_clients_stay() {
    let server = Server::start(|_| Reply::Write(response(200, "", "pong")));
    let mut node = RunningNode::in_front_of(&[("s", server.address)]);
    let mut clients: Vec<Client> = (0..8).map(|_| node.client()).collect();
    for client in &mut clients {
        assert_eq!(client.request("read").status(), 200);
    }
    let stopped = Instant::now();
    node.stop();
    node.join();
    // The platform kills 0.7 s after the longest deadline, counted as 3 s at most.
    assert!(stopped.elapsed() < Duration::from_millis(3_700), "the node ended after {:?}", stopped.elapsed());
    drop(clients);
}

/// Guards stops against resting connections: one that has carried a long request is closed like any other, and does not
/// count as one on which half a request has arrived.
#[test]
fn a_connection_that_carried_a_long_request_is_idle_afterwards() {
    let server = Server::start(|_| Reply::Write(response(200, "", "pong")));
    let mut node = RunningNode::in_front_of(&[("s", server.address)]);
    let body = "x".repeat(HALF);
    let mut stream = connect(&node);
    stream.write_all(request("pay", "", &body).as_bytes()).unwrap();
    let answer = Client::on(stream.try_clone().unwrap()).read().expect("a response");
    assert_eq!(answer.status(), 200);
    let mut idle = node.client();
    assert_eq!(idle.request("read").status(), 200);
    node.stop();
    assert!(idle.read().is_none(), "an idle connection is closed");
    // Half a request would keep it open for 2 s and more.
    stream.set_read_timeout(Some(Duration::from_secs(1))).unwrap();
    assert_eq!(stream.read(&mut [0]).expect("the connection is closed beside the idle one"), 0);
    drop((idle, stream));
    node.join();
}
