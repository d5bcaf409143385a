//! What the rest of the program is told.

use std::collections::BTreeMap;

use crate::config::Nanos;
use crate::peer::{Peer, State};
use crate::record::{Name, Profile};

/// A member as others see it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// Its name.
    pub name: Name,
    /// What it says of itself.
    pub profile: Profile,
    /// Its number.
    pub incarnation: u64,
    /// `alive`, `suspect`, `dead` or `left`.
    pub state: &'static str,
    /// Nanoseconds since it was last heard itself; none: never.
    pub silent_for: Option<Nanos>,
}

/// One zone in the view.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ZoneCounts {
    /// Members that are alive.
    pub alive: usize,
    /// Members that are accused.
    pub suspect: usize,
    /// Members that are dead.
    pub dead: usize,
    /// Members heard themselves in the last 5 s.
    pub recently_heard: usize,
}

/// How much of the fleet this node hears. Another node's may differ at any time.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ViewSummary {
    /// By zone.
    pub zones: BTreeMap<Name, ZoneCounts>,
    /// Members that are there, this node among them.
    pub alive: usize,
    /// All that should be: those that left are not counted.
    pub known: usize,
    /// Whether more than half of all that should be are there. Without it nobody may decide for others.
    pub majority: bool,
}

impl ViewSummary {
    pub(crate) fn of<'a>(
        me: &Profile, peers: impl Iterator<Item = (&'a Name, &'a Peer)>, now: Nanos, window: Nanos,
    ) -> Self {
        let mut of = ViewSummary { alive: 1, known: 1, ..ViewSummary::default() };
        of.zones.entry(me.zone.clone()).or_default().alive += 1;
        for (_, peer) in peers {
            if matches!(peer.state, State::Left { .. }) {
                continue;
            }
            let zone = of.zones.entry(peer.profile.zone.clone()).or_default();
            match peer.state {
                State::Alive => zone.alive += 1,
                State::Suspect { .. } => zone.suspect += 1,
                _ => zone.dead += 1,
            }
            of.known += 1;
            of.alive += usize::from(peer.state == State::Alive);
            zone.recently_heard +=
                usize::from(peer.last_heard.is_some_and(|at| now.saturating_sub(at) <= window));
        }
        of.majority = 2 * of.alive > of.known;
        of
    }
}

/// Something that changed in this node's view.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// A member now stands there: `alive`, `suspect`, `dead`, `left` or `forgotten`.
    Member {
        /// Who.
        name: Name,
        /// Where it stood; none: nothing was known of it.
        was: Option<&'static str>,
        /// Where it stands.
        is: &'static str,
    },
    /// Whether this node hears more than half of the fleet.
    Majority(bool),
    /// Another process has this name and keeps it: this one is out of the fleet.
    Superseded,
}

/// What has been sent and heard since the start.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Datagrams sent.
    pub sent: u64,
    /// Their bytes.
    pub sent_bytes: u64,
    /// Datagrams that had an effect.
    pub accepted: u64,
    /// Datagrams that had none, by reason.
    pub dropped: BTreeMap<crate::wire::DatagramError, u64>,
    /// Times that this node accused another.
    pub accusations: u64,
    /// Times that this node contradicted what was told of it.
    pub refutations: u64,
    /// Times that this node found itself held up.
    pub stalls: u64,
}
