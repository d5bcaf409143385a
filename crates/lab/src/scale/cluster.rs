//! A fleet of hollow nodes in several processes, and the samples that these send.

use std::process::Stdio;
use std::time::Duration;

use serde::Serialize;
use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader, Lines};
use tokio::process::{Child, ChildStdin, ChildStdout, Command};
use tokio::sync::mpsc;
use tokio::time::{timeout_at, Instant};

use super::messages::{FleetPlan, NodeSample, Order, Proposals, RelayOrder, Sample};
use crate::net::Range;

const NODES_PER_PROCESS: usize = 27;
const MAX_PROCESSES: usize = 31;
const START_BATCH: usize = 50; // nodes; starting all at once would overload the machine
const START_PAUSE: Duration = Duration::from_millis(500); // between two batches
const FORM_TIMEOUT: Duration = Duration::from_secs(60); // until every node sees the whole fleet

/// A child process that reads orders as lines of JSON; it is killed on drop.
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
            .stderr(Stdio::null()) // the log messages of hundreds of nodes are of no use here
            .process_group(0)
            .kill_on_drop(true)
            .spawn()
            .map_err(|error| format!("cannot start the {role} process: {error}"))?;
        let (Some(orders), Some(output)) = (child.stdin.take(), child.stdout.take()) else {
            return Err(format!("the {role} process has no standard input or output"));
        };
        Ok((ChildProcess { orders, child }, BufReader::new(output).lines()))
    }

    async fn send<T: Serialize>(&mut self, order: &T) -> Result<(), String> {
        let line = serde_json::to_string(order)
            .map_err(|error| format!("cannot serialize an order: {error}"))?
            + "\n";
        self.orders.write_all(line.as_bytes()).await.map_err(|error| format!("cannot send an order: {error}"))
    }
}

/// All samples of one process, in order.
pub type Series = Vec<Sample>;

/// A fleet of hollow nodes.
pub struct Cluster {
    processes: Vec<ChildProcess>,
    relays: Option<ChildProcess>,
    samples: mpsc::UnboundedReceiver<(usize, Result<Sample, String>)>,
    series: Vec<Series>,
    live: Vec<bool>,
    others: usize, // nodes of the fleet that are not hollow
    plan: FleetPlan,
    _ranges: Vec<Range>,
}

impl Cluster {
    /// Starts `nodes` nodes in batches; behind relays if `relayed`, so that links can be cut.
    pub async fn start(nodes: usize, log: bool, relayed: bool) -> Result<Self, String> {
        let mut ranges = vec![Range::claim()?];
        if relayed {
            ranges.push(Range::claim()?);
        }
        let number = |range: Option<&Range>| range.map(Range::number).unwrap_or_default();
        let plan =
            FleetPlan { listen_range: number(ranges.first()), reach_range: number(ranges.last()), log };
        let mut relays = None;
        if relayed {
            let (mut process, mut output) = ChildProcess::start("relays")?;
            process.send(&RelayOrder::SetUp(plan.clone(), nodes)).await?;
            let ready = output.next_line().await.map_err(|error| format!("relays: {error}"))?;
            ready.ok_or("the relay process ended before it was ready")?;
            relays = Some(process);
        }
        let count = nodes.div_ceil(NODES_PER_PROCESS).min(MAX_PROCESSES);
        let (sender, samples) = mpsc::unbounded_channel();
        let mut processes = Vec::new();
        for number in 0..count {
            let (process, lines) = ChildProcess::start("hollow")?;
            tokio::spawn(read_samples(number, lines, sender.clone()));
            processes.push(process);
        }
        let mut cluster = Cluster {
            processes,
            relays,
            samples,
            series: vec![Series::new(); count],
            live: vec![false; nodes],
            others: 0,
            plan: plan.clone(),
            _ranges: ranges,
        };
        for process in &mut cluster.processes {
            process.send(&Order::SetUp(plan.clone())).await?;
        }
        let all: Vec<usize> = (0..nodes).collect();
        for batch in all.chunks(START_BATCH) {
            cluster.start_nodes(batch).await?;
            cluster.watch(START_PAUSE).await?;
        }
        Ok(cluster)
    }

    /// Returns the number of hollow nodes, running or not.
    pub fn nodes(&self) -> usize {
        self.live.len()
    }

    /// Sets the number of nodes of the fleet that are not hollow.
    pub fn expect_others(&mut self, others: usize) {
        self.others = others;
    }

    /// Returns the setup that the nodes share.
    pub fn plan(&self) -> &FleetPlan {
        &self.plan
    }

    /// Returns all samples received so far, by process.
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
            let assigned = nodes.iter().copied().filter(|node| self.process_of(*node) == process);
            let assigned: Vec<usize> = assigned.collect();
            if !assigned.is_empty() {
                self.processes[process].send(&order(assigned)).await?;
            }
        }
        Ok(())
    }

    /// Starts these nodes.
    pub async fn start_nodes(&mut self, nodes: &[usize]) -> Result<(), String> {
        nodes.iter().for_each(|node| self.live[*node] = true);
        self.order_nodes(nodes, Order::Start).await
    }

    /// Ends these nodes without notice to the others.
    pub async fn kill_nodes(&mut self, nodes: &[usize]) -> Result<(), String> {
        nodes.iter().for_each(|node| self.live[*node] = false);
        self.order_nodes(nodes, Order::Kill).await
    }

    /// Lets a node propose values to the replicated log.
    pub async fn propose(&mut self, proposals: Proposals) -> Result<(), String> {
        let process = self.process_of(proposals.node);
        self.processes[process].send(&Order::Propose(proposals)).await
    }

    /// Sends an order to the relays: cuts the links between two groups of nodes, or restores all links.
    ///
    /// Returns an error if the fleet has no relays.
    pub async fn relay(&mut self, order: &RelayOrder) -> Result<(), String> {
        let relays =
            self.relays.as_mut().ok_or("links can be cut only in a fleet that was started with relays")?;
        relays.send(order).await
    }

    /// Collects samples for this time. Returns an error if a process has failed or ended.
    pub async fn watch(&mut self, time: Duration) -> Result<(), String> {
        let end = Instant::now() + time;
        while let Ok(received) = timeout_at(end, self.samples.recv()).await {
            let Some((process, sample)) = received else {
                return Err("all processes of hollow nodes have ended".to_owned());
            };
            self.series[process].push(sample?);
        }
        Ok(())
    }

    /// Waits until every running node considers all running nodes alive; returns an error after 60 s.
    pub async fn form(&mut self) -> Result<(), String> {
        let end = Instant::now() + FORM_TIMEOUT;
        while Instant::now() < end {
            self.watch(super::hollow::SAMPLE_INTERVAL).await?;
            if self.has_one_view() {
                return Ok(());
            }
        }
        Err(format!("{} nodes did not form one view in {FORM_TIMEOUT:?}", self.nodes()))
    }

    fn has_one_view(&self) -> bool {
        let live = self.live.iter().filter(|live| **live).count() + self.others;
        let agrees = |sample: &NodeSample| !self.live[sample.node] || sample.alive == live;
        let reported: usize =
            self.series.iter().filter_map(|of| of.last()).map(|last| last.nodes.len()).sum();
        reported == self.nodes()
            && self.series.iter().all(|of| of.last().is_some_and(|last| last.nodes.iter().all(agrees)))
    }

    /// Ends all processes.
    pub async fn stop(mut self) {
        for process in self.processes.iter_mut().chain(&mut self.relays) {
            let _ = process.child.kill().await; // fails if the process has already ended
        }
    }
}

async fn read_samples(
    process: usize, mut lines: Lines<BufReader<ChildStdout>>,
    sender: mpsc::UnboundedSender<(usize, Result<Sample, String>)>,
) {
    loop {
        let sample = match lines.next_line().await {
            Ok(Some(line)) => {
                serde_json::from_str(&line).map_err(|error| format!("cannot parse a sample: {error}"))
            }
            Ok(None) => Err(format!("process {process} of hollow nodes ended unexpectedly")),
            Err(error) => Err(format!("process {process} of hollow nodes cannot be read: {error}")),
        };
        let ended = sample.is_err();
        if sender.send((process, sample)).is_err() || ended {
            return;
        }
    }
}
