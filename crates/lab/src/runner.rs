//! Runs one experiment: starts nodes, servers and clients, applies the changes that concern nodes, stops everything
//! and checks the records against the invariants.

use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use merlinfold_simulation::disruptions::ScheduledEvent;
use merlinfold_simulation::experiment::Experiment;
use merlinfold_simulation::ledger::{Ledger, ProcessEvent, Violation};
use merlinfold_simulation::report::{build_report, harness_timing, Report, Usage};
use merlinfold_simulation::seed::Seed;
use merlinfold_simulation::{millis, Nanos, SECOND};
use rustix::process::Signal;
use tokio::sync::mpsc;
use tokio::task::JoinSet;
use tokio::time::{interval, sleep, timeout};

use crate::load::{ready, Load};
use crate::net::Range;
use crate::platform;
use crate::process::{NodeCommand, Process};
use crate::servers::Servers;
use crate::time::Clock;

/// Time within which a node has to become ready.
const START_TIMEOUT: Duration = Duration::from_secs(5);
/// Time beyond the longest deadline after which a node that was sent SIGTERM is killed.
const STOP_GRACE: Nanos = 700_000_000;
/// Upper bound of the longest deadline in that rule during the run.
const MAX_DEADLINE_AT_STOP: Nanos = 3 * SECOND;
/// Time for which a node is paused with SIGSTOP.
const PAUSE: Duration = Duration::from_millis(150);
/// Interval at which the resource usage of the nodes is sampled.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(250);
/// Time after the last try for servers to finish their work.
const SETTLE_TIME: Duration = Duration::from_millis(300);
/// Maximum silent peers that are connected at once.
const MAX_PEERS: usize = 20_000;

/// An experiment and the nodes to run it against.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Name of the experiment.
    pub name: String,
    /// The experiment.
    pub experiment: Experiment,
    /// Command that starts a node.
    pub nodes: NodeCommand,
    /// Folder in which the nodes' configurations and logs are kept; without it they are deleted after the run.
    pub logs: Option<PathBuf>,
}

/// Result of a run.
#[derive(Clone, Debug)]
pub struct RunOutcome {
    /// Measured figures.
    pub report: Report,
    /// Violations of the invariants.
    pub breaches: Vec<Violation>,
    /// Last lines of the logs of nodes that failed.
    pub tails: Vec<String>,
}

/// Folder of a run's files, which is deleted when this is dropped unless it is to be kept.
pub(crate) struct Folder {
    pub(crate) path: PathBuf,
    keep: bool,
}

impl Folder {
    pub(crate) fn new(keep: Option<&PathBuf>) -> Result<Self, String> {
        use std::sync::atomic::{AtomicU32, Ordering};
        static NEXT: AtomicU32 = AtomicU32::new(0);
        let temporary = || {
            let number = NEXT.fetch_add(1, Ordering::Relaxed);
            std::env::temp_dir().join(format!("merlinfold-lab-{}-{number}", std::process::id()))
        };
        let path = keep.cloned().unwrap_or_else(temporary);
        std::fs::create_dir_all(&path).map_err(|error| format!("{}: {error}", path.display()))?;
        Ok(Folder { path, keep: keep.is_some() })
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        if !self.keep {
            let _ = std::fs::remove_dir_all(&self.path);
        }
    }
}

/// State of a run.
struct Runner {
    plan: Plan,
    clock: Clock,
    range: Arc<Range>,
    servers: Servers,
    load: Load,
    folder: Folder,
    nodes: Vec<Option<Process>>,
    starts: u64,
    lives: Vec<(Nanos, usize, ProcessEvent)>,
    marks: Vec<(Nanos, String)>,
    used: Vec<Usage>,
    tails: Vec<String>,
    rolls: JoinSet<(usize, Process, Option<std::process::ExitStatus>)>,
    peers: JoinSet<()>,
    peers_per_second: f64,
    peers_due: f64,
}

/// Runs an experiment. `progress` is called with the time since the start. Dropping the future ends everything that was
/// started. Fails if the experiment is invalid, a process cannot be started or the clients do not finish.
pub async fn run(plan: Plan, progress: impl Fn(Duration)) -> Result<RunOutcome, String> {
    plan.experiment.validate().map_err(|error| format!("{}: {error}", plan.name))?;
    let seed = Seed(plan.experiment.seed);
    let clock = Clock::default();
    let range = Arc::new(Range::claim()?);
    let (changes, mut changed) = mpsc::unbounded_channel();
    let (servers, _stop) = Servers::start(&plan.experiment, seed, &clock, &range, &range, changes)?;
    let (load, wake, mut done) = Load::start(&plan.experiment, seed, &clock, &range);
    let folder = Folder::new(plan.logs.as_ref())?;
    let count = plan.experiment.nodes.count;
    let mut runner = Runner {
        clock: clock.clone(),
        range,
        servers,
        load,
        folder,
        nodes: (0..count).map(|_| None).collect(),
        starts: 0,
        lives: Vec::new(),
        marks: Vec::new(),
        used: vec![Usage::default(); count],
        tails: Vec::new(),
        rolls: JoinSet::new(),
        peers: JoinSet::new(),
        peers_per_second: 0.0,
        peers_due: 0.0,
        plan,
    };
    let mut started = true;
    for node in 0..count {
        runner.spawn(node)?;
    }
    for node in 0..count {
        started = started && runner.await_ready(node).await;
    }
    if started {
        clock.start();
        runner.servers.tick();
        wake.notify_one();
        let limit = Duration::from_nanos(
            runner.plan.experiment.duration() + 4 * runner.plan.experiment.max_deadline(),
        );
        let mut look = interval(SAMPLE_INTERVAL);
        let end = tokio::time::sleep(limit + Duration::from_secs(10));
        tokio::pin!(end);
        loop {
            tokio::select! {
                Some((at, change)) = changed.recv() => runner.apply_change(at, change)?,
                Some(Ok((node, process, status))) = runner.rolls.join_next() => {
                    runner.restart_after_exit(node, process, status).await?;
                }
                _ = look.tick() => {
                    progress(Duration::from_nanos(clock.now()));
                    runner.sample_usage();
                }
                _ = &mut done => break,
                () = &mut end => {
                    return Err("the clients did not finish in time; this is an error in the lab".to_owned());
                }
            }
        }
        sleep(SETTLE_TIME).await;
    }
    runner.finish().await
}

impl Runner {
    fn spawn(&mut self, node: usize) -> Result<(), String> {
        self.starts += 1;
        let known = self.servers.known(node);
        let experiment = &self.plan.experiment;
        let text = platform::configuration(experiment, node, self.starts, known, &self.range).to_string();
        let process =
            Process::start(&self.plan.nodes, node, &text, experiment.nodes.sockets, &self.folder.path)?;
        self.nodes[node] = Some(process);
        Ok(())
    }

    async fn await_ready(&mut self, node: usize) -> bool {
        let asked = ready(self.range.node(node), START_TIMEOUT);
        tokio::pin!(asked);
        let mut look = interval(Duration::from_millis(20));
        let is_ready = loop {
            tokio::select! {
                ready = &mut asked => break ready,
                // A node that has exited will not become ready.
                _ = look.tick() => {
                    if self.nodes[node].as_mut().and_then(Process::ended).is_some() {
                        break false;
                    }
                }
            }
        };
        if is_ready {
            self.load.node(node, None);
            return true;
        }
        let now = self.clock.now();
        let life = match self.nodes[node].as_mut().and_then(Process::ended) {
            Some(how) => ProcessEvent::Crashed(how),
            None => ProcessEvent::NeverReady,
        };
        self.record_failure(now, node, life);
        false
    }

    fn record_failure(&mut self, at: Nanos, node: usize, life: ProcessEvent) {
        if let Some(process) = &self.nodes[node] {
            self.tails.push(format!("node {node}:\n{}", process.tail()));
        }
        self.lives.push((at, node, life));
    }

    /// Tells the front that a node has ended; the front notices with a delay.
    fn announce_end(&self, node: usize, at: Nanos) {
        self.load.node(node, Some(at + millis(self.plan.experiment.nodes.notice_ms)));
    }

    fn apply_change(&mut self, at: Nanos, change: ScheduledEvent) -> Result<(), String> {
        match change {
            ScheduledEvent::Mark(what) => self.marks.push((at, what)),
            ScheduledEvent::NodeKill(node) => {
                if let Some(process) = self.nodes[node].take() {
                    process.signal(true);
                    let killed = self.clock.now(); // the node may have accepted requests that were sent before this time
                    self.lives.push((killed, node, ProcessEvent::Stopped { killed: true }));
                    self.announce_end(node, killed);
                }
            }
            ScheduledEvent::NodeStart(node) => {
                self.spawn(node)?;
                self.announce_when_ready(node);
            }
            ScheduledEvent::NodeRoll(node) => {
                if let Some(mut process) = self.nodes[node].take() {
                    process.look();
                    process.signal(false);
                    self.lives.push((at, node, ProcessEvent::Stopped { killed: false }));
                    let limit = Duration::from_nanos(
                        self.plan.experiment.max_deadline().min(MAX_DEADLINE_AT_STOP) + STOP_GRACE,
                    );
                    self.rolls.spawn(async move {
                        let status = process.wait(limit).await;
                        (node, process, status)
                    });
                }
            }
            ScheduledEvent::NodePause(node) => {
                if let Some(process) = &self.nodes[node] {
                    process.send(Signal::STOP);
                    let resume = process.resumer();
                    self.peers.spawn(async move {
                        sleep(PAUSE).await;
                        resume();
                    });
                }
            }
            ScheduledEvent::SilentPeers(rate) => self.peers_per_second = rate,
            _ => {}
        }
        Ok(())
    }

    /// Tells the front when a node that was started during the run is ready.
    fn announce_when_ready(&mut self, node: usize) {
        let (at, load) = (self.range.node(node), self.load.clone());
        self.peers.spawn(async move {
            if ready(at, START_TIMEOUT).await {
                load.node(node, None);
            }
        });
    }

    async fn restart_after_exit(
        &mut self, node: usize, process: Process, status: Option<std::process::ExitStatus>,
    ) -> Result<(), String> {
        let now = self.clock.now();
        self.announce_end(node, now);
        match status {
            None => {
                process.signal(true);
                self.lives.push((now, node, ProcessEvent::Stopped { killed: true }));
                self.lives.push((now, node, ProcessEvent::Overstayed));
            }
            Some(status) if !status.success() => {
                self.tails.push(format!("node {node}:\n{}", process.tail()));
                self.lives.push((now, node, ProcessEvent::Crashed(format!("after SIGTERM: {status}"))));
            }
            Some(_) => {}
        }
        drop(process);
        self.spawn(node)?;
        self.announce_when_ready(node);
        Ok(())
    }

    fn sample_usage(&mut self) {
        let now = self.clock.now();
        let limits = &self.plan.experiment.nodes;
        let mut failures = Vec::new();
        for (node, slot) in self.nodes.iter_mut().enumerate() {
            let Some(process) = slot else { continue };
            if let Some(how) = process.ended() {
                failures.push((node, ProcessEvent::Crashed(how)));
                continue;
            }
            let used = process.look();
            let peak = &mut self.used[node];
            peak.memory_mb = peak.memory_mb.max(used.memory_mb);
            peak.descriptors = peak.descriptors.max(used.descriptors);
            peak.cpu_s = peak.cpu_s.max(used.cpu_s);
            if used.memory_mb > limits.memory_mb {
                let what = format!("{:.1} MB of {} MB of memory", used.memory_mb, limits.memory_mb);
                failures.push((node, ProcessEvent::Exceeded(what)));
            } else if used.descriptors >= limits.sockets as u64 {
                let what = format!("all of its {} descriptors are in use", limits.sockets);
                failures.push((node, ProcessEvent::Exceeded(what)));
            }
        }
        for (node, life) in failures {
            self.record_failure(now, node, life);
            if let Some(process) = self.nodes[node].take() {
                process.signal(true); // a platform would kill a node that exceeds its limit
            }
            self.announce_end(node, now);
        }
        while self.peers.try_join_next().is_some() {}
        self.peers_due += self.peers_per_second * SAMPLE_INTERVAL.as_secs_f64();
        while self.peers_due >= 1.0 && self.peers.len() < MAX_PEERS {
            self.peers_due -= 1.0;
            for node in 0..self.nodes.len() {
                self.peers.spawn(self.load.clone().silent_peer(node));
            }
        }
    }

    async fn finish(mut self) -> Result<RunOutcome, String> {
        self.sample_usage();
        // Silent peers that are still connected have yet to be closed by their node.
        let experiment = self.plan.experiment.clone();
        let peers = Duration::from_nanos(2 * millis(experiment.rules.bad_peer_ms));
        let _ = timeout(peers, async { while self.peers.join_next().await.is_some() {} }).await;
        let now = self.clock.now();
        let limit = Duration::from_nanos(experiment.max_deadline().max(3 * SECOND) + STOP_GRACE);
        self.nodes.iter().flatten().for_each(|process| process.signal(false));
        for node in 0..self.nodes.len() {
            let Some(mut process) = self.nodes[node].take() else { continue };
            let life = match process.wait(limit).await {
                None => Some(ProcessEvent::Overstayed),
                Some(status) if !status.success() => {
                    Some(ProcessEvent::Crashed(format!("after SIGTERM: {status}")))
                }
                Some(_) => None,
            };
            self.lives.extend(life.map(|life| (now, node, life)));
        }
        let (server_records, client_records) = (self.servers.seen(), self.load.seen());
        let ledger = Ledger {
            plans: client_records.wishes,
            tries: client_records.tries,
            attempts: server_records.runs,
            notifications: server_records.told,
            peers: client_records.peers,
            process_events: self.lives,
            overload_crashes: server_records.falls,
            marks: self.marks,
        };
        let mut late = client_records.late;
        late.add(server_records.late).map_err(|error| format!("lateness: {error}"))?;
        let mut report = build_report(&experiment, &ledger);
        let breaches = report.add_violations(&experiment, &ledger);
        report.experiment = self.plan.name;
        report.nodes = self.plan.nodes.name();
        report.lab = harness_timing(&late, experiment.rules.lateness_ms);
        report.usage = self.used;
        Ok(RunOutcome { report, breaches, tails: self.tails })
    }
}
