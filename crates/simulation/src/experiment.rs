//! An experiment: what fleet serves what load while what goes wrong, and the question it asks. Written as
//! TOML; every key is a field here.

use std::collections::BTreeSet;

use serde::Deserialize;

use crate::{discovery, server, Nanos, MS, SECOND};

mod check;

pub use check::ExperimentError;

/// A whole experiment.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Experiment {
    /// What playing it should tell.
    pub question: String,
    /// Length, from the first request to the last.
    pub seconds: f64,
    /// For all that is drawn, unless the command line names another.
    #[serde(default = "one")]
    pub seed: u64,
    /// The nodes.
    pub nodes: Nodes,
    /// The guide servers.
    pub fleet: Fleet,
    /// The load.
    pub load: Load,
    /// Classes of requests.
    #[serde(rename = "class")]
    pub classes: Vec<Class>,
    /// Tenants; without any, one that may ask for everything.
    #[serde(default, rename = "tenant")]
    pub tenants: Vec<Tenant>,
    /// What clients do about failures.
    #[serde(default)]
    pub clients: Clients,
    /// Discovery.
    #[serde(default)]
    pub discovery: discovery::DiscoverySpec,
    /// What goes wrong.
    #[serde(default, rename = "trouble")]
    pub disruptions: Vec<Disruption>,
    /// The figures of the rules.
    #[serde(default)]
    pub rules: Rules,
}

fn one() -> u64 {
    1
}

/// The nodes, and what each may use.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Nodes {
    /// How many; they are spread over the zones in turn.
    pub count: usize,
    /// Descriptors of each.
    #[serde(default = "sockets")]
    pub sockets: usize,
    /// Memory of each, in megabytes; more is a breach.
    #[serde(default = "memory")]
    pub memory_mb: f64,
    /// They have to ask for the list; else it comes by itself.
    #[serde(default)]
    pub ask: bool,
    /// Time after its end until the front notices that a node is gone, in milliseconds.
    #[serde(default = "notice")]
    pub notice_ms: f64,
}

fn sockets() -> usize {
    1_024
}

fn memory() -> f64 {
    192.0
}

fn notice() -> f64 {
    1_500.0
}

/// The guide servers.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fleet {
    /// Zones; servers of each kind are spread over them in turn.
    pub zones: Vec<String>,
    /// Kinds of server.
    #[serde(rename = "kind")]
    pub kinds: Vec<Kind>,
}

/// A kind of server.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Kind {
    /// Its name.
    pub name: String,
    /// How many there are.
    pub count: usize,
    /// How it is built.
    #[serde(default)]
    pub build: server::ServerSpec,
}

/// What is asked.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Load {
    /// Work asked for, as a share of what all servers can do when warm and untroubled.
    pub of_capacity: f64,
    /// Its shape over time.
    #[serde(default)]
    pub shape: Shape,
    /// How far it strays from its mean, as a share of it.
    #[serde(default)]
    pub swing: f64,
    /// Period of the swing, or mean length of a burst, in milliseconds.
    #[serde(default = "period")]
    pub period_ms: f64,
}

fn period() -> f64 {
    8_000.0
}

/// Shape of the load over time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Shape {
    /// As much at all times.
    #[default]
    Steady,
    /// A level drawn anew for each burst.
    Bursty,
    /// Up and down.
    Swinging,
}

/// A class of requests.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Class {
    /// Its name.
    pub name: String,
    /// Share of the requests, beside the shares of the other classes.
    pub share: f64,
    /// Mean work, in milliseconds of a standard core.
    pub work_ms: f64,
    /// Deviation of the work over its mean; lognormal.
    #[serde(default)]
    pub spread: f64,
    /// An answer within this many milliseconds earns the worth.
    pub aim_ms: f64,
    /// The client waits so many milliseconds in all.
    pub deadline_ms: f64,
    /// Worth of a request.
    #[serde(default = "worth")]
    pub worth: f64,
    /// What a repeat does.
    pub effect: RetrySafety,
}

fn worth() -> f64 {
    1.0
}

/// What a repeat does.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum RetrySafety {
    /// No harm.
    Safe,
    /// Harm: it must never run twice.
    Unsafe,
}

/// A tenant.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Tenant {
    /// Its name.
    pub name: String,
    /// Share of the requests, beside the shares of the others.
    pub share: f64,
    /// Requests a second that count in full; 0: no such limit.
    #[serde(default)]
    pub quota_per_s: f64,
}

/// What clients do about failures.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Clients {
    /// Tries after the first.
    pub retries: u32,
    /// Part of the deadline that one try may take.
    pub try_share: f64,
    /// Time before a further try, in milliseconds; 0: at once.
    pub backoff_ms: f64,
    /// Share of clients that heed `Retry-After`.
    pub honour: f64,
    /// Share of tries that their client leaves before their time.
    pub impatient: f64,
    /// Further tries are marked as such.
    pub marks: bool,
}

impl Default for Clients {
    fn default() -> Self {
        Clients { retries: 2, try_share: 0.5, backoff_ms: 20.0, honour: 0.2, impatient: 0.0, marks: false }
    }
}

/// What goes wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum DisruptionKind {
    /// Server processes die and come back cold.
    Crash,
    /// Machines fall silent and come back cold.
    Vanish,
    /// Servers take longer, by the factor `size`.
    Slow,
    /// Servers take requests and do nothing.
    Hang,
    /// Servers turn one class away, after `size` milliseconds.
    TurnAway,
    /// A share `size` of answers never comes.
    LoseAnswers,
    /// A share `size` of answers is cut short.
    CutAnswers,
    /// A share `size` of requests ends in a reset.
    ResetAnswers,
    /// A share `size` of answers is no HTTP.
    MalformedAnswers,
    /// Servers are drained, stopped and started anew, in batches of `size` of the fleet.
    DeployRoll,
    /// Nodes get SIGTERM and are started anew, one after another.
    NodeRoll,
    /// Nodes are killed and started anew.
    NodeKill,
    /// Nodes are held up for 0.15 s, each once.
    NodePause,
    /// Discovery is out of service.
    DiscoveryOutage,
    /// A share `size` of the calls to discovery falls silent, is answered late, refused, reset or cut.
    ListFaults,
    /// Peers connect and send nothing: `size` of them a second at each node.
    SilentPeers,
    /// Clients ask `size` times as much.
    Surge,
}

/// One trouble.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Disruption {
    /// What goes wrong.
    pub kind: DisruptionKind,
    /// When, in seconds from the start.
    pub at_s: f64,
    /// For how long, in seconds.
    pub for_s: f64,
    /// For what part of the servers or nodes.
    #[serde(default = "worth")]
    pub part: f64,
    /// How much; what it means depends on the kind.
    #[serde(default)]
    pub size: Option<f64>,
    /// The class that is turned away.
    #[serde(default)]
    pub class: Option<String>,
}

/// The figures of the rules.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Rules {
    /// Attempts that a request may have.
    pub attempts: u32,
    /// Time after a node was told that a server drains or is gone, in milliseconds, until nothing new may
    /// reach it.
    pub drain_ms: f64,
    /// Time beyond the client's own that a final answer may take, and slack of all other limits.
    pub grace_ms: f64,
    /// Time until a peer that sends no proper request has an error or a close.
    pub bad_peer_ms: f64,
    /// Share of requests that may be refused or failed late though nothing was tried for them.
    pub held_back: f64,
    /// The lab's own lateness at the 99th percentile, in milliseconds, above which the run is void.
    pub lateness_ms: f64,
    /// Least share of the worth that has to be served, where the experiment asks for one.
    pub served: f64,
    /// Longest `Retry-After` that clients heed, in milliseconds.
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
    /// The number of the class of this name.
    pub fn class_index(&self, name: &str) -> Option<usize> {
        self.classes.iter().position(|class| class.name == name)
    }

    /// Number of servers.
    pub fn server_count(&self) -> usize {
        self.fleet.kinds.iter().map(|kind| kind.count).sum()
    }

    /// Kind of each server, by number.
    pub fn server_kinds(&self) -> Vec<usize> {
        let each = self.fleet.kinds.iter().enumerate();
        each.flat_map(|(number, kind)| std::iter::repeat_n(number, kind.count)).collect()
    }

    /// Zone of a server.
    pub fn zone_of_server(&self, server: usize) -> usize {
        server % self.fleet.zones.len()
    }

    /// Zone of a node.
    pub fn zone_of_node(&self, node: usize) -> usize {
        node % self.fleet.zones.len()
    }

    /// Requests a second on the mean.
    pub fn mean_requests_per_second(&self) -> f64 {
        let capacity: f64 =
            self.fleet.kinds.iter().map(|k| k.count as f64 * k.build.cores * k.build.speed).sum();
        let shares: f64 = self.classes.iter().map(|class| class.share).sum();
        let work: f64 = self.classes.iter().map(|class| class.share / shares * class.work_ms).sum();
        self.load.of_capacity * capacity * 1_000.0 / work
    }

    /// Its length.
    pub fn duration(&self) -> Nanos {
        (self.seconds * SECOND as f64) as Nanos
    }

    /// Longest time that a client waits in all.
    pub fn max_deadline(&self) -> Nanos {
        let longest = self.classes.iter().map(|class| class.deadline_ms).fold(0.0, f64::max);
        (longest * MS as f64) as Nanos
    }
}
