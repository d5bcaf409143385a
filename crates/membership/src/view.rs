//! The view of the fleet that other parts of the program read.

use std::collections::BTreeMap;

use crate::config::Nanos;
use crate::peer::{Peer, State};
use crate::record::{Name, Profile};

/// A member as this node sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// Name of the member.
    pub name: Name,
    /// Properties that the member has announced about itself.
    pub profile: Profile,
    /// Highest known incarnation of the member.
    pub incarnation: u64,
    /// `alive`, `suspect`, `dead` or `left`.
    pub state: &'static str,
    /// Nanoseconds since the last datagram from the member itself; `None` if there was none.
    pub silent_for: Option<Nanos>,
}

/// Number of members of one zone by state.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ZoneCounts {
    /// Members that are alive.
    pub alive: usize,
    /// Members that are suspected.
    pub suspect: usize,
    /// Members that are dead.
    pub dead: usize,
    /// Members from which a datagram was received in the last 5 s.
    pub recently_seen: usize,
}

/// Summary of how much of the fleet this node reaches. The summary of another node may differ at any time.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ViewSummary {
    /// Member counts by zone.
    pub zones: BTreeMap<Name, ZoneCounts>,
    /// Number of members that are alive, including this node.
    pub alive: usize,
    /// Number of expected members: all known members except those that have left.
    pub known: usize,
    /// Whether this node reaches more than half of the expected members. A node without a majority must not make
    /// decisions for others.
    pub majority: bool,
}

impl ViewSummary {
    pub(crate) fn from_peers<'a>(
        me: &Profile, peers: impl Iterator<Item = (&'a Name, &'a Peer)>, now: Nanos, window: Nanos,
    ) -> Self {
        let mut summary = ViewSummary { alive: 1, known: 1, ..ViewSummary::default() };
        summary.zones.entry(me.zone.clone()).or_default().alive += 1;
        for (_, peer) in peers {
            if matches!(peer.state, State::Left { .. }) {
                continue;
            }
            let zone = summary.zones.entry(peer.profile.zone.clone()).or_default();
            match peer.state {
                State::Alive => zone.alive += 1,
                State::Suspect { .. } => zone.suspect += 1,
                _ => zone.dead += 1,
            }
            summary.known += 1;
            summary.alive += usize::from(peer.state == State::Alive);
            zone.recently_seen +=
                usize::from(peer.last_seen.is_some_and(|at| now.saturating_sub(at) <= window));
        }
        summary.majority = 2 * summary.alive > summary.known;
        summary
    }
}

/// A change of this node's view.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// The state of a member has changed.
    Member {
        /// Name of the member.
        name: Name,
        /// Previous state; `None` if the member was unknown.
        was: Option<&'static str>,
        /// New state: `alive`, `suspect`, `dead`, `left` or `forgotten`.
        is: &'static str,
    },
    /// Whether this node reaches more than half of the fleet.
    Majority(bool),
    /// Another process with this name and a higher run number is alive, so this process has left the fleet.
    Superseded,
}

/// Counters of the protocol since the start.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Number of datagrams sent.
    pub sent: u64,
    /// Number of bytes sent.
    pub sent_bytes: u64,
    /// Number of datagrams that were accepted.
    pub accepted: u64,
    /// Number of datagrams that were dropped, by reason.
    pub dropped: BTreeMap<crate::wire::DatagramError, u64>,
    /// Number of times that this node accused another.
    pub accusations: u64,
    /// Number of times that this node refuted a record about itself.
    pub refutations: u64,
    /// Number of times that this process was stalled beyond [`STALL_THRESHOLD`](crate::STALL_THRESHOLD).
    pub stalls: u64,
}
