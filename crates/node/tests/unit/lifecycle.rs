//! Tests of the lifecycle state machine.

use super::*;
use proptest::prelude::*;

const MAX_DRAIN: Nanos = 4_000_000_000; // within which a drained node closes all idle connections

fn commands() -> impl Strategy<Value = Vec<(Nanos, Command)>> {
    let command = prop_oneof![
        4 => Just(Command::Standby),
        4 => Just(Command::Active),
        1 => Just(Command::Terminate),
    ];
    prop::collection::vec((0..2_500_000_000u64, command), 1..12)
}

proptest! {
    /// Checks any sequence of commands: standby closes idle connections in time, `Active` undoes it at any time, and a
    /// stop is final and completes by time alone.
    #[test]
    fn every_command_holds_until_the_next_one(commands in commands()) {
        let (mut lifecycle, mut now) = (Lifecycle::new(750_000_000), 0);
        lifecycle.await_predecessor(now); // the predecessor frees no capacity, so the wait ends by its timeout
        prop_assert!(!lifecycle.serving_state().may_listen);
        let (mut standby_since, mut idle_closes_then, mut stopped) = (None::<Nanos>, 0, None::<Nanos>);
        for (delay, command) in commands {
            // Time advances in the steps that the state machine asks for.
            let until = now + delay;
            while let Some(due) = lifecycle.next_change().filter(|due| *due <= until) {
                prop_assert!(due >= now);
                now = due;
                lifecycle.tick(now);
            }
            now = until;
            let before = lifecycle.serving_state();
            prop_assert_eq!(before.may_listen, now >= MAX_PREDECESSOR_WAIT);
            if let Some(since) = standby_since.filter(|_| stopped.is_none()) {
                prop_assert!(!before.ready && !before.keep_alive && before.accepts_connections);
                prop_assert!(now < since + MAX_DRAIN / 2 || before.idle_closes > idle_closes_then);
            }
            let applied = lifecycle.apply(now, command);
            let after = lifecycle.serving_state();
            prop_assert_eq!(applied, stopped.is_none() || command != Command::Active);
            match command {
                Command::Terminate => stopped = stopped.or(Some(now)),
                Command::Standby if standby_since.is_none() => {
                    (standby_since, idle_closes_then) = (Some(now), after.idle_closes);
                }
                Command::Standby => {}
                Command::Active => standby_since = None,
            }
            if stopped.is_some() {
                prop_assert!(!after.keep_alive && after.stop.is_some());
            } else if standby_since.is_none() {
                prop_assert!(after.ready && after.keep_alive && after.accepts_connections && after.stop.is_none());
                prop_assert_eq!(lifecycle.next_change(), Some(MAX_PREDECESSOR_WAIT).filter(|_| !after.may_listen));
            }
        }
        if stopped.is_some() {
            while let Some(due) = lifecycle.next_change() {
                lifecycle.tick(due);
            }
            prop_assert!(!lifecycle.serving_state().accepts_connections);
        }
    }
}

/// Guards clients of a drained node: a front that has been told to go elsewhere must not be told to come back by a stop.
#[test]
fn a_drained_node_stays_unready_when_it_is_stopped() {
    for (commands, ready) in [
        (vec![Command::Terminate], true),
        (vec![Command::Standby, Command::Terminate], false),
        (vec![Command::Standby, Command::Active, Command::Terminate], true),
        (vec![Command::Standby, Command::Terminate, Command::Terminate, Command::Active], false),
    ] {
        let mut lifecycle = Lifecycle::new(750_000_000);
        for (index, command) in commands.iter().enumerate() {
            lifecycle.apply(index as Nanos * 10_000_000, *command);
        }
        assert_eq!(lifecycle.serving_state().ready, ready, "after {commands:?}");
    }
}

/// Guards long exchanges against a planned restart: what has a deadline is answered before the platform may kill, and
/// the process leaves every connection the whole time that it may take.
#[test]
fn a_stop_leaves_exchanges_more_time_than_any_deadline() {
    const KILL_MARGIN: Nanos = 700_000_000; // after the longest deadline, counted as 3 s at most
    for longest_deadline in [0, 20_000_000, 750_000_000, 3_000_000_000, 60_000_000_000] {
        let (mut lifecycle, stopped_at) = (Lifecycle::new(longest_deadline), 5_000_000_000);
        lifecycle.apply(stopped_at, Command::Terminate);
        let stop = lifecycle.serving_state().stop.expect("the limits of a stop");
        assert!(stop.last_answer_by < stopped_at + longest_deadline.min(3_000_000_000) + KILL_MARGIN);
        assert!(stop.exit_by >= stop.answers_begun_by + MAX_DRAIN_TIME);
    }
}
