//! Measures what the membership state machine costs by the size of the fleet: a fleet without faults in virtual time,
//! without invariants and disks.
//!
//! The simulator's own work is not measured: the caller's clock is read before and after each call of a state
//! machine.

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
const MIN_DELAY: Nanos = MS / 2; // transit time of a datagram
const DELAY_JITTER: Nanos = 2 * MS;
/// Virtual time in which the fleet forms; measurements begin after it.
pub const WARM_UP: Nanos = 20 * SECOND;

/// The membership state machine of a node. The product's own is [`Membership`]; tests replace it by a defective one.
pub trait Machine {
    /// Handles one event and appends the resulting actions to `out`.
    fn handle(&mut self, now: Nanos, event: Event, actions: &mut Vec<Action>);
    /// Returns when the machine needs its next tick.
    fn due(&self) -> Option<Nanos>;
    /// Returns the number of members that it considers alive, including itself.
    fn alive(&self) -> usize;
}

impl Machine for Membership {
    fn handle(&mut self, now: Nanos, event: Event, actions: &mut Vec<Action>) {
        Membership::handle(self, now, event, actions);
    }

    fn due(&self) -> Option<Nanos> {
        Membership::next_deadline(self)
    }

    fn alive(&self) -> usize {
        Membership::alive_count(self)
    }
}

/// Size and length of a measurement.
#[derive(Clone, Copy, Debug)]
pub struct Plan {
    /// Number of nodes.
    pub nodes: usize,
    /// Seconds of virtual time that are measured.
    pub seconds: u64,
    /// Seed of all random choices.
    pub seed: u64,
}

/// Average cost of a node over the measured seconds.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Measured {
    /// Members that the node with the smallest view considers alive at the end.
    pub entries: usize,
    /// Messages sent per second.
    pub messages_s: f64,
    /// Bytes sent per second.
    pub bytes_s: f64,
    /// Calls of the machine per second.
    pub calls_s: f64,
    /// Time spent in the machine per second, in the unit of the given clock.
    pub machine_s: f64,
}

enum QueuedEvent {
    Deliver { to: usize, from: usize, bytes: Vec<u8> },
    Tick(usize),
}

/// The state of a simulation. `queue` orders the slots of `events` by time and sequence number; `free` are unused
/// slots.
struct Simulator<'a, M> {
    machines: Vec<M>,
    scheduled: Vec<Option<Nanos>>,
    queue: BinaryHeap<Reverse<(Nanos, u64, usize)>>,
    events: Vec<Option<QueuedEvent>>,
    free: Vec<usize>,
    next_sequence: u64,
    now: Nanos,
    delays: Stream,
    clock: &'a dyn Fn() -> u64,
    messages: u64,
    bytes: u64,
    calls: u64,
    time_in_machine: u64,
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

/// Simulates a fleet of the machines that `make` creates from an identity and a seed. `clock` is read before and
/// after each call of a machine. The same plan gives the same counts and bytes.
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
        next_sequence: 0,
        now: 0,
        delays: Seed(plan.seed).stream("delays", 0),
        clock,
        messages: 0,
        bytes: 0,
        calls: 0,
        time_in_machine: 0,
    };
    (0..plan.nodes).for_each(|node| simulator.schedule_tick(node));
    simulator.run_until(WARM_UP);
    simulator.reset_counts();
    simulator.run_until(WARM_UP + plan.seconds * SECOND);
    simulator.measured(plan.nodes as f64 * plan.seconds as f64)
}

impl<M: Machine> Simulator<'_, M> {
    fn push(&mut self, at: Nanos, event: QueuedEvent) {
        let slot = self.free.pop().unwrap_or_else(|| {
            self.events.push(None);
            self.events.len() - 1
        });
        self.events[slot] = Some(event);
        self.next_sequence += 1;
        self.queue.push(Reverse((at, self.next_sequence, slot)));
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

    /// Calls a machine with an event, measures the call and carries out its actions.
    fn handle_event(&mut self, node: usize, event: Event) {
        let mut actions = Vec::new();
        let before = (self.clock)();
        self.machines[node].handle(self.now, event, &mut actions);
        self.time_in_machine += (self.clock)() - before;
        self.calls += 1;
        for action in actions {
            if let Action::Send { to, bytes } = action {
                self.send(node, node_at(to), bytes);
            }
        }
        self.schedule_tick(node);
    }

    fn send(&mut self, from: usize, to: usize, bytes: Vec<u8>) {
        self.messages += 1;
        self.bytes += bytes.len() as u64;
        if to < self.machines.len() {
            let delay = MIN_DELAY + self.delays.random_range(0..DELAY_JITTER);
            self.push(self.now + delay, QueuedEvent::Deliver { to, from, bytes });
        }
    }

    fn schedule_tick(&mut self, node: usize) {
        let Some(due) = self.machines[node].due().map(|due| due.max(self.now)) else { return };
        if self.scheduled[node].is_none_or(|at| due < at) {
            self.scheduled[node] = Some(due);
            self.push(due, QueuedEvent::Tick(node));
        }
    }

    fn reset_counts(&mut self) {
        (self.messages, self.bytes, self.calls, self.time_in_machine) = (0, 0, 0, 0);
    }

    /// Returns the costs per node and second.
    fn measured(&self, node_seconds: f64) -> Measured {
        Measured {
            entries: self.machines.iter().map(Machine::alive).min().unwrap_or(0),
            messages_s: self.messages as f64 / node_seconds,
            bytes_s: self.bytes as f64 / node_seconds,
            calls_s: self.calls as f64 / node_seconds,
            machine_s: self.time_in_machine as f64 / node_seconds,
        }
    }
}
