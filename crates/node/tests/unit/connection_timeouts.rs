use super::*;
use proptest::prelude::*;

const MS: Nanos = 1_000_000;

#[test]
fn a_client_has_its_2_s_for_a_head_however_long_it_idled_before() {
    let line = ConnectionTimeouts::new(None, 750 * MS);
    assert_eq!(line.deadline(), (IDLE_TIMEOUT, CloseReason::NoRequest));
    line.bytes_received(100 * MS);
    assert_eq!(
        line.deadline(),
        (HEAD_TIMEOUT, CloseReason::NoRequest),
        "within 3 s of connecting, whatever comes"
    );
    line.request_started();
    line.request_read();
    line.response_ended(300 * MS);
    assert_eq!(line.deadline(), (300 * MS + IDLE_TIMEOUT, CloseReason::NoRequest));
    line.bytes_received(2_300 * MS);
    assert!(line.deadline().0 >= 4_300 * MS, "2 s from its first byte");
    line.request_started();
    assert_eq!(line.deadline(), (2_300 * MS + MIN_STALL_TIMEOUT, CloseReason::Stalled));
}

#[test]
fn a_client_that_takes_nothing_is_not_idle_while_it_is_owed_bytes() {
    let line = ConnectionTimeouts::new(None, 750 * MS);
    line.bytes_received(0);
    line.request_started();
    line.request_read();
    line.write_attempted(10 * MS, true);
    line.write_attempted(10 * MS, false);
    line.response_ended(20 * MS);
    assert_eq!(line.deadline(), (10 * MS + MIN_STALL_TIMEOUT, CloseReason::Stalled));
    line.write_attempted(5_000 * MS, true);
    assert_eq!(line.deadline(), (5_000 * MS + IDLE_TIMEOUT, CloseReason::NoRequest));
}

proptest! {
    /// Whoever asks again after each step is never late: what becomes due earlier by an event is due no
    /// sooner than a step after it. A first request's times stand from the start.
    #[test]
    fn nothing_is_due_before_the_next_look(events in prop::collection::vec((0..3_000 * MS, 0usize..6), 1..40)) {
        let line = ConnectionTimeouts::new(Some(500 * MS), 750 * MS);
        let (mut now, mut busy) = (0, false);
        for (after, event) in events {
            now += after;
            let (before, _) = line.deadline();
            match event {
                0 => line.bytes_received(now),
                1 => line.write_attempted(now, true),
                2 => line.write_attempted(now, false),
                3 if !busy => {
                    line.request_started();
                    busy = true;
                }
                4 if busy => line.request_read(),
                5 if busy => {
                    line.response_ended(now);
                    busy = false;
                }
                _ => {}
            }
            let (at, _) = line.deadline();
            let first = !line.had_request.load(Ordering::Relaxed);
            prop_assert!(first || at >= before || at >= now + line.poll_interval(), "{at} at {now} after {event}");
        }
    }
}
