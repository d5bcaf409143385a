//! Majority detection: whether this node reaches more than half of the fleet, by its own probes and by known deaths.

use super::probing::Probe;
use super::{Action, Membership};
use crate::peer::{Peer, State};
use crate::record::Name;
use crate::view::Change;

/// Number of recent probe results from which the reachable share of the fleet is estimated.
const MAX_PROBE_RESULTS: usize = 12;
/// Minimum number of results for an estimate.
const MIN_PROBE_RESULTS: u32 = 6;
/// Minimum number of results before a node without a majority can regain it.
const MIN_RESULTS_TO_REGAIN: u32 = 9;

impl Membership {
    /// Stores the result of a probe whose target was chosen by the round.
    pub(super) fn note_probe_result(&mut self, probe: &Probe, reached: bool) {
        if !probe.in_turn {
            return;
        }
        self.probe_results.push_back((probe.target.clone(), reached));
        if self.probe_results.len() > MAX_PROBE_RESULTS {
            self.probe_results.pop_front();
        }
    }

    /// Recomputes whether this node has a majority, and reports a change.
    pub(super) fn update_majority(&mut self, out: &mut Vec<Action>) {
        let majority = self.reaches_majority();
        if majority == self.majority {
            return;
        }
        self.majority = majority;
        self.probe_results.clear();
        self.probe_round.clear();
        out.push(Action::Changed(Change::Majority(majority)));
    }

    /// Estimates whether this node reaches a majority. Its own probes show a loss before deaths are declared.
    fn reaches_majority(&mut self) -> bool {
        let (known, live) = self.member_counts();
        let (probed, reached) = self.count_probe_results();
        if !self.majority {
            // Gossip alone can revive other members here; only a successful probe proves that both directions work.
            return probed >= MIN_RESULTS_TO_REGAIN && 3 * reached >= 2 * probed && 2 * (1 + live) > known;
        }
        let share = if probed < MIN_PROBE_RESULTS { 1.0 } else { f64::from(reached) / f64::from(probed) };
        2.0 * (1.0 + live as f64 * share) > known as f64
    }

    /// Number of expected members including this node, and number of other members that are live.
    fn member_counts(&mut self) -> (usize, usize) {
        let peers = &self.peers;
        *self.member_counts.get_or_insert_with(|| {
            let remaining = peers.values().filter(|peer| !matches!(peer.state, State::Left { .. }));
            remaining.fold((1, 0), |(known, live), peer| (known + 1, live + usize::from(peer.is_live())))
        })
    }

    /// Number of probe results that count, and of those that reached their target.
    fn count_probe_results(&self) -> (u32, u32) {
        // Dead members are missing from the live count already, so probes of them would count twice.
        let counts = |name: &Name| !self.majority || self.peers.get(name).is_some_and(Peer::is_live);
        let results = self.probe_results.iter().filter(|(name, _)| counts(name));
        results.fold((0, 0), |(probed, reached), (_, ok)| (probed + 1, reached + u32::from(*ok)))
    }
}
