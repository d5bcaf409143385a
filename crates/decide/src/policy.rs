//! Every decision of a node. Its types, events and actions are in `interface.rs`.
//!
//! The ordinary path is Koole's myopic static assignment (IEEE TAC 44, 1999): x_m counts own sends since
//! server m was last used, q_m = λ/(λ+μ_m) is the chance that a job outlasts a gap between sends, and the
//! ready server with the least q_m^x_m, the chance that it is still busy, gets the next attempt.
//! Each departure from it is argued where it stands, at its constant or its function.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use crate::counters::{mean, median, Decayed, Sliding, Usual};
use crate::interface::*;
use crate::ring::{self, Line, Part, Ring, Slot};

const SECOND: f64 = 1e9; // ns
const TICK: Nanos = 50_000_000; // between rounds of housekeeping, ns: short beside what people wait
const RATE_WINDOW: f64 = 2e9; // of the rates, ns: some requests even at a node that sees little
const SPEED_GAIN: f64 = 1.0 / 8.0; // of a server's smoothed latency: its last eight answers count
const USUAL_SAMPLES: f64 = 128.0; // answers over which a class's usual latency is smoothed
const BASE_SAMPLES: f64 = 128.0; // answers that tell what it is without queues: the first are the quick
const BASE_RISE: f64 = 1.0 / 2048.0; // step per answer of that back up towards the usual latency
const BASE_MOST: f64 = 1.0 / 3.0; // of the aim: that a class takes without queues
const OVERDUE: f64 = 5.0; // mean deviations over the usual latency after which an attempt is lost
const LATE_LEAST: f64 = 5e6; // over the usual, ns: what a busy machine holds an answer up by at times
const MOST_LATENCIES: f64 = 4.0; // over which the most that was answered in one fades, if that is long
const RETRY_SHARE: f64 = 0.1; // retries, after attempts that may have run, for each request
const RETRY_RESERVE: f64 = 10.0; // such retries that may be saved up
const UNSTATED: AttemptBudget = AttemptBudget { free: f64::INFINITY, share: 0.0, span: 0 };
const STRIKES: u32 = 2; // failures in a row that eject a server: one may be chance
const EJECT: Nanos = 1_000_000_000; // first time out, ns; doubles with each further failure
const DOUBLINGS: u32 = 4; // of a time out, at most
const ROTATION_LEAST: f64 = 8.0; // servers in a rotation that all nodes share: fast and slow ones
const ROTATION_SPARE: f64 = 1.25; // servers in the rotation for each job under way without queues
const NEAR: f64 = 40.0; // weight of an age in the own zone, per unit of the price of leaving it
const WARM_KEY: u128 = 6; // weight of an age where the key is kept warm
const LEFT_LEAST: f64 = 0.05; // of a server's speed, to classes that may go elsewhere
const SLOPE_UNIT: f64 = (1u64 << 40) as f64; // of slopes in the ring: worth of an age of one at usual speed
const SLOPE_MOST: f64 = (1u64 << 61) as f64;
const SCALE_NEAR: f64 = 0.02; // of the scale of speeds: less changes no turn
const SWEEP: usize = 32; // servers drawn anew in a tick: all of a small fleet, a quarter as many else
const WARM_AMONG: usize = 32; // servers that draw for a key: more would draw in vain
const HEED_AGAIN: f64 = 3.0 / 8.0; // of the servers: suspects are heeded again below, no longer above half
const COLD_STEPS: u64 = 32; // in which a cold server's warmth grows
const COLD_STEP: Nanos = 1_000_000; // least time between two looks at a cold server's allowance, ns
const DEPTHS: usize = 8; // own attempts at a server that are told apart
const DEPTH_SAMPLES: f64 = 16.0; // answers that make a depth known
const DEPTH_SLOWER: f64 = 1.35; // than an idle server: a depth that is slower queues
const DEPTH_TRIES: u32 = 16; // one in so many servers that are full by this takes one more, to learn from
const COLD_MARGIN: f64 = 0.45; // of the fall budget: a window's worth may be saved up, and warmth grows
const STRAIN_FROM: f64 = 0.7; // deviations of latency over that without queues: refusing begins
const STRAIN_TO: f64 = 2.2; // and at which all of the least valuable requests are refused
const ROOM_FROM: f64 = 0.2; // of the aim that a slow answer takes: refusing begins
const ROOM_TO: f64 = 0.4; // and is as strict as the strain tells
const IDLE_LATE: f64 = 0.5; // of the aim: answers that take more are no sign of idle servers
const IDLE_STRAIN: f64 = STRAIN_MOST / 2.0; // nor are such as take so many times what they did, or none
const IDLE_MOST: f64 = 0.6; // of the least valuable requests refused all the same: a few have to tell
const OVER_SHARE: f64 = 1.25; // of what the median tenant asks for its quota: beyond counts as over it
const SPREAD_LEAST: f64 = 0.2; // deviation over mean: few answers tell little of less
const STRAIN_MOST: f64 = 8.0; // what a failure counts as in a jam; an answer counts no more either
const STRAIN_GAIN: f64 = 1.0 / 32.0; // least weight of an answer in the strain: one may be chance
const TELL_TICKS: u32 = 10; // mean number of ticks between messages to peers, to make them few
const NEWS_PART: usize = 6; // one peer in each so many servers hears of an answer: about once in six sends
const NEWS_PEERS: usize = 8; // that hear of it at most: messages must not grow with nodes times servers
const NEWS_STEPS: f64 = 16.0; // steps of a doubling in which slowness is told
const LATENCY_MOST: Nanos = 1 << 50; // thirteen days, ns: what is told beyond that is a fault of the clock
const WEIGHT_MOST: f64 = 1e6; // of a server: sums of weights stay exact enough
const STRAIN_WINDOW: f64 = 5e8; // of recent answers; without any the strain fades, ns

#[derive(Default)]
struct Server {
    entry: ServerEntry,
    tie: u64,        // Position in this node's order of servers that cost the same.
    last: i64,       // Number of own sends when it was last used.
    pace: Vec<Pace>, // By class: what one class is turned away by may serve the others well.
    out: u32,        // Own attempts that are out.
    more: bool,      // It may take one beyond the limit: what was learned in a trouble has to be tried again.
    strikes: u32,    // Failures in a row, and until when they or its being full keep it out.
    back_at: Nanos,
    allowance: f64, // Sends that the fall budget leaves this node while the server is cold, as of when.
    refilled: Nanos,
    slot: Option<Slot>, // In the ring, while it is ready.
    wake: Nanos,        // When time alone changes what it is worth; 0: never.
    suspect: bool,      // This and its speed as of the last time its lines were drawn.
    speed: Option<f64>,
    sent: VecDeque<(Nanos, RequestId, u32)>, // Attempts that are out, in the order of sends.
}

/// What the ring holds for a class, all told.
#[derive(Clone, Copy, Default)]
struct Tally {
    allowed: u32,
    suspects: u32,
    known: u32, // Servers whose speed is known, the sum of that, and the weight of the others.
    speed: f64,
    weight: f64,
    unheeded: bool, // Too many are suspect to leave them all out.
}

/// How a server serves one class.
#[derive(Clone, Default)]
struct Pace {
    slowness: Option<f64>, // smoothed latency over the usual of the class; none until it answers
    learned: Nanos,
    busy_until: Nanos, // as it was turned away
}

impl Server {
    /// Smoothed latency over the usual of all classes that it has answered.
    fn slowness(&self) -> Option<f64> {
        mean(self.pace.iter().filter_map(|p| p.slowness))
    }
}

struct Attempt {
    server: ServerId,
    sent: Nanos,
    zone: u16,
    cell: u64,
    ran: bool,    // It may have: until there is proof that it never did.
    depth: usize, // Own attempts that were out there already.
    timeout: Nanos,
    open: bool,
    lost: bool, // Overdue and overtaken: it is not what keeps its server busy.
}

#[derive(Default)]
struct Held {
    class: usize,
    key: Option<u64>,
    aim_at: Nanos,
    deadline: Nanos,
    attempts: Vec<Attempt>,
    long: bool,           // Its body is still coming: it keeps no server busy.
    over: bool,           // The final answer has been given.
    waits: Option<Nanos>, // It waits for a server, and may until then.
}

/// Load as seen by the classes that may go to the same servers.
#[derive(Default)]
struct Pool {
    strain: f64, // Smoothed latency over that without queues: shows them before they make answers late.
    sensed: Nanos, // When that last had news, good or bad.
    pace: f64,   // The same of answers that came, and when the last one did.
    heard: Nanos,
    open: u32, // Own attempts that are out, requests that wait for a server, and the latency without
    waiting: usize, // queues of the answers of late.
    answered: Decayed,
    lately: Decayed, // Answers of one latency without queues: what was out one latency ago, and the
    most: f64,       // most that it was of late, for each ready server: those that are gone answer no more.
}

impl Tally {
    /// A server of this weight is known at another speed, for the first time or no longer.
    fn know(&mut self, weight: f64, was: Option<f64>, speed: Option<f64>) {
        self.speed += speed.unwrap_or(0.0) - was.unwrap_or(0.0);
        match (was, speed) {
            (None, Some(_)) => (self.known, self.weight) = (self.known + 1, self.weight - weight),
            (Some(_), None) => (self.known, self.weight) = (self.known - 1, self.weight + weight),
            _ => {}
        }
    }
}

/// Latency at which an attempt is lost. Where answers are all alike their deviation is next to nothing, and
/// a hair's breadth later would pass for never.
fn overdue(usual: &Usual) -> f64 {
    usual.mean + (OVERDUE * usual.deviation.max(SPREAD_LEAST * usual.mean)).max(LATE_LEAST)
}

/// One node's decisions: a state machine without input or output of its own.
#[derive(Default)]
pub struct Balancer {
    set: Settings,
    rng: fastrand::Rng,
    servers: BTreeMap<ServerId, Server>,
    by_tag: BTreeMap<u32, ServerId>, // Servers by what names them in messages.
    news: Vec<u8>,                   // What has been learned since peers were told.
    ring: Ring, // Ready servers in the order of their tags, with what each is worth to each class.
    tallies: Vec<Tally>,
    suspects: BTreeSet<ServerId>,
    wakes: BTreeSet<(Nanos, ServerId)>,
    occupied: BTreeSet<ServerId>,     // Those with own attempts out.
    homes: BTreeMap<u128, ServerId>,  // Ready servers of the own zone, by tag.
    cells: BTreeSet<(u64, ServerId)>, // Servers by cell.
    limit: u32,                       // Own attempts that a server takes side by side.
    swept: Option<ServerId>,          // The last one that the sweep has passed.
    speeds: Speeds,
    weights: f64, // Of the ready servers, in all.
    requests: BTreeMap<RequestId, Held>,
    waiting: BTreeSet<(usize, Nanos, RequestId)>, // Admitted, by class and how long they may wait.
    depths: [Usual; DEPTHS],                      // Slowness by own attempts at the server.
    usual: Vec<Usual>, // Latency of each class, and the least that it has been: that without queues.
    base: Vec<f64>,
    service: Usual, // Time that servers say a request takes them.
    sends: i64,
    asked: Decayed, // Own requests, in all and of each tenant.
    tenants: Vec<Decayed>,
    work: Vec<Decayed>, // Work asked for, by class.
    retries: f64,       // Retries left.
    budget: AttemptBudget,
    taken: Sliding, // Requests taken and attempts after the first of one, for a stated budget.
    further: Sliding,
    pools: Vec<Pool>,
    pool: Vec<usize>,                    // The pool of each class.
    out: BTreeSet<ServerId>,             // Taken out by hand.
    returned: BTreeMap<ServerId, Nanos>, // When servers that were out came back: they were started meanwhile.
    started: bool,
    ask_at: Nanos, // When to ask for the server list next, and failures of that in a row.
    ask_failures: u32,
}

/// What speeds are reckoned with, as of the last tick.
#[derive(Clone, Default)]
struct Speeds {
    unknown: f64,             // Of a server that has not answered, for each unit of weight.
    scale: f64,               // Speed over the sends of all nodes: μ/λ of a speed of one.
    bound: Vec<(usize, f64)>, // Part of their servers that the classes bound to them need.
}

impl Balancer {
    /// A node that knows its settings and nothing else.
    pub fn new(set: Settings, seed: u64) -> Self {
        let guess = |class: &Class| (class.aim as f64 / 8.0).max(1.0); // its aim is all there is yet
        let first_like = |c: &Class| set.classes.iter().position(|d| d.placement == c.placement);
        Balancer {
            rng: fastrand::Rng::with_seed(seed),
            usual: set.classes.iter().map(guess).map(Usual::guess).collect(),
            base: set.classes.iter().map(guess).collect(),
            tenants: vec![Decayed::default(); set.tenants.len()],
            pool: set.classes.iter().filter_map(first_like).collect(),
            pools: set.classes.iter().map(|_| Pool::default()).collect(),
            work: vec![Decayed::default(); set.classes.len()],
            ring: Ring::new(set.classes.len()),
            tallies: vec![Tally::default(); set.classes.len()],
            speeds: Speeds { unknown: 1.0, scale: 1.0, bound: Vec::new() },
            limit: u32::MAX,
            retries: RETRY_RESERVE,
            budget: set.attempt_budget.unwrap_or(UNSTATED),
            ask_at: Nanos::MAX,
            set: Settings { nodes: set.nodes.max(1), ..set },
            ..Balancer::default()
        }
    }

    /// Takes one event and appends what is to be done about it.
    pub fn handle(&mut self, now: Nanos, event: Event, out: &mut Vec<Action>) {
        if !self.started {
            self.started = true;
            out.push(Action::Timer { after: TICK, token: 0 });
            if self.set.discovery == Discovery::Ask {
                self.ask_at = now.saturating_add(self.jitter(self.set.ask_within / 8));
            }
        }
        self.awake(now);
        match event {
            Event::Servers { kind, entries } => self.servers_told(now, kind, entries),
            Event::Request(request) => self.request(now, request, out),
            Event::Begun { id, .. } | Event::Gone(id) => self.close(id), // a begun stream goes on by itself
            Event::Outcome { .. } => self.outcome(now, event, out),
            Event::Uploaded(id) => self.uploaded(now, id),
            Event::Timer(0) => self.tick(now, out),
            Event::Peer { bytes, .. } => self.hear(now, &bytes),
            Event::Maintenance { server, out, since } => self.maintain(now, server, out, since),
            Event::Timer(_) | Event::Probed { .. } => {}
        }
    }

    /// Servers that this node holds anything about.
    pub fn known_servers(&self) -> usize {
        self.servers.len()
    }

    /// Whether the module would send there, if it fits: the list has it, and nobody took it out.
    pub fn is_ready(&self, id: ServerId) -> bool {
        self.servers.get(&id).is_some_and(|server| server.slot.is_some())
    }

    /// Servers of the list that get nothing now, taken out by hand or ejected for their failures.
    pub fn avoided(&self, now: Nanos) -> usize {
        let avoided = |s: &&Server| s.back_at > now || self.out.contains(&s.entry.id);
        let listed = |s: &&Server| s.entry.readiness != Readiness::Gone;
        self.servers.values().filter(listed).filter(avoided).count()
    }

    /// Out, a server gets what one that drains gets: nothing. Back, it enters like one that has just started,
    /// for operators restart it meanwhile. A second order of the same kind changes nothing.
    fn maintain(&mut self, now: Nanos, id: ServerId, out: bool, since: Nanos) {
        let known = match out {
            true => !self.out.insert(id),
            false => !self.out.remove(&id) && self.returned.get(&id) == Some(&since),
        };
        if known {
            return;
        }
        match out {
            true => drop(self.returned.remove(&id)),
            false => drop(self.returned.insert(id, since)),
        }
        if let Some(server) = self.servers.get(&id) {
            let entry = server.entry.clone();
            self.enter(now, vec![entry], BTreeSet::from([id]));
        }
    }

    fn jitter(&mut self, most: Nanos) -> Nanos {
        most / 2 + self.rng.u64(0..=most / 2)
    }

    fn servers_told(&mut self, now: Nanos, kind: ListKind, mut entries: Vec<ServerEntry>) {
        if kind == ListKind::Failed {
            // Discovery is a small shared capacity: ask again later each time, never in step.
            self.ask_failures += 1;
            self.ask_at =
                now.saturating_add(self.jitter((self.set.ask_within / 16) << self.ask_failures.min(3)));
            return;
        }
        if kind != ListKind::Persisted {
            (self.ask_failures, self.ask_at) = (0, Nanos::MAX);
        }
        let mut changed: BTreeSet<ServerId> = entries.iter().map(|e| e.id).collect();
        if kind != ListKind::Partial {
            for server in self.servers.values_mut().filter(|s| !changed.contains(&s.entry.id)) {
                server.entry.readiness = Readiness::Gone;
            }
            changed.extend(self.servers.keys());
        }
        let weight = |w: f64| if self.set.weighted { w.clamp(1e-3, WEIGHT_MOST) } else { 1.0 };
        entries.iter_mut().for_each(|e| e.weight = weight(e.weight));
        self.enter(now, entries, changed);
    }

    /// Takes these entries in place of those of the same servers; `changed` has all that may now differ.
    fn enter(&mut self, now: Nanos, entries: Vec<ServerEntry>, changed: BTreeSet<ServerId>) {
        let more = entries.iter().filter(|e| !self.servers.contains_key(&e.id));
        let turns = (self.weights + more.map(|e| e.weight).sum::<f64>()).max(self.servers.len() as f64 + 1.0);
        for mut entry in entries {
            entry.since = entry.since.max(self.returned.get(&entry.id).copied().unwrap_or(0));
            let known = self.servers.remove(&entry.id);
            let known = known.map(|s| self.withdraw(s));
            let same = |s: &Server| s.entry.since == entry.since && s.entry.readiness != Readiness::Gone;
            let server = match known {
                Some(s) if same(&s) => Server { entry, ..s },
                known => {
                    // New, or started anew: an infinite age would bring every node's next request down on it
                    // at once, so it enters at a random phase of its own turn, a short one if it is fast.
                    let last = self.sends - (self.rng.f64() * turns / entry.weight).ceil() as i64;
                    let (tie, allowance) = (self.rng.u64(..), self.rng.f64());
                    let pace = vec![Pace::default(); self.set.classes.len()];
                    let (out, sent) = known.map(|s| (s.out, s.sent)).unwrap_or_default();
                    Server {
                        entry,
                        tie,
                        last,
                        out,
                        sent,
                        pace,
                        allowance,
                        refilled: now,
                        ..Server::default()
                    }
                }
            };
            self.servers.insert(server.entry.id, server);
        }
        for id in changed {
            let Some(server) = self.servers.remove(&id) else { continue };
            let mut server = self.withdraw(server);
            let entry = &server.entry;
            if entry.readiness == Readiness::Gone && server.out == 0 {
                self.returned.remove(&id);
                continue;
            }
            self.by_tag.insert(entry.tag as u32 >> 8, id);
            self.cells.insert((entry.cell, id));
            if entry.readiness == Readiness::Ready && !self.out.contains(&id) {
                // One ring for all nodes, each starting elsewhere: small rotations cover all servers alike.
                let key = ring::key(entry.tag, id.0);
                server.slot = Some(self.ring.insert(key));
                self.weights += entry.weight;
                if entry.zone == self.set.zone {
                    self.homes.insert(key, id);
                }
                for (tally, class) in self.tallies.iter_mut().zip(&self.set.classes) {
                    let allowed = class.placement.allows(entry);
                    tally.allowed += u32::from(allowed);
                    tally.weight += if allowed { entry.weight } else { 0.0 };
                }
            }
            self.servers.insert(id, server);
            self.draw(now, id);
        }
        self.sweep(now);
    }

    /// Takes a server out of all that is found by something else than its number.
    fn withdraw(&mut self, mut server: Server) -> Server {
        let (entry, id) = (&server.entry, server.entry.id);
        self.wakes.remove(&(server.wake, id));
        self.cells.remove(&(entry.cell, id));
        if self.by_tag.get(&(entry.tag as u32 >> 8)) == Some(&id) {
            self.by_tag.remove(&(entry.tag as u32 >> 8));
        }
        if server.out == 0 {
            self.occupied.remove(&id);
        }
        if let Some(slot) = server.slot.take() {
            self.ring.remove(slot);
            self.homes.remove(&ring::key(entry.tag, id.0));
            self.weights -= entry.weight;
            let (suspect, speed) = (std::mem::take(&mut server.suspect), server.speed.take());
            let tallies = self.tallies.iter_mut().zip(&self.set.classes);
            for (tally, _) in tallies.filter(|(_, class)| class.placement.allows(entry)) {
                tally.suspects -= u32::from(suspect);
                tally.know(entry.weight, speed, None);
                tally.weight -= entry.weight;
                tally.allowed -= 1;
                if tally.allowed == 0 {
                    *tally = Tally::default(); // sums of floats end at about nothing
                }
            }
            self.suspects.remove(&id);
        }
        server.wake = 0;
        server
    }

    /// Draws anew what a server is worth to each class, after anything about it has changed.
    fn draw(&mut self, now: Nanos, id: ServerId) {
        let Some(server) = self.servers.get(&id) else { return };
        let Some(slot) = server.slot else { return };
        let entry = &server.entry;
        let warmth = self.warmth(now, entry);
        let mut wake = Nanos::MAX;
        let mut spent = false;
        if warmth < 1.0 {
            let cold_rate = self.cold_rate(now);
            let rate = cold_rate * warmth * self.set.fall_multiple * entry.weight / self.mean_size();
            let left = self.allowance(now, server, warmth, cold_rate);
            spent = left < 1.0;
            let until = if spent { 1.0 } else { 1.0 + rate * self.set.tip_after as f64 };
            let step = (self.set.ramp_time / COLD_STEPS).max(TICK);
            wake = now + (((until - left) / rate.max(1e-18)).ceil() as Nanos).clamp(COLD_STEP, step);
        }
        let suspect = server.back_at > now || server.strikes >= STRIKES && server.out > 0;
        if server.back_at > now {
            wake = wake.min(server.back_at);
        }
        let (speeds, any) = (&self.speeds, self.speed(server));
        // A class that may go anywhere sees only the speed that those bound to a server leave of it.
        let bound = speeds.bound.iter().filter(|(n, _)| self.set.classes[*n].placement.allows(entry));
        let left = (1.0 - bound.map(|(_, part)| part).sum::<f64>()).max(LEFT_LEAST);
        let near = 1.0 + NEAR * self.set.cross_zone_price;
        // What is known beats what is likely: with attempts out the age cheapens less.
        let alike =
            if entry.zone == self.set.zone { near } else { 1.0 } * warmth / f64::from(1 + server.out).powi(2);
        for (n, class) in self.set.classes.iter().enumerate() {
            let pace = &server.pace[n];
            if !class.placement.allows(entry) {
                continue;
            }
            let busy = pace.busy_until > now;
            if busy {
                wake = wake.min(pace.busy_until);
            }
            let left = if class.placement.is_free() { left } else { 1.0 };
            let own = pace.slowness.map_or(any, f64::recip) * left;
            // -ln q, over a scale that all servers share: it is worth the same whenever it was drawn.
            let slope = (own * speeds.scale).ln_1p() / speeds.scale * alike;
            let counts = !busy && !spent && (self.tallies[n].unheeded || !suspect);
            let free = counts && server.out < self.limit.saturating_add(u32::from(server.more));
            let slope = if free { (slope * SLOPE_UNIT).clamp(1.0, SLOPE_MOST) as u64 } else { 0 };
            self.ring.set(slot, n, Line { slope, last: server.last, tie: server.tie, counts });
        }
        let wake = if wake == Nanos::MAX { 0 } else { wake };
        let (speed, was) = (server.slowness().map(f64::recip), server.speed);
        if (wake, suspect, speed) == (server.wake, server.suspect, was) {
            return;
        }
        if server.wake > 0 {
            self.wakes.remove(&(server.wake, id));
        }
        if wake > 0 {
            self.wakes.insert((wake, id));
        }
        let turned = suspect != server.suspect;
        let allowing = self.tallies.iter_mut().zip(&self.set.classes);
        for (tally, _) in allowing.filter(|(_, class)| class.placement.allows(entry)) {
            tally.know(entry.weight, was, speed);
            tally.suspects += u32::from(suspect && turned);
            tally.suspects -= u32::from(!suspect && turned);
        }
        if turned {
            if suspect {
                self.suspects.insert(id);
            } else {
                self.suspects.remove(&id);
            }
        }
        if let Some(server) = self.servers.get_mut(&id) {
            (server.wake, server.suspect, server.speed) = (wake, suspect, speed);
        }
        if turned {
            self.heed(now);
        }
    }

    /// A trouble that over half share must not leave a few to carry everything: all stay in.
    fn heed(&mut self, now: Nanos) {
        let mut turned = false;
        for tally in &mut self.tallies {
            let share = f64::from(tally.suspects) / f64::from(tally.allowed.max(1));
            // Heeded again somewhat below: a fleet on the brink would be drawn anew with every failure.
            let unheeded = share > if tally.unheeded { HEED_AGAIN } else { 0.5 };
            turned |= unheeded != tally.unheeded;
            tally.unheeded = unheeded;
        }
        if turned {
            for id in self.suspects.clone() {
                self.draw(now, id);
            }
        }
    }

    /// Draws anew those servers that the time has changed.
    fn awake(&mut self, now: Nanos) {
        while let Some(&(at, id)) = self.wakes.first().filter(|(at, _)| *at <= now) {
            self.wakes.remove(&(at, id));
            if let Some(server) = self.servers.get_mut(&id) {
                server.wake = 0;
            }
            self.draw(now, id);
        }
    }

    fn speed(&self, server: &Server) -> f64 {
        server.slowness().map_or(self.speeds.unknown * server.entry.weight, f64::recip)
    }

    /// Draws servers anew, some at a time, as what their speeds are reckoned with has moved.
    fn sweep(&mut self, now: Nanos) {
        use std::ops::Bound::{Excluded, Unbounded};
        self.reckon(now);
        let some = if self.servers.len() > SWEEP { SWEEP / 4 } else { SWEEP };
        let from = self.swept.map_or(Unbounded, Excluded);
        let slice = self.servers.range((from, Unbounded)).map(|(&id, _)| id).take(some);
        let slice: Vec<ServerId> = slice.collect();
        self.swept = slice.last().copied().filter(|_| slice.len() == some);
        slice.into_iter().for_each(|id| self.draw(now, id));
    }

    fn reckon(&mut self, now: Nanos) {
        let known: u32 = self.tallies.iter().map(|t| t.known).sum();
        let speed: f64 = self.tallies.iter().map(|t| t.speed).sum();
        let unknown = if known > 0 { speed.max(1e-9) / f64::from(known) } else { 1.0 } / self.mean_size();
        // The paper's dispatcher sees every arrival, a node only its part: with its own rate as λ
        // every q would be near 0 and turns even whatever the speeds, so all nodes count.
        let own = self.asked.get(now, RATE_WINDOW).max(1.0) / RATE_WINDOW;
        let scale = 1.0 / self.usual_latency() / (own * f64::from(self.set.nodes));
        // Kept while it is about right: slopes that stay the same need no drawing.
        let near = (scale / self.speeds.scale - 1.0).abs() < SCALE_NEAR;
        let scale = if near { self.speeds.scale } else { scale };
        let open = |t: &Tally| (t.speed + t.weight * unknown).max(1e-9);
        let all = self.ring.len() as f64 * unknown * self.mean_size();
        let work = |n: usize| self.work[n].get(now, RATE_WINDOW);
        let classes = 0..self.set.classes.len();
        let even = all / classes.clone().map(work).sum::<f64>().max(1e-9);
        let bound = classes.filter(|&n| !self.set.classes[n].placement.is_free());
        let bound = bound.map(|n| (n, work(n) * even / open(&self.tallies[n]))).collect();
        self.speeds = Speeds { unknown, scale, bound };
    }

    /// Mean weight of the ready servers.
    fn mean_size(&self) -> f64 {
        match self.ring.len() {
            0 => 1.0,
            n => (self.weights / n as f64).max(1e-3),
        }
    }

    /// Ready servers for each node.
    fn fair_part(&self) -> f64 {
        self.ring.len() as f64 / f64::from(self.set.nodes)
    }

    fn usual_latency(&self) -> f64 {
        mean(self.usual.iter().map(|u| u.mean)).unwrap_or(1.0)
    }

    /// Share of its full speed that a server has at least, going by its last start.
    fn warmth(&self, now: Nanos, entry: &ServerEntry) -> f64 {
        let age = now.saturating_sub(entry.since) as f64 / self.set.ramp_time.max(1) as f64;
        let ever = if entry.since == 0 { 1.0 } else { self.set.cold_share };
        (ever + (1.0 - ever) * age).min(1.0)
    }

    /// Sends a ns that this node may make to a cold server, for each unit of its warmth.
    fn cold_rate(&self, now: Nanos) -> f64 {
        // A server takes what it has under way on the mean, an even part of one job at least.
        let under_way: f64 = self.pools.iter().map(|p| p.answered.get(now, STRAIN_WINDOW)).sum();
        let jobs =
            (under_way / STRAIN_WINDOW / self.ring.len().max(1) as f64).max(1.0 / f64::from(self.set.nodes));
        jobs / mean(self.base.iter().copied()).unwrap_or(SECOND) * COLD_MARGIN
    }

    /// Sends left of this node's part of the fall budget of a cold server.
    fn allowance(&self, now: Nanos, server: &Server, warmth: f64, cold_rate: f64) -> f64 {
        let rate = cold_rate * warmth * self.set.fall_multiple * server.entry.weight / self.mean_size();
        // Savings lapse, or all nodes would come to spend theirs at the same time.
        let saved = server.allowance + rate * (now - server.refilled) as f64;
        saved % (1.0 + rate * self.set.tip_after as f64)
    }

    /// Notes how attempts of these classes went, as slowness: latency over what is usual.
    fn learn(&mut self, now: Nanos, id: ServerId, classes: std::ops::Range<usize>, sample: f64) {
        let Some(server) = self.servers.get_mut(&id) else { return };
        for pace in &mut server.pace[classes] {
            let old = pace.slowness.unwrap_or(sample);
            let gain = ((now - pace.learned) as f64 / RATE_WINDOW).clamp(SPEED_GAIN / 8.0, SPEED_GAIN);
            (pace.slowness, pace.learned) = (Some(old + gain * (sample - old)), now);
        }
    }

    /// Takes what a peer has learned like an answer of its own.
    fn hear(&mut self, now: Nanos, bytes: &[u8]) {
        for word in bytes.as_chunks().0.iter().map(|&word| u32::from_le_bytes(word)) {
            if let Some(&id) = self.by_tag.get(&(word >> 8)) {
                let all = 0..self.set.classes.len(); // peers do not say which class it was
                self.learn(now, id, all, (f64::from(word & 255) / NEWS_STEPS - 8.0).exp2());
                self.draw(now, id);
            }
        }
    }

    /// Passes on what was learned since the last time: nodes that see little learn from each other.
    fn tell(&mut self, out: &mut Vec<Action>) {
        if self.news.is_empty() || self.rng.u32(0..TELL_TICKS) > 0 {
            return;
        }
        let bytes = std::mem::take(&mut self.news);
        for _ in 0..(self.ring.len() / NEWS_PART).min(self.set.nodes as usize - 1).min(NEWS_PEERS) {
            let to = Some((self.set.me + self.rng.u32(1..self.set.nodes)) % self.set.nodes);
            out.push(Action::Tell { to, bytes: bytes.clone() });
        }
    }

    /// The ready server with the least q^x that the request may go to.
    fn pick(&mut self, now: Nanos, id: RequestId, patient: bool) -> Option<ServerId> {
        let held = &self.requests[&id];
        // Its placement narrows the fleet before any ranking. The rotation is as large as the node's own work
        // needs: on few servers it knows most of what they hold, on many it would meet what others send.
        let class = &self.set.classes[held.class];
        let pool = &self.pools[self.pool[held.class]];
        let needed = pool.answered.get(now, STRAIN_WINDOW) / STRAIN_WINDOW;
        let fair = self.fair_part();
        let own = (needed * ROTATION_SPARE).max(fair).max(ROTATION_LEAST / fair.max(1.0)).ceil() as usize;
        let start = (self.ring.len() as u64 * u64::from(self.set.me % self.set.nodes)
            / u64::from(self.set.nodes)) as usize;
        let beyond = !patient && self.excess(held.class, 0.0) < STRAIN_FROM;
        let (n, at) = (held.class, self.sends);
        let worth = |ring: &Ring, id: &ServerId| {
            let slot = self.servers.get(id)?.slot?;
            ring.value(slot, n, at)
        };
        let tried = |id: u32| held.attempts.iter().any(|a| a.server == ServerId(id));
        let servers = &self.servers;
        let part = Part { start, own, beyond };
        let mut ring = std::mem::take(&mut self.ring);
        let found = if held.attempts.iter().all(|a| !a.ran) || class.effect == Effect::Safe {
            let warm = held.key.filter(|_| self.set.warm_keys).and_then(|key| self.warm_for(key, class));
            let part = if warm.is_some() { Part { own: usize::MAX, ..part } } else { part };
            let best = ring.best(n, at, part, &|id| !tried(id)).map(|slot| ServerId(ring.id(slot)));
            let warm = warm.filter(|warm| !tried(warm.0)).and_then(|warm| Some((warm, worth(&ring, &warm)?)));
            let rest = best.and_then(|best| worth(&ring, &best)).unwrap_or(0);
            let warm = warm.filter(|(_, worth)| worth.saturating_mul(WARM_KEY) >= rest);
            warm.map(|(warm, _)| warm).or(best)
        } else {
            // It may have run: only where a repeat is known, however far that is.
            let known = |server: &Server| self.in_group(now, held, server);
            let fit = |id: &ServerId| !tried(id.0) && servers.get(id).is_some_and(known);
            match (class.effect, held.attempts.iter().find(|a| a.ran)) {
                (Effect::Keyed { group: Group::Cell, .. }, Some(ran)) => {
                    let cell = (ran.cell, ServerId(0))..=(ran.cell, ServerId(u32::MAX));
                    let fit = self.cells.range(cell).map(|(_, id)| *id).filter(fit);
                    fit.filter_map(|id| Some((worth(&ring, &id)?, id))).max().map(|(_, id)| id)
                }
                (Effect::Unsafe, _) => None,
                _ => {
                    let part = Part { start, own: usize::MAX, beyond: false };
                    ring.best(n, at, part, &|id| fit(&ServerId(id))).map(|slot| ServerId(ring.id(slot)))
                }
            }
        };
        // Where it failed before only if nothing else is left.
        let again = || {
            let fit = |id: &ServerId| servers.get(id).is_some_and(|s| self.in_group(now, held, s));
            let tried = held.attempts.iter().map(|a| a.server).filter(fit);
            tried.filter_map(|id| Some((worth(&ring, &id)?, id))).max().map(|(_, id)| id)
        };
        let found = found.or_else(again);
        self.ring = ring;
        found
    }

    /// Own attempts that a server takes side by side: as long as one more is not much slower.
    fn depth_limit(&self) -> u32 {
        let most = DEPTH_SLOWER * self.depths[0].mean;
        let bad = |d: &Usual| d.seen >= DEPTH_SAMPLES && d.mean > most;
        self.depths[1..].iter().position(bad).map_or(u32::MAX, |d| d as u32 + 1)
    }

    /// The server of the own zone where all nodes of the zone keep a key warm: highest random weight among
    /// those that follow the key on the ring.
    fn warm_for(&self, key: u64, class: &Class) -> Option<ServerId> {
        let place = ring::key(fastrand::Rng::with_seed(key).u64(..), 0);
        let round = self.homes.range(place..).chain(self.homes.range(..place));
        let near = round.map(|(_, id)| &self.servers[id].entry).filter(|e| class.placement.allows(e));
        let draw = |e: &ServerEntry| fastrand::Rng::with_seed(key ^ e.tag).f64().powf(1.0 / e.weight);
        near.take(WARM_AMONG).max_by(|a, b| draw(a).total_cmp(&draw(b))).map(|e| e.id)
    }

    /// A keyed request that may have run goes out again only within its group and window.
    fn in_group(&self, now: Nanos, held: &Held, server: &Server) -> bool {
        let may_go = |ran: &Attempt| match self.set.classes[held.class].effect {
            Effect::Safe => true,
            Effect::Unsafe => false,
            Effect::Keyed { group, window } => {
                let (near, cell) = (server.entry.zone == ran.zone, server.entry.cell == ran.cell);
                let same = group == Group::All || near && (cell || group == Group::Zone);
                same && now < ran.sent.saturating_add(window)
            }
        };
        held.attempts.iter().filter(|a| a.ran).all(may_go)
    }

    fn request(&mut self, now: Nanos, request: Request, out: &mut Vec<Action>) {
        self.asked.add(now, RATE_WINDOW, 1.0);
        self.taken.add(now, self.budget.span);
        let work = request.cost_hint.map_or(self.base[request.class], |hint| hint as f64);
        self.work[request.class].add(now, RATE_WINDOW, work);
        let class = &self.set.classes[request.class];
        // A client's repeat has used up some of its aim: what its budget is short of the deadline.
        let spent = if request.repeat { class.deadline.saturating_sub(request.budget) } else { 0 };
        let aim_at = now.saturating_add(class.aim.saturating_sub(spent));
        let deadline = now.saturating_add(request.budget);
        let worthless = aim_at <= now && class.late_worth <= 0.0;
        let (class, key, long) = (request.class, request.key, request.long);
        let held = Held { class, key, aim_at, deadline, long, ..Held::default() };
        self.retries = (self.retries + RETRY_SHARE).min(RETRY_RESERVE);
        // Who took all servers out will not put one back within a client's time.
        let all_out = self.tallies[request.class].allowed == 0 && !self.out.is_empty();
        let admitted = deadline > now && !worthless && !all_out && self.admits(now, &request);
        self.requests.insert(request.id, held);
        match admitted {
            true => {
                // Held no longer than leaves time to be answered.
                let margin = (2 * TICK).min(self.set.classes[request.class].aim / 3);
                let need = (self.usual[request.class].mean as Nanos).saturating_add(margin);
                let until = aim_at.min(deadline).saturating_sub(need);
                self.waiting.insert((request.class, until, request.id));
                self.pools[self.pool[request.class]].waiting += 1;
                self.requests.entry(request.id).and_modify(|held| held.waits = Some(until));
            }
            false => self.finish(now, request.id, out),
        }
        self.dispatch(now, out);
    }

    /// Under strain, refuses at random, the more the less a request is worth for its work.
    fn admits(&mut self, now: Nanos, request: &Request) -> bool {
        // By Little's law attempts out over attempts needed is the latency over that without
        // queues, and it shows before answers do; two deviations are left to chance. Nobody waits while
        // the node's own part of the servers could take one each, however little was needed so far.
        let pool = &self.pools[self.pool[request.class]];
        let part = self.fair_part().max(1.0);
        let needed = (pool.answered.get(now, STRAIN_WINDOW) / STRAIN_WINDOW).max(part);
        // What was out one latency ago was all answered since: where more at once has proved no slower,
        // so much is needed now, and what is asked at once may grow from latency to latency.
        let deep = self.depths[1..].iter().any(|depth| depth.seen >= DEPTH_SAMPLES);
        let proved = deep && self.limit == u32::MAX;
        let quick = proved && self.excess(request.class, 0.0) < STRAIN_FROM;
        let needed = needed.max(if quick { pool.most * self.ring.len() as f64 } else { 0.0 });
        let crowd = (f64::from(pool.open) + pool.waiting as f64 - 2.0 * needed.sqrt()) / needed;
        let held = f64::from(pool.open) + pool.waiting as f64;
        let idle = held < self.fair_part();
        let pressure = (self.excess(request.class, crowd) - STRAIN_FROM) / (STRAIN_TO - STRAIN_FROM);
        // Slow beside what it was at best is still in time where the aim leaves room, also for the slowest.
        let aim = self.set.classes[request.class].aim as f64;
        let slowest = pool.strain.max(crowd) * self.base[request.class] * (1.0 + OVERDUE * self.spread());
        let room = ((slowest / aim - ROOM_FROM) / (ROOM_TO - ROOM_FROM)).clamp(0.0, 1.0);
        // While the node holds less than its part servers are idle, unless even so answers come late.
        let late = pool.strain * (self.base[request.class] / (IDLE_LATE * aim)).max(1.0 / IDLE_STRAIN);
        let idle_most = IDLE_MOST * (2.0 * late - 1.0).clamp(0.0, 1.0);
        let pressure = (pressure * room).min(if idle { idle_most } else { f64::INFINITY });
        let rivals = (0..self.usual.len()).filter(|&n| self.pool[n] == self.pool[request.class]);
        let least = rivals.map(|n| self.worth_for_work(n)).fold(f64::INFINITY, f64::min);
        let mut value = self.worth_for_work(request.class);
        if let Some(tenant) = request.tenant {
            self.tenants[tenant].add(now, RATE_WINDOW, 1.0);
            // Beyond an even part of a quota; first beyond what most ask of theirs: loads are uneven.
            let all = f64::from(self.set.nodes) * SECOND / RATE_WINDOW;
            let part = |(r, t): (&Decayed, &Tenant)| all * r.get(now, RATE_WINDOW) / t.quota_per_s;
            let parts: Vec<f64> = self.tenants.iter().zip(&self.set.tenants).map(part).collect();
            let (drawn, most) = (self.rng.f64() * parts[tenant], OVER_SHARE * median(parts));
            let times = i32::from(drawn > 1.0) + i32::from(drawn > most.max(1.0));
            value *= self.set.over_share_worth.powi(times);
        }
        self.rng.f64() >= pressure * least / value.max(1e-12)
    }

    /// Sends what waits, the worthiest first, as far as servers are free; ends what waited too long.
    fn dispatch(&mut self, now: Nanos, out: &mut Vec<Action>) {
        if self.waiting.is_empty() {
            return;
        }
        let mut classes: Vec<usize> = (0..self.set.classes.len()).collect();
        classes.sort_by(|&a, &b| self.worth_for_work(b).total_cmp(&self.worth_for_work(a)));
        let mut free = vec![true; self.pools.len()];
        for class in classes {
            let pool = self.pool[class];
            let first = (class, 0, RequestId(0));
            let last = (class, Nanos::MAX, RequestId(u64::MAX));
            while let Some(&(_, until, id)) = self.waiting.range(first..=last).next() {
                // One that may wait no longer is sent wherever it may go, or ended.
                let patient = until > now;
                if patient && !free[pool] {
                    break;
                }
                let sent = self.send(now, id, patient, out);
                free[pool] &= sent;
                if sent || !patient {
                    self.wait_no_more(id);
                }
                if !sent && !patient {
                    self.finish(now, id, out);
                }
            }
        }
    }

    fn wait_no_more(&mut self, id: RequestId) {
        let Some(held) = self.requests.get_mut(&id) else { return };
        if let Some(until) = held.waits.take() {
            self.waiting.remove(&(held.class, until, id));
            self.pools[self.pool[held.class]].waiting -= 1;
        }
    }

    fn worth_for_work(&self, class: usize) -> f64 {
        self.set.classes[class].worth / self.usual[class].mean
    }

    fn send(&mut self, now: Nanos, id: RequestId, patient: bool, out: &mut Vec<Action>) -> bool {
        let held = &self.requests[&id];
        if held.attempts.len() >= self.set.max_attempts as usize || now >= held.deadline {
            return false;
        }
        // The stated budget, at its strictest on both edges of its window, for all attempts after a first.
        let (b, from) = (self.budget, now.saturating_sub(self.budget.span));
        let allowed = b.free + b.share * self.taken.since(from + 1) as f64;
        let further = !held.attempts.is_empty();
        if further && self.further.since(from) as f64 + 1.0 > allowed {
            return false;
        }
        let Some(server_id) = self.pick(now, id, patient) else { return false };
        let held = &self.requests[&id];
        let (timeout, chosen) = (self.timeout(now, held, server_id), &self.servers[&server_id]);
        let allowance = self.allowance(now, chosen, self.warmth(now, &chosen.entry), self.cold_rate(now));
        let server = self.servers.get_mut(&server_id).expect("it has just been picked");
        (server.allowance, server.refilled) = (allowance - 1.0, now);
        server.last = self.sends;
        let depth = (server.out as usize).min(DEPTHS - 1);
        self.sends += 1;
        let (server, zone, cell) = (server_id, server.entry.zone, server.entry.cell);
        out.push(Action::Send { id, server, timeout });
        let held = self.requests.get_mut(&id).expect("it has just been looked at");
        let timeout = if timeout == 0 { held.deadline - now } else { timeout };
        let long = held.long;
        held.attempts.push(Attempt {
            server,
            zone,
            cell,
            sent: now,
            ran: true,
            depth,
            timeout,
            open: true,
            lost: long,
        });
        if !long {
            self.burden(now, id);
        }
        if further {
            self.further.add(now, b.span);
        }
        self.draw(now, server_id);
        true
    }

    /// How long to wait for an attempt: until it is overdue if there is time and budget for another.
    fn timeout(&self, now: Nanos, held: &Held, server: ServerId) -> Nanos {
        let usual = &self.usual[held.class];
        let server = &self.servers[&server];
        let slowness = server.slowness().unwrap_or(1.0).max(1.0) / self.warmth(now, &server.entry).max(0.1);
        let overdue = (overdue(usual) * slowness) as Nanos;
        let class = &self.set.classes[held.class];
        let again = match class.effect {
            Effect::Unsafe => false,
            Effect::Safe => true,
            Effect::Keyed { window, .. } => overdue < window,
        };
        let spare = held.attempts.len() + 1 < self.set.max_attempts as usize && self.retries >= 1.0;
        let end = now.saturating_add(overdue).saturating_add(usual.mean as Nanos);
        let time = end <= held.aim_at.min(held.deadline);
        // Under strain the aim ends it, if late answers are worth nothing: work may stop with it.
        let cut = class.late_worth <= 0.0 && self.excess(held.class, 0.0) >= STRAIN_FROM;
        match again && spare && time {
            true => overdue,
            false => u64::from(cut) * held.aim_at.saturating_sub(now),
        }
    }

    fn outcome(&mut self, now: Nanos, event: Event, out: &mut Vec<Action>) {
        let Event::Outcome { id, attempt, server: at, status, latency, terminal, report } = event else {
            return;
        };
        let latency = latency.min(LATENCY_MOST);
        let Some(held) = self.requests.get_mut(&id) else { return };
        let (class, aim_at, over) = (held.class, held.aim_at, held.over || terminal);
        let Some(tried) = held.attempts.get_mut(attempt as usize).filter(|a| a.open) else { return };
        (tried.open, tried.ran) = (false, !status.never_ran());
        let (given, depth, sent) = (tried.timeout, tried.depth, tried.sent);
        if !tried.lost {
            self.lighten(class, at);
        }
        if let Some(server) = self.servers.get_mut(&at) {
            if status == Status::Ok {
                (server.strikes, server.back_at) = (0, 0);
            }
            if server.entry.readiness == Readiness::Gone && server.out == 0 {
                self.servers.remove(&at).map(|s| self.withdraw(s));
            }
        }
        let failed = !matches!(status, Status::Ok | Status::Cancelled | Status::Moot);
        // Failures count at the whole time-out, cold servers at their warm speed: growth is no strain.
        let warmth = self.servers.get(&at).map_or(1.0, |s| self.warmth(now, &s.entry));
        let taken = if failed { given.max(latency) } else { latency } as f64 * warmth;
        if status == Status::Ok {
            let usual = &mut self.usual[class];
            usual.add(taken, USUAL_SAMPLES);
            let risen = self.base[class] + BASE_RISE * (usual.mean - self.base[class]);
            let base = if usual.seen < BASE_SAMPLES { usual.mean } else { risen.min(usual.mean) };
            // Learned within a jam it would hide the jam: an aim leaves room for queues.
            self.base[class] = base.min(self.set.classes[class].aim as f64 * BASE_MOST);
            let base = self.base[class];
            let pool = &mut self.pools[self.pool[class]];
            pool.answered.add(now, STRAIN_WINDOW, base);
            let fades = STRAIN_WINDOW.max(MOST_LATENCIES * base);
            pool.most *= (-(now.saturating_sub(pool.heard) as f64) / fades).exp();
            pool.lately.add(now, base, 1.0);
            pool.most = pool.most.max(pool.lately.get(now, base) / self.ring.len().max(1) as f64);
            // Few get beyond the limit: each of them has to tell more.
            let most = if (depth as u32) < self.limit { 4.0 * DEPTH_SAMPLES } else { DEPTH_SAMPLES };
            self.depths[depth].add((taken / base).min(2.0 * DEPTH_SLOWER), most);
            self.sense(now, class, Some(taken / base), warmth);
            self.overtake(now, at, sent);
        } else if failed {
            self.strike(now, at, class, status, sent); // one that is gone tells no strain
            if matches!(status, Status::Full | Status::Timeout) {
                self.sense(now, class, None, warmth);
            }
        }
        let tag = self.servers.get(&at).map(|s| s.entry.tag as u32);
        if let Some(tag) = tag.filter(|_| failed || status == Status::Ok) {
            // A server's own account of its service leaves out what it waits for others.
            let told = report.and_then(|r| r.latency).filter(|&told| told > 0 && !failed);
            told.into_iter().for_each(|told| self.service.add(told as f64, USUAL_SAMPLES));
            let sample = told.map_or(taken / self.usual[class].mean, |told| told as f64 / self.service.mean);
            let sample = sample.clamp(1.0 / 256.0, 255.0);
            self.learn(now, at, class..class + 1, sample);
            if self.set.may_tell && self.news.len() < MESSAGE_MOST {
                let code = ((sample.log2() + 8.0) * NEWS_STEPS) as u32;
                self.news.extend((tag & !255 | code & 255).to_le_bytes());
            }
        }
        self.draw(now, at);
        if over {
            self.close(id);
        } else if self.requests[&id].attempts.iter().all(|a| !a.open) {
            let free = status.never_ran() && self.excess(class, 0.0) < STRAIN_FROM;
            if now < aim_at && (free || self.retries >= 1.0) && self.send(now, id, false, out) {
                self.retries -= if free { 0.0 } else { 1.0 };
            } else {
                self.finish(now, id, out);
            }
        }
        self.dispatch(now, out);
    }

    /// One attempt more that keeps a server busy: the last one of this request.
    fn burden(&mut self, now: Nanos, id: RequestId) {
        let Some((held, attempt)) = self.requests.get(&id).and_then(|h| Some((h, h.attempts.last()?))) else {
            return;
        };
        let (at, number, pool) = (attempt.server, held.attempts.len() as u32 - 1, self.pool[held.class]);
        self.pools[pool].open += 1;
        let Some(server) = self.servers.get_mut(&at) else { return }; // gone, and forgotten meanwhile
        server.out += 1;
        server.more = server.out == self.limit && self.rng.u32(0..DEPTH_TRIES) == 0;
        server.sent.push_back((now, id, number));
        self.occupied.insert(at);
    }

    /// A long request has come whole: its server starts on it now, and its time begins.
    fn uploaded(&mut self, now: Nanos, id: RequestId) {
        let Some(held) = self.requests.get_mut(&id).filter(|held| held.long) else { return };
        let Some(attempt) = held.attempts.last_mut().filter(|attempt| attempt.open) else { return };
        let took = now.saturating_sub(attempt.sent);
        (attempt.lost, held.long) = (false, false);
        held.aim_at = held.aim_at.saturating_add(took);
        held.deadline = held.deadline.saturating_add(took);
        let at = attempt.server;
        self.burden(now, id);
        self.draw(now, at);
    }

    /// One attempt less that keeps a server busy.
    fn lighten(&mut self, class: usize, at: ServerId) {
        self.pools[self.pool[class]].open -= 1;
        if let Some(server) = self.servers.get_mut(&at) {
            server.out = server.out.saturating_sub(1);
            if server.out == 0 {
                self.occupied.remove(&at);
            }
        }
    }

    /// A server has answered what was sent later: what is overdue there does not wait in its queue. Counted
    /// as load, attempts that are never answered would pass for a crowd, and requests be refused for it.
    fn overtake(&mut self, now: Nanos, at: ServerId, later: Nanos) {
        let overdue = |u: &Usual| now.saturating_sub(overdue(u) as Nanos);
        let overdue: Vec<Nanos> = self.usual.iter().map(overdue).collect();
        let any = overdue.iter().copied().max().unwrap_or(0);
        let late = later.min(any);
        let Some(server) = self.servers.get_mut(&at) else { return };
        let mut lost = Vec::new();
        let (requests, out) = (&mut self.requests, server.out as usize);
        let live = |held: &Held, n: u32| held.attempts.get(n as usize).is_some_and(|a| a.open && !a.lost);
        let mut place = 0;
        while let Some(&(sent, id, n)) = server.sent.get(place).filter(|(sent, ..)| *sent < late) {
            let held = requests.get_mut(&id).filter(|held| live(held, n));
            match held {
                Some(held) if sent >= later.min(overdue[held.class]) => place += 1, // it may take longer
                held => {
                    if let Some(held) = held {
                        held.attempts[n as usize].lost = true;
                        lost.push(held.class);
                    }
                    if place == 0 {
                        server.sent.pop_front();
                    } else {
                        place += 1;
                    }
                }
            }
        }
        if server.sent.len() > 2 * out + 8 {
            server.sent.retain(|(_, id, n)| requests.get(id).is_some_and(|held| live(held, *n)));
        }
        lost.into_iter().for_each(|class| self.lighten(class, at));
    }

    /// Takes an answer into the strain, or that none came. Lost, or a jam? A jam where those that come
    /// are so slow that refusing begins, or none come; else the loss is its server's own fault.
    fn sense(&mut self, now: Nanos, class: usize, came: Option<f64>, warmth: f64) {
        let pool = &self.pools[self.pool[class]];
        let slow = (self.deviations(pool.pace) / STRAIN_FROM - 1.0).clamp(0.0, 1.0);
        let jam = if (now - pool.heard) as f64 > RATE_WINDOW { 1.0 } else { slow };
        let lost = warmth * (pool.pace + jam * (STRAIN_MOST - pool.pace));
        let pool = &mut self.pools[self.pool[class]];
        let gain = ((now - pool.sensed) as f64 / RATE_WINDOW).clamp(STRAIN_GAIN, 4.0 * STRAIN_GAIN);
        pool.strain += gain * (came.unwrap_or(lost).min(STRAIN_MOST) - pool.strain);
        pool.sensed = now;
        if let Some(taken) = came {
            pool.pace += 2.0 * STRAIN_GAIN * (taken.min(STRAIN_MOST) - pool.pace);
            pool.heard = now;
        }
    }

    /// Strain in deviations: what is much for jobs of like size is chance where sizes vary.
    fn excess(&self, class: usize, crowd: f64) -> f64 {
        self.deviations(self.pools[self.pool[class]].strain.max(crowd))
    }

    fn deviations(&self, strain: f64) -> f64 {
        (strain - 1.0) / self.spread()
    }

    /// Usual deviation of an answer over the mean.
    fn spread(&self) -> f64 {
        mean(self.usual.iter().map(|u| u.deviation / u.mean)).unwrap_or(SPREAD_LEAST).max(SPREAD_LEAST)
    }

    /// Outlier ejection: a failing server leaves the rotation and comes back by a single trial.
    fn strike(&mut self, now: Nanos, id: ServerId, class: usize, status: Status, sent: Nanos) {
        let (usual, jitter) = (self.usual_latency(), 0.5 + self.rng.f64());
        let Some(server) = self.servers.get_mut(&id) else { return };
        if status == Status::Full {
            // Not ill, but refilled at once it would stay full: the fuller, the less it gets done.
            server.pace[class].busy_until = now.saturating_add((2.0 * usual * jitter) as Nanos);
            return;
        }
        if sent < server.back_at {
            return; // sent before it was back: it tells of the same trouble, not that it lasts
        }
        server.strikes += 1;
        if let Some(more) = server.strikes.checked_sub(STRIKES) {
            server.back_at = now + ((EJECT << more.min(DOUBLINGS)) as f64 * jitter) as Nanos;
        }
    }

    /// The final answer: refused where that promise may be made, else failed.
    fn finish(&mut self, now: Nanos, id: RequestId, out: &mut Vec<Action>) {
        let held = &self.requests[&id];
        let effect = self.set.classes[held.class].effect;
        let refusable = held.attempts.iter().all(|a| !a.ran)
            || matches!(effect, Effect::Safe | Effect::Keyed { group: Group::All, .. });
        let retry_after = if self.set.retry_after && refusable { self.come_back(now, id) } else { 0 };
        out.push(if refusable { Action::Refuse { id, retry_after } } else { Action::Fail { id } });
        self.close(id);
    }

    /// After how long a request like this would be taken, if nothing else changes: no sooner, or it comes
    /// in vain, and no later, or servers wait for it. Drawn apart: those refused together come one by one.
    fn come_back(&mut self, now: Nanos, id: RequestId) -> Nanos {
        let class = self.requests[&id].class;
        let pool = &self.pools[self.pool[class]];
        // By Little's law what is held is done after so many times the latency.
        let needed = (pool.answered.get(now, STRAIN_WINDOW) / STRAIN_WINDOW).max(self.fair_part()).max(1.0);
        let held = f64::from(pool.open) + pool.waiting as f64;
        let cleared = self.usual[class].mean * (held / needed).max(1.0);
        // Strain fades by itself where no news keeps it up.
        let calm = 1.0 + STRAIN_FROM * self.spread();
        let faded = RATE_WINDOW * (pool.strain / calm).max(1.0).ln();
        let longest = self.set.max_retry_after;
        let wait = (cleared.max(faded) * (1.0 + self.rng.f64() / 2.0)) as Nanos;
        wait.clamp(longest.min(COLD_STEP), longest)
    }

    fn close(&mut self, id: RequestId) {
        self.wait_no_more(id);
        let Some(held) = self.requests.get_mut(&id) else { return };
        held.over = true;
        if held.attempts.iter().all(|a| !a.open) {
            self.requests.remove(&id);
        }
    }

    fn tick(&mut self, now: Nanos, out: &mut Vec<Action>) {
        out.push(Action::Timer { after: TICK, token: 0 });
        let limit = self.depth_limit();
        let least = limit.min(self.limit);
        if limit > self.limit {
            // What was told of more than these take after all is as old as what was told of these.
            let beyond = self.depths.iter_mut().skip(self.limit as usize + 1);
            beyond.for_each(|d| d.seen = d.seen.min(DEPTH_SAMPLES / 2.0));
        }
        if std::mem::replace(&mut self.limit, limit) != limit {
            let fuller =
                self.occupied.iter().filter(|id| self.servers.get(id).is_some_and(|s| s.out >= least));
            for id in fuller.copied().collect::<Vec<_>>() {
                self.draw(now, id);
            }
        }
        self.sweep(now);
        self.dispatch(now, out);
        self.tell(out);
        for pool in self.pools.iter_mut().filter(|p| (now - p.sensed) as f64 > STRAIN_WINDOW) {
            // Refusing all brings no news: the strain has to fade by itself. Bad news keeps it up.
            pool.strain *= 1.0 - TICK as f64 / RATE_WINDOW;
        }
        if now >= self.ask_at {
            // One subscription; if no answer comes at all it counts as failed after a while.
            self.ask_at = now.saturating_add(self.set.ask_within);
            out.push(Action::Watch);
        }
    }
}
