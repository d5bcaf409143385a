//! Upgrades: a second process of a node on the same addresses as the first.

mod common;

use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use common::*;
use serde_json::json;

/// Number of concurrent clients, each of which opens one connection after the other.
const CLIENTS: usize = 4;

/// The kernel resets a connection whose handshake is under way when a listener closes. Each client has one connection at a
/// time, so it may lose one; every other request is served.
#[test]
fn clients_are_served_while_one_node_leaves_the_address_to_another() {
    let server = Server::start(|_| Reply::Write(response(200, "", "pong")));
    let known = [("s", server.address)];
    let (_list_source, discovery) = Discovery::start(&known);
    let mut leaving = RunningNode::start(&config(discovery.address, &known));
    let mut config = config(discovery.address, &known);
    config["listen"] = json!(leaving.address);
    let _staying = RunningNode::start(&config);
    let done = Arc::new(AtomicBool::new(false));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|_| {
            let (done, to) = (done.clone(), leaving.address);
            thread::spawn(move || {
                let (mut served, mut reset) = (0, 0);
                while !done.load(Ordering::Relaxed) {
                    match Client::try_request(to, "read") {
                        Some(answer) => {
                            assert_eq!(answer.status(), 200, "after {served} served");
                            served += 1;
                        }
                        None => reset += 1,
                    }
                }
                (served, reset)
            })
        })
        .collect();
    leaving.stop();
    leaving.join();
    done.store(true, Ordering::Relaxed);
    for client in clients {
        let (served, reset) = client.join().expect("a request got a status other than 200");
        assert!(served > 0 && reset <= 1, "{served} served, {reset} reset");
    }
}

/// Orders of operators apply to both processes during an upgrade and remain in force after it.
#[test]
fn operator_orders_hold_for_both_processes_whichever_receives_them() {
    let (one, two) =
        (Server::start(|_| Reply::Write(response(200, "", "one"))), Server::start(|_| Reply::Hang));
    let known = [("one", one.address), ("two", two.address)];
    let (_list_source, discovery) = Discovery::start(&known);
    let folder = Folder::new("both");
    let mut config = config(discovery.address, &known);
    config["console"] = json!("127.0.0.1:0");
    let mut old = RunningNode::start_in(Some(&folder.0), &config);
    assert_eq!(old.call_console("POST", "/maintenance/enter", r#"{"member":"two"}"#).status(), 200);
    config["listen"] = json!(old.address);
    // The successor starts without servers. Maintenance applies once it learns of them.
    config["known"]["endpoints"] = json!([]);
    let new = RunningNode::start_in(Some(&folder.0), &config);
    new.wait_for("members", 2);
    new.wait_until_ready();
    assert_eq!(new.metric("members_unavailable"), 1);
    assert!(
        (0..20).all(|_| new.request("read").status() == 200),
        "a request was sent to a server in maintenance"
    );
    assert_eq!(new.call_console("POST", "/maintenance/enter", r#"{"member":"one"}"#).status(), 200);
    old.wait_for("members_unavailable", 2);
    assert_eq!(old.call_console("POST", "/maintenance/exit", r#"{"member":"one"}"#).status(), 200);
    new.wait_for("members_unavailable", 1);
    assert_eq!(new.call_console("POST", "/standby", "").status(), 200);
    old.stop();
    old.join();
    let newest = RunningNode::start_in(Some(&folder.0), &config);
    let ready = || {
        let mut client = newest.client();
        client.write("GET /health/ready HTTP/1.1\r\nHost: x\r\n\r\n");
        client.read().expect("a response").status()
    };
    newest.wait_for("members", 2);
    newest.wait_until_ready();
    assert_eq!(
        (newest.call_console("GET", "/status", "").status(), ready()),
        (200, 503),
        "expected a drained process that is able to serve"
    );
    assert_eq!(newest.call_console("POST", "/active", "").status(), 200);
    let begun = Instant::now();
    while ready() != 200 {
        assert!(begun.elapsed() < TIMEOUT, "no process is ready, whichever accepted the connection");
    }
    newest.wait_for("members_unavailable", 1);
}

/// The shared folder cannot be read while the successor starts, and an operator gives it an order in the meantime.
#[test]
fn operator_orders_hold_when_the_folder_is_unreadable_at_start() {
    let (one, two, three) =
        (Server::start(|_| Reply::Hang), Server::start(|_| Reply::Hang), Server::start(|_| Reply::Hang));
    let known = [("one", one.address), ("two", two.address), ("three", three.address)];
    let (_list_source, discovery) = Discovery::start(&known);
    let folder = Folder::new("fails-at-start");
    let away = folder.0.with_extension("away");
    let mut config = config(discovery.address, &known);
    config["console"] = json!("127.0.0.1:0");
    let mut old = RunningNode::start_in(Some(&folder.0), &config);
    assert_eq!(old.call_console("POST", "/maintenance/enter", r#"{"member":"two"}"#).status(), 200);
    old.stop();
    old.join();
    std::fs::rename(&folder.0, &away).unwrap();
    let new = RunningNode::start_in(Some(&folder.0), &config);
    new.wait_for("members", 3);
    assert_eq!(new.call_console("POST", "/maintenance/enter", r#"{"member":"one"}"#).status(), 200);
    std::fs::rename(&away, &folder.0).unwrap();
    new.wait_for("members_unavailable", 2);
}

/// A node process and its address; it is killed on drop.
struct Program(Child, SocketAddr);

impl Program {
    fn start(folder: &Path, name: &str, config: &serde_json::Value) -> Self {
        let path = folder.join(name);
        std::fs::write(&path, config.to_string()).unwrap();
        let mut command = Command::new(env!("CARGO_BIN_EXE_merlinfold"));
        command.env("BALANCER_CONFIG", &path).env("TMPDIR", folder).stderr(Stdio::piped());
        let mut child = command.spawn().unwrap();
        let lines = BufReader::new(child.stderr.take().unwrap());
        let mut lines = lines.lines().map_while(Result::ok);
        let serving = lines.find(|line| line.contains("serving")).expect("the node did not start to serve");
        thread::spawn(move || lines.for_each(drop)); // a full pipe would block the node
        let address = serving.rsplit("address=").next().unwrap().trim().parse().unwrap();
        Program(child, address)
    }

    fn descriptors(&self) -> usize {
        std::fs::read_dir(format!("/proc/{}/fd", self.0.id())).unwrap().count()
    }
}

impl Drop for Program {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// The platform's limit applies to both processes together. The old process is loaded with slow requests when the new one
/// starts, and clients keep connecting to both.
#[test]
fn two_loaded_processes_stay_within_the_socket_limit_of_one() {
    const SOCKETS: usize = 192;
    const SERVERS: usize = 32;
    let names: Vec<String> = (0..SERVERS).map(|n| format!("s{n}")).collect();
    let servers: Vec<Server> = names.iter().map(|_| Server::start(|_| Reply::Hang)).collect();
    let known: Vec<_> = names.iter().zip(&servers).map(|(name, s)| (name.as_str(), s.address)).collect();
    let (_list_source, discovery) = Discovery::start(&known);
    let folder = Folder::new("full");
    let mut config = config(discovery.address, &known);
    config["limits"]["sockets"] = json!(SOCKETS);
    let old = Program::start(&folder.0, "old.json", &config);
    let mut clients = std::collections::VecDeque::new();
    let mut ask = |count| {
        for _ in 0..count {
            let mut client = Client::connect(old.1);
            client.send(request("read", "X-Remaining-Ms: 1500\r\n", "ping").as_bytes());
            clients.push_back(client);
        }
        while clients.len() > 2 * SOCKETS {
            clients.pop_front(); // the client gives up
        }
    };
    ask(SOCKETS / 3);
    let begun = Instant::now();
    while old.descriptors() < SOCKETS / 2 {
        assert!(begun.elapsed() < TIMEOUT, "the old process opened only {} descriptors", old.descriptors());
    }
    config["listen"] = json!(old.1);
    let console = std::net::TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    config["console"] = json!(console);
    let new = Program::start(&folder.0, "new.json", &config);
    let (mut most, mut served) = (0, 0);
    // Runs until the new process has accepted clients, and for 2 s more.
    let mut end = Instant::now() + TIMEOUT;
    while Instant::now() < end {
        most = most.max(old.descriptors() + new.descriptors());
        if new.descriptors() > SOCKETS / 6 && served == 0 {
            served = new.descriptors();
            end = Instant::now() + Duration::from_secs(2);
        }
        ask(2);
        thread::sleep(Duration::from_millis(5));
    }
    assert!(served > 0, "the new process accepted too few clients; {most} descriptors in both");
    assert!(most <= SOCKETS, "{most} of {SOCKETS} descriptors in use");
}
