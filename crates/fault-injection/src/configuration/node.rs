//! One node of a player: its machine, its disk, and what is wrong with it.

use std::net::SocketAddr;

use merlinfold_distribution::{
    Action, Defect, Distribution, Identity, Name, Peer, RevisionId, Saved, Tuning,
};
use merlinfold_simulation::seed::mix;
use merlinfold_simulation::Nanos;

use super::simulator::ConfigurationScenario;
use crate::disk::ModelDisk;
use crate::scenario::DiskContents;

/// The greatest format that nodes know; those of [`Node::is_old`] know one less.
pub const MAX_FORMAT: u16 = 2;

/// A node and its surroundings.
pub struct Node {
    /// Its name.
    pub name: Name,
    /// Its machine, while the process is up.
    pub machine: Option<Distribution>,
    /// Whether its processor is stopped.
    pub paused: bool,
    /// How often it was started.
    pub starts: u64,
    /// For when a tick is scheduled.
    pub scheduled: Option<Nanos>,
    /// Its disk.
    pub disk: ModelDisk,
    /// Since when it is down or paused.
    pub down_since: Option<Nanos>,
    /// Faults that it suffers from now.
    pub active_faults: usize,
    /// When the last of them ended.
    pub healthy_since: Nanos,
    /// Bytes that earlier processes of it sent.
    pub sent: u64,
    /// Whether it is of a version that does not know the latest format.
    pub lacks_latest_format: bool,
    /// Whether it damages the pieces that it sends.
    pub corrupts_pieces: bool,
    /// A number of which it refuses the revision.
    pub refused_number: Option<u64>,
}

impl Node {
    /// One that was never up.
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

    /// Whether it is up and not paused.
    pub fn is_up(&self) -> bool {
        self.machine.is_some() && !self.paused
    }

    /// Whether nothing has been wrong with it since then.
    pub fn is_healthy_since(&self, since: Nanos) -> bool {
        self.is_up() && self.active_faults == 0 && self.healthy_since <= since
    }

    /// The revision in force at it.
    pub fn in_force(&self) -> Option<RevisionId> {
        let document = self.machine.as_ref().and_then(Distribution::in_force);
        document.map(|document| document.announcement.id)
    }

    /// Starts a process of it with what the disk holds, and says what it wants done and which revision it found.
    pub fn start(
        &mut self, scenario: &ConfigurationScenario, number: usize, contents: DiskContents,
        defect: Option<Defect>, now: Nanos,
    ) -> Vec<Action> {
        self.starts += 1;
        (self.paused, self.down_since, self.scheduled) = (false, None, None);
        self.disk.start(if scenario.durable_disks { contents } else { DiskContents::Empty }, None);
        let saved =
            if scenario.durable_disks { Saved::load(&self.disk, &self.name).0 } else { Saved::default() };
        let id = Identity { cluster: 7, name: self.name.clone(), zone: scenario.base.zone(number).into() };
        let max_format = MAX_FORMAT - u16::from(self.lacks_latest_format);
        let tuning = Tuning { max_format, disk: scenario.durable_disks, defect, ..Tuning::default() };
        let seed = mix(scenario.base.seed ^ mix(number as u64 + (self.starts << 20)));
        let mut out = Vec::new();
        self.machine = Some(Distribution::new(id, tuning, saved, seed, now, &mut out));
        out
    }

    /// Its process is gone.
    pub fn end(&mut self, now: Nanos) {
        if let Some(machine) = self.machine.take() {
            self.sent += machine.sent_bytes();
        }
        (self.scheduled, self.paused) = (None, false);
        self.down_since.get_or_insert(now);
    }
}

/// Where a node hears datagrams.
pub fn address(node: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, (node >> 8) as u8, node as u8], 7_947))
}

/// The node that hears datagrams there.
pub fn number(at: SocketAddr) -> usize {
    let SocketAddr::V4(at) = at else { return usize::MAX };
    let [.., high, low] = at.ip().octets();
    usize::from(high) << 8 | usize::from(low)
}

/// A node as the membership tells of it.
pub fn peer(scenario: &ConfigurationScenario, node: &Node, number: usize, alive: bool) -> Peer {
    Peer {
        name: node.name.clone(),
        address: address(number),
        zone: scenario.base.zone(number).into(),
        alive,
        votes: number < scenario.voters,
    }
}
