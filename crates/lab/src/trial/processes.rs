//! Plays a trial on processes of the program, with relays in all links, clients in front and guide servers behind.

use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr};
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::Duration;

use merlinfold_fault_injection::invariants::{
    all_invariants, ActualState, Findings, Invariant, Views, SAMPLE_INTERVAL,
};
use merlinfold_fault_injection::link::Links;
use merlinfold_fault_injection::report::{mean_and_max, seconds, Report, ViewSample};
use merlinfold_fault_injection::scenario::{
    DiskContents, DiskFault, FaultKind, Scenario, CLIENTS, DISCOVERY, FIRST_SERVER,
};
use merlinfold_fault_injection::schedule::{nanos, steps, StepAction};
use merlinfold_fleet::Snapshot;
use merlinfold_simulation::experiment::Experiment;
use merlinfold_simulation::ledger::{Law as LedgerLaw, Ledger, Life};
use merlinfold_simulation::seed::{mix, Seed};
use merlinfold_simulation::{millis, Nanos};
use rustix::process::Signal;
use serde_json::Value;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::task::JoinSet;
use tokio::time::{sleep, sleep_until, timeout, Instant};

use super::agreed::{self, Proposals};
use super::faulty;
use super::relay::{connections, datagrams, Fates};
use crate::experiments;
use crate::load::{ready, Load};
use crate::net::Range;
use crate::platform;
use crate::process::{NodeCommand, Process};
use crate::runner::Folder;
use crate::servers::Servers;
use crate::time::Clock;

const START: Duration = Duration::from_secs(10); // for a node to become ready
const LOOK: Duration = Duration::from_millis(250); // between looks at what nodes see
const ANSWER: Duration = Duration::from_millis(200); // for a console; one that is stopped gives none
const END: Duration = Duration::from_secs(5); // for a node that is told to end
const LATE_MOST: u64 = 200; // pieces that relays may pass on late until a play tells nothing
const FLEET_PORT: u16 = 7_946;
const CONSOLE_PORT: u16 = 8_090;
const CLUSTER: &str = "trial";
/// Laws of the ledger that hold whatever fails between processes.
const OF_REQUESTS: [(LedgerLaw, &str); 5] = [
    (LedgerLaw::AnsweredOnce, "answered once"),
    (LedgerLaw::UnsafeOnce, "unsafe once"),
    (LedgerLaw::Genuine, "genuine"),
    (LedgerLaw::NoStranger, "no stranger's request"),
    (LedgerLaw::Attempts, "attempts"),
];

/// What a node's console said last.
struct Console {
    at: SocketAddr,
    snapshot: Option<Snapshot>,
}

struct Player<'a> {
    trial: &'a Scenario,
    day: Experiment,
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
    store: bool, // nodes run on the lab's store
    lives: Vec<(Nanos, usize, Life)>,
    fates: Fates,
    truth: ActualState,
    laws: Vec<Box<dyn Invariant>>,
    found: Findings,
    report: Report,
    used: Vec<f64>,
    begun: Vec<Instant>,
    tasks: JoinSet<()>,
    proposals: Option<Proposals>,
}

struct Seen<'a>(&'a [Console]);

impl Seen<'_> {
    fn of(&self, observer: usize) -> Option<&Snapshot> {
        self.0[observer].snapshot.as_ref()
    }
}

fn state_of(state: &str) -> &'static str {
    match state {
        "alive" => "alive",
        "suspect" => "suspect",
        "left" => "left",
        _ => "dead",
    }
}

impl Views for Seen<'_> {
    fn state(&self, observer: usize, member: usize) -> Option<&'static str> {
        let name = format!("n{member}");
        let line = self.of(observer)?.members.iter().find(|line| line.name == name)?;
        Some(state_of(&line.state))
    }

    fn majority(&self, observer: usize) -> Option<bool> {
        self.of(observer).map(|seen| seen.majority)
    }

    fn accusation_count(&self, observer: usize) -> Option<u64> {
        self.of(observer).and_then(|seen| seen.counts.get("accused").copied())
    }

    fn run_id(&self, observer: usize) -> Option<u64> {
        self.of(observer).map(|seen| seen.run)
    }

    fn foreign_members(&self, observer: usize) -> usize {
        let others = |line: &&merlinfold_fleet::MemberLine| !line.name.starts_with('n');
        self.of(observer).map_or(0, |seen| seen.members.iter().filter(others).count())
    }
}

/// The day around the fleet: a light load on servers that can bear it.
fn day(trial: &Scenario) -> Result<Experiment, String> {
    let mut day = experiments::find("calm")?;
    day.seconds = trial.seconds;
    day.seed = trial.seed;
    (day.nodes.count, day.nodes.sockets, day.nodes.ask) = (trial.fleet.nodes, 512, false);
    day.fleet.zones = trial.fleet.zones.clone();
    day.fleet.kinds.truncate(1);
    for kind in &mut day.fleet.kinds {
        kind.count = trial.fleet.servers;
    }
    (day.load.of_capacity, day.load.swing) = (0.1, 0.0);
    day.rules.served = 0.0;
    day.check().map_err(|fault| fault.to_string())?;
    Ok(day)
}

/// Where a node hears datagrams, in a range of addresses.
fn fleet_address(range: &Range, node: usize) -> SocketAddr {
    SocketAddr::new(range.node(node).ip(), FLEET_PORT)
}

/// Plays it. Dropping the future ends all that was started.
pub async fn play(
    name: &str, trial: &Scenario, command: &NodeCommand, logs: Option<&Path>,
) -> Result<Report, String> {
    trial.check()?;
    if trial.fleet.strangers > 0 {
        return Err("strangers are played in virtual time only".to_owned());
    }
    let of_store = |fault: &merlinfold_fault_injection::scenario::Fault| match fault.kind {
        FaultKind::Disk { does, .. } => does.needs_faulty_store(),
        _ => false,
    };
    let store = trial.faults.iter().any(of_store);
    if store && *command != NodeCommand::own()? {
        return Err("only the lab's own node has a store that fails".to_owned());
    }
    let day = day(trial)?;
    let count = trial.fleet.nodes;
    let steps = steps(trial)?;
    let (inner, outer) = (Arc::new(Range::claim()?), Arc::new(Range::claim()?));
    let clock = Clock::default();
    let (changes, _changed) = mpsc::unbounded_channel(); // no trouble of the world's own is planned
    let (servers, _stop) = Servers::start(&day, Seed(day.seed), &clock, &inner, &outer, changes)?;
    let (load, wake, _done) = Load::start(&day, Seed(day.seed), &clock, &outer);
    let fates = Fates::new(Links::new(trial.network.clone(), trial.seed));
    let mut tasks = JoinSet::new();
    let all_of = |range: &Range| (0..count).map(|node| fleet_address(range, node)).collect::<Vec<_>>();
    let cannot = |error: std::io::Error| format!("relays: {error}");
    datagrams(&fates, all_of(&inner), all_of(&outer), &mut tasks).await.map_err(cannot)?;
    for node in 0..count {
        let links = (0..trial.fleet.servers)
            .map(|s| (node, outer.server(node, s), FIRST_SERVER + s, inner.server(node, s)));
        let own = [
            (node, outer.discovery(node), DISCOVERY, inner.discovery(node)),
            (CLIENTS, outer.node(node), node, inner.node(node)),
        ];
        for (from, at, to, onto) in links.chain(own) {
            connections(&fates, from, at, to, onto, &mut tasks).map_err(cannot)?;
        }
    }
    let folder = Folder::new(logs.map(PathBuf::from).as_ref())?;
    let console = |node| SocketAddr::new(inner.node(node).ip(), CONSOLE_PORT);
    let mut player = Player {
        consoles: (0..count).map(|node| Console { at: console(node), snapshot: None }).collect(),
        truth: ActualState::new(trial, steps.last().map_or(0, |step| step.at)),
        laws: all_invariants(trial),
        found: Findings::default(),
        report: Report::new(name, trial, "processes", Findings::default()),
        nodes: (0..count).map(|_| None).collect(),
        paused: vec![false; count],
        starts: 0,
        store,
        lives: Vec::new(),
        used: vec![0.0; count],
        begun: vec![Instant::now(); count],
        trial,
        day,
        command,
        clock: clock.clone(),
        inner,
        outer,
        servers,
        load,
        folder,
        fates,
        tasks,
        proposals: None,
    };
    for node in 0..count {
        player.start(node, DiskContents::Empty)?;
    }
    for node in 0..count {
        if !ready(player.outer.node(node), START).await {
            return Err(format!("node {node} was not ready:\n{}", player.tail(node)));
        }
        player.load.node(node, None);
    }
    clock.start();
    player.servers.tick();
    wake.notify_one();
    if trial.log.is_some() {
        let consoles = player.consoles.iter().map(|console| console.at).collect();
        player.proposals = Some(Proposals::start(consoles, trial.seed));
    }
    player.run(&steps).await?;
    player.finish().await
}

impl Player<'_> {
    fn disk(&self, node: usize) -> PathBuf {
        self.folder.path.join(format!("disk-{node}"))
    }

    fn tail(&self, node: usize) -> String {
        self.nodes[node].as_ref().map(Process::tail).unwrap_or_default()
    }

    async fn run(&mut self, steps: &[merlinfold_fault_injection::schedule::Step]) -> Result<(), String> {
        let begun = Instant::now();
        let at = |at: Nanos| begun + Duration::from_nanos(at);
        let end = at(nanos(self.trial.seconds));
        let mut steps = steps.iter().peekable();
        let (mut look, mut moment) = (begun, begun + Duration::from_nanos(SAMPLE_INTERVAL));
        loop {
            let due = steps.peek().map_or(end, |step| at(step.at)).min(look).min(moment).min(end);
            sleep_until(due).await;
            let now = Instant::now();
            if now >= end {
                return Ok(());
            }
            while let Some(step) = steps.next_if(|step| at(step.at) <= now) {
                self.step(&step.action).await?;
            }
            if look <= now {
                self.look().await?;
                look = Instant::now() + LOOK;
            }
            if moment <= now {
                moment = now + Duration::from_nanos(SAMPLE_INTERVAL);
                self.moment();
            }
        }
    }

    async fn step(&mut self, action: &StepAction) -> Result<(), String> {
        let now = self.clock.now();
        self.report.add_timeline_entry(now, None, action.description());
        self.fates.step(action);
        match action {
            StepAction::Kill(node) => {
                if let Some(process) = self.end(*node) {
                    process.signal(true);
                    self.lives.push((now, *node, Life::Stopped { killed: true }));
                    self.load.node(*node, Some(now + millis(self.day.nodes.notice_ms)));
                }
            }
            StepAction::Stop(node) => {
                if let Some(mut process) = self.end(*node) {
                    process.signal(false);
                    self.lives.push((now, *node, Life::Stopped { killed: false }));
                    self.load.node(*node, Some(now + millis(self.day.nodes.notice_ms)));
                    self.tasks.spawn(async move {
                        let _ = process.wait(END).await; // its drop kills what is left by then
                    });
                }
            }
            StepAction::Start(node, kept) => {
                self.start(*node, *kept)?;
                let (at, load, node) = (self.outer.node(*node), self.load.clone(), *node);
                self.tasks.spawn(async move {
                    if ready(at, START).await {
                        load.node(node, None);
                    }
                });
            }
            StepAction::Pause(node) | StepAction::Continue(node) => {
                let stops = matches!(action, StepAction::Pause(_));
                if let Some(process) = &self.nodes[*node] {
                    process.send(if stops { Signal::STOP } else { Signal::CONT });
                }
                self.paused[*node] = stops;
            }
            StepAction::SetDiskFault(node, fault) => self.break_disk(*node, *fault)?,
            StepAction::BeginRule { .. } | StepAction::EndRule(_) => {}
        }
        self.truth.apply(now, action);
        let seen = Seen(&self.consoles);
        for law in &mut self.laws {
            law.on_step(now, &self.truth, action, &seen, &mut self.found);
        }
        Ok(())
    }

    /// The process leaves the trial; whoever has it ends it.
    fn end(&mut self, node: usize) -> Option<Process> {
        let mut process = self.nodes[node].take()?;
        self.used[node] += process.look().cpu_s;
        self.consoles[node].snapshot = None;
        Some(process)
    }

    fn start(&mut self, node: usize, kept: DiskContents) -> Result<(), String> {
        self.put_disk(node, kept).map_err(|error| format!("disk of n{node}: {error}"))?;
        let cannot = |error: std::io::Error| format!("node {node}: {error}");
        let disk = self.disk(node);
        let known = self.servers.known(node);
        self.starts += 1;
        let mut text: Value = platform::configuration(&self.day, node, self.starts, known, &self.outer);
        // Behind its relay: clients come to the outer address.
        text["listen"] = self.inner.node(node).to_string().into();
        text["console"] = self.consoles[node].at.to_string().into();
        let quoted = |at: SocketAddr| format!("\"{at}\"");
        let seeds = (0..self.trial.fleet.seeds.min(self.trial.fleet.nodes))
            .filter(|seed| *seed != node)
            .map(|seed| quoted(fleet_address(&self.outer, seed)));
        let product = format!(
            "[fleet]\ncluster = \"{CLUSTER}\"\nlisten = {}\nadvertise = {}\nzone = \"{}\"\nmachine = \"{}\"\n\
             seeds = [{}]\nfolder = {:?}\n{}",
            quoted(fleet_address(&self.inner, node)),
            quoted(fleet_address(&self.outer, node)),
            self.trial.zone(node),
            self.trial.machine(node),
            seeds.collect::<Vec<_>>().join(", "),
            disk.display().to_string(),
            self.trial.log.as_ref().map(agreed::table).unwrap_or_default(),
        );
        let file = self.folder.path.join(format!("node-{node}.toml"));
        std::fs::write(&file, product).map_err(cannot)?;
        let mut command = self.command.clone();
        command.words.extend(["--config".to_owned(), file.display().to_string()]);
        if self.store {
            command.words.extend(["--store".to_owned(), (self.trial.seed ^ mix(self.starts)).to_string()]);
        }
        let sockets = self.day.nodes.sockets;
        let process = Process::start(&command, node, &text.to_string(), sockets, &self.folder.path)?;
        self.nodes[node] = Some(process);
        self.paused[node] = false;
        self.begun[node] = Instant::now();
        Ok(())
    }

    /// What the disk holds when its node starts. Root ignores permission bits, so faults are of other kinds.
    fn put_disk(&self, node: usize, kept: DiskContents) -> std::io::Result<()> {
        let (disk, before) = (self.disk(node), self.folder.path.join(format!("before-{node}")));
        let view = disk.join("fleet.mf");
        let draw = mix(self.trial.seed ^ mix(node as u64 ^ (self.starts << 20)));
        let copy = |from: &Path, to: &Path| match std::fs::copy(from, to) {
            Err(error) if error.kind() != std::io::ErrorKind::NotFound => Err(error),
            _ => Ok(()),
        };
        match kept {
            DiskContents::Empty => {
                let _ = std::fs::remove_dir_all(&disk);
            }
            DiskContents::Yesterday => copy(&before, &view)?,
            DiskContents::Foreign => {
                let other = self.disk((node + 1) % self.trial.fleet.nodes);
                copy(&other.join("fleet.mf"), &view)?;
            }
            DiskContents::Torn | DiskContents::Flipped => {
                if let Ok(mut bytes) = std::fs::read(&view) {
                    let at = (draw % bytes.len().max(1) as u64) as usize;
                    if kept == DiskContents::Torn {
                        bytes.truncate(at);
                    } else if let Some(byte) = bytes.get_mut(at) {
                        *byte ^= 1 << (draw >> 32 & 7);
                    }
                    std::fs::write(&view, bytes)?;
                }
            }
            DiskContents::Kept => {}
        }
        if kept != DiskContents::Yesterday {
            copy(&view, &before)?;
        }
        Ok(())
    }

    fn break_disk(&mut self, node: usize, fault: Option<DiskFault>) -> Result<(), String> {
        let (disk, aside) = (self.disk(node), self.folder.path.join(format!("aside-{node}")));
        let full: Vec<PathBuf> = faulty::files().map(|file| disk.join(format!("{file}.new"))).collect();
        let done = match fault {
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
                // A file where the folder was: nothing below it can be made, not by root either.
                let _ = std::fs::rename(&disk, &aside);
                std::fs::write(&disk, "")
            }
            Some(of_the_store) => faulty::tell(&disk, Some(of_the_store)),
            None => {
                let _ = std::fs::remove_file(faulty::told_in(&disk));
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
        done.map_err(|error| format!("disk of n{node}: {error}"))
    }

    /// Asks all consoles at once, and tells laws what is seen otherwise than before.
    async fn look(&mut self) -> Result<(), String> {
        for node in 0..self.nodes.len() {
            if let Some(how) = self.nodes[node].as_mut().and_then(Process::ended) {
                let tail = self.tail(node);
                self.nodes[node] = None;
                return Err(format!("n{node} ended by itself, {how}:\n{tail}"));
            }
        }
        let mut asked = JoinSet::new();
        for node in (0..self.nodes.len()).filter(|&node| self.nodes[node].is_some() && !self.paused[node]) {
            let at = self.consoles[node].at;
            asked.spawn(async move { (node, timeout(ANSWER, members(at)).await.ok().flatten()) });
        }
        while let Some(answer) = asked.join_next().await {
            if let Ok((node, Some(snapshot))) = answer {
                self.saw(node, snapshot);
            }
        }
        Ok(())
    }

    fn saw(&mut self, node: usize, snapshot: Snapshot) {
        let now = self.clock.now();
        let states = |seen: &Snapshot| -> BTreeMap<String, &'static str> {
            seen.members.iter().map(|line| (line.name.clone(), state_of(&line.state))).collect()
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
                for law in &mut self.laws {
                    law.on_state_change(now, &self.truth, node, member, is, &mut self.found);
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

    fn moment(&mut self) {
        let now = self.clock.now();
        let seen = Seen(&self.consoles);
        for law in &mut self.laws {
            law.on_sample(now, &self.truth, &seen, &mut self.found);
        }
        let alive =
            self.consoles.iter().map(|console| console.snapshot.as_ref().map(|seen| seen.alive)).collect();
        self.report.samples.push(ViewSample { at: seconds(now), alive, served: None });
    }

    async fn finish(mut self) -> Result<Report, String> {
        sleep(Duration::from_nanos(self.day.longest())).await; // the last answers
        let mut crashed = Vec::new();
        let agreed = match self.proposals.take() {
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
            let lived = self.begun[node].elapsed().as_secs_f64();
            let Some(mut process) = self.end(node) else { continue };
            bytes.push(sent as f64 / lived);
            processor.push(self.used[node] / self.trial.seconds);
            process.send(Signal::CONT);
            process.signal(false);
            match process.wait(END).await {
                Some(status) if status.success() => {}
                Some(status) => crashed.push(format!("n{node} after SIGTERM: {status}\n{}", process.tail())),
                None => crashed.push(format!("n{node} does not end\n{}", process.tail())),
            }
        }
        let (of_servers, of_clients) = (self.servers.seen(), self.load.seen());
        let ledger = Ledger {
            wishes: of_clients.wishes,
            tries: of_clients.tries,
            runs: of_servers.runs,
            told: of_servers.told,
            peers: of_clients.peers,
            nodes: std::mem::take(&mut self.lives),
            falls: of_servers.falls,
            marks: Vec::new(),
        };
        let mut of_requests = merlinfold_simulation::report::report(&self.day, &ledger);
        let broken = of_requests.judge(&self.day, &ledger);
        let judged = Report::new(&self.report.name, self.trial, "processes", self.found);
        let mut report = self.report;
        (report.violations, report.figures) = (judged.violations, judged.figures);
        for breach in broken {
            if let Some((_, law)) = OF_REQUESTS.into_iter().find(|(law, _)| *law == breach.law) {
                report.violations.push(merlinfold_fault_injection::invariants::Violation {
                    invariant: law,
                    at: seconds(now),
                    detail: breach.what,
                });
            }
        }
        if let Some(told) = agreed {
            report.add_timeline_entry(now, None, told.text);
            let broken = told.broken.into_iter();
            report.violations.extend(broken.map(|(law, what)| {
                merlinfold_fault_injection::invariants::Violation {
                    invariant: law,
                    at: seconds(now),
                    detail: what,
                }
            }));
        }
        for what in crashed {
            report.violations.push(merlinfold_fault_injection::invariants::Violation {
                invariant: "ends well",
                at: seconds(now),
                detail: what,
            });
        }
        let whole = &of_requests.whole;
        let served = whole.served as f64 / whole.asked.max(1) as f64;
        if served < self.trial.rules.served {
            let what = format!("{served:.3} of the requests, {} are wanted", self.trial.rules.served);
            report.violations.push(merlinfold_fault_injection::invariants::Violation {
                invariant: "served",
                at: seconds(now),
                detail: what,
            });
        }
        report.figures.served = Some(served);
        report.figures.bytes_s = mean_and_max(&bytes);
        report.figures.processor = mean_and_max(&processor);
        // Windows of the ledger under the moments: each moment shows the window that it falls into.
        for moment in &mut report.samples {
            let window = of_requests.windows.iter().rev().find(|window| window.from_s <= moment.at);
            moment.served = window.filter(|w| w.asked > 0).map(|w| w.served as f64 / w.asked as f64);
        }
        let late = self.fates.late();
        if late > LATE_MOST {
            report.void_reason =
                Some(format!("relays passed on {late} pieces over 50 ms late: the machine is too busy"));
        }
        Ok(report)
    }
}

/// What a console says of its fleet.
pub(crate) async fn members(at: SocketAddr) -> Option<Snapshot> {
    debug_assert!(matches!(at.ip(), IpAddr::V4(ip) if ip.is_loopback()));
    let mut stream = TcpStream::connect(at).await.ok()?;
    stream.write_all(format!("GET /fleet/members HTTP/1.1\r\nHost: {at}\r\n\r\n").as_bytes()).await.ok()?;
    let mut text = String::new();
    stream.read_to_string(&mut text).await.ok()?;
    let (head, body) = text.split_once("\r\n\r\n")?;
    head.contains(" 200 ").then(|| serde_json::from_str(body).ok())?
}
