//! A fleet of membership machines to which nothing happens, in virtual time, without laws or disks: what the machine
//! itself costs by the size of the fleet.
//!
//! The player's own work is outside of what is measured: processor time is read before and after each call of a
//! machine, by a clock that the caller gives.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::net::SocketAddr;

use merlinfold_membership::{Action, Event, Identity, Membership, Profile};
use merlinfold_simulation::seed::{mix, Seed, Stream};
use merlinfold_simulation::{Nanos, MS, SECOND};
use rand::Rng;

const ZONES: usize = 8;
const MACHINES_PER_ZONE: usize = 16;
const SEEDS: usize = 3;
const PORT: u16 = 7_946;
const MIN_DELAY: Nanos = MS / 2; // of a datagram on its way
const DELAY_JITTER: Nanos = 2 * MS;
/// Virtual time in which a fleet forms; figures are taken from then on.
pub const WARM_UP: Nanos = 20 * SECOND;

/// A node's control machine. The product's own is [`Membership`]; tests put a defective one in its place.
pub trait Machine {
    /// Takes one event and appends what is to be done about it.
    fn handle(&mut self, now: Nanos, event: Event, out: &mut Vec<Action>);
    /// When it next wants to be told that time has passed.
    fn due(&self) -> Option<Nanos>;
    /// Members that it holds alive, itself among them.
    fn alive(&self) -> usize;
}

impl Machine for Membership {
    fn handle(&mut self, now: Nanos, event: Event, out: &mut Vec<Action>) {
        Membership::handle(self, now, event, out);
    }

    fn due(&self) -> Option<Nanos> {
        Membership::due(self)
    }

    fn alive(&self) -> usize {
        Membership::alive(self)
    }
}

/// What to play.
#[derive(Clone, Copy, Debug)]
pub struct Plan {
    /// Nodes of the fleet.
    pub nodes: usize,
    /// Seconds of virtual time that are measured.
    pub seconds: u64,
    /// Seed of everything that is drawn.
    pub seed: u64,
}

/// What a node cost on the mean over the measured seconds.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Measured {
    /// Members that the node with the smallest view held alive at the end.
    pub entries: usize,
    /// Messages sent a second.
    pub messages_s: f64,
    /// Bytes sent a second.
    pub bytes_s: f64,
    /// Calls of the machine a second.
    pub calls_s: f64,
    /// Time in the machine for a node's second, in the unit of the given clock.
    pub machine_s: f64,
}

enum QueuedEvent {
    Deliver { to: usize, from: usize, bytes: Vec<u8> },
    Tick(usize),
}

struct Simulator<'a, M> {
    machines: Vec<M>,
    scheduled: Vec<Option<Nanos>>,
    queue: BinaryHeap<Reverse<(Nanos, u64, usize)>>,
    events: Vec<Option<QueuedEvent>>,
    free: Vec<usize>,
    pushed: u64,
    now: Nanos,
    delays: Stream,
    clock: &'a dyn Fn() -> u64,
    messages: u64,
    bytes: u64,
    calls: u64,
    in_machine: u64,
}

fn address(node: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, (node >> 8) as u8, node as u8], PORT))
}

fn node_at(address: SocketAddr) -> usize {
    let SocketAddr::V4(address) = address else { return usize::MAX };
    let [.., high, low] = address.ip().octets();
    usize::from(high) << 8 | usize::from(low)
}

fn identity(node: usize) -> Identity {
    let zone = node % ZONES;
    Identity {
        cluster: "scale".into(),
        name: format!("n{node}").into(),
        run: 1 << 32,
        profile: Profile {
            zone: format!("z{zone}").into(),
            machine: format!("z{zone}/{}", node / ZONES % MACHINES_PER_ZONE).into(),
            address: address(node),
            version: "0".into(),
            protocols: (1, 1),
        },
        seeds: (0..SEEDS).map(address).collect(),
    }
}

/// Plays a fleet of the machines that `make` makes of an identity and a seed. `clock` is read around each call of a
/// machine. The same plan gives the same counts and bytes.
pub fn simulate<M: Machine>(
    plan: &Plan, make: impl Fn(Identity, u64) -> M, clock: &dyn Fn() -> u64,
) -> Measured {
    let machine = |node: usize| make(identity(node), mix(plan.seed ^ mix(node as u64)));
    let mut simulator = Simulator {
        machines: (0..plan.nodes).map(machine).collect(),
        scheduled: vec![None; plan.nodes],
        queue: BinaryHeap::new(),
        events: Vec::new(),
        free: Vec::new(),
        pushed: 0,
        now: 0,
        delays: Seed(plan.seed).stream("delays", 0),
        clock,
        messages: 0,
        bytes: 0,
        calls: 0,
        in_machine: 0,
    };
    (0..plan.nodes).for_each(|node| simulator.schedule(node));
    simulator.run_until(WARM_UP);
    simulator.reset_counts();
    simulator.run_until(WARM_UP + plan.seconds * SECOND);
    simulator.measured(plan.nodes as f64 * plan.seconds as f64)
}

impl<M: Machine> Simulator<'_, M> {
    fn push(&mut self, at: Nanos, what: QueuedEvent) {
        let slot = self.free.pop().unwrap_or_else(|| {
            self.events.push(None);
            self.events.len() - 1
        });
        self.events[slot] = Some(what);
        self.pushed += 1;
        self.queue.push(Reverse((at, self.pushed, slot)));
    }

    fn run_until(&mut self, end: Nanos) {
        while let Some(Reverse((at, _, slot))) = self.queue.peek().copied() {
            if at > end {
                return;
            }
            self.queue.pop();
            self.now = at;
            self.free.push(slot);
            match self.events[slot].take() {
                Some(QueuedEvent::Deliver { to, from, bytes }) => {
                    self.handle_event(to, Event::Datagram { from: address(from), bytes: &bytes });
                }
                Some(QueuedEvent::Tick(node)) if self.scheduled[node] == Some(at) => {
                    self.scheduled[node] = None;
                    self.handle_event(node, Event::Tick);
                }
                _ => {}
            }
        }
    }

    fn handle_event(&mut self, node: usize, event: Event) {
        let mut out = Vec::new();
        let before = (self.clock)();
        self.machines[node].handle(self.now, event, &mut out);
        self.in_machine += (self.clock)() - before;
        self.calls += 1;
        for action in out {
            if let Action::Send { to, bytes } = action {
                self.send(node, node_at(to), bytes);
            }
        }
        self.schedule(node);
    }

    fn send(&mut self, from: usize, to: usize, bytes: Vec<u8>) {
        self.messages += 1;
        self.bytes += bytes.len() as u64;
        if to < self.machines.len() {
            let delay = MIN_DELAY + self.delays.random_range(0..DELAY_JITTER);
            self.push(self.now + delay, QueuedEvent::Deliver { to, from, bytes });
        }
    }

    fn schedule(&mut self, node: usize) {
        let Some(due) = self.machines[node].due().map(|due| due.max(self.now)) else { return };
        if self.scheduled[node].is_none_or(|at| due < at) {
            self.scheduled[node] = Some(due);
            self.push(due, QueuedEvent::Tick(node));
        }
    }

    fn reset_counts(&mut self) {
        (self.messages, self.bytes, self.calls, self.in_machine) = (0, 0, 0, 0);
    }

    fn measured(&self, node_seconds: f64) -> Measured {
        Measured {
            entries: self.machines.iter().map(Machine::alive).min().unwrap_or(0),
            messages_s: self.messages as f64 / node_seconds,
            bytes_s: self.bytes as f64 / node_seconds,
            calls_s: self.calls as f64 / node_seconds,
            machine_s: self.in_machine as f64 / node_seconds,
        }
    }
}
