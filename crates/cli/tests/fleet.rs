//! Processes of the program that take part in a fleet, seen through its own command.

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
use member::{datagrams, Member};
use serde_json::{json, Value};

/// In which a node that was held gone would be seen to be.
const SOON: Duration = Duration::from_secs(4);

fn state_of<'a>(view: &'a Value, name: &str) -> &'a str {
    let members = view["members"].as_array().into_iter().flatten();
    members
        .clone()
        .find(|line| line["name"] == name)
        .and_then(|line| line["state"].as_str())
        .unwrap_or("unknown")
}

/// Guards what operators read: who is there, who left, who died, in a table and as JSON, and the figures.
#[test]
fn members_are_listed_with_what_became_of_them() {
    let folder = Folder::new("fleet-members");
    let seed = datagrams();
    let one = Member::start(&folder, "one", "one", seed, seed);
    let mut two = Member::start(&folder, "two", "two", datagrams(), seed);
    let three = Member::start(&folder, "three", "three", datagrams(), seed);
    let alive = |count: u64| move |view: &Value| view["alive"] == count;
    for member in [&one, &two, &three] {
        let view = member.wait_for("all three are there", alive(3));
        assert_eq!((&view["schema"], &view["majority"]), (&json!(1), &json!(true)));
    }
    let table = String::from_utf8(one.ask(&[]).stdout).unwrap();
    assert!(
        table.starts_with("one: 3 of 3 alive, 0 suspect; hears most of the fleet\nzone a: 3 alive"),
        "{table}"
    );
    two.signal("TERM");
    assert!(two.child.wait().unwrap().success());
    one.wait_for("two has left", |view| state_of(view, "two") == "left");
    three.signal("KILL");
    let view = one.wait_for("three is dead", |view| state_of(view, "three") == "dead");
    assert_eq!((&view["known"], &view["majority"]), (&json!(2), &json!(false)), "one of two is not most");
    let mut console = Client::connect(one.console);
    console.write(&call("GET", "/status/metrics", ""));
    let figures = String::from_utf8(console.read().unwrap().body).unwrap();
    assert!(
        figures.contains("edge_balancer.fleet_members=1\n")
            && figures.contains("edge_balancer.fleet_majority=0\n")
    );
    let back = Member::start(&folder, "three", "three", datagrams(), seed);
    back.wait_for("it finds the fleet again", alive(2));
    one.wait_for("and is there again, on another address", |view| state_of(view, "three") == "alive");
}

/// Guards a name that two processes have: the later start by its disk keeps it, the other says so and serves on.
#[test]
fn of_two_processes_with_one_name_one_stands_down_and_serves_on() {
    let folder = Folder::new("fleet-twins");
    let seed = datagrams();
    let one = Member::start(&folder, "one", "one", seed, seed);
    let old = Member::start(&folder, "twin", "twin", datagrams(), seed);
    old.wait_for("two are there", |view| view["alive"] == 2);
    let new = Member::start(&folder, "twin", "twin", datagrams(), seed); // the same disk: a later start
    old.wait_for("the old one stands down", |view| view["takes_part"] == false);
    new.wait_for("the new one takes part", |view| view["takes_part"] == true && view["alive"] == 2);
    assert!(old.serves() && new.serves() && one.serves());
    assert!(old.log.lock().unwrap().contains("another process has this name"));
    assert_eq!(state_of(&one.wait_for("one name", |view| view["alive"] == 2), "twin"), "alive");
}

/// Guards an upgrade of a node that takes part in a fleet: both processes have its addresses for a while, so that the
/// kernel deals what comes to one or the other. Clients are served, nobody holds the node dead, and the new one is it.
#[test]
fn an_upgrade_on_the_same_addresses_keeps_the_node_in_its_fleet() {
    const PEERS: usize = 4;
    let server = Server::start(|_| Then::Write(answer(200, "", "pong")));
    let known = [("s", server.address)];
    let (_told, discovery) = Discovery::start(&known);
    let folder = Folder::new("fleet-upgrade");
    let seed = datagrams();
    let first = Member::start(&folder, "p0", "p0", seed, seed);
    let others =
        (1..PEERS).map(|n| Member::start(&folder, &format!("p{n}"), &format!("p{n}"), datagrams(), seed));
    let peers: Vec<Member> = [first].into_iter().chain(others).collect();
    let mut shared = config(discovery.address, &known);
    shared["listen"] = json!(TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap());
    let own = datagrams();
    let start = || Member::start_as(&folder, "up", "up", own, seed, shared.clone());
    let mut old = start();
    for member in peers.iter().chain([&old]) {
        member.wait_for("all are there", |view| view["alive"] == PEERS + 1);
    }
    let front = old.address;
    let done = Arc::new(AtomicBool::new(false));
    let over = done.clone();
    let asking = thread::spawn(move || {
        let (mut served, mut turned_back) = (0, 0);
        while !over.load(Ordering::Relaxed) {
            match Client::try_ask(front, "read") {
                Some(answer) => {
                    assert_eq!(answer.status(), 200);
                    served += 1;
                }
                None => turned_back += 1, // the moment in which a listener closes
            }
        }
        (served, turned_back)
    });
    let before = old.view()["run"].as_u64();
    let new = start();
    new.wait_for("the new one is in", |view| view["alive"] == PEERS + 1 && view["takes_part"] == true);
    old.signal("TERM");
    assert!(old.child.wait().unwrap().success());
    assert!(new.view()["run"].as_u64() > before, "a later start");
    // Whoever had thought it gone would say so by now or soon: an accusation takes seconds at most.
    let begun = Instant::now();
    while begun.elapsed() < SOON {
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
    let (served, turned_back) = asking.join().unwrap();
    assert!(served > 0 && turned_back <= 1, "{served} served, {turned_back} turned back");
}

#[test]
fn a_node_without_a_fleet_and_a_fault_in_its_table_are_named() {
    let folder = Folder::new("fleet-none");
    let (_told, discovery) = Discovery::start(&[]);
    let mut config = config(discovery.address, &[]);
    config["console"] = json!("127.0.0.1:0");
    let running = Running::start(&config);
    let answer = running.call("GET", "/fleet/members", "");
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
        let (code, says) = merlinfold(arguments);
        assert_eq!(code, Some(1));
        assert!(says.contains("bad.toml:3: fleet.listen"), "{says}");
    }
    let (code, says) = merlinfold(&["fleet", "members", "--console", "127.0.0.1:9"]);
    assert!(code == Some(1) && says.contains("127.0.0.1:9"), "{says}");
}
