//! A guide server: what it does with the requests that reach it.
//!
//! Requests in work share its cores; the rest wait in its waiting room, and what finds no place there is
//! turned away unseen. A server that holds too many gets less done, one that has just started is cold, and
//! a cold one that is sent too much falls over and stays down.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, VecDeque};

use rand::Rng;
use serde::Deserialize;

use crate::seed::{Seed, Stream};
use crate::{millis, Nanos, MS, SECOND};

/// While a server warms up its speed is taken as constant for so long at the most.
const WARM_STEP: Nanos = 50 * MS;

/// What stops when its client gives up.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum CancelScope {
    /// Nothing: work goes on for nobody.
    #[default]
    Nothing,
    /// What still waits.
    Waiting,
    /// What waits and what is in work.
    All,
}

/// What warms a server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum WarmUpMode {
    /// Time alone.
    #[default]
    Time,
    /// The work it has done; never slower than by time.
    Work,
}

/// How a kind of server is built.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ServerSpec {
    /// Cores that share the requests in work.
    pub cores: f64,
    /// Speed of a core; 1 is that of a standard core.
    pub speed: f64,
    /// Requests in work at once.
    pub slots: usize,
    /// Requests that may wait beyond those.
    pub queue: usize,
    /// Requests held from which on it gets less efficient ...
    pub choke_at: usize,
    /// ... by so much of its speed for each further such number.
    pub choke: f64,
    /// Share of its speed that it starts with.
    pub cold_share: f64,
    /// Time after which it is warm at the latest, in seconds.
    pub ramp_s: f64,
    /// What warms it.
    pub warm_by: WarmUpMode,
    /// Multiple of its present capacity that makes a cold server fall over ...
    pub fall_multiple: f64,
    /// ... when it is sent within so long, in milliseconds.
    pub fall_ms: f64,
    /// Work that a new connection costs, in milliseconds of a standard core.
    pub connect_ms: f64,
    /// Connections that it keeps.
    pub connections: usize,
    /// Idle time after which it closes one, in seconds.
    pub idle_s: f64,
    /// What stops when its client gives up.
    pub cancels: CancelScope,
    /// What waits past its time is turned away rather than run.
    pub drops_expired: bool,
    /// Share of requests that end in an error.
    pub errors: f64,
}

impl Default for ServerSpec {
    fn default() -> Self {
        ServerSpec {
            cores: 1.0,
            speed: 1.0,
            slots: 1,
            queue: 16,
            choke_at: 8,
            choke: 0.15,
            cold_share: 0.25,
            ramp_s: 6.0,
            warm_by: WarmUpMode::Time,
            fall_multiple: 4.0,
            fall_ms: 2_000.0,
            connect_ms: 0.5,
            connections: 700,
            idle_s: 30.0,
            cancels: CancelScope::Waiting,
            drops_expired: false,
            errors: 0.0,
        }
    }
}

/// Whether it takes part.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServerState {
    /// It does.
    Up,
    /// It finishes what it holds and turns away the rest.
    Draining,
    /// The process has ended: connections are reset and refused.
    Down,
    /// The machine has gone: nothing is said any more, by anybody.
    Vanished,
}

/// What goes wrong with its answers.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ServerFaults {
    /// Factor by which all takes longer; 0 stands for 1.
    pub slow: f64,
    /// It takes requests and does nothing.
    pub hung: bool,
    /// Shares of requests whose answer never comes, ...
    pub lose: f64,
    /// ... is cut short, ...
    pub cut: f64,
    /// ... ends in a reset, ...
    pub reset: f64,
    /// ... or is no HTTP.
    pub malformed: f64,
    /// A class that is turned away, and after what time.
    pub turn_away: Option<(usize, Nanos)>,
}

/// A request as it reaches a server.
#[derive(Clone, Copy, Debug)]
pub struct Arrival {
    /// Name of the attempt, for the host.
    pub job: u64,
    /// Its class.
    pub class: usize,
    /// Work, as time on a standard core.
    pub work: Nanos,
    /// When nobody waits for it any more.
    pub expires: Nanos,
    /// It is the first on its connection.
    pub new_connection: bool,
    /// Its node has been told of the server's last start.
    pub notified_of_start: bool,
}

/// What comes back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reply {
    /// The answer.
    Served,
    /// An error; it may have run.
    Error,
    /// It never ran.
    TurnedAway,
    /// The beginning of an answer.
    Cut,
    /// The end of the connection.
    Reset,
    /// Bytes that are no answer.
    Malformed,
    /// Nothing, ever.
    Silence,
}

/// That an attempt has come to its end at the server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Completion {
    /// The attempt.
    pub job: u64,
    /// What comes back.
    pub reply: Reply,
    /// It ran, at least in part.
    pub executed: bool,
}

#[derive(Debug)]
struct Job {
    left: f64, // work, ns of a standard core
    expires: Nanos,
    ran: bool,
}

/// One guide server.
#[derive(Debug)]
pub struct Server {
    spec: ServerSpec,
    life: ServerState,
    faults: ServerFaults,
    rng: Stream,
    at: Nanos, // up to which the work is reckoned
    jobs: BTreeMap<u64, Job>,
    running: Vec<u64>,
    waiting: VecDeque<u64>,
    turned: BinaryHeap<Reverse<(Nanos, u64)>>, // to be turned away, and when
    open: usize,                               // connections
    warm: f64,                                 // share of its full speed
    sent: VecDeque<(Nanos, f64, bool)>,        // work that reached it while it was cold
    fallen: Option<OverloadCrash>,
    busy: f64, // work done, ns of a standard core
}

/// How a cold server fell over.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct OverloadCrash {
    /// When.
    pub at: Nanos,
    /// Share of the work that came from nodes which had been told of its start.
    pub notified_share: f64,
    /// Work that reached it within the window, over what it could bear.
    pub load: f64,
}

impl Server {
    /// A warm server.
    pub fn new(spec: ServerSpec, number: u64, seed: u64) -> Self {
        Server {
            spec,
            life: ServerState::Up,
            faults: ServerFaults::default(),
            rng: Seed(seed).stream("server", number),
            at: 0,
            jobs: BTreeMap::new(),
            running: Vec::new(),
            waiting: VecDeque::new(),
            turned: BinaryHeap::new(),
            open: 0,
            warm: 1.0,
            sent: VecDeque::new(),
            fallen: None,
            busy: 0.0,
        }
    }

    /// Whether it takes part.
    pub fn state(&self) -> ServerState {
        self.life
    }

    /// Share of its full speed.
    pub fn warm_fraction(&self) -> f64 {
        self.warm
    }

    /// How it fell over, if it did.
    pub fn overload_crash(&self) -> Option<OverloadCrash> {
        self.fallen
    }

    /// Requests that it holds.
    pub fn pending_requests(&self) -> usize {
        self.jobs.len()
    }

    /// Work done so far, as nanoseconds of a standard core.
    pub fn completed_work(&self) -> f64 {
        self.busy
    }

    /// Idle time after which it closes a connection.
    pub fn idle_time(&self) -> Nanos {
        (self.spec.idle_s * SECOND as f64) as Nanos
    }

    /// Work done in a nanosecond when all cores are in use.
    pub fn capacity(&self) -> f64 {
        let held = self.jobs.len() as f64 / self.spec.choke_at.max(1) as f64;
        let choked = 1.0 + self.spec.choke * (held - 1.0).max(0.0);
        self.spec.cores * self.spec.speed * self.warm / (self.faults.slow.max(1.0) * choked)
    }

    /// Work done in a nanosecond for each request in work.
    fn rate(&self) -> f64 {
        if self.faults.hung {
            return 0.0;
        }
        self.capacity() / (self.running.len() as f64).max(self.spec.cores)
    }

    /// Whether a further connection is taken; each one taken ends with [`Server::closed`].
    pub fn open_connection(&mut self) -> bool {
        let taken = self.open < self.spec.connections;
        self.open += usize::from(taken);
        taken
    }

    /// A connection has ended.
    pub fn connection_closed(&mut self) {
        self.open = self.open.saturating_sub(1);
    }

    /// A request has arrived whole.
    pub fn receive_request(&mut self, now: Nanos, arrival: Arrival, out: &mut Vec<Completion>) {
        self.advance(now, out);
        let Arrival { job, class, work, expires, new_connection: fresh, notified_of_start: told } = arrival;
        if matches!(self.life, ServerState::Down | ServerState::Vanished) {
            let reply = if self.life == ServerState::Down { Reply::Reset } else { Reply::Silence };
            out.push(Completion { job, reply, executed: false });
            return;
        }
        let work = work as f64 + if fresh { self.spec.connect_ms * MS as f64 } else { 0.0 };
        if self.press(now, work, told) {
            return self.fall(out, job);
        }
        match self.faults.turn_away {
            Some((of, after)) if of == class => self.turned.push(Reverse((now + after, job))),
            _ if self.life == ServerState::Draining
                || self.jobs.len() >= self.spec.slots + self.spec.queue =>
            {
                out.push(Completion { job, reply: Reply::TurnedAway, executed: false });
            }
            _ => {
                self.jobs.insert(job, Job { left: work.max(1.0), expires, ran: false });
                self.waiting.push_back(job);
                self.fill(out);
            }
        }
    }

    /// Whoever sent this attempt no longer waits for it.
    pub fn attempt_abandoned(&mut self, now: Nanos, job: u64, out: &mut Vec<Completion>) {
        self.advance(now, out);
        let Some(held) = self.jobs.get(&job) else { return };
        let stops = match self.spec.cancels {
            CancelScope::Nothing => false,
            CancelScope::Waiting => !held.ran,
            CancelScope::All => true,
        };
        if stops {
            let ran = held.ran;
            self.drop_job(job);
            out.push(Completion { job, reply: Reply::Silence, executed: ran });
            self.fill(out);
        }
    }

    fn drop_job(&mut self, job: u64) {
        self.jobs.remove(&job);
        self.running.retain(|&other| other != job);
        self.waiting.retain(|&other| other != job);
    }

    /// Whether the work sent to it while cold is more than it bears.
    fn press(&mut self, now: Nanos, work: f64, told: bool) -> bool {
        if self.warm >= 1.0 {
            return false;
        }
        let window = millis(self.spec.fall_ms);
        self.sent.push_back((now, work, told));
        while self.sent.front().is_some_and(|&(at, ..)| at + window < now) {
            self.sent.pop_front();
        }
        let sum = |only_told: bool| -> f64 {
            self.sent.iter().filter(|&&(_, _, told)| told || !only_told).map(|&(_, work, _)| work).sum()
        };
        let bears = self.spec.fall_multiple * self.spec.cores * self.spec.speed * self.warm * window as f64;
        let load = sum(false) / bears.max(1.0);
        if load > 1.0 {
            self.fallen = Some(OverloadCrash { at: now, notified_share: sum(true) / sum(false), load });
        }
        load > 1.0
    }

    fn fall(&mut self, out: &mut Vec<Completion>, last: u64) {
        out.push(Completion { job: last, reply: Reply::Reset, executed: false });
        self.end(ServerState::Down, out);
    }

    /// Ends the process or the machine; all that it holds is lost.
    fn end(&mut self, life: ServerState, out: &mut Vec<Completion>) {
        let reply = if life == ServerState::Down { Reply::Reset } else { Reply::Silence };
        for (job, held) in std::mem::take(&mut self.jobs) {
            out.push(Completion { job, reply, executed: held.ran });
        }
        for Reverse((_, job)) in std::mem::take(&mut self.turned) {
            out.push(Completion { job, reply, executed: false });
        }
        self.running.clear();
        self.waiting.clear();
        self.open = 0;
        self.life = life;
    }

    /// Changes whether it takes part. One that starts is cold; one that fell over stays down.
    pub fn set_state(&mut self, now: Nanos, life: ServerState, out: &mut Vec<Completion>) {
        self.advance(now, out);
        let was_off = matches!(self.life, ServerState::Down | ServerState::Vanished);
        match life {
            ServerState::Up if self.fallen.is_some() => {}
            ServerState::Up if was_off => {
                self.warm = self.spec.cold_share;
                self.sent.clear();
                self.life = life;
            }
            ServerState::Up | ServerState::Draining if !was_off => self.life = life,
            ServerState::Up | ServerState::Draining => {}
            ServerState::Down | ServerState::Vanished => self.end(life, out),
        }
    }

    /// What goes wrong from now on.
    pub fn set_faults(&mut self, now: Nanos, faults: ServerFaults, out: &mut Vec<Completion>) {
        self.advance(now, out);
        self.faults = faults;
    }

    /// What goes wrong at present.
    pub fn faults(&self) -> &ServerFaults {
        &self.faults
    }

    fn fill(&mut self, out: &mut Vec<Completion>) {
        while self.running.len() < self.spec.slots {
            let Some(job) = self.waiting.pop_front() else { return };
            let Some(held) = self.jobs.get_mut(&job) else { continue };
            if self.spec.drops_expired && held.expires <= self.at {
                self.jobs.remove(&job);
                out.push(Completion { job, reply: Reply::TurnedAway, executed: false });
                continue;
            }
            held.ran = true;
            self.running.push(job);
        }
    }

    /// When something happens next if nothing reaches it before.
    pub fn next_due(&self) -> Option<Nanos> {
        let turned = self.turned.peek().map(|&Reverse((at, _))| at);
        let (least, rate) = (self.least(), self.rate());
        let work = least.filter(|_| rate > 0.0).map(|left| {
            let due = self.at + (left / rate).ceil().max(1.0) as Nanos;
            if self.warm < 1.0 {
                due.min(self.at + WARM_STEP)
            } else {
                due
            }
        });
        turned.into_iter().chain(work).min()
    }

    fn least(&self) -> Option<f64> {
        let left = self.running.iter().filter_map(|job| self.jobs.get(job)).map(|held| held.left);
        left.min_by(f64::total_cmp)
    }

    /// Lets time pass; what came to its end is appended.
    pub fn advance(&mut self, now: Nanos, out: &mut Vec<Completion>) {
        while let Some(&Reverse((at, job))) = self.turned.peek().filter(|&&Reverse((at, _))| at <= now) {
            self.turned.pop();
            let _ = at;
            out.push(Completion { job, reply: Reply::TurnedAway, executed: false });
        }
        while self.at < now {
            let (rate, least) = (self.rate(), self.least());
            let mut until = now;
            if let Some(left) = least.filter(|_| rate > 0.0) {
                until = until.min(self.at + (left / rate).ceil().max(1.0) as Nanos);
            }
            if self.warm < 1.0 {
                until = until.min(self.at + WARM_STEP);
            }
            let passed = (until - self.at) as f64;
            let each = passed * rate;
            for job in &self.running {
                if let Some(held) = self.jobs.get_mut(job) {
                    held.left -= each;
                }
            }
            let work = each * self.running.len() as f64;
            self.busy += work;
            self.warm_up(passed, work);
            self.at = until;
            self.finish(out);
        }
    }

    fn warm_up(&mut self, passed: f64, work: f64) {
        if self.warm >= 1.0 || matches!(self.life, ServerState::Down | ServerState::Vanished) {
            return;
        }
        let ramp = (self.spec.ramp_s * SECOND as f64).max(1.0);
        let full = ramp * self.spec.cores * self.spec.speed; // work of a whole ramp at full speed
        let by_work = if self.spec.warm_by == WarmUpMode::Work { 2.0 * work / full } else { 0.0 };
        self.warm += (1.0 - self.spec.cold_share) * (passed / ramp).max(by_work);
        if self.warm >= 1.0 {
            self.warm = 1.0;
            self.sent.clear();
        }
    }

    fn finish(&mut self, out: &mut Vec<Completion>) {
        let jobs = &self.jobs;
        let mut ended = Vec::new();
        self.running.retain(|job| {
            let over = jobs.get(job).is_none_or(|held| held.left <= 0.5);
            if over {
                ended.push(*job);
            }
            !over
        });
        for job in ended {
            self.jobs.remove(&job);
            let reply = self.fate();
            out.push(Completion { job, reply, executed: true });
        }
        self.fill(out);
    }

    /// How an answer ends that is ready.
    fn fate(&mut self) -> Reply {
        let mut chance: f64 = self.rng.random();
        let faults = &self.faults;
        for (share, reply) in [
            (self.spec.errors, Reply::Error),
            (faults.lose, Reply::Silence),
            (faults.cut, Reply::Cut),
            (faults.reset, Reply::Reset),
            (faults.malformed, Reply::Malformed),
        ] {
            if chance < share {
                return reply;
            }
            chance -= share;
        }
        Reply::Served
    }
}
