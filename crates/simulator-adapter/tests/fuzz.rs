//! Whatever comes on the wire ends in a reply or in a fault, never in a panic.

use merlinfold_drill::Adapter;
use proptest::prelude::*;

const ENV: &str = r#"{"Balancers":2,"Categories":[{"Aim":200000000,"GiveUp":400000000,"Name":"read","Semantics":"repeatable","Worth":1.0}],"Discovery":"push","Limits":{"MaxAttempts":3,"RetryAfter":true,"MaxRetryAfter":900000000},"Locality":"a","Me":1,"Obligations":{"ColdShare":0.2,"RampTime":10000000000,"FallMultiple":3.0,"TipAfter":1000000000},"Zones":["a","b"]}"#;

/// A script that the adapter takes as it stands.
fn script() -> Vec<String> {
    let mut lines = vec![
        r#"{"msg":"Frame","Time":1000000000,"seq":1}"#.to_owned(),
        format!(r#"{{"msg":"Configure","Node":3,"Seed":7,"Env":{ENV}}}"#),
        r#"{"msg":"Directory","Table":0,"NodesList":[{"Server":"10.0.0.1:80","RackZone":"a","ClassOfHost":"k","Pack":0,"Readiness":"Running","Rating":1}]}"#.to_owned(),
        r#"{"msg":"Membership","Node":3,"Gen":1,"Table":0,"Scope":"Persisted"}"#.to_owned(),
        r#"{"msg":"Eob"}"#.to_owned(),
    ];
    for n in 2..6 {
        lines.push(format!(r#"{{"msg":"Frame","Time":{},"seq":{n}}}"#, 1_000_000_000u64 + n * 5_000_000));
        lines.push(format!(
            r#"{{"msg":"Ask","Node":3,"Req":"e68b09c55d3a91c{n}","Band":"read","Item":7,"Budget":300000000,"Bits":1}}"#
        ));
        if n > 2 {
            lines.push(format!(
                r#"{{"msg":"Verdict","Node":3,"Req":"e68b09c55d3a91c{}","Duration":3000000,"SendNo":0,"Terminal":true,"Server":"10.0.0.1:80","Result":"OK"}}"#,
                n - 1
            ));
        }
        lines.push(r#"{"msg":"Eob"}"#.to_owned());
    }
    lines
}

#[derive(Clone, Debug)]
enum Edit {
    Byte(usize, usize, u8),
    Cut(usize, usize),
    Drop(usize),
    Twice(usize),
    Number(usize, String),
}

fn edit() -> impl Strategy<Value = Edit> {
    let number = prop_oneof![
        Just("-1".to_owned()),
        Just("1e400".to_owned()),
        Just("18446744073709551615".to_owned()),
        Just("null".to_owned()),
        Just("\"x\"".to_owned()),
        Just("[]".to_owned()),
        any::<u64>().prop_map(|n| n.to_string()),
    ];
    prop_oneof![
        (any::<usize>(), any::<usize>(), any::<u8>()).prop_map(|(l, at, b)| Edit::Byte(l, at, b)),
        (any::<usize>(), any::<usize>()).prop_map(|(l, at)| Edit::Cut(l, at)),
        any::<usize>().prop_map(Edit::Drop),
        any::<usize>().prop_map(Edit::Twice),
        (any::<usize>(), number).prop_map(|(l, n)| Edit::Number(l, n)),
    ]
}

fn apply(lines: &mut Vec<Vec<u8>>, edit: Edit) {
    if lines.is_empty() {
        return;
    }
    let count = lines.len();
    match edit {
        Edit::Byte(line, at, byte) => {
            let line = &mut lines[line % count];
            let length = line.len().max(1);
            if let Some(place) = line.get_mut(at % length) {
                *place = byte;
            }
        }
        Edit::Cut(line, at) => {
            let line = &mut lines[line % count];
            line.truncate(at % (line.len() + 1));
        }
        Edit::Drop(line) => drop(lines.remove(line % count)),
        Edit::Twice(line) => {
            let again = lines[line % count].clone();
            lines.insert(line % count, again);
        }
        // One of the line's figures becomes something else.
        Edit::Number(line, number) => {
            let line = &mut lines[line % count];
            if let Some(from) = line.windows(2).position(|two| two[0] == b':' && two[1].is_ascii_digit()) {
                let digits = line[from + 1..].iter().take_while(|b| b.is_ascii_digit()).count();
                line.splice(from + 1..from + 1 + digits, number.into_bytes());
            }
        }
    }
}

#[test]
fn time_that_goes_back_or_out_of_bounds_is_named() {
    for (first, then) in [(2_000_000_000u64, 1_000_000_000u64), (1, u64::MAX), (u64::MAX, u64::MAX)] {
        let mut host = Adapter::default();
        let frame = |time: u64| format!(r#"{{"msg":"Frame","Time":{time},"seq":1}}"#).into_bytes();
        let mut lines = [frame(first), br#"{"msg":"Eob"}"#.to_vec(), frame(then)].into_iter();
        let fault =
            lines.find_map(|line| host.handle_line(&line).err()).expect("one of the times is refused");
        assert!(fault.contains(&format!("Time {then}")), "{fault}");
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 600, ..ProptestConfig::default() })]

    #[test]
    fn a_script_with_anything_wrong_ends_in_replies_or_a_fault(edits in prop::collection::vec(edit(), 0..6)) {
        let mut lines: Vec<Vec<u8>> = script().into_iter().map(String::into_bytes).collect();
        let whole = edits.is_empty();
        edits.into_iter().for_each(|edit| apply(&mut lines, edit));
        let mut host = Adapter::default();
        let mut replies = 0;
        for line in lines {
            match host.handle_line(&line) {
                Ok(reply) => replies += usize::from(reply.is_some()),
                Err(fault) => {
                    prop_assert!(!fault.is_empty() && !whole);
                    return Ok(());
                }
            }
        }
        prop_assert!(!whole || replies == 5);
    }
}
