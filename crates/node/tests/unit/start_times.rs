//! Tests of `start_times.rs`.

use super::*;
use proptest::prelude::*;

const NOW: Nanos = 1_800_000_000 * SECOND as Nanos;
const HOUR: Nanos = 3_600 * SECOND as Nanos;

fn seconds(count: u64) -> Nanos {
    count * SECOND as Nanos
}

#[test]
fn starts_stay_what_they_are_while_the_clocks_agree() {
    let mut starts = StartTimes::default();
    assert_eq!(starts.local_start(0, 0, NOW, None), 0);
    assert_eq!(starts.local_start(1, NOW - seconds(2), NOW, Some(NOW - seconds(1))), NOW - seconds(2));
    assert_eq!(
        starts.local_start(2, NOW - HOUR, NOW, None),
        NOW - HOUR,
        "it may have been there before this node"
    );
}

/// Guards clients: a server that started half an hour ago is not cold for the next half hour.
#[test]
fn a_clock_that_is_an_hour_behind_makes_no_server_cold_for_an_hour() {
    let mut starts = StartTimes::default();
    let theirs = NOW + HOUR;
    assert_eq!(
        starts.local_start(0, theirs - seconds(2), NOW, None),
        NOW,
        "two seconds cannot be told from none"
    );
    assert_eq!(starts.local_start(1, theirs - seconds(1_800), NOW, None), NOW + seconds(2) - seconds(1_800));
    assert_eq!(
        starts.local_start(0, theirs - seconds(2), NOW + seconds(9), None),
        NOW,
        "it stays what it was"
    );
}

/// Guards cold servers: one that has just started is not taken for one of an hour ago.
#[test]
fn a_clock_that_is_an_hour_ahead_makes_no_new_server_warm() {
    let mut starts = StartTimes::default();
    let (theirs, unseen_at) = (NOW - HOUR, NOW - seconds(3));
    assert_eq!(starts.local_start(0, theirs - seconds(2), NOW, Some(unseen_at)), unseen_at);
}

proptest! {
    /// Whatever is told, a start is never ahead of the clock, nor before what was seen without it by more than lists
    /// may be late, and the same word means the same time.
    #[test]
    fn a_start_is_never_in_the_future(
        told in prop::collection::vec((0..4usize, any::<u64>(), prop::option::of(0..HOUR)), 1..40)
    ) {
        let mut starts = StartTimes::default();
        let mut now = NOW;
        for (server, told, ago) in told {
            now += seconds(1);
            let unseen_at = ago.map(|ago| now - ago);
            let known = starts.starts.get(server).copied().unwrap_or_default();
            let local = starts.local_start(server, told, now, unseen_at);
            prop_assert!(local <= now);
            if told != 0 && known.told != told {
                let least = unseen_at.map_or(0, |at| at - seconds(60));
                prop_assert!(local >= least, "{} before {}", local, least);
            }
            prop_assert_eq!(starts.local_start(server, told, now, unseen_at), local);
        }
    }
}
