//! Processes of the program that take their configuration from the fleet.

mod common;
#[path = "common/member.rs"]
mod member;

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use common::*;
use member::{datagrams, Member};
use serde_json::{json, Value};

const NODES: usize = 5;
const PATH: &str = "/fleet/configuration";
const TABLES: &str = "[fleet.log]\ncandidates = [\"n0\", \"n1\", \"n2\"]\nvoters = 3\n[fleet.configuration]";
/// In which a confirmed revision is in force everywhere.
const IN_FORCE_WITHIN: Duration = Duration::from_secs(12);
/// For a fleet that starts, or finds a new leader, on a busy machine.
const SETTLED_WITHIN: Duration = Duration::from_secs(60);

fn start(folder: &Folder, number: usize, seed: SocketAddr) -> Member {
    let name = format!("n{number}");
    let own = if number == 0 { seed } else { datagrams() };
    let platform = config("127.0.0.1:9".parse().unwrap(), &[]);
    Member::start_with(folder, &name, &name, own, seed, platform, TABLES)
}

/// What a console answers: its status and body; none: nobody is there.
fn call_at(member: &Member, method: &str, path: &str, body: &str) -> (u16, String) {
    let mut caller = Client::connect(member.console);
    caller.write(&call(method, path, body));
    let answer = caller.read().expect("an answer");
    (answer.status(), String::from_utf8(answer.body).unwrap())
}

fn standing(member: &Member) -> Value {
    let (status, body) = call_at(member, "GET", PATH, "");
    assert_eq!(status, 200, "{body}");
    serde_json::from_str(&body).unwrap()
}

/// Publishes until the log takes it: it may have no leader yet, or no more.
fn publish(member: &Member, path: &str, body: impl Fn(&Value) -> Value) -> u64 {
    let begun = Instant::now();
    loop {
        let proposal = body(&standing(member)).to_string();
        let (status, answer) = call_at(member, "POST", path, &proposal);
        if status == 200 {
            return serde_json::from_str::<Value>(&answer).unwrap()["revision"].as_u64().unwrap();
        }
        assert!(matches!(status, 409 | 503), "{status} {answer}");
        assert!(begun.elapsed() < SETTLED_WITHIN, "{status} {answer}");
    }
}

/// A change of the limit on attempts from what is in force.
fn attempts(value: u64) -> impl Fn(&Value) -> Value {
    move |standing| {
        let here = &standing["here"];
        let limit = json!({"value": value, "unit": "count", "least": 1, "most": 1});
        json!({"delta": {"base": {"revision": here["revision"], "digest": here["digest"]},
            "limits": {"set": {"max_attempts": limit}}}})
    }
}

/// A change of one tenant from what is in force.
fn tenant(name: &str) -> impl Fn(&Value) -> Value + '_ {
    move |standing| {
        let here = &standing["here"];
        let tenants = json!({"set": {name: {"share": 0, "requests_per_1000_s": 5_000}}});
        json!({"delta": {"base": {"revision": here["revision"], "digest": here["digest"]}, "tenants": tenants}})
    }
}

/// Waits until all have this revision in force; all must then have the same digest of it.
fn in_force_at_all(members: &[Member], revision: u64, within: Duration) {
    let begun = Instant::now();
    let mut digests = Vec::new();
    for member in members {
        let here = loop {
            let here = standing(member)["here"].clone();
            if here["revision"].as_u64() >= Some(revision) {
                break here;
            }
            assert!(begun.elapsed() < within, "{here:#}\n{}", member.log.lock().unwrap());
        };
        digests.push((here["revision"].clone(), here["digest"].clone()));
    }
    digests.dedup();
    assert_eq!(digests.len(), 1, "{digests:?}");
}

/// Guards the whole way of a change: from an operator's call at any node over the agreed log and the nodes between to
/// the module of each, through the death of a voter and a return with nothing; and back to an older content.
#[test]
fn a_change_at_one_node_is_in_force_at_all_of_them() {
    let folder = Folder::new("configuration");
    let seed = datagrams();
    let mut members: Vec<Member> = (0..NODES).map(|number| start(&folder, number, seed)).collect();
    for member in &members {
        member.wait_for("all are there", |view| view["alive"] == NODES);
    }
    let first = publish(&members[4], PATH, tenant("t-1"));
    in_force_at_all(&members, first, IN_FORCE_WITHIN);

    // What no node could apply is refused where it is proposed, by key, and changes nothing.
    let (status, fault) =
        call_at(&members[3], "POST", PATH, &attempts(9)(&standing(&members[3])).to_string());
    assert_eq!(status, 400, "{fault}");
    assert!(fault.contains("max_attempts"), "{fault}");

    // One of three voters ends without a word: a majority is left.
    members[1].signal("KILL");
    drop(members.remove(1));
    let second = publish(&members[3], PATH, tenant("t-2"));
    assert!(second > first);
    in_force_at_all(&members, second, IN_FORCE_WITHIN);

    // It comes back, and has what was missed.
    members.push(start(&folder, 1, seed));
    in_force_at_all(&members, second, SETTLED_WITHIN);

    let back = publish(
        &members[3],
        "/fleet/configuration/rollback",
        |standing| json!({"from": standing["here"]["revision"], "to": first}),
    );
    assert!(back > second, "going back is a new revision");
    in_force_at_all(&members, back, IN_FORCE_WITHIN);
    let (_, document) = call_at(&members[0], "GET", "/fleet/configuration/document", "");
    assert!(document.contains("t-1") && !document.contains("t-2"), "{document}");
}
