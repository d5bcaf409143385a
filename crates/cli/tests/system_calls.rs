//! A node whose system calls fail for a time in the ways that Linux documents.

mod common;
#[path = "common/process.rs"]
mod process;

use std::net::TcpListener;
use std::path::{Path, PathBuf};
use std::process::Command;
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use common::{config, list, response, Client, Discovery, Folder, Reply, Server};
use process::NodeProcess;
use serde_json::{json, Value};

/// Number of requests sent while calls fail.
const REQUESTS: usize = 60;
/// Number of times that a short body is repeated in a long one.
const BODY_REPEATS: usize = 500;
/// Number of clients that wait to be accepted when the node ends.
const WAITING_CLIENTS: usize = 24;
/// Number of connections that each of these clients opens at once.
const CONNECTIONS_PER_CLIENT: usize = 8;
/// Remaining time in milliseconds when a client sends a request.
const REMAINING_MS: u64 = 4_000;
/// Minimum remaining time in milliseconds when the server receives it.
const MIN_REMAINING_AT_SERVER_MS: u64 = 3_000;
/// Successive offsets of the wall clock in seconds.
const WALL_CLOCK_OFFSETS_S: [i64; 5] = [5, -5, 3_600, -3_600, 0];
/// Longest time until a node learns of a change, whatever failed before.
const RECEIVED_WITHIN: Duration = Duration::from_secs(6);

/// Compiles the library that makes calls fail.
fn build_shim(folder: &Path) -> PathBuf {
    let source = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/shim/socket_faults.c");
    let library = folder.join("socket_faults.so");
    let built = Command::new("cc")
        .args(["-shared", "-fPIC", "-O1", "-o"])
        .arg(&library)
        .arg(source)
        .arg("-ldl")
        .status();
    assert!(built.unwrap().success(), "cc could not build the library");
    library
}

/// Kind of fault that the library injects while it is switched on.
#[derive(Clone, Copy)]
enum Faults {
    /// Every third call fails.
    Errors,
    /// Reads and writes transfer a few bytes each, and waits are interrupted.
    ShortTransfers,
    /// The wall clock is stepped.
    WallClock,
}

impl Faults {
    /// The environment variable that names the file whose existence switches these faults on.
    fn variable(self) -> &'static str {
        match self {
            Faults::Errors => "SOCKET_ERRORS",
            Faults::ShortTransfers => "SHORT_TRANSFERS",
            Faults::WallClock => "WALL_CLOCK",
        }
    }
}

/// A node process with the library preloaded.
struct FaultyNode {
    process: NodeProcess,
    switch: PathBuf,
    _folder: Folder,
}

impl FaultyNode {
    fn start(name: &str, config: &Value, faults: Faults) -> Self {
        let folder = Folder::new(&format!("{name}-shim"));
        let (library, switch) = (build_shim(&folder.0), folder.0.join("on"));
        let environment = [("LD_PRELOAD", library.as_os_str()), (faults.variable(), switch.as_os_str())];
        let process = NodeProcess::start_with(name, config, &environment);
        FaultyNode { process, switch, _folder: folder }
    }

    fn start_faults(&self) {
        std::fs::write(&self.switch, "").unwrap();
    }

    /// Sets the offset of the wall clock to the true time, in seconds.
    fn step_wall_clock(&self, seconds: i64) {
        let new = self.switch.with_extension("new");
        std::fs::write(&new, seconds.to_string()).unwrap();
        std::fs::rename(&new, &self.switch).unwrap();
    }

    fn stop_faults(&self) {
        std::fs::remove_file(&self.switch).unwrap();
    }
}

/// Waits until the node asks for changes after this version, which shows that it has received it.
fn await_version(discovery: &Server, version: u64, changed: Instant) {
    let target = format!("index={version}&");
    while !discovery.next_request().start_line.contains(&target) {
        assert!(changed.elapsed() <= RECEIVED_WITHIN, "version {version} was not received");
    }
    assert!(changed.elapsed() <= RECEIVED_WITHIN, "version {version} after {:?}", changed.elapsed());
}

/// Each request gets one final response whatever errors `accept4`, `socket` and `connect` return.
#[test]
fn every_request_is_answered_while_system_calls_fail() {
    let server = Server::start(|_| Reply::WriteAndClose(response(200, "Connection: close\r\n", "pong")));
    let (_list_source, discovery) = Discovery::start(&[("s", server.address)]);
    let mut config = config(discovery.address, &[("s", server.address)]);
    config["settings"]["Limits"]["MaxAttempts"] = 3.into();
    let node = FaultyNode::start("calls-fail", &config, Faults::Errors);
    node.start_faults();
    let mut served = 0;
    for number in 0..REQUESTS {
        let answer = Client::try_request(node.process.address, "read");
        let answer = answer.unwrap_or_else(|| panic!("request {number} was closed without an answer"));
        served += usize::from(answer.status() == 200);
    }
    node.stop_faults();
    assert!(served * 2 > REQUESTS, "{served} of {REQUESTS} were served");
    assert_eq!(Client::try_request(node.process.address, "read").expect("a response").status(), 200);
}

/// A polling node must learn of a change, such as a drain, within 6 s, whichever calls failed when it polled.
#[test]
fn a_list_change_is_received_while_system_calls_fail() {
    let server = Server::start(|_| Reply::Write(response(200, "", "pong")));
    let (list_source, discovery) = Discovery::start(&[("s", server.address)]);
    let mut config = config(discovery.address, &[("s", server.address)]);
    config["settings"]["Discovery"] = "ask".into();
    config["settings"]["Obligations"]["AskWithin"] = 10_000_000_000u64.into();
    let node = FaultyNode::start("asks", &config, Faults::Errors);
    node.start_faults();
    for version in 2..6 {
        let changed = Instant::now();
        list_source.set_answer(version, list(version, &[("s", server.address)]).to_string());
        await_version(&discovery, version, changed);
    }
}

/// During a restart, clients in the accept queue must be served even if `accept4` fails for a time while the node accepts
/// the last of them.
#[test]
fn clients_waiting_to_be_accepted_at_a_stop_are_served_while_accept_fails() {
    let server = Server::start(|_| Reply::Write(response(200, "", "pong")));
    let (_list_source, discovery) = Discovery::start(&[("s", server.address)]);
    let mut node =
        FaultyNode::start("leaves", &config(discovery.address, &[("s", server.address)]), Faults::Errors);
    let request = common::request("read", "X-Remaining-Ms: 4000\r\n", "ping");
    node.start_faults();
    node.process.signal("TERM");
    let clients: Vec<_> = (0..WAITING_CLIENTS)
        .map(|_| {
            let (at, request) = (node.process.address, request.clone());
            thread::spawn(move || {
                let mut asked: Vec<Client> =
                    (0..CONNECTIONS_PER_CLIENT).map(|_| Client::connect(at)).collect();
                asked.iter_mut().for_each(|client| client.send(request.as_bytes()));
                let answer = |client: &mut Client| client.read().map(|answer| answer.status());
                asked.iter_mut().map(answer).collect()
            })
        })
        .collect();
    let answers: Vec<Option<u16>> =
        clients.into_iter().flat_map(|client: JoinHandle<Vec<_>>| client.join().unwrap()).collect();
    assert!(node.process.wait().success());
    let served = answers.iter().filter(|&&status| status == Some(200)).count();
    assert!(answers.iter().all(Option::is_some), "answers: {answers:?}");
    assert!(served * 2 > answers.len(), "{served} of {} were served", answers.len());
}

/// Each request gets one final response however few bytes each call transfers.
#[test]
fn every_request_is_answered_while_reads_and_writes_are_short() {
    let body = "pong".repeat(BODY_REPEATS);
    let response_body = body.clone();
    let server = Server::start(move |_| Reply::Write(response(200, "", &response_body)));
    let (_list_source, discovery) = Discovery::start(&[("s", server.address)]);
    let config = config(discovery.address, &[("s", server.address)]);
    let node = FaultyNode::start("short", &config, Faults::ShortTransfers);
    node.start_faults();
    let mut client = Client::connect(node.process.address);
    for _ in 0..REQUESTS {
        let answer = client.request("read");
        assert_eq!((answer.status(), answer.body.len()), (200, body.len()));
    }
}

/// The rest of a list that arrived in several parts must be read although no further bytes arrive.
#[test]
fn a_list_change_is_received_while_reads_and_writes_are_short() {
    let server = Server::start(|_| Reply::Write(response(200, "", "pong")));
    let (list_source, discovery) = Discovery::start(&[("s", server.address)]);
    let mut config = config(discovery.address, &[("s", server.address)]);
    config["settings"]["Discovery"] = "ask".into();
    config["settings"]["Obligations"]["AskWithin"] = 10_000_000_000u64.into();
    let node = FaultyNode::start("short-lists", &config, Faults::ShortTransfers);
    node.start_faults();
    for version in 2..6 {
        let changed = Instant::now();
        list_source.set_answer(version, list(version, &[("s", server.address)]).to_string());
        await_version(&discovery, version, changed);
    }
}

/// The console must read a call that arrives in several parts.
#[test]
fn the_console_answers_while_reads_and_writes_are_short() {
    let server = Server::start(|_| Reply::Write(response(200, "", "pong")));
    let (_list_source, discovery) = Discovery::start(&[("s", server.address)]);
    let console = TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    let mut config = config(discovery.address, &[("s", server.address)]);
    config["console"] = json!(console);
    let node = FaultyNode::start("short-console", &config, Faults::ShortTransfers);
    node.start_faults();
    let mut client = Client::connect(console);
    client.write(&common::call("GET", "/status", ""));
    assert_eq!(client.read().expect("a response").status(), 200);
}

/// Deadlines and the time limit on list changes must use monotonic time.
#[test]
fn deadlines_and_lists_hold_while_the_wall_clock_is_stepped() {
    let server = Server::start(|_| Reply::Write(response(200, "", "pong")));
    let (list_source, discovery) = Discovery::start(&[("s", server.address)]);
    let mut config = config(discovery.address, &[("s", server.address)]);
    config["settings"]["Discovery"] = "ask".into();
    config["settings"]["Obligations"]["AskWithin"] = 10_000_000_000u64.into();
    let node = FaultyNode::start("steps", &config, Faults::WallClock);
    let mut client = Client::connect(node.process.address);
    for (version, seconds) in (2..).zip(WALL_CLOCK_OFFSETS_S) {
        node.step_wall_clock(seconds);
        let changed = Instant::now();
        list_source.set_answer(version, list(version, &[("s", server.address)]).to_string());
        for _ in 0..REQUESTS {
            assert_eq!(client.request("read").status(), 200, "{seconds} s ahead");
            let remaining: u64 = server.next_request().header("x-remaining-ms").unwrap().parse().unwrap();
            assert!(
                (MIN_REMAINING_AT_SERVER_MS..=REMAINING_MS).contains(&remaining),
                "{remaining} ms left, {seconds} s ahead"
            );
        }
        await_version(&discovery, version, changed);
    }
}
