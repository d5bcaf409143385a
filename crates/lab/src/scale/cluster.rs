//! A fleet of hollow nodes over several processes, and what they tell.

use std::process::Stdio;
use std::time::Duration;

use serde::Serialize;
use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader, Lines};
use tokio::process::{Child, ChildStdin, ChildStdout, Command};
use tokio::sync::mpsc;
use tokio::time::{timeout_at, Instant};

use super::messages::{FleetPlan, NodeSample, Order, Proposals, RelayOrder, Sample};
use crate::net::Range;

const NODES_A_PROCESS: usize = 27;
const PROCESSES_MAX: usize = 31;
const STARTED_AT_ONCE: usize = 50; // nodes, so that a start is no test of the machine
const START_PAUSE: Duration = Duration::from_millis(500); // between two batches of them
const FORM_WITHIN: Duration = Duration::from_secs(60); // for a fleet to see itself whole

/// A child process that takes lines of JSON; killed when it is dropped.
struct ChildProcess {
    orders: ChildStdin,
    child: Child,
}

impl ChildProcess {
    fn start(role: &str) -> Result<(Self, Lines<BufReader<ChildStdout>>), String> {
        let own = std::env::current_exe().map_err(|error| format!("cannot name this program: {error}"))?;
        let mut child = Command::new(own)
            .args(["scale", role])
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .stderr(Stdio::null()) // hundreds of nodes say the same of each other
            .process_group(0)
            .kill_on_drop(true)
            .spawn()
            .map_err(|error| format!("{role}: {error}"))?;
        let (Some(orders), Some(told)) = (child.stdin.take(), child.stdout.take()) else {
            return Err(format!("{role}: no standard input or output"));
        };
        Ok((ChildProcess { orders, child }, BufReader::new(told).lines()))
    }

    async fn tell<T: Serialize>(&mut self, order: &T) -> Result<(), String> {
        let line = serde_json::to_string(order).map_err(|error| format!("order: {error}"))? + "\n";
        self.orders.write_all(line.as_bytes()).await.map_err(|error| format!("order: {error}"))
    }
}

/// All samples that one process told, in order.
pub type Series = Vec<Sample>;

/// A fleet of hollow nodes.
pub struct Cluster {
    processes: Vec<ChildProcess>,
    relays: Option<ChildProcess>,
    told: mpsc::UnboundedReceiver<(usize, Result<Sample, String>)>,
    series: Vec<Series>,
    live: Vec<bool>,
    others: usize, // nodes of the fleet that are not hollow
    plan: FleetPlan,
    _ranges: Vec<Range>,
}

impl Cluster {
    /// Starts so many nodes in batches, behind relays if links are to be cut.
    pub async fn start(nodes: usize, log: bool, relayed: bool) -> Result<Self, String> {
        let mut ranges = vec![Range::claim()?];
        if relayed {
            ranges.push(Range::claim()?);
        }
        let of = |range: Option<&Range>| range.map(Range::number).unwrap_or_default();
        let plan = FleetPlan { listen_range: of(ranges.first()), reach_range: of(ranges.last()), log };
        let mut relays = None;
        if relayed {
            let (mut process, mut told) = ChildProcess::start("relays")?;
            process.tell(&RelayOrder::SetUp(plan.clone(), nodes)).await?;
            let ready = told.next_line().await.map_err(|error| format!("relays: {error}"))?;
            ready.ok_or("the relays ended at once")?;
            relays = Some(process);
        }
        let count = nodes.div_ceil(NODES_A_PROCESS).min(PROCESSES_MAX);
        let (tell, told) = mpsc::unbounded_channel();
        let mut processes = Vec::new();
        for number in 0..count {
            let (process, lines) = ChildProcess::start("hollow")?;
            tokio::spawn(read_samples(number, lines, tell.clone()));
            processes.push(process);
        }
        let mut cluster = Cluster {
            processes,
            relays,
            told,
            series: vec![Series::new(); count],
            live: vec![false; nodes],
            others: 0,
            plan: plan.clone(),
            _ranges: ranges,
        };
        for process in &mut cluster.processes {
            process.tell(&Order::SetUp(plan.clone())).await?;
        }
        let all: Vec<usize> = (0..nodes).collect();
        for batch in all.chunks(STARTED_AT_ONCE) {
            cluster.start_nodes(batch).await?;
            cluster.watch(START_PAUSE).await?;
        }
        Ok(cluster)
    }

    /// Nodes of the fleet, live or not.
    pub fn nodes(&self) -> usize {
        self.live.len()
    }

    /// So many nodes of the fleet are not hollow.
    pub fn expect_others(&mut self, others: usize) {
        self.others = others;
    }

    /// How the nodes are set up.
    pub fn plan(&self) -> &FleetPlan {
        &self.plan
    }

    /// All samples so far, by process.
    pub fn series(&self) -> &[Series] {
        &self.series
    }

    fn process_of(&self, node: usize) -> usize {
        node % self.processes.len()
    }

    async fn order_nodes(
        &mut self, nodes: &[usize], order: impl Fn(Vec<usize>) -> Order,
    ) -> Result<(), String> {
        for process in 0..self.processes.len() {
            let own = nodes.iter().copied().filter(|node| self.process_of(*node) == process);
            let own: Vec<usize> = own.collect();
            if !own.is_empty() {
                self.processes[process].tell(&order(own)).await?;
            }
        }
        Ok(())
    }

    /// Starts these nodes.
    pub async fn start_nodes(&mut self, nodes: &[usize]) -> Result<(), String> {
        nodes.iter().for_each(|node| self.live[*node] = true);
        self.order_nodes(nodes, Order::Start).await
    }

    /// Ends these nodes without a word to the others.
    pub async fn kill_nodes(&mut self, nodes: &[usize]) -> Result<(), String> {
        nodes.iter().for_each(|node| self.live[*node] = false);
        self.order_nodes(nodes, Order::Kill).await
    }

    /// Lets a node propose values to the agreed log.
    pub async fn propose(&mut self, proposals: Proposals) -> Result<(), String> {
        let process = self.process_of(proposals.node);
        self.processes[process].tell(&Order::Propose(proposals)).await
    }

    /// Cuts the links between these nodes and those, or heals all links.
    pub async fn relay(&mut self, order: &RelayOrder) -> Result<(), String> {
        let relays = self.relays.as_mut().ok_or("links are cut in a fleet behind relays only")?;
        relays.tell(order).await
    }

    /// Takes in what the processes tell for so long.
    pub async fn watch(&mut self, time: Duration) -> Result<(), String> {
        let end = Instant::now() + time;
        while let Ok(told) = timeout_at(end, self.told.recv()).await {
            let Some((process, sample)) = told else {
                return Err("no process tells anything any more".to_owned());
            };
            self.series[process].push(sample?);
        }
        Ok(())
    }

    /// Waits until every live node holds all live nodes alive.
    pub async fn form(&mut self) -> Result<(), String> {
        let end = Instant::now() + FORM_WITHIN;
        while Instant::now() < end {
            self.watch(super::hollow::SAMPLE_EVERY).await?;
            if self.has_one_view() {
                return Ok(());
            }
        }
        Err(format!("{} nodes did not form one view in {FORM_WITHIN:?}", self.nodes()))
    }

    fn has_one_view(&self) -> bool {
        let live = self.live.iter().filter(|live| **live).count() + self.others;
        let agrees = |sample: &NodeSample| !self.live[sample.node] || sample.alive == live;
        let seen: usize = self.series.iter().filter_map(|of| of.last()).map(|last| last.nodes.len()).sum();
        seen == self.nodes()
            && self.series.iter().all(|of| of.last().is_some_and(|last| last.nodes.iter().all(agrees)))
    }

    /// Ends all processes.
    pub async fn end(mut self) {
        for process in self.processes.iter_mut().chain(&mut self.relays) {
            let _ = process.child.kill().await; // one that has ended by itself is gone all the same
        }
    }
}

async fn read_samples(
    process: usize, mut lines: Lines<BufReader<ChildStdout>>,
    tell: mpsc::UnboundedSender<(usize, Result<Sample, String>)>,
) {
    loop {
        let sample = match lines.next_line().await {
            Ok(Some(line)) => serde_json::from_str(&line).map_err(|error| format!("sample: {error}")),
            Ok(None) => Err(format!("process {process} of hollow nodes has ended by itself")),
            Err(error) => Err(format!("process {process} of hollow nodes: {error}")),
        };
        let over = sample.is_err();
        if tell.send((process, sample)).is_err() || over {
            return;
        }
    }
}
