use super::*;

fn usage() -> usize {
    12 << 20
}

#[test]
fn memory_is_refused_to_what_holds_much_before_what_is_needed_to_refuse() {
    let memory = Memory::new(32 << 20, Some(usage));
    let order = [
        Purpose::IdleConnection,
        Purpose::Body,
        Purpose::LongAnswer,
        Purpose::Attempt,
        Purpose::Request,
        Purpose::Connection,
    ];
    let allowed = order.map(|purpose| memory.allows(purpose));
    assert!(allowed.is_sorted(), "{allowed:?}");
    assert_eq!((allowed[1], allowed[5]), (false, true), "{} of {}", memory.allocated(), memory.limit());
}

#[test]
fn two_processes_together_stay_within_the_memory_of_the_node() {
    for total in [32usize << 20, 48 << 20, 192 << 20] {
        for resident in [0, 8 << 20, 20 << 20, 400 << 20] {
            let first = Memory::new(total, None);
            let needed = first.needed_beside(resident);
            let second = Memory::new(total, None);
            second.run_beside(needed);
            let second_resident = PROCESS_BYTES + second.limit() + second.limit() / (GAP_DIVISOR - 1);
            let surplus = MIN_HEAP_BYTES + MIN_HEAP_BYTES / (GAP_DIVISOR - 1); // what any process may have
            assert!(
                needed + second_resident <= total + surplus,
                "{total} {resident}: {needed}, {second_resident}"
            );
            if second.limit() > MIN_HEAP_BYTES {
                assert!(needed + second_resident <= total - total / COMPANION_RESERVE_DIVISOR);
            }
        }
    }
}
