//! Status changes of servers that nodes learned from discovery, and those that they should have learned.

use std::collections::BTreeMap;

use crate::discovery::Status;
use crate::Nanos;

/// A node's learning of a server's status.
#[derive(Clone, Copy, Debug)]
pub struct Notification {
    /// Index of the node.
    pub node: usize,
    /// Index of the server.
    pub server: usize,
    /// The status that the node learned.
    pub status: Status,
    /// When the node learned it.
    pub at: Nanos,
}

/// A period in which discovery could not be reached.
#[derive(Clone, Copy, Debug)]
pub struct Outage {
    /// Start of the outage.
    pub from: Nanos,
    /// End of the outage; `None` while it lasts.
    pub until: Option<Nanos>,
}

/// Adds a notification for each published change that a node did not receive within `max_delay`, counted from the time
/// at which discovery published the change and could be reached. The node is held to such a change as if it had
/// received it at the end of that delay.
pub fn add_implied_notifications(
    notifications: &mut Vec<Notification>, published: &[(Nanos, usize, Status)], nodes: usize,
    max_delay: Nanos, outages: &[Outage],
) {
    let mut received: BTreeMap<(usize, usize), Vec<Nanos>> = BTreeMap::new();
    for notification in notifications.iter() {
        received.entry((notification.node, notification.server)).or_default().push(notification.at);
    }
    for &(at, server, status) in published {
        let Some(reachable) = reachable_from(at, max_delay, outages) else { continue };
        let deadline = reachable + max_delay;
        for node in 0..nodes {
            let times = received.get(&(node, server)).map_or(&[][..], Vec::as_slice);
            if !times.iter().any(|time| (at..=deadline).contains(time)) {
                notifications.push(Notification { node, server, status, at: deadline });
            }
        }
    }
}

/// Returns the earliest time, not before `at`, from which discovery is reachable for `duration` without an outage;
/// `None` if an outage that has not ended prevents it.
fn reachable_from(at: Nanos, duration: Nanos, outages: &[Outage]) -> Option<Nanos> {
    let mut from = at;
    for outage in outages {
        let overlaps = outage.from < from + duration && outage.until.is_none_or(|until| until > from);
        if overlaps {
            from = outage.until?;
        }
    }
    Some(from)
}
