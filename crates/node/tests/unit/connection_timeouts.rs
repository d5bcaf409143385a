use super::*;
use proptest::prelude::*;

const MS: Nanos = 1_000_000;

#[test]
fn a_client_has_2_s_for_a_head_however_long_it_was_idle_before() {
    let timeouts = ConnectionTimeouts::new(None, 750 * MS);
    assert_eq!(timeouts.deadline(), (IDLE_TIMEOUT, CloseReason::NoRequest));
    timeouts.bytes_received(100 * MS);
    assert_eq!(
        timeouts.deadline(),
        (HEAD_TIMEOUT, CloseReason::NoRequest),
        "within 3 s of the accept, whatever is received"
    );
    timeouts.request_started();
    timeouts.request_read();
    timeouts.response_ended(300 * MS);
    assert_eq!(timeouts.deadline(), (300 * MS + IDLE_TIMEOUT, CloseReason::NoRequest));
    timeouts.bytes_received(2_300 * MS);
    assert!(timeouts.deadline().0 >= 4_300 * MS, "2 s from the first byte of the head");
    timeouts.request_started();
    assert_eq!(timeouts.deadline(), (2_300 * MS + MIN_STALL_TIMEOUT, CloseReason::Stalled));
}

#[test]
fn a_client_that_reads_nothing_is_not_idle_while_response_bytes_are_pending() {
    let timeouts = ConnectionTimeouts::new(None, 750 * MS);
    timeouts.bytes_received(0);
    timeouts.request_started();
    timeouts.request_read();
    timeouts.write_attempted(10 * MS, true);
    timeouts.write_attempted(10 * MS, false);
    timeouts.response_ended(20 * MS);
    assert_eq!(timeouts.deadline(), (10 * MS + MIN_STALL_TIMEOUT, CloseReason::Stalled));
    timeouts.write_attempted(5_000 * MS, true);
    assert_eq!(timeouts.deadline(), (5_000 * MS + IDLE_TIMEOUT, CloseReason::NoRequest));
}

proptest! {
    /// Calling `deadline` once per poll interval is never too late: a deadline that an event moves forward is at least
    /// one poll interval after the event. The deadlines of a first request do not change.
    #[test]
    fn no_deadline_moves_closer_than_the_next_poll(events in prop::collection::vec((0..3_000 * MS, 0usize..6), 1..40)) {
        let timeouts = ConnectionTimeouts::new(Some(500 * MS), 750 * MS);
        let (mut now, mut active) = (0, false);
        for (after, event) in events {
            now += after;
            let (before, _) = timeouts.deadline();
            match event {
                0 => timeouts.bytes_received(now),
                1 => timeouts.write_attempted(now, true),
                2 => timeouts.write_attempted(now, false),
                3 if !active => {
                    timeouts.request_started();
                    active = true;
                }
                4 if active => timeouts.request_read(),
                5 if active => {
                    timeouts.response_ended(now);
                    active = false;
                }
                _ => {}
            }
            let (at, _) = timeouts.deadline();
            let before_first_request = !timeouts.had_request.load(Ordering::Relaxed);
            prop_assert!(
                before_first_request || at >= before || at >= now + timeouts.poll_interval(),
                "{at} at {now} after {event}"
            );
        }
    }
}
