//! Plays one experiment: starts everything, carries out what concerns nodes, ends everything, judges.

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

/// Time in which a node has to become ready.
const START: Duration = Duration::from_secs(5);
/// Time beyond the longest deadline until a node that was told to end is killed.
const STOP: Nanos = 700_000_000;
/// What counts of the longest deadline then.
const LONGEST_COUNTED: Nanos = 3 * SECOND;
/// Time for which a node is held up.
const PAUSE: Duration = Duration::from_millis(150);
/// Time between looks at what nodes use.
const LOOK: Duration = Duration::from_millis(250);
/// Time after the last try in which servers may still come to an end.
const SETTLE: Duration = Duration::from_millis(300);
/// Silent peers that may be out at once.
const PEERS_MOST: usize = 20_000;

/// What to play.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Name of the experiment.
    pub name: String,
    /// It.
    pub day: Experiment,
    /// What a node is started with.
    pub nodes: NodeCommand,
    /// Where configurations and logs of nodes are kept; else they are gone with the run.
    pub logs: Option<PathBuf>,
}

/// What came of it.
#[derive(Clone, Debug)]
pub struct Played {
    /// The figures.
    pub report: Report,
    /// Laws broken.
    pub breaches: Vec<Violation>,
    /// The last lines of the logs of nodes that failed.
    pub tails: Vec<String>,
}

/// A folder that is gone when the run is, unless it is to be kept.
pub(crate) struct Folder {
    pub(crate) path: PathBuf,
    keep: bool,
}

impl Folder {
    pub(crate) fn new(keep: Option<&PathBuf>) -> Result<Self, String> {
        use std::sync::atomic::{AtomicU32, Ordering};
        static NEXT: AtomicU32 = AtomicU32::new(0);
        let own = || {
            let number = NEXT.fetch_add(1, Ordering::Relaxed);
            std::env::temp_dir().join(format!("merlinfold-lab-{}-{number}", std::process::id()))
        };
        let path = keep.cloned().unwrap_or_else(own);
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

struct Conductor {
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
    peers_a_second: f64,
    peers_due: f64,
}

/// Plays it. `progress` is told how much of the day has passed. Dropping the future ends all that was started.
pub async fn play(plan: Plan, progress: impl Fn(Duration)) -> Result<Played, String> {
    plan.day.validate().map_err(|fault| format!("{}: {fault}", plan.name))?;
    let seed = Seed(plan.day.seed);
    let clock = Clock::default();
    let range = Arc::new(Range::claim()?);
    let (changes, mut changed) = mpsc::unbounded_channel();
    let (servers, _stop) = Servers::start(&plan.day, seed, &clock, &range, &range, changes)?;
    let (load, wake, mut done) = Load::start(&plan.day, seed, &clock, &range);
    let folder = Folder::new(plan.logs.as_ref())?;
    let count = plan.day.nodes.count;
    let mut conductor = Conductor {
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
        peers_a_second: 0.0,
        peers_due: 0.0,
        plan,
    };
    let mut started = true;
    for node in 0..count {
        conductor.spawn(node)?;
    }
    for node in 0..count {
        started = started && conductor.await_ready(node).await;
    }
    if started {
        clock.start();
        conductor.servers.tick();
        wake.notify_one();
        let most =
            Duration::from_nanos(conductor.plan.day.duration() + 4 * conductor.plan.day.max_deadline());
        let mut look = interval(LOOK);
        let end = tokio::time::sleep(most + Duration::from_secs(10));
        tokio::pin!(end);
        loop {
            tokio::select! {
                Some((at, change)) = changed.recv() => conductor.change(at, change)?,
                Some(Ok((node, process, status))) = conductor.rolls.join_next() => {
                    conductor.rolled(node, process, status).await?;
                }
                _ = look.tick() => {
                    progress(Duration::from_nanos(clock.now()));
                    conductor.look();
                }
                _ = &mut done => break,
                () = &mut end => {
                    return Err("the clients did not come to an end: a fault of the lab".to_owned());
                }
            }
        }
        sleep(SETTLE).await;
    }
    conductor.finish().await
}

impl Conductor {
    fn spawn(&mut self, node: usize) -> Result<(), String> {
        self.starts += 1;
        let known = self.servers.known(node);
        let day = &self.plan.day;
        let text = platform::configuration(day, node, self.starts, known, &self.range).to_string();
        let process = Process::start(&self.plan.nodes, node, &text, day.nodes.sockets, &self.folder.path)?;
        self.nodes[node] = Some(process);
        Ok(())
    }

    async fn await_ready(&mut self, node: usize) -> bool {
        let asked = ready(self.range.node(node), START);
        tokio::pin!(asked);
        let mut look = interval(Duration::from_millis(20));
        let is_ready = loop {
            tokio::select! {
                ready = &mut asked => break ready,
                // One that has ended by itself need not be waited for.
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
        self.fault(now, node, life);
        false
    }

    fn fault(&mut self, at: Nanos, node: usize, life: ProcessEvent) {
        if let Some(process) = &self.nodes[node] {
            self.tails.push(format!("node {node}:\n{}", process.tail()));
        }
        self.lives.push((at, node, life));
    }

    /// The front notices late that a node has gone.
    fn gone(&self, node: usize, at: Nanos) {
        self.load.node(node, Some(at + millis(self.plan.day.nodes.notice_ms)));
    }

    fn change(&mut self, at: Nanos, change: ScheduledEvent) -> Result<(), String> {
        match change {
            ScheduledEvent::Mark(what) => self.marks.push((at, what)),
            ScheduledEvent::NodeKill(node) => {
                if let Some(process) = self.nodes[node].take() {
                    process.signal(true);
                    let killed = self.clock.now(); // what it was sent until now it may have taken
                    self.lives.push((killed, node, ProcessEvent::Stopped { killed: true }));
                    self.gone(node, killed);
                }
            }
            ScheduledEvent::NodeStart(node) => {
                self.spawn(node)?;
                self.when_ready(node);
            }
            ScheduledEvent::NodeRoll(node) => {
                if let Some(mut process) = self.nodes[node].take() {
                    process.look();
                    process.signal(false);
                    self.lives.push((at, node, ProcessEvent::Stopped { killed: false }));
                    let most = Duration::from_nanos(self.plan.day.max_deadline().min(LONGEST_COUNTED) + STOP);
                    self.rolls.spawn(async move {
                        let status = process.wait(most).await;
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
            ScheduledEvent::SilentPeers(rate) => self.peers_a_second = rate,
            _ => {}
        }
        Ok(())
    }

    /// Tells the front once a node that was started during the day is ready.
    fn when_ready(&mut self, node: usize) {
        let (at, load) = (self.range.node(node), self.load.clone());
        self.peers.spawn(async move {
            if ready(at, START).await {
                load.node(node, None);
            }
        });
    }

    async fn rolled(
        &mut self, node: usize, process: Process, status: Option<std::process::ExitStatus>,
    ) -> Result<(), String> {
        let now = self.clock.now();
        self.gone(node, now);
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
        self.when_ready(node);
        Ok(())
    }

    fn look(&mut self) {
        let now = self.clock.now();
        let limit = &self.plan.day.nodes;
        let mut faults = Vec::new();
        for (node, place) in self.nodes.iter_mut().enumerate() {
            let Some(process) = place else { continue };
            if let Some(how) = process.ended() {
                faults.push((node, ProcessEvent::Crashed(how)));
                continue;
            }
            let used = process.look();
            let most = &mut self.used[node];
            most.memory_mb = most.memory_mb.max(used.memory_mb);
            most.descriptors = most.descriptors.max(used.descriptors);
            most.cpu_s = most.cpu_s.max(used.cpu_s);
            if used.memory_mb > limit.memory_mb {
                let what = format!("{:.1} MB of {} MB of memory", used.memory_mb, limit.memory_mb);
                faults.push((node, ProcessEvent::Exceeded(what)));
            } else if used.descriptors >= limit.sockets as u64 {
                let what = format!("all of its {} descriptors are in use", limit.sockets);
                faults.push((node, ProcessEvent::Exceeded(what)));
            }
        }
        for (node, life) in faults {
            self.fault(now, node, life);
            if let Some(process) = self.nodes[node].take() {
                process.signal(true); // over its limit a platform would kill it
            }
            self.gone(node, now);
        }
        while self.peers.try_join_next().is_some() {}
        self.peers_due += self.peers_a_second * LOOK.as_secs_f64();
        while self.peers_due >= 1.0 && self.peers.len() < PEERS_MOST {
            self.peers_due -= 1.0;
            for node in 0..self.nodes.len() {
                self.peers.spawn(self.load.clone().silent_peer(node));
            }
        }
    }

    async fn finish(mut self) -> Result<Played, String> {
        self.look();
        // Peers that are still out are owed their close yet.
        let day = self.plan.day.clone();
        let peers = Duration::from_nanos(2 * millis(day.rules.bad_peer_ms));
        let _ = timeout(peers, async { while self.peers.join_next().await.is_some() {} }).await;
        let now = self.clock.now();
        let most = Duration::from_nanos(day.max_deadline().max(3 * SECOND) + STOP);
        self.nodes.iter().flatten().for_each(|process| process.signal(false));
        for node in 0..self.nodes.len() {
            let Some(mut process) = self.nodes[node].take() else { continue };
            let life = match process.wait(most).await {
                None => Some(ProcessEvent::Overstayed),
                Some(status) if !status.success() => {
                    Some(ProcessEvent::Crashed(format!("after SIGTERM: {status}")))
                }
                Some(_) => None,
            };
            self.lives.extend(life.map(|life| (now, node, life)));
        }
        let (of_servers, of_clients) = (self.servers.seen(), self.load.seen());
        let ledger = Ledger {
            plans: of_clients.wishes,
            tries: of_clients.tries,
            attempts: of_servers.runs,
            notifications: of_servers.told,
            peers: of_clients.peers,
            process_events: self.lives,
            overload_crashes: of_servers.falls,
            marks: self.marks,
        };
        let mut late = of_clients.late;
        late.add(of_servers.late).map_err(|error| format!("lateness: {error}"))?;
        let mut report = build_report(&day, &ledger);
        let breaches = report.add_violations(&day, &ledger);
        report.experiment = self.plan.name;
        report.nodes = self.plan.nodes.name();
        report.lab = harness_timing(&late, day.rules.lateness_ms);
        report.usage = self.used;
        Ok(Played { report, breaches, tails: self.tails })
    }
}
