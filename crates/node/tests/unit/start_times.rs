//! Tests of the conversion of server start times to the local clock.

use super::*;
use proptest::prelude::*;

const NOW: Nanos = 1_800_000_000 * SECOND as Nanos;
const HOUR: Nanos = 3_600 * SECOND as Nanos;

fn seconds(count: u64) -> Nanos {
    count * SECOND as Nanos
}

#[test]
fn start_times_are_unchanged_while_the_clocks_agree() {
    let mut starts = StartTimes::default();
    assert_eq!(starts.local_start(0, 0, NOW, None), 0);
    assert_eq!(starts.local_start(1, NOW - seconds(2), NOW, Some(NOW - seconds(1))), NOW - seconds(2));
    assert_eq!(
        starts.local_start(2, NOW - HOUR, NOW, None),
        NOW - HOUR,
        "without `unseen_at` it may have started before this node"
    );
}

/// Guards against servers that count as cold for too long: by a clock that is an hour behind, a server that started
/// half an hour ago would start in the future.
#[test]
fn a_clock_that_is_an_hour_behind_puts_no_start_in_the_future() {
    let mut starts = StartTimes::default();
    let discovery_now = NOW + HOUR;
    assert_eq!(
        starts.local_start(0, discovery_now - seconds(2), NOW, None),
        NOW,
        "the lag is estimated from this announcement, which hides the 2 s"
    );
    assert_eq!(
        starts.local_start(1, discovery_now - seconds(1_800), NOW, None),
        NOW + seconds(2) - seconds(1_800)
    );
    assert_eq!(
        starts.local_start(0, discovery_now - seconds(2), NOW + seconds(9), None),
        NOW,
        "a repeated announcement keeps its local time"
    );
}

/// Guards against full load on cold servers: by a clock that is an hour ahead, a server that has just started would
/// have started an hour ago.
#[test]
fn a_clock_that_is_an_hour_ahead_leaves_a_new_server_cold() {
    let mut starts = StartTimes::default();
    let (discovery_now, unseen_at) = (NOW - HOUR, NOW - seconds(3));
    assert_eq!(starts.local_start(0, discovery_now - seconds(2), NOW, Some(unseen_at)), unseen_at);
}

proptest! {
    /// Whatever is announced, a start time is never in the future, and precedes the last answer without it by no more
    /// than an announcement may be late. The same announcement always gives the same time.
    #[test]
    fn a_start_is_never_in_the_future_nor_too_old_for_its_announcement(
        announcements in prop::collection::vec((0..4usize, any::<u64>(), prop::option::of(0..HOUR)), 1..40)
    ) {
        let mut starts = StartTimes::default();
        let mut now = NOW;
        for (server, announced, ago) in announcements {
            now += seconds(1);
            let unseen_at = ago.map(|ago| now - ago);
            let known = starts.starts.get(server).copied().unwrap_or_default();
            let local = starts.local_start(server, announced, now, unseen_at);
            prop_assert!(local <= now);
            if announced != 0 && known.announced != announced {
                let earliest = unseen_at.map_or(0, |at| at - seconds(60));
                prop_assert!(local >= earliest, "{} before {}", local, earliest);
            }
            prop_assert_eq!(starts.local_start(server, announced, now, unseen_at), local);
        }
    }
}
