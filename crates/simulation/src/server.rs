//! The model of a guide server.
//!
//! Running requests share the cores of the server. Further requests wait in a bounded queue; the server rejects those
//! that find it full without processing them. A server with too many pending requests becomes less efficient, and one
//! that has just started is cold. A cold server crashes and stays down if it receives too much work.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, VecDeque};

use rand::Rng;
use serde::Deserialize;

use crate::seed::{Seed, Stream};
use crate::{millis, Nanos, MS, SECOND};

/// Longest step of time in which the speed of a warming server is taken as constant.
const MAX_WARM_UP_STEP: Nanos = 50 * MS;

/// The requests that a server stops when their client gives up.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum CancelScope {
    /// None: the server goes on with work that nobody waits for.
    #[default]
    Nothing,
    /// Requests that are still queued.
    Waiting,
    /// Queued and running requests.
    All,
}

/// What makes a cold server warm.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum WarmUpMode {
    /// Elapsed time alone.
    #[default]
    Time,
    /// Completed work, but never slower than by elapsed time.
    Work,
}

/// Capacity and behaviour of a kind of server.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ServerSpec {
    /// Number of cores, shared by the running requests.
    pub cores: f64,
    /// Speed of a core, relative to a standard core.
    pub speed: f64,
    /// Limit of requests that run at once.
    pub slots: usize,
    /// Limit of requests that wait in the queue.
    pub queue: usize,
    /// Number of pending requests above which the server becomes less efficient.
    pub choke_at: usize,
    /// Slowdown for each further `choke_at` pending requests, as a share of the unimpaired service time.
    pub choke: f64,
    /// Share of its full speed that a server has after its start.
    pub cold_share: f64,
    /// Longest time until the server is warm, in seconds.
    pub ramp_s: f64,
    /// What makes the server warm.
    pub warm_by: WarmUpMode,
    /// Multiple of its current capacity that crashes a cold server if it receives more work within `fall_ms`.
    pub fall_multiple: f64,
    /// Length of the window for `fall_multiple`, in milliseconds.
    pub fall_ms: f64,
    /// Work that a new connection costs, in milliseconds of a standard core.
    pub connect_ms: f64,
    /// Limit of open connections.
    pub connections: usize,
    /// Idle time after which the server closes a connection, in seconds.
    pub idle_s: f64,
    /// The requests that the server stops when their client gives up.
    pub cancels: CancelScope,
    /// Whether queued requests that have expired are rejected instead of run.
    pub drops_expired: bool,
    /// Share of requests that end with an error.
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

/// The state of a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServerState {
    /// The server accepts requests.
    Up,
    /// The server finishes its pending requests and rejects new ones.
    Draining,
    /// The process has ended: its connections are reset and new ones refused.
    Down,
    /// The machine is gone: nothing answers or resets a connection.
    Vanished,
}

/// Faults of a server.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ServerFaults {
    /// Factor by which requests take longer; values below 1 count as 1.
    pub slow: f64,
    /// The server accepts requests and does not process them.
    pub hung: bool,
    /// Share of requests that get no answer.
    pub lose: f64,
    /// Share of requests whose answer is truncated.
    pub cut: f64,
    /// Share of requests that end with a connection reset.
    pub reset: f64,
    /// Share of requests whose answer is not valid HTTP.
    pub malformed: f64,
    /// Index of a class that is rejected, and the delay of the rejection.
    pub turn_away: Option<(usize, Nanos)>,
}

/// An attempt that reaches a server.
#[derive(Clone, Copy, Debug)]
pub struct Arrival {
    /// Id of the attempt, which the host chooses.
    pub job: u64,
    /// Index of the request's class.
    pub class: usize,
    /// Work of the request, as time on a standard core.
    pub work: Nanos,
    /// When the sender stops waiting.
    pub expires: Nanos,
    /// Whether it is the first request on its connection.
    pub new_connection: bool,
    /// Whether the sending node has learned of the server's last start.
    pub notified_of_start: bool,
}

/// What the sender of an attempt gets back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reply {
    /// A complete answer.
    Served,
    /// An error; the request may have been executed.
    Error,
    /// A rejection; the request was not executed.
    TurnedAway,
    /// A truncated answer.
    Cut,
    /// A reset of the connection.
    Reset,
    /// Bytes that are not a valid answer.
    Malformed,
    /// Nothing at any time.
    Silence,
}

/// The end of an attempt at a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Completion {
    /// Id of the attempt.
    pub job: u64,
    /// What the sender gets back.
    pub reply: Reply,
    /// Whether the request was executed, at least in part.
    pub executed: bool,
}

#[derive(Debug)]
struct Job {
    remaining_work: f64, // ns of a standard core
    expires: Nanos,
    executed: bool,
}

/// A guide server.
#[derive(Debug)]
pub struct Server {
    spec: ServerSpec,
    state: ServerState,
    faults: ServerFaults,
    rng: Stream,
    advanced_to: Nanos, // time up to which the work is computed
    jobs: BTreeMap<u64, Job>,
    running: Vec<u64>,
    queue: VecDeque<u64>,
    rejections: BinaryHeap<Reverse<(Nanos, u64)>>, // due time and job
    open_connections: usize,
    warm_fraction: f64,                          // share of its full speed
    cold_arrivals: VecDeque<(Nanos, f64, bool)>, // time, work and notified_of_start
    overload_crash: Option<OverloadCrash>,
    completed_work: f64, // ns of a standard core
}

/// The crash of a cold server that received too much work.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct OverloadCrash {
    /// When it crashed.
    pub at: Nanos,
    /// Share of the work that came from nodes which had learned of its start.
    pub notified_share: f64,
    /// Work that reached it within the window, relative to the work that it tolerates.
    pub load: f64,
}

impl Server {
    /// Creates a warm server. `number` selects its random stream.
    pub fn new(spec: ServerSpec, number: u64, seed: u64) -> Self {
        Server {
            spec,
            state: ServerState::Up,
            faults: ServerFaults::default(),
            rng: Seed(seed).stream("server", number),
            advanced_to: 0,
            jobs: BTreeMap::new(),
            running: Vec::new(),
            queue: VecDeque::new(),
            rejections: BinaryHeap::new(),
            open_connections: 0,
            warm_fraction: 1.0,
            cold_arrivals: VecDeque::new(),
            overload_crash: None,
            completed_work: 0.0,
        }
    }

    /// Returns the state of the server.
    pub fn state(&self) -> ServerState {
        self.state
    }

    /// Returns the current share of the full speed; 1 when warm.
    pub fn warm_fraction(&self) -> f64 {
        self.warm_fraction
    }

    /// Returns the crash of the server, if it crashed while cold.
    pub fn overload_crash(&self) -> Option<OverloadCrash> {
        self.overload_crash
    }

    /// Returns the number of queued and running requests.
    pub fn pending_requests(&self) -> usize {
        self.jobs.len()
    }

    /// Returns the work completed so far, in nanoseconds of a standard core.
    pub fn completed_work(&self) -> f64 {
        self.completed_work
    }

    /// Returns the idle time after which the server closes a connection.
    pub fn idle_time(&self) -> Nanos {
        (self.spec.idle_s * SECOND as f64) as Nanos
    }

    /// Returns the work done per nanosecond when all cores are in use.
    pub fn capacity(&self) -> f64 {
        let load = self.jobs.len() as f64 / self.spec.choke_at.max(1) as f64;
        let slowdown = 1.0 + self.spec.choke * (load - 1.0).max(0.0);
        self.spec.cores * self.spec.speed * self.warm_fraction / (self.faults.slow.max(1.0) * slowdown)
    }

    /// Returns the work done per nanosecond for each running request.
    fn rate_per_request(&self) -> f64 {
        if self.faults.hung {
            return 0.0;
        }
        self.capacity() / (self.running.len() as f64).max(self.spec.cores)
    }

    /// Returns whether the server accepts a further connection. Each accepted one ends with
    /// [`Server::connection_closed`].
    pub fn open_connection(&mut self) -> bool {
        let accepted = self.open_connections < self.spec.connections;
        self.open_connections += usize::from(accepted);
        accepted
    }

    /// Records that a connection has ended.
    pub fn connection_closed(&mut self) {
        self.open_connections = self.open_connections.saturating_sub(1);
    }

    /// Handles a request that has arrived completely.
    pub fn receive_request(&mut self, now: Nanos, arrival: Arrival, out: &mut Vec<Completion>) {
        self.advance(now, out);
        let Arrival { job, class, work, expires, new_connection, notified_of_start } = arrival;
        if matches!(self.state, ServerState::Down | ServerState::Vanished) {
            let reply = if self.state == ServerState::Down { Reply::Reset } else { Reply::Silence };
            out.push(Completion { job, reply, executed: false });
            return;
        }
        let work = work as f64 + if new_connection { self.spec.connect_ms * MS as f64 } else { 0.0 };
        if self.overloads(now, work, notified_of_start) {
            return self.crash(out, job);
        }
        match self.faults.turn_away {
            Some((rejected, delay)) if rejected == class => self.rejections.push(Reverse((now + delay, job))),
            _ if self.state == ServerState::Draining
                || self.jobs.len() >= self.spec.slots + self.spec.queue =>
            {
                out.push(Completion { job, reply: Reply::TurnedAway, executed: false });
            }
            _ => {
                self.jobs.insert(job, Job { remaining_work: work.max(1.0), expires, executed: false });
                self.queue.push_back(job);
                self.start_queued(out);
            }
        }
    }

    /// Handles an attempt whose sender no longer waits for it.
    pub fn attempt_abandoned(&mut self, now: Nanos, job: u64, out: &mut Vec<Completion>) {
        self.advance(now, out);
        let Some(pending) = self.jobs.get(&job) else { return };
        let stops = match self.spec.cancels {
            CancelScope::Nothing => false,
            CancelScope::Waiting => !pending.executed,
            CancelScope::All => true,
        };
        if stops {
            let executed = pending.executed;
            self.drop_job(job);
            out.push(Completion { job, reply: Reply::Silence, executed });
            self.start_queued(out);
        }
    }

    fn drop_job(&mut self, job: u64) {
        self.jobs.remove(&job);
        self.running.retain(|&other| other != job);
        self.queue.retain(|&other| other != job);
    }

    /// Records work that arrives while the server is cold. Returns whether the server crashes under it.
    fn overloads(&mut self, now: Nanos, work: f64, notified_of_start: bool) -> bool {
        if self.warm_fraction >= 1.0 {
            return false;
        }
        let window = millis(self.spec.fall_ms);
        self.cold_arrivals.push_back((now, work, notified_of_start));
        while self.cold_arrivals.front().is_some_and(|&(at, ..)| at + window < now) {
            self.cold_arrivals.pop_front();
        }
        let sum = |only_notified: bool| -> f64 {
            self.cold_arrivals
                .iter()
                .filter(|&&(.., notified)| notified || !only_notified)
                .map(|&(_, work, _)| work)
                .sum()
        };
        let tolerated =
            self.spec.fall_multiple * self.spec.cores * self.spec.speed * self.warm_fraction * window as f64;
        let load = sum(false) / tolerated.max(1.0);
        if load > 1.0 {
            self.overload_crash =
                Some(OverloadCrash { at: now, notified_share: sum(true) / sum(false), load });
        }
        load > 1.0
    }

    fn crash(&mut self, out: &mut Vec<Completion>, job: u64) {
        out.push(Completion { job, reply: Reply::Reset, executed: false });
        self.end(ServerState::Down, out);
    }

    /// Ends the process or the machine, which loses all pending requests.
    fn end(&mut self, state: ServerState, out: &mut Vec<Completion>) {
        let reply = if state == ServerState::Down { Reply::Reset } else { Reply::Silence };
        for (job, pending) in std::mem::take(&mut self.jobs) {
            out.push(Completion { job, reply, executed: pending.executed });
        }
        for Reverse((_, job)) in std::mem::take(&mut self.rejections) {
            out.push(Completion { job, reply, executed: false });
        }
        self.running.clear();
        self.queue.clear();
        self.open_connections = 0;
        self.state = state;
    }

    /// Changes the state of the server. A server that starts is cold; one that crashed while cold stays down.
    pub fn set_state(&mut self, now: Nanos, state: ServerState, out: &mut Vec<Completion>) {
        self.advance(now, out);
        let was_stopped = matches!(self.state, ServerState::Down | ServerState::Vanished);
        match state {
            ServerState::Up if self.overload_crash.is_some() => {}
            ServerState::Up if was_stopped => {
                self.warm_fraction = self.spec.cold_share;
                self.cold_arrivals.clear();
                self.state = state;
            }
            ServerState::Up | ServerState::Draining if !was_stopped => self.state = state,
            ServerState::Up | ServerState::Draining => {}
            ServerState::Down | ServerState::Vanished => self.end(state, out),
        }
    }

    /// Replaces the faults of the server.
    pub fn set_faults(&mut self, now: Nanos, faults: ServerFaults, out: &mut Vec<Completion>) {
        self.advance(now, out);
        self.faults = faults;
    }

    /// Returns the current faults.
    pub fn faults(&self) -> &ServerFaults {
        &self.faults
    }

    fn start_queued(&mut self, out: &mut Vec<Completion>) {
        while self.running.len() < self.spec.slots {
            let Some(job) = self.queue.pop_front() else { return };
            let Some(pending) = self.jobs.get_mut(&job) else { continue };
            if self.spec.drops_expired && pending.expires <= self.advanced_to {
                self.jobs.remove(&job);
                out.push(Completion { job, reply: Reply::TurnedAway, executed: false });
                continue;
            }
            pending.executed = true;
            self.running.push(job);
        }
    }

    /// Returns when the next event is due if no call changes the server before.
    pub fn next_due(&self) -> Option<Nanos> {
        let rejection_due = self.rejections.peek().map(|&Reverse((at, _))| at);
        let (remaining, rate) = (self.min_remaining_work(), self.rate_per_request());
        let work = remaining.filter(|_| rate > 0.0).map(|remaining| {
            let due = self.advanced_to + (remaining / rate).ceil().max(1.0) as Nanos;
            if self.warm_fraction < 1.0 {
                due.min(self.advanced_to + MAX_WARM_UP_STEP)
            } else {
                due
            }
        });
        rejection_due.into_iter().chain(work).min()
    }

    fn min_remaining_work(&self) -> Option<f64> {
        let remaining =
            self.running.iter().filter_map(|job| self.jobs.get(job)).map(|pending| pending.remaining_work);
        remaining.min_by(f64::total_cmp)
    }

    /// Advances the time; appends the attempts that end to `out`.
    pub fn advance(&mut self, now: Nanos, out: &mut Vec<Completion>) {
        while let Some(&Reverse((at, job))) = self.rejections.peek().filter(|&&Reverse((at, _))| at <= now) {
            self.rejections.pop();
            let _ = at;
            out.push(Completion { job, reply: Reply::TurnedAway, executed: false });
        }
        while self.advanced_to < now {
            let (rate, remaining) = (self.rate_per_request(), self.min_remaining_work());
            let mut until = now;
            if let Some(remaining) = remaining.filter(|_| rate > 0.0) {
                until = until.min(self.advanced_to + (remaining / rate).ceil().max(1.0) as Nanos);
            }
            if self.warm_fraction < 1.0 {
                until = until.min(self.advanced_to + MAX_WARM_UP_STEP);
            }
            let elapsed = (until - self.advanced_to) as f64;
            let per_request = elapsed * rate;
            for job in &self.running {
                if let Some(pending) = self.jobs.get_mut(job) {
                    pending.remaining_work -= per_request;
                }
            }
            let work = per_request * self.running.len() as f64;
            self.completed_work += work;
            self.warm_up(elapsed, work);
            self.advanced_to = until;
            self.complete_finished(out);
        }
    }

    fn warm_up(&mut self, elapsed: f64, work: f64) {
        if self.warm_fraction >= 1.0 || matches!(self.state, ServerState::Down | ServerState::Vanished) {
            return;
        }
        let ramp = (self.spec.ramp_s * SECOND as f64).max(1.0);
        let ramp_work = ramp * self.spec.cores * self.spec.speed; // work done in a whole ramp at full speed
        let by_work = if self.spec.warm_by == WarmUpMode::Work { 2.0 * work / ramp_work } else { 0.0 };
        self.warm_fraction += (1.0 - self.spec.cold_share) * (elapsed / ramp).max(by_work);
        if self.warm_fraction >= 1.0 {
            self.warm_fraction = 1.0;
            self.cold_arrivals.clear();
        }
    }

    fn complete_finished(&mut self, out: &mut Vec<Completion>) {
        let jobs = &self.jobs;
        let mut ended = Vec::new();
        self.running.retain(|job| {
            let finished = jobs.get(job).is_none_or(|pending| pending.remaining_work <= 0.5);
            if finished {
                ended.push(*job);
            }
            !finished
        });
        for job in ended {
            self.jobs.remove(&job);
            let reply = self.sample_reply();
            out.push(Completion { job, reply, executed: true });
        }
        self.start_queued(out);
    }

    /// Samples the reply to a request that is finished.
    fn sample_reply(&mut self) -> Reply {
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
