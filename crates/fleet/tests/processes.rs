//! Distribution of configuration over five processes: one is killed, one paused, one has a full disk, and the fleet is
//! split. The processes are this test itself, started again as [`node_process`].

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

use common::{appended, Appended};
use merlinfold_config::{parse, Config};
use merlinfold_fleet::Fleet;
use relay::Relay;
use rustix::process::{kill_process, Pid, Signal};
use serde::{Deserialize, Serialize};
use tokio::io::{AsyncBufReadExt, BufReader as AsyncReader};
use tokio::sync::watch;

const NODES: usize = 5;
const IN_FORCE_WITHIN: Duration = Duration::from_secs(12);
const TABLE: &str = "MERLINFOLD_TEST_NODE"; // names a file with the node's table
const MARK: &str = "told ";

/// What a process tells of itself, a line each.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
struct Told {
    number: u64,
    digest: String,
    voters: usize,
    unsaved: bool,
    log_silent_ms: u64,
    outcomes: Vec<String>,
}

/// One node, for as long as its process lasts.
#[test]
#[ignore = "a process of the test beside it"]
fn node_process() {
    let Some(file) = std::env::var_os(TABLE) else { return };
    let file = PathBuf::from(file);
    let name = file.file_stem().unwrap().to_str().unwrap().to_owned();
    let settings = parse::<Config>(&std::fs::read_to_string(&file).unwrap()).unwrap().fleet.unwrap();
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    runtime.block_on(async {
        let (mut fleet, _) = Fleet::open(&name, settings).unwrap();
        let configuration = fleet.serve_configuration(Arc::new(Appended::default())).unwrap();
        let log = fleet.log_handle().unwrap();
        let (_leave, leaves) = watch::channel(false);
        tokio::spawn(fleet.run(leaves));
        let mut lines = AsyncReader::new(tokio::io::stdin()).lines();
        let mut outcomes = Vec::new();
        loop {
            let line = tokio::time::timeout(Duration::from_millis(50), lines.next_line()).await;
            match line {
                Ok(Ok(Some(added))) => {
                    let published = configuration.publish(appended(&configuration, added.as_bytes())).await;
                    outcomes
                        .push(published.map_or_else(|error| error.to_string(), |id| id.number.to_string()));
                }
                Ok(_) => return, // the test has ended
                Err(_) => {}
            }
            let (in_force, view) = (configuration.in_force(), configuration.view());
            let told = Told {
                number: in_force.as_ref().map_or(0, |document| document.announcement.id.number),
                digest: in_force
                    .map_or_else(String::new, |document| document.announcement.digest.to_string()),
                voters: log.view().voters.len(),
                unsaved: view.unsaved,
                log_silent_ms: view.log_silent_ms.unwrap_or(u64::MAX),
                outcomes: outcomes.clone(),
            };
            println!("{MARK}{}", serde_json::to_string(&told).unwrap());
        }
    });
}

struct Node {
    child: Child,
    input: ChildStdin,
    told: Arc<Mutex<Told>>,
}

impl Drop for Node {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Node {
    fn start(folder: &Path, number: usize, relay: &Relay, digests: &Digests) -> Self {
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
        command.args(["--exact", "node_process", "--ignored", "--nocapture"]).env(TABLE, &file);
        let mut child = command.stdin(Stdio::piped()).stdout(Stdio::piped()).spawn().unwrap();
        let (input, output) = (child.stdin.take().unwrap(), child.stdout.take().unwrap());
        let told: Arc<Mutex<Told>> = Arc::default();
        let (shared, digests) = (told.clone(), digests.clone());
        thread::spawn(move || {
            for line in BufReader::new(output).lines().map_while(Result::ok) {
                let Some(told) = line.split_once(MARK).and_then(|(_, told)| serde_json::from_str(told).ok())
                else {
                    continue;
                };
                hold(number, &told, &shared.lock().unwrap(), &digests);
                *shared.lock().unwrap() = told;
            }
        });
        Node { child, input, told }
    }

    fn told(&self) -> Told {
        self.told.lock().unwrap().clone()
    }

    fn signal(&self, signal: Signal) {
        kill_process(Pid::from_child(&self.child), signal).unwrap();
    }

    /// Publishes and waits for what came of it.
    fn publish(&mut self, added: &str) -> String {
        let before = self.told().outcomes.len();
        writeln!(self.input, "{added}").unwrap();
        let shared = self.told.clone();
        let outcome = || shared.lock().unwrap().outcomes.get(before).cloned();
        until("an outcome", Duration::from_secs(25), || outcome().is_some());
        outcome().unwrap()
    }
}

/// What was broken, and the digest of each revision.
type Digests = Arc<Mutex<(BTreeMap<u64, String>, Vec<String>)>>;

/// Laws of what a process tells, beside what it told before.
fn hold(node: usize, told: &Told, before: &Told, digests: &Digests) {
    let mut held = digests.lock().unwrap();
    if told.number < before.number {
        held.1.push(format!("n{node} has {} after {}", told.number, before.number));
    }
    if told.number > 0 {
        let first = held.0.entry(told.number).or_insert_with(|| told.digest.clone()).clone();
        if first != told.digest {
            held.1.push(format!("n{node}: {} is {}, elsewhere {first}", told.number, told.digest));
        }
    }
}

fn until(what: &str, within: Duration, mut holds: impl FnMut() -> bool) {
    let begun = Instant::now();
    while !holds() {
        assert!(begun.elapsed() < within, "{what}: not within {within:?}");
        thread::sleep(Duration::from_millis(20));
    }
}

fn in_force(nodes: &[Node], which: &[usize], number: u64) {
    let has = |node: &usize| nodes[*node].told().number == number;
    until(&format!("{number} in force at {which:?}"), IN_FORCE_WITHIN, || which.iter().all(has));
}

#[test]
fn revisions_come_into_force_through_kill_pause_full_disk_and_split() {
    let folder = std::env::temp_dir().join(format!("merlinfold-processes-{}", std::process::id()));
    let _ = std::fs::remove_dir_all(&folder);
    std::fs::create_dir_all(&folder).unwrap();
    let (relay, digests) = (Relay::start(NODES), Digests::default());
    let start = |number: usize| Node::start(&folder, number, &relay, &digests);
    let mut nodes: Vec<Node> = (0..NODES).map(start).collect();
    until("the log has its voters", Duration::from_secs(20), || {
        nodes.iter().all(|node| node.told().voters == 3 && node.told().log_silent_ms < 1_000)
    });
    let all = [0, 1, 2, 3, 4];

    assert_eq!(nodes[4].publish(&"a".repeat(300_000)), "1");
    in_force(&nodes, &all, 1);

    // A node is killed and a voter is paused; the others go on, and both catch up.
    nodes[3].child.kill().unwrap();
    nodes[1].signal(Signal::STOP);
    assert_eq!(nodes[4].publish("killed and paused"), "2");
    in_force(&nodes, &[0, 2, 4], 2);
    nodes[1].signal(Signal::CONT);
    nodes[3] = start(3);
    in_force(&nodes, &all, 2);

    // A disk that takes nothing more of it: what is in force does not depend on it.
    let beside = folder.join("disk4/configuration.mf.new");
    std::os::unix::fs::symlink("/dev/full", &beside).unwrap();
    assert_eq!(nodes[0].publish("full"), "3");
    in_force(&nodes, &all, 3);
    until("the full disk is named", Duration::from_secs(15), || nodes[4].told().unsaved);
    std::fs::remove_file(&beside).unwrap();
    until("the disk takes it again", Duration::from_secs(15), || !nodes[4].told().unsaved);

    // The side without the voters serves on, says how old it is, and can publish nothing.
    relay.split(&[3, 4]);
    thread::sleep(Duration::from_secs(4)); // until the others are held dead
    assert_eq!(nodes[0].publish("split"), "4");
    in_force(&nodes, &[0, 1, 2], 4);
    let error = nodes[4].publish("not here");
    assert!(error.contains("a majority is needed"), "{error}");
    let told = nodes[4].told();
    assert!(told.number == 3 && told.log_silent_ms > 3_000, "{told:?}");
    relay.heal();
    in_force(&nodes, &all, 4);

    drop(nodes);
    let _ = std::fs::remove_dir_all(&folder);
    assert_eq!(digests.lock().unwrap().1, Vec::<String>::new());
}
