//! The machine: one node's part in the protocol.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::hash::Hasher;
use std::net::SocketAddr;
use std::sync::Arc;

use crate::config::{Identity, Nanos, Tuning, MEMBERS_MOST, MS};
use crate::peer::{Peer, State};
use crate::record::{Name, Record, Tale};
use crate::rumours::Rumours;
use crate::view::{Change, Confidence, Counts, Member};
use crate::wire::{read, Body, Envelope, Fault, Writer};

/// Its own timers this late tell a node that it was held up.
pub const HELD_UP: Nanos = 100 * MS;
const TRIES: u8 = 3; // of a probe: one alone, two with helpers
const LAST_WORDS: u8 = 3; // times that a suspect is asked itself before it is held dead
const LAST_WORD: u64 = 0; // number of such a probe: the contradiction counts, not the answer
const SLOW_MOST: u64 = 8; // times longer that a node in doubt of itself takes, beside the once
const SAMPLES: usize = 12; // probes by which a node judges how much of the fleet it hears
const SAMPLES_LEAST: u32 = 6; // fewer say nothing
const REGAIN_LEAST: u32 = 9; // probes that tell a small side that it is none any more
const DEAF_AFTER: Nanos = 1_000 * MS; // without a word from anybody
const DEAF_FOR: Nanos = 6_000 * MS; // after which the others are accused all the same
const ASKS_MOST: usize = 256; // probes for others under way
const BUCKETS: usize = 64; // of a digest
const ANSWERS_MOST: usize = 64; // answers to digests that wait
const ANSWERS_EVERY: Nanos = 20 * MS;
const ANSWERS_AT_ONCE: usize = 4; // datagrams of answers in that time
const CHECKS_MOST: usize = 32; // accusations to be checked that wait
const FLOOD_EACH: Nanos = MS / 2; // time that one datagram stands for: 2,000 a second are read
const FLOOD_BURST: Nanos = 512 * FLOOD_EACH;
const HEARD_WITHIN: Nanos = 5_000 * MS; // for a member to count as heard
const SWEEP_EVERY: Nanos = 1_000 * MS;
const REJOIN_LEAST: Nanos = 250 * MS; // between tries while nobody else is known
const FAREWELLS: u32 = 3; // rounds of goodbye
const FAREWELL_EVERY: Nanos = 100 * MS;
const FAREWELL_TO: usize = 8; // members in each
const REACTIONS: u32 = 3; // of another process of this name, until it is sure to be alive

/// What the machine is told.
#[derive(Clone, Copy, Debug)]
pub enum Event<'a> {
    /// A datagram has come.
    Datagram {
        /// Where an answer goes.
        from: SocketAddr,
        /// It.
        bytes: &'a [u8],
    },
    /// Time has passed.
    Tick,
    /// This node leaves the fleet.
    Leave,
}

/// What it wants done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send this.
    Send {
        /// Where to.
        to: SocketAddr,
        /// What.
        bytes: Vec<u8>,
    },
    /// Something is now seen otherwise.
    Changed(Change),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Part {
    Takes,
    Leaves {
        rounds: u32,
        next: Nanos,
    },
    /// Left, or stood down for another process of this name.
    Over,
}

#[derive(Clone, Debug)]
struct Probe {
    number: u64,
    target: Name,
    drawn: bool, // in its turn, not because it was accused: only such tell of the fleet as a whole
    tried: u8,
    next: Nanos,
    helpers: BTreeSet<Name>,
    answered: bool, // any helper said anything
}

#[derive(Clone, Debug)]
struct Asked {
    number: u64,
    origin: Name,
    origin_at: SocketAddr,
    origin_number: u64,
    nack_at: Nanos,
    nacked: bool,
}

#[derive(Clone, Debug)]
struct Answer {
    to: Name,
    at: SocketAddr,
    left: VecDeque<Name>,
}

/// One node's part. See the crate's own words for an example.
#[derive(Clone, Debug)]
pub struct Membership {
    me: Identity,
    cluster: u64,
    incarnation: u64,
    tuning: Tuning,
    rng: fastrand::Rng,
    part: Part,
    peers: BTreeMap<Name, Peer>,
    live: Option<Arc<[Name]>>, // names of those that take part, made again when that has changed
    sums: Option<Vec<u32>>,    // likewise
    tally: Option<(usize, usize)>, // likewise: all that should be, and those that take part
    round: Vec<Name>,          // still to be probed in this round
    probe: Option<Probe>,
    next_probe: Nanos,
    checks: VecDeque<Name>,
    asked: VecDeque<Asked>,
    suspects: BTreeSet<Name>,
    rumours: Rumours,
    next_gossip: Nanos,
    next_digest: Nanos,
    next_rejoin: Nanos,
    rejoin_wait: Nanos,
    answers: VecDeque<Answer>,
    next_answer: Nanos,
    next_sweep: Nanos,
    samples: VecDeque<(Name, bool)>,
    heard_any: Nanos,
    expected: Option<Nanos>, // when it asked to be told of the time
    deaf: bool,
    slow: u64,
    majority: bool,
    counter: u64,
    numbers: u64,
    flood: Nanos,
    reactions: u32,
    contradicts: bool, // what the datagram at hand holds of this node is out of date
    counts: Counts,
}

fn hash(parts: &[&[u8]]) -> u64 {
    let mut hasher = fnv::FnvHasher::default();
    parts.iter().for_each(|part| hasher.write(part));
    hasher.finish()
}

impl Membership {
    /// Begins to look for the others at once. The same seed and events give the same actions.
    pub fn new(me: Identity, tuning: Tuning, seed: u64, now: Nanos) -> Self {
        let mut rng = fastrand::Rng::with_seed(seed);
        // Nodes that start together do not go on in step.
        let next_probe = now + rng.u64(0..=tuning.probe_every);
        let next_digest = now + rng.u64(0..=tuning.digest_every);
        Membership {
            cluster: me.cluster_number(),
            me,
            incarnation: 1,
            rng,
            part: Part::Takes,
            peers: BTreeMap::new(),
            live: None,
            sums: None,
            tally: None,
            round: Vec::new(),
            probe: None,
            next_probe,
            checks: VecDeque::new(),
            asked: VecDeque::new(),
            suspects: BTreeSet::new(),
            rumours: Rumours::default(),
            next_gossip: now,
            next_digest,
            next_rejoin: now,
            rejoin_wait: REJOIN_LEAST,
            answers: VecDeque::new(),
            next_answer: now,
            next_sweep: now + SWEEP_EVERY,
            samples: VecDeque::new(),
            heard_any: now,
            expected: Some(now),
            deaf: false,
            slow: 0,
            majority: true,
            counter: 0,
            numbers: 0,
            flood: now,
            reactions: 0,
            contradicts: false,
            counts: Counts::default(),
            tuning,
        }
    }

    /// When it wants to be told that time has passed; none: never again.
    pub fn due(&self) -> Option<Nanos> {
        match self.part {
            Part::Over => return None,
            Part::Leaves { next, .. } => return Some(next),
            Part::Takes => {}
        }
        let mut due = self.next_digest.min(self.next_rejoin).min(self.next_sweep);
        due = due.min(self.probe.as_ref().map_or(self.next_probe, |probe| probe.next));
        if !self.rumours.is_empty() {
            due = due.min(self.next_gossip);
        }
        if !self.answers.is_empty() {
            due = due.min(self.next_answer);
        }
        let nack = self.asked.iter().filter(|asked| !asked.nacked).map(|asked| asked.nack_at).min();
        Some([nack, self.first_deadline()].into_iter().flatten().fold(due, Nanos::min))
    }

    fn first_deadline(&self) -> Option<Nanos> {
        let wanted = self.wanted();
        let of = |name| {
            self.peers.get(name).and_then(|peer: &Peer| peer.deadline(&self.tuning, wanted, 1 + self.slow))
        };
        self.suspects.iter().filter_map(of).min()
    }

    /// Takes note of an event. `now` is monotonic time and never less than before.
    pub fn handle(&mut self, now: Nanos, event: Event, out: &mut Vec<Action>) {
        if self.part == Part::Over {
            return;
        }
        if let Some(late) = self.expected.and_then(|due| now.checked_sub(due)).filter(|&late| late > HELD_UP)
        {
            self.held_up(now, late);
        }
        match event {
            Event::Datagram { from, bytes } => {
                if let Err(fault) = self.datagram(now, from, bytes, out) {
                    *self.counts.faults.entry(fault).or_default() += 1;
                }
            }
            Event::Tick => self.tick(now, out),
            Event::Leave => {
                if self.part == Part::Takes {
                    self.part = Part::Leaves { rounds: 0, next: now };
                    self.farewell(now, out);
                }
            }
        }
        self.judge(out);
        // What has become due by an event is not late because of the time before it.
        self.expected = self.due().map(|due| due.max(now));
    }

    /// This process did nothing for that long: what did not come meanwhile says nothing about others.
    fn held_up(&mut self, now: Nanos, late: Nanos) {
        self.counts.held_up += 1;
        self.slow = (self.slow + 2).min(SLOW_MOST);
        self.probe = None;
        self.asked.clear();
        self.samples.clear();
        self.heard_any = now;
        self.deaf = false;
        self.next_probe = now + self.tuning.probe_every;
        for name in &self.suspects {
            if let Some(peer) = self.peers.get_mut(name) {
                peer.shift(late);
            }
        }
    }

    fn tick(&mut self, now: Nanos, out: &mut Vec<Action>) {
        if let Part::Leaves { next, .. } = self.part {
            if next <= now {
                self.farewell(now, out);
            }
            return;
        }
        self.end_suspicions(now, out);
        self.go_on_probing(now, out);
        self.nack(now, out);
        if !self.rumours.is_empty() && self.next_gossip <= now {
            self.next_gossip = now + self.tuning.gossip_every;
            for name in self.pick(self.tuning.fan_out) {
                self.send_to(&name, Body::Gossip, &[], out);
            }
        }
        if self.next_answer <= now && !self.answers.is_empty() {
            self.next_answer = now + ANSWERS_EVERY;
            (0..ANSWERS_AT_ONCE).for_each(|_| self.answer(out));
        }
        if self.next_digest <= now {
            let every = self.tuning.digest_every;
            self.next_digest = now + every / 2 + self.rng.u64(0..=every);
            if let Some(name) = self.pick(1).pop() {
                let body = Body::Digest { sums: self.sums().clone(), answer: true };
                self.send_to(&name, body, &[self.record()], out);
            }
        }
        if self.next_rejoin <= now {
            self.rejoin(now, out);
        }
        if self.next_sweep <= now {
            self.next_sweep = now + SWEEP_EVERY;
            self.forget(now, out);
        }
    }

    // ---- probes

    fn go_on_probing(&mut self, now: Nanos, out: &mut Vec<Action>) {
        if let Some(mut probe) = self.probe.take() {
            if probe.next > now {
                self.probe = Some(probe);
                return;
            }
            if probe.tried < TRIES {
                self.try_again(now, &mut probe, out);
                self.probe = Some(probe);
                return;
            }
            self.failed(now, &probe, out);
        }
        if self.next_probe > now {
            return;
        }
        self.next_probe = now + self.tuning.probe_every;
        let Some((target, drawn)) = self.next_target() else { return };
        self.numbers += 1;
        let (number, helpers) = (self.numbers, BTreeSet::new());
        let mut probe = Probe { number, target, drawn, tried: 0, next: now, helpers, answered: false };
        self.try_again(now, &mut probe, out);
        self.probe = Some(probe);
    }

    fn next_target(&mut self) -> Option<(Name, bool)> {
        while let Some(name) = self.checks.pop_front() {
            if self.suspects.contains(&name) {
                return Some((name, false));
            }
        }
        loop {
            if self.round.is_empty() {
                self.round = if self.majority { self.live().to_vec() } else { self.should_be() };
                self.rng.shuffle(&mut self.round);
            }
            let name = self.round.pop()?;
            let asks =
                |peer: &Peer| peer.is_live() || !self.majority && !matches!(peer.state, State::Left { .. });
            if self.peers.get(&name).is_some_and(asks) {
                return Some((name, true));
            }
        }
    }

    /// All that did not leave. A node on a small side asks the dead as well: only that tells when it is over.
    fn should_be(&self) -> Vec<Name> {
        let stays = |peer: &Peer| !matches!(peer.state, State::Left { .. });
        self.peers.iter().filter(|(_, peer)| stays(peer)).map(|(name, _)| name.clone()).collect()
    }

    fn try_again(&mut self, now: Nanos, probe: &mut Probe, out: &mut Vec<Action>) {
        probe.tried += 1;
        probe.next = now + self.tuning.answer_within * (1 + self.slow);
        self.send_to(&probe.target, Body::Ping { probe: probe.number }, &[], out);
        if probe.tried == 1 {
            return;
        }
        let Some(address) = self.peers.get(&probe.target).map(|peer| peer.profile.address) else { return };
        for helper in self.helpers(probe) {
            let body = Body::Ask { probe: probe.number, target: probe.target.clone(), address };
            self.send_to(&helper, body, &[], out);
            probe.helpers.insert(helper);
        }
    }

    /// Members to ask for a probe that does not go through: of other zones first, each zone once before any twice.
    fn helpers(&mut self, probe: &Probe) -> Vec<Name> {
        let mut able: Vec<Name> = self.live().to_vec();
        able.retain(|name| {
            *name != probe.target && !probe.helpers.contains(name) && !self.suspects.contains(name)
        });
        self.rng.shuffle(&mut able);
        let mut used: BTreeMap<Name, usize> = BTreeMap::new();
        let mut ranked: Vec<(bool, usize, Name)> = Vec::new();
        for name in able {
            let Some(peer) = self.peers.get(&name) else { continue };
            let times = used.entry(peer.profile.zone.clone()).or_default();
            ranked.push((peer.profile.zone == self.me.profile.zone, *times, name));
            *times += 1;
        }
        ranked.sort_by_key(|(own, times, _)| (*own, *times)); // stable: the order stays a drawn one
        ranked.into_iter().take(self.tuning.helpers).map(|(_, _, name)| name).collect()
    }

    fn sample(&mut self, probe: &Probe, reached: bool) {
        if !probe.drawn {
            return;
        }
        self.samples.push_back((probe.target.clone(), reached));
        if self.samples.len() > SAMPLES {
            self.samples.pop_front();
        }
    }

    fn failed(&mut self, now: Nanos, probe: &Probe, out: &mut Vec<Action>) {
        self.sample(probe, false);
        if !probe.helpers.is_empty() && !probe.answered {
            self.slow = (self.slow + 1).min(SLOW_MOST); // not one of them said even that it had no answer
        }
        // Whoever hears nobody at all is more likely to be at fault itself, for a while.
        let silence = now.saturating_sub(self.heard_any);
        self.deaf = silence > DEAF_AFTER * (1 + self.slow);
        if self.deaf && silence < DEAF_FOR {
            return;
        }
        let Some(peer) = self.peers.get(&probe.target).filter(|peer| peer.is_live()) else { return };
        let tale = Tale::Suspect { by: self.me.name.clone() };
        let record =
            Record { name: probe.target.clone(), incarnation: peer.incarnation, run: peer.run, tale };
        self.counts.accused += 1;
        self.learn(now, &record, None, out);
    }

    fn nack(&mut self, now: Nanos, out: &mut Vec<Action>) {
        let late = self.tuning.answer_within * 2;
        self.asked.retain(|asked| asked.nack_at + late > now);
        let mut due = Vec::new();
        for asked in self.asked.iter_mut().filter(|asked| !asked.nacked && asked.nack_at <= now) {
            asked.nacked = true;
            due.push((asked.origin.clone(), asked.origin_at, asked.origin_number));
        }
        for (origin, at, probe) in due {
            self.send(Some(&origin), at, Body::Nack { probe }, &[], out);
        }
    }

    // ---- what is heard

    fn datagram(
        &mut self, now: Nanos, from: SocketAddr, bytes: &[u8], out: &mut Vec<Action>,
    ) -> Result<(), Fault> {
        self.flood = self.flood.max(now);
        if self.flood > now + FLOOD_BURST {
            return Err(Fault::Flood);
        }
        self.flood += FLOOD_EACH;
        let (envelope, records) = read(self.cluster, bytes)?;
        if envelope.from == self.me.name && envelope.run == self.me.run {
            return Err(Fault::Own);
        }
        if envelope.to.as_ref().is_some_and(|to| *to != self.me.name) {
            return Err(Fault::Misdirected);
        }
        // Of another start than the one that is known nothing can be said; what it tells is merged as ever.
        if let Some(peer) = self.peers.get_mut(&envelope.from).filter(|peer| peer.run == envelope.run) {
            if !peer.window.take(envelope.counter) {
                return Err(Fault::Replayed);
            }
            peer.heard = Some(now);
        }
        self.counts.heard += 1;
        self.contradicts = false;
        (self.heard_any, self.deaf) = (now, false);
        for record in &records {
            self.learn(now, record, Some(&envelope.from), out);
        }
        if self.part != Part::Takes {
            return Ok(()); // it has just stood down, or leaves
        }
        let who = Some(&envelope.from);
        let gossiped = matches!(envelope.body, Body::Gossip);
        match envelope.body {
            Body::Ping { probe } => {
                let own: Vec<Record> = self.contradicts.then(|| self.record()).into_iter().collect();
                self.send(who, from, Body::Ack { probe }, &own, out);
            }
            Body::Ack { probe } => self.acked(now, &envelope.from, probe, out)?,
            Body::Ask { probe, target, address } => {
                if self.asked.len() >= ASKS_MOST {
                    return Err(Fault::Flood);
                }
                self.numbers += 1;
                self.asked.push_back(Asked {
                    number: self.numbers,
                    origin: envelope.from.clone(),
                    origin_at: from,
                    origin_number: probe,
                    nack_at: now + self.tuning.answer_within * 4 / 5,
                    nacked: false,
                });
                // Where this node sees it, if it does: an address may differ by observer.
                let at = self.peers.get(&target).map_or(address, |peer| peer.profile.address);
                self.send(Some(&target), at, Body::Ping { probe: self.numbers }, &[], out);
            }
            Body::Nack { probe } => {
                let of = self.probe.as_mut().filter(|own| own.number == probe);
                let own = of.filter(|own| own.helpers.contains(&envelope.from)).ok_or(Fault::Unexpected)?;
                own.answered = true;
            }
            Body::Digest { sums, answer } => self.digest(&envelope.from, from, &sums, answer, out)?,
            Body::Gossip => {}
        }
        // Who is held dead here, or has given way to another start, learns of it and can refute or stand down.
        let Some(peer) = self.peers.get(&envelope.from) else { return Ok(()) };
        let other = peer.run != envelope.run;
        if other || gossiped && !peer.is_live() {
            let records = if other { peer.records(&envelope.from, &self.me.name) } else { Vec::new() };
            self.send(who, from, Body::Gossip, &records, out);
        }
        Ok(())
    }

    fn acked(&mut self, now: Nanos, from: &Name, number: u64, out: &mut Vec<Action>) -> Result<(), Fault> {
        if number == LAST_WORD {
            return Ok(());
        }
        if let Some(probe) = self.probe.take_if(|probe| {
            probe.number == number && (probe.target == *from || probe.helpers.contains(from))
        }) {
            self.slow = self.slow.saturating_sub(1);
            self.sample(&probe, true);
            if let Some(peer) = self.peers.get_mut(&probe.target) {
                if matches!(peer.state, State::Dead { sure: false, .. }) {
                    peer.state = State::Alive;
                    peer.refuted(now);
                    let tale = Tale::Alive(peer.profile.clone());
                    let name = probe.target.clone();
                    let record = Record { name, incarnation: peer.incarnation, run: peer.run, tale };
                    self.changed(&record, Some("dead"), "alive", out);
                }
            }
            return Ok(());
        }
        let at = self.asked.iter().position(|asked| asked.number == number).ok_or(Fault::Unexpected)?;
        let Some(asked) = self.asked.remove(at) else { return Ok(()) };
        self.send(Some(&asked.origin), asked.origin_at, Body::Ack { probe: asked.origin_number }, &[], out);
        Ok(())
    }

    // ---- records

    /// What this node says of itself.
    fn record(&self) -> Record {
        let tale = match self.part {
            Part::Takes => Tale::Alive(self.me.profile.clone()),
            _ => Tale::Left,
        };
        Record { name: self.me.name.clone(), incarnation: self.incarnation, run: self.me.run, tale }
    }

    /// Merges a record that `from` has told, or that this node has found out itself.
    fn learn(&mut self, now: Nanos, record: &Record, from: Option<&Name>, out: &mut Vec<Action>) {
        if record.name == self.me.name {
            return self.of_myself(record, out);
        }
        let Some(peer) = self.peers.get_mut(&record.name) else {
            let Tale::Alive(profile) = &record.tale else { return };
            if self.peers.len() + 1 >= MEMBERS_MOST {
                *self.counts.faults.entry(Fault::Full).or_default() += 1;
                return;
            }
            let peer = Peer::new(profile.clone(), record.incarnation, record.run);
            self.peers.insert(record.name.clone(), peer);
            let place = self.rng.usize(0..=self.round.len());
            self.round.insert(place, record.name.clone());
            return self.changed(record, None, "alive", out);
        };
        let was = peer.state.name();
        let newer = record.incarnation > peer.incarnation;
        let same = record.incarnation == peer.incarnation && record.run == peer.run;
        match &record.tale {
            Tale::Alive(profile) => {
                if record.weight() <= peer.weight() {
                    return;
                }
                if record.run != peer.run {
                    peer.window = crate::wire::Window::default();
                    peer.heard = None;
                }
                (peer.incarnation, peer.run) = (record.incarnation, record.run);
                peer.profile = profile.clone();
                let came_back = peer.state != State::Alive;
                peer.state = State::Alive;
                if came_back {
                    peer.refuted(now);
                    self.suspects.remove(&record.name);
                    self.changed(record, Some(was), "alive", out);
                } else {
                    self.sums = None;
                    self.rumours.add(record);
                }
            }
            Tale::Suspect { by } => {
                let fresh = newer || same && peer.is_live();
                if !fresh || peer.is_calm(now) {
                    return;
                }
                self.accuse(now, record, by.clone(), out);
            }
            Tale::Dead => {
                let fresh = newer || same && peer.is_live();
                if !fresh || peer.is_calm(now) {
                    return;
                }
                if matches!(peer.state, State::Suspect { .. }) && same {
                    peer.state = State::Dead { since: now, sure: self.majority };
                    self.suspects.remove(&record.name);
                    self.changed(record, Some(was), "dead", out);
                } else if let Some(from) = from {
                    // Not suspected here so far: it gets the time to refute.
                    self.accuse(now, record, from.clone(), out);
                }
            }
            Tale::Left => {
                if !newer && !same || matches!(peer.state, State::Left { .. }) {
                    return;
                }
                peer.incarnation = record.incarnation;
                peer.run = record.run;
                peer.state = State::Left { since: now };
                self.suspects.remove(&record.name);
                self.changed(record, Some(was), "left", out);
            }
        }
    }

    fn accuse(&mut self, now: Nanos, record: &Record, by: Name, out: &mut Vec<Action>) {
        let wanted = self.wanted();
        let live = self.live().len();
        let Some(peer) = self.peers.get_mut(&record.name) else { return };
        let was = peer.state.name();
        let told = Record { tale: Tale::Suspect { by: by.clone() }, ..record.clone() };
        (peer.incarnation, peer.run) = (record.incarnation, record.run);
        if let State::Suspect { accusers, .. } = &mut peer.state {
            if accusers.len() <= wanted && !accusers.contains(&by) {
                accusers.push(by.clone());
                self.spread(&told, &by);
            }
            return;
        }
        peer.state = State::Suspect { since: now, accusers: vec![by.clone()], last_words: None };
        self.suspects.insert(record.name.clone());
        // Some of those who hear of it look for themselves, which is what confirms a death soon.
        let checks = by != self.me.name && self.rng.usize(0..live.max(1)) < self.tuning.checkers;
        if checks && self.checks.len() < CHECKS_MOST {
            self.checks.push_back(record.name.clone());
            self.next_probe = self.next_probe.min(now);
        }
        if was != "suspect" {
            let change = Change::Member { name: record.name.clone(), was: Some(was), is: "suspect" };
            out.push(Action::Changed(change));
        }
        self.live = None;
        self.sums = None;
        self.tally = None;
        self.spread(&told, &by);
    }

    /// Tells others, unless it is this node's own word and it hears nobody.
    fn spread(&mut self, record: &Record, by: &Name) {
        if !self.deaf || *by != self.me.name {
            self.rumours.add(record);
        }
    }

    fn changed(
        &mut self, record: &Record, was: Option<&'static str>, is: &'static str, out: &mut Vec<Action>,
    ) {
        self.live = None;
        self.sums = None;
        self.tally = None;
        if !self.deaf || !matches!(record.tale, Tale::Dead) {
            self.rumours.add(record);
        }
        out.push(Action::Changed(Change::Member { name: record.name.clone(), was, is }));
    }

    /// Others tell this node what they hold of it.
    fn of_myself(&mut self, record: &Record, out: &mut Vec<Action>) {
        if self.part != Part::Takes {
            return;
        }
        let other = record.run != self.me.run;
        match &record.tale {
            Tale::Alive(_) if !other || record.weight() <= self.record().weight() => return,
            Tale::Alive(_) => {
                // One start of this node before it, or another process with its name. Only a living one goes on
                // answering with ever greater numbers.
                self.reactions += 1;
                if self.reactions >= REACTIONS && record.run > self.me.run {
                    self.part = Part::Over;
                    self.rumours = Rumours::default();
                    out.push(Action::Changed(Change::StoodDown));
                    return;
                }
            }
            _ if record.incarnation < self.incarnation => {
                self.contradicts = true; // again, to whom the first time did not reach
                return;
            }
            Tale::Suspect { .. } | Tale::Dead if !other => {
                self.slow = (self.slow + 1).min(SLOW_MOST);
                self.counts.refuted += 1;
            }
            _ => {}
        }
        self.incarnation = record.incarnation + 1;
        self.sums = None;
        let own = self.record();
        self.rumours.add(&own);
    }

    /// Accusers beside the first that shorten the time to refute.
    fn wanted(&self) -> usize {
        self.tuning.accusers.min(self.peers.len().saturating_sub(2))
    }

    fn end_suspicions(&mut self, now: Nanos, out: &mut Vec<Action>) {
        let wanted = self.wanted();
        let over: Vec<Name> = self
            .suspects
            .iter()
            .filter(|name| {
                let deadline =
                    self.peers.get(*name).and_then(|peer| peer.deadline(&self.tuning, wanted, 1 + self.slow));
                deadline.is_none_or(|at| at <= now)
            })
            .cloned()
            .collect();
        for name in over {
            let until = now + self.tuning.answer_within * (1 + self.slow);
            let Some(peer) = self.peers.get_mut(&name) else { continue };
            if let State::Suspect { last_words, .. } = &mut peer.state {
                let (asked, _) = last_words.unwrap_or((0, now));
                if asked < LAST_WORDS {
                    // Its contradiction may be what did not come here: whoever is asked with an accusation that it
                    // has contradicted answers with what holds.
                    *last_words = Some((asked + 1, until));
                    self.send_to(&name, Body::Ping { probe: LAST_WORD }, &[], out);
                    continue;
                }
            }
            self.suspects.remove(&name);
            peer.state = State::Dead { since: now, sure: self.majority };
            let record = Record { name, incarnation: peer.incarnation, run: peer.run, tale: Tale::Dead };
            self.changed(&record, Some("suspect"), "dead", out);
        }
    }

    fn forget(&mut self, now: Nanos, out: &mut Vec<Action>) {
        if !self.majority {
            return; // a small side that forgot the others would take itself for the whole
        }
        let (dead, left) = (self.tuning.forget_dead, self.tuning.forget_left);
        let over = |peer: &Peer| match peer.state {
            State::Dead { since, .. } => since + dead <= now,
            State::Left { since } => since + left <= now,
            _ => false,
        };
        let gone: Vec<Name> =
            self.peers.iter().filter(|(_, peer)| over(peer)).map(|(name, _)| name.clone()).collect();
        if !gone.is_empty() {
            self.tally = None;
        }
        for name in gone {
            let was = self.peers.remove(&name).map(|peer| peer.state.name());
            self.rumours.drop_all_of(&name);
            out.push(Action::Changed(Change::Member { name, was, is: "forgotten" }));
        }
    }

    // ---- digests

    fn sums(&mut self) -> &Vec<u32> {
        let own = self.record();
        let of = |sums: &mut Vec<u32>, name: &Name, incarnation: u64, run: u64| {
            let sum = hash(&[name.as_bytes(), &incarnation.to_le_bytes(), &run.to_le_bytes()]);
            let slot = &mut sums[bucket(name)];
            *slot = slot.wrapping_add(sum as u32 ^ (sum >> 32) as u32);
        };
        self.sums.get_or_insert_with(|| {
            let mut sums = vec![0; BUCKETS];
            of(&mut sums, &own.name, own.incarnation, own.run);
            for (name, peer) in self.peers.iter().filter(|(_, peer)| peer.is_live()) {
                of(&mut sums, name, peer.incarnation, peer.run);
            }
            sums
        })
    }

    fn digest(
        &mut self, from: &Name, at: SocketAddr, sums: &[u32], answer: bool, out: &mut Vec<Action>,
    ) -> Result<(), Fault> {
        if sums.len() != BUCKETS {
            return Err(Fault::Malformed);
        }
        let own = self.sums().clone();
        if answer {
            let record = self.record();
            self.send(Some(from), at, Body::Digest { sums: own.clone(), answer: false }, &[record], out);
        }
        let differs = |name: &Name| own[bucket(name)] != sums[bucket(name)];
        let left: VecDeque<Name> =
            self.peers.keys().filter(|name| *name != from && differs(name)).cloned().collect();
        if left.is_empty() {
            return Ok(());
        }
        if self.answers.len() >= ANSWERS_MOST {
            return Err(Fault::Flood);
        }
        self.answers.retain(|waits| waits.to != *from); // the newest holds
        self.answers.push_back(Answer { to: from.clone(), at, left });
        Ok(())
    }

    /// One datagram of the answer that waits longest.
    fn answer(&mut self, out: &mut Vec<Action>) {
        let Some(mut first) = self.answers.pop_front() else { return };
        let mut writer = self.begin(Some(&first.to), Body::Gossip);
        while let Some(name) = first.left.front() {
            let records = self.peers.get(name).map(|peer| peer.records(name, &self.me.name));
            // A side that hears too little keeps its deaths to itself.
            let told =
                records.into_iter().flatten().filter(|r| self.majority || !matches!(r.tale, Tale::Dead));
            let bytes: Vec<u8> = told.flat_map(|record| crate::wire::encode(&record)).collect();
            if !writer.add(&bytes) {
                break;
            }
            first.left.pop_front();
        }
        self.finish(first.at, writer, out);
        if !first.left.is_empty() {
            self.answers.push_back(first);
        }
    }

    /// Looks for those who are not there: dead members and seeds.
    fn rejoin(&mut self, now: Nanos, out: &mut Vec<Action>) {
        let alone = self.live().is_empty();
        let every = self.tuning.rejoin_every;
        self.rejoin_wait = if alone { (self.rejoin_wait * 3 / 2).min(every) } else { every };
        self.next_rejoin = now + self.rejoin_wait / 2 + self.rng.u64(0..=self.rejoin_wait);
        let dead = self.peers.iter().filter(|(_, peer)| matches!(peer.state, State::Dead { .. }));
        let mut places: Vec<(Option<Name>, SocketAddr)> =
            dead.map(|(name, peer)| (Some(name.clone()), peer.profile.address)).collect();
        let here = |at: &SocketAddr| {
            *at == self.me.profile.address
                || self.peers.values().any(|peer| peer.is_live() && peer.profile.address == *at)
        };
        places.extend(self.me.seeds.iter().filter(|at| !here(at)).map(|at| (None, *at)));
        if places.is_empty() {
            return;
        }
        let (name, at) = places.swap_remove(self.rng.usize(0..places.len()));
        let (body, record) = (Body::Digest { sums: self.sums().clone(), answer: true }, self.record());
        self.send(name.as_ref(), at, body, &[record], out);
    }

    fn farewell(&mut self, now: Nanos, out: &mut Vec<Action>) {
        let Part::Leaves { rounds, .. } = self.part else { return };
        if rounds >= FAREWELLS {
            self.part = Part::Over;
            return;
        }
        self.part = Part::Leaves { rounds: rounds + 1, next: now + FAREWELL_EVERY };
        let record = self.record();
        for name in self.pick(FAREWELL_TO) {
            self.send_to(&name, Body::Gossip, std::slice::from_ref(&record), out);
        }
    }

    // ---- sending

    fn live(&mut self) -> Arc<[Name]> {
        let peers = &self.peers;
        let make = || peers.iter().filter(|(_, peer)| peer.is_live()).map(|(name, _)| name.clone()).collect();
        self.live.get_or_insert_with(make).clone()
    }

    /// So many live members, drawn.
    fn pick(&mut self, count: usize) -> Vec<Name> {
        let live = self.live();
        let mut picked: Vec<Name> = Vec::with_capacity(count);
        // Draws that meet the same twice are rare and bounded.
        for _ in 0..4 * count {
            if picked.len() >= count.min(live.len()) {
                break;
            }
            let name = &live[self.rng.usize(0..live.len())];
            if !picked.contains(name) {
                picked.push(name.clone());
            }
        }
        picked
    }

    fn begin(&mut self, to: Option<&Name>, body: Body) -> Writer {
        self.counter += 1;
        Writer::new(&Envelope {
            cluster: self.cluster,
            from: self.me.name.clone(),
            run: self.me.run,
            counter: self.counter,
            to: to.cloned(),
            body,
        })
    }

    fn finish(&mut self, to: SocketAddr, mut writer: Writer, out: &mut Vec<Action>) {
        // Told as often as it takes for all to hear: twice the rounds in which one tells another.
        let most = 2 * (usize::BITS - (self.peers.len() + 1).leading_zeros());
        self.rumours.fill(&mut writer, most);
        let bytes = writer.finish();
        self.counts.sent += 1;
        self.counts.sent_bytes += bytes.len() as u64;
        out.push(Action::Send { to, bytes });
    }

    fn send_to(&mut self, name: &Name, body: Body, records: &[Record], out: &mut Vec<Action>) {
        if let Some(at) = self.peers.get(name).map(|peer| peer.profile.address) {
            self.send(Some(name), at, body, records, out);
        }
    }

    /// Sends these records, what is held against the one it goes to, and rumours as there is room.
    fn send(
        &mut self, name: Option<&Name>, at: SocketAddr, body: Body, records: &[Record], out: &mut Vec<Action>,
    ) {
        let against = name.and_then(|name| {
            let peer = self.peers.get(name).filter(|peer| peer.state != State::Alive)?;
            Some(peer.records(name, &self.me.name))
        });
        let mut writer = self.begin(name, body);
        let first = against.into_iter().flatten().filter(|record| !matches!(record.tale, Tale::Alive(_)));
        for record in first.chain(records.iter().cloned()) {
            writer.add(&crate::wire::encode(&record)); // these few always fit
        }
        self.finish(at, writer, out);
    }

    // ---- what others are told

    /// How much of the fleet this node hears, as its own probes tell before deaths do.
    fn hears_majority(&mut self) -> bool {
        let peers = &self.peers;
        let (known, live) = *self.tally.get_or_insert_with(|| {
            let should = peers.values().filter(|peer| !matches!(peer.state, State::Left { .. }));
            should.fold((1, 0), |(known, live), peer| (known + 1, live + usize::from(peer.is_live())))
        });
        // Deaths are in the count of the living; what a probe says of them would count twice.
        let of_live =
            |(name, _): &&(Name, bool)| !self.majority || peers.get(name).is_some_and(Peer::is_live);
        let (probed, reached) = self
            .samples
            .iter()
            .filter(of_live)
            .fold((0u32, 0u32), |(all, reached), (_, ok)| (all + 1, reached + u32::from(*ok)));
        if !self.majority {
            // Hearsay brings others back to life, but only who is reached both ways can be counted on.
            return probed >= REGAIN_LEAST && 3 * reached >= 2 * probed && 2 * (1 + live) > known;
        }
        let share = if probed < SAMPLES_LEAST { 1.0 } else { f64::from(reached) / f64::from(probed) };
        2.0 * (1.0 + live as f64 * share) > known as f64
    }

    fn judge(&mut self, out: &mut Vec<Action>) {
        let majority = self.hears_majority();
        if majority != self.majority {
            self.majority = majority;
            self.samples.clear();
            self.round.clear();
            out.push(Action::Changed(Change::Majority(majority)));
        }
    }

    /// All members that are not forgotten, this one among them, by name.
    pub fn members(&self, now: Nanos) -> Vec<Member> {
        let own = Member {
            name: self.me.name.clone(),
            profile: self.me.profile.clone(),
            incarnation: self.incarnation,
            state: if self.part == Part::Takes { "alive" } else { "left" },
            silent_for: Some(0),
        };
        let others = self.peers.iter().map(|(name, peer)| Member {
            name: name.clone(),
            profile: peer.profile.clone(),
            incarnation: peer.incarnation,
            state: peer.state.name(),
            silent_for: peer.heard.map(|at| now.saturating_sub(at)),
        });
        let mut all: Vec<Member> = others.chain([own]).collect();
        all.sort_by(|a, b| a.name.cmp(&b.name));
        all
    }

    /// How sure the view is.
    pub fn confidence(&self, now: Nanos) -> Confidence {
        let mut of = Confidence::of(&self.me.profile, self.peers.iter(), now, HEARD_WITHIN);
        of.majority = self.majority;
        of
    }

    /// State of one member, by name.
    pub fn state_of(&self, name: &str) -> Option<&'static str> {
        if *self.me.name == *name {
            return Some(if self.part == Part::Takes { "alive" } else { "left" });
        }
        self.peers.get(name).map(|peer| peer.state.name())
    }

    /// Whether this node hears more than half of what should be there.
    pub fn majority(&self) -> bool {
        self.majority
    }

    /// Members that are alive, this node among them.
    pub fn alive(&self) -> usize {
        1 + self.peers.values().filter(|peer| peer.state == State::Alive).count()
    }

    /// Whether this process takes part: it has neither left nor stood down.
    pub fn takes_part(&self) -> bool {
        self.part == Part::Takes
    }

    /// This node's own number.
    pub fn incarnation(&self) -> u64 {
        self.incarnation
    }

    /// The number of this process among all of its name.
    pub fn run(&self) -> u64 {
        self.me.run
    }

    /// What has been sent and heard.
    pub fn counts(&self) -> &Counts {
        &self.counts
    }

    /// Where live and dead members may be found again after a restart.
    pub fn addresses(&self) -> Vec<SocketAddr> {
        let others = self.peers.values().filter(|peer| !matches!(peer.state, State::Left { .. }));
        others.map(|peer| peer.profile.address).collect()
    }
}

fn bucket(name: &Name) -> usize {
    (hash(&[name.as_bytes()]) % BUCKETS as u64) as usize
}
