use super::*;
use crate::lifecycle::{Command, Lifecycle};

const MS: Nanos = 1_000_000;

/// Guards requests against a planned restart: one that waits when the stop begins, whatever for, is answered before the
/// process may be killed, whenever its last byte came before that.
#[tokio::test(start_paused = true)]
async fn a_stop_brings_the_deadline_of_a_waiting_request_before_the_kill() {
    for (longest, awaited) in [(750 * MS, 750 * MS), (10_000 * MS, 3_000 * MS)] {
        for last_byte_after in [0, 100, 700, 1_200, 1_300, 1_400].map(|ms| ms * MS) {
            let clock = Clock::new();
            let mut lifecycle = Lifecycle::new(longest);
            let (sender, serving_state) = watch::channel(lifecycle.serving_state());
            let deadline = AnswerDeadline::new(clock, serving_state);
            let stopped_at = clock.now();
            let last_byte_at = stopped_at + last_byte_after;
            let waiting = tokio::spawn(async move { deadline.wait(last_byte_at, longest).await });
            tokio::task::yield_now().await;
            assert!(lifecycle.apply(stopped_at, Command::Terminate));
            sender.send_replace(lifecycle.serving_state());
            waiting.await.unwrap();
            let due = clock.now() - stopped_at;
            assert!(due < awaited + 700 * MS, "{last_byte_after} ns after the stop: due {due} ns after it");
            assert!(
                due >= last_byte_after,
                "a request that comes later than that is not bounded by the kill"
            );
        }
    }
}

#[tokio::test(start_paused = true)]
async fn a_request_is_due_at_its_own_deadline_without_a_stop_and_long_after_one() {
    let mut lifecycle = Lifecycle::new(750 * MS);
    let (sender, serving_state) = watch::channel(lifecycle.serving_state());
    let clock = Clock::new();
    let deadline = AnswerDeadline::new(clock, serving_state);
    assert_eq!(deadline.current(5 * MS, 300 * MS), 305 * MS);
    lifecycle.apply(0, Command::Terminate);
    sender.send_replace(lifecycle.serving_state());
    assert_eq!(deadline.current(10_000 * MS, 300 * MS), 10_300 * MS);
}
