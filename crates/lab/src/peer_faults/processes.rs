//! The processes of one node: start, signals, memory and log.

use std::fs;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{mpsc, Arc, Mutex, PoisonError};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use rustix::process::{kill_process, Pid, Signal};
use rustix::thread::{sched_setaffinity, CpuSet};
use serde_json::{json, Value};

use super::ledger::Ledger;
use super::scenario::{Restart, RestartKind, Scenario};
use super::server::GuideServers;
use crate::process::NodeCommand;

/// Interval at which the resident memory is sampled.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(4);
/// Pages of the program that count as its memory: those of a build without optimisation are several times as many.
const MAX_PROGRAM_KIB: u64 = 6 << 10;
/// Time in which a process has to become ready.
const START_TIMEOUT: Duration = Duration::from_secs(6);
/// Time from the start of a successor to the SIGTERM of its predecessor.
const UPGRADE_TIME: Duration = Duration::from_millis(1_500);
/// Time between two signals of a series.
const SIGNAL_INTERVAL: Duration = Duration::from_millis(50);
/// New connections keep arriving for this time after SIGTERM.
const CONNECTIONS_AFTER_STOP: Duration = Duration::from_millis(400);
/// SIGKILL comes the longest deadline and this after SIGTERM.
const KILL_MARGIN: Duration = Duration::from_millis(700);
const LONGEST_COUNTED_DEADLINE: Duration = Duration::from_secs(3);
/// How many times each server stands in the list, so that a node that knows nothing of them sends each some requests.
const ENTRIES_PER_SERVER: usize = 6;

/// The running processes of one node, and what was sampled of them.
pub struct NodeProcesses {
    shared: Arc<Shared>,
    sampler: JoinHandle<()>,
    first: Child,
    busy: Vec<Child>,
}

struct Shared {
    address: SocketAddr,
    folder: PathBuf,
    running: Mutex<Vec<u32>>,
    peak_kib: AtomicU64,
    ended: AtomicBool,
    unplanned_exits: Mutex<Vec<String>>,
    _discovery: std::net::TcpListener, // silent: the node serves by its configuration's list
}

/// What the processes showed.
pub struct Record {
    /// Highest resident memory of all processes together, in KiB.
    pub peak_kib: u64,
    /// The logs of all processes.
    pub log: String,
    unplanned_exits: Vec<String>,
}

impl Record {
    /// Lists what broke a rule.
    pub fn violations(&self, scenario: &Scenario) -> Vec<String> {
        let mut violations = self.unplanned_exits.clone();
        let limit = u64::from(scenario.memory_mb) << 10;
        if self.peak_kib > limit {
            violations.push(format!("{} kB resident of {limit} kB", self.peak_kib));
        }
        violations
    }
}

/// Kills a process when it is dropped.
struct Killed(Child);

impl Drop for Killed {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

impl NodeProcesses {
    /// Starts the first process and waits until it is ready.
    pub fn start(scenario: &Scenario, command: &NodeCommand, servers: &GuideServers) -> Result<Self, String> {
        static NEXT: AtomicUsize = AtomicUsize::new(0);
        let number = NEXT.fetch_add(1, Ordering::Relaxed);
        let process = std::process::id();
        // An address of its own, which both processes of an upgrade can listen on.
        let address: SocketAddr =
            ([127, 1 + (process % 250) as u8, 1 + (number % 250) as u8, 1], 8_081).into();
        let folder = std::env::temp_dir().join(format!("merlinfold-peer-faults-{process}-{number}"));
        fs::create_dir_all(folder.join("shared"))
            .map_err(|error| format!("{}: {error}", folder.display()))?;
        let discovery = std::net::TcpListener::bind("127.0.0.1:0").map_err(|error| error.to_string())?;
        let discovery_address = discovery.local_addr().map_err(|error| error.to_string())?;
        let text = configuration(scenario, address, servers, discovery_address).to_string();
        fs::write(folder.join("config.json"), text).map_err(|error| error.to_string())?;
        let shared = Arc::new(Shared {
            address,
            folder,
            running: Mutex::default(),
            peak_kib: AtomicU64::new(0),
            ended: AtomicBool::new(false),
            unplanned_exits: Mutex::default(),
            _discovery: discovery,
        });
        let first = shared.spawn(command, scenario)?;
        let sampler = {
            let shared = shared.clone();
            thread::spawn(move || shared.sample())
        };
        let busy = scenario.busy_processes.map_or(Ok(Vec::new()), start_busy_processes)?;
        shared.wait_until_ready()?;
        Ok(NodeProcesses { shared, sampler, first, busy })
    }

    /// Address at which clients connect.
    pub fn address(&self) -> SocketAddr {
        self.shared.address
    }

    /// Plays the restarts on a thread of its own, which then waits for the end of the run.
    pub fn play_restarts(self, scenario: &Scenario, command: &NodeCommand, ledger: Arc<Ledger>) -> Restarts {
        let (scenario, command) = (scenario.clone(), command.clone());
        let (end, ended) = mpsc::channel();
        let thread = thread::spawn(move || {
            let begun = Instant::now();
            let NodeProcesses { shared, sampler, first, busy } = self;
            let _busy: Vec<Killed> = busy.into_iter().map(Killed).collect();
            let mut current = Killed(first);
            for restart in &scenario.restarts {
                thread::sleep(Duration::from_secs_f64(restart.at).saturating_sub(begun.elapsed()));
                shared.note_exit(&mut current.0);
                current = shared.restart(current, restart, &command, &scenario, &ledger)?;
            }
            let _ = ended.recv(); // an error ends the run as well
            shared.note_exit(&mut current.0);
            shared.ended.store(true, Ordering::Relaxed);
            drop(current);
            let _ = sampler.join();
            Ok(shared.record())
        });
        Restarts { end, thread }
    }
}

/// The restarts of a run in progress.
pub struct Restarts {
    end: mpsc::Sender<()>,
    thread: JoinHandle<Result<Record, String>>,
}

impl Restarts {
    /// Waits for the restarts, ends all processes and returns what they showed.
    pub fn end(self) -> Result<Record, String> {
        let _ = self.end.send(()); // an error means that the thread has failed, which its result says
        self.thread.join().map_err(|_| "the thread of the restarts panicked".to_owned())?
    }
}

/// Starts processes that share the first core with the node.
fn start_busy_processes(count: usize) -> Result<Vec<Child>, String> {
    (0..count)
        .map(|_| {
            let child = Command::new("/bin/sh").args(["-c", "while :; do :; done"]).spawn();
            let child = child.map_err(|error| format!("a busy process: {error}"))?;
            bind_to_first_core(child.id());
            Ok(child)
        })
        .collect()
}

fn bind_to_first_core(id: u32) {
    let mut cores = CpuSet::new();
    cores.set(0);
    let _ = sched_setaffinity(pid(id), &cores); // without it the run is only less hard
}

fn pid(id: u32) -> Option<Pid> {
    i32::try_from(id).ok().and_then(Pid::from_raw)
}

impl Shared {
    fn spawn(&self, command: &NodeCommand, scenario: &Scenario) -> Result<Child, String> {
        let log = fs::OpenOptions::new().create(true).append(true).open(self.folder.join("log"));
        let log = log.map_err(|error| format!("log: {error}"))?;
        let child = Command::new("/bin/sh")
            .args(["-c", &format!("ulimit -n {}; exec \"$0\" \"$@\"", scenario.sockets)])
            .args(&command.words)
            .env("TMPDIR", self.folder.join("shared"))
            .env("BALANCER_CONFIG", self.folder.join("config.json"))
            .stdin(Stdio::null())
            .stderr(log)
            .spawn()
            .map_err(|error| format!("{}: {error}", command.words[0]))?;
        if scenario.busy_processes.is_some() {
            bind_to_first_core(child.id());
        }
        self.running.lock().unwrap_or_else(PoisonError::into_inner).push(child.id());
        Ok(child)
    }

    /// Waits for the answer to a readiness check, which waits in the accept queue until a process takes clients.
    fn wait_until_ready(&self) -> Result<(), String> {
        use std::io::{Read, Write};
        let begun = Instant::now();
        while begun.elapsed() < START_TIMEOUT {
            if let Ok(mut stream) = std::net::TcpStream::connect(self.address) {
                let _ = stream.set_read_timeout(Some(START_TIMEOUT));
                let _ =
                    stream.write_all(b"GET /health/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
                let mut answer = String::new();
                let _ = stream.read_to_string(&mut answer);
                if answer.contains(" 200 ") {
                    return Ok(());
                }
            }
            thread::sleep(Duration::from_millis(10));
        }
        Err(format!("the node is not ready: {}", self.log()))
    }

    /// Replaces the running process, and returns its successor.
    fn restart(
        &self, mut current: Killed, restart: &Restart, command: &NodeCommand, scenario: &Scenario,
        ledger: &Ledger,
    ) -> Result<Killed, String> {
        let successor = match restart.kind {
            RestartKind::Upgrade => {
                let successor = self.spawn(command, scenario)?;
                thread::sleep(UPGRADE_TIME);
                Some(Killed(successor))
            }
            RestartKind::StopAndStart => None,
        };
        let told = Instant::now();
        for _ in 0..restart.signals {
            if let Some(id) = pid(current.0.id()) {
                let _ = kill_process(id, Signal::TERM); // it may have ended
            }
            thread::sleep(SIGNAL_INTERVAL);
        }
        if restart.kind == RestartKind::StopAndStart {
            thread::sleep((told + CONNECTIONS_AFTER_STOP).saturating_duration_since(Instant::now()));
            ledger.set_out(true);
        }
        let killed = told + scenario.deadline().min(LONGEST_COUNTED_DEADLINE) + KILL_MARGIN;
        while Instant::now() < killed && matches!(current.0.try_wait(), Ok(None)) {
            thread::sleep(Duration::from_millis(1));
        }
        let id = current.0.id();
        if matches!(current.0.try_wait(), Ok(None)) {
            ledger.killed(Instant::now());
        }
        drop(current);
        self.running.lock().unwrap_or_else(PoisonError::into_inner).retain(|&running| running != id);
        match successor {
            Some(successor) => Ok(successor),
            None => {
                let successor = Killed(self.spawn(command, scenario)?);
                self.wait_until_ready()?;
                ledger.set_out(false);
                Ok(successor)
            }
        }
    }

    /// Records a process that has ended by itself.
    fn note_exit(&self, child: &mut Child) {
        if let Ok(Some(status)) = child.try_wait() {
            let mut exits = self.unplanned_exits.lock().unwrap_or_else(PoisonError::into_inner);
            exits.push(format!("a process ended by itself: {status}"));
        }
    }

    /// Samples the resident memory of all processes until the end.
    fn sample(&self) {
        while !self.ended.load(Ordering::Relaxed) {
            let running = self.running.lock().unwrap_or_else(PoisonError::into_inner).clone();
            let together = running.iter().filter_map(|&id| resident_kib(id)).sum();
            self.peak_kib.fetch_max(together, Ordering::Relaxed);
            thread::sleep(SAMPLE_INTERVAL);
        }
    }

    fn log(&self) -> String {
        fs::read_to_string(self.folder.join("log")).unwrap_or_default()
    }

    fn record(&self) -> Record {
        let exits = self.unplanned_exits.lock().unwrap_or_else(PoisonError::into_inner);
        Record {
            peak_kib: self.peak_kib.load(Ordering::Relaxed),
            log: self.log(),
            unplanned_exits: exits.clone(),
        }
    }
}

impl Drop for Shared {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.folder);
    }
}

/// Resident memory of a process in KiB. The pages of its program count up to [`MAX_PROGRAM_KIB`].
fn resident_kib(id: u32) -> Option<u64> {
    let status = fs::read_to_string(Path::new("/proc").join(id.to_string()).join("status")).ok()?;
    let figure = |name: &str| {
        let line = status.lines().find_map(|line| line.strip_prefix(name))?;
        line.trim().strip_suffix("kB")?.trim().parse::<u64>().ok()
    };
    let program = figure("RssFile:")?;
    Some(figure("VmRSS:")? - program + program.min(MAX_PROGRAM_KIB))
}

fn configuration(
    scenario: &Scenario, listen: SocketAddr, servers: &GuideServers, discovery: SocketAddr,
) -> Value {
    let deadline = scenario.deadline_ms * 1_000_000;
    let class = json!({"Name": "pay", "Aim": deadline / 2, "GiveUp": deadline, "Semantics": "once", "Group": "all",
        "Worth": 1.0, "LateValue": 0.0});
    let entries: Vec<Value> = (0..ENTRIES_PER_SERVER * servers.addresses.len())
        .map(|number| {
            let address = servers.addresses[number % servers.addresses.len()];
            json!({"name": format!("s{number}"), "address": address, "zone": "a", "type": "k", "group": 0,
                "status": "in_service", "weight": 1.0, "since_ms": 0})
        })
        .collect();
    json!({"name": "n0", "listen": listen, "discovery": discovery, "seed": format!("{:016x}", scenario.seed),
        "limits": {"cores": 1.0, "memory_mb": scenario.memory_mb, "sockets": scenario.sockets},
        "known": {"index": 1, "snapshot": true, "endpoints": entries},
        "settings": {"Balancers": 1, "Categories": [class], "Discovery": "push",
            "Limits": {"ConnIdle": 30_000_000_000u64, "ConnectTimeout": 1_000_000_000, "MaxAttempts": 3,
                "MaxRetryAfter": 1_500_000_000, "RetryAfter": true},
            "Locality": "a", "Me": 0, "Zones": ["a"],
            "Obligations": {"StopSendingWithin": 500_000_000, "RampTime": 1, "TipAfter": 1}}})
}
