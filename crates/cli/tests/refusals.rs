//! What a refusal promises, over loopback sockets: a request that is refused has not run, and none of its attempts can.

mod common;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc;
use std::thread;
use std::time::{Duration, Instant};

use common::*;
use serde_json::json;

/// Length of a long body: more than a node buffers.
const LENGTH: usize = 200_000;
/// Long requests that pause: as many as a node with 1 MiB of memory streams at once.
const PAUSING: usize = 4;
/// Time without a byte after which a client gives way to others that wait for memory, and more.
const STILL: Duration = Duration::from_millis(300);

/// Starts a server that answers what it gets whole. It tells of each request its transaction id, and whether it got it
/// whole.
fn start_server() -> (SocketAddr, mpsc::Receiver<(String, bool)>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let (sender, requests) = mpsc::channel();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let sender = sender.clone();
            thread::spawn(move || serve(stream, &sender));
        }
    });
    (address, requests)
}

fn serve(mut stream: TcpStream, sender: &mpsc::Sender<(String, bool)>) {
    loop {
        let head = read_head(&mut stream).to_lowercase();
        let Some(id) = head.lines().find_map(|line| line.strip_prefix("x-txn: ")) else { return };
        let is_whole = stream.read_exact(&mut vec![0; LENGTH]).is_ok();
        let _ = sender.send((id.to_owned(), is_whole));
        if !is_whole || stream.write_all(response(200, "", "done").as_bytes()).is_err() {
            return;
        }
    }
}

fn long_request(id: &str) -> Vec<u8> {
    request_with_id(id, "pay", "", &"x".repeat(LENGTH)).into_bytes()
}

/// Sends a whole long request and returns the status of its answer, if one comes.
fn send_whole(node: SocketAddr) -> Option<u16> {
    let mut client = Client::connect(node);
    client.send(&long_request(&new_transaction_id()));
    client.read().map(|answer| answer.status())
}

/// Guards callers against repeated side effects: a long request whose client paused was refused for others that waited for
/// memory, and still passed on and run when the rest of it came.
#[test]
fn a_long_request_that_gave_way_to_others_never_reaches_its_server_whole() {
    let (server, requests) = start_server();
    let known = [("s", server)];
    let (_list_source, discovery) = Discovery::start(&known);
    let mut config = config(discovery.address, &known);
    config["console"] = json!("127.0.0.1:0");
    config["limits"]["memory_mb"] = json!(1);
    let node = RunningNode::start(&config);
    let paused: Vec<(String, Client, Vec<u8>)> = (0..PAUSING)
        .map(|_| {
            let id = new_transaction_id();
            let mut client = Client::connect(node.address);
            let text = long_request(&id);
            client.send(&text[..text.len() / 2]);
            (id, client, text[text.len() / 2..].to_vec())
        })
        .collect();
    thread::sleep(STILL);
    let (sender, answers) = mpsc::channel();
    for (id, mut client, rest) in paused {
        let sender = sender.clone();
        thread::spawn(move || {
            let status = client.read().map(|answer| answer.status());
            client.send(&rest); // what the network held up
            let _ = sender.send((id, status));
        });
    }
    drop(sender);
    let begun = Instant::now();
    let mut refused = Vec::new();
    while refused.len() < PAUSING {
        assert!(begun.elapsed() < TIMEOUT, "{} of {PAUSING} gave way", refused.len());
        send_whole(node.address);
        refused.extend(answers.try_iter());
    }
    assert!(refused.iter().all(|(_, status)| *status == Some(503)), "{refused:?}");
    for _ in 0..PAUSING {
        let is_refused = |id: &str| refused.iter().any(|(refused, _)| refused == id);
        let (_, is_whole) = std::iter::repeat_with(|| requests.recv_timeout(TIMEOUT).expect("an end"))
            .find(|(id, _)| is_refused(id))
            .expect("the iterator has no end");
        assert!(!is_whole, "a refused request ran");
    }
    // Each of them counts as refused, as its client was told.
    node.wait_for("pending", 0);
    assert!(node.metric("downstream_requests.pay.rejected") >= PAUSING as u64);
}
