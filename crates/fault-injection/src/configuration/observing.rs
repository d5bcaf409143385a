//! Observes the fleet from outside: when and where revisions are in force, and what the nodes report about each
//! other.

use merlinfold_distribution::{Distribution, RevisionId};
use merlinfold_simulation::{Nanos, SECOND};
use rand::Rng;

use super::node::{node_number, Node};
use super::simulator::{QueuedEvent, RunOutcome, Simulator};

const OBSERVATION_INTERVAL: Nanos = 2 * SECOND; // interval at which a few observers' overviews are checked
const OBSERVERS: usize = 3;
const OTHER_TRAFFIC_BYTES_S: f64 = 1_102.0; // membership and log, measured at 300 and 100 nodes

impl Simulator<'_> {
    /// Records how long after its confirmation a revision came into force, if the node was healthy since.
    pub fn record_apply_latency(&mut self, node: usize, id: RevisionId) {
        let before = self.nodes[node].in_force();
        let newly = self.publishing.confirmed.range(..=id).filter(|(earlier, _)| Some(**earlier) > before);
        let newly: Vec<(RevisionId, Nanos)> = newly.map(|(id, at)| (*id, *at)).collect();
        for (id, at) in newly {
            if self.nodes[node].is_healthy_since(at) {
                let took = self.now - at;
                self.outcome.apply_latencies.push(took);
                let slowest = self.slowest.entry(id).or_default();
                *slowest = took.max(*slowest);
            }
        }
    }

    /// Checks the overviews of a few random observers.
    pub fn observe(&mut self) {
        for _ in 0..OBSERVERS {
            let observer = self.stream.random_range(0..self.nodes.len());
            let Some(machine) = &self.nodes[observer].machine else { continue };
            let overview = machine.overview(self.now);
            let others = machine.peers().iter().filter(|peer| peer.alive);
            let live: Vec<_> = others
                .map(|peer| (node_number(peer.address), machine.reported_revision(self.now, &peer.name)))
                .collect();
            if self.now > 60 * SECOND {
                self.observed_members.0 += overview.live;
                self.observed_members.1 += overview.unknown.count;
            }
            self.checker.overview(self.now, observer, &overview, &live);
        }
        self.push(self.now + OBSERVATION_INTERVAL, QueuedEvent::Observe);
    }

    /// Checks that everything confirmed at `since` is in force at `node`, or at all nodes without one, as far as the
    /// nodes and a majority of the voters were healthy since.
    pub fn check(&mut self, node: Option<usize>, since: Nanos) {
        let latest =
            self.publishing.confirmed.iter().filter(|(_, at)| **at <= since).map(|(id, _)| *id).max();
        let voters = self.nodes[..self.scenario.voters].iter();
        let healthy_voters = voters.filter(|voter| voter.is_healthy_since(since)).count();
        let Some(latest) = latest.filter(|_| 2 * healthy_voters > self.scenario.voters) else { return };
        if self.publishing.is_lost(latest) {
            return;
        }
        let nodes = node.map_or(0..self.nodes.len(), |node| node..node + 1);
        for node in nodes {
            let node_state = &self.nodes[node];
            if !node_state.is_healthy_since(since) || node_state.in_force() >= Some(latest) {
                continue;
            }
            let Some(machine) = &node_state.machine else { continue };
            let refused = machine.overview(self.now).refused_here;
            if refused.is_some_and(|(id, _)| id >= latest) {
                continue;
            }
            let summary = machine.debug_summary();
            self.checker.missing_after_timeout(self.now, node, latest, &summary);
        }
    }

    /// Makes the final checks and returns the outcome.
    pub fn finish(mut self, end: Nanos) -> RunOutcome {
        let now = self.now;
        let latest = self.publishing.confirmed.keys().max().copied();
        let in_force = self.nodes.iter().filter_map(Node::in_force).max();
        if let Some(latest) = latest.filter(|latest| !self.publishing.is_lost(*latest)) {
            if in_force < Some(latest) {
                self.checker.content_lost(now, latest);
            }
        }
        let seconds = end as f64 / SECOND as f64;
        let sent = |node: &Node| node.sent + node.machine.as_ref().map_or(0, Distribution::sent_bytes);
        let all: u64 = self.nodes.iter().map(sent).sum();
        self.outcome.bytes_s = all as f64 / self.nodes.len() as f64 / seconds;
        let voters = self.nodes[..self.scenario.voters].iter().map(sent).max().unwrap_or_default();
        self.outcome.voter_bytes_s = voters as f64 / seconds;
        if self.scenario.kind.is_average_day() {
            self.checker.check_bandwidth(now, self.outcome.bytes_s + OTHER_TRAFFIC_BYTES_S);
        }
        self.outcome.unknown_share = self.observed_members.1 as f64 / self.observed_members.0.max(1) as f64;
        self.outcome.confirmed = self.publishing.confirmed.len();
        self.outcome.slowest_apply_latencies = self.slowest.into_values().collect();
        self.outcome.violations = self.checker.violations;
        self.outcome
    }
}
