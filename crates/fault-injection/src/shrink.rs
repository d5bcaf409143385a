//! A smaller schedule that breaks the same law.

use crate::scenario::Scenario;

const MAX_ATTEMPTS: usize = 200;

/// Takes away faults, then halves their length, then nodes, for as long as `breaks` says that the law still breaks.
/// The result breaks it too; it is the trial itself if nothing can go.
pub fn shrink(scenario: &Scenario, mut breaks: impl FnMut(&Scenario) -> bool) -> Scenario {
    let mut best = scenario.clone();
    let mut tries = 0;
    let mut try_out = |smaller: Scenario, best: &mut Scenario| {
        tries += 1;
        let better = tries <= MAX_ATTEMPTS && smaller != *best && smaller.check().is_ok() && breaks(&smaller);
        if better {
            *best = smaller;
        }
        better
    };
    loop {
        let before = best.clone();
        let mut at = 0;
        while at < best.faults.len() {
            let mut smaller = best.clone();
            smaller.faults.remove(at);
            if !try_out(smaller, &mut best) {
                at += 1;
            }
        }
        for at in 0..best.faults.len() {
            let mut smaller = best.clone();
            smaller.faults[at].duration = smaller.faults[at].duration.map(|duration| (duration / 2.0).ceil());
            try_out(smaller, &mut best);
        }
        for part in [2, 4] {
            let mut smaller = best.clone();
            smaller.fleet.nodes -= smaller.fleet.nodes / part;
            try_out(smaller, &mut best);
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
    fn what_does_not_matter_is_taken_away() {
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
