//! Tests of the state machine: malformed input, refused revisions, files, and three nodes on a lossless network.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use merlinfold_distribution::{
    Action, Announcement, Digest, Distribution, Document, Event, FileWrite, Identity, LogState, Notification,
    Peer, Publication, PublishError, Rejection, RevisionId, StoredState, Tuning, MS, SECOND,
};
use merlinfold_store::Disk;
use proptest::prelude::*;

/// An in-memory disk on which every write is durable at once.
#[derive(Default)]
struct MemoryDisk(RefCell<BTreeMap<String, Vec<u8>>>);

impl Disk for MemoryDisk {
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

fn announce(number: u64, format: u16, bytes: &[u8]) -> Announcement {
    Announcement {
        id: RevisionId { epoch: 1, number },
        format,
        digest: Digest::of(bytes),
        length: bytes.len() as u32,
        base: number - 1,
    }
}

fn node(number: usize, tuning: Tuning, saved: StoredState) -> (Distribution, Vec<Action>) {
    let id = Identity { cluster: 7, name: format!("n{number}").into(), zone: "a".into() };
    let mut actions = Vec::new();
    let machine = Distribution::new(id, tuning, saved, number as u64, 0, &mut actions);
    (machine, actions)
}

fn peers() -> Vec<Peer> {
    let peer = |number: usize| Peer {
        name: format!("n{number}").into(),
        address: address(number),
        zone: "a".into(),
        alive: true,
        votes: number == 0,
    };
    (0..3).map(peer).collect()
}

/// Three nodes, the first of which is a voter. Datagrams are delivered at once and never lost.
struct ThreeNodes {
    nodes: Vec<Distribution>,
    log: LogState,
    now: u64,
    refused_numbers: BTreeMap<usize, u64>, // by node
    notifications: Vec<(usize, Notification)>,
    outcomes: Vec<Result<RevisionId, PublishError>>,
}

impl ThreeNodes {
    fn new(max_formats: [u16; 3]) -> Self {
        let nodes = (0..3).map(|number| {
            let tuning = Tuning { max_format: max_formats[number], ..Tuning::default() };
            node(number, tuning, StoredState::default()).0
        });
        let mut fleet = ThreeNodes {
            nodes: nodes.collect(),
            log: LogState { epoch: 1, fresh: true, ..LogState::default() },
            now: 0,
            refused_numbers: BTreeMap::new(),
            notifications: Vec::new(),
            outcomes: Vec::new(),
        };
        for number in 0..3 {
            fleet.handle(number, Event::Peers(peers()));
            fleet.handle(number, Event::Log(fleet.log));
        }
        fleet
    }

    fn handle(&mut self, number: usize, event: Event) {
        let mut actions = Vec::new();
        self.nodes[number].handle(self.now, event, &mut actions);
        for action in actions {
            self.perform(number, action);
        }
    }

    fn perform(&mut self, number: usize, action: Action) {
        match action {
            Action::Send { to, bytes } => {
                let to = (0..3).find(|node| address(*node) == to).unwrap();
                self.handle(to, Event::Datagram(&bytes));
            }
            Action::Compose { base, deltas } => {
                let whole: Vec<u8> = base
                    .iter()
                    .copied()
                    .chain(deltas.iter().flat_map(|delta| delta.bytes.to_vec()))
                    .collect();
                self.handle(number, Event::Composed(Ok(whole.into())));
            }
            Action::Apply(document) => {
                let is_refused = self.refused_numbers.get(&number) == Some(&document.announcement.id.number);
                let result = if is_refused { Err(Rejection("not here".to_owned())) } else { Ok(()) };
                self.handle(number, Event::Applied(result));
            }
            Action::Persist(_) => self.handle(number, Event::Persisted(true)),
            Action::Propose { ticket, announcement, expect } => {
                assert_eq!(expect, self.log.value_revision);
                self.log.announcement = Some(announcement);
                self.log.value_revision += 1;
                self.handle(number, Event::Proposed(ticket, Ok(())));
                (0..3).for_each(|node| self.handle(node, Event::Log(self.log)));
            }
            Action::Published(_, outcome) => self.outcomes.push(outcome),
            Action::Notify(notification) => self.notifications.push((number, notification)),
        }
    }

    fn run(&mut self, seconds: u64) {
        let end = self.now + seconds * SECOND;
        while self.now < end {
            let due = self.nodes.iter().map(Distribution::due).min().unwrap();
            self.now = due.max(self.now + MS);
            for number in 0..3 {
                if self.nodes[number].due() <= self.now {
                    self.handle(number, Event::Tick);
                }
            }
        }
    }

    fn publish(&mut self, number: usize, format: u16, document: &[u8], delta: Option<&[u8]>) {
        let base = self.nodes[number].verified_document().map(|held| held.announcement.id);
        let publication = Publication {
            ticket: self.outcomes.len() as u64,
            base,
            format,
            document: document.into(),
            delta: delta.map(Arc::from),
            over_missing: false,
        };
        self.handle(number, Event::Publish(publication));
        self.run(5);
    }

    fn in_force(&self) -> Vec<u64> {
        let number =
            |node: &Distribution| node.in_force().map_or(0, |document| document.announcement.id.number);
        self.nodes.iter().map(number).collect()
    }
}

#[test]
fn a_snapshot_and_later_deltas_come_into_force_at_every_node() {
    let mut fleet = ThreeNodes::new([1; 3]);
    let mut whole = vec![7; 5_000];
    fleet.publish(2, 1, &whole, None);
    assert_eq!(fleet.in_force(), [1, 1, 1]);
    for number in 2..5u64 {
        whole.extend([number as u8; 10]);
        fleet.publish(number as usize % 3, 1, &whole, Some(&[number as u8; 10]));
        assert_eq!(fleet.in_force(), [number; 3]);
    }
    assert!(fleet.nodes.iter().all(|node| *node.in_force().unwrap().bytes == *whole));
    assert!(
        fleet.notifications.iter().all(|(_, notification)| matches!(notification, Notification::InForce(_))),
        "{:?}",
        fleet.notifications
    );
    fleet.run(10);
    let overview = fleet.nodes[1].overview(fleet.now);
    assert_eq!((overview.live, overview.applied, overview.unknown.count), (3, 3, 0));
}

#[test]
fn a_refused_revision_is_reported_and_the_next_one_is_applied() {
    let mut fleet = ThreeNodes::new([1, 1, 2]);
    fleet.refused_numbers.insert(1, 2);
    fleet.publish(2, 1, b"first", None);
    fleet.publish(2, 1, b"second", None);
    assert_eq!(fleet.in_force(), [2, 1, 2]);
    fleet.run(10);
    let overview = fleet.nodes[0].overview(fleet.now);
    assert_eq!((overview.applied, overview.behind.count, overview.refused.count), (2, 1, 1));
    assert_eq!(overview.lowest, Some((RevisionId { epoch: 1, number: 1 }, "n1".into())));
    fleet.publish(2, 2, b"third", None);
    assert_eq!(fleet.in_force(), [2, 1, 3], "the other nodes do not support its format");
    let refused = fleet.nodes[0].overview(fleet.now).refused_here.unwrap();
    assert!(refused.1.contains("document format 2 is not supported"), "{}", refused.1);
    fleet.publish(2, 1, b"fourth", None);
    assert_eq!(fleet.in_force(), [4; 3]);
}

#[test]
fn a_publication_with_an_outdated_base_is_superseded() {
    let mut fleet = ThreeNodes::new([1; 3]);
    fleet.publish(0, 1, b"first", None);
    let publication = Publication {
        ticket: 9,
        base: None,
        format: 1,
        document: b"other".as_slice().into(),
        delta: None,
        over_missing: false,
    };
    fleet.handle(1, Event::Publish(publication));
    let latest = RevisionId { epoch: 1, number: 1 };
    assert_eq!(fleet.outcomes.last(), Some(&Err(PublishError::Superseded(latest))));
}

/// Content that less than a majority of the voters stores could be lost with its publisher after the log has announced
/// it.
#[test]
fn nothing_is_proposed_before_a_majority_of_voters_stores_the_content() {
    let (mut machine, mut actions) = node(2, Tuning::default(), StoredState::default());
    machine.handle(0, Event::Peers(peers()), &mut actions);
    machine.handle(0, Event::Log(LogState { epoch: 1, fresh: true, ..LogState::default() }), &mut actions);
    let publication = Publication {
        ticket: 1,
        base: None,
        format: 1,
        document: b"first".as_slice().into(),
        delta: None,
        over_missing: false,
    };
    machine.handle(0, Event::Publish(publication), &mut actions);
    while machine.due() < 20 * SECOND {
        let now = machine.due();
        machine.handle(now, Event::Tick, &mut actions);
    }
    assert!(!actions.iter().any(|action| matches!(action, Action::Propose { .. })));
    let error = PublishError::NotStaged { staged: 0, voters: 1 };
    assert!(actions.contains(&Action::Published(1, Err(error))));
}

#[test]
fn a_restored_revision_is_applied_at_once_and_set_aside_if_the_log_contradicts_it() {
    let disk = MemoryDisk::default();
    let later = Document { announcement: announce(60, 1, b"later"), bytes: b"later".as_slice().into() };
    FileWrite::InForce(later.clone()).save(&disk, "n1").unwrap();
    let (saved, errors) = StoredState::load(&disk, "n1");
    assert!(errors.is_empty());
    let (mut machine, mut actions) = node(1, Tuning { disk: true, ..Tuning::default() }, saved);
    assert_eq!(actions, [Action::Apply(later.clone())]);
    machine.handle(0, Event::Applied(Ok(())), &mut actions);
    let state = |fresh, epoch| LogState {
        epoch,
        value_revision: 4,
        fresh,
        announcement: Some(announce(57, 1, b"earlier")),
    };
    // A log that is not fresh may merely lag behind, and a log that was created anew may have lost the revision.
    for (from, fresh, epoch) in [(0, false, 1), (10, true, 2)] {
        machine.handle(from * SECOND, Event::Log(state(fresh, epoch)), &mut actions);
        machine.handle((from + 9) * SECOND, Event::Tick, &mut actions);
        assert_eq!(machine.verified_document(), Some(&later));
    }
    machine.handle(20 * SECOND, Event::Log(state(true, 1)), &mut actions);
    machine.handle(26 * SECOND, Event::Tick, &mut actions);
    assert!(actions
        .iter()
        .any(|action| matches!(action, Action::Notify(Notification::SetAside(id, _)) if id.number == 60)));
    assert!(actions.contains(&Action::Persist(FileWrite::SetAside)));
    assert_eq!(
        (machine.verified_document(), machine.in_force()),
        (None, Some(&later)),
        "it stays in force until another revision replaces it"
    );
    FileWrite::SetAside.save(&disk, "n1").unwrap();
    assert_eq!(StoredState::load(&disk, "n1").0, StoredState::default());
}

/// The file's checksum is valid here, but the document was damaged before it was written.
#[test]
fn a_stored_document_with_a_wrong_digest_is_ignored() {
    let disk = MemoryDisk::default();
    let document = Document { announcement: announce(3, 1, b"this"), bytes: b"that".as_slice().into() };
    FileWrite::InForce(document).save(&disk, "n1").unwrap();
    assert_eq!(StoredState::load(&disk, "n1").0.in_force, None);
}

proptest! {
    /// Covers random bytes and random bodies with a valid header and checksum.
    #[test]
    fn any_datagram_is_handled_without_applying_or_panicking(
        bytes in proptest::collection::vec(any::<u8>(), 0..1_300), valid: bool,
    ) {
        let (mut machine, mut actions) = node(1, Tuning::default(), StoredState::default());
        machine.handle(0, Event::Peers(peers()), &mut actions);
        let mut datagram = bytes;
        if valid && datagram.len() > 7 {
            let sum = {
                let (_, body) = datagram.split_at(7);
                // CRC-32C of the body, as in every datagram.
                crc32c::crc32c(body).to_le_bytes()
            };
            datagram[..3].copy_from_slice(b"mc\x01");
            datagram[3..7].copy_from_slice(&sum);
        }
        machine.handle(SECOND, Event::Datagram(&datagram), &mut actions);
        prop_assert!(!actions.iter().any(|action| matches!(action, Action::Apply(_))));
    }
}
