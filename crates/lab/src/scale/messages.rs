//! What the command and the processes of hollow nodes tell each other: a line of JSON each, over standard input and
//! output.

use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};

use merlinfold_simulation::Nanos;
use serde::{Deserialize, Serialize};

const FLEET_PORT: u16 = 7_946;
const NODES_A_NET: usize = 200; // addresses 127.x.y.1 to 127.x.y.200
/// Zones of a fleet of hollow nodes.
pub const ZONES: usize = 8;
/// Regions of it.
pub const REGIONS: usize = 3;
const MACHINES_A_ZONE: usize = 16;
const SEEDS: usize = 3;
/// Nodes that may vote on the agreed log: the first ones.
pub const CANDIDATES: usize = 7;
/// Nodes that do.
pub const VOTERS: usize = 5;

/// Address of a hollow node in the range 127.x.
pub fn address(range: u8, node: usize) -> SocketAddr {
    let (net, host) = (node / NODES_A_NET, node % NODES_A_NET);
    SocketAddrV4::new(Ipv4Addr::new(127, range, net as u8, host as u8 + 1), FLEET_PORT).into()
}

/// Node at an address of a range.
pub fn node_at(address: SocketAddr) -> Option<usize> {
    let SocketAddr::V4(address) = address else { return None };
    let [.., net, host] = address.ip().octets();
    Some(usize::from(net) * NODES_A_NET + usize::from(host).checked_sub(1)?)
}

/// Zone of a node.
pub fn zone(node: usize) -> usize {
    node % ZONES
}

/// Region of a node: zones of 3, 3 and 2.
pub fn region(node: usize) -> usize {
    zone(node) * REGIONS / ZONES
}

/// How all hollow nodes of a fleet are set up.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FleetPlan {
    /// Range of addresses in which nodes listen.
    pub listen_range: u8,
    /// Range in which others reach them: that of the relays, if there are any.
    pub reach_range: u8,
    /// Whether they keep the agreed log.
    pub log: bool,
}

impl FleetPlan {
    /// The `[fleet]` table of a node.
    pub fn table(&self, node: usize) -> String {
        let (zone, region) = (zone(node), region(node));
        let machine = node / ZONES % MACHINES_A_ZONE;
        let seeds = (0..SEEDS).filter(|seed| *seed != node);
        let seeds: Vec<String> =
            seeds.map(|seed| format!("\"{}\"", address(self.reach_range, seed))).collect();
        let mut table = format!(
            "[fleet]\ncluster = \"scale\"\nlisten = \"{}\"\nadvertise = \"{}\"\nzone = \"r{region}z{zone}\"\n\
             machine = \"z{zone}m{machine}\"\nseeds = [{}]\n",
            address(self.listen_range, node),
            address(self.reach_range, node),
            seeds.join(", ")
        );
        if self.log {
            let candidates: Vec<String> = (0..CANDIDATES).map(|node| format!("\"n{node}\"")).collect();
            table += &format!("[fleet.log]\ncandidates = [{}]\nvoters = {VOTERS}\n", candidates.join(", "));
        }
        table
    }
}

/// What a process of hollow nodes is told.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Order {
    /// Be of this fleet; comes first.
    SetUp(FleetPlan),
    /// Start these nodes.
    Start(Vec<usize>),
    /// End these nodes without a word to the others.
    Kill(Vec<usize>),
    /// Let this node propose values to the agreed log.
    Propose(Proposals),
}

/// Values that are proposed to the agreed log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Proposals {
    /// By which node.
    pub node: usize,
    /// Time between two.
    pub every_ms: u64,
    /// How many; none: without end.
    pub count: Option<u64>,
    /// Different keys.
    pub keys: u64,
}

/// What a process of relays is told.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RelayOrder {
    /// Relay for this fleet's first nodes; comes first.
    SetUp(FleetPlan, usize),
    /// Pass nothing between these nodes and those.
    Cut(Vec<usize>, Vec<usize>),
    /// Pass everything again.
    Heal,
}

/// How one hollow node stands. Counts are since its first start and go on over restarts.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeSample {
    /// Which.
    pub node: usize,
    /// Members that it holds alive; 0 while it is down.
    pub alive: usize,
    /// Members that it knows.
    pub known: usize,
    /// Processor time of its task.
    pub cpu: Nanos,
    /// Messages of the membership sent.
    pub messages: u64,
    /// Their bytes.
    pub bytes: u64,
    /// Messages of the agreed log sent.
    pub log_messages: u64,
    /// Their bytes.
    pub log_bytes: u64,
    /// Times that it accused another.
    pub accused: u64,
    /// Times that it found itself held up.
    pub held_up: u64,
    /// Last entry of the agreed log that it has applied.
    pub log_index: u64,
    /// Values that it holds.
    pub log_values: usize,
    /// Whether it votes.
    pub votes: bool,
    /// Whether it leads.
    pub leads: bool,
}

/// How a process of hollow nodes stands.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Sample {
    /// Monotonic time of the machine.
    pub at: Nanos,
    /// Processor time of the thread that all nodes are on.
    pub thread_cpu: Nanos,
    /// Of it, what was used to measure and to propose.
    pub measuring_cpu: Nanos,
    /// Resident anonymous memory.
    pub memory_kib: u64,
    /// The same before the first node was started.
    pub empty_memory_kib: u64,
    /// How late the timer was that this sample is made by.
    pub lateness: Nanos,
    /// Times from a proposal to its confirmation since the sample before.
    pub confirmed: Vec<Nanos>,
    /// Proposals that were not confirmed since the sample before.
    pub unconfirmed: u64,
    /// Its nodes.
    pub nodes: Vec<NodeSample>,
}
