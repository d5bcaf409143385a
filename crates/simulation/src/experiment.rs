//! Experiments. An experiment describes a fleet, its load and the disruptions during the run, and states the question
//! that the run answers. It is written as TOML; every key is a field in this module.

use std::collections::BTreeSet;

use serde::Deserialize;

use crate::{discovery, server, Nanos, MS, SECOND};

mod validate;

pub use validate::ExperimentError;

/// A complete experiment.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Experiment {
    /// The question that the run answers.
    pub question: String,
    /// Time from the first request to the last, in seconds.
    pub seconds: f64,
    /// Seed of all random numbers, unless the command line names another.
    #[serde(default = "default_seed")]
    pub seed: u64,
    /// The nodes.
    pub nodes: Nodes,
    /// The guide servers.
    pub fleet: Fleet,
    /// The load.
    pub load: Load,
    /// The classes of requests.
    #[serde(rename = "class")]
    pub classes: Vec<Class>,
    /// The tenants. If there are none, a single tenant without limits sends all requests.
    #[serde(default, rename = "tenant")]
    pub tenants: Vec<Tenant>,
    /// How clients react to failures.
    #[serde(default)]
    pub clients: Clients,
    /// Delays and limits of discovery.
    #[serde(default)]
    pub discovery: discovery::DiscoverySpec,
    /// The disruptions.
    #[serde(default, rename = "trouble")]
    pub disruptions: Vec<Disruption>,
    /// Limits that the invariants check.
    #[serde(default)]
    pub rules: Rules,
}

fn default_seed() -> u64 {
    1
}

/// The nodes and the resources that each may use.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Nodes {
    /// Number of nodes; they are assigned to the zones in turn.
    pub count: usize,
    /// Limit of file descriptors of each node.
    #[serde(default = "default_sockets")]
    pub sockets: usize,
    /// Memory limit of each node, in megabytes; exceeding it is a violation.
    #[serde(default = "default_memory_mb")]
    pub memory_mb: f64,
    /// Whether nodes have to request the server list; otherwise they receive it unasked.
    #[serde(default)]
    pub ask: bool,
    /// Time until the node balancer notices that a node has stopped, in milliseconds.
    #[serde(default = "default_notice_ms")]
    pub notice_ms: f64,
}

fn default_sockets() -> usize {
    1_024
}

fn default_memory_mb() -> f64 {
    192.0
}

fn default_notice_ms() -> f64 {
    1_500.0
}

/// The guide servers.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fleet {
    /// Names of the zones; the servers are assigned to them in turn.
    pub zones: Vec<String>,
    /// The kinds of server.
    #[serde(rename = "kind")]
    pub kinds: Vec<Kind>,
}

/// A kind of server.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Kind {
    /// Unique name.
    pub name: String,
    /// Number of servers of this kind.
    pub count: usize,
    /// Capacity and behaviour of a server of this kind.
    #[serde(default)]
    pub build: server::ServerSpec,
}

/// The load that clients generate.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Load {
    /// Requested work as a share of the capacity of all servers when they are warm and undisturbed.
    pub of_capacity: f64,
    /// Shape of the load over time.
    #[serde(default)]
    pub shape: Shape,
    /// Largest deviation from the mean load, as a share of the mean.
    #[serde(default)]
    pub swing: f64,
    /// Period of a swinging load, or mean duration of a burst, in milliseconds.
    #[serde(default = "default_period_ms")]
    pub period_ms: f64,
}

fn default_period_ms() -> f64 {
    8_000.0
}

/// Shape of the load over time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Shape {
    /// The load is constant.
    #[default]
    Steady,
    /// Each burst has a random level.
    Bursty,
    /// The load follows a sine wave.
    Swinging,
}

/// A class of requests.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Class {
    /// Unique name.
    pub name: String,
    /// Share of the requests, relative to the shares of the other classes.
    pub share: f64,
    /// Mean work of a request, in milliseconds of a standard core.
    pub work_ms: f64,
    /// Standard deviation of the lognormal work, as a multiple of its mean.
    #[serde(default)]
    pub spread: f64,
    /// Latency target in milliseconds; an answer within it earns the value of the request.
    pub aim_ms: f64,
    /// Time that a client waits over all tries, in milliseconds.
    pub deadline_ms: f64,
    /// Value of a request answered within its target.
    #[serde(default = "default_worth")]
    pub worth: f64,
    /// Whether a request may be executed more than once.
    pub effect: RetrySafety,
}

fn default_worth() -> f64 {
    1.0
}

fn default_part() -> f64 {
    1.0
}

/// Whether a request may be executed more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum RetrySafety {
    /// Repeated execution does no harm.
    Safe,
    /// Repeated execution does harm; the request must never run twice.
    Unsafe,
}

/// A tenant.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Tenant {
    /// Unique name.
    pub name: String,
    /// Share of the requests, relative to the shares of the other tenants.
    pub share: f64,
    /// Requests per second that count in full; 0 means no limit.
    #[serde(default)]
    pub quota_per_s: f64,
}

/// How clients react to failures.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Clients {
    /// Number of tries after the first.
    pub retries: u32,
    /// Share of the deadline that one try may take.
    pub try_share: f64,
    /// Delay before a retry, in milliseconds; 0 means none.
    pub backoff_ms: f64,
    /// Share of clients that honour `Retry-After`.
    pub honour: f64,
    /// Share of requests whose client abandons the first try before its timeout.
    pub impatient: f64,
    /// Whether retries are marked as such.
    pub marks: bool,
}

impl Default for Clients {
    fn default() -> Self {
        Clients { retries: 2, try_share: 0.5, backoff_ms: 20.0, honour: 0.2, impatient: 0.0, marks: false }
    }
}

/// Kinds of disruption.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum DisruptionKind {
    /// Server processes crash and restart cold.
    Crash,
    /// Server machines stop responding and restart cold.
    Vanish,
    /// Servers are slower by the factor `size`.
    Slow,
    /// Servers accept requests and do not process them.
    Hang,
    /// Servers reject one class after `size` milliseconds.
    TurnAway,
    /// A share `size` of answers is never sent.
    LoseAnswers,
    /// A share `size` of answers is truncated.
    CutAnswers,
    /// A share `size` of requests ends with a connection reset.
    ResetAnswers,
    /// A share `size` of answers is not valid HTTP.
    MalformedAnswers,
    /// Servers are drained, stopped and restarted in batches of the share `size` of all servers.
    DeployRoll,
    /// Nodes get SIGTERM and are restarted, one after another.
    NodeRoll,
    /// Nodes are killed and restarted.
    NodeKill,
    /// Each node is paused once for 0.15 s.
    NodePause,
    /// Discovery is out of service.
    DiscoveryOutage,
    /// A share `size` of the calls to discovery gets no answer, a late, refused or truncated one, or a reset.
    ListFaults,
    /// `size` peers per second connect to each node and send nothing.
    SilentPeers,
    /// Clients send `size` times as many requests.
    Surge,
}

/// One disruption.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Disruption {
    /// The kind of disruption.
    pub kind: DisruptionKind,
    /// Start, in seconds since the start of the run.
    pub at_s: f64,
    /// Duration in seconds.
    pub for_s: f64,
    /// Share of the servers or nodes that it affects.
    #[serde(default = "default_part")]
    pub part: f64,
    /// Magnitude; its meaning depends on the kind.
    #[serde(default)]
    pub size: Option<f64>,
    /// Name of the rejected class, for `turn-away` only.
    #[serde(default)]
    pub class: Option<String>,
}

/// Limits that the invariants check.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Rules {
    /// Limit of attempts of one request.
    pub attempts: u32,
    /// Time after a node learns that a server drains or has stopped until the node must send it nothing new, in
    /// milliseconds.
    pub drain_ms: f64,
    /// Time that a final answer may take beyond the client's timeout, in milliseconds; also the tolerance of all
    /// other limits.
    pub grace_ms: f64,
    /// Time within which a peer that sends no valid request must get an error or a close, in milliseconds.
    pub bad_peer_ms: f64,
    /// Share of requests that may be refused or failed late without any attempt.
    pub held_back: f64,
    /// Limit of the lab's own 99th percentile lateness, in milliseconds; above it the run is void.
    pub lateness_ms: f64,
    /// Minimum share of the total value that has to be served; 0 means no minimum.
    pub served: f64,
    /// Longest `Retry-After` that clients honour, in milliseconds.
    pub retry_after_ms: f64,
}

impl Default for Rules {
    fn default() -> Self {
        Rules {
            attempts: 3,
            drain_ms: 250.0,
            grace_ms: 100.0,
            bad_peer_ms: 3_000.0,
            held_back: 0.02,
            lateness_ms: 10.0,
            served: 0.0,
            retry_after_ms: 1_000.0,
        }
    }
}

impl Experiment {
    /// Returns the index of the class with this name.
    pub fn class_index(&self, name: &str) -> Option<usize> {
        self.classes.iter().position(|class| class.name == name)
    }

    /// Returns the number of servers of all kinds.
    pub fn server_count(&self) -> usize {
        self.fleet.kinds.iter().map(|kind| kind.count).sum()
    }

    /// Returns the index of the kind of each server, by server.
    pub fn server_kinds(&self) -> Vec<usize> {
        let kinds = self.fleet.kinds.iter().enumerate();
        kinds.flat_map(|(index, kind)| std::iter::repeat_n(index, kind.count)).collect()
    }

    /// Returns the index of a server's zone.
    pub fn zone_of_server(&self, server: usize) -> usize {
        server % self.fleet.zones.len()
    }

    /// Returns the index of a node's zone.
    pub fn zone_of_node(&self, node: usize) -> usize {
        node % self.fleet.zones.len()
    }

    /// Returns the mean request rate, in requests per second.
    pub fn mean_requests_per_second(&self) -> f64 {
        let capacity: f64 =
            self.fleet.kinds.iter().map(|k| k.count as f64 * k.build.cores * k.build.speed).sum();
        let shares: f64 = self.classes.iter().map(|class| class.share).sum();
        let work: f64 = self.classes.iter().map(|class| class.share / shares * class.work_ms).sum();
        self.load.of_capacity * capacity * 1_000.0 / work
    }

    /// Returns the duration of the load.
    pub fn duration(&self) -> Nanos {
        (self.seconds * SECOND as f64) as Nanos
    }

    /// Returns the longest deadline of all classes.
    pub fn max_deadline(&self) -> Nanos {
        let max_ms = self.classes.iter().map(|class| class.deadline_ms).fold(0.0, f64::max);
        (max_ms * MS as f64) as Nanos
    }
}
