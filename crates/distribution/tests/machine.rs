//! The machine by itself: bad input, refusals, files, and two of them on a perfect network.

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
    let mut out = Vec::new();
    let machine = Distribution::new(id, tuning, saved, number as u64, 0, &mut out);
    (machine, out)
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

/// Three nodes, the first of which votes; datagrams take a millisecond and are never lost.
struct Three {
    nodes: Vec<Distribution>,
    log: LogState,
    now: u64,
    refuses: BTreeMap<usize, u64>,
    notes: Vec<(usize, Notification)>,
    outcomes: Vec<Result<RevisionId, PublishError>>,
}

impl Three {
    fn new(max_formats: [u16; 3]) -> Self {
        let nodes = (0..3).map(|number| {
            let tuning = Tuning { max_format: max_formats[number], ..Tuning::default() };
            node(number, tuning, StoredState::default()).0
        });
        let mut three = Three {
            nodes: nodes.collect(),
            log: LogState { epoch: 1, fresh: true, ..LogState::default() },
            now: 0,
            refuses: BTreeMap::new(),
            notes: Vec::new(),
            outcomes: Vec::new(),
        };
        for number in 0..3 {
            three.feed(number, Event::Peers(peers()));
            three.feed(number, Event::Log(three.log));
        }
        three
    }

    fn feed(&mut self, number: usize, event: Event) {
        let mut out = Vec::new();
        self.nodes[number].handle(self.now, event, &mut out);
        for action in out {
            self.act(number, action);
        }
    }

    fn act(&mut self, number: usize, action: Action) {
        match action {
            Action::Send { to, bytes } => {
                let to = (0..3).find(|node| address(*node) == to).unwrap();
                self.feed(to, Event::Datagram(&bytes));
            }
            Action::Compose { base, deltas } => {
                let whole: Vec<u8> = base
                    .iter()
                    .copied()
                    .chain(deltas.iter().flat_map(|delta| delta.bytes.to_vec()))
                    .collect();
                self.feed(number, Event::Composed(Ok(whole.into())));
            }
            Action::Apply(document) => {
                let refuses = self.refuses.get(&number) == Some(&document.announcement.id.number);
                let result = if refuses { Err(Rejection("not here".to_owned())) } else { Ok(()) };
                self.feed(number, Event::Applied(result));
            }
            Action::Persist(_) => self.feed(number, Event::Persisted(true)),
            Action::Propose { ticket, announcement, expect } => {
                assert_eq!(expect, self.log.value_revision);
                self.log.announcement = Some(announcement);
                self.log.value_revision += 1;
                self.feed(number, Event::Proposed(ticket, Ok(())));
                (0..3).for_each(|node| self.feed(node, Event::Log(self.log)));
            }
            Action::Published(_, outcome) => self.outcomes.push(outcome),
            Action::Notify(note) => self.notes.push((number, note)),
        }
    }

    fn run(&mut self, seconds: u64) {
        let end = self.now + seconds * SECOND;
        while self.now < end {
            let due = self.nodes.iter().map(Distribution::due).min().unwrap();
            self.now = due.max(self.now + MS);
            for number in 0..3 {
                if self.nodes[number].due() <= self.now {
                    self.feed(number, Event::Tick);
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
        self.feed(number, Event::Publish(publication));
        self.run(5);
    }

    fn in_force(&self) -> Vec<u64> {
        let number =
            |node: &Distribution| node.in_force().map_or(0, |document| document.announcement.id.number);
        self.nodes.iter().map(number).collect()
    }
}

#[test]
fn a_snapshot_and_the_deltas_after_it_come_into_force_everywhere() {
    let mut three = Three::new([1; 3]);
    let mut whole = vec![7; 5_000];
    three.publish(2, 1, &whole, None);
    assert_eq!(three.in_force(), [1, 1, 1]);
    for number in 2..5u64 {
        whole.extend([number as u8; 10]);
        three.publish(number as usize % 3, 1, &whole, Some(&[number as u8; 10]));
        assert_eq!(three.in_force(), [number; 3]);
    }
    assert!(three.nodes.iter().all(|node| *node.in_force().unwrap().bytes == *whole));
    assert!(
        three.notes.iter().all(|(_, note)| matches!(note, Notification::InForce(_))),
        "{:?}",
        three.notes
    );
    three.run(10);
    let overview = three.nodes[1].overview(three.now);
    assert_eq!((overview.live, overview.applied, overview.unknown.count), (3, 3, 0));
}

#[test]
fn what_is_refused_is_named_and_the_next_is_tried() {
    let mut three = Three::new([1, 1, 2]);
    three.refuses.insert(1, 2);
    three.publish(2, 1, b"first", None);
    three.publish(2, 1, b"second", None);
    assert_eq!(three.in_force(), [2, 1, 2]);
    three.run(10);
    let overview = three.nodes[0].overview(three.now);
    assert_eq!((overview.applied, overview.behind.count, overview.refused.count), (2, 1, 1));
    assert_eq!(overview.lowest, Some((RevisionId { epoch: 1, number: 1 }, "n1".into())));
    three.publish(2, 2, b"third", None);
    assert_eq!(three.in_force(), [2, 1, 3], "the others do not know its format");
    let refused = three.nodes[0].overview(three.now).refused_here.unwrap();
    assert!(refused.1.contains("its format is 2"), "{}", refused.1);
    three.publish(2, 1, b"fourth", None);
    assert_eq!(three.in_force(), [4; 3]);
}

#[test]
fn a_publisher_that_does_not_hold_the_latest_is_told_so() {
    let mut three = Three::new([1; 3]);
    three.publish(0, 1, b"first", None);
    let publication = Publication {
        ticket: 9,
        base: None,
        format: 1,
        document: b"other".as_slice().into(),
        delta: None,
        over_missing: false,
    };
    three.feed(1, Event::Publish(publication));
    let latest = RevisionId { epoch: 1, number: 1 };
    assert_eq!(three.outcomes.last(), Some(&Err(PublishError::Superseded(latest))));
}

/// Guards what is confirmed: without a majority of voters that keep the content nothing is announced.
#[test]
fn nothing_is_proposed_before_a_majority_keeps_the_content() {
    let (mut machine, mut out) = node(2, Tuning::default(), StoredState::default());
    machine.handle(0, Event::Peers(peers()), &mut out);
    machine.handle(0, Event::Log(LogState { epoch: 1, fresh: true, ..LogState::default() }), &mut out);
    let publication = Publication {
        ticket: 1,
        base: None,
        format: 1,
        document: b"first".as_slice().into(),
        delta: None,
        over_missing: false,
    };
    machine.handle(0, Event::Publish(publication), &mut out);
    while machine.due() < 20 * SECOND {
        let now = machine.due();
        machine.handle(now, Event::Tick, &mut out);
    }
    assert!(!out.iter().any(|action| matches!(action, Action::Propose { .. })));
    let error = PublishError::NotStaged { staged: 0, voters: 1 };
    assert!(out.contains(&Action::Published(1, Err(error))));
}

#[test]
fn the_revision_of_the_disk_is_in_force_at_once_and_set_aside_if_the_log_contradicts_it() {
    let files = Files::default();
    let later = Document { announcement: announce(60, 1, b"later"), bytes: b"later".as_slice().into() };
    FileWrite::InForce(later.clone()).save(&files, "n1").unwrap();
    let (saved, faults) = StoredState::load(&files, "n1");
    assert!(faults.is_empty());
    let (mut machine, mut out) = node(1, Tuning { disk: true, ..Tuning::default() }, saved);
    assert_eq!(out, [Action::Apply(later.clone())]);
    machine.handle(0, Event::Applied(Ok(())), &mut out);
    let state = |fresh, epoch| LogState {
        epoch,
        value_revision: 4,
        fresh,
        announcement: Some(announce(57, 1, b"earlier")),
    };
    // A log that is not fresh may only lag behind, and one that was founded anew may have lost the revision.
    for (from, fresh, epoch) in [(0, false, 1), (10, true, 2)] {
        machine.handle(from * SECOND, Event::Log(state(fresh, epoch)), &mut out);
        machine.handle((from + 9) * SECOND, Event::Tick, &mut out);
        assert_eq!(machine.verified_document(), Some(&later));
    }
    machine.handle(20 * SECOND, Event::Log(state(true, 1)), &mut out);
    machine.handle(26 * SECOND, Event::Tick, &mut out);
    assert!(out
        .iter()
        .any(|action| matches!(action, Action::Notify(Notification::SetAside(id, _)) if id.number == 60)));
    assert!(out.contains(&Action::Persist(FileWrite::SetAside)));
    assert_eq!(
        (machine.verified_document(), machine.in_force()),
        (None, Some(&later)),
        "it serves until there is another"
    );
    FileWrite::SetAside.save(&files, "n1").unwrap();
    assert_eq!(StoredState::load(&files, "n1").0, StoredState::default());
}

/// Guards the disk's copy: one whose digest does not fit is as good as none.
#[test]
fn a_saved_document_of_another_digest_is_not_believed() {
    let files = Files::default();
    let document = Document { announcement: announce(3, 1, b"this"), bytes: b"that".as_slice().into() };
    FileWrite::InForce(document).save(&files, "n1").unwrap();
    assert_eq!(StoredState::load(&files, "n1").0.in_force, None);
}

proptest! {
    /// Whatever comes in, nothing is applied and nothing panics.
    #[test]
    fn any_datagram_is_borne(bytes in proptest::collection::vec(any::<u8>(), 0..1_300), valid: bool) {
        let (mut machine, mut out) = node(1, Tuning::default(), StoredState::default());
        machine.handle(0, Event::Peers(peers()), &mut out);
        let mut datagram = bytes;
        if valid && datagram.len() > 7 {
            let sum = {
                let (_, body) = datagram.split_at(7);
                // The checksum of the store's and the log's datagrams.
                crc32c::crc32c(body).to_le_bytes()
            };
            datagram[..3].copy_from_slice(b"mc\x01");
            datagram[3..7].copy_from_slice(&sum);
        }
        machine.handle(SECOND, Event::Datagram(&datagram), &mut out);
        prop_assert!(!out.iter().any(|action| matches!(action, Action::Apply(_))));
    }
}
