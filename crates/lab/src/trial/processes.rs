//! Runs a scenario on node processes, with relays in all links, clients in front of the nodes and guide servers
//! behind them.

use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr};
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::Duration;

use merlinfold_fault_injection::invariants::{
    all_invariants, ActualState, Findings, Invariant, Views, Violation, SAMPLE_INTERVAL,
};
use merlinfold_fault_injection::link::Links;
use merlinfold_fault_injection::report::{mean_and_max, seconds, Report, ViewSample};
use merlinfold_fault_injection::scenario::{
    DiskContents, DiskFault, FaultKind, Scenario, CLIENTS, DISCOVERY, FIRST_SERVER,
};
use merlinfold_fault_injection::schedule::{nanos, steps, StepAction};
use merlinfold_fleet::Snapshot;
use merlinfold_simulation::experiment::Experiment;
use merlinfold_simulation::ledger::{Invariant as LedgerLaw, Ledger, ProcessEvent};
use merlinfold_simulation::seed::{mix, Seed};
use merlinfold_simulation::{millis, Nanos};
use rustix::process::Signal;
use serde_json::Value;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::task::JoinSet;
use tokio::time::{sleep, sleep_until, timeout, Instant};

use super::faulty_disk;
use super::log_proposals::{self, Proposals};
use super::relay::{relay_connections, relay_datagrams, SharedLinks};
use crate::experiments;
use crate::load::{ready, Load};
use crate::net::Range;
use crate::platform;
use crate::process::{NodeCommand, Process};
use crate::runner::Folder;
use crate::servers::Servers;
use crate::time::Clock;

const START_TIMEOUT: Duration = Duration::from_secs(10); // for a node to become ready
const POLL_INTERVAL: Duration = Duration::from_millis(250); // between polls of all consoles
const CONSOLE_TIMEOUT: Duration = Duration::from_millis(200); // a stopped process does not answer
const SHUTDOWN_TIMEOUT: Duration = Duration::from_secs(5); // for a node to end after SIGTERM
const MAX_LATE_FORWARDS: u64 = 200; // a run in which relays forward more than this late is void
const FLEET_PORT: u16 = 7_946;
const CONSOLE_PORT: u16 = 8_090;
const CLUSTER: &str = "trial";
/// Request invariants that must hold whatever fails between processes.
const REQUEST_INVARIANTS: [(LedgerLaw, &str); 5] = [
    (LedgerLaw::AnsweredOnce, "answered once"),
    (LedgerLaw::UnsafeOnce, "unsafe once"),
    (LedgerLaw::Genuine, "genuine"),
    (LedgerLaw::NoStranger, "no stranger's request"),
    (LedgerLaw::Attempts, "attempts"),
];

/// A node's console and the last snapshot read from it.
struct Console {
    at: SocketAddr,
    snapshot: Option<Snapshot>,
}

/// A run in progress. Its vectors are indexed by node number.
struct Runner<'a> {
    scenario: &'a Scenario,
    experiment: Experiment,
    command: &'a NodeCommand,
    clock: Clock,
    inner: Arc<Range>,
    outer: Arc<Range>,
    servers: Servers,
    load: Load,
    folder: Folder,
    nodes: Vec<Option<Process>>,
    consoles: Vec<Console>,
    paused: Vec<bool>,
    starts: u64,
    faulty_disks: bool, // whether nodes use the lab's faulty disks
    lifecycle_events: Vec<(Nanos, usize, ProcessEvent)>,
    links: SharedLinks,
    actual: ActualState,
    invariants: Vec<Box<dyn Invariant>>,
    findings: Findings,
    report: Report,
    cpu_seconds: Vec<f64>,    // of the processes that have ended
    started_at: Vec<Instant>, // of the latest process
    tasks: JoinSet<()>,
    proposals: Option<Proposals>,
}

/// The nodes' views of their fleet, as read from their consoles.
struct ConsoleViews<'a>(&'a [Console]);

impl ConsoleViews<'_> {
    fn snapshot(&self, observer: usize) -> Option<&Snapshot> {
        self.0[observer].snapshot.as_ref()
    }
}

/// Returns the static name of a member's state; an unknown state counts as dead.
fn state_name(state: &str) -> &'static str {
    match state {
        "alive" => "alive",
        "suspect" => "suspect",
        "left" => "left",
        _ => "dead",
    }
}

impl Views for ConsoleViews<'_> {
    fn state(&self, observer: usize, member: usize) -> Option<&'static str> {
        let name = format!("n{member}");
        let line = self.snapshot(observer)?.members.iter().find(|line| line.name == name)?;
        Some(state_name(&line.state))
    }

    fn majority(&self, observer: usize) -> Option<bool> {
        self.snapshot(observer).map(|seen| seen.majority)
    }

    fn accusation_count(&self, observer: usize) -> Option<u64> {
        self.snapshot(observer).and_then(|seen| seen.counts.get("accused").copied())
    }

    fn run_id(&self, observer: usize) -> Option<u64> {
        self.snapshot(observer).map(|seen| seen.run)
    }

    fn foreign_members(&self, observer: usize) -> usize {
        let is_foreign = |line: &&merlinfold_fleet::MemberLine| !line.name.starts_with('n');
        self.snapshot(observer).map_or(0, |seen| seen.members.iter().filter(is_foreign).count())
    }
}

/// Returns the experiment that surrounds the fleet: a light load, well within the guide servers' capacity.
fn surrounding_experiment(scenario: &Scenario) -> Result<Experiment, String> {
    let mut experiment = experiments::find("calm")?;
    experiment.seconds = scenario.seconds;
    experiment.seed = scenario.seed;
    (experiment.nodes.count, experiment.nodes.sockets, experiment.nodes.ask) =
        (scenario.fleet.nodes, 512, false);
    experiment.fleet.zones = scenario.fleet.zones.clone();
    experiment.fleet.kinds.truncate(1);
    for kind in &mut experiment.fleet.kinds {
        kind.count = scenario.fleet.servers;
    }
    (experiment.load.of_capacity, experiment.load.swing) = (0.1, 0.0);
    experiment.rules.served = 0.0;
    experiment.validate().map_err(|error| error.to_string())?;
    Ok(experiment)
}

/// Returns the address on which a node receives fleet datagrams, in a range of addresses.
fn fleet_address(range: &Range, node: usize) -> SocketAddr {
    SocketAddr::new(range.node(node).ip(), FLEET_PORT)
}

/// Runs the scenario on processes and reports. Dropping the future stops every process and task that it started.
///
/// Returns an error if the scenario is invalid or cannot run on processes, if a node does not become ready, and if a
/// node ends although no step ends it.
pub async fn run(
    name: &str, scenario: &Scenario, command: &NodeCommand, logs: Option<&Path>,
) -> Result<Report, String> {
    scenario.check()?;
    if scenario.fleet.strangers > 0 {
        return Err("a scenario with strangers runs in virtual time only; use --virtual".to_owned());
    }
    let needs_faulty_disk = |fault: &merlinfold_fault_injection::scenario::Fault| match fault.kind {
        FaultKind::Disk { does, .. } => does.needs_faulty_store(),
        _ => false,
    };
    let faulty_disks = scenario.faults.iter().any(needs_faulty_disk);
    if faulty_disks && *command != NodeCommand::own()? {
        return Err(
            "the scenario needs faulty disks, which only the lab's own node has; leave out --node".to_owned()
        );
    }
    let experiment = surrounding_experiment(scenario)?;
    let count = scenario.fleet.nodes;
    let steps = steps(scenario)?;
    let (inner, outer) = (Arc::new(Range::claim()?), Arc::new(Range::claim()?));
    let clock = Clock::default();
    let (changes, _changed) = mpsc::unbounded_channel(); // the experiment plans no faults of its own
    let (servers, _stop) =
        Servers::start(&experiment, Seed(experiment.seed), &clock, &inner, &outer, changes)?;
    let (load, wake, _done) = Load::start(&experiment, Seed(experiment.seed), &clock, &outer);
    let links = SharedLinks::new(Links::new(scenario.network.clone(), scenario.seed));
    let mut tasks = JoinSet::new();
    let fleet_addresses =
        |range: &Range| (0..count).map(|node| fleet_address(range, node)).collect::<Vec<_>>();
    let relay_error = |error: std::io::Error| format!("cannot start the relays: {error}");
    relay_datagrams(&links, fleet_addresses(&inner), fleet_addresses(&outer), &mut tasks)
        .await
        .map_err(relay_error)?;
    for node in 0..count {
        let to_servers = (0..scenario.fleet.servers)
            .map(|s| (node, outer.server(node, s), FIRST_SERVER + s, inner.server(node, s)));
        let others = [
            (node, outer.discovery(node), DISCOVERY, inner.discovery(node)),
            (CLIENTS, outer.node(node), node, inner.node(node)),
        ];
        for (from, listen, to, target) in to_servers.chain(others) {
            relay_connections(&links, from, listen, to, target, &mut tasks).map_err(relay_error)?;
        }
    }
    let folder = Folder::new(logs.map(PathBuf::from).as_ref())?;
    let console = |node| SocketAddr::new(inner.node(node).ip(), CONSOLE_PORT);
    let mut runner = Runner {
        consoles: (0..count).map(|node| Console { at: console(node), snapshot: None }).collect(),
        actual: ActualState::new(scenario, steps.last().map_or(0, |step| step.at)),
        invariants: all_invariants(scenario),
        findings: Findings::default(),
        report: Report::new(name, scenario, "processes", Findings::default()),
        nodes: (0..count).map(|_| None).collect(),
        paused: vec![false; count],
        starts: 0,
        faulty_disks,
        lifecycle_events: Vec::new(),
        cpu_seconds: vec![0.0; count],
        started_at: vec![Instant::now(); count],
        scenario,
        experiment,
        command,
        clock: clock.clone(),
        inner,
        outer,
        servers,
        load,
        folder,
        links,
        tasks,
        proposals: None,
    };
    for node in 0..count {
        runner.start(node, DiskContents::Empty)?;
    }
    for node in 0..count {
        if !ready(runner.outer.node(node), START_TIMEOUT).await {
            return Err(format!("node {node} did not become ready within 10 s:\n{}", runner.tail(node)));
        }
        runner.load.node(node, None);
    }
    clock.start();
    runner.servers.tick();
    wake.notify_one();
    if scenario.log.is_some() {
        let consoles = runner.consoles.iter().map(|console| console.at).collect();
        runner.proposals = Some(Proposals::start(consoles, scenario.seed));
    }
    runner.run_schedule(&steps).await?;
    runner.finish().await
}

impl Runner<'_> {
    fn disk(&self, node: usize) -> PathBuf {
        self.folder.path.join(format!("disk-{node}"))
    }

    fn tail(&self, node: usize) -> String {
        self.nodes[node].as_ref().map(Process::tail).unwrap_or_default()
    }

    /// Applies the schedule's steps, polls the consoles and samples the invariants until the scenario's end.
    async fn run_schedule(
        &mut self, steps: &[merlinfold_fault_injection::schedule::Step],
    ) -> Result<(), String> {
        let begun = Instant::now();
        let at = |at: Nanos| begun + Duration::from_nanos(at);
        let end = at(nanos(self.scenario.seconds));
        let mut steps = steps.iter().peekable();
        let (mut next_poll, mut next_sample) = (begun, begun + Duration::from_nanos(SAMPLE_INTERVAL));
        loop {
            let due = steps.peek().map_or(end, |step| at(step.at)).min(next_poll).min(next_sample).min(end);
            sleep_until(due).await;
            let now = Instant::now();
            if now >= end {
                return Ok(());
            }
            while let Some(step) = steps.next_if(|step| at(step.at) <= now) {
                self.apply_step(&step.action).await?;
            }
            if next_poll <= now {
                self.poll_consoles().await?;
                next_poll = Instant::now() + POLL_INTERVAL;
            }
            if next_sample <= now {
                next_sample = now + Duration::from_nanos(SAMPLE_INTERVAL);
                self.take_sample();
            }
        }
    }

    /// Applies a step of the schedule and notifies the invariants.
    async fn apply_step(&mut self, action: &StepAction) -> Result<(), String> {
        let now = self.clock.now();
        self.report.add_timeline_entry(now, None, action.description());
        self.links.apply(action);
        match action {
            StepAction::Kill(node) => {
                if let Some(process) = self.take_process(*node) {
                    process.signal(true);
                    self.lifecycle_events.push((now, *node, ProcessEvent::Stopped { killed: true }));
                    self.load.node(*node, Some(now + millis(self.experiment.nodes.notice_ms)));
                }
            }
            StepAction::Stop(node) => {
                if let Some(mut process) = self.take_process(*node) {
                    process.signal(false);
                    self.lifecycle_events.push((now, *node, ProcessEvent::Stopped { killed: false }));
                    self.load.node(*node, Some(now + millis(self.experiment.nodes.notice_ms)));
                    self.tasks.spawn(async move {
                        let _ = process.wait(SHUTDOWN_TIMEOUT).await; // dropping the process kills it if it still runs
                    });
                }
            }
            StepAction::Start(node, kept) => {
                self.start(*node, *kept)?;
                let (at, load, node) = (self.outer.node(*node), self.load.clone(), *node);
                self.tasks.spawn(async move {
                    if ready(at, START_TIMEOUT).await {
                        load.node(node, None);
                    }
                });
            }
            StepAction::Pause(node) | StepAction::Continue(node) => {
                let pauses = matches!(action, StepAction::Pause(_));
                if let Some(process) = &self.nodes[*node] {
                    process.send(if pauses { Signal::STOP } else { Signal::CONT });
                }
                self.paused[*node] = pauses;
            }
            StepAction::SetDiskFault(node, fault) => self.set_disk_fault(*node, *fault)?,
            StepAction::BeginRule { .. } | StepAction::EndRule(_) => {}
        }
        self.actual.apply(now, action);
        let seen = ConsoleViews(&self.consoles);
        for invariant in &mut self.invariants {
            invariant.on_step(now, &self.actual, action, &seen, &mut self.findings);
        }
        Ok(())
    }

    /// Removes a node's process from the run; the caller ends the process.
    fn take_process(&mut self, node: usize) -> Option<Process> {
        let mut process = self.nodes[node].take()?;
        self.cpu_seconds[node] += process.look().cpu_s;
        self.consoles[node].snapshot = None;
        Some(process)
    }

    /// Starts a node's process with the given contents of its disk.
    fn start(&mut self, node: usize, contents: DiskContents) -> Result<(), String> {
        self.prepare_disk(node, contents).map_err(|error| format!("disk of n{node}: {error}"))?;
        let file_error =
            |error: std::io::Error| format!("cannot write the configuration of node {node}: {error}");
        let disk = self.disk(node);
        let known = self.servers.known(node);
        self.starts += 1;
        let mut text: Value =
            platform::configuration(&self.experiment, node, self.starts, known, &self.outer);
        // The node listens behind its relay; clients connect to the outer address.
        text["listen"] = self.inner.node(node).to_string().into();
        text["console"] = self.consoles[node].at.to_string().into();
        let quoted = |at: SocketAddr| format!("\"{at}\"");
        let seeds = (0..self.scenario.fleet.seeds.min(self.scenario.fleet.nodes))
            .filter(|seed| *seed != node)
            .map(|seed| quoted(fleet_address(&self.outer, seed)));
        let product = format!(
            "[fleet]\ncluster = \"{CLUSTER}\"\nlisten = {}\nadvertise = {}\nzone = \"{}\"\nmachine = \"{}\"\n\
             seeds = [{}]\nfolder = {:?}\n{}",
            quoted(fleet_address(&self.inner, node)),
            quoted(fleet_address(&self.outer, node)),
            self.scenario.zone(node),
            self.scenario.machine(node),
            seeds.collect::<Vec<_>>().join(", "),
            disk.display().to_string(),
            self.scenario.log.as_ref().map(log_proposals::configuration_table).unwrap_or_default(),
        );
        let file = self.folder.path.join(format!("node-{node}.toml"));
        std::fs::write(&file, product).map_err(file_error)?;
        let mut command = self.command.clone();
        command.words.extend(["--config".to_owned(), file.display().to_string()]);
        if self.faulty_disks {
            command.words.extend(["--store".to_owned(), (self.scenario.seed ^ mix(self.starts)).to_string()]);
        }
        let sockets = self.experiment.nodes.sockets;
        let process = Process::start(&command, node, &text.to_string(), sockets, &self.folder.path)?;
        self.nodes[node] = Some(process);
        self.paused[node] = false;
        self.started_at[node] = Instant::now();
        Ok(())
    }

    /// Prepares a disk's contents before its node starts. Permission bits are of no use as a fault: root ignores them.
    fn prepare_disk(&self, node: usize, contents: DiskContents) -> std::io::Result<()> {
        let (disk, before) = (self.disk(node), self.folder.path.join(format!("before-{node}")));
        let view = disk.join("fleet.mf");
        let random = mix(self.scenario.seed ^ mix(node as u64 ^ (self.starts << 20)));
        let copy = |from: &Path, to: &Path| match std::fs::copy(from, to) {
            Err(error) if error.kind() != std::io::ErrorKind::NotFound => Err(error),
            _ => Ok(()),
        };
        match contents {
            DiskContents::Empty => {
                let _ = std::fs::remove_dir_all(&disk);
            }
            DiskContents::Yesterday => copy(&before, &view)?,
            DiskContents::Foreign => {
                let other = self.disk((node + 1) % self.scenario.fleet.nodes);
                copy(&other.join("fleet.mf"), &view)?;
            }
            DiskContents::Torn | DiskContents::Flipped => {
                if let Ok(mut bytes) = std::fs::read(&view) {
                    let at = (random % bytes.len().max(1) as u64) as usize;
                    if contents == DiskContents::Torn {
                        bytes.truncate(at);
                    } else if let Some(byte) = bytes.get_mut(at) {
                        *byte ^= 1 << (random >> 32 & 7);
                    }
                    std::fs::write(&view, bytes)?;
                }
            }
            DiskContents::Kept => {}
        }
        if contents != DiskContents::Yesterday {
            copy(&view, &before)?;
        }
        Ok(())
    }

    /// Sets the fault of a node's disk from now on; `None` removes it.
    fn set_disk_fault(&mut self, node: usize, fault: Option<DiskFault>) -> Result<(), String> {
        let (disk, aside) = (self.disk(node), self.folder.path.join(format!("aside-{node}")));
        let full: Vec<PathBuf> =
            faulty_disk::node_files().map(|file| disk.join(format!("{file}.new"))).collect();
        let result = match fault {
            Some(DiskFault::Full) => std::fs::create_dir_all(&disk).and_then(|()| {
                full.iter().try_for_each(|full| {
                    let _ = std::fs::remove_file(full);
                    std::os::unix::fs::symlink("/dev/full", full)
                })
            }),
            Some(DiskFault::Limited) => {
                self.nodes[node].as_ref().map_or(Ok(()), |process| process.limit_files(Some(0)))
            }
            Some(DiskFault::Gone) => {
                // A file replaces the folder, so that nobody, not even root, can create anything in it.
                let _ = std::fs::rename(&disk, &aside);
                std::fs::write(&disk, "")
            }
            Some(injected) => faulty_disk::set_fault(&disk, Some(injected)),
            None => {
                let _ = std::fs::remove_file(faulty_disk::fault_file(&disk));
                let lifted = self.nodes[node].as_ref().map_or(Ok(()), |process| process.limit_files(None));
                for full in full.iter().filter(|full| std::fs::read_link(full).is_ok()) {
                    let _ = std::fs::remove_file(full);
                }
                if disk.is_file() {
                    let _ = std::fs::remove_file(&disk);
                    let _ = std::fs::rename(&aside, &disk);
                }
                lifted
            }
        };
        result.map_err(|error| format!("disk of n{node}: {error}"))
    }

    /// Reads all consoles at once and notifies the invariants of each change.
    ///
    /// Returns an error if a node's process has ended although no step ended it.
    async fn poll_consoles(&mut self) -> Result<(), String> {
        for node in 0..self.nodes.len() {
            if let Some(how) = self.nodes[node].as_mut().and_then(Process::ended) {
                let tail = self.tail(node);
                self.nodes[node] = None;
                return Err(format!("n{node} ended unexpectedly with {how}:\n{tail}"));
            }
        }
        let mut polls = JoinSet::new();
        for node in (0..self.nodes.len()).filter(|&node| self.nodes[node].is_some() && !self.paused[node]) {
            let at = self.consoles[node].at;
            polls.spawn(
                async move { (node, timeout(CONSOLE_TIMEOUT, fetch_snapshot(at)).await.ok().flatten()) },
            );
        }
        while let Some(answer) = polls.join_next().await {
            if let Ok((node, Some(snapshot))) = answer {
                self.record_snapshot(node, snapshot);
            }
        }
        Ok(())
    }

    /// Records a new snapshot, with the changes against the one before it.
    fn record_snapshot(&mut self, node: usize, snapshot: Snapshot) {
        let now = self.clock.now();
        let states = |seen: &Snapshot| -> BTreeMap<String, &'static str> {
            seen.members.iter().map(|line| (line.name.clone(), state_name(&line.state))).collect()
        };
        let before = self.consoles[node].snapshot.replace(snapshot);
        let Some(seen) = &self.consoles[node].snapshot else { return };
        let (was, is) = (before.as_ref().map(states).unwrap_or_default(), states(seen));
        for (name, is) in &is {
            let had = was.get(name);
            if had == Some(is) {
                continue;
            }
            if let Some(member) = merlinfold_fault_injection::invariants::node_number(name) {
                for invariant in &mut self.invariants {
                    invariant.on_state_change(now, &self.actual, node, member, is, &mut self.findings);
                }
            }
            self.report.add_timeline_entry(
                now,
                Some(node),
                format!("{name}: {} -> {is}", had.unwrap_or(&"unknown")),
            );
        }
        if before.is_some_and(|before| before.majority != seen.majority) {
            let what = if seen.majority { "hears most" } else { "hears fewer than half" };
            self.report.add_timeline_entry(now, Some(node), what.to_owned());
        }
    }

    /// Samples the invariants and the number of members that each node sees alive.
    fn take_sample(&mut self) {
        let now = self.clock.now();
        let seen = ConsoleViews(&self.consoles);
        for invariant in &mut self.invariants {
            invariant.on_sample(now, &self.actual, &seen, &mut self.findings);
        }
        let alive =
            self.consoles.iter().map(|console| console.snapshot.as_ref().map(|seen| seen.alive)).collect();
        self.report.samples.push(ViewSample { at: seconds(now), alive, served: None });
    }

    /// Ends all processes, checks the invariants of the whole run and builds the report.
    async fn finish(mut self) -> Result<Report, String> {
        sleep(Duration::from_nanos(self.experiment.max_deadline())).await; // for the last answers
        let mut crashed = Vec::new();
        let log_outcome = match self.proposals.take() {
            Some(proposals) => {
                let up =
                    (0..self.nodes.len()).filter(|&node| self.nodes[node].is_some() && !self.paused[node]);
                let up = up.collect();
                Some(proposals.finish(up).await)
            }
            None => None,
        };
        let now = self.clock.now();
        let mut processor = Vec::new();
        let mut bytes = Vec::new();
        for node in 0..self.nodes.len() {
            let counts = self.consoles[node].snapshot.as_ref().map(|seen| &seen.counts);
            let sent = counts.and_then(|counts| counts.get("sent_bytes").copied()).unwrap_or(0);
            let lived = self.started_at[node].elapsed().as_secs_f64();
            let Some(mut process) = self.take_process(node) else { continue };
            bytes.push(sent as f64 / lived);
            processor.push(self.cpu_seconds[node] / self.scenario.seconds);
            process.send(Signal::CONT);
            process.signal(false);
            match process.wait(SHUTDOWN_TIMEOUT).await {
                Some(status) if status.success() => {}
                Some(status) => crashed.push(format!("n{node} after SIGTERM: {status}\n{}", process.tail())),
                None => {
                    crashed.push(format!("n{node} did not end within 5 s of SIGTERM\n{}", process.tail()))
                }
            }
        }
        let (of_servers, of_clients) = (self.servers.seen(), self.load.seen());
        let ledger = Ledger {
            plans: of_clients.wishes,
            tries: of_clients.tries,
            attempts: of_servers.runs,
            notifications: of_servers.told,
            peers: of_clients.peers,
            process_events: std::mem::take(&mut self.lifecycle_events),
            overload_crashes: of_servers.falls,
            marks: Vec::new(),
        };
        let mut request_report = merlinfold_simulation::report::build_report(&self.experiment, &ledger);
        let broken = request_report.add_violations(&self.experiment, &ledger);
        let judged = Report::new(&self.report.name, self.scenario, "processes", self.findings);
        let mut report = self.report;
        (report.violations, report.figures) = (judged.violations, judged.figures);
        for breach in broken {
            if let Some((_, invariant)) =
                REQUEST_INVARIANTS.into_iter().find(|(law, _)| *law == breach.invariant)
            {
                report.violations.push(Violation { invariant, at: seconds(now), detail: breach.description });
            }
        }
        if let Some(outcome) = log_outcome {
            report.add_timeline_entry(now, None, outcome.text);
            let broken = outcome.violations.into_iter();
            report.violations.extend(broken.map(|(invariant, what)| Violation {
                invariant,
                at: seconds(now),
                detail: what,
            }));
        }
        for what in crashed {
            report.violations.push(Violation { invariant: "ends well", at: seconds(now), detail: what });
        }
        let whole = &request_report.whole;
        let served = whole.served as f64 / whole.asked.max(1) as f64;
        if served < self.scenario.rules.served {
            let what = format!(
                "{served:.3} of the requests were served, expected at least {}",
                self.scenario.rules.served
            );
            report.violations.push(Violation { invariant: "served", at: seconds(now), detail: what });
        }
        report.figures.served = Some(served);
        report.figures.bytes_s = mean_and_max(&bytes);
        report.figures.processor = mean_and_max(&processor);
        // Each sample shows the share of requests served in the ledger's window that it falls into.
        for sample in &mut report.samples {
            let window = request_report.windows.iter().rev().find(|window| window.from_s <= sample.at);
            sample.served = window.filter(|w| w.asked > 0).map(|w| w.served as f64 / w.asked as f64);
        }
        let late = self.links.late_count();
        if late > MAX_LATE_FORWARDS {
            report.void_reason = Some(format!(
                "relays forwarded {late} datagrams and chunks more than 50 ms late: the machine is too busy"
            ));
        }
        Ok(report)
    }
}

/// Reads a node's view of its fleet from its console; none if there is no valid answer.
pub(crate) async fn fetch_snapshot(at: SocketAddr) -> Option<Snapshot> {
    debug_assert!(matches!(at.ip(), IpAddr::V4(ip) if ip.is_loopback()));
    let mut stream = TcpStream::connect(at).await.ok()?;
    stream.write_all(format!("GET /fleet/members HTTP/1.1\r\nHost: {at}\r\n\r\n").as_bytes()).await.ok()?;
    let mut text = String::new();
    stream.read_to_string(&mut text).await.ok()?;
    let (head, body) = text.split_once("\r\n\r\n")?;
    head.contains(" 200 ").then(|| serde_json::from_str(body).ok())?
}
