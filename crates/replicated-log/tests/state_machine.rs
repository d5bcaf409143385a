//! Tests of the state machine on a simulated network: invalid input, unknown commands, diverged states, and restarts
//! from disk.

use std::cell::RefCell;
use std::collections::{BTreeMap, VecDeque};
use std::io;
use std::net::SocketAddr;

use merlinfold_replicated_log::command::{Command, Outcome, Refusal, Set, SET};
use merlinfold_replicated_log::{
    Action, Event, Identity, Nanos, Notification, Peer, ReplicatedLog, StoredLog, Tuning, MS, SECOND,
};
use merlinfold_store::Disk;
use proptest::prelude::*;

/// Files in memory. Every write is durable at once.
#[derive(Default)]
struct Files(RefCell<BTreeMap<String, Vec<u8>>>);

impl Disk for Files {
    fn read(&self, name: &str) -> io::Result<Option<Vec<u8>>> {
        Ok(self.0.borrow().get(name).cloned())
    }
    fn write(&self, name: &str, bytes: &[u8]) -> io::Result<()> {
        self.0.borrow_mut().insert(name.to_owned(), bytes.to_vec());
        Ok(())
    }
    fn sync(&self, _name: &str) -> io::Result<()> {
        Ok(())
    }
    fn rename(&self, from: &str, to: &str) -> io::Result<()> {
        let bytes = self.0.borrow_mut().remove(from).ok_or(io::ErrorKind::NotFound)?;
        self.0.borrow_mut().insert(to.to_owned(), bytes);
        Ok(())
    }
    fn sync_folder(&self) -> io::Result<()> {
        Ok(())
    }
}

fn address(node: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, node as u8], 1))
}

/// Nodes connected by lossless links.
struct Network {
    now: Nanos,
    nodes: Vec<ReplicatedLog>,
    disks: Vec<Files>,
    queue: VecDeque<(Nanos, usize, Vec<u8>)>,
    /// One-way delay of a datagram.
    latency: Nanos,
    notifications: Vec<(usize, Notification)>,
}

impl Network {
    fn new(count: usize) -> Self {
        let mut network = Network {
            now: SECOND,
            nodes: Vec::new(),
            disks: (0..count).map(|_| Files::default()).collect(),
            queue: VecDeque::new(),
            latency: MS,
            notifications: Vec::new(),
        };
        for node in 0..count {
            network.start(node, count);
        }
        network.advance(6 * SECOND);
        network
    }

    fn start(&mut self, node: usize, count: usize) {
        let name = format!("n{node}");
        let (stored, error) = StoredLog::load(&self.disks[node], &name);
        assert!(error.is_none(), "{error:?}");
        let candidates = (0..3).map(|n| format!("n{n}").into()).collect();
        let identity =
            Identity { cluster: 1, name: name.into(), start_number: 1, candidates, voter_count: 3 };
        let mut actions = Vec::new();
        let seed = self.now + node as u64;
        let mut log =
            ReplicatedLog::new(identity, Tuning::default(), Some(stored), seed, self.now, &mut actions);
        let peers = (0..count).map(|n| Peer {
            name: format!("n{n}").into(),
            address: address(n),
            zone: "a".into(),
            machine: "m".into(),
            alive: true,
        });
        log.handle(self.now, Event::Peers(peers.collect()), &mut actions);
        if node < self.nodes.len() {
            self.nodes[node] = log;
        } else {
            self.nodes.push(log);
        }
        self.execute(node, actions);
    }

    fn execute(&mut self, node: usize, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Send { to, bytes } => {
                    let to = (0..self.disks.len()).find(|n| address(*n) == to);
                    let at = self.now + self.latency;
                    to.into_iter().for_each(|to| self.queue.push_back((at, to, bytes.clone())));
                }
                Action::Persist(writes) => {
                    let name = format!("n{node}");
                    writes.iter().for_each(|write| write.save(&self.disks[node], &name).unwrap());
                    self.handle(node, Event::Persisted(true));
                }
                Action::Notify(notification) => self.notifications.push((node, notification)),
            }
        }
    }

    fn handle(&mut self, node: usize, event: Event) {
        let mut actions = Vec::new();
        self.nodes[node].handle(self.now, event, &mut actions);
        self.execute(node, actions);
    }

    fn advance(&mut self, duration: Nanos) {
        let end = self.now + duration;
        while self.now < end {
            self.now += MS;
            while self.queue.front().is_some_and(|(at, ..)| *at <= self.now) {
                let Some((_, to, bytes)) = self.queue.pop_front() else { break };
                if to < self.nodes.len() {
                    self.handle(to, Event::Datagram(&bytes));
                }
            }
            for node in 0..self.nodes.len() {
                if self.nodes[node].next_deadline() <= self.now {
                    self.handle(node, Event::Tick);
                }
            }
        }
    }

    fn set(&mut self, node: usize, id: u128, key: &str, expect: Option<u64>) -> Outcome {
        let body = postcard::to_stdvec(&Set { key: key.to_owned(), expect, value: vec![1] }).unwrap();
        self.propose(node, Command { id, kind: SET, body })
    }

    fn propose(&mut self, node: usize, command: Command) -> Outcome {
        let id = command.id;
        self.handle(node, Event::Propose(command));
        self.advance(2 * SECOND);
        let outcome = self.notifications.iter().rev().find_map(|(at, notification)| match notification {
            Notification::Outcome(command, outcome) if *at == node && *command == id => Some(outcome.clone()),
            _ => None,
        });
        outcome.expect("the command has an outcome")
    }
}

/// Guards against a command that takes effect twice because it was proposed through several nodes, and against nodes
/// that disagree on a refused command.
#[test]
fn a_repeated_command_takes_effect_once_and_invalid_commands_are_refused_on_all_nodes() {
    let mut network = Network::new(5);
    let first = network.set(4, 7, "a", Some(0));
    assert!(matches!(first, Outcome::Done(_)), "{first:?}");
    assert_eq!(network.set(1, 7, "a", Some(0)), first, "the same command through another node");
    let Outcome::Done(revision) = first else { unreachable!() };
    assert_eq!(network.set(3, 8, "a", Some(0)), Outcome::SetAside(Refusal::Revision(revision)));
    assert_eq!(network.set(2, 9, "", None), Outcome::SetAside(Refusal::Key));
    let malformed = Command { id: 10, kind: SET, body: vec![200] };
    assert_eq!(network.propose(0, malformed), Outcome::SetAside(Refusal::Malformed));
    for node in &network.nodes {
        assert_eq!(node.state().value("a").map(|value| value.revision), Some(revision));
        assert_eq!(node.state(), network.nodes[0].state());
    }
}

/// Guards upgrades: a command of a later version must stop only the application of entries, not the group, and every
/// node must report the command's kind and index.
#[test]
fn an_unknown_command_halts_application_on_every_node_but_not_the_group() {
    let mut network = Network::new(4);
    network.set(0, 1, "a", None);
    let before = network.nodes[3].state().index;
    network.handle(3, Event::Propose(Command { id: 2, kind: 900, body: Vec::new() }));
    network.advance(3 * SECOND);
    for node in 0..4 {
        let halted = |(at, notification): &(usize, Notification)| {
            *at == node
                && matches!(
                    notification,
                    Notification::Halted(unknown) if unknown.kind == 900 && unknown.index == before + 1
                )
        };
        assert!(network.notifications.iter().any(halted), "n{node}");
        assert_eq!(network.nodes[node].state().index, before);
    }
    assert_eq!(
        network.nodes.iter().filter(|node| node.leading_term().is_some()).count(),
        1,
        "the group still has one leader"
    );
}

/// Guards against a corrupted state that goes unnoticed: within a minute a voter must report its node, index and part,
/// and the node must fetch a correct state.
#[test]
fn a_corrupted_state_is_reported_and_fetched_again() {
    let mut network = Network::new(5);
    network.nodes[4].corrupt_for_test();
    for n in 0..70 {
        network.handle(
            0,
            Event::Propose(Command {
                id: 100 + n,
                kind: SET,
                body: postcard::to_stdvec(&Set { key: format!("k{n}"), expect: None, value: vec![2] })
                    .unwrap(),
            }),
        );
        network.advance(20 * MS);
    }
    let started = network.now;
    let reported = |(at, notification): &(usize, Notification)| {
        *at != 4
            && matches!(
                notification,
                Notification::StateDiverged(node, _, part) if &**node == "n4" && part == "register"
            )
    };
    while !network.notifications.iter().any(reported) {
        assert!(network.now < started + 60 * SECOND, "not reported within a minute");
        network.advance(100 * MS);
    }
    network.advance(5 * SECOND);
    assert!(network.nodes[4].state().value("spoilt").is_none());
    assert_eq!(network.nodes[4].state().index, network.nodes[0].state().index);
}

/// Guards against a power loss of all nodes at once: confirmed commands must survive, in the same group.
#[test]
fn confirmed_commands_survive_a_simultaneous_restart_of_all_nodes() {
    let mut network = Network::new(3);
    let outcome = network.set(1, 5, "a", None);
    let group = network.nodes[0].group();
    for node in 0..3 {
        network.queue.clear();
        network.start(node, 3);
    }
    network.advance(6 * SECOND);
    assert_eq!(network.set(2, 5, "a", None), outcome);
    assert_eq!(network.nodes[0].group(), group);
}

/// Guards catch-up: a large state that is fetched in pieces must arrive while another node fetches it too and the log
/// continues to grow.
#[test]
fn a_large_state_is_fetched_while_the_log_grows_and_another_node_fetches() {
    let mut network = Network::new(5);
    let set = |n: u128, value: usize| {
        let set = Set { key: format!("k{}", n % 2_000), expect: None, value: vec![7; value] };
        Event::Propose(Command { id: n + 1, kind: SET, body: postcard::to_stdvec(&set).unwrap() })
    };
    // More entries than are retained, so that a node without a state must fetch the whole state.
    for n in 0..1_500 {
        network.handle(0, set(n, 300));
        if n % 8 == 7 {
            network.advance(10 * MS);
        }
    }
    network.advance(5 * SECOND);
    assert!(network.nodes[3].state().index > 1_400);
    for node in [3, 4] {
        network.disks[node] = Files::default();
        network.start(node, 5);
    }
    (network.latency, network.queue) = (20 * MS, VecDeque::new());
    let started = network.now;
    let mut n = 10_000;
    while network.nodes[3].state().index < 1_400 || network.nodes[4].state().index < 1_400 {
        network.handle(0, set(n, 1));
        n += 1;
        network.advance(20 * MS);
        assert!(
            network.now < started + 20 * SECOND,
            "{} and {}",
            network.nodes[3].state().index,
            network.nodes[4].state().index
        );
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 64, ..ProptestConfig::default() })]

    /// Guards against arbitrary senders: random or damaged datagrams must not make a node panic, change its state or
    /// stop it from taking commands.
    #[test]
    fn invalid_datagrams_do_not_change_the_state(
        noise in prop::collection::vec(prop::collection::vec(any::<u8>(), 0..1_400), 1..20),
        flips in prop::collection::vec((any::<prop::sample::Index>(), 0u8..8), 1..20),
    ) {
        let mut network = Network::new(3);
        network.set(0, 1, "a", None);
        network.advance(100 * MS);
        let state = network.nodes[1].state().clone();
        let captured: Vec<Vec<u8>> = {
            let mut actions = Vec::new();
            network.nodes[0].handle(network.now + SECOND, Event::Tick, &mut actions);
            actions.into_iter().filter_map(|action| match action {
                Action::Send { bytes, .. } => Some(bytes),
                _ => None,
            }).collect()
        };
        for bytes in &noise {
            network.handle(1, Event::Datagram(bytes));
        }
        for mut bytes in captured {
            for (at, bit) in &flips {
                let at = at.index(bytes.len());
                bytes[at] ^= 1 << bit;
                let end = at + 1;
                network.handle(1, Event::Datagram(&bytes[..end]));
            }
        }
        prop_assert_eq!(network.nodes[1].state(), &state);
        prop_assert!(network.nodes[1].rejected_datagrams().values().sum::<u64>() >= noise.len() as u64);
        network.advance(3 * SECOND);
        prop_assert!(matches!(network.set(1, 2, "b", None), Outcome::Done(_)));
    }
}
