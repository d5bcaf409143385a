//! Whether this node hears more than half of the fleet, by its own probes and by what it holds dead.

use super::probing::Probe;
use super::{Action, Membership};
use crate::peer::{Peer, State};
use crate::record::Name;
use crate::view::Change;

/// Probes by which a node judges how much of the fleet it hears.
const MAX_PROBE_RESULTS: usize = 12;
/// Fewer of them say nothing.
const MIN_PROBE_RESULTS: u32 = 6;
/// Probes that tell a node without a majority that it has one again.
const MIN_RESULTS_TO_REGAIN: u32 = 9;

impl Membership {
    /// Keeps the result of a probe that was drawn in its turn.
    pub(super) fn note_probe_result(&mut self, probe: &Probe, reached: bool) {
        if !probe.in_turn {
            return;
        }
        self.probe_results.push_back((probe.target.clone(), reached));
        if self.probe_results.len() > MAX_PROBE_RESULTS {
            self.probe_results.pop_front();
        }
    }

    /// Looks whether this node has a majority, and tells the rest of the program where that has changed.
    pub(super) fn update_majority(&mut self, out: &mut Vec<Action>) {
        let majority = self.hears_majority();
        if majority == self.majority {
            return;
        }
        self.majority = majority;
        self.probe_results.clear();
        self.probe_round.clear();
        out.push(Action::Changed(Change::Majority(majority)));
    }

    /// How much of the fleet this node hears, as its own probes tell before deaths do.
    fn hears_majority(&mut self) -> bool {
        let (known, live) = self.member_counts();
        let (probed, reached) = self.count_probe_results();
        if !self.majority {
            // Hearsay brings others back to life, but only who is reached both ways can be counted on.
            return probed >= MIN_RESULTS_TO_REGAIN && 3 * reached >= 2 * probed && 2 * (1 + live) > known;
        }
        let share = if probed < MIN_PROBE_RESULTS { 1.0 } else { f64::from(reached) / f64::from(probed) };
        2.0 * (1.0 + live as f64 * share) > known as f64
    }

    /// All members that should be there, this node among them, and the other members that are live.
    fn member_counts(&mut self) -> (usize, usize) {
        let peers = &self.peers;
        *self.member_counts.get_or_insert_with(|| {
            let remaining = peers.values().filter(|peer| !matches!(peer.state, State::Left { .. }));
            remaining.fold((1, 0), |(known, live), peer| (known + 1, live + usize::from(peer.is_live())))
        })
    }

    /// Probes that count, and those of them that reached their target.
    fn count_probe_results(&self) -> (u32, u32) {
        // Deaths are in the count of the living; what a probe says of them would count twice.
        let counts = |name: &Name| !self.majority || self.peers.get(name).is_some_and(Peer::is_live);
        let results = self.probe_results.iter().filter(|(name, _)| counts(name));
        results.fold((0, 0), |(probed, reached), (_, ok)| (probed + 1, reached + u32::from(*ok)))
    }
}
