use super::*;

/// Returns when a client is first told to read too slowly that reads `bytes` every `interval`, within a minute.
fn slow_after(bytes: usize, interval: Nanos) -> Option<Nanos> {
    let progress = ReadProgress::default();
    progress.bytes_accepted(2 << 20); // what the kernel takes at first
    progress.held_up(1);
    let mut read = 0;
    (1..=60 * SECOND / (SECOND / 100)).map(|step| step * (SECOND / 100)).find(|&now| {
        if now / interval > read {
            read += 1;
            progress.bytes_accepted(bytes);
        }
        progress.missing_bytes(now).is_some()
    })
}

/// Guards long answers against being cut off because their readers pause: once, or for as long as ten pauses of 3 s.
#[test]
fn a_client_that_pauses_for_seconds_is_not_taken_for_one_that_reads_too_slowly() {
    for pauses in [1, 2, 10] {
        let progress = ReadProgress::default();
        progress.held_up(1);
        for pause in 1..=pauses {
            assert_eq!(progress.missing_bytes(pause * 3 * SECOND), None, "in pause {pause} of {pauses}");
            progress.bytes_accepted(1);
        }
    }
}

#[test]
fn a_client_that_reads_as_slowly_as_it_may_is_not_taken_for_one_that_reads_too_slowly() {
    assert_eq!(slow_after(64_000, SECOND), None);
    assert_eq!(slow_after(64 << 10, SECOND * (64 << 10) / 64_000), None);
}

#[test]
fn a_client_that_reads_far_too_slowly_shows_soon_after_the_pauses_that_it_may_make() {
    assert!(slow_after(10_000, SECOND).is_some_and(|at| at < PAUSE_ALLOWANCE * 3 / 2));
    assert!(slow_after(1, 50 * SECOND).is_some_and(|at| at < PAUSE_ALLOWANCE + 3 * SECOND));
}

#[test]
fn a_slow_server_is_not_the_fault_of_the_client() {
    let progress = ReadProgress::default();
    progress.bytes_accepted(1_000);
    assert_eq!(progress.missing_bytes(60 * SECOND), None);
}
