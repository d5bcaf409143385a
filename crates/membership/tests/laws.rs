//! Laws of the machine that need no fleet.

use std::net::SocketAddr;

use merlinfold_membership::*;
use proptest::prelude::*;

fn address(n: u16) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], n))
}

fn profile(n: u16) -> Profile {
    let word = |w: &str| w.into();
    Profile {
        zone: word("a"),
        machine: word("m"),
        address: address(n),
        version: word("1"),
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
    /// No bytes at all bring the machine down, and none that are not a whole datagram of this fleet change its view.
    #[test]
    fn bytes_that_are_no_datagram_have_no_effect(
        bytes in prop::collection::vec(any::<u8>(), 0..1_400), at in 0usize..200, bit in 0u8..8
    ) {
        let mut one = node("one", 1, 1);
        let mut out = Vec::new();
        one.handle(0, Event::Datagram { from: address(2), bytes: &bytes }, &mut out);
        prop_assert!(out.is_empty());
        let record = Record { name: "two".into(), incarnation: 1, run: 1, status: Status::Alive(profile(2)) };
        let mut good = datagram(&envelope("two", 1, Body::Gossip), &[record]);
        let at = at % good.len();
        good[at] ^= 1 << bit;
        one.handle(0, Event::Datagram { from: address(2), bytes: &good }, &mut out);
        prop_assert!(one.members(0).len() == 1 && out.is_empty());
        good[at] ^= 1 << bit;
        one.handle(0, Event::Datagram { from: address(2), bytes: &good[..at] }, &mut out);
        prop_assert!(one.members(0).len() == 1 && out.is_empty());
        prop_assert_eq!(one.counts().dropped.values().sum::<u64>(), 3);
        one.handle(0, Event::Datagram { from: address(2), bytes: &good }, &mut out);
        prop_assert_eq!(one.members(0).len(), 2);
    }

    /// What holds of a member never goes back, in whatever order records come: its number does not fall, and once all
    /// records have come four times (a death first accuses), one more round of them changes nothing.
    #[test]
    fn records_never_take_a_view_back(records in prop::collection::vec(records(), 1..40)) {
        let mut one = node("one", 1, 1);
        let (mut out, mut counter) = (Vec::new(), 0);
        let mut last = std::collections::BTreeMap::new();
        for round in 0..5 {
            if round == 4 {
                out.clear();
            }
            for record in &records {
                counter += 1;
                let bytes = datagram(&envelope("teller", counter, Body::Gossip), std::slice::from_ref(record));
                one.handle(0, Event::Datagram { from: address(9), bytes: &bytes }, &mut out);
                for member in one.members(0) {
                    let had = last.insert(member.name.clone(), member.incarnation).unwrap_or(0);
                    prop_assert!(had <= member.incarnation, "{member:?}");
                }
            }
        }
        prop_assert!(!out.iter().any(|action| matches!(action, Action::Changed(_))), "{out:?}");
    }

    /// A window takes each number once, whatever comes in between.
    #[test]
    fn a_window_takes_no_number_twice(numbers in prop::collection::vec(0u64..200, 1..300)) {
        let (mut window, mut taken) = (ReplayWindow::default(), std::collections::BTreeSet::new());
        for number in numbers {
            let newest = taken.last().copied().unwrap_or(0);
            let took = window.accept(number);
            prop_assert!(!took || taken.insert(number), "{number} twice");
            prop_assert!(took || taken.contains(&number) || number == 0 || newest >= number + 64);
        }
    }
}

#[test]
fn what_is_foreign_own_misdirected_or_replayed_is_counted_and_has_no_effect() {
    let alive = Record { name: "two".into(), incarnation: 1, run: 1, status: Status::Alive(profile(2)) };
    let of = |change: fn(&mut Envelope)| {
        let mut envelope = envelope("two", 1, Body::Gossip);
        change(&mut envelope);
        datagram(&envelope, std::slice::from_ref(&alive))
    };
    let mut newer = of(|_| ());
    newer[2] = PROTOCOL_VERSION + 1;
    for (bytes, fault) in [
        (of(|e| e.cluster += 1), DatagramError::Foreign),
        (of(|e| e.from = "one".into()), DatagramError::Own),
        (of(|e| e.to = Some("three".into())), DatagramError::Misdirected),
        (newer, DatagramError::Version),
        (vec![0; MAX_DATAGRAM + 1], DatagramError::Long),
        (of(|e| e.body = Body::Ack { probe: 77 }), DatagramError::Unexpected),
    ] {
        let (mut one, mut out) = (node("one", 1, 1), Vec::new());
        one.handle(0, Event::Datagram { from: address(2), bytes: &bytes }, &mut out);
        assert_eq!(one.counts().dropped.get(&fault), Some(&1), "{fault:?}");
        assert!(
            fault == DatagramError::Unexpected || one.members(0).len() == 1 && out.is_empty(),
            "{fault:?}"
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

/// Guards the contradiction: a number beyond which there is none is no number.
#[test]
fn a_number_that_could_not_be_contradicted_is_refused() {
    for (incarnation, heeded) in [(u64::MAX, false), (MAX_INCARNATION, false), (MAX_INCARNATION - 1, true)] {
        let (mut one, mut out) = (node("one", 1, 1), Vec::new());
        let dead = Record { name: "one".into(), incarnation, run: 1, status: Status::Dead };
        let bytes = datagram(&envelope("two", 1, Body::Gossip), &[dead]);
        one.handle(0, Event::Datagram { from: address(2), bytes: &bytes }, &mut out);
        let expected = if heeded { MAX_INCARNATION } else { 1 };
        assert_eq!(one.incarnation(), expected);
        assert_eq!(one.counts().dropped.get(&DatagramError::Malformed), (!heeded).then_some(&1));
    }
}

#[test]
fn a_flood_is_dropped_beyond_its_burst_and_the_rest_is_heard() {
    let (mut one, mut out) = (node("one", 1, 1), Vec::new());
    for counter in 1..=2_000 {
        let bytes = datagram(&envelope("two", counter, Body::Gossip), &[]);
        one.handle(0, Event::Datagram { from: address(2), bytes: &bytes }, &mut out);
    }
    let dropped = one.counts().dropped.get(&DatagramError::Flood).copied().unwrap_or(0);
    assert_eq!((dropped, one.counts().accepted), (2_000 - 513, 513));
}

#[test]
fn a_view_takes_no_more_members_than_it_has_room_for() {
    let (mut one, mut out) = (node("one", 1, 1), Vec::new());
    for n in 0..MAX_MEMBERS as u64 + 10 {
        let name = format!("n{n}").into();
        let record = Record { name, incarnation: 1, run: 1, status: Status::Alive(profile(2)) };
        let bytes = datagram(&envelope("teller", n + 1, Body::Gossip), &[record]);
        one.handle(n * MS, Event::Datagram { from: address(2), bytes: &bytes }, &mut out);
    }
    assert_eq!(one.members(0).len(), MAX_MEMBERS);
    assert_eq!(one.counts().dropped.get(&DatagramError::Full), Some(&11));
}

/// Guards a name: of two processes that have it and hear each other, the one of the greater run stays.
#[test]
fn of_two_processes_with_one_name_the_later_start_stays() {
    let mut both = [node("twin", 1, 5), node("twin", 2, 6)];
    let (mut out, mut down) = (Vec::new(), [false; 2]);
    // Each hears of the other through a third that passes on what it hears.
    let mut teller = node("teller", 3, 1);
    let mut wires: Vec<(usize, SocketAddr, Vec<u8>)> = Vec::new();
    for now in (0..20_000).map(|ms| ms * MS) {
        for n in 0..3 {
            let who = if n == 2 { &mut teller } else { &mut both[n] };
            if who.next_deadline().is_some_and(|due| due <= now) {
                who.handle(now, Event::Tick, &mut out);
            }
            for (to, from, bytes) in std::mem::take(&mut wires) {
                if to == n {
                    who.handle(now, Event::Datagram { from, bytes: &bytes }, &mut out);
                } else {
                    wires.push((to, from, bytes));
                }
            }
            for action in out.drain(..) {
                match action {
                    Action::Send { to, bytes } => {
                        let to = match to.port() {
                            99 => 2, // the seed
                            port => usize::from(port) - 1,
                        };
                        wires.push((to, address(n as u16 + 1), bytes));
                    }
                    Action::Changed(Change::Superseded) => down[n] = true,
                    Action::Changed(_) => {}
                }
            }
        }
    }
    assert_eq!(down, [true, false]);
    assert!(both[1].is_active() && !both[0].is_active());
    assert_eq!(teller.state_of("twin"), Some("alive"));
}
