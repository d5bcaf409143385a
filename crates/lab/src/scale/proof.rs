//! Checks that a hollow node costs as much as the control plane of a real node. Both kinds run in one fleet at the same
//! time. The cost of real nodes without a fleet, which run beside them, is subtracted.

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
use crate::trial::processes::fetch_snapshot;

const WARM_UP: Duration = Duration::from_secs(12);
const SOCKETS: usize = 512;
const CONSOLE_PORT: u16 = 8_090;
/// The largest relative difference at which a hollow node is representative of a real one.
const MAX_DIFFERENCE: f64 = 0.1;

/// Mean cost of one node of a kind.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct NodeCost {
    /// Membership bytes sent per second.
    pub bytes_s: f64,
    /// Processor time per second, us.
    pub cpu_us_s: f64,
    /// Resident anonymous memory, KiB.
    pub memory_kib: f64,
}

/// One figure compared between both kinds.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct FigureComparison {
    /// Name of the figure.
    pub figure: &'static str,
    /// Value of a hollow node.
    pub hollow: f64,
    /// Value of a real node, less the value of a real node without a fleet.
    pub real: f64,
    /// `hollow` divided by `real`.
    pub ratio: f64,
    /// Whether the ratio is within 0.1 of 1.
    pub alike: bool,
}

/// The report of the comparison.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct ProofReport {
    /// Version of this form.
    pub schema: u32,
    /// The command that made the report.
    pub command: String,
    /// Number of nodes in the fleet.
    pub nodes: usize,
    /// Number of real nodes in the fleet.
    pub real_nodes: usize,
    /// Duration of the measurement, s.
    pub seconds: u64,
    /// State of the machine.
    pub machine: MachineState,
    /// Cost of a real node without a fleet.
    pub bare: NodeCost,
    /// Cost of a real node in the fleet.
    pub joined: NodeCost,
    /// The part of a hollow node's processor time per second used by its own task, us.
    pub hollow_task_us_s: f64,
    /// The compared figures.
    pub likeness: Vec<FigureComparison>,
}

/// Processes of real nodes, with or without a fleet.
struct RealNodes {
    processes: Vec<Process>,
    ids: Vec<u32>,
    consoles: Vec<std::net::SocketAddr>,
    begun: Vec<(u64, u64)>, // processor time and bytes sent at the start of the measurement
    _range: Range,
    _folder: Folder,
}

impl RealNodes {
    /// Starts `count` nodes named from `first` on. `fleet` returns a node's `[fleet]` table by its index among these
    /// nodes.
    fn start(count: usize, first: usize, fleet: impl Fn(usize) -> String) -> Result<Self, String> {
        let (range, folder) = (Range::claim()?, Folder::new(None)?);
        let mut experiment = experiments::find("calm")?;
        experiment.nodes.ask = false;
        let (mut processes, mut consoles, mut ids) = (Vec::new(), Vec::new(), Vec::new());
        for index in 0..count {
            let node = first + index;
            let console = std::net::SocketAddr::new(range.node(index).ip(), CONSOLE_PORT);
            let known = json!({"index": 1, "snapshot": true, "endpoints": []});
            let mut text = configuration(&experiment, index, 0, known, &range);
            text["name"] = format!("n{node}").into();
            text["console"] = console.to_string().into();
            let file = folder.path.join(format!("product-{node}.toml"));
            std::fs::write(&file, fleet(index)).map_err(|error| format!("{}: {error}", file.display()))?;
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

    /// Reads each node's processor time, ns, and membership bytes sent.
    async fn counts(&self) -> Vec<(u64, u64)> {
        let mut counts = Vec::new();
        for (id, console) in self.ids.iter().zip(&self.consoles) {
            let bytes =
                fetch_snapshot(*console).await.and_then(|seen| seen.counts.get("sent_bytes").copied());
            counts.push((process_cpu(*id).unwrap_or(0), bytes.unwrap_or(0)));
        }
        counts
    }

    /// Reads the counts at the start of the measurement.
    async fn begin(&mut self) {
        self.begun = self.counts().await;
    }

    /// Returns the mean cost of a node over `seconds` since [`RealNodes::begin`].
    async fn end(&self, seconds: f64) -> NodeCost {
        let ended = self.counts().await;
        let count = self.ids.len() as f64;
        let rate = |of: fn(&(u64, u64)) -> u64| {
            let all = self.begun.iter().zip(&ended).map(|(begun, ended)| of(ended).saturating_sub(of(begun)));
            all.sum::<u64>() as f64 / seconds / count
        };
        let memory = self.ids.iter().filter_map(|id| anonymous_memory_kib(&id.to_string()));
        NodeCost {
            bytes_s: rate(|counts| counts.1),
            cpu_us_s: rate(|counts| counts.0) / 1e3,
            memory_kib: memory.sum::<u64>() as f64 / count,
        }
    }
}

/// Compares `hollow` hollow and `real` real nodes in one fleet, prints the report and writes it to `json`.
pub async fn run(hollow: usize, real: usize, seconds: u64, json: Option<&Path>) -> Result<(), String> {
    let load_before = load().unwrap_or_default();
    let mut cluster = Cluster::start(hollow, false, false).await?;
    let plan = cluster.plan().clone();
    let mut joined = RealNodes::start(real, hollow, |index| plan.table(hollow + index))?;
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
    cluster.stop().await;
    let compare = |figure, hollow: f64, real: f64| {
        let ratio = hollow / real;
        FigureComparison { figure, hollow, real, ratio, alike: (ratio - 1.0).abs() <= MAX_DIFFERENCE }
    };
    let likeness = vec![
        compare("bytes_s", mean.bytes_s, joined_cost.bytes_s),
        compare("cpu_us_s", mean.cpu_us_s, joined_cost.cpu_us_s - bare_cost.cpu_us_s),
        compare("memory_kib", memory, joined_cost.memory_kib - bare_cost.memory_kib),
    ];
    let proof = ProofReport {
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

impl ProofReport {
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
        for comparison in &self.likeness {
            let verdict = if comparison.alike { "alike" } else { "NOT within 10%" };
            text += &format!(
                "{:<12} hollow {:>9.1}  real {:>9.1}  ratio {:.3}  {verdict}\n",
                comparison.figure, comparison.hollow, comparison.real, comparison.ratio
            );
        }
        text += &format!("of a hollow node's processor time its own task {:.1} us\n", self.hollow_task_us_s);
        text
    }
}
