//! What nodes were told of servers, and what counts as told although nobody heard it.

use std::collections::BTreeMap;

use crate::discovery::Status;
use crate::Nanos;

/// That a node was told of a server.
#[derive(Clone, Copy, Debug)]
pub struct Notification {
    /// The node.
    pub node: usize,
    /// The server.
    pub server: usize,
    /// What it was told.
    pub status: Status,
    /// When.
    pub at: Nanos,
}

/// A time in which discovery could not be reached.
#[derive(Clone, Copy, Debug)]
pub struct Outage {
    /// When it began.
    pub from: Nanos,
    /// When discovery was back; none: not yet.
    pub until: Option<Nanos>,
}

/// Adds what counts as told although nobody heard it: what the list showed and a node did not learn within
/// `latest` of the moment from which discovery had it and could be reached.
pub fn add_implied_notifications(
    told: &mut Vec<Notification>, shown: &[(Nanos, usize, Status)], nodes: usize, latest: Nanos,
    outages: &[Outage],
) {
    let mut heard: BTreeMap<(usize, usize), Vec<Nanos>> = BTreeMap::new();
    for one in told.iter() {
        heard.entry((one.node, one.server)).or_default().push(one.at);
    }
    for &(at, server, status) in shown {
        let Some(reachable) = reachable_from(at, latest, outages) else { continue };
        let counts = reachable + latest;
        for node in 0..nodes {
            let times = heard.get(&(node, server)).map_or(&[][..], Vec::as_slice);
            if !times.iter().any(|time| (at..=counts).contains(time)) {
                told.push(Notification { node, server, status, at: counts });
            }
        }
    }
}

/// From when what is shown at this time could be heard for so long without an outage; none: not yet.
fn reachable_from(at: Nanos, latest: Nanos, outages: &[Outage]) -> Option<Nanos> {
    let mut from = at;
    for outage in outages {
        let overlaps = outage.from < from + latest && outage.until.is_none_or(|until| until > from);
        if overlaps {
            from = outage.until?;
        }
    }
    Some(from)
}
