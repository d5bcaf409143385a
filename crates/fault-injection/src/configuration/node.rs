//! A simulated node: its state machine, its disk, and what is wrong with it.

use std::net::SocketAddr;

use merlinfold_distribution::{
    Action, Defect, Distribution, Identity, Name, Peer, RevisionId, StoredState, Tuning,
};
use merlinfold_simulation::seed::mix;
use merlinfold_simulation::Nanos;

use super::simulator::ConfigurationScenario;
use crate::disk::ModelDisk;
use crate::scenario::DiskContents;

/// The latest document format; nodes with [`Node::lacks_latest_format`] only know the one before.
pub const MAX_FORMAT: u16 = 2;

/// A node and its environment.
pub struct Node {
    /// Name of the node.
    pub name: Name,
    /// State machine, while the process runs.
    pub machine: Option<Distribution>,
    /// Whether the process is suspended.
    pub paused: bool,
    /// Number of starts.
    pub starts: u64,
    /// Time of the scheduled tick.
    pub scheduled: Option<Nanos>,
    /// Disk of the node.
    pub disk: ModelDisk,
    /// Since when the node has been down or paused.
    pub down_since: Option<Nanos>,
    /// Number of active faults that affect the node.
    pub active_faults: usize,
    /// Time at which a fault of the node last began or ended.
    pub healthy_since: Nanos,
    /// Bytes that earlier processes of the node sent.
    pub sent: u64,
    /// Whether the node's version does not know the latest format.
    pub lacks_latest_format: bool,
    /// Whether the node damages the content that it sends.
    pub corrupts_pieces: bool,
    /// Number of the revision that the node refuses.
    pub refused_number: Option<u64>,
}

impl Node {
    /// Creates a node that was never started.
    pub fn new(seed: u64, number: usize) -> Self {
        Node {
            name: format!("n{number}").into(),
            machine: None,
            paused: false,
            starts: 0,
            scheduled: None,
            disk: ModelDisk::new(seed, number as u64),
            down_since: None,
            active_faults: 0,
            healthy_since: 0,
            sent: 0,
            lacks_latest_format: false,
            corrupts_pieces: false,
            refused_number: None,
        }
    }

    /// Returns whether the node runs and is not paused.
    pub fn is_up(&self) -> bool {
        self.machine.is_some() && !self.paused
    }

    /// Returns whether the node runs and had no fault since `since`.
    pub fn is_healthy_since(&self, since: Nanos) -> bool {
        self.is_up() && self.active_faults == 0 && self.healthy_since <= since
    }

    /// Returns the revision in force at the node.
    pub fn in_force(&self) -> Option<RevisionId> {
        let document = self.machine.as_ref().and_then(Distribution::in_force);
        document.map(|document| document.announcement.id)
    }

    /// Starts a process with the given disk contents and returns its first actions.
    pub fn start(
        &mut self, scenario: &ConfigurationScenario, number: usize, contents: DiskContents,
        defect: Option<Defect>, now: Nanos,
    ) -> Vec<Action> {
        self.starts += 1;
        (self.paused, self.down_since, self.scheduled) = (false, None, None);
        self.disk.start(if scenario.durable_disks { contents } else { DiskContents::Empty }, None);
        let saved = if scenario.durable_disks {
            StoredState::load(&self.disk, &self.name).0
        } else {
            StoredState::default()
        };
        let id = Identity { cluster: 7, name: self.name.clone(), zone: scenario.base.zone(number).into() };
        let max_format = MAX_FORMAT - u16::from(self.lacks_latest_format);
        let tuning = Tuning { max_format, disk: scenario.durable_disks, defect, ..Tuning::default() };
        let seed = mix(scenario.base.seed ^ mix(number as u64 + (self.starts << 20)));
        let mut actions = Vec::new();
        self.machine = Some(Distribution::new(id, tuning, saved, seed, now, &mut actions));
        actions
    }

    /// Ends the node's process.
    pub fn end(&mut self, now: Nanos) {
        if let Some(machine) = self.machine.take() {
            self.sent += machine.sent_bytes();
        }
        (self.scheduled, self.paused) = (None, false);
        self.down_since.get_or_insert(now);
    }
}

/// Returns the address of a node.
pub fn address(node: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, (node >> 8) as u8, node as u8], 7_947))
}

/// Returns the number of the node with this address.
pub fn node_number(at: SocketAddr) -> usize {
    let SocketAddr::V4(at) = at else { return usize::MAX };
    let [.., high, low] = at.ip().octets();
    usize::from(high) << 8 | usize::from(low)
}

/// Returns a node as the membership describes it.
pub fn peer(scenario: &ConfigurationScenario, node: &Node, number: usize, alive: bool) -> Peer {
    Peer {
        name: node.name.clone(),
        address: address(number),
        zone: scenario.base.zone(number).into(),
        alive,
        votes: number < scenario.voters,
    }
}
