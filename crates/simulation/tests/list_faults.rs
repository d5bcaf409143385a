//! Tests the limit of consecutive faulty calls to discovery.

use merlinfold_simulation::list_faults::ListFaultSampler;
use merlinfold_simulation::seed::Seed;

#[test]
fn no_node_gets_more_than_two_consecutive_faulty_calls() {
    let mut faults = ListFaultSampler::new(Seed(7));
    assert_eq!(faults.sample(0), None, "no share is set");
    faults.set_share(1.0);
    for _ in 0..20 {
        for node in 0..2 {
            assert!(faults.sample(node).is_some() && faults.sample(node).is_some());
            assert_eq!(faults.sample(node), None);
        }
    }
}
