//! Node processes of a fleet, as `merlinfold fleet` and the console show them.

mod common;
#[path = "common/member.rs"]
mod member;

use std::net::TcpListener;
use std::process::Command;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use common::*;
use member::{free_udp_address, Member};
use serde_json::{json, Value};

/// Time within which a wrong accusation of a node would show in the views of its peers.
const ACCUSATION_TIME: Duration = Duration::from_secs(4);

fn state_of<'a>(view: &'a Value, name: &str) -> &'a str {
    let members = view["members"].as_array().into_iter().flatten();
    members
        .clone()
        .find(|line| line["name"] == name)
        .and_then(|line| line["state"].as_str())
        .unwrap_or("unknown")
}

/// Operators see who is alive, left or dead in the table, in JSON and in the metrics.
#[test]
fn members_are_listed_with_their_state() {
    let folder = Folder::new("fleet-members");
    let seed = free_udp_address();
    let one = Member::start(&folder, "one", "one", seed, seed);
    let mut two = Member::start(&folder, "two", "two", free_udp_address(), seed);
    let three = Member::start(&folder, "three", "three", free_udp_address(), seed);
    let alive = |count: u64| move |view: &Value| view["alive"] == count;
    for member in [&one, &two, &three] {
        let view = member.wait_for("all three are there", alive(3));
        assert_eq!((&view["schema"], &view["majority"]), (&json!(1), &json!(true)));
    }
    let table = String::from_utf8(one.list_members(&[]).stdout).unwrap();
    assert!(
        table.starts_with("one: 3 of 3 alive, 0 suspect; hears most of the fleet\nzone a: 3 alive"),
        "{table}"
    );
    two.signal("TERM");
    assert!(two.child.wait().unwrap().success());
    one.wait_for("two has left", |view| state_of(view, "two") == "left");
    three.signal("KILL");
    let view = one.wait_for("three is dead", |view| state_of(view, "three") == "dead");
    assert_eq!((&view["known"], &view["majority"]), (&json!(2), &json!(false)), "one of two is no majority");
    let mut console = Client::connect(one.console);
    console.write(&call("GET", "/status/metrics", ""));
    let metrics = String::from_utf8(console.read().unwrap().body).unwrap();
    assert!(
        metrics.contains("edge_balancer.fleet_members=1\n")
            && metrics.contains("edge_balancer.fleet_majority=0\n")
    );
    let back = Member::start(&folder, "three", "three", free_udp_address(), seed);
    back.wait_for("it rejoins the fleet", alive(2));
    one.wait_for("and is there again, on another address", |view| state_of(view, "three") == "alive");
}

/// When two processes have one name, the later start according to their disk keeps it. The other logs this and continues
/// to serve.
#[test]
fn of_two_processes_with_one_name_the_earlier_leaves_the_fleet_and_serves_on() {
    let folder = Folder::new("fleet-twins");
    let seed = free_udp_address();
    let one = Member::start(&folder, "one", "one", seed, seed);
    let old = Member::start(&folder, "twin", "twin", free_udp_address(), seed);
    old.wait_for("two are there", |view| view["alive"] == 2);
    let new = Member::start(&folder, "twin", "twin", free_udp_address(), seed); // a later start, by the same disk
    old.wait_for("the old one stands down", |view| view["takes_part"] == false);
    new.wait_for("the new one takes part", |view| view["takes_part"] == true && view["alive"] == 2);
    assert!(old.serves() && new.serves() && one.serves());
    assert!(old.log.lock().unwrap().contains("another process has this name"));
    assert_eq!(state_of(&one.wait_for("one name", |view| view["alive"] == 2), "twin"), "alive");
}

/// During an upgrade both processes share the addresses of the node, and the kernel delivers each datagram to one of them.
/// Clients are served, no peer declares the node dead, and the new process takes over as the member.
#[test]
fn an_upgrade_on_the_same_addresses_keeps_the_node_in_its_fleet() {
    const PEERS: usize = 4;
    let server = Server::start(|_| Reply::Write(response(200, "", "pong")));
    let known = [("s", server.address)];
    let (_list_source, discovery) = Discovery::start(&known);
    let folder = Folder::new("fleet-upgrade");
    let seed = free_udp_address();
    let first = Member::start(&folder, "p0", "p0", seed, seed);
    let others = (1..PEERS)
        .map(|n| Member::start(&folder, &format!("p{n}"), &format!("p{n}"), free_udp_address(), seed));
    let peers: Vec<Member> = [first].into_iter().chain(others).collect();
    let mut shared = config(discovery.address, &known);
    shared["listen"] = json!(TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap());
    let own = free_udp_address();
    let start = || Member::start_as(&folder, "up", "up", own, seed, shared.clone());
    let mut old = start();
    for member in peers.iter().chain([&old]) {
        member.wait_for("all are there", |view| view["alive"] == PEERS + 1);
    }
    let front = old.address;
    let done = Arc::new(AtomicBool::new(false));
    let over = done.clone();
    let asking = thread::spawn(move || {
        let (mut served, mut reset) = (0, 0);
        while !over.load(Ordering::Relaxed) {
            match Client::try_request(front, "read") {
                Some(answer) => {
                    assert_eq!(answer.status(), 200);
                    served += 1;
                }
                None => reset += 1, // a listener closed during the handshake
            }
        }
        (served, reset)
    });
    let before = old.view()["run"].as_u64();
    let new = start();
    new.wait_for("the new one is in", |view| view["alive"] == PEERS + 1 && view["takes_part"] == true);
    old.signal("TERM");
    assert!(old.child.wait().unwrap().success());
    assert!(new.view()["run"].as_u64() > before, "a later start");
    // A peer that suspected the node wrongly would declare it dead within this time.
    let begun = Instant::now();
    while begun.elapsed() < ACCUSATION_TIME {
        for peer in &peers {
            let view = peer.view();
            let is = state_of(&view, "up");
            assert!(matches!(is, "alive" | "suspect"), "{is}: {view:#}");
        }
    }
    for member in peers.iter().chain([&new]) {
        member.wait_for("all are there still", |view| view["alive"] == PEERS + 1);
    }
    done.store(true, Ordering::Relaxed);
    let (served, reset) = asking.join().unwrap();
    assert!(served > 0 && reset <= 1, "{served} served, {reset} reset");
}

#[test]
fn a_missing_fleet_and_an_invalid_fleet_table_are_reported() {
    let folder = Folder::new("fleet-none");
    let (_list_source, discovery) = Discovery::start(&[]);
    let mut config = config(discovery.address, &[]);
    config["console"] = json!("127.0.0.1:0");
    let running = RunningNode::start(&config);
    let answer = running.call_console("GET", "/fleet/members", "");
    assert_eq!(answer.status(), 404);
    assert!(String::from_utf8(answer.body).unwrap().contains("no [fleet]"));
    let toml = folder.0.join("bad.toml");
    std::fs::write(&toml, "[fleet]\ncluster = \"c\"\nlisten = \"nowhere\"\n").unwrap();
    let merlinfold = |arguments: &[&str]| {
        let out = Command::new(env!("CARGO_BIN_EXE_merlinfold")).args(arguments).output().unwrap();
        (out.status.code(), String::from_utf8(out.stderr).unwrap())
    };
    let path = toml.to_str().unwrap();
    for arguments in [&["check", path][..], &["node", "--config", path]] {
        let (code, stderr) = merlinfold(arguments);
        assert_eq!(code, Some(1));
        assert!(stderr.contains("bad.toml:3: fleet.listen"), "{stderr}");
    }
    let (code, stderr) = merlinfold(&["fleet", "members", "--console", "127.0.0.1:9"]);
    assert!(code == Some(1) && stderr.contains("127.0.0.1:9"), "{stderr}");
}
