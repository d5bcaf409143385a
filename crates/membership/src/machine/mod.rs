//! The SWIM state machine: one node's part in the protocol.
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

/// A timer that fires this late tells a node that its process was held up.
pub const STALL_THRESHOLD: Nanos = 100 * MS;
/// Limit of the local health score, by which timeouts are multiplied beside the once.
const MAX_LOCAL_HEALTH: u64 = 8;
/// What a process that was held up adds to its local health score.
const STALL_PENALTY: u64 = 2;
/// Time between sweeps over members that may be forgotten.
const SWEEP_INTERVAL: Nanos = 1_000 * MS;

/// One node's part. See the crate's documentation for an example.
#[derive(Clone, Debug)]
pub struct Membership {
    me: Identity,
    cluster: u64,
    incarnation: u64,
    tuning: Tuning,
    rng: fastrand::Rng,
    lifecycle: Lifecycle,
    peers: BTreeMap<Name, Peer>,

    // Caches, made again after a change of the view.
    live_names: Option<Arc<[Name]>>,
    digest_sums: Option<Vec<u32>>,
    /// All members that should be there, and the live ones among them.
    member_counts: Option<(usize, usize)>,

    /// Members that are still to be probed in this round.
    probe_round: Vec<Name>,
    probe: Option<Probe>,
    next_probe: Nanos,
    /// Suspects that this node probes out of turn.
    checks: VecDeque<Name>,
    /// Probes that this node makes for others.
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

    /// Results of the latest probes in turn, as the majority is estimated from them.
    probe_results: VecDeque<(Name, bool)>,
    majority: bool,
    last_heard: Nanos,
    /// Nobody was heard for so long that this node's own accusations are withheld.
    isolated: bool,
    /// Lifeguard's score: 0 is healthy, and timeouts grow with it.
    local_health: u64,
    /// When the next tick was asked for.
    expected_tick: Option<Nanos>,

    /// Number of the datagram sent last.
    counter: u64,
    /// Theoretical arrival time of the next datagram, by which floods are told (GCRA).
    theoretical_arrival: Nanos,
    /// Claims by another process of this name.
    name_conflicts: u32,
    /// The datagram at hand holds something of this node that it has already refuted.
    sender_missed_refutation: bool,
    counts: Counts,
}

impl Membership {
    /// Begins to look for the others at once. The same seed and events give the same actions.
    pub fn new(me: Identity, tuning: Tuning, seed: u64, now: Nanos) -> Self {
        let mut rng = fastrand::Rng::with_seed(seed);
        // Nodes that start together do not go on in step.
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
            last_heard: now,
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

    /// When it wants to be told that time has passed; none: never again.
    pub fn next_deadline(&self) -> Option<Nanos> {
        match self.lifecycle {
            Lifecycle::Stopped => return None,
            Lifecycle::Leaving { next_round, .. } => return Some(next_round),
            Lifecycle::Active => {}
        }
        let mut due = self.next_digest.min(self.next_rejoin).min(self.next_sweep);
        due = due.min(self.next_probe_step());
        if !self.broadcasts.is_empty() {
            due = due.min(self.next_gossip);
        }
        if !self.digest_replies.is_empty() {
            due = due.min(self.next_digest_reply);
        }
        let deadlines = [self.next_nack(), self.first_suspicion_deadline()];
        Some(deadlines.into_iter().flatten().fold(due, Nanos::min))
    }

    /// Takes note of an event. `now` is monotonic time and never less than before.
    pub fn handle(&mut self, now: Nanos, event: Event, out: &mut Vec<Action>) {
        if self.lifecycle == Lifecycle::Stopped {
            return;
        }
        let late = self.expected_tick.map_or(0, |due| now.saturating_sub(due));
        if late > STALL_THRESHOLD {
            self.resume_after_stall(now, late);
        }
        match event {
            Event::Datagram { from, bytes } => {
                if let Err(fault) = self.receive(now, from, bytes, out) {
                    self.count_dropped(fault);
                }
            }
            Event::Tick => self.tick(now, out),
            Event::Leave => self.leave(now, out),
        }
        self.update_majority(out);
        // What has become due by an event is not late because of the time before it.
        self.expected_tick = self.next_deadline().map(|due| due.max(now));
    }

    /// This process did nothing for that long: what did not come meanwhile says nothing about others.
    fn resume_after_stall(&mut self, now: Nanos, late: Nanos) {
        self.counts.stalls += 1;
        self.raise_local_health(STALL_PENALTY);
        self.probe = None;
        self.indirect_probes.clear();
        self.probe_results.clear();
        self.last_heard = now;
        self.isolated = false;
        self.next_probe = now + self.tuning.probe_interval;
        self.postpone_suspicions(late);
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

    /// Sends what is to be told to a few members, drawn.
    fn gossip(&mut self, now: Nanos, out: &mut Vec<Action>) {
        self.next_gossip = now + self.tuning.gossip_interval;
        for name in self.sample_live(self.tuning.fan_out) {
            self.send_to(&name, Body::Gossip, &[], out);
        }
    }

    fn count_dropped(&mut self, fault: DatagramError) {
        *self.counts.dropped.entry(fault).or_default() += 1;
    }

    /// Notes a sign that this node itself is slow.
    fn raise_local_health(&mut self, by: u64) {
        self.local_health = (self.local_health + by).min(MAX_LOCAL_HEALTH);
    }

    /// By how much this node's timeouts are longer at present.
    fn health_multiplier(&self) -> u64 {
        1 + self.local_health
    }

    /// Drops what was derived from the view.
    fn invalidate_caches(&mut self) {
        self.live_names = None;
        self.digest_sums = None;
        self.member_counts = None;
    }
}
