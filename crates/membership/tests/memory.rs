//! What a view takes, in a process that does nothing else.

use std::net::SocketAddr;

use merlinfold_membership::*;

const A_MEMBER: usize = 1 << 10; // bytes, as the design note states

fn resident() -> usize {
    let pages = std::fs::read_to_string("/proc/self/statm").unwrap();
    pages.split(' ').nth(1).unwrap().parse::<usize>().unwrap() * 4_096
}

#[test]
fn the_largest_view_takes_under_a_kilobyte_a_member() {
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
    let before = resident();
    let (mut out, mut now) = (Vec::new(), 0);
    for n in 1..MAX_MEMBERS {
        now += MS;
        let name: Name = format!("guide-node-{n:05}").into();
        let record = Record { name, incarnation: 1, run: 1 << 32, status: Status::Alive(profile(n)) };
        let envelope = Envelope {
            cluster,
            from: "teller".into(),
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
    let each = resident().saturating_sub(before) / MAX_MEMBERS;
    println!("{each} bytes a member");
    assert!(each < A_MEMBER, "{each} bytes a member");
}
