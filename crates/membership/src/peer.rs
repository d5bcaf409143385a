//! What this node holds of one member.

use crate::config::{Nanos, Tuning, MS};
use crate::record::{Name, Profile, Record, Status};
use crate::wire::ReplayWindow;

const MIN_CALM: Nanos = 1_000 * MS; // after a first refutation
const MAX_CALM: Nanos = 16_000 * MS;
const FLAP_HALF_LIFE: Nanos = 60_000 * MS; // a refutation counts half as much after this
const MAX_FLAPS: u32 = 5; // beyond which calm grows no further

/// Where a member stands in this node's view.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum State {
    /// It is there.
    Alive,
    /// Accused.
    Suspect {
        /// Since when.
        since: Nanos,
        /// By whom, each once.
        accusers: Vec<Name>,
        /// How often it was asked itself since its time was over, and until when it has to answer the last time.
        final_probe: Option<(u8, Nanos)>,
    },
    /// It did not refute in time.
    Dead {
        /// Since when.
        since: Nanos,
        /// Whether this node heard a majority then. If not, it may be the one that is cut off, and any word that the
        /// member lives holds against it.
        had_majority: bool,
    },
    /// It said that it leaves.
    Left {
        /// Since when.
        since: Nanos,
    },
}

impl State {
    /// As operators read it.
    pub fn name(&self) -> &'static str {
        match self {
            State::Alive => "alive",
            State::Suspect { .. } => "suspect",
            State::Dead { .. } => "dead",
            State::Left { .. } => "left",
        }
    }
}

/// One member.
#[derive(Clone, Debug)]
pub struct Peer {
    /// What it last said of itself.
    pub profile: Profile,
    /// Its greatest number so far.
    pub incarnation: u64,
    /// Its start.
    pub run: u64,
    /// Where it stands.
    pub state: State,
    /// When it was last heard itself.
    pub last_heard: Option<Nanos>,
    /// Which of its datagrams have come.
    pub replay_window: ReplayWindow,
    immune_until: Nanos,
    flaps: u32,
    last_flap: Nanos,
}

impl Peer {
    /// One of which nothing was known.
    pub fn new(profile: Profile, incarnation: u64, run: u64) -> Self {
        Peer {
            profile,
            incarnation,
            run,
            state: State::Alive,
            last_heard: None,
            replay_window: ReplayWindow::default(),
            immune_until: 0,
            flaps: 0,
            last_flap: 0,
        }
    }

    /// Whether it takes part: alive, or accused and not yet dead.
    pub fn is_live(&self) -> bool {
        matches!(self.state, State::Alive | State::Suspect { .. })
    }

    /// As merging weighs it.
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

    /// What is told of it. Of a suspect first that it lives, so that who knew nothing learns where it is.
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

    /// When its time to refute is over, if it is accused. `wanted` further accusers shorten that to the least
    /// (Lifeguard's formula); `slow` counts how much longer this node takes over everything.
    pub fn deadline(&self, tuning: &Tuning, wanted: usize, slow: u64) -> Option<Nanos> {
        let State::Suspect { since, accusers, final_probe } = &self.state else { return None };
        if let Some((_, until)) = final_probe {
            return Some(*until);
        }
        let further = accusers.len().saturating_sub(1) as f64;
        let share = if wanted == 0 { 1.0 } else { (further + 1.0).ln() / (wanted as f64 + 1.0).ln() };
        let (least, most) = (tuning.min_suspicion_time as f64, tuning.max_suspicion_time as f64);
        let time = (most - (most - least) * share).max(least) as Nanos;
        Some(since.saturating_add(time.saturating_mul(slow)))
    }

    /// Whether it has refuted so recently that accusations are not heard.
    pub fn is_immune(&self, now: Nanos) -> bool {
        now < self.immune_until
    }

    /// It has refuted an accusation, or come back from the dead.
    pub fn record_refutation(&mut self, now: Nanos) {
        let faded = now.saturating_sub(self.last_flap) / FLAP_HALF_LIFE;
        self.flaps = self.flaps.saturating_sub(faded.min(u64::from(MAX_FLAPS)) as u32).min(MAX_FLAPS);
        let calm = (MIN_CALM << self.flaps).min(MAX_CALM);
        self.immune_until = now.saturating_add(calm);
        (self.flaps, self.last_flap) = (self.flaps + 1, now);
    }

    /// Moves what is pending by a time in which this node did nothing.
    pub fn postpone_suspicion(&mut self, by: Nanos) {
        if let State::Suspect { since, final_probe, .. } = &mut self.state {
            *since = since.saturating_add(by);
            if let Some((_, until)) = final_probe {
                *until = until.saturating_add(by);
            }
        }
    }
}
