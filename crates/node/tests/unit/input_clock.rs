use super::*;

const START: Nanos = 1_000;

fn clock(length: Option<u64>) -> InputClock {
    InputClock::new(Arc::new(ConnectionTimeouts::new(None, 0)), START, length)
}

#[test]
fn a_body_that_fits_in_the_kernel_may_have_been_written_when_its_bytes_began_to_wait() {
    let mut clock = clock(Some(MAX_UNREAD_BYTES));
    clock.timeouts.read_attempted(5, true);
    clock.bytes_read(1_000, START + 900);
    assert_eq!(clock.last_byte_since(true), Some(START + 5));
    clock.timeouts.read_attempted(1_000, false);
    assert_eq!(clock.last_byte_since(true), None, "the client owes the next bytes");
    assert_eq!(clock.last_byte_since(false), Some(START + 5), "they may be in a buffer of the node");
    clock.timeouts.read_attempted(2_000, true);
    assert_eq!(clock.last_byte_since(true), Some(START + 2_000), "the client was waited for");
    clock.ended();
    clock.timeouts.read_attempted(2_100, false);
    assert_eq!(clock.last_byte_since(true), Some(START + 2_000), "the next request is waited for");
}

#[test]
fn the_last_byte_of_a_longer_body_was_not_written_before_the_rest_fits_in_the_kernel() {
    let mut clock = clock(Some(3 * MAX_UNREAD_BYTES));
    clock.timeouts.read_attempted(5, true);
    let pieces = 2 * MAX_UNREAD_BYTES / MARK_BYTES;
    for piece in 1..=pieces {
        assert_eq!(clock.last_byte_since(true), None);
        clock.bytes_read(MARK_BYTES, START + 10 * piece);
    }
    assert_eq!(clock.last_byte_since(true), Some(START + 10 * pieces));
    clock.bytes_read(MARK_BYTES, START + 100_000);
    assert_eq!(clock.last_byte_since(true), Some(START + 10 * pieces));
}

#[test]
fn the_last_byte_of_a_body_of_unknown_length_follows_what_was_read_and_the_marks_are_bounded() {
    let mut clock = clock(None);
    clock.timeouts.read_attempted(0, true);
    let unread = MAX_UNREAD_BYTES / MARK_BYTES;
    for piece in 1..=10 * unread {
        clock.bytes_read(MARK_BYTES, START + piece);
        assert!(clock.marks.len() as u64 <= unread + 2);
    }
    assert_eq!(clock.last_byte_since(true), Some(START + 9 * unread));
}
