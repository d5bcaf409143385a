//! Whether a hollow node costs what the control part of a real one does: both kinds in one fleet at the same time,
//! beside real nodes without a fleet, whose cost is taken off.

use std::path::Path;
use std::time::Duration;

use merlinfold_simulation::SECOND;
use serde::Serialize;
use serde_json::json;

use super::cluster::Cluster;
use super::report::{write_json, SCHEMA};
use super::resources::{anonymous_memory_kib, load, monotonic, process_cpu, Processors};
use super::window::{costs, machine_state, memory_kib, Cost, MachineState, Window};
use crate::experiments;
use crate::net::Range;
use crate::platform::configuration;
use crate::process::{NodeCommand, Process};
use crate::runner::Folder;
use crate::trial::processes::members;

const WARM_UP: Duration = Duration::from_secs(12);
const SOCKETS: usize = 512;
const CONSOLE_PORT: u16 = 8_090;
/// Share by which hollow and real may differ for one to stand for the other.
const ALIKE: f64 = 0.1;

/// What one node of a kind cost on the mean.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Kind {
    /// Bytes sent a second, of the membership.
    pub bytes_s: f64,
    /// Processor time of a second, us.
    pub cpu_us_s: f64,
    /// Resident anonymous memory, KiB.
    pub memory_kib: f64,
}

/// One figure of both kinds.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Likeness {
    /// Which.
    pub figure: &'static str,
    /// Of a hollow node.
    pub hollow: f64,
    /// Of a real one, without what it costs outside of a fleet.
    pub real: f64,
    /// The first over the second.
    pub ratio: f64,
    /// Whether they are within a tenth of each other.
    pub alike: bool,
}

/// What was found.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Proof {
    /// Version of this form.
    pub schema: u32,
    /// The command that made it.
    pub command: String,
    /// Nodes of the fleet.
    pub nodes: usize,
    /// Of them real.
    pub real_nodes: usize,
    /// Seconds of the window.
    pub seconds: u64,
    /// How the machine was.
    pub machine: MachineState,
    /// A real node outside of any fleet.
    pub bare: Kind,
    /// A real node in the fleet.
    pub joined: Kind,
    /// Of a hollow node's processor time that of its own task, us.
    pub hollow_task_us_s: f64,
    /// The figures.
    pub likeness: Vec<Likeness>,
}

/// Real node processes, in a fleet or not.
struct RealNodes {
    processes: Vec<Process>,
    ids: Vec<u32>,
    consoles: Vec<std::net::SocketAddr>,
    begun: Vec<(u64, u64)>, // processor time and bytes at the begin of the window
    _range: Range,
    _folder: Folder,
}

impl RealNodes {
    /// `fleet` gives each its `[fleet]` table, by its place among these.
    fn start(count: usize, first: usize, fleet: impl Fn(usize) -> String) -> Result<Self, String> {
        let (range, folder) = (Range::claim()?, Folder::new(None)?);
        let mut day = experiments::find("calm")?;
        day.nodes.ask = false;
        let (mut processes, mut consoles, mut ids) = (Vec::new(), Vec::new(), Vec::new());
        for place in 0..count {
            let node = first + place;
            let console = std::net::SocketAddr::new(range.node(place).ip(), CONSOLE_PORT);
            let known = json!({"index": 1, "snapshot": true, "endpoints": []});
            let mut text = configuration(&day, place, 0, known, &range);
            text["name"] = format!("n{node}").into();
            text["console"] = console.to_string().into();
            let file = folder.path.join(format!("product-{node}.toml"));
            std::fs::write(&file, fleet(place)).map_err(|error| format!("{}: {error}", file.display()))?;
            let mut command = NodeCommand::own()?;
            command.words.extend(["--config".to_owned(), file.display().to_string()]);
            let process = Process::start(&command, node, &text.to_string(), SOCKETS, &folder.path)?;
            ids.push(process.id());
            processes.push(process);
            consoles.push(console);
        }
        Ok(RealNodes { processes, ids, consoles, begun: Vec::new(), _range: range, _folder: folder })
    }

    fn tail(&self) -> String {
        self.processes.first().map(Process::tail).unwrap_or_default()
    }

    async fn counts(&self) -> Vec<(u64, u64)> {
        let mut counts = Vec::new();
        for (id, console) in self.ids.iter().zip(&self.consoles) {
            let bytes = members(*console).await.and_then(|seen| seen.counts.get("sent_bytes").copied());
            counts.push((process_cpu(*id).unwrap_or(0), bytes.unwrap_or(0)));
        }
        counts
    }

    async fn begin(&mut self) {
        self.begun = self.counts().await;
    }

    async fn end(&self, seconds: f64) -> Kind {
        let ended = self.counts().await;
        let count = self.ids.len() as f64;
        let rate = |of: fn(&(u64, u64)) -> u64| {
            let all = self.begun.iter().zip(&ended).map(|(begun, ended)| of(ended).saturating_sub(of(begun)));
            all.sum::<u64>() as f64 / seconds / count
        };
        let memory = self.ids.iter().filter_map(|id| anonymous_memory_kib(&id.to_string()));
        Kind {
            bytes_s: rate(|counts| counts.1),
            cpu_us_s: rate(|counts| counts.0) / 1e3,
            memory_kib: memory.sum::<u64>() as f64 / count,
        }
    }
}

/// Measures so many of each kind in one fleet.
pub async fn play(hollow: usize, real: usize, seconds: u64, json: Option<&Path>) -> Result<(), String> {
    let load_before = load().unwrap_or_default();
    let mut cluster = Cluster::start(hollow, false, false).await?;
    let plan = cluster.plan().clone();
    let mut joined = RealNodes::start(real, hollow, |place| plan.table(hollow + place))?;
    let mut bare = RealNodes::start(real, 0, |_| String::new())?;
    cluster.expect_others(real);
    cluster.form().await.map_err(|error| format!("{error}\n{}", joined.tail()))?;
    cluster.watch(WARM_UP).await?;
    let (processors, from) = (Processors::now(), monotonic());
    joined.begin().await;
    bare.begin().await;
    let begun = monotonic();
    cluster.watch(Duration::from_secs(seconds)).await?;
    let took = (monotonic() - begun) as f64 / SECOND as f64;
    let (joined_cost, bare_cost) = (joined.end(took).await, bare.end(took).await);
    let window = Window { from, to: monotonic() };
    let spent = costs(cluster.series(), window);
    let mean = Cost::mean(spent.values());
    let memory = memory_kib(cluster.series(), window);
    let machine = machine_state(cluster.series(), window, load_before, processors);
    cluster.end().await;
    let of = |figure, hollow: f64, real: f64| {
        let ratio = hollow / real;
        Likeness { figure, hollow, real, ratio, alike: (ratio - 1.0).abs() <= ALIKE }
    };
    let likeness = vec![
        of("bytes_s", mean.bytes_s, joined_cost.bytes_s),
        of("cpu_us_s", mean.cpu_us_s, joined_cost.cpu_us_s - bare_cost.cpu_us_s),
        of("memory_kib", memory, joined_cost.memory_kib - bare_cost.memory_kib),
    ];
    let proof = Proof {
        schema: SCHEMA,
        command: format!("merlinfold-lab {}", std::env::args().skip(1).collect::<Vec<_>>().join(" ")),
        nodes: hollow + real,
        real_nodes: real,
        seconds,
        machine,
        bare: bare_cost,
        joined: joined_cost,
        hollow_task_us_s: mean.task_us_s,
        likeness,
    };
    println!("{}", proof.text());
    json.map_or(Ok(()), |path| write_json(&proof, path))
}

impl Proof {
    fn text(&self) -> String {
        let mut text = format!(
            "{} nodes, {} of them real; {} s; busy {:.0}%, lateness p99 {:.1} ms{}\n",
            self.nodes,
            self.real_nodes,
            self.seconds,
            100.0 * self.machine.busy,
            self.machine.lateness_p99_ms,
            self.machine.verdict()
        );
        for of in &self.likeness {
            let says = if of.alike { "alike" } else { "NOT within 10%" };
            text += &format!(
                "{:<12} hollow {:>9.1}  real {:>9.1}  ratio {:.3}  {says}\n",
                of.figure, of.hollow, of.real, of.ratio
            );
        }
        text += &format!("of a hollow node's processor time its own task {:.1} us\n", self.hollow_task_us_s);
        text
    }
}
