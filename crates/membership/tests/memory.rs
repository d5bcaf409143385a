//! Memory use of the largest view, measured in a process of its own so that no other test disturbs it.

use std::net::SocketAddr;

use merlinfold_membership::*;

const MAX_BYTES_PER_MEMBER: usize = 1 << 10; // the documented limit

fn resident_bytes() -> usize {
    let pages = std::fs::read_to_string("/proc/self/statm").unwrap();
    pages.split(' ').nth(1).unwrap().parse::<usize>().unwrap() * 4_096
}

#[test]
fn the_largest_view_uses_less_than_a_kibibyte_per_member() {
    let address = |n: usize| SocketAddr::from(([10, 0, (n >> 8) as u8, n as u8], 7_946));
    let profile = |n: usize| Profile {
        zone: format!("zone-{}", n % 5).into(),
        machine: format!("rack-{}-{}", n % 40, n % 7).into(),
        address: address(n),
        version: "0.2.0".into(),
        protocols: (1, 1),
    };
    let identity = Identity {
        cluster: "guides".into(),
        name: "me".into(),
        run: 1,
        profile: profile(0),
        seeds: Vec::new(),
    };
    let cluster = identity.cluster_number();
    let mut machine = Membership::new(identity, Tuning::default(), 1, 0);
    let before = resident_bytes();
    let (mut out, mut now) = (Vec::new(), 0);
    for n in 1..MAX_MEMBERS {
        now += MS;
        let name: Name = format!("guide-node-{n:05}").into();
        let record = Record { name, incarnation: 1, run: 1 << 32, status: Status::Alive(profile(n)) };
        let envelope = Envelope {
            cluster,
            from: "reporter".into(),
            run: 1,
            counter: n as u64,
            to: None,
            body: Body::Gossip,
        };
        let mut writer = DatagramWriter::new(&envelope);
        assert!(writer.add(&encode_record(&record)));
        machine.handle(now, Event::Datagram { from: address(1), bytes: &writer.finish() }, &mut out);
        machine.handle(now, Event::Tick, &mut out);
        out.clear();
    }
    assert_eq!(machine.members(now).len(), MAX_MEMBERS);
    let bytes_per_member = resident_bytes().saturating_sub(before) / MAX_MEMBERS;
    println!("{bytes_per_member} bytes per member");
    assert!(bytes_per_member < MAX_BYTES_PER_MEMBER, "{bytes_per_member} bytes per member");
}
