//! The model of discovery: a versioned list of servers that reflects changes with a delay and answers calls one at a
//! time.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, VecDeque};

use serde::Deserialize;

use crate::{millis, Nanos};

/// Delays and limits of discovery.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct DiscoverySpec {
    /// Delay until the list shows a change, in milliseconds.
    pub late_ms: f64,
    /// Delay until the list shows that a server died without deregistering, in milliseconds.
    pub silent_late_ms: f64,
    /// Time that discovery takes to answer one call, in milliseconds.
    pub call_ms: f64,
    /// Time that a call may wait in the queue before it fails, in milliseconds.
    pub timeout_ms: f64,
}

impl Default for DiscoverySpec {
    fn default() -> Self {
        DiscoverySpec { late_ms: 500.0, silent_late_ms: 3_000.0, call_ms: 2.0, timeout_ms: 2_000.0 }
    }
}

/// The status of a server in the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Status {
    /// The server accepts requests.
    InService,
    /// The server finishes its pending requests and accepts no new ones.
    Terminating,
    /// The server has stopped.
    Terminated,
}

/// An entry of the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Entry {
    /// Index of the server.
    pub server: usize,
    /// Its status.
    pub status: Status,
    /// When the server last started; 0 means before the run.
    pub since: Nanos,
    changed: u64, // version of the list that made the last change
}

/// The list or its changes, as the answer to a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Listing {
    /// Version of the list.
    pub index: u64,
    /// Whether the entries are the complete list; otherwise they are those changed since the version that the call named.
    pub snapshot: bool,
    /// The entries.
    pub entries: Vec<Entry>,
}

/// The outcome of a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallOutcome {
    /// Id of the call.
    pub call: u64,
    /// The answer; `None` if the call failed.
    pub listing: Option<Listing>,
}

#[derive(Debug)]
struct Watch {
    after: u64,
    until: Nanos,
}

/// The discovery service, which all nodes share.
#[derive(Debug)]
pub struct Discovery {
    spec: DiscoverySpec,
    index: u64,
    entries: BTreeMap<usize, Entry>,
    due_changes: BinaryHeap<Reverse<(Nanos, u64, usize)>>, // due time, change and server
    unpublished: BTreeMap<u64, Entry>,                     // by change
    last_change: u64,
    queue: VecDeque<(u64, Nanos, Option<u64>)>, // calls to answer, when queued and the version they name
    busy_until: Nanos,
    watches: BTreeMap<u64, Watch>,
    down: bool,
    published: Vec<(Nanos, usize, Status)>,
}

impl Discovery {
    /// Creates a list of the given servers, all in service since before the run.
    pub fn new(spec: DiscoverySpec, servers: impl IntoIterator<Item = usize>) -> Self {
        let entry = |server| (server, Entry { server, status: Status::InService, since: 0, changed: 1 });
        Discovery {
            spec,
            index: 1,
            entries: servers.into_iter().map(entry).collect(),
            due_changes: BinaryHeap::new(),
            unpublished: BTreeMap::new(),
            last_change: 0,
            queue: VecDeque::new(),
            busy_until: 0,
            watches: BTreeMap::new(),
            down: false,
            published: Vec::new(),
        }
    }

    /// Returns the time at which the list published each change, with the server and its new status.
    pub fn published_changes(&self) -> &[(Nanos, usize, Status)] {
        &self.published
    }

    /// Records a change of a server, which the list shows later. `silent` means that the server did not deregister.
    pub fn record_change(&mut self, now: Nanos, server: usize, status: Status, since: Nanos, silent: bool) {
        let delay_ms = if silent { self.spec.silent_late_ms } else { self.spec.late_ms };
        self.last_change += 1;
        self.unpublished.insert(self.last_change, Entry { server, status, since, changed: 0 });
        self.due_changes.push(Reverse((now + millis(delay_ms), self.last_change, server)));
    }

    /// Starts or ends an outage. During an outage every call fails, including open watches. Discovery returns from an
    /// outage restarted: its versions start at 1 and it knows the list but no earlier changes.
    pub fn set_down(&mut self, now: Nanos, down: bool, out: &mut Vec<CallOutcome>) {
        self.advance(now, out);
        if self.down && !down {
            self.index = 1;
            self.entries.values_mut().for_each(|entry| entry.changed = 1);
        }
        self.down = down;
        if down {
            let queued = std::mem::take(&mut self.queue).into_iter().map(|(call, ..)| call);
            let watches = std::mem::take(&mut self.watches).into_keys();
            out.extend(queued.chain(watches).map(|call| CallOutcome { call, listing: None }));
        }
    }

    /// Returns the current list without stopped servers, for a node that starts.
    pub fn full_list(&self) -> Listing {
        let present = self.entries.values().filter(|entry| entry.status != Status::Terminated);
        Listing { index: self.index, snapshot: true, entries: present.copied().collect() }
    }

    /// Makes a call: for the complete list, or a watch that waits up to the given time for changes after a version.
    pub fn call(&mut self, now: Nanos, call: u64, watch: Option<(u64, Nanos)>, out: &mut Vec<CallOutcome>) {
        self.advance(now, out);
        match watch {
            _ if self.down => out.push(CallOutcome { call, listing: None }),
            Some((after, wait)) if after == self.index => {
                self.watches.insert(call, Watch { after, until: now + wait });
            }
            Some((after, _)) => self.queue.push_back((call, now, Some(after))),
            None => self.queue.push_back((call, now, None)),
        }
        self.advance(now, out);
    }

    /// Cancels a call whose caller is gone.
    pub fn cancel_call(&mut self, call: u64) {
        self.watches.remove(&call);
        self.queue.retain(|&(other, ..)| other != call);
    }

    /// Returns when the next event is due if no call changes discovery before.
    pub fn next_due(&self) -> Option<Nanos> {
        let change = self.due_changes.peek().map(|&Reverse((at, ..))| at);
        let answer = self.queue.front().map(|&(_, since, _)| self.busy_until.max(since));
        let watch = self.watches.values().map(|watch| watch.until).min();
        [change, answer, watch].into_iter().flatten().min()
    }

    /// Advances the time; appends the outcomes of calls that end to `out`.
    pub fn advance(&mut self, now: Nanos, out: &mut Vec<CallOutcome>) {
        while let Some(due) = self.next_due().filter(|&due| due <= now) {
            self.publish_due(due);
            let ended: Vec<u64> =
                self.watches.iter().filter(|(_, watch)| watch.until <= due).map(|(&call, _)| call).collect();
            for call in ended {
                if let Some(watch) = self.watches.remove(&call) {
                    self.queue.push_back((call, due, Some(watch.after)));
                }
            }
            if let Some(&(call, since, after)) = self.queue.front() {
                if self.busy_until.max(since) <= due {
                    self.queue.pop_front();
                    let waited = due.saturating_sub(since);
                    let in_time = waited <= millis(self.spec.timeout_ms);
                    if in_time {
                        self.busy_until = due + millis(self.spec.call_ms);
                    }
                    out.push(CallOutcome { call, listing: in_time.then(|| self.listing(after)) });
                }
            }
        }
    }

    /// Publishes the changes that are due, and moves all watches to the queue if there are any.
    fn publish_due(&mut self, now: Nanos) {
        let mut changed = false;
        while let Some(&Reverse((_, number, server))) =
            self.due_changes.peek().filter(|&&Reverse((at, ..))| at <= now)
        {
            self.due_changes.pop();
            if let Some(entry) = self.unpublished.remove(&number) {
                if !changed {
                    self.index += 1;
                    changed = true;
                }
                self.published.push((now, server, entry.status));
                self.entries.insert(server, Entry { changed: self.index, ..entry });
            }
        }
        if changed && !self.down {
            let woken = std::mem::take(&mut self.watches);
            self.queue.extend(woken.into_iter().map(|(call, watch)| (call, now, Some(watch.after))));
        }
    }

    fn listing(&self, after: Option<u64>) -> Listing {
        match after.filter(|&after| after <= self.index) {
            None => self.full_list(),
            Some(after) => {
                let newer = self.entries.values().filter(|entry| entry.changed > after);
                Listing { index: self.index, snapshot: false, entries: newer.copied().collect() }
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::MS;
    use proptest::prelude::*;

    proptest! {
        /// A caller that fetches the list once and then watches it without a gap has the actual list once no change is
        /// pending. Versions never decrease, and each call is answered at most once.
        #[test]
        fn watching_without_a_gap_yields_every_change(
            steps in prop::collection::vec((0usize..4, 0u8..3, 1u64..900, any::<bool>()), 1..40),
            call_ms in 0.0f64..40.0,
        ) {
            let spec = DiscoverySpec { call_ms, timeout_ms: 60_000.0, ..DiscoverySpec::default() };
            let mut discovery = Discovery::new(spec, 0..4);
            let (mut now, mut out, mut call) = (0, Vec::new(), 0);
            let (mut known, mut index) = (BTreeMap::new(), 0);
            discovery.call(now, call, None, &mut out);
            let mut actual = [Status::InService; 4];
            let mut process_answers = |discovery: &mut Discovery, now, out: &mut Vec<CallOutcome>| {
                while let Some(answer) = out.pop() {
                    assert_eq!(answer.call, call, "an answer to a call that was answered already");
                    let listing = answer.listing.expect("nothing fails here");
                    assert!(listing.index >= index, "an older version");
                    index = listing.index;
                    if listing.snapshot { known.clear(); }
                    for entry in listing.entries { known.insert(entry.server, entry.status); }
                    call += 1;
                    discovery.call(now, call, Some((index, 400 * MS)), out);
                    assert!(out.len() <= 1);
                }
                known.clone()
            };
            for (server, status, wait, silent) in steps {
                let status = [Status::InService, Status::Terminating, Status::Terminated][status as usize];
                // All changes use the same delay, so that those of one server are published in the order in which they occur.
                let _ = silent;
                actual[server] = status;
                discovery.record_change(now, server, status, now, false);
                now += wait * MS;
                discovery.advance(now, &mut out);
                process_answers(&mut discovery, now, &mut out);
            }
            let end = now + 3_000 * MS;
            while now < end {
                now += 10 * MS;
                discovery.advance(now, &mut out);
                process_answers(&mut discovery, now, &mut out);
            }
            let known = process_answers(&mut discovery, now, &mut out);
            for (server, status) in actual.into_iter().enumerate() {
                let status_known = known.get(&server).copied().unwrap_or(Status::Terminated);
                prop_assert_eq!(status_known, status, "server {}", server);
            }
        }
    }
}
