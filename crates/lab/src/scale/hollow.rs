//! A process of hollow nodes: the real control plane (`merlinfold_fleet`) of many nodes on one thread, without a data
//! plane. It reads [`Order`]s from standard input until that ends, and writes a [`Sample`] to standard output every
//! [`SAMPLE_INTERVAL`].

use std::collections::BTreeMap;
use std::future::{poll_fn, Future};
use std::io::Write;
use std::pin::pin;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use merlinfold_config::{parse, Config};
use merlinfold_fleet::{Fleet, LogHandle, Snapshot};
use merlinfold_simulation::Nanos;
use tokio::sync::{mpsc, watch};
use tokio::task::AbortHandle;
use tokio::time::{interval, sleep, Instant, MissedTickBehavior};

use super::messages::{FleetPlan, NodeSample, Order, Proposals, Sample};
use super::resources::{anonymous_memory_kib, monotonic, thread_cpu};

/// Time between two samples.
pub const SAMPLE_INTERVAL: Duration = Duration::from_millis(250);
const VALUE_BYTES: usize = 64; // of a proposed value

/// Sums the processor time of futures over their polls.
#[derive(Clone, Debug, Default)]
struct CpuMeter(Arc<AtomicU64>);

impl CpuMeter {
    /// Runs the future and adds the thread's processor time in its polls.
    async fn measure<F: Future>(self, future: F) -> F::Output {
        let mut future = pin!(future);
        poll_fn(|context| {
            let before = thread_cpu();
            let polled = future.as_mut().poll(context);
            self.0.fetch_add(thread_cpu() - before, Ordering::Relaxed);
            polled
        })
        .await
    }

    fn used(&self) -> Nanos {
        self.0.load(Ordering::Relaxed)
    }
}

/// The running instance of a hollow node.
struct RunningNode {
    task: AbortHandle,
    seen: watch::Receiver<Snapshot>,
    log: Option<LogHandle>,
    _leave: watch::Sender<bool>, // dropping it would make the node leave the fleet
}

/// A hollow node across all its starts.
#[derive(Default)]
struct HollowNode {
    meter: CpuMeter,
    past_counts: NodeSample, // counts of the starts that have ended
    running: Option<RunningNode>,
}

impl HollowNode {
    fn sample(&self, node: usize) -> NodeSample {
        let mut sample = NodeSample { node, cpu: self.meter.used(), ..self.past_counts.clone() };
        let Some(running) = &self.running else { return sample };
        {
            let seen = running.seen.borrow();
            let count = |name: &str| seen.counts.get(name).copied().unwrap_or(0);
            (sample.alive, sample.known) = (seen.alive, seen.known);
            sample.messages += count("sent");
            sample.bytes += count("sent_bytes");
            sample.accused += count("accused");
            sample.held_up += count("held_up");
        }
        if let Some(log) = &running.log {
            log.with_view(|view| {
                sample.log_messages += view.sent;
                sample.log_bytes += view.sent_bytes;
                (sample.log_index, sample.log_values) = (view.index, view.values.len());
                (sample.votes, sample.leads) = (view.votes, view.leads);
            });
        }
        sample
    }

    fn kill(&mut self, node: usize) {
        let last = self.sample(node);
        let Some(running) = self.running.take() else { return };
        running.task.abort();
        let NodeSample { messages, bytes, log_messages, log_bytes, accused, held_up, .. } = last;
        self.past_counts = NodeSample {
            messages,
            bytes,
            log_messages,
            log_bytes,
            accused,
            held_up,
            ..NodeSample::default()
        };
    }
}

/// Outcomes of proposals since the last sample.
#[derive(Default)]
struct ProposalOutcomes {
    confirmed: Vec<Nanos>,
    unconfirmed: u64,
}

type SharedOutcomes = Arc<Mutex<ProposalOutcomes>>;

fn lock(shared: &SharedOutcomes) -> std::sync::MutexGuard<'_, ProposalOutcomes> {
    shared.lock().unwrap_or_else(PoisonError::into_inner)
}

/// All hollow nodes of this process.
struct Host {
    plan: Option<FleetPlan>,
    nodes: BTreeMap<usize, HollowNode>,
    measuring: CpuMeter,
    outcomes: SharedOutcomes,
    empty_memory_kib: u64,
}

/// Runs hollow nodes until standard input ends.
pub async fn run() -> Result<(), String> {
    let mut orders = read_lines::<Order>();
    let mut host = Host {
        plan: None,
        nodes: BTreeMap::new(),
        measuring: CpuMeter::default(),
        outcomes: SharedOutcomes::default(),
        empty_memory_kib: anonymous_memory_kib("self").unwrap_or(0),
    };
    let mut samples = interval(SAMPLE_INTERVAL);
    samples.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            order = orders.recv() => match order {
                Some(order) => host.apply(order?)?,
                None => return Ok(()),
            },
            due = samples.tick() => {
                let (measuring, lateness) = (host.measuring.clone(), due.elapsed());
                measuring.measure(async { host.write_sample(lateness) }).await?;
            }
        }
    }
}

/// Parses the lines of standard input on a thread of its own.
pub fn read_lines<T: serde::de::DeserializeOwned + Send + 'static>(
) -> mpsc::UnboundedReceiver<Result<T, String>> {
    let (sender, receiver) = mpsc::unbounded_channel();
    std::thread::spawn(move || {
        for line in std::io::stdin().lines() {
            let read = line.map_err(|error| format!("cannot read standard input: {error}"));
            let order = read.and_then(|line| {
                serde_json::from_str(&line).map_err(|error| format!("cannot parse an order: {error}"))
            });
            if sender.send(order).is_err() {
                return;
            }
        }
    });
    receiver
}

impl Host {
    fn apply(&mut self, order: Order) -> Result<(), String> {
        match order {
            Order::SetUp(plan) => self.plan = Some(plan),
            Order::Start(nodes) => nodes.into_iter().try_for_each(|node| self.start(node))?,
            Order::Kill(nodes) => {
                for node in nodes {
                    if let Some(hosted) = self.nodes.get_mut(&node) {
                        hosted.kill(node);
                    }
                }
            }
            Order::Propose(proposals) => self.propose(proposals),
        }
        Ok(())
    }

    fn start(&mut self, node: usize) -> Result<(), String> {
        let plan = self.plan.as_ref().ok_or("received an order to start a node before the set-up")?;
        let config: Config = parse(&plan.table(node)).map_err(|error| error.to_string())?;
        let settings = config.fleet.ok_or("a node's configuration has no [fleet] table")?;
        let opened = Fleet::open(&format!("n{node}"), settings);
        let (fleet, seen) = opened.map_err(|error| format!("cannot open node {node}: {error}"))?;
        let log = fleet.log_handle();
        let (leave, leave_requested) = watch::channel(false);
        let hosted = self.nodes.entry(node).or_default();
        let task = tokio::spawn(hosted.meter.clone().measure(fleet.run(leave_requested))).abort_handle();
        hosted.running = Some(RunningNode { task, seen, log, _leave: leave });
        Ok(())
    }

    fn propose(&mut self, proposals: Proposals) {
        let log = self.nodes.get(&proposals.node).and_then(|hosted| hosted.running.as_ref()?.log.clone());
        if let Some(log) = log {
            let proposer = propose(log, proposals, self.outcomes.clone(), self.measuring.clone());
            tokio::spawn(self.measuring.clone().measure(proposer));
        }
    }

    fn write_sample(&mut self, lateness: Duration) -> Result<(), String> {
        let ProposalOutcomes { confirmed, unconfirmed } = std::mem::take(&mut *lock(&self.outcomes));
        let sample = Sample {
            at: monotonic(),
            thread_cpu: thread_cpu(),
            measuring_cpu: self.measuring.used(),
            memory_kib: anonymous_memory_kib("self").unwrap_or(0),
            empty_memory_kib: self.empty_memory_kib,
            lateness: lateness.as_nanos() as Nanos,
            confirmed,
            unconfirmed,
            nodes: self.nodes.iter().map(|(node, hosted)| hosted.sample(*node)).collect(),
        };
        let line =
            serde_json::to_string(&sample).map_err(|error| format!("cannot serialize a sample: {error}"))?;
        let mut out = std::io::stdout().lock();
        writeln!(out, "{line}")
            .and_then(|()| out.flush())
            .map_err(|error| format!("cannot write to standard output: {error}"))
    }
}

async fn propose(log: LogHandle, proposals: Proposals, outcomes: SharedOutcomes, measuring: CpuMeter) {
    for turn in 0..proposals.count.unwrap_or(u64::MAX) {
        sleep(Duration::from_millis(proposals.every_ms)).await;
        let (log, outcomes) = (log.clone(), outcomes.clone());
        let key = format!("key-{}", turn % proposals.keys.max(1));
        let value = vec![b'v'; VALUE_BYTES];
        tokio::spawn(measuring.clone().measure(async move {
            let begun = Instant::now();
            let id = u128::from(monotonic()) << 64 | u128::from(turn);
            match log.set(id, key, value, None).await {
                Ok(_) => lock(&outcomes).confirmed.push(begun.elapsed().as_nanos() as Nanos),
                Err(_) => lock(&outcomes).unconfirmed += 1,
            }
        }));
    }
}
