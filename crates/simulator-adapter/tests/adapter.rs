//! Tests the adapter and its program with lines as the simulator writes them.

use std::io::Write;
use std::process::{Command, Stdio};

use merlinfold_drill::Adapter;

const ENV: &str = r#"{"Balancers":2,"Categories":[{"Aim":200000000,"GiveUp":400000000,"Group":"zone","KeyTtl":1500000000,"LateValue":0.0,"Name":"read","Semantics":"repeatable","Stream":false,"Worth":1.0}],"Discovery":"push","Limits":{"MaxAttempts":3,"RetryAfter":true,"MaxRetryAfter":900000000},"Locality":"a","Me":1,"Obligations":{"ColdShare":0.2,"RampTime":10000000000,"FallMultiple":3.0,"TipAfter":1000000000},"Zones":["a","b"],"Novelty":{"x":[1]}}"#;
const LIST: &str = r#"{"msg":"Directory","Table":0,"NodesList":[{"Server":"10.0.0.1:80","RackZone":"a","ClassOfHost":"k","Pack":0,"Readiness":"Running","Rating":1}]}"#;

/// The line that opens a batch.
fn frame(seq: u64) -> String {
    format!(r#"{{"msg":"Frame","Time":{},"seq":{seq}}}"#, 1_000_000_000 + seq * 5_000_000)
}

/// The lines that configure a node and give it a list of one server.
fn configuration(node: u64) -> Vec<String> {
    vec![
        format!(r#"{{"msg":"Configure","Node":{node},"Seed":7,"Env":{ENV}}}"#),
        LIST.to_owned(),
        format!(r#"{{"msg":"Membership","Node":{node},"Gen":1,"Table":0,"Scope":"Persisted"}}"#),
    ]
}

fn request(node: u64, id: &str) -> String {
    format!(r#"{{"msg":"Ask","Node":{node},"Req":"{id}","Band":"read","Budget":300000000}}"#)
}

const EOB: &str = r#"{"msg":"Eob"}"#;

/// Runs one batch and returns its reply.
fn run_batch(adapter: &mut Adapter, seq: u64, events: &[String]) -> Result<String, String> {
    assert!(adapter.handle_line(frame(seq).as_bytes())?.is_none());
    for event in events {
        assert!(adapter.handle_line(event.as_bytes())?.is_none(), "reply before the end of the batch");
    }
    let reply = adapter.handle_line(EOB.as_bytes())?.expect("the end of a batch returns a reply");
    Ok(String::from_utf8(reply.to_vec()).expect("UTF-8"))
}

#[test]
fn an_empty_batch_returns_ok_with_its_sequence_number() {
    assert_eq!(run_batch(&mut Adapter::default(), 9, &[]).unwrap(), "{\"msg\":\"Ok\",\"seq\":9}\n");
}

#[test]
fn an_attempt_carries_the_request_id_and_the_server_name() {
    let mut adapter = Adapter::default();
    let mut events = configuration(4);
    events.push(request(4, "00000000000000ff"));
    let reply = run_batch(&mut adapter, 1, &events).unwrap();
    assert!(
        reply.contains(r#"{"msg":"Issue","Node":4,"Req":"00000000000000ff","Server":"10.0.0.1:80""#),
        "{reply}"
    );
    assert!(reply.ends_with("{\"msg\":\"Ok\",\"seq\":1}\n"));
}

#[test]
fn outcomes_load_reports_stream_starts_and_peer_messages_are_accepted() {
    let mut adapter = Adapter::default();
    let mut events = configuration(4);
    events.push(request(4, "00000000000000ff"));
    run_batch(&mut adapter, 1, &events).unwrap();
    let reply = run_batch(
        &mut adapter,
        2,
        &[
            r#"{"msg":"Accepted","Node":4,"Req":"00000000000000ff","SendNo":0,"Server":"10.0.0.1:80","Duration":5}"#.to_owned(),
            r#"{"msg":"Verdict","Node":4,"Req":"00000000000000ff","Duration":5000000,"SendNo":0,"Terminal":true,"Server":"10.0.0.1:80","Result":"OK","Report":{"util":0.5,"x0":3}}"#.to_owned(),
            r#"{"msg":"Dropped","Node":4,"Req":"00000000000000ff"}"#.to_owned(),
            r#"{"msg":"Inbox","Node":4,"By":0,"Bytes":"aGkgNw=="}"#.to_owned(),
            r#"{"msg":"Echo","Node":4,"Duration":7,"Result":"OK","Server":"10.0.0.1:80","Report":{"inflight":2}}"#.to_owned(),
        ],
    );
    assert_eq!(reply.unwrap(), "{\"msg\":\"Ok\",\"seq\":2}\n");
}

/// Sends requests of class `read`, which are all served, and returns the servers that they went to.
fn servers_used(settings: &str, requests: u64) -> std::collections::BTreeSet<String> {
    let host_types = ["k", "k", "big", "big"];
    let zones = ["a", "b", "a", "b"];
    let list: Vec<String> = (0..4)
        .map(|n| {
            let (zone, host_type) = (zones[n], host_types[n]);
            format!(r#"{{"Server":"10.0.0.{n}:80","RackZone":"{zone}","ClassOfHost":"{host_type}","Readiness":"Running"}}"#)
        })
        .collect();
    let mut adapter = Adapter::default();
    let mut events = configuration(4);
    events[0] = events[0].replace(ENV, settings);
    events[1] = format!(r#"{{"msg":"Directory","Table":0,"NodesList":[{}]}}"#, list.join(","));
    let mut servers = std::collections::BTreeSet::new();
    for seq in 1..=requests {
        events.push(request(4, &format!("{seq:016x}")));
        let reply = run_batch(&mut adapter, seq, &events).unwrap();
        events.clear();
        for line in reply.lines().filter(|line| line.contains("\"Issue\"")) {
            let value: serde_json::Value = serde_json::from_str(line).unwrap();
            let (server, id) = (value["Server"].as_str().unwrap(), value["Req"].as_str().unwrap());
            servers.insert(server.to_owned());
            events.push(format!(
                r#"{{"msg":"Verdict","Node":4,"Req":"{id}","SendNo":0,"Server":"{server}","Result":"OK","Duration":5000000,"Terminal":true}}"#
            ));
        }
    }
    servers
}

#[test]
fn placement_restricts_servers_and_names_that_no_server_has_permit_none() {
    let with = |fields: &str| ENV.replace(r#""LateValue":0.0"#, &format!(r#""LateValue":0.0,{fields}"#));
    let servers = |names: &[&str]| names.iter().map(|n| format!("10.0.0.{n}:80")).collect();
    assert_eq!(servers_used(ENV, 40).len(), 4);
    assert_eq!(servers_used(&with(r#""RunsOn":["big"]"#), 40), servers(&["2", "3"]));
    assert_eq!(servers_used(&with(r#""ZonesAllowed":["b"]"#), 40), servers(&["1", "3"]));
    assert_eq!(servers_used(&with(r#""ZonesAllowed":["b"],"RunsOn":["k"]"#), 40), servers(&["1"]));
    assert_eq!(servers_used(&with(r#""RunsOn":["nowhere"]"#), 40), servers(&[]));
    assert_eq!(servers_used(&with(r#""ZonesAllowed":[]"#), 40), servers(&[]));
}

#[test]
fn an_attempt_budget_in_the_settings_limits_further_attempts() {
    let further_attempts = |settings: &str| {
        let mut adapter = Adapter::default();
        let mut events = configuration(4);
        events[0] = events[0].replace(ENV, settings);
        events[1] = LIST.replace(
            r#"{"Server""#,
            r#"{"Server":"10.0.0.9:80","RackZone":"a","Readiness":"Running"},{"Server""#,
        );
        let mut further = 0;
        for n in 1..60 {
            let id = format!("{n:016x}");
            events.push(request(4, &id));
            let first = run_batch(&mut adapter, 2 * n, &events).unwrap();
            events.clear();
            // After failures the node may refuse a request or queue it; such a request is not counted.
            let Some(issue) = first.lines().find(|line| line.contains(&id) && line.contains("\"Issue\""))
            else {
                continue;
            };
            let value: serde_json::Value = serde_json::from_str(issue).unwrap();
            let server = value["Server"].as_str().unwrap();
            // Only one answer in six fails, so that no server is ejected for it.
            let result = if n % 6 == 0 { "ABORTED" } else { "OK" };
            let verdict = format!(
                r#"{{"msg":"Verdict","Node":4,"Req":"{id}","SendNo":0,"Server":"{server}","Result":"{result}","Duration":5000000,"Terminal":{}}}"#,
                result == "OK"
            );
            let second = run_batch(&mut adapter, 2 * n + 1, &[verdict]).unwrap();
            further += second.matches("\"Issue\"").count();
            if let Some(issue) = second.lines().find(|line| line.contains("\"Issue\"")) {
                let value: serde_json::Value = serde_json::from_str(issue).unwrap();
                let server = value["Server"].as_str().unwrap();
                events.push(format!(
                    r#"{{"msg":"Verdict","Node":4,"Req":"{id}","SendNo":1,"Server":"{server}","Result":"OK","Duration":5000000,"Terminal":true}}"#
                ));
            }
        }
        further
    };
    let with_budget = |free| {
        let budget = format!(r#""BudgetFree":{free},"ExtraShare":0.0,"BudgetSpan":5000000000,"ColdShare""#);
        ENV.replace(r#""ColdShare""#, &budget)
    };
    assert!(further_attempts(ENV) > 5, "settings without a budget do not limit further attempts");
    assert_eq!(further_attempts(&with_budget(3)), 3);
    assert_eq!(further_attempts(&with_budget(0)), 0);
    let without_span = ENV.replace(r#""ColdShare""#, r#""BudgetFree":1,"ExtraShare":0.1,"ColdShare""#);
    let mut adapter = Adapter::default();
    let mut events = configuration(4);
    events[0] = events[0].replace(ENV, &without_span);
    let error = run_batch(&mut adapter, 1, &events).unwrap_err();
    assert!(error.contains("BudgetSpan"), "a budget without BudgetSpan is refused: {error}");
}

#[test]
fn a_table_number_reused_within_a_batch_refers_to_the_newer_list() {
    let mut adapter = Adapter::default();
    let mut events = configuration(4);
    events.push(LIST.replace("10.0.0.1:80", "10.0.0.2:80"));
    events.push(r#"{"msg":"Membership","Node":4,"Gen":2,"Table":0,"Scope":"Complete"}"#.to_owned());
    events.push(request(4, "00000000000000ff"));
    let reply = run_batch(&mut adapter, 1, &events).unwrap();
    assert!(reply.contains("10.0.0.2:80") && !reply.contains("10.0.0.1:80"), "{reply}");
}

#[test]
fn exit_and_configure_in_one_batch_reset_the_node() {
    let mut adapter = Adapter::default();
    let mut events = configuration(4);
    events.push(request(4, "00000000000000ff"));
    let first = run_batch(&mut adapter, 1, &events).unwrap();
    events.insert(0, r#"{"msg":"Exit","Node":4}"#.to_owned());
    let again = run_batch(&mut adapter, 2, &events).unwrap();
    assert_eq!(first.replace("\"seq\":1", ""), again.replace("\"seq\":2", ""));
}

#[test]
fn a_node_takes_the_same_actions_alone_and_beside_other_nodes() {
    let run = |with_other_node: bool| {
        let mut adapter = Adapter::default();
        let mut actions = String::new();
        for seq in 1..40 {
            let mut events = if seq == 1 { configuration(4) } else { vec![] };
            if with_other_node && seq == 1 {
                events.extend(configuration(5));
            }
            if with_other_node {
                events.push(request(5, &format!("{:016x}", 1_000 + seq)));
            }
            events.push(request(4, &format!("{seq:016x}")));
            for line in run_batch(&mut adapter, seq, &events).unwrap().lines() {
                if line.contains("\"Node\":4") {
                    actions.push_str(line);
                }
            }
        }
        actions
    };
    assert_eq!(run(false), run(true));
}

/// Runs the program on `input`; returns standard output, standard error and whether it exited with success.
fn run_program(input: &str) -> (String, String, bool) {
    let mut child = Command::new(env!("CARGO_BIN_EXE_merlinfold-drill"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the program starts");
    // The program may exit at an earlier line and not read the rest, so that a write error is no failure.
    let _ = child.stdin.take().expect("piped").write_all(input.as_bytes());
    let out = child.wait_with_output().expect("the program exits");
    let text = |bytes| String::from_utf8(bytes).expect("UTF-8");
    (text(out.stdout), text(out.stderr), out.status.success())
}

#[test]
fn end_of_input_between_batches_exits_with_success() {
    let (stdout, stderr, success) = run_program(&format!("{}\n{EOB}\n", frame(1)));
    assert_eq!((stdout.as_str(), stderr.as_str(), success), ("{\"msg\":\"Ok\",\"seq\":1}\n", "", true));
    assert!(run_program("").2);
}

#[test]
fn malformed_input_exits_with_one_line_on_stderr_and_no_partial_reply() {
    let in_batch = format!("{}\n{EOB}\n{}\n", frame(1), frame(2));
    let configured = format!("{in_batch}{}\n", configuration(4).join("\n"));
    for (input, line, error) in [
        (format!("{in_batch}{{\"msg\":"), 4, "EOF"),
        (format!("{in_batch}\u{7f}\n"), 4, "expected value"),
        (format!("{in_batch}[]\n"), 4, "invalid"),
        (format!("{in_batch}{{\"msg\":\"Dance\",\"Node\":4}}\n"), 4, "unknown node 4"),
        (format!("{configured}{{\"msg\":\"Dance\",\"Node\":4}}\n"), 7, "Dance"),
        (format!("{configured}{}\n", request(4, "zz")), 7, "16 hex digits"),
        (format!("{configured}{}\n", request(4, "00000000000000ff").replace("300000000", "\"x\"")), 7, "invalid type"),
        (format!("{configured}{}\n", request(4, "00000000000000ff").replace("read", "rite")), 7, "unknown class"),
        (format!("{configured}{{\"msg\":\"Ask\",\"Node\":4}}\n"), 7, "missing"),
        (format!("{configured}{{\"msg\":\"Membership\",\"Node\":4,\"Gen\":2,\"Table\":9,\"Scope\":\"Complete\"}}\n"), 7, "unknown table"),
        (format!("{in_batch}{}\n", frame(3)), 4, "within a batch"),
        (format!("{}\n{EOB}\n{EOB}\n", frame(1)), 3, "outside of a batch"),
        (in_batch.clone(), 4, "ends within a batch"),
    ] {
        let (stdout, stderr, success) = run_program(&input);
        assert!(!success, "{input}");
        assert_eq!(stdout, "{\"msg\":\"Ok\",\"seq\":1}\n", "{input}");
        assert_eq!(stderr.lines().count(), 1, "{stderr}");
        assert!(stderr.contains(&format!("line {line}:")) && stderr.contains(error), "{error}: {stderr}");
    }
}

#[test]
fn unknown_settings_are_accepted_and_peer_messages_are_delivered() {
    let settings =
        ENV.replace(r#""MaxAttempts":3"#, r#""MaxAttempts":1,"MayTell":true,"Probes":true"#).replace(
            r#""Balancers":2"#,
            r#""Balancers":2,"Reporting":{"How":"pull","Fields":["queue"]},"WeightSource":"live""#,
        );
    assert_ne!(settings, ENV);
    let servers: Vec<String> = (1..=6)
        .map(|n| format!(r#"{{"Server":"10.0.0.{n}:80","RackZone":"a","Pack":0,"Readiness":"Running"}}"#))
        .collect();
    let mut adapter = Adapter::default();
    let mut events = configuration(4);
    events[0] = events[0].replace(ENV, &settings);
    events[1] = format!(r#"{{"msg":"Directory","Table":0,"NodesList":[{}]}}"#, servers.join(","));
    events.push(request(4, "00000000000000ff"));
    let reply = run_batch(&mut adapter, 1, &events).unwrap();
    let (_, rest) = reply.split_once(r#""Server":""#).expect("an attempt");
    let server = &rest[..rest.find('"').unwrap()];
    let verdict = format!(
        r#"{{"msg":"Verdict","Node":4,"Req":"00000000000000ff","SendNo":0,"Server":"{server}","Result":"OK","Duration":9000000,"Terminal":true}}"#
    );
    let mut reply = run_batch(&mut adapter, 2, &[verdict]).unwrap();
    for seq in 3..200 {
        reply +=
            &run_batch(&mut adapter, seq, &[r#"{"msg":"DeadlineHit","Node":4,"Tag":0}"#.to_owned()]).unwrap();
    }
    let (_, message) = reply.split_once(r#""Bytes":""#).expect("a message to the only peer");
    assert!(reply.contains(r#""msg":"Share","Node":4"#) && reply.contains(r#""Whom":0"#), "{reply}");
    let message = &message[..message.find('"').unwrap()];
    let inbox = format!(r#"{{"msg":"Inbox","Node":4,"By":0,"Bytes":"{message}"}}"#);
    assert_eq!(run_batch(&mut adapter, 200, &[inbox]).unwrap(), "{\"msg\":\"Ok\",\"seq\":200}\n");
}
