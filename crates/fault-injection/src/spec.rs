//! What a trial file says.

use merlinfold_config::ParseError;
use merlinfold_simulation::{Nanos, SECOND};
use serde::{Deserialize, Serialize};

/// Nodes of a trial at most.
pub const NODES_MOST: usize = 2_000;

/// Number of the first guide server among the ends of links.
pub const SERVERS: usize = 100_000;
/// Number of discovery.
pub const DISCOVERY: usize = 200_000;
/// Number of all clients.
pub const CLIENTS: usize = 200_001;

/// A trial.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Trial {
    /// What it is to show.
    pub question: String,
    /// Of all that is drawn.
    #[serde(default = "one")]
    pub seed: u64,
    /// Length.
    pub seconds: f64,
    /// Too long for each run of the tests: only played by its name.
    #[serde(default)]
    pub by_hand: bool,
    /// Its processes.
    pub fleet: Fleet,
    /// Its links while nothing is wrong.
    #[serde(default)]
    pub network: Network,
    /// The agreed log that its nodes keep; none: they keep none. On processes only; in virtual time its worlds are
    /// drawn ([`crate::agreed`]).
    #[serde(default)]
    pub log: Option<Log>,
    /// What goes wrong.
    #[serde(default, rename = "fault")]
    pub faults: Vec<Fault>,
    /// What has to hold beside the laws that always do.
    #[serde(default)]
    pub rules: Rules,
}

fn one() -> u64 {
    1
}

/// The agreed log of a trial's nodes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Log {
    /// So many nodes, from the first on, may vote.
    pub candidates: usize,
    /// And so many do.
    pub voters: usize,
    /// Whether it is kept on disks.
    #[serde(default)]
    pub lasting: bool,
}

/// The processes of a trial.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fleet {
    /// How many nodes.
    pub nodes: usize,
    /// Zones, over which they are dealt in turn.
    pub zones: Vec<String>,
    /// Machines in a zone, over which its nodes are dealt in turn.
    #[serde(default = "two")]
    pub machines: usize,
    /// Nodes whose addresses all are given as seeds.
    #[serde(default = "three")]
    pub seeds: usize,
    /// Guide servers, dealt over the zones in turn; only processes have any.
    #[serde(default = "six")]
    pub servers: usize,
    /// Nodes of another fleet beside this one, which know the same seeds.
    #[serde(default)]
    pub strangers: usize,
}

fn two() -> usize {
    2
}

fn six() -> usize {
    6
}

fn three() -> usize {
    3
}

/// Links while nothing is wrong.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Network {
    /// Least time on the way, in milliseconds.
    pub delay_ms: f64,
    /// Drawn on top of that.
    pub jitter_ms: f64,
    /// Share of datagrams that are lost.
    pub loss: f64,
}

impl Default for Network {
    fn default() -> Self {
        Network { delay_ms: 0.5, jitter_ms: 2.0, loss: 0.0 }
    }
}

/// Something that goes wrong, for a while or for good.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Fault {
    /// When, in seconds.
    pub at: f64,
    /// For how long; none: to the end.
    pub lasts: Option<f64>,
    /// What.
    #[serde(flatten)]
    pub what: What,
}

/// What goes wrong. `who`, `from` and `to` are `all`, `node:N`, `zone:NAME`, `machine:ZONE/N`, `share:0.3` (drawn)
/// or `rest` (all that the other side is not). The ends of links are nodes, and in a zone its guide servers too;
/// there are also `servers`, `server:N`, `discovery` and `clients`. In virtual time only links between nodes matter.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "kebab-case", deny_unknown_fields)]
pub enum What {
    /// Killed outright, and started again at the fault's end.
    Kill {
        /// Which nodes.
        who: String,
        /// What the disk holds then.
        #[serde(default)]
        disk: Kept,
    },
    /// Told to end, one after the other, and started again when it has.
    Roll {
        /// Which nodes.
        who: String,
        /// Seconds from one to the next.
        every: f64,
    },
    /// Stopped, and continued at the fault's end.
    Pause {
        /// Which nodes.
        who: String,
    },
    /// Nothing passes on the links; nobody is told.
    Cut {
        /// One side.
        from: String,
        /// The other.
        to: String,
        /// In one direction only.
        #[serde(default)]
        one_way: bool,
    },
    /// Connections on the links are reset, also new ones; datagrams are lost.
    Reset {
        /// One side.
        from: String,
        /// The other.
        to: String,
    },
    /// Links that lose datagrams; what is lost of a connection comes 200 ms later.
    Thin {
        /// One side.
        from: String,
        /// The other.
        to: String,
        /// Share that is lost.
        loss: f64,
    },
    /// Links that take longer.
    Delay {
        /// One side.
        from: String,
        /// The other.
        to: String,
        /// Milliseconds more.
        ms: f64,
        /// Drawn on top of that; what is sent later may come earlier.
        #[serde(default)]
        jitter_ms: f64,
    },
    /// Links that pass so much and drop the rest.
    Throttle {
        /// One side.
        from: String,
        /// The other.
        to: String,
        /// Bytes a second, each way of each pair.
        bytes_s: f64,
    },
    /// Links that pass some datagrams twice.
    Duplicate {
        /// One side.
        from: String,
        /// The other.
        to: String,
        /// Share that comes twice.
        share: f64,
    },
    /// The disk does not do as it should.
    Disk {
        /// Which nodes.
        who: String,
        /// What it does instead.
        does: DiskFault,
    },
}

/// What a disk holds when its node starts again.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Kept {
    /// What was durable.
    #[default]
    Kept,
    /// Nothing.
    Empty,
    /// What it held before the node's last start.
    Yesterday,
    /// What was durable, cut at a drawn byte.
    Torn,
    /// What was durable, with a drawn bit turned.
    Flipped,
    /// The files of another node.
    Foreign,
}

/// What a disk does wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum DiskFault {
    /// Takes no more.
    Full,
    /// No file may grow (setrlimit of the file size).
    Limited,
    /// Its folder cannot be written or read.
    Gone,
    /// Fails to make durable, and says so.
    SyncFails,
    /// Fails to make durable, and says that it has.
    SyncLies,
    /// Makes contents durable, and says so of names that it then loses.
    NamesLost,
    /// Takes all, and gives nothing back.
    ReadFails,
    /// Takes up to [`SLOW`] over each step.
    Slow,
}

/// The longest step of a slow disk.
pub const SLOW: Nanos = 2 * SECOND;

impl DiskFault {
    /// Whether it needs a store beneath the program: no folder of the machine can be made to do it.
    pub fn is_of_the_store(self) -> bool {
        matches!(
            self,
            DiskFault::SyncFails
                | DiskFault::SyncLies
                | DiskFault::NamesLost
                | DiskFault::ReadFails
                | DiskFault::Slow
        )
    }

    /// Whether what was kept before it can be lost by it.
    pub fn lies(self) -> bool {
        matches!(self, DiskFault::SyncLies | DiskFault::NamesLost)
    }

    /// Whether a start may find nothing, though something was kept.
    pub fn hides(self) -> bool {
        matches!(self, DiskFault::Gone | DiskFault::ReadFails | DiskFault::Slow)
    }
}

/// What has to hold beside the laws that always do.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Rules {
    /// Seconds in which everybody untroubled holds a killed node dead.
    pub detect_s: f64,
    /// Seconds after the last fault's end in which there is one view.
    pub settle_s: f64,
    /// Live untroubled nodes that may be held dead by somebody.
    pub false_deaths: usize,
    /// Share of the requests that has to be served; only asked of processes.
    pub served: f64,
}

impl Default for Rules {
    fn default() -> Self {
        Rules { detect_s: 5.0, settle_s: 10.0, false_deaths: 0, served: 0.9 }
    }
}

impl Trial {
    /// Reads and checks a trial. The error names line and field.
    pub fn parse(text: &str) -> Result<Self, String> {
        let trial: Trial = merlinfold_config::parse(text).map_err(|error: ParseError| error.to_string())?;
        trial.check()?;
        Ok(trial)
    }

    /// Whether it can be played.
    pub fn check(&self) -> Result<(), String> {
        let fleet = &self.fleet;
        let wrong = |field: &str, why: String| Err(format!("{field}: {why}"));
        if !(1..=NODES_MOST).contains(&fleet.nodes) {
            return wrong("fleet.nodes", format!("1 to {NODES_MOST}"));
        }
        if fleet.zones.is_empty() || fleet.machines == 0 || fleet.seeds == 0 {
            return wrong("fleet", "zones, machines and seeds: at least one each".to_owned());
        }
        if !(self.seconds > 0.0 && self.seconds <= 1e6) {
            return wrong("seconds", "over 0, up to 1000000".to_owned());
        }
        if !(0.0..1.0).contains(&self.network.loss) {
            return wrong("network.loss", "a share, under 1".to_owned());
        }
        for (n, fault) in self.faults.iter().enumerate() {
            let field = format!("fault.{n}");
            let lasts = fault.lasts.unwrap_or(0.0);
            let sides = match &fault.what {
                What::Kill { who, .. }
                | What::Roll { who, .. }
                | What::Pause { who }
                | What::Disk { who, .. } => {
                    vec![who]
                }
                What::Cut { from, to, .. }
                | What::Reset { from, to }
                | What::Thin { from, to, .. }
                | What::Delay { from, to, .. }
                | What::Throttle { from, to, .. }
                | What::Duplicate { from, to, .. } => vec![from, to],
            };
            if !(fault.at >= 0.0 && lasts >= 0.0 && fault.at + lasts <= self.seconds) {
                return wrong(&field, format!("not within the {} s of the trial", self.seconds));
            }
            for side in sides {
                self.members(side).map_err(|why| format!("{field}: {side:?}: {why}"))?;
            }
        }
        Ok(())
    }

    /// Every node and guide server.
    pub(crate) fn ends(&self) -> impl Iterator<Item = usize> {
        (0..self.fleet.nodes).chain(SERVERS..SERVERS + self.fleet.servers)
    }

    /// Zone of a node, or of a guide server by its own number.
    pub fn zone(&self, node: usize) -> &str {
        &self.fleet.zones[node % self.fleet.zones.len()]
    }

    /// Machine of a node: zone and number.
    pub fn machine(&self, node: usize) -> String {
        format!("{}/{}", self.zone(node), node / self.fleet.zones.len() % self.fleet.machines)
    }

    /// Whom a side means: nodes, or a share to be drawn.
    pub(crate) fn members(&self, side: &str) -> Result<Side, String> {
        let all = 0..self.fleet.nodes;
        let servers = SERVERS..SERVERS + self.fleet.servers;
        let (kind, name) = side.split_once(':').unwrap_or((side, ""));
        let chosen: Vec<usize> = match kind {
            "rest" => return Ok(Side::Rest),
            "share" => {
                let share: f64 = name.parse().map_err(|_| "no share".to_owned())?;
                return if (0.0..=1.0).contains(&share) {
                    Ok(Side::Share(share))
                } else {
                    Err("0 to 1".to_owned())
                };
            }
            "all" => all.collect(),
            "node" => {
                let node: usize = name.parse().map_err(|_| "no number".to_owned())?;
                all.filter(|&n| n == node).collect()
            }
            "zone" => all.filter(|&n| self.zone(n) == name).chain(servers.filter(|&n| self.zone(n - SERVERS) == name)).collect(),
            "servers" => servers.collect(),
            "server" => {
                let server: usize = name.parse().map_err(|_| "no number".to_owned())?;
                servers.filter(|&n| n == SERVERS + server).collect()
            }
            "discovery" => vec![DISCOVERY],
            "clients" => vec![CLIENTS],
            "machine" => all.filter(|&n| self.machine(n) == name).collect(),
            _ => return Err("all, node:N, zone:NAME, machine:ZONE/N, share:S, rest, servers, server:N, discovery or clients".to_owned()),
        };
        if chosen.is_empty() {
            return Err("nobody is meant".to_owned());
        }
        Ok(Side::These(chosen))
    }
}

/// Whom a side of a fault means.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Side {
    These(Vec<usize>),
    Share(f64),
    Rest,
}
