//! Tests that any input returns a reply or an error and never panics.

use merlinfold_drill::Adapter;
use proptest::prelude::*;

const ENV: &str = r#"{"Balancers":2,"Categories":[{"Aim":200000000,"GiveUp":400000000,"Name":"read","Semantics":"repeatable","Worth":1.0}],"Discovery":"push","Limits":{"MaxAttempts":3,"RetryAfter":true,"MaxRetryAfter":900000000},"Locality":"a","Me":1,"Obligations":{"ColdShare":0.2,"RampTime":10000000000,"FallMultiple":3.0,"TipAfter":1000000000},"Zones":["a","b"]}"#;

/// The lines of five batches, all valid.
fn valid_lines() -> Vec<String> {
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

/// A change to one line, whose index is taken modulo the number of lines.
#[derive(Clone, Debug)]
enum Edit {
    ReplaceByte(usize, usize, u8),
    Truncate(usize, usize),
    Remove(usize),
    Duplicate(usize),
    /// Replaces the first number of the line.
    ReplaceNumber(usize, String),
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
        (any::<usize>(), any::<usize>(), any::<u8>())
            .prop_map(|(line, at, byte)| Edit::ReplaceByte(line, at, byte)),
        (any::<usize>(), any::<usize>()).prop_map(|(line, at)| Edit::Truncate(line, at)),
        any::<usize>().prop_map(Edit::Remove),
        any::<usize>().prop_map(Edit::Duplicate),
        (any::<usize>(), number).prop_map(|(line, number)| Edit::ReplaceNumber(line, number)),
    ]
}

fn apply(lines: &mut Vec<Vec<u8>>, edit: Edit) {
    if lines.is_empty() {
        return;
    }
    let count = lines.len();
    match edit {
        Edit::ReplaceByte(line, at, byte) => {
            let line = &mut lines[line % count];
            let length = line.len().max(1);
            if let Some(target) = line.get_mut(at % length) {
                *target = byte;
            }
        }
        Edit::Truncate(line, at) => {
            let line = &mut lines[line % count];
            line.truncate(at % (line.len() + 1));
        }
        Edit::Remove(line) => drop(lines.remove(line % count)),
        Edit::Duplicate(line) => {
            let copy = lines[line % count].clone();
            lines.insert(line % count, copy);
        }
        Edit::ReplaceNumber(line, number) => {
            let line = &mut lines[line % count];
            if let Some(from) = line.windows(2).position(|pair| pair[0] == b':' && pair[1].is_ascii_digit()) {
                let digits = line[from + 1..].iter().take_while(|byte| byte.is_ascii_digit()).count();
                line.splice(from + 1..from + 1 + digits, number.into_bytes());
            }
        }
    }
}

#[test]
fn a_time_that_goes_back_or_is_out_of_range_is_named_in_the_error() {
    for (first, second) in [(2_000_000_000u64, 1_000_000_000u64), (1, u64::MAX), (u64::MAX, u64::MAX)] {
        let mut adapter = Adapter::default();
        let frame = |time: u64| format!(r#"{{"msg":"Frame","Time":{time},"seq":1}}"#).into_bytes();
        let mut lines = [frame(first), br#"{"msg":"Eob"}"#.to_vec(), frame(second)].into_iter();
        let error =
            lines.find_map(|line| adapter.handle_line(&line).err()).expect("one of the times is refused");
        assert!(error.contains(&format!("Time {second}")), "{error}");
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 600, ..ProptestConfig::default() })]

    #[test]
    fn edited_lines_return_replies_or_an_error(edits in prop::collection::vec(edit(), 0..6)) {
        let mut lines: Vec<Vec<u8>> = valid_lines().into_iter().map(String::into_bytes).collect();
        let unchanged = edits.is_empty();
        edits.into_iter().for_each(|edit| apply(&mut lines, edit));
        let mut adapter = Adapter::default();
        let mut replies = 0;
        for line in lines {
            match adapter.handle_line(&line) {
                Ok(reply) => replies += usize::from(reply.is_some()),
                Err(error) => {
                    prop_assert!(!error.is_empty() && !unchanged);
                    return Ok(());
                }
            }
        }
        prop_assert!(!unchanged || replies == 5);
    }
}
