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

/// Returns a connection on which a response is in progress when a drain starts.
fn draining(drain_started_at: Nanos) -> ConnectionTimeouts {
    let timeouts = ConnectionTimeouts::new(None, 750 * MS);
    timeouts.bytes_received(1);
    timeouts.request_started();
    timeouts.request_read();
    timeouts.drain_started(drain_started_at);
    timeouts
}

/// Moves `bytes` every `interval` until a deadline passes, and returns why and when the connection is closed.
fn run_exchange(
    timeouts: &ConnectionTimeouts, from: Nanos, interval: Nanos, bytes: usize,
) -> (Nanos, CloseReason) {
    let mut now = from;
    loop {
        let (at, reason) = timeouts.deadline();
        if at <= now + interval {
            return (at, reason);
        }
        now += interval;
        timeouts.write_attempted(now, true);
        timeouts.bytes_transferred(bytes);
    }
}

/// Guards long responses against a planned restart: while the longest body of the pages moves at the slowest rate, in
/// pieces of any size, no limit of the drain cuts it.
#[test]
fn a_drain_waits_for_the_longest_body_at_the_slowest_rate() {
    for interval in [MS, 100 * MS, 1_000 * MS, 10_000 * MS] {
        let timeouts = draining(3_000 * MS);
        let bytes = (SLOWEST_BYTES_PER_SECOND * interval / 1_000_000_000) as usize;
        let (closed_at, _) = run_exchange(&timeouts, 3_000 * MS, interval, bytes);
        let needed = LONGEST_BODY_BYTES * 1_000_000_000 / SLOWEST_BYTES_PER_SECOND;
        assert!(closed_at >= 3_000 * MS + needed, "{bytes} bytes every {interval} ns: closed at {closed_at}");
    }
}

/// Guards the end of a process: a peer that rests, that moves a byte a second, or whose response has no end does not
/// hold it for ever.
#[test]
fn a_drain_ends_every_exchange() {
    let second = 1_000 * MS;
    let rests = draining(second).deadline();
    assert_eq!(rests, (1 + MIN_STALL_TIMEOUT, CloseReason::Stalled));
    let byte_a_second = run_exchange(&draining(second), second, second, 1);
    assert_eq!(byte_a_second.1, CloseReason::DrainLimit);
    assert!(byte_a_second.0 <= second + DRAIN_ALLOWANCE + MS, "closed at {}", byte_a_second.0);
    let endless = run_exchange(&draining(second), second, 10 * MS, 16 << 10);
    assert_eq!(endless, (second + MAX_DRAIN_TIME, CloseReason::DrainLimit));
}

proptest! {
    /// Calling `deadline` once per poll interval is never too late: a deadline that an event moves forward is at least
    /// one poll interval after the event. The deadlines of a first request do not change.
    #[test]
    fn no_deadline_moves_closer_than_the_next_poll(events in prop::collection::vec((0..3_000 * MS, 0usize..7), 1..40)) {
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
                    timeouts.bytes_received(now); // no request starts without the bytes of its head
                    timeouts.request_started();
                    active = true;
                }
                4 if active => timeouts.request_read(),
                5 if active => {
                    timeouts.response_ended(now);
                    active = false;
                }
                6 if !timeouts.is_draining() => timeouts.drain_started(now),
                _ => {}
            }
            let (at, _) = timeouts.deadline();
            let before_first_request = timeouts.request_heads() == 0;
            prop_assert!(
                before_first_request || at >= before || at >= now + timeouts.poll_interval(),
                "{at} at {now} after {event}"
            );
        }
    }
}
