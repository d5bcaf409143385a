//! Looks at a fleet from outside: what is in force when and where, and what its nodes count.

use merlinfold_distribution::{Distribution, RevisionId};
use merlinfold_simulation::{Nanos, SECOND};
use rand::Rng;

use super::node::{number, Node};
use super::player::{Ev, Played, Player};

const LOOK_EVERY: Nanos = 2 * SECOND; // at what some observers count
const OBSERVERS: usize = 3;
const BYTES_OF_OTHERS_S: f64 = 1_102.0; // membership and log, measured at 300 and 100 nodes

impl Player<'_> {
    /// A revision came into force: how long after its confirmation, where nothing was wrong with the node since.
    pub fn time(&mut self, node: usize, id: RevisionId) {
        let before = self.nodes[node].in_force();
        let newly = self.publishing.confirmed.range(..=id).filter(|(earlier, _)| Some(**earlier) > before);
        let newly: Vec<(RevisionId, Nanos)> = newly.map(|(id, at)| (*id, *at)).collect();
        for (id, at) in newly {
            if self.nodes[node].is_untroubled_since(at) {
                let took = self.now - at;
                self.played.times.push(took);
                let slowest = self.slowest.entry(id).or_default();
                *slowest = took.max(*slowest);
            }
        }
    }

    /// What some observers count.
    pub fn look(&mut self) {
        for _ in 0..OBSERVERS {
            let observer = self.stream.random_range(0..self.nodes.len());
            let Some(machine) = &self.nodes[observer].machine else { continue };
            let overview = machine.overview(self.now);
            let others = machine.peers().iter().filter(|peer| peer.alive);
            let live: Vec<_> = others
                .map(|peer| (number(peer.address), machine.reported_revision(self.now, &peer.name)))
                .collect();
            if self.now > 60 * SECOND {
                self.looks.0 += overview.live;
                self.looks.1 += overview.unknown.count;
            }
            self.watch.overview(self.now, observer, &overview, &live);
        }
        self.push(self.now + LOOK_EVERY, Ev::Look);
    }

    /// Whether what was confirmed by then is in force at a node, or at all, where nothing was wrong since.
    pub fn check(&mut self, node: Option<usize>, since: Nanos) {
        let latest =
            self.publishing.confirmed.iter().filter(|(_, at)| **at <= since).map(|(id, _)| *id).max();
        let voters = self.nodes[..self.world.voters].iter();
        let standing = voters.filter(|voter| voter.is_untroubled_since(since)).count();
        let Some(latest) = latest.filter(|_| 2 * standing > self.world.voters) else { return };
        if self.publishing.is_lost(latest) {
            return;
        }
        let nodes = node.map_or(0..self.nodes.len(), |node| node..node + 1);
        for node in nodes {
            let of = &self.nodes[node];
            if !of.is_untroubled_since(since) || of.in_force() >= Some(latest) {
                continue;
            }
            let Some(machine) = &of.machine else { continue };
            let refused = machine.overview(self.now).refused_here;
            if refused.is_some_and(|(id, _)| id >= latest) {
                continue;
            }
            let inside = machine.debug_summary();
            self.watch.late(self.now, node, latest, &inside);
        }
    }

    pub fn finish(mut self, end: Nanos) -> Played {
        let now = self.now;
        let latest = self.publishing.confirmed.keys().max().copied();
        let in_force = self.nodes.iter().filter_map(Node::in_force).max();
        if let Some(latest) = latest.filter(|latest| !self.publishing.is_lost(*latest)) {
            if in_force < Some(latest) {
                self.watch.lost(now, latest);
            }
        }
        let seconds = end as f64 / SECOND as f64;
        let sent = |node: &Node| node.sent + node.machine.as_ref().map_or(0, Distribution::sent_bytes);
        let all: u64 = self.nodes.iter().map(sent).sum();
        self.played.bytes_s = all as f64 / self.nodes.len() as f64 / seconds;
        let voters = self.nodes[..self.world.voters].iter().map(sent).max().unwrap_or_default();
        self.played.voter_bytes_s = voters as f64 / seconds;
        if self.world.kind.is_mean_day() {
            self.watch.control(now, self.played.bytes_s + BYTES_OF_OTHERS_S);
        }
        self.played.unknown = self.looks.1 as f64 / self.looks.0.max(1) as f64;
        self.played.confirmed = self.publishing.confirmed.len();
        self.played.to_all = self.slowest.into_values().collect();
        self.played.breaches = self.watch.breaches;
        self.played
    }
}
