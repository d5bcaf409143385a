//! A smaller schedule that breaks the same law.

use crate::spec::Trial;

const TRIES_MOST: usize = 200;

/// Takes away faults, then halves their length, then nodes, for as long as `breaks` says that the law still breaks.
/// The result breaks it too; it is the trial itself if nothing can go.
pub fn shrink(trial: &Trial, mut breaks: impl FnMut(&Trial) -> bool) -> Trial {
    let mut best = trial.clone();
    let mut tries = 0;
    let mut try_out = |smaller: Trial, best: &mut Trial| {
        tries += 1;
        let better = tries <= TRIES_MOST && smaller != *best && smaller.check().is_ok() && breaks(&smaller);
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
            smaller.faults[at].lasts = smaller.faults[at].lasts.map(|lasts| (lasts / 2.0).ceil());
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
    use crate::spec::What;

    #[test]
    fn what_does_not_matter_is_taken_away() {
        let text = "question = \"q\"\nseconds = 100.0\n[fleet]\nnodes = 40\nzones = [\"a\"]\n".to_owned();
        let fault =
            |kind| format!("[[fault]]\nat = 5.0\nlasts = 32.0\nkind = \"{kind}\"\nwho = \"node:1\"\n");
        let trial = Trial::parse(&(text + &fault("kill") + &fault("pause") + &fault("kill"))).unwrap();
        let pauses = |trial: &Trial| {
            let long = |fault: &crate::spec::Fault| fault.lasts.is_some_and(|lasts| lasts >= 3.0);
            trial.fleet.nodes > 6
                && trial.faults.iter().any(|f| matches!(f.what, What::Pause { .. }) && long(f))
        };
        let small = shrink(&trial, pauses);
        assert!(pauses(&small));
        assert_eq!((small.faults.len(), small.faults[0].lasts, small.fleet.nodes), (1, Some(4.0), 8));
    }
}
