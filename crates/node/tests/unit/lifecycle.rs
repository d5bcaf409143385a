use super::*;
use proptest::prelude::*;

const DRAIN: Nanos = 4_000_000_000; // within which a drained node holds no idle connection

fn orders() -> impl Strategy<Value = Vec<(Nanos, Order)>> {
    let order = prop_oneof![
        4 => Just(Order::Standby),
        4 => Just(Order::Active),
        1 => Just(Order::Terminate),
    ];
    prop::collection::vec((0..2_500_000_000u64, order), 1..12)
}

proptest! {
    /// Whatever is ordered in whatever order: standby ends idle connections in time, `active` undoes it
    /// at any moment, a stop is for good, and time alone ends it.
    #[test]
    fn every_order_holds_until_the_next(orders in orders()) {
        let (mut life, mut now) = (Life::new(750_000_000), 0);
        life.wait(now); // for a predecessor that makes no room, which ends by itself
        prop_assert!(!life.posture().opens);
        let (mut standby_since, mut retired_then, mut stopped) = (None::<Nanos>, 0, None::<Nanos>);
        for (after, order) in orders {
            // Time passes in the steps that the machine itself asks for.
            let until = now + after;
            while let Some(due) = life.due().filter(|due| *due <= until) {
                prop_assert!(due >= now);
                now = due;
                life.tick(now);
            }
            now = until;
            let before = life.posture();
            prop_assert_eq!(before.opens, now >= MAKE_ROOM);
            if let Some(since) = standby_since.filter(|_| stopped.is_none()) {
                prop_assert!(!before.ready && !before.keeps && before.accepts);
                prop_assert!(now < since + DRAIN / 2 || before.retired > retired_then);
            }
            let done = life.order(now, order);
            let after = life.posture();
            prop_assert_eq!(done, stopped.is_none() || order != Order::Active);
            match order {
                Order::Terminate => stopped = stopped.or(Some(now)),
                Order::Standby if standby_since.is_none() => {
                    (standby_since, retired_then) = (Some(now), after.retired);
                }
                Order::Standby => {}
                Order::Active => standby_since = None,
            }
            if stopped.is_some() {
                prop_assert!(!after.keeps && after.ends_at.is_some());
            } else if standby_since.is_none() {
                prop_assert!(after.ready && after.keeps && after.accepts && after.ends_at.is_none());
                prop_assert_eq!(life.due(), Some(MAKE_ROOM).filter(|_| !after.opens));
            }
        }
        if stopped.is_some() {
            while let Some(due) = life.due() {
                life.tick(due);
            }
            prop_assert!(!life.posture().accepts);
        }
    }
}
