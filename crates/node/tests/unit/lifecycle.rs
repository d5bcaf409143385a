use super::*;
use proptest::prelude::*;

const DRAIN: Nanos = 4_000_000_000; // within which a drained node holds no idle connection

fn orders() -> impl Strategy<Value = Vec<(Nanos, Command)>> {
    let order = prop_oneof![
        4 => Just(Command::Standby),
        4 => Just(Command::Active),
        1 => Just(Command::Terminate),
    ];
    prop::collection::vec((0..2_500_000_000u64, order), 1..12)
}

proptest! {
    /// Whatever is ordered in whatever order: standby ends idle connections in time, `active` undoes it
    /// at any moment, a stop is for good, and time alone ends it.
    #[test]
    fn every_order_holds_until_the_next(orders in orders()) {
        let (mut life, mut now) = (Lifecycle::new(750_000_000), 0);
        life.await_predecessor(now); // for a predecessor that makes no room, which ends by itself
        prop_assert!(!life.serving_state().may_listen);
        let (mut standby_since, mut retired_then, mut stopped) = (None::<Nanos>, 0, None::<Nanos>);
        for (after, order) in orders {
            // Time passes in the steps that the machine itself asks for.
            let until = now + after;
            while let Some(due) = life.next_change().filter(|due| *due <= until) {
                prop_assert!(due >= now);
                now = due;
                life.tick(now);
            }
            now = until;
            let before = life.serving_state();
            prop_assert_eq!(before.may_listen, now >= MAKE_ROOM);
            if let Some(since) = standby_since.filter(|_| stopped.is_none()) {
                prop_assert!(!before.ready && !before.keep_alive && before.accepts_connections);
                prop_assert!(now < since + DRAIN / 2 || before.idle_closes > retired_then);
            }
            let done = life.apply(now, order);
            let after = life.serving_state();
            prop_assert_eq!(done, stopped.is_none() || order != Command::Active);
            match order {
                Command::Terminate => stopped = stopped.or(Some(now)),
                Command::Standby if standby_since.is_none() => {
                    (standby_since, retired_then) = (Some(now), after.idle_closes);
                }
                Command::Standby => {}
                Command::Active => standby_since = None,
            }
            if stopped.is_some() {
                prop_assert!(!after.keep_alive && after.exit_at.is_some());
            } else if standby_since.is_none() {
                prop_assert!(after.ready && after.keep_alive && after.accepts_connections && after.exit_at.is_none());
                prop_assert_eq!(life.next_change(), Some(MAKE_ROOM).filter(|_| !after.may_listen));
            }
        }
        if stopped.is_some() {
            while let Some(due) = life.next_change() {
                life.tick(due);
            }
            prop_assert!(!life.serving_state().accepts_connections);
        }
    }
}
