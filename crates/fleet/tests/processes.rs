//! Distribution of configuration over five processes, while one is killed, one is paused, one has a full disk, and the
//! fleet is split. The processes run this test binary again with the test [`node_process`].

mod common;
#[path = "common/relay.rs"]
mod relay;

use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Write};
use std::path::{Path, PathBuf};
use std::process::{Child, ChildStdin, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use common::{next_revision, AppendContent};
use merlinfold_config::{parse, Config};
use merlinfold_fleet::Fleet;
use relay::Relay;
use rustix::process::{kill_process, Pid, Signal};
use serde::{Deserialize, Serialize};
use tokio::io::{AsyncBufReadExt, BufReader as AsyncReader};
use tokio::sync::watch;

const NODES: usize = 5;
const IN_FORCE_TIMEOUT: Duration = Duration::from_secs(12);
const SETTINGS_FILE: &str = "MERLINFOLD_TEST_NODE"; // environment variable with the path of the node's settings
const STATUS_PREFIX: &str = "status ";

/// Status that a process prints, one JSON line each.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
struct Status {
    number: u64,
    digest: String,
    voters: usize,
    unsaved: bool,
    log_silent_ms: u64,
    outcomes: Vec<String>,
}

/// Runs one node until the test closes its input.
#[test]
#[ignore = "started as a process by the test below"]
fn node_process() {
    let Some(file) = std::env::var_os(SETTINGS_FILE) else { return };
    let file = PathBuf::from(file);
    let name = file.file_stem().unwrap().to_str().unwrap().to_owned();
    let settings = parse::<Config>(&std::fs::read_to_string(&file).unwrap()).unwrap().fleet.unwrap();
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    runtime.block_on(async {
        let (mut fleet, _) = Fleet::open(&name, settings).unwrap();
        let configuration = fleet.serve_configuration(Arc::new(AppendContent::default())).unwrap();
        let log = fleet.log_handle().unwrap();
        let (_leave, leaves) = watch::channel(false);
        tokio::spawn(fleet.run(leaves));
        let mut lines = AsyncReader::new(tokio::io::stdin()).lines();
        let mut outcomes = Vec::new();
        loop {
            let line = tokio::time::timeout(Duration::from_millis(50), lines.next_line()).await;
            match line {
                Ok(Ok(Some(added))) => {
                    let published =
                        configuration.publish(next_revision(&configuration, added.as_bytes())).await;
                    outcomes
                        .push(published.map_or_else(|error| error.to_string(), |id| id.number.to_string()));
                }
                Ok(_) => return, // the test has ended
                Err(_) => {}
            }
            let (in_force, view) = (configuration.in_force(), configuration.view());
            let status = Status {
                number: in_force.as_ref().map_or(0, |document| document.announcement.id.number),
                digest: in_force
                    .map_or_else(String::new, |document| document.announcement.digest.to_string()),
                voters: log.view().voters.len(),
                unsaved: view.unsaved,
                log_silent_ms: view.log_silent_ms.unwrap_or(u64::MAX),
                outcomes: outcomes.clone(),
            };
            println!("{STATUS_PREFIX}{}", serde_json::to_string(&status).unwrap());
        }
    });
}

struct Node {
    child: Child,
    input: ChildStdin,
    status: Arc<Mutex<Status>>,
}

impl Drop for Node {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Node {
    fn start(folder: &Path, number: usize, relay: &Relay, findings: &Findings) -> Self {
        let file = folder.join(format!("n{number}.toml"));
        let table = format!(
            "[fleet]\ncluster = \"test\"\nlisten = \"{}\"\nadvertise = \"{}\"\nzone = \"a\"\nmachine = \"m{number}\"\n\
             seeds = [\"{}\", \"{}\"]\nfolder = {:?}\n[fleet.log]\ncandidates = [\"n0\", \"n1\", \"n2\"]\nvoters = 3\n\
             durability = \"disk\"\n[fleet.configuration]\n",
            relay.inner[number],
            relay.outer[number],
            relay.outer[0],
            relay.outer[4],
            folder.join(format!("disk{number}")).display().to_string()
        );
        std::fs::write(&file, table).unwrap();
        let mut command = Command::new(std::env::current_exe().unwrap());
        command.args(["--exact", "node_process", "--ignored", "--nocapture"]).env(SETTINGS_FILE, &file);
        let mut child = command.stdin(Stdio::piped()).stdout(Stdio::piped()).spawn().unwrap();
        let (input, output) = (child.stdin.take().unwrap(), child.stdout.take().unwrap());
        let status: Arc<Mutex<Status>> = Arc::default();
        let (shared, findings) = (status.clone(), findings.clone());
        thread::spawn(move || {
            for line in BufReader::new(output).lines().map_while(Result::ok) {
                let Some(status) =
                    line.split_once(STATUS_PREFIX).and_then(|(_, status)| serde_json::from_str(status).ok())
                else {
                    continue;
                };
                check_invariants(number, &status, &shared.lock().unwrap(), &findings);
                *shared.lock().unwrap() = status;
            }
        });
        Node { child, input, status }
    }

    fn status(&self) -> Status {
        self.status.lock().unwrap().clone()
    }

    fn signal(&self, signal: Signal) {
        kill_process(Pid::from_child(&self.child), signal).unwrap();
    }

    /// Publishes a revision and waits for its outcome.
    fn publish(&mut self, added: &str) -> String {
        let before = self.status().outcomes.len();
        writeln!(self.input, "{added}").unwrap();
        let shared = self.status.clone();
        let outcome = || shared.lock().unwrap().outcomes.get(before).cloned();
        wait_until("the outcome is known", Duration::from_secs(25), || outcome().is_some());
        outcome().unwrap()
    }
}

/// The digest of each revision by number, and the violations found.
type Findings = Arc<Mutex<(BTreeMap<u64, String>, Vec<String>)>>;

/// Invariants of a status: the revision never falls, and a revision has the same digest at all nodes.
fn check_invariants(node: usize, status: &Status, before: &Status, findings: &Findings) {
    let mut findings = findings.lock().unwrap();
    if status.number < before.number {
        findings.1.push(format!("n{node} has revision {} after {}", status.number, before.number));
    }
    if status.number > 0 {
        let first = findings.0.entry(status.number).or_insert_with(|| status.digest.clone()).clone();
        if first != status.digest {
            findings.1.push(format!(
                "n{node}: revision {} has digest {}, other nodes have {first}",
                status.number, status.digest
            ));
        }
    }
}

fn wait_until(condition: &str, timeout: Duration, mut holds: impl FnMut() -> bool) {
    let started = Instant::now();
    while !holds() {
        assert!(started.elapsed() < timeout, "timed out after {timeout:?} waiting until {condition}");
        thread::sleep(Duration::from_millis(20));
    }
}

fn wait_in_force(nodes: &[Node], which: &[usize], number: u64) {
    let has = |node: &usize| nodes[*node].status().number == number;
    wait_until(&format!("revision {number} is in force at nodes {which:?}"), IN_FORCE_TIMEOUT, || {
        which.iter().all(has)
    });
}

#[test]
fn revisions_come_into_force_despite_kill_pause_full_disk_and_partition() {
    let folder = std::env::temp_dir().join(format!("merlinfold-processes-{}", std::process::id()));
    let _ = std::fs::remove_dir_all(&folder);
    std::fs::create_dir_all(&folder).unwrap();
    let (relay, findings) = (Relay::start(NODES), Findings::default());
    let start = |number: usize| Node::start(&folder, number, &relay, &findings);
    let mut nodes: Vec<Node> = (0..NODES).map(start).collect();
    wait_until("the log has its voters", Duration::from_secs(20), || {
        nodes.iter().all(|node| node.status().voters == 3 && node.status().log_silent_ms < 1_000)
    });
    let all = [0, 1, 2, 3, 4];

    assert_eq!(nodes[4].publish(&"a".repeat(300_000)), "1");
    wait_in_force(&nodes, &all, 1);

    // A node is killed and a voter is paused; the others publish and apply a revision, and both catch up.
    nodes[3].child.kill().unwrap();
    nodes[1].signal(Signal::STOP);
    assert_eq!(nodes[4].publish("killed and paused"), "2");
    wait_in_force(&nodes, &[0, 2, 4], 2);
    nodes[1].signal(Signal::CONT);
    nodes[3] = start(3);
    wait_in_force(&nodes, &all, 2);

    // One disk is full: the node applies the revision nevertheless and reports that it is unsaved.
    let temporary_file = folder.join("disk4/configuration.mf.new");
    std::os::unix::fs::symlink("/dev/full", &temporary_file).unwrap();
    assert_eq!(nodes[0].publish("full"), "3");
    wait_in_force(&nodes, &all, 3);
    wait_until("the node reports that its revision is not saved", Duration::from_secs(15), || {
        nodes[4].status().unsaved
    });
    std::fs::remove_file(&temporary_file).unwrap();
    wait_until("the revision is saved again", Duration::from_secs(15), || !nodes[4].status().unsaved);

    // The side without a majority of the voters keeps its revision, reports how old it is, and cannot publish.
    relay.partition(&[3, 4]);
    thread::sleep(Duration::from_secs(4)); // until the others are declared dead
    assert_eq!(nodes[0].publish("split"), "4");
    wait_in_force(&nodes, &[0, 1, 2], 4);
    let error = nodes[4].publish("not here");
    assert!(error.contains("a majority is needed"), "{error}");
    let status = nodes[4].status();
    assert!(status.number == 3 && status.log_silent_ms > 3_000, "{status:?}");
    relay.heal();
    wait_in_force(&nodes, &all, 4);

    drop(nodes);
    let _ = std::fs::remove_dir_all(&folder);
    assert_eq!(findings.lock().unwrap().1, Vec::<String>::new());
}
