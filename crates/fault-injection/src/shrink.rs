//! Reduces a scenario to a smaller one that violates the same invariant.

use crate::scenario::Scenario;

const MAX_ATTEMPTS: usize = 200;

/// Removes faults, then halves their durations, then removes nodes, for as long as `breaks` confirms that the smaller
/// scenario still violates the invariant. At most 200 candidates are tried. Returns a scenario for which `breaks` is
/// true, or the given one if nothing could be removed.
pub fn shrink(scenario: &Scenario, mut breaks: impl FnMut(&Scenario) -> bool) -> Scenario {
    let mut best = scenario.clone();
    let mut attempts = 0;
    let mut accept_if_violating = |smaller: Scenario, best: &mut Scenario| {
        attempts += 1;
        let better =
            attempts <= MAX_ATTEMPTS && smaller != *best && smaller.check().is_ok() && breaks(&smaller);
        if better {
            *best = smaller;
        }
        better
    };
    loop {
        let before = best.clone();
        let mut index = 0;
        while index < best.faults.len() {
            let mut smaller = best.clone();
            smaller.faults.remove(index);
            if !accept_if_violating(smaller, &mut best) {
                index += 1;
            }
        }
        for index in 0..best.faults.len() {
            let mut smaller = best.clone();
            smaller.faults[index].duration =
                smaller.faults[index].duration.map(|duration| (duration / 2.0).ceil());
            accept_if_violating(smaller, &mut best);
        }
        for divisor in [2, 4] {
            let mut smaller = best.clone();
            smaller.fleet.nodes -= smaller.fleet.nodes / divisor;
            accept_if_violating(smaller, &mut best);
        }
        if best == before {
            return best;
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::scenario::FaultKind;

    #[test]
    fn faults_time_and_nodes_that_do_not_matter_are_removed() {
        let text = "question = \"q\"\nseconds = 100.0\n[fleet]\nnodes = 40\nzones = [\"a\"]\n".to_owned();
        let fault =
            |kind| format!("[[fault]]\nat = 5.0\nlasts = 32.0\nkind = \"{kind}\"\nwho = \"node:1\"\n");
        let scenario = Scenario::parse(&(text + &fault("kill") + &fault("pause") + &fault("kill"))).unwrap();
        let pauses = |scenario: &Scenario| {
            let long =
                |fault: &crate::scenario::Fault| fault.duration.is_some_and(|duration| duration >= 3.0);
            scenario.fleet.nodes > 6
                && scenario.faults.iter().any(|f| matches!(f.kind, FaultKind::Pause { .. }) && long(f))
        };
        let small = shrink(&scenario, pauses);
        assert!(pauses(&small));
        assert_eq!((small.faults.len(), small.faults[0].duration, small.fleet.nodes), (1, Some(4.0), 8));
    }
}
