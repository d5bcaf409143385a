//! The format of a scenario file, and its validation.

use merlinfold_config::ParseError;
use merlinfold_simulation::{Nanos, SECOND};
use serde::{Deserialize, Serialize};

/// The largest fleet of a scenario.
pub const MAX_NODES: usize = 2_000;

/// Endpoint number of the first guide server; node numbers are below it.
pub const FIRST_SERVER: usize = 100_000;
/// Endpoint number of the discovery service.
pub const DISCOVERY: usize = 200_000;
/// Endpoint number that stands for all clients.
pub const CLIENTS: usize = 200_001;

/// A fault injection scenario, as it is written in a trial file.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// The question that the scenario answers, for people.
    pub question: String,
    /// Seed of all random choices.
    #[serde(default = "default_seed")]
    pub seed: u64,
    /// Length of the run in seconds.
    pub seconds: f64,
    /// Whether the scenario takes too long for the regular tests and only runs when it is named. Written as
    /// `by_hand`.
    #[serde(default, rename = "by_hand")]
    pub manual_only: bool,
    /// The processes.
    pub fleet: Fleet,
    /// Properties of the links while no fault is active.
    #[serde(default)]
    pub network: Network,
    /// Settings of the nodes' replicated log; without them the nodes have none. Only runs on processes use it: in
    /// virtual time, log scenarios are generated instead ([`crate::replicated_log`]).
    #[serde(default)]
    pub log: Option<Log>,
    /// The faults to inject.
    #[serde(default, rename = "fault")]
    pub faults: Vec<Fault>,
    /// Limits that this scenario sets for the invariants.
    #[serde(default)]
    pub rules: Rules,
}

fn default_seed() -> u64 {
    1
}

/// Settings of the replicated log of a scenario's nodes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Log {
    /// Number of nodes, from the first on, that may become voters.
    pub candidates: usize,
    /// Number of voters.
    pub voters: usize,
    /// Whether the log is stored on disk. Written as `lasting`.
    #[serde(default, rename = "lasting")]
    pub durable: bool,
}

/// The processes of a scenario.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fleet {
    /// Number of nodes.
    pub nodes: usize,
    /// Zones, to which nodes are assigned round robin.
    pub zones: Vec<String>,
    /// Machines in each zone, to which the zone's nodes are assigned round robin.
    #[serde(default = "default_machines")]
    pub machines: usize,
    /// Number of nodes, from the first on, whose addresses every node gets as seeds.
    #[serde(default = "default_seeds")]
    pub seeds: usize,
    /// Number of guide servers, assigned to zones round robin; only used in runs on processes.
    #[serde(default = "default_servers")]
    pub servers: usize,
    /// Number of nodes of another fleet that know the same seeds.
    #[serde(default)]
    pub strangers: usize,
}

fn default_machines() -> usize {
    2
}

fn default_servers() -> usize {
    6
}

fn default_seeds() -> usize {
    3
}

/// Properties of links while no fault is active.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Network {
    /// Minimum transit time in milliseconds.
    pub delay_ms: f64,
    /// Upper bound of the random extra transit time in milliseconds.
    pub jitter_ms: f64,
    /// Share of datagrams that are lost.
    pub loss: f64,
}

impl Default for Network {
    fn default() -> Self {
        Network { delay_ms: 0.5, jitter_ms: 2.0, loss: 0.0 }
    }
}

/// A fault that is injected for some time, or until the end of the run.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Fault {
    /// Start in seconds since the start of the run.
    pub at: f64,
    /// Duration in seconds; without one, the fault lasts to the end of the run. Written as `lasts`.
    #[serde(rename = "lasts")]
    pub duration: Option<f64>,
    /// What fails.
    #[serde(flatten)]
    pub kind: FaultKind,
}

/// The kind of a fault and its targets. `who`, `from` and `to` take `all`, `node:N`, `zone:NAME`, `machine:ZONE/N`,
/// `share:0.3` (a random share of the nodes) or `rest` (all endpoints that are not on the other side). Links end at
/// nodes and guide servers; a zone includes its guide servers. `from` and `to` also take `servers`, `server:N`,
/// `discovery` and `clients`. In virtual time, only links between nodes have an effect.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "kebab-case", deny_unknown_fields)]
pub enum FaultKind {
    /// Nodes are killed without warning, and started again when the fault ends.
    Kill {
        /// Nodes to kill.
        who: String,
        /// Disk contents at the restart.
        #[serde(default)]
        disk: DiskContents,
    },
    /// Nodes are asked to shut down one after the other; each is started again after 70 % of the interval.
    Roll {
        /// Nodes to restart.
        who: String,
        /// Seconds between the shutdowns of two successive nodes.
        every: f64,
    },
    /// Processes are suspended, and resumed when the fault ends.
    Pause {
        /// Nodes to suspend.
        who: String,
    },
    /// Links pass nothing, and no error is reported to either end.
    Cut {
        /// One side.
        from: String,
        /// Other side.
        to: String,
        /// Whether only the direction from `from` to `to` is cut.
        #[serde(default)]
        one_way: bool,
    },
    /// Connections over the links are reset, including new ones, and datagrams are lost.
    Reset {
        /// One side.
        from: String,
        /// Other side.
        to: String,
    },
    /// Links lose datagrams; lost connection data is delivered 200 ms later.
    Thin {
        /// One side.
        from: String,
        /// Other side.
        to: String,
        /// Share of datagrams that are lost.
        loss: f64,
    },
    /// Links take longer.
    Delay {
        /// One side.
        from: String,
        /// Other side.
        to: String,
        /// Extra transit time in milliseconds.
        ms: f64,
        /// Upper bound of a further random delay in milliseconds, which may reorder datagrams.
        #[serde(default)]
        jitter_ms: f64,
    },
    /// Links have a limited rate and drop the excess.
    Throttle {
        /// One side.
        from: String,
        /// Other side.
        to: String,
        /// Bytes a second, for each pair of endpoints and each direction.
        bytes_s: f64,
    },
    /// Links deliver some datagrams twice.
    Duplicate {
        /// One side.
        from: String,
        /// Other side.
        to: String,
        /// Share of datagrams that arrive twice.
        share: f64,
    },
    /// The disk fails.
    Disk {
        /// Nodes whose disk fails.
        who: String,
        /// How the disk fails.
        does: DiskFault,
    },
}

/// Contents of a node's disk when the node starts again. The variant names appear in reports.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum DiskContents {
    /// Everything that was durable.
    #[default]
    Kept,
    /// Nothing.
    Empty,
    /// An older state: what the disk held before the last start of the node.
    Yesterday,
    /// Everything that was durable, with each file truncated at a random byte.
    Torn,
    /// Everything that was durable, with one random bit flipped in each file.
    Flipped,
    /// The files of another node.
    Foreign,
}

/// How a disk fails. The variant names appear in reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum DiskFault {
    /// Writes fail because the disk is full.
    Full,
    /// No file may grow beyond the limit on file sizes (`setrlimit`).
    Limited,
    /// The node's folder can be neither read nor written.
    Gone,
    /// Sync reports an error.
    SyncFails,
    /// Sync reports success without making anything durable.
    SyncLies,
    /// File contents become durable; renames are reported as durable but get lost.
    NamesLost,
    /// Writes succeed and reads fail.
    ReadFails,
    /// Each operation takes up to [`MAX_SLOW_STEP`].
    Slow,
}

/// The longest operation of a slow disk.
pub const MAX_SLOW_STEP: Nanos = 2 * SECOND;

impl DiskFault {
    /// Returns whether the fault needs a faulty store underneath the program, because no folder of the machine can be
    /// made to fail this way.
    pub fn needs_faulty_store(self) -> bool {
        matches!(
            self,
            DiskFault::SyncFails
                | DiskFault::SyncLies
                | DiskFault::NamesLost
                | DiskFault::ReadFails
                | DiskFault::Slow
        )
    }

    /// Returns whether writes that were confirmed before the fault ended may be lost.
    pub fn loses_confirmed_writes(self) -> bool {
        matches!(self, DiskFault::SyncLies | DiskFault::NamesLost)
    }

    /// Returns whether a node that starts during the fault may find nothing although files are stored.
    pub fn may_hide_stored_files(self) -> bool {
        matches!(self, DiskFault::Gone | DiskFault::ReadFails | DiskFault::Slow)
    }
}

/// Limits that a scenario sets for the invariants.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Rules {
    /// Seconds within which every healthy node must consider a killed node dead.
    pub detect_s: f64,
    /// Seconds after the end of the last fault within which all nodes must agree on the members.
    pub settle_s: f64,
    /// How many times a live, healthy node may be considered dead by another one.
    pub false_deaths: usize,
    /// Minimum share of requests that must be served; only checked in runs on processes.
    pub served: f64,
}

impl Default for Rules {
    fn default() -> Self {
        Rules { detect_s: 5.0, settle_s: 10.0, false_deaths: 0, served: 0.9 }
    }
}

impl Scenario {
    /// Parses and validates a scenario. The error names the line or the field.
    pub fn parse(text: &str) -> Result<Self, String> {
        let scenario: Scenario =
            merlinfold_config::parse(text).map_err(|error: ParseError| error.to_string())?;
        scenario.check()?;
        Ok(scenario)
    }

    /// Checks that the scenario can run. The error names the field and the accepted values.
    pub fn check(&self) -> Result<(), String> {
        let fleet = &self.fleet;
        let error = |field: &str, reason: String| Err(format!("{field}: {reason}"));
        if !(1..=MAX_NODES).contains(&fleet.nodes) {
            return error("fleet.nodes", format!("expected 1 to {MAX_NODES}, got {}", fleet.nodes));
        }
        if fleet.zones.is_empty() || fleet.machines == 0 || fleet.seeds == 0 {
            return error("fleet", "expected at least one zone, one machine and one seed".to_owned());
        }
        if !(self.seconds > 0.0 && self.seconds <= 1e6) {
            return error(
                "seconds",
                format!("expected more than 0 and at most 1000000, got {}", self.seconds),
            );
        }
        if !(0.0..1.0).contains(&self.network.loss) {
            return error(
                "network.loss",
                format!("expected a share of at least 0 and less than 1, got {}", self.network.loss),
            );
        }
        for (index, fault) in self.faults.iter().enumerate() {
            let field = format!("fault.{index}");
            let duration = fault.duration.unwrap_or(0.0);
            let sides = match &fault.kind {
                FaultKind::Kill { who, .. }
                | FaultKind::Roll { who, .. }
                | FaultKind::Pause { who }
                | FaultKind::Disk { who, .. } => {
                    vec![who]
                }
                FaultKind::Cut { from, to, .. }
                | FaultKind::Reset { from, to }
                | FaultKind::Thin { from, to, .. }
                | FaultKind::Delay { from, to, .. }
                | FaultKind::Throttle { from, to, .. }
                | FaultKind::Duplicate { from, to, .. } => vec![from, to],
            };
            if !(fault.at >= 0.0 && duration >= 0.0 && fault.at + duration <= self.seconds) {
                return error(&field, format!("the fault is not within the {} s of the trial", self.seconds));
            }
            for side in sides {
                self.select(side).map_err(|reason| format!("{field}: {side:?}: {reason}"))?;
            }
        }
        Ok(())
    }

    /// Returns the endpoint numbers of all nodes and guide servers.
    pub(crate) fn endpoints(&self) -> impl Iterator<Item = usize> {
        (0..self.fleet.nodes).chain(FIRST_SERVER..FIRST_SERVER + self.fleet.servers)
    }

    /// Returns the zone of a node, or of a guide server by its index.
    pub fn zone(&self, node: usize) -> &str {
        &self.fleet.zones[node % self.fleet.zones.len()]
    }

    /// Returns the machine of a node as `ZONE/N`.
    pub fn machine(&self, node: usize) -> String {
        format!("{}/{}", self.zone(node), node / self.fleet.zones.len() % self.fleet.machines)
    }

    /// Resolves the text of a `who`, `from` or `to` field. The error says what is expected.
    pub(crate) fn select(&self, side: &str) -> Result<EndpointSelection, String> {
        let all = 0..self.fleet.nodes;
        let servers = FIRST_SERVER..FIRST_SERVER + self.fleet.servers;
        let (kind, name) = side.split_once(':').unwrap_or((side, ""));
        let selected: Vec<usize> = match kind {
            "rest" => return Ok(EndpointSelection::Rest),
            "share" => {
                let share: f64 = name.parse().map_err(|_| "expected a share from 0 to 1".to_owned())?;
                return if (0.0..=1.0).contains(&share) {
                    Ok(EndpointSelection::Share(share))
                } else {
                    Err("expected a share from 0 to 1".to_owned())
                };
            }
            "all" => all.collect(),
            "node" => {
                let node: usize = name.parse().map_err(|_| "expected a number after the colon".to_owned())?;
                all.filter(|&n| n == node).collect()
            }
            "zone" => {
                let nodes = all.filter(|&node| self.zone(node) == name);
                nodes.chain(servers.filter(|&server| self.zone(server - FIRST_SERVER) == name)).collect()
            }
            "servers" => servers.collect(),
            "server" => {
                let server: usize =
                    name.parse().map_err(|_| "expected a number after the colon".to_owned())?;
                servers.filter(|&n| n == FIRST_SERVER + server).collect()
            }
            "discovery" => vec![DISCOVERY],
            "clients" => vec![CLIENTS],
            "machine" => all.filter(|&n| self.machine(n) == name).collect(),
            _ => {
                return Err(
                    "expected all, node:N, zone:NAME, machine:ZONE/N, share:S, rest, servers, server:N, \
                 discovery or clients"
                        .to_owned(),
                )
            }
        };
        if selected.is_empty() {
            return Err("no node or server matches".to_owned());
        }
        Ok(EndpointSelection::Listed(selected))
    }
}

/// Endpoints that a `who`, `from` or `to` field selects.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum EndpointSelection {
    Listed(Vec<usize>),
    Share(f64),
    Rest,
}
