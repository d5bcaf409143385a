//! Discovery: a versioned list of servers that learns late what happens, and answers calls one after another.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, VecDeque};

use serde::Deserialize;

use crate::{millis, Nanos};

/// How good it is.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct DiscoverySpec {
    /// Time after which a change shows in the list, in milliseconds.
    pub late_ms: f64,
    /// The same for a server that died without a word.
    pub silent_late_ms: f64,
    /// Time that one call takes it, in milliseconds.
    pub call_ms: f64,
    /// Time that a call waits for its turn before it fails, in milliseconds.
    pub timeout_ms: f64,
}

impl Default for DiscoverySpec {
    fn default() -> Self {
        DiscoverySpec { late_ms: 500.0, silent_late_ms: 3_000.0, call_ms: 2.0, timeout_ms: 2_000.0 }
    }
}

/// What the list says of a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Status {
    /// It takes work.
    InService,
    /// It finishes what it holds.
    Terminating,
    /// It is no more.
    Terminated,
}

/// A line of the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Entry {
    /// The server's number.
    pub server: usize,
    /// Whether it takes work.
    pub status: Status,
    /// When it last started; 0: before the day.
    pub since: Nanos,
    changed: u64, // version
}

/// The answer to a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Listing {
    /// Version.
    pub index: u64,
    /// The whole list; else what changed since the version that the call named.
    pub snapshot: bool,
    /// The lines.
    pub entries: Vec<Entry>,
}

/// What becomes of a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallOutcome {
    /// The call.
    pub call: u64,
    /// What it is told; none: it failed.
    pub listing: Option<Listing>,
}

#[derive(Debug)]
struct Watch {
    after: u64,
    until: Nanos,
}

/// The one service for all nodes.
#[derive(Debug)]
pub struct Discovery {
    spec: DiscoverySpec,
    index: u64,
    entries: BTreeMap<usize, Entry>,
    coming: BinaryHeap<Reverse<(Nanos, u64, usize)>>, // changes that do not show yet
    news: BTreeMap<u64, Entry>,                       // those changes
    next: u64,
    queue: VecDeque<(u64, Nanos, Option<u64>)>, // calls that are ready to be answered, since when
    busy_until: Nanos,
    watches: BTreeMap<u64, Watch>,
    down: bool,
    shown: Vec<(Nanos, usize, Status)>,
}

impl Discovery {
    /// A list of these servers, all in service since before the day.
    pub fn new(spec: DiscoverySpec, servers: impl IntoIterator<Item = usize>) -> Self {
        let entry = |server| (server, Entry { server, status: Status::InService, since: 0, changed: 1 });
        Discovery {
            spec,
            index: 1,
            entries: servers.into_iter().map(entry).collect(),
            coming: BinaryHeap::new(),
            news: BTreeMap::new(),
            next: 0,
            queue: VecDeque::new(),
            busy_until: 0,
            watches: BTreeMap::new(),
            down: false,
            shown: Vec::new(),
        }
    }

    /// When the list began to show each change: time, server and what it shows.
    pub fn published_changes(&self) -> &[(Nanos, usize, Status)] {
        &self.shown
    }

    /// A server has changed; the list shows it later.
    pub fn record_change(&mut self, now: Nanos, server: usize, status: Status, since: Nanos, silent: bool) {
        let late = if silent { self.spec.silent_late_ms } else { self.spec.late_ms };
        self.next += 1;
        self.news.insert(self.next, Entry { server, status, since, changed: 0 });
        self.coming.push(Reverse((now + millis(late), self.next, server)));
    }

    /// Whether it is out of service. While it is, every call fails; watches end. Back in service it has
    /// started anew: it counts its versions from 1 and knows no changes, only the list.
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

    /// The whole list as it stands, for a node that starts.
    pub fn full_list(&self) -> Listing {
        let there = self.entries.values().filter(|entry| entry.status != Status::Terminated);
        Listing { index: self.index, snapshot: true, entries: there.copied().collect() }
    }

    /// A call: the whole list at once, or a watch for what is newer than a version, waiting so long.
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

    /// Whoever called has gone.
    pub fn cancel_call(&mut self, call: u64) {
        self.watches.remove(&call);
        self.queue.retain(|&(other, ..)| other != call);
    }

    /// When something happens next by itself.
    pub fn next_due(&self) -> Option<Nanos> {
        let coming = self.coming.peek().map(|&Reverse((at, ..))| at);
        let turn = self.queue.front().map(|&(_, since, _)| self.busy_until.max(since));
        let watch = self.watches.values().map(|watch| watch.until).min();
        [coming, turn, watch].into_iter().flatten().min()
    }

    /// Lets time pass; calls that are answered are appended.
    pub fn advance(&mut self, now: Nanos, out: &mut Vec<CallOutcome>) {
        while let Some(due) = self.next_due().filter(|&due| due <= now) {
            self.show(due);
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

    /// Takes in the changes that show by now, and wakes the watches.
    fn show(&mut self, now: Nanos) {
        let mut changed = false;
        while let Some(&Reverse((_, number, server))) =
            self.coming.peek().filter(|&&Reverse((at, ..))| at <= now)
        {
            self.coming.pop();
            if let Some(entry) = self.news.remove(&number) {
                if !changed {
                    self.index += 1;
                    changed = true;
                }
                self.shown.push((now, server, entry.status));
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
        /// Whoever fetches the list once and watches from then on without a gap holds, once nothing is coming
        /// any more, the list as it is; versions never go back; each call is answered at most once.
        #[test]
        fn watching_without_a_gap_misses_nothing(
            steps in prop::collection::vec((0usize..4, 0u8..3, 1u64..900, any::<bool>()), 1..40),
            call_ms in 0.0f64..40.0,
        ) {
            let spec = DiscoverySpec { call_ms, timeout_ms: 60_000.0, ..DiscoverySpec::default() };
            let mut discovery = Discovery::new(spec, 0..4);
            let (mut now, mut out, mut call) = (0, Vec::new(), 0);
            let (mut held, mut index) = (BTreeMap::new(), 0);
            discovery.call(now, call, None, &mut out);
            let mut truth = [Status::InService; 4];
            let mut take = |discovery: &mut Discovery, now, out: &mut Vec<CallOutcome>| {
                while let Some(answer) = out.pop() {
                    assert_eq!(answer.call, call, "an answer to a call that was answered already");
                    let listing = answer.listing.expect("nothing fails here");
                    assert!(listing.index >= index, "an older version");
                    index = listing.index;
                    if listing.snapshot { held.clear(); }
                    for entry in listing.entries { held.insert(entry.server, entry.status); }
                    call += 1;
                    discovery.call(now, call, Some((index, 400 * MS)), out);
                    assert!(out.len() <= 1);
                }
                held.clone()
            };
            for (server, status, wait, silent) in steps {
                let status = [Status::InService, Status::Terminating, Status::Terminated][status as usize];
                // A server's changes show in the order in which they came: each is as late as the next.
                let _ = silent;
                truth[server] = status;
                discovery.record_change(now, server, status, now, false);
                now += wait * MS;
                discovery.advance(now, &mut out);
                take(&mut discovery, now, &mut out);
            }
            let end = now + 3_000 * MS;
            while now < end {
                now += 10 * MS;
                discovery.advance(now, &mut out);
                take(&mut discovery, now, &mut out);
            }
            let held = take(&mut discovery, now, &mut out);
            for (server, status) in truth.into_iter().enumerate() {
                let known = held.get(&server).copied().unwrap_or(Status::Terminated);
                prop_assert_eq!(known, status, "server {}", server);
            }
        }
    }
}
