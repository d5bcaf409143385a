//! Invariants of the state machine of one node.

use std::net::SocketAddr;

use merlinfold_membership::*;
use proptest::prelude::*;

fn address(n: u16) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], n))
}

fn profile(n: u16) -> Profile {
    Profile {
        zone: "a".into(),
        machine: "m".into(),
        address: address(n),
        version: "1".into(),
        protocols: (1, 1),
    }
}

fn node(name: &str, n: u16, run: u64) -> Membership {
    let identity = Identity {
        cluster: "guides".into(),
        name: name.into(),
        run,
        profile: profile(n),
        seeds: vec![address(99)],
    };
    Membership::new(identity, Tuning::default(), u64::from(n), 0)
}

fn envelope(from: &str, counter: u64, body: Body) -> Envelope {
    let identity = Identity {
        cluster: "guides".into(),
        name: from.into(),
        run: 1,
        profile: profile(1),
        seeds: Vec::new(),
    };
    Envelope { cluster: identity.cluster_number(), from: from.into(), run: 1, counter, to: None, body }
}

fn datagram(envelope: &Envelope, records: &[Record]) -> Vec<u8> {
    let mut writer = DatagramWriter::new(envelope);
    assert!(records.iter().all(|record| writer.add(&encode_record(record))));
    writer.finish()
}

fn records() -> impl Strategy<Value = Record> {
    let status = prop_oneof![
        (1u16..4).prop_map(|n| Status::Alive(profile(n))),
        (0u8..3).prop_map(|by| Status::Suspect { by: format!("by{by}").into() }),
        Just(Status::Dead),
        Just(Status::Left),
    ];
    (0u8..3, 1u64..5, 1u64..3, status).prop_map(|(name, incarnation, run, status)| Record {
        name: format!("n{name}").into(),
        incarnation,
        run,
        status,
    })
}

proptest! {
    /// Arbitrary, corrupted and truncated bytes neither cause a panic nor change the view.
    #[test]
    fn invalid_datagrams_are_dropped_without_effect(
        bytes in prop::collection::vec(any::<u8>(), 0..1_400), at in 0usize..200, bit in 0u8..8
    ) {
        let mut one = node("one", 1, 1);
        let mut out = Vec::new();
        one.handle(0, Event::Datagram { from: address(2), bytes: &bytes }, &mut out);
        prop_assert!(out.is_empty());
        let record = Record { name: "two".into(), incarnation: 1, run: 1, status: Status::Alive(profile(2)) };
        let mut valid = datagram(&envelope("two", 1, Body::Gossip), &[record]);
        let at = at % valid.len();
        valid[at] ^= 1 << bit;
        one.handle(0, Event::Datagram { from: address(2), bytes: &valid }, &mut out);
        prop_assert!(one.members(0).len() == 1 && out.is_empty());
        valid[at] ^= 1 << bit;
        one.handle(0, Event::Datagram { from: address(2), bytes: &valid[..at] }, &mut out);
        prop_assert!(one.members(0).len() == 1 && out.is_empty());
        prop_assert_eq!(one.counts().dropped.values().sum::<u64>(), 3);
        one.handle(0, Event::Datagram { from: address(2), bytes: &valid }, &mut out);
        prop_assert_eq!(one.members(0).len(), 2);
    }

    /// Merging converges in any order of records: no incarnation ever falls, and after four rounds of all records (a
    /// death makes its member a suspect first) a fifth round changes nothing.
    #[test]
    fn merging_is_monotonic_and_converges(records in prop::collection::vec(records(), 1..40)) {
        let mut one = node("one", 1, 1);
        let (mut out, mut counter) = (Vec::new(), 0);
        let mut last = std::collections::BTreeMap::new();
        for round in 0..5 {
            if round == 4 {
                out.clear();
            }
            for record in &records {
                counter += 1;
                let bytes = datagram(&envelope("reporter", counter, Body::Gossip), std::slice::from_ref(record));
                one.handle(0, Event::Datagram { from: address(9), bytes: &bytes }, &mut out);
                for member in one.members(0) {
                    let previous = last.insert(member.name.clone(), member.incarnation).unwrap_or(0);
                    prop_assert!(previous <= member.incarnation, "{member:?}");
                }
            }
        }
        prop_assert!(!out.iter().any(|action| matches!(action, Action::Changed(_))), "{out:?}");
    }

    /// The replay window accepts each sequence number at most once, and rejects no new one that is recent enough.
    #[test]
    fn replay_window_accepts_each_number_once(numbers in prop::collection::vec(0u64..200, 1..300)) {
        let (mut window, mut accepted_numbers) = (ReplayWindow::default(), std::collections::BTreeSet::new());
        for number in numbers {
            let newest = accepted_numbers.last().copied().unwrap_or(0);
            let is_accepted = window.accept(number);
            prop_assert!(!is_accepted || accepted_numbers.insert(number), "{number} was accepted twice");
            prop_assert!(is_accepted || accepted_numbers.contains(&number) || number == 0 || newest >= number + 64);
        }
    }
}

#[test]
fn foreign_own_misdirected_and_replayed_datagrams_are_counted_and_have_no_effect() {
    let alive = Record { name: "two".into(), incarnation: 1, run: 1, status: Status::Alive(profile(2)) };
    let datagram_with = |change: fn(&mut Envelope)| {
        let mut envelope = envelope("two", 1, Body::Gossip);
        change(&mut envelope);
        datagram(&envelope, std::slice::from_ref(&alive))
    };
    let mut newer_version = datagram_with(|_| ());
    newer_version[2] = PROTOCOL_VERSION + 1;
    for (bytes, error) in [
        (datagram_with(|e| e.cluster += 1), DatagramError::Foreign),
        (datagram_with(|e| e.from = "one".into()), DatagramError::Own),
        (datagram_with(|e| e.to = Some("three".into())), DatagramError::Misdirected),
        (newer_version, DatagramError::Version),
        (vec![0; MAX_DATAGRAM + 1], DatagramError::Long),
        (datagram_with(|e| e.body = Body::Ack { probe: 77 }), DatagramError::Unexpected),
    ] {
        let (mut one, mut out) = (node("one", 1, 1), Vec::new());
        one.handle(0, Event::Datagram { from: address(2), bytes: &bytes }, &mut out);
        assert_eq!(one.counts().dropped.get(&error), Some(&1), "{error:?}");
        assert!(
            error == DatagramError::Unexpected || one.members(0).len() == 1 && out.is_empty(),
            "{error:?}"
        );
    }
    let (mut one, mut out) = (node("one", 1, 1), Vec::new());
    let ping =
        |counter| datagram(&envelope("two", counter, Body::Ping { probe: 1 }), std::slice::from_ref(&alive));
    one.handle(0, Event::Datagram { from: address(2), bytes: &ping(1) }, &mut out);
    one.handle(0, Event::Datagram { from: address(2), bytes: &ping(2) }, &mut out);
    out.clear();
    one.handle(0, Event::Datagram { from: address(2), bytes: &ping(2) }, &mut out);
    assert!(out.is_empty() && one.counts().dropped.get(&DatagramError::Replayed) == Some(&1));
}

/// Guards refutation: against a record with the highest incarnation its member could not announce a higher one.
#[test]
fn records_with_an_incarnation_that_cannot_be_refuted_are_rejected() {
    for (incarnation, is_accepted) in
        [(u64::MAX, false), (MAX_INCARNATION, false), (MAX_INCARNATION - 1, true)]
    {
        let (mut one, mut out) = (node("one", 1, 1), Vec::new());
        let dead = Record { name: "one".into(), incarnation, run: 1, status: Status::Dead };
        let bytes = datagram(&envelope("two", 1, Body::Gossip), &[dead]);
        one.handle(0, Event::Datagram { from: address(2), bytes: &bytes }, &mut out);
        let expected = if is_accepted { MAX_INCARNATION } else { 1 };
        assert_eq!(one.incarnation(), expected);
        assert_eq!(one.counts().dropped.get(&DatagramError::Malformed), (!is_accepted).then_some(&1));
    }
}

#[test]
fn datagrams_beyond_the_burst_limit_are_dropped_and_the_others_accepted() {
    let (mut one, mut out) = (node("one", 1, 1), Vec::new());
    for counter in 1..=2_000 {
        let bytes = datagram(&envelope("two", counter, Body::Gossip), &[]);
        one.handle(0, Event::Datagram { from: address(2), bytes: &bytes }, &mut out);
    }
    let dropped = one.counts().dropped.get(&DatagramError::Flood).copied().unwrap_or(0);
    assert_eq!((dropped, one.counts().accepted), (2_000 - 513, 513));
}

#[test]
fn members_beyond_the_maximum_are_dropped() {
    let (mut one, mut out) = (node("one", 1, 1), Vec::new());
    for n in 0..MAX_MEMBERS as u64 + 10 {
        let name = format!("n{n}").into();
        let record = Record { name, incarnation: 1, run: 1, status: Status::Alive(profile(2)) };
        let bytes = datagram(&envelope("reporter", n + 1, Body::Gossip), &[record]);
        one.handle(n * MS, Event::Datagram { from: address(2), bytes: &bytes }, &mut out);
    }
    assert_eq!(one.members(0).len(), MAX_MEMBERS);
    assert_eq!(one.counts().dropped.get(&DatagramError::Full), Some(&11));
}

/// Guards the uniqueness of names: of two live processes with one name, the one with the lower run number leaves.
#[test]
fn of_two_processes_with_one_name_the_one_with_the_higher_run_stays() {
    let mut twins = [node("twin", 1, 5), node("twin", 2, 6)];
    let (mut out, mut superseded) = (Vec::new(), [false; 2]);
    // A third node gossips the records of each twin to the other.
    let mut reporter = node("reporter", 3, 1);
    let mut in_flight: Vec<(usize, SocketAddr, Vec<u8>)> = Vec::new();
    for now in (0..20_000).map(|ms| ms * MS) {
        for n in 0..3 {
            let receiver = if n == 2 { &mut reporter } else { &mut twins[n] };
            if receiver.next_deadline().is_some_and(|due| due <= now) {
                receiver.handle(now, Event::Tick, &mut out);
            }
            for (to, from, bytes) in std::mem::take(&mut in_flight) {
                if to == n {
                    receiver.handle(now, Event::Datagram { from, bytes: &bytes }, &mut out);
                } else {
                    in_flight.push((to, from, bytes));
                }
            }
            for action in out.drain(..) {
                match action {
                    Action::Send { to, bytes } => {
                        let to = match to.port() {
                            99 => 2, // the seed
                            port => usize::from(port) - 1,
                        };
                        in_flight.push((to, address(n as u16 + 1), bytes));
                    }
                    Action::Changed(Change::Superseded) => superseded[n] = true,
                    Action::Changed(_) => {}
                }
            }
        }
    }
    assert_eq!(superseded, [true, false]);
    assert!(twins[1].is_active() && !twins[0].is_active());
    assert_eq!(reporter.state_of("twin"), Some("alive"));
}
