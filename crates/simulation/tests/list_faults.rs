//! How often calls to discovery go wrong.

use merlinfold_simulation::list_faults::ListFaultSampler;
use merlinfold_simulation::seed::Seed;

#[test]
fn no_node_meets_more_than_two_faulty_calls_in_a_row() {
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
