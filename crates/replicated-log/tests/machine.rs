//! The machine by itself: bad input, versions, copies that differ, and what stands on a disk.

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

/// Files in memory; every write is durable at once.
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

/// Nodes on links that lose nothing.
struct Net {
    now: Nanos,
    nodes: Vec<ReplicatedLog>,
    disks: Vec<Files>,
    queue: VecDeque<(Nanos, usize, Vec<u8>)>,
    way: Nanos, // that a datagram takes
    notes: Vec<(usize, Notification)>,
}

impl Net {
    fn new(count: usize) -> Self {
        let mut net = Net {
            now: SECOND,
            nodes: Vec::new(),
            disks: (0..count).map(|_| Files::default()).collect(),
            queue: VecDeque::new(),
            way: MS,
            notes: Vec::new(),
        };
        for node in 0..count {
            net.start(node, count);
        }
        net.pass(6 * SECOND);
        net
    }

    fn start(&mut self, node: usize, count: usize) {
        let name = format!("n{node}");
        let (kept, doubt) = StoredLog::load(&self.disks[node], &name);
        assert!(doubt.is_none(), "{doubt:?}");
        let candidates = (0..3).map(|n| format!("n{n}").into()).collect();
        let id = Identity { cluster: 1, name: name.into(), start_number: 1, candidates, voter_count: 3 };
        let mut out = Vec::new();
        let seed = self.now + node as u64;
        let mut agree = ReplicatedLog::new(id, Tuning::default(), Some(kept), seed, self.now, &mut out);
        let peers = (0..count).map(|n| Peer {
            name: format!("n{n}").into(),
            address: address(n),
            zone: "a".into(),
            machine: "m".into(),
            alive: true,
        });
        agree.handle(self.now, Event::Peers(peers.collect()), &mut out);
        if node < self.nodes.len() {
            self.nodes[node] = agree;
        } else {
            self.nodes.push(agree);
        }
        self.carry(node, out);
    }

    fn carry(&mut self, node: usize, out: Vec<Action>) {
        for action in out {
            match action {
                Action::Send { to, bytes } => {
                    let to = (0..self.disks.len()).find(|n| address(*n) == to);
                    let at = self.now + self.way;
                    to.into_iter().for_each(|to| self.queue.push_back((at, to, bytes.clone())));
                }
                Action::Persist(writes) => {
                    let name = format!("n{node}");
                    writes.iter().for_each(|write| write.save(&self.disks[node], &name).unwrap());
                    self.feed(node, Event::Persisted(true));
                }
                Action::Notify(note) => self.notes.push((node, note)),
            }
        }
    }

    fn feed(&mut self, node: usize, event: Event) {
        let mut out = Vec::new();
        self.nodes[node].handle(self.now, event, &mut out);
        self.carry(node, out);
    }

    fn pass(&mut self, time: Nanos) {
        let end = self.now + time;
        while self.now < end {
            self.now += MS;
            while self.queue.front().is_some_and(|(at, ..)| *at <= self.now) {
                let Some((_, to, bytes)) = self.queue.pop_front() else { break };
                if to < self.nodes.len() {
                    self.feed(to, Event::Datagram(&bytes));
                }
            }
            for node in 0..self.nodes.len() {
                if self.nodes[node].next_deadline() <= self.now {
                    self.feed(node, Event::Tick);
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
        self.feed(node, Event::Propose(command));
        self.pass(2 * SECOND);
        let told = self.notes.iter().rev().find_map(|(at, note)| match note {
            Notification::Outcome(of, outcome) if *at == node && *of == id => Some(outcome.clone()),
            _ => None,
        });
        told.expect("an outcome")
    }
}

/// Guards commands: an id takes effect once through whomever it comes, and what cannot be done is set aside alike.
#[test]
fn an_id_takes_effect_once_and_what_cannot_be_done_is_set_aside_everywhere() {
    let mut net = Net::new(5);
    let first = net.set(4, 7, "a", Some(0));
    assert!(matches!(first, Outcome::Done(_)), "{first:?}");
    assert_eq!(net.set(1, 7, "a", Some(0)), first, "the same through another node");
    let Outcome::Done(revision) = first else { unreachable!() };
    assert_eq!(net.set(3, 8, "a", Some(0)), Outcome::SetAside(Refusal::Revision(revision)));
    assert_eq!(net.set(2, 9, "", None), Outcome::SetAside(Refusal::Key));
    let torn = Command { id: 10, kind: SET, body: vec![200] };
    assert_eq!(net.propose(0, torn), Outcome::SetAside(Refusal::Malformed));
    for node in &net.nodes {
        assert_eq!(node.state().value("a").map(|value| value.revision), Some(revision));
        assert_eq!(node.state(), net.nodes[0].state());
    }
}

/// Guards upgrades: a command of a later version halts application by name, and nothing else.
#[test]
fn a_command_that_is_not_known_halts_application_by_name_and_nothing_else() {
    let mut net = Net::new(4);
    net.set(0, 1, "a", None);
    let before = net.nodes[3].state().index;
    net.feed(3, Event::Propose(Command { id: 2, kind: 900, body: Vec::new() }));
    net.pass(3 * SECOND);
    for node in 0..4 {
        let halted = |(at, note): &(usize, Notification)| {
            *at == node
                && matches!(note, Notification::Halted(unknown) if unknown.kind == 900 && unknown.index == before + 1)
        };
        assert!(net.notes.iter().any(halted), "n{node}");
        assert_eq!(net.nodes[node].state().index, before);
    }
    assert_eq!(net.nodes.iter().filter(|node| node.leading_term().is_some()).count(), 1, "the group goes on");
}

/// Guards copies: one that was spoilt is named by node, index and part within a minute, and is right again.
#[test]
fn a_copy_that_differs_is_named_and_fetched_anew() {
    let mut net = Net::new(5);
    net.nodes[4].corrupt_for_test();
    for n in 0..70 {
        net.feed(
            0,
            Event::Propose(Command {
                id: 100 + n,
                kind: SET,
                body: postcard::to_stdvec(&Set { key: format!("k{n}"), expect: None, value: vec![2] })
                    .unwrap(),
            }),
        );
        net.pass(20 * MS);
    }
    let begun = net.now;
    let named = |(at, note): &(usize, Notification)| {
        *at != 4
            && matches!(note, Notification::StateDiverged(node, _, part) if &**node == "n4" && part == "register")
    };
    while !net.notes.iter().any(named) {
        assert!(net.now < begun + 60 * SECOND, "not within a minute");
        net.pass(100 * MS);
    }
    net.pass(5 * SECOND);
    assert!(net.nodes[4].state().value("spoilt").is_none());
    assert_eq!(net.nodes[4].state().index, net.nodes[0].state().index);
}

/// Guards a loss of power: all nodes end at once, and what was confirmed is there again, under the same group.
#[test]
fn what_was_confirmed_is_there_after_all_have_ended_at_once() {
    let mut net = Net::new(3);
    let done = net.set(1, 5, "a", None);
    let group = net.nodes[0].group();
    for node in 0..3 {
        net.queue.clear();
        net.start(node, 3);
    }
    net.pass(6 * SECOND);
    assert_eq!(net.set(2, 5, "a", None), done);
    assert_eq!(net.nodes[0].group(), group);
}

/// Guards catch-up: a large state that is fetched in pieces arrives although others fetch and the log goes on meanwhile.
#[test]
fn a_large_state_arrives_while_the_log_goes_on_and_others_fetch_too() {
    let mut net = Net::new(5);
    let set = |n: u128, value: usize| {
        let set = Set { key: format!("k{}", n % 2_000), expect: None, value: vec![7; value] };
        Event::Propose(Command { id: n + 1, kind: SET, body: postcard::to_stdvec(&set).unwrap() })
    };
    // More than the entries that are kept, so that only the whole state helps a node that begins with nothing.
    for n in 0..1_500 {
        net.feed(0, set(n, 300));
        if n % 8 == 7 {
            net.pass(10 * MS);
        }
    }
    net.pass(5 * SECOND);
    assert!(net.nodes[3].state().index > 1_400);
    for node in [3, 4] {
        net.disks[node] = Files::default();
        net.start(node, 5);
    }
    (net.way, net.queue) = (20 * MS, VecDeque::new());
    let begun = net.now;
    let mut n = 10_000;
    while net.nodes[3].state().index < 1_400 || net.nodes[4].state().index < 1_400 {
        net.feed(0, set(n, 1));
        n += 1;
        net.pass(20 * MS);
        assert!(
            net.now < begun + 20 * SECOND,
            "{} and {}",
            net.nodes[3].state().index,
            net.nodes[4].state().index
        );
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 64, ..ProptestConfig::default() })]

    /// Guards against whoever reaches the port: nothing that comes makes a node panic, act or forget.
    #[test]
    fn datagrams_of_any_bytes_change_nothing(
        noise in prop::collection::vec(prop::collection::vec(any::<u8>(), 0..1_400), 1..20),
        flips in prop::collection::vec((any::<prop::sample::Index>(), 0u8..8), 1..20),
    ) {
        let mut net = Net::new(3);
        net.set(0, 1, "a", None);
        net.pass(100 * MS);
        let state = net.nodes[1].state().clone();
        let caught: Vec<Vec<u8>> = {
            let mut out = Vec::new();
            net.nodes[0].handle(net.now + SECOND, Event::Tick, &mut out);
            out.into_iter().filter_map(|action| match action {
                Action::Send { bytes, .. } => Some(bytes),
                _ => None,
            }).collect()
        };
        for bytes in &noise {
            net.feed(1, Event::Datagram(bytes));
        }
        for mut bytes in caught {
            for (at, bit) in &flips {
                let at = at.index(bytes.len());
                bytes[at] ^= 1 << bit;
                let end = at + 1;
                net.feed(1, Event::Datagram(&bytes[..end]));
            }
        }
        prop_assert_eq!(net.nodes[1].state(), &state);
        prop_assert!(net.nodes[1].rejected_datagrams().values().sum::<u64>() >= noise.len() as u64);
        net.pass(3 * SECOND);
        prop_assert!(matches!(net.set(1, 2, "b", None), Outcome::Done(_)));
    }
}
