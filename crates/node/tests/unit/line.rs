use super::*;
use proptest::prelude::*;

const MS: Nanos = 1_000_000;

#[test]
fn a_client_has_its_2_s_for_a_head_however_long_it_idled_before() {
    let line = Line::new(None, 750 * MS);
    assert_eq!(line.due(), (IDLE, Why::Silent));
    line.heard(100 * MS);
    assert_eq!(line.due(), (HEAD, Why::Silent), "within 3 s of connecting, whatever comes");
    line.begin();
    line.read();
    line.free(300 * MS);
    assert_eq!(line.due(), (300 * MS + IDLE, Why::Silent));
    line.heard(2_300 * MS);
    assert!(line.due().0 >= 4_300 * MS, "2 s from its first byte");
    line.begin();
    assert_eq!(line.due(), (2_300 * MS + STILL, Why::Still));
}

#[test]
fn a_client_that_takes_nothing_is_not_idle_while_it_is_owed_bytes() {
    let line = Line::new(None, 750 * MS);
    line.heard(0);
    line.begin();
    line.read();
    line.wrote(10 * MS, true);
    line.wrote(10 * MS, false);
    line.free(20 * MS);
    assert_eq!(line.due(), (10 * MS + STILL, Why::Still));
    line.wrote(5_000 * MS, true);
    assert_eq!(line.due(), (5_000 * MS + IDLE, Why::Silent));
}

proptest! {
    /// Whoever asks again after each step is never late: what becomes due earlier by an event is due no
    /// sooner than a step after it. A first request's times stand from the start.
    #[test]
    fn nothing_is_due_before_the_next_look(events in prop::collection::vec((0..3_000 * MS, 0usize..6), 1..40)) {
        let line = Line::new(Some(500 * MS), 750 * MS);
        let (mut now, mut busy) = (0, false);
        for (after, event) in events {
            now += after;
            let (before, _) = line.due();
            match event {
                0 => line.heard(now),
                1 => line.wrote(now, true),
                2 => line.wrote(now, false),
                3 if !busy => {
                    line.begin();
                    busy = true;
                }
                4 if busy => line.read(),
                5 if busy => {
                    line.free(now);
                    busy = false;
                }
                _ => {}
            }
            let (at, _) = line.due();
            let first = !line.served.load(Ordering::Relaxed);
            prop_assert!(first || at >= before || at >= now + line.step(), "{at} at {now} after {event}");
        }
    }
}
