//! The state that this node stores for each other member.

use crate::config::{Nanos, Tuning, MS};
use crate::record::{Name, Profile, Record, Status};
use crate::wire::ReplayWindow;

const MIN_IMMUNITY: Nanos = 1_000 * MS; // against accusations, after a first refutation
const MAX_IMMUNITY: Nanos = 16_000 * MS;
const FLAP_DECAY_INTERVAL: Nanos = 60_000 * MS; // one flap is removed from the count in this time
const MAX_FLAPS: u32 = 5; // maximum count that extends the immunity

/// State of a member in this node's view.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum State {
    /// The member is alive.
    Alive,
    /// The member is suspected.
    Suspect {
        /// Time at which the suspicion began.
        since: Nanos,
        /// Names of the accusers, without duplicates.
        accusers: Vec<Name>,
        /// Number of final probes sent after the suspicion expired, and the time at which the latest one expires.
        final_probe: Option<(u8, Nanos)>,
    },
    /// The member did not refute the suspicion in time.
    Dead {
        /// Time at which the member was declared dead.
        since: Nanos,
        /// Whether this node had a majority at that time. Without one, this node may be the one that is cut off, so any
        /// record that the member is alive overrides the death.
        had_majority: bool,
    },
    /// The member has announced that it leaves.
    Left {
        /// Time at which this node learned of it.
        since: Nanos,
    },
}

impl State {
    /// Name of the state as operators see it.
    pub fn name(&self) -> &'static str {
        match self {
            State::Alive => "alive",
            State::Suspect { .. } => "suspect",
            State::Dead { .. } => "dead",
            State::Left { .. } => "left",
        }
    }
}

/// Another member of the fleet.
#[derive(Clone, Debug)]
pub struct Peer {
    /// Properties that the member last announced about itself.
    pub profile: Profile,
    /// Highest known incarnation.
    pub incarnation: u64,
    /// Run number of its process.
    pub run: u64,
    /// State in this node's view.
    pub state: State,
    /// Time of the last datagram from the member itself.
    pub last_seen: Option<Nanos>,
    /// Detects datagrams of the member that have been received before.
    pub replay_window: ReplayWindow,
    immune_until: Nanos,
    flaps: u32,
    last_flap: Nanos,
}

impl Peer {
    /// Returns a live member that was unknown before.
    pub fn new(profile: Profile, incarnation: u64, run: u64) -> Self {
        Peer {
            profile,
            incarnation,
            run,
            state: State::Alive,
            last_seen: None,
            replay_window: ReplayWindow::default(),
            immune_until: 0,
            flaps: 0,
            last_flap: 0,
        }
    }

    /// Whether the member takes part: it is alive, or suspected but not yet dead.
    pub fn is_live(&self) -> bool {
        matches!(self.state, State::Alive | State::Suspect { .. })
    }

    /// Sort key for merging, comparable with [`Record::precedence`]. A death that was declared without a majority ranks
    /// as low as a live member and yields to any run of the same incarnation.
    pub fn precedence(&self) -> (u64, u8, u64) {
        let rank = match self.state {
            State::Alive => 0,
            State::Suspect { .. } => 1,
            State::Dead { had_majority: false, .. } => return (self.incarnation, 0, 0),
            State::Dead { .. } => 2,
            State::Left { .. } => 3,
        };
        (self.incarnation, rank, self.run)
    }

    /// The records that describe this member. For a suspect, a record that it is alive comes first, so that a receiver
    /// that does not know the member learns its address.
    pub fn records(&self, name: &Name, me: &Name) -> Vec<Record> {
        let record =
            |status| Record { name: name.clone(), incarnation: self.incarnation, run: self.run, status };
        match &self.state {
            State::Alive => vec![record(Status::Alive(self.profile.clone()))],
            State::Suspect { accusers, .. } => {
                let by = accusers.first().unwrap_or(me).clone();
                vec![record(Status::Alive(self.profile.clone())), record(Status::Suspect { by })]
            }
            State::Dead { .. } => vec![record(Status::Dead)],
            State::Left { .. } => vec![record(Status::Left)],
        }
    }

    /// Time at which the suspicion expires, or `None` if the member is not suspected. The time shrinks from the maximum
    /// to the minimum as up to `wanted` further accusers confirm the suspicion (Lifeguard's formula). `multiplier`
    /// extends the time while this node itself is slow.
    pub fn deadline(&self, tuning: &Tuning, wanted: usize, multiplier: u64) -> Option<Nanos> {
        let State::Suspect { since, accusers, final_probe } = &self.state else { return None };
        if let Some((_, until)) = final_probe {
            return Some(*until);
        }
        let confirmations = accusers.len().saturating_sub(1) as f64;
        let share = if wanted == 0 { 1.0 } else { (confirmations + 1.0).ln() / (wanted as f64 + 1.0).ln() };
        let (min, max) = (tuning.min_suspicion_time as f64, tuning.max_suspicion_time as f64);
        let time = (max - (max - min) * share).max(min) as Nanos;
        Some(since.saturating_add(time.saturating_mul(multiplier)))
    }

    /// Whether the member has refuted an accusation so recently that further accusations are ignored.
    pub fn is_immune(&self, now: Nanos) -> bool {
        now < self.immune_until
    }

    /// Notes that the member has refuted an accusation or has come back to life, and makes it immune to accusations for
    /// a time that grows with the number of recent refutations.
    pub fn record_refutation(&mut self, now: Nanos) {
        let expired_flaps = now.saturating_sub(self.last_flap) / FLAP_DECAY_INTERVAL;
        self.flaps = self.flaps.saturating_sub(expired_flaps.min(u64::from(MAX_FLAPS)) as u32).min(MAX_FLAPS);
        let immunity = (MIN_IMMUNITY << self.flaps).min(MAX_IMMUNITY);
        self.immune_until = now.saturating_add(immunity);
        (self.flaps, self.last_flap) = (self.flaps + 1, now);
    }

    /// Extends a pending suspicion by a time in which this node was stalled.
    pub fn postpone_suspicion(&mut self, by: Nanos) {
        if let State::Suspect { since, final_probe, .. } = &mut self.state {
            *since = since.saturating_add(by);
            if let Some((_, until)) = final_probe {
                *until = until.saturating_add(by);
            }
        }
    }
}
