//! Messages between the command and its processes of hollow nodes and relays: one line of JSON each, on standard input
//! and output.

use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};

use merlinfold_simulation::Nanos;
use serde::{Deserialize, Serialize};

const FLEET_PORT: u16 = 7_946;
const NODES_PER_SUBNET: usize = 200; // addresses 127.x.y.1 to 127.x.y.200
/// Number of zones in a fleet of hollow nodes.
pub const ZONES: usize = 8;
/// Number of regions in a fleet of hollow nodes.
pub const REGIONS: usize = 3;
const MACHINES_PER_ZONE: usize = 16;
const SEED_COUNT: usize = 3;
/// Number of candidates for voters of the replicated log; they are the first nodes.
pub const CANDIDATES: usize = 7;
/// Number of voters of the replicated log.
pub const VOTERS: usize = 5;

/// Returns the address of a hollow node in the range 127.x, where x is `range`.
pub fn address(range: u8, node: usize) -> SocketAddr {
    let (net, host) = (node / NODES_PER_SUBNET, node % NODES_PER_SUBNET);
    SocketAddrV4::new(Ipv4Addr::new(127, range, net as u8, host as u8 + 1), FLEET_PORT).into()
}

/// Returns the node that has this address in its range; none if no node can have it.
pub fn node_at(address: SocketAddr) -> Option<usize> {
    let SocketAddr::V4(address) = address else { return None };
    let [.., net, host] = address.ip().octets();
    Some(usize::from(net) * NODES_PER_SUBNET + usize::from(host).checked_sub(1)?)
}

/// Returns the zone of a node.
pub fn zone(node: usize) -> usize {
    node % ZONES
}

/// Returns the region of a node: the regions have 3, 3 and 2 zones.
pub fn region(node: usize) -> usize {
    zone(node) * REGIONS / ZONES
}

/// The setup that all hollow nodes of a fleet share.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FleetPlan {
    /// Range of the addresses on which nodes listen.
    pub listen_range: u8,
    /// Range of the addresses that nodes advertise: the relays' range if there are relays.
    pub reach_range: u8,
    /// Whether the nodes run the replicated log.
    pub log: bool,
}

impl FleetPlan {
    /// Returns the `[fleet]` table of a node's configuration.
    pub fn table(&self, node: usize) -> String {
        let (zone, region) = (zone(node), region(node));
        let machine = node / ZONES % MACHINES_PER_ZONE;
        let seeds = (0..SEED_COUNT).filter(|seed| *seed != node);
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

/// An order to a process of hollow nodes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Order {
    /// Set up for this fleet; the first order.
    SetUp(FleetPlan),
    /// Start these nodes.
    Start(Vec<usize>),
    /// End these nodes without notice to the others.
    Kill(Vec<usize>),
    /// Let a node propose values to the replicated log.
    Propose(Proposals),
}

/// A series of proposals to the replicated log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Proposals {
    /// The node that proposes.
    pub node: usize,
    /// Time between two proposals, ms.
    pub every_ms: u64,
    /// Number of proposals; none: no limit.
    pub count: Option<u64>,
    /// Number of different keys.
    pub keys: u64,
}

/// An order to a process of relays.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RelayOrder {
    /// Relay for the given number of this fleet's nodes; the first order.
    SetUp(FleetPlan, usize),
    /// Drop everything between the first and the second group of nodes.
    Cut(Vec<usize>, Vec<usize>),
    /// Forward everything again.
    Heal,
}

/// State of one hollow node. Counts start at its first start and continue across restarts.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeSample {
    /// Number of the node.
    pub node: usize,
    /// Members that it considers alive; 0 while it is down.
    pub alive: usize,
    /// Members that it knows of.
    pub known: usize,
    /// Processor time of its task, ns.
    pub cpu: Nanos,
    /// Membership messages sent.
    pub messages: u64,
    /// Bytes of membership messages sent.
    pub bytes: u64,
    /// Replicated-log messages sent.
    pub log_messages: u64,
    /// Bytes of replicated-log messages sent.
    pub log_bytes: u64,
    /// Times that it accused another member of having failed.
    pub accused: u64,
    /// Times that it detected that it had been stalled itself.
    pub held_up: u64,
    /// Index of the last log entry that it has applied.
    pub log_index: u64,
    /// Log values that it stores.
    pub log_values: usize,
    /// Whether it is a voter of the log.
    pub votes: bool,
    /// Whether it leads the log.
    pub leads: bool,
}

/// State of a process of hollow nodes.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Sample {
    /// Monotonic time of the machine, ns.
    pub at: Nanos,
    /// Processor time of the thread that runs all nodes, ns.
    pub thread_cpu: Nanos,
    /// The part of it used to measure and to propose, ns.
    pub measuring_cpu: Nanos,
    /// Resident anonymous memory, KiB.
    pub memory_kib: u64,
    /// The same before the first node started, KiB.
    pub empty_memory_kib: u64,
    /// Delay of the timer that triggered this sample, ns.
    pub lateness: Nanos,
    /// Times from proposal to confirmation of the proposals confirmed since the previous sample, ns.
    pub confirmed: Vec<Nanos>,
    /// Proposals that failed since the previous sample.
    pub unconfirmed: u64,
    /// State of each of its nodes.
    pub nodes: Vec<NodeSample>,
}
