use super::*;
use proptest::prelude::*;

proptest! {
    /// Whatever the limits: a process that starts beside one that has not made room yet, and two that have,
    /// stay within them; clients have a third at most.
    #[test]
    fn two_processes_hold_no_more_than_the_limit(
        sockets in 192usize..100_000, memory in 0usize..1 << 40, over in 0.0..1.0f64
    ) {
        let (alone, half) = (Allocation::new(sockets, memory, false), Allocation::new(sockets, memory, true));
        let all = |s: Allocation| s.clients + s.servers + RESERVED_DESCRIPTORS;
        prop_assert!(all(alone) + SUCCESSOR_STARTUP_DESCRIPTORS <= sockets);
        prop_assert!(2 * all(half) <= sockets);
        prop_assert!(alone.clients * 3 <= sockets && half.clients * 6 <= sockets);
        prop_assert!(half.servers >= MIN_SERVER_CONNECTIONS && 4 * alone.bodies * BODY_UNIT_BYTES <= memory);
        // On its way from all to half, with so much still held.
        let still = |half: usize, all: usize| half + ((all - half) as f64 * over) as usize;
        let kept = Allocation {
            clients: still(half.clients, alone.clients),
            servers: still(half.servers, alone.servers),
            bodies: still(half.bodies, alone.bodies),
        };
        let capacity = Capacity::new(sockets, memory, true);
        let whole = capacity.fit_beside(kept);
        let new = capacity.allocation();
        // Until then it has not more than the few connections that its start leaves room for.
        prop_assert!(kept.clients + new.clients <= alone.clients && kept.bodies + new.bodies <= alone.bodies);
        let few = new.servers <= MIN_SERVER_CONNECTIONS;
        prop_assert!(few || kept.servers + new.servers + 2 * RESERVED_DESCRIPTORS + kept.clients + new.clients <= sockets);
        prop_assert!(!whole || new == half);
        prop_assert!(kept != half || whole);
    }

    /// However slots are taken, given back and resized, no more are held than there were when they were taken,
    /// and all that there should be come back.
    #[test]
    fn slots_follow_their_number(steps in prop::collection::vec((0usize..4, 0usize..12), 1..60)) {
        let slots = Slots::new(8);
        let (mut held, mut target) = (Vec::new(), 8);
        for (what, n) in steps {
            match what {
                0 => {
                    let before = slots.in_use();
                    if let Some(slot) = slots.try_acquire(1) {
                        prop_assert!(before < slots.total());
                        held.push(slot);
                    }
                }
                1 if !held.is_empty() => drop(held.swap_remove(n % held.len())),
                2 => {
                    target = n;
                    slots.resize(n);
                }
                _ => {}
            }
            let settled = slots.reclaim();
            prop_assert_eq!(settled, held.len() <= target);
            prop_assert_eq!(slots.in_use(), held.len());
            prop_assert_eq!(slots.total(), held.len().max(target));
        }
        held.clear();
        prop_assert!(slots.reclaim() && slots.free() == target);
    }
}
