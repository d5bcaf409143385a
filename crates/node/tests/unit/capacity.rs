use super::*;
use proptest::prelude::*;

proptest! {
    /// For any limits, a process that starts beside one that has released nothing yet stays within the limits, as do
    /// two processes with a half each. Clients have at most a third.
    #[test]
    fn two_processes_together_stay_within_the_limits(
        sockets in 192usize..100_000, memory in 0usize..1 << 40, fraction in 0.0..1.0f64
    ) {
        let (full, half) = (Allocation::new(sockets, memory, false), Allocation::new(sockets, memory, true));
        let total = |s: Allocation| s.clients + s.servers + RESERVED_DESCRIPTORS;
        prop_assert!(total(full) + SUCCESSOR_STARTUP_DESCRIPTORS <= sockets);
        prop_assert!(2 * total(half) <= sockets);
        let unserved = |has_companion| unserved_connections(sockets, memory, has_companion);
        prop_assert!(
            total(full) + SUCCESSOR_STARTUP_DESCRIPTORS + unserved(false) <= sockets + MIN_UNSERVED_CONNECTIONS
        );
        prop_assert!(2 * (total(half) + unserved(true)) <= sockets + MIN_UNSERVED_CONNECTIONS);
        prop_assert!(full.clients * 3 <= sockets && half.clients * 6 <= sockets);
        prop_assert!(half.servers >= MIN_SERVER_CONNECTIONS && 4 * full.bodies * BODY_UNIT_BYTES <= memory);
        // The first process on its way from all to a half, with a part of the difference still in use.
        let partly = |half: usize, total: usize| half + ((total - half) as f64 * fraction) as usize;
        let first = Allocation {
            clients: partly(half.clients, full.clients),
            servers: partly(half.servers, full.servers),
            bodies: partly(half.bodies, full.bodies),
        };
        let capacity = Capacity::new(sockets, memory, true);
        let has_half = capacity.fit_beside(first);
        let second = capacity.allocation();
        // Until the first process has released enough, the second has only the few server connections for which its
        // startup descriptors leave room.
        prop_assert!(first.clients + second.clients <= full.clients && first.bodies + second.bodies <= full.bodies);
        let has_minimum = second.servers <= MIN_SERVER_CONNECTIONS;
        prop_assert!(
            has_minimum
                || first.servers + second.servers + 2 * RESERVED_DESCRIPTORS + first.clients + second.clients
                    <= sockets
        );
        prop_assert!(!has_half || second == half);
        prop_assert!(first != half || has_half);
    }

    /// For any sequence of acquiring, releasing and resizing, no slot is acquired above the total, and in the end the
    /// number of free slots is the target.
    #[test]
    fn slots_reach_their_target_after_resizing(steps in prop::collection::vec((0usize..4, 0usize..12), 1..60)) {
        let slots = Slots::new(8);
        let (mut acquired, mut target) = (Vec::new(), 8);
        for (operation, n) in steps {
            match operation {
                0 => {
                    let before = slots.in_use();
                    if let Some(slot) = slots.try_acquire(1) {
                        prop_assert!(before < slots.total());
                        acquired.push(slot);
                    }
                }
                1 if !acquired.is_empty() => drop(acquired.swap_remove(n % acquired.len())),
                2 => {
                    target = n;
                    slots.resize(n);
                }
                _ => {}
            }
            let settled = slots.reclaim();
            prop_assert_eq!(settled, acquired.len() <= target);
            prop_assert_eq!(slots.in_use(), acquired.len());
            prop_assert_eq!(slots.total(), acquired.len().max(target));
        }
        acquired.clear();
        prop_assert!(slots.reclaim() && slots.free() == target);
    }
}
