//! The SWIM state machine: the protocol of one node.
//!
//! [`Membership`] takes events and appends actions. Each submodule implements one part of the protocol on it.

mod anti_entropy;
mod event;
mod indirect;
mod joining;
mod majority;
mod merging;
mod probing;
mod queries;
mod receiving;
mod sending;
mod suspicion;

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

use crate::broadcast::BroadcastQueue;
use crate::config::{Identity, Nanos, Tuning, MS};
use crate::peer::Peer;
use crate::record::Name;
use crate::view::Counts;
use crate::wire::{Body, DatagramError};

pub use event::{Action, Event};

use anti_entropy::DigestReply;
use indirect::IndirectProbe;
use joining::{Lifecycle, MIN_REJOIN_WAIT};
use probing::Probe;

/// Lateness of a timer from which the process counts as stalled.
pub const STALL_THRESHOLD: Nanos = 100 * MS;
/// Maximum of the local health score. Timeouts are multiplied by the score plus one.
const MAX_LOCAL_HEALTH: u64 = 8;
/// Amount by which a stall raises the local health score.
const STALL_PENALTY: u64 = 2;
/// Time between sweeps that forget members.
const SWEEP_INTERVAL: Nanos = 1_000 * MS;

/// The membership protocol of one node. The crate documentation has an example.
#[derive(Clone, Debug)]
pub struct Membership {
    me: Identity,
    cluster: u64,
    incarnation: u64,
    tuning: Tuning,
    rng: fastrand::Rng,
    lifecycle: Lifecycle,
    peers: BTreeMap<Name, Peer>,

    // Caches, which are recomputed after a change of the view.
    live_names: Option<Arc<[Name]>>,
    digest_sums: Option<Vec<u32>>,
    /// Number of expected members, and number of other members that are live.
    member_counts: Option<(usize, usize)>,

    /// Members that are still to be probed in this round.
    probe_round: Vec<Name>,
    probe: Option<Probe>,
    next_probe: Nanos,
    /// Suspects that this node probes ahead of the round.
    checks: VecDeque<Name>,
    /// Probes that this node makes on behalf of others.
    indirect_probes: VecDeque<IndirectProbe>,
    last_probe_number: u64,
    suspects: BTreeSet<Name>,

    broadcasts: BroadcastQueue,
    next_gossip: Nanos,
    next_digest: Nanos,
    digest_replies: VecDeque<DigestReply>,
    next_digest_reply: Nanos,
    next_rejoin: Nanos,
    rejoin_wait: Nanos,
    next_sweep: Nanos,

    /// Results of the latest probes of the round, from which the majority is estimated.
    probe_results: VecDeque<(Name, bool)>,
    majority: bool,
    last_received: Nanos,
    /// Whether no datagram was received for so long that this node does not spread accusations of its own.
    isolated: bool,
    /// Lifeguard's local health score: 0 is healthy; timeouts grow with it.
    local_health: u64,
    /// Time for which the next tick was requested.
    expected_tick: Option<Nanos>,

    /// Sequence number of the last datagram sent.
    counter: u64,
    /// Theoretical arrival time of the next datagram, by which the rate is limited (GCRA).
    theoretical_arrival: Nanos,
    /// Number of times that another process has claimed this node's name.
    name_conflicts: u32,
    /// The current datagram contains a record about this node that it has already refuted.
    sender_missed_refutation: bool,
    counts: Counts,
}

impl Membership {
    /// Creates a node that starts to join at once. The same seed and events produce the same actions.
    pub fn new(me: Identity, tuning: Tuning, seed: u64, now: Nanos) -> Self {
        let mut rng = fastrand::Rng::with_seed(seed);
        // Random offsets keep nodes that start together from acting in lockstep.
        let next_probe = now + rng.u64(0..=tuning.probe_interval);
        let next_digest = now + rng.u64(0..=tuning.digest_interval);
        Membership {
            cluster: me.cluster_number(),
            me,
            incarnation: 1,
            tuning,
            rng,
            lifecycle: Lifecycle::Active,
            peers: BTreeMap::new(),
            live_names: None,
            digest_sums: None,
            member_counts: None,
            probe_round: Vec::new(),
            probe: None,
            next_probe,
            checks: VecDeque::new(),
            indirect_probes: VecDeque::new(),
            last_probe_number: 0,
            suspects: BTreeSet::new(),
            broadcasts: BroadcastQueue::default(),
            next_gossip: now,
            next_digest,
            digest_replies: VecDeque::new(),
            next_digest_reply: now,
            next_rejoin: now,
            rejoin_wait: MIN_REJOIN_WAIT,
            next_sweep: now + SWEEP_INTERVAL,
            probe_results: VecDeque::new(),
            majority: true,
            last_received: now,
            isolated: false,
            local_health: 0,
            expected_tick: Some(now),
            counter: 0,
            theoretical_arrival: now,
            name_conflicts: 0,
            sender_missed_refutation: false,
            counts: Counts::default(),
        }
    }

    /// Time at which the caller has to pass the next [`Event::Tick`]; `None` if the process has stopped.
    pub fn next_deadline(&self) -> Option<Nanos> {
        match self.lifecycle {
            Lifecycle::Stopped => return None,
            Lifecycle::Leaving { next_round, .. } => return Some(next_round),
            Lifecycle::Active => {}
        }
        let mut deadline = self.next_digest.min(self.next_rejoin).min(self.next_sweep);
        deadline = deadline.min(self.next_probe_step());
        if !self.broadcasts.is_empty() {
            deadline = deadline.min(self.next_gossip);
        }
        if !self.digest_replies.is_empty() {
            deadline = deadline.min(self.next_digest_reply);
        }
        let deadlines = [self.next_nack(), self.first_suspicion_deadline()];
        Some(deadlines.into_iter().flatten().fold(deadline, Nanos::min))
    }

    /// Processes an event and appends the resulting actions. `now` is monotonic time and must not decrease.
    pub fn handle(&mut self, now: Nanos, event: Event, out: &mut Vec<Action>) {
        if self.lifecycle == Lifecycle::Stopped {
            return;
        }
        let lateness = self.expected_tick.map_or(0, |expected| now.saturating_sub(expected));
        if lateness > STALL_THRESHOLD {
            self.resume_after_stall(now, lateness);
        }
        match event {
            Event::Datagram { from, bytes } => {
                if let Err(error) = self.receive(now, from, bytes, out) {
                    self.count_dropped(error);
                }
            }
            Event::Tick => self.tick(now, out),
            Event::Leave => self.leave(now, out),
        }
        self.update_majority(out);
        // A deadline that an event has moved into the past does not count as lateness.
        self.expected_tick = self.next_deadline().map(|deadline| deadline.max(now));
    }

    /// Recovers from a stall of this process: answers that are missing for that time say nothing about other members.
    fn resume_after_stall(&mut self, now: Nanos, lateness: Nanos) {
        self.counts.stalls += 1;
        self.raise_local_health(STALL_PENALTY);
        self.probe = None;
        self.indirect_probes.clear();
        self.probe_results.clear();
        self.last_received = now;
        self.isolated = false;
        self.next_probe = now + self.tuning.probe_interval;
        self.postpone_suspicions(lateness);
    }

    fn tick(&mut self, now: Nanos, out: &mut Vec<Action>) {
        if let Lifecycle::Leaving { next_round, .. } = self.lifecycle {
            if next_round <= now {
                self.announce_leave(now, out);
            }
            return;
        }
        self.expire_suspicions(now, out);
        self.advance_probe(now, out);
        self.send_nacks(now, out);
        if !self.broadcasts.is_empty() && self.next_gossip <= now {
            self.gossip(now, out);
        }
        if !self.digest_replies.is_empty() && self.next_digest_reply <= now {
            self.send_digest_replies(now, out);
        }
        if self.next_digest <= now {
            self.send_digest(now, out);
        }
        if self.next_rejoin <= now {
            self.rejoin(now, out);
        }
        if self.next_sweep <= now {
            self.next_sweep = now + SWEEP_INTERVAL;
            self.forget_expired(now, out);
        }
    }

    /// Sends pending broadcasts to a few random members.
    fn gossip(&mut self, now: Nanos, out: &mut Vec<Action>) {
        self.next_gossip = now + self.tuning.gossip_interval;
        for name in self.sample_live(self.tuning.fan_out) {
            self.send_to(&name, Body::Gossip, &[], out);
        }
    }

    fn count_dropped(&mut self, error: DatagramError) {
        *self.counts.dropped.entry(error).or_default() += 1;
    }

    /// Raises the local health score after a sign that this node itself is slow.
    fn raise_local_health(&mut self, by: u64) {
        self.local_health = (self.local_health + by).min(MAX_LOCAL_HEALTH);
    }

    /// Factor by which this node's timeouts are currently extended.
    fn health_multiplier(&self) -> u64 {
        1 + self.local_health
    }

    /// Clears the caches that are derived from the view.
    fn invalidate_caches(&mut self) {
        self.live_names = None;
        self.digest_sums = None;
        self.member_counts = None;
    }
}
