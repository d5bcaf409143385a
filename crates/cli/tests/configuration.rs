//! Node processes that take their configuration from the fleet.

mod common;
#[path = "common/member.rs"]
mod member;

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use common::*;
use member::{free_udp_address, Member};
use serde_json::{json, Value};

const NODES: usize = 5;
const PATH: &str = "/fleet/configuration";
const TABLES: &str = "[fleet.log]\ncandidates = [\"n0\", \"n1\", \"n2\"]\nvoters = 3\n[fleet.configuration]";
/// Longest time until a confirmed revision is in force at every node.
const IN_FORCE_WITHIN: Duration = Duration::from_secs(12);
/// Longest time until a fleet has started or elected a new leader, on a busy machine.
const SETTLED_WITHIN: Duration = Duration::from_secs(60);

fn start(folder: &Folder, number: usize, seed: SocketAddr) -> Member {
    let name = format!("n{number}");
    let own = if number == 0 { seed } else { free_udp_address() };
    let platform = config("127.0.0.1:9".parse().unwrap(), &[]);
    Member::start_with(folder, &name, &name, own, seed, platform, TABLES)
}

/// Makes one call to the console of a member and returns the status and the body.
fn call_console(member: &Member, method: &str, path: &str, body: &str) -> (u16, String) {
    let mut client = Client::connect(member.console);
    client.write(&call(method, path, body));
    let answer = client.read().expect("a response");
    (answer.status(), String::from_utf8(answer.body).unwrap())
}

fn configuration_status(member: &Member) -> Value {
    let (status, body) = call_console(member, "GET", PATH, "");
    assert_eq!(status, 200, "{body}");
    serde_json::from_str(&body).unwrap()
}

/// Publishes a change, repeatedly while the log has no leader, and returns its revision.
fn publish(member: &Member, path: &str, body: impl Fn(&Value) -> Value) -> u64 {
    let begun = Instant::now();
    loop {
        let proposal = body(&configuration_status(member)).to_string();
        let (status, answer) = call_console(member, "POST", path, &proposal);
        if status == 200 {
            return serde_json::from_str::<Value>(&answer).unwrap()["revision"].as_u64().unwrap();
        }
        assert!(matches!(status, 409 | 503), "{status} {answer}");
        assert!(begun.elapsed() < SETTLED_WITHIN, "{status} {answer}");
    }
}

/// Builds a change of the limit on attempts, based on the revision in force.
fn change_max_attempts(value: u64) -> impl Fn(&Value) -> Value {
    move |status| {
        let here = &status["here"];
        let limit = json!({"value": value, "unit": "count", "least": 1, "most": 1});
        json!({"delta": {"base": {"revision": here["revision"], "digest": here["digest"]},
            "limits": {"set": {"max_attempts": limit}}}})
    }
}

/// Builds a change of one tenant, based on the revision in force.
fn change_tenant(name: &str) -> impl Fn(&Value) -> Value + '_ {
    move |status| {
        let here = &status["here"];
        let tenants = json!({"set": {name: {"share": 0, "requests_per_1000_s": 5_000}}});
        json!({"delta": {"base": {"revision": here["revision"], "digest": here["digest"]}, "tenants": tenants}})
    }
}

/// Waits until this revision is in force at all members, and checks that their digests agree.
fn wait_until_in_force(members: &[Member], revision: u64, within: Duration) {
    let begun = Instant::now();
    let mut digests = Vec::new();
    for member in members {
        let here = loop {
            let here = configuration_status(member)["here"].clone();
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

/// A change proposed at any node passes through the replicated log and other nodes to the decision module of each node. It
/// survives the death of a voter and its return with an empty state, and a rollback restores older content.
#[test]
fn a_change_proposed_at_one_node_is_in_force_at_all_nodes() {
    let folder = Folder::new("configuration");
    let seed = free_udp_address();
    let mut members: Vec<Member> = (0..NODES).map(|number| start(&folder, number, seed)).collect();
    for member in &members {
        member.wait_for("all are there", |view| view["alive"] == NODES);
    }
    let first = publish(&members[4], PATH, change_tenant("t-1"));
    wait_until_in_force(&members, first, IN_FORCE_WITHIN);

    // An invalid change is refused with its key by the node that receives it, and changes nothing.
    let (status, error) = call_console(
        &members[3],
        "POST",
        PATH,
        &change_max_attempts(9)(&configuration_status(&members[3])).to_string(),
    );
    assert_eq!(status, 400, "{error}");
    assert!(error.contains("max_attempts"), "{error}");

    // One of three voters is killed; a majority remains.
    members[1].signal("KILL");
    drop(members.remove(1));
    let second = publish(&members[3], PATH, change_tenant("t-2"));
    assert!(second > first);
    wait_until_in_force(&members, second, IN_FORCE_WITHIN);

    // The voter returns and catches up.
    members.push(start(&folder, 1, seed));
    wait_until_in_force(&members, second, SETTLED_WITHIN);

    let back = publish(
        &members[3],
        "/fleet/configuration/rollback",
        |status| json!({"from": status["here"]["revision"], "to": first}),
    );
    assert!(back > second, "a rollback is a new revision");
    wait_until_in_force(&members, back, IN_FORCE_WITHIN);
    let (_, document) = call_console(&members[0], "GET", "/fleet/configuration/document", "");
    assert!(document.contains("t-1") && !document.contains("t-2"), "{document}");
}
